"""A fake node for an agent, which starts at once, answers on its control socket, and drains.

The file NAME.script beside the control socket sets the behaviour of the node and is read again before each
answer. The behaviours in the file are: `mute` accepts connections and never answers, `old` answers with an
earlier generation, `crash` exits at the start with code 3, `deaf` does not drain, `cold` reports that it is
cold, `linger` takes a second to drain, `slow` is cold for a second after its start, `worse` reports fewer
good responses and `slower` higher latencies than other nodes, `worse-cold` reports fewer good responses
while it is cold, `leak` reports growing memory, `mortal` exits after a second. OAKKEEL_BEHAVE holds
additional behaviours.
Each event of the node is a line in NAME.journal: an event, the generation, the process ID, and the monotonic
time.
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

REPORTED_RATE = 400.0  # requests a second that the node reports as served


class FakeNode:
    """A fake node with its control socket and its journal."""

    def __init__(self) -> None:
        """Read the settings from the environment."""
        self.path = os.environ["OAKKEEL_CONTROL"]
        self.base = self.path.removesuffix(".sock")
        self.generation = int(os.environ["OAKKEEL_GENERATION"])
        self.started_at = time.monotonic()
        self.draining_since = 0.0  # monotonic seconds; 0: not draining
        self.drain_is_final = False
        self.is_up = False

    def journal(self, event: str) -> None:
        """Append a line to the journal."""
        with open(self.base + ".journal", "a", encoding="ascii") as file:
            file.write(f"{event} {self.generation} {os.getpid()} {time.monotonic_ns()}\n")

    def script(self) -> list[str]:
        """Return the behaviours that apply now."""
        behaviours = os.environ.get("OAKKEEL_BEHAVE", "").split()
        with contextlib.suppress(OSError), open(self.base + ".script", encoding="ascii") as file:
            return behaviours + file.read().split()
        return behaviours

    def measurements(self, script: list[str], cold: bool) -> dict[str, object]:
        """Return the figures of a node that has answered REPORTED_RATE requests a second since its start."""
        uptime = time.monotonic() - self.started_at
        count = float(int(REPORTED_RATE * uptime))
        failure_ratio = 0.3 if "worse" in script or ("worse-cold" in script and cold) else 0.02
        good_count = float(int(count * (1 - failure_ratio)))
        mean_log_latency = -2.0 + ("slower" in script)
        return {
            "version": os.environ.get("OAKKEEL_VERSION", ""),
            "load": 0.2,
            "benefit": [count, good_count, good_count],
            "resident_kb": 20_000 + int(1000 * uptime) * ("leak" in script),
            "times": {
                "quote": [
                    good_count,
                    good_count * mean_log_latency,
                    good_count * (mean_log_latency * mean_log_latency + 0.25),
                ]
            },
        }

    def stop(self, *_: object) -> None:
        """Drain on SIGTERM; this drain cannot be cancelled."""
        self.drain_is_final = True
        self.drain()

    def drain(self) -> None:
        """Start to drain; `cancel_drain` reverts it."""
        if not self.draining_since:
            self.draining_since = time.monotonic()
            self.is_up = False
            self.journal("leave")

    def cancel_drain(self) -> str:
        """Cancel the drain; return the reason if this is not possible, or an empty text."""
        if self.drain_is_final:
            return "the drain is final: the node stops after SIGTERM"
        if self.draining_since:
            self.draining_since = 0.0
            self.journal("stay")
        return ""

    def is_drained(self, script: list[str]) -> bool:
        """Whether the drain is complete, so that the node can end."""
        min_duration = 1.0 if "linger" in script else 0.0
        return (
            bool(self.draining_since)
            and "deaf" not in script
            and time.monotonic() - self.draining_since >= min_duration
        )

    def state(self, script: list[str]) -> str:
        """Return the state to report."""
        if self.draining_since:
            return "draining"
        if "cold" in script or ("slow" in script and time.monotonic() - self.started_at < 1.0):
            return "cold"
        if not self.is_up:
            self.is_up = True
            self.journal("up")
        return "serving"

    def run(self) -> int:
        """Answer requests until the drain is complete; returns the exit code."""
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
        while not self.is_drained(self.script()):
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
        """Answer a message; return whether the connection stays open (it closes when the agent is killed)."""
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
                ordered_generation = request["generation"]
                reason = (
                    f"the order is for generation {ordered_generation},"
                    f" but the node is of generation {self.generation}"
                    if ordered_generation != self.generation
                    else ""
                )
                if not reason and request["type"] == "stay":
                    reason = self.cancel_drain()
                elif not reason:
                    self.drain()
                answer = {"type": "told", "tag": request["tag"], "done": not reason, "why": reason}
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
