"""Changes of policy in simulated time: leaders come and go, hosts have clocks of their own, nodes stop.

The record itself is taken as agreed (`emulator/agreement.py` plays that); what is drawn is who leads when,
which messages come late or never, and what dies or stands still. Nodes decide exchanges all the time.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import msgspec

from oakkeel.disruption.state import Rejection
from oakkeel.disruption.timeouts import PermitTimeouts
from oakkeel.emulator.clock import Clock
from oakkeel.invariants.policy_change import PolicyChangeAudit
from oakkeel.policy_change.coordinator import PolicyAssignment, PolicyCoordinator, PolicyReport
from oakkeel.policy_change.policy_lease import AgentPolicyLease, NodePolicyLease
from oakkeel.policy_change.state_machine import (
    PolicyCommand,
    PolicyStateMachine,
    ProposePolicy,
    WithdrawPolicy,
)
from oakkeel.units import MS, SECOND

TERMS = PermitTimeouts()
POLL, TELL, DECIDE = 150 * MS, 50 * MS, 40 * MS


class PolicyNode:
    """A node that decides requests all the time, while its lease holds."""

    def __init__(self, host: PolicyHost, name: str) -> None:
        """Start it on a host."""
        self.host, self.name = host, name
        self.lease, self.stopped, self.incarnation = NodePolicyLease(), False, 0
        self.inbox: list[tuple[int, int]] = []
        host.agent.node_started(name)
        host.simulation.clock.after(host.random.randrange(DECIDE), self.decide, 0)

    def start(self) -> None:
        """Start another process of it, which knows nothing."""
        self.incarnation += 1
        self.lease, self.inbox, self.stopped = NodePolicyLease(), [], False
        self.host.agent.node_stopped(self.name)
        self.host.agent.node_started(self.name)
        self.host.simulation.clock.after(DECIDE, self.decide, self.incarnation)

    def decide(self, incarnation: int) -> None:
        """Decide a request; what came while it stood still is read after that."""
        if incarnation != self.incarnation:
            return
        simulation, now = self.host.simulation, self.host.now()
        if not self.stopped:
            if self.lease.may_decide(now):
                simulation.audit.record_decision(simulation.clock.now, self.name, self.lease.number)
            received, self.inbox = self.inbox, []
            for number, until in received:
                self.lease.renew(now, number, until)
            if received:
                self.host.agent.node_reported(self.name, self.lease.number)
        simulation.clock.after(self.host.random.randrange(DECIDE // 4, DECIDE), self.decide, incarnation)


class PolicyHost:
    """A host with an agent, two nodes and a clock of its own."""

    def __init__(self, simulation: PolicySimulation, name: str) -> None:
        """Start all of it."""
        self.simulation, self.name = simulation, name
        self.random = Random(f"{simulation.seed} {name}")
        self.rate, self.offset = 1 + self.random.uniform(-0.018, 0.018), self.random.randrange(10 * SECOND)
        self.agent, self.stopped, self.incarnation = AgentPolicyLease(), False, 0
        self.nodes = [PolicyNode(self, f"{name}n{number}") for number in range(2)]
        self.unusable_version = 0  # a proposed version that one of its nodes can't take
        simulation.clock.after(self.random.randrange(POLL), self.send_report, 0)
        simulation.clock.after(self.random.randrange(TELL), self.renew_nodes, 0)

    def now(self) -> int:
        """Return the time by the clock of the host."""
        return self.offset + int(self.simulation.clock.now * self.rate)

    def start(self) -> None:
        """Start another process of its agent; the nodes go on with their leases."""
        self.incarnation += 1
        self.agent, self.stopped = AgentPolicyLease(), False
        for node in self.nodes:
            self.agent.node_started(node.name)
        self.simulation.clock.after(POLL, self.send_report, self.incarnation)
        self.simulation.clock.after(TELL, self.renew_nodes, self.incarnation)

    def send_report(self, incarnation: int) -> None:
        """Report to the leader, again and again."""
        if incarnation != self.incarnation:
            return
        if not self.stopped:
            agent = self.agent
            if (
                agent.proposed_number
                and agent.ready_version != agent.proposed_number
                and not agent.refused_version
            ):
                agent.report_trial(
                    agent.proposed_number,
                    "it can't be" if agent.proposed_number == self.unusable_version else "",
                )
            sent_at, true = self.now(), self.simulation.clock.now
            self.simulation.send(
                self.name, self.simulation.receive_report, self, incarnation, sent_at, true, agent.report()
            )
        self.simulation.clock.after(POLL, self.send_report, incarnation)

    def receive_assignment(self, incarnation: int, sent_at: int, assignment: PolicyAssignment) -> None:
        """Take in the leader's response to this process of the agent."""
        if incarnation != self.incarnation:
            return
        if self.stopped:
            self.simulation.clock.after(20 * MS, self.receive_assignment, incarnation, sent_at, assignment)
            return
        self.agent.receive_assignment(sent_at, assignment)

    def renew_nodes(self, incarnation: int) -> None:
        """Give the nodes their lease, again and again."""
        if incarnation != self.incarnation:
            return
        if not self.stopped:
            number, until = self.agent.node_lease()
            for node in self.nodes:
                if until:
                    node.inbox = [*node.inbox, (number, until)][-16:]
        self.simulation.clock.after(TELL, self.renew_nodes, incarnation)


class PolicySimulation:
    """Hosts, a leader that changes, and drawn faults."""

    def __init__(self, seed: int, hosts: int = 4, faults: int = 10, duration: int = 40 * SECOND) -> None:
        """Draw the faults of a seed; `duration` in nanoseconds."""
        self.seed, self.clock, self.audit = seed, Clock(), PolicyChangeAudit()
        self.random, self.duration = Random(seed), duration
        self.index, self.state_machine = 0, PolicyStateMachine()
        self.names = tuple(f"h{number}" for number in range(hosts))
        self.cut_until: dict[str, int] = {}
        self.slow_until = 0
        self.coordinator: PolicyCoordinator | None = None
        self.leader_count = 0
        self.hosts = {name: PolicyHost(self, name) for name in self.names}
        self.clock.at(100 * MS, self.elect)
        self.clock.at(200 * MS, self.tick)
        kinds = (
            "leader",
            "leader",
            "cut",
            "cut",
            "slow",
            "node stops",
            "node stops",
            "node dies",
            "agent stops",
            "agent dies",
            "propose",
            "propose",
            "propose",
            "withdraw",
            "bad",
        )
        for _ in range(faults + 8):
            self.clock.at(
                self.random.randrange(SECOND, duration - 12 * SECOND),
                self.inject_fault,
                self.random.choice(kinds),
            )

    def apply(self, command: PolicyCommand) -> object:
        """Commit a command at once and return its result."""
        self.index += 1
        result = self.state_machine.apply(self.index, msgspec.msgpack.encode(command))
        for policy in self.state_machine.state.policies.values():
            if policy.state in ("withdrawn", "refused"):
                self.audit.record_not_made(self.clock.now, policy.number)
            elif policy.state == "in force":
                self.audit.record_in_force(self.clock.now, policy.number)
        return result

    # Who leads, and the network.

    def elect(self) -> None:
        """Let a new leader start."""
        self.leader_count += 1
        self.coordinator = PolicyCoordinator(self.clock.now, self.state_machine, self.names, TERMS)

    def tick(self) -> None:
        """Carry out what the leader wants by time."""
        if self.coordinator:
            for command in self.coordinator.tick(self.clock.now):
                self.apply(command)
        self.clock.after(50 * MS, self.tick)

    def send(self, host: str, act: Callable[..., None], *arguments: object) -> None:
        """Call `act` after the delay of the network, unless the host is cut off."""
        if self.clock.now < self.cut_until.get(host, 0):
            return
        delay = self.random.randrange(MS, 5 * MS)
        if self.clock.now < self.slow_until:
            delay += self.random.randrange(1800 * MS)
        self.clock.after(delay, act, *arguments)

    def receive_report(
        self, host: PolicyHost, incarnation: int, sent_at: int, true: int, told: PolicyReport
    ) -> None:
        """`true`: when it was said; an echo of the leader's stamp shows no later time."""
        if self.coordinator is None:
            return
        for command in self.coordinator.receive_report(self.clock.now, host.name, told, true):
            self.apply(command)
        answer = self.coordinator.assign(self.clock.now, host.name, told)
        self.send(host.name, host.receive_assignment, incarnation, sent_at, answer)

    # Faults.

    def inject_fault(self, kind: str) -> None:
        """Let a fault of a kind happen to a drawn host or node."""
        random, now = self.random, self.clock.now
        host = self.hosts[random.choice(self.names)]
        node = random.choice(host.nodes)
        lasts = random.choice((200 * MS, SECOND, 2500 * MS, 5 * SECOND))
        if kind == "leader" and self.coordinator:
            self.coordinator = None
            self.clock.after(random.randrange(600 * MS, 2 * SECOND), self.elect)
        elif kind == "cut":
            self.cut_until[host.name] = now + lasts
        elif kind == "slow":
            self.slow_until = now + lasts
        elif kind in ("node stops", "agent stops"):
            it: PolicyNode | PolicyHost = node if kind == "node stops" else host
            it.stopped = True
            self.clock.after(lasts, setattr, it, "stopped", False)
        elif kind == "node dies":
            node.start()
        elif kind == "agent dies":
            host.start()
        elif kind == "propose":
            held = self.state_machine.state
            self.apply(ProposePolicy(f"c{now}", "asha", 0, "", held.decided, b"%d" % now))
        elif kind == "withdraw" and self.state_machine.proposed:
            self.apply(WithdrawPolicy(self.state_machine.proposed.number, "ravi"))
        elif kind == "bad":
            result = self.apply(
                ProposePolicy(f"b{now}", "ravi", 0, "", self.state_machine.state.decided, b"bad")
            )
            if not isinstance(result, Rejection):
                host.bad = result.number  # type: ignore[attr-defined]

    def run(self) -> list[str]:
        """Run all of it and return the breaches."""
        self.clock.run(self.duration)
        return self.audit.breaches

    def stuck(self) -> list[str]:
        """With all well for three leases, what was proposed has an end, and nodes decide under the last."""
        found = [
            f"version {each.number} is {each.state}"
            for each in self.state_machine.state.policies.values()
            if each.state in ("proposed", "decided")
        ]
        for host in self.hosts.values():
            for node in host.nodes:
                if node.lease.number != self.state_machine.state.decided or not node.lease.may_decide(
                    host.now()
                ):
                    found.append(f"{node.name} goes by {node.lease.number}, {node.lease.status.value}")
        return found
