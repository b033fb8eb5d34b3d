"""Faults of a fake; a fake has one fault at a time."""

from __future__ import annotations

from enum import Enum


class Fault(Enum):
    """A fault of a fake."""

    NONE = "none"
    HANG = "hang"  # the fake reads messages and does not answer
    CRASH = "crash"  # the fake closes its connections, and each new connection at once
    SLOW = "slow"  # all work takes `slowness` times as long
    BREAK = "break"  # the next message is truncated, and its connection closed


class FakeWithFaults:
    """A fake with a fault that can be set."""

    def __init__(self) -> None:
        """Start without a fault."""
        self.fault = Fault.NONE
        self.slowness = 10.0

    def set_fault(self, fault: Fault, slowness: float = 10.0) -> None:
        """Set the fault; `slowness` is the factor of `Fault.SLOW`."""
        self.fault = fault
        self.slowness = slowness

    @property
    def slowdown(self) -> float:
        """The factor by which all work is slowed down."""
        return self.slowness if self.fault is Fault.SLOW else 1.0

    def truncate(self, data: bytes) -> tuple[bytes, bool]:
        """Return the part of a message to send, and whether its connection ends after that part."""
        if self.fault is Fault.BREAK:
            self.fault = Fault.NONE
            return data[: max(1, len(data) // 2)], True
        return data, False
