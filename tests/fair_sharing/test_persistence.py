"""The snapshot of fair sharing, and damage to its file."""

import os
import tempfile
import unittest

from oakkeel.fair_sharing import persistence
from oakkeel.fair_sharing.keys import SECRET_BYTES
from oakkeel.fair_sharing.max_min import MaxMinShares
from oakkeel.fair_sharing.reservations import Reservations
from oakkeel.fakes.simulated_node import SimulatedClient, SimulatedNode
from oakkeel.store import snapshot_file
from oakkeel.units import SECOND
from tests.support.fair_sharing import simulated_node

WRITTEN_AT = 10**18  # Unix nanoseconds at which the snapshots of these tests are written


class SnapshotTest(unittest.TestCase):
    def setUp(self) -> None:
        self.path = os.path.join(self.enterContext(tempfile.TemporaryDirectory()), "n1.shares")

    def node_under_load(self) -> SimulatedNode:
        node = simulated_node()
        node.add_clients(
            SimulatedClient(b"crawler", 500, honors_retry_after=False),
            *(SimulatedClient(b"g%d" % n, 20) for n in range(10)),
        )
        node.run_for(5)
        return node

    def snapshot_of(self, node: SimulatedNode) -> bytes:
        fair_sharing = node.admission.fair_sharing
        return persistence.encode_snapshot(
            node.now,
            WRITTEN_AT,
            ("caller",),
            bytes(SECRET_BYTES),
            fair_sharing.shares,
            fair_sharing.reservations,
        )

    def test_restores_flows_and_reservations_after_a_restart(self):
        node, restarted = self.node_under_load(), simulated_node()
        content = self.snapshot_of(node)
        snapshot = persistence.decode_snapshot(content, WRITTEN_AT + SECOND, ("caller",))
        restored, original = restarted.admission.fair_sharing, node.admission.fair_sharing
        persistence.restore_snapshot(
            snapshot, restarted.now, WRITTEN_AT + SECOND, restored.shares, restored.reservations
        )
        key = max(original.shares.tables[0].flows.values(), key=lambda flow: flow.count).key
        rate_before = original.shares.tables[0].rate(node.now, original.shares.tables[0].flows[key])
        rate_after = restored.shares.tables[0].rate(restarted.now, restored.shares.tables[0].flows[key])
        # A quarter of the half-life has passed.
        self.assertAlmostEqual(rate_after / rate_before, 0.5**0.25, delta=0.01)
        remaining_times = [
            sorted(
                reservation.due_at - now
                for flow_reservations in reservations.by_flow.values()
                for reservation in flow_reservations
            )
            for reservations, now in (
                (original.reservations, node.now + SECOND),
                (restored.reservations, restarted.now),
            )
        ]
        self.assertEqual(remaining_times[1], [time_left for time_left in remaining_times[0] if time_left > 0])

    def test_drops_a_client_whose_tenant_is_not_in_the_snapshot(self):
        shares = MaxMinShares(2, 2, 4 * SECOND, {})
        for tenant in range(3):  # the third tenant replaces the first, whose client stays
            weight = 1.0 + tenant
            shares.count(0, [(tenant, b"t%d" % tenant), (10 + tenant % 2, b"c%d" % tenant)], weight, False)
        self.assertNotIn(0, shares.tables[0].flows)
        self.assertIn(10, shares.tables[1].flows)
        content = persistence.encode_snapshot(
            0, WRITTEN_AT, ("tenant", "client"), bytes(SECRET_BYTES), shares, Reservations(SECOND, 8, 8)
        )
        restored = MaxMinShares(2, 2, 4 * SECOND, {})
        snapshot = persistence.decode_snapshot(content, WRITTEN_AT, ("tenant", "client"))
        persistence.restore_snapshot(snapshot, SECOND, WRITTEN_AT, restored, Reservations(SECOND, 8, 8))
        restored.allocate(SECOND, 0.1)
        self.assertEqual(set(restored.tables[0].flows), {1, 2})
        self.assertEqual(set(restored.tables[1].flows), {11})

    def test_rejects_a_snapshot_from_the_future_too_old_of_other_levels_or_truncated(self):
        content = self.snapshot_of(self.node_under_load())
        for unix_now, levels in (
            (WRITTEN_AT - 5 * SECOND, ("caller",)),
            (WRITTEN_AT + 61 * SECOND, ("caller",)),
            (WRITTEN_AT, ("tenant",)),
        ):
            with self.assertRaises(persistence.SnapshotRejectedError):
                persistence.decode_snapshot(content, unix_now, levels)
        with self.assertRaises(persistence.SnapshotRejectedError):
            persistence.decode_snapshot(content[:50], WRITTEN_AT, ("caller",))

    def test_detects_a_truncated_or_changed_file(self):
        snapshot_file.write(self.path, b"content" * 100)
        self.assertEqual(snapshot_file.read(self.path), b"content" * 100)
        with open(self.path, "rb") as file:
            content = file.read()
        for damaged in (
            content[: len(content) // 2],
            content[:-1] + bytes([content[-1] ^ 1]),
            b"",
            b"x" * 100,
        ):
            with open(self.path, "wb") as file:
                file.write(damaged)
            with self.assertRaises(snapshot_file.SnapshotError):
                snapshot_file.read(self.path)
        self.assertIsNone(snapshot_file.read(self.path + "x"))
