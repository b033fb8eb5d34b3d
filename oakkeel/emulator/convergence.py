"""Checks that a simulated fleet converges: one leader, no open order and no stuck release."""

from __future__ import annotations

from oakkeel.agent.instances import Verb
from oakkeel.disruption.control_plane import ControlPlaneReplica
from oakkeel.disruption.state import OPEN_FLEET_TASK_STATES
from oakkeel.disruption.topology import BUDGET_EXCEEDED_TEXT
from oakkeel.emulator.simulated_host import SimulatedHost
from oakkeel.emulator.world import World
from oakkeel.rollout.controller import RolloutController
from oakkeel.rollout.plan import NONE_AVAILABLE
from oakkeel.units import MS, SECOND

CHECK_INTERVAL_NS = 50 * MS
EXTRA_CONVERGENCE_TIME_NS = 12 * SECOND  # after the run, for an order that was submitted late
# Phrases in the reasons of a release that waits for targets which operators have stopped for good.
EXPECTED_REASONS = (
    BUDGET_EXCEEDED_TEXT,
    "last serving target",
    NONE_AVAILABLE,
    "would carry",
)


class ConvergenceCheck:
    """Checks releases during the run, and convergence at its end."""

    def __init__(self, world: World, hosts: dict[str, SimulatedHost]) -> None:
        """`hosts`: by name; may be filled later."""
        self.world = world
        self.hosts = hosts

    def check_releases(self) -> None:
        """Report the final states of releases to the audit, as known to a leader with a lease."""
        world = self.world
        for host in self.hosts.values():
            leader = host.leader
            if (
                not leader
                or not host.machine.running
                or host.machine.stopped
                or not leader.replica.holds_lease(host.machine.now())
            ):
                continue
            for release in leader.state_machine.state.releases.values():  # type: ignore[attr-defined]
                if release.is_finished and release.ident in world.rollout_audit.new_versions:
                    world.rollout_audit.record_end(
                        world.clock.now, release.ident, release.state, self._serving_instances()
                    )
        world.clock.call_after(CHECK_INTERVAL_NS, self.check_releases)

    def _serving_instances(self) -> set[str]:
        now = self.world.clock.now
        return {
            name
            for host in self.hosts.values()
            for name, process in host.processes.running.items()
            if not process.exits_at and now >= process.serves_at
        }

    def convergence_failures(self) -> list[str]:
        """Return the reasons why the fleet has not converged, even after some extra time."""
        if problems := self._stuck():
            clock = self.world.clock
            clock.run(clock.now + EXTRA_CONVERGENCE_TIME_NS)
            problems = self._stuck()
        return problems

    def _stuck(self) -> list[str]:
        hosts = self.hosts.values()
        leaders = [
            leader
            for host in hosts
            if (leader := host.leader) and leader.replica.holds_lease(host.machine.now())
        ]
        if len(leaders) != 1:
            return [f"{len(leaders)} leaders at the end"]
        leader = leaders[0]
        problems = [
            f"order {order.id} is open: {order.tasks}"
            for order in leader.state_machine.state.orders.values()
            if any(task.state in OPEN_FLEET_TASK_STATES for task in order.tasks.values())
        ]
        problems += self._stuck_release(leader)
        for host in hosts:
            problems += self._stuck_tasks(leader, host)
        return problems

    def _stuck_release(self, leader: ControlPlaneReplica) -> list[str]:
        release = leader.state_machine.open_release  # type: ignore[attr-defined]
        if not release or release.state not in ("preparing", "running", "undoing"):
            return []
        controller = leader.extension
        reason = controller.why if isinstance(controller, RolloutController) else "no controller"
        if any(expected_reason in reason for expected_reason in EXPECTED_REASONS):
            return []
        state = f"{release.state}, batch {release.batch}, {release.in_progress}"
        return [f"release {release.ident} is {state}: {reason}"]

    def _stuck_tasks(self, leader: ControlPlaneReplica, host: SimulatedHost) -> list[str]:
        problems = []
        for task in host.agent.orders.open_tasks:
            order = leader.state_machine.state.orders.get(task.order.order_id)
            if task.is_open and task.order.verb is not Verb.START and not (order and order.is_open):
                problems.append(f"{host.name}: a task of {task.order.order_id} is open, but the order is not")
        return problems
