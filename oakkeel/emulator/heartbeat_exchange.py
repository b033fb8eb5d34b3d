"""Heartbeats of simulated agents to the leader, and its responses."""

from __future__ import annotations

from oakkeel.disruption.messages import Heartbeat, HeartbeatResponse
from oakkeel.emulator.simulated_host import SimulatedHost
from oakkeel.emulator.simulated_network import SimulatedNetwork
from oakkeel.raft.proposals import NotLeaderError
from oakkeel.units import MS

HEARTBEAT_TIMEOUT_NS = 800 * MS


class HeartbeatExchange:
    """Carries heartbeats from agents to the replicas that may lead, over the network."""

    def __init__(self, network: SimulatedNetwork, hosts: dict[str, SimulatedHost]) -> None:
        """`hosts` by name; it may be filled later."""
        self.network = network
        self.hosts = hosts

    def send(self, name: str, heartbeat: Heartbeat, sent_at: int) -> None:
        """Send the heartbeat of an agent to the host that it last knew as the leader's."""
        host = self.hosts[name]
        machine = host.machine
        leader = self.hosts[host.agent.leader_locator.current]
        restarts = machine.restarts
        awaits_response = True

        def arrived() -> None:
            if not leader.machine.running:
                return
            if leader.machine.stopped:
                leader.machine.deferred.append(arrived)
                return
            if leader.control_plane is None:
                return
            try:
                response, outputs = leader.control_plane.receive_heartbeat(leader.machine.now(), heartbeat)
            except NotLeaderError as error:
                self.network.deliver(leader.name, host.name, redirected, error.leader)
                return
            self.network.deliver(leader.name, host.name, answered, response)
            leader.replica.carry_out(outputs)

        def answered(response: HeartbeatResponse) -> None:
            nonlocal awaits_response
            awaits_response = False
            if machine.restarts == restarts and response.voters:
                host.agent.leader_locator.set_voters(response.voters)
            host.agent.heartbeat_answered(restarts, sent_at, response)

        def redirected(name: str) -> None:
            nonlocal awaits_response
            if machine.restarts == restarts and awaits_response:
                awaits_response = False
                host.agent.leader_locator.redirect(name)

        self.network.deliver(host.name, leader.name, arrived)
        self.network.world.clock.call_after(HEARTBEAT_TIMEOUT_NS, redirected, "")
