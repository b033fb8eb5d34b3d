"""Settings and statuses of small fleets."""

from collections.abc import Iterable

from oakkeel.agent import messages
from oakkeel.settings.types import ClientSettings, Fleet, HostSettings, InstanceSettings
from oakkeel.units import MS


def fleet_of(hosts: int = 2, instances: int = 3) -> Fleet:
    """Hosts h0, h1 ... at one site, with instances n00, n01 ... on the first, n10, n11 ... on the second."""
    return Fleet(
        "f",
        "f.xml",
        (),
        {},
        ClientSettings(),
        {"woodbrook": 2},
        tuple(
            host_of(f"h{host}", [f"n{host}{number}" for number in range(instances)]) for host in range(hosts)
        ),
    )


def host_of(name: str, instances: Iterable[str]) -> HostSettings:
    settings = tuple(InstanceSettings(instance, "", "", "console") for instance in instances)
    return HostSettings(name, "woodbrook", ("127.0.0.1", 1), "", 1, settings)


def host_status(
    host: str, phase: str = "serving", numbers: Iterable[int] = (0, 1, 2), unix: int = 0
) -> messages.HostStatus:
    """Return the status that the agent of a host reports, with all these instances in one phase."""
    instances = [instance_status(f"n{host[1:]}{number}", phase) for number in numbers]
    return messages.HostStatus(host, "woodbrook", 1, unix, 1, 0, [], instances)


def instance_status(name: str, phase: str) -> messages.InstanceStatus:
    return messages.InstanceStatus(name, phase, 5, "up", 4, 0, "", 77, 200 * MS, None, None, 0, False, 0, "")
