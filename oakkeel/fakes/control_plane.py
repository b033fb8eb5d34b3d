"""An operator's client for tests, which submits orders, reads statuses and waits for conditions."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterable

from oakkeel.agent import messages
from oakkeel.errors import OakkeelError
from oakkeel.fakes.site import FakeSite
from oakkeel.fleet.agent_clients import AgentClients, NoLeaderError

TIMEOUT = 30.0  # maximum seconds to wait for a condition
ACTIVE_STATES = ("waiting", "granted", "out")  # states of a task that has not ended


class UnexpectedResponseError(OakkeelError, AssertionError):
    """An agent answered with a response of another type than the request expects."""


class ControlPlane:
    """The agents of a site, as an operator calls them. `clients` is set once the site is open."""

    clients: AgentClients

    def __init__(self, site: FakeSite) -> None:
        """`site` need not be open yet."""
        self.site = site

    async def raft_statuses(self) -> dict[str, messages.RaftStatus]:
        """Return the status of each replica that answers, by host."""
        answers, _ = await self.clients.request_each(
            {host: messages.RaftStatusRequest() for host in self.site.hosts}
        )
        return {host: status for host, status in answers.items() if isinstance(status, messages.RaftStatus)}

    async def wait_for_leader(self, excluding: Iterable[str] = (), timeout: float = TIMEOUT) -> str:
        """Wait until a host that is not in `excluding` leads, and return it; raises TimeoutError."""
        deadline = time.monotonic() + timeout
        excluded = set(excluding)
        while time.monotonic() < deadline:
            for host, status in (await self.raft_statuses()).items():
                if status.is_leader and host not in excluded:
                    return host
            await asyncio.sleep(0.02)
        raise TimeoutError(f"no leader within {timeout:g} s: {await self.raft_statuses()}")

    async def submit_order(
        self,
        order_id: str,
        verb: str,
        names: Iterable[str],
        duration: float = 20.0,
        atomic: bool = False,
        generations: dict[str, int] | None = None,
    ) -> messages.Response:
        """Submit an order for `duration` seconds; raises NoLeaderError.

        The default generations are those that the agents report now, and 0 for targets that no agent reports.
        """
        known_generations = generations or await self.generations()
        targets = [(name, known_generations.get(name, 0)) for name in names]
        order = messages.FleetOrderRequest(order_id, verb, targets, int(duration * 1e9), atomic)
        return await self.clients.request_leader(order)

    async def end_order(self, order_id: str, bring_back: bool) -> messages.Response:
        """Cancel an order and bring its targets back (`bring_back`), or halt it; raises NoLeaderError."""
        return await self.clients.request_leader(messages.EndFleetOrderRequest(order_id, bring_back))

    async def instance_statuses(self) -> dict[str, messages.InstanceStatus]:
        """Return the status of each instance whose agent answers, by name."""
        answers, _ = await self.clients.request_each(
            {host: messages.HostStatusRequest() for host in self.site.hosts}
        )
        return {
            instance.name: instance
            for answer in answers.values()
            if isinstance(answer, messages.HostStatus)
            for instance in answer.instances
        }

    async def generations(self) -> dict[str, int]:
        """Return the generation of each instance whose agent answers, by name."""
        return {name: status.generation for name, status in (await self.instance_statuses()).items()}

    async def fleet_status(self, order_id: str = "") -> messages.FleetStatus:
        """Return the fleet status of the leader; raises NoLeaderError and UnexpectedResponseError."""
        answer = await self.clients.request_leader(messages.FleetStatusRequest(order_id))
        if not isinstance(answer, messages.FleetStatus):
            raise UnexpectedResponseError(str(answer))
        return answer

    async def wait_until(
        self, condition_text: str, condition: Callable[[], Awaitable[bool]], timeout: float = TIMEOUT
    ) -> float:
        """Wait for a condition and return the waiting time in seconds; raises TimeoutError."""
        started_at = time.monotonic()
        while True:
            try:
                if await condition():
                    return time.monotonic() - started_at
            except (NoLeaderError, AssertionError):
                pass
            if time.monotonic() - started_at > timeout:
                raise TimeoutError(f"condition not met within {timeout:g} s: {condition_text}")
            await asyncio.sleep(0.03)

    async def wait_until_serving(self, names: Iterable[str] = (), timeout: float = TIMEOUT) -> float:
        """Wait until the named instances serve, by default all, and return the waiting time in seconds."""
        expected = set(names) or {name for names in self.site.hosts.values() for name in names}

        async def all_serve() -> bool:
            statuses = await self.instance_statuses()
            return all(name in statuses and statuses[name].phase == "serving" for name in expected)

        return await self.wait_until("all instances serve", all_serve, timeout)

    async def wait_until_ended(self, order_id: str, timeout: float = TIMEOUT) -> dict[str, str]:
        """Wait until an order has ended, and return the states of its targets."""
        states: dict[str, str] = {}

        async def has_ended() -> bool:
            tasks = (await self.fleet_status(order_id)).orders[0].tasks
            states.update({task.target: task.state for task in tasks})
            return all(task.state not in ACTIVE_STATES for task in tasks)

        await self.wait_until(f"order {order_id} has ended", has_ended, timeout)
        return states
