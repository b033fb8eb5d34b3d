"""Commands that use the control plane of a fleet: its replicas, disruption permits and orders."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import NoReturn

import click
import msgspec

from oakkeel.agent import messages
from oakkeel.cli.common import (
    EXIT_CODES_HELP,
    POLL_INTERVAL_SECONDS,
    ExitCode,
    FleetClient,
    fail,
    fleet_options,
    lazy_fleet_options,
    print_failures,
    print_json,
    run_command,
    selection_options,
    stderr_console,
    stdout_console,
)
from oakkeel.cli.selection import select_rows, selected_services
from oakkeel.disruption.state import OPEN_FLEET_TASK_STATES
from oakkeel.fleet.agent_clients import (
    DEFAULT_LEADER_SEARCH_DEADLINES,
    NO_LEADER_TEXT,
    UNEXPECTED_RESPONSE,
    NoLeaderError,
)
from oakkeel.fleet.selection import Selection
from oakkeel.rendering.control_plane import order_table, permit_tables, replicas_table

NOTHING_COMMITTED_TEXT = "nothing new is committed, running instances keep serving"
WAITING_STATES = ("waiting", "granted")  # of a task whose target still serves
ENDED_STATES = ("out", "halted", "cancelled", "done")  # of a task whose order was ended successfully

# Maximum waits, in deadlines of one request.
MAX_FOLLOW_DEADLINES = 10  # after the timeout of an order, for the end of its tasks
MAX_END_DEADLINES = 20  # until a halted or cancelled order takes out no further target
MAX_MEMBERSHIP_DEADLINES = 30  # until all new replicas have joined


@dataclass(slots=True, frozen=True)
class FleetOrder:
    """An order to be committed by the control plane."""

    order_id: str
    verb: str
    lifetime: int  # nanoseconds
    atomic: bool  # all targets or none


def _fail_without_leader(error: NoLeaderError) -> NoReturn:
    print_failures(dict(sorted(error.reasons.items())))
    fail(f"{error}: {NOTHING_COMMITTED_TEXT}", ExitCode.SOME_SILENT)


async def request_leader(client: FleetClient, request: messages.Request) -> messages.Response:
    """Return the leader's response; a rejection, or no leader, ends the command."""
    try:
        response = await client.agents.request_leader(
            request, DEFAULT_LEADER_SEARCH_DEADLINES * client.deadline
        )
    except NoLeaderError as error:
        _fail_without_leader(error)
    if isinstance(response, messages.ErrorResponse):
        fail(response.why, ExitCode.SOME_FAILED)
    return response


async def submit_order(client: FleetClient, selection: Selection, order: FleetOrder, wait: bool) -> ExitCode:
    """Submit an order to the control plane, follow it to its end, and print the result of every target.

    The order needs no confirmation, as the disruption budgets limit the targets that are out at one time.
    """
    targets = await _order_targets(client, selection)
    response = await request_leader(
        client, messages.FleetOrderRequest(order.order_id, order.verb, targets, order.lifetime, order.atomic)
    )
    timeout_at = time.monotonic_ns() + order.lifetime + MAX_FOLLOW_DEADLINES * client.deadline
    while (
        wait
        and isinstance(response, messages.FleetOrderStatus)
        and time.monotonic_ns() < timeout_at
        and any(task.state in OPEN_FLEET_TASK_STATES for task in response.tasks)
    ):
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
        response = await _order_status(client, order.order_id)
    return _print_order(client, response, () if wait else OPEN_FLEET_TASK_STATES)


async def _order_targets(client: FleetClient, selection: Selection) -> list[tuple[str, int]]:
    """Return the names and generations of the order's targets; services have generation 0."""
    if services := selected_services(client, selection):
        return [(name, 0) for name in services]
    _, selected_rows = await select_rows(client, selection)
    if unreported := [row.name for row in selected_rows if row.status is None]:
        text = f"{unreported[0]}: its agent did not answer, so the generation of its process is unknown"
        fail(text, ExitCode.SOME_SILENT)
    return [(row.name, row.status.generation) for row in selected_rows if row.status]


async def _order_status(client: FleetClient, ident: str) -> messages.Response:
    response = await request_leader(client, messages.FleetStatusRequest(ident))
    return response.orders[0] if isinstance(response, messages.FleetStatus) else response


async def end_order(client: FleetClient, ident: str, cancel: bool) -> ExitCode:
    """Halt or cancel an order, and wait until it takes out no further target."""
    response = await request_leader(client, messages.EndFleetOrderRequest(ident, cancel))
    timeout_at = time.monotonic_ns() + MAX_END_DEADLINES * client.deadline
    while (
        isinstance(response, messages.FleetOrderStatus)
        and time.monotonic_ns() < timeout_at
        and any(_is_unsettled(task, cancel) for task in response.tasks)
    ):
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
        response = await _order_status(client, ident)
    return _print_order(client, response, ENDED_STATES)


def _is_unsettled(task: messages.FleetTaskStatus, cancel: bool) -> bool:
    """Return whether a task of a halted order may still start, or one of a cancelled order is in effect."""
    if cancel:
        return task.state in OPEN_FLEET_TASK_STATES or bool(task.fencing_token)
    return task.state in WAITING_STATES


def _print_order(
    client: FleetClient, response: messages.Response, other_success_states: Sequence[str]
) -> ExitCode:
    if not isinstance(response, messages.FleetOrderStatus):
        fail(UNEXPECTED_RESPONSE, ExitCode.SOME_SILENT)
    if client.as_json:
        print_json(msgspec.to_builtins(response))
    else:
        stdout_console.print(order_table(response))
    success_states = ("done", *other_success_states)
    return (
        ExitCode.DONE
        if all(task.state in success_states for task in response.tasks)
        else ExitCode.SOME_FAILED
    )


@click.group("keepers", epilog=EXIT_CODES_HELP, invoke_without_command=True)
@lazy_fleet_options
@click.pass_context
def replicas(context: click.Context, open_client: Callable[[], FleetClient]) -> None:
    """Show the replicas (keepers) of the control plane: leader, term, votes and replication lag.

    \b
    Example: oakkeel keepers
             oakkeel keepers set wb1 sj1 be1 wb2 sj2
    """
    context.obj = open_client  # not called yet, as the help of a subcommand needs no settings
    if not context.invoked_subcommand:
        run_command(_show_replicas(require_control_plane(open_client())))


async def _show_replicas(client: FleetClient) -> ExitCode:
    responses, failures = await client.request_hosts(messages.RaftStatusRequest())
    statuses = [status for status in responses.values() if isinstance(status, messages.RaftStatus)]
    has_leader = any(status.is_leader for status in statuses)
    if client.as_json:
        documents = [msgspec.to_builtins(status) for status in statuses]
        print_json({"keepers": documents, "silent": failures, "led": has_leader})  # keepers: the replicas
    else:
        stdout_console.print(replicas_table(statuses))
        print_failures(dict(sorted(failures.items())))
    if not has_leader:
        stderr_console.print(
            f"oakkeel: {NO_LEADER_TEXT}: {NOTHING_COMMITTED_TEXT}",
            markup=False,
            highlight=False,
            soft_wrap=True,
        )
    return ExitCode.DONE if has_leader else ExitCode.SOME_SILENT


@replicas.command("set", epilog=EXIT_CODES_HELP)
@click.argument("hosts", nargs=-1, required=True)
@click.pass_context
def set_replicas(context: click.Context, hosts: tuple[str, ...]) -> None:
    """Change the replicas of the control plane. They change one at a time; new ones catch up first.

    \b
    Example: oakkeel keepers set wb1 sj1 be1 wb2 sj2
    """
    run_command(_set_replicas(require_control_plane(context.obj()), hosts))


async def _set_replicas(client: FleetClient, hosts: tuple[str, ...]) -> ExitCode:
    await request_leader(client, messages.SetVotersRequest(list(hosts)))
    timeout_at = time.monotonic_ns() + MAX_MEMBERSHIP_DEADLINES * client.deadline
    while time.monotonic_ns() < timeout_at:
        status = await _leader_status(client)
        if status and _has_voters(status, hosts):
            if client.as_json:
                print_json(msgspec.to_builtins(status))
            else:
                stdout_console.print(replicas_table([status]))
            return ExitCode.DONE
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    stderr_console.print(
        "oakkeel: the change is committed, but not all replicas have joined yet; see `oakkeel keepers`",
        markup=False,
        highlight=False,
    )
    return ExitCode.SOME_SILENT


def _has_voters(status: messages.RaftStatus, hosts: Sequence[str]) -> bool:
    voters = {member.name for member in status.members if member.is_voter}
    return voters == set(hosts) and len(status.members) == len(voters)


async def _leader_status(client: FleetClient) -> messages.RaftStatus | None:
    """Return the status that the leader reports, with all members; None if no leader answered."""
    responses, _ = await client.request_hosts(messages.RaftStatusRequest())
    statuses = [status for status in responses.values() if isinstance(status, messages.RaftStatus)]
    return next((status for status in statuses if status.is_leader), None)


@click.command("places", epilog=EXIT_CODES_HELP)
@selection_options
@fleet_options
def permits(selection: Selection, client: FleetClient) -> None:
    """Show the disruption permits (places): unavailable targets, their permits, and the budgets left.

    \b
    Example: oakkeel places
             oakkeel places --output json
    """
    run_command(_show_permits(require_control_plane(client), selection))


async def _show_permits(client: FleetClient, selection: Selection) -> ExitCode:
    status = await request_leader(client, messages.FleetStatusRequest())
    if not isinstance(status, messages.FleetStatus):
        fail(UNEXPECTED_RESPONSE, ExitCode.SOME_SILENT)
    unavailable = [
        target
        for target in status.unavailable
        if (not selection.names or target.target in selection.names)
        and (not selection.hosts or target.host in selection.hosts)
    ]
    if client.as_json:
        print_json(
            {
                "index": status.index,  # position in the replicated log
                "groups": msgspec.to_builtins(status.budgets),  # usage of each budget
                "out": msgspec.to_builtins(unavailable),  # the unavailable targets
                "orders": msgspec.to_builtins(status.orders),
            }
        )
    else:
        for table in permit_tables(status.budgets, unavailable, status.orders):
            stdout_console.print(table)
    return ExitCode.DONE


def require_control_plane(client: FleetClient) -> FleetClient:
    """Return the client; a fleet without a control plane ends the command."""
    if client.fleet.control_plane is None:
        fail(f"{client.fleet.path}: the fleet has no replicas (keepers), so no control plane")
    return client
