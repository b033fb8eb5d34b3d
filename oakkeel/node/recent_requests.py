"""The IDs of requests that may have run and must not run again, for a while after their end."""

from __future__ import annotations

from oakkeel.request import NodeRequest


class RecentRequestIds:
    """A bounded number of request IDs, of which the oldest are dropped first.

    A dispatcher gives each attempt a new ID. One that sends an ID again, after its connection has ended, must
    not let a request that runs at most once run a second time.
    """

    def __init__(self, capacity: int) -> None:
        """Keep up to `capacity` IDs."""
        self._capacity = capacity
        self._ids: dict[bytes, None] = {}  # the oldest first

    def add(self, request: NodeRequest) -> None:
        """Keep the ID of a request that has ended, if it may have run and runs at most once."""
        if not request.may_have_run or not request.request_class.at_most_once:
            return
        self._ids[request.request_id] = None
        if len(self._ids) > self._capacity:
            del self._ids[next(iter(self._ids))]

    def __contains__(self, request_id: bytes) -> bool:
        """Return whether a request with this ID may have run and must not run again."""
        return request_id in self._ids
