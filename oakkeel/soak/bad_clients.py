"""Bad clients of a soak run: each is owed a refusal, an error or a close within 3 s, and never served."""

from __future__ import annotations

import asyncio
import contextlib
import time

from oakkeel.dispatch.resp import encode
from oakkeel.soak.plan import Effect, Group
from oakkeel.soak.record import BadClientAnswered, BadClientConnected
from oakkeel.soak.world import World

UNKNOWN_IDS_PER_GROUP = 4
RECENT_REQUESTS = 40  # whose keys and subjects are repeated
WAIT_S = 4.0  # for an answer or a close
HOUR_MS = 3_600_000


class BadClients:
    """Connects bad clients to the node, and records what becomes of each."""

    def __init__(self, world: World, port: int) -> None:
        """`port` is that of the node."""
        self.world = world
        self.port = port
        self.count = 0
        self.tasks: set[asyncio.Task[None]] = set()

    def send_unknown_ids(self) -> None:
        """Send well-formed requests whose IDs the engine does not know; some repeat keys and subjects."""
        for group in self.world.plan.groups * UNKNOWN_IDS_PER_GROUP:
            self._start("unknown ID", self._call(group, self._fields(group)))

    def send_malformed(self) -> None:
        """Send bytes that can't be read, and requests with fields out of range."""
        group = self.world.random.choice(self.world.plan.groups)
        now_ms = int(time.time() * 1000)
        for data in (
            b"GET / HTTP/1.1\r\n\r\n",
            b"*3\r\n$4\r\nCALL\r\n$-7\r\n",
            b"*99999999\r\n",
            b"*3\r\n$4\r\nCALL\r\n$1\r\n1\r\n$60000000\r\n" + bytes(3000),
            self._call(group, b"need=24.5,level=0.5"),
            self._call(group, self._fields(group, ts=now_ms + HOUR_MS)),
            self._call(group, self._fields(group, ts=now_ms - HOUR_MS)),
            encode(b"CALL", b"1", b"no-such-group", self._fields(group), b"body"),
            self._call(group, self._fields(group))[:-9],  # half a request
        ):
            self._start("malformed", data)

    def flood_silently(self, count: int) -> None:
        """Open connections that say nothing."""
        for _ in range(count):
            self._start("silent", b"")

    def _fields(self, group: Group, ts: int = 0) -> bytes:
        recent = [request.planned for request in list(self.world.requests.values())[-RECENT_REQUESTS:]]
        planned = self.world.random.choice(
            [request for request in recent if request.group == group] or self.world.plan.requests
        )
        request_id = f"{self.world.random.getrandbits(64):016x}"
        fields = (
            f"req={request_id},ts={ts or int(time.time() * 1000)},via=99,timeout=2000,need=24.5,level=0.5"
        )
        if group.effect is Effect.READ:
            fields += f",subject={planned.key}"
        elif group.effect is Effect.KEYED:
            fields += f",opkey={planned.key}"
        return fields.encode()

    @staticmethod
    def _call(group: Group, fields: bytes, body: bytes = b"made up") -> bytes:
        return encode(b"CALL", b"1", group.name.encode(), fields, body)

    def _start(self, kind: str, data: bytes) -> None:
        self.count += 1
        task = asyncio.ensure_future(self._run(f"bad{self.count}", kind, data))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run(self, client: str, kind: str, data: bytes) -> None:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return  # refused
        self.world.log(BadClientConnected(time.time(), client, kind))
        with contextlib.suppress(OSError, TimeoutError):
            writer.write(data)
            async with asyncio.timeout(WAIT_S):
                word = await self._read_word(reader)
            self.world.log(BadClientAnswered(time.time(), client, word))
        writer.close()

    @staticmethod
    async def _read_word(reader: asyncio.StreamReader) -> str:
        """Return the word of the first answer, or an empty text at the end of the connection."""
        while True:
            try:
                head = await reader.readline()
                if not head:
                    return ""
                parts = []
                for _ in range(int(head[1:])):
                    length = int((await reader.readline())[1:])
                    parts.append((await reader.readexactly(length + 2))[:-2])
            except (ConnectionError, asyncio.IncompleteReadError):
                return ""
            if parts[:2] != [b"0", b"last"]:
                return parts[1].decode()

    async def finish(self) -> None:
        """Wait until each client has an answer or has given up."""
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=WAIT_S + 1.0)
