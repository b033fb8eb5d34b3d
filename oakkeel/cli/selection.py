"""The instances that a command selects, and the confirmation of large orders."""

from __future__ import annotations

import click

from oakkeel.cli.common import FleetClient, fail, is_interactive, stderr_console
from oakkeel.fleet.selection import Selection, describe_large_shares
from oakkeel.fleet.view import InstanceRow

MAX_UNCONFIRMED_SITE_RATIO = 0.34  # ratio of a site's instances that are unavailable after an order


async def select_rows(
    client: FleetClient, selection: Selection
) -> tuple[list[InstanceRow], list[InstanceRow]]:
    """Return all rows and the selected ones; an empty selection ends the command."""
    rows = await client.refresh()
    selected_rows = client.select(rows, selection)
    if not selected_rows:
        fail("no instance matches the selection")
    return rows, selected_rows


def require_selection(selection: Selection, select_all: bool) -> None:
    """End the command unless either `--all` or other options select its instances."""
    if selection.selects_all != select_all:
        fail("select instances by name, --site, --host or --state, or all of them with --all")


def selected_services(client: FleetClient, selection: Selection) -> list[str]:
    """Return the selected downstream services; a mix with instances ends the command."""
    if client.fleet.control_plane is None:
        return []
    services = {service.name for service in client.fleet.control_plane.services}
    selected = [name for name in selection.names if name in services]
    if selected and len(selected) < len(selection.names):
        fail("select either instances or downstream services")
    return selected


def confirm_order(verb: str, rows: list[InstanceRow], selected_rows: list[InstanceRow]) -> bool:
    """Ask for confirmation of an order that takes out a large part of a site; return whether to continue."""
    if warnings := describe_large_shares(rows, selected_rows, MAX_UNCONFIRMED_SITE_RATIO):
        for line in warnings:
            stderr_console.print(line, style="yellow", markup=False)
        if not is_interactive():
            fail("the order takes out more than a third of a site: confirm with --yes")
        return click.confirm(f"{verb} anyway?", err=True)
    return True
