"""A fake downstream service that goes down and comes up again at the same address."""

from __future__ import annotations

import asyncio

from oakkeel.fakes.stream_server import StreamServer


class DownstreamService:
    """Takes connections while it is open, and ends each at once."""

    def __init__(self, port: int) -> None:
        """Listens on loopback at `port`, once it is opened."""
        self.port = port
        self.server = StreamServer(self._serve)

    async def open(self) -> None:
        """Listen at the port that was given."""
        await self.server.open(self.port)

    async def close(self) -> None:
        """Go down; `open` brings it up again."""
        await self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """End the connection at once: that it was taken is all that is asked for."""
