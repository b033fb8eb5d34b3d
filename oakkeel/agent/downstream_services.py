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
        self.failed = dict.fromkeys(names, 0)
        self.was_down: dict[str, int] = {}  # fences under which a service was seen down

    def seen(self, name: str, up: bool) -> None:
        self.failed[name] = 0 if up else self.failed[name] + 1
        if up or self.failed[name] >= LOST:
            self.up[name] = up

    def advance(self, now: int) -> None:
        for name, up in self.up.items():
            held = self.permit_holder.permits.get(name)
            if held is None:
                continue
            order = self.permit_holder.orders.get(held.order_id)
            if not held.started and self.permit_holder.may_start(now, name, held.order_id, up):
                self.permit_holder.start(now, name)
            if held.started and not up:
                self.was_down[name] = held.fencing_token
            over = self.was_down.get(name) == held.fencing_token or order is None or bool(order.cancelled_by)
            if held.started and up and over:
                self.permit_holder.mark_restored(name)
            else:
                self.permit_holder.mark_unavailable(name)

    def ended(self) -> list[TaskResult]:
        """Orders on services that are over: it is down."""
        return [
            TaskResult(order.id, thing, "done", "")
            for order in self.permit_holder.orders.values()
            for thing, _, state in order.tasks
            if state == "out"
            and thing in self.up
            and not self.up[thing]
            and (held := self.permit_holder.permits.get(thing))
            and held.order_id == order.id
        ]
