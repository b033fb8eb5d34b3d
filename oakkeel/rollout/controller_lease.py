"""Decides when the rollout controller requests or renews its lease. Free of I/O."""

from __future__ import annotations

from oakkeel.disruption.commands import AcquireLease
from oakkeel.disruption.lease_holder import LeaseHolder
from oakkeel.rollout.state_machine import LEASE
from oakkeel.units import MS, SECOND

LEASE_DURATION_NS = 2 * SECOND
# The lease is renewed this long before its expiry, which leaves time to repeat a failed renewal.
LEASE_RENEWAL_NS = LEASE_DURATION_NS * 3 // 4
# Between two requests, and after a rejection because another controller holds the lease.
LEASE_RETRY_DELAY_NS = 200 * MS


class ControllerLease:
    """The lease of a rollout controller: only its holder takes steps of a release.

    Times are nanoseconds of the leader's monotonic clock.
    """

    def __init__(self, now: int, holder: str) -> None:
        """`holder` is a name that no earlier controller had."""
        self.holder = LeaseHolder(LEASE, holder, LEASE_DURATION_NS)
        self.requested_at = 0  # 0: no request is in flight
        self.next_request_at = now

    @property
    def fencing_token(self) -> int:
        """The token that commands under the lease carry."""
        return self.holder.fencing_token

    def is_held(self, now: int) -> bool:
        """Return whether the lease is valid: no other controller can have acquired it."""
        return self.holder.is_held(now)

    def needs_request(self, now: int) -> bool:
        """Return whether to request the lease: it is not held, or expires soon."""
        if self.requested_at or now < self.next_request_at:
            return False
        return not self.is_held(now) or now > self.holder.expires_at - LEASE_RENEWAL_NS

    def request(self, now: int) -> AcquireLease:
        """Return the command that acquires or renews the lease."""
        self.requested_at = now
        self.next_request_at = now + LEASE_RETRY_DELAY_NS
        return self.holder.build_acquire_command()

    def is_own_request(self, command: object) -> bool:
        """Return whether a command requests the lease for this controller."""
        return (
            isinstance(command, AcquireLease)
            and command.name == LEASE
            and command.holder == self.holder.holder
        )

    def receive_result(self, now: int, result: object) -> None:
        """Handle the result of the request in flight."""
        if not self.holder.receive_result(self.requested_at, result):
            self.next_request_at = now + LEASE_RETRY_DELAY_NS
        self.requested_at = 0

    def handle_lost_request(self) -> None:
        """Handle a request that was not committed: the controller may request the lease again."""
        self.requested_at = 0
