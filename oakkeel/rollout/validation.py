"""Validates a command that starts a release against the replicated state."""

from __future__ import annotations

from oakkeel.disruption.topology import Topology
from oakkeel.rollout.commands import MAX_TARGETS, StartRelease, VersionSpec

MAX_ID_LENGTH = 48


def find_rejection_reason(
    command: StartRelease, topology: Topology, versions: dict[str, str], sources: dict[str, VersionSpec]
) -> str:
    """Return why a release can't be started; empty if it can.

    `versions` has the assigned version of each target, `sources` the specification of each version.
    """
    spec = command.spec
    targets = command.targets
    if not _has_valid_form(command):
        return (
            f"a release has an ID of 1 to {MAX_ID_LENGTH} characters without a dot, and 1 to {MAX_TARGETS}"
            " targets, none of them twice"
        )
    known_targets = {target for names in topology.hosts.values() for target in names}
    services = {
        target for group in topology.groups if group.name.startswith("kind ") for target in group.targets
    }
    if unknown := sorted(set(targets) - known_targets):
        return f"there is no target {unknown[0]}"
    if mismatched := [target for target in targets if (target in services) != spec.services]:
        return f"{mismatched[0]}: instances and downstream services can't be in one release"
    if not spec.version:
        return "the version is empty"
    if unchanged := [target for target in targets if versions.get(target, "") == spec.version]:
        return f"{unchanged[0]} has version {spec.version} already"
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
    """Return why a release would remove a released program or patch without naming it; empty if not."""
    for target in command.targets:
        assigned = sources.get(versions.get(target, ""), VersionSpec(""))
        for name in ("program", "patch"):
            if getattr(assigned, name) and not getattr(command.spec, name):
                return (
                    f"{target} runs a released {name}: name one in this release too, or return to that of"
                    " the settings with --as-set"
                )
    return ""
