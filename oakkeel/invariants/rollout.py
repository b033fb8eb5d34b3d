"""Audit of the invariants of releases, from observed commands, starts and reports.

The invariants, numbered after those of the consensus audit:

8. No target starts with the version of a release before a committed batch of the release names that target,
   nor after the release is reported as undone.
9. When a release is reported as done, each of its serving targets runs the new version; when it is reported
   as undone, each runs its previous version.
10. Each step of a release is applied once, identically on every replica, under fencing tokens that never
    decrease.

The audit receives events with the true time and shares no code with the implementation.
"""

from __future__ import annotations

import json
import os
from typing import Any

import msgspec

from oakkeel.units import SECOND

STEP_TAGS = (
    "go",
    "batch",
    "settle",
    "judge",
    "finish",
)  # tags of the replicated commands for a step of a release
STEP_EVENTS = (  # events in the logs of agents that report a step of a release
    "release_batch_started",
    "release_batch_finished",
    "release_rollout_begun",
    "release_finished",
)


class RolloutAudit:
    """Checks the invariants at each event; a breach is a line of text with a time."""

    def __init__(self, max_breaches: int = 100) -> None:
        """Keep at most `max_breaches` breaches."""
        self.max_breaches = max_breaches
        self.breaches: list[str] = []
        self.new_versions: dict[str, str] = {}  # by release
        self.targets: dict[str, set[str]] = {}  # all targets by release
        self.batch_targets: dict[str, set[str]] = {}  # targets of all its batches, by release
        self.steps: dict[tuple[str, int], bytes] = {}  # encoded command by release and step
        # latest step and highest fencing token, by release
        self.latest_steps: dict[str, tuple[int, int]] = {}
        self.running_versions: dict[str, str] = {}  # by target
        self.final_states: dict[str, str] = {}  # by release

    def record_command(self, now: int, replica: str, content: bytes) -> None:
        """Record a command that a replica has applied without a rejection."""
        command: Any = msgspec.msgpack.decode(content)
        tag = command[0]
        if tag == "begin":
            self.new_versions[command[1]] = command[4][0]
            self.targets[command[1]] = set(command[6])
        elif tag in STEP_TAGS:
            self._record_step(now, replica, command, content)
            if tag == "batch":
                self.batch_targets.setdefault(command[1], set()).update(target for target, _ in command[5])

    def _record_step(self, now: int, replica: str, command: Any, content: bytes) -> None:
        tag = command[0]
        release_id, fence, step = command[1:4]
        known_content = self.steps.setdefault((release_id, step), content)
        if known_content != content:
            self._breach(
                now, f"10: step {step} of {release_id} is applied differently, by {replica} as {tag}"
            )
        last_step, last_fence = self.latest_steps.get(release_id, (-1, 0))
        if step > last_step:
            if fence < last_fence:
                self._breach(
                    now,
                    f"10: step {step} of {release_id} has fencing token {fence} after {last_fence}",
                )
            self.latest_steps[release_id] = step, max(fence, last_fence)

    def record_start(self, now: int, target: str, version: str) -> None:
        """Record that a process of a target started with a version."""
        self.running_versions[target] = version
        for release_id, new_version in self.new_versions.items():
            if version != new_version or target not in self.targets[release_id]:
                continue
            other_releases = [
                other
                for other, other_version in self.new_versions.items()
                if other_version == new_version
                and other != release_id
                and self.final_states.get(other) in ("done", "left")
            ]
            if target not in self.batch_targets.get(release_id, ()) and not other_releases:
                self._breach(
                    now, f"8: {target} starts with {version[:8]} before a batch of {release_id} names it"
                )
            if self.final_states.get(release_id) == "undone" and not other_releases:
                self._breach(now, f"8: {target} starts with {version[:8]} after {release_id} is undone")

    def record_end(self, now: int, release_id: str, state: str, serving: set[str]) -> None:
        """Record the reported final state of a release; `serving` are the targets that serve at that time."""
        if release_id in self.final_states:
            return
        self.final_states[release_id] = state
        new_version = self.new_versions[release_id]
        for target in sorted(self.targets[release_id] & serving):
            version = self.running_versions.get(target, "")
            if (state == "done" and version != new_version) or (state == "undone" and version == new_version):
                self._breach(
                    now,
                    f"9: {release_id} is reported {state}, but {target} runs {version[:8] or 'no release'}",
                )

    def _breach(self, now: int, text: str) -> None:
        if len(self.breaches) < self.max_breaches:
            self.breaches.append(f"{now / SECOND:.3f} s: invariant {text}")


def read_running_versions(folder: str, hosts: dict[str, list[str]]) -> dict[str, str]:
    """Return the version that the latest process of each fake node wrote to its journal, by node name."""
    versions = {}
    for host, names in hosts.items():
        for name in names:
            path = os.path.join(folder, host, f"{name}.journal")
            if not os.path.exists(path):
                continue
            with open(path, encoding="ascii") as file:
                for line in file:
                    entry = line.split()[0]
                    if entry == "start":
                        versions[name] = ""
                    elif entry.startswith("runs-"):
                        versions[name] = entry.removeprefix("runs-")
    return versions


def find_diverging_steps(folder: str, hosts: dict[str, list[str]]) -> list[str]:
    """Return the steps of releases that the replicas of two agents logged differently."""
    steps: dict[tuple[str, int], str] = {}
    diverging = []
    for host in hosts:
        for event in _read_events(os.path.join(folder, f"{host}.agent.log")):
            name = str(event.get("event", ""))
            if name not in STEP_EVENTS:
                continue
            key = str(event["release"]), int(event["step"])
            step = f"{name} {event.get('targets', '')}{event.get('new', '')}"
            if steps.setdefault(key, step) != step:
                diverging.append(f"step {key[1]} of {key[0]}: {steps[key]!r} and {step!r}")
    return diverging


def _read_events(path: str) -> list[dict[str, Any]]:
    events: list[dict[str, Any]] = []
    if not os.path.exists(path):
        return events
    with open(path, encoding="utf-8", errors="replace") as file:
        for line in file:
            try:
                events.append(json.loads(line))
            except ValueError:
                continue  # a line that was truncated by a kill
    return events
