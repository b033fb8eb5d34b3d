"""What the commands share: exit codes, options, the client of a fleet, and how results are printed."""

from __future__ import annotations

import asyncio
import functools
import getpass
import json
import os
import sys
import time
from collections.abc import Callable, Coroutine, Mapping, Sequence
from typing import Any, NoReturn

import click
from rich.console import Console

from oakkeel.agent import messages
from oakkeel.fleet.agent_clients import AgentClients
from oakkeel.fleet.selection import STATES, Selection, SelectionError
from oakkeel.fleet.view import FleetView, Row
from oakkeel.settings.fleet import parse_duration, read_fleet
from oakkeel.settings.keys import read_operator_key
from oakkeel.settings.types import Fleet, SettingsError

DONE, SOME_FAILED, USAGE, SOME_SILENT = range(4)
INTERRUPTED = 130
EXIT_CODES_HELP = "Exit codes: 0 done, 1 some instance failed, 2 usage, 3 some agent did not answer."
SETTINGS = "deploy/fleet.xml"
UNEXPECTED_RESPONSE = "an answer to another question"
POLL_SECONDS = 0.25  # between requests for something that is under way
stdout_console, stderr_console = Console(), Console(stderr=True)

Command = Callable[..., Any]


class Duration(click.ParamType[int]):
    """A time such as 500ms, 2s, 5m or 1h, as nanoseconds."""

    name = "time"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> int:
        """Return nanoseconds; what can't be read ends the command as wrong usage."""
        if isinstance(value, int):
            return value
        try:
            return parse_duration(value)
        except ValueError as error:
            self.fail(str(error), param, ctx)


def fail(text: str, code: int = USAGE) -> NoReturn:
    """Print an error, a line each, and end the command with an exit code."""
    for line in text.splitlines():
        stderr_console.print(f"oakkeel: {line}", markup=False, highlight=False, soft_wrap=True)
    sys.exit(code)


class FleetClient:
    """The fleet, key and view of one command, and how it prints its result."""

    def __init__(self, settings: str, operator: str | None, deadline: int | None, output: str) -> None:
        """Read the settings and the operator's key; faults end the command. `deadline` in nanoseconds."""
        try:
            self.fleet: Fleet = read_fleet(settings)
            self.key = read_operator_key(self.fleet, operator or getpass.getuser())
        except SettingsError as error:
            fail(str(error))
        self.agents = AgentClients(self.fleet, self.key)
        self.view = FleetView(self.fleet)
        self.deadline = deadline or self.fleet.client.deadline
        self.as_json = output == "json"

    async def refresh(self, hosts: list[str] | None = None) -> list[Row]:
        """Ask the agents of these hosts, or of all, and return the rows of the fleet."""
        await self.agents.refresh(self.view, hosts, self.deadline)
        return self.view.rows(time.monotonic_ns())

    async def request_hosts(
        self, request: messages.Request, hosts: Sequence[str] | None = None
    ) -> tuple[dict[str, messages.Response], dict[str, str]]:
        """Send one request to these hosts, or to all; return the responses, and why others gave none."""
        names = [host.name for host in self.fleet.hosts] if hosts is None else hosts
        return await self.agents.request_each(dict.fromkeys(names, request), self.deadline)

    def select(self, rows: list[Row], selection: Selection) -> list[Row]:
        """Return the selected rows; a pattern that matches nothing ends the command."""
        try:
            return selection.among(rows)
        except SelectionError as error:
            fail(str(error))

    @property
    def exit_code(self) -> int:
        """The exit code of a command that only shows the view."""
        return SOME_SILENT if self.view.silent else DONE

    def print_notes(self) -> None:
        """Print what an operator should know beside the rows."""
        for note in self.view.notes():
            stderr_console.print(note, style="yellow", markup=False, highlight=False, soft_wrap=True)


def fleet_options(command: Command) -> Command:
    """Add the options that name the settings, the operator and the output; the command gets a `client`."""

    @functools.wraps(command)
    def wrapper(*arguments: Any, open_client: Callable[[], FleetClient], **options: Any) -> Any:
        return command(*arguments, client=open_client(), **options)

    return lazy_fleet_options(wrapper)


def lazy_fleet_options(command: Command) -> Command:
    """Add the same options; the command gets `open_client`, which reads the settings when it is called."""

    @functools.wraps(command)
    def wrapper(
        *arguments: Any,
        settings: str,
        operator: str | None,
        deadline: int | None,
        output: str,
        **options: Any,
    ) -> Any:
        open_client = functools.partial(FleetClient, settings, operator, deadline, output)
        return command(*arguments, open_client=open_client, **options)

    return _with_options(
        wrapper,
        click.option(
            "--settings",
            envvar="OAKKEEL_SETTINGS",
            default=SETTINGS,
            show_default=True,
            help="The operators' XML; also OAKKEEL_SETTINGS.",
        ),
        click.option(
            "--as",
            "operator",
            envvar="OAKKEEL_OPERATOR",
            metavar="NAME",
            help="The operator whose key is used; also OAKKEEL_OPERATOR. Else your login name.",
        ),
        click.option(
            "--deadline",
            type=Duration(),
            metavar="TIME",
            help="For agents to answer, such as 500ms or 2s. Else as the settings say.",
        ),
        click.option("--output", type=click.Choice(["table", "json"]), default="table", show_default=True),
    )


def selection_options(command: Command) -> Command:
    """Add the arguments that choose instances; the command gets a `selection`."""

    @functools.wraps(command)
    def wrapper(
        *arguments: Any,
        names: tuple[str, ...],
        sites: tuple[str, ...],
        hosts: tuple[str, ...],
        states: tuple[str, ...],
        **options: Any,
    ) -> Any:
        return command(*arguments, selection=Selection(names, sites, hosts, states), **options)

    return _with_options(
        wrapper,
        click.argument("names", nargs=-1, metavar="[NAME_OR_GLOB]..."),
        click.option("--site", "sites", multiple=True, metavar="GLOB", help="Instances of this site."),
        click.option("--host", "hosts", multiple=True, metavar="GLOB", help="Instances of this host."),
        click.option(
            "--state",
            "states",
            multiple=True,
            type=click.Choice(STATES),
            help="Instances in this state.",
        ),
    )


def _with_options(command: Command, *options: Callable[[Command], Command]) -> Command:
    for option in reversed(options):
        command = option(command)
    return command


def run_command(work: Coroutine[Any, Any, int]) -> NoReturn:
    """Run a command's work to its end and exit with the code that it returns."""
    try:
        sys.exit(asyncio.run(work))
    except KeyboardInterrupt:
        sys.exit(INTERRUPTED)


def print_json(value: object) -> None:
    """Print a JSON document to standard output."""
    sys.stdout.write(json.dumps(value, indent=1, default=str) + "\n")


def print_silent(silent: Mapping[str, str]) -> None:
    """Print why the agents of these hosts gave no response."""
    for host, reason in silent.items():
        stderr_console.print(f"agent of {host}: {reason}", style="yellow", markup=False, highlight=False)


def interactive() -> bool:
    """Whether there is somebody to ask."""
    return sys.stdin.isatty() and sys.stderr.isatty() and not os.environ.get("CI")
