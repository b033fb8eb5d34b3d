"""What an agent does with what the record says: orders taken up, places used, what is told back. Free of I/O.

It stands between `PermitHolder`, which knows places, and `OrderRegistry` and `Supervisor`, which know instances.
"""

from __future__ import annotations

from oakkeel.agent.downstream_services import DownstreamServices
from oakkeel.agent.instances import Goal, Instance, Phase
from oakkeel.agent.orders import Order, OrderRegistry, OrderRejectedError, TaskState, Verb
from oakkeel.agent.supervisor import Supervisor
from oakkeel.control.messages import NodeStatus
from oakkeel.disruption.holder import PermitHolder
from oakkeel.disruption.messages import AssignedOrder, Heartbeat, HeartbeatResponse, TaskResult
from oakkeel.rollout.assignments import VersionAssignments
from oakkeel.rollout.gates import Samples
from oakkeel.rollout.messages import TargetStatus
from oakkeel.rollout.sequential import Sums

HOW = {
    TaskState.DONE: "done",
    TaskState.FAILED: "failed",
    TaskState.REFUSED: "refused",
    TaskState.CANCELLED: "cancelled",
    TaskState.SUPERSEDED: "failed",
    TaskState.EXPIRED: "expired",
}
OPEN = ("waiting", "granted", "out")


class Reconciler:
    def __init__(
        self,
        supervision: Supervisor,
        orders: OrderRegistry,
        permit_holder: PermitHolder,
        block: int = 64,
        services: tuple[str, ...] = (),
    ) -> None:
        self.supervision, self.orders, self.permit_holder, self.block = (
            supervision,
            orders,
            permit_holder,
            block,
        )
        self.below = DownstreamServices(permit_holder, services)
        self.fitting = VersionAssignments(services)
        self.lost = False  # our own file was: nothing begins before the record was heard
        for instance in supervision.instances:
            instance.limit = permit_holder.generations.get(instance.name, 0)
        self.refused: dict[tuple[str, str], str] = {}  # by order and thing: why it was not taken here

    def lost_file(self) -> None:
        """No generation, order or goal is known: what the record says stands in for them."""
        self.lost = True

    # What is told.

    def poll(self, now: int) -> Heartbeat:
        self.below.advance(now)
        up, reserve = dict(self.below.up), {}
        for instance in self.supervision.instances:
            up[instance.name] = instance.phase is Phase.SERVING
            self._look(instance)
            if not self.lost and instance.generation + self.block // 2 > self.permit_holder.generations.get(
                instance.name, 0
            ):
                reserve[instance.name] = instance.generation + self.block
        owes = {each.name: told for each in self.supervision.instances if (told := _owes(each))}
        poll = self.permit_holder.heartbeat(now, up, self._ended(), reserve, owes)
        if self.fitting.active:
            poll.extension = self.fitting.encode_report(self._runs(now))
        return poll

    def _runs(self, now: int) -> list[TargetStatus]:
        """For whoever drives a release: what runs here, and how it does."""
        runs = [
            TargetStatus(name, "", 0, "serving" if up else "stopped", 0) for name, up in self.below.up.items()
        ]
        for each in self.supervision.instances:
            report = each.report
            run = TargetStatus(
                each.name,
                each.ran,
                each.generation,
                each.phase.value,
                now - each.heard if report is not None else -1,
                each.resting,
                each.died,
            )
            if isinstance(report, NodeStatus):
                run.load = report.load
                if self.fitting.collect_samples and len(report.earned_weight) == 3:
                    run.samples = Samples(
                        Sums(*report.earned_weight),
                        report.rejected,
                        report.failed,
                        report.resident_kb,
                        {group: Sums(*sums) for group, sums in report.latencies.items() if len(sums) == 3},
                    )
            runs.append(run)
        return runs

    def _look(self, instance: Instance) -> None:
        """Whether what was taken out under a place is over."""
        held = self.permit_holder.permits.get(instance.name)
        if held is None or not held.started:
            return
        acts = instance.part is not None and instance.part.state is TaskState.ACTING
        if instance.phase is Phase.SERVING and instance.goal is Goal.UP and not acts:
            self.permit_holder.mark_restored(instance.name)
        else:
            self.permit_holder.mark_unavailable(instance.name)

    def _ended(self) -> list[TaskResult]:
        """What the record takes for open and is over here."""
        told = self.below.ended()
        for order in self.permit_holder.orders.values():
            known = self.orders.orders.get(order.id)
            here = {part.instance.name: part for part in known.parts} if known else {}
            for thing, _, state in order.tasks:
                part = here.get(thing)
                if state not in OPEN or thing in self.below.up:
                    continue
                if part is not None and not part.open:
                    told.append(TaskResult(order.id, thing, HOW[part.state], part.why))
                elif why := self.refused.get((order.id, thing)):
                    told.append(TaskResult(order.id, thing, "refused", why))
                elif self._done_before(order, thing):
                    told.append(TaskResult(order.id, thing, "done", ""))
                elif part is None and state == "out" and (order.halted_by or order.remaining <= 0):
                    # Else it would stand for ever: nobody here knows that it was ever begun.
                    told.append(TaskResult(order.id, thing, "failed", "its agent lost its file meanwhile"))
        return told

    def _done_before(self, order: AssignedOrder, thing: str) -> bool:
        """It was carried out here, and our file with it was lost before that was told."""
        held, instance = self.permit_holder.permits.get(thing), self.orders.named.get(thing)
        return bool(
            held
            and held.started
            and held.order_id == order.id
            and order.verb in ("drain", "stop")
            and instance
            and instance.phase is Phase.STOPPED
            and instance.goal is Goal.DOWN
        )

    # What is heard.

    def answered(self, now: int, sent_at: int, answer: HeartbeatResponse) -> list[Order]:
        """Take what the record says. Returns the orders that are new here, to be kept."""
        first, reserved = not self.permit_holder.synchronized, dict(self.permit_holder.generations)
        if not self.permit_holder.receive_response(now, sent_at, answer):
            return []
        self.fitting.handle_response(answer.extension)
        if self.lost:
            self._learn(now)
        elif first:
            self._go_beyond(reserved)
        self.below.advance(now)
        for instance in self.supervision.instances:
            if instance.name in self.permit_holder.generations:
                instance.limit = self.permit_holder.generations[instance.name]
        taken = []
        for told in answer.orders:
            order = self.orders.orders.get(told.id)
            if order is None and not told.halted_by:
                order = self._take(now, told)
                if order is not None:
                    taken.append(order)
            if order is not None and told.cancelled_by:
                self.orders.call_back(now, order, told.cancelled_by)
            elif (
                order is not None
                and told.halted_by
                and any(part.state is TaskState.WAITING for part in order.parts)
            ):
                self.orders.cancel(now, order.ident, told.halted_by)
        current = {told.id for told in answer.orders}
        for order in [
            part.order
            for part in self.orders.executor
            if part.state is TaskState.WAITING
            and part.order.verb is not Verb.START
            and part.order.ident not in current
        ]:
            self.orders.cancel(now, order.ident, "the record")  # it is over there, and must not stand here
        self.refused = {key: why for key, why in self.refused.items() if key[0] in current}
        return taken

    def _learn(self, now: int) -> None:
        """Our own file is gone: go on after all that may have been used, and leave out what is out."""
        self._go_beyond({})
        for instance in self.supervision.instances:
            held = self.permit_holder.permits.get(instance.name)
            order = self.permit_holder.orders.get(held.order_id) if held else None
            if held and held.started and order and order.verb in ("drain", "stop") and not order.cancelled_by:
                self.supervision.want_down(now, instance, order.verb == "stop", True)
        self.lost = False

    def _go_beyond(self, reserved: dict[str, int]) -> None:
        """Where the record has given out more generations than our file knows of, any of them may be used."""
        for instance in self.supervision.instances:
            told = self.permit_holder.generations.get(instance.name, 0)
            if told > reserved.get(instance.name, 0):
                instance.generation, instance.dirty = max(instance.generation, told), True

    def _take(self, now: int, told: AssignedOrder) -> Order | None:
        asked = tuple(
            (thing, generation)
            for thing, generation, state in told.tasks
            if state in OPEN and (told.id, thing) not in self.refused and thing in self.orders.named
        )
        if not asked or any(
            self.orders.named[thing].generation >= self.orders.named[thing].limit for thing, _ in asked
        ):
            return None  # until it may number what it does
        try:
            order = self.orders.take(now, told.id, told.operator, Verb(told.verb), asked, told.remaining)
        except (OrderRejectedError, ValueError) as error:
            for thing, _ in asked:
                self.refused[told.id, thing] = str(error)
            return None
        if not order.open:
            for part in order.parts:
                self.refused[told.id, part.instance.name] = part.why
            return None
        return order


def _owes(instance: Instance) -> str:
    """What a node that leaves has yet to answer, by its own last report."""
    report = instance.report
    if instance.phase is not Phase.DRAINING or not getattr(report, "owes", 0):
        return ""
    groups = ", ".join(f"{count} {group}" for group, count in sorted(report.owes_by.items()))
    return (
        f"{report.owes}: {report.hold} held, {report.runs} running, {report.calls} at calls"
        f" on {report.connections} connections" + (f"; {groups}" if groups else "")
    )[:200]
