"""The targets of a fleet and their disruption budgets, from its settings. Free of I/O."""

from __future__ import annotations

from oakkeel.disruption.topology import BudgetGroup, Topology
from oakkeel.settings.types import Fleet


def topology_of(fleet: Fleet) -> Topology:
    """Targets by host, and a budget for the fleet, each site and each kind of downstream service."""
    control_plane = fleet.control_plane
    services = control_plane.services if control_plane else ()
    targets_by_host: dict[str, tuple[str, ...]] = {}
    instances_by_site: dict[str, list[str]] = {site: [] for site in fleet.max_unavailable_by_site}
    dependants_by_service: dict[str, list[str]] = {service.name: [] for service in services}
    for host in fleet.hosts:
        names = [instance.name for instance in host.instances]
        instances_by_site[host.site] += names
        targets_by_host[host.name] = (*names, *(each.name for each in services if each.host == host.name))
        for instance in host.instances:
            for name in instance.downstream:
                dependants_by_service[name].append(instance.name)
    budget_groups = [
        BudgetGroup(f"site {site}", fleet.max_unavailable_by_site[site], tuple(names))
        for site, names in instances_by_site.items()
    ]
    if control_plane:
        instances = tuple(name for names in instances_by_site.values() for name in names)
        budget_groups.append(BudgetGroup("fleet", control_plane.max_unavailable, instances))
        budget_groups += [
            BudgetGroup(f"kind {kind}", limit, tuple(each.name for each in services if each.kind == kind))
            for kind, limit in control_plane.max_unavailable_by_kind.items()
        ]
    return Topology(
        targets_by_host,
        tuple(budget_groups),
        {service: tuple(names) for service, names in dependants_by_service.items() if names},
    )
