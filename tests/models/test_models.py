"""Models of consensus, permits and drains: z3 finds no bad case, and finds one where a rule is left out."""

import unittest

from oakkeel.disruption.timeouts import PermitTimeouts
from oakkeel.models import disruption, drains, elections
from oakkeel.raft.timeouts import RaftTimeouts


class ElectionModelTest(unittest.TestCase):
    def test_no_run_has_two_leaders_of_one_term(self):
        self.assertFalse(elections.two_leaders(4, elections.RULES))

    def test_two_votes_a_term_or_a_forgotten_vote_make_two_leaders(self):
        self.assertTrue(elections.two_leaders(2, elections.RULES - {"one vote"}))
        self.assertTrue(
            elections.two_leaders(3, elections.RULES | {"forgets"})
        )  # why a lost file is a new member

    def test_no_run_loses_committed_entries(self):
        self.assertFalse(elections.committed_entry_is_lost(5, elections.RULES))

    def test_entries_are_lost_with_votes_for_any_log(self):
        self.assertTrue(elections.committed_entry_is_lost(5, elections.RULES - {"current log"}))


class PermitModelTest(unittest.TestCase):
    def test_nobody_starts_a_permit_after_it_has_expired(self):
        terms = PermitTimeouts()
        good, lapse = terms.validity_ns / 1e9, terms.expiry_ns / 1e9
        self.assertFalse(disruption.started_after_expiry(good, lapse, terms.max_clock_drift_ratio))
        self.assertTrue(disruption.started_after_expiry(good, good, terms.max_clock_drift_ratio))
        self.assertTrue(
            disruption.started_after_expiry(
                good, lapse, terms.max_clock_drift_ratio, disruption.CountedFrom.RECEIVED
            )
        )

    def test_leader_is_never_sure_beyond_its_lease(self):
        timeouts = RaftTimeouts()
        self.assertFalse(
            disruption.two_hold_a_lease(
                timeouts.lease_ns / 1e9,
                timeouts.min_election_timeout_ns / 1e9,
                timeouts.max_clock_drift_ratio,
            )
        )
        self.assertTrue(
            disruption.two_hold_a_lease(
                timeouts.min_election_timeout_ns / 1e9,
                timeouts.min_election_timeout_ns / 1e9,
                timeouts.max_clock_drift_ratio,
            )
        )


class DrainModelTest(unittest.TestCase):
    def test_every_drain_ends_stopped_or_serving(self):
        self.assertEqual(drains.stuck(), [])
        self.assertTrue(drains.always_ends())

    def test_cancel_that_crosses_the_stop_is_stuck_without_another_start(self):
        self.assertEqual(drains.stuck({"restart"}), [("stopped", "gone", "stands")])


if __name__ == "__main__":
    unittest.main()
