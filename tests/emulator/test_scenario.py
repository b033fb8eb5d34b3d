"""Tests of the emulator: a scenario is repeatable byte by byte, and the audit reports each broken rule."""

import unittest
from unittest import mock

from oakkeel.admission import AdmissionController
from oakkeel.emulator.clients import BalancingPolicy, ClientBehavior
from oakkeel.emulator.clock import Clock
from oakkeel.emulator.invariants import RuleAudit
from oakkeel.emulator.machines import Machine
from oakkeel.emulator.nodes import ResponseStatus, SimulatedNode
from oakkeel.emulator.scenario import FaultEvent, FaultKind, Scenario, ScenarioRun, run_scenario
from oakkeel.units import MS, SECOND

SHORT_SCENARIO = Scenario(nodes=2, dispatchers=2, seconds=4.0)


class ClockTest(unittest.TestCase):
    def test_runs_events_by_time_then_by_scheduling_and_skips_cancelled_ones(self):
        clock, calls = Clock(), []
        clock.call_at(20, calls.append, "b")
        clock.call_at(10, calls.append, "a")
        clock.call_at(20, calls.append, "c")
        clock.call_at(20, calls.append, "cancelled").cancel()
        clock.call_at(30, calls.append, "later")
        clock.run(20)
        self.assertEqual((calls, clock.now, clock.events_processed), (["a", "b", "c"], 20, 3))


class MachineTest(unittest.TestCase):
    def end_times(self, cores: int, costs: list[int], **contention) -> list[int]:
        clock, end_times = Clock(), {}
        machine = Machine(clock, cores, **contention)
        for number, cost in enumerate(costs):
            machine.start(cost, lambda number=number: end_times.setdefault(number, clock.now))
        clock.run(SECOND)
        return [round(end_times[number] / MS) for number in range(len(costs))]

    def test_shares_cores_evenly_and_speeds_up_the_tasks_that_remain(self):
        self.assertEqual(self.end_times(2, [10 * MS, 10 * MS]), [10, 10])
        self.assertEqual(self.end_times(1, [10 * MS, 10 * MS]), [20, 20])
        self.assertEqual(self.end_times(1, [10 * MS, 20 * MS]), [20, 30])

    def test_contention_past_the_knee_slows_all_tasks(self):
        self.assertEqual(self.end_times(1, [10 * MS] * 4, knee=2.0, slope=0.5), [80] * 4)

    def test_stopping_a_task_frees_its_share_and_a_stalled_machine_makes_no_progress(self):
        clock, end_times = Clock(), []
        machine = Machine(clock, 1)
        stopped = machine.start(10 * MS, lambda: end_times.append("stopped"))
        machine.start(10 * MS, lambda: end_times.append(clock.now))
        clock.run(5 * MS)
        machine.stop(stopped)
        machine.set_speed(0.0)
        clock.run(100 * MS)
        machine.set_speed(1.0)
        clock.run(SECOND)
        self.assertEqual([round(end / MS, 1) for end in end_times], [107.5])
        self.assertAlmostEqual(machine.busy_time / MS, 107.5, delta=0.1)


class ScenarioTest(unittest.TestCase):
    def test_same_seed_gives_the_same_bytes_and_another_seed_does_not(self):
        first, second = run_scenario(SHORT_SCENARIO), run_scenario(SHORT_SCENARIO)
        self.assertEqual(first.record(), second.record())
        other_seed = run_scenario(Scenario(nodes=2, dispatchers=2, seconds=4.0, seed=2))
        self.assertNotEqual(first.record(), other_seed.record())
        self.assertEqual((first.breaches, other_seed.breaches), ([], []))
        self.assertGreater(first.goodput / first.max_goodput, 0.9)

    def test_overlapping_faults_break_no_rule(self):
        result = run_scenario(
            Scenario(
                nodes=3,
                dispatchers=2,
                seconds=9.0,
                client_behavior=ClientBehavior(policy=BalancingPolicy.LEAST_REQUESTS),
                events=(
                    FaultEvent(FaultKind.SLOW, 1, 3, 0.5),
                    FaultEvent(FaultKind.STALL, 2, 0.7, node=1),
                    FaultEvent(FaultKind.CRASH, 3, node=2),
                    FaultEvent(FaultKind.LOAD_SPIKE, 4, 2, 2.0),
                    FaultEvent(FaultKind.RELEASE, 5, 2, 1),
                ),
            )
        )
        self.assertEqual(result.breaches, [])
        self.assertGreater(result.counts["denied"], 0)

    def test_abandoning_attempts_while_responses_are_in_transit_runs_nothing_twice(self):
        result = run_scenario(
            Scenario(
                nodes=2,
                dispatchers=2,
                seconds=4.0,
                load=1.2,
                client_behavior=ClientBehavior(abandon_after=60 * MS, network_delay=20 * MS),
            )
        )
        self.assertEqual(result.breaches, [])

    def test_node_that_crashes_as_a_run_ends_need_not_respond(self):
        scenario_run = ScenarioRun(SHORT_SCENARIO)
        node = scenario_run.nodes[0]
        complete = SimulatedNode._complete

        def crash_first(self, open_request):
            if self is node and scenario_run.clock.now > SECOND and self.alive:
                self.crash()
            complete(self, open_request)

        with mock.patch.object(SimulatedNode, "_complete", crash_first):
            result = scenario_run.run()
        self.assertFalse(node.alive)
        self.assertEqual(result.breaches, [])


class RuleAuditTest(unittest.TestCase):
    """The audit reports each of the defects that are put into a simulated node."""

    def breaches_with(self, method: str, defect, scenario: Scenario = SHORT_SCENARIO) -> str:
        with mock.patch.object(SimulatedNode, method, defect):
            return "\n".join(run_scenario(scenario).breaches)

    def test_reports_request_without_a_response(self):
        respond, response_numbers = SimulatedNode._respond, iter(range(10**9))

        def drop_some(self, open_request, status, retry_after):
            if next(response_numbers) % 50:
                respond(self, open_request, status, retry_after)

        self.assertIn("got no response", self.breaches_with("_respond", drop_some))

    def test_reports_two_responses(self):
        def respond_twice(self, open_request, status, retry_after):
            open_request.respond(status, retry_after)
            open_request.respond(status, retry_after)

        self.assertIn("got 2 responses", self.breaches_with("_respond", respond_twice))

    def test_reports_late_response(self):
        respond = SimulatedNode._respond

        def respond_late(self, open_request, status, retry_after):
            self.clock.call_after(10 * SECOND, respond, self, open_request, status, retry_after)

        self.assertIn("ms late", self.breaches_with("_respond", respond_late))

    def test_reports_completion_of_a_request_that_never_ran(self):
        def complete_rejected(self, request, final, retry_after):
            self._respond(self.open_requests[request], ResponseStatus.COMPLETED, 0)

        overload = Scenario(nodes=1, dispatchers=1, seconds=3.0, load=2.0)
        self.assertIn("never ran", self.breaches_with("reject", complete_rejected, overload))

    def test_reports_second_run(self):
        run = SimulatedNode.run

        def run_twice(self, request):
            run(self, request)
            open_request = self.open_requests[request]
            self.audit.run_started(open_request.request_id, open_request.arrived_at)

        self.assertIn("ran 2 times", self.breaches_with("run", run_twice))

    def test_reports_non_idempotent_request_that_takes_effect_on_two_nodes(self):
        audit = RuleAudit()
        for attempt_id, node in ((1, "n1"), (2, "n2")):
            audit.attempt_sent(attempt_id, 0, SECOND, True, "w1", node)
            audit.run_started(attempt_id, 0)
            audit.run_completed(attempt_id)
        self.assertIn("rule 2: w1 took effect 2 times", audit.breaches)

    def test_reports_run_after_the_grace_period(self):
        release = FaultEvent(FaultKind.RELEASE, 1, 1, 1)
        scenario = Scenario(nodes=2, dispatchers=2, seconds=8.0, events=(release,))

        def never_publish(self):
            return None  # dispatchers keep sending to the draining node

        with (
            mock.patch.object(ScenarioRun, "_publish_nodes", never_publish),
            mock.patch.object(AdmissionController, "drain", lambda self, now, remaining: None),
        ):
            self.assertIn("after its grace period and ran", "\n".join(run_scenario(scenario).breaches))
        with mock.patch.object(ScenarioRun, "_publish_nodes", never_publish):
            self.assertNotIn("after its grace period", "\n".join(run_scenario(scenario).breaches))

    def test_reports_node_that_runs_everything_at_once(self):
        def run_all(self, now):
            while (request := self.queue.first()) is not None:
                self.queue.pop()
                self.occupancy.move(now, request, type(request.state).RUNNING)
                self.host.run(request)

        def admit_all(self, now, request):
            request.arrived_at = request.state_since = now
            request.objective_end = request.deadline = now + 100 * SECOND
            self._enqueue(now, request)

        with (
            mock.patch.object(AdmissionController, "schedule", run_all),
            mock.patch.object(AdmissionController, "arrive", admit_all),
        ):
            scenario = Scenario(nodes=1, dispatchers=1, seconds=6.0, load=4.0)
            breaches = "\n".join(run_scenario(scenario).breaches)
        self.assertIn("rule 4: n1 was overloaded", breaches)
