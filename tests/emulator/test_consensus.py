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
from oakkeel.emulator.faults import SECOND, Fault, Schedule, draw, read
from oakkeel.emulator.schedule_shrinking import shrink
from oakkeel.invariants.consensus import ConsensusAudit


class Notes:
    """A machine that writes down what was agreed."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []
        self.wanted: tuple[str, ...] = ()

    def apply(self, index: int, content: bytes) -> object:
        self.lines.append(content)
        if content.startswith(b"keepers "):
            self.wanted = tuple(content.decode().split()[1:])
        return index

    def snapshot(self) -> bytes:
        return b"\n".join([" ".join(self.wanted).encode(), *self.lines])

    def restore(self, content: bytes) -> None:
        first, *self.lines = content.split(b"\n") if content else [b""]
        self.wanted = tuple(first.decode().split())

    def desired_voters(self) -> tuple[str, ...]:
        return self.wanted


class ScheduleStories(unittest.TestCase):
    """Whole fleets in simulated time. `make measure-schedules` plays many more."""

    def test_drawn_schedules_break_no_promise_and_come_to_an_end(self):
        for seed in range(7000, 7012):
            with self.subTest(seed=seed):
                world, breaches = play(draw(seed))
                self.assertEqual((breaches, world.stuck()), ([], []))

    def test_the_same_schedule_plays_the_same_again_also_from_a_file_and_in_another_process(self):
        schedule = draw(3)
        first, second = play(schedule)[0], play(read(schedule.told()))[0]
        self.assertEqual((first.clock.happened, first.event_log), (second.clock.happened, second.event_log))
        code = (
            "from oakkeel.emulator.consensus import play; from oakkeel.emulator.faults import draw\n"
            "print(play(draw(3))[0].clock.happened)"
        )
        told = {
            subprocess.run(
                [sys.executable, "-c", code],
                env={**os.environ, "PYTHONHASHSEED": seed},
                capture_output=True,
                text=True,
                check=True,
            ).stdout
            for seed in ("1", "2")
        }
        self.assertEqual(told, {f"{first.clock.happened}\n"})

    def test_a_planted_fault_is_caught_and_cut_down(self):
        with mock.patch.object(UnavailableTargets, "find_violation", lambda self, things: ""):

            def fails(schedule: Schedule) -> bool:
                return bool(play(schedule)[1])

            schedule = next(each for each in map(draw, range(20)) if fails(each))
            less = shrink(schedule, fails)
            self.assertTrue(fails(less))
            self.assertLess(len(less.troubles), len(schedule.troubles))
            for index in range(len(less.troubles)):  # nothing of it can be left out
                rest = less.troubles[:index] + less.troubles[index + 1 :]
                self.assertFalse(fails(dataclasses.replace(less, troubles=rest)))
        self.assertEqual(play(less)[1], [])

    def test_an_agent_that_would_go_by_a_place_whose_time_is_over_is_caught(self):
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

    def test_the_auditor_catches_each_breach_by_itself(self):
        def judge() -> ConsensusAudit:
            audit = ConsensusAudit({"s": (1, ["a", "b"])}, SECOND)
            audit.applied(0, "k", 5, b"\x93\xa5grant\xa1o\x92\xa1a\xa1b")
            return audit

        audit = judge()
        audit.led(0, 1, "x")
        audit.led(1, 1, "y")
        audit.applied(1, "y", 5, b"\x93\xa5grant\xa1o\x91\xa1a")
        audit.answered("o9", 5)
        audit.started(2, "a", 3)
        audit.started(3, "a", 3)
        audit.left(3, "a", 4)
        audit.left(4, "b", 5)
        audit.left(5, "b", 3)
        audit.halt_holds("o")
        audit.left(6, "b", 6, "o")
        told = "\n".join(audit.end(9))
        for number in range(1, 8):
            self.assertIn(f"promise {number}: ", told)
        good = judge()
        good.gone(0, "a")
        good.left(SECOND // 2, "b", 5)  # too soon to be known
        self.assertEqual(good.end(9), [])
        late = judge()
        late.gone(0, "a")
        late.left(2 * SECOND, "b", 5)
        self.assertRegex(late.end(9)[0], "known to be away")
