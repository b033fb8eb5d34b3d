"""Agents killed at random durable steps while orders come: none may be lost, none carried out twice."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
import tempfile
import time
from random import Random

from measure.common import SECOND, keep, options, say
from oakkeel.agent import messages
from oakkeel.agent.processes import Processes
from oakkeel.fakes.site import FakeSite
from oakkeel.fleet.agent_clients import AgentError, request_once
from oakkeel.settings.fleet import read_fleet
from oakkeel.settings.keys import read_operator_key, write_key

VERBS = ("restart", "stop", "start")  # in turn: each must be carried out for the next to mean anything
MOST_STEPS = 14  # an agent kills itself at one of its first so many steps


class Lane:
    """One host with one instance, its agent killed again and again, and one operator who sends orders."""

    def __init__(self, folder: str, seed: int, crashes: asyncio.Semaphore) -> None:
        """Write settings and keys below `folder`; no process is started yet."""
        self.folder, self.random, self.crashes = folder, Random(seed), crashes
        site = FakeSite(
            folder, {"wb1": ["n1"]}, max_unavailable=1, supervision='<supervision backoff="20ms" restarts="1000"/>'
        )
        write_key(os.path.join(folder, "asha.key"), os.urandom(32))
        site.write_settings(ravi="", lena="")
        self.fleet = read_fleet(site.settings)
        self.host, self.key = self.fleet.hosts[0], read_operator_key(self.fleet, "asha")
        self.agent: asyncio.subprocess.Process | None = None
        self.crashed = self.orders = self.resent = self.unkept = 0
        self.expected_starts = 1
        self.doomed = False  # the agent there is will kill itself

    async def run(self) -> None:
        """Send orders until the agents have crashed as often as asked for."""
        while not self.crashes.locked() or self.doomed:
            await self.one_order(VERBS[self.orders % len(VERBS)])
        await self.generation()

    async def keep_agent(self) -> None:
        """Start an agent where there is none; it kills itself as long as crashes are left to make."""
        if self.agent is None or self.agent.returncode is not None:
            if self.agent is not None:
                self.crashed += 1
            step, self.doomed = 0, False
            if not self.crashes.locked():
                await self.crashes.acquire()
                step, self.doomed = self.random.randint(1, MOST_STEPS), True
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

    async def ask(self, wish: messages.Request) -> messages.Response | None:
        """Send one request to the agent; None where it did not answer within a second."""
        await self.keep_agent()
        with contextlib.suppress(AgentError, asyncio.TimeoutError):
            return await asyncio.wait_for(request_once(self.host.agent, self.key, wish), 1.0)
        await asyncio.sleep(0.02)
        return None

    async def generation(self) -> int:
        """Once the instance is where the last order left it and no order is open."""
        while True:
            answer = await self.ask(messages.HostStatusRequest())
            if isinstance(answer, messages.HostStatus):
                each = answer.instances[0]
                if each.order is None and each.phase in ("serving", "stopped"):
                    return each.generation
            await asyncio.sleep(0.01)

    async def one_order(self, verb: str) -> None:
        """Send an order until it is told as taken, whatever dies; then wait until it has ended."""
        generation = await self.generation()
        ident = f"o{self.orders}"
        wish = messages.OrderRequest(ident, verb, [("n1", generation)], 120 * SECOND)
        while True:
            answer = await self.ask(wish)
            if isinstance(answer, messages.OrderStatus):
                break
            self.resent += answer is None
        if answer.tasks[0].state == "refused":
            raise AssertionError(f"{ident}: {answer.tasks[0].why}")
        self.orders += 1
        self.expected_starts += verb in ("restart", "start")
        while True:  # from here on it was told as taken: no crash may lose it
            answer = await self.ask(messages.ListOrdersRequest(200))
            if isinstance(answer, messages.OrderList):
                mine = [order for order in answer.orders if order.order_id == ident]
                if not mine or mine[0].tasks[0].state not in ("waiting", "acting", "done"):
                    self.unkept += 1
                    say(f"  lost: {ident} {verb} {mine}")
                    return
                if mine[0].tasks[0].state == "done":
                    return
            await asyncio.sleep(0.01)

    def starts(self) -> int:
        """Count the processes that were started for the instance."""
        with open(os.path.join(self.host.state, "n1.journal"), encoding="ascii") as file:
            return sum(line.startswith("start") for line in file)

    async def end(self) -> None:
        """Stop the agent and kill the instance's process."""
        if self.agent and self.agent.returncode is None:
            self.agent.terminate()
            await self.agent.wait()
        processes = Processes(self.host.state, lambda process, why: None)
        if process := processes.adopt("n1"):
            processes.signal(process, 9)  # type: ignore[arg-type]
        processes.close()


async def measure(crashes: int, lanes: int, seed: int) -> dict[str, int]:
    """Run all lanes until enough agents have crashed; returns the counts."""
    left = asyncio.Semaphore(crashes)
    with tempfile.TemporaryDirectory(prefix="oakkeel-") as folder:
        made = []
        for number in range(lanes):
            os.mkdir(os.path.join(folder, str(number)))
            made.append(Lane(os.path.join(folder, str(number)), seed + number, left))
        try:
            runs = asyncio.gather(*(lane.run() for lane in made))
            while not runs.done():
                await asyncio.wait((runs,), timeout=10)
                crashed, orders = sum(lane.crashed for lane in made), sum(lane.orders for lane in made)
                say(f"  {crashed} crashes, {orders} orders")
            await runs
            return {
                "crashes": sum(lane.crashed for lane in made),
                "orders": sum(lane.orders for lane in made),
                "resent": sum(lane.resent for lane in made),
                "lost": sum(lane.unkept for lane in made),
                "starts": sum(lane.starts() for lane in made),
                "expected_starts": sum(lane.expected_starts for lane in made),
            }
        finally:
            for lane in made:
                await lane.end()


def main() -> int:
    """Measure and print; returns 1 where an order was lost or carried out twice."""
    told = options(__doc__ or "", crashes=300, lanes=6, seed=16)
    began = time.monotonic()
    figures = asyncio.run(measure(told.crashes, told.lanes, told.seed))
    keep(told, figures)
    twice = max(0, figures["starts"] - figures["expected_starts"])
    missing = max(0, figures["expected_starts"] - figures["starts"])
    say(
        f"{figures['orders']} orders, sent again {figures['resent']} times; {figures['starts']} processes"
        f" made, {figures['expected_starts']} ordered; took {time.monotonic() - began:.0f} s"
    )
    say(f"orders: {figures['crashes']} crashes, {figures['lost'] + missing} lost, {twice} carried out twice")
    return 1 if figures["lost"] or twice or missing or figures["crashes"] < told.crashes else 0


if __name__ == "__main__":
    sys.exit(main())
