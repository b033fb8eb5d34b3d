"""The admission controller of a node: it applies the rules of this package to each request, in order.

A host calls `schedule` once after all events of one moment. `docs/design.md` explains the rules.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

from oakkeel.admission.arrival_decision import ArrivalDecisions, RejectionDecision
from oakkeel.admission.call_sequence import CallSequence
from oakkeel.admission.client_signals import ClientSignals
from oakkeel.admission.concurrency import ConcurrencyLimits, has_memory_to_run, may_start
from oakkeel.admission.deadline import answer_deadline, can_end_in_time, latest_deadline, objective_end
from oakkeel.admission.downstream_calls import DownstreamCalls
from oakkeel.admission.drain import Drain
from oakkeel.admission.duplicates import key_retention, retains_key
from oakkeel.admission.node_state import NodeState
from oakkeel.admission.occupancy import Occupancy
from oakkeel.admission.overload import OverloadStages, Stage
from oakkeel.admission.ranking import Ranking
from oakkeel.admission.request_ends import UNANSWERED_STATES, RequestEnds
from oakkeel.admission.request_queue import RequestQueue
from oakkeel.admission.request_timers import RequestTimers
from oakkeel.admission.shedding import SheddingThreshold
from oakkeel.admission.sliding_window import SlidingWindow
from oakkeel.admission.types import (
    Admission,
    Gauges,
    Host,
    NodeLimits,
    Outcome,
    Rejection,
    Request,
)
from oakkeel.admission.types import RequestState as State
from oakkeel.units import MS, SECOND

if TYPE_CHECKING:
    from oakkeel.admission.fairness import FairSharing

POLL_INTERVAL_NS = SECOND
# Earliest first poll, as a share of the interval; its time is random, so that nodes do not poll together.
MIN_FIRST_POLL_RATIO = 0.5
POLL_TOKEN = 0  # token of the poll timer; the token of a request timer is the number of its step
TIMER_STEP_NS = 16 * MS  # one timer of the host serves all requests of a step
BACKPRESSURE_DELAY_NS = 50 * MS  # delay before an admitted request is queued, in BACKPRESSURE


class AdmissionController:
    """The decisions of one node, from its start to its end."""

    def __init__(self, host: Host, limits: NodeLimits, seed: int, now: int) -> None:
        """Report the node as healthy and start the poll."""
        self.host = host
        self.limits = limits
        self.started_at = now  # set by the host if the engine started earlier or was restarted
        self.random = Random(seed).random
        self.timers = RequestTimers(host, TIMER_STEP_NS)
        self.occupancy = Occupancy(limits)
        self.concurrency = ConcurrencyLimits(limits)
        self.overload = OverloadStages()
        self.ranking = Ranking(limits)
        self.drain_notice = Drain()
        self.fair_sharing = _create_fair_sharing(limits, self.random)
        self.node = NodeState(
            host=host,
            limits=limits,
            timers=self.timers,
            occupancy=self.occupancy,
            concurrency=self.concurrency,
            overload=self.overload,
            ranking=self.ranking,
            downstream_calls=DownstreamCalls(limits),
            drain=self.drain_notice,
            fair_sharing=self.fair_sharing,
        )
        self.request_ends = RequestEnds(self.node)
        self.call_sequence = CallSequence(self.node, self.request_ends)
        self.shedding = SheddingThreshold(limits.cores)
        self.queue = RequestQueue()
        self.retries = SlidingWindow()  # 1 for each arrival that is a retry, 0 for any other
        self.arrivals = ArrivalDecisions(self.node, self.shedding, self.retries)
        self.signals = ClientSignals(self.node)
        self.signals.send_health(True)
        self._report_load(now)
        first_poll_delay = int(POLL_INTERVAL_NS * (MIN_FIRST_POLL_RATIO + self.random() / 2))
        host.set_timer(POLL_TOKEN, now + first_poll_delay)

    def arrive(self, now: int, request: Request) -> None:
        """Coalesce, reject, delay or queue a request that was read."""
        self._set_deadline(now, request)
        self._count_arrival(now, request)
        self._count_and_rank(now, request)
        decision = self.arrivals.decide(now, request)
        if isinstance(decision, RejectionDecision):
            self.request_ends.reject(now, request, decision.rejection)
        elif decision is Admission.COALESCE:
            self._coalesce(now, request)
        else:
            self._admit(now, request, decision)

    def _set_deadline(self, now: int, request: Request) -> None:
        request.arrived_at = now
        request.state_since = now
        request.objective_end = objective_end(now, request)
        request.deadline = answer_deadline(now, request, self.drain_notice.stop_at)

    def _count_arrival(self, now: int, request: Request) -> None:
        staleness_ratio = request.queueing_delay / request.request_class.latency_objective
        self.concurrency.staleness_ratio = staleness_ratio
        self.signals.count_arrival(now, request.client, staleness_ratio)
        self.retries.add(now, request.retry_attempt)

    def _count_and_rank(self, now: int, request: Request) -> None:
        """Count a request for its class, tenant and flow, and set its rank and share status.

        A request with a reservation ranks above all others, and a request that exceeds its share ranks below
        them. Fair sharing charges the flow of a request within its share, and postpones the reservation of a
        flow that retries early.
        """
        request.rank = self.ranking.count_and_rank(now, request, self.random())
        if self.fair_sharing:
            service_time = self.ranking.service_time(request)
            self.fair_sharing.arrive(now, request, service_time, self.concurrency.run_limit)
            request.rank += request.share_status

    def _coalesce(self, now: int, request: Request) -> None:
        """Let a request wait for the result of the request that it duplicates."""
        self.occupancy.move(now, request, State.COALESCED)
        self.host.coalesce(request)
        self.timers.set(now, request, request.deadline)

    def _admit(self, now: int, request: Request, admission: Admission) -> None:
        """Retain the key of a request and queue it, at once or after a delay."""
        if retains_key(request, self.limits.cache_ttl):
            duration = key_retention(now, request, self.limits.cache_ttl)
            self.host.retain_key(request, duration)
            request.is_key_retained = True
            self.occupancy.retain_key(now + duration)
        self.timers.set(now, request, request.deadline)
        if self.fair_sharing:
            self.fair_sharing.record_admission(request)
        if admission is Admission.DELAY:
            self.occupancy.move(now, request, State.DELAYED)
            self.timers.set(now, request, now + BACKPRESSURE_DELAY_NS)
        else:
            self._enqueue(now, request)

    def _enqueue(self, now: int, request: Request) -> None:
        self.occupancy.move(now, request, State.QUEUED)
        self.queue.push(request)

    def schedule(self, now: int) -> None:
        """Place the waiting calls that may be placed, and start the requests that may run, by rank."""
        self.call_sequence.issue_waiting(now)
        occupancy = self.occupancy
        self.concurrency.update_run_limit(self.overload.highest() >= Stage.EXPAND)
        allowed_runs = self.concurrency.allowed_runs()
        max_active = self.concurrency.max_active(self._warmth(now))
        while (request := self.queue.first()) is not None:
            if not may_start(
                occupancy.run_slots_in_use(), occupancy.calls_in_flight(), allowed_runs, max_active
            ):
                break
            if not has_memory_to_run(request, occupancy.memory_kb, self.limits):
                break
            self.queue.pop()
            if can_end_in_time(now, request, self.ranking.service_time(request)):
                occupancy.move(now, request, State.RUNNING)
                self.host.run(request)
            else:  # the request waited too long behind higher ranks
                self.request_ends.reject(now, request, Rejection.FINAL)

    def call_needed(self, now: int, request: Request) -> None:
        """Place the downstream call that a run needs before it can continue."""
        self.call_sequence.call_needed(now, request)

    def call_finished(self, now: int, request: Request, outcome: Outcome) -> None:
        """Resume the run after a downstream call, or retry the call, skip it or fail the request."""
        self.call_sequence.call_finished(now, request, outcome)

    def call_reply_uncertain(self, now: int, request: Request) -> None:
        """Act on a run that may not have received the reply of its last call."""
        self.call_sequence.reply_uncertain(now, request)

    def run_finished(self, now: int, request: Request, outcome: Outcome) -> None:
        """Finish a request after the end of its run, or of the run that it was coalesced with."""
        state = request.state
        if state is State.FINISHED or outcome is Outcome.NEVER_STARTED:
            return
        self.node.downstream_calls.release(now, request, 0)
        if outcome is Outcome.CANCELLED and state in (State.RUNNING, State.AWAITING_CALL, State.CALLING):
            self.host.fail(request)  # this controller did not cancel it, so it has no answer yet
        self.occupancy.move(now, request, State.FINISHED)
        if outcome is Outcome.COMPLETED and state is State.RUNNING:
            request_class = request.request_class
            self.ranking.observed_service_times[request_class.index].add(now, request.service_time)
            time_to_completion = now - request.arrived_at + request.queueing_delay
            self.overload.latency_ratios.add(now, time_to_completion / request_class.latency_objective)

    def client_disconnected(self, now: int, request: Request) -> None:
        """Stop the work of a request whose client has disconnected; the request gets no answer."""
        self.request_ends.abandon(now, request)

    def drain(self, now: int, time_to_stop: int | None) -> None:
        """Stop in `time_to_stop` nanoseconds, with all requests answered by then; None cancels the drain."""
        if time_to_stop is None:
            self.drain_notice.cancel()
        else:
            self.drain_notice.start(now, time_to_stop, self.limits.drain_grace)
        self.signals.send_health(time_to_stop is None)
        self._report_load(now)
        if self.drain_notice.is_draining:
            self._move_deadlines_before(now, latest_deadline(self.drain_notice.stop_at))

    def _move_deadlines_before(self, now: int, latest: int) -> None:
        for request in self.timers.pending():
            if request.deadline > latest:
                request.deadline = latest
                self.timers.set(now, request, request.deadline)

    def retry_after(self) -> int:
        """Return the nanoseconds after which a rejected client may retry at the present load."""
        return self.node.retry_after()

    def overdue_requests(self, now: int, token: int) -> list[Request]:
        """Return the requests of a timer that have no result and whose deadline has passed."""
        return [
            request
            for request in self.timers.at(token)
            if request.state in UNANSWERED_STATES and self.timers.is_due(now, request.deadline)
        ]

    def end_overdue(self, now: int, requests: list[Request]) -> None:
        """Answer requests whose deadline has passed; `timer_expired` with their token may follow later.

        A host calls it where its gauges are not at hand: an answer that is due must not wait for them.
        """
        for request in requests:
            self.request_ends.end_without_result(now, request)

    def timer_expired(self, now: int, token: int, gauges: Gauges) -> None:
        """Poll, or act on the requests whose timers belong to this token."""
        self.concurrency.observe(now, gauges.run_queue - self.occupancy.run_slots_in_use())
        if token == POLL_TOKEN:
            self._poll(now, gauges)
        else:
            for request in self.timers.take_expired(token):
                self._request_timer_expired(now, request)

    def _request_timer_expired(self, now: int, request: Request) -> None:
        if self.timers.is_due(now, request.deadline):
            self.request_ends.end_without_result(now, request)
        elif request.state is State.AWAITING_CALL:
            self.call_sequence.skip_if_overdue(now, request)
        elif request.state is State.DELAYED:
            if self.overload.rejects_by_depth():
                self.request_ends.reject(now, request, Rejection.FINAL)
            else:
                self._enqueue(now, request)

    def _poll(self, now: int, gauges: Gauges) -> None:
        """Update overload stages and ranks, and send the health, the load report and the idle time-out."""
        self.overload.poll(now, gauges.core_busy, self.node.depth_per_core())
        self.occupancy.expire_keys(now)
        self.ranking.poll(now, self.started_at)
        self._report_load(now)
        self.signals.update_health(now)
        self.signals.close_idle_connections(now, gauges.connections)
        self.host.set_timer(POLL_TOKEN, now + POLL_INTERVAL_NS)

    def _report_load(self, now: int) -> None:
        self.signals.report_load(self.shedding.threshold, self._warmth(now))

    def _warmth(self, now: int) -> float:
        return self.limits.warmth(now - self.started_at)


def _create_fair_sharing(limits: NodeLimits, random: Callable[[], float]) -> FairSharing | None:
    """Create the fair sharing of a node; its modules are loaded only if an operator enables it."""
    if limits.fair_sharing is None:
        return None
    from oakkeel.admission.fairness import FairSharing

    return FairSharing(limits.fair_sharing, limits.marks_retries, random)
