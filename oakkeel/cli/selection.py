"""The instances that a command selects, and the confirmation of large orders."""

from __future__ import annotations

import click

from oakkeel.cli.common import FleetClient, fail, interactive, stderr_console
from oakkeel.fleet.selection import Selection, sites_over_share
from oakkeel.fleet.view import Row

MAX_UNCONFIRMED_SITE_RATIO = 0.34  # of a site's instances, unavailable after an order


async def select_rows(client: FleetClient, selection: Selection) -> tuple[list[Row], list[Row]]:
    """Return all rows and the selected ones; an empty selection ends the command."""
    rows = await client.refresh()
    chosen = client.select(rows, selection)
    if not chosen:
        fail("no instance matches the selection")
    return rows, chosen


def require_selection(selection: Selection, everything: bool) -> None:
    """End the command unless it selects instances, or all of them with `--all`."""
    if selection.all != everything:
        fail("select instances by name, --site, --host or --state, or all of them with --all")


def selected_services(client: FleetClient, selection: Selection) -> list[str]:
    """Return the selected downstream services; a mix with instances ends the command."""
    if client.fleet.control_plane is None:
        return []
    services = {service.name for service in client.fleet.control_plane.services}
    named = [name for name in selection.names if name in services]
    if named and len(named) < len(selection.names):
        fail("select either instances or downstream services")
    return named


def confirm_order(verb: str, rows: list[Row], chosen: list[Row]) -> bool:
    """Ask for confirmation if an order takes out much of a site; return whether to continue."""
    if much := sites_over_share(rows, chosen, MAX_UNCONFIRMED_SITE_RATIO):
        for line in much:
            stderr_console.print(line, style="yellow", markup=False)
        if not interactive():
            fail("that is more than a third of a site: confirm with --yes")
        return click.confirm(f"{verb} anyway?", err=True)
    return True
