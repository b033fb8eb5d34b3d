"""A fake engine, which runs requests on a few cores and sends notices when a run ends or needs a call."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import deque
from random import Random

from oakkeel.fakes.faults import FakeWithFaults, Fault
from oakkeel.fakes.stream_server import StreamServer

MAX_NOTICES = 4000  # maximum number of notices retained for the next link of the node
# After this number of seconds without a link, a link that acknowledges no notice is from a new node.
NEW_NODE_DELAY = 0.3


class Engine(FakeWithFaults):
    """Each run takes about `work` seconds of a core; on average, one of `runs_per_call` runs needs a call."""

    def __init__(self, seed: int = 1, cores: int = 2, work: float = 0.01, runs_per_call: int = 0) -> None:
        """`work` in seconds; if `runs_per_call` is 0, no run needs a call."""
        super().__init__()
        self.cores = cores
        self.work = work
        self.runs_per_call = runs_per_call
        self.random_fraction = Random(seed).random
        self.core_semaphore = asyncio.Semaphore(cores)
        self.runs: dict[bytes, asyncio.Task[None]] = {}
        self.call_replies: dict[bytes, asyncio.Future[None]] = {}  # of runs that wait for a call
        self.notices: deque[tuple[int, bytes]] = deque(maxlen=MAX_NOTICES)  # number and notice
        self.last_notice_number = 0
        self.started_at = time.monotonic() - 60  # the engine reports that it has run for a minute
        self.running_count = 0
        self.link_ended_at = 0.0  # end of the last link, in monotonic seconds
        # number of starts by run: more than one start is a duplicate effect
        self.start_counts: dict[bytes, int] = {}
        self.first_started_at: dict[bytes, float] = {}  # monotonic seconds of the first start, by run
        self.link: asyncio.StreamWriter | None = None
        self.server = StreamServer(self._serve)

    async def open(self) -> int:
        """Listen on loopback; returns the port."""
        return await self.server.open()

    async def close(self) -> None:
        """Close the listener and the link, cancel the runs, and wait for their tasks."""
        await self.server.close()
        runs = list(self.runs.values())
        for task in runs:
            task.cancel()
        await asyncio.gather(*runs, return_exceptions=True)

    def set_fault(self, fault: Fault, slowness: float = 10.0) -> None:
        """Set the fault; a crash closes the link at once."""
        super().set_fault(fault, slowness)
        if fault is Fault.CRASH and self.link:
            self.link.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, ValueError, IndexError, asyncio.IncompleteReadError):
            try:
                while line := (await reader.readline()).split():
                    if self.fault is Fault.CRASH:
                        break
                    body = b""
                    if line[0] in (b"RUN", b"FEED"):
                        body = (await reader.readexactly(int(line[-1]) + 2))[:-2]
                    if self.fault is not Fault.HANG:
                        self._handle_command(writer, line, body)
            finally:
                if self.link is writer:
                    self.link = None
                    self.link_ended_at = time.monotonic()

    def _handle_command(self, writer: asyncio.StreamWriter, line: list[bytes], body: bytes) -> None:
        verb = line[0]
        if verb == b"ATTACH":
            # a new node has no notice to acknowledge
            if int(line[1]) == 0 and time.monotonic() - self.link_ended_at > NEW_NODE_DELAY:
                self.last_notice_number = 0
                self.notices.clear()
            if self.link:
                self.link.close()
            self.link = writer
            self._write(b"HELLO steady %d\r\n" % ((time.monotonic() - self.started_at) * 1000))
            for notice_number, notice in list(self.notices):
                if notice_number > int(line[1]):
                    self._write(notice)
        elif verb == b"STAT":
            busy = min(1.0, self.running_count / self.cores)
            self._write(b"STATS %s %.3f %.3f 0.1 1\r\n" % (line[1], busy, self.running_count))
        elif verb == b"RUN":
            if line[1] not in self.runs:
                self.runs[line[1]] = asyncio.ensure_future(self._run(line[1], body))
        elif verb == b"HALT":
            if task := self.runs.get(line[1]):
                task.cancel()
        elif (
            verb in (b"FEED", b"SKIP")
            and (call_reply := self.call_replies.pop(line[1], None))
            and not call_reply.done()
        ):
            call_reply.set_result(None)

    async def _run(self, run_id: bytes, body: bytes) -> None:
        self.start_counts[run_id] = self.start_counts.get(run_id, 0) + 1
        self.first_started_at.setdefault(run_id, time.monotonic())
        result_status = b"failure"
        try:
            work = self.work * (0.5 + self.random_fraction()) * self.slowdown
            await self._compute(work)
            if self.runs_per_call and int(self.random_fraction() * self.runs_per_call) == 0:
                self.call_replies[run_id] = asyncio.get_running_loop().create_future()
                self._send_notice(b"NEED %%d %s 4" % run_id, b"call")
                await self.call_replies[run_id]
                await self._compute(work / 2)
            result_status = b"success"
        except asyncio.CancelledError:
            result_status = b"interrupted"
        finally:
            del self.runs[run_id]
            result = b"made of " + body if result_status == b"success" else b""
            self._send_notice(b"DONE %%d %s %s 1.0 %d" % (run_id, result_status, len(result)), result)

    async def _compute(self, seconds: float) -> None:
        self.running_count += 1
        try:
            async with self.core_semaphore:
                await asyncio.sleep(seconds)
        finally:
            self.running_count -= 1

    def _send_notice(self, line: bytes, body: bytes) -> None:
        self.last_notice_number += 1
        notice = line % self.last_notice_number + b"\r\n" + body + b"\r\n"
        self.notices.append((self.last_notice_number, notice))
        self._write(notice)

    def _write(self, data: bytes) -> None:
        if self.link is None or self.fault is Fault.HANG:
            return
        data, link_ends = self.truncate(data)
        self.link.write(data)
        if link_ends:
            self.link.close()
            self.link = None
            self.link_ended_at = time.monotonic()
