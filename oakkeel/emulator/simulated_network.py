"""The network between simulated hosts, with link faults."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVarTuple

from oakkeel.emulator.faults import Fault
from oakkeel.emulator.world import World
from oakkeel.raft.messages import Envelope
from oakkeel.units import MS, SECOND

Arguments = TypeVarTuple("Arguments")

LOCAL_DELAY_NS = 10_000  # between processes on one host
MIN_DELAY_NS = 100_000
MAX_DELAY_NS = 2 * MS
MAX_SLOW_LINK_DELAY_NS = 2 * SECOND
MAX_DUPLICATE_DELAY_NS = 20 * MS  # between two copies of a message
MIN_LOSS_RATIO = 0.2
LOSS_RATIO_RANGE = 0.6  # a fault of full intensity adds this to the minimum


class SimulatedNetwork:
    """Delivers messages; a link fault can delay, duplicate or drop them."""

    def __init__(self, world: World) -> None:
        """Create a network without link faults."""
        self.world = world
        self.receivers: dict[str, Callable[[Envelope], None]] = {}  # handlers of the replicas by host
        self.faults: dict[tuple[str, str], list[Fault]] = {}  # by source and recipient

    def add_fault(self, source: str, recipient: str, fault: Fault) -> None:
        """Add a fault to one link for the duration of the fault."""
        self.faults.setdefault((source, recipient), []).append(fault)

    def has_faults(self) -> bool:
        """Whether any link has an active fault."""
        return any(self._active_faults(*link) for link in self.faults)

    def _active_faults(self, source: str, recipient: str) -> list[Fault]:
        now = self.world.clock.now
        return [
            fault for fault in self.faults.get((source, recipient), ()) if now < fault.at + fault.duration
        ]

    def deliver(
        self, source: str, recipient: str, action: Callable[[*Arguments], None], *arguments: *Arguments
    ) -> None:
        """Call `action` on the recipient after the delay of the link, unless the message is lost."""
        clock = self.world.clock
        random = self.world.random
        if source == recipient:
            clock.call_after(LOCAL_DELAY_NS, action, *arguments)
            return
        delay = random.randrange(MIN_DELAY_NS, MAX_DELAY_NS)
        copies = 1
        for fault in self._active_faults(source, recipient):
            if fault.kind in ("cut", "cut one way", "part"):
                return
            if fault.kind == "loss" and random.random() < MIN_LOSS_RATIO + LOSS_RATIO_RANGE * fault.intensity:
                return
            if fault.kind == "slow links":
                delay += int(random.random() * fault.intensity * MAX_SLOW_LINK_DELAY_NS)
            if fault.kind == "double":
                copies = 2
        for _ in range(copies):
            clock.call_after(delay, action, *arguments)
            delay += random.randrange(MAX_DUPLICATE_DELAY_NS)

    def send(self, source: str, recipient: str, envelope: Envelope) -> None:
        """Send a message between replicas."""
        if receive := self.receivers.get(recipient):
            self.deliver(source, recipient, receive, envelope)
