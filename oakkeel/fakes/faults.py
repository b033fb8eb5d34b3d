"""Faults that a fake can be set to have, one at a time, until it is set to another."""

from __future__ import annotations

from enum import Enum


class Fault(Enum):
    """What goes wrong with a fake."""

    NONE = "none"
    HANG = "hang"  # it takes what is sent and answers nothing
    CRASH = "crash"  # it ends its connections, and each new one at once
    SLOW = "slow"  # all takes `slowness` times as long
    BREAK = "break"  # the next message ends in the middle, with the connection


class Faulty:
    """A fake with a fault that can be set."""

    def __init__(self) -> None:
        """Nothing is wrong at first."""
        self.fault = Fault.NONE
        self.slowness = 10.0

    def script(self, fault: Fault, slowness: float = 10.0) -> None:
        """Set the fault from now on; `slowness` is the factor of `Fault.SLOW`."""
        self.fault = fault
        self.slowness = slowness

    @property
    def factor(self) -> float:
        """How many times as long everything takes."""
        return self.slowness if self.fault is Fault.SLOW else 1.0

    def truncate(self, data: bytes) -> tuple[bytes, bool]:
        """What of a message is sent, and whether its connection ends then."""
        if self.fault is Fault.BREAK:
            self.fault = Fault.NONE
            return data[: max(1, len(data) // 2)], True
        return data, False
