"""A service below that takes connections, goes down and comes up again at the same address."""

from __future__ import annotations

import asyncio


class DownstreamService:
    def __init__(self, port: int) -> None:
        self.port = port
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        self.server = await asyncio.start_server(
            lambda reader, writer: writer.close(), "127.0.0.1", self.port
        )

    async def close(self) -> None:
        if self.server:
            self.server.close()
            await self.server.wait_closed()
        self.server = None
