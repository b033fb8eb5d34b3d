"""Commands that order: drain, stop, start, restart, cancel."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Callable, Sequence
from typing import NoReturn

import click
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from oakkeel.agent import messages
from oakkeel.cli.common import (
    CODES,
    DONE,
    SOME_FAILED,
    SOME_SILENT,
    USAGE,
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
from oakkeel.cli.control_plane import agree, end
from oakkeel.cli.selection import choose, sure
from oakkeel.fleet.order_tracking import OrderTracker, Result, TrackedTask
from oakkeel.fleet.selection import Selection
from oakkeel.rendering.times import span

OPEN, GOOD = ("waiting", "acting"), ("done",)
CODES_OF = {Result.DONE: DONE, Result.SOME_FAILED: SOME_FAILED, Result.SOME_SILENT: SOME_SILENT}
LOOK_EVERY = 0.25  # seconds, at an order that is carried out


def ordering(verb: str, takes_out: bool, text: str, example: str) -> click.Command:
    """One command for one kind of order."""

    @click.command(verb, epilog=CODES, help=f"{text}\n\n\b\nExample: {example}")
    @choice_options
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
    @click.option("--whole", is_flag=True, help="All or nothing, in a fleet with keepers.")
    @click.option("--halt", "halted", metavar="ORDER", help="Halt that order in place of a new one.")
    @click.option("--id", "ident", metavar="ID", help="Of the order: the same once more is carried out once.")
    @fleet_options
    def command(
        names: tuple[str, ...],
        sites: tuple[str, ...],
        hosts: tuple[str, ...],
        states: tuple[str, ...],
        everything: bool,
        yes: bool,
        no_wait: bool,
        lasts: int,
        supersede: bool,
        whole: bool,
        halted: str | None,
        ident: str | None,
        settings: str,
        operator: str | None,
        deadline: int | None,
        output: str,
    ) -> None:
        choice = Selection(names, sites, hosts, states)
        asker = FleetClient(settings, operator, deadline)
        if halted:
            run_halt(asker, halted, output == "json")
        if choice.all != everything:
            fail("say which instances: names, --site, --host or --state, or else --all")
        ident = ident or secrets.token_hex(6)
        if asker.fleet.control_plane and takes_out:
            if supersede:
                fail("a record knows no --supersede: halt or cancel the order that stands")
            run(agree(asker, verb, choice, lasts, whole, ident, no_wait, output == "json"))
        if whole:
            fail("--whole needs keepers in the settings: each agent of this fleet is on its own")
        run(
            carry_out(
                asker, verb, choice, takes_out and not yes, lasts, supersede, ident, no_wait, output == "json"
            )
        )

    return command


async def carry_out(
    asker: FleetClient,
    verb: str,
    choice: Selection,
    ask_first: bool,
    lasts: int,
    supersede: bool,
    ident: str,
    no_wait: bool,
    as_json: bool,
) -> int:
    """Look, order each agent its part, follow it to its end, and tell what became of every instance."""
    rows, chosen = await choose(asker, choice)
    if ask_first and not sure(verb, rows, chosen):
        return USAGE
    following = OrderTracker(ident, verb, chosen, lasts, supersede)
    answers, silent = await asker.agents.ask(following.wishes(), asker.deadline)
    for host, answer in answers.items():
        following.answered(host, answer)
    for host, why in silent.items():
        following.unanswered(host, why)
    if not no_wait:
        await follow(asker, following)
    tell(ident, verb, list(following.parts.values()), as_json)
    return CODES_OF[following.result(not no_wait)]


async def follow(asker: FleetClient, following: OrderTracker) -> None:
    """Ask until nothing is open any more, or the time of the order is over."""
    until = time.monotonic_ns() + following.lasts + 2 * asker.deadline
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeElapsedColumn())
    with Progress(*columns, console=err, transient=True, disable=not err.is_terminal) as progress:
        bar = progress.add_task(f"{following.verb} {following.ident}", total=len(following.parts))
        while not following.over and time.monotonic_ns() < until:
            await asyncio.sleep(LOOK_EVERY)
            asked: dict[str, messages.Request] = {
                host: messages.ListOrdersRequest() for host in following.to_ask()
            }
            answers, _ = await asker.agents.ask(asked, asker.deadline)
            for host, answer in answers.items():
                following.answered(host, answer)
            progress.update(bar, completed=following.ended)


def tell(ident: str, verb: str, parts: Sequence[TrackedTask | messages.TaskStatus], as_json: bool) -> None:
    if as_json:
        return print_json(
            {
                "order": ident,
                "verb": verb,
                "instances": [
                    {"instance": part.instance, "state": part.state, "why": part.why} for part in parts
                ],
            }
        )
    table = Table(
        box=None, header_style="bold", pad_edge=False, title=f"{verb}, order {ident}", title_justify="left"
    )
    for column in ("instance", "state", "for", "remarks"):
        table.add_column(column)
    for part in sorted(parts, key=lambda each: each.instance):
        style = "green" if part.state in GOOD else "cyan" if part.state in OPEN else "red"
        table.add_row(part.instance, f"[{style}]{part.state}[/]", span(part.age), part.why)
    out.print(table)


@click.command(epilog=CODES)
@click.argument("ident", metavar="ORDER")
@fleet_options
def cancel(ident: str, settings: str, operator: str | None, deadline: int | None, output: str) -> None:
    """End what an order has not begun. What has begun goes on, and the answer says so.

    In a fleet with keepers what it took out comes back: an instance that drains takes work again, one that
    has ended is started.

    \b
    Example: oakkeel cancel 3f9a01c2d4e5
    """
    asker = FleetClient(settings, operator, deadline)
    if asker.fleet.control_plane:
        run(end(asker, ident, True, output == "json"))

    async def work() -> int:
        hosts = [host.name for host in asker.fleet.hosts]
        answers, silent = await asker.agents.ask(
            {host: messages.CancelOrderRequest(ident) for host in hosts}, asker.deadline
        )
        parts = {
            part.instance: part
            for answer in answers.values()
            if isinstance(answer, messages.OrderStatus)
            for part in answer.tasks
        }
        if not parts:
            fail(f"no agent knows an order {ident}", SOME_SILENT if silent else SOME_FAILED)
        tell(ident, "cancel", list(parts.values()), output == "json")
        for host, why in silent.items():
            err.print(f"agent of {host}: {why}", style="yellow", markup=False, highlight=False)
        if silent:
            return SOME_SILENT
        return DONE if not any(part.state in OPEN for part in parts.values()) else SOME_FAILED

    run(work())


@click.command(epilog=CODES)
@click.argument("ident", metavar="ORDER")
@fleet_options
def halt(ident: str, settings: str, operator: str | None, deadline: int | None, output: str) -> None:
    """Let nothing further leave by an order of the fleet. What has left stays out; `cancel` brings it back.

    \b
    Example: oakkeel halt 3f9a01c2d4e5
    """
    run_halt(FleetClient(settings, operator, deadline), ident, output == "json")


def run_halt(asker: FleetClient, ident: str, as_json: bool) -> NoReturn:
    if not asker.fleet.control_plane:
        fail("halt needs keepers in the settings; cancel ends what an order has not begun")
    run(end(asker, ident, False, as_json))


COMMANDS: list[Callable] = [
    ordering(
        "drain",
        True,
        "Take instances out of service: each answers what it has read, and ends.",
        "oakkeel drain --host wb1",
    ),
    ordering(
        "stop", True, "Drain instances, and kill what does not end in its drain time.", "oakkeel stop n3 n4"
    ),
    ordering("start", False, "Start instances that are not there.", "oakkeel start --site belmont"),
    ordering(
        "restart",
        True,
        "Drain instances and start them anew, no more at once than their site allows.",
        "oakkeel restart --site st-james --yes",
    ),
    cancel,
    halt,
]
