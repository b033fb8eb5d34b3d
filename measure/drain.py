"""Counts the requests lost or run after the grace while drains of real nodes are cancelled at random times.

The site has one replica and two hosts with three nodes each. Dispatchers send requests at a varying rate.
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
NODE_NAMES = [name for names in HOSTS.values() for name in names]
DRAIN_GRACE_NS = NODE_SETTINGS["obligations"]["drain-grace"]  # type: ignore[index]
LOG_DELAY_S = 0.06  # allowed difference between the time of an event and the time in its log line


@dataclass
class CancelResults:
    """Counts of cancelled drains, and seconds from a cancel until the node completes a request again."""

    count: int = 0
    while_draining: int = 0
    cancelled_drain_times: list[float] = field(default_factory=list)  # cancelled while the node was draining
    restart_times: list[float] = field(default_factory=list)  # cancelled after the stop: node started again
    undrained_times: list[float] = field(default_factory=list)  # cancelled before the drain began


class DrainScenario:
    """Runs two concurrent sequences of drains and cancels on a site under load."""

    def __init__(self, rig: ProcessRig, load: LoadProcess, rate: float, seed: int) -> None:
        """Use an open rig; all dispatchers together send `rate` requests a second."""
        self.rig = rig
        self.load = load
        self.rate = rate
        self.random = Random(seed)
        self.cancels = CancelResults()
        self.addresses: dict[str, Address] = {}

    async def play(self, drains: int) -> LoadSummary:
        """Start the load, run all drains, and stop the load."""
        await self.load.start(self.rate / 2, self.rig.site.options.seed)
        update_tasks = [
            asyncio.ensure_future(self._follow_agents()),
            asyncio.ensure_future(self._follow_directory()),
        ]
        try:
            await asyncio.sleep(1.0)
            await asyncio.gather(self._run_sequence(0, drains), self._run_sequence(1, drains))
        finally:
            for task in update_tasks:
                task.cancel()
            await asyncio.gather(*update_tasks, return_exceptions=True)
        return await self.load.stop()

    async def _follow_agents(self) -> None:
        """Keep the addresses up to date with the nodes' reports."""
        while True:
            for name, status in (await self.rig.instance_statuses()).items():
                if status.report:
                    host, _, port = status.report.address.rpartition(":")
                    self.addresses[name] = host, int(port)
            await asyncio.sleep(0.1)

    async def _follow_directory(self) -> None:
        """Give the load generator the nodes that the directory lists as open, once all have an address."""
        while len(self.addresses) < len(NODE_NAMES):
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

    async def _run_sequence(self, number: int, drains: int) -> None:
        names = NODE_NAMES[number::2]
        for drain in range(number, drains, 2):
            self.load.set_rate(self.rate * (1.5 if self.random.random() < 0.2 else 0.5))
            cancel_after = None if self.random.random() < 0.2 else self.random.uniform(0.05, 1.2)
            await self._drain_and_cancel(f"d{drain}", self.random.choice(names), cancel_after)
            if drain % 20 < 2:
                print_line(f"  {drain} drains, {self.cancels.while_draining} cancelled while draining")

    async def _drain_and_cancel(self, order_id: str, name: str, cancel_after: float | None) -> None:
        """Drain a node, cancel after some seconds or (None) at the end, and wait until its permit is free."""
        response = await self.rig.submit_order(order_id, "drain", [name], 60)
        if not isinstance(response, messages.FleetOrderStatus):
            raise UnexpectedResponseError(f"{order_id} was not submitted: {response}")
        if cancel_after is None:
            await self.rig.wait_until_ended(order_id)
        else:
            await asyncio.sleep(cancel_after)
        status_before = (await self.rig.instance_statuses())[name]
        cancelled_at = time.monotonic()
        response = await self.rig.end_order(order_id, True)
        if not isinstance(response, messages.FleetOrderStatus):
            raise UnexpectedResponseError(f"{order_id} was not cancelled: {response}")
        self.cancels.count += 1
        self.cancels.while_draining += status_before.phase == "draining"

        async def has_succeeded() -> bool:
            return self.load.last_success.get(name, 0.0) > cancelled_at

        elapsed = await self.rig.wait_until(f"{name} works again", has_succeeded)
        times_by_phase = {
            "draining": self.cancels.cancelled_drain_times,
            "serving": self.cancels.undrained_times,
        }
        times_by_phase.get(status_before.phase, self.cancels.restart_times).append(elapsed)

        async def is_free() -> bool:
            return not any(
                entry.order_id == order_id for entry in (await self.rig.fleet_status()).unavailable
            )

        await self.rig.wait_until(f"the permit of {name} is free", is_free)


async def measure(drains: int, rate: float, seed: int) -> dict[str, Any]:
    """Run the drains, and count the requests that were lost, run twice or run after the grace."""
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
        rig = ProcessRig(site, seed, with_real_nodes=True)
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
        runs_after_grace = count_runs_after_grace(folder, site, load.reports)
    return collect_figures(scenario.cancels, summary, len(load.reports), site) | {
        "drains": drains,
        "after_grace": runs_after_grace,
    }


def collect_figures(
    cancels: CancelResults, summary: LoadSummary, report_count: int, site: FakeSite
) -> dict[str, Any]:
    """Return the figures under their JSON keys."""
    counts = Counter(summary.counts)
    run_counts = [count for engine in site.engines.values() for count in engine.start_counts.values()]
    return {
        "cancels": cancels.count,
        "while draining": cancels.while_draining,
        # Seconds from a cancel until the node completes a request again, by its phase at the cancel.
        "back_s": cancels.cancelled_drain_times,  # draining
        "anew_s": cancels.restart_times,  # any other phase
        "not_left_s": cancels.undrained_times,  # serving
        "sent_late": summary.max_send_delay,  # largest delay of a send
        "machine": describe_machine(),
        "counts": dict(counts),
        "reported": report_count,
        "lost": counts["lost"] + counts["late"],
        "doubled": sum(count > 1 for count in run_counts),  # requests that ran more than once
    }


def count_runs_after_grace(folder: str, site: FakeSite, reports: list[RequestReport]) -> int:
    """Count the runs of requests that were sent after the grace of a drain and before its cancel or end."""
    drains: dict[str, list[list[float]]] = {}  # by instance: the ends of the grace and of the drain
    for time_ns, event, fields in read_events(folder, HOSTS):
        if event == "drain_requested":
            drains.setdefault(fields["target"], []).append(
                [time_ns / 1e9 + DRAIN_GRACE_NS / 1e9, float("inf")]
            )
        elif event in ("drain_cancel_requested", "instance_exited") and fields.get("target") in drains:
            drains[fields["target"]][-1][1] = min(drains[fields["target"]][-1][1], time_ns / 1e9)
    sent_at_by_id = {report.id.encode(): report.sent_at for report in reports}
    return sum(
        any(
            grace_end + LOG_DELAY_S < sent_at_by_id[request_id] < drain_end - LOG_DELAY_S
            for grace_end, drain_end in drains.get(name, ())
        )
        for name, engine in site.engines.items()
        for request_id in engine.first_started_at
        if request_id in sent_at_by_id
    )


def main() -> int:
    """Run the measurement and return the exit code."""
    arguments = parse_arguments(__doc__ or "", drains=200, rate=120.0, seed=25)
    figures = asyncio.run(measure(arguments.drains, arguments.rate, arguments.seed))
    write_figures(arguments, figures)
    print_line(f"{figures['counts']}; {figures['doubled']} ran twice")
    if figures["anew_s"]:
        print_line(f"started again after the stop: works after {format_spread(figures['anew_s'])} s")
    max_resume_ms = 1000 * max(figures["back_s"], default=0.0)
    if figures["back_s"]:
        print_line(f"cancelled while draining: works after {format_spread(figures['back_s'])} s")
    print_line(
        f"drain: {figures['drains']} drains, {figures['cancels']} cancels, {figures['lost']} lost,"
        f" {figures['after_grace']} run after the grace, back in service after {max_resume_ms:.0f} ms"
    )
    return 1 if figures["lost"] or figures["after_grace"] or figures["doubled"] else 0


if __name__ == "__main__":
    sys.exit(main())
