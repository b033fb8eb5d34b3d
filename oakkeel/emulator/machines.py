"""A machine whose cores are shared by all tasks that run on it.

Models processor sharing exactly: all tasks run at the same speed, so a task ends when the service that it has
received since its start reaches its cost. Above a number of tasks per core, which the node does not know,
contention slows all tasks further. Source: L. Kleinrock, "Queueing Systems" II, 1976, section 4.4.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

from oakkeel.emulator.clock import Clock, ScheduledEvent


class Task:
    """One task that occupies the cores."""

    __slots__ = ("active", "end_service", "on_done")

    def __init__(self, end_service: float, on_done: Callable[[], None]) -> None:
        """`end_service`: value of the machine's `service` at which the task ends."""
        self.end_service = end_service
        self.on_done = on_done
        self.active = True


class Machine:
    """A number of cores under processor sharing, with a speed that can change."""

    def __init__(self, clock: Clock, cores: int, knee: float = 3.0, slope: float = 0.15) -> None:
        """Contention adds `slope` to the slowdown for each task per core above `knee` tasks per core."""
        self.clock = clock
        self.cores = cores
        self.knee = knee
        self.slope = slope
        self.speed_factor = 1.0  # share of full speed; lower while cold or slowed down, 0 while stalled
        self.task_count = 0
        self.service = 0.0  # nanoseconds of a core that a task running from the start has received
        self.busy_time = 0.0  # nanoseconds, summed over the busy cores
        self.advanced_to = clock.now
        self.sequence = 0
        self.heap: list[tuple[float, int, Task]] = []
        self.next_end_event: ScheduledEvent | None = None

    def task_speed(self) -> float:
        """Return the present speed of one task, as a share of one core at full speed."""
        concurrency = self.task_count / self.cores
        core_share = min(1.0, 1 / concurrency) if concurrency else 1.0
        return self.speed_factor * core_share / (1 + self.slope * max(0.0, concurrency - self.knee))

    def start(self, cost: float, on_done: Callable[[], None]) -> Task:
        """Run a task that takes `cost` nanoseconds of a core, then call `on_done`."""
        self._advance()
        self.sequence += 1
        task = Task(self.service + cost, on_done)
        heappush(self.heap, (task.end_service, self.sequence, task))
        self.task_count += 1
        self._schedule_next_end()
        return task

    def stop(self, task: Task) -> None:
        """Take a task off the cores; its `on_done` is not called."""
        if task.active:
            self._advance()
            task.active = False
            self.task_count -= 1
            self._schedule_next_end()

    def set_speed(self, factor: float) -> None:
        """Set the speed of all cores from now on, as a share of full speed."""
        self._advance()
        self.speed_factor = factor
        self._schedule_next_end()

    def utilization(self, busy_time_before: float, elapsed: int) -> float:
        """Return the utilization in the last `elapsed` ns; `busy_time_before`: `busy_time` at their start."""
        self._advance()
        return (self.busy_time - busy_time_before) / max(1, elapsed) / self.cores

    def _advance(self) -> None:
        elapsed = self.clock.now - self.advanced_to
        if elapsed:
            self.service += elapsed * self.task_speed()
            self.busy_time += elapsed * min(self.task_count, self.cores)
            self.advanced_to = self.clock.now

    def _schedule_next_end(self) -> None:
        """Schedule the end of the next task to finish at the present speed."""
        if self.next_end_event:
            self.next_end_event.cancel()
            self.next_end_event = None
        while self.heap and not self.heap[0][2].active:
            heappop(self.heap)
        speed = self.task_speed()
        if self.heap and speed > 0:
            delay = max(0.0, self.heap[0][0] - self.service) / speed
            self.next_end_event = self.clock.call_after(int(delay) + 1, self._end_tasks)

    def _end_tasks(self) -> None:
        self._advance()
        self.next_end_event = None
        ended_tasks = []
        while self.heap and (not self.heap[0][2].active or self.heap[0][0] <= self.service):
            task = heappop(self.heap)[2]
            if task.active:
                task.active = False
                self.task_count -= 1
                ended_tasks.append(task)
        self._schedule_next_end()
        for task in ended_tasks:
            task.on_done()
