"""Application of the commands for topology, generations, voters and leases to the replicated state."""

from __future__ import annotations

from oakkeel.disruption import commands
from oakkeel.disruption.queries import ControlPlaneView
from oakkeel.disruption.state import Lease, Rejection

MAX_LEASES = 256
# The maximum length of the stored list of voters. `VOTER_COUNTS` of the settings allows fewer counts and is
# checked before a command is proposed, so that a later version may allow other counts, and replicas of both
# versions still apply the command alike.
MAX_VOTERS = 9


def set_topology(view: ControlPlaneView, index: int, command: commands.SetTopology) -> None:
    """Replace the topology."""
    view.state.topology = command.topology
    view.count_unavailable()


def reserve_generations(view: ControlPlaneView, index: int, command: commands.ReserveGenerations) -> int:
    """Raise the limits of generations. They never decrease, as reserved generations may have been used."""
    generations = view.state.generations
    for target, limit in command.limits.items():
        generations[target] = max(limit, generations.get(target, 0))
    return index


def set_voters(view: ControlPlaneView, index: int, command: commands.SetVoters) -> int | Rejection:
    """Record which hosts should be voters."""
    voters = command.voters
    if not voters or len(set(voters)) != len(voters) or len(voters) > MAX_VOTERS:
        return Rejection(f"name 1 to {MAX_VOTERS} replicas, each once")
    view.state.voters = list(voters)
    return index


def acquire_lease(view: ControlPlaneView, index: int, command: commands.AcquireLease) -> int | Rejection:
    """Grant a lease to one holder, or renew it: the rule of lease ownership.

    Returns the fencing token. A renewal keeps the token; each new holder gets a higher one, so that commands
    of a former holder can be rejected.
    """
    lease = view.state.leases.get(command.name)
    if lease and lease.holder != command.holder:
        return Rejection(f"{lease.holder} holds lease {command.name}")
    if lease:
        lease.duration = command.duration
        return lease.fencing_token
    if len(view.state.leases) >= MAX_LEASES:
        return Rejection(f"{MAX_LEASES} leases are already held")
    view.state.leases[command.name] = Lease(command.holder, index, command.duration)
    return index


def release_lease(view: ControlPlaneView, index: int, command: commands.ReleaseLease) -> int | Rejection:
    """Delete a lease that its holder released or that has expired."""
    lease = view.state.leases.get(command.name)
    if lease is None or lease.fencing_token != command.fencing_token:
        return Rejection(f"there is no lease {command.name} with token {command.fencing_token}")
    del view.state.leases[command.name]
    return index
