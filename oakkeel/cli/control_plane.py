"""Commands on what a fleet agrees: its replicas, its disruption permits, and its orders."""

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
    DONE,
    EXIT_CODES_HELP,
    POLL_SECONDS,
    SOME_FAILED,
    SOME_SILENT,
    UNEXPECTED_RESPONSE,
    FleetClient,
    fail,
    fleet_options,
    lazy_fleet_options,
    print_json,
    print_silent,
    run_command,
    selection_options,
    stderr_console,
    stdout_console,
)
from oakkeel.cli.selection import select_rows, selected_services
from oakkeel.fleet.agent_clients import NoLeaderError
from oakkeel.fleet.selection import Selection
from oakkeel.rendering.control_plane import order_table, permit_tables, replicas_table

NO_LEADER_TEXT = "no agent that we reach leads the record"
NOTHING_COMMITTED_TEXT = "nothing new is agreed, what serves goes on"
WAITING_STATES = ("waiting", "granted")  # nothing has left yet
OPEN_STATES = (*WAITING_STATES, "out")
ENDED_STATES = ("out", "halted", "cancelled", "done")  # as good as it gets once an order is ended
LEADER_DEADLINES = 3  # deadlines of one request, to find the leader
FOLLOW_DEADLINES = 10  # beyond the time of an order
END_DEADLINES = 20  # until an order that was ended holds nothing any more
MEMBERSHIP_DEADLINES = 30  # until all new voters are there


@dataclass(slots=True, frozen=True)
class FleetOrder:
    """An order to be committed by the control plane."""

    order_id: str
    verb: str
    lifetime: int  # nanoseconds
    atomic: bool  # all targets or none


def _fail_without_leader(error: NoLeaderError) -> NoReturn:
    print_silent(dict(sorted(error.reasons.items())))
    fail(f"{error}: {NOTHING_COMMITTED_TEXT}", SOME_SILENT)


async def request_leader(client: FleetClient, request: messages.Request) -> messages.Response:
    """Return the leader's response; no leader, or a rejection, ends the command."""
    try:
        response = await client.agents.request_leader(request, LEADER_DEADLINES * client.deadline)
    except NoLeaderError as error:
        _fail_without_leader(error)
    if isinstance(response, messages.ErrorResponse):
        fail(response.why, SOME_FAILED)
    return response


async def submit_order(client: FleetClient, selection: Selection, order: FleetOrder, wait: bool) -> int:
    """Have an order committed, follow it to its end, and print what became of every target.

    The operator is not asked for confirmation: no more targets leave at once than their budgets allow.
    """
    targets = await _order_targets(client, selection)
    response = await request_leader(
        client, messages.FleetOrderRequest(order.order_id, order.verb, targets, order.lifetime, order.atomic)
    )
    until = time.monotonic_ns() + order.lifetime + FOLLOW_DEADLINES * client.deadline
    while (
        wait
        and isinstance(response, messages.FleetOrderStatus)
        and time.monotonic_ns() < until
        and any(task.state in OPEN_STATES for task in response.tasks)
    ):
        await asyncio.sleep(POLL_SECONDS)
        response = await _order_status(client, order.order_id)
    return _print_order(client, response, () if wait else OPEN_STATES)


async def _order_targets(client: FleetClient, selection: Selection) -> list[tuple[str, int]]:
    """Return names with the generations that the order is for; services have none."""
    if services := selected_services(client, selection):
        return [(name, 0) for name in services]
    _, chosen = await select_rows(client, selection)
    if unseen := [row.name for row in chosen if row.status is None]:
        text = f"{unseen[0]}: its agent did not answer, so no order can say for which process it is"
        fail(text, SOME_SILENT)
    return [(row.name, row.status.generation) for row in chosen if row.status]


async def _order_status(client: FleetClient, ident: str) -> messages.Response:
    response = await request_leader(client, messages.FleetStatusRequest(ident))
    return response.orders[0] if isinstance(response, messages.FleetStatus) else response


async def end_order(client: FleetClient, ident: str, cancel: bool) -> int:
    """Halt or cancel an order; wait until nothing can leave by it any more."""
    response = await request_leader(client, messages.EndFleetOrderRequest(ident, cancel))
    until = time.monotonic_ns() + END_DEADLINES * client.deadline
    while (
        isinstance(response, messages.FleetOrderStatus)
        and time.monotonic_ns() < until
        and any(_may_still_leave(task, cancel) for task in response.tasks)
    ):
        await asyncio.sleep(POLL_SECONDS)
        response = await _order_status(client, ident)
    return _print_order(client, response, ENDED_STATES)


def _may_still_leave(task: messages.FleetTaskStatus, cancel: bool) -> bool:
    if cancel:
        return task.state in OPEN_STATES or bool(task.fence)
    return task.state in WAITING_STATES


def _print_order(client: FleetClient, response: messages.Response, good_states: Sequence[str]) -> int:
    if not isinstance(response, messages.FleetOrderStatus):
        fail(UNEXPECTED_RESPONSE, SOME_SILENT)
    if client.as_json:
        print_json(msgspec.to_builtins(response))
    else:
        stdout_console.print(order_table(response))
    good = ("done", *good_states)
    return DONE if all(task.state in good for task in response.tasks) else SOME_FAILED


@click.group("keepers", epilog=EXIT_CODES_HELP, invoke_without_command=True)
@lazy_fleet_options
@click.pass_context
def replicas(context: click.Context, open_client: Callable[[], FleetClient]) -> None:
    """Who keeps the record of the fleet: who leads, who is behind, since when.

    \b
    Example: oakkeel keepers
             oakkeel keepers set wb1 sj1 be1 wb2 sj2
    """
    context.obj = open_client  # not opened yet: the help of a subcommand needs no settings
    if not context.invoked_subcommand:
        run_command(_show_replicas(require_control_plane(open_client())))


async def _show_replicas(client: FleetClient) -> int:
    responses, silent = await client.request_hosts(messages.RaftStatusRequest())
    statuses = [status for status in responses.values() if isinstance(status, messages.RaftStatus)]
    has_leader = any(status.is_leader for status in statuses)
    if client.as_json:
        documents = [msgspec.to_builtins(status) for status in statuses]
        print_json({"keepers": documents, "silent": silent, "led": has_leader})
    else:
        stdout_console.print(replicas_table(statuses))
        print_silent(dict(sorted(silent.items())))
    if not has_leader:
        stderr_console.print(
            f"oakkeel: {NO_LEADER_TEXT}: {NOTHING_COMMITTED_TEXT}",
            markup=False,
            highlight=False,
            soft_wrap=True,
        )
    return DONE if has_leader else SOME_SILENT


@replicas.command("set", epilog=EXIT_CODES_HELP)
@click.argument("hosts", nargs=-1, required=True)
@click.pass_context
def set_replicas(context: click.Context, hosts: tuple[str, ...]) -> None:
    """Name who shall keep the record. They change one by one; who is new catches up first.

    \b
    Example: oakkeel keepers set wb1 sj1 be1 wb2 sj2
    """
    run_command(_set_replicas(require_control_plane(context.obj()), hosts))


async def _set_replicas(client: FleetClient, hosts: tuple[str, ...]) -> int:
    await request_leader(client, messages.SetVotersRequest(list(hosts)))
    until = time.monotonic_ns() + MEMBERSHIP_DEADLINES * client.deadline
    while time.monotonic_ns() < until:
        status = await _leader_status(client)
        if status and _has_voters(status, hosts):
            if client.as_json:
                print_json(msgspec.to_builtins(status))
            else:
                stdout_console.print(replicas_table([status]))
            return DONE
        await asyncio.sleep(POLL_SECONDS)
    stderr_console.print(
        "oakkeel: it is agreed, and not all of them are there yet; `oakkeel keepers` shows who",
        markup=False,
        highlight=False,
    )
    return SOME_SILENT


def _has_voters(status: messages.RaftStatus, hosts: Sequence[str]) -> bool:
    voters = {member.name for member in status.members if member.is_voter}
    return voters == set(hosts) and len(status.members) == len(voters)


async def _leader_status(client: FleetClient) -> messages.RaftStatus | None:
    """Return how the leader sees the members."""
    responses, _ = await client.request_hosts(messages.RaftStatusRequest())
    statuses = [status for status in responses.values() if isinstance(status, messages.RaftStatus)]
    return next((status for status in statuses if status.is_leader), None)


@click.command("places", epilog=EXIT_CODES_HELP)
@selection_options
@fleet_options
def permits(selection: Selection, client: FleetClient) -> None:
    """What is out, why, under which place; and how much more may be.

    \b
    Example: oakkeel places
             oakkeel places --output json
    """
    run_command(_show_permits(require_control_plane(client), selection))


async def _show_permits(client: FleetClient, selection: Selection) -> int:
    status = await request_leader(client, messages.FleetStatusRequest())
    if not isinstance(status, messages.FleetStatus):
        fail(UNEXPECTED_RESPONSE, SOME_SILENT)
    unavailable = [
        target
        for target in status.unavailable
        if (not selection.names or target.target in selection.names)
        and (not selection.hosts or target.host in selection.hosts)
    ]
    if client.as_json:
        print_json(
            {
                "index": status.index,
                "groups": msgspec.to_builtins(status.budgets),
                "out": msgspec.to_builtins(unavailable),
                "orders": msgspec.to_builtins(status.orders),
            }
        )
    else:
        for table in permit_tables(status.budgets, unavailable, status.orders):
            stdout_console.print(table)
    return DONE


def require_control_plane(client: FleetClient) -> FleetClient:
    """Return the client of a fleet with replicas; any other fleet ends the command."""
    if client.fleet.control_plane is None:
        fail(f"{client.fleet.path}: this fleet has no keepers: each agent is on its own")
    return client
