"""The drain of a node: from its notice to the end, or to its cancellation."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import Protocol

from oakkeel.directory.reports import DirectoryReporter
from oakkeel.dispatch.listener import Listener
from oakkeel.errors import InvalidTransitionError
from oakkeel.log import EventLog, fault
from oakkeel.node.host import NodeHost
from oakkeel.resource_limits import ResourceLimits
from oakkeel.units import SECOND


class DrainState(Enum):
    """States of a drain; only `Drain._set_state` changes it."""

    NOT = "not"
    GRACE = "grace"  # new connections are still served
    EMPTYING = "emptying"  # none are taken; what was read is answered
    ENDED = "ended"


TRANSITIONS: dict[DrainState, set[DrainState]] = {
    DrainState.NOT: {DrainState.GRACE},
    DrainState.GRACE: {DrainState.EMPTYING, DrainState.NOT},
    DrainState.EMPTYING: {DrainState.ENDED, DrainState.NOT},
    DrainState.ENDED: set(),
}


class DrainContext(Protocol):
    """The node, as its drain sees it."""

    listener: Listener
    directory_reporter: DirectoryReporter
    host: NodeHost
    log: EventLog
    resource_limits: ResourceLimits
    done: asyncio.Event

    def drain_cancelled(self) -> None:
        """Serve again."""


class Drain:
    """The drain of one node; true while it goes on and once it is over."""

    def __init__(self, node: DrainContext, grace: int, stop_after: int) -> None:
        """Prepare a drain that has not started.

        Both times count in nanoseconds from the notice: what comes after `grace` does not run,
        and what is not answered by `stop_after` may be killed.
        """
        self.node, self.grace, self.stop_after = node, grace, stop_after
        self.state = DrainState.NOT
        self.final = False  # started by SIGTERM, which nothing cancels
        self.task: asyncio.Task[None] | None = None
        self.deadline_timer: asyncio.TimerHandle | None = None  # ends what is left just before the stop

    def __bool__(self) -> bool:
        """Whether the drain goes on, or is over."""
        return self.state is not DrainState.NOT

    def start(self, timeout: int = 0, final: bool = True) -> None:
        """Drain within `timeout` nanoseconds, 0 as the platform says; a final one can't be cancelled."""
        if self.final or (self and not final):
            return  # a second notice changes nothing
        self.final = final
        if self:  # the order may have given it longer
            self._set_deadline(self.stop_after)
            self._notify_admission(self.stop_after)
            return
        self._set_state(DrainState.GRACE)
        self._set_deadline(timeout or self.stop_after)
        self.task = asyncio.ensure_future(self._drain(timeout or self.stop_after))

    def cancel(self) -> str:
        """Take requests again. Returns why that can't be; empty where it does."""
        if not self:
            return ""
        if self.final or self.state is DrainState.ENDED:
            return "it leaves for good" if self.final else "it has ended"
        node = self.node
        try:
            node.listener.reopen()
        except OSError as error:
            return f"it can't listen again: {error}"
        if self.task:
            self.task.cancel()
        if self.deadline_timer:
            self.deadline_timer.cancel()
        self._set_state(DrainState.NOT)
        self._notify_admission(None)
        node.directory_reporter.set_accepting(True)
        node.drain_cancelled()
        node.log.info("drain_cancelled")
        return ""

    async def _drain(self, left: int) -> None:
        """End once each request that was read is answered and every dispatcher has closed its connections."""
        node = self.node
        node.log.info("drain_started")
        node.directory_reporter.set_accepting(False)
        if node.host.started:
            self._notify_admission(left)
            node.listener.drain_connections()
            await asyncio.sleep(self.grace / SECOND)
        self._set_state(DrainState.EMPTYING)
        await node.listener.close()
        node.listener.drain_connections()
        await node.listener.wait_closed()  # each ends only when its answers are sent
        self._set_state(DrainState.ENDED)
        if self.deadline_timer:
            self.deadline_timer.cancel()
        node.done.set()

    def _set_deadline(self, left: int) -> None:
        """Close what is left just before the stop.

        Some dispatchers neither close a connection nor read from it: SIGKILL would find the node waiting.
        """
        if self.deadline_timer:
            self.deadline_timer.cancel()
        wait = max(0, left - self.node.resource_limits.stop_margin) / SECOND
        self.deadline_timer = asyncio.get_running_loop().call_later(wait, self._close_rest)

    def _close_rest(self) -> None:
        self.node.log.warning("drain_deadline_reached")
        self.node.listener.close_connections()

    def _notify_admission(self, left: int | None) -> None:
        try:
            if self.node.host.started:
                self.node.host.notify(self.node.host.admission.drain, left)
        except Exception as error:  # the drain goes on
            self.node.log.error("drain_failed", error=fault(error))

    def _set_state(self, state: DrainState) -> None:
        """The one place where the state changes."""
        if state not in TRANSITIONS[self.state]:
            raise InvalidTransitionError("a drain", self.state.value, state.value)
        self.state = state
