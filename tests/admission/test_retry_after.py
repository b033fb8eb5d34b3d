"""Retry-After of rejected requests."""

import unittest

from oakkeel.admission.retry_after import MAX_RETRY_AFTER_NS, MIN_RETRY_AFTER_NS, retry_after
from oakkeel.admission.types import (
    Gauges,
)
from oakkeel.units import MS, SECOND
from tests.support.fake_host import FakeHost


class RetryAfterTest(unittest.TestCase):
    def test_shortens_retry_after_in_a_small_fleet(self):
        # With two nodes, no other node serves the requests that clients hold back, and cores would idle.
        retry_after_by_peers = {}
        for peers in (2, 20):
            host = FakeHost(peers=peers)
            host.gauges = Gauges(run_queue=50)  # a long parsing backlog
            host.run_until(host.now + SECOND)
            requests = [host.arrive() for _ in range(40)]
            rejected = [action for action in host.actions if action[0] == "reject"]
            self.assertTrue(rejected and len(rejected) < len(requests))
            retry_after_by_peers[peers] = rejected[-1][3]
        self.assertEqual(retry_after_by_peers[20], 500 * MS)
        self.assertLess(retry_after_by_peers[2], 200 * MS)

    def test_grows_from_its_minimum_to_its_maximum_with_the_parsing_backlog(self):
        limits = FakeHost(peers=20).limits
        times = [retry_after(parsing_per_core, False, limits) for parsing_per_core in (0.0, 0.5, 1.0, 3.0)]
        self.assertEqual(times, sorted(times))
        self.assertEqual((times[0], times[-1]), (MIN_RETRY_AFTER_NS, MAX_RETRY_AFTER_NS))

    def test_is_the_maximum_while_the_depth_rejects_every_request(self):
        self.assertEqual(retry_after(0.0, True, FakeHost(peers=20).limits), MAX_RETRY_AFTER_NS)

    def test_never_exceeds_the_maximum_that_clients_accept(self):
        limits = FakeHost(peers=20, max_retry_after=100 * MS).limits
        self.assertEqual(retry_after(3.0, True, limits), 100 * MS)


if __name__ == "__main__":
    unittest.main()
