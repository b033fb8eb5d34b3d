"""The holder's part of a replicated lease: its fencing token and its expiry. Free of I/O.

The holder counts the duration from the sending of the command, by its own clock. The leader expires the lease
only after the duration has ended by every clock whose drift is within the bound, and the next holder gets a
higher token. Commands under a lease carry the token of the lease.
"""

from __future__ import annotations

from oakkeel.disruption import commands


class LeaseHolder:
    """Acquires and renews one lease."""

    def __init__(self, name: str, holder: str, duration: int) -> None:
        """`duration` is in nanoseconds."""
        self.name = name
        self.holder = holder
        self.duration = duration
        self.fencing_token = 0
        self.expires_at = 0  # by the holder's monotonic clock, in nanoseconds

    def build_acquire_command(self) -> commands.AcquireLease:
        """Return the command that acquires or renews the lease; a renewal before expiry keeps the token."""
        return commands.AcquireLease(self.name, self.holder, self.duration)

    def receive_result(self, sent_at: int, result: object) -> bool:
        """Record the result of a command that was sent at `sent_at`. Returns whether it gave the lease."""
        if not isinstance(result, int):
            return False
        if result < self.fencing_token:
            return False  # a late result of a lease that has ended since
        is_renewal = result == self.fencing_token
        former_expiry = self.expires_at if is_renewal else 0
        self.fencing_token = result
        self.expires_at = max(former_expiry, sent_at + self.duration)
        return True

    def is_held(self, now: int) -> bool:
        """Whether the lease is valid, so that no other holder can have acquired it."""
        return now < self.expires_at
