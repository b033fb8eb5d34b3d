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
    states = Counter(part.state for part in told.targets)
    colour = OF_STATES.get(told.state, "cyan")
    lines = [
        f"release {told.release_id} of {told.version.version[:12]} by {told.operator},"
        f" {span(time.time_ns() - told.unix_time)} ago: [{colour}]{told.state}[/], "
        + ", ".join(f"{count} {state}" for state, count in sorted(states.items()))
    ]
    if told.why:
        lines.append(f"because: {escape(told.why)}")
    if told.waiting_for:
        lines.append(f"waits: {escape(told.waiting_for)}")
    if told.gate_summary:
        lines.append(f"gates: {told.gate_summary}")
    if told.controller:
        lines.append(f"driven by {told.controller}, step {told.step}, batch {told.batch}")
    table = Table(box=None, header_style="bold", pad_edge=False)
    for column in ("thing", "host", "version", "runs", "phase", "known", "remarks"):
        table.add_column(column)
    for part in sorted(told.targets, key=lambda each: each.target):
        colour = COLOURS.get(part.state, "")
        table.add_row(
            part.target,
            part.host,
            f"[{colour}]{part.state}[/]" if colour else part.state,
            part.running_version[:8] or "as set",
            part.phase,
            f"{span(part.report_age)} ago" if part.report_age >= 0 else "-",
            part.why,
        )
    return Group(*(Text.from_markup(line) for line in lines), table)
