"""Settings and statuses of small fleets."""

from collections.abc import Iterable

from oakkeel.agent import messages
from oakkeel.settings.types import ClientSettings, Fleet, HostSettings, InstanceSettings
from oakkeel.units import MS


def fleet_of(host_count: int = 2, instance_count: int = 3) -> Fleet:
    """Return a fleet at one site: host h0 with instances n00, n01 ..., host h1 with n10, n11 ... ."""
    return Fleet(
        "f",
        "f.xml",
        (),
        {},
        ClientSettings(),
        {"woodbrook": 2},
        tuple(
            host_of(f"h{host}", [f"n{host}{number}" for number in range(instance_count)])
            for host in range(host_count)
        ),
    )


def host_of(name: str, instances: Iterable[str]) -> HostSettings:
    """Return the settings of a host with instances of these names."""
    settings = tuple(InstanceSettings(instance, "", "", "console") for instance in instances)
    return HostSettings(name, "woodbrook", ("127.0.0.1", 1), "", 1, settings)


def host_status(
    host: str, phase: str = "serving", instance_numbers: Iterable[int] = (0, 1, 2), unix_time: int = 0
) -> messages.HostStatus:
    """Return the status that the agent of a host reports, with the numbered instances all in one phase."""
    instances = [instance_status(f"n{host[1:]}{number}", phase) for number in instance_numbers]
    return messages.HostStatus(host, "woodbrook", 1, unix_time, 1, 0, [], instances)


def instance_status(name: str, phase: str) -> messages.InstanceStatus:
    return messages.InstanceStatus(name, phase, 5, "up", 4, 0, "", 77, 200 * MS, None, None, 0, False, 0, "")
