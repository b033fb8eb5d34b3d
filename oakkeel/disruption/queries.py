"""What the replicated state says about permits, orders and targets. Changes nothing; free of I/O and time."""

from __future__ import annotations

from oakkeel.disruption.state import ControlPlaneState, DisruptionOrder, Permit
from oakkeel.disruption.topology import UnavailableTargets

PERMIT_REASON = "a place"  # why a target counts as unavailable


class ControlPlaneView:
    """The replicated state with the targets that are unavailable by permits alone."""

    state: ControlPlaneState
    unavailable: UnavailableTargets

    def count_unavailable(self) -> None:
        """Count anew what is unavailable by permits alone.

        No grant may pass a budget even if nothing else were known.
        """
        self.unavailable = UnavailableTargets(self.state.topology)
        for target in self.state.permits:
            self.unavailable.add(target, PERMIT_REASON)

    def known_targets(self) -> set[str]:
        """Return all targets of the topology."""
        return {target for targets in self.state.topology.hosts.values() for target in targets}

    def find_permit(self, target: str, fencing_token: int) -> Permit | None:
        """Return the permit of a target if it is the one with that token."""
        permit = self.state.permits.get(target)
        return permit if permit and permit.fencing_token == fencing_token else None

    def find_open_order(self, target: str) -> DisruptionOrder | None:
        """Return the first order with an open task for a target."""
        for order in self.state.orders.values():
            if target in order.tasks and order.tasks[target].open:
                return order
        return None

    def permit_conflict(self, target: str, order_id: str) -> str:
        """Return why an order can't have a permit for a target now; empty where it can.

        It can also have one for a target that another order has taken out already.
        """
        permit = self.state.permits.get(target)
        if permit and (permit.order_id == order_id or not permit.started or self.is_returning(permit)):
            return f"{target} has a place by {permit.order_id}"
        return ""

    def is_returning(self, permit: Permit) -> bool:
        """Return whether the target comes back, as its order was cancelled."""
        order = self.state.orders.get(permit.order_id)
        return bool(order and order.returns_targets)
