"""A process that looks like a node to its agent: it starts at once, answers on its control link, and leaves.

How it behaves stands in NAME.script beside its control socket, read again before each answer. Words: `mute`
accepts and never answers, `old` answers with an earlier generation, `crash` ends at the start with code 3,
`deaf` does not leave, `cold` says that it is cold, `linger` takes a second to leave, `slow` is cold for a
second at its start; `worse` and `slower` bring less than others, `leak` grows, `mortal` ends by itself
after a second, `worse-cold` brings less while it is cold. OAKKEEL_BEHAVE adds words to all of these. What
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

RATE = 400.0  # exchanges a second, as it makes believe


class FakeNode:
    def __init__(self) -> None:
        self.path = os.environ["OAKKEEL_CONTROL"]
        self.base = self.path.removesuffix(".sock")
        self.generation = int(os.environ["OAKKEEL_GENERATION"])
        self.began = time.monotonic()
        self.leaving = 0.0  # since when; 0: it stays
        self.final = False
        self.up = False

    def note(self, word: str) -> None:
        with open(self.base + ".journal", "a", encoding="ascii") as file:
            file.write(f"{word} {self.generation} {os.getpid()} {time.monotonic_ns()}\n")

    def script(self) -> list[str]:
        words = os.environ.get("OAKKEEL_BEHAVE", "").split()
        with contextlib.suppress(OSError), open(self.base + ".script", encoding="ascii") as file:
            return words + file.read().split()
        return words

    def figures(self, script: list[str], cold: bool) -> dict[str, object]:
        """As if it had answered so many exchanges a second since its start, evenly good or bad."""
        lasted = time.monotonic() - self.began
        count = float(int(RATE * lasted))
        bad = 0.3 if "worse" in script or ("worse-cold" in script and cold) else 0.02
        good = float(int(count * (1 - bad)))
        middle = -2.0 + ("slower" in script)
        return {
            "version": os.environ.get("OAKKEEL_VERSION", ""),
            "load": 0.2,
            "benefit": [count, good, good],
            "resident_kb": 20_000 + int(1000 * lasted) * ("leak" in script),
            "times": {"quote": [good, good * middle, good * (middle * middle + 0.25)]},
        }

    def leave(self, *_: object) -> None:
        """SIGTERM: nothing takes it back."""
        self.final = True
        self.leave_for_now()

    def leave_for_now(self) -> None:
        if not self.leaving:
            self.leaving, self.up = time.monotonic(), False
            self.note("leave")

    def stay(self) -> str:
        if self.final:
            return "it leaves for good"
        if self.leaving:
            self.leaving = 0.0
            self.note("stay")
        return ""

    def over(self, script: list[str]) -> bool:
        lasts = 1.0 if "linger" in script else 0.0
        return bool(self.leaving) and "deaf" not in script and time.monotonic() - self.leaving >= lasts

    def state(self, script: list[str]) -> str:
        if self.leaving:
            return "draining"
        if "cold" in script or ("slow" in script and time.monotonic() - self.began < 1.0):
            return "cold"
        if not self.up:
            self.up = True
            self.note("up")
        return "serving"

    def run(self) -> int:
        signal.signal(signal.SIGTERM, self.leave)
        self.note("start")
        if version := os.environ.get("OAKKEEL_VERSION", ""):
            self.note(f"runs-{version}")
        if "crash" in self.script():
            return 3
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self.path)
        server = socket.socket(socket.AF_UNIX)
        server.bind(self.path)
        server.listen(8)
        watched = selectors.DefaultSelector()
        watched.register(server, selectors.EVENT_READ)
        while not self.over(self.script()):
            if "mortal" in self.script() and time.monotonic() - self.began > 1.0:
                self.note("died")
                return 4
            for key, _ in watched.select(0.02):
                if key.fileobj is server:
                    watched.register(server.accept()[0], selectors.EVENT_READ)
                elif not self.answer(key.fileobj):  # type: ignore[arg-type]  # it is a socket
                    watched.unregister(key.fileobj)
                    key.fileobj.close()  # type: ignore[union-attr]
        self.note("end")
        return 0

    def answer(self, link: socket.socket) -> bool:
        asked = link.recv(4096)
        if not asked or "mute" in (script := self.script()):
            return bool(asked)
        for line in asked.splitlines():
            wish = json.loads(line)
            if wish["type"] in ("leave", "stay"):
                why = f"this is generation {self.generation}" if wish["generation"] != self.generation else ""
                if not why and wish["type"] == "stay":
                    why = self.stay()
                elif not why:
                    self.leave_for_now()
                answer = {"type": "told", "tag": wish["tag"], "done": not why, "why": why}
            else:
                answer = {
                    "type": "report",
                    "tag": wish["tag"],
                    "name": os.environ["PROXY_NAME"],
                    "pid": os.getpid(),
                    "generation": self.generation - ("old" in script),
                    "state": self.state(script),
                    "address": "127.0.0.1:1",
                    "uptime": 1,
                }
                answer |= self.figures(script, answer["state"] == "cold")
            link.sendall(json.dumps(answer).encode() + b"\n")
        return True


if __name__ == "__main__":
    sys.exit(FakeNode().run())
