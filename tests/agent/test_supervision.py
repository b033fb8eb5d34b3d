"""Stories of the decisions about instances and orders: simulated time, no process, no socket."""

import time
import unittest
from itertools import pairwise

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from oakkeel.agent.instances import Goal, Instance, Phase
from oakkeel.agent.orders import OrderRegistry, OrderRejectedError, TaskState, Verb
from oakkeel.agent.supervisor import MS, SECOND, Action, SupervisionTimeouts, Supervisor

REPORT = object()


class Host:
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
        self.orders = WatchedOrders(self.supervisor, time.time_ns)
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
        return self.orders.submit(self.now, ident, operator, verb, asked, lasts, supersede)

    def died(self, instance: Instance) -> None:
        self.supervisor.process_exited(self.now, instance, "killed by SIGSEGV")


class WatchedOrders(OrderRegistry):
    """Checks at each beginning that the bound on what is out holds, or nothing more went out."""

    def _start_task(self, now, task) -> None:
        before = self.supervisor.unavailable["woodbrook"]
        super()._start_task(now, task)
        after = self.supervisor.unavailable["woodbrook"]
        assert after <= max(before, self.supervisor.max_unavailable["woodbrook"]), (before, after)


class HostStory(unittest.TestCase):
    def serving(self, **more) -> Host:
        host = Host(**more)
        host.run(3)
        self.assertEqual({each.phase for each in host.instances}, {Phase.SERVING})
        host.steps.clear()
        return host


class SupervisionStories(HostStory):
    def test_no_more_processes_boot_at_once_than_the_host_bears(self):
        host = Host(names=7, starting=3)
        self.assertEqual(len(host.tick()), 3)
        self.assertEqual(host.tick(), [])
        host.run(1)
        self.assertEqual(len(host.steps), 7)

    def test_silence_is_not_death_and_ends_with_the_next_word(self):
        host = self.serving()
        host.quiet.add(quiet := host.instances[0])
        host.run(1.5)
        self.assertEqual((quiet.phase, host.steps), (Phase.SILENT, []))
        host.quiet.clear()
        host.run(0.2)
        self.assertEqual((quiet.phase, host.steps), (Phase.SERVING, []))

    def test_one_silent_until_all_it_read_is_overdue_is_drained_and_only_then_killed(self):
        host = self.serving(stuck=20 * SECOND, drain=5 * SECOND)
        stuck = host.instances[0]
        host.quiet.add(stuck)
        host.deaf.add(stuck)
        host.run(20.5)
        self.assertEqual((stuck.phase, host.steps), (Phase.SILENT, []))
        host.run(3)
        self.assertEqual(host.steps, [(Action.TERM, stuck)])
        host.quiet.clear()
        host.run(5)
        self.assertEqual(host.steps, [(Action.TERM, stuck), (Action.KILL, stuck), (Action.START, stuck)])

    def test_one_that_is_stuck_stays_where_settings_say_so(self):
        host = self.serving(stuck=5 * SECOND, restart_stuck=False)
        host.quiet.add(host.instances[0])
        host.run(60)
        self.assertEqual((host.instances[0].phase, host.steps), (Phase.STUCK, []))

    def test_a_crash_loop_waits_longer_each_time_and_then_rests(self):
        host = self.serving(budget=4, window=300 * SECOND, backoff=SECOND)
        looping, starts = host.instances[0], []
        for _ in range(2000):
            if looping.phase is Phase.STARTING:
                starts.append(host.now)
            if looping.alive:
                host.died(looping)
            host.now += 100 * MS
            host.tick()
        waits = [after - before for before, after in pairwise(starts)]
        for row, wait in enumerate(waits[:4]):  # half at the least, chance has the rest
            self.assertGreaterEqual(wait, SECOND << row >> 1)
        self.assertLessEqual(len(starts), 4)
        self.assertTrue(looping.restarts_exhausted)
        host.take(Verb.START, looping)
        host.tick()
        self.assertEqual(looping.phase, Phase.STARTING)  # an operator's word ends the rest

    def test_backoff_is_different_for_instances_that_die_together(self):
        host = self.serving(names=8, starting=8)
        for each in host.instances:
            host.died(each)
        self.assertGreater(len({each.start_not_before for each in host.instances}), 6)

    def test_steady_service_ends_a_row_of_deaths(self):
        host = self.serving(steady=10 * SECOND)
        host.died(host.instances[0])
        host.run(5)
        self.assertEqual(host.instances[0].failures, 1)
        host.run(10)
        self.assertEqual(host.instances[0].failures, 0)

    def test_an_answer_of_another_generation_is_not_believed(self):
        host = self.serving()
        instance = host.instances[0]
        heard = instance.last_report_at
        host.now += SECOND // 2
        host.supervisor.report_received(
            host.now, instance, "draining", instance.process_generation - 1, REPORT
        )
        self.assertEqual((instance.phase, instance.last_report_at), (Phase.SERVING, heard))
        self.assertIn("answers in place of", instance.why)

    def test_a_report_that_crossed_its_death_changes_nothing(self):
        host = self.serving()
        host.died(host.instances[0])
        host.supervisor.report_received(
            host.now, host.instances[0], "serving", host.instances[0].process_generation, REPORT
        )
        self.assertEqual(host.instances[0].phase, Phase.FAILING)

    def test_one_whose_process_wrote_its_generation_was_there_and_counts_as_dead(self):
        host = Host()
        host.tick()
        made = host.instances[0]
        made.spawned = False  # the agent ended before it could keep that
        host.supervisor.process_not_found(host.now, made, written=made.process_generation)
        self.assertEqual((made.phase, len(made.crashes)), (Phase.FAILING, 1))

    def test_one_found_running_is_watched_and_one_never_made_keeps_its_generation(self):
        host = Host()
        found, never = host.instances[:2]
        host.supervisor.process_adopted(host.now, found, 5)
        self.assertEqual((found.phase, found.generation), (Phase.STARTING, 5))
        steps = [step.instance for step in host.supervisor.tick(host.now)]
        self.assertNotIn(found, steps)
        host.supervisor.process_not_found(host.now, never, written=0)
        host.supervisor.tick(host.now)
        self.assertEqual((never.phase, never.process_generation), (Phase.STARTING, 1))


class OrderStories(HostStory):
    def test_orders_take_out_no_more_than_the_bound_and_go_on_as_room_comes(self):
        host = self.serving(away=2)
        order = host.take(Verb.RESTART, *host.instances)
        worst = 0
        while order.is_open:
            host.run(0.1)
            worst = max(worst, host.supervisor.unavailable["woodbrook"])
        self.assertEqual(worst, 2)
        self.assertEqual({part.state for part in order.tasks}, {TaskState.DONE})
        self.assertEqual([act for act, _ in host.steps].count(Action.START), 4)

    def test_one_that_died_by_itself_takes_the_room(self):
        host = self.serving(away=1, backoff=20 * SECOND)
        host.died(host.instances[0])
        order = host.take(Verb.DRAIN, host.instances[1])
        host.run(5)
        self.assertEqual(order.tasks[0].state, TaskState.WAITING)
        gone = host.take(Verb.DRAIN, host.instances[0], ident="o2")  # what is out already needs none
        host.run(0.2)
        self.assertEqual((gone.tasks[0].state, host.instances[0].phase), (TaskState.DONE, Phase.STOPPED))

    def test_of_two_opposite_orders_for_one_generation_the_first_holds(self):
        host = self.serving()
        instance = host.instances[0]
        seen = instance.generation
        first = host.take(Verb.DRAIN, instance, generation=seen)
        host.now += MS // 2
        second = host.take(Verb.START, instance, ident="o2", operator="ravi", generation=seen, supersede=True)
        self.assertEqual(
            (first.tasks[0].state, second.tasks[0].state), (TaskState.WAITING, TaskState.REFUSED)
        )
        self.assertIn("asha's drain stands since", second.tasks[0].why)
        host.run(2)
        self.assertEqual((instance.phase, instance.goal), (Phase.STOPPED, Goal.DOWN))

    def test_one_who_has_seen_the_standing_order_may_supersede_it(self):
        host = self.serving()
        instance = host.instances[0]
        first = host.take(Verb.RESTART, instance)
        host.deaf.add(instance)
        host.run(0.5)
        refused = host.take(Verb.DRAIN, instance, ident="o2", operator="ravi")
        self.assertIn("asha's restart stands", refused.tasks[0].why)
        second = host.take(Verb.DRAIN, instance, ident="o3", operator="ravi", supersede=True)
        self.assertEqual(
            (first.tasks[0].state, second.tasks[0].state), (TaskState.SUPERSEDED, TaskState.WAITING)
        )
        host.died(instance)
        host.run(1)
        self.assertEqual((instance.phase, second.tasks[0].state), (Phase.STOPPED, TaskState.DONE))

    def test_the_same_order_twice_is_one_and_its_id_serves_no_other(self):
        host = self.serving(away=4)
        instance = host.instances[0]
        first = host.take(Verb.RESTART, instance, generation=1)
        self.assertIs(host.take(Verb.RESTART, instance, generation=1), first)
        host.run(3)
        self.assertIs(host.take(Verb.RESTART, instance, generation=1), first)
        host.run(3)
        self.assertEqual([act for act, _ in host.steps], [Action.TERM, Action.START])
        with self.assertRaises(OrderRejectedError):
            host.take(Verb.STOP, instance, generation=1)
        with self.assertRaises(OrderRejectedError):
            host.take(Verb.RESTART, instance, generation=1, operator="ravi")

    def test_an_order_made_for_a_process_that_has_been_replaced_since_is_refused(self):
        host = self.serving()
        instance = host.instances[0]
        seen = instance.generation
        host.died(instance)
        host.run(5)
        order = host.take(Verb.DRAIN, instance, generation=seen)
        self.assertIn("changed by the agent", order.tasks[0].why)
        self.assertEqual(instance.phase, Phase.SERVING)

    def test_an_order_to_one_that_has_just_died_ends_it_without_another_start(self):
        host = self.serving()
        instance = host.instances[0]
        host.died(instance)
        order = host.take(Verb.STOP, instance)
        host.run(60)
        self.assertEqual(
            (order.tasks[0].state, instance.phase, host.steps), (TaskState.DONE, Phase.STOPPED, [])
        )

    def test_a_restart_while_a_drain_runs_waits_for_nothing_and_brings_it_back(self):
        host = self.serving()
        instance = host.instances[0]
        host.deaf.add(instance)
        host.take(Verb.DRAIN, instance)
        host.run(1)
        host.take(Verb.RESTART, instance, ident="o2", supersede=True)
        host.run(1)
        self.assertEqual(instance.phase, Phase.DRAINING)
        host.died(instance)
        host.run(1)
        self.assertEqual(
            (instance.phase, [act for act, _ in host.steps]), (Phase.SERVING, [Action.TERM, Action.START])
        )

    def test_a_drain_never_kills_and_a_stop_does(self):
        host = self.serving(away=2, drain=5 * SECOND)
        drained, stopped = host.instances[:2]
        host.deaf |= {drained, stopped}
        slow = host.take(Verb.DRAIN, drained, lasts=30 * SECOND)
        host.take(Verb.STOP, stopped, ident="o2")
        host.run(40)
        self.assertEqual(host.steps, [(Action.TERM, drained), (Action.TERM, stopped), (Action.KILL, stopped)])
        self.assertEqual((slow.tasks[0].state, drained.phase), (TaskState.FAILED, Phase.DRAINING))

    def test_cancel_ends_what_waits_and_says_what_has_begun(self):
        host = self.serving(away=1)
        host.deaf.update(host.instances)
        order = host.take(Verb.STOP, *host.instances[:2])
        host.run(0.5)
        host.orders.cancel(host.now, "o1", "ravi")
        self.assertEqual([part.state for part in order.tasks], [TaskState.ACTING, TaskState.CANCELLED])
        self.assertIn("before ravi cancelled", order.tasks[0].why)
        with self.assertRaises(OrderRejectedError):
            host.orders.cancel(host.now, "o9", "ravi")

    def test_what_found_no_room_in_its_time_expires_and_never_begins(self):
        host = self.serving(away=0)
        order = host.take(Verb.STOP, host.instances[0], lasts=3 * SECOND)
        host.run(4)
        self.assertEqual((order.tasks[0].state, host.steps), (TaskState.EXPIRED, []))
        self.assertIsNone(host.instances[0].task)

    def test_a_restart_that_keeps_dying_fails_and_says_why(self):
        host = self.serving(budget=3, away=4)
        order = host.take(Verb.RESTART, host.instances[0], lasts=600 * SECOND)
        for _ in range(600):
            if host.instances[0].phase is Phase.STARTING:
                host.died(host.instances[0])
            host.now += 100 * MS
            host.tick()
        self.assertEqual(order.tasks[0].state, TaskState.FAILED)
        self.assertIn("SIGSEGV", order.tasks[0].why)

    def test_an_order_that_could_not_be_kept_never_was(self):
        host = self.serving(away=4)
        instance = host.instances[0]
        standing = host.take(Verb.STOP, instance, operator="ravi")
        before = instance.generation, instance.changed_by
        host.orders.undo(host.take(Verb.START, instance, ident="o2", supersede=True))
        self.assertEqual((instance.generation, instance.changed_by), before)
        self.assertIs(instance.task, standing.tasks[0])
        host.run(1)
        self.assertEqual((standing.tasks[0].state, instance.phase), (TaskState.DONE, Phase.STOPPED))

    def test_what_can_be_no_order_is_refused_whole(self):
        host = self.serving()
        one = host.instances[0]
        for asked in ((), ((one.name, 1), (one.name, 1)), tuple((f"x{n}", 1) for n in range(9))):
            with self.assertRaises(OrderRejectedError):
                host.orders.submit(host.now, "o1", "asha", Verb.STOP, asked, SECOND)
        self.assertEqual(host.orders.submit(host.now, "o1", "asha", Verb.STOP, (("x", 1),), SECOND).tasks, [])

    def test_the_table_of_orders_is_bounded_and_forgets_the_oldest_that_ended(self):
        host = self.serving(away=4)
        host.orders.max_orders = 5
        for number in range(9):
            host.take(Verb.START, host.instances[0], ident=f"o{number}")
            host.run(0.2)
        self.assertEqual(list(host.orders.orders), ["o4", "o5", "o6", "o7", "o8"])
        self.assertEqual(host.orders.deleted, ["o0", "o1", "o2", "o3"])


class AnyOrders(RuleBasedStateMachine):
    """Whatever is ordered and whatever dies: orders never take out more than the bound."""

    def __init__(self) -> None:
        super().__init__()
        self.host = Host(names=5, away=2, starting=5)
        self.host.run(2)
        self.number = 0

    @rule(
        verb=st.sampled_from(list(Verb)),
        which=st.sets(st.integers(0, 4), min_size=1),
        old=st.booleans(),
        supersede=st.booleans(),
        operator=st.sampled_from(["asha", "ravi"]),
    )
    def order(self, verb, which, old, supersede, operator):
        self.number += 1
        self.host.take(
            verb,
            *(self.host.instances[each] for each in sorted(which)),
            ident=f"o{self.number}",
            operator=operator,
            generation=1 if old else None,
            supersede=supersede,
        )

    @rule(which=st.integers(0, 4))
    def dies(self, which):
        if self.host.instances[which].alive:
            self.host.died(self.host.instances[which])

    @rule(which=st.integers(0, 4))
    def deaf_or_not(self, which):
        self.host.deaf ^= {self.host.instances[which]}

    @rule(which=st.integers(0, 4))
    def quiet_or_not(self, which):
        self.host.quiet ^= {self.host.instances[which]}

    @rule(seconds=st.sampled_from([0.1, 1, 12, 40]))
    def time(self, seconds):
        self.host.run(seconds, step=100 * MS if seconds <= 1 else SECOND)

    @rule(number=st.integers(1, 9))
    def cancel(self, number):
        if f"o{number}" in self.host.orders.orders:
            self.host.orders.cancel(self.host.now, f"o{number}", "ravi")

    @invariant()
    def what_is_out_is_counted_right(self):
        assert self.host.supervisor.unavailable["woodbrook"] == sum(
            each.phase is not Phase.SERVING for each in self.host.instances
        )

    @invariant()
    def one_open_order_each(self):
        open_parts = [
            part.instance
            for order in self.host.orders.orders.values()
            for part in order.tasks
            if part.is_open
        ]
        assert len(open_parts) == len(set(open_parts))
        assert all(each.task is not None for each in open_parts)


class AnyOrdersStory(AnyOrders.TestCase):
    settings = settings(max_examples=60, stateful_step_count=30, deadline=None, derandomize=True)
