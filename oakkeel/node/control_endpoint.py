"""What a node tells of itself on its control links, and what it takes there. Loaded only where it has any."""

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
    """Raises OSError where its socket can't be made."""
    return ControlListener(node.start.control, ControlEndpoint(node), node.resource_limits, node.log)


class ControlEndpoint:
    def __init__(self, node: NodeContext) -> None:
        self.node, self.started = node, time.monotonic_ns()
        self.outcomes = OutcomeCounters(
            max((each.priority_weight for each in node.start.limits.request_classes), default=1.0)
        )
        self.version = os.environ.get("OAKKEEL_VERSION", "")
        node.measures.watch = self._answered

    def _answered(self, request: NodeRequest, word: bytes) -> None:
        self.outcomes.answered(
            time.monotonic_ns(),
            request,
            request.class_name.decode(errors="replace")[:64],
            word == codec.COMPLETED,
        )

    def report(self, tag: int) -> NodeStatus:
        node, now = self.node, time.monotonic_ns()
        host, port = node.listener.address
        report = NodeStatus(
            tag=tag,
            name=node.start.name,
            pid=os.getpid(),
            generation=node.start.generation,
            state=self._state(now),
            address=f"{host}:{port}",
            uptime=now - self.started,
            resident_kb=resident_bytes() // 1024,
            descriptors=open_descriptors(),
            connections=len(node.listener.connections),
            owes=len(node.open),
            cpu=time.process_time_ns(),
            completed=node.measures.total.get(codec.COMPLETED, 0),
            denied=node.measures.total.get(codec.REJECTED, 0),
            terminated=node.measures.total.get(codec.FAILED, 0),
            version=self.version,
            load=round(node.host.gauges.core_busy, 4),
            benefit=self.outcomes.benefit,
            times=self.outcomes.times,
        )
        if node.host.gauges_at:
            report.gauges_age = now - node.host.gauges_at
        if node.host.begun:
            admission = node.host.admission
            report.stage = Stage(
                max(admission.cpu_stage, admission.depth_stage, admission.latency_stage)
            ).name
            report.cut, report.memory_kb = round(admission.cut, 4), round(admission.memory_kb, 1)
            report.hold = admission.count[RequestState.DELAYED] + admission.count[RequestState.QUEUED]
            report.runs = admission.count[RequestState.RUNNING] + admission.count[RequestState.ORPHANED]
            report.calls = admission.count[RequestState.AWAITING_CALL] + admission.count[RequestState.CALLING]
        if node.draining:
            report.owes_by = dict(
                Counter(
                    request.class_name.decode(errors="replace")
                    for each in node.listener.connections
                    for request in each.open_requests.values()
                )
            )
        return report

    def clients(self, tag: int, most: int) -> ClientsStatus:
        fairly = self.node.fairly
        return fairly.told(tag, most) if fairly and self.node.host.begun else ClientsStatus(tag, [])

    def _state(self, now: int) -> str:
        node = self.node
        if node.draining:
            return "draining"
        if not node.host.begun:
            return "waiting"
        limits = node.start.limits
        return (
            "cold"
            if limits.starts_cold and now - node.host.admission.started < limits.slow_start_time
            else "serving"
        )

    def ordered_to_leave(self, generation: int, within: int) -> str:
        if generation != self.node.start.generation:
            return f"this is generation {self.node.start.generation}"
        self.node.draining.leave(within, final=False)
        return ""

    def ordered_to_stay(self, generation: int) -> str:
        if generation != self.node.start.generation:
            return f"this is generation {self.node.start.generation}"
        return self.node.draining.stay()
