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


def run_demo(duration: int, rate: float) -> int:
    """Run the demo and return the exit code: 1 if a request was lost or none was answered, otherwise 0.

    `duration` is in nanoseconds, 0 until Ctrl-C. `rate` is in requests per second.
    """
    with tempfile.TemporaryDirectory(prefix="oakkeel-") as folder:
        return asyncio.run(_run_demo(folder, duration, rate, Console()))


def serving_addresses(view: FleetView) -> dict[str, Address]:
    """Return the addresses that the serving nodes reported, by node."""
    addresses = {}
    for row in view.rows(time.monotonic_ns()):
        if row.state in ("serving", "cold") and row.status and row.status.report:
            host, _, port = row.status.report.address.rpartition(":")
            addresses[row.name] = host, int(port)
    return addresses


async def _run_demo(folder: str, duration: int, rate: float, console: Console) -> int:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stop_requested.set)
    async with _agent_with_fakes(folder) as site:
        fleet = read_fleet(site.settings)
        agents = AgentClients(fleet, read_operator_key(fleet, OPERATOR))
        view = FleetView(fleet)
        dispatcher = Dispatcher(1, lambda: serving_addresses(view), rate, seed=1)
        console.print(
            f"Three nodes at {rate:g} requests per second. Commands to try in another terminal meanwhile:\n"
            f"  export OAKKEEL_SETTINGS={site.settings} OAKKEEL_OPERATOR={OPERATOR}\n"
            "  oakkeel ls      oakkeel restart n2      oakkeel orders",
            highlight=False,
        )
        with Live(console=console, auto_refresh=False, transient=not console.is_terminal) as live:
            await _show_until_stopped(agents, view, dispatcher, duration, live, stop_requested)
        await dispatcher.stop()
        await _stop_nodes(agents, view)
    lost = dispatcher.counts["lost"] + dispatcher.counts["late"]
    console.print(f"demo: {dispatcher.answered_count} requests answered, {lost} lost", highlight=False)
    return 1 if lost or not dispatcher.answered_count else 0


@contextlib.asynccontextmanager
async def _agent_with_fakes(folder: str) -> AsyncIterator[FakeSite]:
    """Run an agent in a subprocess, with fakes of the peers of its nodes."""
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


async def _show_until_stopped(
    agents: AgentClients,
    view: FleetView,
    dispatcher: Dispatcher,
    duration: int,
    live: Live,
    stop_requested: asyncio.Event,
) -> None:
    """Update the table until `stop_requested` is set, or for `duration` nanoseconds unless that is 0."""
    started_at = time.monotonic_ns()
    while not stop_requested.is_set() and (not duration or time.monotonic_ns() - started_at < duration):
        await agents.refresh(view)
        if dispatcher.send_task is None and len(serving_addresses(view)) == len(NODES):
            dispatcher.start()
        rows = view.rows(time.monotonic_ns())
        counts = f"{dispatcher.answered_count} requests answered, {dispatcher.counts['lost']} lost"
        live.update(Group(instances_table(rows, live.console.width), Text(counts)), refresh=True)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REFRESH_INTERVAL_SECONDS):
                await stop_requested.wait()


async def _stop_nodes(agents: AgentClients, view: FleetView) -> None:
    """Stop all nodes, so that the demo leaves no process running."""
    await agents.refresh(view)
    targets = targets_by_host(view.rows(time.monotonic_ns()))
    await agents.request_each(
        {
            host: messages.OrderRequest("demo-ends", "stop", instances, STOP_TIMEOUT_NS, supersede=True)
            for host, instances in targets.items()
        }
    )
    timeout_at = time.monotonic_ns() + STOP_TIMEOUT_NS
    while time.monotonic_ns() < timeout_at:
        await agents.refresh(view)
        if all(row.state == "stopped" for row in view.rows(time.monotonic_ns())):
            return
        await asyncio.sleep(STOP_POLL_INTERVAL_SECONDS)
