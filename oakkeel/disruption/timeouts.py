"""Timeouts of permits and heartbeats, in nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass

from oakkeel.units import SECOND


@dataclass(slots=True, frozen=True)
class PermitTimeouts:
    """Timeouts of permits and heartbeats, in nanoseconds."""

    validity_ns: int = 3 * SECOND  # from the grant to the last start of a permit
    max_clock_drift_ratio: float = 0.04  # maximum deviation of a clock's rate from real time
    max_agent_silence_ns: int = 2 * SECOND  # longer silence makes an agent's targets count as unavailable

    def upper_bound(self, duration_ns: int) -> int:
        """Return the time to wait by this clock until a duration has ended by any other clock."""
        return int(duration_ns * (1 + self.max_clock_drift_ratio) / (1 - self.max_clock_drift_ratio))

    @property
    def expiry_ns(self) -> int:
        """The time from the grant to the expiry of a permit that was not started."""
        return self.upper_bound(self.validity_ns)
