"""One instance on the simulator's wire: IDs become objects, and what is asked of the host becomes actions."""

from __future__ import annotations

from typing import Any

from oakkeel.admission import AdmissionController
from oakkeel.admission.types import Gauges, Idempotency, Outcome, Request
from oakkeel.node_limits import LimitsError, Pairs, read_limits
from oakkeel.simulator_adapter import wire

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
    """The `Host` of one `AdmissionController`; request IDs stay known, so that late events are harmless."""

    def __init__(self, number: int, seed: int, text: str, now: int, reply: wire.Reply) -> None:
        """Read the settings and start the decisions; a `WireError` for settings that lack something."""
        self.number = number
        self.reply = reply
        pairs = Pairs.from_text(text)
        try:
            self.limits = read_limits(pairs)
        except LimitsError as error:
            wire.fail(str(error))
        self.gauge_names = pairs.gauges()
        self.gauges = Gauges()
        self.requests: dict[int, Request] = {}
        self.ids: dict[Request, int] = {}
        self.admission = AdmissionController(self, self.limits, seed, now)

    def request_of(self, request_id: int) -> Request:
        """Return the request with this ID."""
        return self.requests.get(request_id) or wire.fail(
            f"unknown exchange {request_id} on instance {self.number}"
        )

    def incoming(self, now: int, fields: tuple[Any, ...]) -> None:
        """Decide about a request that arrived, given as the fields of its record."""
        _, _, request_id, row, _, _, memory_kb, flags, client, remaining, tenant, delay, key, earlier = fields
        limits = self.limits
        if row >= len(limits.request_classes) or request_id in self.requests:
            wire.fail(
                f"exchange {request_id} on instance {self.number}: id used before, or group {row} unknown"
            )
        request_class = limits.request_classes[row]
        request = Request(
            request_class=request_class,
            tenant=limits.tenants[tenant] if tenant < len(limits.tenants) else None,
            client=client,
            memory_kb=memory_kb,
            retry_attempt=bool(flags & wire.FLAG_RETRY),
            remaining_time=remaining,
            queueing_delay=delay,
            has_key=bool(key) or request_class.idempotency is Idempotency.IDEMPOTENCY_KEY,
            is_duplicate=bool(earlier),
        )
        self.requests[request_id] = request
        self.ids[request] = request_id
        self.admission.arrive(now, request)

    def read_gauges(self, values: tuple[float, ...]) -> Gauges:
        """Take over the gauges of a timer record."""
        for name, value in zip(self.gauge_names, values, strict=False):
            if name:
                setattr(self.gauges, name, value)
        return self.gauges

    def _named(self, code: int, request: Request) -> None:
        self.reply.records.append(wire.ACT_ID.pack(code, self.number, self.ids[request]))

    def run(self, request: Request) -> None:
        """Start it on the cores."""
        self._named(wire.LAUNCH, request)

    def reject(self, request: Request, final: bool, retry_after: int) -> None:
        """Answer that it never ran, with when to come back."""
        self.reply.records.append(
            wire.ACT_BOUNCE.pack(wire.BOUNCE, self.number, self.ids[request], final, retry_after)
        )

    def fail(self, request: Request) -> None:
        """Answer that it failed."""
        self._named(wire.REPORT_FAILURE, request)

    def cancel(self, request: Request) -> None:
        """Stop its run."""
        self._named(wire.INTERRUPT, request)

    def call(self, request: Request, until: int) -> None:
        """Place its downstream call."""
        self.reply.records.append(wire.ACT_ID_TIME.pack(wire.DIAL, self.number, self.ids[request], until))

    def skip_call(self, request: Request) -> None:
        """Let it go on without its call."""
        self._named(wire.GO_ON, request)

    def coalesce(self, request: Request) -> None:
        """Let it wait for the result of the request that it repeats."""
        self._named(wire.SHARE, request)

    def retain_key(self, request: Request, duration: int) -> None:
        """Know requests with its key as duplicates for this long."""
        self.reply.records.append(
            wire.ACT_ID_TIME.pack(wire.REMEMBER, self.number, self.ids[request], duration)
        )

    def release_key(self, request: Request) -> None:
        """Forget its key."""
        self._named(wire.RELEASE_KEY, request)

    def set_timer(self, token: int, at: int) -> None:
        """Ask for a timer record at this time."""
        self.reply.records.append(wire.ACT_ID_TIME.pack(wire.SET_TIMER, self.number, token, at))

    def set_health(self, good: bool, stored: bool) -> None:
        """Set the answer to health checks."""
        self.reply.records.append(wire.ACT_HEALTH.pack(wire.HEALTH, self.number, stored, good))

    def report_load(self, value: float) -> None:
        """Give clients this value."""
        self.reply.records.append(wire.ACT_FLOAT.pack(wire.ANNOUNCE, self.number, value))

    def close_idle(self, after: int) -> None:
        """Close connections that have been idle for longer."""
        self.reply.records.append(wire.ACT_TIME.pack(wire.TRIM_AFTER, self.number, after))

    def note(self, text: str) -> None:
        """Add a remark."""
        self.reply.add_text(wire.DEBUG, self.number, text)
