"""An agent over fake nodes, with faults that files in its state folder enable: `... SETTINGS HOST`.

`full`: its disk is full, by SQLite's own bound, so that a write fails in its middle. `clock`: seconds by
which its wall clock is off. `real`: its nodes are real ones. It logs in JSON, each line with the monotonic
time, which all processes of a machine share.
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
_write = Database.write
_time_ns = time.time_ns


def write(self: Database, statements: Sequence[Statement]) -> None:
    """Write with as many pages as the file has by now, while the fault `full` is enabled."""
    full = os.path.exists(os.path.join(os.path.dirname(self.path), "full"))
    pages = self.read_pragma("page_count") if full else 65536
    self.connection.execute(f"PRAGMA max_page_count = {pages}")
    if full:  # more than the free pages of the file can hold
        statements = [*statements, ("CREATE TABLE padding AS SELECT zeroblob(4000000) AS zeros", ())]
    _write(self, statements)


def shifted_time_ns(folder: str) -> int:
    """The wall clock, with what the fault `clock` adds to it."""
    path = os.path.join(folder, "clock")
    with contextlib.suppress(OSError, ValueError), open(path, encoding="ascii") as file:
        return _time_ns() + int(float(file.read()) * 1_000_000_000)
    return _time_ns()


class TimedLog(EventLog):
    """A log with the monotonic time in each line."""

    def write(self, level: str, event: str, fields: LogFields) -> None:
        """Write an event with the field `mono`, in monotonic nanoseconds."""
        super().write(level, event, {**fields, "mono": time.monotonic_ns()})


def make_agent(settings: AgentSettings, keys: AgentKeys, log: EventLog, seed: int) -> Agent:
    """Make an agent with the faults of its state folder."""
    host = settings.host
    Database.write = write  # type: ignore[method-assign]
    time.time_ns = lambda: shifted_time_ns(host.state)
    has_real_nodes = os.path.exists(os.path.join(host.state, "real"))
    parts = AgentParts() if has_real_nodes else AgentParts(program=PROGRAM)
    return Agent(settings, keys, TimedLog(host.name, 1000, "json"), seed, parts)


if __name__ == "__main__":
    sys.exit(serve(sys.argv[1], sys.argv[2], "json", make_agent))
