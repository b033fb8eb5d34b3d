"""Simulated dispatchers: requests arrive at random, open loop, and each is attempted on one node or more."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum, StrEnum
from random import Random

from oakkeel.admission.types import NodeLimits, Request, RequestClass
from oakkeel.emulator.clock import Clock
from oakkeel.emulator.invariants import RuleAudit
from oakkeel.emulator.nodes import ResponseStatus, SimulatedNode
from oakkeel.units import MS, SECOND

EXPECTED_KB = 25.0  # memory that a dispatcher announces for a request
LATENCY_SMOOTHING = 0.2  # weight of the newest latency in a node's moving average
MAX_DELAY_FACTOR = 8  # a network delay this many times the mean is still within the deadline
TIMEOUT_MARGIN_NS = 100 * MS  # past timeout and network, before an unanswered attempt is abandoned
REQUEST_ID_RANGE = 100_000_000  # attempt IDs of one dispatcher
HASH_MULTIPLIER = 2654435761  # Knuth's multiplicative hash


class BalancingPolicy(Enum):
    """How a dispatcher chooses among the nodes that it sees as available."""

    ROUND_ROBIN = "round"
    LEAST_REQUESTS = "least"  # fewest open requests of this dispatcher
    HASH = "subject"  # by the request's routing key
    LEAST_LATENCY = "fastest"  # by the moving average of latencies


class RequestResult(StrEnum):
    """The result of a request at its dispatcher; the values are keys of the JSON record."""

    COMPLETED = "completed"
    GAVE_UP = "given up"  # no further attempt is safe, allowed or in time
    UNSENT = "unsent"  # no node was available


@dataclass(slots=True, frozen=True)
class ClientBehavior:
    """How a dispatcher treats its requests and nodes; times in nanoseconds."""

    policy: BalancingPolicy = BalancingPolicy.ROUND_ROBIN
    max_attempts: int = 3
    timeout: int = 2 * SECOND  # of an attempt, and of all attempts together
    abandon_after: int = 0  # without a response; the node sees the client disconnect; 0: only at the timeout
    honors_retry_after: bool = True  # avoids a node for as long as its rejection asks
    delay: int = MS  # mean one-way network delay
    loss: float = 0.0  # share of attempts that never reach their node

    @property
    def delay_allowance(self) -> int:
        """Nanoseconds allowed for a round trip of the network, far above its mean."""
        return 2 * self.delay * MAX_DELAY_FACTOR


class NodeView:
    """What a dispatcher knows of one node."""

    __slots__ = ("avoid_until", "mean_latency", "node", "open_requests")

    def __init__(self, node: SimulatedNode) -> None:
        """Start with a node that has been sent nothing."""
        self.node = node
        self.open_requests = 0
        self.avoid_until = 0
        self.mean_latency = 0.0

    def record_latency(self, latency: int) -> None:
        """Count a request as closed and take its latency, in nanoseconds, into the moving average."""
        self.open_requests -= 1
        self.mean_latency += LATENCY_SMOOTHING * (latency - self.mean_latency)


class ClientRequest:
    """One request with all its attempts."""

    __slots__ = ("attempts", "cost", "finished", "name", "request_class", "routing_key", "started_at")

    def __init__(
        self, name: str, request_class: RequestClass, started_at: int, routing_key: int, cost: float
    ) -> None:
        """`cost`: nanoseconds of a core at full speed."""
        self.name = name
        self.request_class = request_class
        self.started_at = started_at
        self.routing_key = routing_key
        self.cost = cost
        self.attempts = 0
        self.finished = False


class ClientAttempt:
    """One attempt of a request on one node, from the dispatcher's side."""

    __slots__ = ("closed", "dispatcher", "request_id", "sent_at", "view", "wire_request", "work")

    def __init__(
        self,
        dispatcher: Dispatcher,
        work: ClientRequest,
        view: NodeView,
        request_id: int,
        wire_request: Request,
    ) -> None:
        """Open an attempt; `send` transmits it."""
        self.dispatcher = dispatcher
        self.work = work
        self.view = view
        self.request_id = request_id
        self.wire_request = wire_request
        self.sent_at = dispatcher.clock.now
        self.closed = False

    def send(self) -> None:
        """Transmit the request, unless it gets lost, and set the timer that abandons the attempt."""
        dispatcher = self.dispatcher
        node = self.view.node
        behavior = dispatcher.behavior
        due = self.sent_at + min(behavior.timeout, self.work.request_class.client_timeout)
        dispatcher.audit.sent(
            self.request_id,
            self.sent_at,
            due + behavior.delay_allowance,
            self.work.request_class.at_most_once,
            self.work.name,
            node.name,
        )
        self.view.open_requests += 1
        if dispatcher.random.random() < behavior.loss or not node.alive:
            dispatcher.audit.excused(self.request_id, self.sent_at)
        else:
            dispatcher.clock.call_after(
                dispatcher.network_delay(),
                node.receive,
                self.request_id,
                self.wire_request,
                self.work.cost,
                self._on_response_sent,
            )
        wait = behavior.abandon_after or behavior.timeout + behavior.delay_allowance + TIMEOUT_MARGIN_NS
        dispatcher.clock.call_after(wait, self._on_timeout)

    def _on_response_sent(self, status: ResponseStatus, retry_after: int) -> None:
        """The node responded; the response is on its way."""
        dispatcher = self.dispatcher
        dispatcher.audit.answered(self.request_id, dispatcher.clock.now, status)
        dispatcher.clock.call_after(dispatcher.network_delay(), self._on_response, status, retry_after)

    def _on_response(self, status: ResponseStatus, retry_after: int) -> None:
        if self.closed:
            return
        dispatcher = self.dispatcher
        self._close()
        if status is ResponseStatus.COMPLETED:
            dispatcher.finish(self.work, RequestResult.COMPLETED)
            return
        dispatcher.counts[status] += 1
        if retry_after:
            self.view.avoid_until = dispatcher.clock.now + retry_after
        dispatcher.retry(
            self.work, self.work.request_class.at_most_once and status is not ResponseStatus.REJECTED
        )

    def _on_timeout(self) -> None:
        """Abandon the attempt: its node sees the client disconnect."""
        if self.closed:
            return
        dispatcher = self.dispatcher
        self._close()
        dispatcher.audit.excused(self.request_id, dispatcher.clock.now)  # the node need not respond any more
        dispatcher.clock.call_after(
            dispatcher.network_delay(), self.view.node.client_disconnected, self.wire_request
        )
        dispatcher.retry(self.work, self.work.request_class.at_most_once)

    def _close(self) -> None:
        self.closed = True
        self.view.record_latency(self.dispatcher.clock.now - self.sent_at)


class Dispatcher:
    """An open-loop load generator with its own view of the nodes and its own balancing policy."""

    def __init__(
        self,
        number: int,
        clock: Clock,
        limits: NodeLimits,
        mean_costs: list[float],
        behavior: ClientBehavior,
        audit: RuleAudit,
        seed: int,
    ) -> None:
        """`mean_costs`: nanoseconds of a core that a request of each request class takes in the mean."""
        self.number = number
        self.clock = clock
        self.limits = limits
        self.mean_costs = mean_costs
        self.behavior = behavior
        self.audit = audit
        self.random = Random(seed)
        self.views: list[NodeView] = []
        self.rate = 0.0
        self.next_index = 0  # of the round robin
        self.requests_created = 0
        self.attempts_sent = 0
        self.counts: Counter[str] = Counter()
        self.goodput = 0.0
        self.latencies: list[int] = []

    def set_nodes(self, nodes: list[SimulatedNode]) -> None:
        """Take the nodes that the directory lists now; what is known of those that stay is retained."""
        known = {view.node: view for view in self.views}
        self.views = [known.get(node) or NodeView(node) for node in nodes]

    def set_rate(self, rate: float) -> None:
        """Set the number of requests created a second."""
        was_idle = self.rate <= 0
        self.rate = rate
        if was_idle and rate > 0:
            self._schedule_next()

    def _schedule_next(self) -> None:
        if self.rate > 0:
            self.clock.call_after(int(self.random.expovariate(self.rate) * SECOND), self._create_request)

    def _create_request(self) -> None:
        self._schedule_next()
        self.requests_created += 1
        class_index = self.random.randrange(len(self.mean_costs))
        cost = self.mean_costs[class_index] * (0.5 + self.random.random())
        work = ClientRequest(
            f"{self.number}.{self.requests_created}",
            self.limits.request_classes[class_index],
            self.clock.now,
            int(self.random.paretovariate(1.1)),
            cost,
        )
        self.counts["asked"] += 1
        self._attempt(work)

    def _choose(self, work: ClientRequest) -> NodeView | None:
        policy = self.behavior.policy
        if policy is BalancingPolicy.ROUND_ROBIN:
            return self._choose_round_robin()
        views = [view for view in self.views if self._is_available(view)]
        if not views:
            return None
        if policy is BalancingPolicy.HASH:
            return views[(work.routing_key * HASH_MULTIPLIER + work.attempts) % len(views)]
        if policy is BalancingPolicy.LEAST_REQUESTS:
            return min(views, key=lambda view: (view.open_requests, self.random.random()))
        if policy is BalancingPolicy.LEAST_LATENCY:
            return min(views, key=lambda view: (view.mean_latency, self.random.random()))
        raise ValueError(f"unknown balancing policy: {policy}")

    def _choose_round_robin(self) -> NodeView | None:
        """Return the next available node without looking at the whole of a large fleet."""
        for _ in self.views:
            self.next_index += 1
            view = self.views[self.next_index % len(self.views)]
            if self._is_available(view):
                return view
        return None

    def _is_available(self, view: NodeView) -> bool:
        avoided = self.behavior.honors_retry_after and view.avoid_until > self.clock.now
        return view.node.healthy and not avoided

    def _attempt(self, work: ClientRequest) -> None:
        view = self._choose(work)
        if view is None:
            self.finish(work, RequestResult.UNSENT)
            return
        work.attempts += 1
        self.attempts_sent += 1
        request_id = self.number * REQUEST_ID_RANGE + self.attempts_sent
        is_retry = work.attempts > 1
        wire_request = Request(
            work.request_class,
            None,
            self.number,
            EXPECTED_KB,
            is_retry,
            self.behavior.timeout,
            0,
            False,
            False,
        )
        ClientAttempt(self, work, view, request_id, wire_request).send()

    def retry(self, work: ClientRequest, may_have_run: bool) -> None:
        """Attempt the request again where that is safe and its timeout and attempts allow it."""
        timed_out = self.clock.now - work.started_at >= self.behavior.timeout
        if may_have_run or work.attempts >= self.behavior.max_attempts or timed_out:
            self.finish(work, RequestResult.GAVE_UP)
            return
        self._attempt(work)

    def finish(self, work: ClientRequest, result: RequestResult) -> None:
        """Count the request's result, once."""
        if work.finished:
            return
        work.finished = True
        self.counts[result] += 1
        if result is RequestResult.COMPLETED:
            request_class = work.request_class
            latency = self.clock.now - work.started_at
            self.latencies.append(latency)
            in_time = latency <= request_class.latency_objective
            self.goodput += request_class.priority_weight * (1.0 if in_time else request_class.late_weight)

    def network_delay(self) -> int:
        """Draw a one-way delay in nanoseconds."""
        return int(self.random.expovariate(1.0) * self.behavior.delay)
