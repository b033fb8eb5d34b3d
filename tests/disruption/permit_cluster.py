"""A permit state machine with a leader's allocator, and agents that report what a test sets."""

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
    """The base of tests that exchange heartbeats between a leader and two agents."""

    def setUp(self) -> None:
        self.state_machine = PermitStateMachine(
            lambda *told: self.allocator.applied(self.now, *told) if self.allocator else None
        )
        self.allocator: PermitAllocator | None = None
        self.now, self.index = SECOND, 0
        self.holders = {name: PermitHolder(name, things, 1) for name, things in TOPOLOGY.hosts.items()}
        self.serving = dict.fromkeys("abcd", True) | {"cat1": True, "cat2": True}
        self.apply(commands.SetTopology(TOPOLOGY))
        self.elect()

    def apply(self, *wanted: commands.Command) -> object:
        result = None
        for command in wanted:
            self.index += 1
            result = self.state_machine.apply(self.index, commands.encode(command))
        return result

    def elect(self) -> None:
        self.allocator = PermitAllocator(self.now, self.state_machine, PermitTimeouts(), self.index + 1)

    def exchange_heartbeats(self, *hosts: str) -> None:
        """Agents say how they are, and the leader does what follows."""
        for host in hosts or TOPOLOGY.hosts:
            holder = self.holders[host]
            self.apply(
                *self.allocator.receive_heartbeat(self.now, holder.heartbeat(self.now, self.serving, [], {}))
            )
            while wanted := self.allocator.tick(self.now):
                self.apply(*wanted)
            holder.receive_response(self.now, self.now, self.allocator.respond(self.now, "e", host))

    def submit(self, ident: str, *things: str, verb: str = "drain", whole: bool = False) -> object:
        return self.apply(
            commands.SubmitOrder(ident, "asha", verb, 0, 60 * SECOND, whole, [(thing, 1) for thing in things])
        )

    def states(self, ident: str) -> dict[str, str]:
        return {thing: part.state for thing, part in self.state_machine.state.orders[ident].tasks.items()}

    def start(self, host: str, thing: str, ident: str) -> bool:
        if may := self.holders[host].may_start(self.now, thing, ident):
            self.holders[host].start(self.now, thing)
            self.serving[thing] = False
        return may
