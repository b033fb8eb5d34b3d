"""Sequential tests and the gates of a release."""

import unittest
import unittest.mock
from random import Random

from oakkeel.rollout.gates import Decision, Gate, Samples
from oakkeel.rollout.sequential import Difference, Events, Sums

SECOND = 1_000_000_000


def bits(random: Random, chance: float, count: int) -> Sums:
    good = sum(random.random() < chance for _ in range(count))
    return Sums(count, good, good)


class SequentialStories(unittest.TestCase):
    def halted(self, seed: int, old: float, new: float, stretches: int = 300) -> bool:
        random, test = Random(seed), Difference()
        for _ in range(stretches):
            test.look(bits(random, old, 110), bits(random, new, 10), 0.05)
            if test.new.count > 50 and test.worse(0.0, 0.02) > 4.605:
                return True
        return False

    def test_looking_after_every_stretch_keeps_the_bound_on_false_halts(self):
        self.assertLessEqual(sum(self.halted(seed, 0.95, 0.95) for seed in range(200)), 4)

    def test_a_loss_is_found_and_the_bound_alone_would_not_have_been_kept_by_a_fixed_test(self):
        self.assertGreaterEqual(sum(self.halted(seed, 0.95, 0.91) for seed in range(40)), 38)
        random, false = Random(5), 0
        for _ in range(100):  # a test made for one look, looked at 300 times
            old, new = Sums(), Sums()
            for _ in range(300):
                old.add(bits(random, 0.95, 110))
                new.add(bits(random, 0.95, 10))
                spread = (0.95 * 0.05 * (1 / old.count + 1 / new.count)) ** 0.5
                if new.count > 50 and (old.mean - new.mean) / spread > 2.326:
                    false += 1
                    break
        self.assertGreater(false, 4)

    def test_deaths_count_against_the_part_of_the_time_that_the_new_had(self):
        few, fair = Events(), Events()
        few.happened(True, 1 / 12)
        self.assertLess(few.worse(), 4.605)
        few.happened(True, 1 / 12)
        few.happened(True, 1 / 12)
        self.assertGreater(few.worse(), 4.605)
        for number in range(60):
            fair.happened(number % 12 == 0, 1 / 12)
        self.assertLess(fair.worse(), 0)

    def test_one_arm_alone_says_nothing(self):
        test = Difference()
        self.assertFalse(test.look(Sums(100, 10, 10), Sums(), 0.05))
        self.assertEqual(test.weight, 0)


class GateStories(unittest.TestCase):
    def feed(
        self,
        gate: Gate,
        seconds: int,
        bad: float = 0.02,
        leak: float = 0.0,
        cold: float | None = None,
        start: int = 0,
    ) -> None:
        for second in range(start, start + seconds):
            now = second * SECOND
            for thing, arm in (("new", "new"), ("old1", "old"), ("old2", "old")):
                count = 100.0 * second
                loss = bad if arm == "new" else 0.02
                good = count * (1 - loss)
                grown = leak * second if arm == "new" else 0.0
                figures = Samples(Sums(count, good, good), 0, 0, 20000 + grown)
                gate.heard(now, thing, arm, arm, 1, False, figures)
            if cold is not None:
                for thing, arm, part in (("cold new", "new", cold), ("control", "old", 0.02)):
                    good = count * (1 - part)
                    gate.heard(now, thing, arm, arm, 2, True, Samples(Sums(count, good, good)))
            gate.look(now)

    def test_few_samples_are_no_answer_and_say_so(self):
        gate = Gate(0, b"", 0.02)
        self.feed(gate, 1)
        verdict = gate.verdict(gate.full())
        self.assertIs(verdict.answer, Decision.TOO_FEW)
        self.assertIn("0 exchanges", verdict.why)

    def test_good_passes_and_worse_halts_with_figures(self):
        gate = Gate(0, b"", 0.02)
        self.feed(gate, 60)
        self.assertIs(gate.verdict(gate.full()).answer, Decision.GOOD)
        gate = Gate(0, b"", 0.02)
        self.feed(gate, 60, bad=0.10)
        verdict = gate.verdict(gate.full())
        self.assertIs(verdict.answer, Decision.WORSE)
        self.assertIn("0.9", verdict.why)

    def test_one_that_denies_more_halts_though_it_brings_as_much(self):
        gate = Gate(0, b"", 0.02)
        for second in range(60):
            count = 100.0 * second
            for thing, arm, part in (("new", "new", 0.1), ("old", "old", 0.01)):
                figures = Samples(Sums(count, count * 0.9, count * 0.9), count * part)
                gate.heard(second * SECOND, thing, arm, arm, 1, False, figures)
            gate.look(second * SECOND)
        verdict = gate.verdict(gate.full())
        self.assertIs(verdict.answer, Decision.WORSE)
        self.assertIn("10.0 % are denied", verdict.why)

    def test_one_that_leaks_and_one_that_is_worse_while_cold_are_told_as_such(self):
        gate = Gate(0, b"", 0.02)
        self.feed(gate, 120, leak=2000.0)
        self.assertIn("memory", gate.verdict(gate.full()).why)
        gate = Gate(0, b"", 0.02)
        self.feed(gate, 60, cold=0.25)
        self.assertIn("while cold", gate.verdict(gate.full()).why)

    def test_a_cold_new_one_is_not_compared_with_warm_old_ones(self):
        gate = Gate(0, b"", 0.02)
        for second in range(60):
            count = 100.0 * second
            bad, good = Samples(Sums(count, count * 0.5, count * 0.5)), Samples(Sums(count, count, count))
            gate.heard(second * SECOND, "new", "new", "new", 1, True, bad)
            gate.heard(second * SECOND, "old", "old", "old", 1, False, good)
            gate.look(second * SECOND)
        self.assertIs(gate.verdict(gate.full()).answer, Decision.TOO_FEW)

    def test_the_next_driver_goes_on_with_what_was_seen_and_one_that_can_t_be_read_begins_anew(self):
        gate = Gate(0, b"", 0.02)
        self.feed(gate, 60, bad=0.10)
        again = Gate(0, gate.kept(), 0.02)
        self.assertIs(again.verdict(again.full()).answer, Decision.WORSE)
        self.assertEqual(Gate(0, b"\x93spoilt", 0.02).count(), 0)
        self.assertLess(len(gate.kept()), 2000)
