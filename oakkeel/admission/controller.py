"""The request path of a node: deadline, duplicate, overload stage, rank, queue.

A host calls `schedule` once after all that happened at one moment. Why the rules are so: `docs/design.md`.
"""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count

from oakkeel.admission import load_report
from oakkeel.admission.client_returns import ClientReturns
from oakkeel.admission.lifecycle import CALL_WAIT, TIMER_STEP, RequestLifecycle
from oakkeel.admission.overload import RUN, Stage
from oakkeel.admission.sliding_window import SlidingWindow
from oakkeel.admission.types import Gauges, Host, Idempotency, NodeLimits, Outcome, Request
from oakkeel.admission.types import RequestState as State
from oakkeel.fair_sharing.reservations import ReservationEnd
from oakkeel.units import MS, SECOND

POLL, POLL_TOKEN = SECOND, 0
DEPTH_SPARE = 2  # the first requests that no depth counts: on few cores counts for each are coarse
SERVICE_ROOM = 0.7  # of the expected service time must fit, for sizes vary
DELAY = 50 * MS  # the wait at BACKPRESSURE
READING_MOST = 0.75  # being read, for each core: from there on retries fill it
RETRIES = 0.1  # of what is read: from there on the other nodes are full as well
MEMORY_ROOM, QUEUE_ROOM = 0.85, 0.95  # of the memory, for what runs; with what is queued and retained
UNREAD = 0.6  # of the latency objective spent unread: off the list until below half
DEADLINE_ROOM, STOP_ROOM = 20 * MS, 64 * MS  # an answer leaves this long before its deadline; before the stop


class AdmissionController(RequestLifecycle):
    """The decisions of one node, from its start to its end."""

    def __init__(self, host: Host, limits: NodeLimits, seed: int, now: int) -> None:
        """Report the node as healthy and start the poll."""
        super().__init__(host, limits, seed, now)
        self.load_report = load_report.LoadReport(limits)
        self.returns = ClientReturns(load_report.GAP_STEP, load_report.GAP_STEPS, load_report.CLIENTS_MOST)
        self.queue: list[tuple[float, int, Request]] = []
        self.order = count()
        self.unread, self.retries = SlidingWindow(), SlidingWindow()  # over the objective; of arrivals
        self.healthy = True
        host.set_health(True, True)  # from store: a real check costs work
        self._report_load()
        host.set_timer(POLL_TOKEN, now + int(POLL * (0.5 + self.random() / 2)))

    def arrive(self, now: int, request: Request) -> None:
        """Coalesce, reject, delay or queue a request that was read."""
        self.now = request.arrived_at = request.state_since = now
        self._set_deadline(request)
        self._measure(request)
        taken, limits, row = self.occupancy.memory_kb, self.limits, request.request_class
        full = taken + request.memory_kb + limits.key_kb > limits.memory_kb * QUEUE_ROOM
        after_grace = self.grace_end and now - request.queueing_delay > self.grace_end - DEADLINE_ROOM
        # One that repeats another takes its result: no second effect, and a twentieth of the work.
        if request.is_duplicate and (row.at_most_once or (limits.cache_ttl and not full)):
            self.occupancy.move(now, request, State.COALESCED)
            self.host.coalesce(request)
            self.timers.set(now, request, request.deadline)
        elif after_grace or full or request.deadline <= now:
            self._reject(request, request.deadline <= now)
        else:
            self._decide(request)

    def _decide(self, request: Request) -> None:
        """Reject a request by its overload stage, service time or rank, or accept it."""
        now, depth, limits = self.now, self._depth(), self.limits
        stage = self.overload.arrival_stage(depth)
        latest_end = min(request.objective_end, request.deadline)
        service_time = self.ranking.service_times[request.request_class.index]
        if request.share_status and now + SERVICE_ROOM * service_time <= latest_end:
            if request.share_status < 0 and self.occupancy.on_cores():  # an idle node takes what comes
                self._reject(request)
                return
            stage = Stage.NORMAL if request.share_status > 0 else stage  # room was kept for it
        elif stage == Stage.REJECT or now + self._time_needed(service_time) > latest_end:
            crowded = self.capacity.readings.mean(now, 0.0) > READING_MOST * limits.cores
            self._reject(request, request.retry_attempt or crowded)
            return
        self.overload.follow_threshold(now, depth)
        if stage >= Stage.REORDER and request.rank < self.overload.threshold:
            final = request.retry_attempt or not limits.marks_retries
            self._reject(request, final or self.retries.mean(now, 1.0) > RETRIES)
        else:
            self._accept(request, stage)

    def _set_deadline(self, request: Request) -> None:
        """Set when an answer is due, and until when it has its whole weight."""
        now, row = self.now, request.request_class
        remaining = request.remaining_time or max(0, row.client_timeout - request.queueing_delay)
        request.objective_end = now + row.latency_objective - request.queueing_delay
        due = now + remaining - DEADLINE_ROOM
        request.deadline = due if row.late_weight else min(due, request.objective_end)
        if self.stop_at:
            request.deadline = min(request.deadline, self.stop_at - STOP_ROOM)

    def _measure(self, request: Request) -> None:
        """Count an arrival, give it its rank, and where shares are fair its standing."""
        now, row = self.now, request.request_class
        staleness = self.capacity.staleness = request.queueing_delay / row.latency_objective
        self.unread.add(now, staleness)
        self.returns.seen(now, request.client)
        self.retries.add(now, request.retry_attempt)
        request.rank = self.ranking.rank(now, request, self.random())
        if self.fair_sharing:
            self.fair_sharing.arrive(now, request, self.ranking.service_times[row.index], self.capacity.run)
            request.rank += request.share_status

    def _accept(self, request: Request, stage: int) -> None:
        """Retain its key, and queue it: at BACKPRESSURE after a delay."""
        row = request.request_class
        if request.has_key and (self.limits.cache_ttl or row.idempotency is Idempotency.IDEMPOTENCY_KEY):
            served = max(0, request.deadline - self.now) + self.limits.cache_ttl  # while its answer may serve
            duration = row.idempotency_window if row.at_most_once else served
            self.host.retain_key(request, duration)
            request.key_retained = True
            self.occupancy.retain_key(self.now + duration)
        self.timers.set(self.now, request, request.deadline)
        if request.reservation:
            self.fair_sharing.reservations.end(request.reservation, ReservationEnd.KEPT)  # type: ignore[union-attr]
        if stage == Stage.BACKPRESSURE:
            self.occupancy.move(self.now, request, State.DELAYED)
            self.timers.set(self.now, request, self.now + DELAY)
        else:
            self._enqueue(request)

    def _enqueue(self, request: Request) -> None:
        self.occupancy.move(self.now, request, State.QUEUED)
        heappush(self.queue, (-request.rank, next(self.order), request))

    def schedule(self, now: int) -> None:
        """Place the calls that can be, and start what may run, after all that came in at one moment."""
        self.now = now
        while self.awaiting_calls and self._start_call(self.awaiting_calls[0]):
            self.awaiting_calls.popleft()
        occupancy, limits = self.occupancy, self.limits
        runs = self.capacity.runs(self.overload.highest() >= Stage.EXPAND)
        most = self.capacity.most(self.limits.warmth(now - self.started))
        while self.queue:
            request = self.queue[0][2]
            if request.state is not State.QUEUED:
                heappop(self.queue)
                continue
            on_cores = occupancy.on_cores()
            more = request.memory_kb * (limits.running_memory_factor - 1)
            busy = on_cores + 0.5 > runs or on_cores + occupancy.count[State.CALLING] + 1 > most
            if busy or occupancy.memory_kb + more > limits.memory_kb * MEMORY_ROOM:
                break
            heappop(self.queue)
            service_time = self.ranking.service_times[request.request_class.index]
            if now + SERVICE_ROOM * service_time > min(request.objective_end, request.deadline):
                self._reject(request)  # it waited too long behind higher ranks: no run in vain
                continue
            occupancy.move(now, request, State.RUNNING)
            self.host.run(request)

    def _depth(self) -> float:
        """Count queued and on the cores, for each core; those at calls have a bound of their own."""
        return max(0, self.occupancy.waiting() + self.occupancy.on_cores() - DEPTH_SPARE) / self.limits.cores

    def _time_needed(self, service_time: float) -> int:
        """Return the time that a request must have left, behind what is queued."""
        known, waiting = self.ranking.service_times, self.occupancy.waiting()
        wait = sum(known) / len(known) * waiting / (RUN[1] * self.limits.cores)
        return int(SERVICE_ROOM * (service_time + wait))

    def run_finished(self, now: int, request: Request, outcome: Outcome, latency: int) -> None:
        """Finish a request whose run, or the run that it was coalesced with, is over."""
        self.now = now
        state, row = request.state, request.request_class
        if state is State.FINISHED or outcome is Outcome.NEVER_STARTED:
            return
        self.calls.release(now, request, 0)
        if outcome is Outcome.CANCELLED and state in (State.RUNNING, State.AWAITING_CALL, State.CALLING):
            self.host.fail(request)  # cancelled, but not by us: it must not stay without an answer
        self.occupancy.move(now, request, State.FINISHED)
        if outcome is Outcome.COMPLETED and state is State.RUNNING:
            self.ranking.completed[row.index].add(now, request.service_time)
            latency_share = (now - request.arrived_at + request.queueing_delay) / row.latency_objective
            self.overload.latencies.add(now, latency_share)

    def client_disconnected(self, now: int, request: Request) -> None:
        """Stop the work of a request whose client is known to have given up; no answer is owed."""
        self.now = now
        self._abandon(request)

    def drain(self, now: int, remaining: int | None) -> None:
        """Finish what can be before the stop, and answer the rest just before it; None cancels the drain."""
        self.now = now  # a further notice moves the stop, and never the end of the grace
        self.grace_end = 0 if remaining is None else self.grace_end or now + self.limits.drain_grace
        self.stop_at = 0 if remaining is None else now + remaining
        self.host.set_health(remaining is None, True)
        self._report_load()
        if not self.stop_at:
            return
        for request in self.timers.pending():
            if request.deadline > self.stop_at - STOP_ROOM:
                request.deadline = self.stop_at - STOP_ROOM
                self.timers.set(self.now, request, request.deadline)

    def timer_expired(self, now: int, token: int, gauges: Gauges) -> None:
        """Poll the signals, or look at the requests of a step of timers."""
        self.now = now
        self.capacity.observe(now, gauges.run_queue - self.occupancy.on_cores())
        if token == POLL_TOKEN:
            self._poll(now, gauges)
        else:
            for request in self.timers.expired(token):
                self._request_timer_expired(request)

    def _poll(self, now: int, gauges: Gauges) -> None:
        self.overload.poll(now, gauges.core_busy, self._depth())
        self.occupancy.expire_keys(now)
        self.ranking.poll(now, self.started)
        self._report_load()
        # One that reads too late can't even reject in time: only clients that leave it out help.
        most = UNREAD if self.healthy else UNREAD / 2
        self.healthy = not self.stop_at and self.unread.mean(now, 0.0) < most
        self.host.set_health(self.healthy, True)
        reap = self.overload.highest() >= Stage.REAP
        keep = load_report.idle_time(self.returns.totals(now), load_report.SAVED[reap])
        reading = self.capacity.readings.mean(now, 0.0)
        crowded = load_report.crowded_idle_time(gauges.connections, reading, self.limits.cores)
        self.host.close_idle(min(self.limits.idle_timeout, max(keep, crowded)))
        self.host.set_timer(POLL_TOKEN, now + POLL)

    def _request_timer_expired(self, request: Request) -> None:
        row = request.request_class
        if self.now + TIMER_STEP > request.deadline:
            self._time_out(request)
        elif request.state is State.AWAITING_CALL:
            if row.degraded_weight and self.now >= request.state_since + CALL_WAIT * row.latency_objective:
                self._skip_call(request)
        elif request.state is State.DELAYED:
            (self._reject if self.overload.depth == Stage.REJECT else self._enqueue)(request)

    def _report_load(self) -> None:
        busy = self.capacity.reading / self.limits.cores + self._depth()
        warmth = self.limits.warmth(self.now - self.started)
        value = self.load_report.next_value(bool(self.stop_at), self.overload.threshold, busy, warmth)
        if value is not None:
            self.host.report_load(value)
