"""The agent's part of disruption permits: what it may start, and what it reports. Free of I/O.

A permit is valid from when it was asked for, by the agent's own clock: whatever delayed the response is taken
off. A fencing token that is lower than one that was seen is never obeyed.
"""

from __future__ import annotations

from dataclasses import dataclass

from oakkeel.disruption.messages import (
    AssignedOrder,
    GrantedPermit,
    Heartbeat,
    HeartbeatResponse,
    TargetReport,
    TaskResult,
)


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
        """Take up what was stored: rows of target, token, order, whether started; limits of generations."""
        self.epoch, self.generations = epoch, dict(generations)
        for target, token, order_id, started in rows:
            self.highest_tokens[target] = token
            if started:
                self.permits[target] = HeldPermit(target, order_id, token, 0, True)

    def heartbeat(
        self,
        now: int,
        serving: dict[str, bool],
        task_results: list[TaskResult],
        generation_limits: dict[str, int],
        in_flight: dict[str, str] | None = None,
    ) -> Heartbeat:
        """Return the next heartbeat."""
        self.sequence += 1
        return Heartbeat(
            self.host,
            self.incarnation,
            self.sequence,
            self.last_index,
            [
                self._report(target, serving.get(target, False), (in_flight or {}).get(target, ""))
                for target in self.targets
            ],
            task_results,
            {
                target: limit
                for target, limit in generation_limits.items()
                if limit > self.generations.get(target, 0)
            },
            b"",
            self.timestamp,
        )

    def _report(self, target: str, serving: bool, in_flight: str) -> TargetReport:
        report = TargetReport(target, serving, in_flight=in_flight)
        if permit := self.permits.get(target):
            report.started_token = permit.fencing_token if permit.started else 0
            report.restored = permit.restored
            report.unused_token = permit.fencing_token if permit.unused else 0
        return report

    def receive_response(self, now: int, sent_at: int, response: HeartbeatResponse) -> bool:
        """Return whether the response is accepted; one of another cluster, or an older one, is not."""
        self.timestamp = response.timestamp  # in any case: by that the leader knows that we are alive
        if self.epoch and response.epoch != self.epoch:
            self.rejection_reason = f"record {response.epoch} answers in place of {self.epoch}"
            return False
        if response.index < self.last_index:
            self.rejection_reason = "an older state than was told before"
            return False
        self.epoch, self.last_index = response.epoch, response.index
        self.synchronized, self.rejection_reason = True, ""
        self.changed |= {
            target for target, limit in response.generations.items() if self.generations.get(target) != limit
        }
        self.generations.update(response.generations)
        self.orders = {order.id: order for order in response.orders}
        granted = {permit.target: permit for permit in response.permits if permit.target in self.targets}
        self._drop_permits(granted)
        for permit in granted.values():
            if permit.fencing_token >= self.highest_tokens.get(permit.target, 0):
                self._take_permit(permit, sent_at)
        return True

    def _drop_permits(self, granted: dict[str, GrantedPermit]) -> None:
        """Drop what was released or has expired: nothing may be started by it."""
        ended = [
            target
            for target, held in self.permits.items()
            if target not in granted or granted[target].fencing_token > held.fencing_token
        ]
        for target in ended:
            del self.permits[target]
            self.changed.add(target)

    def _take_permit(self, permit: GrantedPermit, sent_at: int) -> None:
        held = self.permits.get(permit.target)
        if held is None:
            held = HeldPermit(permit.target, permit.order_id, permit.fencing_token, 0, permit.started)
            self.permits[permit.target] = held
            self.highest_tokens[permit.target] = permit.fencing_token
            self.changed.add(permit.target)
        order = self.orders.get(permit.order_id)
        held.only_while_down = permit.only_while_down
        held.start_before = 0 if permit.started else sent_at + permit.valid_for
        held.notify_before = max(held.notify_before, held.start_before)
        if order is None or order.halted_by:
            held.start_before = 0
            held.unused = not held.started

    def may_start(self, now: int, target: str, order_id: str, runs: bool = True) -> bool:
        """Return whether a target may be taken out; `runs`: for all we know, a process of it is there."""
        held = self.permits.get(target)
        return bool(
            held
            and held.order_id == order_id
            and not held.unused
            and (held.started or (now < held.start_before and not (held.only_while_down and runs)))
        )

    def may_notify(self, now: int, target: str, order_id: str) -> bool:
        """Return whether the permit was started, and there is still time to tell the target to drain."""
        held = self.permits.get(target)
        return bool(held and held.started and held.order_id == order_id and now < held.notify_before)

    def start(self, now: int, target: str) -> None:
        """Start a permit: from now on it counts as started, and must be stored before anytarget is done."""
        held = self.permits[target]
        if not held.started:
            held.started = True
            self.changed.add(target)

    def mark_restored(self, target: str) -> None:
        """Note that what was taken out serves again, and no open order is for it."""
        held = self.permits.get(target)
        if held and held.started:
            held.restored = True

    def mark_unavailable(self, target: str) -> None:
        """Note that it was taken out again before the leader knew that it was back."""
        if held := self.permits.get(target):
            held.restored = False
