"""The services below that an agent watches: what it tells of them, and how a place on one is used.

A service is not ours to stop or start. A place on one is a leave for the operator to take it down; it is over
once the service was down and is up again, or the order was cancelled while it is up. Free of I/O.
"""

from __future__ import annotations

from oakkeel.disruption.holder import PermitHolder
from oakkeel.disruption.messages import TaskResult

LOST = 2  # looks in a row that must fail before it counts as down


class DownstreamServices:
    def __init__(self, permit_holder: PermitHolder, names: tuple[str, ...]) -> None:
        self.permit_holder = permit_holder
        self.up = dict.fromkeys(names, False)  # until it is seen
        self.failed_probes = dict.fromkeys(names, 0)
        self.seen_down: dict[str, int] = {}  # fences under which a service was seen down

    def observe(self, name: str, up: bool) -> None:
        self.failed_probes[name] = 0 if up else self.failed_probes[name] + 1
        if up or self.failed_probes[name] >= LOST:
            self.up[name] = up

    def advance(self, now: int) -> None:
        for name, up in self.up.items():
            held = self.permit_holder.places.get(name)
            if held is None:
                continue
            order = self.permit_holder.orders.get(held.ident)
            if not held.begun and self.permit_holder.may_begin(now, name, held.ident, up):
                self.permit_holder.begin(now, name)
            if held.begun and not up:
                self.seen_down[name] = held.fence
            over = self.seen_down.get(name) == held.fence or order is None or bool(order.cancelled)
            if held.begun and up and over:
                self.permit_holder.is_back(name)
            else:
                self.permit_holder.is_out(name)

    def results(self) -> list[TaskResult]:
        """Orders on services that are over: it is down."""
        return [
            TaskResult(order.ident, thing, "done", "")
            for order in self.permit_holder.orders.values()
            for thing, _, state in order.parts
            if state == "out"
            and thing in self.up
            and not self.up[thing]
            and (held := self.permit_holder.places.get(thing))
            and held.ident == order.ident
        ]
