"""What a node reports and accepts on its control links. Loaded only where it has any."""

from __future__ import annotations

import os
import time
from collections import Counter

from oakkeel.admission import Stage
from oakkeel.admission.types import RequestState
from oakkeel.control.listener import ControlListener
from oakkeel.control.messages import ClientsStatus, NodeStatus
from oakkeel.dispatch import codec
from oakkeel.node.context import NodeContext
from oakkeel.node.metrics import open_descriptors, resident_bytes
from oakkeel.node.outcome_counters import OutcomeCounters
from oakkeel.request import NodeRequest


def open_control(node: NodeContext) -> ControlListener:
    """Bind the control socket of a node; raises OSError where it can't be made."""
    return ControlListener(node.configuration.control, ControlEndpoint(node), node.resource_limits, node.log)


class ControlEndpoint:
    """The `ControlTarget` of one node."""

    def __init__(self, node: NodeContext) -> None:
        """Count the outcomes of the node's requests from now on."""
        self.node, self.started = node, time.monotonic_ns()
        weights = (
            request_class.priority_weight for request_class in node.configuration.limits.request_classes
        )
        self.outcomes = OutcomeCounters(max(weights, default=1.0))
        self.version = os.environ.get("OAKKEEL_VERSION", "")
        node.metrics.answer_observer = self._count_answer

    def _count_answer(self, request: NodeRequest, word: bytes) -> None:
        self.outcomes.count(
            time.monotonic_ns(),
            request,
            request.class_name.decode(errors="replace")[:64],
            word == codec.COMPLETED,
        )

    def status(self, tag: int) -> NodeStatus:
        """The state of the node by now."""
        node, now = self.node, time.monotonic_ns()
        host, port = node.listener.address
        status = NodeStatus(
            tag=tag,
            name=node.configuration.name,
            pid=os.getpid(),
            generation=node.configuration.generation,
            state=self._state(now),
            address=f"{host}:{port}",
            uptime=now - self.started,
            resident_kb=resident_bytes() // 1024,
            descriptors=open_descriptors(),
            connections=len(node.listener.connections),
            open_requests=len(node.open_requests),
            cpu=time.process_time_ns(),
            completed=node.metrics.answers_total.get(codec.COMPLETED, 0),
            rejected=node.metrics.answers_total.get(codec.REJECTED, 0),
            failed=node.metrics.answers_total.get(codec.FAILED, 0),
            version=self.version,
            load=round(node.host.gauges.core_busy, 4),
            earned_weight=self.outcomes.earned_weight,
            latencies=self.outcomes.latencies,
        )
        if node.host.gauges_read_at:
            status.gauges_age = now - node.host.gauges_read_at
        if node.host.started:
            self._add_admission(status)
        if node.drain:
            status.open_by_class = self._open_by_class()
        return status

    def _add_admission(self, status: NodeStatus) -> None:
        """Fill in what the admission controller counts."""
        admission = self.node.host.admission
        status.stage = Stage(admission.overload.highest()).name
        status.shedding_threshold = round(admission.shedding.threshold, 4)
        status.memory_kb = round(admission.occupancy.memory_kb, 1)
        status.queued, count = admission.occupancy.waiting(), admission.occupancy.count
        status.running = count[RequestState.RUNNING] + count[RequestState.ORPHANED]
        status.calling = count[RequestState.AWAITING_CALL] + count[RequestState.CALLING]

    def _open_by_class(self) -> dict[str, int]:
        return dict(
            Counter(
                request.class_name.decode(errors="replace")
                for connection in self.node.listener.connections
                for request in connection.open_requests.values()
            )
        )

    def clients_status(self, tag: int, limit: int) -> ClientsStatus:
        """The heaviest clients, none where fair sharing is off or has not started."""
        fair_sharing = self.node.fair_sharing
        if fair_sharing and self.node.host.started:
            return fair_sharing.clients_status(tag, limit)
        return ClientsStatus(tag, [])

    def _state(self, now: int) -> str:
        node = self.node
        if node.drain:
            return "draining"
        if not node.host.started:
            return "waiting"
        limits = node.configuration.limits
        in_slow_start = limits.starts_cold and now - node.host.admission.started < limits.slow_start_time
        return "cold" if in_slow_start else "serving"

    def _refusal(self, generation: int) -> str:
        """Why an order for that generation is refused; empty where it is this one."""
        own = self.node.configuration.generation
        return "" if generation == own else f"this is generation {own}"

    def request_drain(self, generation: int, timeout: int) -> str:
        """Start a drain; returns why not, empty where it starts."""
        refusal = self._refusal(generation)
        if not refusal:
            self.node.drain.start(timeout, final=False)
        return refusal

    def cancel_drain(self, generation: int) -> str:
        """Cancel the drain; returns why not, empty where it does."""
        return self._refusal(generation) or self.node.drain.cancel()
