"""A simulated machine with a clock of its own rate, whose processes can be killed, stopped and started."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from oakkeel.emulator.world import World
from oakkeel.units import SECOND

MAX_RATE_ERROR = 0.015  # share by which the clock of a machine may be fast or slow
MAX_CLOCK_OFFSET_NS = 10 * SECOND


class SimulatedMachine:
    """The state of one machine. `now` returns the time of its own clock, `world.clock` has the true time."""

    def __init__(self, world: World, name: str) -> None:
        """Create a machine whose processes do not run."""
        self.world = world
        self.name = name
        self.random = Random(f"{world.schedule.seed} {name}")
        self.rate = 1 + self.random.uniform(-MAX_RATE_ERROR, MAX_RATE_ERROR)
        self.offset = self.random.randrange(MAX_CLOCK_OFFSET_NS)  # the clock's time at the true time 0
        self.restarts = 0  # counts starts and kills; a callback of an earlier process has another number
        self.running = False
        self.stopped = False
        self.disk_full = False
        self.deferred: list[Callable[[], None]] = []  # actions to run at the end of a stop
        self.on_start: Callable[[], None] | None = None

    def now(self) -> int:
        """Return the machine's own monotonic time in nanoseconds."""
        return self.offset + int(self.world.clock.now * self.rate)

    def start(self) -> None:
        """Start the processes from the state on disk, unless they run already."""
        if self.running:
            return
        self.running = True
        self.restarts += 1
        self.deferred = []
        if self.on_start:
            self.on_start()

    def kill(self, restart_after: int) -> None:
        """Kill the agent and the replica by SIGKILL, and start both again after `restart_after` ns."""
        if not self.running:
            return
        self.running = False
        self.stopped = False
        self.restarts += 1
        self.world.clock.call_after(restart_after, self.start)

    def may_act(self, restarts: int, action: Callable[[], None]) -> bool:
        """Whether the process since `restarts` still runs and may act; defers the action during a stop."""
        if restarts != self.restarts:
            return False
        if self.stopped:
            self.deferred.append(action)
            return False
        return True

    def stop(self, duration: int) -> None:
        """Stop the agent and the replica by SIGSTOP for `duration` nanoseconds."""
        self.stopped = True
        self.world.clock.call_after(duration, self.resume)

    def resume(self) -> None:
        """End a stop and run the deferred actions."""
        self.stopped = False
        deferred = self.deferred
        self.deferred = []
        for action in deferred:
            action()
