"""The catalogue of a soak run, whose replies can go wrong in the ways that the pages name."""

from __future__ import annotations

import asyncio
import contextlib
from enum import Enum

from oakkeel.fakes.catalogue import Catalogue
from oakkeel.soak.world import World

UNKNOWN_ID = b"00000000000000ff"


class ReplyFault(Enum):
    """What is wrong with a reply."""

    MISSING = "missing"
    DOUBLED = "doubled"
    REFUSED = "refused"
    UNKNOWN_ID_AHEAD = "a reply under an unknown ID comes first"
    NOISE = "noise"
    HUGE = "said to hold 3 GB"
    RESET = "reset"


class SoakCatalogue(Catalogue):
    """Answers each call with its body; `fault_ratio` is the share of faulty replies."""

    def __init__(self, world: World) -> None:
        """Start without faults."""
        super().__init__(work=0.005)
        self.world = world
        self.fault_ratio = 0.0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, ValueError, IndexError, asyncio.IncompleteReadError):
            while line := (await reader.readline()).split():
                if line[0] == b"FETCH":
                    body = (await reader.readexactly(int(line[3]) + 2))[:-2]
                    self.call_count += 1
                    await asyncio.sleep(self.work)
                    self._reply(writer, line[1], body)

    def _reply(self, writer: asyncio.StreamWriter, request_id: bytes, body: bytes) -> None:
        reply = b"%s DATA %d\r\nfor %s\r\n" % (request_id, len(body) + 4, body)
        random = self.world.random
        if random.random() >= self.fault_ratio:
            writer.write(reply)
            return
        match random.choice(list(ReplyFault)):
            case ReplyFault.MISSING:
                pass
            case ReplyFault.DOUBLED:
                writer.write(reply + reply)
            case ReplyFault.REFUSED:
                writer.write(request_id + b" LATER\r\n")
            case ReplyFault.UNKNOWN_ID_AHEAD:
                writer.write(UNKNOWN_ID + b" DATA 2\r\nno\r\n" + reply)
            case ReplyFault.NOISE:
                writer.write(random.randbytes(40) + b"\r\n")
            case ReplyFault.HUGE:
                writer.write(request_id + b" DATA 3000000000\r\n" + random.randbytes(2000))
            case ReplyFault.RESET:
                writer.transport.abort()
