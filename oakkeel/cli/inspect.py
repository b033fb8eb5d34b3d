"""Read-only commands: ls, show, watch, orders."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

import click
import msgspec
from rich.live import Live
from rich.table import Table

from oakkeel.agent import messages
from oakkeel.agent.instances import OPEN_HOST_TASK_STATE_VALUES
from oakkeel.cli.common import (
    EXIT_CODES_HELP,
    RUN_TIME_OPTION,
    Duration,
    ExitCode,
    FleetClient,
    fail,
    fleet_options,
    print_failures,
    print_json,
    run_command,
    selection_options,
    stderr_console,
    stdout_console,
)
from oakkeel.fleet.selection import Selection
from oakkeel.fleet.view import InstanceRow
from oakkeel.rendering.instances import clients_summary, clients_table, instance_details, instances_table
from oakkeel.rendering.tables import plain_table
from oakkeel.rendering.times import NANOSECONDS_PER_SECOND, format_duration


def row_json(row: InstanceRow) -> dict[str, object]:
    """Return the JSON document of an instance's row."""
    return {
        "instance": row.name,
        "site": row.site,
        "host": row.host,
        "state": row.state,
        "old": row.is_stale,  # whether the status is out of date
        "age_s": round(row.age / NANOSECONDS_PER_SECOND, 3) if row.age >= 0 else None,
        "report_age_s": round(row.report_age / NANOSECONDS_PER_SECOND, 3) if row.report_age >= 0 else None,
        "source": row.source,
        "told": msgspec.to_builtins(row.status),  # the reported status; null: none
    }


@click.command(epilog=EXIT_CODES_HELP)
@selection_options
@fleet_options
def ls(selection: Selection, client: FleetClient) -> None:
    """List instances with their state and load.

    \b
    Example: oakkeel ls --site woodbrook --state serving
             oakkeel ls 'n*' --output json
    """
    run_command(_list_instances(client, selection))


async def _list_instances(client: FleetClient, selection: Selection) -> ExitCode:
    rows = client.select(await client.refresh(), selection)
    if client.as_json:
        _print_rows_as_json(client, rows)
        return client.exit_code
    stdout_console.print(instances_table(rows, stdout_console.width))
    counts = Counter(row.displayed_state for row in rows)
    summary = ", ".join(f"{count} {state}" for state, count in counts.most_common())
    stderr_console.print(summary or "none", style="dim")
    client.print_notes()
    return client.exit_code


def _print_rows_as_json(client: FleetClient, rows: Sequence[InstanceRow]) -> None:
    print_json({"instances": [row_json(row) for row in rows], "notes": client.view.notes()})


@click.command(epilog=EXIT_CODES_HELP)
@click.argument("name")
@click.option(
    "--clients",
    is_flag=True,
    help="Show the heaviest clients of the instance, their fair shares, and all reservations.",
)
@fleet_options
def show(name: str, clients: bool, client: FleetClient) -> None:
    """Show the details of one instance, with the age of each status.

    \b
    Example: oakkeel show n3
             oakkeel show n3 --clients
    """
    run_command(_show_clients(client, name) if clients else _show_instance(client, name))


async def _show_instance(client: FleetClient, name: str) -> ExitCode:
    rows = client.select(await client.refresh(_hosts_of_instance(client, name)), Selection((name,)))
    if client.as_json:
        _print_rows_as_json(client, rows)
        return client.exit_code
    for row in rows:
        table = Table(box=None, show_header=False, pad_edge=False)
        for key, value in instance_details(row):
            table.add_row(f"[dim]{key}[/]", value)
        stdout_console.print(table)
    client.print_notes()
    return client.exit_code


def _hosts_of_instance(client: FleetClient, name: str) -> list[str]:
    return [
        host.name for host in client.fleet.hosts if any(instance.name == name for instance in host.instances)
    ]


async def _show_clients(client: FleetClient, name: str) -> ExitCode:
    hosts = _hosts_of_instance(client, name)
    if not hosts:
        fail(f"no instance has the name {name!r}")
    responses, failures = await client.request_hosts(messages.InstanceClientsRequest(name), hosts[:1])
    response = responses.get(hosts[0])
    if not isinstance(response, messages.InstanceClients):
        reason = failures.get(hosts[0], "no response")
        if isinstance(response, messages.ErrorResponse):
            reason = response.why
        fail(f"{name}: {reason}", ExitCode.SOME_SILENT if failures else ExitCode.SOME_FAILED)
    if client.as_json:
        print_json(msgspec.to_builtins(response.status))
    else:
        stdout_console.print(clients_table(response.status))
        stderr_console.print(clients_summary(response.status), style="dim")
    return ExitCode.DONE


@click.command(epilog=EXIT_CODES_HELP)
@selection_options
@click.option(
    "--every",
    "interval",
    type=Duration(),
    default="1s",
    show_default=True,
    metavar="TIME",
    help="Refresh interval.",
)
@RUN_TIME_OPTION
@fleet_options
def watch(selection: Selection, interval: int, duration: int | None, client: FleetClient) -> None:
    """Show a live table of instances; with --output json, one line per refresh.

    \b
    Example: oakkeel watch --site woodbrook --every 2s
    """
    run_command(_watch_instances(client, selection, interval, duration))


async def _watch_instances(
    client: FleetClient, selection: Selection, interval: int, duration: int | None
) -> ExitCode:
    end_at = time.monotonic_ns() + duration if duration else 0
    with Live(console=stdout_console, auto_refresh=False, screen=False) as live:
        while True:
            started_at = time.monotonic_ns()
            rows = client.select(await client.refresh(), selection)
            if client.as_json:
                click.echo(msgspec.json.encode([row_json(row) for row in rows]).decode())
            else:
                table = instances_table(rows, stdout_console.width)
                table.caption = "\n".join(client.view.notes()) or None
                live.update(table, refresh=True)
            if end_at and time.monotonic_ns() >= end_at:
                return client.exit_code
            await asyncio.sleep(max(0, started_at + interval - time.monotonic_ns()) / NANOSECONDS_PER_SECOND)


@dataclass(slots=True, frozen=True)
class HostOrder:
    """The status of an order, as the agent of one host reported it."""

    host: str
    status: messages.OrderStatus


@click.command(epilog=EXIT_CODES_HELP)
@click.option("--host", "hosts", multiple=True, metavar="NAME", help="Only orders on these hosts.")
@click.option("--open", "only_open", is_flag=True, help="Only orders that have not ended.")
@fleet_options
def orders(hosts: tuple[str, ...], only_open: bool, client: FleetClient) -> None:
    """List the last orders with the states of their tasks, the latest first.

    \b
    Example: oakkeel orders --open
    """
    run_command(_list_orders(client, hosts, only_open))


async def _list_orders(client: FleetClient, hosts: tuple[str, ...], only_open: bool) -> ExitCode:
    host_names = [host.name for host in client.fleet.hosts if not hosts or host.name in hosts]
    responses, failures = await client.request_hosts(messages.ListOrdersRequest(), host_names)
    listed_orders = _group_by_order(responses)
    if only_open:
        listed_orders = [host_orders for host_orders in listed_orders if _is_open(host_orders)]
    if client.as_json:
        print_json([_order_json(host_orders) for host_orders in listed_orders])
    else:
        stdout_console.print(_orders_table(listed_orders))
    print_failures(failures)
    return ExitCode.SOME_SILENT if failures else ExitCode.DONE


def _group_by_order(responses: dict[str, messages.Response]) -> list[list[HostOrder]]:
    """Return a list for each order, with the status from each host; the latest order is first."""
    by_order_id: dict[str, list[HostOrder]] = {}
    for host, response in responses.items():
        if isinstance(response, messages.OrderList):
            for status in response.orders:
                by_order_id.setdefault(status.order_id, []).append(HostOrder(host, status))
    return sorted(by_order_id.values(), key=lambda host_orders: -host_orders[0].status.accepted_at)


def _is_open(host_orders: list[HostOrder]) -> bool:
    return any(
        task.state in OPEN_HOST_TASK_STATE_VALUES
        for host_order in host_orders
        for task in host_order.status.tasks
    )


def _order_json(host_orders: list[HostOrder]) -> dict[str, object]:
    first_status = host_orders[0].status
    return {
        "order": first_status.order_id,
        "operator": first_status.operator,
        "verb": first_status.verb,
        "taken": first_status.accepted_at,  # Unix time in nanoseconds
        "parts": [  # the tasks
            {"host": host_order.host, **msgspec.to_builtins(task)}
            for host_order in host_orders
            for task in host_order.status.tasks
        ],
    }


def _orders_table(listed_orders: list[list[HostOrder]]) -> Table:
    table = plain_table("order", "operator", "verb", "accepted", "instances")
    for host_orders in listed_orders:
        first_status = host_orders[0].status
        states = Counter(task.state for host_order in host_orders for task in host_order.status.tasks)
        table.add_row(
            first_status.order_id,
            first_status.operator,
            first_status.verb,
            f"{format_duration(time.time_ns() - first_status.accepted_at)} ago",
            ", ".join(f"{count} {state}" for state, count in states.items()),
        )
    return table
