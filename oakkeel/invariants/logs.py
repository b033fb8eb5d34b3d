"""Reads the logs of agents and the journals of nodes, ordered by the monotonic clock of their machine.

`ConsensusAudit` gets its events from them alone, without a request to any process.
"""

from __future__ import annotations

import json
import os
from collections.abc import Iterator
from typing import Any, NamedTuple

from oakkeel.invariants.consensus import ConsensusAudit


class LogEvent(NamedTuple):
    """One line of an agent's log, or of a node's journal (the kind is `node` and the word of the line)."""

    at: int  # monotonic nanoseconds
    kind: str
    fields: dict[str, Any]


def read_events(folder: str, hosts: dict[str, list[str]]) -> list[LogEvent]:
    """Return all events of a site's folder, the earliest first."""
    found: list[LogEvent] = []
    for host, names in hosts.items():
        found += _agent_events(folder, host)
        for name in names:
            found += _node_events(folder, host, name)
    return sorted(found, key=lambda event: event.at)


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
            word, generation, _, at = line.split()
            yield LogEvent(int(at), f"node {word}", {"target": name, "generation": int(generation)})


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
    folder: str, hosts: dict[str, list[str]], groups: dict[str, tuple[int, list[str]]], known_after: int
) -> ConsensusAudit:
    """Return the audit of one run, with its breaches and the maximum of unavailable targets."""
    audit = ConsensusAudit(groups, known_after)
    for at, kind, fields in read_events(folder, hosts):
        target = fields.get("target", "")
        if kind == "leader_elected":
            audit.leader_observed(at, fields["term"], fields["host"])
        elif kind == "permit_granted":
            audit.permit_granted(target, fields["fence"])
        elif kind == "drain_requested" and "order" in fields:
            audit.drain_started(at, target, fields.get("fence", -1))
        elif kind == "node start":
            audit.generation_started(at, target, fields["generation"])
            audit.out_by_itself(at, target)
        elif kind in ("node up", "node stay"):
            audit.serving(at, target)
        elif kind in ("node end", "node killed"):
            audit.out_by_itself(at, target)
    return audit
