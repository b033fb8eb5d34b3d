"""Every decision of an oakkeel node.

How it is invoked: a front makes one `AdmissionController` for each node (host, limits, seed, clock), calls `arrive`,
`run_done`, `at_call`, `call_done`, `gone`, `leave` and `timer` for what happens, and `settle` once after all
that happened at one moment. What the node shall do goes out through `Host`. The types and `Host` are in
`oakkeel/admission/types.py`; why each rule is as it is stands in `docs/design.md`. Times are whole nanoseconds,
memory is in kilobytes.
"""

from __future__ import annotations

from collections import deque
from enum import IntEnum
from heapq import heappop, heappush
from itertools import count
from random import Random

from oakkeel.admission.types import (
    DownstreamKind,
    Gauges,
    Host,
    Idempotency,
    LoadReportKind,
    NodeLimits,
    Outcome,
    Request,
    RequestState,
    StopKind,
)

MS = 1_000_000
SECOND = 1000 * MS


class Stage(IntEnum):
    """The rungs of the ladder."""

    NORMAL, EXPAND, REAP, REORDER, BACKPRESSURE, REJECT = range(6)


# The ladder. A row's n-th figure enters the n-th stage after NORMAL; a stage is left below it less the slack.
POLL, POLL_TOKEN = SECOND, 0
CPU = (0.70, 0.80, 0.85, 0.90, 0.95)  # busy share of the cores
CPU_SLACK = 0.05
CPU_QUEUE = (0.0, 0.0, 1.0, 1.0, 3.0)  # a CPU stage acts only while the depth exceeds this
DEPTH = (0.75, 1.0, 1.25, 1.75, 3.0)  # exchanges in the hold and on the cores, for each core
DEPTH_SLACK, DEPTH_SPARE = 0.25, 2  # the first uncounted: on few cores counts for each are coarse
LATENCY = (0.5, 0.6, 0.75, 0.9, 1.1)  # mean time to completion over the SLO time
LATENCY_SLACK = 0.1
CUT_MOST, CUT_PACE = 0.9, 0.08  # of what is asked, denied as low; its pace by arrival and core
HOPE = 0.7  # of the expected time must fit, for sizes vary
DELAY = 50 * MS  # the wait at BACKPRESSURE
LINK_CROWD, LINK_RATE = 1.5, 8  # new connections a second and core, while more are read
LINK_WORTH = (20 * SECOND, 4 * SECOND)  # idle time that saves a new connection, below REAP and from it on
LINK_LEAST, LINK_STEP, LINK_STEPS = 10 * MS, 64 * MS, 9  # idle times: the least, and doubled steps
CALLERS_MOST = 512  # remembered, those heard last
RETRY_AFTER, RETRY_LEAST = 500 * MS, 25 * MS  # from a node that is full or reading; that sheds low ranks
RETRY_PEERS = 8  # nodes of a fleet from which on all of it is told
READ_CROWD = 0.75  # being read, for each core: from there on retries fill it
RETRIES = 0.1  # of what is read: from there on the other nodes are full as well
# How many run: exchanges on the cores for each core, below EXPAND and from it on.
RUN = (1.0, 1.24)
STALE = 0.2  # of the SLO time unread: reading goes first until it is below
RUN_LEAST = 0.5  # of the cores, however much is being read
RUN_QUEUE = 1.25  # runs, reading, checks and new connections together
CROWD_ROOM = 0.7  # of the crowd that kills, for all that could be on the cores
MEMORY_ROOM, HOLD_ROOM = 0.85, 0.95  # of the memory, for what runs; with what is held and kept
# Advice: moved each poll by what wants a core, for each core.
ADVICE_CROWD, ADVICE_DOWN, ADVICE_UP, ADVICE_LEAST = 2.0, 0.8, 1.15, 0.05
UNFIT = 0.6  # of the SLO time spent unread: off the list until below half
# Calls below.
CALL_ROOM = 0.8  # of the share of what lies below, as a mean
CALL_CROWD = 0.5  # of that share, in hand at one time; never less than one
CALL_TIME, CALL_WAIT = 0.25, 0.15  # of the SLO time: one call; room for one that may be left out
CALL_TRIES, BREAK_AFTER = 3, 5  # tries of one call; failures in a row that stop all calls
TRIAL_EVERY = SECOND
ALARM_STEP = 16 * MS  # alarms are gathered in steps of this
DUE_ROOM, STOP_ROOM = 20 * MS, 64 * MS  # an answer leaves this long before it is due; before the stop
SPAN_FADE = 0.8  # a second, of a time on the cores that nothing confirms any more
WINDOW_STEP, WINDOW_BUCKETS = 500 * MS, 12

# Which states may follow each.
TRANSITIONS = {
    RequestState.READ: {
        RequestState.DELAYED,
        RequestState.QUEUED,
        RequestState.COALESCED,
        RequestState.FINISHED,
    },
    RequestState.DELAYED: {RequestState.QUEUED, RequestState.FINISHED},
    RequestState.QUEUED: {RequestState.RUNNING, RequestState.FINISHED},
    RequestState.COALESCED: {RequestState.FINISHED},
    RequestState.RUNNING: {RequestState.AWAITING_CALL, RequestState.ORPHANED, RequestState.FINISHED},
    RequestState.AWAITING_CALL: {
        RequestState.CALLING,
        RequestState.RUNNING,
        RequestState.RELEASING,
        RequestState.FINISHED,
    },
    RequestState.CALLING: {
        RequestState.AWAITING_CALL,
        RequestState.RUNNING,
        RequestState.RELEASING,
        RequestState.FINISHED,
    },
    RequestState.ORPHANED: {RequestState.RELEASING, RequestState.FINISHED},
    RequestState.RELEASING: {RequestState.FINISHED},
    RequestState.FINISHED: set(),
}


class SlidingWindow:
    """Sums and counts over the last few seconds, in buckets of time that are used again."""

    __slots__ = ("counts", "marks", "step", "sums")

    def __init__(self, step: int = WINDOW_STEP) -> None:
        self.step, self.sums = step, [0.0] * WINDOW_BUCKETS
        self.counts, self.marks = [0] * WINDOW_BUCKETS, [0] * WINDOW_BUCKETS

    def add(self, now: int, value: float) -> None:
        mark = now // self.step
        place = mark % WINDOW_BUCKETS
        if self.marks[place] != mark:
            self.marks[place], self.sums[place], self.counts[place] = mark, 0.0, 0
        self.sums[place] += value
        self.counts[place] += 1

    def total(self, now: int) -> tuple[float, int]:
        oldest = now // self.step - WINDOW_BUCKETS
        live = [place for place in range(WINDOW_BUCKETS) if self.marks[place] > oldest]
        return sum(self.sums[place] for place in live), sum(self.counts[place] for place in live)

    def mean(self, now: int, otherwise: float) -> float:
        total, count = self.total(now)
        return total / count if count else otherwise


def next_stage(stage: int, value: float, row: tuple[float, ...], slack: float) -> int:
    """Up to the highest stage whose threshold is reached; down only below a threshold less its slack."""
    while stage < Stage.REJECT and value >= row[stage]:
        stage += 1
    while stage > Stage.NORMAL and value < row[stage - 1] - slack:
        stage -= 1
    return stage


class AdmissionController:
    """The decisions of one node, from its start to its end."""

    def __init__(self, host: Host, limits: NodeLimits, seed: int, now: int) -> None:
        self.host, self.limits, self.now, self.started = host, limits, now, now
        self.chance = Random(seed).random
        self.reading, self.readings = 0.0, SlidingWindow()  # what else wanted a core when last seen
        self.cpu_stage = self.depth_stage = self.latency_stage = int(Stage.NORMAL)
        self.count = [0] * len(RequestState)
        factor = limits.running_memory_factor
        self.weight = [0, 1, 1, 1, factor, factor, factor, factor, factor, 0]  # memory by state
        self.memory_kb = self.cut = self.stale = 0.0
        self.hold: list[tuple[float, int, Request]] = []
        self.order = count()
        self.keys: list[int] = []  # when the memory of a kept key is free
        self.alarms: dict[int, list[Request]] = {}
        self.stop_at = self.grace_end = 0  # set by the notice to leave
        self.latency, self.unread = (
            SlidingWindow(),
            SlidingWindow(),
        )  # to completion, unread, over the SLO time
        self.retries = SlidingWindow()  # marked later tries among what was read
        self.spans = [SlidingWindow() for _ in limits.request_classes]  # time on the cores of completed runs
        self.span = [group.latency_objective / 6 for group in limits.request_classes]
        tenants = max(1, len(limits.tenants))
        self.asked = [[SlidingWindow() for _ in range(tenants)] for _ in limits.request_classes]
        self.ranks = [
            [(0.0, 1.0)] * tenants for _ in limits.request_classes
        ]  # place among the asked, breadth
        self.calls_time = SlidingWindow(
            limits.downstream_window // (WINDOW_BUCKETS - 1) + 1
        )  # call time spent below
        self.calls_booked = self.calls_failed = self.trial_at = 0
        self.waiting: deque[Request] = deque()  # at calls that can't be placed yet
        self.advice, self.willing, self.fit = -1.0, 1.0, True
        self.fair, self.run = None, limits.cores * RUN[0]  # fair shares, and how many may run
        if limits.fair_sharing:
            from oakkeel.admission.fairness import FairSharing  # loaded only where an operator asks for it

            self.fair = FairSharing(limits.fair_sharing, limits.marks_retries, self.chance)
        self.callers: dict[int, int] = {}  # when each was heard, the latest last
        self.returns = [
            SlidingWindow(2 * SECOND) for _ in range(LINK_STEPS + 1)
        ]  # times between, by doubled steps
        host.set_health(True, True)  # from store: a real check costs work
        self._advise()
        host.set_timer(POLL_TOKEN, now + int(POLL * (0.5 + self.chance() / 2)))

    # The ordinary path.

    def arrive(self, now: int, request: Request) -> None:
        """An exchange was read: share, deny, hold back or admit it."""
        self.now = request.arrived_at = request.state_since = now
        group, limits = request.request_class, self.limits
        tenant = request.tenant.index if request.tenant else 0
        left = request.remaining_time or max(0, group.client_timeout - request.queueing_delay)
        request.objective_end = now + group.latency_objective - request.queueing_delay
        due = now + left - DUE_ROOM
        request.deadline = due if group.late_weight else min(due, request.objective_end)
        if self.stop_at:
            request.deadline = min(request.deadline, self.stop_at - STOP_ROOM)
        self.stale = request.queueing_delay / group.latency_objective
        self.unread.add(now, self.stale)
        gap = now - self.callers.pop(request.client, -(LINK_STEP << LINK_STEPS))
        self.callers[request.client] = now
        self.returns[min(LINK_STEPS, (gap // LINK_STEP).bit_length())].add(now, gap)
        if len(self.callers) > CALLERS_MOST:
            del self.callers[next(iter(self.callers))]
        self.retries.add(now, request.retry_attempt)
        if not request.retry_attempt:
            self.asked[group.index][tenant].add(now, 1)
        below, breadth = self.ranks[group.index][tenant]
        request.rank = below + breadth * self.chance()
        if self.fair:
            self.fair.arrive(now, request, self.span[group.index], self.run)
            request.rank += request.share_standing
        full = self.memory_kb + request.memory_kb + limits.key_kb > limits.memory_kb * HOLD_ROOM
        # One that repeats another takes its result: no second effect, and a twentieth of the work.
        if request.is_duplicate and (request.request_class.at_most_once or (limits.cache_ttl and not full)):
            self._move(request, RequestState.COALESCED)
            self.host.coalesce(request)
            return self._alarm(request, request.deadline)
        after_grace = self.grace_end and now - request.queueing_delay > self.grace_end - DUE_ROOM
        if after_grace or full or request.deadline <= now:
            return self._deny(request, request.deadline <= now)
        # The ladder.
        depth = self._depth()
        self.depth_stage = next_stage(self.depth_stage, depth, DEPTH, DEPTH_SLACK)
        stage = max(self.depth_stage, self.latency_stage)
        if depth > CPU_QUEUE[max(0, self.cpu_stage - 1)]:
            stage = max(stage, self.cpu_stage)
        if request.share_standing and now + HOPE * self.span[group.index] <= min(
            request.objective_end, request.deadline
        ):
            if request.share_standing < 0 and self._on_cores():  # an idle node takes what comes
                return self._deny(request)
            stage = Stage.NORMAL if request.share_standing > 0 else stage  # room was kept for it
        elif stage == Stage.REJECT or now + self._needed(group.index) > min(
            request.objective_end, request.deadline
        ):
            return self._deny(
                request, request.retry_attempt or self.readings.mean(now, 0.0) > READ_CROWD * limits.cores
            )
        self.cut += min(1.0, CUT_PACE * limits.cores) * (self._cut(depth) - self.cut)
        if stage >= Stage.REORDER and request.rank < self.cut:
            return self._deny(
                request,
                request.retry_attempt or not limits.marks_retries or self.retries.mean(now, 1.0) > RETRIES,
            )
        if request.has_key and (limits.cache_ttl or group.idempotency is Idempotency.IDEMPOTENCY_KEY):
            self._remember(request)
        self._alarm(request, request.deadline)
        if request.reservation:
            self.fair.promises.end(request.reservation, True)  # type: ignore[union-attr]
        if stage == Stage.BACKPRESSURE:
            self._move(request, RequestState.DELAYED)
            self._alarm(request, now + DELAY)
        else:
            self._admit(request)

    def schedule(self, now: int) -> None:
        """After all that came in at one moment: place the calls that can be, start what may run."""
        self.now = now
        while self.waiting and self._place_call(self.waiting[0]):
            self.waiting.popleft()
        limits = self.limits
        reading = self.reading / limits.cores
        self.run = run = (
            max(RUN_LEAST, min(RUN[self._stage() >= Stage.EXPAND], RUN_QUEUE - reading)) * limits.cores
        )
        if self.stale > STALE and reading > RUN_LEAST:
            run = 0  # in a jam one run beside the reading makes all that is read too old to be served
        crowd = (1 + (limits.overload_multiple - 1) * self._warmth()) * limits.cores * CROWD_ROOM
        while self.hold:
            request = self.hold[0][2]
            if request.state is not RequestState.QUEUED:
                heappop(self.hold)
                continue
            on_cores = self._on_cores()
            more = request.memory_kb * (limits.running_memory_factor - 1)
            if (
                on_cores + 0.5 > run
                or on_cores + self.count[RequestState.CALLING] + 1 > crowd
                or self.memory_kb + more > limits.memory_kb * MEMORY_ROOM
            ):
                break
            heappop(self.hold)
            if now + HOPE * self.span[request.request_class.index] > min(
                request.objective_end, request.deadline
            ):
                self._deny(request)  # it waited too long behind higher ranks: no run in vain
                continue
            self._move(request, RequestState.RUNNING)
            self.host.run(request)

    def _admit(self, request: Request) -> None:
        self._move(request, RequestState.QUEUED)
        heappush(self.hold, (-request.rank, next(self.order), request))

    # What the ladder goes by.

    def _stage(self) -> int:
        return max(self.cpu_stage, self.depth_stage, self.latency_stage)

    def _depth(self) -> float:
        """In the hold and on the cores, for each core; those at calls have a bound of their own."""
        held = self.count[RequestState.DELAYED] + self.count[RequestState.QUEUED]
        return max(0, held + self._on_cores() - DEPTH_SPARE) / self.limits.cores

    def _on_cores(self) -> int:
        """Runs, and those whose call we have not placed: these wait on us, not on what lies below."""
        return (
            self.count[RequestState.RUNNING]
            + self.count[RequestState.ORPHANED]
            + self.count[RequestState.AWAITING_CALL]
        )

    def _cut(self, depth: float) -> float:
        """The rank below which an exchange is low: it rises with the signals from REORDER to BACKPRESSURE."""
        signals = ((depth, DEPTH), (self.latency.mean(self.now, 0.0), LATENCY))
        position = max((value - row[2]) / (row[3] - row[2]) for value, row in signals)
        return CUT_MOST * min(1.0, max(0.0, position))

    def _needed(self, group: int) -> int:
        """The time that an exchange of the group must have left, behind what is held."""
        held = self.count[RequestState.QUEUED] + self.count[RequestState.DELAYED]
        wait = sum(self.span) / len(self.span) * held / (RUN[1] * self.limits.cores)
        return int(HOPE * (self.span[group] + wait))

    def _warmth(self) -> float:
        """The least share of full speed that the node may have by now."""
        limits = self.limits
        if not limits.starts_cold or not limits.slow_start_time:
            return 1.0
        warmed = min(1.0, (self.now - self.started) / limits.slow_start_time)
        return limits.slow_start_share + (1 - limits.slow_start_share) * warmed

    # Answers.

    def _deny(self, request: Request, last: bool = True) -> None:
        """Answer at once, with when to come back and whether a try elsewhere is worth its reading."""
        after = self.return_after()
        if self.fair and self.limits.max_retry_after and not self.stop_at:
            after = self.fair.return_after(self.now, request, self.limits.max_retry_after)
        self.host.reject(request, last, after)
        if request.key_retained:
            request.key_retained = False
            self.host.release_key(request)
        self._move(request, RequestState.FINISHED)

    def _give_up(self, request: Request) -> None:
        """Answer at once what can no longer be in time, and stop its work where the host can."""
        if request.state in (RequestState.DELAYED, RequestState.QUEUED):
            return self._deny(request)
        if request.state < RequestState.ORPHANED:
            if request.request_class.at_most_once:
                self.host.fail(request)
            else:
                self.host.reject(request, True, self.return_after())
            self._abandon(request)

    def _abandon(self, request: Request) -> None:
        """Nobody waits for it any more: stop its work where the host can, so that no core is held in vain."""
        if request.state is RequestState.RUNNING:
            self._move(request, RequestState.ORPHANED)
            self.spans[request.request_class.index].add(
                self.now, request.service_time
            )  # or a stuck node would not see it
            if self.limits.stop_kind is not StopKind.NONE:
                self.host.cancel(request)
        elif request.state in (RequestState.AWAITING_CALL, RequestState.CALLING):
            self._end_call(request, self.limits.call_linger)
            self._move(request, RequestState.RELEASING)
        elif request.state < RequestState.ORPHANED:
            self._move(request, RequestState.FINISHED)

    def return_after(self) -> int:
        """When to return: soon where only low ranks are shed, as a caller stays away with all that it has."""
        crowd = 1.0 if self.depth_stage == Stage.REJECT else min(1.0, self.reading / self.limits.cores) ** 3
        crowd *= min(1.0, self.limits.peers / RETRY_PEERS)  # where few could take it, cores idle meanwhile
        return min(int(RETRY_LEAST + (RETRY_AFTER - RETRY_LEAST) * crowd), self.limits.max_retry_after)

    def _move(self, request: Request, state: RequestState) -> None:
        """The one place where an exchange changes its state."""
        old = request.state
        if state not in TRANSITIONS[old]:
            raise RuntimeError(f"an exchange can't go from {old.name} to {state.name}")
        if old is RequestState.RUNNING:
            request.service_time += self.now - request.state_since
        self.count[old] -= 1
        self.count[state] += 1
        self.memory_kb += request.memory_kb * (self.weight[state] - self.weight[old])
        request.state, request.state_since = state, self.now

    def _remember(self, request: Request) -> None:
        """Keep its key: through its time and as long after as its answer may serve."""
        duration = (
            request.request_class.idempotency_window
            if request.request_class.at_most_once
            else max(0, request.deadline - self.now) + self.limits.cache_ttl
        )
        self.host.retain_key(request, duration)
        request.key_retained = True
        self.memory_kb += self.limits.key_kb
        heappush(self.keys, self.now + duration)

    # What the host tells.

    def run_finished(self, now: int, request: Request, outcome: Outcome, latency: int) -> None:
        """A run or a share is over."""
        self.now = now
        state = request.state
        if state is RequestState.FINISHED or outcome is Outcome.NEVER_STARTED:
            return
        self._end_call(request, 0)
        if outcome is Outcome.CANCELLED and state in (
            RequestState.RUNNING,
            RequestState.AWAITING_CALL,
            RequestState.CALLING,
        ):
            self.host.fail(request)  # stopped, but not by us: it must not stay without an answer
        self._move(request, RequestState.FINISHED)
        if outcome is Outcome.COMPLETED and state is RequestState.RUNNING:
            self.spans[request.request_class.index].add(now, request.service_time)
            self.latency.add(
                now,
                (now - request.arrived_at + request.queueing_delay) / request.request_class.latency_objective,
            )

    def client_disconnected(self, now: int, request: Request) -> None:
        """The caller is known to have given up; no answer is owed."""
        self.now = now
        self._abandon(request)

    def drain(self, now: int, left: int | None) -> None:
        """The notice to leave: finish what can be before the stop, answer the rest just before it; None takes
        it back. A further notice brings the stop forward or puts it off, and never the end of the grace."""
        self.now = now
        self.grace_end = 0 if left is None else self.grace_end or now + self.limits.drain_grace
        self.stop_at = 0 if left is None else now + left
        self.host.set_health(left is None, True)
        self._advise()
        for request in [
            request for step in sorted(self.alarms) for request in self.alarms[step] if self.stop_at
        ]:
            if request.deadline > self.stop_at - STOP_ROOM:
                request.deadline = self.stop_at - STOP_ROOM
                self._alarm(request, request.deadline)

    def timer_expired(self, now: int, token: int, gauges: Gauges) -> None:
        """The poll of the ladder, or a step of alarms."""
        self.now = now
        self.reading = max(0.0, gauges.run_queue - self._on_cores())
        self.readings.add(now, self.reading)
        if token != POLL_TOKEN:
            for request in self.alarms.pop(token, ()):
                self._ring(request)
            return
        self.cpu_stage = next_stage(self.cpu_stage, gauges.core_busy, CPU, CPU_SLACK)
        self.latency_stage = next_stage(
            self.latency_stage, self.latency.mean(now, 0.0), LATENCY, LATENCY_SLACK
        )
        self.depth_stage = next_stage(self.depth_stage, self._depth(), DEPTH, DEPTH_SLACK)
        self.span = [ring.mean(now, self.span[index] * SPAN_FADE) for index, ring in enumerate(self.spans)]
        while self.keys and self.keys[0] <= now:
            heappop(self.keys)
            self.memory_kb -= self.limits.key_kb
        self._set_ranks()
        self._advise()
        # One that reads too late can't even deny in time: only callers that leave it out help.
        self.fit = not self.stop_at and self.unread.mean(now, 0.0) < (UNFIT if self.fit else UNFIT / 2)
        self.host.set_health(self.fit, True)
        self._trim(gauges.connections)
        self.host.set_timer(POLL_TOKEN, now + POLL)

    def _trim(self, links: float) -> None:
        """Close idle connections where those who return later don't pay for the places that all take: a full
        table takes of the cores and turns callers away unseen. Where new connections crowd the cores, as on a
        node that a hot key falls to, the table is let fill: whom it has no room for costs nothing."""
        totals = [ring.total(self.now) for ring in self.returns]
        others = sum(count for _, count in totals)
        worth, keep, best, net = LINK_WORTH[self._stage() >= Stage.REAP], LINK_LEAST, 0.0, 0.0
        for step, (time, count) in enumerate(totals[:LINK_STEPS]):
            net, others = net + worth * count - time, others - count
            if net - (LINK_STEP << step) * others > best:
                best, keep = net - (LINK_STEP << step) * others, LINK_STEP << step
        if self.readings.mean(self.now, 0.0) > LINK_CROWD * self.limits.cores:
            keep = max(keep, int(links * SECOND / (LINK_RATE * self.limits.cores)))
        self.host.close_idle(min(self.limits.idle_timeout, keep))

    def _alarm(self, request: Request, at: int) -> None:
        """Look at the exchange again at a time: one timer serves all alarms of a step."""
        step = max(at // ALARM_STEP, self.now // ALARM_STEP + 1)
        if step not in self.alarms:
            self.alarms[step] = []
            self.host.set_timer(step, step * ALARM_STEP)
        self.alarms[step].append(request)

    def _ring(self, request: Request) -> None:
        if self.now + ALARM_STEP > request.deadline:
            self._give_up(request)
        elif request.state is RequestState.AWAITING_CALL:
            if (
                request.request_class.degraded_weight
                and self.now >= request.state_since + CALL_WAIT * request.request_class.latency_objective
            ):
                self._leave_out(request)
        elif request.state is RequestState.DELAYED:
            (self._deny if self.depth_stage == Stage.REJECT else self._admit)(request)

    def _set_ranks(self) -> None:
        """Give each endpoint group and tenant its place, the least benefit for its time first."""
        limits, rows = self.limits, []
        for tenant in range(len(self.asked[0])):
            counts = [rings[tenant].total(self.now)[1] for rings in self.asked]
            rate = sum(counts) * SECOND / min(WINDOW_BUCKETS * WINDOW_STEP, max(1, self.now - self.started))
            allowance = limits.tenants[tenant].allowance_per_s / limits.peers if limits.tenants else 0.0
            within = min(1.0, allowance / rate) if rate and allowance else 1.0
            worth = within + (1 - within) * limits.over_allowance_weight
            for group in limits.request_classes:
                density = group.priority_weight * worth / max(1, self.span[group.index])
                rows.append((density, group.index, tenant, counts[group.index]))
        rows.sort()
        total = sum(row[3] for row in rows) or 1
        below = 0
        for _, index, tenant, number in rows:
            self.ranks[index][tenant] = (below / total, number / total)
            below += number

    def _advise(self) -> None:
        """Tell callers how much to send, in the meaning that they give to the value."""
        kind = self.limits.load_report
        if kind is LoadReportKind.NONE:
            return
        cut = 1.0 if self.stop_at else self.cut
        # A denial costs its reading, one sent elsewhere nothing: lower until what wants a core is bounded.
        crowd = self.reading / self.limits.cores + self._depth()
        step = ADVICE_DOWN if crowd > ADVICE_CROWD else ADVICE_UP
        self.willing = min(1.0, max(ADVICE_LEAST, self.willing * step))
        value = {
            LoadReportKind.MINIMUM_RANK: cut,
            LoadReportKind.ADVERTISED_SHARE: ADVICE_LEAST
            if self.stop_at
            else min(self.willing, self._warmth()),
            LoadReportKind.CONCURRENCY_LIMIT: max(1.0, DEPTH[4] * self.limits.cores * (1 - cut)),
        }[kind]
        if value != self.advice:
            self.advice = value
            self.host.report_load(value)

    # Calls below.

    def call_needed(self, now: int, request: Request) -> None:
        """A run can't go on without a call."""
        self.now = now
        if request.state is RequestState.ORPHANED:
            return self._move(request, RequestState.RELEASING)
        if request.state is RequestState.RUNNING:
            self._move(request, RequestState.AWAITING_CALL)
            self._try_call(request)

    def call_finished(self, now: int, request: Request, outcome: Outcome, latency: int) -> None:
        """A call came back: go on, try again, leave it out, or give the exchange up."""
        self.now = now
        if request.state is not RequestState.CALLING:
            return None
        self._end_call(request, self.limits.call_linger if outcome is Outcome.TIMED_OUT else 0)
        if outcome is Outcome.COMPLETED:
            self.calls_failed = 0
            return self._move(request, RequestState.RUNNING)
        self.calls_failed += 1
        request.failed_calls += 1
        self._move(request, RequestState.AWAITING_CALL)
        broke = outcome in (
            Outcome.CONNECT_FAILED,
            Outcome.RESET,
        )  # its link did: what lies below is not full
        may = not request.request_class.at_most_once or outcome in (
            Outcome.REJECTED,
            Outcome.CONNECT_FAILED,
            Outcome.NEVER_STARTED,
        )  # never ran
        if request.failed_calls < CALL_TRIES and may and (broke or not request.request_class.degraded_weight):
            self._try_call(request)
        elif request.request_class.degraded_weight:
            self._leave_out(request)
        else:
            self._give_up(request)

    def _try_call(self, request: Request) -> None:
        if not self._place_call(request):
            if request.request_class.degraded_weight and self.calls_failed >= BREAK_AFTER:
                return self._leave_out(request)  # no use to wait for what is known to fail
            self.waiting.append(request)
            if request.request_class.degraded_weight:
                self._alarm(
                    request, self.now + int(CALL_WAIT * request.request_class.latency_objective) + ALARM_STEP
                )

    def _leave_out(self, request: Request) -> None:
        self.host.skip_call(request)
        self._move(request, RequestState.RUNNING)

    def _place_call(self, request: Request) -> bool:
        """Place its call if the breaker and the share of what lies below leave room."""
        if request.state is not RequestState.AWAITING_CALL:
            return True
        limits, now = self.limits, self.now
        if self.calls_failed >= BREAK_AFTER and now < self.trial_at:
            return False
        until = request.deadline
        if request.request_class.degraded_weight:  # leave time to end without the call
            until = max(now + MS, until - int(self.span[request.request_class.index]))
        if limits.downstream is DownstreamKind.SHARED and limits.downstream_quota:
            budget = limits.downstream_quota * limits.downstream_window * CALL_ROOM
            until = min(
                until, now + int(min(request.request_class.latency_objective * CALL_TIME, budget / 2))
            )
            commit = until - now + limits.call_linger
            crowd = max(1.0, limits.downstream_quota * CALL_CROWD)
            if (
                self.count[RequestState.CALLING] + 1 > crowd
                or self.calls_time.total(now)[0] + self.calls_booked + commit > budget
            ):
                return False
            request.committed_call_time = commit
            self.calls_booked += commit
        self.trial_at = now + TRIAL_EVERY
        self.host.call(request, until)
        self._move(request, RequestState.CALLING)
        return True

    def _end_call(self, request: Request, linger: int) -> None:
        """Book the time that a call was in the hands of what lies below."""
        if request.state is RequestState.CALLING:
            self.calls_booked -= request.committed_call_time
            request.committed_call_time = 0
            self.calls_time.add(self.now, self.now - request.state_since + linger)
