"""Instances as tables: a line each, or all that is known of one."""

from __future__ import annotations

import msgspec
from rich.table import Table

from oakkeel.control.messages import ClientsStatus
from oakkeel.fleet.view import Row
from oakkeel.rendering.tables import plain_table
from oakkeel.rendering.times import format_age, format_duration

STATE_STYLES = {
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
OLD_STYLE = "magenta"
WIDE = 110  # characters of a terminal, from which on all columns are shown
NARROW_TEXT_COLUMNS = ("instance", "state", "told")
WIDE_TEXT_COLUMNS = ("instance", "site", "host", "state", "told", "gen")
NARROW_NUMBER_COLUMNS = ("owes", "ok", "denied")
WIDE_NUMBER_COLUMNS = ("stage", "hold", "runs", "calls", *NARROW_NUMBER_COLUMNS, "MB")
SILENT_PHASES = ("silent", "stuck")
HEALTHY_PHASES = ("serving", "cold", "stopped")  # an old reason is of no interest there
DURATION_FIELDS = ("uptime", "gauges_age")
HIDDEN_FIELDS = ("type", "tag", "name")


def instances_table(rows: list[Row], width: int = 120) -> Table:
    """Return a line for each instance; columns that a narrow terminal has no room for are left out."""
    wide = width >= WIDE
    text_columns = WIDE_TEXT_COLUMNS if wide else NARROW_TEXT_COLUMNS
    number_columns = WIDE_NUMBER_COLUMNS if wide else NARROW_NUMBER_COLUMNS
    table = plain_table()
    for column in text_columns:
        table.add_column(column, no_wrap=True)
    for column in number_columns:
        table.add_column(column, justify="right", no_wrap=True)
    table.add_column("remarks")
    for row in rows:
        texts = _texts(row)
        numbers = _numbers(row)
        table.add_row(
            *(texts[column] for column in text_columns),
            *(numbers.get(column, "-") for column in number_columns),
            remarks(row),
        )
    return table


def _texts(row: Row) -> dict[str, str]:
    style = OLD_STYLE if row.old else STATE_STYLES.get(row.state, "")
    return {
        "instance": row.name,
        "site": row.site,
        "host": row.host,
        "state": f"[{style}]{row.shown}[/]" if style else row.shown,
        "told": format_age(row.age),
        "gen": str(row.status.generation) if row.status else "-",
    }


def _numbers(row: Row) -> dict[str, str]:
    report = row.status.report if row.status else None
    if report is None:
        return {}
    return {
        "stage": report.stage.lower(),
        "hold": str(report.queued),
        "runs": str(report.running),
        "calls": str(report.calling),
        "owes": str(report.open_requests),
        "ok": str(report.completed),
        "denied": str(report.rejected),
        "MB": str(report.resident_kb // 1024),
    }


def remarks(row: Row) -> str:
    """Return in one line what an operator should know of an instance beside its state."""
    status = row.status
    if status is None:
        return "its agent did not answer"
    texts = []
    if status.order:
        order = status.order
        texts.append(f"{order.operator}'s {order.verb} {order.state} for {format_duration(order.age)}")
    if status.restarts_exhausted:
        texts.append(
            f"rests after {status.recent_crashes} deaths, starts in {format_duration(status.starts_in)}"
        )
    elif status.starts_in:
        texts.append(f"starts in {format_duration(status.starts_in)}")
    if status.phase in SILENT_PHASES:
        texts.append(f"heard {format_age(row.report_age)}" if row.report_age >= 0 else "never heard")
    if status.why and status.phase not in HEALTHY_PHASES:
        texts.append(status.why)
    return "; ".join(texts)


def instance_facts(row: Row) -> list[tuple[str, str]]:
    """Return all that is known of an instance, as names and values."""
    facts = [
        ("instance", row.name),
        ("site, host", f"{row.site}, {row.host}"),
        ("state", row.shown),
        ("told", f"by {row.source}, {format_age(row.age)}" if row.age >= 0 else "by nobody"),
    ]
    status = row.status
    if status is None:
        return facts
    facts += [
        ("for", format_duration(status.phase_age + row.age)),
        ("wanted", status.goal),
        ("process", str(status.pid or "none")),
        ("generation", f"{status.generation}, by {status.changed_by or 'nobody'}"),
        ("deaths lately", str(status.recent_crashes)),
        ("remarks", remarks(row) or "none"),
    ]
    if order := status.order:
        facts.append(("order", f"{order.order_id}: {order.verb} by {order.operator}, {order.state}"))
    if status.report:
        facts.append(("its own report", format_age(row.report_age)))
        for field, value in msgspec.to_builtins(status.report).items():
            if field in DURATION_FIELDS:
                facts.append(("  " + field, format_duration(value)))
            elif field not in HIDDEN_FIELDS:
                facts.append(("  " + field, str(value)))
    return facts


def clients_table(status: ClientsStatus) -> Table:
    """Return the heaviest clients of a node, with their shares of all that is asked."""
    flows = " / ".join(status.flow_key)
    table = plain_table()
    table.add_column(flows or "sender", justify="left" if flows else "right")
    for column in ("asks for", "of it retries", "keeps"):
        table.add_column(column, justify="right")
    for client in status.clients:
        table.add_row(
            client.name or "(none told)",
            f"{client.demand:.1%}",
            f"{client.retries:.1%}",
            f"{client.fair_fraction:.0%}",
        )
    return table


def clients_summary(status: ClientsStatus) -> str:
    """Return one line on what is known of all clients."""
    if not status.flow_key:
        return "no sender is told from another: the settings name none"
    return (
        f"{status.known} known, others ask for at most {status.error:.2%} each;"
        f" promises: {status.reservations_open} open, {status.reservations_honored} kept,"
        f" {status.reservations_broken} broken, {status.reservations_expired} not come for,"
        f" of {status.reservations_made}"
    )
