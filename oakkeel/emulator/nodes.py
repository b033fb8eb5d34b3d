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
    REJECTED = "denied"  # the request never ran
    FAILED = "terminated"  # the request may have run


ResponseCallback = Callable[[ResponseStatus, int], None]  # second argument: retry after, in nanoseconds


class OpenRequest:
    """One request on a node, with its task on the machine."""

    __slots__ = ("arrived_at", "cost", "request", "request_id", "respond", "responded", "task")

    def __init__(
        self, request_id: int, request: Request, cost: float, respond: ResponseCallback, arrived_at: int
    ) -> None:
        """`cost`: nanoseconds of a core; `arrived_at`: when the request reached the machine, still unread."""
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
        self.running_count = 0
        self.alive = True
        self.healthy = True
        self.is_schedule_pending = False
        self.last_gauges = (0.0, clock.now)  # busy time of the machine, and the time at which it was read
        self.admission = AdmissionController(self, limits, seed, clock.now)

    def __getattr__(self, name: str) -> Callable[..., None]:
        """Ignore the methods of `Host` that are not simulated: connections, duplicates, load reports."""
        if name.startswith("_") or name in ("admission", "alive"):
            raise AttributeError(name)
        return lambda *arguments: None

    # Events from the network.

    def receive(self, request_id: int, request: Request, cost: float, respond: ResponseCallback) -> None:
        """Receive a request; reading it takes processor time, and then it is passed to admission."""
        if not self.alive:
            return
        open_request = OpenRequest(request_id, request, cost, respond, self.clock.now)
        self.machine.start(self.read_cost, lambda: self._admit(open_request))

    def _admit(self, open_request: OpenRequest) -> None:
        open_request.request.queueing_delay += self.clock.now - open_request.arrived_at
        self.open_requests[open_request.request] = open_request
        self.admission.arrive(self.clock.now, open_request.request)
        self._request_schedule()

    def client_disconnected(self, request: Request) -> None:
        """Report to admission that the client of a request disconnected."""
        if self.alive and (open_request := self.open_requests.get(request)) and not open_request.responded:
            open_request.responded = True
            self.admission.client_disconnected(self.clock.now, request)
            self._request_schedule()

    def drain(self, time_until_exit: int) -> None:
        """Start to drain; the node exits in `time_until_exit` nanoseconds."""
        self.audit.drain_started(self.name, self.clock.now + self.limits.drain_grace)
        self.admission.drain(self.clock.now, time_until_exit)

    def crash(self) -> None:
        """Crash: open requests are lost and get no response."""
        self.alive = False
        for open_request in self.open_requests.values():
            self.audit.waive_response(open_request.request_id, self.clock.now)
            if open_request.task:
                self.machine.stop(open_request.task)

    # Methods of `Host`.

    def run(self, request: Request) -> None:
        """Start a request on the cores."""
        open_request = self.open_requests[request]
        self.audit.run_started(open_request.request_id, open_request.arrived_at)
        open_request.task = self.machine.start(open_request.cost, lambda: self._complete(open_request))
        self.running_count += 1
        warm_share = self.machine.speed_factor if self.limits.starts_cold else 1.0
        concurrency = self.running_count / self.limits.cores
        if concurrency > 1 + (self.limits.overload_multiple - 1) * warm_share:
            self.audit.node_overloaded(self.name, f"{concurrency:.1f} runs per core")

    def _complete(self, open_request: OpenRequest) -> None:
        if not self.alive:
            return
        self.running_count -= 1
        self.audit.run_completed(open_request.request_id)
        self.admission.run_finished(self.clock.now, open_request.request, Outcome.COMPLETED)
        self._respond(open_request, ResponseStatus.COMPLETED, 0)
        self._close(open_request)
        self._request_schedule()

    def cancel(self, request: Request) -> None:
        """Stop a running request; a separate event reports its end to the controller."""
        open_request = self.open_requests[request]
        if open_request.task and open_request.task.active:
            self.machine.stop(open_request.task)
            self.running_count -= 1
            self.clock.call_after(0, self._report_cancelled, open_request)

    def _report_cancelled(self, open_request: OpenRequest) -> None:
        if self.alive:
            self.admission.run_finished(self.clock.now, open_request.request, Outcome.CANCELLED)
            self._close(open_request)
            self._request_schedule()

    def reject(self, request: Request, is_final: bool, retry_after: int) -> None:
        """Respond that the request is rejected."""
        open_request = self.open_requests[request]
        self._respond(open_request, ResponseStatus.REJECTED, retry_after)
        if open_request.task is None:
            self._close(open_request)

    def fail(self, request: Request) -> None:
        """Respond that the request failed after its run had started."""
        self._respond(self.open_requests[request], ResponseStatus.FAILED, 0)

    def _respond(self, open_request: OpenRequest, status: ResponseStatus, retry_after: int) -> None:
        if not open_request.responded:
            open_request.responded = True
            open_request.respond(status, retry_after)

    def _close(self, open_request: OpenRequest) -> None:
        self.open_requests.pop(open_request.request, None)

    def set_timer(self, token: int, due_at: int) -> None:
        """Call the controller's `timer_expired` with `token` at the time `due_at`."""
        self.clock.call_at(due_at, self._on_timer, token)

    def _on_timer(self, token: int) -> None:
        if not self.alive:
            return
        busy_time, read_at = self.last_gauges
        utilization = self.machine.utilization(busy_time, self.clock.now - read_at)
        if token == 0:
            self.last_gauges = self.machine.busy_time, self.clock.now
        gauges = Gauges(min(1.0, utilization), float(self.machine.task_count), 0.1, 1.0)
        self.admission.timer_expired(self.clock.now, token, gauges)
        self._request_schedule()

    def _request_schedule(self) -> None:
        """Run the scheduler once, after all events already scheduled for this time."""
        if not self.is_schedule_pending:
            self.is_schedule_pending = True
            self.clock.call_after(0, self._schedule)

    def _schedule(self) -> None:
        self.is_schedule_pending = False
        if self.alive:
            self.admission.schedule(self.clock.now)

    def set_health(self, is_healthy: bool, is_stored: bool) -> None:
        """Publish whether dispatchers may send requests here."""
        self.healthy = is_healthy
