"""Fair sharing on one node in simulated time."""

import unittest
from unittest import mock

from oakkeel.admission.types import ShareStatus
from oakkeel.fakes.simulated_node import SimulatedClient, jain_index
from oakkeel.units import MS, SECOND
from tests.support.fair_sharing import measure_shares, simulated_node


class FairSharingTest(unittest.TestCase):
    def compliant_clients(self, count: int = 12, rate: float = 15) -> list[SimulatedClient]:
        return [SimulatedClient(b"good-%d" % number, rate) for number in range(count)]

    def test_limits_a_crawler_to_its_share(self):
        for has_fair_sharing in (False, True):
            node, compliant = simulated_node(has_fair_sharing), self.compliant_clients()
            node.add_clients(
                *compliant, SimulatedClient(b"crawler", 1000, honors_retry_after=False, max_attempts=10)
            )
            shares, kept_ratio = measure_shares(node, compliant)
            if not has_fair_sharing:
                self.assertLess(sum(shares) / len(shares), 0.5)
                continue
            self.assertGreater(sum(shares) / len(shares), 0.9)
            self.assertGreater(min(shares), 0.75)
            self.assertGreater(kept_ratio, 0.95)
            self.assertGreater(jain_index([client.counts["in time"] for client in compliant]), 0.98)

    def test_gives_a_tenant_no_more_for_having_many_clients(self):
        node = simulated_node(key_fields=("tenant", "caller"), max_flows=128)
        compliant = [SimulatedClient(b"good-%d" % number, 20, tenant=b"t%d" % number) for number in range(8)]
        crowd = [
            SimulatedClient(b"id-%d" % number, 1.0, tenant=b"crowd", honors_retry_after=False)
            for number in range(1000)
        ]
        node.add_clients(*compliant, *crowd)
        node.run_for(5)
        compliant_before = [client.counts["in time"] for client in compliant]
        crowd_before = sum(client.counts["in time"] for client in crowd)
        node.run_for(8)
        rates = [
            (client.counts["in time"] - count) / 8
            for client, count in zip(compliant, compliant_before, strict=True)
        ]
        crowd_rate = (sum(client.counts["in time"] for client in crowd) - crowd_before) / 8
        self.assertGreater(sum(rates) / len(rates), 15)
        self.assertLess(crowd_rate, 60)  # of the thousand requests a second that the crowd sends

    def test_follows_weights_that_change_while_the_node_runs(self):
        weights = {b"heavy": 3.0}
        node = simulated_node(weights=weights)
        first, second = SimulatedClient(b"heavy", 300), SimulatedClient(b"plain", 300)
        node.add_clients(first, second)
        node.run_for(4)
        counts_before = first.counts["in time"], second.counts["in time"]
        node.run_for(8)
        ratio = (first.counts["in time"] - counts_before[0]) / (second.counts["in time"] - counts_before[1])
        self.assertAlmostEqual(ratio, 3.0, delta=0.8)
        weights[b"heavy"] = 1.0
        node.run_for(4)
        counts_before = first.counts["in time"], second.counts["in time"]
        node.run_for(8)
        ratio = (first.counts["in time"] - counts_before[0]) / (second.counts["in time"] - counts_before[1])
        self.assertAlmostEqual(ratio, 1.0, delta=0.25)

    def test_gives_all_capacity_to_a_lone_flow_and_a_share_to_a_flow_that_returns(self):
        node = simulated_node()
        busy, returning = SimulatedClient(b"busy", 150), SimulatedClient(b"back", 40)
        node.add_clients(busy)
        node.run_for(6)
        self.assertGreater(busy.counts["in time"] / busy.first_attempts, 0.97)
        node.clients.remove(busy)
        node.run_until(node.now + 3600 * SECOND)
        node.add_clients(returning, heavy := SimulatedClient(b"more", 400))
        shares, _ = measure_shares(node, [returning], warm_up=3)
        self.assertGreater(min(shares), 0.9)
        self.assertGreater(heavy.counts["in time"], 0)

    def test_allows_half_the_requests_on_a_node_of_half_the_speed(self):
        allowed_requests = []
        for slowdown in (1.0, 2.0):
            node = simulated_node(slowdown=slowdown, objective=SECOND)
            node.add_clients(*self.compliant_clients(10, 40))
            node.run_for(10)
            fair_sharing = node.admission.fair_sharing
            allowed_rates = [flow.allowed_rate for flow in fair_sharing.shares.tables[0].flows.values()]
            allowed_requests.append(sum(allowed_rates) / node.admission.ranking.service_times[0])
        self.assertAlmostEqual(allowed_requests[1] / allowed_requests[0], 0.5, delta=0.1)

    def test_limits_a_crawler_on_a_cold_node(self):
        node = simulated_node(starts_cold=True, slowdown=4.0, objective=2 * SECOND)
        compliant = self.compliant_clients(8, 4)
        node.add_clients(*compliant, SimulatedClient(b"crawler", 400, honors_retry_after=False))
        shares, _ = measure_shares(node, compliant, warm_up=3, seconds=6)
        self.assertGreater(sum(shares) / len(shares), 0.85)

    def test_keeps_reservations_when_all_clients_return_at_once(self):
        # The clients send three times the capacity of the node.
        node, compliant = simulated_node(), self.compliant_clients(40, 15)
        node.add_clients(*compliant)
        _, kept_ratio = measure_shares(node, compliant)
        self.assertGreater(kept_ratio, 0.95)
        self.assertGreater(sum(client.scheduled_returns for client in compliant), 200)

    def test_postpones_the_reservation_of_a_client_that_retries_early(self):
        node = simulated_node()
        node.add_clients(
            SimulatedClient(b"flood", 600),
            early_client := SimulatedClient(b"one", 0.0, honors_retry_after=False, max_attempts=1),
        )
        node.run_for(5)
        reservations = node.admission.fair_sharing.reservations
        while not reservations.last_backed(key := hash((0, b"one")) & (1 << 62) - 1):
            node.send(early_client, 1)
            node.run_for(0.01)
        due_at = reservations.last_backed(key).due_at
        node.send(early_client, 2)  # a retry long before `due_at`
        self.assertGreater(reservations.last_backed(key).due_at, due_at)
        self.assertEqual(early_client.counts["in time"], 0)

    def test_serves_within_the_drain_grace_and_makes_no_reservation(self):
        node, compliant = simulated_node(), self.compliant_clients(30, 15)
        node.add_clients(*compliant)
        node.run_for(5)
        fair_sharing = node.admission.fair_sharing
        returns_before = sum(client.admitted_returns for client in compliant)
        node.admission.drain(node.now, 5 * SECOND)
        booked_count = fair_sharing.reservations.booked_count
        node.run_for(1.5)
        self.assertEqual(fair_sharing.reservations.booked_count, booked_count)
        self.assertGreater(sum(client.admitted_returns for client in compliant), returns_before)

    def test_has_no_fair_sharing_without_rules(self):
        node, compliant = simulated_node(False), self.compliant_clients(4, 10)
        node.add_clients(*compliant)
        node.run_for(2)
        self.assertIsNone(node.admission.fair_sharing)

    def test_limits_the_retries_of_a_flow_to_a_share_of_its_work(self):
        node = simulated_node()
        shares = node.admission.fair_sharing.shares
        for number in range(400):
            shares.count(node.now + number * MS, ((1, b"tries"),), 1.0, number % 2 == 0)
        flow = shares.tables[0].flows[1]
        self.assertAlmostEqual(flow.retries / flow.count, 0.5, delta=0.01)
        request = mock.Mock(
            flow_keys=((1, b"tries"),), retry_attempt=True, share_status=ShareStatus.WITHIN_SHARE
        )
        node.admission.fair_sharing.arrive(node.now + 400 * MS, request, 1.0, 1e9)
        self.assertIs(request.share_status, ShareStatus.EXCEEDED)
        request.retry_attempt = False
        node.admission.fair_sharing.arrive(node.now + 400 * MS, request, 1.0, 1e9)
        self.assertIs(request.share_status, ShareStatus.WITHIN_SHARE)
