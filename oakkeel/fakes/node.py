"""A fake of a node for its agent: it starts at once, answers on its control socket, and drains.

Its behaviour is set by NAME.script beside its control socket, read again before each answer. Words: `mute`
accepts and never answers, `old` answers with an earlier generation, `crash` ends at the start with code 3,
`deaf` does not drain, `cold` reports that it is cold, `linger` takes a second to drain, `slow` is cold for a
second at its start; `worse` and `slower` serve worse than others, `leak` grows, `mortal` exits
after a second, `worse-cold` serves worse while it is cold. OAKKEEL_BEHAVE adds words to all of these. What
happens to it is a line in NAME.journal: a word, its generation, its pid, and the monotonic time.
"""

from __future__ import annotations

import contextlib
import json
import os
import selectors
import signal
import socket
import sys
import time

RATE = 400.0  # requests a second that it pretends to serve


class FakeNode:
    """One node, with its control socket and its journal."""

    def __init__(self) -> None:
        """All that it needs is in its environment."""
        self.path = os.environ["OAKKEEL_CONTROL"]
        self.base = self.path.removesuffix(".sock")
        self.generation = int(os.environ["OAKKEEL_GENERATION"])
        self.started_at = time.monotonic()
        self.draining_since = 0.0  # 0: it doesn't drain
        self.final = False
        self.up = False

    def journal(self, word: str) -> None:
        """Write a line into the journal."""
        with open(self.base + ".journal", "a", encoding="ascii") as file:
            file.write(f"{word} {self.generation} {os.getpid()} {time.monotonic_ns()}\n")

    def script(self) -> list[str]:
        """The words that apply now."""
        words = os.environ.get("OAKKEEL_BEHAVE", "").split()
        with contextlib.suppress(OSError), open(self.base + ".script", encoding="ascii") as file:
            return words + file.read().split()
        return words

    def measurements(self, script: list[str], cold: bool) -> dict[str, object]:
        """Return the figures of a node that has answered RATE requests a second since its start."""
        uptime = time.monotonic() - self.started_at
        count = float(int(RATE * uptime))
        bad = 0.3 if "worse" in script or ("worse-cold" in script and cold) else 0.02
        good = float(int(count * (1 - bad)))
        mean = -2.0 + ("slower" in script)
        return {
            "version": os.environ.get("OAKKEEL_VERSION", ""),
            "load": 0.2,
            "benefit": [count, good, good],
            "resident_kb": 20_000 + int(1000 * uptime) * ("leak" in script),
            "times": {"quote": [good, good * mean, good * (mean * mean + 0.25)]},
        }

    def stop(self, *_: object) -> None:
        """Drain on SIGTERM; this drain cannot be cancelled."""
        self.final = True
        self.drain()

    def drain(self) -> None:
        """Start to drain; `cancel_drain` reverts it."""
        if not self.draining_since:
            self.draining_since = time.monotonic()
            self.up = False
            self.journal("leave")

    def cancel_drain(self) -> str:
        """Serve again; returns why not, or nothing."""
        if self.final:
            return "the drain is final: the node stops after SIGTERM"
        if self.draining_since:
            self.draining_since = 0.0
            self.journal("stay")
        return ""

    def drained(self, script: list[str]) -> bool:
        """Whether it has drained and ends."""
        duration = 1.0 if "linger" in script else 0.0
        return (
            bool(self.draining_since)
            and "deaf" not in script
            and time.monotonic() - self.draining_since >= duration
        )

    def state(self, script: list[str]) -> str:
        """The state that it reports."""
        if self.draining_since:
            return "draining"
        if "cold" in script or ("slow" in script and time.monotonic() - self.started_at < 1.0):
            return "cold"
        if not self.up:
            self.up = True
            self.journal("up")
        return "serving"

    def run(self) -> int:
        """Answer until it has drained; returns the exit code."""
        signal.signal(signal.SIGTERM, self.stop)
        self.journal("start")
        if version := os.environ.get("OAKKEEL_VERSION", ""):
            self.journal(f"runs-{version}")
        if "crash" in self.script():
            return 3
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self.path)
        server = socket.socket(socket.AF_UNIX)
        server.bind(self.path)
        server.listen(8)
        selector = selectors.DefaultSelector()
        selector.register(server, selectors.EVENT_READ)
        while not self.drained(self.script()):
            if "mortal" in self.script() and time.monotonic() - self.started_at > 1.0:
                self.journal("died")
                return 4
            for key, _ in selector.select(0.02):
                if key.fileobj is server:
                    selector.register(server.accept()[0], selectors.EVENT_READ)
                elif not self.answer_or_close(key.fileobj):  # type: ignore[arg-type]  # it is a socket
                    selector.unregister(key.fileobj)
                    key.fileobj.close()  # type: ignore[union-attr]
        self.journal("end")
        return 0

    def answer_or_close(self, connection: socket.socket) -> bool:
        """Answer a message; return whether the connection stays open, which an agent's death may end."""
        try:
            return self.answer(connection)
        except (BrokenPipeError, ConnectionResetError):
            return False

    def answer(self, connection: socket.socket) -> bool:
        """Answer a message; return whether the connection stays open."""
        data = connection.recv(4096)
        if not data or "mute" in (script := self.script()):
            return bool(data)
        for line in data.splitlines():
            request = json.loads(line)
            if request["type"] in ("leave", "stay"):
                expected = request["generation"]
                why = (
                    f"the order is for generation {expected}, this is generation {self.generation}"
                    if expected != self.generation
                    else ""
                )
                if not why and request["type"] == "stay":
                    why = self.cancel_drain()
                elif not why:
                    self.drain()
                answer = {"type": "told", "tag": request["tag"], "done": not why, "why": why}
            else:
                answer = {
                    "type": "report",
                    "tag": request["tag"],
                    "name": os.environ["PROXY_NAME"],
                    "pid": os.getpid(),
                    "generation": self.generation - ("old" in script),
                    "state": self.state(script),
                    "address": "127.0.0.1:1",
                    "uptime": 1,
                }
                answer |= self.measurements(script, answer["state"] == "cold")
            connection.sendall(json.dumps(answer).encode() + b"\n")
        return True


if __name__ == "__main__":
    sys.exit(FakeNode().run())
