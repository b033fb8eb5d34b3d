"""A fake directory, which records the reports of nodes."""

from __future__ import annotations

import asyncio
import time

EXPIRY = 3.0  # seconds from the last report of a node until its entry expires


class Directory(asyncio.DatagramProtocol):
    """Receives the datagrams with which nodes report themselves."""

    def __init__(self) -> None:
        """Start without entries."""
        self.reports: dict[
            str, tuple[float, bool]
        ] = {}  # by node: time of the last report, in monotonic seconds, and whether the node is open
        self.transport: asyncio.DatagramTransport | None = None

    async def open(self) -> int:
        """Listen on loopback; returns the port."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, ("127.0.0.1", 0))
        return int(self.transport.get_extra_info("sockname")[1])

    async def close(self) -> None:
        """Receive no more reports."""
        if self.transport:
            self.transport.close()

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Record a report; other datagrams are ignored."""
        fields = data.decode(errors="replace").split()
        if len(fields) == 3 and fields[0] == "PULSE":
            self.reports[fields[1]] = time.monotonic(), fields[2] == "open"

    def open_nodes(self) -> list[str]:
        """Return the nodes that accept requests, according to reports that have not expired."""
        now = time.monotonic()
        return [
            name
            for name, (received_at, is_open) in self.reports.items()
            if is_open and now - received_at < EXPIRY
        ]
