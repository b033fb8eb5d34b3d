"""Queries of the replicated state about permits, orders and targets. Free of I/O and of time."""

from __future__ import annotations

from oakkeel.disruption.state import ControlPlaneState, DisruptionOrder, Permit
from oakkeel.disruption.topology import PERMIT_REASON, UnavailableTargets


class ControlPlaneView:
    """The replicated state; `unavailable` holds the targets that have a permit."""

    state: ControlPlaneState
    unavailable: UnavailableTargets

    def count_unavailable(self) -> None:
        """Count the targets with a permit again, after the state or the topology was replaced.

        So a grant that would exceed a budget by permits alone is rejected, even if a leader proposes it.
        """
        self.unavailable = UnavailableTargets(self.state.topology)
        for target in self.state.permits:
            self.unavailable.add(target, PERMIT_REASON)

    def known_targets(self) -> set[str]:
        """Return all targets of the topology."""
        return {target for targets in self.state.topology.hosts.values() for target in targets}

    def find_permit(self, target: str, fencing_token: int) -> Permit | None:
        """Return the permit of a target if the permit has that fencing token."""
        permit = self.state.permits.get(target)
        return permit if permit and permit.fencing_token == fencing_token else None

    def find_open_order(self, target: str) -> DisruptionOrder | None:
        """Return the first order with an open task for a target."""
        for order in self.state.orders.values():
            if target in order.tasks and order.tasks[target].is_open:
                return order
        return None

    def find_conflict(self, target: str, order_id: str) -> Permit | None:
        """Return the permit that excludes a permit of an order for the same target; None if there is none.

        An order can get a permit for a target that another order has already taken out.
        """
        permit = self.state.permits.get(target)
        if permit and (permit.order_id == order_id or not permit.started or self.is_returning(permit)):
            return permit
        return None

    def is_returning(self, permit: Permit) -> bool:
        """Whether the target returns to service, as the order of its permit was cancelled."""
        order = self.state.orders.get(permit.order_id)
        return bool(order and order.returns_targets)
