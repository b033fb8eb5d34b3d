"""Simulates policy changes while leaders change, processes stop and messages are late or lost.

Commands are committed at once; `emulator/consensus.py` simulates the replicated log. Each host has its own
clock rate. Nodes decide requests all the time, and the audit checks the policy version of each decision.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import msgspec

from oakkeel.disruption.timeouts import PermitTimeouts
from oakkeel.emulator.clock import Clock
from oakkeel.invariants.policy_change import PolicyChangeAudit
from oakkeel.policy_change.coordinator import PolicyAssignment, PolicyCoordinator, PolicyReport
from oakkeel.policy_change.policy_lease import AgentPolicyLease, NodePolicyLease
from oakkeel.policy_change.state_machine import (
    PolicyCommand,
    PolicyStateMachine,
    PolicyVersion,
    ProposePolicy,
    WithdrawPolicy,
)
from oakkeel.units import MS, SECOND

PERMIT_TIMEOUTS = PermitTimeouts()
HEARTBEAT_INTERVAL_NS = 150 * MS
LEASE_RENEWAL_INTERVAL_NS = 50 * MS
MAX_DECISION_INTERVAL_NS = 40 * MS
MIN_DECISION_INTERVAL_NS = MAX_DECISION_INTERVAL_NS // 4
LEADER_TICK_INTERVAL_NS = 50 * MS
STOPPED_RETRY_DELAY_NS = 20 * MS  # until a stopped agent attempts again to read a message
MAX_INBOX = 16  # maximum number of lease renewals queued for a node
MAX_RATE_ERROR = 0.018  # share by which the clock of a host may be fast or slow
NODES_PER_HOST = 2
CONVERGENCE_TIME_NS = 12 * SECOND  # last part of a run, in which no fault starts
EXTRA_ACTION_COUNT = 8  # faults and operators' actions in addition to the requested number
FAULT_DURATIONS_NS = (200 * MS, SECOND, 2500 * MS, 5 * SECOND)
MIN_ELECTION_TIME_NS = 600 * MS
MAX_ELECTION_TIME_NS = 2 * SECOND
MIN_NETWORK_DELAY_NS = MS
MAX_NETWORK_DELAY_NS = 5 * MS
MAX_EXTRA_DELAY_NS = 1800 * MS  # while the network is slow
# A kind is drawn in proportion to its number of entries. The order determines the faults of a seed.
FAULT_KINDS = (
    "leader",  # the leader ends, and another is elected later
    "leader",
    "cut",  # a host is disconnected
    "cut",
    "slow",  # the network is slow
    "node stops",
    "node stops",
    "node dies",
    "agent stops",
    "agent dies",
    "propose",
    "propose",
    "propose",
    "withdraw",
    "bad",  # proposes a version that a node cannot use
)


class PolicyNode:
    """A node that decides requests for as long as its lease is valid."""

    def __init__(self, host: PolicyHost, name: str) -> None:
        """Start the node on a host."""
        self.host = host
        self.name = name
        self.lease = NodePolicyLease()
        self.stopped = False
        self.incarnation = 0
        self.inbox: list[tuple[int, int]] = []  # lease renewals: policy version, end of the lease
        host.agent.record_node_start(name)
        host.simulation.clock.call_after(host.random.randrange(MAX_DECISION_INTERVAL_NS), self.decide, 0)

    def start(self) -> None:
        """Start a new process of the node, without a lease."""
        self.incarnation += 1
        self.lease = NodePolicyLease()
        self.inbox = []
        self.stopped = False
        self.host.agent.remove_node(self.name)
        self.host.agent.record_node_start(self.name)
        self.host.simulation.clock.call_after(MAX_DECISION_INTERVAL_NS, self.decide, self.incarnation)

    def decide(self, incarnation: int) -> None:
        """Decide a request, then read the lease renewals received since the last decision.

        In this order a node that was stopped decides before it reads the renewals sent during the stop.
        """
        if incarnation != self.incarnation:
            return
        simulation = self.host.simulation
        now = self.host.now()
        if not self.stopped:
            if self.lease.may_decide(now):
                simulation.audit.record_decision(simulation.clock.now, self.name, self.lease.number)
            renewals = self.inbox
            self.inbox = []
            for number, until in renewals:
                self.lease.renew(now, number, until)
            if renewals:
                self.host.agent.record_node_version(self.name, self.lease.number)
        simulation.clock.call_after(
            self.host.random.randrange(MIN_DECISION_INTERVAL_NS, MAX_DECISION_INTERVAL_NS),
            self.decide,
            incarnation,
        )


class PolicyHost:
    """A host with an agent, nodes and its own clock."""

    def __init__(self, simulation: PolicySimulation, name: str) -> None:
        """Start the agent and its nodes."""
        self.simulation = simulation
        self.name = name
        self.random = Random(f"{simulation.seed} {name}")
        self.rate = 1 + self.random.uniform(-MAX_RATE_ERROR, MAX_RATE_ERROR)
        self.offset = self.random.randrange(10 * SECOND)  # time of the host's clock at the true time 0
        self.agent = AgentPolicyLease()
        self.stopped = False
        self.incarnation = 0
        self.nodes = [PolicyNode(self, f"{name}n{number}") for number in range(NODES_PER_HOST)]
        self.unusable_version = 0  # a proposed version that a node of this host cannot use
        simulation.clock.call_after(self.random.randrange(HEARTBEAT_INTERVAL_NS), self.send_report, 0)
        simulation.clock.call_after(self.random.randrange(LEASE_RENEWAL_INTERVAL_NS), self.renew_nodes, 0)

    def now(self) -> int:
        """Return the time of the host's clock."""
        return self.offset + int(self.simulation.clock.now * self.rate)

    def start(self) -> None:
        """Start a new process of the agent; the nodes keep their leases."""
        self.incarnation += 1
        self.agent = AgentPolicyLease()
        self.stopped = False
        for node in self.nodes:
            self.agent.record_node_start(node.name)
        self.simulation.clock.call_after(HEARTBEAT_INTERVAL_NS, self.send_report, self.incarnation)
        self.simulation.clock.call_after(LEASE_RENEWAL_INTERVAL_NS, self.renew_nodes, self.incarnation)

    def send_report(self, incarnation: int) -> None:
        """Send a heartbeat to the leader, and schedule the next heartbeat."""
        if incarnation != self.incarnation:
            return
        if not self.stopped:
            agent = self.agent
            if (
                agent.proposed_number
                and agent.ready_version != agent.proposed_number
                and not agent.refused_version
            ):
                agent.record_acceptance(
                    agent.proposed_number,
                    "this host cannot use it" if agent.proposed_number == self.unusable_version else "",
                )
            sent_at = self.now()
            true_sent_at = self.simulation.clock.now
            self.simulation.send(
                self.name,
                self.simulation.receive_report,
                self,
                incarnation,
                sent_at,
                true_sent_at,
                agent.report(),
            )
        self.simulation.clock.call_after(HEARTBEAT_INTERVAL_NS, self.send_report, incarnation)

    def receive_assignment(self, incarnation: int, sent_at: int, assignment: PolicyAssignment) -> None:
        """Handle the leader's response to a heartbeat of the agent's process `incarnation`."""
        if incarnation != self.incarnation:
            return
        if self.stopped:
            self.simulation.clock.call_after(
                STOPPED_RETRY_DELAY_NS, self.receive_assignment, incarnation, sent_at, assignment
            )
            return
        self.agent.receive_assignment(sent_at, assignment)

    def renew_nodes(self, incarnation: int) -> None:
        """Renew the leases of the nodes, and schedule the next renewal."""
        if incarnation != self.incarnation:
            return
        if not self.stopped:
            number, until = self.agent.node_lease()
            for node in self.nodes:
                if until:
                    node.inbox = [*node.inbox, (number, until)][-MAX_INBOX:]
        self.simulation.clock.call_after(LEASE_RENEWAL_INTERVAL_NS, self.renew_nodes, incarnation)


class PolicySimulation:
    """A simulation of hosts with drawn faults and changes of the leader."""

    def __init__(self, seed: int, hosts: int = 4, faults: int = 10, duration: int = 40 * SECOND) -> None:
        """Draw `faults` + EXTRA_ACTION_COUNT faults and actions of a seed; `duration` in nanoseconds."""
        self.seed = seed
        self.clock = Clock()
        self.audit = PolicyChangeAudit()
        self.random = Random(seed)
        self.duration = duration
        self.index = 0  # of the last committed command
        self.state_machine = PolicyStateMachine()
        self.names = tuple(f"h{number}" for number in range(hosts))
        self.disconnected_until: dict[str, int] = {}  # true time by host
        self.slow_until = 0
        self.coordinator: PolicyCoordinator | None = None
        self.leader_count = 0
        self.hosts = {name: PolicyHost(self, name) for name in self.names}
        self.clock.call_at(100 * MS, self.elect_leader)
        self.clock.call_at(200 * MS, self.tick)
        for _ in range(faults + EXTRA_ACTION_COUNT):
            self.clock.call_at(
                self.random.randrange(SECOND, duration - CONVERGENCE_TIME_NS),
                self.inject_fault,
                self.random.choice(FAULT_KINDS),
            )

    def apply(self, command: PolicyCommand) -> object:
        """Commit a command at once and return its result."""
        self.index += 1
        result = self.state_machine.apply(self.index, msgspec.msgpack.encode(command))
        for policy in self.state_machine.state.policies.values():
            if policy.state in ("withdrawn", "refused"):
                self.audit.record_refused_or_withdrawn(self.clock.now, policy.number)
            elif policy.state == "in force":
                self.audit.record_in_force(self.clock.now, policy.number)
        return result

    def elect_leader(self) -> None:
        """Start a coordinator on a new leader."""
        self.leader_count += 1
        self.coordinator = PolicyCoordinator(self.clock.now, self.state_machine, self.names, PERMIT_TIMEOUTS)

    def tick(self) -> None:
        """Commit the commands due by the leader's timers, and schedule the next tick."""
        if self.coordinator:
            for command in self.coordinator.tick(self.clock.now):
                self.apply(command)
        self.clock.call_after(LEADER_TICK_INTERVAL_NS, self.tick)

    def send(self, host: str, callback: Callable[..., None], *arguments: object) -> None:
        """Call `callback` after a network delay, unless the host is disconnected."""
        if self.clock.now < self.disconnected_until.get(host, 0):
            return
        delay = self.random.randrange(MIN_NETWORK_DELAY_NS, MAX_NETWORK_DELAY_NS)
        if self.clock.now < self.slow_until:
            delay += self.random.randrange(MAX_EXTRA_DELAY_NS)
        self.clock.call_after(delay, callback, *arguments)

    def receive_report(
        self, host: PolicyHost, incarnation: int, sent_at: int, true_sent_at: int, report: PolicyReport
    ) -> None:
        """Handle a heartbeat, sent at `sent_at` by the clock of the host and `true_sent_at` in true time."""
        if self.coordinator is None:
            return
        for command in self.coordinator.receive_report(self.clock.now, host.name, report, true_sent_at):
            self.apply(command)
        assignment = self.coordinator.assign(self.clock.now, host.name, report)
        self.send(host.name, host.receive_assignment, incarnation, sent_at, assignment)

    def inject_fault(self, kind: str) -> None:
        """Inject a fault of the given kind into a random host or node."""
        random = self.random
        now = self.clock.now
        host = self.hosts[random.choice(self.names)]
        node = random.choice(host.nodes)
        duration = random.choice(FAULT_DURATIONS_NS)
        if kind == "leader" and self.coordinator:
            self.coordinator = None
            self.clock.call_after(
                random.randrange(MIN_ELECTION_TIME_NS, MAX_ELECTION_TIME_NS), self.elect_leader
            )
        elif kind == "cut":
            self.disconnected_until[host.name] = now + duration
        elif kind == "slow":
            self.slow_until = now + duration
        elif kind in ("node stops", "agent stops"):
            process: PolicyNode | PolicyHost = node if kind == "node stops" else host
            process.stopped = True
            self.clock.call_after(duration, setattr, process, "stopped", False)
        elif kind == "node dies":
            node.start()
        elif kind == "agent dies":
            host.start()
        elif kind == "propose":
            decided = self.state_machine.state.decided
            self.apply(ProposePolicy(f"c{now}", "asha", 0, "", decided, b"%d" % now))
        elif kind == "withdraw" and self.state_machine.proposed:
            self.apply(WithdrawPolicy(self.state_machine.proposed.number, "ravi"))
        elif kind == "bad":
            result = self.apply(
                ProposePolicy(f"b{now}", "ravi", 0, "", self.state_machine.state.decided, b"bad")
            )
            if isinstance(result, PolicyVersion):
                host.unusable_version = result.number

    def run(self) -> list[str]:
        """Run the simulation to its end and return the breaches."""
        self.clock.run(self.duration)
        return self.audit.breaches

    def convergence_failures(self) -> list[str]:
        """Describe the versions that are still open and the nodes that do not use the decided version."""
        problems = [
            f"version {policy.number} is {policy.state}"
            for policy in self.state_machine.state.policies.values()
            if policy.state in ("proposed", "decided")
        ]
        for host in self.hosts.values():
            for node in host.nodes:
                if node.lease.number != self.state_machine.state.decided or not node.lease.may_decide(
                    host.now()
                ):
                    problems.append(
                        f"{node.name} uses version {node.lease.number}, {node.lease.status.value}"
                    )
        return problems
