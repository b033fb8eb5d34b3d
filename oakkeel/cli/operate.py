"""Commands that order: drain, stop, start, restart, cancel, halt."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, NoReturn

import click
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn

from oakkeel.agent import messages
from oakkeel.cli.common import (
    DONE,
    EXIT_CODES_HELP,
    POLL_SECONDS,
    SOME_FAILED,
    SOME_SILENT,
    USAGE,
    Duration,
    FleetClient,
    fail,
    fleet_options,
    print_json,
    print_silent,
    run_command,
    selection_options,
    stderr_console,
    stdout_console,
)
from oakkeel.cli.control_plane import FleetOrder, end_order, submit_order
from oakkeel.cli.selection import confirm_order, require_selection, select_rows
from oakkeel.fleet.order_tracking import OrderSpec, OrderTracker, Result, TrackedTask
from oakkeel.fleet.selection import Selection
from oakkeel.rendering.tables import plain_table
from oakkeel.rendering.times import format_duration

OPEN_STATES, GOOD_STATES = ("waiting", "acting"), ("done",)
EXIT_CODE_BY_RESULT = {
    Result.DONE: DONE,
    Result.SOME_FAILED: SOME_FAILED,
    Result.SOME_SILENT: SOME_SILENT,
}


@dataclass(slots=True, frozen=True)
class OrderOptions:
    """What the options of an ordering command ask for."""

    everything: bool
    yes: bool
    no_wait: bool
    lasts: int  # nanoseconds
    supersede: bool
    atomic: bool
    halted: str | None
    ident: str | None


def order_command(verb: str, takes_out: bool, text: str, example: str) -> click.Command:
    """Return the command for one kind of order."""

    @click.command(verb, epilog=EXIT_CODES_HELP, help=f"{text}\n\n\b\nExample: {example}")
    @selection_options
    @click.option("--all", "everything", is_flag=True, help="All instances.")
    @click.option("--yes", is_flag=True, help="Do not ask, however much of a site it takes out.")
    @click.option("--no-wait", is_flag=True, help="Return once the order is taken.")
    @click.option(
        "--lasts",
        type=Duration(),
        default="2m",
        show_default=True,
        metavar="TIME",
        help="What has not ended by then counts as failed.",
    )
    @click.option(
        "--supersede", is_flag=True, help="End another operator's open order on the same instances."
    )
    @click.option("--whole", "atomic", is_flag=True, help="All or nothing, in a fleet with keepers.")
    @click.option("--halt", "halted", metavar="ORDER", help="Halt that order in place of a new one.")
    @click.option("--id", "ident", metavar="ID", help="Of the order: the same once more is carried out once.")
    @fleet_options
    def command(selection: Selection, client: FleetClient, **options: Any) -> None:
        _run_order(verb, takes_out, selection, client, OrderOptions(**options))

    return command


def _run_order(
    verb: str, takes_out: bool, selection: Selection, client: FleetClient, options: OrderOptions
) -> NoReturn:
    if options.halted:
        run_halt(client, options.halted)
    require_selection(selection, options.everything)
    ident = options.ident or secrets.token_hex(6)
    if client.fleet.control_plane and takes_out:
        if options.supersede:
            fail("a record knows no --supersede: halt or cancel the order that stands")
        order = FleetOrder(ident, verb, options.lasts, options.atomic)
        run_command(submit_order(client, selection, order, wait=not options.no_wait))
    if options.atomic:
        fail("--whole needs keepers in the settings: each agent of this fleet is on its own")
    spec = OrderSpec(ident, verb, options.lasts, options.supersede)
    confirm = takes_out and not options.yes
    run_command(submit_to_hosts(client, selection, spec, confirm=confirm, wait=not options.no_wait))


async def submit_to_hosts(
    client: FleetClient, selection: Selection, order: OrderSpec, confirm: bool, wait: bool
) -> int:
    """Order each agent its tasks, follow them to their end, and print what became of every instance."""
    rows, chosen = await select_rows(client, selection)
    if confirm and not confirm_order(order.verb, rows, chosen):
        return USAGE
    tracker = OrderTracker(order, chosen)
    responses, silent = await client.agents.request_each(tracker.requests(), client.deadline)
    for host, response in responses.items():
        tracker.answered(host, response)
    for host, reason in silent.items():
        tracker.no_response(host, reason)
    if wait:
        await follow_order(client, tracker)
    print_tasks(client, order.order_id, order.verb, list(tracker.tasks.values()))
    return EXIT_CODE_BY_RESULT[tracker.result(wait)]


async def follow_order(client: FleetClient, tracker: OrderTracker) -> None:
    """Poll the agents until nothing is open any more, or the time of the order is over."""
    order = tracker.order
    until = time.monotonic_ns() + order.lifetime + 2 * client.deadline
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeElapsedColumn())
    hidden = not stderr_console.is_terminal
    with Progress(*columns, console=stderr_console, transient=True, disable=hidden) as progress:
        bar = progress.add_task(f"{order.verb} {order.order_id}", total=len(tracker.tasks))
        while not tracker.finished and time.monotonic_ns() < until:
            await asyncio.sleep(POLL_SECONDS)
            responses, _ = await client.request_hosts(messages.ListOrdersRequest(), tracker.hosts_to_poll())
            for host, response in responses.items():
                tracker.answered(host, response)
            progress.update(bar, completed=tracker.ended_count)


def print_tasks(
    client: FleetClient, ident: str, verb: str, tasks: Sequence[TrackedTask | messages.TaskStatus]
) -> None:
    """Print the tasks of an order."""
    if client.as_json:
        instances = [{"instance": task.instance, "state": task.state, "why": task.why} for task in tasks]
        print_json({"order": ident, "verb": verb, "instances": instances})
        return
    table = plain_table("instance", "state", "for", "remarks", title=f"{verb}, order {ident}")
    for task in sorted(tasks, key=lambda task: task.instance):
        style = "green" if task.state in GOOD_STATES else "cyan" if task.state in OPEN_STATES else "red"
        table.add_row(task.instance, f"[{style}]{task.state}[/]", format_duration(task.age), task.why)
    stdout_console.print(table)


@click.command(epilog=EXIT_CODES_HELP)
@click.argument("ident", metavar="ORDER")
@fleet_options
def cancel(ident: str, client: FleetClient) -> None:
    """End what an order has not begun. What has begun goes on, and the answer says so.

    In a fleet with keepers what it took out comes back: an instance that drains takes work again, one that
    has ended is started.

    \b
    Example: oakkeel cancel 3f9a01c2d4e5
    """
    if client.fleet.control_plane:
        run_command(end_order(client, ident, cancel=True))
    run_command(_cancel_on_hosts(client, ident))


async def _cancel_on_hosts(client: FleetClient, ident: str) -> int:
    responses, silent = await client.request_hosts(messages.CancelOrderRequest(ident))
    tasks = {
        task.instance: task
        for response in responses.values()
        if isinstance(response, messages.OrderStatus)
        for task in response.tasks
    }
    if not tasks:
        fail(f"no agent knows an order {ident}", SOME_SILENT if silent else SOME_FAILED)
    print_tasks(client, ident, "cancel", list(tasks.values()))
    print_silent(silent)
    if silent:
        return SOME_SILENT
    return SOME_FAILED if any(task.state in OPEN_STATES for task in tasks.values()) else DONE


@click.command(epilog=EXIT_CODES_HELP)
@click.argument("ident", metavar="ORDER")
@fleet_options
def halt(ident: str, client: FleetClient) -> None:
    """Let nothing further leave by an order of the fleet. What has left stays out; `cancel` brings it back.

    \b
    Example: oakkeel halt 3f9a01c2d4e5
    """
    run_halt(client, ident)


def run_halt(client: FleetClient, ident: str) -> NoReturn:
    """Halt an order of the fleet and exit."""
    if not client.fleet.control_plane:
        fail("halt needs keepers in the settings; cancel ends what an order has not begun")
    run_command(end_order(client, ident, cancel=False))


COMMANDS: list[click.Command] = [
    order_command(
        "drain",
        True,
        "Take instances out of service: each answers what it has read, and ends.",
        "oakkeel drain --host wb1",
    ),
    order_command(
        "stop", True, "Drain instances, and kill what does not end in its drain time.", "oakkeel stop n3 n4"
    ),
    order_command("start", False, "Start instances that are not there.", "oakkeel start --site belmont"),
    order_command(
        "restart",
        True,
        "Drain instances and start them anew, no more at once than their site allows.",
        "oakkeel restart --site st-james --yes",
    ),
    cancel,
    halt,
]
