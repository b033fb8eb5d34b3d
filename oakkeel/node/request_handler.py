"""The life of one exchange, from its last byte to its one answer and the end of its run."""

from __future__ import annotations

import time

from oakkeel.admission.types import Outcome, RequestState
from oakkeel.catalogue.links import Catalogue
from oakkeel.dispatch import codec
from oakkeel.engine.link import EngineLink
from oakkeel.log import EventLog, fault
from oakkeel.node.host import NodeHost
from oakkeel.node.metrics import Metrics
from oakkeel.node.response_cache import ResponseCache
from oakkeel.request import NodeRequest, RequestEvent

FINISHED = (None,)


class RequestHandler:
    def __init__(
        self,
        host: NodeHost,
        engine: EngineLink,
        catalogue: Catalogue,
        results: ResponseCache,
        measures: Metrics,
        log: EventLog,
    ) -> None:
        self.host, self.engine, self.catalogue, self.results = host, engine, catalogue, results
        self.measures, self.log = measures, log

    async def handle(self, request: NodeRequest) -> None:
        """Read, decided, run, its calls made, answered once."""
        admission, engine, tell = self.host.admission, self.engine, self.host.tell
        try:
            request.repeats = self.results.find(request, time.monotonic_ns())
            if request.repeats and self.results.differs(request):
                request.connection.fault("idempotency_key_mismatch")
                return self._answer(request, codec.TERMINATED)
            if (
                request.key
                and request.group.once
                and not request.repeats
                and self.results.full(time.monotonic_ns())
            ):
                return self._deny(request)  # its repeats could not be told from it
            tell(admission.arrive, request)
            what, *words = await self._next(request)
            if what is RequestEvent.SHARE:
                self.results.share(request)
                what, *words = await self._next(request)
            if what is RequestEvent.SHARED:
                outcome, result = words
                tell(admission.run_done, request, outcome, 0)
                return self._answer_run(request, outcome, result)
            if what is not RequestEvent.RUN:
                return None  # denied, or its caller is gone
            engine.run(request)
            what, *words = await self._next(request)
            while what is RequestEvent.NEED:
                notice, call_body = words
                tell(admission.at_call, request)
                what, *words = await self._next(request)
                while what is RequestEvent.CALL:
                    self.catalogue.fetch(request, words[0], call_body)
                    what, *words = await self._next(request)
                    if what is RequestEvent.REPLY:
                        outcome, reply, spent = words
                        self.measures.count_call(outcome.value)
                        tell(admission.call_done, request, outcome, spent)
                        if outcome is Outcome.COMPLETED and request.state is RequestState.RUNNING:
                            engine.feed(request, reply)
                        what, *words = await self._next(request)
                if what is RequestEvent.LEAVE_OUT:
                    engine.skip(request, notice)
                    what, *words = await self._next(request)
            if what is not RequestEvent.DONE:
                raise RuntimeError(f"{what} in state {request.state.name}")
            self._run_over(request, *words)
        except Exception as error:  # it is answered and the node lives on
            self.log.error("request_failed", state=request.state.name, error=fault(error))
            await self._wind_up(request)
        finally:
            self.catalogue.quit(request)
            if request.ran:
                self.results.ended(request, Outcome.ERROR, b"")
            else:
                self.results.forget(request)  # a repeat of what went unrun may run

    async def _next(self, request: NodeRequest) -> tuple:
        """The next event, after an early answer is given, a stop passed on or the caller's end told."""
        while True:
            if request.state is RequestState.OVER and not request.in_engine and not request.events:
                return FINISHED
            what, *words = event = await request.hear()
            if what is RequestEvent.DENY:
                self._answer(request, codec.DENIED, b"", *words)
            elif what is RequestEvent.TERMINATE:
                self._answer(request, codec.TERMINATED)
            elif what is RequestEvent.STOP:
                self.engine.halt(request)
            elif what is RequestEvent.GONE:
                self.host.tell(self.host.admission.gone, request)
            else:
                return event
            if request.answered:
                self.catalogue.quit(request)  # nobody waits for what its call brings

    def _run_over(self, request: NodeRequest, outcome: Outcome, result: bytes, spent: int) -> None:
        # Nothing was started where the dispatcher had given up before we heard of it. The decisions count
        # this one as running: told that it never was there, they would count it for ever.
        told = Outcome.STOPPED if outcome is Outcome.MOOT else outcome
        self.host.tell(self.host.admission.run_done, request, told, spent)
        if request.unknown:
            request.connection.fault("request_id_unknown")
        if request.ran:
            self.results.ended(request, told, result)
        self._answer_run(request, outcome, result)

    def _answer_run(self, request: NodeRequest, outcome: Outcome, result: bytes) -> None:
        if outcome is Outcome.COMPLETED:
            self._answer(request, codec.COMPLETED, result)
        elif outcome is Outcome.DENIED:
            self._deny(request)  # the one that it repeats never ran, and so neither did this
        else:
            self._answer(request, codec.TERMINATED)

    def _deny(self, request: NodeRequest) -> None:
        self._answer(request, codec.DENIED, retry_after=self.host.admission.return_after())

    def _answer(
        self, request: NodeRequest, word: bytes, body: bytes = b"", last: bool = False, retry_after: int = 0
    ) -> None:
        """The one place that answers; what was answered, or whose caller is gone, is not answered again."""
        if not request.answered:
            request.answered = True
            self.measures.count(word)
            if self.measures.watch:
                self.measures.watch(request, word)
            request.connection.answer(request, word, body, last, retry_after)

    async def _wind_up(self, request: NodeRequest) -> None:
        """After an error of ours: answer it, and follow its run to the end, so that its cores are counted."""
        self._answer(request, codec.TERMINATED)
        try:
            self.host.tell(self.host.admission.gone, request)
            while request.in_engine or request.events:
                what, *words = await request.hear()
                if what is RequestEvent.STOP:
                    self.engine.halt(request)
                elif what is RequestEvent.DONE:
                    self._run_over(request, *words)
        except Exception as error:
            self.log.error("request_cleanup_failed", error=fault(error))
