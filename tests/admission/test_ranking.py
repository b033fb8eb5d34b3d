"""Ranks of request classes and tenants."""

import unittest

from oakkeel.units import MS
from tests.support.fake_host import FakeHost


class RankingTest(unittest.TestCase):
    def test_ranks_a_tenant_over_its_allowance_below_the_others(self):
        host = FakeHost(tenants=[5.0, 50.0])
        for _ in range(300):
            host.finish(host.arrive(tenant=0))
            host.finish(host.arrive(tenant=1))
            host.run_until(host.now + 20 * MS)
        over_allowance, within_allowance = host.admission.ranking.ranks[0]
        self.assertLess(over_allowance.start, within_allowance.start)
