"""Commands that submit or end orders: drain, stop, start, restart, cancel, halt."""

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
from oakkeel.agent.instances import OPEN_HOST_TASK_STATE_VALUES
from oakkeel.cli.common import (
    ALL_OPTION,
    EXIT_CODES_HELP,
    NO_WAIT_OPTION,
    POLL_INTERVAL_SECONDS,
    ExitCode,
    FleetClient,
    fail,
    fleet_options,
    id_option,
    print_failures,
    print_json,
    run_command,
    selection_options,
    stderr_console,
    stdout_console,
    timeout_option,
)
from oakkeel.cli.control_plane import FleetOrder, end_order, submit_order
from oakkeel.cli.selection import confirm_order, require_selection, select_rows
from oakkeel.fleet.order_tracking import OrderSpec, OrderTracker, Result, TrackedTask
from oakkeel.fleet.selection import Selection
from oakkeel.rendering.tables import plain_table
from oakkeel.rendering.times import format_duration

SUCCESS_STATES = ("done",)
ORDER_ID_BYTES = 6
MAX_FOLLOW_DEADLINES = 2  # wait after the timeout of an order, in deadlines of one request
EXIT_CODE_BY_RESULT = {
    Result.DONE: ExitCode.DONE,
    Result.SOME_FAILED: ExitCode.SOME_FAILED,
    Result.SOME_SILENT: ExitCode.SOME_SILENT,
}


@dataclass(slots=True, frozen=True)
class OrderOptions:
    """The options of a command that submits an order."""

    select_all: bool
    is_confirmed: bool
    no_wait: bool
    timeout: int  # nanoseconds
    supersede: bool
    atomic: bool
    order_to_halt: str | None
    ident: str | None


def order_command(verb: str, is_disruptive: bool, text: str, example: str) -> click.Command:
    """Return the command that submits orders of one verb; disruptive orders make targets unavailable."""

    @click.command(verb, epilog=EXIT_CODES_HELP, help=f"{text}\n\n\b\nExample: {example}")
    @selection_options
    @ALL_OPTION
    @click.option("--yes", "is_confirmed", is_flag=True, help="Do not ask for confirmation.")
    @NO_WAIT_OPTION
    @timeout_option("Timeout of the order; tasks that are open at that time fail.")
    @click.option(
        "--supersede", is_flag=True, help="Replace another operator's open order on the same instances."
    )
    @click.option(
        "--whole",
        "atomic",
        is_flag=True,
        help="Accept the order for all targets or for none; needs replicas (keepers).",
    )
    @click.option(
        "--halt", "order_to_halt", metavar="ORDER", help="Halt this order instead of submitting one."
    )
    @id_option("order")
    @fleet_options
    def command(selection: Selection, client: FleetClient, **options: Any) -> None:
        _run_order(verb, is_disruptive, selection, client, OrderOptions(**options))

    return command


def _run_order(
    verb: str, is_disruptive: bool, selection: Selection, client: FleetClient, options: OrderOptions
) -> NoReturn:
    if options.order_to_halt:
        run_halt(client, options.order_to_halt)
    require_selection(selection, options.select_all)
    ident = options.ident or secrets.token_hex(ORDER_ID_BYTES)
    if client.fleet.control_plane and is_disruptive:
        if options.supersede:
            fail("--supersede does not work with replicas (keepers): halt or cancel the open order instead")
        order = FleetOrder(ident, verb, options.timeout, options.atomic)
        run_command(submit_order(client, selection, order, wait=not options.no_wait))
    if options.atomic:
        fail("--whole needs replicas (keepers) in the settings")
    spec = OrderSpec(ident, verb, options.timeout, options.supersede)
    confirm = is_disruptive and not options.is_confirmed
    run_command(submit_to_hosts(client, selection, spec, confirm=confirm, wait=not options.no_wait))


async def submit_to_hosts(
    client: FleetClient, selection: Selection, order: OrderSpec, confirm: bool, wait: bool
) -> ExitCode:
    """Send each agent its tasks, wait for their end if `wait`, and print the result of every instance."""
    rows, selected_rows = await select_rows(client, selection)
    if confirm and not confirm_order(order.verb, rows, selected_rows):
        return ExitCode.USAGE
    tracker = OrderTracker(order, selected_rows)
    responses, failures = await client.agents.request_each(tracker.requests(), client.deadline)
    for host, response in responses.items():
        tracker.record_response(host, response)
    for host, reason in failures.items():
        tracker.record_no_response(host, reason)
    if wait:
        await follow_order(client, tracker)
    print_tasks(client, order.order_id, order.verb, list(tracker.tasks.values()))
    return EXIT_CODE_BY_RESULT[tracker.result(wait)]


async def follow_order(client: FleetClient, tracker: OrderTracker) -> None:
    """Poll the agents until no task is open or the order has timed out."""
    order = tracker.order
    timeout_at = time.monotonic_ns() + order.lifetime + MAX_FOLLOW_DEADLINES * client.deadline
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeElapsedColumn())
    is_hidden = not stderr_console.is_terminal
    with Progress(*columns, console=stderr_console, transient=True, disable=is_hidden) as progress:
        progress_task = progress.add_task(f"{order.verb} {order.order_id}", total=len(tracker.tasks))
        while not tracker.is_finished and time.monotonic_ns() < timeout_at:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            responses, _ = await client.request_hosts(messages.ListOrdersRequest(), tracker.hosts_to_poll())
            for host, response in responses.items():
                tracker.record_response(host, response)
            progress.update(progress_task, completed=tracker.closed_task_count)


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
        style = (
            "green"
            if task.state in SUCCESS_STATES
            else "cyan"
            if task.state in OPEN_HOST_TASK_STATE_VALUES
            else "red"
        )
        table.add_row(task.instance, f"[{style}]{task.state}[/]", format_duration(task.age), task.why)
    stdout_console.print(table)


@click.command(epilog=EXIT_CODES_HELP)
@click.argument("ident", metavar="ORDER")
@fleet_options
def cancel(ident: str, client: FleetClient) -> None:
    """Cancel the tasks of an order that have not started; started tasks continue.

    In a fleet with replicas (keepers) the targets come back: a draining instance takes requests again, and an
    instance that has ended is started.

    \b
    Example: oakkeel cancel 3f9a01c2d4e5
    """
    if client.fleet.control_plane:
        run_command(end_order(client, ident, cancel=True))
    run_command(_cancel_on_hosts(client, ident))


async def _cancel_on_hosts(client: FleetClient, ident: str) -> ExitCode:
    responses, failures = await client.request_hosts(messages.CancelOrderRequest(ident))
    tasks = {
        task.instance: task
        for response in responses.values()
        if isinstance(response, messages.OrderStatus)
        for task in response.tasks
    }
    if not tasks:
        fail(f"no agent knows an order {ident}", ExitCode.SOME_SILENT if failures else ExitCode.SOME_FAILED)
    print_tasks(client, ident, "cancel", list(tasks.values()))
    print_failures(failures)
    if failures:
        return ExitCode.SOME_SILENT
    return (
        ExitCode.SOME_FAILED
        if any(task.state in OPEN_HOST_TASK_STATE_VALUES for task in tasks.values())
        else ExitCode.DONE
    )


@click.command(epilog=EXIT_CODES_HELP)
@click.argument("ident", metavar="ORDER")
@fleet_options
def halt(ident: str, client: FleetClient) -> None:
    """Halt an order: no further target is taken out, and targets that are out stay out until a `cancel`.

    \b
    Example: oakkeel halt 3f9a01c2d4e5
    """
    run_halt(client, ident)


def run_halt(client: FleetClient, ident: str) -> NoReturn:
    """Halt an order of the fleet and exit."""
    if not client.fleet.control_plane:
        fail("halt needs replicas (keepers) in the settings; cancel ends the tasks that have not started")
    run_command(end_order(client, ident, cancel=False))


COMMANDS: list[click.Command] = [
    order_command(
        "drain",
        True,
        "Drain instances: each answers the requests that it has read, and then ends.",
        "oakkeel drain --host wb1",
    ),
    order_command(
        "stop",
        True,
        "Drain instances, and kill those that do not end within the drain timeout.",
        "oakkeel stop n3 n4",
    ),
    order_command("start", False, "Start stopped instances.", "oakkeel start --site belmont"),
    order_command(
        "restart",
        True,
        "Drain and start instances, within the disruption budget of their site.",
        "oakkeel restart --site st-james --yes",
    ),
    cancel,
    halt,
]
