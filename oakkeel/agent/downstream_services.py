"""The services below that an agent watches: what it tells of them, and how a place on one is used.

A service is not ours to stop or start. A place on one is a leave for the operator to take it down; it is over
once the service was down and is up again, or the order was cancelled while it is up. Free of I/O.
"""

from __future__ import annotations

from oakkeel.disruption.holder import PermitHolder
from oakkeel.disruption.messages import TaskResult

LOST = 2  # looks in a row that must fail before it counts as down


class DownstreamServices:
    """The downstream services on one host, by their probes and their permits."""

    def __init__(self, permit_holder: PermitHolder, names: tuple[str, ...]) -> None:
        """Take each service for down until a probe has reached it."""
        self.permit_holder = permit_holder
        self.up = dict.fromkeys(names, False)  # until it is seen
        self.failed_probes = dict.fromkeys(names, 0)
        self.seen_down: dict[str, int] = {}  # fences under which a service was seen down

    def observe(self, name: str, up: bool) -> None:
        """Record the result of a probe; a service is down after `LOST` failures in a row."""
        self.failed_probes[name] = 0 if up else self.failed_probes[name] + 1
        if up or self.failed_probes[name] >= LOST:
            self.up[name] = up

    def advance(self, now: int) -> None:
        """Start permits that may be started and report which of them are over."""
        for name, up in self.up.items():
            permit = self.permit_holder.permits.get(name)
            if permit is None:
                continue
            order = self.permit_holder.orders.get(permit.order_id)
            if not permit.started and self.permit_holder.may_start(now, name, permit.order_id, up):
                self.permit_holder.start(now, name)
            if permit.started and not up:
                self.seen_down[name] = permit.fencing_token
            expired = (
                self.seen_down.get(name) == permit.fencing_token or order is None or bool(order.cancelled_by)
            )
            if permit.started and up and expired:
                self.permit_holder.mark_restored(name)
            else:
                self.permit_holder.mark_unavailable(name)

    def results(self) -> list[TaskResult]:
        """Orders on services that are over: it is down."""
        return [
            TaskResult(order.id, target, "done", "")
            for order in self.permit_holder.orders.values()
            for target, _, state in order.tasks
            if state == "out"
            and target in self.up
            and not self.up[target]
            and (permit := self.permit_holder.permits.get(target))
            and permit.order_id == order.id
        ]
