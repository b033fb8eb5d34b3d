"""Stand-ins for the cases 6 to 10, from the pages `PROTOCOL.md` and `DEPLOY.md`: engine, catalogue, directory,
dispatcher connections, and the start of a node by the `run` command of the deploy file.

Only the standard library is used. Every address is a loopback address.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
MS = 1_000_000
SECOND = 1_000_000_000
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case


class Record:
    """What was sent, answered and run, a line an event, in `record.txt` of the case."""

    def __init__(self, path: Path) -> None:
        self.file = open(path, "w", encoding="utf-8")
        self.started_at = time.time()

    def add(self, who: str, what: str) -> None:
        self.file.write(f"{time.time() - self.started_at:9.3f} {who:<12} {what}\n")
        self.file.flush()


class Requests:
    """The requests that came to the machine, which the engine knows, by ID."""

    def __init__(self) -> None:
        self.bodies: dict[str, tuple[str, bytes]] = {}  # class and body
        self.over: set[str] = set()  # answered, taken back or lost

    def add(self, request_id: str, class_name: str, body: bytes) -> None:
        self.bodies[request_id] = (class_name, body)


class Engine:
    """Runs requests, `cores` at a time; `work` gives the seconds of a run by class and body.

    `calls` gives the number of calls of a run. `halt` is `abort`, `suspend` or `silent`, as the settings.
    """

    def __init__(
        self,
        record: Record,
        requests: Requests,
        cores: int,
        work: Callable[[str, bytes], float],
        calls: Callable[[str, bytes], int] = lambda class_name, body: 0,
        halt: str = "silent",
        skippable: bool = False,
    ) -> None:
        self.record, self.requests = record, requests
        self.cores = asyncio.Semaphore(cores)
        self.work, self.calls, self.halt, self.skippable = work, calls, halt, skippable
        self.on_cores = 0
        self.runs: dict[str, asyncio.Task[None]] = {}
        self.starts: dict[str, int] = {}  # number of starts by request
        self.waiting: dict[str, tuple[int, asyncio.Future[bytes | None]]] = {}
        self.fed: list[tuple[str, bytes, bytes]] = []  # request, body of the call, reply
        self.notices: deque[tuple[int, bytes]] = deque(maxlen=4000)
        self.number = 0
        self.booted_at = time.monotonic() - 60
        self.link: asyncio.StreamWriter | None = None
        self.links: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server

    async def open(self) -> int:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.links.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                words = line.decode().split()
                body = b""
                if words[0] in ("RUN", "FEED"):
                    body = (await reader.readexactly(int(words[-1]) + 2))[:-2]
                self._command(writer, words, body)
        self.links.discard(writer)
        if self.link is writer:
            self.link = None
        writer.close()

    def _command(self, writer: asyncio.StreamWriter, words: list[str], body: bytes) -> None:
        verb = words[0]
        if verb == "ATTACH":
            if self.link and self.link is not writer:
                self.link.close()
            self.link = writer
            self._write(b"HELLO steady %d\r\n" % ((time.monotonic() - self.booted_at) * 1000))
            for number, notice in list(self.notices):
                if number > int(words[1]):
                    self._write(notice)
            return
        if verb == "STAT":
            use = min(1.0, self.on_cores / 2)
            self._write(f"STATS {words[1]} {use:.3f} {self.on_cores} 0.1 1\r\n".encode())
            return
        request_id = words[1]
        known = self.requests.bodies.get(request_id)
        allowed = known is not None and not (
            (verb == "HALT" and self.halt == "silent") or (verb == "SKIP" and not self.skippable)
        )
        if allowed and verb == "RUN":
            allowed = known == (words[2], body)
        if not allowed:
            self.record.add("engine", f"refuses {' '.join(words)}")
            self._write(f"NO {verb} {request_id}\r\n".encode())
        elif verb == "RUN":
            self._run(request_id)
        elif verb == "HALT":
            if task := self.runs.get(request_id):
                self.record.add("engine", f"halts {request_id}")
                task.cancel()
        elif waiting := self.waiting.get(request_id):
            number, future = waiting
            if not future.done() and (verb == "FEED" or int(words[2]) == number):
                future.set_result(body if verb == "FEED" else None)

    def _run(self, request_id: str) -> None:
        if request_id in self.runs:
            return
        if request_id in self.requests.over:
            self._notice(f"DONE %d {request_id} nothing 0 0", b"")
            return
        self.runs[request_id] = asyncio.ensure_future(self._work(request_id))

    async def _work(self, request_id: str) -> None:
        class_name, body = self.requests.bodies[request_id]
        self.starts[request_id] = self.starts.get(request_id, 0) + 1
        self.record.add("engine", f"runs {request_id} {class_name}")
        end, result = "interrupted", b""
        try:
            calls = self.calls(class_name, body)
            part = self.work(class_name, body) / (calls + 1)
            await self._compute(part)
            for call in range(calls):
                if not await self._call(request_id, b"%s.%d" % (request_id.encode(), call)):
                    return
                await self._compute(part)
            end, result = "success", b"result of " + request_id.encode()
        except asyncio.CancelledError:
            pass
        finally:
            self.runs.pop(request_id, None)
            self.waiting.pop(request_id, None)
            self.record.add("engine", f"ends {request_id} {end}")
            self._notice(f"DONE %d {request_id} {end} 1.0 {len(result)}", result)

    async def _call(self, request_id: str, body: bytes) -> bool:
        """Ask for a call; False if the request is over at the call."""
        future: asyncio.Future[bytes | None] = asyncio.get_running_loop().create_future()
        self._notice(f"NEED %d {request_id} {len(body)}", body)
        self.waiting[request_id] = (self.number, future)
        while not future.done():
            await asyncio.wait((future,), timeout=0.02)
            if request_id in self.requests.over:
                return False
        reply = future.result()
        if reply is not None:
            self.fed.append((request_id, body, reply))
        return True

    async def _compute(self, seconds: float) -> None:
        self.on_cores += 1
        try:
            async with self.cores:
                await asyncio.sleep(seconds)
        finally:
            self.on_cores -= 1

    def _notice(self, line: str, body: bytes) -> None:
        self.number += 1
        notice = (line % self.number).encode() + b"\r\n" + body + b"\r\n"
        self.notices.append((self.number, notice))
        self._write(notice)

    def _write(self, data: bytes) -> None:
        if self.link and not self.link.is_closing():
            self.link.write(data)

    async def close(self) -> None:
        self.server.close()
        for task in list(self.runs.values()):
            task.cancel()
        for link in list(self.links):
            link.close()


class Catalogue:
    """Answers each call after `delay(body)` seconds with `for BODY`; None: never."""

    def __init__(self, record: Record, delay: Callable[[bytes], float | None] = lambda body: 0.005) -> None:
        self.record, self.delay = record, delay
        self.calls: list[tuple[str, bytes]] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server

    async def open(self) -> int:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                words = line.decode().split()
                if words[0] == "FETCH":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    self.record.add("catalogue", f"call {words[1]} within {words[2]} ms")
                    self.calls.append((words[1], body))
                    task = asyncio.ensure_future(self._reply(writer, words[1], body))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
        self.writers.discard(writer)
        writer.close()

    async def _reply(self, writer: asyncio.StreamWriter, request_id: str, body: bytes) -> None:
        delay = self.delay(body)
        if delay is None:
            return
        await asyncio.sleep(delay)
        if not writer.is_closing():
            reply = b"for " + body
            writer.write(b"%s DATA %d\r\n%s\r\n" % (request_id.encode(), len(reply), reply))

    async def close(self) -> None:
        self.server.close()
        for task in self.tasks:
            task.cancel()
        for writer in list(self.writers):
            writer.close()


class Directory(asyncio.DatagramProtocol):
    """Keeps the last report of each node."""

    def __init__(self) -> None:
        self.reports: dict[str, tuple[str, float]] = {}
        self.transport: asyncio.DatagramTransport

    async def open(self) -> int:
        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", 0)
        )
        return self.transport.get_extra_info("sockname")[1]

    def datagram_received(self, data: bytes, address: Any) -> None:
        words = data.decode().split()
        if len(words) == 3 and words[0] == "PULSE":
            self.reports[words[1]] = (words[2], time.monotonic())

    def is_open(self, name: str) -> bool:
        return self.reports.get(name, ("", 0.0))[0] == "open"

    async def close(self) -> None:
        self.transport.close()


def encode(*words: bytes | str) -> bytes:
    data = [word if isinstance(word, bytes) else word.encode() for word in words]
    return b"*%d\r\n" % len(data) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in data)


async def read_array(reader: asyncio.StreamReader) -> list[bytes]:
    """One RESP array; empty at the end of the stream."""
    head = await reader.readline()
    if not head:
        return []
    words = []
    for _ in range(int(head[1:])):
        length = int((await reader.readline())[1:])
        words.append((await reader.readexactly(length + 2))[:-2])
    return words


class Dispatcher:
    """One connection of a dispatcher."""

    def __init__(self, record: Record, requests: Requests, name: str = "dispatcher") -> None:
        self.record, self.requests, self.name = record, requests, name
        self.tag = 0
        self.open: dict[int, str] = {}  # request by tag
        self.answers: dict[str, list[tuple[float, str, bytes]]] = {}  # Unix time, word, body by request
        self.told_to_leave = False
        self.ended_at = 0.0
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter
        self.task: asyncio.Task[None]

    async def connect(self, port: int) -> Dispatcher:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.task = asyncio.ensure_future(self._read())
        return self

    def call(
        self, request_id: str, class_name: str, body: bytes, timeout: int | None, known: bool = True, **fields: str
    ) -> int:
        """Write a request that comes to the machine now; `timeout` is in milliseconds. Returns its tag."""
        self.tag += 1
        ts = int(time.time() * 1000)
        words = [f"req={request_id}", f"ts={ts}", "via=4"]
        if timeout is not None:
            words.append(f"timeout={timeout}")
        words += ["need=24.5"] + [f"{name}={value}" for name, value in fields.items()]
        if known:
            self.requests.add(request_id, class_name, body)
        self.open[self.tag] = request_id
        self.record.add(self.name, f"CALL {self.tag} {class_name} {','.join(words)}")
        self.writer.write(encode("CALL", str(self.tag), class_name, ",".join(words), body))
        return self.tag

    async def _read(self) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while words := await read_array(self.reader):
                tag = int(words[0])
                if tag == 0:
                    self.record.add(self.name, f"reads 0 {words[1].decode()}")
                    self.told_to_leave = True
                    continue
                request_id = self.open.pop(tag, "")
                body = words[3] if len(words) > 3 else b""
                self.record.add(self.name, f"answer {tag} {request_id} {words[1].decode()} {body[:60]!r}")
                self.requests.over.add(request_id)
                self.answers.setdefault(request_id, []).append((time.time(), words[1].decode(), body))
        self.ended_at = time.time()
        self.writer.close()
        self.record.add(self.name, f"connection ended, {len(self.open)} requests open")

    def words(self, request_id: str) -> list[str]:
        return [word for _, word, _ in self.answers.get(request_id, [])]


class Node:
    """A node, started with the `run` command of the deploy file."""

    def __init__(self, record: Record, folder: Path, configuration: dict[str, Any]) -> None:
        self.record, self.folder, self.configuration = record, folder, configuration
        self.port = int(configuration["listen"].rpartition(":")[2])
        self.config_path = folder / f"{configuration['name']}.json"
        self.process: asyncio.subprocess.Process

    async def start(self) -> None:
        self.write_configuration()
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {
            **{name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ},
            "PROXY_CONFIG": str(self.config_path),
            "TMPDIR": str(self.folder),
        }
        with open(self.folder / f"{self.configuration['name']}.log", "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.add("test", f"started the node as process {self.process.pid}")

    def write_configuration(self) -> None:
        new = self.config_path.with_suffix(".new")
        new.write_text(json.dumps(self.configuration))
        new.replace(self.config_path)

    async def wait_until_good(self, timeout: float = 30.0) -> bool:
        """Whether the node answers a health check with `yes` in time."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline and self.process.returncode is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(encode("CHECK", "1", ""))
                async with asyncio.timeout(2):
                    words = await read_array(reader)
                writer.close()
                if words[1:2] == [b"yes"]:
                    return True
            await asyncio.sleep(0.05)
        return False

    def signal(self, number: signal.Signals) -> None:
        if self.process.returncode is None:
            self.record.add("test", f"{number.name} to the node")
            self.process.send_signal(number)

    async def close(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        log = self.folder / f"{self.configuration['name']}.log"
        for line in log.read_text(errors="replace").splitlines()[-40:]:
            self.record.add("node log", line)


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def resident_mb(pid: int) -> float:
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


def main(case: Callable[[Record, Path, bool], Any], folder: Path) -> None:
    """Run a case in a temporary folder and exit with its code; with TROUBLE=0 without the disruption."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    code = NOT_RUN

    async def run(temporary: str) -> int:
        code: int = await case(record, Path(temporary), trouble)
        await asyncio.sleep(0.3)  # closed connections end
        return code

    with tempfile.TemporaryDirectory() as temporary:
        try:
            code = asyncio.run(run(temporary))
        except Exception as error:  # the case could not run
            record.add("test", f"could not run: {type(error).__name__}: {error}")
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[code]
    record.add("test", verdict)
    print(verdict)
    sys.exit(code)
