"""Decides whether an arriving request is coalesced, queued, delayed or rejected, and for which reason."""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple

from oakkeel.admission.concurrency import is_memory_full
from oakkeel.admission.deadline import can_end_in_time, can_end_in_time_after_queue, queue_wait_time
from oakkeel.admission.duplicates import is_coalesced
from oakkeel.admission.node_state import NodeState
from oakkeel.admission.overload import Stage
from oakkeel.admission.shedding import SheddingThreshold, full_node_rejection, low_rank_rejection
from oakkeel.admission.sliding_window import SlidingWindow
from oakkeel.admission.types import Admission, Rejection, Request, ShareStatus


class RejectionReason(Enum):
    """Why a request is rejected on arrival."""

    DEADLINE = auto()  # its deadline has passed
    MEMORY = auto()  # it would exceed the memory limit
    DRAIN = auto()  # it arrived after the grace period of a drain
    SHARE = auto()  # its flow has used its fair share
    STAGE = auto()  # the overload stage is REJECT
    FIT = auto()  # it can't end in time after its wait in the queue
    RANK = auto()  # its rank is below the shedding threshold


class RejectionDecision(NamedTuple):
    """The rejection of a request on arrival, with its kind and its reason."""

    rejection: Rejection
    reason: RejectionReason


Decision = Admission | RejectionDecision


class ArrivalDecisions:
    """Decides on requests that arrive, with their deadline, rank and share status set."""

    def __init__(self, node: NodeState, shedding: SheddingThreshold, retries: SlidingWindow) -> None:
        """Decide for this node; `retries` holds 1 for each arrival that is a retry, else 0."""
        self.node = node
        self.shedding = shedding
        self.retries = retries

    def decide(self, now: int, request: Request) -> Decision:
        """Check for a duplicate, the deadline, the memory and a drain, then decide by load."""
        node = self.node
        lacks_memory = is_memory_full(request, node.occupancy.memory_kb, node.limits)
        if is_coalesced(request, node.limits.cache_ttl, lacks_memory):
            return Admission.COALESCE
        if request.deadline <= now:
            return RejectionDecision(Rejection.FINAL, RejectionReason.DEADLINE)
        if lacks_memory:
            return RejectionDecision(Rejection.RETRY_ON_OTHER_NODE, RejectionReason.MEMORY)
        if node.drain.is_past_grace(now, request.queueing_delay):
            return RejectionDecision(Rejection.RETRY_ON_OTHER_NODE, RejectionReason.DRAIN)
        return self._decide_by_load(now, request)

    def _decide_by_load(self, now: int, request: Request) -> Decision:
        """Decide by the fair share if it applies, otherwise by overload stage, by fit and then by rank."""
        depth = self.node.depth_per_core()
        stage = self.node.overload.arrival_stage(depth)
        service_time = self.node.ranking.service_time(request)
        if self._is_decided_by_share(now, request, service_time):
            return self._decide_by_share(now, request, stage, depth)
        if stage is Stage.REJECT:
            return self._reject_as_full(now, request, RejectionReason.STAGE)
        if not self._fits_behind_queue(now, request, service_time):
            return self._reject_as_full(now, request, RejectionReason.FIT)
        return self._decide_by_rank(now, request, stage, depth)

    def _is_decided_by_share(self, now: int, request: Request, service_time: float) -> bool:
        """Return whether a reservation or an exceeded share decides, before the stage and the fit.

        For a request that can't end in time, neither a reservation nor an exceeded share decides.
        """
        if request.share_status is ShareStatus.WITHIN_SHARE:
            return False
        return can_end_in_time(now, request, service_time)

    def _decide_by_share(self, now: int, request: Request, stage: Stage, depth: float) -> Decision:
        """Admit a request with a reservation as at NORMAL; reject an exceeded share while a request runs."""
        if request.share_status is ShareStatus.RESERVED:
            return self._decide_by_rank(now, request, Stage.NORMAL, depth)
        if self.node.occupancy.run_slots_in_use():
            return RejectionDecision(Rejection.FINAL, RejectionReason.SHARE)
        return self._decide_by_rank(now, request, stage, depth)

    def _fits_behind_queue(self, now: int, request: Request, service_time: float) -> bool:
        node = self.node
        wait_time = queue_wait_time(
            node.ranking.service_times, node.occupancy.waiting_count(), node.limits.cores
        )
        return can_end_in_time_after_queue(now, request, service_time, wait_time)

    def _reject_as_full(self, now: int, request: Request, reason: RejectionReason) -> RejectionDecision:
        """Reject a request that this node can't serve in time."""
        parsing_backlog = self.node.concurrency.mean_parsing_backlog(now)
        return RejectionDecision(
            full_node_rejection(request, parsing_backlog, self.node.limits.cores), reason
        )

    def _decide_by_rank(self, now: int, request: Request, stage: Stage, depth: float) -> Decision:
        """Update the shedding threshold; shed a low rank, else queue the request, delayed in BACKPRESSURE."""
        self.shedding.update(depth, self.node.overload.latency_ratios.mean(now, 0.0))
        if self.shedding.sheds(stage, request.rank):
            retry_ratio = self.retries.mean(now, 1.0)
            rejection = low_rank_rejection(request, self.node.limits.marks_retries, retry_ratio)
            return RejectionDecision(rejection, RejectionReason.RANK)
        return Admission.DELAY if stage is Stage.BACKPRESSURE else Admission.QUEUE
