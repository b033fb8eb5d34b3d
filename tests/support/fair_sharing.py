"""Simulated nodes with fair sharing, and what their clients obtain."""

from __future__ import annotations

from oakkeel.admission.types import FairSharingRules
from oakkeel.fakes.simulated_node import SimulatedClient, SimulatedNode, fair_share


def simulated_node(fair=True, by=("caller",), weights=None, seed=7, **more) -> SimulatedNode:
    rules = FairSharingRules(
        tuple(by), weights if weights is not None else {}, max_flows=more.pop("places", 256)
    )
    return SimulatedNode(rules if fair else None, seed, **more)


def shares_obtained(
    node: SimulatedNode, clients: list[SimulatedClient], seconds: float = 8, warm: float = 4
) -> tuple[list[float], float]:
    """Return what part of its fair share each client got, and of scheduled retries what part was admitted."""
    node.pass_time(warm)
    before = [
        (client.counts["in time"], client.first_attempts, client.scheduled_returns, client.admitted_returns)
        for client in node.clients
    ]
    node.pass_time(seconds)
    done = [
        (client.counts["in time"] - earlier[0]) / seconds
        for client, earlier in zip(node.clients, before, strict=True)
    ]
    sent = [
        (client.first_attempts - earlier[1]) / seconds
        for client, earlier in zip(node.clients, before, strict=True)
    ]
    shares = fair_share(sent, max(150.0, sum(done)))
    scheduled = sum(
        client.scheduled_returns - earlier[2] for client, earlier in zip(node.clients, before, strict=True)
    )
    admitted = sum(
        client.admitted_returns - earlier[3] for client, earlier in zip(node.clients, before, strict=True)
    )
    return (
        [
            min(1.0, one / share)
            for client, one, share in zip(node.clients, done, shares, strict=True)
            if client in clients
        ],
        admitted / scheduled if scheduled else 1.0,
    )
