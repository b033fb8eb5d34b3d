"""Plays a node with drawn peers and disruptions, and audits what its peers saw by the rules of the pages."""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from measure.common import describe_machine, parse_arguments, print_line, write_figures
from oakkeel.invariants.node_soak import Breach, NodeSoakAudit
from oakkeel.soak.node_run import NodeRun
from oakkeel.soak.plan import DisruptionKind, Plan, draw_plan
from oakkeel.soak.record import encode

MAX_SHOWN = 5  # breaches of one run that are printed


@dataclass
class SoakResults:
    """Counts of all runs."""

    seeds: int = 0
    requests: int = 0
    disruptions: int = 0
    broken_seeds: list[int] = field(default_factory=list)


async def play(plan: Plan, record_path: str) -> tuple[list[Breach], NodeSoakAudit]:
    """Play a plan; return the breaches and the audit. The record is written to a path, if it is not empty."""
    with tempfile.TemporaryDirectory() as folder:
        if record_path:
            with open(record_path, "w", encoding="utf-8") as file:
                events = await NodeRun(plan, Path(folder), file).play()
        else:
            events = await NodeRun(plan, Path(folder)).play()
    audit = NodeSoakAudit(plan, events)
    return audit.audit(), audit


def show(audit: NodeSoakAudit, breaches: list[Breach]) -> None:
    """Print breaches, each with the events of its request from all sides."""
    for breach in breaches[:MAX_SHOWN]:
        print_line(f"  rule {breach.rule}: {breach.request} {breach.text}")
        for event in audit.story(breach.request):
            print_line(f"    {encode(event)}")


async def shrink(plan: Plan, rule: str) -> Plan:
    """Leave out one disruption after the other, as long as the same rule still breaks."""
    for disruption in plan.disruptions:
        smaller = plan.without(disruption)
        breaches, _ = await play(smaller, "")
        if any(breach.rule == rule for breach in breaches):
            plan = smaller
    return plan


def parse_kinds(text: str) -> frozenset[DisruptionKind]:
    """Parse the kinds of disruptions to leave out, separated by commas."""
    return frozenset(DisruptionKind(name) for name in text.split(",") if name)


async def measure(arguments: Any, without: frozenset[DisruptionKind]) -> int:
    """Play the seeds until the time is over; return the exit code."""
    results = SoakResults()
    started_at = time.monotonic()
    seed = arguments.seed
    while not results.seeds or time.monotonic() - started_at + arguments.run < arguments.seconds:
        plan = draw_plan(seed, arguments.run, without)
        breaches, audit = await play(plan, arguments.record)
        results.seeds += 1
        results.requests += len(audit.histories)
        results.disruptions += len(plan.disruptions)
        print_line(
            f"seed {seed}: {len(audit.histories)} requests, {len(plan.disruptions)} disruptions,"
            f" {dict(audit.counts())}, {len(breaches)} breaches"
        )
        if breaches:
            results.broken_seeds.append(seed)
            show(audit, breaches)
            left_out = f" WITHOUT={arguments.without}" if arguments.without else ""
            print_line(f"  again: make measure-soak SEED={seed} FOR=0 RUN={arguments.run:g}{left_out}")
            if arguments.shrink:
                small = await shrink(plan, breaches[0].rule)
                print_line(f"  rule {breaches[0].rule} still breaks with {list(small.disruptions)}")
        seed += 1
    minutes = (time.monotonic() - started_at) / 60
    write_figures(arguments, {"machine": describe_machine(), "minutes": minutes, **vars(results)})
    print_line(
        f"soak: node, seeds {results.seeds}, minutes {minutes:.1f}, requests {results.requests},"
        f" disruptions {results.disruptions}, broken {len(results.broken_seeds)}"
    )
    return 1 if results.broken_seeds else 0


def main() -> int:
    """Parse the command line and run."""
    arguments = parse_arguments(
        __doc__ or "", seed=1, seconds=60.0, run=20.0, without="", record="", shrink=0
    )
    try:
        without = parse_kinds(arguments.without)
    except ValueError as error:
        kinds = ", ".join(kind.value for kind in DisruptionKind)
        print(f"WITHOUT: {error}; expected some of {kinds}", file=sys.stderr)
        return 2
    return asyncio.run(measure(arguments, without))


if __name__ == "__main__":
    sys.exit(main())
