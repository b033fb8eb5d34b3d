"""Drawn schedules of faults in simulated time."""

import dataclasses
import os
import subprocess
import sys
import unittest
from unittest import mock

from oakkeel.disruption.holder import PermitHolder
from oakkeel.disruption.topology import UnavailableTargets
from oakkeel.emulator.consensus import play
from oakkeel.emulator.faults import Fault, Schedule, draw, schedule_from_json
from oakkeel.emulator.schedule_shrinking import shrink
from oakkeel.invariants.consensus import ConsensusAudit
from oakkeel.units import SECOND


class ConsensusSimulationTest(unittest.TestCase):
    """Whole fleets in simulated time. `make measure-schedules` plays many more."""

    def test_drawn_schedules_break_no_promise_and_come_to_an_end(self):
        for seed in range(7000, 7012):
            with self.subTest(seed=seed):
                world, breaches = play(draw(seed))
                self.assertEqual((breaches, world.stuck()), ([], []))

    def test_replays_a_schedule_exactly_from_a_file_and_in_another_process(self):
        schedule = draw(3)
        first, second = play(schedule)[0], play(schedule_from_json(schedule.to_json()))[0]
        self.assertEqual(
            (first.clock.events_processed, first.event_log), (second.clock.events_processed, second.event_log)
        )
        code = (
            "from oakkeel.emulator.consensus import play; from oakkeel.emulator.faults import draw\n"
            "print(play(draw(3))[0].clock.events_processed)"
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

    def test_planted_defect_is_caught_and_its_schedule_shrunk(self):
        with mock.patch.object(UnavailableTargets, "find_violation", lambda self, things: ""):

            def fails(schedule: Schedule) -> bool:
                return bool(play(schedule)[1])

            schedule = next(each for each in map(draw, range(20)) if fails(each))
            shrunk = shrink(schedule, fails)
            self.assertTrue(fails(shrunk))
            self.assertLess(len(shrunk.faults), len(schedule.faults))
            for index in range(len(shrunk.faults)):  # nothing of it can be left out
                rest = shrunk.faults[:index] + shrunk.faults[index + 1 :]
                self.assertFalse(fails(dataclasses.replace(shrunk, faults=rest)))
        self.assertEqual(play(shrunk)[1], [])

    def test_catches_an_agent_that_uses_an_expired_permit(self):
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
        self.assertEqual([breach for each in schedules for breach in play(each)[1]], [])

        def for_ever(self, now, thing, ident, runs=True):
            held = self.permits.get(thing)
            return held is not None and held.order_id == ident and not held.unused

        with (
            mock.patch.object(PermitHolder, "may_start", for_ever),
            mock.patch.object(PermitHolder, "may_notify", for_ever),
        ):
            breaches = [breach for each in schedules for breach in play(each)[1]]
        self.assertRegex(breaches[0], "promise 7: ")

    def test_audit_catches_each_breach_by_itself(self):
        def granted_audit() -> ConsensusAudit:
            audit = ConsensusAudit({"s": (1, ["a", "b"])}, SECOND)
            audit.command_applied(0, "k", 5, b"\x93\xa5grant\xa1o\x92\xa1a\xa1b")
            return audit

        audit = granted_audit()
        audit.leader_observed(0, 1, "x")
        audit.leader_observed(1, 1, "y")
        audit.command_applied(1, "y", 5, b"\x93\xa5grant\xa1o\x91\xa1a")
        audit.order_acknowledged("o9", 5)
        audit.generation_started(2, "a", 3)
        audit.generation_started(3, "a", 3)
        audit.drain_started(3, "a", 4)
        audit.drain_started(4, "b", 5)
        audit.drain_started(5, "b", 3)
        audit.order_halted("o")
        audit.drain_started(6, "b", 6, "o")
        found = "\n".join(audit.finish(9))
        for number in range(1, 8):
            self.assertIn(f"promise {number}: ", found)
        good = granted_audit()
        good.out_by_itself(0, "a")
        good.drain_started(SECOND // 2, "b", 5)  # too soon to be known
        self.assertEqual(good.finish(9), [])
        late = granted_audit()
        late.out_by_itself(0, "a")
        late.drain_started(2 * SECOND, "b", 5)
        self.assertRegex(late.finish(9)[0], "known to be unavailable")
