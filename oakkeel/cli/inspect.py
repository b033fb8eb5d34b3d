"""Commands that look: ls, show, watch, orders."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import Any

import click
import msgspec
from rich.live import Live
from rich.table import Table

from oakkeel.agent import messages
from oakkeel.cli.common import (
    CODES,
    DONE,
    SOME_FAILED,
    SOME_SILENT,
    Duration,
    FleetClient,
    choice_options,
    err,
    fail,
    fleet_options,
    out,
    print_json,
    run,
)
from oakkeel.fleet.selection import Selection
from oakkeel.fleet.view import Row
from oakkeel.rendering.instances import clients_line, clients_table, facts_of, instances_table
from oakkeel.rendering.times import span


def row_json(row: Row) -> dict[str, Any]:
    return {
        "instance": row.name,
        "site": row.site,
        "host": row.host,
        "state": row.state,
        "old": row.old,
        "age_s": round(row.age / 1e9, 3) if row.age >= 0 else None,
        "report_age_s": round(row.report_age / 1e9, 3) if row.report_age >= 0 else None,
        "source": row.source,
        "told": msgspec.to_builtins(row.told),
    }


@click.command(epilog=CODES)
@choice_options
@fleet_options
def ls(
    names: tuple[str, ...],
    sites: tuple[str, ...],
    hosts: tuple[str, ...],
    states: tuple[str, ...],
    settings: str,
    operator: str | None,
    deadline: int | None,
    output: str,
) -> None:
    """List instances with their state and load.

    \b
    Example: oakkeel ls --site woodbrook --state serving
             oakkeel ls 'n*' --output json
    """
    asker = FleetClient(settings, operator, deadline)

    async def work() -> int:
        rows = asker.chosen(await asker.look(), Selection(names, sites, hosts, states))
        if output == "json":
            print_json({"instances": [row_json(row) for row in rows], "notes": asker.view.notes()})
        else:
            out.print(instances_table(rows, out.width))
            counts = Counter(row.shown for row in rows)
            err.print(
                ", ".join(f"{count} {state}" for state, count in counts.most_common()) or "none", style="dim"
            )
            asker.print_notes()
        return asker.code

    run(work())


@click.command(epilog=CODES)
@click.argument("name")
@click.option("--clients", is_flag=True, help="Who sends it the most, and what of that is kept and promised.")
@fleet_options
def show(
    name: str, clients: bool, settings: str, operator: str | None, deadline: int | None, output: str
) -> None:
    """Tell all that is known of one instance, each fact with its age.

    \b
    Example: oakkeel show n3
             oakkeel show n3 --clients
    """
    asker = FleetClient(settings, operator, deadline)
    if clients:
        run(show_clients(asker, name, output == "json"))

    async def work() -> int:
        hosts = [
            host.name
            for host in asker.fleet.hosts
            if any(instance.name == name for instance in host.instances)
        ]
        rows = asker.chosen(await asker.look(hosts), Selection((name,)))
        if output == "json":
            print_json({"instances": [row_json(row) for row in rows], "notes": asker.view.notes()})
            return asker.code
        for row in rows:
            table = Table(box=None, show_header=False, pad_edge=False)
            for key, value in facts_of(row):
                table.add_row(f"[dim]{key}[/]", value)
            out.print(table)
        asker.print_notes()
        return asker.code

    run(work())


async def show_clients(asker: FleetClient, name: str, as_json: bool) -> int:
    hosts = [host.name for host in asker.fleet.hosts if any(each.name == name for each in host.instances)]
    if not hosts:
        fail(f"no instance has the name {name!r}")
    answers, silent = await asker.agents.ask(
        {hosts[0]: messages.InstanceClientsRequest(name)}, asker.deadline
    )
    answer = answers.get(hosts[0])
    if not isinstance(answer, messages.InstanceClients):
        why = answer.why if isinstance(answer, messages.ErrorResponse) else silent.get(hosts[0], "no answer")
        fail(f"{name}: {why}", SOME_SILENT if silent else SOME_FAILED)
    if as_json:
        print_json(msgspec.to_builtins(answer.status))
    else:
        out.print(clients_table(answer.status))
        err.print(clients_line(answer.status), style="dim")
    return DONE


@click.command(epilog=CODES)
@choice_options
@click.option("--every", type=Duration(), default="1s", show_default=True, metavar="TIME")
@click.option("--for", "lasts", type=Duration(), metavar="TIME", help="End by itself after this time.")
@fleet_options
def watch(
    names: tuple[str, ...],
    sites: tuple[str, ...],
    hosts: tuple[str, ...],
    states: tuple[str, ...],
    every: int,
    lasts: int | None,
    settings: str,
    operator: str | None,
    deadline: int | None,
    output: str,
) -> None:
    """Keep a live table of instances; with json, a line each time.

    \b
    Example: oakkeel watch --site woodbrook --every 2s
    """
    asker = FleetClient(settings, operator, deadline)
    choice = Selection(names, sites, hosts, states)

    async def work() -> int:
        until = time.monotonic_ns() + lasts if lasts else 0
        with Live(console=out, auto_refresh=False, screen=False) as live:
            while True:
                began = time.monotonic_ns()
                rows = asker.chosen(await asker.look(), choice)
                if output == "json":
                    click.echo(msgspec.json.encode([row_json(row) for row in rows]).decode())
                else:
                    table = instances_table(rows, out.width)
                    table.caption = "\n".join(asker.view.notes()) or None
                    live.update(table, refresh=True)
                if until and time.monotonic_ns() >= until:
                    return asker.code
                await asyncio.sleep(max(0, began + every - time.monotonic_ns()) / 1e9)

    run(work())


@click.command(epilog=CODES)
@click.option("--host", "hosts", multiple=True, metavar="NAME", help="Orders of this host only.")
@click.option("--open", "only_open", is_flag=True, help="Only those that have not ended.")
@fleet_options
def orders(
    hosts: tuple[str, ...],
    only_open: bool,
    settings: str,
    operator: str | None,
    deadline: int | None,
    output: str,
) -> None:
    """List the last orders and what became of each, the latest first.

    \b
    Example: oakkeel orders --open
    """
    asker = FleetClient(settings, operator, deadline)

    async def work() -> int:
        names = [host.name for host in asker.fleet.hosts if not hosts or host.name in hosts]
        answers, silent = await asker.agents.ask(
            {name: messages.ListOrdersRequest() for name in names}, asker.deadline
        )
        told: dict[str, list[tuple[str, messages.OrderStatus]]] = {}
        for host, answer in answers.items():
            if isinstance(answer, messages.OrderList):
                for order in answer.orders:
                    told.setdefault(order.order_id, []).append((host, order))
        found = sorted(told.values(), key=lambda each: -each[0][1].accepted_at)
        if only_open:
            found = [
                each
                for each in found
                if any(part.state in ("waiting", "acting") for _, order in each for part in order.tasks)
            ]
        if output == "json":
            print_json(
                [
                    {
                        "order": each[0][1].order_id,
                        "operator": each[0][1].operator,
                        "verb": each[0][1].verb,
                        "taken": each[0][1].accepted_at,
                        "parts": [
                            {"host": host, **msgspec.to_builtins(part)}
                            for host, order in each
                            for part in order.tasks
                        ],
                    }
                    for each in found
                ]
            )
        else:
            table = Table(box=None, header_style="bold", pad_edge=False)
            for column in ("order", "operator", "verb", "taken", "instances"):
                table.add_column(column)
            for each in found:
                first = each[0][1]
                states = Counter(part.state for _, order in each for part in order.tasks)
                table.add_row(
                    first.order_id,
                    first.operator,
                    first.verb,
                    f"{span(time.time_ns() - first.accepted_at)} ago",
                    ", ".join(f"{count} {state}" for state, count in states.items()),
                )
            out.print(table)
        for host, why in silent.items():
            err.print(f"agent of {host}: {why}", style="yellow", markup=False, highlight=False)
        return SOME_SILENT if silent else DONE

    run(work())
