"""The holder's part of a replicated lease: its fencing token and its end. Free of I/O.

It counts from when the command was sent, by its own clock; the leader lets it end later by any
clock within the drift, and the next token is higher. Whatever is done under a lease carries its token.
"""

from __future__ import annotations

from oakkeel.disruption import commands


class LeaseHolder:
    """One that acquires and renews a lease."""

    def __init__(self, name: str, holder: str, duration: int) -> None:
        """`duration` in nanoseconds."""
        self.name, self.holder, self.duration = name, holder, duration
        self.fencing_token = self.expires_at = 0

    def acquire_command(self) -> commands.AcquireLease:
        """Return the command that acquires or renews it; a lease that is renewed in time keeps its token."""
        return commands.AcquireLease(self.name, self.holder, self.duration)

    def receive_result(self, sent_at: int, result: object) -> bool:
        """Return whether the lease is ours; the command was sent at `sent_at` by our monotonic clock."""
        if not isinstance(result, int):
            return False
        if result < self.fencing_token:
            return False  # a result from before it ended once
        self.fencing_token, self.expires_at = (
            result,
            max(self.expires_at if result == self.fencing_token else 0, sent_at + self.duration),
        )
        return True

    def is_held(self, now: int) -> bool:
        """Return whether the lease is surely ours."""
        return now < self.expires_at
