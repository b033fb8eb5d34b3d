"""The agent's part of disruption permits: the permits that it holds, and its heartbeats. Free of I/O.

The validity of a permit counts from the sending of the heartbeat, by the agent's own clock, so a delay of the
response shortens the validity. A permit is never used if an earlier permit of its target had a higher
fencing token.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

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
    """A permit of this agent for one target."""

    target: str
    order_id: str
    fencing_token: int
    # The permit may be started before this instant of the agent's monotonic clock, in nanoseconds; 0: never.
    start_before: int
    started: bool = False
    restored: bool = False  # the target is back in service
    unused: bool = False  # the agent will not start the permit
    notify_before: int = 0  # the first drain request must be sent before this instant
    only_while_down: bool = False  # the permit may be started only while the target has no process


class StoredPermit(NamedTuple):
    """The stored state of the permit of one target."""

    target: str
    fencing_token: int  # the highest token seen
    order_id: str
    started: bool


class PermitHolder:
    """The permits of one host's agent.

    The permits of the targets in `changed_targets` must be stored before the agent acts on them.
    """

    def __init__(self, host: str, targets: tuple[str, ...], incarnation: int) -> None:
        """`incarnation` distinguishes this process of the agent from its other processes."""
        self.host = host
        self.targets = targets
        self.incarnation = incarnation
        self.epoch = ""  # ID of the cluster; empty until a response was accepted
        self.sequence = 0  # number of the last heartbeat
        self.last_index = 0  # index of the last accepted response
        self.timestamp = (0, 0)  # timestamp of the last response, which the next heartbeat echoes
        self.is_synchronized = False  # whether a response was accepted since the start
        self.permits: dict[str, HeldPermit] = {}  # by target
        self.highest_tokens: dict[str, int] = {}  # by target: the highest token seen
        self.generations: dict[str, int] = {}  # by target: highest reserved generation
        # by ID: the orders that are open on this host or have a permit
        self.orders: dict[str, AssignedOrder] = {}
        self.changed_targets: set[str] = set()  # targets whose permit or generation limit has to be stored
        self.rejection_reason = ""  # of the last response; empty if the response was accepted

    def restore(self, epoch: str, permits: list[StoredPermit], generations: dict[str, int]) -> None:
        """Restore the stored state; only started permits are still valid."""
        self.epoch = epoch
        self.generations = dict(generations)
        for stored_permit in permits:
            self.highest_tokens[stored_permit.target] = stored_permit.fencing_token
            if stored_permit.started:
                self.permits[stored_permit.target] = HeldPermit(
                    stored_permit.target, stored_permit.order_id, stored_permit.fencing_token, 0, True
                )

    def build_heartbeat(
        self,
        now: int,
        serving: dict[str, bool],
        task_results: list[TaskResult],
        generation_limits: dict[str, int],
        in_flight: dict[str, str] | None = None,
    ) -> Heartbeat:
        """Build the next heartbeat. `in_flight` describes the requests in flight of draining targets."""
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
        """Apply a response to a heartbeat that was sent at `sent_at`. Returns whether it is accepted.

        A response of another cluster, or of an earlier state than the last accepted one, is rejected.
        """
        # A rejected response's timestamp is kept too: its echo shows the leader that this agent is alive.
        self.timestamp = response.timestamp
        self.rejection_reason = self._find_rejection(response)
        if self.rejection_reason:
            return False
        self.epoch = response.epoch
        self.last_index = response.index
        self.is_synchronized = True
        self.changed_targets |= {
            target for target, limit in response.generations.items() if self.generations.get(target) != limit
        }
        self.generations.update(response.generations)
        self.orders = {order.id: order for order in response.orders}
        granted = {permit.target: permit for permit in response.permits if permit.target in self.targets}
        self._drop_permits(granted)
        for permit in granted.values():
            if permit.fencing_token >= self.highest_tokens.get(permit.target, 0):
                self._update_permit(permit, sent_at)
        return True

    def _find_rejection(self, response: HeartbeatResponse) -> str:
        """Return why a response is rejected; empty if it is accepted."""
        if self.epoch and response.epoch != self.epoch:
            return f"received a response of cluster {response.epoch}, expected {self.epoch}"
        if response.index < self.last_index:
            return f"received a response of index {response.index}, which is before {self.last_index}"
        return ""

    def _drop_permits(self, granted: dict[str, GrantedPermit]) -> None:
        """Delete the permits that were released or replaced. They may not be started any more."""
        ended_targets = [
            target
            for target, held_permit in self.permits.items()
            if target not in granted or granted[target].fencing_token > held_permit.fencing_token
        ]
        for target in ended_targets:
            del self.permits[target]
            self.changed_targets.add(target)

    def _update_permit(self, permit: GrantedPermit, sent_at: int) -> None:
        held_permit = self.permits.get(permit.target)
        if held_permit is None:
            held_permit = HeldPermit(permit.target, permit.order_id, permit.fencing_token, 0, permit.started)
            self.permits[permit.target] = held_permit
            self.highest_tokens[permit.target] = permit.fencing_token
            self.changed_targets.add(permit.target)
        order = self.orders.get(permit.order_id)
        held_permit.only_while_down = permit.only_while_down
        held_permit.start_before = 0 if permit.started else sent_at + permit.valid_for
        held_permit.notify_before = max(held_permit.notify_before, held_permit.start_before)
        if order is None or order.halted_by:
            held_permit.start_before = 0
            held_permit.unused = not held_permit.started

    def may_start(self, now: int, target: str, order_id: str, may_have_process: bool = True) -> bool:
        """Whether a target may be taken out of service now: the rule of permit validity.

        `now` is by the agent's monotonic clock. A permit is started before the leader can consider it
        expired, or not at all, so that two targets never use the same room in a budget.
        """
        held_permit = self.permits.get(target)
        if held_permit is None or held_permit.order_id != order_id or held_permit.unused:
            return False
        if held_permit.started:
            return True
        if held_permit.only_while_down and may_have_process:
            return False
        return now < held_permit.start_before

    def may_notify(self, now: int, target: str, order_id: str) -> bool:
        """Whether the target may still be sent its first drain request under a started permit."""
        held_permit = self.permits.get(target)
        return bool(
            held_permit
            and held_permit.started
            and held_permit.order_id == order_id
            and now < held_permit.notify_before
        )

    def start(self, now: int, target: str) -> None:
        """Start a permit. The start must be stored before the target is taken out."""
        held_permit = self.permits[target]
        if not held_permit.started:
            held_permit.started = True
            self.changed_targets.add(target)

    def mark_restored(self, target: str) -> None:
        """Record that the target is back in service and that no open order names the target."""
        held_permit = self.permits.get(target)
        if held_permit and held_permit.started:
            held_permit.restored = True

    def mark_unavailable(self, target: str) -> None:
        """Record that the target was taken out again before the leader released the permit."""
        if held_permit := self.permits.get(target):
            held_permit.restored = False
