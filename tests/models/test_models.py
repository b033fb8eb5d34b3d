"""Models of consensus, permits and drains: z3 finds a violation only where a rule is omitted."""

import unittest

from oakkeel.disruption.timeouts import PermitTimeouts
from oakkeel.models import disruption, drains, elections
from oakkeel.raft.timeouts import RaftTimeouts


class ElectionModelTest(unittest.TestCase):
    def test_no_term_has_two_leaders(self):
        self.assertFalse(elections.can_elect_two_leaders(4, elections.RULES))

    def test_two_votes_in_a_term_or_a_lost_vote_allow_two_leaders(self):
        self.assertTrue(elections.can_elect_two_leaders(2, elections.RULES - {"one vote"}))
        # Therefore a replica that has lost its file joins again as a new member.
        self.assertTrue(elections.can_elect_two_leaders(3, elections.RULES | {"forgets"}))

    def test_committed_entries_are_never_lost(self):
        self.assertFalse(elections.can_lose_committed_entry(5, elections.RULES))

    def test_votes_for_outdated_logs_lose_committed_entries(self):
        self.assertTrue(elections.can_lose_committed_entry(5, elections.RULES - {"current log"}))


class PermitModelTest(unittest.TestCase):
    def test_no_agent_starts_a_permit_after_its_expiry(self):
        timeouts = PermitTimeouts()
        validity, expiry = timeouts.validity_ns / 1e9, timeouts.expiry_ns / 1e9
        self.assertFalse(disruption.can_start_after_expiry(validity, expiry, timeouts.max_clock_drift_ratio))
        self.assertTrue(disruption.can_start_after_expiry(validity, validity, timeouts.max_clock_drift_ratio))
        self.assertTrue(
            disruption.can_start_after_expiry(
                validity, expiry, timeouts.max_clock_drift_ratio, disruption.CountedFrom.RECEIVED
            )
        )

    def test_two_leaders_never_hold_a_lease_at_one_time(self):
        timeouts = RaftTimeouts()
        self.assertFalse(
            disruption.can_two_leaders_hold_lease(
                timeouts.lease_ns / 1e9,
                timeouts.min_election_timeout_ns / 1e9,
                timeouts.max_clock_drift_ratio,
            )
        )
        self.assertTrue(
            disruption.can_two_leaders_hold_lease(
                timeouts.min_election_timeout_ns / 1e9,
                timeouts.min_election_timeout_ns / 1e9,
                timeouts.max_clock_drift_ratio,
            )
        )


class DrainModelTest(unittest.TestCase):
    def test_every_drain_ends_with_instance_stopped_or_serving(self):
        self.assertEqual(drains.stuck_states(), [])
        self.assertTrue(drains.always_ends())

    def test_cancel_after_the_stop_is_stuck_without_a_restart(self):
        self.assertEqual(drains.stuck_states({"restart"}), [("stopped", "gone", "pending")])


if __name__ == "__main__":
    unittest.main()
