"""The permit state machine, with single commands and with random sequences of them."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from oakkeel.disruption import commands
from oakkeel.disruption.state import Rejection
from oakkeel.disruption.state_machine import PermitStateMachine
from oakkeel.units import SECOND
from tests.disruption.permit_cluster import TOPOLOGY, PermitClusterTest


class PermitStateMachineTest(PermitClusterTest):
    def test_target_stays_out_by_the_earlier_order_if_the_next_permit_is_not_used(self):
        """Simulated schedule 1016590: a restart of a stopped target was cancelled before its permit was used,
        and the permit of the stop was lost."""
        self.send_heartbeats()
        self.submit("o1", "a", verb="stop")
        self.send_heartbeats()
        self.start("h1", "a", "o1")
        self.send_heartbeats()
        self.apply(commands.FinishTask("o1", "a", "done", ""))
        self.submit("o2", "a", verb="restart")
        self.send_heartbeats()
        self.assertEqual(self.state_machine.state.permits["a"].order_id, "o2")
        self.apply(commands.HaltOrder("o2", "ravi"))
        self.send_heartbeats()
        self.send_heartbeats()
        permit = self.state_machine.state.permits["a"]
        self.assertEqual((permit.order_id, permit.started), ("o1", True))
        self.serving["a"] = True
        self.send_heartbeats()
        self.holders["h1"].mark_restored("a")
        self.send_heartbeats()
        self.assertNotIn("a", self.state_machine.state.permits)

    def test_halt_releases_granted_permits_and_keeps_started_ones(self):
        self.send_heartbeats()
        self.submit("o1", "a", "c", "d")
        self.send_heartbeats()
        self.start("h1", "a", "o1")
        self.send_heartbeats()
        self.apply(commands.HaltOrder("o1", "ravi"))
        self.send_heartbeats()
        self.send_heartbeats()
        self.assertEqual(self.task_states("o1"), {"a": "out", "c": "halted", "d": "halted"})
        self.assertFalse(self.start("h2", "c", "o1"))
        self.assertEqual(set(self.state_machine.state.permits), {"a"})

    def test_generations_only_increase(self):
        self.apply(commands.ReserveGenerations("h1", {"a": 64}))
        self.apply(commands.ReserveGenerations("h1", {"a": 3}))
        self.assertEqual(self.state_machine.state.generations["a"], 64)

    def test_rejects_command_of_a_later_version_and_restores_the_same_state(self):
        self.assertIsInstance(self.state_machine.apply(99, b"\x91\xa5other"), Rejection)
        restored_machine = PermitStateMachine()
        restored_machine.restore(self.state_machine.snapshot())
        self.assertEqual(restored_machine.snapshot(), self.state_machine.snapshot())


class PermitCommandsMachine(RuleBasedStateMachine):
    """Applies random commands in any order. The targets with permits never exceed a budget."""

    def __init__(self) -> None:
        super().__init__()
        self.state_machine = PermitStateMachine()
        self.index = 0
        self.tokens = {}  # by target: fencing token of the last grant
        self.apply(commands.SetTopology(TOPOLOGY))

    def apply(self, command) -> object:
        self.index += 1
        return self.state_machine.apply(self.index, commands.encode(command))

    target_strategy = st.sampled_from(["a", "b", "c", "d", "cat1", "cat2"])
    order_id_strategy = st.sampled_from(["o1", "o2", "o3"])

    @rule(
        order_id=order_id_strategy,
        target_names=st.sets(target_strategy, min_size=1),
        verb=st.sampled_from(["drain", "stop", "restart"]),
        atomic=st.booleans(),
    )
    def submit(self, order_id, target_names, verb, atomic):
        generations = [(name, 1) for name in sorted(target_names)]
        self.apply(commands.SubmitOrder(order_id, "asha", verb, 0, SECOND, atomic, generations))

    @rule(order_id=order_id_strategy, target_names=st.sets(target_strategy, min_size=1))
    def grant(self, order_id, target_names):
        result = self.apply(commands.GrantPermits(order_id, sorted(target_names)))
        for name in target_names if isinstance(result, int) else ():
            assert result > self.tokens.get(name, 0)
            self.tokens[name] = result

    @rule(
        target_name=target_strategy,
        command_type=st.sampled_from([commands.StartPermit, commands.ReleasePermit, commands.ExpirePermit]),
    )
    def move_permit(self, target_name, command_type):
        self.apply(command_type(target_name, self.tokens.get(target_name, 0)))

    @rule(
        order_id=order_id_strategy,
        target_name=target_strategy,
        state=st.sampled_from(["done", "failed", "refused"]),
    )
    def finish_task(self, order_id, target_name, state):
        self.apply(commands.FinishTask(order_id, target_name, state, ""))

    @rule(
        order_id=order_id_strategy,
        command_type=st.sampled_from([commands.HaltOrder, commands.CancelOrder, commands.ExpireOrder]),
    )
    def end_order(self, order_id, command_type):
        self.apply(
            command_type(order_id) if command_type is commands.ExpireOrder else command_type(order_id, "ravi")
        )

    @rule()
    def restore_snapshot(self):
        self.state_machine.restore(self.state_machine.snapshot())

    @invariant()
    def budgets_hold(self):
        unavailable = set(self.state_machine.state.permits)
        unavailable |= {
            instance for target in unavailable for instance in TOPOLOGY.dependents.get(target, ())
        }
        for group in TOPOLOGY.groups:
            assert len(unavailable & set(group.targets)) <= group.max_unavailable, (group, unavailable)


PermitCommandsMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)


PermitCommandsTest = PermitCommandsMachine.TestCase
