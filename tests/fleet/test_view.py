"""What is believed of a fleet whose agents answer late or never."""

import unittest

from oakkeel.agent import messages
from oakkeel.fleet.fan_out import MS
from oakkeel.fleet.selection import Selection, SelectionError, by_host, sites_over_share
from oakkeel.fleet.view import SECOND, FleetView
from oakkeel.settings.types import ClientSettings as HowToAsk
from oakkeel.settings.types import Fleet, HostSettings, InstanceSettings


def fleet_of(hosts: int = 2, each: int = 3) -> Fleet:
    return Fleet(
        "f",
        "f.xml",
        (),
        {},
        HowToAsk(),
        {"woodbrook": 2},
        tuple(
            HostSettings(
                f"h{host}",
                "woodbrook",
                ("127.0.0.1", 1),
                "",
                1,
                tuple(InstanceSettings(f"n{host}{number}", "", "", "console") for number in range(each)),
            )
            for host in range(hosts)
        ),
    )


def told(host: str, phase: str = "serving", names=(0, 1, 2), unix: int = 0) -> messages.HostStatus:
    return messages.HostStatus(
        host,
        "woodbrook",
        1,
        unix,
        1,
        0,
        [],
        [
            messages.InstanceStatus(
                f"n{host[1:]}{number}", phase, 5, "up", 4, 0, "", 77, 200 * MS, None, None, 0, False, 0, ""
            )
            for number in names
        ],
    )


class ViewStories(unittest.TestCase):
    def test_ages_count_from_the_question_and_what_is_old_is_called_old(self):
        view = FleetView(fleet_of())
        view.told("h0", 10 * SECOND, told("h0"))
        rows = view.rows(10 * SECOND + 400 * MS)
        self.assertEqual((rows[0].shown, rows[0].age, rows[0].report_age), ("serving", 400 * MS, 600 * MS))
        self.assertEqual((rows[3].shown, rows[3].age, rows[3].out), ("unknown", -1, True))
        view.unanswered("h0", "did not answer")
        rows = view.rows(20 * SECOND)
        self.assertEqual((rows[0].shown, rows[0].age, rows[0].out), ("old: serving", 10 * SECOND, True))
        self.assertEqual(view.notes(), ["agent of h0: did not answer"])

    def test_an_answer_to_an_earlier_question_changes_nothing(self):
        view = FleetView(fleet_of())
        view.told("h0", 20 * SECOND, told("h0", "stopped"))
        view.told("h0", 10 * SECOND, told("h0", "serving"))
        self.assertEqual(view.rows(21 * SECOND)[0].state, "stopped")

    def test_an_agent_that_answers_for_another_host_is_not_believed(self):
        view = FleetView(fleet_of())
        view.told("h0", SECOND, told("h1"))
        self.assertEqual(view.rows(SECOND)[0].state, "unknown")
        self.assertIn("answers in its place", view.notes()[0])

    def test_an_instance_that_its_agent_does_not_know_is_unknown(self):
        view = FleetView(fleet_of())
        view.told("h0", SECOND, told("h0", names=(0,)))
        self.assertEqual([row.state for row in view.rows(SECOND)[:3]], ["serving", "unknown", "unknown"])

    def test_a_clock_that_is_off_is_told(self):
        view = FleetView(fleet_of())
        view.unix = 1000 * SECOND
        view.told("h0", 10 * SECOND, told("h0", unix=(1010 - 3600) * SECOND))
        self.assertIn("clock is -3600 s from ours", view.notes()[0])

    def test_choices_are_by_name_glob_site_host_and_state(self):
        view = FleetView(fleet_of())
        view.told("h0", SECOND, told("h0"))
        rows = view.rows(SECOND)
        self.assertEqual([row.name for row in Selection(names=("n0*",)).among(rows)], ["n00", "n01", "n02"])
        self.assertEqual([row.name for row in Selection(("n*1",), ("wood*",), ("h1",)).among(rows)], ["n11"])
        self.assertEqual(len(Selection(states=("unknown",)).among(rows)), 3)
        with self.assertRaisesRegex(SelectionError, "no instance has the name 'x'"):
            Selection(names=("n00", "x")).among(rows)
        self.assertEqual(by_host(rows), {"h0": [("n00", 4), ("n01", 4), ("n02", 4)]})

    def test_an_order_that_takes_out_much_is_named_and_what_is_out_counts(self):
        view = FleetView(fleet_of())
        view.told("h0", SECOND, told("h0"))
        view.told("h1", SECOND, told("h1"))
        rows = view.rows(SECOND)
        self.assertEqual(sites_over_share(rows, rows[:2], 0.34), [])
        self.assertIn("3 of 6 would leave, 0 are out", sites_over_share(rows, rows[:3], 0.34)[0])
        view.told("h1", 2 * SECOND, told("h1", "failing"))
        rows = view.rows(2 * SECOND)
        self.assertIn("1 of 6 would leave, 3 are out", sites_over_share(rows, rows[:1], 0.34)[0])
        self.assertEqual(sites_over_share(rows, rows[3:], 0.34), [])
