"""The validity and the expiry of permits, leases and orders, by the leader's clock.

Free of I/O. All instants are in monotonic nanoseconds of the leader. A new leader does not know the time of
its predecessor's grants, so it counts the full validity from the time at which it took over.
"""

from __future__ import annotations

from oakkeel.disruption import commands
from oakkeel.disruption.state import ControlPlaneState, DisruptionOrder, Lease, Permit
from oakkeel.disruption.timeouts import PermitTimeouts

# An `ExpiryClock` forgets the grant times of deleted permits once it holds more grant times than twice the
# number of permits plus this number.
MAX_STALE_GRANT_TIMES = 64


class ExpiryClock:
    """The instants at which permits were granted, leases renewed and open orders submitted."""

    def __init__(self, timeouts: PermitTimeouts) -> None:
        """Start without grants, leases and orders."""
        self.timeouts = timeouts
        self.granted_at: dict[int, int] = {}  # by fencing token
        self.lease_renewed_at: dict[str, int] = {}  # by name of the lease
        self.order_submitted_at: dict[str, int] = {}  # by ID of an open order

    def is_permit_expired(self, now: int, permit: Permit) -> bool:
        """Whether a permit that was not started expires: the rule of permit expiry.

        The holder may start a permit within the validity by its own clock. After the upper bound of the
        validity by the leader's clock, the holder can no longer start it, and the target may be granted to
        another order.
        """
        granted_at = self.granted_at.setdefault(permit.fencing_token, now)
        if permit.started or permit.expired_index:
            return False
        return now - granted_at > self.timeouts.expiry_ns

    def is_lease_expired(self, now: int, name: str, lease: Lease) -> bool:
        """Whether a lease expires: the rule of lease expiry.

        The holder counts the duration from the time at which it sent the command. After the upper bound of
        the duration by the leader's clock, the holder no longer relies on the lease, and another holder may
        acquire it.
        """
        renewed_at = self.lease_renewed_at.setdefault(name, now)
        return now - renewed_at > self.timeouts.upper_bound(lease.duration)

    def is_order_expired(self, now: int, order: DisruptionOrder) -> bool:
        """Whether an open order expires, so that targets which still wait for a permit are not taken out."""
        return not order.halted_by and now - self.order_submitted_at[order.id] > order.timeout

    def remaining_validity(self, now: int, permit: Permit) -> int:
        """Return the nanoseconds until the end of a permit's validity; 0 after it."""
        granted_at = self.granted_at.setdefault(permit.fencing_token, now)
        return max(0, granted_at + self.timeouts.validity_ns - now)

    def remaining_time(self, now: int, order: DisruptionOrder) -> int:
        """Return the nanoseconds until the timeout of an order; 0 after it."""
        return max(0, self.order_submitted_at.get(order.id, now) + order.timeout - now)

    def forget_ended_orders(self, state: ControlPlaneState) -> list[str]:
        """Forget the orders that are no longer open, and return the IDs of these orders."""
        ended_ids = [
            order_id
            for order_id in self.order_submitted_at
            if (order := state.orders.get(order_id)) is None or not order.is_open
        ]
        for order_id in ended_ids:
            del self.order_submitted_at[order_id]
        return ended_ids

    def expiry_commands(self, now: int, state: ControlPlaneState) -> list[commands.Command]:
        """Return the commands that expire permits, leases and orders."""
        to_propose: list[commands.Command] = [
            commands.ExpirePermit(permit.target, permit.fencing_token)
            for permit in state.permits.values()
            if self.is_permit_expired(now, permit)
        ]
        self._forget_stale_grants(state)
        to_propose += [
            commands.ReleaseLease(name, lease.fencing_token)
            for name, lease in state.leases.items()
            if self.is_lease_expired(now, name, lease)
        ]
        to_propose += [
            commands.ExpireOrder(order_id)
            for order_id in self.order_submitted_at
            if self.is_order_expired(now, state.orders[order_id])
        ]
        return to_propose

    def _forget_stale_grants(self, state: ControlPlaneState) -> None:
        if len(self.granted_at) <= 2 * len(state.permits) + MAX_STALE_GRANT_TIMES:
            return
        tokens = {permit.fencing_token for permit in state.permits.values()}
        self.granted_at = {
            token: granted_at for token, granted_at in self.granted_at.items() if token in tokens
        }
