"""A fake directory: which nodes reported, when, and whether they take requests."""

from __future__ import annotations

import asyncio
import time

EXPIRY = 3.0  # seconds after its last report that an entry is removed


class Directory(asyncio.DatagramProtocol):
    """Takes the datagrams by which nodes report themselves."""

    def __init__(self) -> None:
        """Empty at first."""
        self.reports: dict[str, tuple[float, bool]] = {}  # by node: monotonic seconds, and whether it is open
        self.transport: asyncio.DatagramTransport | None = None

    async def open(self) -> int:
        """Listen on loopback; returns the port."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, ("127.0.0.1", 0))
        return int(self.transport.get_extra_info("sockname")[1])

    async def close(self) -> None:
        """Take no more reports."""
        if self.transport:
            self.transport.close()

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Remember a report; anything else is ignored."""
        words = data.decode(errors="replace").split()
        if len(words) == 3 and words[0] == "PULSE":
            self.reports[words[1]] = time.monotonic(), words[2] == "open"

    def open_nodes(self) -> list[str]:
        """The nodes that take requests, by their reports that have not expired."""
        now = time.monotonic()
        return [name for name, (at, is_open) in self.reports.items() if is_open and now - at < EXPIRY]
