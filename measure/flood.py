"""Plays each kind of flood against a node under load: memory, lateness of answers and starts of runs."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from collections import Counter
from dataclasses import replace
from pathlib import Path
from typing import Any

from measure.common import describe_machine, parse_arguments, print_line, write_figures
from oakkeel.fakes.flood import FloodKind
from oakkeel.invariants.node_soak import Breach, NodeSoakAudit
from oakkeel.soak import record
from oakkeel.soak.node_run import NodeRun
from oakkeel.soak.plan import Disruption, DisruptionKind, Flood, draw_plan

START_S = 1.5  # of the flood, after the start of the load
MARGIN_S = 1.0  # from the end of the flood to the drain


def latest_answer_s(audit: NodeSoakAudit) -> float:
    """Return the seconds from the due time of a request to its answer, of the answer that came latest."""
    return max(
        history.answers[0].time - history.written.arrived_at - history.written.timeout
        for history in audit.histories.values()
        if history.answers
    )


def waits_s(audit: NodeSoakAudit) -> list[float]:
    """Return the seconds from the write of each request to its answer, sorted."""
    return sorted(
        history.answers[0].time - history.written.time
        for history in audit.histories.values()
        if history.answers
    )


async def play(arguments: Any, kind: FloodKind) -> dict[str, Any]:
    """Play one kind; return its figures."""
    plan = draw_plan(arguments.seed, START_S + arguments.length + MARGIN_S + 3.0)
    flood = Disruption(START_S, arguments.length, DisruptionKind.FLOOD, 0.0, Flood(kind, arguments.clients))
    plan = replace(plan, disruptions=(flood,) if arguments.clients else ())
    with tempfile.TemporaryDirectory() as folder:
        events = await NodeRun(plan, Path(folder)).play()
    audit = NodeSoakAudit(plan, events)
    breaches: list[Breach] = audit.audit()
    waits = waits_s(audit)
    starts = Counter(event.request for event in events if isinstance(event, record.RunStarted))
    return {
        "kind": kind.value,
        "resident_mb": max(event.resident_mb for event in events if isinstance(event, record.NodeMeasured)),
        "wait_s_half": waits[len(waits) // 2],
        "wait_s_99": waits[int(0.99 * len(waits))],
        "latest_answer_s": latest_answer_s(audit),
        "unanswered": audit.counts()["none"],
        "requests": len(audit.histories),
        "most_starts": max(starts.values()),
        "breaches": [f"{breach.rule}: {breach.text}" for breach in breaches],
    }


async def measure(arguments: Any) -> int:
    """Play all kinds, or the one that is named; return the exit code."""
    kinds = [FloodKind(arguments.kind)] if arguments.kind else list(FloodKind)
    figures = []
    for kind in kinds:
        result = await play(arguments, kind)
        figures.append(result)
        print_line(
            f"{result['kind']}: {result['resident_mb']:.1f} MB, wait {result['wait_s_half']:.3f} s"
            f" (99%: {result['wait_s_99']:.3f}), latest {result['latest_answer_s']:+.3f} s from its due time,"
            f" {result['unanswered']} of {result['requests']} unanswered, at most"
            f" {result['most_starts']} starts of an ID, {len(result['breaches'])} breaches"
        )
        for breach in result["breaches"][:5]:
            print_line(f"  {breach}")
    write_figures(arguments, {"machine": describe_machine(), "floods": figures})
    broken = sum(bool(result["breaches"]) for result in figures)
    largest = max(result["resident_mb"] for result in figures)
    print_line(
        f"flood: kinds {len(figures)}, clients {arguments.clients}, at most {largest:.1f} MB, broken {broken}"
    )
    return 1 if broken else 0


def main() -> int:
    """Parse the command line and run."""
    arguments = parse_arguments(__doc__ or "", seed=1, clients=300, length=5.0, kind="")
    return asyncio.run(measure(arguments))


if __name__ == "__main__":
    sys.exit(main())
