"""Heavy hitters: the bounds and the decay of counts, and the keys of flows."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from oakkeel.fair_sharing.heavy_hitters import HeavyHitters
from oakkeel.fair_sharing.keys import SECRET_BYTES, FlowKeys
from oakkeel.units import MS, SECOND

NO_DECAY_HALF_LIFE = 10**9 * SECOND  # so long that no count decays


class HeavyHittersTest(unittest.TestCase):
    @given(
        st.lists(st.tuples(st.integers(0, 40), st.integers(1, 9)), min_size=1, max_size=300),
        st.integers(1, 12),
    )
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_bounds_the_true_count_from_above_and_below(self, additions, max_flows):
        table = HeavyHitters(max_flows, NO_DECAY_HALF_LIFE)
        true_counts = {}
        for key, weight in additions:
            table.add(0, key, weight)
            true_counts[key] = true_counts.get(key, 0) + weight
        total = sum(true_counts.values())
        self.assertLessEqual(len(table.flows), max_flows)
        self.assertEqual(len(table.heap), len(table.flows))
        for key, flow in table.flows.items():
            self.assertGreaterEqual(flow.count, true_counts[key])
            self.assertLessEqual(flow.count - flow.count_error, true_counts[key])
            self.assertLessEqual(flow.count_error, total / max_flows)
        rate_per_weight = table.total_rate(0) / total
        for key, count in true_counts.items():
            if key not in table.flows:
                self.assertLessEqual(count * rate_per_weight, table.error_rate(0) * 1.000001)
                self.assertLessEqual(count, total / max_flows)

    def test_halves_counts_each_half_life_and_returns_rates(self):
        table = HeavyHitters(8, 2 * SECOND)
        now = 0
        for _ in range(4000):  # 100 a second for 40 s, so that the table is rescaled as well
            now += 10 * MS
            flow = table.add(now, 1, 3.0)
        self.assertAlmostEqual(table.rate(now, flow) / 300, 1.0, delta=0.02)
        self.assertAlmostEqual(table.rate(now + 4 * SECOND, flow) / 75, 1.0, delta=0.02)
        later = now + 3600 * SECOND
        flow = table.add(later, 1, 3.0)
        self.assertLess(table.rate(later, flow), 3.0)

    def test_finds_the_heavy_flow_among_many_light_ones_and_reports_no_other(self):
        table = HeavyHitters(256, 4 * SECOND)
        request_interval = 40_000  # nanoseconds
        generator = random.Random(7)
        for number in range(100_000):
            table.add(number * request_interval, generator.getrandbits(60), 1.0)
            if number % 50 == 0:
                heavy = table.add(number * request_interval, 1, 1.0)
        now = 100_000 * request_interval
        self.assertIs(table.flows.get(1), heavy)
        self.assertGreaterEqual(table.rate(now, heavy), table.error_rate(now))
        reported = [flow for flow in table.flows.values() if table.rate(now, flow) >= table.error_rate(now)]
        self.assertEqual(reported, [heavy])
        self.assertEqual((len(table.flows), len(table.heap)), (256, 256))


class FlowKeysTest(unittest.TestCase):
    def test_keys_depend_on_the_secret_and_on_each_field(self):
        names = [f"client-{number}".encode() for number in range(300)]
        secrets = (bytes([number]) * SECRET_BYTES for number in (1, 2))
        keys = [
            [flow_keys.flow_keys(lambda field, name=name: name)[0][0] for name in names]
            for flow_keys in (FlowKeys(secret, (b"client",)) for secret in secrets)
        ]
        self.assertEqual(len(set(keys[0])), 300)
        self.assertFalse(set(keys[0]) & set(keys[1]))
        two_levels = FlowKeys(bytes(SECRET_BYTES), (b"owner", b"client"))
        keys_of_pairs = {
            two_levels.flow_keys({b"owner": owner, b"client": client}.__getitem__)[1][0]
            for owner, client in ((b"ab", b"c"), (b"a", b"bc"), (b"abc", b""))
        }
        self.assertEqual(len(keys_of_pairs), 3)
