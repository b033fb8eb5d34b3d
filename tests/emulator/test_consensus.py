"""Tests of the consensus emulator with drawn schedules of faults."""

import dataclasses
import os
import subprocess
import sys
import unittest
from unittest import mock

from oakkeel.disruption.holder import PermitHolder
from oakkeel.disruption.topology import UnavailableTargets
from oakkeel.emulator.consensus import run_schedule
from oakkeel.emulator.faults import Fault, Schedule, draw_schedule, schedule_from_json
from oakkeel.emulator.schedule_shrinking import shrink_schedule
from oakkeel.invariants.consensus import ConsensusAudit
from oakkeel.units import SECOND


class ConsensusSimulationTest(unittest.TestCase):
    """Simulations of whole fleets. `make measure-schedules` runs many more schedules."""

    def test_drawn_schedules_break_no_invariant_and_converge(self):
        for seed in range(7000, 7012):
            with self.subTest(seed=seed):
                simulation, breaches = run_schedule(draw_schedule(seed))
                self.assertEqual((breaches, simulation.convergence_failures()), ([], []))

    def test_replays_a_schedule_exactly_from_a_file_and_in_another_process(self):
        schedule = draw_schedule(3)
        first, second = run_schedule(schedule)[0], run_schedule(schedule_from_json(schedule.to_json()))[0]
        self.assertEqual(
            (first.clock.events_processed, first.event_log), (second.clock.events_processed, second.event_log)
        )
        code = (
            "from oakkeel.emulator.consensus import run_schedule\n"
            "from oakkeel.emulator.faults import draw_schedule\n"
            "print(run_schedule(draw_schedule(3))[0].clock.events_processed)"
        )
        outputs = {
            subprocess.run(
                [sys.executable, "-c", code],
                env={**os.environ, "PYTHONHASHSEED": seed},
                capture_output=True,
                text=True,
                check=True,
            ).stdout
            for seed in ("1", "2")
        }
        self.assertEqual(outputs, {f"{first.clock.events_processed}\n"})

    def test_detects_an_injected_defect_and_shrinks_its_schedule(self):
        with mock.patch.object(UnavailableTargets, "find_violation", lambda self, targets: ""):

            def fails(schedule: Schedule) -> bool:
                return bool(run_schedule(schedule)[1])

            schedule = next(candidate for candidate in map(draw_schedule, range(20)) if fails(candidate))
            shrunk_schedule = shrink_schedule(schedule, fails)
            self.assertTrue(fails(shrunk_schedule))
            self.assertLess(len(shrunk_schedule.faults), len(schedule.faults))
            for index in range(len(shrunk_schedule.faults)):  # each remaining fault is needed
                remaining_faults = shrunk_schedule.faults[:index] + shrunk_schedule.faults[index + 1 :]
                self.assertFalse(fails(dataclasses.replace(shrunk_schedule, faults=remaining_faults)))
        self.assertEqual(run_schedule(shrunk_schedule)[1], [])

    def test_detects_an_agent_that_uses_an_expired_permit(self):
        schedules = [
            Schedule(
                seed,
                3,
                3,
                2,
                1,
                1,
                (
                    Fault(3 * SECOND, "stop in a step", 0, 0, 6 * SECOND),
                    Fault(4 * SECOND, "drain", 0, 0, 0, 0.0),
                    Fault(5 * SECOND, "halt"),
                ),
                16 * SECOND,
            )
            for seed in range(6)
        ]
        self.assertEqual([breach for schedule in schedules for breach in run_schedule(schedule)[1]], [])

        def ignore_expiry(self, now, target, order_id, may_have_process=True):
            permit = self.permits.get(target)
            return permit is not None and permit.order_id == order_id and not permit.unused

        with (
            mock.patch.object(PermitHolder, "may_start", ignore_expiry),
            mock.patch.object(PermitHolder, "may_notify", ignore_expiry),
        ):
            breaches = [breach for schedule in schedules for breach in run_schedule(schedule)[1]]
        self.assertRegex(breaches[0], "invariant 7: ")

    def test_audit_detects_each_breach(self):
        def audit_with_grants() -> ConsensusAudit:
            audit = ConsensusAudit({"s": (1, ["a", "b"])}, SECOND)
            audit.record_applied_command(0, "k", 5, b"\x93\xa5grant\xa1o\x92\xa1a\xa1b")
            return audit

        audit = audit_with_grants()
        audit.record_leader(0, 1, "x")
        audit.record_leader(1, 1, "y")
        audit.record_applied_command(1, "y", 5, b"\x93\xa5grant\xa1o\x91\xa1a")
        audit.record_acknowledgement("o9", 5)
        audit.record_process_start(2, "a", 3)
        audit.record_process_start(3, "a", 3)
        audit.record_drain(3, "a", 4)
        audit.record_drain(4, "b", 5)
        audit.record_drain(5, "b", 3)
        audit.record_halt("o")
        audit.record_drain(6, "b", 6, "o")
        breaches = "\n".join(audit.finish(9))
        for invariant in range(1, 8):
            self.assertIn(f"invariant {invariant}: ", breaches)
        early_drain_audit = audit_with_grants()
        early_drain_audit.record_unavailable(0, "a")
        # The leader need not know yet that "a" is unavailable.
        early_drain_audit.record_drain(SECOND // 2, "b", 5)
        self.assertEqual(early_drain_audit.finish(9), [])
        late_drain_audit = audit_with_grants()
        late_drain_audit.record_unavailable(0, "a")
        late_drain_audit.record_drain(2 * SECOND, "b", 5)
        self.assertRegex(late_drain_audit.finish(9)[0], "known to be unavailable")
