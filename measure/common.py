"""Helpers for the measurement programs: command line, output, and a site with running agents."""

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
from oakkeel.fleet.view import FleetView, InstanceRow
from oakkeel.settings.fleet import read_fleet
from oakkeel.settings.keys import read_operator_key
from oakkeel.settings.types import Fleet
from oakkeel.units import SECOND


def parse_arguments(description: str, **defaults: Any) -> argparse.Namespace:
    """Parse the command line, with an option for each default (of the type of the default) and `--json`."""
    parser = argparse.ArgumentParser(description=description)
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
    """Print a line and flush the output."""
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
        """Take an open site on which no agent runs yet."""
        self.site = site
        self.fleet = fleet
        self.agents = AgentClients(fleet, read_operator_key(fleet, "asha"))
        self.view = FleetView(fleet)
        self.processes: dict[str, asyncio.subprocess.Process] = {}

    async def start_agent(self, host: str, *command: str) -> None:
        """Start the agent of a host, or another module with arguments (`command`) in its place."""
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

    async def wait_until(
        self, condition: Callable[[], bool], timeout: float, poll_interval: float = 0.05
    ) -> float:
        """Poll all agents until the condition holds; return the seconds until then."""
        started_at = time.monotonic()
        while True:
            await self.agents.refresh(self.view)
            if condition():
                return time.monotonic() - started_at
            if time.monotonic() - started_at > timeout:
                raise TimeoutError(
                    f"condition not met within {timeout:g} s; instance states:"
                    f" {[row.displayed_state for row in self.rows()]}"
                )
            await asyncio.sleep(poll_interval)

    def rows(self) -> list[InstanceRow]:
        """Return the current rows of the view."""
        return self.view.rows(time.monotonic_ns())

    def all_instances_in(self, *states: str) -> bool:
        """Return whether every instance is shown in one of these states."""
        return all(row.displayed_state in states for row in self.rows())

    def addresses(self) -> dict[str, Address]:
        """Return the reported addresses of the nodes that the directory lists as open."""
        addresses = {}
        listed = set(self.site.directory.open_nodes())
        for row in self.rows():
            if row.name in listed and row.status and row.status.report:
                host, _, port = row.status.report.address.rpartition(":")
                addresses[row.name] = host, int(port)
        return addresses

    async def stop_all(self) -> None:
        """Stop all instances with an order, so that no node process remains when the agents end."""
        await self.agents.refresh(self.view)
        targets = targets_by_host(self.rows())
        for attempt in range(3):
            await self.agents.request_each(
                {
                    host: messages.OrderRequest(
                        f"end-{attempt}", "stop", instances, 30 * SECOND, supersede=True
                    )
                    for host, instances in targets.items()
                }
            )
            with contextlib.suppress(TimeoutError):
                await self.wait_until(lambda: self.all_instances_in("stopped"), 15)
                break
            targets = targets_by_host(self.rows())


@contextlib.asynccontextmanager
async def running_site(site: FakeSite, *command: str) -> AsyncIterator[RunningSite]:
    """Open a site with an agent for each host; stop all instances and agents on exit."""
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
    """Return the number of cores and the Python version."""
    return f"{os.cpu_count()} cores, Python {sys.version.split()[0]}"
