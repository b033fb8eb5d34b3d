"""Commands on releases: start one, look at it, halt it, let it go on or back."""

from __future__ import annotations

import asyncio
import os
import secrets

import click
import msgspec
from rich.live import Live

from oakkeel.agent import messages
from oakkeel.agent.artifacts import version_of
from oakkeel.cli.common import (
    CODES,
    DONE,
    SOME_FAILED,
    SOME_SILENT,
    Duration,
    FleetClient,
    choice_options,
    fail,
    fleet_options,
    out,
    print_json,
    run,
)
from oakkeel.cli.control_plane import LOOK_EVERY, ask, with_record
from oakkeel.cli.selection import choose
from oakkeel.fleet.selection import Selection
from oakkeel.rendering.rollout import release_table
from oakkeel.rollout.commands import RolloutPolicy, VersionSpec
from oakkeel.store.content_store import ContentError

ENDS = {"done": DONE, "undone": SOME_FAILED, "halted": SOME_FAILED, "left": SOME_FAILED}


@click.group(epilog=CODES)
def rollout() -> None:
    """Bring a new program or configuration to many instances, step by step.

    It goes on by itself while what is new does as well as what is old, and halts where it does not.

    \b
    Example: oakkeel rollout start --program /opt/oakkeel-2 --all
             oakkeel rollout watch
             oakkeel rollout undo
    """


@rollout.command(epilog=CODES)
@choice_options
@click.option("--all", "everything", is_flag=True, help="All instances.")
@click.option(
    "--program",
    type=click.Path(exists=True, file_okay=False),
    help="Folder with the program, at the same path on every host.",
)
@click.option(
    "--config",
    "patch",
    type=click.Path(exists=True, dir_okay=False),
    help="JSON merge patch for the configurations, at the same path on every host.",
)
@click.option("--version", "label", default="", help="Of services below: what they are replaced by, by hand.")
@click.option("--canary", type=click.IntRange(1, 100), default=1, show_default=True, help="Changed first.")
@click.option(
    "--growth",
    type=click.FloatRange(1.1, 100),
    default=2.0,
    show_default=True,
    help="From one batch to the next, in all that have the new.",
)
@click.option("--most", type=click.IntRange(0, 1000), default=0, help="In one batch; 0: as the bounds allow.")
@click.option(
    "--soak",
    type=Duration(),
    default="60s",
    show_default=True,
    metavar="TIME",
    help="Watched at least so long after each batch.",
)
@click.option(
    "--patience",
    type=Duration(),
    default="10m",
    show_default=True,
    metavar="TIME",
    help="With no answer from the gates for so long it halts.",
)
@click.option(
    "--lasts", type=Duration(), default="2m", show_default=True, metavar="TIME", help="For one batch."
)
@click.option(
    "--margin",
    type=click.FloatRange(0.001, 0.5),
    default=0.02,
    show_default=True,
    help="Part of the benefit that must not be lost.",
)
@click.option(
    "--ceiling",
    type=click.FloatRange(0.1, 1.0),
    default=0.85,
    show_default=True,
    help="Load of those left at a site.",
)
@click.option(
    "--as-set",
    is_flag=True,
    help="What is not named of program and configuration is as the"
    " settings say, whatever was released before.",
)
@click.option("--no-gates", is_flag=True, help="By batches alone, whatever becomes of the benefit.")
@click.option("--no-control", is_flag=True, help="Restart none of the old beside the first.")
@click.option("--back", is_flag=True, help="Undo by itself what the gates halt.")
@click.option("--no-wait", is_flag=True, help="Return once it is agreed.")
@click.option("--id", "ident", metavar="ID", help="Of the release: the same once more begins nothing new.")
@fleet_options
def start(
    names: tuple[str, ...],
    sites: tuple[str, ...],
    hosts: tuple[str, ...],
    states: tuple[str, ...],
    everything: bool,
    program: str | None,
    patch: str | None,
    label: str,
    canary: int,
    growth: float,
    most: int,
    soak: int,
    patience: int,
    lasts: int,
    margin: float,
    ceiling: float,
    as_set: bool,
    no_gates: bool,
    no_control: bool,
    back: bool,
    no_wait: bool,
    ident: str | None,
    settings: str,
    operator: str | None,
    deadline: int | None,
    output: str,
) -> None:
    """Release to the instances that are named, or to services below.

    \b
    Example: oakkeel rollout start --program /opt/oakkeel-2 --site 'wood*'
             oakkeel rollout start --config /etc/oakkeel/patch.json --all --back
             oakkeel rollout start --version catalogue-9 db1 db2
    """
    asker = with_record(settings, operator, deadline)
    choice = Selection(names, sites, hosts, states)
    if choice.all != everything:
        fail("say which instances: names, --site, --host or --state, or else --all")
    paths = os.path.abspath(program) if program else "", os.path.abspath(patch) if patch else ""
    pace = RolloutPolicy(
        canary, growth, most, not no_control, not no_gates, back, soak, patience, lasts, margin, ceiling
    )

    async def work() -> int:
        things, what = await _what(asker, choice, *paths, label, as_set)
        answer = await ask(
            asker, messages.StartReleaseRequest(ident or secrets.token_hex(4), what, pace, things)
        )
        return await _follow(asker, answer, output == "json", no_wait)

    run(work())


async def _what(
    asker: FleetClient, choice: Selection, program: str, patch: str, label: str, as_set: bool
) -> tuple[list[str], VersionSpec]:
    assert asker.fleet.control_plane is not None
    services = {each.name for each in asker.fleet.control_plane.services}
    if named := [name for name in choice.names if name in services]:
        if len(named) < len(choice.names):
            fail("name either instances or services below")
        if not label or program or patch:
            fail("services below are replaced by hand: say by what with --version")
        return named, VersionSpec(label, services=True)
    if label or (not program and not patch):
        fail("say what is new: --program, --config or both")
    try:
        what = VersionSpec(version_of(program, patch), program, patch, as_set=as_set)
    except ContentError as error:
        fail(str(error))
    _, chosen = await choose(asker, choice)
    return [row.name for row in chosen], what


async def _follow(asker: FleetClient, answer: messages.Response, as_json: bool, no_wait: bool) -> int:
    """Show it until it is over or halted."""
    told = _told(answer)
    if not no_wait:
        with Live(release_table(told), console=out, auto_refresh=False, transient=True) as live:
            while told.state not in ENDS:
                await asyncio.sleep(LOOK_EVERY)
                told = _told(await ask(asker, messages.ReleaseStatusRequest(told.release_id)))
                if out.is_terminal and not as_json:
                    live.update(release_table(told), refresh=True)
    return tell(told, as_json, DONE)


def _told(answer: messages.Response) -> messages.ReleaseStatus:
    if not isinstance(answer, messages.ReleaseStatus):
        fail("an answer to another question", SOME_SILENT)
    return answer


def tell(told: messages.ReleaseStatus, as_json: bool, open_code: int) -> int:
    if as_json:
        print_json(msgspec.to_builtins(told))
    else:
        out.print(release_table(told))
    return ENDS.get(told.state, open_code)


def look(name: str, text: str, follows: bool) -> click.Command:
    @rollout.command(name, epilog=CODES, help=text)
    @click.argument("ident", required=False, default="")
    @fleet_options
    def command(ident: str, settings: str, operator: str | None, deadline: int | None, output: str) -> None:
        asker = with_record(settings, operator, deadline)

        async def work() -> int:
            answer = await ask(asker, messages.ReleaseStatusRequest(ident))
            return await _follow(asker, answer, output == "json", not follows)

        run(work())

    return command


def turn(name: str, text: str) -> click.Command:
    @rollout.command(name, epilog=CODES, help=text)
    @click.argument("ident", required=False, default="")
    @fleet_options
    def command(ident: str, settings: str, operator: str | None, deadline: int | None, output: str) -> None:
        asker = with_record(settings, operator, deadline)

        async def work() -> int:
            which = ident or _told(await ask(asker, messages.ReleaseStatusRequest())).release_id
            told = _told(await ask(asker, messages.ControlReleaseRequest(which, name)))
            tell(told, output == "json", DONE)
            return DONE

        run(work())

    return command


look(
    "status",
    "How far it is, and what it waits for. Without an id the open release, or the last.\n\n\b\n"
    "Example: oakkeel rollout status",
    False,
)
look("watch", "The same until it is over or halted.\n\n\b\nExample: oakkeel rollout watch", True)
turn("pause", "Nothing further leaves until it is told to go on.\n\n\b\nExample: oakkeel rollout pause")
turn(
    "resume",
    "Let it go on where it was paused or halted, in the same direction.\n\n\b\n"
    "Example: oakkeel rollout resume",
)
turn(
    "abort",
    "Halt it: nothing further leaves, and what was changed stays until it is told to go on, back,"
    " or that it is left so.\n\n\b\nExample: oakkeel rollout abort",
)
turn("undo", "Bring back what was there before, by the same safe steps.\n\n\b\nExample: oakkeel rollout undo")
turn(
    "leave",
    "Give a halted release up where it stands: some run the new, some the old.\n\n\b\n"
    "Example: oakkeel rollout leave",
)
