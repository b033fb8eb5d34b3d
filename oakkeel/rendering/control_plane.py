"""Tables of the control plane: its replicas, the disruption permits, and the orders."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Sequence

from rich.table import Table

from oakkeel.agent import messages
from oakkeel.disruption.state import TIMEOUT_OPERATOR
from oakkeel.rendering.tables import plain_table
from oakkeel.rendering.times import format_age, format_duration

TASK_STYLES = {
    "done": "green",
    "waiting": "cyan",
    "granted": "cyan",
    "out": "yellow",
    "halted": "yellow",
    "cancelled": "yellow",
}
OTHER_TASK_STYLE = "red"
NO_REPLICA_ROLE = "none"  # role that an agent reports if its host has no replica
MAX_DISPLAYED_ORDERS = 10


def replicas_table(statuses: Sequence[messages.RaftStatus]) -> Table:
    """Return a table with a row for each replica, from the reports of its agent and of the leader."""
    table = plain_table("host", "role", "for", "votes", "term", "committed", "lag", "contact", "remarks")
    leader = next((status for status in statuses if status.is_leader), None)
    members = {member.name: member for member in leader.members} if leader else {}
    for status in sorted(statuses, key=lambda status: (status.role == NO_REPLICA_ROLE, status.host)):
        if status.role != NO_REPLICA_ROLE or status.host in members:
            table.add_row(*_replica_cells(status, members.get(status.host)))
    reporting_hosts = {status.host for status in statuses}
    for name, member in members.items():
        if name not in reporting_hosts:
            table.add_row(*_silent_replica_cells(member))
    return table


def _replica_cells(status: messages.RaftStatus, member: messages.MemberStatus | None) -> tuple[str, ...]:
    return (
        status.host,
        f"[green]{status.role}[/]" if status.is_leader else status.role,
        format_duration(status.role_age),
        "-" if member is None else _voting_text(member),
        str(status.term),
        str(status.committed),
        "-" if member is None or member.lag < 0 else str(member.lag),
        "-" if member is None or member.contact_age < 0 else format_age(member.contact_age),
        status.why,
    )


def _silent_replica_cells(member: messages.MemberStatus) -> tuple[str, ...]:
    return (
        member.name,
        "[magenta]unknown[/]",
        "-",
        _voting_text(member),
        "-",
        "-",
        str(member.lag),
        format_age(member.contact_age),
        "its agent did not answer",
    )


def _voting_text(member: messages.MemberStatus) -> str:
    return "yes" if member.is_voter else "not yet"


def permit_tables(
    groups: Sequence[messages.BudgetUsage],
    unavailable: Sequence[messages.UnavailableTarget],
    orders: Sequence[messages.FleetOrderStatus],
) -> list[Table]:
    """Return tables of the disruption budgets and, if there are any, of unavailable targets and of orders."""
    tables = [_budgets_table(groups)]
    if unavailable:
        tables.append(_unavailable_table(unavailable))
    if orders:
        tables.append(_orders_table(orders[:MAX_DISPLAYED_ORDERS]))
    return tables


def _budgets_table(groups: Sequence[messages.BudgetUsage]) -> Table:
    table = plain_table("budget group", "unavailable", "budget")
    for group in groups:
        usage = (
            f"[yellow]{group.unavailable}[/]" if group.unavailable >= group.limit else str(group.unavailable)
        )
        table.add_row(group.name, usage, str(group.limit))
    return table


def _unavailable_table(unavailable: Sequence[messages.UnavailableTarget]) -> Table:
    table = plain_table("target", "host", "reasons", "permit", "order")
    for target in unavailable:
        reasons = ", ".join(target.reasons)
        table.add_row(target.target, target.host, reasons, str(target.fencing_token or "-"), target.order_id)
    return table


def _orders_table(orders: Sequence[messages.FleetOrderStatus]) -> Table:
    table = plain_table("order", "operator", "verb", "submitted", "targets", "remarks")
    for order in orders:
        states = Counter(task.state for task in order.tasks)
        table.add_row(
            order.order_id,
            order.operator,
            order.verb,
            format_age(time.time_ns() - order.unix_time),
            ", ".join(f"{count} {state}" for state, count in states.items()),
            _order_remark(order),
        )
    return table


def _order_remark(order: messages.FleetOrderStatus) -> str:
    if order.cancelled:
        return f"cancelled by {order.cancelled}"
    if order.halted == TIMEOUT_OPERATOR:
        return "timed out"
    return f"halted by {order.halted}" if order.halted else ""


def order_table(order: messages.FleetOrderStatus) -> Table:
    """Return a table with a row for each target of an order; the title says who ended it early, if anyone."""
    table = plain_table(
        "target", "host", "state", "permit", "in flight", "remarks", title=_order_title(order)
    )
    for task in sorted(order.tasks, key=lambda task: task.target):
        style = TASK_STYLES.get(task.state, OTHER_TASK_STYLE)
        state = f"[{style}]{task.state}[/]"
        table.add_row(task.target, task.host, state, str(task.fencing_token or "-"), task.in_flight, task.why)
    return table


def _order_title(order: messages.FleetOrderStatus) -> str:
    title = f"{order.verb}, order {order.order_id}"
    if order.atomic:
        title += ", all or nothing"
    if order.cancelled:
        return f"{title}, cancelled by {order.cancelled}"
    if order.halted == TIMEOUT_OPERATOR:
        return f"{title}, timed out"
    return f"{title}, halted by {order.halted}" if order.halted else title
