"""Changes of policy in simulated time: leaders come and go, hosts have clocks of their own, nodes stop.

The record itself is taken as agreed (`emulator/agreement.py` plays that); what is drawn is who leads when,
which messages come late or never, and what dies or stands still. Nodes decide exchanges all the time.
"""

from __future__ import annotations

from random import Random

from oakkeel.disruption import commands
from oakkeel.disruption.allocator import PermitTimeouts
from oakkeel.disruption.state import Rejection
from oakkeel.emulator.clock import Clock
from oakkeel.invariants.policy_change import PolicyChangeAudit
from oakkeel.policy_change.coordinator import PolicyAssignment, PolicyCoordinator, PolicyReport
from oakkeel.policy_change.policy_lease import AgentPolicyLease, NodePolicyLease
from oakkeel.policy_change.state_machine import PolicyStateMachine, ProposePolicy, WithdrawPolicy

MS = 1_000_000
SECOND = 1000 * MS
TERMS = PermitTimeouts()
POLL, TELL, DECIDE = 150 * MS, 50 * MS, 40 * MS


class PolicyNode:
    def __init__(self, host: PolicyHost, name: str) -> None:
        self.host, self.name = host, name
        self.lease, self.stopped, self.incarnation = NodePolicyLease(), False, 0
        self.inbox: list[tuple[int, int]] = []
        host.agent.node_started(name)
        host.simulation.clock.after(host.random.randrange(DECIDE), self.decide, 0)

    def start(self) -> None:
        """Another process: it knows nothing."""
        self.incarnation += 1
        self.lease, self.inbox, self.stopped = NodePolicyLease(), [], False
        self.host.agent.node_stopped(self.name)
        self.host.agent.node_started(self.name)
        self.host.simulation.clock.after(DECIDE, self.decide, self.incarnation)

    def decide(self, life: int) -> None:
        """An exchange comes; what it was told while it stood still is read behind it."""
        if life != self.incarnation:
            return
        world, now = self.host.simulation, self.host.now()
        if not self.stopped:
            if self.lease.may_decide(now):
                world.audit.record_decision(world.clock.now, self.name, self.lease.number)
            came, self.inbox = self.inbox, []
            for number, until in came:
                self.lease.renew(now, number, until)
            if came:
                self.host.agent.node_reported(self.name, self.lease.number)
        world.clock.after(self.host.random.randrange(DECIDE // 4, DECIDE), self.decide, life)


class PolicyHost:
    def __init__(self, world: PolicySimulation, name: str) -> None:
        self.simulation, self.name = world, name
        self.random = Random(f"{world.seed} {name}")
        self.rate, self.offset = 1 + self.random.uniform(-0.018, 0.018), self.random.randrange(10 * SECOND)
        self.agent, self.stopped, self.incarnation = AgentPolicyLease(), False, 0
        self.nodes = [PolicyNode(self, f"{name}n{number}") for number in range(2)]
        self.unusable_version = 0  # a proposed version that one of its nodes can't take
        world.clock.after(self.random.randrange(POLL), self.send_report, 0)
        world.clock.after(self.random.randrange(TELL), self.renew_nodes, 0)

    def now(self) -> int:
        return self.offset + int(self.simulation.clock.now * self.rate)

    def start(self) -> None:
        """Its agent anew; the nodes go on as they were told."""
        self.incarnation += 1
        self.agent, self.stopped = AgentPolicyLease(), False
        for node in self.nodes:
            self.agent.node_started(node.name)
        self.simulation.clock.after(POLL, self.send_report, self.incarnation)
        self.simulation.clock.after(TELL, self.renew_nodes, self.incarnation)

    def send_report(self, life: int) -> None:
        if life != self.incarnation:
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
                self.name, self.simulation.receive_report, self, life, sent_at, true, agent.report()
            )
        self.simulation.clock.after(POLL, self.send_report, life)

    def receive_assignment(self, life: int, sent_at: int, heard: PolicyAssignment) -> None:
        if life != self.incarnation:
            return
        if self.stopped:
            self.simulation.clock.after(20 * MS, self.receive_assignment, life, sent_at, heard)
            return
        self.agent.receive_assignment(sent_at, heard)

    def renew_nodes(self, life: int) -> None:
        if life != self.incarnation:
            return
        if not self.stopped:
            number, until = self.agent.node_lease()
            for node in self.nodes:
                if until:
                    node.inbox = [*node.inbox, (number, until)][-16:]
        self.simulation.clock.after(TELL, self.renew_nodes, life)


class PolicySimulation:
    def __init__(self, seed: int, hosts: int = 4, troubles: int = 10, lasts: int = 40 * SECOND) -> None:
        self.seed, self.clock, self.audit = seed, Clock(), PolicyChangeAudit()
        self.random, self.duration = Random(seed), lasts
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
        for _ in range(troubles + 8):
            self.clock.at(
                self.random.randrange(SECOND, lasts - 12 * SECOND),
                self.inject_fault,
                self.random.choice(kinds),
            )

    def apply(self, command) -> object:
        """It is agreed at once: whoever asked is told what came of it."""
        self.index += 1
        result = self.state_machine.apply(self.index, commands.encode(command))
        for policy in self.state_machine.state.policies.values():
            if policy.state in ("withdrawn", "refused"):
                self.audit.record_not_made(self.clock.now, policy.number)
            elif policy.state == "in force":
                self.audit.record_in_force(self.clock.now, policy.number)
        return result

    # Who leads, and the network.

    def elect(self) -> None:
        self.leader_count += 1
        self.coordinator = PolicyCoordinator(self.clock.now, self.state_machine, self.names, TERMS)

    def tick(self) -> None:
        if self.coordinator:
            for command in self.coordinator.tick(self.clock.now):
                self.apply(command)
        self.clock.after(50 * MS, self.tick)

    def send(self, host: str, act, *words) -> None:
        if self.clock.now < self.cut_until.get(host, 0):
            return
        delay = self.random.randrange(MS, 5 * MS)
        if self.clock.now < self.slow_until:
            delay += self.random.randrange(1800 * MS)
        self.clock.after(delay, act, *words)

    def receive_report(
        self, host: PolicyHost, life: int, sent_at: int, true: int, told: PolicyReport
    ) -> None:
        """`true`: when it was said; an echo of the leader's stamp shows no later time."""
        if self.coordinator is None:
            return
        for command in self.coordinator.receive_report(self.clock.now, host.name, told, true):
            self.apply(command)
        answer = self.coordinator.assign(self.clock.now, host.name, told)
        self.send(host.name, host.receive_assignment, life, sent_at, answer)

    # Troubles.

    def inject_fault(self, kind: str) -> None:
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
