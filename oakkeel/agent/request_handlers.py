"""What an agent answers to operators and to other agents."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Sequence
from typing import Protocol

from oakkeel.agent import messages
from oakkeel.agent.executor import ANSWER, InstanceExecutor
from oakkeel.agent.orders import Order, OrderRegistry, OrderRejectedError, Verb
from oakkeel.agent.raft_runtime import CommitUnknownError, RaftRuntime
from oakkeel.agent.status_reporter import StatusReporter
from oakkeel.agent.status_views import (
    fleet_order_status,
    fleet_status,
    host_status,
    order_status,
    raft_status,
    release_status,
)
from oakkeel.agent.supervisor import SECOND, Supervisor
from oakkeel.authentication.mac import Key
from oakkeel.control.client import ControlClient, ControlError
from oakkeel.disruption import commands
from oakkeel.disruption.state import DisruptionOrder as Agreed
from oakkeel.disruption.state import Rejection
from oakkeel.log import EventLog
from oakkeel.raft.proposals import NotLeaderError
from oakkeel.rollout import commands as releases
from oakkeel.rollout.state_machine import Release
from oakkeel.settings.types import HostSettings

OF_THE_FLEET = (
    messages.FleetOrderRequest,
    messages.EndFleetOrderRequest,
    messages.SetVotersRequest,
    messages.FleetStatusRequest,
    messages.StartReleaseRequest,
    messages.ControlReleaseRequest,
    messages.ReleaseStatusRequest,
)


class HandlerContext(Protocol):
    """What it needs of the agent."""

    host: HostSettings
    log: EventLog
    started: int
    supervision: Supervisor
    orders: OrderRegistry
    executor: InstanceExecutor
    raft: RaftRuntime | None
    status_reporter: StatusReporter | None
    store_fault: str

    def keep(self) -> bool: ...
    def turn(self) -> None: ...
    def said(self) -> Sequence[str]: ...


class RequestHandlers:
    def __init__(self, agent: HandlerContext) -> None:
        self.agent = agent

    def handle(self, key: Key, wish: messages.Request) -> messages.Response | Awaitable[messages.Response]:
        agent, now = self.agent, time.monotonic_ns()
        if isinstance(wish, messages.PeerEnvelopesRequest):
            letters = agent.raft.carried(key.operator, wish.envelopes) if agent.raft else []
            return messages.PeerEnvelopesResponse(letters)
        if isinstance(wish, messages.HeartbeatRequest):
            if wish.heartbeat.host != key.operator:
                return messages.ErrorResponse(
                    f"the key of {key.operator} with a poll of {wish.heartbeat.host}"
                )
            return (
                agent.raft.polled(wish.heartbeat)
                if agent.raft
                else messages.NotLeaderResponse("", "no keeper runs here")
            )
        if isinstance(wish, messages.HostStatusRequest):
            return host_status(
                now,
                agent.host,
                agent.supervision,
                agent.started,
                list(agent.said()),
                {each: process.pid for each, process in agent.executor.alive.items()},
            )
        if isinstance(wish, messages.InstanceClientsRequest):
            return self._clients(wish)
        if isinstance(wish, messages.RaftStatusRequest):
            return raft_status(now, agent.host.name, agent.raft, agent.status_reporter)
        if isinstance(wish, OF_THE_FLEET):
            return self._fleet(key, wish)
        if isinstance(wish, messages.ListOrdersRequest):
            latest = list(agent.orders.orders.values())[-max(1, min(wish.limit, 200)) :]
            return messages.OrderList([order_status(now, each) for each in reversed(latest)])
        try:
            if isinstance(wish, messages.CancelOrderRequest):
                order = agent.orders.cancel(now, wish.order_id, key.operator)
                agent.log.info("order_cancelled", order=order.ident, operator=key.operator)
                agent.keep()
                return order_status(now, order)
            return self._take(now, key, wish)
        except OrderRejectedError as error:
            return messages.ErrorResponse(str(error))

    async def _clients(self, wish: messages.InstanceClientsRequest) -> messages.Response:
        """Ask a node who sends the most, on a link of its own."""
        agent = self.agent
        instance = agent.orders.named.get(wish.instance)
        if instance is None or instance not in agent.executor.alive:
            return messages.ErrorResponse("no such instance here, or it does not run")
        client = ControlClient(agent.executor.processes.path(instance.name, "sock"))
        try:
            return messages.InstanceClients(
                instance.name, await client.clients_status(wish.limit, ANSWER / SECOND)
            )
        except ControlError as error:
            return messages.ErrorResponse(str(error))
        finally:
            client.close()

    def _take(self, now: int, key: Key, wish: messages.OrderRequest) -> messages.Response:
        agent = self.agent
        if wish.verb not in {each.value for each in Verb}:
            return messages.ErrorResponse(f"no such order: {wish.verb[:20]!r}")
        if agent.status_reporter and wish.verb != Verb.START.value:
            return messages.ErrorResponse("this fleet keeps a record: what leaves is agreed there")
        asked = tuple((name, generation) for name, generation in wish.instances)
        known = wish.order_id in agent.orders.orders
        order = agent.orders.take(
            now, wish.order_id, key.operator, Verb(wish.verb), asked, wish.lifetime, wish.supersede
        )
        if order.open and not known:
            if not agent.keep():
                agent.orders.undo(order)
                return messages.ErrorResponse(f"not taken, as it can't be kept: {agent.store_fault}")
            agent.orders.kept(order)
            said_taken(agent.log, order)
            asyncio.get_running_loop().call_soon(agent.turn)
        return order_status(now, order)

    # The fleet's record.

    async def _fleet(self, key: Key, wish: messages.Request) -> messages.Response:
        raft = self.agent.raft
        if raft is None or raft.control_plane is None:
            leader = self.agent.status_reporter.leader if self.agent.status_reporter else ""
            return messages.NotLeaderResponse(
                leader,
                raft.fault
                if raft and raft.fault
                else "this agent does not keep the record"
                if self.agent.status_reporter
                else "this fleet has no keepers in its settings",
            )
        try:
            if isinstance(wish, messages.FleetStatusRequest):
                return fleet_status(time.monotonic_ns(), raft, wish.order_id)
            if isinstance(wish, messages.ReleaseStatusRequest):
                return release_status(time.monotonic_ns(), raft, wish.release_id)
            if isinstance(wish, messages.SetVotersRequest):
                return await self._set_keepers(key, raft, wish)
            result = await raft.propose(command_of(key, wish, time.time_ns()))
        except NotLeaderError as error:
            return messages.NotLeaderResponse(error.leader, str(error))
        except CommitUnknownError as error:
            return messages.NotLeaderResponse("", f"not decided: {error}; send it again with the same id")
        if isinstance(result, Rejection):
            return messages.ErrorResponse(result.reason)
        if isinstance(result, Release):
            self.agent.log.info(
                "release_command_committed",
                release=result.ident,
                operator=key.operator,
                command=getattr(wish, "action", "start"),
            )
            return release_status(time.monotonic_ns(), raft, result.ident)
        assert isinstance(result, Agreed)
        self.agent.log.info(
            "order_command_committed",
            order=result.id,
            operator=key.operator,
            command=wish.__struct_config__.tag,
        )
        return fleet_order_status(raft, result)

    async def _set_keepers(
        self, key: Key, raft: RaftRuntime, wish: messages.SetVotersRequest
    ) -> messages.Response:
        known = {host.name for host in raft.fleet.hosts}
        if unknown := [name for name in wish.hosts if name not in known]:
            return messages.ErrorResponse(f"there is no host {unknown[0]!r}")
        if len(wish.hosts) not in (1, 3, 5):
            return messages.ErrorResponse("three or five keepers are asked for, or one for a trial")
        result = await raft.propose(commands.SetVoters(wish.hosts, key.operator))
        if isinstance(result, Rejection):
            return messages.ErrorResponse(result.reason)
        return raft_status(time.monotonic_ns(), self.agent.host.name, raft, self.agent.status_reporter)


def command_of(key: Key, wish: messages.Request, unix: int) -> commands.Command | releases.Command:
    if isinstance(wish, messages.FleetOrderRequest):
        return commands.SubmitOrder(
            wish.order_id, key.operator, wish.verb, unix, wish.lifetime, wish.atomic, list(wish.targets)
        )
    if isinstance(wish, messages.StartReleaseRequest):
        return releases.StartRelease(
            wish.release_id, key.operator, unix, wish.version, wish.policy, wish.targets
        )
    if isinstance(wish, messages.ControlReleaseRequest):
        return releases.ControlRelease(wish.release_id, key.operator, wish.action)
    assert isinstance(wish, messages.EndFleetOrderRequest)
    return (commands.CancelOrder if wish.cancel else commands.HaltOrder)(wish.order_id, key.operator)


def said_taken(log: EventLog, order: Order) -> None:
    log.info(
        "order_accepted",
        order=order.ident,
        operator=order.operator,
        verb=order.verb.value,
        target=",".join(part.instance.name for part in order.parts if part.open),
    )
