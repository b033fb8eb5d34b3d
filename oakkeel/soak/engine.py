"""The engine of a soak run: it knows all requests, and its link can fail in the ways that the pages name."""

from __future__ import annotations

import asyncio
import time

from oakkeel.fakes.engine import Engine
from oakkeel.soak.record import CommandChanged, ReplyFed, RunEnded, RunStarted
from oakkeel.soak.world import LiveRequest, World

PIECE_DELAY_S = 0.005  # between two pieces of what is sent
REPEAT_RATIO = 0.05  # of the notices, that are sent twice while notices come in pieces
REMARK_RATIO = 0.05  # of the notices, that a remark follows then
OVER_POLL_S = 0.02  # between checks whether a request that waits at a call is over


class SoakEngine(Engine):
    """Runs the requests of a world, and refuses commands for requests that never came to the machine."""

    def __init__(self, world: World) -> None:
        """Run with the cores that the settings of the plan name."""
        super().__init__(world.plan.seed, cores=world.plan.settings()["extra"]["cores"])
        self.world = world
        self.sends_pieces = False
        self.loses_commands = False
        self.is_restarting = False  # its runs end without a notice
        self.outbox = b""
        self.send_task: asyncio.Task[None] | None = None
        self.expected_replies: dict[bytes, bytes] = {}  # of runs that wait for a call
        self.call_notices: dict[bytes, int] = {}  # number of the notice of that call

    async def close(self) -> None:
        """Close the listener and the link, and end all tasks."""
        if self.send_task:
            self.send_task.cancel()
            await asyncio.gather(self.send_task, return_exceptions=True)
        await super().close()

    async def break_link(self, loss_s: float) -> None:
        """Lose the commands of the next `loss_s` seconds, then reset the link within a notice."""
        self.loses_commands = True
        await asyncio.sleep(loss_s)
        self.loses_commands = False
        if link := self.link:
            link.write(b"NOTE 99999")
            link.transport.abort()
            self.link = None
            self.link_ended_at = time.monotonic()
        self.outbox = b""

    async def restart(self) -> None:
        """Lose all runs and notices, as another process at the same address."""
        runs = list(self.runs.values())
        self.is_restarting = True
        for task in runs:
            task.cancel()
        await asyncio.gather(*runs, return_exceptions=True)
        self.is_restarting = False
        await self.break_link(0.0)
        self.notices.clear()
        self.last_notice_number = 0
        self.call_notices.clear()
        self.started_at = time.monotonic()

    def _handle_command(self, writer: asyncio.StreamWriter, line: list[bytes], body: bytes) -> None:
        if self.loses_commands:
            return
        verb = line[0]
        if verb in (b"ATTACH", b"STAT"):
            if verb == b"ATTACH":
                self.outbox = b""
            super()._handle_command(writer, line, body)
            return
        request = self.world.requests.get(line[1])
        if request is None or not self._is_allowed(request, line, body):
            self._write(b"NO %s %s\r\n" % (verb, line[1]))
        elif verb == b"RUN":
            self._start_run(request)
        elif verb == b"HALT":
            if task := self.runs.get(line[1]):
                task.cancel()
        elif verb == b"FEED" or (verb == b"SKIP" and int(line[2]) == self.call_notices.get(line[1])):
            self._end_call(request, body if verb == b"FEED" else None)

    def _is_allowed(self, request: LiveRequest, line: list[bytes], body: bytes) -> bool:
        """Return whether the settings allow the command, and its group and body are those of the request."""
        group = request.planned.group
        match line[0]:
            case b"RUN":
                if line[2] != group.name.encode() or body != request.planned.body:
                    self.world.log(CommandChanged(time.time(), request.request_id.decode()))
                    return False
                return True
            case b"HALT":
                return self.world.plan.can_stop_runs
            case b"SKIP":
                return bool(group.skip_weight)
            case b"FEED":
                return request.request_id in self.expected_replies
        return False

    def _start_run(self, request: LiveRequest) -> None:
        request_id = request.request_id
        if request_id in self.runs:
            return
        if request.is_over:
            self._send_notice(b"DONE %%d %s nothing 0 0" % request_id, b"")
            return
        self.runs[request_id] = asyncio.ensure_future(self._run_request(request))

    def _end_call(self, request: LiveRequest, reply: bytes | None) -> None:
        """Let a run continue with a reply, or without one (None)."""
        request_id = request.request_id
        waiter = self.call_replies.pop(request_id, None)
        if waiter is None or waiter.done():
            return
        expected = self.expected_replies.pop(request_id)
        if reply is not None:
            self.world.log(ReplyFed(time.time(), request_id.decode(), expected, reply))
        waiter.set_result(None)

    async def _run_request(self, request: LiveRequest) -> None:
        request_id = request.request_id
        self.world.log(RunStarted(time.time(), request_id.decode()))
        status, result = b"interrupted", b""
        try:
            if await self._compute_and_call(request):
                status = b"success"
                result = b"made for %s of " % request_id + request.planned.body[:64]
        except asyncio.CancelledError:
            pass
        finally:
            del self.runs[request_id]
            self.expected_replies.pop(request_id, None)
            self.call_replies.pop(request_id, None)
            self.world.log(RunEnded(time.time(), request_id.decode(), result))
            self._send_notice(b"DONE %%d %s %s 1.0 %d" % (request_id, status, len(result)), result)

    async def _compute_and_call(self, request: LiveRequest) -> bool:
        """Do the work of a run, with its calls; return False if the request is over at a call."""
        planned = request.planned
        work_s = planned.work_s / (planned.calls + 1)
        await self._compute(work_s)
        for call in range(planned.calls):
            body = b"%s.%d" % (request.request_id, call)
            waiter = self.call_replies[request.request_id] = asyncio.get_running_loop().create_future()
            self.expected_replies[request.request_id] = b"for " + body
            self._send_notice(b"NEED %%d %s %d" % (request.request_id, len(body)), body)
            self.call_notices[request.request_id] = self.last_notice_number
            while not waiter.done():
                await asyncio.wait((waiter,), timeout=OVER_POLL_S)
                if request.is_over:
                    return False
            await self._compute(work_s)
        return True

    def _send_notice(self, line: bytes, body: bytes) -> None:
        if self.is_restarting:
            return
        super()._send_notice(line, body)
        if self.sends_pieces and self.world.random.random() < REPEAT_RATIO:
            self._write(self.notices[-1][1])
        if self.sends_pieces and self.world.random.random() < REMARK_RATIO:
            self.last_notice_number += 1
            self._write(b"NOTE %d a remark\r\n" % self.last_notice_number)

    def _write(self, data: bytes) -> None:
        if not self.sends_pieces and self.send_task is None:
            super()._write(data)
        elif self.link:
            self.outbox += data
            if self.send_task is None:
                self.send_task = asyncio.ensure_future(self._send_pieces())

    async def _send_pieces(self) -> None:
        while self.outbox and self.link:
            cut = self.world.random.randrange(1, len(self.outbox) + 1)
            self.link.write(self.outbox[:cut])
            self.outbox = self.outbox[cut:]
            await asyncio.sleep(PIECE_DELAY_S)
        self.send_task = None
