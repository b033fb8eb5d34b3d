"""After what time clients return: this measures and decides nothing."""

from __future__ import annotations

from oakkeel.admission.sliding_window import SlidingWindow
from oakkeel.resource_limits import MS, SECOND

GAP_STEP, GAP_STEPS = 64 * MS, 9  # times between, by doubled steps
CLIENTS_MOST = 512  # remembered, those last seen


class ClientReturns:
    """Times between two requests of one client, over the last seconds."""

    __slots__ = ("gaps", "last_seen")

    def __init__(self) -> None:
        """Start with no client seen."""
        self.last_seen: dict[int, int] = {}  # the latest last
        self.gaps = [SlidingWindow(2 * SECOND) for _ in range(GAP_STEPS + 1)]

    def seen(self, now: int, client: int) -> None:
        """Count the time since a client was last seen."""
        gap = now - self.last_seen.pop(client, -(GAP_STEP << GAP_STEPS))
        self.last_seen[client] = now
        self.gaps[min(GAP_STEPS, (gap // GAP_STEP).bit_length())].add(now, gap)
        if len(self.last_seen) > CLIENTS_MOST:
            del self.last_seen[next(iter(self.last_seen))]

    def totals(self, now: int) -> list[tuple[float, int]]:
        """Return the sum and the count of the times of each step."""
        return [window.total(now) for window in self.gaps]
