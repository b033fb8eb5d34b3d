"""Commands on releases: start one, show it, halt it, let it go on or roll it back."""

from __future__ import annotations

import asyncio
import os
import secrets
from dataclasses import dataclass
from typing import Any

import click
import msgspec
from rich.live import Live

from oakkeel.agent import messages
from oakkeel.agent.artifacts import version_of
from oakkeel.cli.common import (
    DONE,
    EXIT_CODES_HELP,
    POLL_SECONDS,
    SOME_FAILED,
    SOME_SILENT,
    UNEXPECTED_RESPONSE,
    Duration,
    FleetClient,
    fail,
    fleet_options,
    print_json,
    run_command,
    selection_options,
    stdout_console,
)
from oakkeel.cli.control_plane import request_leader, require_control_plane
from oakkeel.cli.selection import require_selection, select_rows, selected_services
from oakkeel.fleet.selection import Selection
from oakkeel.rendering.rollout import release_table
from oakkeel.rollout.commands import RolloutPolicy, VersionSpec
from oakkeel.store.content_store import ContentError

EXIT_CODE_BY_STATE = {"done": DONE, "undone": SOME_FAILED, "halted": SOME_FAILED, "left": SOME_FAILED}


@dataclass(slots=True, frozen=True)
class NewVersion:
    """What a release brings, as the options name it."""

    program: str | None
    patch: str | None
    label: str
    as_set: bool


@click.group(epilog=EXIT_CODES_HELP)
def rollout() -> None:
    """Bring a new program or configuration to many instances, step by step.

    It goes on by itself while what is new does as well as what is old, and halts where it does not.

    \b
    Example: oakkeel rollout start --program /opt/oakkeel-2 --all
             oakkeel rollout watch
             oakkeel rollout undo
    """


@rollout.command(epilog=EXIT_CODES_HELP)
@selection_options
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
def start(selection: Selection, client: FleetClient, everything: bool, **options: Any) -> None:
    """Release to the instances that are named, or to services below.

    \b
    Example: oakkeel rollout start --program /opt/oakkeel-2 --site 'wood*'
             oakkeel rollout start --config /etc/oakkeel/patch.json --all --back
             oakkeel rollout start --version catalogue-9 db1 db2
    """
    require_control_plane(client)
    require_selection(selection, everything)
    version = NewVersion(options["program"], options["patch"], options["label"], options["as_set"])
    policy = _rollout_policy(options)
    ident = options["ident"] or secrets.token_hex(4)
    run_command(_start_release(client, selection, version, policy, ident, not options["no_wait"]))


def _rollout_policy(options: dict[str, Any]) -> RolloutPolicy:
    return RolloutPolicy(
        options["canary"],
        options["growth"],
        options["most"],
        not options["no_control"],
        not options["no_gates"],
        options["back"],
        options["soak"],
        options["patience"],
        options["lasts"],
        options["margin"],
        options["ceiling"],
    )


async def _start_release(
    client: FleetClient,
    selection: Selection,
    new: NewVersion,
    policy: RolloutPolicy,
    ident: str,
    wait: bool,
) -> int:
    targets, version = await _version_and_targets(client, selection, new)
    request = messages.StartReleaseRequest(ident, version, policy, targets)
    return await _follow_release(client, await request_leader(client, request), wait)


async def _version_and_targets(
    client: FleetClient, selection: Selection, new: NewVersion
) -> tuple[list[str], VersionSpec]:
    if services := selected_services(client, selection):
        if not new.label or new.program or new.patch:
            fail("services below are replaced by hand: say by what with --version")
        return services, VersionSpec(new.label, services=True)
    if new.label or (not new.program and not new.patch):
        fail("say what is new: --program, --config or both")
    program = os.path.abspath(new.program) if new.program else ""
    patch = os.path.abspath(new.patch) if new.patch else ""
    try:
        version = VersionSpec(version_of(program, patch), program, patch, from_settings=new.as_set)
    except ContentError as error:
        fail(str(error))
    _, chosen = await select_rows(client, selection)
    return [row.name for row in chosen], version


async def _follow_release(client: FleetClient, response: messages.Response, wait: bool) -> int:
    """Show a release until it has ended or is halted."""
    status = _expect_release(response)
    if wait:
        with Live(release_table(status), console=stdout_console, auto_refresh=False, transient=True) as live:
            while status.state not in EXIT_CODE_BY_STATE:
                await asyncio.sleep(POLL_SECONDS)
                status = await _release_status(client, status.release_id)
                if stdout_console.is_terminal and not client.as_json:
                    live.update(release_table(status), refresh=True)
    _print_release(client, status)
    return EXIT_CODE_BY_STATE.get(status.state, DONE)


async def _release_status(client: FleetClient, ident: str = "") -> messages.ReleaseStatus:
    return _expect_release(await request_leader(client, messages.ReleaseStatusRequest(ident)))


def _expect_release(response: messages.Response) -> messages.ReleaseStatus:
    if not isinstance(response, messages.ReleaseStatus):
        fail(UNEXPECTED_RESPONSE, SOME_SILENT)
    return response


def _print_release(client: FleetClient, status: messages.ReleaseStatus) -> None:
    if client.as_json:
        print_json(msgspec.to_builtins(status))
    else:
        stdout_console.print(release_table(status))


def _status_command(name: str, text: str, wait: bool) -> click.Command:
    """Add a command that shows a release, at once or until it has ended."""

    @rollout.command(name, epilog=EXIT_CODES_HELP, help=text)
    @click.argument("ident", required=False, default="")
    @fleet_options
    def command(ident: str, client: FleetClient) -> None:
        require_control_plane(client)

        async def show() -> int:
            return await _follow_release(client, await _release_status(client, ident), wait)

        run_command(show())

    return command


def _control_command(name: str, text: str) -> click.Command:
    """Add a command that tells a release to pause, resume, abort, undo or leave."""

    @rollout.command(name, epilog=EXIT_CODES_HELP, help=text)
    @click.argument("ident", required=False, default="")
    @fleet_options
    def command(ident: str, client: FleetClient) -> None:
        require_control_plane(client)

        async def control() -> int:
            target = ident or (await _release_status(client)).release_id
            response = await request_leader(client, messages.ControlReleaseRequest(target, name))
            _print_release(client, _expect_release(response))
            return DONE

        run_command(control())

    return command


_status_command(
    "status",
    "How far it is, and what it waits for. Without an id the open release, or the last.\n\n\b\n"
    "Example: oakkeel rollout status",
    False,
)
_status_command("watch", "The same until it is over or halted.\n\n\b\nExample: oakkeel rollout watch", True)
_control_command(
    "pause", "Nothing further leaves until it is told to go on.\n\n\b\nExample: oakkeel rollout pause"
)
_control_command(
    "resume",
    "Let it go on where it was paused or halted, in the same direction.\n\n\b\n"
    "Example: oakkeel rollout resume",
)
_control_command(
    "abort",
    "Halt it: nothing further leaves, and what was changed stays until it is told to go on, back,"
    " or that it is left so.\n\n\b\nExample: oakkeel rollout abort",
)
_control_command(
    "undo", "Bring back what was there before, by the same safe steps.\n\n\b\nExample: oakkeel rollout undo"
)
_control_command(
    "leave",
    "Give a halted release up where it stands: some run the new, some the old.\n\n\b\n"
    "Example: oakkeel rollout leave",
)
