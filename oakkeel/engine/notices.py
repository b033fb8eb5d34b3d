"""Notices of the engine: their numbers, and the events that they post to requests."""

from __future__ import annotations

from collections.abc import Callable, Container

from oakkeel.admission.types import Outcome
from oakkeel.engine.identity_checks import IdentityChecks
from oakkeel.engine.verbs import DONE, HALT, HELLO, NEED, NO, NOTE, RUN, STATS
from oakkeel.line_protocol import parse_integer, parse_milliseconds
from oakkeel.log import EventLog
from oakkeel.request import NodeRequest
from oakkeel.request_events import CallNeeded, RunFinished
from oakkeel.stream_buffers import MalformedInputError

# Notices with a body, by the index and the value of the token that marks them.
WITH_BODY = frozenset({(0, DONE), (0, NEED)})
RUN_OUTCOMES = {
    b"success": Outcome.COMPLETED,
    b"failure": Outcome.ERROR,
    b"interrupted": Outcome.CANCELLED,
    b"nothing": Outcome.NEVER_STARTED,
}
MAX_LOGGED_VERB_BYTES = 20
MAX_LOGGED_LINE_BYTES = 60
MAX_LOGGED_ID_BYTES = 20


class NoticeHandler:
    """Holds the requests that run in the engine, and handles the notices of the engine."""

    def __init__(
        self,
        log: EventLog,
        identity_checks: IdentityChecks,
        on_hello: Callable[[bytes, int], None],
        on_gauges: Callable[[bytes, list[float]], None],
        result_time: Callable[[], int],
    ) -> None:
        """Take the callbacks.

        `on_hello` receives the state and the age in nanoseconds of each greeting, `on_gauges` the tag and
        the values. `result_time` returns a time at which the result of a notice that is read now was surely
        current.
        """
        self.log = log
        self.identity_checks = identity_checks
        self.on_hello = on_hello
        self.on_gauges = on_gauges
        self.result_time = result_time
        self.runs: dict[bytes, NodeRequest] = {}  # requests in the engine, by request ID
        self.last_number = 0  # of the last notice read

    def handle(self, tokens: list[bytes], body: bytes) -> None:
        """Handle one notice; raises `MalformedInputError`."""
        verb = tokens[0]
        try:
            if verb == HELLO:
                self.on_hello(tokens[1], parse_milliseconds(tokens[2]))
            elif verb == STATS:
                self.on_gauges(tokens[1], [float(token) for token in tokens[2:]])
            elif verb in (DONE, NEED, NOTE):
                number = parse_integer(tokens[1])
                if number <= self.last_number:
                    return  # a duplicate, read before the connection was lost
                self.last_number = number
                if verb == DONE:
                    self.finish(tokens[2], RUN_OUTCOMES[tokens[3]], parse_milliseconds(tokens[4]), body)
                elif verb == NEED and (request := self.runs.get(tokens[2])):
                    request.last_notice_number = number
                    request.post(CallNeeded(number, body))
            elif verb == NO:
                self._handle_rejected_command(tokens[1], tokens[2])
            else:
                raise MalformedInputError(f"unknown notice {verb[:MAX_LOGGED_VERB_BYTES]!r}")
        except (IndexError, KeyError, ValueError) as error:
            raise MalformedInputError(
                f"malformed notice {b' '.join(tokens)[:MAX_LOGGED_LINE_BYTES]!r}"
            ) from error

    def finish(self, request_id: bytes, outcome: Outcome, service_time: int, result: bytes) -> None:
        """End a run, if it is known, with its outcome, service time in ns and result."""
        if request := self.runs.pop(request_id, None):
            request.in_engine = False
            request.may_have_run = outcome is not Outcome.NEVER_STARTED
            request.post(RunFinished(outcome, result, service_time, self.result_time()))

    def handle_engine_restart(self, unwritten: Container[NodeRequest]) -> None:
        """Fail all runs except those of the `unwritten` requests: a restarted engine knows no earlier run.

        A restarted engine also numbers its notices from 1 again.
        """
        self.last_number = 0
        for request_id, request in list(self.runs.items()):
            if request not in unwritten:
                self.finish(request_id, Outcome.ERROR, 0, b"")

    def _handle_rejected_command(self, verb: bytes, request_id: bytes) -> None:
        """End a run or a check whose request the engine does not know; nothing else has an effect."""
        self.log.warning(
            "engine_command_rejected",
            command=verb.decode(errors="replace"),
            request_id=request_id[:MAX_LOGGED_ID_BYTES].decode(errors="replace"),
        )
        self.identity_checks.refuse(request_id)
        if verb in (RUN, HALT):
            request = self.runs.get(request_id)
            self.finish(request_id, Outcome.ERROR, 0, b"")
            if request and verb == RUN:
                # The idempotency key stays available to the request that owns it.
                request.unknown_to_engine = True
                request.may_have_run = False
