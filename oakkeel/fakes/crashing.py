"""An agent with fake nodes that kills itself at a given step, as a process.

Usage: `python -m oakkeel.fakes.crashing SETTINGS HOST [STEP]`.
There is a step before and after each write to the state, each start of a process and each signal. After a
SIGKILL at any step, the next agent must find the order exactly once.
"""

from __future__ import annotations

import functools
import os
import signal
import sys
from collections.abc import Sequence

from oakkeel.agent.__main__ import serve
from oakkeel.agent.agent import Agent
from oakkeel.agent.configuration import AgentKeys, AgentParts, AgentSettings
from oakkeel.agent.processes import Process, Processes
from oakkeel.agent.storage import SCHEMA, VERSION
from oakkeel.log import EventLog
from oakkeel.store.database import Database, Statement

PROGRAM = (sys.executable, "-m", "oakkeel.fakes.node")


class CrashPoint:
    """Counts steps and kills the process at a given step; 0: never."""

    def __init__(self, fatal_step: int) -> None:
        """`fatal_step` is the step at which the process is killed."""
        self.fatal_step = fatal_step
        self.count = 0

    def count_step(self) -> None:
        """Count a step, and kill the process if it is the fatal step."""
        self.count += 1
        if self.count == self.fatal_step:
            os.kill(os.getpid(), signal.SIGKILL)


class CrashingDatabase(Database):
    """A database that counts a step before and after each write."""

    def __init__(self, path: str, crash_point: CrashPoint) -> None:
        """Open the database of an agent."""
        self.crash_point = crash_point
        super().__init__(path, SCHEMA, VERSION)

    def write(self, statements: Sequence[Statement]) -> None:
        """Write all statements in one transaction."""
        self.crash_point.count_step()
        super().write(statements)
        self.crash_point.count_step()


def crashing_processes(crash_point: CrashPoint) -> type[Processes]:
    """Return a class of processes that count a step before and after each start and each signal."""

    class CrashingProcesses(Processes):
        def spawn(self, name: str, generation: int, argv: list[str], variables: dict[str, str]) -> Process:
            crash_point.count_step()
            process = super().spawn(name, generation, argv, variables)
            crash_point.count_step()
            return process

        def signal(self, process: Process, number: signal.Signals) -> bool:
            crash_point.count_step()
            sent = super().signal(process, number)
            crash_point.count_step()
            return sent

    return CrashingProcesses


def make_agent(fatal_step: int, settings: AgentSettings, keys: AgentKeys, log: EventLog, seed: int) -> Agent:
    """Make an agent that kills itself at step `fatal_step`."""
    os.makedirs(settings.host.state_folder, mode=0o700, exist_ok=True)
    crash_point = CrashPoint(fatal_step)
    store = CrashingDatabase(os.path.join(settings.host.state_folder, "agent.db"), crash_point)
    parts = AgentParts(store, crashing_processes(crash_point), PROGRAM)
    return Agent(settings, keys, log, seed, parts)


if __name__ == "__main__":
    fatal_step = int([*sys.argv, "0"][3])
    sys.exit(serve(sys.argv[1], sys.argv[2], agent_factory=functools.partial(make_agent, fatal_step)))
