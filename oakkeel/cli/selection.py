"""Which instances a command means, and whether the operator is sure."""

from __future__ import annotations

import click

from oakkeel.cli.common import FleetClient, err, fail, interactive
from oakkeel.fleet.selection import Selection, sites_over_share
from oakkeel.fleet.view import Row

ASK_ABOVE = 0.34  # of a site, taken out by one order: from there on it is asked first


async def choose(asker: FleetClient, choice: Selection) -> tuple[list[Row], list[Row]]:
    """All rows, and those that are meant."""
    rows = await asker.look()
    chosen = asker.chosen(rows, choice)
    if not chosen:
        fail("no instance is meant by all of that")
    return rows, chosen


def sure(verb: str, rows: list[Row], chosen: list[Row]) -> bool:
    """Asked first where it takes out much of a site."""
    if much := sites_over_share(rows, chosen, ASK_ABOVE):
        for line in much:
            err.print(line, style="yellow", markup=False)
        if not interactive():
            fail("that is more than a third of a site: say --yes")
        return click.confirm(f"{verb} all the same?", err=True)
    return True
