"""The targets of a fleet and their disruption budgets, from its settings. Free of I/O."""

from __future__ import annotations

from oakkeel.disruption.topology import BudgetGroup, Topology
from oakkeel.settings.types import Fleet


def topology_of(fleet: Fleet) -> Topology:
    """Targets by host, and a budget for the fleet, each site and each kind of downstream service."""
    control_plane = fleet.control_plane
    services = control_plane.services if control_plane else ()
    hosts: dict[str, tuple[str, ...]] = {}
    sites: dict[str, list[str]] = {site: [] for site in fleet.sites}
    dependants: dict[str, list[str]] = {service.name: [] for service in services}
    for host in fleet.hosts:
        names = [instance.name for instance in host.instances]
        sites[host.site] += names
        hosts[host.name] = (*names, *(each.name for each in services if each.host == host.name))
        for instance in host.instances:
            for name in instance.downstream:
                dependants[name].append(instance.name)
    groups = [BudgetGroup(f"site {site}", fleet.sites[site], tuple(names)) for site, names in sites.items()]
    if control_plane:
        instances = tuple(name for names in sites.values() for name in names)
        groups.append(BudgetGroup("fleet", control_plane.max_unavailable, instances))
        groups += [
            BudgetGroup(f"kind {kind}", limit, tuple(each.name for each in services if each.kind == kind))
            for kind, limit in control_plane.kinds.items()
        ]
    return Topology(
        hosts, tuple(groups), {service: tuple(names) for service, names in dependants.items() if names}
    )
