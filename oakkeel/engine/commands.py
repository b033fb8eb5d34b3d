"""Commands to the engine that may be lost with the connection."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from enum import Enum, auto

from oakkeel.engine.verbs import FEED, HALT, RUN
from oakkeel.request import NodeRequest
from oakkeel.resource_limits import ResourceLimits


class LossEffect(Enum):
    """What the loss of a connection means for a command that was made before it."""

    NONE = auto()  # the engine has carried it out, or its run is over
    RESEND = auto()  # it may be lost, and sending it twice has the effect of sending it once
    UNCERTAIN = auto()  # it may be lost, but sent twice it could act on a later step of the run


@dataclass(slots=True, eq=False)
class Command:
    """A command that the engine is not yet known to have read."""

    line: bytes
    request: NodeRequest | None  # None for a request for gauges, whose answer confirms earlier commands
    verb: bytes
    last_notice_number: int = 0  # number of the last notice for the request when the command was made
    is_written: bool = False  # to the stream of a connection

    def loss_effect(self) -> LossEffect:
        """Return what a loss of the connection means for this command.

        A later notice for the request proves that a RUN, FEED or SKIP was carried out. Without that proof the
        engine may have read a written command. A second RUN of an at-most-once run could run it twice, and a
        second FEED answers whichever call the run waits for by then: FEED, unlike SKIP, names no call.
        """
        request = self.request
        if request is None or not request.in_engine:
            return LossEffect.NONE
        if self.verb == HALT or not self.is_written:
            return LossEffect.RESEND
        if self.last_notice_number != request.last_notice_number:
            return LossEffect.NONE
        if self.verb == FEED or (self.verb == RUN and request.request_class.at_most_once):
            return LossEffect.UNCERTAIN
        return LossEffect.RESEND


@dataclass(slots=True, eq=False)
class GaugeRequest:
    """A request for the engine's gauges that is not answered yet."""

    future: asyncio.Future[list[float]]  # of the gauge values
    command: Command
    sent_at: int  # nanoseconds of the monotonic clock


@dataclass(frozen=True, slots=True)
class UncertainReply:
    """A reply to a call that the engine may or may not have read before the loss of a connection."""

    request: NodeRequest
    notice_number: int  # of the notice that asked for the call


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
            self.commands = deque(
                old
                for old in self.commands
                if old.request is None or old.loss_effect() is not LossEffect.NONE
            )
        self.commands.append(command)

    def confirm(self, marker: Command, sent_at: int, answered_at: int) -> None:
        """Drop the commands that can't be lost any more, as a request for gauges was answered.

        The engine had read all commands before an earlier request when that one was answered, and the
        connection was still whole when the engine read the present one, after `sent_at`. A later loss takes
        only the commands that the engine read within the loss window before it. `marker` is the present
        request; times are nanoseconds of the monotonic clock.
        """
        self.confirmations.append((answered_at, marker))
        safe_until = sent_at - self.resource_limits.engine_loss_window
        while self.confirmations and self.confirmations[0][0] <= safe_until:
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

    def prepare_resend(self) -> list[UncertainReply]:
        """Keep the commands to send on a new connection, after all missed notices were read.

        Returns the replies to calls that may be lost with the earlier connection.
        """
        self.confirmations.clear()
        uncertain = [command for command in self.commands if command.loss_effect() is LossEffect.UNCERTAIN]
        self.commands = deque(
            command for command in self.commands if command.loss_effect() is LossEffect.RESEND
        )
        self.uncertain_runs |= {
            command.request: 0 for command in uncertain if command.request and command.verb == RUN
        }
        return [
            UncertainReply(command.request, command.last_notice_number)
            for command in uncertain
            if command.request and command.verb == FEED
        ]

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
