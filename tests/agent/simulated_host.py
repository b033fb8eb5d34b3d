"""A host in simulated time, without processes and sockets."""

import time
import unittest

from oakkeel.agent.instances import Instance, Phase, Verb
from oakkeel.agent.order_rules import OrderSubmission
from oakkeel.agent.orders import OrderRegistry
from oakkeel.agent.supervision_rules import Action, SupervisionTimeouts
from oakkeel.agent.supervisor import Supervisor
from oakkeel.control.messages import NodeStatus
from oakkeel.units import MS, SECOND

EMPTY_REPORT = NodeStatus(0, "", 0, 0, "", "", 0)


class SimulatedHost:
    """A host in simulated time: steps are executed at once, and the test sets the behaviour of processes."""

    def __init__(self, instance_count: int = 4, max_unavailable: int = 1, **timeouts) -> None:
        self.now = 1000 * SECOND
        self.instances = [Instance(f"n{number}", "woodbrook") for number in range(1, instance_count + 1)]
        self.supervisor = Supervisor(
            self.instances,
            SupervisionTimeouts(**timeouts),
            {"woodbrook": max_unavailable},
            7,
            lambda: 1_790_000_000 * SECOND + self.now,
        )
        self.orders = CheckedOrderRegistry(self.supervisor, time.time_ns)
        self.steps: list[tuple[Action, Instance]] = []  # all executed steps
        self.silent: set[Instance] = set()  # instances whose processes send no reports
        self.ignoring_drain: set[Instance] = set()  # instances whose processes end only when killed

    def tick(self) -> list[tuple[Action, Instance]]:
        """Advance the orders and execute the steps that are due; returns the steps."""
        self.orders.advance(self.now)
        steps = [(step.action, step.instance) for step in self.supervisor.tick(self.now)]
        self.steps += steps
        for action, instance in steps:
            if action is Action.START:
                self.supervisor.record_start(self.now, instance)
            elif action is Action.KILL or instance not in self.ignoring_drain:
                self.supervisor.record_exit(self.now, instance, "drained or killed")
        self.orders.advance(self.now)
        return steps

    def run(self, seconds: float, step: int = 100 * MS, state: str = "serving") -> None:
        """Advance the time in steps of `step` nanoseconds; running processes report `state` in each step."""
        end = self.now + int(seconds * SECOND)
        while self.now < end:
            self.now += step
            for instance in self.instances:
                if (
                    instance.has_process
                    and instance.phase is not Phase.DRAINING
                    and instance not in self.silent
                ):
                    self.supervisor.apply_report(
                        self.now, instance, state, instance.process_generation, EMPTY_REPORT
                    )
            self.tick()

    def submit(
        self,
        verb: Verb,
        *instances: Instance,
        order_id: str = "o1",
        operator: str = "asha",
        generation: int | None = None,
        lifetime_ns: int = 60 * SECOND,
        supersede: bool = False,
    ):
        requested_instances = tuple(
            (each.name, each.generation if generation is None else generation) for each in instances
        )
        submission = OrderSubmission(order_id, operator, verb, requested_instances, lifetime_ns, supersede)
        return self.orders.submit(self.now, submission)

    def crash(self, instance: Instance) -> None:
        self.supervisor.record_exit(self.now, instance, "killed by SIGSEGV")


class CheckedOrderRegistry(OrderRegistry):
    """Checks at each start of a task that it does not exceed the disruption budget."""

    def _start_task(self, now, task) -> None:
        unavailable_before = self.supervisor.unavailable["woodbrook"]
        super()._start_task(now, task)
        unavailable_after = self.supervisor.unavailable["woodbrook"]
        assert unavailable_after <= max(unavailable_before, self.supervisor.max_unavailable["woodbrook"]), (
            unavailable_before,
            unavailable_after,
        )


class HostTestCase(unittest.TestCase):
    """A test case with a simulated host."""

    def serving_host(self, **options) -> SimulatedHost:
        """A host whose instances all serve, with no steps recorded."""
        host = SimulatedHost(**options)
        host.run(3)
        self.assertEqual({each.phase for each in host.instances}, {Phase.SERVING})
        host.steps.clear()
        return host
