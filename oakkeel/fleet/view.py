"""The last known status of a fleet whose agents answer late, never, or out of order. Free of I/O.

Each status has an age and a source. The age counts from the time at which the request was sent, so it is
never too low, and grows until a later request is answered. A status older than `MAX_STATUS_AGE_NS` is shown
as old.
"""

from __future__ import annotations

from dataclasses import dataclass

from oakkeel.agent.messages import HostStatus, InstanceStatus
from oakkeel.settings.types import Fleet, HostSettings, InstanceSettings
from oakkeel.units import SECOND

MAX_STATUS_AGE_NS = 3 * SECOND
MAX_CLOCK_SKEW_NS = 2 * SECOND  # between an agent and this host; beyond it the operator sees a note
NOT_SERVING_STATES = frozenset(
    {"stopped", "starting", "cold", "draining", "silent", "stuck", "failing", "unknown"}
)


@dataclass(slots=True, eq=False)
class HostReport:
    """The last status that an agent sent, and the time of the request for it."""

    requested_at: int  # monotonic nanoseconds
    status: HostStatus


@dataclass(slots=True, frozen=True)
class InstanceRow:
    """The displayed status of one instance."""

    name: str
    site: str
    host: str
    state: str  # a phase, or `unknown` if its agent never reported the instance
    is_stale: bool = False  # whether the state is older than `MAX_STATUS_AGE_NS`
    age: int = -1  # of the agent's status, in nanoseconds; -1: never reported
    report_age: int = -1  # of the instance's last report to its agent, in nanoseconds; -1: none
    source: str = "nobody"  # the agent that reported the status
    status: InstanceStatus | None = None

    @property
    def displayed_state(self) -> str:
        """The state to display, marked if it is old."""
        return f"old: {self.state}" if self.is_stale else self.state

    @property
    def is_unavailable(self) -> bool:
        """Whether the instance does not serve, or is not known to serve."""
        return self.is_stale or self.state in NOT_SERVING_STATES


class FleetView:
    """All instances in the settings of a fleet, each with the last status that its agent reported."""

    def __init__(self, fleet: Fleet) -> None:
        """Start without any status."""
        self.fleet = fleet
        self.reports: dict[str, HostReport] = {}
        self.silence_reasons: dict[str, str] = {}  # by host whose agent did not answer the last request
        self.clock_offset = 0  # this host's clock minus its monotonic clock, in nanoseconds; 0: not set

    def update(self, host: str, requested_at: int, status: HostStatus) -> None:
        """Record the response to a request sent at `requested_at`, unless a later request was answered."""
        if status.host != host:
            self.silence_reasons[host] = f"the agent of {status.host} answered at its address"
            return
        previous = self.reports.get(host)
        if previous and previous.requested_at >= requested_at:
            return
        self.reports[host] = HostReport(requested_at, status)
        self.silence_reasons.pop(host, None)

    def record_no_response(self, host: str, why: str) -> None:
        """Record that an agent did not answer the last request."""
        self.silence_reasons[host] = why

    def rows(self, now: int) -> list[InstanceRow]:
        """Return a row for each instance in the settings; `now` is monotonic nanoseconds."""
        return [self._row(now, host, instance) for host in self.fleet.hosts for instance in host.instances]

    def _row(self, now: int, host: HostSettings, instance: InstanceSettings) -> InstanceRow:
        report = self.reports.get(host.name)
        if report is None:
            return InstanceRow(instance.name, host.site, host.name, "unknown")
        source = f"agent of {host.name}"
        status = next((entry for entry in report.status.instances if entry.name == instance.name), None)
        if status is None:
            return InstanceRow(instance.name, host.site, host.name, "unknown", source=source)
        age = now - report.requested_at
        report_age = age + status.report_age if status.report_age >= 0 else -1
        is_stale = age > MAX_STATUS_AGE_NS
        return InstanceRow(
            instance.name, host.site, host.name, status.phase, is_stale, age, report_age, source, status
        )

    def notes(self) -> list[str]:
        """Return the notes for an operator in addition to the rows, one line each."""
        lines = [f"agent of {host}: {why}" for host, why in sorted(self.silence_reasons.items())]
        for host, report in sorted(self.reports.items()):
            lines += [f"agent of {host}: {note}" for note in report.status.notes]
            skew = report.status.unix_time - (self.clock_offset + report.requested_at)
            if self.clock_offset and abs(skew) > MAX_CLOCK_SKEW_NS:
                lines.append(
                    f"agent of {host}: its clock is {skew / SECOND:+.0f} s off the clock of this host"
                )
        return lines
