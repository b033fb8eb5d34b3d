"""A loopback TCP server that owns the tasks of its connections and cancels them when it is closed."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class StreamServer:
    """Serves each connection in a task of its own.

    `asyncio.start_server` with a coroutine function leaves its connection tasks to the loop. A task that
    still runs when the loop ends is cancelled by the loop, and Python 3.11 then prints the `CancelledError`
    through the exception handler of the loop. Here `close` cancels the tasks and waits for them.
    """

    def __init__(self, serve: Serve) -> None:
        """`serve` runs for each connection; the connection is closed when it returns."""
        self._serve = serve
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def open(self, port: int = 0) -> int:
        """Listen on loopback; returns the port."""
        # Not a coroutine function, for which the stream protocol would create the task itself.
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", port)
        return int(self._server.sockets[0].getsockname()[1])

    def successor(self) -> StreamServer:
        """Return another server, not open yet, that serves its connections as this one does."""
        return StreamServer(self._serve)

    def stop_listening(self) -> None:
        """Accept no more connections; open connections stay."""
        if self._server:
            self._server.close()
            self._server = None

    async def close(self) -> None:
        """Accept no more connections, close the open ones and wait for their tasks."""
        self.stop_listening()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.ensure_future(self._run(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._serve(reader, writer)
        finally:
            writer.close()
