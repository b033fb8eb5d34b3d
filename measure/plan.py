"""Measures the planner at 10,000 instances, and a simulated release of 1,000 nodes under random faults.

The release runs the program's agents, replicas and rollout controller on the emulator's clock. Its duration
is compared with a lower bound that is computed afterwards from the outage of each node: no sequence of these
outages could end sooner with as many nodes unavailable at a time as the budgets allow.
"""

from __future__ import annotations

import statistics
import sys
import time
from random import Random
from typing import Any

from measure.common import describe_machine, parse_arguments, print_line, write_figures
from oakkeel.disruption.topology import BudgetGroup, Topology, UnavailableTargets
from oakkeel.emulator.consensus import ConsensusSimulation
from oakkeel.emulator.faults import Fault, Schedule
from oakkeel.emulator.simulated_host import SimulatedHost
from oakkeel.rollout import commands
from oakkeel.rollout.commands import VersionSpec
from oakkeel.rollout.controller import RolloutController
from oakkeel.rollout.plan import BatchLimits, BatchPlanner, TargetObservation
from oakkeel.units import MS, SECOND

HOSTS = 100
NODES_PER_HOST = 10
SITES = 5
MAX_UNAVAILABLE = 20


def plan_durations(count: int) -> dict[str, float]:
    """Return the milliseconds that the planner takes to choose a batch, by case.

    There are `count` instances at 20 sites, with 10 instances on each host.
    """
    names = [f"n{number}" for number in range(count)]
    sites = [names[number::20] for number in range(20)]
    hosts = {f"h{number}": tuple(names[number * 10 : number * 10 + 10]) for number in range(count // 10)}
    groups = [
        BudgetGroup(f"site {number}", max(1, len(site) // 10), tuple(site))
        for number, site in enumerate(sites)
    ]
    topology = Topology(hosts, (*groups, BudgetGroup("fleet", count // 10, tuple(names))))
    planner = BatchPlanner(topology)
    random = Random(1)
    median_durations: dict[str, float] = {}
    for label, max_batch, unavailable_share in (
        ("one", 1, 0.0),  # a batch of one instance
        ("as many as may be", 500, 0.0),  # a batch of up to 500 instances
        ("a tenth out", 500, 0.1),  # the same with a tenth of the instances unavailable
    ):
        unavailable = UnavailableTargets(topology)
        observations = {name: TargetObservation(name, "serving", 1, "", 0, 0.3) for name in names}
        for name in random.sample(names, int(count * unavailable_share)):
            unavailable.add(name, "does not serve")
            observations[name].phase = "failing"
        durations = []
        for _ in range(5):
            started_at = time.perf_counter()
            planner.choose(0, names, observations, unavailable, BatchLimits(max_batch, 0.85))
            durations.append(1000 * (time.perf_counter() - started_at))
        median_durations[label] = statistics.median(durations)
    return median_durations


class DrainDurations:
    """Records when each target was drained, and the duration until the target served again."""

    def __init__(self, simulation: ConsensusSimulation) -> None:
        """Observe the events that the invariant checks receive."""
        self.drained_at: dict[str, int] = {}
        self.durations: dict[str, int] = {}
        self.max_unavailable = 0
        record_drain = simulation.audit.record_drain
        record_serving = simulation.audit.record_serving

        def on_drain(now: int, target: str, fence: int, ident: str = "") -> None:
            record_drain(now, target, fence, ident)
            self.drained_at.setdefault(target, now)
            self.max_unavailable = max(self.max_unavailable, len(self.drained_at) - len(self.durations))

        def on_serving(now: int, target: str) -> None:
            record_serving(now, target)
            if target in self.drained_at:
                self.durations.setdefault(target, now - self.drained_at[target])

        simulation.audit.record_drain = on_drain  # type: ignore[method-assign]
        simulation.audit.record_serving = on_serving  # type: ignore[method-assign]


def _random_schedule(seed: int, node_deaths: int, agent_kills: int) -> Schedule:
    """Return random times of node deaths and agent kills; two replicas are killed at fixed times."""
    random = Random(seed)
    faults = [
        Fault(
            random.randrange(4 * SECOND, 60 * SECOND),
            "die",
            random.randrange(HOSTS),
            random.randrange(NODES_PER_HOST),
        )
        for _ in range(node_deaths)
    ]
    faults += [
        Fault(
            random.randrange(4 * SECOND, 60 * SECOND),
            "kill",
            random.randrange(3, HOSTS),
            0,
            random.randrange(SECOND, 4 * SECOND),
        )
        for _ in range(agent_kills)
    ]
    faults += [Fault(20 * SECOND, "kill", 0, 0, SECOND), Fault(35 * SECOND, "kill", 1, 0, SECOND)]
    return Schedule(
        seed,
        3,
        HOSTS,
        NODES_PER_HOST,
        SITES,
        MAX_UNAVAILABLE,
        tuple(sorted(faults, key=lambda fault: fault.at)),
    )


def release(seed: int, node_deaths: int, agent_kills: int, gated: bool) -> dict[str, Any]:
    """Release 1,000 nodes on 100 hosts at 5 sites, with at most 20 unavailable at each site."""
    simulation = ConsensusSimulation(_random_schedule(seed, node_deaths, agent_kills))
    drain_durations = DrainDurations(simulation)
    simulation.clock.run(3 * SECOND)
    started_at = simulation.clock.now
    state = _follow_release(simulation, gated)
    elapsed = (simulation.clock.now - started_at) / SECOND
    outages = [duration / SECOND for duration in drain_durations.durations.values()]
    lower_bound = max(sum(outages) / (MAX_UNAVAILABLE * SITES), max(outages, default=0.0))
    return {
        "gated": gated,
        "state": state,
        "seconds": elapsed,
        "best": lower_bound,  # lower bound of the duration
        "nodes": len(outages),
        "out_s": statistics.median(outages) if outages else 0.0,
        "most": drain_durations.max_unavailable,  # most nodes drained at a time
        "breaches": simulation.audit.breaches + simulation.rollout_audit.breaches,
        "events": simulation.clock.events_processed,
    }


def _follow_release(simulation: ConsensusSimulation, gated: bool) -> str:
    """Start a release of all nodes, resume the release whenever it halts, and return its last state."""
    started_at = simulation.clock.now
    policy = commands.RolloutPolicy(
        soak=SECOND, verdict_timeout=120 * SECOND, batch_timeout=20 * SECOND, gated=gated, margin=0.05
    )
    spec = VersionSpec("good r", "here")
    propose(simulation, commands.StartRelease("r", "asha", 0, spec, policy, list(simulation.instances)))
    state = ""
    while simulation.clock.now < started_at + 600 * SECOND:
        simulation.clock.run(simulation.clock.now + 200 * MS)
        leader = leader_of(simulation)
        if leader is None or leader.control_plane is None:
            continue
        release_state = leader.control_plane.state_machine.state.releases.get("r")  # type: ignore[attr-defined]
        if release_state is None:
            continue
        state = release_state.state
        if state == "halted":
            print_line(f"  halted: {release_state.why}; resumed")
            propose(simulation, commands.ControlRelease("r", "asha", "resume"))
        if release_state.is_finished:
            break
    return str(state)


def propose(simulation: ConsensusSimulation, command: commands.Command) -> None:
    """Propose an operator's command to the leader."""
    while (leader := leader_of(simulation)) is None or leader.control_plane is None:
        simulation.clock.run(simulation.clock.now + 100 * MS)
    _, outputs = leader.control_plane.propose(leader.machine.now(), command)
    leader.replica.process_outputs(outputs)


def leader_of(simulation: ConsensusSimulation) -> SimulatedHost | None:
    """Return the host whose replica leads and holds its lease."""
    return next(
        (
            host
            for host in simulation.hosts.values()
            if host.machine.running
            and host.control_plane
            and isinstance(host.control_plane.extension, RolloutController)
            and host.control_plane.replica.holds_lease(host.machine.now())
        ),
        None,
    )


def main() -> int:
    """Run the measurement; the exit code is 1 if a release is not done or breaches an invariant."""
    arguments = parse_arguments(
        "The planner at 10,000 instances; a release of 1,000 nodes in simulated time.",
        seed=26,
        deaths=40,
        kills=8,
    )
    median_durations = {count: plan_durations(count) for count in (1000, 10_000)}
    for count, durations in median_durations.items():
        print_line(
            f"{count} instances: "
            + ", ".join(f"{label} {duration:.1f} ms" for label, duration in durations.items())
        )
    runs = []
    for gated in (False, True):
        started_at = time.monotonic()
        run = release(arguments.seed, arguments.deaths, arguments.kills, gated)
        runs.append(run)
        print_line(
            f"{'with gates' if gated else 'batches alone'}: {run['state']} after {run['seconds']:.1f} s"
            f" simulated, {run['nodes']} changed, each out {run['out_s']:.2f} s in the median, at most"
            f" {run['most']} of {MAX_UNAVAILABLE * SITES} out; at best {run['best']:.1f} s;"
            f" {run['events']} events in {time.monotonic() - started_at:.0f} s"
        )
        for breach in run["breaches"]:
            print_line(breach)
    write_figures(arguments, {"machine": describe_machine(), "turns": median_durations, "runs": runs})
    ungated_run = runs[0]
    plan_duration = median_durations[10_000]["as many as may be"]
    print_line(
        f"plan: {plan_duration:.1f} ms a turn at 10,000 instances; 1,000 nodes released in"
        f" {ungated_run['seconds']:.1f} s, {ungated_run['best'] / ungated_run['seconds']:.2f} of the best"
    )
    return 1 if any(run["breaches"] or run["state"] != "done" for run in runs) else 0


if __name__ == "__main__":
    sys.exit(main())
