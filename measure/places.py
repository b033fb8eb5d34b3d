"""Measures consensus and permits in a simulated restart of all instances of 1,000 agents, with 3 replicas.

The program's own decision code runs without sockets, files or processes. An agent sends a heartbeat every
half second, as in a fleet of a thousand agents; the restart of an instance takes three seconds.
"""

from __future__ import annotations

import sys
import time
from collections import deque
from dataclasses import dataclass, replace
from typing import Any

from measure.common import describe_machine, parse_arguments, print_line, write_figures
from oakkeel.disruption import commands
from oakkeel.disruption.control_plane import ControlPlaneReplica, ReplicaSettings
from oakkeel.disruption.holder import PermitHolder
from oakkeel.disruption.topology import BudgetGroup, Topology
from oakkeel.raft.durable_state import DurableState
from oakkeel.raft.memory_storage import InMemoryStorage
from oakkeel.raft.messages import Envelope
from oakkeel.raft.proposals import NotLeaderError
from oakkeel.raft.state import Output
from oakkeel.units import MS, SECOND

RESTART_TIME_NS = 3 * SECOND
SITE_COUNT = 20


def make_topology(hosts: int, instances_per_host: int) -> Topology:
    """Return hosts at twenty sites; a tenth of each site and of the fleet may be unavailable."""
    names = [f"h{number}" for number in range(hosts)]
    targets = {name: tuple(f"{name}i{number}" for number in range(instances_per_host)) for name in names}
    groups = []
    for site in range(SITE_COUNT):
        members = tuple(target for name in names[site::SITE_COUNT] for target in targets[name])
        groups.append(BudgetGroup(f"site s{site}", max(1, len(members) // 10), members))
    all_targets = tuple(target for members in targets.values() for target in members)
    groups.append(BudgetGroup("fleet", hosts * instances_per_host // 10, all_targets))
    return Topology(targets, tuple(groups))


@dataclass(slots=True)
class Counts:
    """Numbers of heartbeats, envelopes and log entries, and the nanoseconds spent to handle them."""

    heartbeats: int = 0
    heartbeat_ns: int = 0
    max_heartbeat_ns: int = 0
    envelopes: int = 0
    envelope_ns: int = 0
    entries: int = 0
    max_unavailable: int = 0


class Fleet:
    """Three replicas of the control plane and the permit holders of all hosts, in simulated time."""

    def __init__(self, topology: Topology) -> None:
        """Run the replicas on the first three hosts."""
        self.topology = topology
        self.now = SECOND
        voters = tuple(topology.hosts)[:3]
        self.control_planes = {
            name: ControlPlaneReplica(
                self.now,
                InMemoryStorage(DurableState(name, f"{name}.1")).load(),
                seed,
                ReplicaSettings(voters, topology),
            )
            for seed, name in enumerate(voters)
        }
        self.agents = {name: PermitHolder(name, targets, 1) for name, targets in topology.hosts.items()}
        self.restart_end_by_target: dict[str, int] = {}
        self.envelopes: deque[tuple[str, Envelope]] = deque()
        self.counts = Counts()

    @property
    def leader(self) -> ControlPlaneReplica | None:
        """Return the replica that allocates permits, if any."""
        return next((plane for plane in self.control_planes.values() if plane.allocator), None)

    def process_outputs(self, outputs: list[Output]) -> None:
        """Count the stored log entries, and queue the envelopes to send."""
        for output in outputs:
            self.counts.entries += len(output.storage_update.entries) if output.storage_update else 0
            self.envelopes += output.envelopes

    def deliver(self) -> None:
        """Deliver messages until none is in flight."""
        while self.envelopes:
            recipient, envelope = self.envelopes.popleft()
            if recipient in self.control_planes:
                started_at = time.perf_counter_ns()
                outputs = self.control_planes[recipient].receive(self.now, envelope)
                self.counts.envelope_ns += time.perf_counter_ns() - started_at
                self.counts.envelopes += 1
                self.process_outputs(outputs)

    def send_heartbeat(self, name: str) -> None:
        """Exchange a heartbeat of one agent, which starts the restarts that were granted."""
        holder = self.agents[name]
        self._mark_restored(holder)
        up_by_target = {target: target not in self.restart_end_by_target for target in holder.targets}
        heartbeat = holder.build_heartbeat(self.now, up_by_target, [], {})
        leader = require_leader(self)
        started_at = time.perf_counter_ns()
        response, outputs = leader.receive_heartbeat(self.now, heartbeat)
        elapsed = time.perf_counter_ns() - started_at
        self.counts.heartbeat_ns += elapsed
        self.counts.max_heartbeat_ns = max(self.counts.max_heartbeat_ns, elapsed)
        self.counts.heartbeats += 1
        self.process_outputs(outputs)
        self.deliver()
        holder.receive_response(self.now, self.now, response)
        for permit in response.permits:
            if (
                not permit.started
                and holder.may_start(self.now, permit.target, permit.order_id)
                and permit.target not in self.restart_end_by_target
                and not holder.permits[permit.target].started
            ):
                holder.start(self.now, permit.target)
                self.restart_end_by_target[permit.target] = self.now + RESTART_TIME_NS

    def _mark_restored(self, holder: PermitHolder) -> None:
        for target in holder.targets:
            if self.restart_end_by_target.get(target, 0) and self.now >= self.restart_end_by_target[target]:
                del self.restart_end_by_target[target]
                holder.mark_restored(target)

    def advance(self, names: list[str]) -> None:
        """Advance the time by ten milliseconds; the named agents send a heartbeat."""
        self.now += 10 * MS
        for control_plane in self.control_planes.values():
            if control_plane.replica.next_tick_at() <= self.now:
                self.process_outputs(control_plane.tick(self.now))
        self.deliver()
        for name in names:
            self.send_heartbeat(name)
        self.counts.max_unavailable = max(self.counts.max_unavailable, len(self.restart_end_by_target))


def require_leader(fleet: Fleet) -> ControlPlaneReplica:
    """Return the leader of a fleet; a simulation without faults always has a leader."""
    if (leader := fleet.leader) is None:
        raise NotLeaderError("", "no leader in a simulation without faults")
    return leader


def submit_restarts(fleet: Fleet, leader: ControlPlaneReplica) -> None:
    """Order a restart of all instances, in orders of a thousand instances each."""
    targets = [target for name in fleet.agents for target in fleet.topology.hosts[name]]
    for first in range(0, len(targets), 1000):
        order_targets = [(target, 1) for target in targets[first : first + 1000]]
        order = commands.SubmitOrder(f"o{first}", "asha", "restart", 0, 3600 * SECOND, False, order_targets)
        _, outputs = leader.propose(fleet.now, order)
        fleet.process_outputs(outputs)
        fleet.deliver()


def has_open_orders(leader: ControlPlaneReplica) -> bool:
    """Return whether at least one order is open."""
    return any(order.is_open for order in leader.state_machine.state.orders.values())


def measure_restart(hosts: int, instances_per_host: int, real_limit: float) -> dict[str, Any]:
    """Restart a fleet in simulated time, for at most `real_limit` real seconds; return the figures."""
    fleet = Fleet(make_topology(hosts, instances_per_host))
    while fleet.leader is None:
        fleet.advance([])
    names = list(fleet.agents)
    heartbeat_groups = [names[index::50] for index in range(50)]
    for index in range(100):
        fleet.advance(heartbeat_groups[index % 50])
    idle_counts = replace(fleet.counts)
    leader = require_leader(fleet)
    submit_restarts(fleet, leader)
    counts_before = replace(fleet.counts)
    started_at = fleet.now
    real_started_at = time.monotonic()
    ticks = 0
    while has_open_orders(leader) and time.monotonic() - real_started_at < real_limit:
        fleet.advance(heartbeat_groups[ticks % 50])
        ticks += 1
    return {
        "hosts": hosts,
        "instances": hosts * instances_per_host,
        "ended": not has_open_orders(leader),  # whether the restart ended within `real_limit`
        "real_s": time.monotonic() - real_started_at,
        **collect_figures(fleet.counts, counts_before, idle_counts, (fleet.now - started_at) / SECOND),
        "bound": hosts * instances_per_host // 10,  # maximum unavailable of the fleet
        "snapshot_kb": len(leader.state_machine.snapshot()) / 1024,
    }


def collect_figures(
    counts: Counts, counts_before: Counts, idle_counts: Counts, seconds: float
) -> dict[str, Any]:
    """Return the figures of a restart that took some simulated seconds, under their JSON keys."""
    heartbeats = counts.heartbeats - counts_before.heartbeats
    heartbeat_ns = counts.heartbeat_ns - counts_before.heartbeat_ns
    envelopes = counts.envelopes - counts_before.envelopes
    envelope_ns = counts.envelope_ns - counts_before.envelope_ns
    return {
        "simulated_s": seconds,
        # A "poll" is a heartbeat, and a "letter" is an envelope.
        "poll_us": heartbeat_ns / max(1, heartbeats) / 1000,
        "quiet_poll_us": idle_counts.heartbeat_ns / max(1, idle_counts.heartbeats) / 1000,  # with no order
        "worst_poll_ms": counts.max_heartbeat_ns / 1e6,
        "letter_us": envelope_ns / max(1, envelopes) / 1000,
        "polls_a_second": heartbeats / seconds,
        "letters_a_second": envelopes / seconds,
        "leader_busy": (heartbeat_ns + envelope_ns / 2) / 1e9 / seconds,
        "entries": counts.entries - counts_before.entries,  # log entries stored by all replicas
        "most_out": counts.max_unavailable,  # most instances that restart at a time
    }


def main() -> int:
    """Run the measurement; the exit code is 1 if a restart does not end or exceeds the budget."""
    arguments = parse_arguments(__doc__ or "", hosts=1000, each=10, most=240.0)
    figures = []
    for hosts in (arguments.hosts // 10, arguments.hosts):
        run = measure_restart(hosts, arguments.each, arguments.most)
        figures.append(run)
        print_line(
            f"{run['instances']} instances on {hosts} hosts restarted in {run['simulated_s']:.0f} s"
            f" simulated ({run['real_s']:.0f} s real), at most {run['most_out']} of {run['bound']} out;"
            f" {run['polls_a_second']:.0f} heartbeats and {run['letters_a_second']:.0f} messages a second,"
            f" {run['poll_us']:.0f} us a heartbeat ({run['quiet_poll_us']:.0f} with no order, worst"
            f" {run['worst_poll_ms']:.0f} ms), {run['letter_us']:.0f} us a message"
        )
    write_figures(arguments, {"machine": describe_machine(), "plays": figures})
    small, large = figures
    messages = large["polls_a_second"] + large["letters_a_second"]
    print_line(
        f"places: {large['instances']} instances, {large['hosts']} agents, simulated:"
        f" {large['poll_us']:.0f} us a poll, {messages:.0f} messages a second, the leader busy"
        f" {large['leader_busy']:.2f} of a core, {large['snapshot_kb']:.0f} KB a snapshot,"
        f" {large['poll_us'] / small['poll_us']:.2f} times as much a poll as with {small['hosts']}"
    )
    return 0 if all(run["ended"] and run["most_out"] <= run["bound"] for run in figures) else 1


if __name__ == "__main__":
    sys.exit(main())
