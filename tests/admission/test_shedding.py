"""Load shedding by rank, and retries elsewhere."""

import unittest

from oakkeel.admission.types import (
    RequestState,
)
from oakkeel.units import MS
from tests.support.fake_host import FakeHost


class SheddingTest(unittest.TestCase):
    def test_sheds_low_priority_weight_first(self):
        host = FakeHost(request_classes=[{"priority_weight": 1}, {"priority_weight": 5}])
        requests = []
        for _ in range(100):
            requests += [host.arrive(0), host.arrive(1)]
            running = host.in_state(requests, RequestState.RUNNING)
            if len(running) > 3:
                host.finish(running[0])
            host.run_until(host.now + 100 * MS)
        rejected = [
            sum(host.actions_on(request) == ["reject"] for request in requests[class_index::2])
            for class_index in (0, 1)
        ]
        self.assertGreater(rejected[0], 2 * rejected[1])

    def test_lets_low_ranks_retry_elsewhere_unless_many_retries_arrive(self):
        # If clients choose a node by subject, one node may be full while other nodes have capacity.
        for retries_in_ten, may_retry_on_other_node in ((0, True), (4, False)):
            host = FakeHost()
            requests = []
            for number in range(200):
                requests.append(host.arrive(retry_attempt=number % 10 < retries_in_ten))
                while (
                    len(open_requests := host.in_state(requests, RequestState.QUEUED, RequestState.RUNNING))
                    > 8
                ):
                    host.finish(host.in_state(open_requests, RequestState.RUNNING)[0])
                host.run_until(host.now + 20 * MS)
            final_flags = [
                action[2] for action in host.actions if action[0] == "reject" and not action[1].retry_attempt
            ]
            self.assertGreater(len(final_flags), 10)
            self.assertEqual(sum(final_flags) < len(final_flags) / 4, may_retry_on_other_node)
