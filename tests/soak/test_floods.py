"""Requests of dispatchers beside floods of bad clients, against the program as a process."""

import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from oakkeel.fakes.flood import FloodKind
from oakkeel.invariants.node_soak import NodeSoakAudit
from oakkeel.soak.node_run import NodeRun
from oakkeel.soak.plan import Disruption, DisruptionKind, Flood, draw_plan

DURATION_S = 8.0
FLOOD_START_S = 1.5
FLOOD_LENGTH_S = 4.0
CLIENTS = 300
SEED = 1
MIN_REQUESTS = 100


class FloodedNodeTest(unittest.IsolatedAsyncioTestCase):
    async def test_small_arrays_at_full_speed_leave_no_request_of_a_dispatcher_unanswered(self):
        # One pass of the event loop handled all of them, and 42 of 228 requests got no answer in time.
        flood = Disruption(
            FLOOD_START_S,
            FLOOD_LENGTH_S,
            DisruptionKind.FLOOD,
            0.0,
            Flood(FloodKind.SMALL_ARRAYS, CLIENTS),
        )
        plan = replace(draw_plan(SEED, DURATION_S), disruptions=(flood,))
        with tempfile.TemporaryDirectory() as folder:
            events = await NodeRun(plan, Path(folder)).play()
        audit = NodeSoakAudit(plan, events)
        self.assertEqual(audit.audit(), [])
        self.assertGreater(len(audit.histories), MIN_REQUESTS)


if __name__ == "__main__":
    unittest.main()
