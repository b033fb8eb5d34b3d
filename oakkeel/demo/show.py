"""The demo: a fleet of three nodes under an agent, fed by stand-ins, with a live table of how they do."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import tempfile
import time

from rich.console import Console, Group
from rich.live import Live
from rich.text import Text

from oakkeel.agent import messages
from oakkeel.fakes.dispatcher import Address, Dispatcher
from oakkeel.fakes.site import FakeSite
from oakkeel.fleet.agent_clients import AgentClients
from oakkeel.fleet.selection import by_host
from oakkeel.fleet.view import FleetView
from oakkeel.rendering.instances import instances_table
from oakkeel.settings.fleet import read_fleet
from oakkeel.settings.keys import read_operator_key

SECOND = 1_000_000_000
NODES = ("n1", "n2", "n3")


def play(lasts: int, rate: float) -> int:
    """Until the time is over (0: until it is interrupted). The exit code is 1 where an exchange was lost."""
    with tempfile.TemporaryDirectory(prefix="oakkeel-") as folder:
        return asyncio.run(_play(folder, lasts, rate, Console()))


def addresses_of(view: FleetView) -> dict[str, Address]:
    """Where the nodes that serve listen, by their own reports."""
    found = {}
    for row in view.rows(time.monotonic_ns()):
        if row.state in ("serving", "cold") and row.told and row.told.report:
            host, _, port = row.told.report.address.rpartition(":")
            found[row.name] = host, int(port)
    return found


async def _play(folder: str, lasts: int, rate: float, console: Console) -> int:
    done = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, done.set)
    site = FakeSite(folder, {"wb1": list(NODES)}, away=len(NODES))
    await site.open()
    log = open(os.path.join(folder, "agent.log"), "wb")  # noqa: SIM115  # it ends with the demo
    agent = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "oakkeel.agent", site.settings, "wb1", stderr=log, start_new_session=True
    )
    fleet = read_fleet(site.settings)
    agents, view = AgentClients(fleet, read_operator_key(fleet, "asha")), FleetView(fleet)
    dispatcher = Dispatcher(1, lambda: addresses_of(view), rate, seed=1)
    console.print(
        f"Three nodes at {rate:g} exchanges a second. From another terminal, as long as it lasts:\n"
        f"  export OAKKEEL_SETTINGS={site.settings} OAKKEEL_OPERATOR=asha\n"
        "  oakkeel ls      oakkeel restart n2      oakkeel orders",
        highlight=False,
    )
    try:
        with Live(console=console, auto_refresh=False, transient=not console.is_terminal) as live:
            began = time.monotonic_ns()
            while not done.is_set() and (not lasts or time.monotonic_ns() - began < lasts):
                await agents.look(view)
                if dispatcher.sending is None and len(addresses_of(view)) == len(NODES):
                    dispatcher.start()
                rows = view.rows(time.monotonic_ns())
                counts = f"{dispatcher.answered} exchanges answered, {dispatcher.counts['lost']} lost"
                live.update(Group(instances_table(rows, console.width), Text(counts)), refresh=True)
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(done.wait(), 0.25)
        await dispatcher.stop()
        await _stop_all(agents, view)
    finally:
        agent.terminate()
        await agent.wait()
        await site.close()
        log.close()
    lost = dispatcher.counts["lost"] + dispatcher.counts["late"]
    console.print(f"demo: {dispatcher.answered} exchanges answered, {lost} lost", highlight=False)
    return 1 if lost or not dispatcher.answered else 0


async def _stop_all(agents: AgentClients, view: FleetView) -> None:
    """Leave no process behind."""
    await agents.look(view)
    wanted = by_host(view.rows(time.monotonic_ns()))
    await agents.ask(
        {
            host: messages.OrderRequest("demo-ends", "stop", instances, 20 * SECOND, supersede=True)
            for host, instances in wanted.items()
        }
    )
    until = time.monotonic_ns() + 20 * SECOND
    while time.monotonic_ns() < until:
        await agents.look(view)
        if all(row.state == "stopped" for row in view.rows(time.monotonic_ns())):
            return
        await asyncio.sleep(0.1)
