"""Status reports and drain orders of a node. Imported only if the node has a control link."""

from __future__ import annotations

import os
import time
from collections import Counter

from oakkeel.admission import Stage
from oakkeel.admission.types import RequestState
from oakkeel.control.listener import ControlListener
from oakkeel.control.messages import ClientsStatus, NodeStatus, ServingState
from oakkeel.dispatch import codec
from oakkeel.errors import OrderRefusedError
from oakkeel.node.context import NodeContext
from oakkeel.node.metrics import open_descriptors, resident_bytes
from oakkeel.node.outcome_counters import OutcomeCounters
from oakkeel.request import NodeRequest

MAX_CLASS_NAME_LENGTH = 64  # characters
STATUS_DECIMALS = 4
BYTES_PER_KB = 1024


class WrongGenerationError(OrderRefusedError):
    """An order is for another generation: the node has restarted since the order was sent."""

    def __init__(self, order_generation: int, node_generation: int) -> None:
        """Name the generation of the order and the generation of this process in the message."""
        super().__init__(
            f"the order is for generation {order_generation}, but the node is of generation {node_generation}"
        )


def open_control(node: NodeContext) -> ControlListener:
    """Bind the control socket of a node; raises OSError."""
    return ControlListener(
        node.configuration.control_path, ControlEndpoint(node), node.resource_limits, node.log
    )


class ControlEndpoint:
    """The `ControlTarget` of one node."""

    def __init__(self, node: NodeContext) -> None:
        """Start to count the outcomes of the node's requests."""
        self.node = node
        self.started_at = time.monotonic_ns()
        weights = (
            request_class.priority_weight for request_class in node.configuration.limits.request_classes
        )
        self.outcomes = OutcomeCounters(max(weights, default=1.0))
        self.version = os.environ.get("OAKKEEL_VERSION", "")
        node.metrics.answer_observer = self._count_answer

    def _count_answer(self, request: NodeRequest, status: bytes) -> None:
        self.outcomes.count(
            time.monotonic_ns(),
            request,
            request.class_name.decode(errors="replace")[:MAX_CLASS_NAME_LENGTH],
            status == codec.COMPLETED,
        )

    def status(self, tag: int) -> NodeStatus:
        """Return the present state of the node, for the request with this tag."""
        node = self.node
        now = time.monotonic_ns()
        host, port = node.listener.address
        status = NodeStatus(
            tag=tag,
            name=node.configuration.name,
            pid=os.getpid(),
            generation=node.configuration.generation,
            state=self._serving_state(now).value,
            address=f"{host}:{port}",
            uptime=now - self.started_at,
            resident_kb=resident_bytes() // BYTES_PER_KB,
            descriptors=open_descriptors(),
            connections=len(node.listener.connections),
            open_requests=len(node.open_requests),
            cpu=time.process_time_ns(),
            completed=node.metrics.answers_total.get(codec.COMPLETED, 0),
            rejected=node.metrics.answers_total.get(codec.REJECTED, 0),
            failed=node.metrics.answers_total.get(codec.FAILED, 0),
            version=self.version,
            load=round(node.host.gauges.core_busy, STATUS_DECIMALS),
            earned_weight=self.outcomes.earned_weight.as_list(),
            latencies={name: moments.as_list() for name, moments in self.outcomes.latencies.items()},
        )
        if node.host.gauges_read_at:
            status.gauges_age = now - node.host.gauges_read_at
        if node.host.is_started:
            self._add_admission(status)
        if node.drain.is_started:
            status.open_by_class = self._count_open_by_class()
        return status

    def _add_admission(self, status: NodeStatus) -> None:
        """Fill in the fields that the admission controller provides."""
        admission = self.node.host.admission
        status.stage = Stage(admission.overload.highest()).name
        status.shedding_threshold = round(admission.shedding.threshold, STATUS_DECIMALS)
        status.memory_kb = round(admission.occupancy.memory_kb, 1)
        status.queued = admission.occupancy.waiting_count()
        count_by_state = admission.occupancy.counts
        status.running = count_by_state[RequestState.RUNNING] + count_by_state[RequestState.ORPHANED]
        status.calling = count_by_state[RequestState.AWAITING_CALL] + count_by_state[RequestState.CALLING]

    def _count_open_by_class(self) -> dict[str, int]:
        return dict(
            Counter(
                request.class_name.decode(errors="replace")
                for connection in self.node.listener.connections
                for request in connection.open_requests.values()
            )
        )

    def clients_status(self, tag: int, limit: int) -> ClientsStatus:
        """Return at most `limit` of the heaviest clients; none if fair sharing is off or has not started."""
        fair_sharing = self.node.fair_sharing
        if fair_sharing and self.node.host.is_started:
            return fair_sharing.clients_status(tag, limit)
        return ClientsStatus(tag, [])

    def _serving_state(self, now: int) -> ServingState:
        node = self.node
        if node.drain.is_started:
            return ServingState.DRAINING
        if not node.host.is_started:
            return ServingState.WAITING
        limits = node.configuration.limits
        is_in_slow_start = (
            limits.starts_cold and now - node.host.admission.started_at < limits.slow_start_time
        )
        return ServingState.WARMING_UP if is_in_slow_start else ServingState.SERVING

    def request_drain(self, generation: int, timeout: int) -> None:
        """Start a drain of at most `timeout` nanoseconds. Raises `OrderRefusedError`."""
        self._check_generation(generation)
        self.node.drain.start(timeout)

    def cancel_drain(self, generation: int) -> None:
        """Cancel the drain. Raises `OrderRefusedError`."""
        self._check_generation(generation)
        self.node.drain.cancel()

    def _check_generation(self, generation: int) -> None:
        node_generation = self.node.configuration.generation
        if generation != node_generation:
            raise WrongGenerationError(generation, node_generation)
