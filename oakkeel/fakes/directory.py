"""A directory: who reported itself, when, and whether it takes work."""

from __future__ import annotations

import asyncio
import time

LAPSE = 3.0  # seconds after its last report an entry is taken out


class Directory(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.heard: dict[str, tuple[float, bool]] = {}
        self.transport: asyncio.DatagramTransport | None = None

    async def open(self) -> int:
        """Listen on loopback; returns the port."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, ("127.0.0.1", 0))
        return self.transport.get_extra_info("sockname")[1]

    async def close(self) -> None:
        if self.transport:
            self.transport.close()

    def datagram_received(self, data: bytes, address: tuple) -> None:
        words = data.decode(errors="replace").split()
        if len(words) == 3 and words[0] == "PULSE":
            self.heard[words[1]] = time.monotonic(), words[2] == "open"

    def open_nodes(self) -> list[str]:
        """Those that take work, by all that is known."""
        now = time.monotonic()
        return [name for name, (at, taking) in self.heard.items() if taking and now - at < LAPSE]
