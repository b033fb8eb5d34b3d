"""The holder's part of a lease on the record: what it holds, under which fence, until when. Free of I/O.

It counts from when it asked, by its own clock; the leader lets it end later than that by any clock within
the drift, and the next holder's fence is higher. Whatever is done under a lease carries its fence.
"""

from __future__ import annotations

from oakkeel.disruption import commands


class LeaseHolder:
    def __init__(self, name: str, holder: str, lasts: int) -> None:
        """`lasts` in nanoseconds."""
        self.name, self.holder, self.duration = name, holder, lasts
        self.fencing_token = self.expires_at = 0

    def acquire_command(self) -> commands.AcquireLease:
        """To take it, and to renew it: the fence stays as long as it does not end between."""
        return commands.AcquireLease(self.name, self.holder, self.duration)

    def receive_result(self, sent_at: int, result: object) -> bool:
        """Whether it is ours; `sent_at` is when that was asked, by our monotonic clock."""
        if not isinstance(result, int):
            return False
        if result < self.fencing_token:
            return False  # an answer from before it ended once
        self.fencing_token, self.expires_at = (
            result,
            max(self.expires_at if result == self.fencing_token else 0, sent_at + self.duration),
        )
        return True

    def is_held(self, now: int) -> bool:
        return now < self.expires_at
