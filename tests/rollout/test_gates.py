"""The sequential tests and the gates of a release."""

import os
import subprocess
import sys
import unittest
from random import Random

from oakkeel.rollout.gates import Decision, Gate
from oakkeel.rollout.samples import AgeClass, Arm, ProcessIdentity, ProcessReport, Samples
from oakkeel.rollout.sequential import Difference, Events, Sums
from oakkeel.units import SECOND

# The log evidence at which a test halts a release: log(1 / 0.01), for a false halt rate of 0.01.
HALT_LOG_EVIDENCE = 4.605
FIXED_SAMPLE_THRESHOLD = 2.326  # quantile 0.99 of the normal distribution: the same rate for one evaluation


def draw_sums(random: Random, success_rate: float, count: int) -> Sums:
    """Return the sums of `count` random samples, each 1 with a probability of `success_rate`, else 0."""
    successes = sum(random.random() < success_rate for _ in range(count))
    return Sums(count, successes, successes)


def record(
    gate: Gate, now: int, target: str, arm: Arm, generation: int, age_class: AgeClass, samples: Samples
) -> None:
    """Add a report of a process to the gate; the name of the version is that of the arm."""
    gate.record(now, target, arm, ProcessReport(ProcessIdentity(arm.value, generation), age_class, samples))


GATE_OF_MANY_CLASSES = """
import sys
from oakkeel.rollout.gates import Gate
from oakkeel.rollout.samples import AgeClass, Arm, ProcessIdentity, ProcessReport, Samples
from oakkeel.rollout.sequential import Sums

gate = Gate(0, b"", 0.02)
for round in range(1, 4):
    for arm in (Arm.OLD, Arm.NEW):
        sums = [Sums(50.0 * round, -60.1 * k * round, 99.7 * k * round) for k in range(8)]
        latencies = {f"class{k}": sums[k] for k in range(8)}
        samples = Samples(Sums(400.0 * round, 390.0 * round, 390.0 * round), latencies=latencies)
        report = ProcessReport(ProcessIdentity(arm.value, 1), AgeClass.WARM, samples)
        gate.record(round * 10**9, arm.value, arm, report)
    gate.evaluate(round * 60 * 10**9)
print(gate.encode_state().hex(), gate.verdict(1.0))
"""


class HashSeedTest(unittest.TestCase):
    def test_the_same_samples_give_the_same_state_and_verdict_under_every_hash_seed(self):
        # The order of a set of names differs between processes: the leader's successor would differ.
        outputs = {
            subprocess.run(
                [sys.executable, "-c", GATE_OF_MANY_CLASSES],
                env={**os.environ, "PYTHONHASHSEED": seed},
                capture_output=True,
                text=True,
                check=True,
            ).stdout
            for seed in ("1", "2", "3")
        }
        self.assertEqual(len(outputs), 1)
        self.assertGreater(len(outputs.pop()), 100)


class SequentialStatisticsTest(unittest.TestCase):
    def halts(self, seed: int, old_rate: float, new_rate: float, windows: int = 300) -> bool:
        """Return whether versions with these success rates halt a release within a number of windows."""
        random = Random(seed)
        test = Difference()
        for _ in range(windows):
            test.observe(draw_sums(random, old_rate, 110), draw_sums(random, new_rate, 10), 0.05)
            if test.new.count > 50 and test.log_evidence_worse(0.0, 0.02) > HALT_LOG_EVIDENCE:
                return True
        return False

    def test_evaluation_after_every_window_keeps_the_bound_on_false_halts(self):
        self.assertLessEqual(sum(self.halts(seed, 0.95, 0.95) for seed in range(200)), 4)

    def test_finds_a_loss_although_a_repeated_fixed_sample_test_exceeds_the_bound(self):
        self.assertGreaterEqual(sum(self.halts(seed, 0.95, 0.91) for seed in range(40)), 38)
        random = Random(5)
        false_halts = 0
        for _ in range(100):  # a fixed-sample test, evaluated 300 times
            old = Sums()
            new = Sums()
            for _ in range(300):
                old.add(draw_sums(random, 0.95, 110))
                new.add(draw_sums(random, 0.95, 10))
                spread = (0.95 * 0.05 * (1 / old.count + 1 / new.count)) ** 0.5
                if new.count > 50 and (old.mean - new.mean) / spread > FIXED_SAMPLE_THRESHOLD:
                    false_halts += 1
                    break
        self.assertGreater(false_halts, 4)

    def test_crashes_are_compared_by_the_exposure_of_the_new_version(self):
        excess = Events()
        proportional = Events()
        excess.record(True, 1 / 12)
        self.assertLess(excess.log_evidence_worse(), HALT_LOG_EVIDENCE)
        excess.record(True, 1 / 12)
        excess.record(True, 1 / 12)
        self.assertGreater(excess.log_evidence_worse(), HALT_LOG_EVIDENCE)
        for number in range(60):
            proportional.record(number % 12 == 0, 1 / 12)
        self.assertLess(proportional.log_evidence_worse(), 0)

    def test_a_window_with_samples_of_only_one_arm_changes_nothing(self):
        test = Difference()
        self.assertFalse(test.observe(Sums(100, 10, 10), Sums(), 0.05))
        self.assertEqual(test.weight, 0)


class GateTest(unittest.TestCase):
    def feed_reports(
        self,
        gate: Gate,
        seconds: int,
        new_loss: float = 0.02,
        memory_growth: float = 0.0,
        cold_new_loss: float | None = None,
        start: int = 0,
    ) -> None:
        """Report one new and two old warm processes each second; with `cold_new_loss` a cold pair as well."""
        for second in range(start, start + seconds):
            now = second * SECOND
            for target, arm in (("new", Arm.NEW), ("old1", Arm.OLD), ("old2", Arm.OLD)):
                count = 100.0 * second
                loss = new_loss if arm is Arm.NEW else 0.02
                earned = count * (1 - loss)
                growth = memory_growth * second if arm is Arm.NEW else 0.0
                samples = Samples(Sums(count, earned, earned), 0, 0, 20000 + growth)
                record(gate, now, target, arm, 1, AgeClass.WARM, samples)
            if cold_new_loss is not None:
                for target, arm, loss in (("cold new", Arm.NEW, cold_new_loss), ("cold old", Arm.OLD, 0.02)):
                    earned = count * (1 - loss)
                    record(gate, now, target, arm, 2, AgeClass.COLD, Samples(Sums(count, earned, earned)))
            gate.evaluate(now)

    def test_reports_too_few_samples_with_their_number(self):
        gate = Gate(0, b"", 0.02)
        self.feed_reports(gate, 1)
        verdict = gate.verdict(gate.reference_weight())
        self.assertIs(verdict.decision, Decision.TOO_FEW)
        self.assertIn("0 requests", verdict.why)

    def test_a_good_version_passes_and_a_worse_one_halts_with_figures(self):
        gate = Gate(0, b"", 0.02)
        self.feed_reports(gate, 60)
        self.assertIs(gate.verdict(gate.reference_weight()).decision, Decision.GOOD)
        gate = Gate(0, b"", 0.02)
        self.feed_reports(gate, 60, new_loss=0.10)
        verdict = gate.verdict(gate.reference_weight())
        self.assertIs(verdict.decision, Decision.WORSE)
        self.assertIn("0.9", verdict.why)

    def test_more_rejections_halt_a_release_at_equal_earned_weight(self):
        gate = Gate(0, b"", 0.02)
        for second in range(60):
            count = 100.0 * second
            for target, arm, ratio in (("new", Arm.NEW, 0.1), ("old", Arm.OLD, 0.01)):
                samples = Samples(Sums(count, count * 0.9, count * 0.9), count * ratio)
                record(gate, second * SECOND, target, arm, 1, AgeClass.WARM, samples)
            gate.evaluate(second * SECOND)
        verdict = gate.verdict(gate.reference_weight())
        self.assertIs(verdict.decision, Decision.WORSE)
        self.assertIn("10.0 % are rejected", verdict.why)

    def test_names_a_memory_leak_and_a_loss_while_cold(self):
        gate = Gate(0, b"", 0.02)
        self.feed_reports(gate, 120, memory_growth=2000.0)
        self.assertIn("memory", gate.verdict(gate.reference_weight()).why)
        gate = Gate(0, b"", 0.02)
        self.feed_reports(gate, 60, cold_new_loss=0.25)
        self.assertIn("while cold", gate.verdict(gate.reference_weight()).why)

    def test_a_cold_new_process_is_not_compared_with_a_warm_old_one(self):
        gate = Gate(0, b"", 0.02)
        for second in range(60):
            count = 100.0 * second
            worse = Samples(Sums(count, count * 0.5, count * 0.5))
            better = Samples(Sums(count, count, count))
            record(gate, second * SECOND, "new", Arm.NEW, 1, AgeClass.COLD, worse)
            record(gate, second * SECOND, "old", Arm.OLD, 1, AgeClass.WARM, better)
            gate.evaluate(second * SECOND)
        self.assertIs(gate.verdict(gate.reference_weight()).decision, Decision.TOO_FEW)

    def test_the_next_controller_restores_the_state_and_drops_a_damaged_one(self):
        gate = Gate(0, b"", 0.02)
        self.feed_reports(gate, 60, new_loss=0.10)
        restored = Gate(0, gate.encode_state(), 0.02)
        self.assertIs(restored.verdict(restored.reference_weight()).decision, Decision.WORSE)
        self.assertEqual(Gate(0, b"\x93spoilt", 0.02).sample_count(), 0)
        self.assertLess(len(gate.encode_state()), 2000)
