"""Measures the release of twelve real nodes and two downstream services under load, with processes killed.

Each of the six hosts at two sites has an agent, and three agents are replicas. The rollout controller is
killed five times and three nodes once each. For comparison, a second run has no gates: its batches are
released as fast as the budgets allow.
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
NODE_NAMES = [name for names in HOSTS.values() for name in names]
MAX_UNAVAILABLE = 4
# The replacement of a service makes six nodes unavailable, which the limit of the fleet must allow.
FLEET_MAX_UNAVAILABLE = 7
REQUEST_CLASSES: list[dict[str, Any]] = NODE_SETTINGS["classes"]  # type: ignore[assignment]
PRIORITY_WEIGHTS = {str(group["name"]): float(group.get("worth", 1.0)) for group in REQUEST_CLASSES}
SERVICE_BY_NODE = {name: ("db1", "db2")[number % 2] for number, name in enumerate(NODE_NAMES)}


class WeightCountingDispatcher(Dispatcher):
    """Counts the priority weight of all requests, and of the requests completed in time."""

    offered = earned = 0.0

    def on_request_sent(self, request_id: str, sent: SentRequest) -> None:
        """Add the weight of a request that is sent."""
        self.offered += PRIORITY_WEIGHTS[sent.request_class]

    def on_request_end(self, sent: SentRequest, outcome: str) -> str:
        """Add the weight of a request if it was completed in time."""
        if outcome == "ok":
            self.earned += PRIORITY_WEIGHTS[sent.request_class]
        return super().on_request_end(sent, outcome)


class Load:
    """Dispatchers that send requests, and the outcomes of the requests."""

    def __init__(self, rig: ProcessRig, rate: float, seed: int) -> None:
        """Send `rate` requests a second in all."""
        self.rig = rig
        self.addresses: dict[str, Address] = {}
        self.dispatchers = [
            WeightCountingDispatcher(number, self.open_nodes, rate / 2, seed + number) for number in (1, 2)
        ]
        self.address_task: asyncio.Task[None] | None = None

    def open_nodes(self) -> dict[str, Address]:
        """Return the addresses of the nodes that the directory lists."""
        listed = self.rig.site.directory.open_nodes()
        return {name: self.addresses[name] for name in listed if name in self.addresses}

    async def start(self) -> None:
        """Start to send requests."""
        self.address_task = asyncio.ensure_future(self._update_addresses())
        await asyncio.sleep(0.5)
        for dispatcher in self.dispatchers:
            dispatcher.start()

    async def _update_addresses(self) -> None:
        while True:
            for name, status in (await self.rig.instance_statuses()).items():
                if status.report:
                    host, _, port = status.report.address.rpartition(":")
                    self.addresses[name] = host, int(port)
            await asyncio.sleep(0.1)

    @property
    def counts(self) -> Counter[str]:
        """Return the number of requests by outcome."""
        return sum((dispatcher.counts for dispatcher in self.dispatchers), Counter())

    @property
    def weights(self) -> tuple[float, float]:
        """Return the priority weight of all requests, and of the requests completed in time."""
        return (
            sum(dispatcher.offered for dispatcher in self.dispatchers),
            sum(dispatcher.earned for dispatcher in self.dispatchers),
        )

    def count_lost_except(self, killed: set[str]) -> int:
        """Return the number of requests without a response at nodes that were not killed."""
        return sum(
            dispatcher.counts_by_node[name][outcome]
            for dispatcher in self.dispatchers
            for name in NODE_NAMES
            if name not in killed and name in dispatcher.counts_by_node
            for outcome in ("lost", "late")
        )

    async def stop(self) -> None:
        """Stop sending requests."""
        if self.address_task:
            self.address_task.cancel()
        for dispatcher in self.dispatchers:
            await dispatcher.stop()


class RolloutRun:
    """Releases on a rig with faults in progress, and the largest numbers of unavailable nodes."""

    def __init__(
        self, rig: ProcessRig, services: dict[str, Catalogue], ports: dict[str, int], seed: int
    ) -> None:
        """Use a rig; the services and their ports are given by name."""
        self.rig = rig
        self.services = services
        self.ports = ports
        self.random = Random(seed)
        self.killed_nodes: set[str] = set()
        # Replaced services, whose connections stay open until the end.
        self.stopped_services: list[Catalogue] = []
        self.controller_kills = 0
        self.max_unavailable = 0
        self.max_with_permit = 0
        self.is_finished = False

    async def request_leader(self, request: messages.Request) -> messages.Response:
        """Return the leader's response; retry as long as there is no leader."""
        while True:
            try:
                return await self.rig.clients.request_leader(request)
            except NoLeaderError:
                await asyncio.sleep(0.05)

    async def watch_unavailable(self) -> None:
        """Record the largest number of nodes that the leader counts as unavailable, in all and by permit."""
        while not self.is_finished:
            try:
                unavailable = (await self.rig.fleet_status()).unavailable
                with_permit = {entry.target for entry in unavailable if entry.fencing_token}
                dependent_nodes = {
                    name for name, service in SERVICE_BY_NODE.items() if service in with_permit
                }
                self.max_with_permit = max(
                    self.max_with_permit, len(with_permit & set(NODE_NAMES) | dependent_nodes)
                )
                known_unavailable = [
                    entry
                    for entry in unavailable
                    if entry.target in NODE_NAMES and entry.reasons != ["not known"]
                ]
                self.max_unavailable = max(self.max_unavailable, len(known_unavailable))
            except (NoLeaderError, UnexpectedResponseError):
                pass
            await asyncio.sleep(0.03)

    async def release(
        self,
        release_id: str,
        spec: VersionSpec,
        targets: list[str],
        policy: RolloutPolicy,
        controller_kills: int,
        remaining_node_kills: int,
    ) -> messages.ReleaseStatus:
        """Start a release, kill controllers and nodes during the release, and return its final status."""
        response = await self.request_leader(messages.StartReleaseRequest(release_id, spec, policy, targets))
        _require_status(response)
        last_step = -1
        next_kill = 2
        step_kills = 0
        while True:
            response = await self.request_leader(messages.ReleaseStatusRequest(release_id))
            status = _require_status(response)
            if status.state in ("done", "undone", "left"):
                return status
            if status.state == "halted":
                print_line(f"  {release_id} is halted: {status.why}; resumed")
                await self.request_leader(messages.ControlReleaseRequest(release_id, "resume"))
            if status.step > last_step and status.step >= next_kill and step_kills < controller_kills:
                await self._kill_controller()
                step_kills += 1
                next_kill = status.step + 1
            if status.batch >= 2 and remaining_node_kills and self.random.random() < 0.2:
                self._kill_node()
                remaining_node_kills -= 1
            last_step = status.step
            if spec.services:
                await self.replace_services(status)
            await asyncio.sleep(0.05)

    async def _kill_controller(self) -> None:
        leader = await self.rig.wait_for_leader()
        await self.rig.kill_agent(leader)
        self.controller_kills += 1
        await asyncio.sleep(self.random.uniform(0.1, 0.5))
        await self.rig.start_agent(leader)

    def _kill_node(self) -> None:
        name = self.random.choice([entry for entry in NODE_NAMES if entry not in self.killed_nodes])
        self.killed_nodes.add(name)
        self.rig.kill_node(name)

    async def replace_services(self, status: messages.ReleaseStatus) -> None:
        """Replace each service that holds a permit, as an operator would."""
        for target in status.targets:
            if target.state != "changing" or target.target not in self.services:
                continue
            try:
                unavailable = (await self.rig.fleet_status()).unavailable
            except (NoLeaderError, UnexpectedResponseError):
                return
            if not any(entry.target == target.target and entry.fencing_token for entry in unavailable):
                continue
            old_service = self.services.pop(target.target)
            old_service.stop_listening()
            self.stopped_services.append(old_service)
            await asyncio.sleep(1.5)
            self.services[target.target + " new"] = new_service = Catalogue()
            await new_service.open(self.ports[target.target])


def _require_status(response: messages.Response) -> messages.ReleaseStatus:
    if not isinstance(response, messages.ReleaseStatus):
        raise UnexpectedResponseError(f"the response is not the status of a release: {response}")
    return response


def copy_program(folder: str, name: str) -> VersionSpec:
    """Copy the current program with one more file, so that the version differs but not the behaviour."""
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
            dependencies=SERVICE_BY_NODE,
            supervision='<supervision silent="2s" start="10s" drain="6s" backoff="200ms"/>',
        ),
    )
    site.catalogues = {name: f"127.0.0.1:{ports[service]}" for name, service in SERVICE_BY_NODE.items()}
    return site


async def measure(rate: float, seed: int, gated: bool) -> dict[str, Any]:
    """Release all nodes and services once under load; return the figures."""
    with tempfile.TemporaryDirectory(prefix="oakkeel-") as folder:
        ports = {"db1": free_port(), "db2": free_port()}
        services = {name: Catalogue() for name in ports}
        for name, service in services.items():
            await service.open(ports[name])
        rig = ProcessRig(_make_site(folder, seed, ports), seed, with_real_nodes=True)
        run = RolloutRun(rig, dict(services), ports, seed)
        try:
            await rig.open()
            await rig.wait_for_leader()
            await rig.wait_until_serving()
            return await _measure_release(run, Load(rig, rate, seed), folder, gated)
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
    nodes = await run.release("nodes", copy_program(folder, "v2"), NODE_NAMES, policy, 3, 3)
    policy = RolloutPolicy(soak=SECOND, batch_timeout=30 * SECOND, gated=False)
    services = await run.release("below", VersionSpec("db-2", services=True), ["db1", "db2"], policy, 2, 0)
    return nodes, services


async def _measure_release(run: RolloutRun, load: Load, folder: str, gated: bool) -> dict[str, Any]:
    """Release the nodes, then the services, under load; return the figures."""
    await load.start()
    watch_task = asyncio.ensure_future(run.watch_unavailable())
    await asyncio.sleep(3.0)
    counts_before = load.counts
    weights_before = load.weights
    started_at = time.monotonic()
    node_release, service_release = await _release_both(run, folder, gated)
    elapsed = time.monotonic() - started_at
    counts = load.counts - counts_before
    offered, earned = (total - at_start for total, at_start in zip(load.weights, weights_before, strict=True))
    lost = load.count_lost_except(run.killed_nodes)
    await run.rig.wait_until_serving(timeout=60)
    run.is_finished = True
    await watch_task
    await load.stop()
    rows = await run.rig.instance_statuses()
    versions = [row.report.version if row.report else "" for row in rows.values()]
    offered += counts["unsent"] * sum(PRIORITY_WEIGHTS.values()) / len(PRIORITY_WEIGHTS)
    return {
        "gated": gated,
        "seconds": elapsed,
        "ends": [node_release.state, service_release.state],
        "counts": dict(counts),
        "lost": lost,
        "kept": earned / max(1.0, offered),  # fraction of the priority weight completed in time
        "most_placed": run.max_with_permit,  # most nodes unavailable by permit
        "most_out": run.max_unavailable,  # most nodes known to be unavailable, with or without a permit
        "driver_kills": run.controller_kills,  # kills of the rollout controller
        "killed": sorted(run.killed_nodes),
        "batches": [node_release.batch, service_release.batch],
        "new": sum(version == node_release.version.version for version in versions),
    }


def main() -> int:
    """Run the measurement; the exit code is 1 if the gated run fails, loses requests or exceeds a budget."""
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
    gated_run = figures[0]
    succeeded = gated_run["lost"] == 0 and gated_run["new"] == 12 and gated_run["ends"] == ["done", "done"]
    print_line(
        f"rollout: done in {gated_run['seconds']:.1f} s, at most {gated_run['most_placed']} of"
        f" {FLEET_MAX_UNAVAILABLE} out, {gated_run['lost']} lost,"
        f" benefit kept {100 * gated_run['kept']:.1f} %"
    )
    return 0 if succeeded and gated_run["most_placed"] <= FLEET_MAX_UNAVAILABLE else 1


if __name__ == "__main__":
    sys.exit(main())
