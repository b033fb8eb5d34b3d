"""Issues the downstream calls of requests, and retries or skips a failed call or fails its request."""

from __future__ import annotations

from collections import deque

from oakkeel.admission.downstream_calls import (
    FailedCallStep,
    UncertainReplyStep,
    max_optional_call_wait,
    step_after_failed_call,
    step_after_uncertain_reply,
)
from oakkeel.admission.node_state import NodeState
from oakkeel.admission.request_ends import RequestEnds
from oakkeel.admission.types import Outcome, Request
from oakkeel.admission.types import RequestState as State


class CallSequence:
    """Issues the downstream calls of requests; calls that must wait start in order of arrival."""

    def __init__(self, node: NodeState, request_ends: RequestEnds) -> None:
        """Start with no waiting request."""
        self.node = node
        self.request_ends = request_ends
        self.waiting_requests: deque[Request] = deque()  # requests whose calls can't be issued yet

    def call_needed(self, now: int, request: Request) -> None:
        """Issue the downstream call that a run needs before it can continue."""
        if request.state is State.ORPHANED:
            self.node.occupancy.move(now, request, State.RELEASING)
        elif request.state is State.RUNNING:
            self.node.occupancy.move(now, request, State.AWAITING_CALL)
            self._issue_or_wait(now, request)

    def call_finished(self, now: int, request: Request, outcome: Outcome) -> None:
        """Resume the run after a call, or retry the call, skip it or fail the request."""
        if request.state is not State.CALLING:
            return
        node = self.node
        node.downstream_calls.release(
            now, request, node.limits.call_linger if outcome is Outcome.TIMED_OUT else 0
        )
        if outcome is Outcome.COMPLETED:
            node.downstream_calls.breaker.call_succeeded()
            node.occupancy.move(now, request, State.RUNNING)
            return
        node.downstream_calls.breaker.call_failed()
        request.failed_calls += 1
        node.occupancy.move(now, request, State.AWAITING_CALL)
        step = step_after_failed_call(request, outcome)
        if step is FailedCallStep.RETRY:
            self._issue_or_wait(now, request)
        elif step is FailedCallStep.SKIP:
            self._skip(now, request)
        else:
            self.request_ends.end_without_result(now, request)

    def reply_uncertain(self, now: int, request: Request) -> None:
        """Skip the call whose reply may be lost, end the request, or wait for the run."""
        if request.state is not State.RUNNING:
            return
        step = step_after_uncertain_reply(request)
        if step is UncertainReplyStep.SKIP:
            self.node.host.skip_call(request)
        elif step is UncertainReplyStep.REJECT:
            self.request_ends.reject_run(now, request)

    def issue_waiting(self, now: int) -> None:
        """Issue the waiting calls that the breaker and the quota now allow."""
        while self.waiting_requests and self._issue(now, self.waiting_requests[0]):
            self.waiting_requests.popleft()

    def skip_if_overdue(self, now: int, request: Request) -> None:
        """Skip an optional call that could not be issued within its maximum wait."""
        is_overdue = now >= request.state_since + max_optional_call_wait(request)
        if request.request_class.is_call_optional and is_overdue:
            self._skip(now, request)

    def _issue_or_wait(self, now: int, request: Request) -> None:
        if self._issue(now, request):
            return
        is_optional = request.request_class.is_call_optional
        if is_optional and self.node.downstream_calls.breaker.is_open():
            self._skip(now, request)  # calls are known to fail
            return
        self.waiting_requests.append(request)
        if is_optional:
            skip_at = now + int(max_optional_call_wait(request))
            self.node.timers.set_not_before(now, request, skip_at)

    def _issue(self, now: int, request: Request) -> bool:
        """Issue a call if the breaker and the quota allow it; return whether the request no longer waits."""
        if request.state is not State.AWAITING_CALL:
            return True
        node = self.node
        service_time = node.ranking.service_time(request)
        call_end = node.downstream_calls.reserve(now, request, node.occupancy.calls_in_flight(), service_time)
        if call_end is None:
            return False
        node.host.call(request, call_end)
        node.occupancy.move(now, request, State.CALLING)
        return True

    def _skip(self, now: int, request: Request) -> None:
        self.node.host.skip_call(request)
        self.node.occupancy.move(now, request, State.RUNNING)
