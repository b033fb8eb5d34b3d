"""Exit codes, options, the fleet client and the printing of results, for all commands."""

from __future__ import annotations

import asyncio
import functools
import getpass
import json
import os
import sys
import time
from collections.abc import Callable, Coroutine, Mapping, Sequence
from enum import IntEnum
from typing import NoReturn

import click
from rich.console import Console

from oakkeel.agent import messages
from oakkeel.fleet.agent_clients import AgentClients
from oakkeel.fleet.selection import SELECTABLE_STATES, Selection, SelectionError
from oakkeel.fleet.view import FleetView, InstanceRow
from oakkeel.settings.fleet import parse_duration, read_fleet
from oakkeel.settings.keys import read_operator_key
from oakkeel.settings.types import Fleet, SettingsError


class ExitCode(IntEnum):
    """The exit codes of all commands."""

    DONE = 0
    SOME_FAILED = 1
    USAGE = 2
    SOME_SILENT = 3  # an agent did not answer, or there is no leader
    INTERRUPTED = 130


EXIT_CODES_HELP = "Exit codes: 0 done, 1 some instance failed, 2 usage, 3 some agent did not answer."
DEFAULT_SETTINGS = "deploy/fleet.xml"
POLL_INTERVAL_SECONDS = 0.25  # between requests for the progress of an order or release
stdout_console = Console()
stderr_console = Console(stderr=True)

Command = Callable[..., object]


class Duration(click.ParamType[int]):
    """Converts a duration such as 500ms, 2s, 5m or 1h to nanoseconds."""

    name = "time"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> int:
        """Return the duration in nanoseconds; an invalid text ends the command with a usage error."""
        if isinstance(value, int):
            return value
        try:
            return parse_duration(str(value))
        except ValueError as error:
            self.fail(str(error), param, ctx)


SETTINGS_OPTION = click.option(
    "--settings",
    envvar="OAKKEEL_SETTINGS",
    default=DEFAULT_SETTINGS,
    show_default=True,
    help="Settings file of the fleet (XML). Environment: OAKKEEL_SETTINGS.",
)
ALL_OPTION = click.option("--all", "select_all", is_flag=True, help="Select all instances.")
NO_WAIT_OPTION = click.option(
    "--no-wait",
    is_flag=True,
    help="Return when the order or release is accepted, without waiting for its end.",
)
RUN_TIME_OPTION = click.option(
    "--for", "duration", type=Duration(), metavar="TIME", help="Stop after this time instead of on Ctrl-C."
)


def timeout_option(description: str) -> Callable[[Command], Command]:
    """Return the option for the timeout of an order or of a batch."""
    return click.option(
        "--lasts",
        "timeout",
        type=Duration(),
        default="2m",
        show_default=True,
        metavar="TIME",
        help=description,
    )


def id_option(subject: str) -> Callable[[Command], Command]:
    """Return the option for the ID of an order or release."""
    return click.option(
        "--id",
        "ident",
        metavar="ID",
        help=f"ID of the {subject}, an idempotency key: submitting it again has no further effect.",
    )


def fail(text: str, code: ExitCode = ExitCode.USAGE) -> NoReturn:
    """Print each line of an error, and exit with a code."""
    for line in text.splitlines():
        stderr_console.print(f"oakkeel: {line}", markup=False, highlight=False, soft_wrap=True)
    sys.exit(code)


class FleetClient:
    """Sends the requests of one command to agents, and keeps their reports and the output format."""

    def __init__(self, settings: str, operator: str | None, deadline: int | None, output: str) -> None:
        """Read the settings and the operator's key; errors end the command. `deadline` is in nanoseconds."""
        try:
            self.fleet: Fleet = read_fleet(settings)
            self.key = read_operator_key(self.fleet, operator or getpass.getuser())
        except SettingsError as error:
            fail(str(error))
        self.agents = AgentClients(self.fleet, self.key)
        self.view = FleetView(self.fleet)
        self.deadline = deadline or self.fleet.client.deadline
        self.as_json = output == "json"

    async def refresh(self, hosts: list[str] | None = None) -> list[InstanceRow]:
        """Update the view from the agents of these hosts, or of all; return the rows of the fleet."""
        await self.agents.refresh(self.view, hosts, self.deadline)
        return self.view.rows(time.monotonic_ns())

    async def request_hosts(
        self, request: messages.Request, hosts: Sequence[str] | None = None
    ) -> tuple[dict[str, messages.Response], dict[str, str]]:
        """Send one request to these hosts, or to all; return the responses and the failures, by host."""
        host_names = [host.name for host in self.fleet.hosts] if hosts is None else hosts
        return await self.agents.request_each(dict.fromkeys(host_names, request), self.deadline)

    def select(self, rows: list[InstanceRow], selection: Selection) -> list[InstanceRow]:
        """Return the selected rows; a pattern that matches nothing ends the command."""
        try:
            return selection.filter(rows)
        except SelectionError as error:
            fail(str(error))

    @property
    def exit_code(self) -> ExitCode:
        """Return the exit code of a command that only displays the view."""
        return ExitCode.SOME_SILENT if self.view.silence_reasons else ExitCode.DONE

    def print_notes(self) -> None:
        """Print the notes of the view."""
        for note in self.view.notes():
            stderr_console.print(note, style="yellow", markup=False, highlight=False, soft_wrap=True)


def fleet_options(command: Command) -> Command:
    """Add the options for settings, operator, deadline and output; the command gets a `client`."""

    @functools.wraps(command)
    def wrapper(*arguments: object, open_client: Callable[[], FleetClient], **options: object) -> object:
        return command(*arguments, client=open_client(), **options)

    return lazy_fleet_options(wrapper)


def lazy_fleet_options(command: Command) -> Command:
    """Add the options of `fleet_options`; the command gets `open_client`, which reads the settings."""

    @functools.wraps(command)
    def wrapper(
        *arguments: object,
        settings: str,
        operator: str | None,
        deadline: int | None,
        output: str,
        **options: object,
    ) -> object:
        open_client = functools.partial(FleetClient, settings, operator, deadline, output)
        return command(*arguments, open_client=open_client, **options)

    return _with_options(
        wrapper,
        SETTINGS_OPTION,
        click.option(
            "--as",
            "operator",
            envvar="OAKKEEL_OPERATOR",
            metavar="NAME",
            help="Operator whose key is used; the default is the login name. Environment: OAKKEEL_OPERATOR.",
        ),
        click.option(
            "--deadline",
            type=Duration(),
            metavar="TIME",
            help="Timeout for the agents' responses, such as 500ms or 2s; the default is in the settings.",
        ),
        click.option(
            "--output",
            type=click.Choice(["table", "json"]),
            default="table",
            show_default=True,
            help="Output format.",
        ),
    )


def selection_options(command: Command) -> Command:
    """Add the arguments that select instances; the command gets a `selection`."""

    @functools.wraps(command)
    def wrapper(
        *arguments: object,
        names: tuple[str, ...],
        sites: tuple[str, ...],
        hosts: tuple[str, ...],
        states: tuple[str, ...],
        **options: object,
    ) -> object:
        return command(*arguments, selection=Selection(names, sites, hosts, states), **options)

    return _with_options(
        wrapper,
        click.argument("names", nargs=-1, metavar="[NAME_OR_GLOB]..."),
        click.option(
            "--site", "sites", multiple=True, metavar="GLOB", help="Select instances of these sites."
        ),
        click.option(
            "--host", "hosts", multiple=True, metavar="GLOB", help="Select instances of these hosts."
        ),
        click.option(
            "--state",
            "states",
            multiple=True,
            type=click.Choice(SELECTABLE_STATES),
            help="Select instances in this state; may be repeated.",
        ),
    )


def _with_options(command: Command, *options: Callable[[Command], Command]) -> Command:
    for option in reversed(options):
        command = option(command)
    return command


def run_command(coroutine: Coroutine[object, object, ExitCode]) -> NoReturn:
    """Run the coroutine of a command, and exit with the code that it returns."""
    try:
        sys.exit(asyncio.run(coroutine))
    except KeyboardInterrupt:
        sys.exit(ExitCode.INTERRUPTED)


def print_json(value: object) -> None:
    """Print a JSON document to standard output."""
    sys.stdout.write(json.dumps(value, indent=1, default=str) + "\n")


def print_failures(failures: Mapping[str, str]) -> None:
    """Print the reasons why requests to agents failed, by host."""
    for host, reason in failures.items():
        stderr_console.print(f"agent of {host}: {reason}", style="yellow", markup=False, highlight=False)


def is_interactive() -> bool:
    """Return whether a person can answer a prompt."""
    return sys.stdin.isatty() and sys.stderr.isatty() and not os.environ.get("CI")
