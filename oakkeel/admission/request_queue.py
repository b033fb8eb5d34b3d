"""The queue of admitted requests: the highest rank first, and equal ranks in order of arrival."""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count

from oakkeel.admission.types import Request, RequestState


class RequestQueue:
    """Requests that may start; a request that is no longer QUEUED is dropped once it reaches the head."""

    __slots__ = ("_arrival_numbers", "_heap")

    def __init__(self) -> None:
        """Start empty."""
        self._heap: list[tuple[float, int, Request]] = []  # by negative rank, then by order of arrival
        self._arrival_numbers = count()

    def push(self, request: Request) -> None:
        """Add a request."""
        heappush(self._heap, (-request.rank, next(self._arrival_numbers), request))

    def first(self) -> Request | None:
        """Return the queued request of the highest rank, or None."""
        while self._heap:
            _, _, request = self._heap[0]
            if request.state is RequestState.QUEUED:
                return request
            heappop(self._heap)
        return None

    def pop(self) -> None:
        """Remove the request that `first` returned."""
        heappop(self._heap)
