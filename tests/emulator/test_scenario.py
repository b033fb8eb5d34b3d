"""Stories of the emulator: the same day gives the same bytes, and its auditor tells of every broken rule."""

import unittest
from unittest import mock

from oakkeel.admission import AdmissionController
from oakkeel.emulator.clients import BalancingPolicy, ClientBehavior
from oakkeel.emulator.clock import SECOND, Clock
from oakkeel.emulator.invariants import RuleAudit
from oakkeel.emulator.machines import Machine
from oakkeel.emulator.nodes import MS, SimulatedNode
from oakkeel.emulator.scenario import FaultEvent, FaultKind, Scenario, ScenarioRun, play

SHORT = Scenario(nodes=2, dispatchers=2, seconds=4.0)


class ClockStories(unittest.TestCase):
    def test_things_happen_by_time_then_by_making_and_can_be_called_off(self):
        clock, seen = Clock(), []
        clock.at(20, seen.append, "b")
        clock.at(10, seen.append, "a")
        clock.at(20, seen.append, "c")
        clock.at(20, seen.append, "off").call_off()
        clock.at(30, seen.append, "later")
        clock.run(20)
        self.assertEqual((seen, clock.now, clock.happened), (["a", "b", "c"], 20, 3))


class MachineStories(unittest.TestCase):
    def ends(self, cores: int, works: list[int], **more) -> list[int]:
        clock, ended = Clock(), {}
        machine = Machine(clock, cores, **more)
        for number, work in enumerate(works):
            machine.start(work, lambda number=number: ended.setdefault(number, clock.now))
        clock.run(SECOND)
        return [round(ended[number] / MS) for number in range(len(works))]

    def test_tasks_share_cores_evenly_and_those_that_stay_get_faster(self):
        self.assertEqual(self.ends(2, [10 * MS, 10 * MS]), [10, 10])
        self.assertEqual(self.ends(1, [10 * MS, 10 * MS]), [20, 20])
        self.assertEqual(self.ends(1, [10 * MS, 20 * MS]), [20, 30])

    def test_a_crowd_past_the_knee_costs_all_of_them(self):
        self.assertEqual(self.ends(1, [10 * MS] * 4, knee=2.0, slope=0.5), [80] * 4)

    def test_one_stopped_leaves_its_share_and_a_machine_that_stands_still_does_nothing(self):
        clock, ended = Clock(), []
        machine = Machine(clock, 1)
        gone = machine.start(10 * MS, lambda: ended.append("gone"))
        machine.start(10 * MS, lambda: ended.append(clock.now))
        clock.run(5 * MS)
        machine.stop(gone)
        machine.change(0.0)
        clock.run(100 * MS)
        machine.change(1.0)
        clock.run(SECOND)
        self.assertEqual([round(each / MS, 1) for each in ended], [107.5])
        self.assertAlmostEqual(machine.busy / MS, 107.5, delta=0.1)


class DayStories(unittest.TestCase):
    def test_the_same_seed_gives_the_same_bytes_and_another_does_not(self):
        first, again = play(SHORT), play(SHORT)
        self.assertEqual(first.record(), again.record())
        other = play(Scenario(nodes=2, dispatchers=2, seconds=4.0, seed=2))
        self.assertNotEqual(first.record(), other.record())
        self.assertEqual((first.breaches, other.breaches), ([], []))
        self.assertGreater(first.benefit / first.of, 0.9)

    def test_troubles_that_overlap_break_no_rule(self):
        result = play(
            Scenario(
                nodes=3,
                dispatchers=2,
                seconds=9.0,
                manners=ClientBehavior(way=BalancingPolicy.LEAST),
                events=(
                    FaultEvent(FaultKind.SLOW, 1, 3, 0.5),
                    FaultEvent(FaultKind.STILL, 2, 0.7, node=1),
                    FaultEvent(FaultKind.DIE, 3, node=2),
                    FaultEvent(FaultKind.FLOOD, 4, 2, 2.0),
                    FaultEvent(FaultKind.RELEASE, 5, 2, 1),
                ),
            )
        )
        self.assertEqual(result.breaches, [])
        self.assertGreater(result.counts["denied"], 0)

    def test_a_hasty_dispatcher_gives_up_while_answers_travel_and_nothing_runs_twice(self):
        result = play(
            Scenario(
                nodes=2,
                dispatchers=2,
                seconds=4.0,
                load=1.2,
                manners=ClientBehavior(hasty=60 * MS, delay=20 * MS),
            )
        )
        self.assertEqual(result.breaches, [])

    def test_a_node_that_dies_as_a_run_ends_owes_nothing(self):
        played = ScenarioRun(SHORT)
        node = played.nodes[0]
        done = SimulatedNode._done

        def dies(self, opened):
            if self is node and played.clock.now > SECOND and self.alive:
                self.die()
            done(self, opened)

        with mock.patch.object(SimulatedNode, "_done", dies):
            result = played.play()
        self.assertFalse(node.alive)
        self.assertEqual(result.breaches, [])


class PlantedStories(unittest.TestCase):
    """Faults put into a node, one for each rule; the auditor must tell of each."""

    def told(self, name: str, planted, day: Scenario = SHORT) -> str:
        with mock.patch.object(SimulatedNode, name, planted):
            return "\n".join(play(day).breaches)

    def test_an_exchange_that_is_never_answered_is_told(self):
        answer, count = SimulatedNode._answer, iter(range(10**9))

        def silent(self, opened, word, retry_after):
            if next(count) % 50:
                answer(self, opened, word, retry_after)

        self.assertIn("got no answer", self.told("_answer", silent))

    def test_two_answers_are_told(self):
        def twice(self, opened, word, retry_after):
            opened.answer(word, retry_after)
            opened.answer(word, retry_after)

        self.assertIn("got 2 answers", self.told("_answer", twice))

    def test_a_late_answer_is_told(self):
        answer = SimulatedNode._answer

        def late(self, opened, word, retry_after):
            self.clock.after(10 * SECOND, answer, self, opened, word, retry_after)

        self.assertIn("ms late", self.told("_answer", late))

    def test_an_answer_to_what_never_ran_is_told(self):
        self.assertIn(
            "never ran",
            self.told(
                "reject",
                lambda self, request, last, after: self._answer(self.open[request], "completed", 0),
                Scenario(nodes=1, dispatchers=1, seconds=3.0, load=2.0),
            ),
        )

    def test_a_second_run_is_told(self):
        run = SimulatedNode.run

        def twice(self, request):
            run(self, request)
            self.audit.arrived_and_ran(self.open[request].ident, self.open[request].arrived)

        self.assertIn("ran 2 times", self.told("run", twice))

    def test_a_mutating_exchange_that_takes_effect_on_two_nodes_is_told(self):
        audit = RuleAudit()
        for ident, node in ((1, "n1"), (2, "n2")):
            audit.sent(ident, 0, SECOND, True, "w1", node)
            audit.arrived_and_ran(ident, 0)
            audit.effect(ident)
        self.assertIn("rule 2: w1 took effect 2 times", audit.breaches)

    def test_a_run_after_the_grace_is_told(self):
        day = Scenario(nodes=2, dispatchers=2, seconds=8.0, events=(FaultEvent(FaultKind.RELEASE, 1, 1, 1),))

        def never_listed(self):
            return None  # dispatchers go on sending to the node that leaves

        with (
            mock.patch.object(ScenarioRun, "_list", never_listed),
            mock.patch.object(AdmissionController, "drain", lambda self, now, left: None),
        ):
            self.assertIn("after its grace and ran", "\n".join(play(day).breaches))
        with mock.patch.object(ScenarioRun, "_list", never_listed):
            self.assertNotIn("after its grace", "\n".join(play(day).breaches))

    def test_a_node_that_runs_all_at_once_falls_over(self):
        def schedule(self, now):
            self.now = now
            for row in list(self.queue):
                self.queue.remove(row)
                if row[2].state.name == "QUEUED":
                    self.occupancy.move(now, row[2], type(row[2].state).RUNNING)
                    self.host.run(row[2])

        def admit_all(self, now, request):
            self.now = request.arrived_at = request.state_since = now
            request.objective_end = request.deadline = now + 100 * SECOND
            self._enqueue(request)

        with (
            mock.patch.object(AdmissionController, "schedule", schedule),
            mock.patch.object(AdmissionController, "arrive", admit_all),
        ):
            told = "\n".join(play(Scenario(nodes=1, dispatchers=1, seconds=6.0, load=4.0)).breaches)
        self.assertIn("rule 4: n1 fell over", told)
