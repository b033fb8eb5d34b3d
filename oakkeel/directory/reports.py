"""Reports to the directory: one datagram each, often enough that a lost or late one does not matter."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from oakkeel.bounds import SECOND, Bounds


class Reports:
    def __init__(self, address: tuple[str, int], name: str, bounds: Bounds) -> None:
        self.name, self.every = name, bounds.pulse / SECOND
        self.taking = True
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
            if self.timer:
                self.timer.cancel()
                self._report()

    def _report(self) -> None:
        word = "open" if self.taking else "closed"
        with contextlib.suppress(OSError):  # one that is down lets no entry lapse; the next report follows
            self.socket.sendto(f"PULSE {self.name} {word}".encode(), self.address)
        self.timer = asyncio.get_running_loop().call_later(self.every, self._report)

    def close(self) -> None:
        if self.timer:
            self.timer.cancel()
        self.socket.close()
