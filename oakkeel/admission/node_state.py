"""The objects of one node that its rules share: host, limits, requests and measurements."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from oakkeel.admission.concurrency import ConcurrencyLimits
from oakkeel.admission.downstream_calls import DownstreamCalls
from oakkeel.admission.drain import Drain
from oakkeel.admission.occupancy import Occupancy
from oakkeel.admission.overload import OverloadStages, depth_per_core
from oakkeel.admission.ranking import Ranking
from oakkeel.admission.request_timers import RequestTimers
from oakkeel.admission.retry_after import retry_after
from oakkeel.admission.types import Host, NodeLimits

if TYPE_CHECKING:  # loaded only if an operator enables fair sharing
    from oakkeel.admission.fairness import FairSharing


@dataclass(frozen=True, slots=True)
class NodeState:
    """The shared objects of one node, created at its start."""

    host: Host
    limits: NodeLimits
    timers: RequestTimers
    occupancy: Occupancy
    concurrency: ConcurrencyLimits
    overload: OverloadStages
    ranking: Ranking
    downstream_calls: DownstreamCalls
    drain: Drain
    fair_sharing: FairSharing | None

    def depth_per_core(self) -> float:
        """Return the number of requests for each core that are queued or hold a run slot."""
        return depth_per_core(
            self.occupancy.waiting_count(), self.occupancy.run_slots_in_use(), self.limits.cores
        )

    def retry_after(self) -> int:
        """Return the nanoseconds after which a rejected client may retry at the present load."""
        return retry_after(self.concurrency.parsing_per_core(), self.overload.rejects_by_depth(), self.limits)
