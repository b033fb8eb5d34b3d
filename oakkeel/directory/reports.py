"""Reports to the directory: one datagram each, often enough that a lost or late one does not matter."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from oakkeel.resource_limits import SECOND, ResourceLimits


class DirectoryReporter:
    def __init__(self, address: tuple[str, int], name: str, resource_limits: ResourceLimits) -> None:
        self.name, self.resource_limits = name, resource_limits
        self.taking = True
        self.again = 0  # reports that still follow at once, as one that is lost would leave the old state
        self.timer: asyncio.TimerHandle | None = None
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.address = address

    def start(self) -> None:
        self._report()

    def set_taking(self, taking: bool) -> None:
        """Listed as taking work or not: a change is told at once."""
        if taking != self.taking:
            self.taking = taking
            self._tell_change()

    def move(self, address: tuple[str, int]) -> None:
        """From now on to another directory, which may not know this node."""
        self.address = address
        self._tell_change()

    def _tell_change(self) -> None:
        if self.timer:
            self.timer.cancel()
            self.again = self.resource_limits.report_repeats
            self._report()

    def _report(self) -> None:
        word = "open" if self.taking else "closed"
        with contextlib.suppress(OSError):  # one that is down lets no entry lapse; the next report follows
            self.socket.sendto(f"PULSE {self.name} {word}".encode(), self.address)
        wait = (
            self.resource_limits.report_repeat_interval
            if self.again
            else self.resource_limits.report_interval
        )
        self.again = max(0, self.again - 1)
        self.timer = asyncio.get_running_loop().call_later(wait / SECOND, self._report)

    def close(self) -> None:
        if self.timer:
            self.timer.cancel()
        self.socket.close()
