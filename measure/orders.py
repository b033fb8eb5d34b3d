"""Kills agents at random durable steps while orders arrive; no order may be lost or carried out twice."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
import tempfile
import time
from random import Random
from typing import Any

from measure.common import parse_arguments, print_line, write_figures
from oakkeel.agent import messages
from oakkeel.agent.processes import Processes
from oakkeel.fakes.control_plane import UnexpectedResponseError
from oakkeel.fakes.site import FakeSite, SiteOptions
from oakkeel.fleet.agent_clients import AgentError, request_once
from oakkeel.settings.fleet import read_fleet
from oakkeel.settings.keys import read_operator_key, write_key
from oakkeel.units import SECOND

VERBS = ("restart", "stop", "start")  # in this order: each verb needs the state that the previous one leaves
MAX_CRASH_STEP = 14  # an agent kills itself at one of its first 14 durable steps


class HostScenario:
    """One host with one instance, an agent that is killed repeatedly, and an operator who sends orders."""

    def __init__(self, folder: str, seed: int, crashes: asyncio.Semaphore) -> None:
        """Use the semaphore `crashes`, which all hosts share, to limit the number of crashes."""
        self.folder = folder
        self.random = Random(seed)
        self.remaining_crashes = crashes
        site = FakeSite(
            folder,
            {"wb1": ["n1"]},
            SiteOptions(max_unavailable=1, supervision='<supervision backoff="20ms" restarts="1000"/>'),
        )
        write_key(os.path.join(folder, "asha.key"), os.urandom(32))
        site.write_settings(ravi="", lena="")
        self.fleet = read_fleet(site.settings)
        self.host = self.fleet.hosts[0]
        self.key = read_operator_key(self.fleet, "asha")
        self.agent: asyncio.subprocess.Process | None = None
        self.crash_count = self.order_count = self.resent_count = self.lost_count = 0
        self.expected_starts = 1
        self.will_crash = False  # the current agent will kill itself

    async def run(self) -> None:
        """Send orders until all crashes have occurred, then wait until the last order has ended."""
        while not self.remaining_crashes.locked() or self.will_crash:
            await self._complete_order(VERBS[self.order_count % len(VERBS)])
        await self._wait_until_settled()

    async def _ensure_agent(self) -> None:
        """Start an agent if none runs; while crashes remain, the agent will kill itself."""
        if self.agent is None or self.agent.returncode is not None:
            if self.agent is not None:
                self.crash_count += 1
            step = 0
            self.will_crash = False
            if not self.remaining_crashes.locked():
                await self.remaining_crashes.acquire()
                step = self.random.randint(1, MAX_CRASH_STEP)
                self.will_crash = True
            self.agent = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "oakkeel.fakes.crashing",
                self.fleet.path,
                "wb1",
                str(step),
                stderr=asyncio.subprocess.DEVNULL,
                start_new_session=True,
            )

    async def _request(self, request: messages.Request) -> messages.Response | None:
        """Return the agent's response, or None if there was none within a second."""
        await self._ensure_agent()
        with contextlib.suppress(AgentError, asyncio.TimeoutError):
            return await asyncio.wait_for(request_once(self.host.agent_address, self.key, request), 1.0)
        await asyncio.sleep(0.02)
        return None

    async def _wait_until_settled(self) -> int:
        """Wait until the instance serves or is stopped and no order is open; return its generation."""
        while True:
            response = await self._request(messages.HostStatusRequest())
            if isinstance(response, messages.HostStatus):
                instance = response.instances[0]
                if instance.order is None and instance.phase in ("serving", "stopped"):
                    return instance.generation
            await asyncio.sleep(0.01)

    async def _complete_order(self, verb: str) -> None:
        """Send an order until it is acknowledged, through all crashes; then wait until it has ended."""
        order_id = await self._submit_until_acknowledged(verb)
        while True:  # the order was acknowledged: no crash may lose it
            response = await self._request(messages.ListOrdersRequest(200))
            if isinstance(response, messages.OrderList):
                matching_orders = [order for order in response.orders if order.order_id == order_id]
                state = matching_orders[0].tasks[0].state if matching_orders else ""
                if state not in ("waiting", "acting", "done"):
                    self.lost_count += 1
                    print_line(f"  lost: {order_id} {verb} {matching_orders}")
                    return
                if state == "done":
                    return
            await asyncio.sleep(0.01)

    async def _submit_until_acknowledged(self, verb: str) -> str:
        """Send an order, with the same ID until it is acknowledged, and return the ID."""
        generation = await self._wait_until_settled()
        order_id = f"o{self.order_count}"
        request = messages.OrderRequest(order_id, verb, [("n1", generation)], 120 * SECOND)
        while True:
            response = await self._request(request)
            if isinstance(response, messages.OrderStatus):
                break
            self.resent_count += response is None
        if response.tasks[0].state == "refused":
            raise UnexpectedResponseError(f"{order_id}: {response.tasks[0].why}")
        self.order_count += 1
        self.expected_starts += verb in ("restart", "start")
        return order_id

    def count_starts(self) -> int:
        """Return the number of processes that were started, from the instance's journal."""
        with open(os.path.join(self.host.state_folder, "n1.journal"), encoding="ascii") as file:
            return sum(line.startswith("start") for line in file)

    async def close(self) -> None:
        """End the agent and the instance."""
        if self.agent and self.agent.returncode is None:
            self.agent.terminate()
            await self.agent.wait()
        processes = Processes(self.host.state_folder, lambda process, why: None)
        if process := processes.adopt("n1"):
            processes.signal(process, 9)  # type: ignore[arg-type]
        processes.close()


async def measure(crashes: int, scenario_count: int, seed: int) -> dict[str, Any]:
    """Kill agents at random steps on several hosts; count the lost orders and the started processes."""
    remaining_crashes = asyncio.Semaphore(crashes)
    with tempfile.TemporaryDirectory(prefix="oakkeel-") as folder:
        scenarios: list[HostScenario] = []
        for number in range(scenario_count):
            os.mkdir(os.path.join(folder, str(number)))
            scenarios.append(
                HostScenario(os.path.join(folder, str(number)), seed + number, remaining_crashes)
            )
        try:
            runs = asyncio.gather(*(scenario.run() for scenario in scenarios))
            while not runs.done():
                await asyncio.wait((runs,), timeout=10)
                crash_count = sum(scenario.crash_count for scenario in scenarios)
                orders = sum(scenario.order_count for scenario in scenarios)
                print_line(f"  {crash_count} crashes, {orders} orders")
            await runs
            return {
                "crashes": sum(scenario.crash_count for scenario in scenarios),
                "orders": sum(scenario.order_count for scenario in scenarios),
                "resent": sum(scenario.resent_count for scenario in scenarios),
                "lost": sum(scenario.lost_count for scenario in scenarios),
                "starts": sum(scenario.count_starts() for scenario in scenarios),
                "expected_starts": sum(scenario.expected_starts for scenario in scenarios),
            }
        finally:
            for scenario in scenarios:
                await scenario.close()


def main() -> int:
    """Run the measurement and return the exit code."""
    arguments = parse_arguments(__doc__ or "", crashes=300, lanes=6, seed=16)
    started_at = time.monotonic()
    figures = asyncio.run(measure(arguments.crashes, arguments.lanes, arguments.seed))
    write_figures(arguments, figures)
    doubled = max(0, figures["starts"] - figures["expected_starts"])
    missing = max(0, figures["expected_starts"] - figures["starts"])
    print_line(
        f"{figures['orders']} orders, sent again {figures['resent']} times; {figures['starts']} processes"
        f" made, {figures['expected_starts']} ordered; took {time.monotonic() - started_at:.0f} s"
    )
    print_line(
        f"orders: {figures['crashes']} crashes, {figures['lost'] + missing} lost, {doubled} carried out twice"
    )
    return 1 if figures["lost"] or doubled or missing or figures["crashes"] < arguments.crashes else 0


if __name__ == "__main__":
    sys.exit(main())
