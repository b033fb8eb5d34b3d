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
    started_at: int
    supervisor: Supervisor
    orders: OrderRegistry
    executor: InstanceExecutor
    raft: RaftRuntime | None
    status_reporter: StatusReporter | None
    storage_error: str

    def save(self) -> bool:
        """Write what changed; False where that fails."""

    def reconcile(self) -> None:
        """Decide, write and act once."""

    def operator_notes(self) -> Sequence[str]:
        """What the host's operator should know of."""


class RequestHandlers:
    """Handlers for all requests that an agent receives."""

    def __init__(self, agent: HandlerContext) -> None:
        """Serve requests on that agent."""
        self.agent = agent

    def handle(self, key: Key, request: messages.Request) -> messages.Response | Awaitable[messages.Response]:
        """Respond to one request that `key` has authenticated and may send."""
        agent, now = self.agent, time.monotonic_ns()
        if isinstance(request, messages.PeerEnvelopesRequest):
            envelopes = agent.raft.receive_envelopes(key.operator, request.envelopes) if agent.raft else []
            return messages.PeerEnvelopesResponse(envelopes)
        if isinstance(request, messages.HeartbeatRequest):
            if request.heartbeat.host != key.operator:
                return messages.ErrorResponse(
                    f"the key of {key.operator} with a poll of {request.heartbeat.host}"
                )
            return (
                agent.raft.receive_heartbeat(request.heartbeat)
                if agent.raft
                else messages.NotLeaderResponse("", "no keeper runs here")
            )
        if isinstance(request, messages.HostStatusRequest):
            return host_status(
                now,
                agent.host,
                agent.supervisor,
                agent.started_at,
                list(agent.operator_notes()),
                {each: process.pid for each, process in agent.executor.alive.items()},
            )
        if isinstance(request, messages.InstanceClientsRequest):
            return self._clients(request)
        if isinstance(request, messages.RaftStatusRequest):
            return raft_status(now, agent.host.name, agent.raft, agent.status_reporter)
        if isinstance(request, OF_THE_FLEET):
            return self._control_plane(key, request)
        if isinstance(request, messages.ListOrdersRequest):
            latest = list(agent.orders.orders.values())[-max(1, min(request.limit, 200)) :]
            return messages.OrderList([order_status(now, each) for each in reversed(latest)])
        try:
            if isinstance(request, messages.CancelOrderRequest):
                order = agent.orders.cancel(now, request.order_id, key.operator)
                agent.log.info("order_cancelled", order=order.order_id, operator=key.operator)
                agent.save()
                return order_status(now, order)
            return self._submit_order(now, key, request)
        except OrderRejectedError as error:
            return messages.ErrorResponse(str(error))

    async def _clients(self, request: messages.InstanceClientsRequest) -> messages.Response:
        """Ask a node who sends the most, on a link of its own."""
        agent = self.agent
        instance = agent.orders.instances.get(request.instance)
        if instance is None or instance not in agent.executor.alive:
            return messages.ErrorResponse("no such instance here, or it does not run")
        client = ControlClient(agent.executor.processes.path(instance.name, "sock"))
        try:
            return messages.InstanceClients(
                instance.name, await client.clients_status(request.limit, ANSWER / SECOND)
            )
        except ControlError as error:
            return messages.ErrorResponse(str(error))
        finally:
            client.close()

    def _submit_order(self, now: int, key: Key, request: messages.OrderRequest) -> messages.Response:
        agent = self.agent
        if request.verb not in {each.value for each in Verb}:
            return messages.ErrorResponse(f"no such order: {request.verb[:20]!r}")
        if agent.status_reporter and request.verb != Verb.START.value:
            return messages.ErrorResponse("this fleet keeps a record: what leaves is agreed there")
        asked = tuple((name, generation) for name, generation in request.instances)
        known = request.order_id in agent.orders.orders
        order = agent.orders.submit(
            now,
            request.order_id,
            key.operator,
            Verb(request.verb),
            asked,
            request.lifetime,
            request.supersede,
        )
        if order.is_open and not known:
            if not agent.save():
                agent.orders.undo(order)
                return messages.ErrorResponse(f"not taken, as it can't be kept: {agent.storage_error}")
            agent.orders.confirm(order)
            said_taken(agent.log, order)
            asyncio.get_running_loop().call_soon(agent.reconcile)
        return order_status(now, order)

    # The fleet's record.

    async def _control_plane(self, key: Key, request: messages.Request) -> messages.Response:
        raft = self.agent.raft
        if raft is None or raft.control_plane is None:
            leader = self.agent.status_reporter.leader if self.agent.status_reporter else ""
            return messages.NotLeaderResponse(
                leader,
                raft.storage_error
                if raft and raft.storage_error
                else "this agent does not keep the record"
                if self.agent.status_reporter
                else "this fleet has no keepers in its settings",
            )
        try:
            if isinstance(request, messages.FleetStatusRequest):
                return fleet_status(time.monotonic_ns(), raft, request.order_id)
            if isinstance(request, messages.ReleaseStatusRequest):
                return release_status(time.monotonic_ns(), raft, request.release_id)
            if isinstance(request, messages.SetVotersRequest):
                return await self._set_voters(key, raft, request)
            result = await raft.propose(command_of(key, request, time.time_ns()))
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
                command=getattr(request, "action", "start"),
            )
            return release_status(time.monotonic_ns(), raft, result.ident)
        assert isinstance(result, Agreed)
        self.agent.log.info(
            "order_command_committed",
            order=result.id,
            operator=key.operator,
            command=request.__struct_config__.tag,
        )
        return fleet_order_status(raft, result)

    async def _set_voters(
        self, key: Key, raft: RaftRuntime, request: messages.SetVotersRequest
    ) -> messages.Response:
        known = {host.name for host in raft.fleet.hosts}
        if unknown := [name for name in request.hosts if name not in known]:
            return messages.ErrorResponse(f"there is no host {unknown[0]!r}")
        if len(request.hosts) not in (1, 3, 5):
            return messages.ErrorResponse("three or five keepers are asked for, or one for a trial")
        result = await raft.propose(commands.SetVoters(request.hosts, key.operator))
        if isinstance(result, Rejection):
            return messages.ErrorResponse(result.reason)
        return raft_status(time.monotonic_ns(), self.agent.host.name, raft, self.agent.status_reporter)


def command_of(key: Key, request: messages.Request, unix: int) -> commands.Command | releases.Command:
    """The replicated command for a request."""
    if isinstance(request, messages.FleetOrderRequest):
        return commands.SubmitOrder(
            request.order_id,
            key.operator,
            request.verb,
            unix,
            request.lifetime,
            request.atomic,
            list(request.targets),
        )
    if isinstance(request, messages.StartReleaseRequest):
        return releases.StartRelease(
            request.release_id, key.operator, unix, request.version, request.policy, request.targets
        )
    if isinstance(request, messages.ControlReleaseRequest):
        return releases.ControlRelease(request.release_id, key.operator, request.action)
    assert isinstance(request, messages.EndFleetOrderRequest)
    return (commands.CancelOrder if request.cancel else commands.HaltOrder)(request.order_id, key.operator)


def said_taken(log: EventLog, order: Order) -> None:
    """Log an order that was accepted."""
    log.info(
        "order_accepted",
        order=order.order_id,
        operator=order.operator,
        verb=order.verb.value,
        target=",".join(task.instance.name for task in order.tasks if task.is_open),
    )
