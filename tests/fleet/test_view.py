"""The view of a fleet whose agents answer late or never, and the selection of instances."""

import unittest

from oakkeel.fleet.selection import Selection, SelectionError, describe_large_shares, targets_by_host
from oakkeel.fleet.view import FleetView
from oakkeel.units import MS, SECOND
from tests.fleet.builders import fleet_of, host_status


class FleetViewTest(unittest.TestCase):
    def setUp(self) -> None:
        self.view = FleetView(fleet_of())

    def test_ages_count_from_the_request_and_stale_rows_are_shown_as_old(self):
        self.view.update("h0", 10 * SECOND, host_status("h0"))
        rows = self.view.rows(10 * SECOND + 400 * MS)
        self.assertEqual(
            (rows[0].displayed_state, rows[0].age, rows[0].report_age), ("serving", 400 * MS, 600 * MS)
        )
        self.assertEqual(
            (rows[3].displayed_state, rows[3].age, rows[3].is_unavailable), ("unknown", -1, True)
        )
        self.view.record_no_response("h0", "did not answer")
        rows = self.view.rows(20 * SECOND)
        self.assertEqual(
            (rows[0].displayed_state, rows[0].age, rows[0].is_unavailable),
            ("old: serving", 10 * SECOND, True),
        )
        self.assertEqual(self.view.notes(), ["agent of h0: did not answer"])

    def test_ignores_a_response_to_an_earlier_request(self):
        self.view.update("h0", 20 * SECOND, host_status("h0", "stopped"))
        self.view.update("h0", 10 * SECOND, host_status("h0", "serving"))
        self.assertEqual(self.view.rows(21 * SECOND)[0].state, "stopped")

    def test_ignores_the_status_of_an_agent_of_another_host(self):
        self.view.update("h0", SECOND, host_status("h1"))
        self.assertEqual(self.view.rows(SECOND)[0].state, "unknown")
        self.assertIn("the agent of h1 answered at its address", self.view.notes()[0])

    def test_shows_an_instance_that_its_agent_does_not_know_as_unknown(self):
        self.view.update("h0", SECOND, host_status("h0", instance_numbers=(0,)))
        self.assertEqual([row.state for row in self.view.rows(SECOND)[:3]], ["serving", "unknown", "unknown"])

    def test_notes_the_clock_skew_of_an_agent(self):
        self.view.clock_offset = 1000 * SECOND
        self.view.update("h0", 10 * SECOND, host_status("h0", unix_time=(1010 - 3600) * SECOND))
        self.assertIn("its clock is -3600 s off the clock of this host", self.view.notes()[0])


class SelectionTest(unittest.TestCase):
    def test_selects_by_name_glob_site_host_and_state(self):
        view = FleetView(fleet_of())
        view.update("h0", SECOND, host_status("h0"))
        rows = view.rows(SECOND)
        self.assertEqual([row.name for row in Selection(names=("n0*",)).filter(rows)], ["n00", "n01", "n02"])
        self.assertEqual([row.name for row in Selection(("n*1",), ("wood*",), ("h1",)).filter(rows)], ["n11"])
        self.assertEqual(len(Selection(states=("unknown",)).filter(rows)), 3)
        with self.assertRaisesRegex(SelectionError, "no instance has the name 'x'"):
            Selection(names=("n00", "x")).filter(rows)
        self.assertEqual(targets_by_host(rows), {"h0": [("n00", 4), ("n01", 4), ("n02", 4)]})

    def test_names_sites_over_a_share_and_counts_instances_that_are_out_already(self):
        view = FleetView(fleet_of())
        view.update("h0", SECOND, host_status("h0"))
        view.update("h1", SECOND, host_status("h1"))
        rows = view.rows(SECOND)
        self.assertEqual(describe_large_shares(rows, rows[:2], 0.34), [])
        self.assertIn("3 of 6 would be taken out, 0 are out", describe_large_shares(rows, rows[:3], 0.34)[0])
        view.update("h1", 2 * SECOND, host_status("h1", "failing"))
        rows = view.rows(2 * SECOND)
        self.assertIn("1 of 6 would be taken out, 3 are out", describe_large_shares(rows, rows[:1], 0.34)[0])
        self.assertEqual(describe_large_shares(rows, rows[3:], 0.34), [])
