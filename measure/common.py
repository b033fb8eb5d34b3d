"""Helpers of the measurements: command line, output, and a site with running agents."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import statistics
import sys
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

from oakkeel.agent import messages
from oakkeel.fakes.node_connection import Address
from oakkeel.fakes.site import FakeSite
from oakkeel.fleet.agent_clients import AgentClients
from oakkeel.fleet.selection import targets_by_host
from oakkeel.fleet.view import FleetView, Row
from oakkeel.settings.fleet import read_fleet
from oakkeel.settings.keys import read_operator_key
from oakkeel.settings.types import Fleet
from oakkeel.units import SECOND


def parse_arguments(text: str, **defaults: Any) -> argparse.Namespace:
    """Parse the command line: an option for each default, of its type, and `--json`."""
    parser = argparse.ArgumentParser(description=text)
    parser.add_argument("--json", metavar="FILE", help="write the figures to this file")
    for name, value in defaults.items():
        parser.add_argument(f"--{name}", type=type(value), default=value)
    return parser.parse_args()


def write_figures(arguments: argparse.Namespace, figures: dict[str, Any]) -> None:
    """Write the figures to the file that `--json` names, if any."""
    if arguments.json:
        with open(arguments.json, "w", encoding="utf-8") as file:
            json.dump(figures, file, indent=1)


def print_line(text: str) -> None:
    """Print a line at once."""
    print(text, flush=True)


def format_spread(values: list[float], digits: int = 2) -> str:
    """Format the median, the minimum and the maximum."""
    return (
        f"{statistics.median(values):.{digits}f} ({min(values):.{digits}f} to {max(values):.{digits}f},"
        f" {len(values)} times)"
    )


class RunningSite:
    """A site with its agents as processes, and a view of their status."""

    def __init__(self, site: FakeSite, fleet: Fleet) -> None:
        """`site` is open; no agent runs yet."""
        self.site = site
        self.fleet = fleet
        self.agents = AgentClients(fleet, read_operator_key(fleet, "asha"))
        self.view = FleetView(fleet)
        self.processes: dict[str, asyncio.subprocess.Process] = {}

    async def start_agent(self, host: str, *command: str) -> None:
        """Start the agent of a host: `command` is the module to run as the agent, with its arguments."""
        with open(os.path.join(self.site.folder, f"{host}.agent.log"), "ab") as log:
            self.processes[host] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *(command or ("oakkeel.agent",)),
                self.site.settings,
                host,
                stderr=log,
                start_new_session=True,
            )

    async def wait_until(self, done: Callable[[], bool], wait: float, pause: float = 0.05) -> float:
        """Poll all agents until `done` is true; returns the seconds that it took."""
        started = time.monotonic()
        while True:
            await self.agents.refresh(self.view)
            if done():
                return time.monotonic() - started
            if time.monotonic() - started > wait:
                raise TimeoutError(f"not within {wait:g} s: {[row.shown for row in self.rows()]}")
            await asyncio.sleep(pause)

    def rows(self) -> list[Row]:
        """Return the present rows of the view."""
        return self.view.rows(time.monotonic_ns())

    def all_in(self, *states: str) -> bool:
        """Return whether every instance is shown in one of these states."""
        return all(row.shown in states for row in self.rows())

    def addresses(self) -> dict[str, Address]:
        """Return the addresses of the nodes that the directory lists, from the nodes' reports."""
        found = {}
        listed = set(self.site.directory.open_nodes())
        for row in self.rows():
            if row.name in listed and row.status and row.status.report:
                host, _, port = row.status.report.address.rpartition(":")
                found[row.name] = host, int(port)
        return found

    async def stop_all(self) -> None:
        """Stop all instances by an order, so that no process is left when the agents end."""
        await self.agents.refresh(self.view)
        wanted = targets_by_host(self.rows())
        for attempt in range(3):
            await self.agents.request_each(
                {
                    host: messages.OrderRequest(
                        f"end-{attempt}", "stop", instances, 30 * SECOND, supersede=True
                    )
                    for host, instances in wanted.items()
                }
            )
            with contextlib.suppress(TimeoutError):
                await self.wait_until(lambda: self.all_in("stopped"), 15)
                break
            wanted = targets_by_host(self.rows())


@contextlib.asynccontextmanager
async def running_site(site: FakeSite, *command: str) -> AsyncIterator[RunningSite]:
    """Open a site with an agent for each host, and stop them all on leaving."""
    await site.open()
    fleet = RunningSite(site, read_fleet(site.settings))
    try:
        for host in site.hosts:
            await fleet.start_agent(host, *command)
        yield fleet
    finally:
        await fleet.stop_all()
        for process in fleet.processes.values():
            if process.returncode is None:
                process.terminate()
                await process.wait()
        await site.close()


def describe_machine() -> str:
    """Describe the machine."""
    return f"{os.cpu_count()} cores, Python {sys.version.split()[0]}"
