"""The life of a request after its arrival: its timers, its downstream calls, and its answer."""

from __future__ import annotations

from collections import deque
from random import Random

from oakkeel.admission.downstream_calls import BREAK_AFTER, DownstreamCalls
from oakkeel.admission.occupancy import Occupancy
from oakkeel.admission.overload import Capacity, OverloadStages, Stage
from oakkeel.admission.ranking import Ranking
from oakkeel.admission.request_timers import RequestTimers
from oakkeel.admission.types import Host, NodeLimits, Outcome, Request, StopKind
from oakkeel.admission.types import RequestState as State
from oakkeel.units import MS

RETRY_AFTER, RETRY_LEAST = 500 * MS, 25 * MS  # from a node that is full or reading; that sheds low ranks
RETRY_PEERS = 8  # nodes of a fleet from which on all of it is told
CALL_WAIT = 0.15  # of the latency objective: room for a call that may be skipped
CALL_TRIES = 3  # tries of one call
TIMER_STEP = 16 * MS  # timers are gathered in steps of this


class RequestLifecycle:
    """Moves accepted requests on: what the decisions of arrival, queue and poll share."""

    def __init__(self, host: Host, limits: NodeLimits, seed: int, now: int) -> None:
        """Start with no request."""
        self.host, self.limits, self.now, self.started = host, limits, now, now
        self.random = Random(seed).random
        self.occupancy, self.capacity = Occupancy(limits), Capacity(limits)
        self.overload, self.ranking = OverloadStages(limits.cores), Ranking(limits)
        self.calls = DownstreamCalls(limits)
        self.awaiting_calls: deque[Request] = deque()  # whose call can't be placed yet
        self.timers = RequestTimers(host, TIMER_STEP)
        self.stop_at = self.grace_end = 0  # set by the notice to drain
        self.fair_sharing = None
        if limits.fair_sharing:
            from oakkeel.admission.fairness import FairSharing  # loaded only where an operator asks for it

            self.fair_sharing = FairSharing(limits.fair_sharing, limits.marks_retries, self.random)

    def _reject(self, request: Request, final: bool = True) -> None:
        """Answer at once, with when to come back and whether a try elsewhere is worth its reading."""
        retry_after = self.retry_after()
        if self.fair_sharing and self.limits.max_retry_after and not self.stop_at:
            retry_after = self.fair_sharing.retry_after(self.now, request, self.limits.max_retry_after)
        self.host.reject(request, final, retry_after)
        if request.key_retained:
            request.key_retained = False
            self.host.release_key(request)
        self.occupancy.move(self.now, request, State.FINISHED)

    def _time_out(self, request: Request) -> None:
        """Answer at once what can no longer be in time, and stop its work where the host can."""
        if request.state in (State.DELAYED, State.QUEUED):
            self._reject(request)
        elif request.state < State.ORPHANED:
            if request.request_class.at_most_once:
                self.host.fail(request)
            else:
                self.host.reject(request, True, self.retry_after())
            self._abandon(request)

    def _abandon(self, request: Request) -> None:
        """Stop the work of a request for which nobody waits, so that no core is held in vain."""
        if request.state is State.RUNNING:
            self.occupancy.move(self.now, request, State.ORPHANED)
            row = self.ranking.completed[request.request_class.index]
            row.add(self.now, request.service_time)  # or a stuck node would not see it
            if self.limits.stop_kind is not StopKind.NONE:
                self.host.cancel(request)
        elif request.state in (State.AWAITING_CALL, State.CALLING):
            self.calls.release(self.now, request, self.limits.call_linger)
            self.occupancy.move(self.now, request, State.RELEASING)
        elif request.state < State.ORPHANED:
            self.occupancy.move(self.now, request, State.FINISHED)

    def retry_after(self) -> int:
        """Return when to retry: soon where low ranks are shed, as a client stays away with all it has."""
        reading = min(1.0, self.capacity.reading / self.limits.cores) ** 3
        fullness = 1.0 if self.overload.depth == Stage.REJECT else reading
        fullness *= min(1.0, self.limits.peers / RETRY_PEERS)  # where few could take it, cores idle meanwhile
        return min(int(RETRY_LEAST + (RETRY_AFTER - RETRY_LEAST) * fullness), self.limits.max_retry_after)

    def call_needed(self, now: int, request: Request) -> None:
        """Place the call without which a run can't go on."""
        self.now = now
        if request.state is State.ORPHANED:
            self.occupancy.move(now, request, State.RELEASING)
        elif request.state is State.RUNNING:
            self.occupancy.move(now, request, State.AWAITING_CALL)
            self._try_call(request)

    def call_finished(self, now: int, request: Request, outcome: Outcome, latency: int) -> None:
        """Go on after a call, try it again, skip it, or answer without it."""
        self.now = now
        if request.state is not State.CALLING:
            return
        self.calls.release(now, request, self.limits.call_linger if outcome is Outcome.TIMED_OUT else 0)
        if outcome is Outcome.COMPLETED:
            self.calls.failed_in_row = 0
            self.occupancy.move(now, request, State.RUNNING)
            return
        self.calls.failed_in_row += 1
        request.failed_calls += 1
        self.occupancy.move(now, request, State.AWAITING_CALL)
        row = request.request_class
        link_failed = outcome in (Outcome.CONNECT_FAILED, Outcome.RESET)  # the downstream is not full
        never_ran = outcome in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NEVER_STARTED)
        may_repeat = request.failed_calls < CALL_TRIES and (never_ran or not row.at_most_once)
        if may_repeat and (link_failed or not row.degraded_weight):
            self._try_call(request)
        elif row.degraded_weight:
            self._skip_call(request)
        else:
            self._time_out(request)

    def _try_call(self, request: Request) -> None:
        if self._start_call(request):
            return
        optional = request.request_class.degraded_weight
        if optional and self.calls.failed_in_row >= BREAK_AFTER:
            self._skip_call(request)  # no use to wait for what is known to fail
            return
        self.awaiting_calls.append(request)
        if optional:
            wait = int(CALL_WAIT * request.request_class.latency_objective)
            self.timers.set(self.now, request, self.now + wait + TIMER_STEP)

    def _start_call(self, request: Request) -> bool:
        """Place its call if the breaker and the quota leave room; false if it still waits."""
        if request.state is not State.AWAITING_CALL:
            return True
        service_time = self.ranking.service_times[request.request_class.index]
        in_flight = self.occupancy.count[State.CALLING]
        until = self.calls.reserve(self.now, request, in_flight, service_time)
        if until is None:
            return False
        self.host.call(request, until)
        self.occupancy.move(self.now, request, State.CALLING)
        return True

    def _skip_call(self, request: Request) -> None:
        self.host.skip_call(request)
        self.occupancy.move(self.now, request, State.RUNNING)
