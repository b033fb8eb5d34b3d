"""A host in simulated time: no process, no socket."""

import time
import unittest

from oakkeel.agent.instances import Instance, Phase, Verb
from oakkeel.agent.order_rules import OrderSubmission
from oakkeel.agent.orders import OrderRegistry
from oakkeel.agent.supervision_rules import Action, SupervisionTimeouts
from oakkeel.agent.supervisor import Supervisor
from oakkeel.control.messages import NodeStatus
from oakkeel.units import MS, SECOND

REPORT = NodeStatus(0, "", 0, 0, "", "", 0)


class SimulatedHost:
    """A host in simulated time: steps are carried out at once, and processes do what the story says."""

    def __init__(self, names: int = 4, away: int = 1, **patience) -> None:
        self.now = 1000 * SECOND
        self.instances = [Instance(f"n{number}", "woodbrook") for number in range(1, names + 1)]
        self.supervisor = Supervisor(
            self.instances,
            SupervisionTimeouts(**patience),
            {"woodbrook": away},
            7,
            lambda: 1_790_000_000 * SECOND + self.now,
        )
        self.orders = CheckedOrderRegistry(self.supervisor, time.time_ns)
        self.steps: list[tuple[Action, Instance]] = []
        self.quiet: set[Instance] = set()  # their processes say nothing
        self.deaf: set[Instance] = set()  # they don't leave when told to

    def tick(self) -> list[tuple[Action, Instance]]:
        self.orders.advance(self.now)
        steps = [(step.action, step.instance) for step in self.supervisor.tick(self.now)]
        self.steps += steps
        for act, instance in steps:
            if act is Action.START:
                self.supervisor.process_started(self.now, instance)
            elif act is Action.KILL or instance not in self.deaf:
                self.supervisor.process_exited(self.now, instance, "told to")
        self.orders.advance(self.now)
        return steps

    def run(self, seconds: float, step: int = 100 * MS, state: str = "serving") -> None:
        until = self.now + int(seconds * SECOND)
        while self.now < until:
            self.now += step
            for instance in self.instances:
                if instance.alive and instance.phase is not Phase.DRAINING and instance not in self.quiet:
                    self.supervisor.report_received(
                        self.now, instance, state, instance.process_generation, REPORT
                    )
            self.tick()

    def take(
        self,
        verb: Verb,
        *instances: Instance,
        ident: str = "o1",
        operator: str = "asha",
        generation: int | None = None,
        lasts: int = 60 * SECOND,
        supersede: bool = False,
    ):
        asked = tuple(
            (each.name, each.generation if generation is None else generation) for each in instances
        )
        submission = OrderSubmission(ident, operator, verb, asked, lasts, supersede)
        return self.orders.submit(self.now, submission)

    def died(self, instance: Instance) -> None:
        self.supervisor.process_exited(self.now, instance, "killed by SIGSEGV")


class CheckedOrderRegistry(OrderRegistry):
    """Checks at each beginning that the bound on what is out holds, or nothing more went out."""

    def _start_task(self, now, task) -> None:
        before = self.supervisor.unavailable["woodbrook"]
        super()._start_task(now, task)
        after = self.supervisor.unavailable["woodbrook"]
        assert after <= max(before, self.supervisor.max_unavailable["woodbrook"]), (before, after)


class HostTestCase(unittest.TestCase):
    def serving(self, **more) -> SimulatedHost:
        host = SimulatedHost(**more)
        host.run(3)
        self.assertEqual({each.phase for each in host.instances}, {Phase.SERVING})
        host.steps.clear()
        return host
