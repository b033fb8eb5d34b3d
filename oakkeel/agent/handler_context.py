"""The interface of an agent for its request handlers."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from oakkeel.agent.executor import InstanceExecutor
from oakkeel.agent.orders import OrderRegistry
from oakkeel.agent.raft_runtime import RaftRuntime
from oakkeel.agent.status_reporter import StatusReporter
from oakkeel.agent.supervisor import Supervisor
from oakkeel.log import EventLog
from oakkeel.settings.types import HostSettings


class HandlerContext(Protocol):
    """The members of an agent that its request handlers use."""

    host: HostSettings
    log: EventLog
    started_at: int
    supervisor: Supervisor
    orders: OrderRegistry
    executor: InstanceExecutor

    @property
    def raft(self) -> RaftRuntime | None:
        """The replica of this host, if it has one."""

    @property
    def status_reporter(self) -> StatusReporter | None:
        """The sender of heartbeats, if the fleet has a control plane."""

    @property
    def storage_error(self) -> str:
        """The reason the state can't be written; empty if it can."""

    def save(self) -> bool:
        """Write the changed state; return False if that fails."""

    def run_cycle(self) -> None:
        """Decide on steps, store the changed state and execute the steps."""

    def operator_notes(self) -> Sequence[str]:
        """Conditions of this host that its operator should know."""
