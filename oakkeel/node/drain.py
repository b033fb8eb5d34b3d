"""The drain of a node, from its start to its end or its cancellation."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import Protocol

from oakkeel.directory.reports import DirectoryReporter
from oakkeel.dispatch.listener import Listener
from oakkeel.errors import InvalidTransitionError, OrderRefusedError
from oakkeel.log import EventLog, describe_error
from oakkeel.node.host import NodeHost
from oakkeel.resource_limits import ResourceLimits
from oakkeel.units import SECOND


class DrainState(Enum):
    """States of a drain; only `Drain._set_state` changes it."""

    SERVING = "serving"  # no drain is in progress
    GRACE = "grace"  # new connections are still served
    EMPTYING = "emptying"  # none are accepted; what was read is answered
    ENDED = "ended"


TRANSITIONS: dict[DrainState, set[DrainState]] = {
    DrainState.SERVING: {DrainState.GRACE},
    DrainState.GRACE: {DrainState.EMPTYING, DrainState.SERVING},
    DrainState.EMPTYING: {DrainState.ENDED, DrainState.SERVING},
    DrainState.ENDED: set(),
}


class DrainNotCancelledError(OrderRefusedError):
    """A drain can't be cancelled: it is final, it has ended, or the node can't listen again."""


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
    """The drain of one node: `GRACE` and `EMPTYING` while it is in progress."""

    def __init__(self, node: DrainContext, grace: int, stop_after: int) -> None:
        """Prepare a drain that has not started.

        Both times are nanoseconds from the start of the drain: requests that arrive after `grace` are not
        read, and the process may be killed at `stop_after`.
        """
        self.node = node
        self.grace = grace
        self.stop_after = stop_after
        self.state = DrainState.SERVING
        self.final = False  # started by SIGTERM, which nothing cancels
        self.task: asyncio.Task[None] | None = None
        self.deadline_timer: asyncio.TimerHandle | None = None  # ends what is left just before the stop

    @property
    def is_started(self) -> bool:
        """Whether the drain is in progress or has ended."""
        return self.state is not DrainState.SERVING

    def start(self, timeout: int) -> None:
        """Start a drain on an order, unless one is in progress; `cancel` reverts it.

        `timeout` is the nanoseconds until the process may be killed; 0: `stop_after`, as after SIGTERM.
        """
        if not self.is_started:
            self._begin("order", timeout or self.stop_after)

    def start_final(self) -> None:
        """Drain after SIGTERM: nothing cancels it, as the platform kills the process at `stop_after`."""
        if self.final:
            return
        self.final = True
        if self.is_started:  # the order may have allowed more time
            self._set_deadline(self.stop_after)
            self._notify_admission(self.stop_after)
            return
        self._begin("signal", self.stop_after)

    def cancel(self) -> None:
        """Cancel the drain and serve again; without a drain, do nothing.

        Raises `DrainNotCancelledError` if the drain is final or has ended, or the node can't listen again.
        """
        if not self.is_started:
            return
        if self.final:
            raise DrainNotCancelledError("the drain is final: the node stops after SIGTERM")
        if self.state is DrainState.ENDED:
            raise DrainNotCancelledError("the drain has ended")
        node = self.node
        try:
            node.listener.reopen()
        except OSError as error:
            raise DrainNotCancelledError(f"the node can't listen again: {error}") from error
        if self.task:
            self.task.cancel()
        if self.deadline_timer:
            self.deadline_timer.cancel()
        self._set_state(DrainState.SERVING)
        self._notify_admission(None)
        node.directory_reporter.set_accepting(True)
        node.drain_cancelled()
        node.log.info("drain_cancelled")

    def _begin(self, cause: str, time_left: int) -> None:
        """Start the drain; `cause` is logged: `signal` or `order`."""
        self.node.log.info("drain_started", cause=cause, time_left_s=round(time_left / SECOND, 1))
        self._set_state(DrainState.GRACE)
        self._set_deadline(time_left)
        self.task = asyncio.ensure_future(self._drain(time_left))

    async def _drain(self, time_left: int) -> None:
        """End once each request that was read is answered and every dispatcher has closed its connections."""
        node = self.node
        node.directory_reporter.set_accepting(False)
        if node.host.is_started:
            self._notify_admission(time_left)
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

    def _set_deadline(self, time_left: int) -> None:
        """Close the remaining connections just before the stop.

        Some dispatchers neither close a connection nor read from it: without the deadline the process would
        wait for them until SIGKILL.
        """
        if self.deadline_timer:
            self.deadline_timer.cancel()
        delay = max(0, time_left - self.node.resource_limits.stop_margin) / SECOND
        self.deadline_timer = asyncio.get_running_loop().call_later(delay, self._close_rest)

    def _close_rest(self) -> None:
        self.node.log.warning("drain_deadline_reached")
        self.node.listener.close_connections()

    def _notify_admission(self, time_left: int | None) -> None:
        try:
            if self.node.host.is_started:
                self.node.host.notify(self.node.host.admission.drain, time_left)
        except Exception as error:  # a defect there must not stop the drain
            self.node.log.error("drain_admission_notice_failed", error=describe_error(error))

    def _set_state(self, state: DrainState) -> None:
        """Change the state; nothing else does."""
        if state not in TRANSITIONS[self.state]:
            raise InvalidTransitionError("a drain", self.state.value, state.value)
        self.state = state
