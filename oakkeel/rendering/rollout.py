"""A release as a table."""

from __future__ import annotations

import time
from collections import Counter

from rich.console import Group
from rich.markup import escape
from rich.table import Table
from rich.text import Text

from oakkeel.agent import messages
from oakkeel.rendering.times import span

COLOURS = {"old": "", "changing": "yellow", "new": "green"}
OF_STATES = {"done": "green", "undone": "cyan", "halted": "red", "left": "yellow", "paused": "yellow"}


def release_table(told: messages.ReleaseStatus) -> Group:
    states = Counter(part.state for part in told.parts)
    colour = OF_STATES.get(told.state, "cyan")
    lines = [
        f"release {told.ident} of {told.what.version[:12]} by {told.operator},"
        f" {span(time.time_ns() - told.unix)} ago: [{colour}]{told.state}[/], "
        + ", ".join(f"{count} {state}" for state, count in sorted(states.items()))
    ]
    if told.why:
        lines.append(f"because: {escape(told.why)}")
    if told.waits:
        lines.append(f"waits: {escape(told.waits)}")
    if told.said:
        lines.append(f"gates: {told.said}")
    if told.driver:
        lines.append(f"driven by {told.driver}, step {told.step}, batch {told.batch}")
    table = Table(box=None, header_style="bold", pad_edge=False)
    for column in ("thing", "host", "version", "runs", "phase", "known", "remarks"):
        table.add_column(column)
    for part in sorted(told.parts, key=lambda each: each.thing):
        colour = COLOURS.get(part.state, "")
        table.add_row(
            part.thing,
            part.host,
            f"[{colour}]{part.state}[/]" if colour else part.state,
            part.runs[:8] or "as set",
            part.phase,
            f"{span(part.age)} ago" if part.age >= 0 else "-",
            part.why,
        )
    return Group(*(Text.from_markup(line) for line in lines), table)
