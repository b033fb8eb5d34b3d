"""Checks of operators' settings against the configurations of the nodes that they name."""

from __future__ import annotations

from oakkeel.agent.node_configuration import read_stop_after
from oakkeel.agent.supervision_rules import timeouts_from_settings
from oakkeel.settings.types import Fleet, SettingsError
from oakkeel.units import MS


def check_drain_timeout(fleet: Fleet) -> None:
    """Check that no node may need longer for its drain than the settings give it. Raises SettingsError.

    A configuration that can't be read here is skipped: it may be on another host.
    """
    drain_ms = timeouts_from_settings(fleet.supervision).drain_timeout_ns // MS
    errors = []
    for host in fleet.hosts:
        for instance in host.instances:
            stop_ms = read_stop_after(instance.config_path) // MS
            if stop_ms > drain_ms:
                errors.append(
                    f"{fleet.path}: drain={drain_ms}ms is shorter than stop_ms={stop_ms} of instance"
                    f" {instance.name} ({instance.config_path}): set drain to at least {stop_ms}ms"
                )
    if errors:
        raise SettingsError("\n".join(errors))
