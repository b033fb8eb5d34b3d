"""After what time clients return: this measures and decides nothing."""

from __future__ import annotations

from oakkeel.admission.sliding_window import SlidingWindow
from oakkeel.units import SECOND

WINDOW_STEP = 2 * SECOND


class ClientReturns:
    """Times between two requests of one client, over the last seconds."""

    __slots__ = ("gap_step", "gap_steps", "gaps", "last_seen", "max_clients")

    def __init__(self, gap_step: int, gap_steps: int, max_clients: int) -> None:
        """Start with no client seen; gaps are told apart by doubled steps, from `gap_step` nanoseconds on."""
        self.gap_step, self.gap_steps, self.max_clients = gap_step, gap_steps, max_clients
        self.last_seen: dict[int, int] = {}  # the latest last
        self.gaps = [SlidingWindow(WINDOW_STEP) for _ in range(gap_steps + 1)]

    def seen(self, now: int, client: int) -> None:
        """Count the time since a client was last seen."""
        gap = now - self.last_seen.pop(client, -(self.gap_step << self.gap_steps))
        self.last_seen[client] = now
        self.gaps[min(self.gap_steps, (gap // self.gap_step).bit_length())].add(now, gap)
        if len(self.last_seen) > self.max_clients:
            del self.last_seen[next(iter(self.last_seen))]

    def totals(self, now: int) -> list[tuple[float, int]]:
        """Return the sum and the count of the times of each step."""
        return [window.total(now) for window in self.gaps]
