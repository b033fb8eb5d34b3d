"""Instances as tables: a line each, or all that is known of one."""

from __future__ import annotations

import msgspec
from rich.table import Table

from oakkeel.control.messages import ClientsStatus
from oakkeel.fleet.view import Row
from oakkeel.rendering.times import span

COLOURS = {
    "serving": "green",
    "cold": "cyan",
    "starting": "cyan",
    "draining": "yellow",
    "stopped": "dim",
    "silent": "magenta",
    "stuck": "red",
    "failing": "red",
    "unknown": "magenta",
}


def instances_table(rows: list[Row], width: int = 120) -> Table:
    """A line an instance; what a narrow terminal has no room for is left out."""
    wide = width >= 110
    table = Table(box=None, header_style="bold", pad_edge=False)
    names, numbers = ("instance", "state", "told"), ("owes", "ok", "denied")
    if wide:
        names = ("instance", "site", "host", "state", "told", "gen")  # type: ignore[assignment]
        numbers = ("stage", "hold", "runs", "calls", *numbers, "MB")  # type: ignore[assignment]
    for column in names:
        table.add_column(column, no_wrap=True)
    for column in numbers:
        table.add_column(column, justify="right", no_wrap=True)
    table.add_column("remarks")
    for row in rows:
        style = "magenta" if row.old else COLOURS.get(row.state, "")
        state = f"[{style}]{row.shown}[/]" if style else row.shown
        told = "never" if row.age < 0 else f"{span(row.age)} ago"
        generation = str(row.told.generation) if row.told else "-"
        words = (row.name, row.site, row.host, state, told, generation) if wide else (row.name, state, told)
        table.add_row(*words, *(_number(row, column) for column in numbers), remarks(row))
    return table


def _number(row: Row, column: str) -> str:
    report = row.told.report if row.told else None
    if report is None:
        return "-"
    return {
        "stage": report.stage.lower(),
        "hold": str(report.hold),
        "runs": str(report.runs),
        "calls": str(report.calls),
        "owes": str(report.owes),
        "ok": str(report.completed),
        "denied": str(report.denied),
        "MB": str(report.resident_kb // 1024),
    }[column]


def remarks(row: Row) -> str:
    told = row.told
    if told is None:
        return "its agent did not answer"
    words = []
    if told.order:
        order = told.order
        words.append(f"{order.operator}'s {order.verb} {order.state} for {span(order.age)}")
    if told.restarts_exhausted:
        words.append(f"rests after {told.recent_crashes} deaths, starts in {span(told.starts_in)}")
    elif told.starts_in:
        words.append(f"starts in {span(told.starts_in)}")
    if told.phase in ("silent", "stuck"):
        words.append(f"heard {span(row.report_age)} ago" if row.report_age >= 0 else "never heard")
    if told.why and told.phase not in ("serving", "cold", "stopped"):
        words.append(told.why)
    return "; ".join(words)


def facts_of(row: Row) -> list[tuple[str, str]]:
    facts = [
        ("instance", row.name),
        ("site, host", f"{row.site}, {row.host}"),
        ("state", row.shown),
        ("told", f"by {row.source}, {span(row.age)} ago" if row.age >= 0 else "by nobody"),
    ]
    if (told := row.told) is None:
        return facts
    facts += [
        ("for", span(told.phase_age + row.age)),
        ("wanted", told.goal),
        ("process", str(told.pid or "none")),
        ("generation", f"{told.generation}, by {told.changed_by or 'nobody'}"),
        ("deaths lately", str(told.recent_crashes)),
        ("remarks", remarks(row) or "none"),
    ]
    if told.order:
        facts.append(
            (
                "order",
                f"{told.order.order_id}: {told.order.verb} by {told.order.operator}, {told.order.state}",
            )
        )
    if report := told.report:
        facts.append(("its own report", f"{span(row.report_age)} ago"))
        for field, value in msgspec.to_builtins(report).items():
            if field in ("uptime", "gauges_age"):
                facts.append(("  " + field, span(value)))
            elif field not in ("type", "tag", "name"):
                facts.append(("  " + field, str(value)))
    return facts


def clients_table(told: ClientsStatus) -> Table:
    """The heaviest senders of a node, with shares of all that is asked."""
    table = Table(box=None, header_style="bold", pad_edge=False)
    for column in (" / ".join(told.by) or "sender", "asks for", "of it retries", "keeps"):
        table.add_column(column, justify="left" if column == " / ".join(told.by) else "right")
    for each in told.clients:
        table.add_row(
            each.name or "(none told)", f"{each.asks:.1%}", f"{each.retries:.1%}", f"{each.keeps:.0%}"
        )
    return table


def clients_line(told: ClientsStatus) -> str:
    if not told.by:
        return "no sender is told from another: the settings name none"
    return (
        f"{told.known} known, others ask for at most {told.error:.2%} each; promises: {told.open} open,"
        f" {told.kept} kept, {told.broken} broken, {told.lapsed} not come for, of {told.made}"
    )
