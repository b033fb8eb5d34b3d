"""What an agent answers to operators and to other agents."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Sequence
from typing import Protocol

from oakkeel.agent import messages
from oakkeel.agent.executor import ANSWER, Acting
from oakkeel.agent.orders import Order, OrderRefused, Orders, Verb
from oakkeel.agent.raft_runtime import Keeping, Undecided
from oakkeel.agent.status_reporter import Polling
from oakkeel.agent.status_views import (
    fleet_told,
    host_told,
    order_told,
    record_told,
    release_told,
    state_told,
)
from oakkeel.agent.supervisor import SECOND, Supervision
from oakkeel.authentication.mac import Key
from oakkeel.control.client import ControlClient, ControlError
from oakkeel.disruption import commands
from oakkeel.disruption.state_machine import Order as Agreed
from oakkeel.disruption.state_machine import Refusal
from oakkeel.log import Log
from oakkeel.raft.replica import NotLeading
from oakkeel.rollout import commands as releases
from oakkeel.rollout.state_machine import Release
from oakkeel.settings.fleet import HostSettings

OF_THE_FLEET = (
    messages.FleetOrder,
    messages.FleetEnd,
    messages.SetKeepers,
    messages.AskFleet,
    messages.StartRelease,
    messages.TurnRelease,
    messages.AskRelease,
)


class Answerer(Protocol):
    """What it needs of the agent."""

    host: HostSettings
    log: Log
    started: int
    supervision: Supervision
    orders: Orders
    acting: Acting
    keeping: Keeping | None
    polling: Polling | None
    store_fault: str

    def keep(self) -> bool: ...
    def turn(self) -> None: ...
    def said(self) -> Sequence[str]: ...


class Answering:
    def __init__(self, agent: Answerer) -> None:
        self.agent = agent

    def handle(self, key: Key, wish: messages.Wish) -> messages.Answer | Awaitable[messages.Answer]:
        agent, now = self.agent, time.monotonic_ns()
        if isinstance(wish, messages.Carry):
            letters = agent.keeping.carried(key.operator, wish.letters) if agent.keeping else []
            return messages.Carried(letters)
        if isinstance(wish, messages.Polled):
            if wish.poll.host != key.operator:
                return messages.Fault(f"the key of {key.operator} with a poll of {wish.poll.host}")
            return (
                agent.keeping.polled(wish.poll)
                if agent.keeping
                else messages.Elsewhere("", "no keeper runs here")
            )
        if isinstance(wish, messages.Look):
            return host_told(
                now,
                agent.host,
                agent.supervision,
                agent.started,
                list(agent.said()),
                {each: process.pid for each, process in agent.acting.alive.items()},
            )
        if isinstance(wish, messages.Clients):
            return self._clients(wish)
        if isinstance(wish, messages.AskRecord):
            return record_told(now, agent.host.name, agent.keeping, agent.polling)
        if isinstance(wish, OF_THE_FLEET):
            return self._fleet(key, wish)
        if isinstance(wish, messages.ListOrders):
            latest = list(agent.orders.orders.values())[-max(1, min(wish.most, 200)) :]
            return messages.OrdersTold([order_told(now, each) for each in reversed(latest)])
        try:
            if isinstance(wish, messages.Cancel):
                order = agent.orders.cancel(now, wish.ident, key.operator)
                agent.log.say("cancelled", order=order.ident, operator=key.operator)
                agent.keep()
                return order_told(now, order)
            return self._take(now, key, wish)
        except OrderRefused as error:
            return messages.Fault(str(error))

    async def _clients(self, wish: messages.Clients) -> messages.Answer:
        """Ask a node who sends the most, on a link of its own."""
        agent = self.agent
        instance = agent.orders.named.get(wish.instance)
        if instance is None or instance not in agent.acting.alive:
            return messages.Fault("no such instance here, or it does not run")
        client = ControlClient(agent.acting.processes.path(instance.name, "sock"))
        try:
            return messages.ClientsOf(instance.name, await client.clients(wish.most, ANSWER / SECOND))
        except ControlError as error:
            return messages.Fault(str(error))
        finally:
            client.close()

    def _take(self, now: int, key: Key, wish: messages.Order) -> messages.Answer:
        agent = self.agent
        if wish.verb not in {each.value for each in Verb}:
            return messages.Fault(f"no such order: {wish.verb[:20]!r}")
        if agent.polling and wish.verb != Verb.START.value:
            return messages.Fault("this fleet keeps a record: what leaves is agreed there")
        asked = tuple((name, generation) for name, generation in wish.instances)
        known = wish.ident in agent.orders.orders
        order = agent.orders.take(
            now, wish.ident, key.operator, Verb(wish.verb), asked, wish.lasts, wish.supersede
        )
        if order.open and not known:
            if not agent.keep():
                agent.orders.undo(order)
                return messages.Fault(f"not taken, as it can't be kept: {agent.store_fault}")
            agent.orders.kept(order)
            said_taken(agent.log, order)
            asyncio.get_running_loop().call_soon(agent.turn)
        return order_told(now, order)

    # The fleet's record.

    async def _fleet(self, key: Key, wish: messages.Wish) -> messages.Answer:
        keeping = self.agent.keeping
        if keeping is None or keeping.steward is None:
            leader = self.agent.polling.leader if self.agent.polling else ""
            return messages.Elsewhere(
                leader,
                keeping.fault
                if keeping and keeping.fault
                else "this agent does not keep the record"
                if self.agent.polling
                else "this fleet has no keepers in its settings",
            )
        try:
            if isinstance(wish, messages.AskFleet):
                return state_told(time.monotonic_ns(), keeping, wish.ident)
            if isinstance(wish, messages.AskRelease):
                return release_told(time.monotonic_ns(), keeping, wish.ident)
            if isinstance(wish, messages.SetKeepers):
                return await self._set_keepers(key, keeping, wish)
            result = await keeping.propose(command_of(key, wish, time.time_ns()))
        except NotLeading as error:
            return messages.Elsewhere(error.leader, str(error))
        except Undecided as error:
            return messages.Elsewhere("", f"not decided: {error}; send it again with the same id")
        if isinstance(result, Refusal):
            return messages.Fault(result.why)
        if isinstance(result, Release):
            self.agent.log.say(
                "agreed", release=result.ident, operator=key.operator, what=getattr(wish, "to", "start")
            )
            return release_told(time.monotonic_ns(), keeping, result.ident)
        assert isinstance(result, Agreed)
        self.agent.log.say("agreed", order=result.ident, operator=key.operator, what=type(wish).__name__)
        return fleet_told(keeping, result)

    async def _set_keepers(self, key: Key, keeping: Keeping, wish: messages.SetKeepers) -> messages.Answer:
        known = {host.name for host in keeping.fleet.hosts}
        if unknown := [name for name in wish.hosts if name not in known]:
            return messages.Fault(f"there is no host {unknown[0]!r}")
        if len(wish.hosts) not in (1, 3, 5):
            return messages.Fault("three or five keepers are asked for, or one for a trial")
        result = await keeping.propose(commands.Keepers(wish.hosts, key.operator))
        if isinstance(result, Refusal):
            return messages.Fault(result.why)
        return record_told(time.monotonic_ns(), self.agent.host.name, keeping, self.agent.polling)


def command_of(key: Key, wish: messages.Wish, unix: int) -> commands.Command | releases.Command:
    if isinstance(wish, messages.FleetOrder):
        return commands.Order(
            wish.ident, key.operator, wish.verb, unix, wish.lasts, wish.whole, list(wish.things)
        )
    if isinstance(wish, messages.StartRelease):
        return releases.Begin(wish.ident, key.operator, unix, wish.what, wish.pace, wish.things)
    if isinstance(wish, messages.TurnRelease):
        return releases.Turn(wish.ident, key.operator, wish.to)
    assert isinstance(wish, messages.FleetEnd)
    return (commands.Cancel if wish.back else commands.Halt)(wish.ident, key.operator)


def said_taken(log: Log, order: Order) -> None:
    log.say(
        "an order is taken",
        order=order.ident,
        operator=order.operator,
        verb=order.verb.value,
        of=",".join(part.instance.name for part in order.parts if part.open),
    )
