"""How the commands for topology, generations, voters and leases change the replicated state."""

from __future__ import annotations

from oakkeel.disruption import commands
from oakkeel.disruption.queries import ControlPlaneView
from oakkeel.disruption.state import Lease, Rejection

MAX_LEASES = 256
MAX_VOTERS = 9


def set_topology(view: ControlPlaneView, index: int, command: commands.SetTopology) -> None:
    """Replace the topology."""
    view.state.topology = command.topology
    view.count_unavailable()


def reserve_generations(view: ControlPlaneView, index: int, command: commands.ReserveGenerations) -> int:
    """Raise the limits of generations, never lower: what was reserved once may have been used."""
    generations = view.state.generations
    for target, limit in command.limits.items():
        generations[target] = max(limit, generations.get(target, 0))
    return index


def set_voters(view: ControlPlaneView, index: int, command: commands.SetVoters) -> int | Rejection:
    """Record which hosts shall be voters."""
    voters = command.voters
    if not voters or len(set(voters)) != len(voters) or len(voters) > MAX_VOTERS:
        return Rejection("one to nine keepers, each once")
    view.state.voters = list(voters)
    return index


def acquire_lease(view: ControlPlaneView, index: int, command: commands.AcquireLease) -> int | Rejection:
    """Give a lease to one holder, or renew it. Returns its fencing token, which stays when it is renewed."""
    lease = view.state.leases.get(command.name)
    if lease and lease.holder != command.holder:
        return Rejection(f"{lease.holder} holds it")
    if lease:  # renewed: what was done under its token goes on
        lease.duration = command.duration
        return lease.fencing_token
    if len(view.state.leases) >= MAX_LEASES:
        return Rejection("too many leases")
    view.state.leases[command.name] = Lease(command.holder, index, command.duration)
    return index


def release_lease(view: ControlPlaneView, index: int, command: commands.ReleaseLease) -> int | Rejection:
    """Free a lease that was given up or has expired."""
    lease = view.state.leases.get(command.name)
    if lease is None or lease.fencing_token != command.fencing_token:
        return Rejection("no such lease")
    del view.state.leases[command.name]
    return index
