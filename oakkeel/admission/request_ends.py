"""Ends requests that do not complete: they are rejected, timed out, failed or abandoned."""

from __future__ import annotations

from oakkeel.admission.node_state import NodeState
from oakkeel.admission.types import Rejection, Request, StopKind
from oakkeel.admission.types import RequestState as State

QUEUED_STATES = frozenset({State.DELAYED, State.QUEUED})
UNANSWERED_STATES = frozenset(State) - {State.ORPHANED, State.RELEASING, State.FINISHED}
AT_CALL_STATES = frozenset({State.AWAITING_CALL, State.CALLING})


class RequestEnds:
    """Answers and stops requests that will not complete."""

    def __init__(self, node: NodeState) -> None:
        """End requests of this node."""
        self.node = node

    def reject(self, now: int, request: Request, rejection: Rejection) -> None:
        """Reject a request that never ran, with a time to retry, and release its key."""
        self._answer_rejected(request, rejection, self._retry_after(now, request))
        if request.is_key_retained:
            request.is_key_retained = False
            self.node.host.release_key(request)
        self.node.occupancy.move(now, request, State.FINISHED)

    def _answer_rejected(self, request: Request, rejection: Rejection, retry_after: int) -> None:
        """Reject a request that had no lasting effect: it never ran, or it is idempotent."""
        self.node.host.reject(request, rejection is Rejection.FINAL, retry_after)

    def _retry_after(self, now: int, request: Request) -> int:
        """Return the nanoseconds until a retry; fair sharing, if it is on, reserves capacity for the retry.

        A draining node makes no reservations, as it stops before the retry.
        """
        node = self.node
        if node.fair_sharing and node.limits.max_retry_after and not node.drain.is_draining:
            return node.fair_sharing.reserve_retry(now, request, node.limits.max_retry_after)
        return node.retry_after()

    def reject_run(self, now: int, request: Request) -> None:
        """Reject an idempotent request that has started, and stop its work; another node may serve it."""
        self._answer_rejected(request, Rejection.RETRY_ON_OTHER_NODE, self.node.retry_after())
        self.abandon(now, request)

    def end_without_result(self, now: int, request: Request) -> None:
        """Answer a request that gets no result, unless it is answered already, and stop its work.

        Its deadline has passed or its call has failed. A request that has started is rejected if it is
        idempotent; otherwise it may have taken effect, so it is failed.
        """
        if request.state in QUEUED_STATES:
            self.reject(now, request, Rejection.FINAL)
        elif request.state in UNANSWERED_STATES:
            if request.request_class.at_most_once:
                self.node.host.fail(request)
            else:
                self._answer_rejected(request, Rejection.FINAL, self.node.retry_after())
            self.abandon(now, request)

    def abandon(self, now: int, request: Request) -> None:
        """Stop the work of a request whose answer no client awaits, to free its core."""
        node = self.node
        if request.state is State.RUNNING:
            node.occupancy.move(now, request, State.ORPHANED)
            # Counted as a service time, so that a node on which no run completes notices that it is slow.
            node.ranking.observed_service_times[request.request_class.index].add(now, request.service_time)
            if node.limits.stop_kind is not StopKind.NONE:
                node.host.cancel(request)
        elif request.state in AT_CALL_STATES:
            node.downstream_calls.release(now, request, node.limits.call_linger)
            node.occupancy.move(now, request, State.RELEASING)
        elif request.state in UNANSWERED_STATES:
            node.occupancy.move(now, request, State.FINISHED)
