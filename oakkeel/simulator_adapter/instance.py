"""A simulated instance: maps request IDs of the protocol to requests, and decisions to action records."""

from __future__ import annotations

from oakkeel.admission import AdmissionController
from oakkeel.admission.types import Gauges, Idempotency, Outcome, Request
from oakkeel.node_limits import LimitsError, Settings, read_limits
from oakkeel.simulator_adapter import wire
from oakkeel.simulator_adapter.wire import ActionCode, Arrival, WireError

OUTCOMES = {
    200: Outcome.COMPLETED,
    502: Outcome.ERROR,
    429: Outcome.REJECTED,
    408: Outcome.TIMED_OUT,
    521: Outcome.CONNECT_FAILED,
    520: Outcome.RESET,
    444: Outcome.CANCELLED,
    409: Outcome.NEVER_STARTED,
}


class Instance:
    """The `Host` of one `AdmissionController`; request IDs are never forgotten, as events may come late."""

    def __init__(self, number: int, seed: int, settings: str, now: int, reply: wire.Reply) -> None:
        """Read the settings and start the controller. Raises `WireError` for malformed settings."""
        self.number = number
        self.reply = reply
        parsed = Settings.from_text(settings)
        try:
            self.limits = read_limits(parsed)
        except LimitsError as error:
            raise WireError(str(error)) from error
        self.gauge_names = parsed.gauges()
        self.gauges = Gauges()
        self.requests: dict[int, Request] = {}
        self.request_ids: dict[Request, int] = {}
        self.admission = AdmissionController(self, self.limits, seed, now)

    def find_request(self, request_id: int) -> Request:
        """Return the request with this ID."""
        request = self.requests.get(request_id)
        if request is None:
            raise WireError(f"unknown request {request_id} on instance {self.number}")
        return request

    def arrive(self, now: int, arrival: Arrival) -> None:
        """Pass an arriving request to the controller."""
        limits = self.limits
        request_id = arrival.request_id
        if arrival.class_index >= len(limits.request_classes):
            raise WireError(
                f"request {request_id} on instance {self.number}: unknown class {arrival.class_index}"
            )
        if request_id in self.requests:
            raise WireError(f"request {request_id} on instance {self.number}: the ID was used before")
        request_class = limits.request_classes[arrival.class_index]
        has_tenant = arrival.tenant_index < len(limits.tenants)
        request = Request(
            request_class=request_class,
            tenant=limits.tenants[arrival.tenant_index] if has_tenant else None,
            client=arrival.client,
            memory_kb=arrival.memory_kb,
            retry_attempt=bool(arrival.flags & wire.RETRY_FLAG),
            remaining_time=arrival.remaining_time,
            queueing_delay=arrival.queueing_delay,
            has_key=bool(arrival.key) or request_class.idempotency is Idempotency.IDEMPOTENCY_KEY,
            is_duplicate=bool(arrival.earlier_request),
        )
        self.requests[request_id] = request
        self.request_ids[request] = request_id
        self.admission.arrive(now, request)

    def update_gauges(self, values: tuple[float, ...]) -> Gauges:
        """Store the gauge values of a timer record, and return all gauges."""
        for name, value in zip(self.gauge_names, values, strict=False):
            if name:
                setattr(self.gauges, name, value)
        return self.gauges

    def _add_action(self, code: ActionCode, request: Request) -> None:
        """Add an action that names a request and has no further field."""
        self.reply.records.append(wire.ACTION_REQUEST.pack(code, self.number, self.request_ids[request]))

    def _add_action_with_time(self, code: ActionCode, number: int, time: int) -> None:
        """Add an action that names a request or a timer, and a time."""
        self.reply.records.append(wire.ACTION_REQUEST_TIME.pack(code, self.number, number, time))

    def run(self, request: Request) -> None:
        """Start the request on the cores."""
        self._add_action(ActionCode.RUN, request)

    def reject(self, request: Request, is_final: bool, retry_after: int) -> None:
        """Answer that the request never ran; `retry_after` is the delay before a retry, in nanoseconds."""
        self.reply.records.append(
            wire.ACTION_REJECT.pack(
                ActionCode.REJECT, self.number, self.request_ids[request], is_final, retry_after
            )
        )

    def fail(self, request: Request) -> None:
        """Answer that the request failed."""
        self._add_action(ActionCode.FAIL, request)

    def cancel(self, request: Request) -> None:
        """Stop the run of the request."""
        self._add_action(ActionCode.CANCEL, request)

    def call(self, request: Request, call_end: int) -> None:
        """Make the downstream call of the request, with the deadline `call_end`."""
        self._add_action_with_time(ActionCode.CALL, self.request_ids[request], call_end)

    def skip_call(self, request: Request) -> None:
        """Let the run of the request continue without its call."""
        self._add_action(ActionCode.SKIP_CALL, request)

    def coalesce(self, request: Request) -> None:
        """Let the request wait for the result of the request that it duplicates."""
        self._add_action(ActionCode.COALESCE, request)

    def retain_key(self, request: Request, duration: int) -> None:
        """Treat requests with the same key as duplicates for `duration` nanoseconds."""
        self._add_action_with_time(ActionCode.RETAIN_KEY, self.request_ids[request], duration)

    def release_key(self, request: Request) -> None:
        """Drop the key of the request."""
        self._add_action(ActionCode.RELEASE_KEY, request)

    def set_timer(self, token: int, due_at: int) -> None:
        """Ask for a timer record at the time `due_at`."""
        self._add_action_with_time(ActionCode.SET_TIMER, token, due_at)

    def set_health(self, is_healthy: bool, is_stored: bool) -> None:
        """Set the answer to health checks."""
        self.reply.records.append(
            wire.ACTION_HEALTH.pack(ActionCode.SET_HEALTH, self.number, is_stored, is_healthy)
        )

    def report_load(self, value: float) -> None:
        """Send this load report to clients."""
        self.reply.records.append(wire.ACTION_VALUE.pack(ActionCode.REPORT_LOAD, self.number, value))

    def set_idle_timeout(self, timeout: int) -> None:
        """Close connections once they are idle for `timeout` nanoseconds."""
        self.reply.records.append(wire.ACTION_TIME.pack(ActionCode.CLOSE_IDLE, self.number, timeout))

    def note(self, text: str) -> None:
        """Add a remark to the reply."""
        self.reply.add_text(ActionCode.NOTE, self.number, text)
