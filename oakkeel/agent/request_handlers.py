"""Handles the requests of operators and other agents, except those to the control plane."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any

from oakkeel.agent import messages
from oakkeel.agent.control_plane_handlers import CONTROL_PLANE_REQUESTS, ControlPlaneHandlers
from oakkeel.agent.control_plane_status import raft_status
from oakkeel.agent.control_requests import CONTROL_REQUEST_TIMEOUT_NS
from oakkeel.agent.handler_context import HandlerContext
from oakkeel.agent.host_status import host_status, order_status
from oakkeel.agent.instances import Order, Verb
from oakkeel.agent.order_rules import OrderRejectedError, OrderSubmission
from oakkeel.authentication.mac import Key
from oakkeel.control.client import ControlClient, ControlError
from oakkeel.log import EventLog
from oakkeel.units import SECOND

MAX_LISTED_ORDERS = 200  # in one response
MAX_QUOTED_LENGTH = 20  # characters of a request that are quoted in an error message
# The request is of the type that the handler is registered for.
Handler = Callable[[Key, Any], messages.Response | Awaitable[messages.Response]]


class RequestHandlers:
    """Handlers for all requests that an agent receives."""

    def __init__(self, agent: HandlerContext) -> None:
        """Serve requests on `agent`."""
        self.agent = agent
        self._handlers: dict[type[messages.Request], Handler] = {
            messages.PeerEnvelopesRequest: self._receive_envelopes,
            messages.HeartbeatRequest: self._receive_heartbeat,
            messages.HostStatusRequest: self._host_status,
            messages.InstanceClientsRequest: self._instance_clients,
            messages.RaftStatusRequest: self._raft_status,
            messages.ListOrdersRequest: self._list_orders,
            messages.OrderRequest: self._submit_order,
            messages.CancelOrderRequest: self._cancel_order,
            **dict.fromkeys(CONTROL_PLANE_REQUESTS, ControlPlaneHandlers(agent).handle),
        }

    def handle(self, key: Key, request: messages.Request) -> messages.Response | Awaitable[messages.Response]:
        """Respond to one request that was authenticated with `key` and is allowed by its role."""
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
            {instance: process.pid for instance, process in agent.executor.running_processes.items()},
        )

    def _raft_status(self, key: Key, request: messages.RaftStatusRequest) -> messages.Response:
        agent = self.agent
        return raft_status(time.monotonic_ns(), agent.host.name, agent.raft, agent.status_reporter)

    async def _instance_clients(
        self, key: Key, request: messages.InstanceClientsRequest
    ) -> messages.Response:
        """Request the heaviest clients of a node, over a separate control link."""
        agent = self.agent
        instance = agent.orders.instances.get(request.instance)
        if instance is None or instance not in agent.executor.running_processes:
            return messages.ErrorResponse("this host has no such instance, or it is not running")
        client = ControlClient(agent.executor.processes.path(instance.name, "sock"))
        timeout = CONTROL_REQUEST_TIMEOUT_NS / SECOND
        try:
            status = await client.clients_status(request.limit, timeout)
            return messages.InstanceClients(instance.name, status)
        except ControlError as error:
            return messages.ErrorResponse(str(error))
        finally:
            client.close()

    # Orders on the instances of this host.

    def _list_orders(self, key: Key, request: messages.ListOrdersRequest) -> messages.Response:
        now = time.monotonic_ns()
        latest_orders = list(self.agent.orders.orders.values())[
            -max(1, min(request.limit, MAX_LISTED_ORDERS)) :
        ]
        return messages.OrderList([order_status(now, order) for order in reversed(latest_orders)])

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
        is_duplicate = request.order_id in agent.orders.orders
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
        if order.is_open and not is_duplicate:
            if not agent.save():
                agent.orders.undo(order)
                return messages.ErrorResponse(
                    f"the order is not accepted, as the state file can't be written: {agent.storage_error}"
                )
            agent.orders.confirm(order)
            _log_order_accepted(agent.log, order)
            asyncio.get_running_loop().call_soon(agent.run_cycle)
        return order_status(now, order)


def _log_order_accepted(log: EventLog, order: Order) -> None:
    """Log an order that was accepted."""
    log.info(
        "order_accepted",
        order=order.order_id,
        operator=order.operator,
        verb=order.verb.value,
        target=",".join(task.instance.name for task in order.tasks if task.is_open),
    )
