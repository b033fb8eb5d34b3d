"""The report of a heartbeat on one target: its status for releases, and its requests in flight."""

from __future__ import annotations

from oakkeel.agent.instances import Instance, Phase
from oakkeel.control.messages import NodeStatus
from oakkeel.rollout.messages import TargetStatus
from oakkeel.rollout.samples import Samples
from oakkeel.rollout.sequential import Sums

NO_REPORT_AGE = -1
SUMS_LENGTH = 3  # count, sum and sum of squares of a sampled quantity
MAX_SUMMARY_LENGTH = 200  # characters


def service_status(name: str, is_up: bool) -> TargetStatus:
    """The status of a downstream service, which has neither version nor generation."""
    return TargetStatus(name, "", 0, "serving" if is_up else "stopped", 0)


def instance_status(now: int, instance: Instance, collect_samples: bool) -> TargetStatus:
    """The status of an instance, with the samples of its process if they are collected."""
    report = instance.report
    status = TargetStatus(
        instance.name,
        instance.running_version,
        instance.generation,
        instance.phase.value,
        now - instance.last_report_at if report is not None else NO_REPORT_AGE,
        instance.restarts_exhausted,
        instance.crashes_since_agent_start,
    )
    if isinstance(report, NodeStatus):
        status.load = report.load
        if collect_samples and len(report.earned_weight) == SUMS_LENGTH:
            status.samples = _samples(report)
    return status


def _samples(report: NodeStatus) -> Samples:
    latencies = {
        request_class: Sums(*sums)
        for request_class, sums in report.latencies.items()
        if len(sums) == SUMS_LENGTH
    }
    return Samples(Sums(*report.earned_weight), report.rejected, report.failed, report.resident_kb, latencies)


def in_flight_summary(instance: Instance) -> str:
    """The requests in flight of a draining node, for display; empty if the node does not drain."""
    report = instance.report
    if instance.phase is not Phase.DRAINING or report is None or not report.open_requests:
        return ""
    classes = ", ".join(f"{count} {name}" for name, count in sorted(report.open_by_class.items()))
    summary = (
        f"{report.open_requests}: {report.queued} held, {report.running} running, {report.calling} at calls"
        f" on {report.connections} connections"
    )
    if classes:
        summary += f"; {classes}"
    return summary[:MAX_SUMMARY_LENGTH]
