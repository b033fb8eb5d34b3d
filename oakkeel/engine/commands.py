"""Commands to the engine that may be lost with the connection."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass

from oakkeel.engine.verbs import HALT, RUN
from oakkeel.request import NodeRequest
from oakkeel.resource_limits import ResourceLimits


@dataclass(slots=True, eq=False)
class Command:
    """A command that the engine is not yet known to have read."""

    line: bytes
    request: NodeRequest | None  # None for a request for gauges, whose answer confirms earlier commands
    verb: bytes
    last_notice_number: int = 0  # number of the last notice for the request when the command was made
    is_written: bool = False  # to the stream of a connection

    def must_resend(self) -> bool:
        """Return whether the command has to be sent again on a new connection.

        A later notice for the request proves that a RUN, FEED or SKIP was carried out. An at-most-once run is
        sent again only if its RUN was never written: otherwise the engine may have read it.
        """
        request = self.request
        if request is None or not request.in_engine:
            return False
        if self.verb == HALT or not self.is_written:
            return True
        return self.last_notice_number == request.last_notice_number and not self.is_uncertain()

    def is_uncertain(self) -> bool:
        """Return whether this is the RUN of an at-most-once run that the engine may or may not have read."""
        request = self.request
        return bool(
            request
            and request.in_engine
            and self.is_written
            and self.verb == RUN
            and request.request_class.at_most_once
            and self.last_notice_number == request.last_notice_number
        )


@dataclass(slots=True, eq=False)
class GaugeRequest:
    """A request for the engine's gauges that is not answered yet."""

    future: asyncio.Future[list[float]]  # of the gauge values
    command: Command
    sent_at: int  # nanoseconds of the monotonic clock


class UnconfirmedCommands:
    """Commands in the order of their writes, until gauges confirm that the engine has read them."""

    def __init__(self, resource_limits: ResourceLimits) -> None:
        """Start with no command."""
        self.resource_limits = resource_limits
        self.commands: deque[Command] = deque()
        # Answered requests for gauges, each with the time of its answer in nanoseconds, the oldest first.
        self.confirmations: deque[tuple[int, Command]] = deque()
        # Requests whose run may be lost, each with the time in nanoseconds at which the request was seen
        # to be answered; 0: the request still awaits its answer.
        self.uncertain_runs: dict[NodeRequest, int] = {}

    def add(self, command: Command) -> None:
        """Append a command; at the limit, drop the commands that need no resend."""
        if len(self.commands) >= self.resource_limits.max_unconfirmed_commands:
            self.commands = deque(old for old in self.commands if old.request is None or old.must_resend())
        self.commands.append(command)

    def confirm(self, marker: Command, now: int) -> None:
        """Drop the commands before an answered request for gauges, once the loss window has passed.

        The engine has read all commands before that request, but the most recent commands may still be lost
        with the connection.
        """
        self.confirmations.append((now, marker))
        while (
            self.confirmations and self.confirmations[0][0] <= now - self.resource_limits.engine_loss_window
        ):
            _, confirmed = self.confirmations.popleft()
            while self.commands and self.commands.popleft() is not confirmed:
                pass

    def drop_written(self) -> None:
        """Drop the commands that were written, since the engine has read them all."""
        self.commands = deque(command for command in self.commands if not command.is_written)

    def keep_unwritten_runs(self) -> set[NodeRequest]:
        """Drop all commands but those of runs whose RUN was never written; return these runs' requests."""
        unwritten = {
            command.request
            for command in self.commands
            if command.request and command.verb == RUN and not command.is_written
        }
        self.commands = deque(command for command in self.commands if command.request in unwritten)
        self.uncertain_runs.clear()
        return unwritten

    def prepare_resend(self) -> deque[Command]:
        """Return the commands to send on a new connection, after all missed notices were read."""
        self.confirmations.clear()
        self.uncertain_runs |= {
            command.request: 0 for command in self.commands if command.request and command.is_uncertain()
        }
        self.commands = deque(command for command in self.commands if command.must_resend())
        return self.commands

    def take_overdue_runs(self, now: int) -> list[NodeRequest]:
        """Remove and return the uncertain runs whose requests were answered longer than a timeout ago."""
        overdue_requests = []
        for request, answered_at in list(self.uncertain_runs.items()):
            if not request.in_engine:
                del self.uncertain_runs[request]
            elif not request.awaits_answer and not answered_at:
                self.uncertain_runs[request] = now
            elif answered_at and now - answered_at > self.resource_limits.engine_timeout:
                del self.uncertain_runs[request]
                overdue_requests.append(request)
        return overdue_requests
