"""The demo: an agent with three nodes, a fake dispatcher and fake peers, and a live table of instances."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import tempfile
import time
from collections.abc import AsyncIterator

from rich.console import Console, Group
from rich.live import Live
from rich.text import Text

from oakkeel.agent import messages
from oakkeel.fakes.dispatcher import Dispatcher
from oakkeel.fakes.node_connection import Address
from oakkeel.fakes.site import FakeSite, SiteOptions
from oakkeel.fleet.agent_clients import AgentClients
from oakkeel.fleet.selection import targets_by_host
from oakkeel.fleet.view import FleetView
from oakkeel.rendering.instances import instances_table
from oakkeel.settings.fleet import read_fleet
from oakkeel.settings.keys import read_operator_key
from oakkeel.units import SECOND

HOST = "wb1"
OPERATOR = "asha"
NODES = ("n1", "n2", "n3")
STOP_TIMEOUT_NS = 20 * SECOND
REFRESH_INTERVAL_SECONDS = 0.25
STOP_POLL_INTERVAL_SECONDS = 0.1


def play(lasts: int, rate: float) -> int:
    """Run the demo for `lasts` nanoseconds, 0 until Ctrl-C; return the exit code, 1 if a request was lost.

    `rate` in requests per second.
    """
    with tempfile.TemporaryDirectory(prefix="oakkeel-") as folder:
        return asyncio.run(_play(folder, lasts, rate, Console()))


def addresses_of(view: FleetView) -> dict[str, Address]:
    """Return the addresses of the serving nodes, by their reports."""
    found = {}
    for row in view.rows(time.monotonic_ns()):
        if row.state in ("serving", "cold") and row.status and row.status.report:
            host, _, port = row.status.report.address.rpartition(":")
            found[row.name] = host, int(port)
    return found


async def _play(folder: str, lasts: int, rate: float, console: Console) -> int:
    done = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, done.set)
    async with _agent_over_fakes(folder) as site:
        fleet = read_fleet(site.settings)
        agents = AgentClients(fleet, read_operator_key(fleet, OPERATOR))
        view = FleetView(fleet)
        dispatcher = Dispatcher(1, lambda: addresses_of(view), rate, seed=1)
        console.print(
            f"Three nodes at {rate:g} requests per second. Commands to try in another terminal meanwhile:\n"
            f"  export OAKKEEL_SETTINGS={site.settings} OAKKEEL_OPERATOR={OPERATOR}\n"
            "  oakkeel ls      oakkeel restart n2      oakkeel orders",
            highlight=False,
        )
        with Live(console=console, auto_refresh=False, transient=not console.is_terminal) as live:
            await _show_until_done(agents, view, dispatcher, lasts, live, done)
        await dispatcher.stop()
        await _stop_nodes(agents, view)
    lost = dispatcher.counts["lost"] + dispatcher.counts["late"]
    console.print(f"demo: {dispatcher.answered} exchanges answered, {lost} lost", highlight=False)
    return 1 if lost or not dispatcher.answered else 0


@contextlib.asynccontextmanager
async def _agent_over_fakes(folder: str) -> AsyncIterator[FakeSite]:
    """Run an agent in a subprocess, with fakes of its nodes' peers."""
    site = FakeSite(folder, {HOST: list(NODES)}, SiteOptions(max_unavailable=len(NODES)))
    await site.open()
    with open(os.path.join(folder, "agent.log"), "wb") as log:
        agent = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "oakkeel.agent", site.settings, HOST, stderr=log, start_new_session=True
        )
        try:
            yield site
        finally:
            agent.terminate()
            await agent.wait()
            await site.close()


async def _show_until_done(
    agents: AgentClients,
    view: FleetView,
    dispatcher: Dispatcher,
    lasts: int,
    live: Live,
    done: asyncio.Event,
) -> None:
    """Update the table for `lasts` nanoseconds, or until a signal sets `done`."""
    started_at = time.monotonic_ns()
    while not done.is_set() and (not lasts or time.monotonic_ns() - started_at < lasts):
        await agents.refresh(view)
        if dispatcher.sending is None and len(addresses_of(view)) == len(NODES):
            dispatcher.start()
        rows = view.rows(time.monotonic_ns())
        counts = f"{dispatcher.answered} requests answered, {dispatcher.counts['lost']} lost"
        live.update(Group(instances_table(rows, live.console.width), Text(counts)), refresh=True)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REFRESH_INTERVAL_SECONDS):
                await done.wait()


async def _stop_nodes(agents: AgentClients, view: FleetView) -> None:
    """Stop all nodes, so that no process stays behind."""
    await agents.refresh(view)
    targets = targets_by_host(view.rows(time.monotonic_ns()))
    await agents.request_each(
        {
            host: messages.OrderRequest("demo-ends", "stop", instances, STOP_TIMEOUT_NS, supersede=True)
            for host, instances in targets.items()
        }
    )
    until = time.monotonic_ns() + STOP_TIMEOUT_NS
    while time.monotonic_ns() < until:
        await agents.refresh(view)
        if all(row.state == "stopped" for row in view.rows(time.monotonic_ns())):
            return
        await asyncio.sleep(STOP_POLL_INTERVAL_SECONDS)
