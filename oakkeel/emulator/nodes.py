"""A simulated node: the real decisions on a simulated machine."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from oakkeel.admission import AdmissionController
from oakkeel.admission.types import Gauges, NodeLimits, Outcome, Request
from oakkeel.emulator.clock import Clock
from oakkeel.emulator.invariants import RuleAudit
from oakkeel.emulator.machines import Machine, Task

MS = 1_000_000
Answer = Callable[[str, int], None]  # a word, and the time to stay away


class OpenRequest:
    """One exchange on a node, with what becomes of it on the machine."""

    __slots__ = ("answer", "answered", "arrived", "request", "ident", "task", "work")

    def __init__(self, ident: int, request: Request, work: float, answer: Answer, arrived: int) -> None:
        self.ident, self.request, self.work, self.answer, self.arrived = ident, request, work, answer, arrived
        self.answered = False
        self.task: Task | None = None


class SimulatedNode:
    """`Host` for its `AdmissionController`. Reading costs `reading` nanoseconds of a core for each exchange."""

    def __init__(
        self, name: str, clock: Clock, limits: NodeLimits, seed: int, audit: RuleAudit, reading: int = 200_000
    ) -> None:
        self.name, self.clock, self.audit, self.reading = name, clock, audit, reading
        self.limits, self.chance = limits, Random(seed)
        self.machine = Machine(clock, limits.cores)
        self.open: dict[Request, OpenRequest] = {}
        self.runs = 0  # on the cores
        self.alive, self.healthy, self.settling = True, True, False
        self.advice: float | None = None
        self.polled = (0.0, clock.now)
        self.admission = AdmissionController(self, limits, seed, clock.now)  # type: ignore[arg-type]  # the rest is __getattr__

    def __getattr__(self, name: str) -> Callable[..., None]:
        """What of `Host` has no meaning on a simulated machine: connections, remarks, repeats."""
        if name.startswith("_") or name in ("admission", "alive"):
            raise AttributeError(name)
        return lambda *words: None

    # What the network brings.

    def receive(self, ident: int, request: Request, work: float, answer: Answer) -> None:
        """An exchange reached the machine; it has to be read first."""
        if not self.alive:
            return
        arrived = self.clock.now
        self.machine.start(
            self.reading, lambda: self._read(OpenRequest(ident, request, work, answer, arrived))
        )

    def _read(self, opened: OpenRequest) -> None:
        opened.request.queueing_delay += self.clock.now - opened.arrived
        self.open[opened.request] = opened
        self.admission.arrive(self.clock.now, opened.request)
        self._settle_soon()

    def gone(self, request: Request) -> None:
        """Its caller gave up."""
        if self.alive and (opened := self.open.get(request)) and not opened.answered:
            opened.answered = True
            self.admission.client_disconnected(self.clock.now, request)
            self._settle_soon()

    def leave(self, left: int) -> None:
        self.audit.leaves_by(self.name, self.clock.now + self.limits.drain_grace)
        self.admission.drain(self.clock.now, left)

    def die(self) -> None:
        """Without a word: what was open is lost with it."""
        self.alive = False
        for opened in self.open.values():
            self.audit.excused(opened.ident, self.clock.now)
            if opened.task:
                self.machine.stop(opened.task)

    # Host.

    def run(self, request: Request) -> None:
        opened = self.open[request]
        self.audit.arrived_and_ran(opened.ident, opened.arrived)
        opened.task = self.machine.start(opened.work, lambda: self._done(opened))
        self.runs += 1
        warm = self.machine.factor if self.limits.starts_cold else 1.0
        if self.runs / self.limits.cores > 1 + (self.limits.overload_multiple - 1) * warm:
            self.audit.fell(self.name, f"{self.runs / self.limits.cores:.1f} runs a core")

    def _done(self, opened: OpenRequest) -> None:
        if not self.alive:
            return
        self.runs -= 1
        self.audit.effect(opened.ident)
        self.admission.run_finished(self.clock.now, opened.request, Outcome.COMPLETED, 0)
        self._answer(opened, "completed", 0)
        self._over(opened)
        self._settle_soon()

    def cancel(self, request: Request) -> None:
        opened = self.open[request]
        if opened.task and opened.task.counted:
            self.machine.stop(opened.task)
            self.runs -= 1
            self.clock.after(0, self._stopped, opened)

    def _stopped(self, opened: OpenRequest) -> None:
        if self.alive:
            self.admission.run_finished(self.clock.now, opened.request, Outcome.CANCELLED, 0)
            self._over(opened)
            self._settle_soon()

    def reject(self, request: Request, last: bool, retry_after: int) -> None:
        opened = self.open[request]
        self._answer(opened, "denied", retry_after)
        if opened.task is None:
            self._over(opened)

    def fail(self, request: Request) -> None:
        self._answer(self.open[request], "terminated", 0)

    def _answer(self, opened: OpenRequest, word: str, retry_after: int) -> None:
        if not opened.answered:
            opened.answered = True
            opened.answer(word, retry_after)

    def _over(self, opened: OpenRequest) -> None:
        self.open.pop(opened.request, None)

    def set_timer(self, token: int, at: int) -> None:
        self.clock.at(at, self._timer, token)

    def _timer(self, token: int) -> None:
        if not self.alive:
            return
        busy, at = self.polled
        share = self.machine.busy_share(busy, self.clock.now - at)
        if token == 0:
            self.polled = self.machine.busy, self.clock.now
        self.admission.timer_expired(
            self.clock.now, token, Gauges(min(1.0, share), float(self.machine.tasks), 0.1, 1.0)
        )
        self._settle_soon()

    def _settle_soon(self) -> None:
        if not self.settling:
            self.settling = True
            self.clock.after(0, self._settle)

    def _settle(self) -> None:
        self.settling = False
        if self.alive:
            self.admission.schedule(self.clock.now)

    def set_health(self, good: bool, stored: bool) -> None:
        self.healthy = good

    def report_load(self, value: float) -> None:
        self.advice = value
