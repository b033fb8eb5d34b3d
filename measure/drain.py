"""Drains and cancels at random times under load on real nodes: what is lost, what runs after the grace.

Two hosts with three nodes each, one replica; dispatchers send all the time, at a changing rate.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any

from measure.common import describe_machine, format_spread, parse_arguments, print_line, write_figures
from oakkeel.agent import messages
from oakkeel.fakes.control_plane import UnexpectedResponseError
from oakkeel.fakes.load_generator import LoadSummary, RequestReport
from oakkeel.fakes.load_process import LoadProcess
from oakkeel.fakes.node_connection import Address
from oakkeel.fakes.rig import ProcessRig
from oakkeel.fakes.site import NODE_SETTINGS, FakeSite, SiteOptions
from oakkeel.invariants.logs import read_events

HOSTS = {"h1": ["n1", "n2", "n3"], "h2": ["n4", "n5", "n6"]}
NAMES = [name for names in HOSTS.values() for name in names]
GRACE = NODE_SETTINGS["obligations"]["drain-grace"]  # type: ignore[index]
SLACK = 0.06  # seconds, from a message at our end to its log line


@dataclass
class Cancels:
    """What became of the drains that were cancelled; times in seconds until the node works again."""

    count: int = 0
    while_draining: int = 0
    cancelled: list[float] = field(default_factory=list)  # cancelled while it was draining
    restarted: list[float] = field(default_factory=list)  # started again after its stop
    never_drained: list[float] = field(default_factory=list)


class DrainScenario:
    """Two lanes of drains and cancels on a site under load."""

    def __init__(self, rig: ProcessRig, load: LoadProcess, rate: float, seed: int) -> None:
        """`rate` in requests a second, of all together."""
        self.rig = rig
        self.load = load
        self.rate = rate
        self.random = Random(seed)
        self.cancels = Cancels()
        self.addresses: dict[str, Address] = {}

    async def play(self, drains: int) -> LoadSummary:
        """Start the load, play all drains, and stop the load."""
        await self.load.start(self.rate / 2, self.rig.site.options.seed)
        updates = [
            asyncio.ensure_future(self._follow_agents()),
            asyncio.ensure_future(self._follow_directory()),
        ]
        try:
            await asyncio.sleep(1.0)
            await asyncio.gather(self._lane(0, drains), self._lane(1, drains))
        finally:
            for task in updates:
                task.cancel()
            await asyncio.gather(*updates, return_exceptions=True)
        return await self.load.stop()

    async def _follow_agents(self) -> None:
        """Keep the addresses that the nodes report."""
        while True:
            for name, status in (await self.rig.instance_statuses()).items():
                if status.report:
                    host, _, port = status.report.address.rpartition(":")
                    self.addresses[name] = host, int(port)
            await asyncio.sleep(0.1)

    async def _follow_directory(self) -> None:
        """Give the load generator the nodes that the directory lists as open, once all are known."""
        while len(self.addresses) < len(NAMES):
            await asyncio.sleep(0.01)
        while True:
            self.load.set_addresses(
                {
                    name: self.addresses[name]
                    for name in self.rig.site.directory.open_nodes()
                    if name in self.addresses
                }
            )
            await asyncio.sleep(0.005)

    async def _lane(self, number: int, drains: int) -> None:
        names = NAMES[number::2]
        for drain in range(number, drains, 2):
            self.load.set_rate(self.rate * (1.5 if self.random.random() < 0.2 else 0.5))
            cancel_after = None if self.random.random() < 0.2 else self.random.uniform(0.05, 1.2)
            await self._drain_and_cancel(f"d{drain}", self.random.choice(names), cancel_after)
            if drain % 20 < 2:
                print_line(f"  {drain} drains, {self.cancels.while_draining} cancelled while draining")

    async def _drain_and_cancel(self, order_id: str, name: str, cancel_after: float | None) -> None:
        """Cancel after some seconds, or (None) when the drain is over; returns when the permit is free."""
        answer = await self.rig.submit_order(order_id, "drain", [name], 60)
        if not isinstance(answer, messages.FleetOrderStatus):
            raise UnexpectedResponseError(f"{order_id} was not submitted: {answer}")
        if cancel_after is None:
            await self.rig.wait_until_ended(order_id)
        else:
            await asyncio.sleep(cancel_after)
        before = (await self.rig.instance_statuses())[name]
        cancelled = time.monotonic()
        answer = await self.rig.end_order(order_id, True)
        if not isinstance(answer, messages.FleetOrderStatus):
            raise UnexpectedResponseError(f"{order_id} was not cancelled: {answer}")
        self.cancels.count += 1
        self.cancels.while_draining += before.phase == "draining"

        async def succeeds() -> bool:
            return self.load.last_success.get(name, 0.0) > cancelled

        took = await self.rig.wait_until(f"{name} works again", succeeds)
        times = {"draining": self.cancels.cancelled, "serving": self.cancels.never_drained}
        times.get(before.phase, self.cancels.restarted).append(took)

        async def free() -> bool:
            return not any(
                entry.order_id == order_id for entry in (await self.rig.fleet_status()).unavailable
            )

        await self.rig.wait_until(f"the permit of {name} is free", free)


async def measure(drains: int, rate: float, seed: int) -> dict[str, Any]:
    """Play the drains, and count what was lost, run twice or run after the grace."""
    with tempfile.TemporaryDirectory(prefix="oakkeel-") as folder:
        site = FakeSite(
            folder,
            HOSTS,
            SiteOptions(
                max_unavailable=2,
                seed=seed,
                replicas=("h1",),
                fleet_max_unavailable=2,
                sites={"h1": "woodbrook", "h2": "belmont"},
                supervision='<supervision silent="2s" start="10s" drain="10s" backoff="200ms"/>',
            ),
        )
        rig = ProcessRig(site, seed, real=True)
        load = LoadProcess()
        scenario = DrainScenario(rig, load, rate, seed)
        try:
            await rig.open()
            await rig.wait_for_leader()
            await rig.wait_until_serving()
            summary = await scenario.play(drains)
        finally:
            await load.close()
            await rig.close()
        late = after_grace(folder, site, load.reports)
    return figures_of(scenario.cancels, summary, len(load.reports), site) | {
        "drains": drains,
        "after_grace": late,
    }


def figures_of(cancels: Cancels, summary: LoadSummary, reported: int, site: FakeSite) -> dict[str, Any]:
    """Return the figures with the keys of the journal."""
    counts = Counter(summary.counts)
    runs = [count for engine in site.engines.values() for count in engine.start_counts.values()]
    return {
        "cancels": cancels.count,
        "while draining": cancels.while_draining,
        "back_s": cancels.cancelled,
        "anew_s": cancels.restarted,
        "not_left_s": cancels.never_drained,
        "sent_late": summary.max_send_delay,
        "machine": describe_machine(),
        "counts": dict(counts),
        "reported": reported,
        "lost": counts["lost"] + counts["late"],
        "doubled": sum(count > 1 for count in runs),
    }


def after_grace(folder: str, site: FakeSite, reports: list[RequestReport]) -> int:
    """Count the runs of requests sent after the grace of a drain, before it was cancelled or ended."""
    drains: dict[str, list[list[float]]] = {}  # by instance: when the grace ended, and the drain
    for at, kind, fields in read_events(folder, HOSTS):
        if kind == "drain_requested":
            drains.setdefault(fields["target"], []).append([at / 1e9 + GRACE / 1e9, float("inf")])
        elif kind in ("drain_cancel_requested", "instance_exited") and fields.get("target") in drains:
            drains[fields["target"]][-1][1] = min(drains[fields["target"]][-1][1], at / 1e9)
    sent = {report.id.encode(): report.sent_at for report in reports}
    return sum(
        any(begin + SLACK < sent[ident] < end - SLACK for begin, end in drains.get(name, ()))
        for name, engine in site.engines.items()
        for ident in engine.first_started
        if ident in sent
    )


def main() -> int:
    """Run the measurement; returns the exit code."""
    arguments = parse_arguments(__doc__ or "", drains=200, rate=120.0, seed=25)
    figures = asyncio.run(measure(arguments.drains, arguments.rate, arguments.seed))
    write_figures(arguments, figures)
    print_line(f"{figures['counts']}; {figures['doubled']} ran twice")
    if figures["anew_s"]:
        print_line(f"started again after the stop: works after {format_spread(figures['anew_s'])} s")
    back = 1000 * max(figures["back_s"], default=0.0)
    if figures["back_s"]:
        print_line(f"cancelled while draining: works after {format_spread(figures['back_s'])} s")
    print_line(
        f"drain: {figures['drains']} drains, {figures['cancels']} cancels, {figures['lost']} lost,"
        f" {figures['after_grace']} run after the grace, back in service after {back:.0f} ms"
    )
    return 1 if figures["lost"] or figures["after_grace"] or figures["doubled"] else 0


if __name__ == "__main__":
    sys.exit(main())
