"""An agent over fake nodes that kills itself at a given durable step: `... SETTINGS HOST [STEP]`.

Steps are counted before and after each write to the state, each process made and each signal: after a
SIGKILL at any of them, the next agent must find the order exactly once.
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
    """Counts steps, and kills the process at a given one; 0: never."""

    def __init__(self, last: int) -> None:
        """`last` is the step that is not survived."""
        self.last = last
        self.count = 0

    def step(self) -> None:
        """Count a step, or die."""
        self.count += 1
        if self.count == self.last:
            os.kill(os.getpid(), signal.SIGKILL)


class CrashingDatabase(Database):
    """A database with a step before and after each write."""

    def __init__(self, path: str, steps: CrashPoint) -> None:
        """Open the database of an agent."""
        self.steps = steps
        super().__init__(path, SCHEMA, VERSION)

    def write(self, statements: Sequence[Statement]) -> None:
        """Write all statements in one transaction, between two steps."""
        self.steps.step()
        super().write(statements)
        self.steps.step()


def crashing_processes(steps: CrashPoint) -> type[Processes]:
    """Processes with a step before and after each start and each signal."""

    class CrashingProcesses(Processes):
        def spawn(self, name: str, generation: int, argv: list[str], variables: dict[str, str]) -> Process:
            steps.step()
            process = super().spawn(name, generation, argv, variables)
            steps.step()
            return process

        def signal(self, process: Process, number: signal.Signals) -> bool:
            steps.step()
            sent = super().signal(process, number)
            steps.step()
            return sent

    return CrashingProcesses


def make_agent(last: int, settings: AgentSettings, keys: AgentKeys, log: EventLog, seed: int) -> Agent:
    """Make an agent that kills itself at step `last`."""
    os.makedirs(settings.host.state, mode=0o700, exist_ok=True)
    steps = CrashPoint(last)
    store = CrashingDatabase(os.path.join(settings.host.state, "agent.db"), steps)
    parts = AgentParts(store, crashing_processes(steps), PROGRAM)
    return Agent(settings, keys, log, seed, parts)


if __name__ == "__main__":
    crash_at = int([*sys.argv, "0"][3])
    sys.exit(serve(sys.argv[1], sys.argv[2], make=functools.partial(make_agent, crash_at)))
