"""The permit holder, part of an agent: what it may start, under which permit, and what it reports. Free of I/O.

A permit is valid from when it was asked for, by the agent's own clock: whatever delayed the response is taken
off. A fencing token that is lower than one that was seen is never obeyed.
"""

from __future__ import annotations

from dataclasses import dataclass

from oakkeel.disruption.messages import AssignedOrder, Heartbeat, HeartbeatResponse, TargetReport, TaskResult


@dataclass(slots=True, eq=False)
class HeldPermit:
    """A permit that this agent knows."""

    target: str
    order_id: str
    fencing_token: int
    start_before: int  # by the agent's monotonic clock
    started: bool = False
    restored: bool = False  # what was taken out serves again
    unused: bool = False  # it will not be started
    notify_before: int = 0  # no process is told to drain for the first time after that
    only_while_down: bool = False  # it may be started only while no process of the target is there


class PermitHolder:
    """The permits of one host's agent.

    `changed` names the targets whose token or permit is to be stored before anything is done by it.
    """

    def __init__(self, host: str, targets: tuple[str, ...], incarnation: int) -> None:
        """`incarnation` tells this process of the agent from others."""
        self.host, self.targets, self.incarnation = host, targets, incarnation
        self.epoch = ""
        self.sequence = self.last_index = 0
        self.timestamp = (0, 0)
        self.synchronized = False  # a response was accepted since the start
        self.permits: dict[str, HeldPermit] = {}
        self.highest_tokens: dict[str, int] = {}  # by target: the highest token that was seen
        self.generations: dict[str, int] = {}  # by target: may be used up to there
        self.orders: dict[str, AssignedOrder] = {}  # that concern this host and are open, or have a permit
        self.changed: set[str] = set()
        self.rejection_reason = ""  # of the last response, if it was not accepted

    def restore(
        self, epoch: str, rows: list[tuple[str, int, str, bool]], generations: dict[str, int]
    ) -> None:
        """Take up what was stored: target, token, order, and whether it was started; limits of generations."""
        self.epoch, self.generations = epoch, dict(generations)
        for thing, fence, ident, begun in rows:
            self.highest_tokens[thing] = fence
            if begun:
                self.permits[thing] = HeldPermit(thing, ident, fence, 0, True)

    def heartbeat(
        self,
        now: int,
        up: dict[str, bool],
        ended: list[TaskResult],
        reserve: dict[str, int],
        owes: dict[str, str] | None = None,
    ) -> Heartbeat:
        """Return the next heartbeat. `up` tells which targets serve."""
        self.sequence += 1
        things = []
        for thing in self.targets:
            held = self.permits.get(thing)
            told = TargetReport(thing, up.get(thing, False), in_flight=(owes or {}).get(thing, ""))
            if held:
                told.started_token = held.fencing_token if held.started else 0
                told.restored, told.unused_token = held.restored, held.fencing_token if held.unused else 0
            things.append(told)
        wanted = {
            thing: number for thing, number in reserve.items() if number > self.generations.get(thing, 0)
        }
        return Heartbeat(
            self.host,
            self.incarnation,
            self.sequence,
            self.last_index,
            things,
            ended,
            wanted,
            b"",
            self.timestamp,
        )

    def receive_response(self, now: int, sent_at: int, answer: HeartbeatResponse) -> bool:
        """Return whether the response is accepted; one of another cluster, or an older one, is not."""
        self.timestamp = answer.timestamp  # in any case: by that the leader knows that we are alive
        if self.epoch and answer.epoch != self.epoch:
            self.rejection_reason = f"record {answer.epoch} answers in place of {self.epoch}"
            return False
        if answer.index < self.last_index:
            self.rejection_reason = "an older state than was told before"
            return False
        self.epoch, self.last_index, self.synchronized, self.rejection_reason = (
            answer.epoch,
            answer.index,
            True,
            "",
        )
        self.changed |= {
            thing for thing, upto in answer.generations.items() if self.generations.get(thing) != upto
        }
        self.generations.update(answer.generations)
        self.orders = {order.id: order for order in answer.orders}
        told = {place.target: place for place in answer.permits if place.target in self.targets}
        for thing in [
            thing
            for thing, held in self.permits.items()
            if thing not in told or told[thing].fencing_token > held.fencing_token
        ]:
            del self.permits[thing]  # released or expired: nothing may be started by it
            self.changed.add(thing)
        for thing, place in told.items():
            if place.fencing_token < self.highest_tokens.get(thing, 0):
                continue  # an older one than was seen
            held = self.permits.get(thing)
            if held is None:
                held = self.permits[thing] = HeldPermit(
                    thing, place.order_id, place.fencing_token, 0, place.started
                )
                self.highest_tokens[thing] = place.fencing_token
                self.changed.add(thing)
            order = self.orders.get(place.order_id)
            held.only_while_down = place.only_while_down
            held.start_before = 0 if place.started else sent_at + place.valid_for
            held.notify_before = max(held.notify_before, held.start_before)
            if order is None or order.halted_by:
                held.start_before = 0
                held.unused = not held.started
        return True

    def may_start(self, now: int, thing: str, ident: str, runs: bool = True) -> bool:
        """Return whether a target may be taken out for an order; `runs`: for all we know, a process is there."""
        held = self.permits.get(thing)
        return bool(
            held
            and held.order_id == ident
            and not held.unused
            and (held.started or (now < held.start_before and not (held.only_while_down and runs)))
        )

    def may_notify(self, now: int, thing: str, ident: str) -> bool:
        """Return whether the permit was started, and there is still time to tell the target to drain."""
        held = self.permits.get(thing)
        return bool(held and held.started and held.order_id == ident and now < held.notify_before)

    def start(self, now: int, thing: str) -> None:
        """Start a permit: from now on it counts as started, and must be stored before anything is done."""
        held = self.permits[thing]
        if not held.started:
            held.started = True
            self.changed.add(thing)

    def mark_restored(self, thing: str) -> None:
        """Note that what was taken out serves again, and no open order is for it."""
        held = self.permits.get(thing)
        if held and held.started:
            held.restored = True

    def mark_unavailable(self, thing: str) -> None:
        """Note that it was taken out again before the leader knew that it was back."""
        if held := self.permits.get(thing):
            held.restored = False
