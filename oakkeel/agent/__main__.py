"""`python -m oakkeel.agent SETTINGS HOST`: runs an agent until SIGTERM, as `oakkeel agent` does."""

from __future__ import annotations

import asyncio
import fcntl
import os
import signal
import sys
from collections.abc import Callable

from oakkeel.agent.agent import MAX_LOG_LINES_PER_SECOND, STATE_FOLDER_MODE, Agent, new_seed
from oakkeel.agent.configuration import AgentKeys, AgentSettings
from oakkeel.log import EventLog
from oakkeel.settings.fleet import read_fleet
from oakkeel.settings.keys import read_agent_keys, read_keys
from oakkeel.settings.types import Fleet, HostSettings, SettingsError

MAX_SOCKET_PATH_BYTES = 107  # limit of the operating system for the path of a Unix socket
LOCK_FILE_MODE = 0o600
MAX_PID_BYTES = 20  # read from the lock file
EXIT_BAD_SETTINGS = 2
AgentFactory = Callable[[AgentSettings, AgentKeys, EventLog, int], Agent]


def serve(
    settings_path: str, name: str, log_format: str = "console", agent_factory: AgentFactory = Agent
) -> int:
    """Run the agent of a host and return the exit code; if it can't start, print the reason and return 2."""
    try:
        fleet = read_fleet(settings_path)
        settings = AgentSettings.of_host(fleet, name)
        keys = _read_keys(fleet)
        _lock_state_folder(settings_path, settings.host)
        log = EventLog(
            f"agent {name}" if log_format == "console" else name, MAX_LOG_LINES_PER_SECOND, log_format
        )

        async def run() -> None:
            agent = agent_factory(settings, keys, log, new_seed())
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(signal.SIGHUP, _reload_settings, agent, settings_path)
            await agent.run()

        asyncio.run(run())
    except (SettingsError, OSError) as error:
        print("\n".join(f"oakkeel: {line}" for line in str(error).splitlines()), file=sys.stderr)
        return EXIT_BAD_SETTINGS
    return 0


def _read_keys(fleet: Fleet) -> AgentKeys:
    """Read the keys of operators and agents from their files. Raises SettingsError."""
    accepted_keys = read_keys(fleet)
    agent_keys = read_agent_keys(fleet)
    accepted_keys |= {key.key_id: key for key in agent_keys.values()}
    return AgentKeys(accepted_keys, agent_keys)


def _lock_state_folder(settings_path: str, host: HostSettings) -> None:
    """Create the state folder and lock it until this process ends. Raises SettingsError or OSError."""
    longest_path_bytes = max(
        len(os.path.join(host.state_folder, f"{each.name}.sock").encode()) for each in host.instances
    )
    if longest_path_bytes > MAX_SOCKET_PATH_BYTES:
        excess_bytes = longest_path_bytes - MAX_SOCKET_PATH_BYTES
        raise SettingsError(
            f"{settings_path}: the state folder of {host.name} is {excess_bytes} bytes too long"
        )
    os.makedirs(host.state_folder, mode=STATE_FOLDER_MODE, exist_ok=True)
    path = os.path.join(host.state_folder, "agent.lock")
    lock = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, LOCK_FILE_MODE)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        pid = os.read(lock, MAX_PID_BYTES).decode().strip()
        raise SettingsError(f"another agent already runs for {host.name}: process {pid}") from None
    os.ftruncate(lock, 0)
    os.write(lock, f"{os.getpid()}\n".encode())


def _reload_settings(agent: Agent, settings_path: str) -> None:
    """Read the settings again after a SIGHUP and apply them; keys can be rotated while the agent serves."""
    try:
        fleet = read_fleet(settings_path)
        agent.apply_settings(fleet, _read_keys(fleet).accepted)
    except SettingsError as error:
        agent.log.error("settings_rejected", error=str(error))


if __name__ == "__main__":
    if len(sys.argv) != 3:
        print("usage: python -m oakkeel.agent SETTINGS HOST", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    sys.exit(serve(sys.argv[1], sys.argv[2]))
