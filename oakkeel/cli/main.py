"""The `oakkeel` command, which groups all other commands."""

from __future__ import annotations

import os
import sys

import click

from oakkeel.cli.common import (
    DEFAULT_SETTINGS,
    EXIT_CODES_HELP,
    RUN_TIME_OPTION,
    SETTINGS_OPTION,
    fail,
    stdout_console,
)
from oakkeel.cli.control_plane import permits, replicas
from oakkeel.cli.inspect import ls, orders, show, watch
from oakkeel.cli.operate import COMMANDS
from oakkeel.cli.rollout import rollout
from oakkeel.cli.settings_check import check_drain_timeout
from oakkeel.settings.fleet import read_fleet
from oakkeel.settings.keys import read_agent_keys, read_keys, write_key
from oakkeel.settings.types import Fleet, SettingsError


@click.group(epilog=EXIT_CODES_HELP, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="oakkeel")
def main() -> None:
    """Manage the instances of a fleet.

    \b
    A first look:       oakkeel demo --for 10s
    Completion (bash):  eval "$(_OAKKEEL_COMPLETE=bash_source oakkeel)"
    """


@main.command()
@SETTINGS_OPTION
@click.option(
    "--log",
    type=click.Choice(["console", "json"]),
    default="console",
    show_default=True,
    help="Log format.",
)
@click.argument("host")
def agent(settings: str, log: str, host: str) -> None:
    """Run the agent of a host: it starts and supervises the instances there.

    SIGTERM ends the agent and leaves the instances running; SIGHUP reloads keys and client weights.

    \b
    Example: oakkeel agent --settings deploy/fleet.xml wb1
    """
    from oakkeel.agent.__main__ import serve

    sys.exit(serve(settings, host, log))


@main.command()
@click.option(
    "--settings",
    envvar="OAKKEEL_SETTINGS",
    help="With NAME: settings file of the fleet (XML). Environment: OAKKEEL_SETTINGS.",
)
@click.argument("name", required=False)
def node(settings: str | None, name: str | None) -> None:
    """Run one node, configured by PROXY_CONFIG, or as the instance NAME of the settings.

    With NAME, the node opens its control socket in the state folder of its host, as it does under an agent.

    \b
    Example: PROXY_CONFIG=config.json oakkeel node
             oakkeel node --settings deploy/fleet.xml n3
    """
    variables = dict(os.environ)
    if name is not None:
        variables |= _instance_environment(settings or DEFAULT_SETTINGS, name)
    # The node replaces this process, so that the modules of the command line take none of its memory.
    os.execve(sys.executable, [sys.executable, "-m", "oakkeel"], variables)


def _instance_environment(settings: str, name: str) -> dict[str, str]:
    """Return the environment variables of an instance, as its agent would set them."""
    try:
        fleet = read_fleet(settings)
    except SettingsError as error:
        fail(str(error))
    matches = [
        (host, instance) for host in fleet.hosts for instance in host.instances if instance.name == name
    ]
    if not matches:
        fail(f"{fleet.path}: no instance {name!r}")
    host, instance = matches[0]
    os.makedirs(host.state_folder, mode=0o700, exist_ok=True)
    variables = {
        "PROXY_CONFIG": instance.config_path,
        "PROXY_NAME": instance.name,
        "OAKKEEL_LOG": instance.log_format,
        "OAKKEEL_CONTROL": os.path.join(host.state_folder, f"{name}.sock"),
    }
    if instance.listen:
        variables["PROXY_LISTEN"] = instance.listen
    return variables


@main.group("settings")
def settings_group() -> None:
    """Check settings files, and create keys."""


@settings_group.command("check")
@click.argument("file", default=DEFAULT_SETTINGS)
@click.option("--keys", is_flag=True, help="Read the key files too, as an agent does.")
def check(file: str, keys: bool) -> None:
    """Check a settings file. Print a summary, or one line for each error with exit code 2.

    \b
    Example: oakkeel settings check deploy/fleet.xml
    """
    try:
        fleet = read_fleet(file)
        if keys:
            read_keys(fleet)
            read_agent_keys(fleet)
        check_drain_timeout(fleet)
    except SettingsError as error:
        fail(str(error))
    _print_settings(file, fleet)


def _print_settings(file: str, fleet: Fleet) -> None:
    stdout_console.print(
        f"{file}: fleet {fleet.name}, {len(fleet.operators)} operators,"
        f" {sum(len(host.instances) for host in fleet.hosts)} instances",
        highlight=False,
    )
    for host in fleet.hosts:
        stdout_console.print(
            f"  {host.site}/{host.name} at {host.agent_address[0]}:{host.agent_address[1]}:"
            f" {len(host.instances)} instances"
            + ("" if fleet.control_plane else f", at most {host.max_unavailable} unavailable at once"),
            highlight=False,
        )
    if control_plane := fleet.control_plane:
        hosts = ", ".join(control_plane.initial_voters)
        limit = control_plane.max_unavailable
        stdout_console.print(
            f"  initial replicas (keepers): {hosts};"
            f" at most {limit} unavailable at once, and by site {fleet.max_unavailable_by_site}",
            highlight=False,
        )


@settings_group.command("key")
@click.argument("file")
def key(file: str) -> None:
    """Create a key file with mode 600; an existing file is not changed.

    \b
    Example: oakkeel settings key keys/asha-2.key
    """
    import secrets

    try:
        write_key(file, secrets.token_bytes(32))
    except OSError as error:
        fail(f"{file}: {error.strerror}")


@main.command()
@RUN_TIME_OPTION
@click.option(
    "--rate", type=click.FloatRange(1, 2000), default=60.0, show_default=True, help="Requests per second."
)
def demo(duration: int | None, rate: float) -> None:
    """Run a small fleet on loopback: an agent, three nodes, and fakes of all their peers.

    \b
    Example: oakkeel demo --for 10s
    """
    from oakkeel.demo.show import run_demo

    sys.exit(run_demo(duration or 0, rate))


ALL_COMMANDS: tuple[click.Command, ...] = (ls, show, watch, orders, *COMMANDS, replicas, permits, rollout)
for command in ALL_COMMANDS:
    main.add_command(command)
