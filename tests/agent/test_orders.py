"""Tests of the order registry in simulated time."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from oakkeel.agent.instances import Goal, HostTaskState, Phase, Verb
from oakkeel.agent.order_rules import OrderRejectedError, OrderSubmission
from oakkeel.agent.supervision_rules import Action
from oakkeel.units import MS, SECOND
from tests.agent.simulated_host import HostTestCase, SimulatedHost


class OrderRegistryTest(HostTestCase):
    def test_orders_respect_the_budget_and_continue_as_instances_serve_again(self):
        host = self.serving_host(max_unavailable=2)
        order = host.submit(Verb.RESTART, *host.instances)
        most_unavailable = 0
        while order.is_open:
            host.run(0.1)
            most_unavailable = max(most_unavailable, host.supervisor.unavailable["woodbrook"])
        self.assertEqual(most_unavailable, 2)
        self.assertEqual({task.state for task in order.tasks}, {HostTaskState.DONE})
        self.assertEqual([action for action, _ in host.steps].count(Action.START), 4)

    def test_crashed_instance_counts_as_unavailable(self):
        host = self.serving_host(max_unavailable=1, min_backoff_ns=20 * SECOND)
        host.crash(host.instances[0])
        order = host.submit(Verb.DRAIN, host.instances[1])
        host.run(5)
        self.assertEqual(order.tasks[0].state, HostTaskState.WAITING)
        # An unavailable instance needs no budget.
        drain_order = host.submit(Verb.DRAIN, host.instances[0], order_id="o2")
        host.run(0.2)
        self.assertEqual(
            (drain_order.tasks[0].state, host.instances[0].phase), (HostTaskState.DONE, Phase.STOPPED)
        )

    def test_accepts_the_first_of_two_orders_for_one_generation_and_refuses_the_second(self):
        host = self.serving_host()
        instance = host.instances[0]
        seen_generation = instance.generation
        first = host.submit(Verb.DRAIN, instance, generation=seen_generation)
        host.now += MS // 2
        second = host.submit(
            Verb.START, instance, order_id="o2", operator="ravi", generation=seen_generation, supersede=True
        )
        self.assertEqual(
            (first.tasks[0].state, second.tasks[0].state), (HostTaskState.WAITING, HostTaskState.REFUSED)
        )
        self.assertIn("asha's drain is open since", second.tasks[0].why)
        host.run(2)
        self.assertEqual((instance.phase, instance.goal), (Phase.STOPPED, Goal.DOWN))

    def test_supersedes_the_open_order_when_requested(self):
        host = self.serving_host()
        instance = host.instances[0]
        first = host.submit(Verb.RESTART, instance)
        host.ignoring_drain.add(instance)
        host.run(0.5)
        refused = host.submit(Verb.DRAIN, instance, order_id="o2", operator="ravi")
        self.assertIn("asha's restart is open", refused.tasks[0].why)
        second = host.submit(Verb.DRAIN, instance, order_id="o3", operator="ravi", supersede=True)
        self.assertEqual(
            (first.tasks[0].state, second.tasks[0].state), (HostTaskState.SUPERSEDED, HostTaskState.WAITING)
        )
        host.crash(instance)
        host.run(1)
        self.assertEqual((instance.phase, second.tasks[0].state), (Phase.STOPPED, HostTaskState.DONE))

    def test_deduplicates_orders_by_id_and_rejects_a_reused_id(self):
        host = self.serving_host(max_unavailable=4)
        instance = host.instances[0]
        first = host.submit(Verb.RESTART, instance, generation=1)
        self.assertIs(host.submit(Verb.RESTART, instance, generation=1), first)
        host.run(3)
        self.assertIs(host.submit(Verb.RESTART, instance, generation=1), first)
        host.run(3)
        self.assertEqual([action for action, _ in host.steps], [Action.TERM, Action.START])
        with self.assertRaises(OrderRejectedError):
            host.submit(Verb.STOP, instance, generation=1)
        with self.assertRaises(OrderRejectedError):
            host.submit(Verb.RESTART, instance, generation=1, operator="ravi")

    def test_rejects_an_order_for_a_replaced_process(self):
        host = self.serving_host()
        instance = host.instances[0]
        seen_generation = instance.generation
        host.crash(instance)
        host.run(5)
        order = host.submit(Verb.DRAIN, instance, generation=seen_generation)
        self.assertIn("changed by the agent", order.tasks[0].why)
        self.assertEqual(instance.phase, Phase.SERVING)

    def test_stop_of_a_crashed_instance_prevents_its_restart(self):
        host = self.serving_host()
        instance = host.instances[0]
        host.crash(instance)
        order = host.submit(Verb.STOP, instance)
        host.run(60)
        self.assertEqual(
            (order.tasks[0].state, instance.phase, host.steps), (HostTaskState.DONE, Phase.STOPPED, [])
        )

    def test_an_order_sent_again_after_its_restart_gets_the_first_answer_and_is_not_carried_out_again(self):
        # The command line names the generations that it sees, and the restart has changed them.
        host = self.serving_host()
        order = host.submit(Verb.RESTART, host.instances[0])
        host.run(5)
        self.assertEqual(order.tasks[0].state, HostTaskState.DONE)
        steps = list(host.steps)
        self.assertIs(host.submit(Verb.RESTART, host.instances[0]), order)
        host.run(5)
        self.assertEqual(host.steps, steps)
        for verb, instance, operator in (
            (Verb.STOP, host.instances[0], "asha"),
            (Verb.RESTART, host.instances[1], "asha"),
            (Verb.RESTART, host.instances[0], "ravi"),
        ):
            with self.assertRaisesRegex(OrderRejectedError, "belongs to another order"):
                host.submit(verb, instance, operator=operator)

    def test_restart_during_a_drain_starts_the_instance_again(self):
        host = self.serving_host()
        instance = host.instances[0]
        host.ignoring_drain.add(instance)
        host.submit(Verb.DRAIN, instance)
        host.run(1)
        host.submit(Verb.RESTART, instance, order_id="o2", supersede=True)
        host.run(1)
        self.assertEqual(instance.phase, Phase.DRAINING)
        host.crash(instance)
        host.run(1)
        self.assertEqual(
            (instance.phase, [action for action, _ in host.steps]),
            (Phase.SERVING, [Action.TERM, Action.START]),
        )

    def test_stop_kills_an_instance_after_the_drain_timeout_and_drain_does_not(self):
        host = self.serving_host(max_unavailable=2, drain_timeout_ns=5 * SECOND)
        drained_instance, stopped_instance = host.instances[:2]
        host.ignoring_drain |= {drained_instance, stopped_instance}
        drain_order = host.submit(Verb.DRAIN, drained_instance, lifetime_ns=30 * SECOND)
        host.submit(Verb.STOP, stopped_instance, order_id="o2")
        host.run(40)
        self.assertEqual(
            host.steps,
            [
                (Action.TERM, drained_instance),
                (Action.TERM, stopped_instance),
                (Action.KILL, stopped_instance),
            ],
        )
        self.assertEqual(
            (drain_order.tasks[0].state, drained_instance.phase), (HostTaskState.FAILED, Phase.DRAINING)
        )

    def test_cancel_ends_waiting_tasks_and_reports_started_tasks(self):
        host = self.serving_host(max_unavailable=1)
        host.ignoring_drain.update(host.instances)
        order = host.submit(Verb.STOP, *host.instances[:2])
        host.run(0.5)
        host.orders.cancel(host.now, "o1", "ravi")
        self.assertEqual(
            [task.state for task in order.tasks], [HostTaskState.IN_PROGRESS, HostTaskState.CANCELLED]
        )
        self.assertIn("before ravi cancelled", order.tasks[0].why)
        with self.assertRaises(OrderRejectedError):
            host.orders.cancel(host.now, "o9", "ravi")

    def test_expires_a_task_that_the_budget_never_allows(self):
        host = self.serving_host(max_unavailable=0)
        order = host.submit(Verb.STOP, host.instances[0], lifetime_ns=3 * SECOND)
        host.run(4)
        self.assertEqual((order.tasks[0].state, host.steps), (HostTaskState.EXPIRED, []))
        self.assertIsNone(host.instances[0].task)

    def test_fails_a_restart_in_a_crash_loop_with_the_reason(self):
        host = self.serving_host(max_restarts=3, max_unavailable=4)
        order = host.submit(Verb.RESTART, host.instances[0], lifetime_ns=600 * SECOND)
        for _ in range(600):
            if host.instances[0].phase is Phase.STARTING:
                host.crash(host.instances[0])
            host.now += 100 * MS
            host.tick()
        self.assertEqual(order.tasks[0].state, HostTaskState.FAILED)
        self.assertIn("SIGSEGV", order.tasks[0].why)

    def test_undo_reverts_all_changes_of_an_order(self):
        host = self.serving_host(max_unavailable=4)
        instance = host.instances[0]
        open_order = host.submit(Verb.STOP, instance, operator="ravi")
        generation_and_author = instance.generation, instance.changed_by
        host.orders.undo(host.submit(Verb.START, instance, order_id="o2", supersede=True))
        self.assertEqual((instance.generation, instance.changed_by), generation_and_author)
        self.assertIs(instance.task, open_order.tasks[0])
        host.run(1)
        self.assertEqual((open_order.tasks[0].state, instance.phase), (HostTaskState.DONE, Phase.STOPPED))

    def test_rejects_malformed_orders(self):
        host = self.serving_host()
        instance = host.instances[0]
        for requested_instances in (
            (),
            ((instance.name, 1), (instance.name, 1)),
            tuple((f"x{n}", 1) for n in range(9)),
        ):
            with self.assertRaises(OrderRejectedError):
                host.orders.submit(
                    host.now, OrderSubmission("o1", "asha", Verb.STOP, requested_instances, SECOND)
                )
        unknown = OrderSubmission("o1", "asha", Verb.STOP, (("x", 1),), SECOND)
        self.assertEqual(host.orders.submit(host.now, unknown).tasks, [])

    def test_deletes_the_oldest_ended_orders_beyond_the_limit(self):
        host = self.serving_host(max_unavailable=4)
        host.orders.max_orders = 5
        for number in range(9):
            host.submit(Verb.START, host.instances[0], order_id=f"o{number}")
            host.run(0.2)
        self.assertEqual(list(host.orders.orders), ["o4", "o5", "o6", "o7", "o8"])
        self.assertEqual(host.orders.deleted_order_ids, ["o0", "o1", "o2", "o3"])


class AnyOrders(RuleBasedStateMachine):
    """Random orders and crashes: orders never exceed the disruption budget."""

    def __init__(self) -> None:
        super().__init__()
        self.host = SimulatedHost(instance_count=5, max_unavailable=2, max_starting=5)
        self.host.run(2)
        self.number = 0  # of the last order

    @rule(
        verb=st.sampled_from(list(Verb)),
        indices=st.sets(st.integers(0, 4), min_size=1),
        is_outdated=st.booleans(),
        supersede=st.booleans(),
        operator=st.sampled_from(["asha", "ravi"]),
    )
    def order(self, verb, indices, is_outdated, supersede, operator):
        self.number += 1
        self.host.submit(
            verb,
            *(self.host.instances[each] for each in sorted(indices)),
            order_id=f"o{self.number}",
            operator=operator,
            generation=1 if is_outdated else None,
            supersede=supersede,
        )

    @rule(index=st.integers(0, 4))
    def crash(self, index):
        if self.host.instances[index].has_process:
            self.host.crash(self.host.instances[index])

    @rule(index=st.integers(0, 4))
    def toggle_ignoring_drain(self, index):
        self.host.ignoring_drain ^= {self.host.instances[index]}

    @rule(index=st.integers(0, 4))
    def toggle_silent(self, index):
        self.host.silent ^= {self.host.instances[index]}

    @rule(seconds=st.sampled_from([0.1, 1, 12, 40]))
    def time(self, seconds):
        self.host.run(seconds, step=100 * MS if seconds <= 1 else SECOND)

    @rule(number=st.integers(1, 9))
    def cancel(self, number):
        if f"o{number}" in self.host.orders.orders:
            self.host.orders.cancel(self.host.now, f"o{number}", "ravi")

    @invariant()
    def unavailable_instances_are_counted(self):
        assert self.host.supervisor.unavailable["woodbrook"] == sum(
            each.phase is not Phase.SERVING for each in self.host.instances
        )

    @invariant()
    def each_instance_has_one_open_order(self):
        open_tasks = [
            task.instance
            for order in self.host.orders.orders.values()
            for task in order.tasks
            if task.is_open
        ]
        assert len(open_tasks) == len(set(open_tasks))
        assert all(each.task is not None for each in open_tasks)


class AnyOrdersTest(AnyOrders.TestCase):
    settings = settings(max_examples=60, stateful_step_count=30, deadline=None, derandomize=True)
