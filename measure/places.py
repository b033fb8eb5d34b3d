"""The record and places at scale, in simulated time: three keepers, a thousand agents, all restarted.

The decisions are those of the program; no socket, file or process is there. An agent asks every half second,
as it would in a fleet of a thousand; an instance is out for three seconds.
"""

from __future__ import annotations

import sys
import time
from collections import deque
from typing import Any

from measure.common import keep, options, processor, say
from oakkeel.disruption import commands
from oakkeel.disruption.allocator import PermitTimeouts
from oakkeel.disruption.control_plane import ControlPlaneReplica
from oakkeel.disruption.holder import PermitHolder
from oakkeel.disruption.topology import BudgetGroup, Topology
from oakkeel.raft.durable_state import DurableState
from oakkeel.raft.memory_storage import InMemoryStorage
from oakkeel.raft.messages import Envelope
from oakkeel.raft.proposals import NotLeaderError
from oakkeel.raft.state import Output
from oakkeel.raft.timeouts import RaftTimeouts

MS = 1_000_000
SECOND = 1000 * MS
OUT = 3 * SECOND


class Fleet:
    """Three replicas of the control plane and the permit holders of all hosts, in simulated time."""

    def __init__(self, hosts: int, each: int) -> None:
        """`each` instances on each host."""
        names = [f"h{number}" for number in range(hosts)]
        things = {name: tuple(f"{name}i{number}" for number in range(each)) for name in names}
        sites = {
            f"s{number}": [
                thing for place, name in enumerate(names) if place % 20 == number for thing in things[name]
            ]
            for number in range(20)
        }
        groups = [
            BudgetGroup(f"site {site}", max(1, len(held) // 10), tuple(held)) for site, held in sites.items()
        ]
        every = tuple(thing for held in things.values() for thing in held)
        groups.append(BudgetGroup("fleet", hosts * each // 10, every))
        self.topology = Topology(things, tuple(groups))
        self.now = SECOND
        self.control_planes = {
            name: ControlPlaneReplica(
                self.now,
                InMemoryStorage(DurableState(name, f"{name}.1")).load(),
                place,
                RaftTimeouts(),
                tuple(names[:3]),
                self.topology,
                PermitTimeouts(),
            )
            for place, name in enumerate(names[:3])
        }
        self.agents = {name: PermitHolder(name, held, 1) for name, held in things.items()}
        self.back_at: dict[str, int] = {}
        self.envelopes: deque[tuple[str, Envelope]] = deque()
        self.count = {
            "polls": 0,
            "letters": 0,
            "poll_ns": 0,
            "letter_ns": 0,
            "worst_ns": 0,
            "entries": 0,
            "most_out": 0,
        }

    def carry_out(self, outputs: list[Output]) -> None:
        """Count what is stored, and put what is sent on its way."""
        for output in outputs:
            self.count["entries"] += len(output.storage_update.entries) if output.storage_update else 0
            self.envelopes += output.envelopes

    def deliver(self) -> None:
        """Deliver messages until none is on its way."""
        while self.envelopes:
            to, envelope = self.envelopes.popleft()
            if to in self.control_planes:
                began = time.perf_counter_ns()
                steps = self.control_planes[to].receive(self.now, envelope)
                self.count["letter_ns"] += time.perf_counter_ns() - began
                self.count["letters"] += 1
                self.carry_out(steps)

    def poll(self, name: str) -> None:
        """Exchange a heartbeat of one agent, which starts what was granted."""
        permit_holder = self.agents[name]
        for thing in permit_holder.targets:
            if self.back_at.get(thing, 0) and self.now >= self.back_at[thing]:
                del self.back_at[thing]
                permit_holder.mark_restored(thing)
        up = {thing: thing not in self.back_at for thing in permit_holder.targets}
        poll = permit_holder.heartbeat(self.now, up, [], {})
        leader = next(each for each in self.control_planes.values() if each.allocator)
        began = time.perf_counter_ns()
        answer, steps = leader.receive_heartbeat(self.now, poll)
        took = time.perf_counter_ns() - began
        self.count["poll_ns"] += took
        self.count["worst_ns"] = max(self.count["worst_ns"], took)
        self.count["polls"] += 1
        self.carry_out(steps)
        self.deliver()
        permit_holder.receive_response(self.now, self.now, answer)
        for place in answer.permits:
            if (
                not place.started
                and permit_holder.may_start(self.now, place.target, place.order_id)
                and place.target not in self.back_at
                and not permit_holder.permits[place.target].started
            ):
                permit_holder.start(self.now, place.target)
                self.back_at[place.target] = self.now + OUT

    def turn(self, names: list[str]) -> None:
        """Ten milliseconds, and the agents whose time it is."""
        self.now += 10 * MS
        for control_plane in self.control_planes.values():
            if control_plane.replica.next_tick_at() <= self.now:
                self.carry_out(control_plane.tick(self.now))
        self.deliver()
        for name in names:
            self.poll(name)
        self.count["most_out"] = max(self.count["most_out"], len(self.back_at))


def submit_restarts(fleet: Fleet, leader: ControlPlaneReplica) -> None:
    """Order a restart of all instances."""
    every = [thing for name in fleet.agents for thing in fleet.topology.hosts[name]]
    for place in range(0, len(every), 1000):
        try:
            _, steps = leader.propose(
                fleet.now,
                commands.SubmitOrder(
                    f"o{place}",
                    "asha",
                    "restart",
                    0,
                    3600 * SECOND,
                    False,
                    [(thing, 1) for thing in every[place : place + 1000]],
                ),
            )
        except NotLeaderError as error:
            raise RuntimeError(f"no leader in a calm simulation: {error}") from None
        fleet.carry_out(steps)
        fleet.deliver()


def play(hosts: int, each: int, most: float) -> dict[str, Any]:
    """Restart a whole fleet in simulated time, for `most` seconds at most, and return the figures."""
    fleet = Fleet(hosts, each)
    while not any(control_plane.allocator for control_plane in fleet.control_planes.values()):
        fleet.turn([])
    names = list(fleet.agents)
    slices = [names[place::50] for place in range(50)]
    for place in range(100):
        fleet.turn(slices[place % 50])
    quiet = dict(fleet.count)
    leader = next(each for each in fleet.control_planes.values() if each.allocator)
    submit_restarts(fleet, leader)
    began, real, turns = fleet.now, time.monotonic(), 0
    before = dict(fleet.count)
    while (
        any(order.open for order in leader.state_machine.state.orders.values())
        and time.monotonic() - real < most
    ):
        fleet.turn(slices[turns % 50])
        turns += 1
    took = (fleet.now - began) / SECOND
    spent = {name: value - before[name] for name, value in fleet.count.items()}
    return {
        "hosts": hosts,
        "instances": hosts * each,
        "ended": not any(order.open for order in leader.state_machine.state.orders.values()),
        "simulated_s": took,
        "real_s": time.monotonic() - real,
        "poll_us": spent["poll_ns"] / max(1, spent["polls"]) / 1000,
        "quiet_poll_us": quiet["poll_ns"] / max(1, quiet["polls"]) / 1000,
        "worst_poll_ms": fleet.count["worst_ns"] / 1e6,
        "letter_us": spent["letter_ns"] / max(1, spent["letters"]) / 1000,
        "polls_a_second": spent["polls"] / took,
        "letters_a_second": spent["letters"] / took,
        "leader_busy": (spent["poll_ns"] + spent["letter_ns"] / 2) / 1e9 / took,
        "entries": spent["entries"],
        "most_out": fleet.count["most_out"],
        "bound": hosts * each // 10,
        "snapshot_kb": len(leader.state_machine.snapshot()) / 1024,
    }


def main() -> int:
    """Play a small and a large fleet."""
    told = options(__doc__ or "", hosts=1000, each=10, most=240.0)
    figures = []
    for hosts in (told.hosts // 10, told.hosts):
        found = play(hosts, told.each, told.most)
        figures.append(found)
        say(
            f"{found['instances']} instances on {hosts} hosts restarted in {found['simulated_s']:.0f} s"
            f" simulated ({found['real_s']:.0f} s real), at most {found['most_out']} of {found['bound']} out;"
            f" {found['polls_a_second']:.0f} polls and {found['letters_a_second']:.0f} letters a second,"
            f" {found['poll_us']:.0f} us a poll ({found['quiet_poll_us']:.0f} with no order, worst"
            f" {found['worst_poll_ms']:.0f} ms), {found['letter_us']:.0f} us a letter"
        )
    keep(told, {"machine": processor(), "plays": figures})
    small, large = figures
    messages = large["polls_a_second"] + large["letters_a_second"]
    say(
        f"places: {large['instances']} instances, {large['hosts']} agents, simulated:"
        f" {large['poll_us']:.0f} us a poll, {messages:.0f} messages a second, the leader busy"
        f" {large['leader_busy']:.2f} of a core, {large['snapshot_kb']:.0f} KB a snapshot,"
        f" {large['poll_us'] / small['poll_us']:.2f} times as much a poll as with {small['hosts']}"
    )
    return 0 if all(each["ended"] and each["most_out"] <= each["bound"] for each in figures) else 1


if __name__ == "__main__":
    sys.exit(main())
