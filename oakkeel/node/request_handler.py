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

    async def handle(self, ex: NodeRequest) -> None:
        """Read, decided, run, its calls made, answered once."""
        keel, engine, tell = self.host.keel, self.engine, self.host.tell
        try:
            ex.repeats = self.results.find(ex, time.monotonic_ns())
            if ex.repeats and self.results.differs(ex):
                ex.connection.fault("idempotency_key_mismatch")
                return self._answer(ex, codec.TERMINATED)
            if ex.key and ex.group.once and not ex.repeats and self.results.full(time.monotonic_ns()):
                return self._deny(ex)  # its repeats could not be told from it
            tell(keel.arrive, ex)
            what, *words = await self._next(ex)
            if what is RequestEvent.SHARE:
                self.results.share(ex)
                what, *words = await self._next(ex)
            if what is RequestEvent.SHARED:
                outcome, result = words
                tell(keel.run_done, ex, outcome, 0)
                return self._answer_run(ex, outcome, result)
            if what is not RequestEvent.RUN:
                return None  # denied, or its caller is gone
            engine.run(ex)
            what, *words = await self._next(ex)
            while what is RequestEvent.NEED:
                notice, call_body = words
                tell(keel.at_call, ex)
                what, *words = await self._next(ex)
                while what is RequestEvent.CALL:
                    self.catalogue.fetch(ex, words[0], call_body)
                    what, *words = await self._next(ex)
                    if what is RequestEvent.REPLY:
                        outcome, reply, spent = words
                        self.measures.count_call(outcome.value)
                        tell(keel.call_done, ex, outcome, spent)
                        if outcome is Outcome.COMPLETED and ex.state is RequestState.RUNNING:
                            engine.feed(ex, reply)
                        what, *words = await self._next(ex)
                if what is RequestEvent.LEAVE_OUT:
                    engine.skip(ex, notice)
                    what, *words = await self._next(ex)
            if what is not RequestEvent.DONE:
                raise RuntimeError(f"{what} in state {ex.state.name}")
            self._run_over(ex, *words)
        except Exception as error:  # it is answered and the node lives on
            self.log.error("request_failed", state=ex.state.name, error=fault(error))
            await self._wind_up(ex)
        finally:
            self.catalogue.quit(ex)
            if ex.ran:
                self.results.ended(ex, Outcome.ERROR, b"")
            else:
                self.results.forget(ex)  # a repeat of what went unrun may run

    async def _next(self, ex: NodeRequest) -> tuple:
        """The next event, after an early answer is given, a stop passed on or the caller's end told."""
        while True:
            if ex.state is RequestState.OVER and not ex.in_engine and not ex.events:
                return FINISHED
            what, *words = event = await ex.hear()
            if what is RequestEvent.DENY:
                self._answer(ex, codec.DENIED, b"", *words)
            elif what is RequestEvent.TERMINATE:
                self._answer(ex, codec.TERMINATED)
            elif what is RequestEvent.STOP:
                self.engine.halt(ex)
            elif what is RequestEvent.GONE:
                self.host.tell(self.host.keel.gone, ex)
            else:
                return event
            if ex.answered:
                self.catalogue.quit(ex)  # nobody waits for what its call brings

    def _run_over(self, ex: NodeRequest, outcome: Outcome, result: bytes, spent: int) -> None:
        # Nothing was started where the dispatcher had given up before we heard of it. The decisions count
        # this one as running: told that it never was there, they would count it for ever.
        told = Outcome.STOPPED if outcome is Outcome.MOOT else outcome
        self.host.tell(self.host.keel.run_done, ex, told, spent)
        if ex.unknown:
            ex.connection.fault("request_id_unknown")
        if ex.ran:
            self.results.ended(ex, told, result)
        self._answer_run(ex, outcome, result)

    def _answer_run(self, ex: NodeRequest, outcome: Outcome, result: bytes) -> None:
        if outcome is Outcome.COMPLETED:
            self._answer(ex, codec.COMPLETED, result)
        elif outcome is Outcome.DENIED:
            self._deny(ex)  # the one that it repeats never ran, and so neither did this
        else:
            self._answer(ex, codec.TERMINATED)

    def _deny(self, ex: NodeRequest) -> None:
        self._answer(ex, codec.DENIED, retry_after=self.host.keel.return_after())

    def _answer(
        self, ex: NodeRequest, word: bytes, body: bytes = b"", last: bool = False, retry_after: int = 0
    ) -> None:
        """The one place that answers; what was answered, or whose caller is gone, is not answered again."""
        if not ex.answered:
            ex.answered = True
            self.measures.count(word)
            if self.measures.watch:
                self.measures.watch(ex, word)
            ex.connection.answer(ex, word, body, last, retry_after)

    async def _wind_up(self, ex: NodeRequest) -> None:
        """After an error of ours: answer it, and follow its run to the end, so that its cores are counted."""
        self._answer(ex, codec.TERMINATED)
        try:
            self.host.tell(self.host.keel.gone, ex)
            while ex.in_engine or ex.events:
                what, *words = await ex.hear()
                if what is RequestEvent.STOP:
                    self.engine.halt(ex)
                elif what is RequestEvent.DONE:
                    self._run_over(ex, *words)
        except Exception as error:
            self.log.error("request_cleanup_failed", error=fault(error))
