"""A machine whose cores are shared by all that runs on it.

Processor sharing, exactly: every task on the cores has the same speed, so a task ends when the service that
each has had since its start reaches its work. Past a number of tasks a core that nobody is told, contention
makes all slower still. Source of the sharing: L. Kleinrock, "Queueing Systems" II, 1976, section 4.4.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

from oakkeel.emulator.clock import Clock, ScheduledEvent


class Task:
    """Work on the cores: nanoseconds of a core at full speed."""

    __slots__ = ("counted", "done", "ends")

    def __init__(self, ends: float, done: Callable[[], None]) -> None:
        self.ends, self.done, self.counted = ends, done, True


class Machine:
    def __init__(self, clock: Clock, cores: int, knee: float = 3.0, slope: float = 0.15) -> None:
        """From `knee` tasks a core on, each further one a core costs `slope` of the speed."""
        self.clock, self.cores, self.knee, self.slope = clock, cores, knee, slope
        self.factor = 1.0  # of full speed: cold, slowed, 0 while it stands still
        self.tasks = 0
        self.served = self.busy = 0.0  # service that each task had; nanoseconds of busy cores
        self.at, self.order = clock.now, 0
        self.heap: list[tuple[float, int, Task]] = []
        self.next: ScheduledEvent | None = None

    def speed(self) -> float:
        """Of one task, by now."""
        crowd = self.tasks / self.cores
        shared = min(1.0, 1 / crowd) if crowd else 1.0
        return self.factor * shared / (1 + self.slope * max(0.0, crowd - self.knee))

    def start(self, work: float, done: Callable[[], None]) -> Task:
        self._advance()
        self.order += 1
        task = Task(self.served + work, done)
        heappush(self.heap, (task.ends, self.order, task))
        self.tasks += 1
        self._plan()
        return task

    def stop(self, task: Task) -> None:
        """Take it off the cores; its `done` is not called."""
        if task.counted:
            self._advance()
            task.counted = False
            self.tasks -= 1
            self._plan()

    def change(self, factor: float) -> None:
        """From now on so much of full speed."""
        self._advance()
        self.factor = factor
        self._plan()

    def busy_share(self, since: float, over: int) -> float:
        """Of the cores, from what `busy` was then."""
        self._advance()
        return (self.busy - since) / max(1, over) / self.cores

    def _advance(self) -> None:
        passed = self.clock.now - self.at
        if passed:
            self.served += passed * self.speed()
            self.busy += passed * min(self.tasks, self.cores)
            self.at = self.clock.now

    def _plan(self) -> None:
        """When the next task ends, as things stand."""
        if self.next:
            self.next.call_off()
            self.next = None
        while self.heap and not self.heap[0][2].counted:
            heappop(self.heap)
        speed = self.speed()
        if self.heap and speed > 0:
            wait = max(0.0, self.heap[0][0] - self.served) / speed
            self.next = self.clock.after(int(wait) + 1, self._ended)

    def _ended(self) -> None:
        self._advance()
        self.next = None
        over = []
        while self.heap and (not self.heap[0][2].counted or self.heap[0][0] <= self.served):
            task = heappop(self.heap)[2]
            if task.counted:
                task.counted = False
                self.tasks -= 1
                over.append(task)
        self._plan()
        for task in over:
            task.done()
