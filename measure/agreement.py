"""Five voters of twelve agents as processes under random faults: orders lost or doubled, leaderless time.

A prober polls who leads; an operator submits orders; a fault is injected every one to three seconds, one at
a time.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

from measure.common import describe_machine, parse_arguments, print_line, write_figures
from oakkeel.agent import messages
from oakkeel.disruption.timeouts import PermitTimeouts
from oakkeel.fakes.control_plane import UnexpectedResponseError
from oakkeel.fakes.rig import ProcessRig
from oakkeel.fakes.site import FakeSite, SiteOptions
from oakkeel.fleet.agent_clients import NoLeaderError
from oakkeel.invariants.logs import audit_groups, audit_logs, read_events
from oakkeel.units import SECOND

HOSTS = {f"h{number}": [f"n{number}"] for number in range(1, 13)}
SITES = {host: ("woodbrook", "st-james", "belmont")[number % 3] for number, host in enumerate(HOSTS)}
VOTERS = ("h1", "h2", "h3", "h4", "h5")
MAX_UNAVAILABLE = 1
FLEET_MAX_UNAVAILABLE = 3
OBSERVATION_TIME_NS = PermitTimeouts().expiry_ns + PermitTimeouts().max_agent_silence_ns + 2 * SECOND


class AgreementRun:
    """Faults, a prober and an operator on one rig, and what they observed. Times in seconds."""

    def __init__(self, rig: ProcessRig, seed: int) -> None:
        """Use an open rig; nothing is injected yet."""
        self.rig = rig
        self.random = Random(seed)
        self.faults: Counter[str] = Counter()
        self.accepted: dict[str, float] = {}  # until it was committed, by order
        self.accepted_undisturbed: list[float] = []  # the same with no fault at the time
        self.gaps: list[tuple[float, float]] = []  # when nobody led, and for how long
        self.active_faults = 0
        self.leader_deaths: list[float] = []
        self.finished = False

    async def inject_faults(self, until: float) -> None:
        """Inject one fault at a time until a monotonic time."""
        faults: dict[str, Callable[[], Awaitable[None]]] = {
            "kill": self._kill,
            "kill the leader": self._kill_leader,
            "stop": self._suspend,
            "stop the leader": self._suspend_leader,
            "cut": self._partition_both_ways,
            "one way": self._partition_one_way,
            "loss": lambda: self._disturb_links("loss", 0.3),
            "delay": lambda: self._disturb_links("delay", 0.15),
            "double": lambda: self._disturb_links("double", 0.5),
            "full disk": self._fill_disk,
            "lose the file": self._delete_databases,
            "kill a node": self._kill_node,
            "clock": self._shift_clock,
        }
        while time.monotonic() < until:
            kind = self.random.choice(list(faults))
            self.faults[kind] += 1
            self.active_faults += 1
            try:
                await faults[kind]()
            finally:
                self.active_faults -= 1
            await asyncio.sleep(self.random.uniform(0.3, 1.5))

    def _duration(self) -> float:
        return self.random.uniform(0.2, 2.5)

    def _host(self) -> str:
        return self.random.choice(VOTERS if self.random.random() < 0.7 else list(HOSTS))

    async def _kill(self) -> None:
        await self._kill_agent(self._host())

    async def _kill_leader(self) -> None:
        leader = await self.rig.wait_for_leader()
        self.leader_deaths.append(time.monotonic())
        await self._kill_agent(leader)

    async def _kill_agent(self, host: str) -> None:
        await self.rig.kill_agent(host)
        await asyncio.sleep(self._duration())
        await self.rig.start_agent(host)

    async def _suspend(self) -> None:
        await self._suspend_agent(self._host())

    async def _suspend_leader(self) -> None:
        await self._suspend_agent(await self.rig.wait_for_leader())

    async def _suspend_agent(self, host: str) -> None:
        self.rig.suspend_agent(host)
        await asyncio.sleep(self._duration())
        self.rig.resume_agent(host)

    async def _partition_both_ways(self) -> None:
        await self._partition(both=True)

    async def _partition_one_way(self) -> None:
        await self._partition(both=False)

    async def _partition(self, both: bool) -> None:
        host = self._host()
        others = [other for other in HOSTS if other != host]
        if self.random.random() < 0.5:
            self.rig.links.cut([host], others, both)
        else:
            self.rig.links.cut(others, [host], both)
        await asyncio.sleep(self._duration())
        self.rig.links.clear_faults()

    async def _disturb_links(self, fault: str, most: float) -> None:
        self.rig.links.set_faults(**{fault: self.random.uniform(0.05, most)})
        await asyncio.sleep(self._duration())
        self.rig.links.clear_faults()

    async def _fill_disk(self) -> None:
        host = self._host()
        self.rig.enable_fault(host, "full")
        await asyncio.sleep(self._duration())
        self.rig.disable_fault(host, "full")

    async def _delete_databases(self) -> None:
        host = self._host()
        await self.rig.kill_agent(host)
        agent_too = ["agent.db"] if self.random.random() < 0.5 else []
        self.rig.delete_databases(host, "record.db", *agent_too)
        await self.rig.start_agent(host)
        await self._wait_until_voting(host)

    async def _kill_node(self) -> None:
        self.rig.kill_node(self.random.choice([name for names in HOSTS.values() for name in names]))

    async def _shift_clock(self) -> None:
        self.rig.enable_fault(self._host(), "clock", str(self.random.uniform(-7200, 7200)))

    async def _wait_until_voting(self, host: str) -> None:
        """Wait until a replica votes again: a majority whose databases are gone has lost the log."""
        if host not in VOTERS:
            return

        async def votes() -> bool:
            statuses = await self.rig.raft_statuses()
            leader = next((status for status in statuses.values() if status.is_leader), None)
            if leader is None or host not in statuses or statuses[host].epoch != leader.epoch:
                return False
            incarnation = next(
                (member.incarnation for member in statuses[host].members if member.name == host), ""
            )
            return any(
                member.name == host
                and member.is_voter
                and member.lag < 3
                and member.incarnation == incarnation
                for member in leader.members
            )

        await self.rig.wait_until(f"{host} votes again", votes)

    async def probe_leader(self) -> None:
        """Record how long there is no leader, until the run is finished."""
        started = 0.0
        while not self.finished:
            answers, _ = await self.rig.clients.request_each(
                {host: messages.RaftStatusRequest() for host in VOTERS}, 200_000_000
            )
            now = time.monotonic()
            statuses = [answer for answer in answers.values() if isinstance(answer, messages.RaftStatus)]
            if any(status.is_leader for status in statuses):
                if started:
                    self.gaps.append((started, now - started))
                started = 0.0
            else:
                started = started or now
            await asyncio.sleep(0.03)

    async def operate(self) -> None:
        """Submit one order after the other, until the run is finished."""
        names = [name for names in HOSTS.values() for name in names]
        count = 0
        while not self.finished:
            count += 1
            chosen = self.random.sample(names, self.random.randint(1, 3))
            await self._submit(f"o{count}", chosen)
            await asyncio.sleep(self.random.uniform(0.2, 0.8))

    async def _submit(self, order_id: str, names: list[str]) -> None:
        """Submit an order through changes of leader, with the same ID."""
        undisturbed = not self.active_faults
        started = time.monotonic()
        generations: dict[str, int] = {}
        while not self.finished:
            try:
                generations = generations or await self.rig.generations()
                if any(name not in generations for name in names):
                    generations = {}
                    await asyncio.sleep(0.1)
                    continue
                sent = time.monotonic()
                answer = await self.rig.submit_order(order_id, "restart", names, 15, generations=generations)
            except NoLeaderError:
                continue
            if isinstance(answer, messages.FleetOrderStatus) and any(
                task.state != "refused" for task in answer.tasks
            ):
                self.accepted[order_id] = time.monotonic() - started
                if undisturbed and not self.active_faults:
                    self.accepted_undisturbed.append(time.monotonic() - sent)
            return

    async def lost_orders(self) -> list[str]:
        """Return the accepted orders that the control plane has lost."""
        known = {order.order_id for order in (await self.rig.fleet_status()).orders}
        lost = []
        for order_id in self.accepted:
            if order_id not in known:
                try:
                    await self.rig.fleet_status(order_id)
                except UnexpectedResponseError:
                    lost.append(order_id)
        return lost


async def measure(seconds: float, seed: int) -> dict[str, Any]:
    """Inject faults for some seconds, then count and audit what happened."""
    with tempfile.TemporaryDirectory(prefix="oakkeel-") as folder:
        site = FakeSite(
            folder,
            HOSTS,
            SiteOptions(
                max_unavailable=MAX_UNAVAILABLE,
                seed=seed,
                sites=SITES,
                replicas=VOTERS,
                fleet_max_unavailable=FLEET_MAX_UNAVAILABLE,
                supervision='<supervision silent="500ms" start="5s" drain="3s" backoff="200ms"/>',
            ),
        )
        rig = ProcessRig(site, seed)
        run = AgreementRun(rig, seed)
        try:
            await rig.open()
            await rig.wait_for_leader()
            took = await rig.wait_until_serving()
            print_line(f"twelve agents, five of them voters; all serve {took:.1f} s after there was a leader")
            tasks = [asyncio.ensure_future(run.probe_leader()), asyncio.ensure_future(run.operate())]
            await run.inject_faults(time.monotonic() + seconds)
            run.finished = True
            await asyncio.gather(*tasks)
            rig.links.clear_faults()
            await rig.wait_for_leader()
            await rig.wait_until_serving(timeout=60)
            lost = await run.lost_orders()
        finally:
            await rig.close()
        return {"seconds": seconds, "lost": lost} | figures_of(run, folder)


def figures_of(run: AgreementRun, folder: str) -> dict[str, Any]:
    """Return the figures with the keys of the journal."""
    groups = audit_groups(HOSTS, SITES, MAX_UNAVAILABLE, FLEET_MAX_UNAVAILABLE)
    audit = audit_logs(folder, HOSTS, groups, OBSERVATION_TIME_NS)
    after_death = [
        duration for at, duration in run.gaps if any(0 <= at - death < 0.6 for death in run.leader_deaths)
    ]
    return {
        "machine": describe_machine(),
        "faults": dict(run.faults),
        "elections": sum(kind == "leader_elected" for _, kind, _ in read_events(folder, HOSTS)),
        "taken": len(run.accepted),
        "doubled": doubled_drains(folder),
        "breaches": audit.finish(0),
        "most_out": audit.most_out["fleet"],
        "bound": FLEET_MAX_UNAVAILABLE,
        "worst_gap_s": max((duration for _, duration in run.gaps), default=0.0),
        "after_death_s": after_death,
        "agreed_s": run.accepted_undisturbed,
    }


def doubled_drains(folder: str) -> int:
    """Return how many processes were drained twice with no cancel between."""
    drained: set[tuple[str, int]] = set()
    doubled = 0
    for _, kind, fields in read_events(folder, HOSTS):
        process = fields.get("target", ""), fields.get("generation", 0)
        if kind == "node leave":
            doubled += process in drained
            drained.add(process)
        elif kind == "node stay":
            drained.discard(process)
    return doubled


def main() -> int:
    """Run the measurement; returns the exit code."""
    arguments = parse_arguments(__doc__ or "", seconds=150.0, seed=25)
    figures = asyncio.run(measure(arguments.seconds, arguments.seed))
    write_figures(arguments, figures)
    for breach in figures["breaches"]:
        print_line(breach)
    print_line(f"{figures['taken']} orders taken; faults {figures['faults']}")
    if figures["agreed_s"]:
        print_line(
            f"committed without a fault after {1000 * statistics.median(figures['agreed_s']):.0f} ms in the"
            f" median of {len(figures['agreed_s'])}"
        )
    if figures["after_death_s"]:
        print_line(
            f"a new leader after a death within {max(figures['after_death_s']):.2f} s at worst of"
            f" {len(figures['after_death_s'])}"
        )
    print_line(
        f"agreement: {sum(figures['faults'].values())} faults, {figures['elections']} elections,"
        f" {len(figures['lost'])} lost, {figures['doubled']} doubled, at most {figures['most_out']} of"
        f" {figures['bound']} out, no leader for {figures['worst_gap_s']:.2f} s at worst"
    )
    return 1 if figures["lost"] or figures["doubled"] or figures["breaches"] else 0


if __name__ == "__main__":
    sys.exit(main())
