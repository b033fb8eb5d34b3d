"""A permit state machine with a leader's allocator, and agents that report the states that a test sets."""

import unittest

from oakkeel.disruption import commands
from oakkeel.disruption.allocator import PermitAllocator
from oakkeel.disruption.holder import PermitHolder
from oakkeel.disruption.state_machine import PermitStateMachine
from oakkeel.disruption.timeouts import PermitTimeouts
from oakkeel.disruption.topology import BudgetGroup, Topology
from oakkeel.units import SECOND

TOPOLOGY = Topology(
    {"h1": ("a", "b", "cat1"), "h2": ("c", "d", "cat2")},
    (
        BudgetGroup("fleet", 2, ("a", "b", "c", "d")),
        BudgetGroup("site s", 1, ("a", "b")),
        BudgetGroup("kind cat", 1, ("cat1", "cat2")),
    ),
    {"cat1": ("a",), "cat2": ("c", "d")},
)


class PermitClusterTest(unittest.TestCase):
    """Base class of tests that exchange heartbeats between a leader and two agents."""

    def setUp(self) -> None:
        self.state_machine = PermitStateMachine(
            lambda *arguments: self.allocator.handle_applied(self.now, *arguments) if self.allocator else None
        )
        self.allocator: PermitAllocator | None = None
        self.now = SECOND
        self.index = 0
        self.holders = {name: PermitHolder(name, targets, 1) for name, targets in TOPOLOGY.hosts.items()}
        self.serving = dict.fromkeys("abcd", True) | {"cat1": True, "cat2": True}
        self.apply(commands.SetTopology(TOPOLOGY))
        self.elect()

    def apply(self, *to_apply: commands.Command) -> object:
        """Apply commands, and return the result of the last command."""
        result = None
        for command in to_apply:
            self.index += 1
            result = self.state_machine.apply(self.index, commands.encode(command))
        return result

    def elect(self) -> None:
        """Replace the allocator with the allocator of a new leader."""
        self.allocator = PermitAllocator(self.now, self.state_machine, PermitTimeouts(), self.index + 1)

    def send_heartbeats(self, *hosts: str) -> None:
        """Send a heartbeat from each host, and apply the commands that the leader proposes.

        Each host receives the response to its heartbeat. Without arguments, all hosts send a heartbeat.
        """
        for host in hosts or TOPOLOGY.hosts:
            holder = self.holders[host]
            self.apply(
                *self.allocator.receive_heartbeat(
                    self.now, holder.build_heartbeat(self.now, self.serving, [], {})
                )
            )
            while proposed := self.allocator.tick(self.now):
                self.apply(*proposed)
            holder.receive_response(self.now, self.now, self.allocator.respond(self.now, "e", host))

    def submit(self, order_id: str, *targets: str, verb: str = "drain", atomic: bool = False) -> object:
        return self.apply(
            commands.SubmitOrder(
                order_id, "asha", verb, 0, 60 * SECOND, atomic, [(target, 1) for target in targets]
            )
        )

    def task_states(self, order_id: str) -> dict[str, str]:
        tasks = self.state_machine.state.orders[order_id].tasks
        return {target: task.state for target, task in tasks.items()}

    def start(self, host: str, target: str, order_id: str) -> bool:
        """Start a permit if the agent may start it, and return whether it was started."""
        if may_start := self.holders[host].may_start(self.now, target, order_id):
            self.holders[host].start(self.now, target)
            self.serving[target] = False
        return may_start
