"""The request handler: follows a request from its complete read to its answer and the end of its run."""

from __future__ import annotations

import time

from oakkeel.admission.types import Outcome, RequestState
from oakkeel.dispatch import codec
from oakkeel.errors import OakkeelError
from oakkeel.log import describe_error
from oakkeel.node.components import NodeComponents
from oakkeel.node.host import NodeHost
from oakkeel.node.response_cache import KeyCheck
from oakkeel.request import NodeRequest
from oakkeel.request_events import (
    AwaitSharedResponse,
    CallFinished,
    CallNeeded,
    CallReplyUncertain,
    CancelRun,
    ClientDisconnected,
    IdentityChecked,
    IssueCall,
    RequestEvent,
    RequestReleased,
    RunFinished,
    SharedResponse,
    SkipCall,
    StartRun,
)

RELEASED = RequestReleased()  # no further event can follow for the request


class UnexpectedEventError(OakkeelError, RuntimeError):
    """An event does not fit the state of the request: a defect of this program."""

    def __init__(self, event: RequestEvent | RequestReleased, state: RequestState) -> None:
        """Name the event and the state in the message."""
        super().__init__(f"unexpected {type(event).__name__} in state {state.name}")


class RequestHandler:
    """Follows each request of a node from its complete read to its answer and the end of its run."""

    def __init__(self, host: NodeHost, components: NodeComponents) -> None:
        """Take the host and the components that requests pass through."""
        self.host = host
        self.engine = components.engine
        self.catalogue = components.catalogue
        self.response_cache = components.response_cache
        self.metrics = components.metrics
        self.log = components.log
        host.early_answers = self

    # The `EarlyAnswers` of the host.

    def reject(self, request: NodeRequest, is_final: bool, retry_after: int) -> None:
        """Answer that the request is not admitted; `retry_after` is in nanoseconds."""
        self._answer_early(request, codec.REJECTED, is_final, retry_after)

    def fail(self, request: NodeRequest) -> None:
        """Answer that the request failed."""
        self._answer_early(request, codec.FAILED)

    def _answer_early(
        self, request: NodeRequest, status: bytes, is_final: bool = False, retry_after: int = 0
    ) -> None:
        """Answer a request on a verdict of the admission controller, and abandon its downstream call."""
        try:
            self._answer(request, status, final=is_final, retry_after=retry_after)
            self.catalogue.abandon_call(request)  # no client waits for the reply of the downstream call
        except Exception as error:  # a defect must not keep the other requests of a timer from their answers
            self.log.error(
                "request_failed",
                request_id=request.request_id.decode(),
                state=request.state.name,
                error=describe_error(error),
            )

    async def handle(self, request: NodeRequest) -> None:
        """Pass one request to admission, run it, make its calls and answer it once."""
        try:
            if self._check_key(request):
                self.host.notify(self.host.admission.arrive, request)
                await self._follow(request)
        except Exception as error:  # a defect must not stop the node; the request is answered
            self.log.error(
                "request_failed",
                request_id=request.request_id.decode(),
                state=request.state.name,
                error=describe_error(error),
            )
            await self._clean_up(request)
        finally:
            self.catalogue.abandon_call(request)
            if request.may_have_run:
                self.response_cache.finish(request, Outcome.ERROR, b"")
            else:
                self.response_cache.release(request)  # a duplicate of a request that never ran may run

    def _check_key(self, request: NodeRequest) -> bool:
        """Return whether the key of a request permits its admission; if it does not, answer the request."""
        match self.response_cache.check_key(request, time.monotonic_ns()):
            case KeyCheck.MISMATCH:
                request.connection.report_violation("idempotency_key_mismatch")
                self._answer(request, codec.FAILED)
                return False
            case KeyCheck.CACHE_FULL:
                self._reject_unadmitted(request)
                return False
        is_read = not request.request_class.at_most_once
        if request.is_duplicate and is_read and not self.engine.can_check_identity(request):
            request.is_duplicate = False  # it runs, so that the engine sees its ID
        return True

    async def _follow(self, request: NodeRequest) -> None:
        """Carry out the verdict on a request that has arrived."""
        event = await self._next_event(request)
        if isinstance(event, AwaitSharedResponse):
            event = await self._share_response(request)
        if isinstance(event, SharedResponse):
            self.host.notify(self.host.admission.run_finished, request, event.outcome)
            self._answer_run(request, event.outcome, event.result)
        elif isinstance(event, StartRun):
            self.engine.run(request)
            await self._follow_run(request)
        # Otherwise the request was rejected, or its client has disconnected.

    async def _share_response(self, request: NodeRequest) -> RequestEvent | RequestReleased:
        """Wait for the response of the request that a duplicate repeats, if the engine knows the duplicate.

        A client that makes up an ID must not be served, and a duplicate does not reach the engine as a run.
        """
        self.engine.check_identity(request)
        event = await self._next_event(request)
        self.engine.discard_identity_check(request)
        if not isinstance(event, IdentityChecked):
            return event
        if not event.is_known:
            request.connection.report_violation("request_id_unknown", request_id=request.request_id)
            return SharedResponse(Outcome.ERROR, b"")
        self.response_cache.share(request, time.monotonic_ns())
        return await self._next_event(request)

    async def _follow_run(self, request: NodeRequest) -> None:
        """Make the downstream calls that a run needs, until the run finishes."""
        event = await self._next_event(request)
        while isinstance(event, CallNeeded):
            self.host.notify(self.host.admission.call_needed, request)
            event = await self._make_calls(request, event)
        if not isinstance(event, RunFinished):
            raise UnexpectedEventError(event, request.state)
        self._finish_run(request, event)

    async def _make_calls(
        self, request: NodeRequest, call_needed: CallNeeded
    ) -> RequestEvent | RequestReleased:
        """Place the call, retry or skip it as the verdicts say, and return the next event of the run."""
        event = await self._next_event(request)
        while isinstance(event, IssueCall):
            self.catalogue.place_call(request, event.deadline, call_needed.body)
            event = await self._next_event(request)
            if isinstance(event, CallFinished):
                self.metrics.count_call(event.outcome.value)
                self.host.notify(self.host.admission.call_finished, request, event.outcome)
                if event.outcome is Outcome.COMPLETED and request.state is RequestState.RUNNING:
                    self.engine.send_call_reply(request, event.reply)
                event = await self._next_event(request)
        if isinstance(event, SkipCall):
            self.engine.skip_call(request, call_needed.notice_number)
            event = await self._next_event(request)
        return event

    async def _next_event(self, request: NodeRequest) -> RequestEvent | RequestReleased:
        """Wait for the next event that the caller must handle.

        Cancelled runs, uncertain replies and disconnected clients are handled here. Returns
        `RELEASED` if the request has finished and the engine no longer runs it.
        """
        while True:
            if request.state is RequestState.FINISHED and not request.in_engine and not request.events:
                return RELEASED
            event = await request.next_event()
            if isinstance(event, CancelRun):
                self.engine.cancel_run(request)
            elif isinstance(event, ClientDisconnected):
                self.host.notify(self.host.admission.client_disconnected, request)
            elif isinstance(event, CallReplyUncertain):
                # A later notice would prove that the run received the reply.
                if request.in_engine and event.notice_number == request.last_notice_number:
                    self.host.notify(self.host.admission.call_reply_uncertain, request)
            else:
                return event
            if not request.awaits_answer:
                self.catalogue.abandon_call(request)  # no client waits for the reply of the downstream call

    def _finish_run(self, request: NodeRequest, finished_run: RunFinished) -> None:
        """Report a finished run to admission, keep its response and answer its request."""
        # The engine does not start the run of a request that was halted before. The controller counts such a
        # request as running: the outcome "never started" would leave the request counted forever.
        counted_outcome = (
            Outcome.CANCELLED if finished_run.outcome is Outcome.NEVER_STARTED else finished_run.outcome
        )
        self.host.notify(self.host.admission.run_finished, request, counted_outcome)
        if request.unknown_to_engine:
            request.connection.report_violation("request_id_unknown")
        if request.may_have_run:
            self.response_cache.finish(request, counted_outcome, finished_run.result, finished_run.current_at)
        self._answer_run(request, finished_run.outcome, finished_run.result)

    def _answer_run(self, request: NodeRequest, outcome: Outcome, result: bytes) -> None:
        if outcome is Outcome.COMPLETED:
            self._answer(request, codec.COMPLETED, result)
        elif outcome is Outcome.REJECTED:
            self._reject_unadmitted(
                request
            )  # the original request never ran, so this duplicate did not run either
        else:
            self._answer(request, codec.FAILED)

    def _reject_unadmitted(self, request: NodeRequest) -> None:
        self._answer(request, codec.REJECTED, retry_after=self.host.admission.retry_after())

    def _answer(
        self,
        request: NodeRequest,
        status: bytes,
        body: bytes = b"",
        final: bool = False,
        retry_after: int = 0,
    ) -> None:
        """Answer a request, unless it was answered or its client has disconnected.

        `CommandHandler` answers the calls that never become a request: those that are malformed, exceed a
        limit or arrive before the node accepts requests.
        """
        if request.awaits_answer:
            request.awaits_answer = False
            self.metrics.count_answer(status)
            if self.metrics.answer_observer:
                self.metrics.answer_observer(request, status)
            request.connection.answer(request, status, body, final, retry_after)

    async def _clean_up(self, request: NodeRequest) -> None:
        """Answer a request after a defect, and follow its run, so that its core counts as free at the end."""
        self._answer(request, codec.FAILED)
        try:
            self.host.notify(self.host.admission.client_disconnected, request)
            while request.in_engine or request.events:
                event = await request.next_event()
                if isinstance(event, CancelRun):
                    self.engine.cancel_run(request)
                elif isinstance(event, RunFinished):
                    self._finish_run(request, event)
        except Exception as error:
            self.log.error("request_cleanup_failed", error=describe_error(error))
