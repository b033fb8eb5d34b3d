"""The drain of a node: from the notice to leave to its end, or back."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import Protocol

from oakkeel.directory.reports import DirectoryReporter
from oakkeel.dispatch.listener import Listener
from oakkeel.log import EventLog, fault
from oakkeel.node.host import NodeHost
from oakkeel.resource_limits import SECOND, ResourceLimits


class DrainState(Enum):
    """`Drain._move` alone changes it."""

    NOT = "not"
    GRACE = "grace"  # new connections are still served
    EMPTYING = "emptying"  # none are taken; what was read is answered
    ENDED = "ended"


TRANSITIONS = {
    DrainState.NOT: {DrainState.GRACE},
    DrainState.GRACE: {DrainState.EMPTYING, DrainState.NOT},
    DrainState.EMPTYING: {DrainState.ENDED, DrainState.NOT},
    DrainState.ENDED: set(),
}


class DrainContext(Protocol):
    """What it needs of the node."""

    listener: Listener
    reports: DirectoryReporter
    host: NodeHost
    log: EventLog
    resource_limits: ResourceLimits
    done: asyncio.Event

    def stay(self) -> None: ...


class Drain:
    def __init__(self, node: DrainContext, grace: int, stop_after: int) -> None:
        """`grace` and `stop_after` in nanoseconds from the notice: what comes later does not run, and what is
        not answered by then may be killed."""
        self.node, self.grace, self.stop_after = node, grace, stop_after
        self.state = DrainState.NOT
        self.final = False  # told by SIGTERM, which nothing takes back
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None  # ends what is left just before the stop

    def __bool__(self) -> bool:
        """Whether it goes on, or is over."""
        return self.state is not DrainState.NOT

    def leave(self, within: int = 0, final: bool = True) -> None:
        """The notice. `within` nanoseconds until all is answered, 0 as the platform says."""
        if self.final or (self and not final):
            return None  # a second one changes nothing
        self.final = final
        if self:  # it may have been given longer
            self._end_by(self.stop_after)
            return self._tell(self.stop_after)
        self._move(DrainState.GRACE)
        self._end_by(within or self.stop_after)
        self.task = asyncio.ensure_future(self._drain(within or self.stop_after))

    def stay(self) -> str:
        """Take work again. Returns why it can't; empty where it does."""
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
        if self.timer:
            self.timer.cancel()
        self._move(DrainState.NOT)
        self._tell(None)
        node.reports.set_taking(True)
        node.stay()
        node.log.info("drain_cancelled")
        return ""

    async def _drain(self, left: int) -> None:
        """End once all that was read is answered and every dispatcher has closed its connections."""
        node = self.node
        node.log.info("drain_started")
        node.reports.set_taking(False)
        if node.host.begun:
            self._tell(left)
            node.listener.drain_connections()
            await asyncio.sleep(self.grace / SECOND)
        self._move(DrainState.EMPTYING)
        await node.listener.close()
        node.listener.drain_connections()
        await node.listener.wait_closed()  # each ends only when all on it is answered and on its way
        self._move(DrainState.ENDED)
        if self.timer:
            self.timer.cancel()
        node.done.set()

    def _end_by(self, left: int) -> None:
        """Some dispatchers neither close a connection nor read from it: what is left is closed just before
        the stop, or that would find the node waiting for them."""
        if self.timer:
            self.timer.cancel()
        wait = max(0, left - self.node.resource_limits.stop_margin) / SECOND
        self.timer = asyncio.get_running_loop().call_later(wait, self._end)

    def _end(self) -> None:
        self.node.log.warning("drain_deadline_reached")
        self.node.listener.close_connections()

    def _tell(self, left: int | None) -> None:
        try:
            if self.node.host.begun:
                self.node.host.tell(self.node.host.admission.drain, left)
        except Exception as error:  # the drain goes on
            self.node.log.error("drain_failed", error=fault(error))

    def _move(self, state: DrainState) -> None:
        """The one place where the state changes."""
        if state not in TRANSITIONS[self.state]:
            raise RuntimeError(f"{self.state.value} to {state.value}")
        self.state = state
