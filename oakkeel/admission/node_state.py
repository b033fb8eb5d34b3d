"""The parts of one node that its rules share: host, limits, requests and measurements."""

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

if TYPE_CHECKING:  # loaded only where an operator asks for fair sharing
    from oakkeel.admission.fairness import FairSharing


@dataclass(frozen=True, slots=True)
class NodeState:
    """The parts of one node, made once at its start."""

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
        """Return how many requests are queued and hold a run slot, for each core."""
        return depth_per_core(self.occupancy.waiting(), self.occupancy.holding_run_slot(), self.limits.cores)

    def retry_after(self) -> int:
        """Return after how many nanoseconds a rejected client may retry, as the load of this node is now."""
        return retry_after(self.concurrency.parsing_per_core(), self.overload.rejects_by_depth(), self.limits)
