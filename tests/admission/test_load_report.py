"""Health, load report and idle connections."""

import unittest

from oakkeel.admission.idle_connections import MAX_REMEMBERED_CLIENTS
from oakkeel.admission.types import LoadReportKind
from oakkeel.units import MS, SECOND
from tests.support.fake_host import FakeHost


class LoadReportTest(unittest.TestCase):
    def test_reports_unhealthy_while_requests_are_parsed_too_late(self):
        # Otherwise a slow node would get requests that wait to be parsed until their clients time out.
        host = FakeHost()
        for _ in range(10):
            host.arrive(queueing_delay=1900 * MS)
        host.run_until(host.now + SECOND)
        self.assertEqual(
            [action[1:] for action in host.actions if action[0] == "set_health"][-1], (False, True)
        )
        host.run_until(host.now + 8 * SECOND)
        self.assertEqual(
            [action[1:] for action in host.actions if action[0] == "set_health"][-1], (True, True)
        )

    def idle_time(self, client_count: int, run_queue: float = 0) -> int:
        host = FakeHost()
        host.gauges.connections, host.gauges.run_queue = 60, run_queue
        for number in range(100):
            host.finish(host.arrive(client=number % client_count))
            host.run_until(host.now + 100 * MS)
        return [action[1] for action in host.actions if action[0] == "set_idle_timeout"][-1]

    def test_keeps_idle_connections_for_clients_that_return(self):
        # Otherwise hundreds of clients that seldom return would fill the table of connections.
        self.assertGreater(self.idle_time(client_count=5), 400 * MS)
        self.assertLess(self.idle_time(client_count=100), 100 * MS)

    def test_remembers_the_most_recent_clients(self):
        host = FakeHost()
        for number in range(MAX_REMEMBERED_CLIENTS + 100):
            host.arrive(client=number)
        self.assertEqual(
            list(host.admission.signals.returns.last_seen), list(range(100, MAX_REMEMBERED_CLIENTS + 100))
        )

    def test_keeps_idle_connections_while_new_connections_fill_the_cores(self):
        # Otherwise the node of a hot key would spend its cores on connections that it soon closes.
        self.assertGreater(self.idle_time(client_count=100, run_queue=20), SECOND)

    def test_lowers_the_advertised_share_at_each_poll_while_the_node_is_full(self):
        host = FakeHost(load_report=LoadReportKind.ADVERTISED_SHARE)
        host.gauges.run_queue = 12
        for _ in range(4):
            for _ in range(60):
                host.arrive()
            host.run_until(host.now + SECOND)
        reported = [action[1] for action in host.actions if action[0] == "report_load"]
        self.assertEqual(reported, sorted(reported, reverse=True))
        self.assertLess(reported[-1], 0.6)
