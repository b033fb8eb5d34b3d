"""`python -m oakkeel.agent SETTINGS HOST`: one agent, until SIGTERM. `oakkeel agent` calls the same."""

from __future__ import annotations

import asyncio
import fcntl
import os
import signal
import sys
from collections.abc import Callable

from oakkeel.agent.agent import LOG_LINES, Agent, new_seed
from oakkeel.agent.supervision_rules import timeouts_from_settings
from oakkeel.log import EventLog
from oakkeel.settings.fleet import read_fleet
from oakkeel.settings.keys import read_agent_keys, read_keys
from oakkeel.settings.types import HostSettings, SettingsError

SOCKET_PATH = 107  # bytes that the path of a Unix socket may have


def serve(settings: str, name: str, form: str = "console", make: Callable[..., Agent] = Agent) -> int:
    """Run the agent of a host, which `make` makes; 2 and a line for each fault where it can't start."""
    try:
        fleet = read_fleet(settings)
        host = fleet.host(name)
        keys, agent_keys = read_keys(fleet), read_agent_keys(fleet)
        keys |= {key.ident: key for key in agent_keys.values()}
        _lock_state_folder(settings, host)
        log = EventLog(f"agent {name}" if form == "console" else name, LOG_LINES, form)

        async def run() -> None:
            agent = make(
                host,
                timeouts_from_settings(fleet.supervision),
                keys,
                log,
                new_seed(),
                fair_sharing=fleet.fairness,
                fleet=fleet,
                agent_keys=agent_keys,
            )
            asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, _take_settings, agent, settings)
            await agent.run()

        asyncio.run(run())
    except (SettingsError, OSError) as error:
        print("\n".join(f"oakkeel: {line}" for line in str(error).splitlines()), file=sys.stderr)
        return 2
    return 0


def _lock_state_folder(settings: str, host: HostSettings) -> None:
    """Make the state folder and lock it until this process ends. Raises SettingsError or OSError."""
    longest = max(len(os.path.join(host.state, f"{each.name}.sock").encode()) for each in host.instances)
    if longest > SOCKET_PATH:
        raise SettingsError(
            f"{settings}: the state folder of {host.name} is {longest - SOCKET_PATH} bytes too long"
        )
    os.makedirs(host.state, mode=0o700, exist_ok=True)
    lock = os.open(os.path.join(host.state, "agent.lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        raise SettingsError(
            f"another agent looks after {host.name} already: process {os.read(lock, 20).decode().strip()}"
        ) from None
    os.ftruncate(lock, 0)
    os.write(lock, f"{os.getpid()}\n".encode())


def _take_settings(agent: Agent, settings: str) -> None:
    """Keys change while the agent serves: the old and the new one are good until the old is taken out."""
    try:
        fleet = read_fleet(settings)
        agents = {key.ident: key for key in read_agent_keys(fleet).values()}
        agent.apply_settings(fleet, read_keys(fleet) | agents)
    except SettingsError as error:
        agent.log.error("settings_rejected", error=str(error))


if __name__ == "__main__":
    if len(sys.argv) != 3:
        print("usage: python -m oakkeel.agent SETTINGS HOST", file=sys.stderr)
        sys.exit(2)
    sys.exit(serve(sys.argv[1], sys.argv[2]))
