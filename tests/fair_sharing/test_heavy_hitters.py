"""Heavy hitters: bounds of counts, fading and keys."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from oakkeel.fair_sharing.heavy_hitters import HeavyHitters
from oakkeel.fair_sharing.keys import SECRET_BYTES, FlowKeys
from oakkeel.units import MS, SECOND

LONG = 10**9 * SECOND  # a half-life in which nothing fades


class HeavyHittersTest(unittest.TestCase):
    @given(
        st.lists(st.tuples(st.integers(0, 40), st.integers(1, 9)), min_size=1, max_size=300),
        st.integers(1, 12),
    )
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_bounds_the_true_count_from_above_and_below(self, sent, most):
        table, truth = HeavyHitters(most, LONG), {}
        for key, weight in sent:
            table.add(0, key, weight)
            truth[key] = truth.get(key, 0) + weight
        total = sum(truth.values())
        self.assertLessEqual(len(table.flows), most)
        self.assertEqual(len(table.heap), len(table.flows))
        for key, sender in table.flows.items():
            self.assertGreaterEqual(sender.count, truth[key])
            self.assertLessEqual(sender.count - sender.error, truth[key])
            self.assertLessEqual(sender.error, total / most)
        scale = table.total_rate(0) / total
        for key, count in truth.items():
            if key not in table.flows:
                self.assertLessEqual(count * scale, table.error_rate(0) * 1.000001)
                self.assertLessEqual(count, total / most)

    def test_halves_counts_each_half_life_and_returns_rates(self):
        table, now = HeavyHitters(8, 2 * SECOND), 0
        for _ in range(4000):  # 100 a second for 40 s, over which the scale is brought back too
            now += 10 * MS
            sender = table.add(now, 1, 3.0)
        self.assertAlmostEqual(table.rate(now, sender) / 300, 1.0, delta=0.02)
        self.assertAlmostEqual(table.rate(now + 4 * SECOND, sender) / 75, 1.0, delta=0.02)
        later = now + 3600 * SECOND
        again = table.add(later, 1, 3.0)
        self.assertLess(table.rate(later, again), 3.0)

    def test_finds_the_heavy_flow_among_many_light_ones_and_accuses_no_other(self):
        table, chance = HeavyHitters(256, 4 * SECOND), random.Random(7)
        for number in range(100_000):
            table.add(number * 40_000, chance.getrandbits(60), 1.0)
            if number % 50 == 0:
                heavy = table.add(number * 40_000, 1, 1.0)
        now = 100_000 * 40_000
        self.assertIs(table.flows.get(1), heavy)
        self.assertGreaterEqual(table.rate(now, heavy), table.error_rate(now))
        accused = [each for each in table.flows.values() if table.rate(now, each) >= table.error_rate(now)]
        self.assertEqual(accused, [heavy])
        self.assertEqual((len(table.flows), len(table.heap)), (256, 256))


class FlowKeysTest(unittest.TestCase):
    def test_keys_depend_on_the_secret_and_on_each_field(self):
        names = [f"client-{number}".encode() for number in range(300)]
        first, second = (FlowKeys(bytes([number]) * SECRET_BYTES, (b"client",)) for number in (1, 2))
        keys = [
            [maker.flow_keys(lambda field, name=name: name)[0][0] for name in names]
            for maker in (first, second)
        ]
        self.assertEqual(len(set(keys[0])), 300)
        self.assertFalse(set(keys[0]) & set(keys[1]))
        two_levels = FlowKeys(bytes(SECRET_BYTES), (b"owner", b"client"))
        apart = {
            two_levels.flow_keys({b"owner": owner, b"client": client}.__getitem__)[1][0]
            for owner, client in ((b"ab", b"c"), (b"a", b"bc"), (b"abc", b""))
        }
        self.assertEqual(len(apart), 3)
