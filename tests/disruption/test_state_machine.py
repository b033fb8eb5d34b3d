"""The permit state machine, alone and against drawn commands."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from oakkeel.disruption import commands
from oakkeel.disruption.state import Rejection
from oakkeel.disruption.state_machine import PermitStateMachine
from oakkeel.units import SECOND
from tests.disruption.permit_cluster import TOPOLOGY, PermitClusterTest


class PermitStateMachineTest(PermitClusterTest):
    def test_target_stays_out_by_the_earlier_order_where_the_next_permit_is_not_used(self):
        """Drawn schedule 1016590: a restart of what was stopped was cancelled unused, and nothing knew of the
        stop any more."""
        self.exchange_heartbeats()
        self.submit("o1", "a", verb="stop")
        self.exchange_heartbeats()
        self.start("h1", "a", "o1")
        self.exchange_heartbeats()
        self.apply(commands.FinishTask("o1", "a", "done", ""))
        self.submit("o2", "a", verb="restart")
        self.exchange_heartbeats()
        self.assertEqual(self.state_machine.state.permits["a"].order_id, "o2")
        self.apply(commands.HaltOrder("o2", "ravi"))
        self.exchange_heartbeats()
        self.exchange_heartbeats()
        permit = self.state_machine.state.permits["a"]
        self.assertEqual((permit.order_id, permit.started), ("o1", True))
        self.serving["a"] = True
        self.exchange_heartbeats()
        self.holders["h1"].mark_restored("a")
        self.exchange_heartbeats()
        self.assertNotIn("a", self.state_machine.state.permits)

    def test_halt_releases_granted_permits_and_started_ones_go_on(self):
        self.exchange_heartbeats()
        self.submit("o1", "a", "c", "d")
        self.exchange_heartbeats()
        self.start("h1", "a", "o1")
        self.exchange_heartbeats()
        self.apply(commands.HaltOrder("o1", "ravi"))
        self.exchange_heartbeats()
        self.exchange_heartbeats()
        self.assertEqual(self.states("o1"), {"a": "out", "c": "halted", "d": "halted"})
        self.assertFalse(self.start("h2", "c", "o1"))
        self.assertEqual(set(self.state_machine.state.permits), {"a"})

    def test_generations_only_rise(self):
        self.apply(commands.ReserveGenerations("h1", {"a": 64}))
        self.apply(commands.ReserveGenerations("h1", {"a": 3}))
        self.assertEqual(self.state_machine.state.generations["a"], 64)

    def test_rejects_command_of_a_later_version_and_keeps_its_state(self):
        self.assertIsInstance(self.state_machine.apply(99, b"\x91\xa5other"), Rejection)
        again = PermitStateMachine()
        again.restore(self.state_machine.snapshot())
        self.assertEqual(again.snapshot(), self.state_machine.snapshot())


class PermitCommandsMachine(RuleBasedStateMachine):
    """The state machine against sets: whatever is applied in whatever order, the budgets hold."""

    def __init__(self) -> None:
        super().__init__()
        self.state_machine, self.index, self.fences = PermitStateMachine(), 0, {}
        self.put(commands.SetTopology(TOPOLOGY))

    def put(self, command) -> object:
        self.index += 1
        return self.state_machine.apply(self.index, commands.encode(command))

    things = st.sampled_from(["a", "b", "c", "d", "cat1", "cat2"])
    idents = st.sampled_from(["o1", "o2", "o3"])

    @rule(
        ident=idents,
        named=st.sets(things, min_size=1),
        verb=st.sampled_from(["drain", "stop", "restart"]),
        whole=st.booleans(),
    )
    def order(self, ident, named, verb, whole):
        self.put(
            commands.SubmitOrder(ident, "asha", verb, 0, SECOND, whole, [(each, 1) for each in sorted(named)])
        )

    @rule(ident=idents, named=st.sets(things, min_size=1))
    def grant(self, ident, named):
        result = self.put(commands.GrantPermits(ident, sorted(named)))
        for thing in named if isinstance(result, int) else ():
            assert result > self.fences.get(thing, 0)
            self.fences[thing] = result

    @rule(
        thing=things,
        kind=st.sampled_from([commands.StartPermit, commands.ReleasePermit, commands.ExpirePermit]),
    )
    def move(self, thing, kind):
        self.put(kind(thing, self.fences.get(thing, 0)))

    @rule(ident=idents, thing=things, how=st.sampled_from(["done", "failed", "refused"]))
    def ended(self, ident, thing, how):
        self.put(commands.FinishTask(ident, thing, how, ""))

    @rule(
        ident=idents, kind=st.sampled_from([commands.HaltOrder, commands.CancelOrder, commands.ExpireOrder])
    )
    def end(self, ident, kind):
        self.put(kind(ident) if kind is commands.ExpireOrder else kind(ident, "ravi"))

    @rule()
    def fold(self):
        self.state_machine.restore(self.state_machine.snapshot())

    @invariant()
    def bounds_hold(self):
        out = set(self.state_machine.state.permits)
        out |= {each for thing in out for each in TOPOLOGY.dependents.get(thing, ())}
        for group in TOPOLOGY.groups:
            assert len(out & set(group.targets)) <= group.max_unavailable, (group, out)


PermitCommandsMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)


PermitCommandsTest = PermitCommandsMachine.TestCase
