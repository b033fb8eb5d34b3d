"""Faults that a stand-in can be told to have, one at a time, until told otherwise."""

from __future__ import annotations

from enum import Enum


class Fault(Enum):
    NONE = "none"
    HANG = "hang"  # it takes what is sent and says nothing
    CRASH = "crash"  # it ends its connections, and each new one at once
    SLOW = "slow"  # all takes `slowness` times as long
    BREAK = "break"  # the next message ends in the middle, with the connection


class Faulty:
    """A stand-in with a switch."""

    def __init__(self) -> None:
        self.fault, self.slowness = Fault.NONE, 10.0

    def script(self, fault: Fault, slowness: float = 10.0) -> None:
        self.fault, self.slowness = fault, slowness

    @property
    def factor(self) -> float:
        return self.slowness if self.fault is Fault.SLOW else 1.0

    def cut(self, data: bytes) -> tuple[bytes, bool]:
        """What of a message is sent, and whether its connection ends then."""
        if self.fault is Fault.BREAK:
            self.fault = Fault.NONE
            return data[: max(1, len(data) // 2)], True
        return data, False
