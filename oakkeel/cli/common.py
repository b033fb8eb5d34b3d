"""What the commands share: options, exit codes, and how results are printed."""

from __future__ import annotations

import asyncio
import getpass
import json
import os
import sys
import time
from collections.abc import Callable, Coroutine
from typing import Any, NoReturn

import click
from rich.console import Console

from oakkeel.fleet.agent_clients import AgentClients
from oakkeel.fleet.selection import STATES, Selection, SelectionError
from oakkeel.fleet.view import FleetView, Row
from oakkeel.settings.fleet import parse_duration, read_fleet
from oakkeel.settings.keys import read_operator_key
from oakkeel.settings.types import Fleet, SettingsError

DONE, SOME_FAILED, USAGE, SOME_SILENT = range(4)
CODES = "Exit codes: 0 done, 1 some instance failed, 2 usage, 3 some agent did not answer."
SETTINGS = "deploy/fleet.xml"
out, err = Console(), Console(stderr=True)


class Duration(click.ParamType):
    name = "time"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> int:
        if isinstance(value, int):
            return value
        try:
            return parse_duration(value)
        except ValueError as error:
            self.fail(str(error), param, ctx)


def fail(text: str, code: int = USAGE) -> NoReturn:
    for line in text.splitlines():
        err.print(f"oakkeel: {line}", markup=False, highlight=False, soft_wrap=True)
    sys.exit(code)


def fleet_options(command: Callable) -> Callable:
    """Where the settings are and who asks."""
    for option in reversed(
        (
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
            click.option(
                "--output", type=click.Choice(["table", "json"]), default="table", show_default=True
            ),
        )
    ):
        command = option(command)
    return command


def choice_options(command: Callable) -> Callable:
    """Which instances are meant."""
    for option in reversed(
        (
            click.argument("names", nargs=-1, metavar="[NAME_OR_GLOB]..."),
            click.option("--site", "sites", multiple=True, metavar="GLOB", help="Instances of this site."),
            click.option("--host", "hosts", multiple=True, metavar="GLOB", help="Instances of this host."),
            click.option(
                "--state", "states", multiple=True, type=click.Choice(STATES), help="Instances in this state."
            ),
        )
    ):
        command = option(command)
    return command


class FleetClient:
    """One command's fleet, key and view."""

    def __init__(self, settings: str, operator: str | None, deadline: int | None) -> None:
        try:
            self.fleet: Fleet = read_fleet(settings)
            self.key = read_operator_key(self.fleet, operator or getpass.getuser())
        except SettingsError as error:
            fail(str(error))
        self.agents, self.view = AgentClients(self.fleet, self.key), FleetView(self.fleet)
        self.deadline = deadline or self.fleet.client.deadline

    async def look(self, hosts: list[str] | None = None) -> list[Row]:
        await self.agents.look(self.view, hosts, self.deadline)
        return self.view.rows(time.monotonic_ns())

    def chosen(self, rows: list[Row], choice: Selection) -> list[Row]:
        try:
            return choice.among(rows)
        except SelectionError as error:
            fail(str(error))

    @property
    def code(self) -> int:
        return SOME_SILENT if self.view.silent else DONE

    def print_notes(self) -> None:
        for note in self.view.notes():
            err.print(note, style="yellow", markup=False, highlight=False, soft_wrap=True)


def run(work: Coroutine[Any, Any, int]) -> NoReturn:
    try:
        sys.exit(asyncio.run(work))
    except KeyboardInterrupt:
        sys.exit(130)


def print_json(value: object) -> None:
    sys.stdout.write(json.dumps(value, indent=1, default=str) + "\n")


def interactive() -> bool:
    return sys.stdin.isatty() and sys.stderr.isatty() and not os.environ.get("CI")
