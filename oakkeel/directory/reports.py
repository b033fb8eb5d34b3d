"""Reports to the directory; each is one datagram, repeated because datagrams may be lost or late."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from oakkeel.resource_limits import ResourceLimits
from oakkeel.units import SECOND


def report_interval(repeats_left: int, limits: ResourceLimits) -> int:
    """Return the nanoseconds to the next report: fewer after a change, as the first report may be lost."""
    return limits.report_repeat_interval if repeats_left else limits.report_interval


class DirectoryReporter:
    """Reports at an interval whether this node accepts requests, and each change at once."""

    def __init__(self, address: tuple[str, int], name: str, resource_limits: ResourceLimits) -> None:
        """Open the datagram socket; nothing is sent before `start`."""
        self.name = name
        self.resource_limits = resource_limits
        self.is_accepting = True
        self.repeats_left = 0  # reports of the last change still to send soon, as one may be lost
        self.timer: asyncio.TimerHandle | None = None
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.address = address

    def start(self) -> None:
        """Send the first report and schedule the next ones."""
        self._report()

    def set_accepting(self, accepting: bool) -> None:
        """Set whether the node is listed as accepting requests; report a change at once."""
        if accepting != self.is_accepting:
            self.is_accepting = accepting
            self._report_change()

    def change_address(self, address: tuple[str, int]) -> None:
        """Report to another directory from now on, and at once, as that one may not know this node."""
        self.address = address
        self._report_change()

    def _report_change(self) -> None:
        if self.timer:
            self.timer.cancel()
            self.repeats_left = self.resource_limits.report_repeats
            self._report()

    def _report(self) -> None:
        state = "open" if self.is_accepting else "closed"
        # No retry: a directory that is down expires no entry, and the next report follows.
        with contextlib.suppress(OSError):
            self.socket.sendto(f"PULSE {self.name} {state}".encode(), self.address)
        interval = report_interval(self.repeats_left, self.resource_limits)
        self.repeats_left = max(0, self.repeats_left - 1)
        self.timer = asyncio.get_running_loop().call_later(interval / SECOND, self._report)

    def close(self) -> None:
        """Send no more reports and close the socket."""
        if self.timer:
            self.timer.cancel()
        self.socket.close()
