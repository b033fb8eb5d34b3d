"""The record as tables: who keeps it, what is out, what an order came to."""

from __future__ import annotations

import time
from collections import Counter

from rich.table import Table

from oakkeel.agent import messages
from oakkeel.rendering.times import span

COLOURS = {
    "done": "green",
    "waiting": "cyan",
    "granted": "cyan",
    "out": "yellow",
    "halted": "yellow",
    "cancelled": "yellow",
}


def replicas_table(told: list[messages.RaftStatus]) -> Table:
    table = Table(box=None, header_style="bold", pad_edge=False)
    for column in ("host", "role", "for", "votes", "term", "agreed", "behind", "heard", "remarks"):
        table.add_column(column)
    leader = next((each for each in told if each.is_leader), None)
    members = {each.name: each for each in leader.members} if leader else {}
    for each in sorted(told, key=lambda each: (each.role == "none", each.host)):
        if each.role == "none" and each.host not in members:
            continue
        member = members.get(each.host)
        role = f"[green]{each.role}[/]" if each.is_leader else each.role
        behind = "-" if member is None or member.lag < 0 else str(member.lag)
        heard = "-" if member is None or member.contact_age < 0 else f"{span(member.contact_age)} ago"
        table.add_row(
            each.host,
            role,
            span(each.role_age),
            "-" if member is None else "yes" if member.is_voter else "not yet",
            str(each.term),
            str(each.committed),
            behind,
            heard,
            each.why,
        )
    for name, member in members.items():
        if name not in {each.host for each in told}:
            table.add_row(
                name,
                "[magenta]unknown[/]",
                "-",
                "yes" if member.is_voter else "not yet",
                "-",
                "-",
                str(member.lag),
                f"{span(member.contact_age)} ago",
                "its agent did not answer us",
            )
    return table


def permits_table(
    groups: list[messages.BudgetUsage],
    out: list[messages.UnavailableTarget],
    orders: list[messages.FleetOrderStatus],
) -> list[Table]:
    first = Table(box=None, header_style="bold", pad_edge=False)
    for column in ("of", "out", "may be out"):
        first.add_column(column)
    for group in groups:
        full = "yellow" if group.unavailable >= group.limit else ""
        first.add_row(
            group.name,
            f"[{full}]{group.unavailable}[/]" if full else str(group.unavailable),
            str(group.limit),
        )
    second = Table(box=None, header_style="bold", pad_edge=False)
    for column in ("out", "host", "because", "place", "order"):
        second.add_column(column)
    for each in out:
        second.add_row(each.target, each.host, ", ".join(each.reasons), str(each.fence or "-"), each.order_id)
    third = Table(box=None, header_style="bold", pad_edge=False)
    for column in ("order", "operator", "verb", "made", "things", "remarks"):
        third.add_column(column)
    for order in orders[:10]:
        states = Counter(part.state for part in order.tasks)
        remark = (
            f"cancelled by {order.cancelled}"
            if order.cancelled
            else f"halted by {order.halted}"
            if order.halted
            else ""
        )
        third.add_row(
            order.order_id,
            order.operator,
            order.verb,
            f"{span(time.time_ns() - order.unix_time)} ago",
            ", ".join(f"{count} {state}" for state, count in states.items()),
            remark,
        )
    return [first, *([second] if out else []), *([third] if orders else [])]


def order_table(order: messages.FleetOrderStatus) -> Table:
    title = f"{order.verb}, order {order.order_id}" + (", all or nothing" if order.atomic else "")
    if order.cancelled or order.halted:
        title += (
            f", cancelled by {order.cancelled}"
            if order.cancelled
            else ", its time is over"
            if order.halted == "its time"
            else f", halted by {order.halted}"
        )
    table = Table(box=None, header_style="bold", pad_edge=False, title=title, title_justify="left")
    for column in ("thing", "host", "state", "place", "owes", "remarks"):
        table.add_column(column)
    for part in sorted(order.tasks, key=lambda each: each.target):
        colour = COLOURS.get(part.state, "red")
        table.add_row(
            part.target,
            part.host,
            f"[{colour}]{part.state}[/]",
            str(part.fence or "-"),
            part.in_flight,
            part.why,
        )
    return table
