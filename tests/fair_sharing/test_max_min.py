"""Weighted max-min shares."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from oakkeel.fair_sharing.max_min import Demand, MaxMinShares, fair_rate_per_weight
from oakkeel.units import MS, SECOND


class MaxMinSharesTest(unittest.TestCase):
    @given(
        st.lists(st.tuples(st.floats(0.1, 100), st.floats(0.1, 10)), min_size=1, max_size=20),
        st.floats(0.1, 500),
    )
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_fills_all_of_the_capacity_and_gives_no_flow_more_than_its_demand(self, demands, capacity):
        rate_per_weight = fair_rate_per_weight([Demand(rate, weight) for rate, weight in demands], capacity)
        allocated = sum(min(rate, rate_per_weight * weight) for rate, weight in demands)
        self.assertAlmostEqual(
            allocated, min(capacity, sum(rate for rate, _ in demands)), delta=1e-6 * capacity
        )

    def test_shares_by_weight_and_divides_the_share_of_a_tenant_among_its_clients(self):
        shares = MaxMinShares(2, 64, 2 * SECOND, {b"big": 3.0})
        now = 0
        for _ in range(4000):
            now += 5 * MS
            for tenant_key, label, client_key in (
                (1, b"big", 10),
                (2, b"small", 20 + now // (5 * MS) % 1000),
            ):
                shares.count(now, ((tenant_key, label), (client_key, b"")), 1.0, False)
        shares.allocate(now, 200.0)  # the demand is 400 a second
        big, small = shares.tables[0].flows[1], shares.tables[0].flows[2]
        self.assertAlmostEqual(big.allowed_rate, 150, delta=3)
        self.assertAlmostEqual(small.allowed_rate, 50, delta=3)
        self.assertAlmostEqual(shares.tables[1].flows[10].allowed_rate, 150, delta=3)
        # None of the thousand clients is certainly heavy, so each may send a quarter of its demand.
        self.assertAlmostEqual(small.unknown_share, 0.25, delta=0.1)
