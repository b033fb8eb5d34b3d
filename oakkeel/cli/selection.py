"""Which instances a command means, and whether the operator is sure."""

from __future__ import annotations

import click

from oakkeel.cli.common import FleetClient, fail, interactive, stderr_console
from oakkeel.fleet.selection import Selection, sites_over_share
from oakkeel.fleet.view import Row

CONFIRM_ABOVE_SHARE = 0.34  # of a site, taken out by one order


async def select_rows(client: FleetClient, selection: Selection) -> tuple[list[Row], list[Row]]:
    """Return all rows and the selected ones; none selected ends the command."""
    rows = await client.refresh()
    chosen = client.select(rows, selection)
    if not chosen:
        fail("no instance is meant by all of that")
    return rows, chosen


def require_selection(selection: Selection, everything: bool) -> None:
    """End the command unless it names instances, or says with `--all` that it means all of them."""
    if selection.all != everything:
        fail("say which instances: names, --site, --host or --state, or else --all")


def selected_services(client: FleetClient, selection: Selection) -> list[str]:
    """Return the downstream services that are named; both services and instances end the command."""
    if client.fleet.control_plane is None:
        return []
    services = {service.name for service in client.fleet.control_plane.services}
    named = [name for name in selection.names if name in services]
    if named and len(named) < len(selection.names):
        fail("name either instances or services below")
    return named


def confirm_order(verb: str, rows: list[Row], chosen: list[Row]) -> bool:
    """Ask the operator where an order takes out much of a site."""
    if much := sites_over_share(rows, chosen, CONFIRM_ABOVE_SHARE):
        for line in much:
            stderr_console.print(line, style="yellow", markup=False)
        if not interactive():
            fail("that is more than a third of a site: say --yes")
        return click.confirm(f"{verb} all the same?", err=True)
    return True
