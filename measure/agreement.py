"""Measures lost and doubled orders and leaderless time of twelve agents, five of them voters, under faults.

A prober polls the voters for the leader, and an operator submits orders. Random faults are injected one at a
time, with a pause of 0.3 to 1.5 seconds after each fault.
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
# Time after its failure from which a target must count as unavailable for every new permit.
OBSERVATION_TIME_NS = PermitTimeouts().expiry_ns + PermitTimeouts().max_agent_silence_ns + 2 * SECOND


class AgreementRun:
    """Faults, a prober and an operator on one rig, and their observations; times in seconds."""

    def __init__(self, rig: ProcessRig, seed: int) -> None:
        """Use an open rig; no fault is injected yet."""
        self.rig = rig
        self.random = Random(seed)
        self.faults: Counter[str] = Counter()
        self.accept_durations: dict[str, float] = {}  # by order ID, from first attempt to acceptance
        # From the last attempt to the acceptance, for orders during which no fault was active.
        self.undisturbed_commit_durations: list[float] = []
        self.leaderless_periods: list[tuple[float, float]] = []  # start and length
        self.active_faults = 0
        self.leader_kill_times: list[float] = []
        self.is_finished = False

    async def inject_faults(self, end_time: float) -> None:
        """Inject one fault at a time until `end_time` on the monotonic clock."""
        faults: dict[str, Callable[[], Awaitable[None]]] = {
            "kill": self._kill_random_agent,
            "kill the leader": self._kill_leader,
            "stop": self._suspend_random_agent,
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
        while time.monotonic() < end_time:
            kind = self.random.choice(list(faults))
            self.faults[kind] += 1
            self.active_faults += 1
            try:
                await faults[kind]()
            finally:
                self.active_faults -= 1
            await asyncio.sleep(self.random.uniform(0.3, 1.5))

    def _random_duration(self) -> float:
        return self.random.uniform(0.2, 2.5)

    def _choose_host(self) -> str:
        return self.random.choice(VOTERS if self.random.random() < 0.7 else list(HOSTS))

    async def _kill_random_agent(self) -> None:
        await self._kill_agent(self._choose_host())

    async def _kill_leader(self) -> None:
        leader = await self.rig.wait_for_leader()
        self.leader_kill_times.append(time.monotonic())
        await self._kill_agent(leader)

    async def _kill_agent(self, host: str) -> None:
        await self.rig.kill_agent(host)
        await asyncio.sleep(self._random_duration())
        await self.rig.start_agent(host)

    async def _suspend_random_agent(self) -> None:
        await self._suspend_agent(self._choose_host())

    async def _suspend_leader(self) -> None:
        await self._suspend_agent(await self.rig.wait_for_leader())

    async def _suspend_agent(self, host: str) -> None:
        self.rig.suspend_agent(host)
        await asyncio.sleep(self._random_duration())
        self.rig.resume_agent(host)

    async def _partition_both_ways(self) -> None:
        await self._partition(both=True)

    async def _partition_one_way(self) -> None:
        await self._partition(both=False)

    async def _partition(self, both: bool) -> None:
        host = self._choose_host()
        others = [other for other in HOSTS if other != host]
        if self.random.random() < 0.5:
            self.rig.links.partition([host], others, both)
        else:
            self.rig.links.partition(others, [host], both)
        await asyncio.sleep(self._random_duration())
        self.rig.links.clear_faults()

    async def _disturb_links(self, fault: str, max_value: float) -> None:
        self.rig.links.set_faults(**{fault: self.random.uniform(0.05, max_value)})
        await asyncio.sleep(self._random_duration())
        self.rig.links.clear_faults()

    async def _fill_disk(self) -> None:
        host = self._choose_host()
        self.rig.enable_fault(host, "full")
        await asyncio.sleep(self._random_duration())
        self.rig.disable_fault(host, "full")

    async def _delete_databases(self) -> None:
        host = self._choose_host()
        await self.rig.kill_agent(host)
        agent_database = ["agent.db"] if self.random.random() < 0.5 else []
        self.rig.delete_databases(host, "record.db", *agent_database)
        await self.rig.start_agent(host)
        await self._wait_until_voting(host)

    async def _kill_node(self) -> None:
        self.rig.kill_node(self.random.choice([name for names in HOSTS.values() for name in names]))

    async def _shift_clock(self) -> None:
        self.rig.enable_fault(self._choose_host(), "clock", str(self.random.uniform(-7200, 7200)))

    async def _wait_until_voting(self, host: str) -> None:
        """Wait until a replica votes again: the log is lost once a majority has lost its databases."""
        if host not in VOTERS:
            return

        async def is_voting() -> bool:
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

        await self.rig.wait_until(f"{host} votes again", is_voting)

    async def probe_leader(self) -> None:
        """Record the periods without a leader until the run is finished."""
        started_at = 0.0
        while not self.is_finished:
            responses, _ = await self.rig.clients.request_each(
                {host: messages.RaftStatusRequest() for host in VOTERS}, 200_000_000
            )
            now = time.monotonic()
            statuses = [
                response for response in responses.values() if isinstance(response, messages.RaftStatus)
            ]
            if any(status.is_leader for status in statuses):
                if started_at:
                    self.leaderless_periods.append((started_at, now - started_at))
                started_at = 0.0
            else:
                started_at = started_at or now
            await asyncio.sleep(0.03)

    async def submit_orders(self) -> None:
        """Submit one order after the other until the run is finished."""
        names = [name for names in HOSTS.values() for name in names]
        order_number = 0
        while not self.is_finished:
            order_number += 1
            targets = self.random.sample(names, self.random.randint(1, 3))
            await self._submit(f"o{order_number}", targets)
            await asyncio.sleep(self.random.uniform(0.2, 0.8))

    async def _submit(self, order_id: str, names: list[str]) -> None:
        """Submit an order through changes of leader, with the same ID."""
        was_undisturbed = not self.active_faults
        started_at = time.monotonic()
        generations: dict[str, int] = {}
        while not self.is_finished:
            try:
                generations = generations or await self.rig.generations()
                if any(name not in generations for name in names):
                    generations = {}
                    await asyncio.sleep(0.1)
                    continue
                attempt_started = time.monotonic()
                response = await self.rig.submit_order(
                    order_id, "restart", names, 15, generations=generations
                )
            except NoLeaderError:
                continue
            if isinstance(response, messages.FleetOrderStatus) and any(
                task.state != "refused" for task in response.tasks
            ):
                self.accept_durations[order_id] = time.monotonic() - started_at
                if was_undisturbed and not self.active_faults:
                    self.undisturbed_commit_durations.append(time.monotonic() - attempt_started)
            return

    async def find_lost_orders(self) -> list[str]:
        """Return the accepted orders that the control plane has lost."""
        known_order_ids = {order.order_id for order in (await self.rig.fleet_status()).orders}
        lost_order_ids = []
        for order_id in self.accept_durations:
            if order_id not in known_order_ids:
                try:
                    await self.rig.fleet_status(order_id)
                except UnexpectedResponseError:
                    lost_order_ids.append(order_id)
        return lost_order_ids


async def measure(seconds: float, seed: int) -> dict[str, Any]:
    """Inject faults for some seconds, then count the results and audit the logs."""
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
            elapsed = await rig.wait_until_serving()
            print_line(
                f"twelve agents, five of them voters; all serve {elapsed:.1f} s after there was a leader"
            )
            tasks = [asyncio.ensure_future(run.probe_leader()), asyncio.ensure_future(run.submit_orders())]
            await run.inject_faults(time.monotonic() + seconds)
            run.is_finished = True
            await asyncio.gather(*tasks)
            rig.links.clear_faults()
            await rig.wait_for_leader()
            await rig.wait_until_serving(timeout=60)
            lost_order_ids = await run.find_lost_orders()
        finally:
            await rig.close()
        return {"seconds": seconds, "lost": lost_order_ids} | collect_figures(run, folder)


def collect_figures(run: AgreementRun, folder: str) -> dict[str, Any]:
    """Return the figures under their JSON keys."""
    groups = audit_groups(HOSTS, SITES, MAX_UNAVAILABLE, FLEET_MAX_UNAVAILABLE)
    audit = audit_logs(folder, HOSTS, groups, OBSERVATION_TIME_NS)
    failover_durations = [
        duration
        for started_at, duration in run.leaderless_periods
        if any(0 <= started_at - killed_at < 0.6 for killed_at in run.leader_kill_times)
    ]
    return {
        "machine": describe_machine(),
        "faults": dict(run.faults),
        "elections": sum(kind == "leader_elected" for _, kind, _ in read_events(folder, HOSTS)),
        "taken": len(run.accept_durations),  # orders accepted
        "doubled": count_doubled_drains(folder),  # processes drained twice
        "breaches": audit.finish(0),
        "most_out": audit.max_taken_out["fleet"],  # most targets unavailable at once
        "bound": FLEET_MAX_UNAVAILABLE,
        # Longest period without a leader.
        "worst_gap_s": max((duration for _, duration in run.leaderless_periods), default=0.0),
        # Leaderless periods that began within 0.6 s after a kill of the leader.
        "after_death_s": failover_durations,
        "agreed_s": run.undisturbed_commit_durations,  # time to commit an order while no fault is active
    }


def count_doubled_drains(folder: str) -> int:
    """Return the number of processes that were drained twice with no cancel in between."""
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
    """Run the measurement and return the exit code."""
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
