"""An agent over stand-in nodes that kills itself at a given durable step: `... SETTINGS HOST [STEP]`.

Steps are counted before and after each write to the state, each process made and each signal: after a
SIGKILL at any of them, the next agent must find the order exactly once.
"""

from __future__ import annotations

import functools
import os
import signal
import sys
from collections.abc import Sequence
from typing import Any

from oakkeel.agent.__main__ import serve
from oakkeel.agent.agent import Agent
from oakkeel.agent.processes import Process, Processes
from oakkeel.agent.storage import SCHEMA, VERSION
from oakkeel.settings.types import HostSettings
from oakkeel.store.database import Database, Statement

PROGRAM = (sys.executable, "-m", "oakkeel.fakes.node")


class CrashPoint:
    """Counts, and ends the process at the one that was asked for; 0: never."""

    def __init__(self, last: int) -> None:
        self.last, self.count = last, 0

    def step(self) -> None:
        self.count += 1
        if self.count == self.last:
            os.kill(os.getpid(), signal.SIGKILL)


class CrashingDatabase(Database):
    def __init__(self, path: str, steps: CrashPoint) -> None:
        self.steps = steps
        super().__init__(path, SCHEMA, VERSION)

    def write(self, statements: Sequence[Statement]) -> None:
        self.steps.step()
        super().write(statements)
        self.steps.step()


def crashing_processes(steps: CrashPoint) -> type[Processes]:
    class CrashingProcesses(Processes):
        def spawn(self, name: str, generation: int, argv: list[str], variables: dict[str, str]) -> Process:
            steps.step()
            process = super().spawn(name, generation, argv, variables)
            steps.step()
            return process

        def signal(self, process: Process, number: signal.Signals) -> bool:
            steps.step()
            done = super().signal(process, number)
            steps.step()
            return done

    return CrashingProcesses


def make_agent(last: int, host: HostSettings, *rest: Any, **more: Any) -> Agent:
    os.makedirs(host.state, mode=0o700, exist_ok=True)
    steps = CrashPoint(last)
    store = CrashingDatabase(os.path.join(host.state, "agent.db"), steps)
    patience, keys, log, seed = rest
    return Agent(host, patience, keys, log, seed, store, crashing_processes(steps), PROGRAM, **more)


if __name__ == "__main__":
    sys.exit(serve(sys.argv[1], sys.argv[2], make=functools.partial(make_agent, int((sys.argv + ["0"])[3]))))
