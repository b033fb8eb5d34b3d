"""What the handlers of requests need of an agent."""

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
    """An agent as its request handlers see it."""

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
        """Why the state can't be written; empty if it can."""

    def save(self) -> bool:
        """Write what changed; False if that fails."""

    def run_cycle(self) -> None:
        """Decide, write and execute once."""

    def operator_notes(self) -> Sequence[str]:
        """Conditions of this host that its operator should know."""
