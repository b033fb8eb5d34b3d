"""An agent with fake nodes and faults, as a process: `python -m oakkeel.fakes.agent SETTINGS HOST`.

Files in the state folder of the agent enable faults. `full`: the disk is full, by SQLite's own limit, so that
a write fails halfway. `clock`: the file holds the offset of the wall clock in seconds. `real`: the agent runs
real nodes. The agent logs in JSON, each line with the monotonic time, which all processes of a machine share.
"""

from __future__ import annotations

import contextlib
import os
import sys
import time
from collections.abc import Sequence

from oakkeel.agent.__main__ import serve
from oakkeel.agent.agent import Agent
from oakkeel.agent.configuration import AgentKeys, AgentParts, AgentSettings
from oakkeel.log import EventLog, LogFields
from oakkeel.store.database import Database, Statement

PROGRAM = (sys.executable, "-m", "oakkeel.fakes.node")
_original_write = Database.write
_original_time_ns = time.time_ns


def write_with_fault(self: Database, statements: Sequence[Statement]) -> None:
    """Write statements; while the fault `full` is enabled, the database may not grow and the write fails."""
    is_full = os.path.exists(os.path.join(os.path.dirname(self.path), "full"))
    pages = self.read_pragma("page_count") if is_full else 65536
    self.connection.execute(f"PRAGMA max_page_count = {pages}")
    if is_full:  # more than the free pages of the file can hold
        statements = [*statements, ("CREATE TABLE padding AS SELECT zeroblob(4000000) AS zeros", ())]
    _original_write(self, statements)


def shifted_time_ns(folder: str) -> int:
    """Return the wall clock time plus the offset of the fault `clock`."""
    path = os.path.join(folder, "clock")
    with contextlib.suppress(OSError, ValueError), open(path, encoding="ascii") as file:
        return _original_time_ns() + int(float(file.read()) * 1_000_000_000)
    return _original_time_ns()


class TimedLog(EventLog):
    """An event log with the monotonic time in each line."""

    def write(self, level: str, event: str, fields: LogFields) -> None:
        """Write an event with the field `mono`, in monotonic nanoseconds."""
        super().write(level, event, {**fields, "mono": time.monotonic_ns()})


def make_agent(settings: AgentSettings, keys: AgentKeys, log: EventLog, seed: int) -> Agent:
    """Make an agent with the faults that its state folder enables."""
    host = settings.host
    Database.write = write_with_fault  # type: ignore[method-assign]
    time.time_ns = lambda: shifted_time_ns(host.state_folder)
    has_real_nodes = os.path.exists(os.path.join(host.state_folder, "real"))
    parts = AgentParts() if has_real_nodes else AgentParts(program=PROGRAM)
    return Agent(settings, keys, TimedLog(host.name, 1000, "json"), seed, parts)


if __name__ == "__main__":
    sys.exit(serve(sys.argv[1], sys.argv[2], "json", make_agent))
