"""A test case for a node process, and the blocking peers that the node talks to."""

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

TIMEOUT_S = 20  # seconds until a wait of a test fails


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
    "unknown": {"values": [1, {"two": None}]},  # the node ignores unknown settings
}


def read_resp_array(stream) -> list[bytes]:
    """Read one RESP array from a blocking file; return an empty list at the end of the file."""
    head = stream.readline()
    return [stream.read(int(stream.readline()[1:]) + 2)[:-2] for _ in range(int(head[1:]))] if head else []


def wait_until_port_closed(port: int) -> None:
    """Connect until no socket listens on the port any more.

    The close of a listening socket resets the connections that it has not accepted, so a connect at that
    moment fails with a reset instead of a refusal.
    """
    while True:
        try:
            socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT_S).close()
        except ConnectionRefusedError:
            return
        except ConnectionResetError:
            pass


class Dispatcher:
    """A dispatcher with one connection to the node, which sends requests and reads the answers."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT_S)
        self.stream = self.socket.makefile("rb")
        self.tag = 0  # of the last request

    def send(self, *words: bytes | str) -> None:
        self.socket.sendall(encode(*(word if isinstance(word, bytes) else word.encode() for word in words)))

    def call(
        self,
        class_name: str = "quote",
        body: bytes = b"what",
        tag: int = 0,
        fields: str = "",
        age: int = 0,
        timeout: int = 10_000,
    ) -> str:
        """Send a request and return its id."""
        self.tag = tag or self.tag + 1
        request_id = f"{id(self) % 2**32:08x}{self.tag:08x}"
        timestamp = time.time_ns() // MS - age
        self.send(
            "CALL",
            str(self.tag),
            class_name,
            f"req={request_id},ts={timestamp},via=4,timeout={timeout},need=24.5,level=0.5{fields}",
            body,
        )
        return request_id

    def next_array(self) -> list[bytes]:
        return read_resp_array(self.stream)

    def next_answer(self) -> tuple[int, bytes, bytes, bytes]:
        """Return the next answer as tag, outcome word, fields and body; skips drain notices (`0 last`)."""
        while (words := self.next_array()) == [b"0", b"last"]:
            pass
        return int(words[0]), words[1], *words[2:4]

    def close(self) -> None:
        self.stream.close()
        self.socket.close()


class Engine:
    """A fake engine that answers STAT and checks of IDs itself; it queues other commands for the test."""

    def __init__(self) -> None:
        self.run_ids: set[bytes] = set()  # IDs of all requests that were run
        self.checked_ids: list[bytes] = []  # IDs without a run that a HALT or SKIP named
        self.refuse_next_check = False  # as if the ID of the request were unknown
        self.server = socket.create_server(("127.0.0.1", 0))
        self.gauges = "0.1 0.0 0.1 1.0"
        self.notice_number = 0  # of the last DONE or NEED that the engine sent
        self.link: socket.socket | None = None
        self.started_at = time.monotonic() - 60.0

    def age(self) -> str:
        """Return the age of the engine in milliseconds, in the format of its greeting."""
        return f"{(time.monotonic() - self.started_at) * 1000:.1f}"

    def accept_link(self, state: str = "steady", age: str = "", answer: bool = True) -> int:
        """Accept a link; return the number of the last DONE or NEED that the node has read.

        A non-empty `age`, in milliseconds, sets the start time of the engine.
        """
        if age:
            self.started_at = time.monotonic() - float(age) / 1000
        self.server.settimeout(TIMEOUT_S)
        self.close()
        self.link, _ = self.server.accept()
        self.commands: queue.Queue[tuple] = queue.Queue()
        self.stream = self.link.makefile("rb")
        last_read_number = int(self.stream.readline().split()[1])
        self.answers_stat = answer
        if answer:
            self.send_line(f"HELLO {state} {self.age()}")
            self.start_reading()
        return last_read_number

    def accept_link_with_need(self, request_id: str, body: bytes) -> None:
        """Accept a link whose answer to the first STAT is followed at once by a NEED."""
        self.accept_link(answer=False)
        self.send_line(f"HELLO steady {self.age()}")
        tag = self.stream.readline().split()[1].decode()
        self.send_line(f"STATS {tag} {self.gauges}")
        self.send_need(request_id, body)
        self.answers_stat = True
        self.start_reading()

    def start_reading(self) -> None:
        """Read commands, and answer STAT, on the present link."""
        threading.Thread(target=self._read, args=(self.stream, self.commands), daemon=True).start()

    def _read(self, stream, commands: queue.Queue) -> None:
        with contextlib.suppress(OSError, ValueError), stream:
            while line := stream.readline().split():
                if line[0] == b"STAT":
                    self.send_line(f"STATS {line[1].decode()} {self.gauges}")
                    continue
                body = stream.read(int(line[-1]) + 2)[:-2] if line[0] in (b"RUN", b"FEED") else b""
                if line[0] == b"RUN":
                    self.run_ids.add(line[1])
                elif line[0] in (b"HALT", b"SKIP") and line[1] not in self.run_ids:
                    self._answer_check(line)  # without a run it has no effect but to check the ID
                    continue
                commands.put((*(word.decode() for word in line), body))
        commands.put(("END",))

    def _answer_check(self, line: list[bytes]) -> None:
        self.checked_ids.append(line[1])
        if self.refuse_next_check:
            self.refuse_next_check = False
            self.send_line(f"NO {line[0].decode()} {line[1].decode()}")

    def send_line(self, line: str, body: bytes | None = None) -> None:
        self.link.sendall(line.encode() + b"\r\n" + (b"" if body is None else body + b"\r\n"))

    def next_command(self) -> tuple:
        return self.commands.get(timeout=TIMEOUT_S)

    def send_done(self, request_id: str, outcome: str = "success", body: bytes = b"result") -> None:
        self.notice_number += 1
        self.send_line(f"DONE {self.notice_number} {request_id} {outcome} 12.345 {len(body)}", body)

    def send_need(self, request_id: str, body: bytes = b"call") -> None:
        self.notice_number += 1
        self.send_line(f"NEED {self.notice_number} {request_id} {len(body)}", body)

    def drop_link(self) -> None:
        with self.link, contextlib.suppress(OSError):
            self.link.shutdown(socket.SHUT_RDWR)  # also ends the file of the reader thread, if any

    def close(self) -> None:
        if self.link:
            self.drop_link()
            if not self.answers_stat:
                self.stream.close()
            self.link = None


class CatalogueLink:
    """One accepted connection of the fake catalogue."""

    def __init__(self, server: socket.socket) -> None:
        server.settimeout(TIMEOUT_S)
        self.socket, _ = server.accept()
        self.socket.settimeout(TIMEOUT_S)
        self.stream = self.socket.makefile("rb")

    def next_command(self) -> tuple:
        line = self.stream.readline().split()
        body = self.stream.read(int(line[3]) + 2)[:-2] if line[0] == b"FETCH" else b""
        return (*(word.decode() for word in line), body)

    def send_line(self, line: str, body: bytes | None = None) -> None:
        self.socket.sendall(line.encode() + b"\r\n" + (b"" if body is None else body + b"\r\n"))

    def close(self) -> None:
        self.stream.close()
        self.socket.close()


class NodeProcessTest(unittest.TestCase):
    """A test of the program, started by the command of `run` in deploy/balancer.toml."""

    command: ClassVar[list[str]] = [sys.executable, "-m", "oakkeel"]
    variables: ClassVar[dict[str, str]] = {}
    sends_duplicates = False  # only the ID of a duplicate is checked: any other such command is an error

    def setUp(self) -> None:
        self.engine, self.catalogue = Engine(), socket.create_server(("127.0.0.1", 0))
        self.directory = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.directory.bind(("127.0.0.1", 0))
        self.directory.settimeout(TIMEOUT_S)
        self.process: subprocess.Popen | None = None
        self.addCleanup(self._close)
        self.addCleanup(self._assert_no_stray_command)

    def _assert_no_stray_command(self) -> None:
        """Assert that no HALT or SKIP named a request that never ran, unless the test sends duplicates."""
        if not self.sends_duplicates:
            self.assertEqual(self.engine.checked_ids, [])

    def _close(self) -> None:
        if self.process:
            self.process.kill()
            self.process.wait()
            self.process.stderr.close()
        for peer in (self.engine, self.engine.server, self.catalogue, self.directory):
            peer.close()

    def configuration(self, **changes) -> dict:
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

    def launch(self, configuration: dict | str | None) -> subprocess.Popen:
        with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as file:
            file.write(configuration if isinstance(configuration, str) else json.dumps(configuration))
        self.addCleanup(os.unlink, file.name)
        self.config = file.name
        environment = {"PROXY_CONFIG": file.name} if configuration is not None else {}
        self.process = subprocess.Popen(
            self.command,
            env={**os.environ, **self.variables, **environment},
            stderr=subprocess.PIPE,
            text=True,
        )
        watchdog = threading.Timer(4 * TIMEOUT_S, self.process.kill)  # a test that hangs ends with a failure
        watchdog.start()
        self.addCleanup(watchdog.cancel)
        return self.process

    def reload(self, configuration: dict | str) -> None:
        """Replace the configuration file and signal the node to read it again."""
        with open(self.config, "w") as file:
            file.write(configuration if isinstance(configuration, str) else json.dumps(configuration))
        self.process.send_signal(signal.SIGHUP)

    def replace_peers(self) -> tuple[Engine, socket.socket, socket.socket]:
        """Open a new engine, catalogue and directory; return the old ones."""
        old = self.engine, self.catalogue, self.directory
        self.engine, self.catalogue = Engine(), socket.create_server(("127.0.0.1", 0))
        self.engine.started_at = old[0].started_at  # the same engine at another address
        self.engine.run_ids = old[0].run_ids
        self.engine.checked_ids = old[0].checked_ids
        self.directory = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.directory.bind(("127.0.0.1", 0))
        self.directory.settimeout(TIMEOUT_S)
        for peer in (old[0], old[0].server, *old[1:]):
            self.addCleanup(peer.close)
        return old

    def start_node(self, attach: bool = True, state: str = "steady", age: str = "", **changes) -> None:
        """Start the node, read its port from its log and attach the engine if `attach` is set."""
        self.launch(self.configuration(**changes))
        self.port = int(self.wait_for_log("listening").rsplit(":", 1)[1])
        if attach:
            self.engine.accept_link(state, age)
            self.wait_for_log("engine_ready")

    def wait_for_log(self, text: str) -> str:
        """Wait for a log line that contains a text, and return the line."""
        for line in self.process.stderr:
            if text in line:
                return line
        raise AssertionError(f"the node exited without {text!r} in its log")

    def dispatcher(self) -> Dispatcher:
        dispatcher = Dispatcher(self.port)
        self.addCleanup(dispatcher.close)
        return dispatcher

    def start_request(self, *class_name: str, **options) -> tuple[Dispatcher, str]:
        """Start a node and let it run a request; return the dispatcher and the request id."""
        self.start_node()
        dispatcher = self.dispatcher()
        request_id = dispatcher.call(*class_name, **options)
        self.assertEqual(self.engine.next_command()[:2], ("RUN", request_id))
        return dispatcher, request_id

    def start_downstream_call(self, *class_name: str) -> tuple[Dispatcher, str, CatalogueLink]:
        """Let a running request make a downstream call; return also the catalogue link."""
        dispatcher, request_id = self.start_request(*class_name)
        self.engine.send_need(request_id)
        link = self.catalogue_link()
        self.assertEqual(link.next_command()[:2], ("FETCH", request_id))
        return dispatcher, request_id, link

    def catalogue_link(self) -> CatalogueLink:
        link = CatalogueLink(self.catalogue)
        self.addCleanup(link.close)
        return link

    def receive_load_report(self) -> str:
        return self.directory.recv(100).decode()

    def settings_with_extra(self, **extra) -> dict:
        return {**NODE_SETTINGS, "extra": {**NODE_SETTINGS["extra"], **extra}}
