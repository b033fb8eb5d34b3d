"""What all stand-ins of a soak run know: the requests that were sent, and the record."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from random import Random

from oakkeel.soak.plan import Plan, PlannedRequest
from oakkeel.soak.record import Event, Record


@dataclass(eq=False, slots=True)
class LiveRequest:
    """One attempt of a planned request, and whether anybody still waits for its answer."""

    request_id: bytes
    planned: PlannedRequest
    arrived_at: float  # Unix seconds; the timestamp in the request
    is_copy: bool = False
    is_over: bool = False  # answered, taken back or lost


@dataclass(eq=False)
class World:
    """The requests that came to the machine, by ID, the record, and the random numbers of the stand-ins."""

    plan: Plan
    record: Record
    random: Random
    requests: dict[bytes, LiveRequest] = field(default_factory=dict)

    def add_request(self, planned: PlannedRequest, is_copy: bool = False) -> LiveRequest:
        """Register an attempt under an ID of its own."""
        request_id = b"%016x" % self.random.getrandbits(64)
        request = LiveRequest(request_id, planned, time.time(), is_copy)
        self.requests[request_id] = request
        return request

    def log(self, event: Event) -> None:
        """Record an event."""
        self.record.add(event)
