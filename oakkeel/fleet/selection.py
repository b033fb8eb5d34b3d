"""Selects instances, and finds the sites where an order makes too many of them unavailable. Free of I/O."""

from __future__ import annotations

import fnmatch
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from oakkeel.agent.instances import Phase
from oakkeel.errors import OakkeelError
from oakkeel.fleet.view import InstanceRow

# The states by which an operator can select instances; `old` marks a state that was not reported recently.
SELECTABLE_STATES = [phase.value for phase in Phase] + ["unknown", "old"]


class SelectionError(OakkeelError, ValueError):
    """A pattern matches no instance, site or host."""


@dataclass(slots=True, frozen=True)
class Selection:
    """Glob patterns that select instances.

    A field without patterns selects all instances; a field with patterns selects the instances that match at
    least one pattern.
    """

    names: tuple[str, ...] = ()
    sites: tuple[str, ...] = ()
    hosts: tuple[str, ...] = ()
    states: tuple[str, ...] = ()

    @property
    def selects_all(self) -> bool:
        """Whether all instances are selected."""
        return not (self.names or self.sites or self.hosts or self.states)

    def filter(self, rows: Sequence[InstanceRow]) -> list[InstanceRow]:
        """Return the selected rows in their order. Raises SelectionError if a pattern matches no row."""
        for patterns, field in ((self.names, "name"), (self.sites, "site"), (self.hosts, "host")):
            for pattern in patterns:
                if any(fnmatch.fnmatchcase(getattr(row, field), pattern) for row in rows):
                    continue
                if field == "name":
                    raise SelectionError(f"no instance has the name {pattern!r}")
                raise SelectionError(f"there is no {field} {pattern!r}")
        return [row for row in rows if self._includes(row)]

    def _includes(self, row: InstanceRow) -> bool:
        return (
            _matches(self.names, row.name)
            and _matches(self.sites, row.site)
            and _matches(self.hosts, row.host)
            and (not self.states or row.state in self.states or (row.is_stale and "old" in self.states))
        )


def _matches(patterns: tuple[str, ...], value: str) -> bool:
    return not patterns or any(fnmatch.fnmatchcase(value, pattern) for pattern in patterns)


def targets_by_host(rows: Sequence[InstanceRow]) -> dict[str, list[tuple[str, int]]]:
    """Return names and reported generations by host, without instances that no agent reported."""
    targets: dict[str, list[tuple[str, int]]] = {}
    for row in rows:
        if row.status is not None:
            targets.setdefault(row.host, []).append((row.name, row.status.generation))
    return targets


def describe_large_shares(
    rows: Sequence[InstanceRow], selected: Sequence[InstanceRow], share: float
) -> list[str]:
    """Return a line for each site that would have more than a ratio `share` of its instances unavailable.

    `rows` are all instances, `selected` those that an order takes out of service.
    """
    sizes = Counter(row.site for row in rows)
    newly_unavailable = Counter(row.site for row in selected if not row.is_unavailable)
    unavailable = Counter(row.site for row in rows if row.is_unavailable)
    return [
        f"{site}: {newly_unavailable[site]} of {size} would be taken out, {unavailable[site]} are out already"
        for site, size in sizes.items()
        if newly_unavailable[site] and newly_unavailable[site] + unavailable[site] > share * size
    ]
