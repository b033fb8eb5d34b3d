"""Checks of a command that starts a release, against what the control plane knows."""

from __future__ import annotations

from oakkeel.disruption.topology import Topology
from oakkeel.rollout.commands import MAX_TARGETS, StartRelease, VersionSpec

MAX_ID_LENGTH = 48


def find_fault(
    command: StartRelease, topology: Topology, versions: dict[str, str], sources: dict[str, VersionSpec]
) -> str:
    """Say why a release can't be started; empty where it can.

    `versions` are the assigned ones by target, `sources` their specifications by version.
    """
    spec, targets = command.spec, command.targets
    if not _has_valid_form(command):
        return "no id without a dot, nothing named, something twice, or too much at once"
    known = {target for names in topology.hosts.values() for target in names}
    services = {
        target for group in topology.groups if group.name.startswith("kind ") for target in group.targets
    }
    if unknown := sorted(set(targets) - known):
        return f"there is no {unknown[0]}"
    if wrong := [target for target in targets if (target in services) != spec.services]:
        return f"{wrong[0]}: instances and services below are released one after the other"
    if not spec.version:
        return "no version is named"
    if unchanged := [target for target in targets if versions.get(target, "") == spec.version]:
        return f"{unchanged[0]} has that version already"
    if not spec.services and not spec.from_settings:
        return _find_dropped_part(command, versions, sources)
    return ""


def _has_valid_form(command: StartRelease) -> bool:
    targets = command.targets
    return (
        0 < len(command.ident) <= MAX_ID_LENGTH
        and "." not in command.ident
        and 0 < len(targets) <= MAX_TARGETS
        and len(set(targets)) == len(targets)
    )


def _find_dropped_part(
    command: StartRelease, versions: dict[str, str], sources: dict[str, VersionSpec]
) -> str:
    """Guard against taking a released program or patch away because the new release does not name one."""
    for target in command.targets:
        running = sources.get(versions.get(target, ""), VersionSpec(""))
        for name in ("program", "patch"):
            if getattr(running, name) and not getattr(command.spec, name):
                return (
                    f"{target} runs a released {name}: name one here too, or say that it"
                    " shall be as the settings say"
                )
    return ""
