"""Fair sharing decisions of a node in simulated time."""

import unittest
from unittest import mock

from oakkeel.admission.types import ShareStatus
from oakkeel.fakes.simulated_node import SimulatedClient, jain
from oakkeel.units import MS, SECOND
from tests.support.fair_sharing import shares_obtained, simulated_node


class FairSharingTest(unittest.TestCase):
    def compliant(self, count: int = 12, rate: float = 15) -> list[SimulatedClient]:
        return [SimulatedClient(b"good-%d" % number, rate) for number in range(count)]

    def test_limits_a_crawler_to_its_share(self):
        for fair in (False, True):
            node, good = simulated_node(fair), self.compliant()
            node.add(*good, SimulatedClient(b"crawler", 1000, honours_retry_after=False, max_attempts=10))
            shares, promises = shares_obtained(node, good)
            if not fair:
                self.assertLess(sum(shares) / len(shares), 0.5)
                continue
            self.assertGreater(sum(shares) / len(shares), 0.9)
            self.assertGreater(min(shares), 0.75)
            self.assertGreater(promises, 0.95)
            self.assertGreater(jain([each.counts["in time"] for each in good]), 0.98)

    def test_many_clients_of_one_tenant_gain_it_nothing(self):
        node = simulated_node(by=("tenant", "caller"), places=128)
        good = [SimulatedClient(b"good-%d" % number, 20, tenant=b"t%d" % number) for number in range(8)]
        crowd = [
            SimulatedClient(b"id-%d" % number, 1.0, tenant=b"crowd", honours_retry_after=False)
            for number in range(1000)
        ]
        node.add(*good, *crowd)
        node.pass_time(5)
        before = [each.counts["in time"] for each in good], sum(each.counts["in time"] for each in crowd)
        node.pass_time(8)
        each_good = [(each.counts["in time"] - was) / 8 for each, was in zip(good, before[0], strict=True)]
        crowd_got = (sum(each.counts["in time"] for each in crowd) - before[1]) / 8
        self.assertGreater(sum(each_good) / len(each_good), 15)
        self.assertLess(crowd_got, 60)  # of the thousand a second that it asks

    def test_follows_weights_that_change_while_it_runs(self):
        weights = {b"heavy": 3.0}
        node = simulated_node(weights=weights)
        first, second = SimulatedClient(b"heavy", 300), SimulatedClient(b"plain", 300)
        node.add(first, second)
        node.pass_time(4)
        before = first.counts["in time"], second.counts["in time"]
        node.pass_time(8)
        ratio = (first.counts["in time"] - before[0]) / (second.counts["in time"] - before[1])
        self.assertAlmostEqual(ratio, 3.0, delta=0.8)
        weights[b"heavy"] = 1.0
        node.pass_time(4)
        before = first.counts["in time"], second.counts["in time"]
        node.pass_time(8)
        ratio = (first.counts["in time"] - before[0]) / (second.counts["in time"] - before[1])
        self.assertAlmostEqual(ratio, 1.0, delta=0.25)

    def test_gives_all_to_a_lone_flow_and_its_share_to_one_that_comes_back(self):
        node = simulated_node()
        busy, back = SimulatedClient(b"busy", 150), SimulatedClient(b"back", 40)
        node.add(busy)
        node.pass_time(6)
        self.assertGreater(busy.counts["in time"] / busy.first_attempts, 0.97)
        node.clients.remove(busy)
        node.run_until(node.now + 3600 * SECOND)
        node.add(back, more := SimulatedClient(b"more", 400))
        shares, _ = shares_obtained(node, [back], warm=3)
        self.assertGreater(min(shares), 0.9)
        self.assertGreater(more.counts["in time"], 0)

    def test_allows_half_as_much_on_a_node_half_as_fast(self):
        promised = []
        for slow in (1.0, 2.0):
            node = simulated_node(slow=slow, objective=SECOND)
            node.add(*self.compliant(10, 40))
            node.pass_time(10)
            fair = node.admission.fair_sharing
            allowed = [each.allowed_rate for each in fair.shares.tables[0].flows.values()]
            promised.append(sum(allowed) / node.admission.ranking.service_times[0])
        self.assertAlmostEqual(promised[1] / promised[0], 0.5, delta=0.1)

    def test_shares_a_cold_node(self):
        node, good = simulated_node(starts_cold=True, slow=4.0, objective=2 * SECOND), self.compliant(8, 4)
        node.add(*good, SimulatedClient(b"crawler", 400, honours_retry_after=False))
        shares, _ = shares_obtained(node, good, warm=3, seconds=6)
        self.assertGreater(sum(shares) / len(shares), 0.85)

    def test_keeps_reservations_when_all_clients_return_at_once(self):
        node, good = simulated_node(), self.compliant(40, 15)  # three times what the node can do
        node.add(*good)
        _, promises = shares_obtained(node, good)
        self.assertGreater(promises, 0.95)
        self.assertGreater(sum(each.scheduled_returns for each in good), 200)

    def test_postpones_the_reservation_of_a_client_that_comes_early(self):
        node = simulated_node()
        node.add(
            SimulatedClient(b"flood", 600),
            one := SimulatedClient(b"one", 0.0, honours_retry_after=False, max_attempts=1),
        )
        node.pass_time(5)
        fair = node.admission.fair_sharing
        while not fair.reservations.last_backed(key := hash((0, b"one")) & (1 << 62) - 1):
            node.send(one, 1)
            node.pass_time(0.01)
        due_at = fair.reservations.last_backed(key).due_at
        node.send(one, 2)  # a further try, long before
        self.assertGreater(fair.reservations.last_backed(key).due_at, due_at)
        self.assertEqual(one.counts["in time"], 0)

    def test_serves_within_the_drain_grace_and_makes_no_reservation(self):
        node, good = simulated_node(), self.compliant(30, 15)
        node.add(*good)
        node.pass_time(5)
        fair, before = node.admission.fair_sharing, [sum(each.admitted_returns for each in good)]
        node.admission.drain(node.now, 5 * SECOND)
        booked = fair.reservations.booked_count
        node.pass_time(1.5)
        self.assertEqual(fair.reservations.booked_count, booked)
        self.assertGreater(sum(each.admitted_returns for each in good), before[0])

    def test_is_absent_without_rules(self):
        node, good = simulated_node(False), self.compliant(4, 10)
        node.add(*good)
        node.pass_time(2)
        self.assertIsNone(node.admission.fair_sharing)

    def test_limits_retries_of_each_flow_by_its_own_budget(self):
        node = simulated_node()
        levels = node.admission.fair_sharing.shares
        for number in range(400):
            levels.count(node.now + number * MS, ((1, b"tries"),), 1.0, number % 2 == 0)
        sender = levels.tables[0].flows[1]
        self.assertAlmostEqual(sender.retries / sender.count, 0.5, delta=0.01)
        request = mock.Mock(
            flow_keys=((1, b"tries"),), retry_attempt=True, share_status=ShareStatus.WITHIN_SHARE
        )
        node.admission.fair_sharing.arrive(node.now + 400 * MS, request, 1.0, 1e9)
        self.assertIs(request.share_status, ShareStatus.EXCEEDED)
        request.retry_attempt = False
        node.admission.fair_sharing.arrive(node.now + 400 * MS, request, 1.0, 1e9)
        self.assertIs(request.share_status, ShareStatus.WITHIN_SHARE)
