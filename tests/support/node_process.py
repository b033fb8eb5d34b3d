"""A node as a process, and blocking peers round it for tests."""

from __future__ import annotations

import contextlib
import json
import os
import queue
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from typing import ClassVar

from oakkeel.dispatch.resp import encode
from oakkeel.fakes import site as fakes_site
from oakkeel.units import MS, SECOND

WAIT = 20


NODE_SETTINGS = {
    **fakes_site.NODE_SETTINGS,
    "extra": {
        **fakes_site.NODE_SETTINGS["extra"],
        "cores": 4,
        "class-skip-worth": [0.6, 0.0, 0.0, 0.0],
    },
    "obligations": {"fall-multiple": 8.0, "drain-grace": 300 * MS, "cold": 10 * SECOND, "cold-from": 0.25},
    "classes": [
        {"name": name, "aim": 8 * SECOND, "hard-limit": 12 * SECOND, "effect": effect, "window": 5 * SECOND}
        for name, effect in (
            ("quote", "read_like"),
            ("card", "read_like"),
            ("order", "idempotency_key"),
            ("pay", "non_idempotent"),
        )
    ],
    "clients": {"marks-retry": True},
    "unheard": {"of": [1, {"two": None}]},
}


def words_of(stream) -> list[bytes]:
    """One RESP array off a blocking file; an empty list at its end."""
    head = stream.readline()
    return [stream.read(int(stream.readline()[1:]) + 2)[:-2] for _ in range(int(head[1:]))] if head else []


def until_refused(port: int) -> None:
    """Connect until nobody listens any more. A listening socket that is closed resets whoever it had not
    accepted by then, and a connect that was just under way tells that in place of a refusal."""
    while True:
        try:
            socket.create_connection(("127.0.0.1", port), timeout=WAIT).close()
        except ConnectionRefusedError:
            return
        except ConnectionResetError:
            pass


class Dispatcher:
    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=WAIT)
        self.stream = self.socket.makefile("rb")
        self.tag = 0

    def send(self, *words: bytes | str) -> None:
        self.socket.sendall(encode(*(word if isinstance(word, bytes) else word.encode() for word in words)))

    def call(
        self,
        group: str = "quote",
        body: bytes = b"what",
        tag: int = 0,
        fields: str = "",
        age: int = 0,
        timeout: int = 10_000,
    ) -> str:
        """Send an exchange and return its id."""
        self.tag = tag or self.tag + 1
        ident = f"{id(self) % 2**32:08x}{self.tag:08x}"
        stamp = time.time_ns() // MS - age
        self.send(
            "CALL",
            str(self.tag),
            group,
            f"req={ident},ts={stamp},via=4,timeout={timeout},need=24.5,level=0.5{fields}",
            body,
        )
        return ident

    def next(self) -> list[bytes]:
        return words_of(self.stream)

    def answer(self) -> tuple[int, bytes, bytes, bytes]:
        """The next answer as tag, word, fields and body; `0 last` is passed over."""
        while (words := self.next()) == [b"0", b"last"]:
            pass
        return int(words[0]), words[1], *words[2:4]

    def close(self) -> None:
        self.stream.close()
        self.socket.close()


class Engine:
    """Answers STAT by itself, gives the test every other command, and says what it is told to."""

    def __init__(self) -> None:
        self.server = socket.create_server(("127.0.0.1", 0))
        self.gauges = "0.1 0.0 0.1 1.0"
        self.number = 0
        self.link: socket.socket | None = None
        self.begun = time.monotonic() - 60.0

    def age(self) -> str:
        """In milliseconds, as its greeting tells it."""
        return f"{(time.monotonic() - self.begun) * 1000:.1f}"

    def attach(self, state: str = "steady", age: str = "", answer: bool = True) -> int:
        """Take a link; returns the number of the last notice that the node has read. An age that is given
        holds from now on."""
        if age:
            self.begun = time.monotonic() - float(age) / 1000
        self.server.settimeout(WAIT)
        self.close()
        self.link, _ = self.server.accept()
        self.commands: queue.Queue[tuple] = queue.Queue()
        self.stream = self.link.makefile("rb")
        heard = int(self.stream.readline().split()[1])
        self.answering = answer
        if answer:
            self.say(f"HELLO {state} {self.age()}")
            threading.Thread(target=self._read, args=(self.stream, self.commands), daemon=True).start()
        return heard

    def _read(self, stream, commands: queue.Queue) -> None:
        with contextlib.suppress(OSError, ValueError), stream:
            while line := stream.readline().split():
                if line[0] == b"STAT":
                    self.say(f"STATS {line[1].decode()} {self.gauges}")
                    continue
                body = stream.read(int(line[-1]) + 2)[:-2] if line[0] in (b"RUN", b"FEED") else b""
                commands.put((*(word.decode() for word in line), body))
        commands.put(("END",))

    def say(self, line: str, body: bytes | None = None) -> None:
        self.link.sendall(line.encode() + b"\r\n" + (b"" if body is None else body + b"\r\n"))

    def next(self) -> tuple:
        return self.commands.get(timeout=WAIT)

    def done(self, ident: str, end: str = "success", body: bytes = b"result") -> None:
        self.number += 1
        self.say(f"DONE {self.number} {ident} {end} 12.345 {len(body)}", body)

    def need(self, ident: str, body: bytes = b"call") -> None:
        self.number += 1
        self.say(f"NEED {self.number} {ident} {len(body)}", body)

    def lose(self) -> None:
        with self.link, contextlib.suppress(OSError):
            self.link.shutdown(socket.SHUT_RDWR)  # the reader's file, where there is one, ends by this too

    def close(self) -> None:
        if self.link:
            self.lose()
            if not self.answering:
                self.stream.close()
            self.link = None


class CatalogueLink:
    """One accepted connection of the catalogue's stand-in."""

    def __init__(self, server: socket.socket) -> None:
        server.settimeout(WAIT)
        self.socket, _ = server.accept()
        self.socket.settimeout(WAIT)
        self.stream = self.socket.makefile("rb")

    def next(self) -> tuple:
        line = self.stream.readline().split()
        body = self.stream.read(int(line[3]) + 2)[:-2] if line[0] == b"FETCH" else b""
        return (*(word.decode() for word in line), body)

    def say(self, line: str, body: bytes | None = None) -> None:
        self.socket.sendall(line.encode() + b"\r\n" + (b"" if body is None else body + b"\r\n"))

    def close(self) -> None:
        self.stream.close()
        self.socket.close()


class NodeProcessTest(unittest.TestCase):
    """A test of the program, started as `run` in deploy/balancer.toml does."""

    command: ClassVar[list[str]] = [sys.executable, "-m", "oakkeel"]
    variables: ClassVar[dict[str, str]] = {}

    def setUp(self) -> None:
        self.engine, self.catalogue = Engine(), socket.create_server(("127.0.0.1", 0))
        self.directory = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.directory.bind(("127.0.0.1", 0))
        self.directory.settimeout(WAIT)
        self.process: subprocess.Popen | None = None
        self.addCleanup(self._end)

    def _end(self) -> None:
        if self.process:
            self.process.kill()
            self.process.wait()
            self.process.stderr.close()
        for opened in (self.engine, self.engine.server, self.catalogue, self.directory):
            opened.close()

    def told(self, **changes) -> dict:
        host = "127.0.0.1:"
        return {
            "name": "n3",
            "listen": host + "0",
            "engine": host + str(self.engine.server.getsockname()[1]),
            "lookup": host + str(self.directory.getsockname()[1]),
            "catalog": host + str(self.catalogue.getsockname()[1]),
            "seed": "8c1f30d27a5be964",
            "stop_ms": 3200,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": NODE_SETTINGS,
            **changes,
        }

    def launch(self, told: dict | str | None) -> subprocess.Popen:
        with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as file:
            file.write(told if isinstance(told, str) else json.dumps(told))
        self.addCleanup(os.unlink, file.name)
        self.config = file.name
        given = {"PROXY_CONFIG": file.name} if told is not None else {}
        self.process = subprocess.Popen(
            self.command, env={**os.environ, **self.variables, **given}, stderr=subprocess.PIPE, text=True
        )
        watch = threading.Timer(4 * WAIT, self.process.kill)  # a test that hangs ends, and fails
        watch.start()
        self.addCleanup(watch.cancel)
        return self.process

    def reload(self, told: dict | str) -> None:
        """Replace the file and tell the node to read it again."""
        with open(self.config, "w") as file:
            file.write(told if isinstance(told, str) else json.dumps(told))
        self.process.send_signal(signal.SIGHUP)

    def replace_parties(self) -> tuple[Engine, socket.socket, socket.socket]:
        """A new engine, catalogue and directory; returns the old ones."""
        old = self.engine, self.catalogue, self.directory
        self.engine, self.catalogue = Engine(), socket.create_server(("127.0.0.1", 0))
        self.engine.begun = old[0].begun  # the same engine at another address
        self.directory = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.directory.bind(("127.0.0.1", 0))
        self.directory.settimeout(WAIT)
        for opened in (old[0], old[0].server, *old[1:]):
            self.addCleanup(opened.close)
        return old

    def begin(self, attach: bool = True, state: str = "steady", age: str = "", **changes) -> None:
        """Start the node, learn its port from its log, and let its engine be up."""
        self.launch(self.told(**changes))
        self.port = int(self.log("listening").rsplit(":", 1)[1])
        if attach:
            self.engine.attach(state, age)
            self.log("engine_ready")

    def log(self, part: str) -> str:
        """Wait for a line of the log."""
        for line in self.process.stderr:
            if part in line:
                return line
        raise AssertionError(f"the node ended without {part!r} in its log")

    def dispatcher(self) -> Dispatcher:
        made = Dispatcher(self.port)
        self.addCleanup(made.close)
        return made

    def running(self, *group: str, **more) -> tuple[Dispatcher, str]:
        """A node that has just started to run an exchange, with its dispatcher and its id."""
        self.begin()
        dispatcher = self.dispatcher()
        ident = dispatcher.call(*group, **more)
        self.assertEqual(self.engine.next()[:2], ("RUN", ident))
        return dispatcher, ident

    def calling(self, *group: str) -> tuple[Dispatcher, str, CatalogueLink]:
        """The same with its call at the catalogue."""
        dispatcher, ident = self.running(*group)
        self.engine.need(ident)
        link = self.catalogue_link()
        self.assertEqual(link.next()[:2], ("FETCH", ident))
        return dispatcher, ident, link

    def catalogue_link(self) -> CatalogueLink:
        link = CatalogueLink(self.catalogue)
        self.addCleanup(link.close)
        return link

    def report(self) -> str:
        return self.directory.recv(100).decode()

    def settings(self, **extra) -> dict:
        return {**NODE_SETTINGS, "extra": {**NODE_SETTINGS["extra"], **extra}}
