"""A simulated node: the real admission controller on a simulated machine."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum

from oakkeel.admission import AdmissionController
from oakkeel.admission.types import Gauges, NodeLimits, Outcome, Request
from oakkeel.emulator.clock import Clock
from oakkeel.emulator.invariants import RuleAudit
from oakkeel.emulator.machines import Machine, Task


class ResponseStatus(StrEnum):
    """The response of a node; the values are keys of the JSON record."""

    COMPLETED = "completed"
    REJECTED = "denied"  # it never ran
    FAILED = "terminated"  # it may have run


ResponseCallback = Callable[[ResponseStatus, int], None]  # and nanoseconds to stay away (retry after)


class OpenRequest:
    """One request on a node, with its task on the machine."""

    __slots__ = ("arrived_at", "cost", "request", "request_id", "respond", "responded", "task")

    def __init__(
        self, request_id: int, request: Request, cost: float, respond: ResponseCallback, arrived_at: int
    ) -> None:
        """`cost`: nanoseconds of a core; `arrived_at`: when it reached the machine, before it was read."""
        self.request_id = request_id
        self.request = request
        self.cost = cost
        self.respond = respond
        self.arrived_at = arrived_at
        self.responded = False
        self.task: Task | None = None


class SimulatedNode:
    """The `Host` of an `AdmissionController` in simulated time."""

    def __init__(
        self,
        name: str,
        clock: Clock,
        limits: NodeLimits,
        seed: int,
        audit: RuleAudit,
        read_cost: int = 200_000,
    ) -> None:
        """`read_cost`: nanoseconds of a core to read one request."""
        self.name = name
        self.clock = clock
        self.audit = audit
        self.read_cost = read_cost
        self.limits = limits
        self.machine = Machine(clock, limits.cores)
        self.open_requests: dict[Request, OpenRequest] = {}
        self.running = 0
        self.alive = True
        self.healthy = True
        self.scheduling_due = False
        self.last_gauges = (0.0, clock.now)  # busy time of the machine, and when it was read
        self.admission = AdmissionController(self, limits, seed, clock.now)

    def __getattr__(self, name: str) -> Callable[..., None]:
        """Ignore the calls of `Host` that mean nothing here: connections, duplicates, load reports."""
        if name.startswith("_") or name in ("admission", "alive"):
            raise AttributeError(name)
        return lambda *arguments: None

    # What the network brings.

    def receive(self, request_id: int, request: Request, cost: float, respond: ResponseCallback) -> None:
        """Take a request that reached the machine; it has to be read before it is admitted."""
        if not self.alive:
            return
        opened = OpenRequest(request_id, request, cost, respond, self.clock.now)
        self.machine.start(self.read_cost, lambda: self._admit(opened))

    def _admit(self, opened: OpenRequest) -> None:
        opened.request.queueing_delay += self.clock.now - opened.arrived_at
        self.open_requests[opened.request] = opened
        self.admission.arrive(self.clock.now, opened.request)
        self._schedule_soon()

    def client_disconnected(self, request: Request) -> None:
        """Take notice that the client of a request is gone."""
        if self.alive and (opened := self.open_requests.get(request)) and not opened.responded:
            opened.responded = True
            self.admission.client_disconnected(self.clock.now, request)
            self._schedule_soon()

    def drain(self, remaining: int) -> None:
        """Start to drain; the node ends in `remaining` nanoseconds."""
        self.audit.drain_started(self.name, self.clock.now + self.limits.drain_grace)
        self.admission.drain(self.clock.now, remaining)

    def crash(self) -> None:
        """End at once: open requests are lost and get no response."""
        self.alive = False
        for opened in self.open_requests.values():
            self.audit.excused(opened.request_id, self.clock.now)
            if opened.task:
                self.machine.stop(opened.task)

    # Host.

    def run(self, request: Request) -> None:
        """Start a request on the cores."""
        opened = self.open_requests[request]
        self.audit.run_started(opened.request_id, opened.arrived_at)
        opened.task = self.machine.start(opened.cost, lambda: self._complete(opened))
        self.running += 1
        warm_share = self.machine.speed_factor if self.limits.starts_cold else 1.0
        concurrency = self.running / self.limits.cores
        if concurrency > 1 + (self.limits.overload_multiple - 1) * warm_share:
            self.audit.node_overloaded(self.name, f"{concurrency:.1f} runs a core")

    def _complete(self, opened: OpenRequest) -> None:
        if not self.alive:
            return
        self.running -= 1
        self.audit.took_effect(opened.request_id)
        self.admission.run_finished(self.clock.now, opened.request, Outcome.COMPLETED)
        self._respond(opened, ResponseStatus.COMPLETED, 0)
        self._close(opened)
        self._schedule_soon()

    def cancel(self, request: Request) -> None:
        """Stop a running request; the controller hears of its end in an event of its own."""
        opened = self.open_requests[request]
        if opened.task and opened.task.active:
            self.machine.stop(opened.task)
            self.running -= 1
            self.clock.call_after(0, self._report_cancelled, opened)

    def _report_cancelled(self, opened: OpenRequest) -> None:
        if self.alive:
            self.admission.run_finished(self.clock.now, opened.request, Outcome.CANCELLED)
            self._close(opened)
            self._schedule_soon()

    def reject(self, request: Request, final: bool, retry_after: int) -> None:
        """Respond that the request is rejected."""
        opened = self.open_requests[request]
        self._respond(opened, ResponseStatus.REJECTED, retry_after)
        if opened.task is None:
            self._close(opened)

    def fail(self, request: Request) -> None:
        """Respond that the request failed after it had begun."""
        self._respond(self.open_requests[request], ResponseStatus.FAILED, 0)

    def _respond(self, opened: OpenRequest, status: ResponseStatus, retry_after: int) -> None:
        if not opened.responded:
            opened.responded = True
            opened.respond(status, retry_after)

    def _close(self, opened: OpenRequest) -> None:
        self.open_requests.pop(opened.request, None)

    def set_timer(self, token: int, at: int) -> None:
        """Call the controller's `timer_expired` with the token at a time."""
        self.clock.call_at(at, self._on_timer, token)

    def _on_timer(self, token: int) -> None:
        if not self.alive:
            return
        busy_time, read_at = self.last_gauges
        utilization = self.machine.utilization(busy_time, self.clock.now - read_at)
        if token == 0:
            self.last_gauges = self.machine.busy_time, self.clock.now
        gauges = Gauges(min(1.0, utilization), float(self.machine.task_count), 0.1, 1.0)
        self.admission.timer_expired(self.clock.now, token, gauges)
        self._schedule_soon()

    def _schedule_soon(self) -> None:
        """Run the scheduler once after all that happens at this time."""
        if not self.scheduling_due:
            self.scheduling_due = True
            self.clock.call_after(0, self._schedule)

    def _schedule(self) -> None:
        self.scheduling_due = False
        if self.alive:
            self.admission.schedule(self.clock.now)

    def set_health(self, good: bool, stored: bool) -> None:
        """Publish whether dispatchers may send requests here."""
        self.healthy = good
