"""Tables of instances and of a node's clients, and the details of one instance."""

from __future__ import annotations

import msgspec
from rich.table import Table

from oakkeel.control.messages import ClientsStatus
from oakkeel.fleet.view import InstanceRow
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
STALE_STYLE = "magenta"  # style of a status that is older than `MAX_STATUS_AGE_NS`
MIN_WIDE_TERMINAL = 110  # characters; a narrower terminal shows fewer columns
DEFAULT_TERMINAL_WIDTH = 120  # characters
KB_PER_MB = 1024
NARROW_TEXT_COLUMNS = ("instance", "state", "age")
WIDE_TEXT_COLUMNS = ("instance", "site", "host", "state", "age", "gen")
NARROW_NUMBER_COLUMNS = ("open", "ok", "rejected")
WIDE_NUMBER_COLUMNS = ("stage", "queued", "running", "calls", *NARROW_NUMBER_COLUMNS, "MB")
SILENT_PHASES = ("silent", "stuck")
HEALTHY_PHASES = ("serving", "cold", "stopped")  # in these phases, the last error is out of date
DURATION_FIELDS = ("uptime", "gauges_age")  # fields of a report in nanoseconds
HIDDEN_FIELDS = ("type", "tag", "name")  # fields of a report that are not displayed


def instances_table(rows: list[InstanceRow], width: int = DEFAULT_TERMINAL_WIDTH) -> Table:
    """Return a table with a row for each instance, and columns for a terminal `width` in characters."""
    is_wide = width >= MIN_WIDE_TERMINAL
    text_columns = WIDE_TEXT_COLUMNS if is_wide else NARROW_TEXT_COLUMNS
    number_columns = WIDE_NUMBER_COLUMNS if is_wide else NARROW_NUMBER_COLUMNS
    table = plain_table()
    for column in text_columns:
        table.add_column(column, no_wrap=True)
    for column in number_columns:
        table.add_column(column, justify="right", no_wrap=True)
    table.add_column("remarks")
    for row in rows:
        texts = _text_cells(row)
        numbers = _number_cells(row)
        table.add_row(
            *(texts[column] for column in text_columns),
            *(numbers.get(column, "-") for column in number_columns),
            remarks(row),
        )
    return table


def _text_cells(row: InstanceRow) -> dict[str, str]:
    style = STALE_STYLE if row.is_stale else STATE_STYLES.get(row.state, "")
    return {
        "instance": row.name,
        "site": row.site,
        "host": row.host,
        "state": f"[{style}]{row.displayed_state}[/]" if style else row.displayed_state,
        "age": format_age(row.age),
        "gen": str(row.status.generation) if row.status else "-",
    }


def _number_cells(row: InstanceRow) -> dict[str, str]:
    report = row.status.report if row.status else None
    if report is None:
        return {}
    return {
        "stage": report.stage.lower(),
        "queued": str(report.queued),
        "running": str(report.running),
        "calls": str(report.calling),
        "open": str(report.open_requests),
        "ok": str(report.completed),
        "rejected": str(report.rejected),
        "MB": str(report.resident_kb // KB_PER_MB),
    }


def remarks(row: InstanceRow) -> str:
    """Return one line with the order, pending restart, missing report and last error of an instance."""
    status = row.status
    if status is None:
        return "its agent did not answer"
    texts = []
    if status.order:
        order = status.order
        texts.append(f"{order.operator}'s {order.verb} {order.state} for {format_duration(order.age)}")
    if status.restarts_exhausted:
        starts_in = format_duration(status.starts_in)
        texts.append(f"not restarted after {status.recent_crashes} crashes, starts in {starts_in}")
    elif status.starts_in:
        texts.append(f"starts in {format_duration(status.starts_in)}")
    if status.phase in SILENT_PHASES:
        texts.append(f"last report {format_age(row.report_age)}" if row.report_age >= 0 else "no report")
    if status.why and status.phase not in HEALTHY_PHASES:
        texts.append(status.why)
    return "; ".join(texts)


def instance_details(row: InstanceRow) -> list[tuple[str, str]]:
    """Return the details of an instance as pairs of a label and a value."""
    details = [
        ("instance", row.name),
        ("site, host", f"{row.site}, {row.host}"),
        ("state", row.displayed_state),
        ("reported", f"by {row.source}, {format_age(row.age)}" if row.age >= 0 else "never"),
    ]
    status = row.status
    if status is None:
        return details
    details += [
        ("in state for", format_duration(status.phase_age + row.age)),
        ("desired state", status.goal),
        ("process", str(status.pid or "none")),
        ("generation", f"{status.generation}, by {status.changed_by or 'nobody'}"),
        ("recent crashes", str(status.recent_crashes)),
        ("remarks", remarks(row) or "none"),
    ]
    if order := status.order:
        details.append(("order", f"{order.order_id}: {order.verb} by {order.operator}, {order.state}"))
    if status.report:
        details.append(("report of the instance", format_age(row.report_age)))
        for field, value in msgspec.to_builtins(status.report).items():
            if field in DURATION_FIELDS:
                details.append(("  " + field, format_duration(value)))
            elif field not in HIDDEN_FIELDS:
                details.append(("  " + field, str(value)))
    return details


def clients_table(status: ClientsStatus) -> Table:
    """Return a table of the heaviest clients of a node, with their demand, retries and fair shares."""
    key_text = " / ".join(status.flow_key)
    table = plain_table()
    table.add_column(key_text or "client", justify="left" if key_text else "right")
    for column in ("demand", "retries", "fair share"):
        table.add_column(column, justify="right")
    for client in status.clients:
        table.add_row(
            client.name or "(unnamed)",
            f"{client.demand:.1%}",
            f"{client.retries:.1%}",
            f"{client.fair_fraction:.0%}",
        )
    return table


def clients_summary(status: ClientsStatus) -> str:
    """Return one line of text about all clients and reservations of a node."""
    if not status.flow_key:
        return "the settings have no flow key, so all requests count for one client"
    return (
        f"{status.tracked_count} known clients, any other client has at most"
        f" {status.untracked_max_share:.2%} of the demand;"
        f" reservations (promises): {status.reservations_made} made, {status.reservations_open} open,"
        f" {status.reservations_honored} honored, {status.reservations_broken} broken,"
        f" {status.reservations_expired} expired"
    )
