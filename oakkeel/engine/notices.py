"""Notices of the engine: their numbers, and the events of requests that they become."""

from __future__ import annotations

from collections.abc import Callable, Container

from oakkeel.admission.types import Outcome
from oakkeel.line_protocol import parse_integer, parse_milliseconds
from oakkeel.log import EventLog
from oakkeel.request import NodeRequest
from oakkeel.request_events import CallNeeded, RunFinished
from oakkeel.stream_buffers import MalformedInputError

WITH_BODY = frozenset({(0, b"DONE"), (0, b"NEED")})
RUN_OUTCOMES = {
    b"success": Outcome.COMPLETED,
    b"failure": Outcome.ERROR,
    b"interrupted": Outcome.CANCELLED,
    b"nothing": Outcome.NEVER_STARTED,
}


class NoticeHandler:
    """The runs in the engine, and the handling of its notices."""

    def __init__(
        self,
        log: EventLog,
        on_hello: Callable[[bytes, int], None],
        on_gauges: Callable[[bytes, list[float]], None],
    ) -> None:
        """Pass each greeting (state and age in ns) and each answer with gauges (tag and values) on."""
        self.log = log
        self.on_hello = on_hello
        self.on_gauges = on_gauges
        self.runs: dict[bytes, NodeRequest] = {}
        self.last_number = 0  # of the last notice read

    def handle(self, tokens: list[bytes], body: bytes) -> None:
        """Handle one notice; raise `MalformedInputError` where it can't be read."""
        verb = tokens[0]
        try:
            if verb == b"HELLO":
                self.on_hello(tokens[1], parse_milliseconds(tokens[2]))
            elif verb == b"STATS":
                self.on_gauges(tokens[1], [float(token) for token in tokens[2:]])
            elif verb in (b"DONE", b"NEED", b"NOTE"):
                notice = parse_integer(tokens[1])
                if notice <= self.last_number:
                    return  # a duplicate, read already before the connection was lost
                self.last_number = notice
                if verb == b"DONE":
                    self.finish(tokens[2], RUN_OUTCOMES[tokens[3]], parse_milliseconds(tokens[4]), body)
                elif verb == b"NEED" and (request := self.runs.get(tokens[2])):
                    request.last_notice = notice
                    request.post(CallNeeded(notice, body))
            elif verb == b"NO":
                self._command_rejected(tokens[1], tokens[2])
            else:
                raise MalformedInputError(f"an unknown notice {verb[:20]!r}")
        except (IndexError, KeyError, ValueError) as error:
            raise MalformedInputError(f"a notice {b' '.join(tokens)[:60]!r}") from error

    def finish(self, request_id: bytes, outcome: Outcome, service_time: int, result: bytes) -> None:
        """End a run, if it is known, with its outcome, service time in ns and result."""
        if request := self.runs.pop(request_id, None):
            request.in_engine = False
            request.may_have_run = outcome is not Outcome.NEVER_STARTED
            request.post(RunFinished(outcome, result, service_time))

    def restart(self, unwritten: Container[NodeRequest]) -> None:
        """End all runs but the unwritten ones as failed: a restarted engine knows none of them.

        It also numbers its notices from 1 again.
        """
        self.last_number = 0
        for request_id, request in list(self.runs.items()):
            if request not in unwritten:
                self.finish(request_id, Outcome.ERROR, 0, b"")

    def _command_rejected(self, verb: bytes, request_id: bytes) -> None:
        """End a run that the engine does not know; nothing depends on the other commands."""
        self.log.warning("engine_command_rejected", command=verb.decode(errors="replace"))
        if verb in (b"RUN", b"HALT"):
            request = self.runs.get(request_id)
            self.finish(request_id, Outcome.ERROR, 0, b"")
            if request and verb == b"RUN":
                # Its idempotency key stays free for the request that it belongs to.
                request.unknown_to_engine = True
                request.may_have_run = False
