"""Twelve real nodes and two downstream services replaced under load, with nodes and controllers killed.

Six hosts at two sites with an agent each, three of them replicas; the rollout controller is killed five times
and three nodes once each. Beside it: the same by batches with no gates, as fast as the budgets allow.
"""

from __future__ import annotations

import asyncio
import os
import shutil
import sys
import tempfile
import time
from collections import Counter
from random import Random
from typing import Any

import oakkeel
from measure.common import describe_machine, parse_arguments, print_line, write_figures
from oakkeel.agent import messages
from oakkeel.agent.artifacts import version_of
from oakkeel.fakes.catalogue import Catalogue
from oakkeel.fakes.control_plane import UnexpectedResponseError
from oakkeel.fakes.dispatcher import Dispatcher, SentRequest
from oakkeel.fakes.node_connection import Address
from oakkeel.fakes.rig import ProcessRig
from oakkeel.fakes.site import NODE_SETTINGS, FakeSite, SiteOptions, free_port
from oakkeel.fleet.agent_clients import NoLeaderError
from oakkeel.rollout.commands import RolloutPolicy, VersionSpec
from oakkeel.units import SECOND

HOSTS = {f"h{number}": [f"n{2 * number - 1}", f"n{2 * number}"] for number in range(1, 7)}
SITES = {host: ("woodbrook", "belmont")[number % 2] for number, host in enumerate(HOSTS)}
VOTERS = ("h1", "h2", "h3")
NAMES = [name for names in HOSTS.values() for name in names]
# a service makes six nodes unavailable
MAX_UNAVAILABLE = 4
FLEET_MAX_UNAVAILABLE = 7
GROUPS: list[dict[str, Any]] = NODE_SETTINGS["classes"]  # type: ignore[assignment]
WEIGHTS = {str(group["name"]): float(group.get("worth", 1.0)) for group in GROUPS}
SERVICE_OF = {name: ("db1", "db2")[number % 2] for number, name in enumerate(NAMES)}


class WeighingDispatcher(Dispatcher):
    """Counts the priority weight of all requests, and of those completed in time."""

    offered = earned = 0.0

    def request_sent(self, request_id: str, sent: SentRequest) -> None:
        """Add a request that is sent."""
        self.offered += WEIGHTS[sent.group]

    def request_ended(self, sent: SentRequest, outcome: str) -> str:
        """Add the end of a request."""
        if outcome == "ok":
            self.earned += WEIGHTS[sent.group]
        return super().request_ended(sent, outcome)


class Load:
    """Dispatchers that send requests, and what became of these."""

    def __init__(self, rig: ProcessRig, rate: float, seed: int) -> None:
        """Send `rate` requests a second in all."""
        self.rig = rig
        self.addresses: dict[str, Address] = {}
        self.dispatchers = [
            WeighingDispatcher(number, self.open_nodes, rate / 2, seed + number) for number in (1, 2)
        ]
        self.follower: asyncio.Task[None] | None = None

    def open_nodes(self) -> dict[str, Address]:
        """Return the addresses of the nodes that the directory lists."""
        listed = self.rig.site.directory.open_nodes()
        return {name: self.addresses[name] for name in listed if name in self.addresses}

    async def start(self) -> None:
        """Begin to send."""
        self.follower = asyncio.ensure_future(self._follow())
        await asyncio.sleep(0.5)
        for dispatcher in self.dispatchers:
            dispatcher.start()

    async def _follow(self) -> None:
        while True:
            for name, row in (await self.rig.instance_statuses()).items():
                if row.report:
                    host, _, port = row.report.address.rpartition(":")
                    self.addresses[name] = host, int(port)
            await asyncio.sleep(0.1)

    @property
    def counts(self) -> Counter[str]:
        """Return the number of requests by their end."""
        return sum((dispatcher.counts for dispatcher in self.dispatchers), Counter())

    @property
    def weights(self) -> tuple[float, float]:
        """Return the priority weight that was offered, and that was earned."""
        return (
            sum(dispatcher.offered for dispatcher in self.dispatchers),
            sum(dispatcher.earned for dispatcher in self.dispatchers),
        )

    def lost_except(self, killed: set[str]) -> int:
        """Return the requests without a response at nodes that were not killed."""
        return sum(
            dispatcher.by_node[name][outcome]
            for dispatcher in self.dispatchers
            for name in NAMES
            if name not in killed and name in dispatcher.by_node
            for outcome in ("lost", "late")
        )

    async def stop(self) -> None:
        """Stop sending."""
        if self.follower:
            self.follower.cancel()
        for dispatcher in self.dispatchers:
            await dispatcher.stop()


class RolloutRun:
    """Releases on a rig, with faults on the way, and what was out at most."""

    def __init__(
        self, rig: ProcessRig, services: dict[str, Catalogue], ports: dict[str, int], seed: int
    ) -> None:
        """Use a rig with services by name, and their ports."""
        self.rig = rig
        self.services = services
        self.ports = ports
        self.random = Random(seed)
        self.killed: set[str] = set()
        self.stopped_services: list[Catalogue] = []  # replaced, with connections open until the end
        self.controller_kills = 0
        self.most_out = 0
        self.most_with_permit = 0
        self.finished = False

    async def request_leader(self, request: messages.Request) -> messages.Response:
        """Return the leader's response, however often the leader changes."""
        while True:
            try:
                return await self.rig.clients.request_leader(request)
            except NoLeaderError:
                await asyncio.sleep(0.05)

    async def watch(self) -> None:
        """Record how many nodes the leader knows as unavailable, and how many of these by a permit."""
        while not self.finished:
            try:
                out = (await self.rig.fleet_status()).unavailable
                with_permit = {entry.target for entry in out if entry.fencing_token}
                dependent = {name for name, on in SERVICE_OF.items() if on in with_permit}
                self.most_with_permit = max(self.most_with_permit, len(with_permit & set(NAMES) | dependent))
                known = [entry for entry in out if entry.target in NAMES and entry.reasons != ["not known"]]
                self.most_out = max(self.most_out, len(known))
            except (NoLeaderError, UnexpectedResponseError):
                pass
            await asyncio.sleep(0.03)

    async def release(
        self,
        release_id: str,
        spec: VersionSpec,
        targets: list[str],
        policy: RolloutPolicy,
        kills: int,
        nodes: int,
    ) -> messages.ReleaseStatus:
        """Start a release, kill controllers and nodes on the way, and follow it to its end."""
        answer = await self.request_leader(messages.StartReleaseRequest(release_id, spec, policy, targets))
        _required_status(answer)
        last_step = -1
        next_kill = 2
        step_kills = 0
        while True:
            answer = await self.request_leader(messages.ReleaseStatusRequest(release_id))
            status = _required_status(answer)
            if status.state in ("done", "undone", "left"):
                return status
            if status.state == "halted":
                print_line(f"  {release_id} is halted: {status.why}; resumed")
                await self.request_leader(messages.ControlReleaseRequest(release_id, "resume"))
            if status.step > last_step and status.step >= next_kill and step_kills < kills:
                await self._kill_controller()
                step_kills += 1
                next_kill = status.step + 1
            if status.batch >= 2 and nodes and self.random.random() < 0.2:
                self._kill_node()
                nodes -= 1
            last_step = status.step
            if spec.services:
                await self.replace(status)
            await asyncio.sleep(0.05)

    async def _kill_controller(self) -> None:
        leader = await self.rig.wait_for_leader()
        await self.rig.kill_agent(leader)
        self.controller_kills += 1
        await asyncio.sleep(self.random.uniform(0.1, 0.5))
        await self.rig.start_agent(leader)

    def _kill_node(self) -> None:
        name = self.random.choice([entry for entry in NAMES if entry not in self.killed])
        self.killed.add(name)
        self.rig.kill_node(name)

    async def replace(self, status: messages.ReleaseStatus) -> None:
        """Replace each service that holds a permit, as an operator would."""
        for target in status.targets:
            if target.state != "changing" or target.target not in self.services:
                continue
            try:
                out = (await self.rig.fleet_status()).unavailable
            except (NoLeaderError, UnexpectedResponseError):
                return
            if not any(entry.target == target.target and entry.fencing_token for entry in out):
                continue
            old = self.services.pop(target.target)
            old.stop_listening()
            self.stopped_services.append(old)
            await asyncio.sleep(1.5)
            self.services[target.target + " new"] = new = Catalogue()
            await new.open(self.ports[target.target])


def _required_status(answer: messages.Response) -> messages.ReleaseStatus:
    if not isinstance(answer, messages.ReleaseStatus):
        raise UnexpectedResponseError(f"no status of the release: {answer}")
    return answer


def program(folder: str, name: str) -> VersionSpec:
    """Return a version of the present program with one more file: other content, the same behaviour."""
    path = os.path.join(folder, name)
    shutil.copytree(
        os.path.dirname(oakkeel.__file__),
        os.path.join(path, "oakkeel"),
        ignore=shutil.ignore_patterns("__pycache__"),
    )
    with open(os.path.join(path, "oakkeel", "RELEASE"), "w", encoding="ascii") as file:
        file.write(name + "\n")
    return VersionSpec(version_of(path, ""), path)


def _make_site(folder: str, seed: int, ports: dict[str, int]) -> FakeSite:
    services = "".join(
        f'<service name="{name}" address="127.0.0.1:{port}" host="h{number}"/>'
        for number, (name, port) in enumerate(ports.items(), 5)
    )
    site = FakeSite(
        folder,
        HOSTS,
        SiteOptions(
            max_unavailable=MAX_UNAVAILABLE,
            seed=seed,
            sites=SITES,
            replicas=VOTERS,
            fleet_max_unavailable=FLEET_MAX_UNAVAILABLE,
            downstream=f'<below><kind name="db" away="1">{services}</kind></below>',
            dependencies=SERVICE_OF,
            supervision='<supervision silent="2s" start="10s" drain="6s" backoff="200ms"/>',
        ),
    )
    site.catalogues = {name: f"127.0.0.1:{ports[service]}" for name, service in SERVICE_OF.items()}
    return site


async def measure(rate: float, seed: int, gated: bool) -> dict[str, Any]:
    """Release all nodes and services once under load."""
    with tempfile.TemporaryDirectory(prefix="oakkeel-") as folder:
        ports = {"db1": free_port(), "db2": free_port()}
        services = {name: Catalogue() for name in ports}
        for name, service in services.items():
            await service.open(ports[name])
        rig = ProcessRig(_make_site(folder, seed, ports), seed, real=True)
        run = RolloutRun(rig, dict(services), ports, seed)
        try:
            await rig.open()
            await rig.wait_for_leader()
            await rig.wait_until_serving()
            return await _release_all(run, Load(rig, rate, seed), folder, gated)
        finally:
            await rig.close()
            for service in (*run.services.values(), *run.stopped_services):
                await service.close()


async def _release_both(
    run: RolloutRun, folder: str, gated: bool
) -> tuple[messages.ReleaseStatus, messages.ReleaseStatus]:
    policy = RolloutPolicy(
        soak=2 * SECOND,
        batch_timeout=30 * SECOND,
        verdict_timeout=40 * SECOND,
        margin=0.10,
        gated=gated,
        max_load=0.95,
    )
    nodes = await run.release("nodes", program(folder, "v2"), NAMES, policy, 3, 3)
    policy = RolloutPolicy(soak=SECOND, batch_timeout=30 * SECOND, gated=False)
    services = await run.release("below", VersionSpec("db-2", services=True), ["db1", "db2"], policy, 2, 0)
    return nodes, services


async def _release_all(run: RolloutRun, load: Load, folder: str, gated: bool) -> dict[str, Any]:
    """Release the nodes, then the services, and return what was measured."""
    await load.start()
    observer = asyncio.ensure_future(run.watch())
    await asyncio.sleep(3.0)
    before = load.counts
    weights = load.weights
    started = time.monotonic()
    first, second = await _release_both(run, folder, gated)
    took = time.monotonic() - started
    counts = load.counts - before
    offered, earned = (now - then for now, then in zip(load.weights, weights, strict=True))
    lost = load.lost_except(run.killed)
    await run.rig.wait_until_serving(timeout=60)
    run.finished = True
    await observer
    await load.stop()
    rows = await run.rig.instance_statuses()
    versions = [row.report.version if row.report else "" for row in rows.values()]
    offered += counts["unsent"] * sum(WEIGHTS.values()) / len(WEIGHTS)
    return {
        "gated": gated,
        "seconds": took,
        "ends": [first.state, second.state],
        "counts": dict(counts),
        "lost": lost,
        "kept": earned / max(1.0, offered),
        "most_placed": run.most_with_permit,
        "most_out": run.most_out,
        "driver_kills": run.controller_kills,
        "killed": sorted(run.killed),
        "batches": [first.batch, second.batch],
        "new": sum(version == first.version.version for version in versions),
    }


def main() -> int:
    """Measure releases with gates and without."""
    arguments = parse_arguments(__doc__ or "", rate=120.0, seed=26)
    figures = [asyncio.run(measure(arguments.rate, arguments.seed, gated)) for gated in (True, False)]
    write_figures(arguments, {"machine": describe_machine(), "runs": figures})
    for run in figures:
        label = "with gates" if run["gated"] else "batches alone"
        print_line(
            f"{label}: {run['ends']} in {run['seconds']:.1f} s,"
            f" batches {run['batches']}, {run['new']} of 12 run the new, driver killed"
            f" {run['driver_kills']} times, {', '.join(run['killed'])} killed, out with permits"
            f" {run['most_placed']}, out in all {run['most_out']}, {run['counts']}, benefit kept"
            f" {100 * run['kept']:.1f} %"
        )
    first = figures[0]
    good = first["lost"] == 0 and first["new"] == 12 and first["ends"] == ["done", "done"]
    print_line(
        f"rollout: done in {first['seconds']:.1f} s, at most {first['most_placed']} of"
        f" {FLEET_MAX_UNAVAILABLE} out, {first['lost']} lost, benefit kept {100 * first['kept']:.1f} %"
    )
    return 0 if good and first["most_placed"] <= FLEET_MAX_UNAVAILABLE else 1


if __name__ == "__main__":
    sys.exit(main())
