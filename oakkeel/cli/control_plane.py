"""Commands on what a fleet agrees: its keepers, its places, and its orders as they are agreed."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from typing import NoReturn

import click
import msgspec

from oakkeel.agent import messages
from oakkeel.cli.common import (
    CODES,
    DONE,
    SOME_FAILED,
    SOME_SILENT,
    FleetClient,
    choice_options,
    err,
    fail,
    fleet_options,
    out,
    print_json,
    run,
)
from oakkeel.cli.selection import choose
from oakkeel.fleet.agent_clients import NoLeaderError
from oakkeel.fleet.selection import Selection
from oakkeel.rendering.control_plane import order_table, permits_table, replicas_table

OPEN = ("waiting", "granted", "out")
GOOD = ("done", *OPEN)
LOOK_EVERY = 0.25  # seconds


def no_leader(error: NoLeaderError) -> NoReturn:
    for host, why in sorted(error.why.items()):
        err.print(f"agent of {host}: {why}", style="yellow", markup=False, highlight=False)
    fail(f"{error}: nothing new is agreed, what serves goes on", SOME_SILENT)


async def ask(asker: FleetClient, wish: messages.Request) -> messages.Response:
    """What the leader says; ends the command where there is none, or where it says no."""
    try:
        answer = await asker.agents.ask_leader(wish, 3 * asker.deadline)
    except NoLeaderError as error:
        no_leader(error)
    if isinstance(answer, messages.ErrorResponse):
        fail(answer.why, SOME_FAILED)
    return answer


async def agree(
    asker: FleetClient,
    verb: str,
    choice: Selection,
    lasts: int,
    whole: bool,
    ident: str,
    no_wait: bool,
    as_json: bool,
) -> int:
    """Put an order to the record, follow it to its end, and tell what became of every part.

    The operator is not asked whether he is sure: no more go out at once than was agreed.
    """
    assert asker.fleet.control_plane is not None
    services = {each.name for each in asker.fleet.control_plane.services}
    if named := [name for name in choice.names if name in services]:
        if len(named) < len(choice.names):
            fail("name either instances or services below")
        things = [(name, 0) for name in named]
    else:
        _, chosen = await choose(asker, choice)
        if unseen := [row.name for row in chosen if row.told is None]:
            fail(
                f"{unseen[0]}: its agent did not answer, so no order can say for which process it is",
                SOME_SILENT,
            )
        things = [(row.name, row.told.generation) for row in chosen if row.told]
    answer = await ask(asker, messages.FleetOrderRequest(ident, verb, things, lasts, whole))
    until = time.monotonic_ns() + lasts + 10 * asker.deadline
    while (
        not no_wait
        and isinstance(answer, messages.FleetOrderStatus)
        and time.monotonic_ns() < until
        and any(part.state in OPEN for part in answer.tasks)
    ):
        await asyncio.sleep(LOOK_EVERY)
        answer = await look_at(asker, ident)
    return tell(answer, as_json, OPEN if no_wait else ())


async def look_at(asker: FleetClient, ident: str) -> messages.Response:
    answer = await ask(asker, messages.FleetStatusRequest(ident))
    return answer.orders[0] if isinstance(answer, messages.FleetStatus) else answer


async def end(asker: FleetClient, ident: str, back: bool, as_json: bool) -> int:
    """Halt or cancel: wait until nothing can leave by it any more."""
    answer = await ask(asker, messages.EndFleetOrderRequest(ident, back))
    until = time.monotonic_ns() + 20 * asker.deadline
    while (
        isinstance(answer, messages.FleetOrderStatus)
        and time.monotonic_ns() < until
        and any(
            part.state in (OPEN if back else ("waiting", "granted")) or (back and part.fence)
            for part in answer.tasks
        )
    ):
        await asyncio.sleep(LOOK_EVERY)
        answer = await look_at(asker, ident)
    return tell(answer, as_json, ("out", "halted", "cancelled", "done"))


def tell(answer: messages.Response, as_json: bool, also_good: Sequence[str]) -> int:
    if not isinstance(answer, messages.FleetOrderStatus):
        fail("an answer to another question", SOME_SILENT)
    if as_json:
        print_json(msgspec.to_builtins(answer))
    else:
        out.print(order_table(answer))
    good = ("done", *also_good)
    return DONE if all(part.state in good for part in answer.tasks) else SOME_FAILED


@click.group(epilog=CODES, invoke_without_command=True)
@fleet_options
@click.pass_context
def keepers(
    context: click.Context, settings: str, operator: str | None, deadline: int | None, output: str
) -> None:
    """Who keeps the record of the fleet: who leads, who is behind, since when.

    \b
    Example: oakkeel keepers
             oakkeel keepers set wb1 sj1 be1 wb2 sj2
    """
    context.obj = settings, operator, deadline, output
    if context.invoked_subcommand:
        return
    asker = with_record(settings, operator, deadline)

    async def work() -> int:
        hosts = [host.name for host in asker.fleet.hosts]
        answers, silent = await asker.agents.ask(
            {name: messages.RaftStatusRequest() for name in hosts}, asker.deadline
        )
        told = {name: answer for name, answer in answers.items() if isinstance(answer, messages.RaftStatus)}
        leads = any(each.is_leader for each in told.values())
        if output == "json":
            print_json(
                {
                    "keepers": [msgspec.to_builtins(each) for each in told.values()],
                    "silent": silent,
                    "led": leads,
                }
            )
        else:
            out.print(replicas_table(list(told.values())))
            for host, why in sorted(silent.items()):
                err.print(f"agent of {host}: {why}", style="yellow", markup=False, highlight=False)
        if not leads:
            err.print(
                "oakkeel: no agent that we reach leads the record: nothing new is agreed, what serves"
                " goes on",
                markup=False,
                highlight=False,
                soft_wrap=True,
            )
        return DONE if leads else SOME_SILENT

    run(work())


@keepers.command("set", epilog=CODES)
@click.argument("hosts", nargs=-1, required=True)
@click.pass_context
def set_keepers(context: click.Context, hosts: tuple[str, ...]) -> None:
    """Name who shall keep the record. They change one by one; who is new catches up first.

    \b
    Example: oakkeel keepers set wb1 sj1 be1 wb2 sj2
    """
    settings, operator, deadline, output = context.obj
    asker = with_record(settings, operator, deadline)

    async def work() -> int:
        await ask(asker, messages.SetVotersRequest(list(hosts)))
        until = time.monotonic_ns() + 30 * asker.deadline
        while time.monotonic_ns() < until:
            answer = await ask_leader_record(asker)
            names = {each.name for each in answer.members if each.is_voter} if answer else set()
            if answer and names == set(hosts) and len(answer.members) == len(names):
                if output == "json":
                    print_json(msgspec.to_builtins(answer))
                else:
                    out.print(replicas_table([answer]))
                return DONE
            await asyncio.sleep(LOOK_EVERY)
        err.print(
            "oakkeel: it is agreed, and not all of them are there yet; `oakkeel keepers` shows who",
            markup=False,
            highlight=False,
        )
        return SOME_SILENT

    run(work())


async def ask_leader_record(asker: FleetClient) -> messages.RaftStatus | None:
    """How the leader sees the members."""
    answers, _ = await asker.agents.ask(
        {host.name: messages.RaftStatusRequest() for host in asker.fleet.hosts}, asker.deadline
    )
    return next(
        (each for each in answers.values() if isinstance(each, messages.RaftStatus) and each.is_leader), None
    )


@click.command(epilog=CODES)
@choice_options
@fleet_options
def places(
    names: tuple[str, ...],
    sites: tuple[str, ...],
    hosts: tuple[str, ...],
    states: tuple[str, ...],
    settings: str,
    operator: str | None,
    deadline: int | None,
    output: str,
) -> None:
    """What is out, why, under which place; and how much more may be.

    \b
    Example: oakkeel places
             oakkeel places --output json
    """
    asker = with_record(settings, operator, deadline)

    async def work() -> int:
        answer = await ask(asker, messages.FleetStatusRequest())
        if not isinstance(answer, messages.FleetStatus):
            fail("an answer to another question", SOME_SILENT)
        wanted = [
            each
            for each in answer.unavailable
            if (not names or each.target in names) and (not hosts or each.host in hosts)
        ]
        if output == "json":
            print_json(
                {
                    "index": answer.index,
                    "groups": msgspec.to_builtins(answer.budgets),
                    "out": msgspec.to_builtins(wanted),
                    "orders": msgspec.to_builtins(answer.orders),
                }
            )
        else:
            for table in permits_table(answer.budgets, wanted, answer.orders):
                out.print(table)
        return DONE

    run(work())


def with_record(settings: str, operator: str | None, deadline: int | None) -> FleetClient:
    asker = FleetClient(settings, operator, deadline)
    if asker.fleet.control_plane is None:
        fail(f"{settings}: this fleet has no keepers: each agent is on its own")
    return asker
