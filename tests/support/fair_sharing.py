"""Builds simulated nodes with fair sharing, and measures the shares that their clients obtain."""

from __future__ import annotations

from oakkeel.admission.types import FairSharingRules
from oakkeel.fakes.simulated_node import SimulatedClient, SimulatedNode, max_min_shares


def simulated_node(fair=True, key_fields=("caller",), weights=None, seed=7, **options) -> SimulatedNode:
    rules = FairSharingRules(
        tuple(key_fields), weights if weights is not None else {}, max_flows=options.pop("max_flows", 256)
    )
    return SimulatedNode(rules if fair else None, seed, **options)


def measure_shares(
    node: SimulatedNode, clients: list[SimulatedClient], seconds: float = 8, warm_up: float = 4
) -> tuple[list[float], float]:
    """Return the fraction of its fair share that each client got, and the admitted fraction of retries.

    The node runs for `warm_up` seconds before the measurement.
    """
    node.run_for(warm_up)
    before = [
        (client.counts["in time"], client.first_attempts, client.scheduled_returns, client.admitted_returns)
        for client in node.clients
    ]
    node.run_for(seconds)
    completion_rates = [
        (client.counts["in time"] - earlier[0]) / seconds
        for client, earlier in zip(node.clients, before, strict=True)
    ]
    arrival_rates = [
        (client.first_attempts - earlier[1]) / seconds
        for client, earlier in zip(node.clients, before, strict=True)
    ]
    shares = max_min_shares(arrival_rates, max(150.0, sum(completion_rates)))
    scheduled = sum(
        client.scheduled_returns - earlier[2] for client, earlier in zip(node.clients, before, strict=True)
    )
    admitted = sum(
        client.admitted_returns - earlier[3] for client, earlier in zip(node.clients, before, strict=True)
    )
    return (
        [
            min(1.0, completion_rate / share)
            for client, completion_rate, share in zip(node.clients, completion_rates, shares, strict=True)
            if client in clients
        ],
        admitted / scheduled if scheduled else 1.0,
    )
