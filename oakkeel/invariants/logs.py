"""Reads what agents logged and nodes wrote down, in the order of the time that a machine's processes share.

Feeds `ConsensusAudit`: it knows agents by their lines and nodes by their journals, and asks none of them.
"""

from __future__ import annotations

import json
import os

from oakkeel.invariants.consensus import ConsensusAudit


def events(folder: str, hosts: dict[str, list[str]]) -> list[tuple[int, str, dict]]:
    """Time, kind, facts, the earliest first."""
    found: list[tuple[int, str, dict]] = []
    for host, names in hosts.items():
        path = os.path.join(folder, f"{host}.agent.log")
        if os.path.exists(path):
            with open(path, encoding="utf-8", errors="replace") as file:
                for line in file:
                    try:
                        told = json.loads(line)
                        found.append((told["mono"], told["event"], {"host": host, **told}))
                    except (ValueError, KeyError, TypeError):
                        continue  # a line cut short by a kill
        for name in names:
            journal = os.path.join(folder, host, f"{name}.journal")
            if os.path.exists(journal):
                with open(journal, encoding="ascii") as file:
                    for line in file:
                        word, generation, _, at = line.split()
                        found.append(
                            (int(at), f"node {word}", {"target": name, "generation": int(generation)})
                        )
    return sorted(found, key=lambda each: each[0])


def audit(
    folder: str, hosts: dict[str, list[str]], groups: dict[str, tuple[int, list[str]]], known_after: int
) -> ConsensusAudit:
    """The breaches of one run, with what was out at most."""
    judge = ConsensusAudit(groups, known_after)
    last: dict[str, int] = {}  # by thing: the fence under which its agent last told it to leave
    for at, kind, facts in events(folder, hosts):
        thing = facts.get("target", "")
        if kind == "leader_elected":
            judge.leader_observed(at, facts["term"], facts["host"])
        elif kind == "permit_granted":
            judge.permit_granted(thing, facts["fence"])
        elif kind == "drain_requested" and "order" in facts:
            last[thing] = facts.get("fence", -1)
            judge.drain_started(at, thing, last[thing])
        elif kind == "node start":
            judge.generation_started(at, thing, facts["generation"])
            judge.out_by_itself(at, thing)
        elif kind in ("node up", "node stay"):
            judge.serving(at, thing)
        elif kind in ("node end", "node killed"):
            judge.out_by_itself(at, thing)
    return judge
