"""The choice of the waiting targets that are granted a permit within the budgets. Free of I/O."""

from __future__ import annotations

from enum import Enum

from oakkeel.disruption import commands
from oakkeel.disruption.state import DisruptionOrder, FleetTaskState
from oakkeel.disruption.state_machine import PermitStateMachine
from oakkeel.disruption.topology import PROPOSED_REASON, UNKNOWN_REASON, BudgetViolation, UnavailableTargets

MAX_GRANTS_PER_TICK = 64


class GrantDecision(Enum):
    """Whether a target is granted a permit; each value but `GRANT` is the reason of a refusal."""

    GRANT = "granted"
    NOT_WAITING = "its task does not wait any more"
    GROUP_EXHAUSTED = "an available target of the same budget groups did not fit in this tick"
    NOT_READY = "its agent is silent, a grant is pending, or another order has a permit"
    BUDGET_EXHAUSTED = "a budget would be exceeded"


class GrantPlanner:
    """The targets that wait for a permit, in the order in which their orders were submitted."""

    def __init__(self, state_machine: PermitStateMachine) -> None:
        """Start without waiting targets. `reset` sets the allocator's unavailable targets."""
        self.state_machine = state_machine
        self.unavailable = UnavailableTargets(state_machine.state.topology)
        # Targets by order and by the budget groups and dependents of the target. The innermost dictionary is
        # an ordered set of targets.
        self.waiting: dict[str, dict[tuple[str, ...], dict[str, None]]] = {}

    def reset(self, unavailable: UnavailableTargets) -> None:
        """Start again without waiting targets, after a change of the topology."""
        self.unavailable = unavailable
        self.waiting.clear()

    def enqueue(self, order_id: str, target: str) -> None:
        """Add a target that waits for a permit."""
        dependents = self.unavailable.topology.dependents.get(target, ())
        groups = tuple(self.unavailable.groups_of.get(target, ())) + dependents
        self.waiting.setdefault(order_id, {}).setdefault(groups, {})[target] = None

    def drop_order(self, order_id: str) -> None:
        """Forget the waiting targets of an order that has ended."""
        self.waiting.pop(order_id, None)

    def plan(self) -> list[commands.Command]:
        """Return the grants of one tick."""
        to_propose: list[commands.Command] = []
        for order_id, groups in self.waiting.items():
            order = self.state_machine.state.orders.get(order_id)
            if order is None or order.halted_by:
                continue
            if order.atomic and not _has_begun(order):
                to_propose += self._grant_all(order)
                continue
            for targets in groups.values():
                if self._grant_group(order, targets, to_propose):
                    return to_propose
        return to_propose

    def _grant_all(self, order: DisruptionOrder) -> list[commands.Command]:
        """Grant all targets of an atomic order or none."""
        targets = [target for target in order.tasks if self._is_ready(target, order.id)]
        if len(targets) < len(order.tasks) or self.find_violation(targets):
            return []
        return [self._grant(order, targets)]

    def _grant_group(
        self, order: DisruptionOrder, targets: dict[str, None], to_propose: list[commands.Command]
    ) -> bool:
        """Grant targets of the same budget groups. Returns whether the tick's maximum of grants is reached.

        The targets need the same budgets. Once a budget is exhausted, only targets that are already
        unavailable can still be granted.
        """
        is_exhausted = False
        for target in list(targets):
            if len(to_propose) >= MAX_GRANTS_PER_TICK:
                return True
            decision = self._decide(order, target, is_exhausted)
            if decision is GrantDecision.NOT_WAITING:
                del targets[target]
            elif decision is GrantDecision.GRANT:
                to_propose.append(self._grant(order, [target]))
            elif decision is GrantDecision.BUDGET_EXHAUSTED:
                is_exhausted = True
                if not self.unavailable.reasons.keys() & targets.keys():
                    break
        return False

    def _decide(self, order: DisruptionOrder, target: str, is_group_exhausted: bool) -> GrantDecision:
        """Decide whether a target is granted a permit: the rule of the grant.

        A grant needs an agent that reports, no other permit for the target, and room in each budget of the
        target and of its dependents. So no budget is exceeded, whichever other targets are unavailable.
        """
        if order.tasks[target].state != FleetTaskState.WAITING:
            return GrantDecision.NOT_WAITING
        if is_group_exhausted and target not in self.unavailable.reasons:
            return GrantDecision.GROUP_EXHAUSTED
        if not self._is_ready(target, order.id):
            return GrantDecision.NOT_READY
        if self.find_violation([target]):
            return GrantDecision.BUDGET_EXHAUSTED
        return GrantDecision.GRANT

    def _is_ready(self, target: str, order_id: str) -> bool:
        """Whether the target's agent reports, no grant is pending, and no permit excludes a new one."""
        reasons = self.unavailable.reasons.get(target, ())
        return (
            UNKNOWN_REASON not in reasons
            and PROPOSED_REASON not in reasons
            and not self.state_machine.find_conflict(target, order_id)
        )

    def find_violation(self, targets: list[str]) -> BudgetViolation | None:
        """Return the violation of a budget by grants for targets; None if there is none.

        The first check counts all unavailable targets: a target that is already unavailable adds nothing. The
        second check counts the permits alone: a target without a permit adds one to each of its budgets.
        """
        unavailable_by_permits = self.state_machine.unavailable
        return self.unavailable.find_violation(targets) or unavailable_by_permits.find_violation(targets)

    def _grant(self, order: DisruptionOrder, targets: list[str]) -> commands.GrantPermits:
        """Return the grant of permits for targets, which count as unavailable from now on.

        If a budget of the targets is already exceeded, a permit may be started only while its target has no
        process: otherwise the permit would take one more target out of service.
        """
        only_while_down = any(
            self.unavailable.is_exceeded(name)
            for target in targets
            for name in self.unavailable.groups_of.get(target, ())
        )
        for target in targets:
            self.unavailable.add(target, PROPOSED_REASON)
        return commands.GrantPermits(order.id, targets, only_while_down)


def _has_begun(order: DisruptionOrder) -> bool:
    """Whether a task of the order no longer waits for a permit."""
    return any(task.state != FleetTaskState.WAITING for task in order.tasks.values())
