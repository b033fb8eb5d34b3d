"""Tests of the supervisor's decisions in simulated time."""

from itertools import pairwise

from oakkeel.agent.instances import Phase, Verb
from oakkeel.agent.supervision_rules import Action
from oakkeel.units import MS, SECOND
from tests.agent.simulated_host import EMPTY_REPORT, HostTestCase, SimulatedHost


class SupervisorTest(HostTestCase):
    def test_no_instance_is_killed_before_the_time_of_its_own_configuration(self):
        # The node plans its last answers for that time, also where `drain` is shorter (review/6).
        host = self.serving_host(drain_timeout_ns=10 * SECOND)
        instance = host.instances[0]
        host.ignoring_drain.add(instance)
        instance.stop_after_ns = 15 * SECOND
        host.supervisor.order_restart(host.now, instance)
        host.run(15)
        self.assertEqual(host.steps, [(Action.TERM, instance)])
        host.run(1)
        self.assertEqual(host.steps[1], (Action.KILL, instance))

    def test_an_instance_whose_drain_is_sent_again_to_an_adopted_process_keeps_its_time(self):
        host = self.serving_host(drain_timeout_ns=10 * SECOND)
        instance = host.instances[0]
        host.ignoring_drain.add(instance)
        host.supervisor.order_restart(host.now, instance)
        host.run(1)
        host.supervisor.record_adoption(host.now, instance, instance.process_generation, 15 * SECOND)
        host.run(15)
        self.assertEqual(host.steps, [(Action.TERM, instance)] * 2)

    def test_a_drain_by_an_order_gives_the_node_at_least_the_time_of_its_own_configuration(self):
        host = self.serving_host(drain_timeout_ns=10 * SECOND)
        timeouts, instance = host.supervisor.timeouts, host.instances[0]
        self.assertEqual(timeouts.node_drain_timeout(instance), 9 * SECOND)
        instance.stop_after_ns = 15 * SECOND
        self.assertEqual(timeouts.node_drain_timeout(instance), 15 * SECOND)
        self.assertGreater(timeouts.kill_timeout(instance), 15 * SECOND)

    def test_limits_processes_that_start_at_the_same_time(self):
        host = SimulatedHost(instance_count=7, max_starting=3)
        self.assertEqual(len(host.tick()), 3)
        self.assertEqual(host.tick(), [])
        host.run(1)
        self.assertEqual(len(host.steps), 7)

    def test_silent_instance_serves_again_with_its_next_report(self):
        host = self.serving_host()
        host.silent.add(instance := host.instances[0])
        host.run(1.5)
        self.assertEqual((instance.phase, host.steps), (Phase.SILENT, []))
        host.silent.clear()
        host.run(0.2)
        self.assertEqual((instance.phase, host.steps), (Phase.SERVING, []))

    def test_drains_a_stuck_instance_before_killing_it(self):
        host = self.serving_host(stuck_timeout_ns=20 * SECOND, drain_timeout_ns=5 * SECOND)
        stuck = host.instances[0]
        host.silent.add(stuck)
        host.ignoring_drain.add(stuck)
        host.run(20.5)
        self.assertEqual((stuck.phase, host.steps), (Phase.SILENT, []))
        host.run(3)
        self.assertEqual(host.steps, [(Action.TERM, stuck)])
        host.silent.clear()
        host.run(5)
        self.assertEqual(host.steps, [(Action.TERM, stuck), (Action.KILL, stuck), (Action.START, stuck)])

    def test_does_not_restart_a_stuck_instance_if_restart_stuck_is_off(self):
        host = self.serving_host(stuck_timeout_ns=5 * SECOND, restart_stuck=False)
        host.silent.add(host.instances[0])
        host.run(60)
        self.assertEqual((host.instances[0].phase, host.steps), (Phase.STUCK, []))

    def test_backs_off_in_a_crash_loop_until_the_budget_is_spent(self):
        host = self.serving_host(max_restarts=4, restart_window_ns=300 * SECOND, min_backoff_ns=SECOND)
        crashing, start_times = host.instances[0], []
        for _ in range(2000):
            if crashing.phase is Phase.STARTING:
                start_times.append(host.now)
            if crashing.has_process:
                host.crash(crashing)
            host.now += 100 * MS
            host.tick()
        intervals = [after - before for before, after in pairwise(start_times)]
        for crashes, interval in enumerate(
            intervals[:4]
        ):  # with jitter, a delay is at least half of its backoff
            self.assertGreaterEqual(interval, SECOND << crashes >> 1)
        self.assertLessEqual(len(start_times), 4)
        self.assertTrue(crashing.restarts_exhausted)
        host.submit(Verb.START, crashing)
        host.tick()
        self.assertEqual(crashing.phase, Phase.STARTING)  # an operator's start resets the budget

    def test_backoff_differs_between_instances_that_crash_together(self):
        host = self.serving_host(instance_count=8, max_starting=8)
        for each in host.instances:
            host.crash(each)
        self.assertGreater(len({each.start_not_before for each in host.instances}), 6)

    def test_steady_service_resets_the_crash_count(self):
        host = self.serving_host(steady_after_ns=10 * SECOND)
        host.crash(host.instances[0])
        host.run(5)
        self.assertEqual(host.instances[0].consecutive_crashes, 1)
        host.run(10)
        self.assertEqual(host.instances[0].consecutive_crashes, 0)

    def test_ignores_a_report_of_another_generation(self):
        host = self.serving_host()
        instance = host.instances[0]
        last_report_at = instance.last_report_at
        host.now += SECOND // 2
        host.supervisor.apply_report(
            host.now, instance, "draining", instance.process_generation - 1, EMPTY_REPORT
        )
        self.assertEqual((instance.phase, instance.last_report_at), (Phase.SERVING, last_report_at))
        expected = instance.process_generation
        self.assertEqual(instance.why, f"received a report of generation {expected - 1}, expected {expected}")

    def test_ignores_a_report_after_the_process_exited(self):
        host = self.serving_host()
        host.crash(host.instances[0])
        host.supervisor.apply_report(
            host.now, host.instances[0], "serving", host.instances[0].process_generation, EMPTY_REPORT
        )
        self.assertEqual(host.instances[0].phase, Phase.FAILING)

    def test_counts_a_crash_if_the_missing_process_had_written_its_generation(self):
        host = SimulatedHost()
        host.tick()
        started = host.instances[0]
        started.is_spawned = False  # the agent ended before the start was stored
        host.supervisor.record_missing_process(
            host.now, started, recorded_generation=started.process_generation
        )
        self.assertEqual((started.phase, len(started.crash_times)), (Phase.FAILING, 1))

    def test_adopts_a_running_process_and_reuses_a_generation_that_was_never_started(self):
        host = SimulatedHost()
        adopted, never_started = host.instances[:2]
        host.supervisor.record_adoption(host.now, adopted, 5)
        self.assertEqual((adopted.phase, adopted.generation), (Phase.STARTING, 5))
        steps = [step.instance for step in host.supervisor.tick(host.now)]
        self.assertNotIn(adopted, steps)
        host.supervisor.record_missing_process(host.now, never_started, recorded_generation=0)
        host.supervisor.tick(host.now)
        self.assertEqual((never_started.phase, never_started.process_generation), (Phase.STARTING, 1))
