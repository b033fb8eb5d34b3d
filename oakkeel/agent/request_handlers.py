"""Handles the requests of operators and of other agents."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Protocol

from oakkeel.agent import messages
from oakkeel.agent.control_requests import CONTROL_REQUEST_TIMEOUT_NS
from oakkeel.agent.executor import InstanceExecutor
from oakkeel.agent.instances import Order, Verb
from oakkeel.agent.order_rules import OrderRejectedError, OrderSubmission
from oakkeel.agent.orders import OrderRegistry
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
from oakkeel.agent.supervisor import Supervisor
from oakkeel.authentication.mac import Key
from oakkeel.control.client import ControlClient, ControlError
from oakkeel.disruption import commands
from oakkeel.disruption.state import DisruptionOrder, Rejection
from oakkeel.errors import OakkeelError
from oakkeel.log import EventLog
from oakkeel.raft.proposals import NotLeaderError
from oakkeel.rollout import commands as releases
from oakkeel.rollout.state_machine import Release
from oakkeel.settings.types import HostSettings
from oakkeel.units import SECOND

MAX_LISTED_ORDERS = 200
MAX_QUOTED_LENGTH = 20  # characters of a request that an error message repeats
VOTER_COUNTS = (1, 3, 5)  # one for a trial; an even number tolerates no more failures
CONTROL_PLANE_REQUESTS = (
    messages.FleetOrderRequest,
    messages.EndFleetOrderRequest,
    messages.SetVotersRequest,
    messages.FleetStatusRequest,
    messages.StartReleaseRequest,
    messages.ControlReleaseRequest,
    messages.ReleaseStatusRequest,
)
# The request is of the type that the handler is registered for.
Handler = Callable[[Key, Any], messages.Response | Awaitable[messages.Response]]


class UnexpectedRequestError(OakkeelError):
    """A request or a result has a type that its handler does not know: a defect."""


class HandlerContext(Protocol):
    """What the handlers need of the agent."""

    host: HostSettings
    log: EventLog
    started_at: int
    supervisor: Supervisor
    orders: OrderRegistry
    executor: InstanceExecutor
    raft: RaftRuntime | None
    status_reporter: StatusReporter | None

    @property
    def storage_error(self) -> str:
        """Why the state can't be written; empty if it can."""

    def save(self) -> bool:
        """Write what changed; False if that fails."""

    def reconcile(self) -> None:
        """Decide, write and execute once."""

    def operator_notes(self) -> Sequence[str]:
        """Conditions of this host that its operator should know."""


class RequestHandlers:
    """Handlers for all requests that an agent receives."""

    def __init__(self, agent: HandlerContext) -> None:
        """Serve requests on that agent."""
        self.agent = agent
        self._handlers: dict[type[messages.Request], Handler] = {
            messages.PeerEnvelopesRequest: self._receive_envelopes,
            messages.HeartbeatRequest: self._receive_heartbeat,
            messages.HostStatusRequest: self._host_status,
            messages.InstanceClientsRequest: self._clients,
            messages.RaftStatusRequest: self._raft_status,
            messages.ListOrdersRequest: self._list_orders,
            messages.OrderRequest: self._submit_order,
            messages.CancelOrderRequest: self._cancel_order,
            **dict.fromkeys(CONTROL_PLANE_REQUESTS, self._control_plane),
        }

    def handle(self, key: Key, request: messages.Request) -> messages.Response | Awaitable[messages.Response]:
        """Respond to one request that `key` has authenticated and may send."""
        return self._handlers[type(request)](key, request)

    # Requests of other agents.

    def _receive_envelopes(self, key: Key, request: messages.PeerEnvelopesRequest) -> messages.Response:
        raft = self.agent.raft
        return messages.PeerEnvelopesResponse(
            raft.receive_envelopes(key.operator, request.envelopes) if raft else []
        )

    def _receive_heartbeat(
        self, key: Key, request: messages.HeartbeatRequest
    ) -> messages.Response | Awaitable[messages.Response]:
        heartbeat = request.heartbeat
        raft = self.agent.raft
        if heartbeat.host != key.operator:
            return messages.ErrorResponse(
                f"a heartbeat of {heartbeat.host} can't be sent with the key of {key.operator}"
            )
        if raft is None:
            return messages.NotLeaderResponse("", "no replica runs on this host")
        return raft.receive_heartbeat(heartbeat)

    # The state of this host.

    def _host_status(self, key: Key, request: messages.HostStatusRequest) -> messages.Response:
        agent = self.agent
        return host_status(
            time.monotonic_ns(),
            agent.host,
            agent.supervisor,
            agent.started_at,
            list(agent.operator_notes()),
            {instance: process.pid for instance, process in agent.executor.alive.items()},
        )

    def _raft_status(self, key: Key, request: messages.RaftStatusRequest) -> messages.Response:
        agent = self.agent
        return raft_status(time.monotonic_ns(), agent.host.name, agent.raft, agent.status_reporter)

    async def _clients(self, key: Key, request: messages.InstanceClientsRequest) -> messages.Response:
        """Request the heaviest clients of a node, on a link of its own."""
        agent = self.agent
        instance = agent.orders.instances.get(request.instance)
        if instance is None or instance not in agent.executor.alive:
            return messages.ErrorResponse("this host has no such instance, or it is not running")
        client = ControlClient(agent.executor.processes.path(instance.name, "sock"))
        try:
            return messages.InstanceClients(
                instance.name, await client.clients_status(request.limit, CONTROL_REQUEST_TIMEOUT_NS / SECOND)
            )
        except ControlError as error:
            return messages.ErrorResponse(str(error))
        finally:
            client.close()

    # Orders on the instances of this host.

    def _list_orders(self, key: Key, request: messages.ListOrdersRequest) -> messages.Response:
        now = time.monotonic_ns()
        latest = list(self.agent.orders.orders.values())[-max(1, min(request.limit, MAX_LISTED_ORDERS)) :]
        return messages.OrderList([order_status(now, order) for order in reversed(latest)])

    def _cancel_order(self, key: Key, request: messages.CancelOrderRequest) -> messages.Response:
        agent = self.agent
        now = time.monotonic_ns()
        try:
            order = agent.orders.cancel(now, request.order_id, key.operator)
        except OrderRejectedError as error:
            return messages.ErrorResponse(str(error))
        agent.log.info("order_cancelled", order=order.order_id, operator=key.operator)
        agent.save()
        return order_status(now, order)

    def _submit_order(self, key: Key, request: messages.OrderRequest) -> messages.Response:
        agent = self.agent
        now = time.monotonic_ns()
        if request.verb not in {verb.value for verb in Verb}:
            return messages.ErrorResponse(f"no such verb: {request.verb[:MAX_QUOTED_LENGTH]!r}")
        if agent.status_reporter and request.verb != Verb.START.value:
            return messages.ErrorResponse(
                "this fleet has a control plane: submit drains, stops and restarts to its leader"
            )
        known = request.order_id in agent.orders.orders
        try:
            submission = OrderSubmission(
                request.order_id,
                key.operator,
                Verb(request.verb),
                tuple((name, generation) for name, generation in request.instances),
                request.lifetime,
                request.supersede,
            )
            order = agent.orders.submit(now, submission)
        except OrderRejectedError as error:
            return messages.ErrorResponse(str(error))
        if order.is_open and not known:
            if not agent.save():
                agent.orders.undo(order)
                return messages.ErrorResponse(
                    f"not accepted, as the state file can't be written: {agent.storage_error}"
                )
            agent.orders.confirm(order)
            log_accepted(agent.log, order)
            asyncio.get_running_loop().call_soon(agent.reconcile)
        return order_status(now, order)

    # Requests to the control plane.

    async def _control_plane(self, key: Key, request: messages.Request) -> messages.Response:
        raft = self.agent.raft
        if raft is None or raft.control_plane is None:
            return self._no_replica_here(raft)
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
            return messages.NotLeaderResponse(
                "", f"not known to be committed: {error}; send it again with the same id"
            )
        return self._committed(key, request, raft, result)

    def _no_replica_here(self, raft: RaftRuntime | None) -> messages.Response:
        """Respond where no replica of the control plane runs, with the leader if it is known."""
        reporter = self.agent.status_reporter
        if raft and raft.storage_error:
            reason = raft.storage_error
        elif reporter:
            reason = "this host has no replica"
        else:
            reason = "this fleet has no control plane: name its voters in <keepers>"
        return messages.NotLeaderResponse(reporter.leader if reporter else "", reason)

    def _committed(
        self, key: Key, request: messages.Request, raft: RaftRuntime, result: object
    ) -> messages.Response:
        """Respond with the result of a committed command."""
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
        if not isinstance(result, DisruptionOrder):
            raise UnexpectedRequestError(f"unexpected result of a command: {type(result).__name__}")
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
        if len(request.hosts) not in VOTER_COUNTS:
            return messages.ErrorResponse("name three or five voters (keepers), or one for a trial")
        result = await raft.propose(commands.SetVoters(request.hosts, key.operator))
        if isinstance(result, Rejection):
            return messages.ErrorResponse(result.reason)
        return raft_status(time.monotonic_ns(), self.agent.host.name, raft, self.agent.status_reporter)


def command_of(key: Key, request: messages.Request, unix_time: int) -> commands.Command | releases.Command:
    """The replicated command for a request."""
    if isinstance(request, messages.FleetOrderRequest):
        return commands.SubmitOrder(
            request.order_id,
            key.operator,
            request.verb,
            unix_time,
            request.lifetime,
            request.atomic,
            list(request.targets),
        )
    if isinstance(request, messages.StartReleaseRequest):
        return releases.StartRelease(
            request.release_id, key.operator, unix_time, request.version, request.policy, request.targets
        )
    if isinstance(request, messages.ControlReleaseRequest):
        return releases.ControlRelease(request.release_id, key.operator, request.action)
    if not isinstance(request, messages.EndFleetOrderRequest):
        raise UnexpectedRequestError(f"no command for {type(request).__name__}")
    if request.cancel:
        return commands.CancelOrder(request.order_id, key.operator)
    return commands.HaltOrder(request.order_id, key.operator)


def log_accepted(log: EventLog, order: Order) -> None:
    """Log an order that was accepted."""
    log.info(
        "order_accepted",
        order=order.order_id,
        operator=order.operator,
        verb=order.verb.value,
        target=",".join(task.instance.name for task in order.tasks if task.is_open),
    )
