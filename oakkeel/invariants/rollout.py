"""Whether the promises of releases hold, by what was agreed, what processes started, and what was told.

8. Nothing starts with the version of a release before a batch of it that is in the record names that thing,
   nor once the release is told as undone.
9. When a release is told as done, each thing of it that serves runs the new; as undone, what it ran before.
10. Each step of a release is taken once, the same on every keeper, under fences that only rise.

It is told what happened with the true time, and knows nothing of why.
"""

from __future__ import annotations

import json
import os
from typing import Any

import msgspec

SECOND = 1_000_000_000
STEP_EVENTS = (
    "release_batch_started",
    "release_batch_finished",
    "release_rollout_begun",
    "release_finished",
)


class RolloutAudit:
    def __init__(self, most: int = 100) -> None:
        self.most = most
        self.breaches: list[str] = []
        self.version: dict[str, str] = {}  # by release
        self.things: dict[str, set[str]] = {}
        self.named: dict[str, set[str]] = {}  # by release: things that its batches have named
        self.steps: dict[tuple[str, int], bytes] = {}
        self.fences: dict[str, tuple[int, int]] = {}  # by release: the latest step and its fence
        self.runs: dict[str, str] = {}  # by thing
        self.over: dict[str, str] = {}
        self.told: list[tuple[int, str, str]] = []

    def taken(self, now: int, who: str, content: bytes) -> None:
        """A command that a keeper took, and did not refuse."""
        told: Any = msgspec.msgpack.decode(content)
        if told[0] == "begin":
            self.version[told[1]], self.things[told[1]] = told[4][0], set(told[6])
        elif told[0] in ("go", "batch", "settle", "judge", "finish"):
            ident, fence, step = told[1:4]
            known = self.steps.setdefault((ident, step), content)
            if known != content:
                self._breach(now, f"10: step {step} of {ident} is taken twice, by {who} as {told[0]}")
            last, under = self.fences.get(ident, (-1, 0))
            if step > last:
                if fence < under:
                    self._breach(now, f"10: step {step} of {ident} under {fence} after {under}")
                self.fences[ident] = step, max(fence, under)
            if told[0] == "batch":
                self.named.setdefault(ident, set()).update(thing for thing, _ in told[5])

    def started(self, now: int, thing: str, version: str) -> None:
        self.runs[thing] = version
        for ident, new in self.version.items():
            if version != new or thing not in self.things[ident]:
                continue
            others = [
                other
                for other, same in self.version.items()
                if same == new and other != ident and self.over.get(other) in ("done", "left")
            ]
            if thing not in self.named.get(ident, ()) and not others:
                self._breach(now, f"8: {thing} starts with {version[:8]} before {ident} names it")
            if self.over.get(ident) == "undone" and not others:
                self._breach(now, f"8: {thing} starts with {version[:8]} after {ident} is undone")

    def ended(self, now: int, ident: str, state: str, serving: set[str]) -> None:
        """A release is told as over; `serving` are the things that serve just then."""
        if ident in self.over:
            return
        self.over[ident] = state
        new = self.version[ident]
        for thing in sorted(self.things[ident] & serving):
            runs = self.runs.get(thing, "")
            if (state == "done" and runs != new) or (state == "undone" and runs == new):
                self._breach(now, f"9: {ident} is told as {state}, and {thing} runs {runs[:8] or 'as set'}")

    def _breach(self, now: int, text: str) -> None:
        if len(self.breaches) < self.most:
            self.breaches.append(f"{now / SECOND:.3f} s: promise {text}")


def runs_by_journals(folder: str, hosts: dict[str, list[str]]) -> dict[str, str]:
    """What the last process of each stand-in node wrote down that it runs."""
    found = {}
    for host, names in hosts.items():
        for name in names:
            path = os.path.join(folder, host, f"{name}.journal")
            if not os.path.exists(path):
                continue
            with open(path, encoding="ascii") as file:
                for line in file:
                    word = line.split()[0]
                    if word == "start":
                        found[name] = ""
                    elif word.startswith("runs-"):
                        found[name] = word.removeprefix("runs-")
    return found


def steps_by_logs(folder: str, hosts: dict[str, list[str]]) -> list[str]:
    """Steps of releases that two agents logged differently, by what each keeper agreed."""
    seen: dict[tuple[str, int], str] = {}
    wrong = []
    for host in hosts:
        path = os.path.join(folder, f"{host}.agent.log")
        if not os.path.exists(path):
            continue
        with open(path, encoding="utf-8", errors="replace") as file:
            for line in file:
                try:
                    told = json.loads(line)
                except ValueError:
                    continue  # cut short by a kill
                event = str(told.get("event", ""))
                if event in STEP_EVENTS:
                    key = str(told["release"]), int(told["step"])
                    what = f"{event} {told.get('targets', '')}{told.get('new', '')}"
                    if seen.setdefault(key, what) != what:
                        wrong.append(f"step {key[1]} of {key[0]}: {seen[key]!r} and {what!r}")
    return wrong
