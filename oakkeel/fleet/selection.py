"""Which instances an operator means, and what an order would take out. Free of I/O."""

from __future__ import annotations

import fnmatch
from collections import Counter
from dataclasses import dataclass

from oakkeel.agent.instances import Phase
from oakkeel.fleet.view import Row

STATES = [phase.value for phase in Phase] + ["unknown", "old"]


class SelectionError(ValueError):
    """Nothing is meant, or something that is not there; the text is one plain line."""


@dataclass(slots=True, frozen=True)
class Selection:
    """Names may be globs. An empty field allows all; several allow what each of them allows."""

    names: tuple[str, ...] = ()
    sites: tuple[str, ...] = ()
    hosts: tuple[str, ...] = ()
    states: tuple[str, ...] = ()

    @property
    def all(self) -> bool:
        return not (self.names or self.sites or self.hosts or self.states)

    def among(self, rows: list[Row]) -> list[Row]:
        """The rows that are meant, in their order. Raises ChoiceError for a word that fits nothing at all."""
        for words, field in ((self.names, "name"), (self.sites, "site"), (self.hosts, "host")):
            for word in words:
                if not any(fnmatch.fnmatchcase(getattr(row, field), word) for row in rows):
                    raise SelectionError(
                        f"no instance has the {field} {word!r}"
                        if field == "name"
                        else f"there is no {field} {word!r}"
                    )
        return [row for row in rows if self._means(row)]

    def _means(self, row: Row) -> bool:
        def fits(words: tuple[str, ...], value: str) -> bool:
            return not words or any(fnmatch.fnmatchcase(value, word) for word in words)

        return (
            fits(self.names, row.name)
            and fits(self.sites, row.site)
            and fits(self.hosts, row.host)
            and (not self.states or row.state in self.states or (row.old and "old" in self.states))
        )


def by_host(rows: list[Row]) -> dict[str, list[tuple[str, int]]]:
    """What to order from each agent: names with the generations seen. Rows that nobody told of are out."""
    wanted: dict[str, list[tuple[str, int]]] = {}
    for row in rows:
        if row.told is not None:
            wanted.setdefault(row.host, []).append((row.name, row.told.generation))
    return wanted


def sites_over_share(rows: list[Row], chosen: list[Row], share: float) -> list[str]:
    """The sites of which an order would take out more than a share, each with a line that says how much."""
    sizes = Counter(row.site for row in rows)
    serving = Counter(row.site for row in chosen if not row.out)
    out = Counter(row.site for row in rows if row.out)
    return [
        f"{site}: {serving[site]} of {size} would leave, {out[site]} are out already"
        for site, size in sizes.items()
        if serving[site] and serving[site] + out[site] > share * size
    ]
