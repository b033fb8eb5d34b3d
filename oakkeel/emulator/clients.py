"""Simulated dispatchers: an open-loop load of random requests, each attempted on one or more nodes."""

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

EXPECTED_KB = 25.0  # memory that a dispatcher expects a request to take
LATENCY_SMOOTHING = 0.2  # weight of the newest latency in a node's moving average
MAX_DELAY_FACTOR = 8  # the delay allowance covers a network delay this many times the mean
TIMEOUT_MARGIN_NS = 100 * MS  # added to timeout and delay allowance before an attempt is abandoned
REQUEST_ID_RANGE = 100_000_000  # number of attempt IDs of one dispatcher
HASH_MULTIPLIER = 2654435761  # Knuth's multiplicative hash


class BalancingPolicy(Enum):
    """How a dispatcher chooses among the nodes that it considers available."""

    ROUND_ROBIN = "round"
    LEAST_REQUESTS = "least"  # fewest open requests of this dispatcher
    HASH = "subject"  # hash of the request's routing key
    LEAST_LATENCY = "fastest"  # lowest moving average of latencies


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
    timeout: int = 2 * SECOND  # of each attempt, and of all attempts of a request together
    abandon_after: int = 0  # disconnects if no response has arrived by then; 0: at the timeout
    honors_retry_after: bool = True  # avoids a node for the time that its response asks for
    network_delay: int = MS  # mean one-way network delay
    loss_ratio: float = 0.0  # share of attempts that never reach their node

    @property
    def delay_allowance(self) -> int:
        """Nanoseconds allowed for a network round trip, far above its mean."""
        return 2 * self.network_delay * MAX_DELAY_FACTOR


class NodeView:
    """A dispatcher's view of one node."""

    __slots__ = ("avoid_until", "mean_latency", "node", "open_requests")

    def __init__(self, node: SimulatedNode) -> None:
        """Create the view of a node that has received no request yet."""
        self.node = node
        self.open_requests = 0
        self.avoid_until = 0
        self.mean_latency = 0.0

    def record_latency(self, latency: int) -> None:
        """Count a request as closed and add its latency, in nanoseconds, to the moving average."""
        self.open_requests -= 1
        self.mean_latency += LATENCY_SMOOTHING * (latency - self.mean_latency)


class ClientRequest:
    """One request of a client, attempted once or more."""

    __slots__ = ("attempts", "cost", "is_finished", "name", "request_class", "routing_key", "started_at")

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
        self.is_finished = False


class ClientAttempt:
    """One attempt of a request on one node, from the dispatcher's side."""

    __slots__ = ("client_request", "dispatcher", "is_closed", "request_id", "sent_at", "view", "wire_request")

    def __init__(
        self,
        dispatcher: Dispatcher,
        client_request: ClientRequest,
        view: NodeView,
        request_id: int,
        wire_request: Request,
    ) -> None:
        """Create an attempt; `send` sends it."""
        self.dispatcher = dispatcher
        self.client_request = client_request
        self.view = view
        self.request_id = request_id
        self.wire_request = wire_request
        self.sent_at = dispatcher.clock.now
        self.is_closed = False

    def send(self) -> None:
        """Send the request, unless it is lost, and set the timer that abandons the attempt."""
        dispatcher = self.dispatcher
        node = self.view.node
        behavior = dispatcher.behavior
        deadline = self.sent_at + min(behavior.timeout, self.client_request.request_class.client_timeout)
        dispatcher.audit.attempt_sent(
            self.request_id,
            self.sent_at,
            deadline + behavior.delay_allowance,
            self.client_request.request_class.at_most_once,
            self.client_request.name,
            node.name,
        )
        self.view.open_requests += 1
        if dispatcher.random.random() < behavior.loss_ratio or not node.alive:
            dispatcher.audit.waive_response(self.request_id, self.sent_at)
        else:
            dispatcher.clock.call_after(
                dispatcher.draw_network_delay(),
                node.receive,
                self.request_id,
                self.wire_request,
                self.client_request.cost,
                self._on_response_sent,
            )
        abandon_after = (
            behavior.abandon_after or behavior.timeout + behavior.delay_allowance + TIMEOUT_MARGIN_NS
        )
        dispatcher.clock.call_after(abandon_after, self._on_timeout)

    def _on_response_sent(self, status: ResponseStatus, retry_after: int) -> None:
        """Handle a response sent by the node; the dispatcher receives it after the network delay."""
        dispatcher = self.dispatcher
        dispatcher.audit.response_sent(self.request_id, dispatcher.clock.now, status)
        dispatcher.clock.call_after(dispatcher.draw_network_delay(), self._on_response, status, retry_after)

    def _on_response(self, status: ResponseStatus, retry_after: int) -> None:
        if self.is_closed:
            return
        dispatcher = self.dispatcher
        self._close()
        if status is ResponseStatus.COMPLETED:
            dispatcher.finish(self.client_request, RequestResult.COMPLETED)
            return
        dispatcher.counts[status] += 1
        if retry_after:
            self.view.avoid_until = dispatcher.clock.now + retry_after
        dispatcher.retry(
            self.client_request,
            self.client_request.request_class.at_most_once and status is not ResponseStatus.REJECTED,
        )

    def _on_timeout(self) -> None:
        """Abandon the attempt and disconnect from the node."""
        if self.is_closed:
            return
        dispatcher = self.dispatcher
        self._close()
        dispatcher.audit.waive_response(self.request_id, dispatcher.clock.now)
        dispatcher.clock.call_after(
            dispatcher.draw_network_delay(), self.view.node.client_disconnected, self.wire_request
        )
        dispatcher.retry(self.client_request, self.client_request.request_class.at_most_once)

    def _close(self) -> None:
        self.is_closed = True
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
        """`mean_costs`: mean cost of a request by request class, in nanoseconds of a core."""
        self.number = number
        self.clock = clock
        self.limits = limits
        self.mean_costs = mean_costs
        self.behavior = behavior
        self.audit = audit
        self.random = Random(seed)
        self.views: list[NodeView] = []
        self.rate = 0.0  # requests created per second
        self.next_index = 0  # of the view that the round-robin policy uses next
        self.requests_created = 0
        self.attempts_sent = 0
        # requests by result, other responses by status, and "asked" for all requests
        self.counts: Counter[str] = Counter()
        self.goodput = 0.0  # sum of the priority weights of completed requests, reduced for late ones
        self.latencies: list[int] = []  # of completed requests, in nanoseconds

    def set_nodes(self, nodes: list[SimulatedNode]) -> None:
        """Set the nodes listed by the directory; the views of nodes that are still listed are kept."""
        views_by_node = {view.node: view for view in self.views}
        self.views = [views_by_node.get(node) or NodeView(node) for node in nodes]

    def set_rate(self, rate: float) -> None:
        """Set the number of requests created per second."""
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
        client_request = ClientRequest(
            f"{self.number}.{self.requests_created}",
            self.limits.request_classes[class_index],
            self.clock.now,
            int(self.random.paretovariate(1.1)),
            cost,
        )
        self.counts["asked"] += 1
        self._send_attempt(client_request)

    def _choose_node(self, client_request: ClientRequest) -> NodeView | None:
        policy = self.behavior.policy
        if policy is BalancingPolicy.ROUND_ROBIN:
            return self._choose_node_round_robin()
        views = [view for view in self.views if self._is_available(view)]
        if not views:
            return None
        if policy is BalancingPolicy.HASH:
            return views[
                (client_request.routing_key * HASH_MULTIPLIER + client_request.attempts) % len(views)
            ]
        if policy is BalancingPolicy.LEAST_REQUESTS:
            return min(views, key=lambda view: (view.open_requests, self.random.random()))
        if policy is BalancingPolicy.LEAST_LATENCY:
            return min(views, key=lambda view: (view.mean_latency, self.random.random()))
        raise ValueError(f"unknown balancing policy: {policy}")

    def _choose_node_round_robin(self) -> NodeView | None:
        """Return the next available node, without checking all nodes of a large fleet."""
        for _ in self.views:
            self.next_index += 1
            view = self.views[self.next_index % len(self.views)]
            if self._is_available(view):
                return view
        return None

    def _is_available(self, view: NodeView) -> bool:
        is_avoided = self.behavior.honors_retry_after and view.avoid_until > self.clock.now
        return view.node.healthy and not is_avoided

    def _send_attempt(self, client_request: ClientRequest) -> None:
        view = self._choose_node(client_request)
        if view is None:
            self.finish(client_request, RequestResult.UNSENT)
            return
        client_request.attempts += 1
        self.attempts_sent += 1
        request_id = self.number * REQUEST_ID_RANGE + self.attempts_sent
        is_retry = client_request.attempts > 1
        wire_request = Request(
            client_request.request_class,
            None,
            self.number,
            EXPECTED_KB,
            is_retry,
            self.behavior.timeout,
            0,
            False,
            False,
        )
        ClientAttempt(self, client_request, view, request_id, wire_request).send()

    def retry(self, client_request: ClientRequest, may_have_run: bool) -> None:
        """Send another attempt if that is safe and the timeout and the maximum of attempts allow it."""
        has_timed_out = self.clock.now - client_request.started_at >= self.behavior.timeout
        if may_have_run or client_request.attempts >= self.behavior.max_attempts or has_timed_out:
            self.finish(client_request, RequestResult.GAVE_UP)
            return
        self._send_attempt(client_request)

    def finish(self, client_request: ClientRequest, result: RequestResult) -> None:
        """Count the result of a request; further results of the same request are ignored."""
        if client_request.is_finished:
            return
        client_request.is_finished = True
        self.counts[result] += 1
        if result is RequestResult.COMPLETED:
            request_class = client_request.request_class
            latency = self.clock.now - client_request.started_at
            self.latencies.append(latency)
            is_in_time = latency <= request_class.latency_objective
            self.goodput += request_class.priority_weight * (1.0 if is_in_time else request_class.late_weight)

    def draw_network_delay(self) -> int:
        """Draw a one-way network delay in nanoseconds."""
        return int(self.random.expovariate(1.0) * self.behavior.network_delay)
