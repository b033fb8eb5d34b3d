"""Exchanges heartbeats and responses between simulated agents and the leader."""

from __future__ import annotations

from oakkeel.disruption.messages import Heartbeat, HeartbeatResponse
from oakkeel.emulator.simulated_host import SimulatedHost
from oakkeel.emulator.simulated_network import SimulatedNetwork
from oakkeel.raft.proposals import NotLeaderError
from oakkeel.units import MS

HEARTBEAT_TIMEOUT_NS = 800 * MS


class HeartbeatTransport:
    """Carries heartbeats of agents to replicas over the network, and the responses back."""

    def __init__(self, network: SimulatedNetwork, hosts: dict[str, SimulatedHost]) -> None:
        """`hosts`: by name; may be filled later."""
        self.network = network
        self.hosts = hosts

    def send(self, name: str, heartbeat: Heartbeat, sent_at: int) -> None:
        """Send an agent's heartbeat to the host that the agent last knew as the leader."""
        host = self.hosts[name]
        machine = host.machine
        peer = self.hosts[host.agent.leader_locator.current]
        restarts = machine.restarts
        is_awaiting_response = True

        def on_arrival() -> None:
            if not peer.machine.running:
                return
            if peer.machine.stopped:
                peer.machine.deferred.append(on_arrival)
                return
            if peer.control_plane is None:
                return
            try:
                response, outputs = peer.control_plane.receive_heartbeat(peer.machine.now(), heartbeat)
            except NotLeaderError as error:
                self.network.deliver(peer.name, host.name, on_redirect, error.leader)
                return
            self.network.deliver(peer.name, host.name, on_response, response)
            peer.replica.process_outputs(outputs)

        def on_response(response: HeartbeatResponse) -> None:
            nonlocal is_awaiting_response
            is_awaiting_response = False
            if machine.restarts == restarts and response.voters:
                host.agent.leader_locator.set_voters(response.voters)
            host.agent.receive_heartbeat_response(restarts, sent_at, response)

        def on_redirect(leader_name: str) -> None:
            nonlocal is_awaiting_response
            if machine.restarts == restarts and is_awaiting_response:
                is_awaiting_response = False
                host.agent.leader_locator.redirect(leader_name)

        self.network.deliver(host.name, peer.name, on_arrival)
        self.network.world.clock.call_after(HEARTBEAT_TIMEOUT_NS, on_redirect, "")
