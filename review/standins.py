"""Stand-ins for the review: engine, catalogue, directory and dispatchers of one node, on loopback.

They follow kit/real/PROTOCOL.md. All of them share one `World`, which knows every request, run, call and
answer, as the bench does. Standard library only.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
MS = 1_000_000
SECOND = 1_000 * MS
NOT_WRITTEN, OPEN, ANSWERED, GONE, LOST = "not written", "open", "answered", "gone", "lost"


def encode(*words):
    out = b"*%d\r\n" % len(words)
    for word in words:
        out += b"$%d\r\n%s\r\n" % (len(word), word)
    return out


async def read_array(reader):
    head = await reader.readline()
    if not head:
        return None
    words = []
    for _ in range(int(head[1:])):
        length = int((await reader.readline())[1:])
        words.append((await reader.readexactly(length + 2))[:-2])
    return words


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Request:
    """One try of a dispatcher, and what became of it."""

    def __init__(self, world, kind, body, fields=b"", timeout=4.0, work=0.2, calls=0, key=b""):
        self.world = world
        self.id = b"%016x" % world.random.getrandbits(64)
        self.kind, self.body, self.fields, self.timeout = kind, body, fields, timeout
        self.work, self.calls, self.key = work, calls, key
        self.state = NOT_WRITTEN
        self.came_at = self.written_at = self.ended_at = 0.0  # Unix seconds
        self.answers = []
        self.note = ""
        self.known = True  # to the engine; false for what a bad client makes up
        self.resent = False
        # In the engine:
        self.run = None  # None, "running", "at call", "over"
        self.runs = 0
        self.ran_at = 0.0
        self.reply = None
        self.expected_reply = None
        self.result = None
        self.finished_at = 0.0
        self.wrong = []

    @property
    def is_over(self):
        return self.state in (ANSWERED, GONE, LOST)


class World:
    def __init__(self, seed=1, record=None):
        self.random = random.Random(seed)
        self.requests = {}
        self.record = record
        self.started_at = time.time()
        self.faults = []

    def log(self, text):
        line = f"{time.time() - self.started_at:9.3f} {text}"
        if self.record and not self.record.closed:
            self.record.write(line + "\n")

    def add(self, *args, **named):
        request = Request(self, *args, **named)
        self.requests[request.id] = request
        return request


class Engine:
    """Runs requests; keeps its notices; may lose the last commands before a break of its link."""

    def __init__(self, world, cores=6, call_body=b"call"):
        self.world, self.cores, self.call_body = world, cores, call_body
        self.started_at = time.monotonic() - 60
        self.notices, self.number, self.link = [], 0, None
        self.tasks, self.waiting = {}, {}
        self.servers = []
        self.deaf = False  # commands are lost
        self.repeat_share = 0.0
        self.piece_gap = 0.0  # what is sent goes out in two pieces, this many seconds apart
        self.outbox = b""
        self.sending = None
        self.busy = 0
        self.feeds = {}  # times at which a FEED was read, by request ID
        self.broken_at = 0.0

    async def open(self, port):
        self.servers.append(await asyncio.start_server(self.serve, "127.0.0.1", port))

    async def serve(self, reader, writer):
        try:
            while line := await reader.readline():
                words, body = line.split(), b""
                if words[0] in (b"RUN", b"FEED"):
                    body = (await reader.readexactly(int(words[-1]) + 2))[:-2]
                if not self.deaf:
                    self.handle(writer, words, body)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            if self.link is writer:
                self.link = None

    def handle(self, writer, words, body):
        verb = words[0]
        if verb == b"ATTACH":
            if self.link and self.link is not writer:
                self.link.close()
            self.link, self.outbox = writer, b""
            self.say(b"HELLO steady %d\r\n" % ((time.monotonic() - self.started_at) * 1000))
            for number, notice in self.notices[-4000:]:
                if number > int(words[1]):
                    self.say(notice)
            return
        if verb == b"STAT":
            self.say(b"STATS %s %.3f %d 0.1 1\r\n" % (words[1], min(1, self.busy / self.cores), self.busy))
            return
        request = self.world.requests.get(words[1])
        self.world.log(f"engine {verb.decode()} {words[1].decode()}")
        if request is None or not request.known or (
            verb == b"RUN" and (request.kind != words[2] or request.body != body)
        ):
            if request is not None and request.known:
                request.wrong.append("class or body changed")
            self.say(b"NO %s %s\r\n" % (verb, words[1]))
        elif verb == b"RUN":
            if request.run in ("running", "at call"):
                return
            if request.is_over or request.run == "over":
                self.notice(b"DONE %%d %s nothing 0 0" % request.id, b"")
                return
            request.runs += 1
            request.ran_at = time.time()
            request.run = "running"
            self.tasks[request.id] = asyncio.ensure_future(self.run(request))
        elif verb == b"HALT":
            if task := self.tasks.get(request.id):
                task.cancel()
        elif verb in (b"FEED", b"SKIP") and request.run == "at call":
            future = self.waiting.get(request.id)
            if future and not future.done():
                if verb == b"FEED" and body != request.expected_reply:
                    first = self.feeds.get(body, 0.0)
                    text = f"{request.id.decode()} at call {request.expected_reply!r} was fed {body!r}"
                    if first:
                        text += f", which was read before, {self.broken_at - first:.3f} s before the break"
                    request.wrong.append(text)
                    self.world.log("WRONG REPLY " + text)
                future.set_result(None)
        if verb == b"FEED":
            self.feeds.setdefault(body, time.time())

    async def run(self, request):
        end, result = b"interrupted", b""
        try:
            await self.compute(request.work / (request.calls + 1))
            for call in range(request.calls):
                request.run = "at call"
                future = self.waiting[request.id] = asyncio.get_running_loop().create_future()
                body = b"%s.%d" % (request.id, call)
                request.expected_reply = b"reply to " + body
                self.notice(b"NEED %%d %s %d" % (request.id, len(body)), body)
                while not future.done():
                    await asyncio.wait((future,), timeout=0.02)
                    if request.is_over:
                        return
                request.run = "running"
                await self.compute(request.work / (request.calls + 1))
            end, result = b"success", b"made of " + request.body + b" for " + request.id
        except asyncio.CancelledError:
            pass
        finally:
            request.run = "over"
            request.result, request.finished_at = result or None, time.time()
            del self.tasks[request.id]
            self.notice(
                b"DONE %%d %s %s %d %d" % (request.id, end, 1000 * (time.time() - request.ran_at), len(result)),
                result,
            )

    async def compute(self, seconds):
        self.busy += 1
        try:
            await asyncio.sleep(seconds)
        finally:
            self.busy -= 1

    def notice(self, line, body):
        self.number += 1
        notice = line % self.number + b"\r\n" + body + b"\r\n"
        self.notices.append((self.number, notice))
        self.world.log(f"engine says {(line % self.number).decode()}")
        self.say(notice)
        if self.world.random.random() < self.repeat_share:
            self.say(notice)

    def say(self, data):
        if not self.link:
            return
        if not self.piece_gap:
            self.link.write(data)
            return
        self.outbox += data
        if self.sending is None:
            self.sending = asyncio.ensure_future(self.send_pieces())

    async def send_pieces(self):
        while self.outbox and self.link:
            cut = self.world.random.randrange(1, len(self.outbox) + 1)
            self.link.write(self.outbox[:cut])
            self.outbox = self.outbox[cut:]
            await asyncio.sleep(self.piece_gap)
        self.sending = None

    async def break_link(self, lost_s=0.05):
        """Lose the commands of the last `lost_s` seconds, and reset the link, mid-notice."""
        self.deaf = True
        await asyncio.sleep(lost_s)
        if self.link:
            if not self.piece_gap:
                self.link.write(b"NOTE 99999")  # a part of a notice
            self.link.transport.abort()
            self.link, self.outbox = None, b""
            self.broken_at = time.time()
            self.world.log("the link to the engine breaks")
        self.deaf = False

    async def close(self):
        for server in self.servers:
            server.close()
        for task in list(self.tasks.values()):
            task.cancel()


class Catalogue:
    def __init__(self, world, delay=0.03):
        self.world, self.delay = world, delay
        self.calls = {}  # count of calls, by body

    async def open(self, port):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while line := await reader.readline():
                words = line.split()
                if words[0] == b"FETCH":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    self.calls[body] = self.calls.get(body, 0) + 1
                    asyncio.get_running_loop().call_later(self.delay, self.reply, writer, words[1], body)
        writer.close()

    def reply(self, writer, request_id, body):
        reply = b"reply to " + body
        if not writer.is_closing():
            writer.write(b"%s DATA %d\r\n%s\r\n" % (request_id, len(reply), reply))


class Directory(asyncio.DatagramProtocol):
    def __init__(self):
        self.reports = []

    def datagram_received(self, data, address):
        self.reports.append((time.time(), data))


class Connection:
    """One connection of a dispatcher, which keeps the rules of PROTOCOL.md for dispatchers."""

    def __init__(self, world, port, number):
        self.world, self.port, self.number = world, port, number
        self.open = {}
        self.tag = 0
        self.is_last = False  # the node asked for no more requests
        self.ended = False
        self.lock = asyncio.Lock()

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.task = asyncio.ensure_future(self.read())
        return self

    @property
    def usable(self):
        return not (self.ended or self.is_last or self.writer.is_closing()) and len(self.open) < 32

    async def send(self, request, pieces=1, pause=0.0):
        """Write one request, all at once or in pieces with pauses."""
        async with self.lock:
            self.tag += 1
            tag = self.tag
            request.came_at = request.came_at or time.time()
            fields = b"req=%s,ts=%d,via=%d,timeout=%d,need=24.5,level=0.5%s%s" % (
                request.id, request.came_at * 1000, self.number, request.timeout * 1000,
                b",resent=1" if request.resent else b"", request.fields,
            )
            data = encode(b"CALL", b"%d" % tag, request.kind, fields, request.body)
            size = -(-len(data) // pieces)
            self.open[tag] = request
            for start in range(0, len(data), size):
                if start:
                    await asyncio.sleep(pause)
                    if self.ended or self.writer.is_closing():
                        self.open.pop(tag, None)
                        return False  # the node ended the connection before the last byte: not the node's
                self.writer.write(data[start : start + size])
            request.state = OPEN
            request.written_at = time.time()
            self.world.log(f"dispatcher {self.number} wrote {request.id.decode()} {request.note}")
            asyncio.get_running_loop().call_later(
                max(0, request.came_at + request.timeout - time.time()) + 0.3, self.give_up, tag, request
            )
            return True

    def give_up(self, tag, request):
        """0.3 s after the due time: no answer came in time; tell the node."""
        if self.open.get(tag) is request and request.state == OPEN and not self.ended:
            request.state, request.ended_at = LOST, time.time()
            self.world.log(f"no answer in time to {request.id.decode()} {request.note}")
            self.writer.write(encode(b"CANCEL", b"%d" % tag))

    async def read(self):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            while words := await read_array(self.reader):
                if words[0] == b"0":
                    self.is_last = self.is_last or words[1] == b"last"
                    if self.is_last and not self.open:
                        break
                    continue
                request = self.open.get(int(words[0]))
                if request is None:
                    self.world.faults.append(f"answer to an unknown tag {words[:2]}")
                    continue
                request.answers.append((words[1], words[3] if len(words) > 3 else b""))
                if request.state == OPEN:
                    request.state, request.ended_at = ANSWERED, time.time()
                    self.world.log(f"answer {words[1].decode()} to {request.id.decode()} {request.note}")
                    del self.open[int(words[0])]
                if self.is_last and not self.open:
                    break
        self.end()

    def end(self):
        now = time.time()
        self.ended = True
        self.writer.close()
        for request in self.open.values():
            if request.state == OPEN:
                if now - request.written_at <= 0.05 and not request.resent:
                    request.state = NOT_WRITTEN  # crossed the close: sent again by its owner
                    asyncio.ensure_future(self.send_again(request))
                    continue
                request.state, request.ended_at = LOST, now
                self.world.log(f"connection ended without an answer to {request.id.decode()} {request.note}")
        self.open.clear()

    async def send_again(self, request):
        request.resent = True
        with contextlib.suppress(OSError):
            connection = await Connection(self.world, self.port, self.number).connect()
            await connection.send(request)

    def close(self):
        self.writer.close()


class Node:
    """The program, started with the `run` command of the deploy file."""

    def __init__(self, settings, folder, name="n1", stop_ms=3200, sockets=512):
        self.folder = folder
        self.port, self.engine_port = free_port(), free_port()
        self.catalogue_port, self.directory_port = free_port(), free_port(socket.SOCK_DGRAM)
        self.config = {
            "name": name, "listen": f"127.0.0.1:{self.port}", "engine": f"127.0.0.1:{self.engine_port}",
            "lookup": f"127.0.0.1:{self.directory_port}", "catalog": f"127.0.0.1:{self.catalogue_port}",
            "seed": "8c1f30d27a5be964", "stop_ms": stop_ms,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}, "settings": settings,
        }
        self.path = os.path.join(folder, f"{name}.json")
        self.log_path = os.path.join(folder, f"{name}.log")
        self.write_config()

    def write_config(self):
        with open(self.path + ".new", "w") as file:
            json.dump(self.config, file)
        os.replace(self.path + ".new", self.path)

    def start(self):
        import tomllib

        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            command = tomllib.load(file)["run"]
        variables = {**os.environ, "PROXY_CONFIG": self.path, "TMPDIR": self.folder}
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=variables, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def signal(self, number):
        self.process.send_signal(number)

    async def is_ready(self, limit=15.0):
        end = time.monotonic() + limit
        while time.monotonic() < end and self.process.poll() is None:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(encode(b"CHECK", b"1", b""))
                words = await asyncio.wait_for(read_array(reader), 2)
                writer.close()
                if words and words[1] == b"yes":
                    return True
            await asyncio.sleep(0.1)
        return False

    def kill(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def log_text(self):
        with open(self.log_path, errors="replace") as file:
            return file.read()


def run_case(main):
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # `finally` then ends the node
    try:
        code = asyncio.run(main())
    except Exception:
        traceback.print_exc()
        code = 2
    sys.exit(code)
