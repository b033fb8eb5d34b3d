"""The holder's part of a lease on the record: what it holds, under which fence, until when. Free of I/O.

It counts from when it asked, by its own clock; the leader lets it end later than that by any clock within
the drift, and the next holder's fence is higher. Whatever is done under a lease carries its fence.
"""

from __future__ import annotations

from oakkeel.disruption import commands


class LeaseHolder:
    def __init__(self, name: str, holder: str, lasts: int) -> None:
        """`lasts` in nanoseconds."""
        self.name, self.holder, self.lasts = name, holder, lasts
        self.fence = self.until = 0

    def asking(self) -> commands.AcquireLease:
        """To take it, and to renew it: the fence stays as long as it does not end between."""
        return commands.AcquireLease(self.name, self.holder, self.lasts)

    def answered(self, sent_at: int, result: object) -> bool:
        """Whether it is ours; `sent_at` is when that was asked, by our monotonic clock."""
        if not isinstance(result, int):
            return False
        if result < self.fence:
            return False  # an answer from before it ended once
        self.fence, self.until = result, max(self.until if result == self.fence else 0, sent_at + self.lasts)
        return True

    def holds(self, now: int) -> bool:
        return now < self.until
