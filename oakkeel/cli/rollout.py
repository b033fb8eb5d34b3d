"""Commands that start, show, pause, halt, resume, roll back and abandon releases."""

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
    ALL_OPTION,
    EXIT_CODES_HELP,
    NO_WAIT_OPTION,
    POLL_INTERVAL_SECONDS,
    Duration,
    ExitCode,
    FleetClient,
    fail,
    fleet_options,
    id_option,
    print_json,
    run_command,
    selection_options,
    stdout_console,
    timeout_option,
)
from oakkeel.cli.control_plane import request_leader, require_control_plane
from oakkeel.cli.selection import require_selection, select_rows, selected_services
from oakkeel.fleet.agent_clients import UNEXPECTED_RESPONSE
from oakkeel.fleet.selection import Selection
from oakkeel.rendering.rollout import release_table
from oakkeel.rollout.commands import RolloutPolicy, VersionSpec
from oakkeel.store.content_store import ContentError

RELEASE_ID_BYTES = 4
EXIT_CODE_BY_STATE = {  # states in which a command stops following a release
    "done": ExitCode.DONE,
    "undone": ExitCode.SOME_FAILED,
    "halted": ExitCode.SOME_FAILED,
    "left": ExitCode.SOME_FAILED,
}


@dataclass(slots=True, frozen=True)
class NewVersion:
    """The new version of a release, as the options of `rollout start` name it."""

    program: str | None  # path of a folder
    patch: str | None  # path of a file
    label: str  # version of downstream services
    from_settings: bool  # whether a released program or patch that is not named is returned to the settings


@dataclass(slots=True, frozen=True)
class StartOptions:
    """The options of `rollout start`. Times are in nanoseconds."""

    select_all: bool
    program: str | None
    patch: str | None
    label: str
    canary: int
    growth: float
    max_batch: int
    soak: int
    verdict_timeout: int
    timeout: int
    margin: float
    max_load: float
    from_settings: bool
    no_gates: bool
    no_control: bool
    auto_roll_back: bool
    no_wait: bool
    ident: str | None

    @property
    def version(self) -> NewVersion:
        """Return the version to release."""
        return NewVersion(self.program, self.patch, self.label, self.from_settings)

    @property
    def policy(self) -> RolloutPolicy:
        """Return the policy of the release."""
        return RolloutPolicy(
            canary=self.canary,
            growth=self.growth,
            max_batch=self.max_batch,
            control=not self.no_control,
            gated=not self.no_gates,
            auto_roll_back=self.auto_roll_back,
            soak=self.soak,
            verdict_timeout=self.verdict_timeout,
            batch_timeout=self.timeout,
            margin=self.margin,
            max_load=self.max_load,
        )


@click.group(epilog=EXIT_CODES_HELP)
def rollout() -> None:
    """Release a new program or configuration in batches.

    A release continues while its gates find the new version as good as the old, and halts if it is worse.

    \b
    Example: oakkeel rollout start --program /opt/oakkeel-2 --all
             oakkeel rollout watch
             oakkeel rollout undo
    """


@rollout.command(epilog=EXIT_CODES_HELP)
@selection_options
@ALL_OPTION
@click.option(
    "--program",
    type=click.Path(exists=True, file_okay=False),
    help="Folder of the program, at the same path on every host.",
)
@click.option(
    "--config",
    "patch",
    type=click.Path(exists=True, dir_okay=False),
    help="JSON merge patch for the configurations, at the same path on every host.",
)
@click.option("--version", "label", default="", help="Downstream services: their new version.")
@click.option(
    "--canary", type=click.IntRange(1, 100), default=1, show_default=True, help="Size of the first batch."
)
@click.option(
    "--growth",
    type=click.FloatRange(1.1, 100),
    default=2.0,
    show_default=True,
    help="Factor by which the number of updated targets grows with each batch.",
)
@click.option(
    "--most",
    "max_batch",
    type=click.IntRange(0, 1000),
    default=0,
    help="Maximum size of a batch; 0: as the disruption budgets allow.",
)
@click.option(
    "--soak",
    type=Duration(),
    default="60s",
    show_default=True,
    metavar="TIME",
    help="Minimum time between batches, for the gates to compare.",
)
@click.option(
    "--patience",
    "verdict_timeout",
    type=Duration(),
    default="10m",
    show_default=True,
    metavar="TIME",
    help="Halt after this time without a verdict of the gates.",
)
@timeout_option("Timeout of one batch.")
@click.option(
    "--margin",
    type=click.FloatRange(0.001, 0.5),
    default=0.02,
    show_default=True,
    help="The gates pass a batch when they rule out a loss of this ratio of the benefit (priority weight).",
)
@click.option(
    "--ceiling",
    "max_load",
    type=click.FloatRange(0.1, 1.0),
    default=0.85,
    show_default=True,
    help="Maximum load of the targets that keep serving at a site.",
)
@click.option(
    "--as-set",
    "from_settings",
    is_flag=True,
    help="Return a program or configuration that is not named to that of the settings. Without this option, a"
    " release that leaves out one that an earlier release brought is refused.",
)
@click.option(
    "--no-gates", is_flag=True, help="Do not compare the versions; failed targets still halt the release."
)
@click.option(
    "--no-control",
    is_flag=True,
    help="Do not restart old instances together with the canaries for the comparison.",
)
@click.option(
    "--back", "auto_roll_back", is_flag=True, help="Roll back automatically when the gates halt the release."
)
@NO_WAIT_OPTION
@id_option("release")
@fleet_options
def start(selection: Selection, client: FleetClient, **values: Any) -> None:
    """Start a release to the selected instances or downstream services.

    \b
    Example: oakkeel rollout start --program /opt/oakkeel-2 --site 'wood*'
             oakkeel rollout start --config /etc/oakkeel/patch.json --all --back
             oakkeel rollout start --version catalogue-9 db1 db2
    """
    require_control_plane(client)
    options = StartOptions(**values)
    require_selection(selection, options.select_all)
    run_command(_start_release(client, selection, options))


async def _start_release(client: FleetClient, selection: Selection, options: StartOptions) -> ExitCode:
    ident = options.ident or secrets.token_hex(RELEASE_ID_BYTES)
    targets, version = await _version_and_targets(client, selection, options.version)
    request = messages.StartReleaseRequest(ident, version, options.policy, targets)
    return await _follow_release(client, await request_leader(client, request), not options.no_wait)


async def _version_and_targets(
    client: FleetClient, selection: Selection, new_version: NewVersion
) -> tuple[list[str], VersionSpec]:
    """Return the names of the targets, and the version to assign to them."""
    if services := selected_services(client, selection):
        if not new_version.label or new_version.program or new_version.patch:
            fail("downstream services are replaced by hand: name their --version, no --program or --config")
        return services, VersionSpec(new_version.label, services=True)
    if new_version.label or (not new_version.program and not new_version.patch):
        fail("name the new version of instances: --program, --config or both")
    program = os.path.abspath(new_version.program) if new_version.program else ""
    patch = os.path.abspath(new_version.patch) if new_version.patch else ""
    try:
        version = VersionSpec(
            version_of(program, patch), program, patch, from_settings=new_version.from_settings
        )
    except ContentError as error:
        fail(str(error))
    _, selected_rows = await select_rows(client, selection)
    return [row.name for row in selected_rows], version


async def _follow_release(client: FleetClient, response: messages.Response, wait: bool) -> ExitCode:
    """Show a release, and with `wait` follow it until it ends or halts."""
    status = _expect_release(response)
    if wait:
        with Live(release_table(status), console=stdout_console, auto_refresh=False, transient=True) as live:
            while status.state not in EXIT_CODE_BY_STATE:
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
                status = await _release_status(client, status.release_id)
                if stdout_console.is_terminal and not client.as_json:
                    live.update(release_table(status), refresh=True)
    _print_release(client, status)
    return EXIT_CODE_BY_STATE.get(status.state, ExitCode.DONE)


async def _release_status(client: FleetClient, ident: str = "") -> messages.ReleaseStatus:
    return _expect_release(await request_leader(client, messages.ReleaseStatusRequest(ident)))


def _expect_release(response: messages.Response) -> messages.ReleaseStatus:
    if not isinstance(response, messages.ReleaseStatus):
        fail(UNEXPECTED_RESPONSE, ExitCode.SOME_SILENT)
    return response


def _print_release(client: FleetClient, status: messages.ReleaseStatus) -> None:
    if client.as_json:
        print_json(msgspec.to_builtins(status))
    else:
        stdout_console.print(release_table(status))


def _help_text(name: str, text: str) -> str:
    return f"{text}\n\n\b\nExample: oakkeel rollout {name}"


def _add_status_command(name: str, text: str, wait: bool) -> click.Command:
    """Add a command that shows a release, and with `wait` follows it."""

    @rollout.command(name, epilog=EXIT_CODES_HELP, help=_help_text(name, text))
    @click.argument("ident", required=False, default="")
    @fleet_options
    def command(ident: str, client: FleetClient) -> None:
        require_control_plane(client)

        async def show() -> ExitCode:
            return await _follow_release(client, await _release_status(client, ident), wait)

        run_command(show())

    return command


def _add_control_command(name: str, text: str) -> click.Command:
    """Add a command that controls a release: pause, resume, abort, undo or leave."""

    @rollout.command(name, epilog=EXIT_CODES_HELP, help=_help_text(name, text))
    @click.argument("ident", required=False, default="")
    @fleet_options
    def command(ident: str, client: FleetClient) -> None:
        require_control_plane(client)

        async def control() -> ExitCode:
            release_id = ident or (await _release_status(client)).release_id
            response = await request_leader(client, messages.ControlReleaseRequest(release_id, name))
            _print_release(client, _expect_release(response))
            return ExitCode.DONE

        run_command(control())

    return command


_add_status_command(
    "status",
    "Show the progress of a release, and the reason why it waits. Without an ID: the open or last release.",
    wait=False,
)
_add_status_command("watch", "Follow a release until it ends or halts.", wait=True)
_add_control_command("pause", "Pause a release: no further batch starts until it is resumed.")
_add_control_command("resume", "Resume a paused or halted release, in the same direction.")
_add_control_command(
    "abort",
    "Halt a release until resume, undo or leave: no further batch starts, and updated targets stay updated.",
)
_add_control_command("undo", "Roll back a release to the versions before it, in batches.")
_add_control_command("leave", "Abandon a halted release: some targets keep the new version, some the old.")
