"""Passes the events in the logs of agents and in the journals of fake nodes to `ConsensusAudit`.

Events are ordered by the monotonic clock of the machine. The audit sends no request to any process.
"""

from __future__ import annotations

import json
import os
from collections.abc import Iterator
from typing import Any, NamedTuple

from oakkeel.invariants.consensus import ConsensusAudit


class LogEvent(NamedTuple):
    """A line of an agent's log or of a node's journal.

    The kind is the event name of the agent's log, or `node` and the event of the journal line.
    """

    time: int  # monotonic nanoseconds
    kind: str
    fields: dict[str, Any]


def read_events(folder: str, hosts: dict[str, list[str]]) -> list[LogEvent]:
    """Return all events in the folder of a site, the earliest first."""
    events: list[LogEvent] = []
    for host, names in hosts.items():
        events += _agent_events(folder, host)
        for name in names:
            events += _node_events(folder, host, name)
    return sorted(events, key=lambda event: event.time)


def _agent_events(folder: str, host: str) -> Iterator[LogEvent]:
    path = os.path.join(folder, f"{host}.agent.log")
    if not os.path.exists(path):
        return
    with open(path, encoding="utf-8", errors="replace") as file:
        for line in file:
            try:
                fields = json.loads(line)
                yield LogEvent(fields["mono"], fields["event"], {"host": host, **fields})
            except (ValueError, KeyError, TypeError):
                continue  # a line that was truncated by a kill


def _node_events(folder: str, host: str, name: str) -> Iterator[LogEvent]:
    path = os.path.join(folder, host, f"{name}.journal")
    if not os.path.exists(path):
        return
    with open(path, encoding="ascii") as file:
        for line in file:
            event, generation, _, time = line.split()
            yield LogEvent(int(time), f"node {event}", {"target": name, "generation": int(generation)})


def audit_groups(
    hosts: dict[str, list[str]], sites: dict[str, str], max_unavailable: int, fleet_max_unavailable: int
) -> dict[str, tuple[int, list[str]]]:
    """Return the maximum unavailable and the instances of the fleet and of each site, by name."""
    groups = {"fleet": (fleet_max_unavailable, [name for names in hosts.values() for name in names])}
    for site in set(sites.values()):
        names = [name for host, names in hosts.items() if sites[host] == site for name in names]
        groups[site] = (max_unavailable, names)
    return groups


def audit_logs(
    folder: str, hosts: dict[str, list[str]], groups: dict[str, tuple[int, list[str]]], detection_time: int
) -> ConsensusAudit:
    """Return the audit of a run, with its breaches and the maximum number of targets taken out."""
    audit = ConsensusAudit(groups, detection_time)
    for time, kind, fields in read_events(folder, hosts):
        target = fields.get("target", "")
        if kind == "leader_elected":
            audit.record_leader(time, fields["term"], fields["host"])
        elif kind == "permit_granted":
            audit.record_permit(target, fields["fence"])
        elif kind == "drain_requested" and "order" in fields:
            audit.record_drain(time, target, fields.get("fence", -1))
        elif kind == "node start":
            audit.record_process_start(time, target, fields["generation"])
            audit.record_unavailable(time, target)
        elif kind in ("node up", "node stay"):
            audit.record_serving(time, target)
        elif kind in ("node end", "node killed"):
            audit.record_unavailable(time, target)
    return audit
