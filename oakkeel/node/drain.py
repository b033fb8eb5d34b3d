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
    """States of a drain; only `Drain._set_state` changes the state."""

    SERVING = "serving"  # no drain is in progress
    GRACE = "grace"  # new connections are still served
    EMPTYING = "emptying"  # no connections are accepted; requests that were read are answered
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
    """The attributes and methods of a node that its drain uses."""

    listener: Listener
    directory_reporter: DirectoryReporter
    host: NodeHost
    log: EventLog
    resource_limits: ResourceLimits
    drained: asyncio.Event  # set at the end of the drain

    def resume_serving(self) -> None:
        """Serve again after a cancelled drain."""


class Drain:
    """The drain of one node: `GRACE` and `EMPTYING` while it is in progress."""

    def __init__(self, node: DrainContext, grace: int, stop_after: int) -> None:
        """Prepare a drain that has not started.

        Both times are nanoseconds from the start of the drain: requests that arrive after `grace` do not
        run, and the process may be killed at `stop_after`.
        """
        self.node = node
        self.grace = grace
        self.stop_after = stop_after
        self.state = DrainState.SERVING
        self.is_final = False  # started by SIGTERM: the drain can't be cancelled
        self.task: asyncio.Task[None] | None = None
        self.deadline_timer: asyncio.TimerHandle | None = None  # closes the remaining connections

    @property
    def is_started(self) -> bool:
        """Whether the drain is in progress or has ended."""
        return self.state is not DrainState.SERVING

    def start(self, timeout: int) -> None:
        """Start a drain on an order, unless a drain is in progress; `cancel` reverts it.

        The process may be killed `timeout` nanoseconds later; 0: after `stop_after`, as after SIGTERM.
        """
        if not self.is_started:
            self._start("order", timeout or self.stop_after)

    def start_final(self) -> None:
        """Start a final drain, after SIGTERM: the platform kills the process at `stop_after`."""
        if self.is_final:
            return
        self.is_final = True
        if self.is_started:  # a drain order may have allowed more time than `stop_after`
            self._set_deadline(self.stop_after)
            self._notify_admission(self.stop_after)
            return
        self._start("signal", self.stop_after)

    def cancel(self) -> None:
        """Cancel the drain and serve again; does nothing without a drain.

        Raises `DrainNotCancelledError` if the drain is final or has ended, or the node can't listen again.
        """
        if not self.is_started:
            return
        if self.is_final:
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
        node.resume_serving()
        node.log.info("drain_cancelled")

    def _start(self, cause: str, time_left: int) -> None:
        """Start the drain; `cause` is logged: `signal` or `order`."""
        self.node.log.info("drain_started", cause=cause, time_left_s=round(time_left / SECOND, 1))
        self._set_state(DrainState.GRACE)
        self._set_deadline(time_left)
        self.task = asyncio.ensure_future(self._drain(time_left))

    async def _drain(self, time_left: int) -> None:
        """End the drain once all requests that were read are answered and all connections are closed."""
        node = self.node
        node.directory_reporter.set_accepting(False)
        if node.host.is_started:
            self._notify_admission(time_left)
            node.listener.drain_connections()
            await asyncio.sleep(self.grace / SECOND)
        self._set_state(DrainState.EMPTYING)
        await node.listener.close()
        node.listener.drain_connections()
        await node.listener.wait_closed()  # a connection closes only after its answers are sent
        self._set_state(DrainState.ENDED)
        if self.deadline_timer:
            self.deadline_timer.cancel()
        node.drained.set()

    def _set_deadline(self, time_left: int) -> None:
        """Set the timer that closes the remaining connections just before the process may be killed.

        Some dispatchers neither close a connection nor read from it: without the deadline the process would
        wait for them until SIGKILL.
        """
        if self.deadline_timer:
            self.deadline_timer.cancel()
        delay = max(0, time_left - self.node.resource_limits.stop_margin) / SECOND
        self.deadline_timer = asyncio.get_running_loop().call_later(delay, self._close_remaining_connections)

    def _close_remaining_connections(self) -> None:
        listener = self.node.listener
        self.node.log.warning(
            "drain_deadline_reached",
            connections=len(listener.connections) + len(listener.evicted),
            open_requests=sum(len(connection.open_requests) for connection in listener.connections),
        )
        listener.stop_accepting()
        listener.close_connections()

    def _notify_admission(self, time_left: int | None) -> None:
        try:
            if self.node.host.is_started:
                self.node.host.notify(self.node.host.admission.drain, time_left)
        except Exception as error:  # a defect of the admission controller must not stop the drain
            self.node.log.error("drain_admission_notice_failed", error=describe_error(error))

    def _set_state(self, state: DrainState) -> None:
        """Change the state; apart from the constructor, only this method sets it."""
        if state not in TRANSITIONS[self.state]:
            raise InvalidTransitionError("a drain", self.state.value, state.value)
        self.state = state
