"""A fake downstream service that can be closed and opened again at the same address."""

from __future__ import annotations

import asyncio

from oakkeel.fakes.stream_server import StreamServer


class DownstreamService:
    """Accepts connections while it is open, and closes each at once."""

    def __init__(self, port: int) -> None:
        """The service will listen on loopback at `port`."""
        self.port = port
        self.server = StreamServer(self._serve)

    async def open(self) -> None:
        """Listen at the port."""
        await self.server.open(self.port)

    async def close(self) -> None:
        """Stop the service; `open` starts it again."""
        await self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Return at once, which closes the connection: clients only check that it is accepted."""
