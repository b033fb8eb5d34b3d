"""Capacity reservations."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from oakkeel.fair_sharing.reservations import MAX_BACKED_PER_FLOW, ReservationEnd, Reservations
from oakkeel.units import MS, SECOND


class ReservationsTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.integers(0, 6), st.floats(1, 30), st.integers(0, 3)), max_size=120))
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_never_books_more_than_the_capacity(self, bookings):
        reservations = Reservations(50 * MS, 20, 40)
        now = 0
        for key, work, pause_steps in bookings:
            now += pause_steps * 20 * MS
            reservations.reserve(now, now, key, work, 30.0)
            self.assertLessEqual(max(reservations.booked), 30.0)
            self.assertLessEqual(reservations.open_count, 40)
            counts_by_flow = [len(flow_reservations) for flow_reservations in reservations.by_flow.values()]
            self.assertEqual(reservations.open_count, sum(counts_by_flow))
            self.assertTrue(all(count <= MAX_BACKED_PER_FLOW for count in counts_by_flow))

    def test_frees_the_capacity_of_ended_reservations_and_drops_expired_ones(self):
        reservations = Reservations(50 * MS, 20, 2)
        first = reservations.reserve(0, 0, 1, 10.0, 10.0)
        self.assertEqual(
            (first.due_at, reservations.reserve(0, 0, 2, 10.0, 10.0).due_at), (50 * MS, 100 * MS)
        )
        self.assertIsNone(reservations.reserve(0, 0, 3, 10.0, 10.0))
        reservations.end(first, ReservationEnd.RELEASED)
        self.assertEqual(reservations.reserve(0, 0, 3, 10.0, 10.0).due_at, 50 * MS)
        self.assertIsNotNone(reservations.reserve(5 * SECOND, 0, 4, 10.0, 10.0))
        self.assertEqual(reservations.expired_count, 2)
