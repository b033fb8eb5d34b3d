"""The heading and the table of a release."""

from __future__ import annotations

import time
from collections import Counter

from rich.console import Group
from rich.markup import escape
from rich.table import Table
from rich.text import Text

from oakkeel.agent import messages
from oakkeel.rendering.tables import plain_table
from oakkeel.rendering.times import format_age

TARGET_STYLES = {"old": "", "changing": "yellow", "new": "green"}
RELEASE_STYLES = {"done": "green", "undone": "cyan", "halted": "red", "left": "yellow", "paused": "yellow"}
OTHER_RELEASE_STYLE = "cyan"
HEADING_VERSION_LENGTH = 12  # characters of the version's hash
TABLE_VERSION_LENGTH = 8


def release_table(release: messages.ReleaseStatus) -> Group:
    """Return a heading of a few lines, and a table with a row for each target of a release."""
    lines = (Text.from_markup(line) for line in _heading_lines(release))
    return Group(*lines, _targets_table(release))


def _heading_lines(release: messages.ReleaseStatus) -> list[str]:
    states = Counter(target.state for target in release.targets)
    style = RELEASE_STYLES.get(release.state, OTHER_RELEASE_STYLE)
    counts = ", ".join(f"{count} {state}" for state, count in sorted(states.items()))
    version = release.version.version[:HEADING_VERSION_LENGTH]
    lines = [
        f"release {release.release_id} of {version} by {release.operator},"
        f" {format_age(time.time_ns() - release.unix_time)}: [{style}]{release.state}[/], {counts}"
    ]
    if release.why:
        lines.append(f"reason: {escape(release.why)}")
    if release.waiting_for:
        lines.append(f"reason for waiting: {escape(release.waiting_for)}")
    if release.gate_summary:
        lines.append(f"gates: {release.gate_summary}")
    if release.controller:
        lines.append(f"controller: {release.controller}, step {release.step}, batch {release.batch}")
    return lines


def _targets_table(release: messages.ReleaseStatus) -> Table:
    table = plain_table("target", "host", "state", "running version", "phase", "report", "remarks")
    for target in sorted(release.targets, key=lambda target: target.target):
        style = TARGET_STYLES.get(target.state, "")
        table.add_row(
            target.target,
            target.host,
            f"[{style}]{target.state}[/]" if style else target.state,
            target.running_version[:TABLE_VERSION_LENGTH] or "settings",
            target.phase,
            format_age(target.report_age) if target.report_age >= 0 else "-",
            target.why,
        )
    return table
