"""Which things a release changes next, if any. Free of I/O; a function of what is seen, with its ages.

Nothing is taken that would leave a site or a service with less than what they need: the bounds on what is out
hold by the record, whatever is planned here. The plan stays inside them and beside them:

- what is old news is not touched, and counts as out;
- the last that serves of a group, or of those that hang on a service, stays;
- never both sides of a dependency at one time;
- those left at a site must carry its measured load, cold ones by their part;
- sites take turns, the one with the most left first.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from oakkeel.disruption.topology import Topology, UnavailableTargets

SECOND = 1_000_000_000
OLD = 3 * SECOND  # news of that age say nothing of now
COLD_PART = 0.25  # of its load that a cold one carries
TRIES = 64  # of one site, for one place in a batch


@dataclass(slots=True)
class TargetObservation:
    """One thing by the last news of it."""

    name: str
    phase: str = "unknown"
    generation: int = 0
    version: str = ""
    at: int = -(1 << 62)  # it is no older than that, by the driver's clock
    load: float = 0.0
    resting: bool = False

    def fresh(self, now: int) -> bool:
        return now - self.at <= OLD

    @property
    def serves(self) -> bool:
        return self.phase == "serving"


@dataclass(slots=True)
class BatchChoice:
    """What to change now; with nothing, why not."""

    things: list[str] = field(default_factory=list)
    why: str = ""


class BatchPlanner:
    """Made of a layout, asked before each batch."""

    def __init__(self, layout: Topology) -> None:
        self.layout = layout
        self.groups = {group.name: group for group in layout.groups}
        self.site: dict[str, str] = {}
        self.of: dict[str, list[str]] = {}
        for group in layout.groups:
            for thing in group.targets:
                self.of.setdefault(thing, []).append(group.name)
                if group.name.startswith("site "):
                    self.site[thing] = group.name
        # Those of one host apart from each other: a host starts few at a time, and may be lost whole.
        self.rank = {thing: place for things in layout.hosts.values() for place, thing in enumerate(things)}
        self.below: dict[str, list[str]] = {}  # by instance: services that it hangs on
        for service, instances in layout.dependents.items():
            for each in instances:
                self.below.setdefault(each, []).append(service)

    def choose(
        self,
        now: int,
        wanted: Iterable[str],
        seen: dict[str, TargetObservation],
        out: UnavailableTargets,
        most: int,
        ceiling: float,
        broken_first: bool,
        keep_last: bool = True,
    ) -> BatchChoice:
        """At most so many of those wanted. `broken_first`: what does not serve is changed first, as on a way
        back; else only after what serves, and never as the first of a release."""
        left: dict[str, int] = {}  # serving, by group
        capacity, load = self._sites(now, seen, out, left)
        free, able = [], []
        old = 0
        for thing in wanted:
            each = seen.get(thing)
            if each is None or not each.fresh(now):
                old += 1
            elif thing in out.reasons:
                if each.phase != "draining" and not any(
                    reason.startswith("hangs on") for reason in out.reasons[thing]
                ):
                    free.append(thing)
            else:
                able.append(thing)
        if not free and not able:
            return BatchChoice(
                [], f"{old} of which nothing new is known" if old else "all that is left is out"
            )
        choice, why = BatchChoice(), ""
        count: dict[str, int] = {}  # chosen, by site
        if broken_first:
            choice.things = free[:most]
        by_site: dict[str, list[str]] = {}
        for thing in sorted(able, key=lambda thing: (self.rank.get(thing, 0), thing), reverse=True):
            by_site.setdefault(self.site.get(thing, ""), []).append(thing)
        while len(choice.things) < most and by_site:
            found = ""
            for site in sorted(by_site, key=lambda site: (count.get(site, 0), -left.get(site, 0), site)):
                for thing in by_site[site][-TRIES:][::-1]:
                    why = self._against(
                        thing, choice.things, seen, out, left, capacity, load, ceiling, keep_last
                    )
                    if not why:
                        found = thing
                        break
                if found:
                    by_site[site].remove(found)
                    break
                del by_site[site]  # what stands against one there stands against it for this batch
            if not found:
                break
            self._take(found, left, capacity, count)
            choice.things.append(found)
        if not broken_first and len(choice.things) < most and (choice.things or not able):
            choice.things += free[: most - len(choice.things)]
        if not choice.things:
            choice.why = why or "all that is left is out"
        return choice

    def _sites(
        self, now: int, seen: dict[str, TargetObservation], out: UnavailableTargets, left: dict[str, int]
    ) -> tuple[dict[str, float], dict[str, float]]:
        """By site, what those that serve can carry and do carry; `left` is filled with counts by group."""
        capacity: dict[str, float] = {}
        load: dict[str, float] = {}
        for thing, names in self.of.items():
            each = seen.get(thing)
            site = self.site.get(thing, "")
            if each is None or not each.fresh(now):
                if thing not in out.reasons:  # a service below is told as up or not
                    for name in names:
                        left[name] = left.get(name, 0) + 1
                continue
            if each.serves and thing not in out.reasons:
                for name in names:
                    left[name] = left.get(name, 0) + 1
                capacity[site] = capacity.get(site, 0.0) + 1.0
                load[site] = load.get(site, 0.0) + each.load
            elif each.phase == "cold":
                capacity[site] = capacity.get(site, 0.0) + COLD_PART
                load[site] = load.get(site, 0.0) + each.load
        return capacity, load

    def _against(
        self,
        thing: str,
        chosen: list[str],
        seen: dict[str, TargetObservation],
        out: UnavailableTargets,
        left: dict[str, int],
        capacity: dict[str, float],
        load: dict[str, float],
        ceiling: float,
        keep_last: bool,
    ) -> str:
        for service in self.below.get(thing, ()):
            if service in out.reasons or service in chosen:
                return f"{service} is out, on which {thing} hangs"
        hanging = self.layout.dependents.get(thing, ())
        for each in hanging:
            if each in out.reasons or each in chosen:
                return f"{each} is out, which hangs on {thing}"
        for name in self.of.get(thing, ()):
            if keep_last and left.get(name, 0) <= 1 and len(self.groups[name].targets) > 1:
                return f"{thing} is the last that serves of {name}"
        for name in {name for each in hanging for name in self.of.get(each, ())}:
            group = self.groups[name].targets
            if keep_last and left.get(name, 0) <= sum(each in group for each in hanging):
                return f"what hangs on {thing} is the last that serves of {name}"
        if why := out.find_violation([*chosen, thing]):
            return why
        site = self.site.get(thing, "")
        for place in {site, *(self.site.get(each, "") for each in hanging)}:
            lost = sum(self.site.get(each, "") == place for each in (thing, *hanging)) if place else 0
            if not lost or lost >= len(self.groups[place].targets):
                continue  # it is all of the site, which nobody there could carry
            can = capacity.get(place, 0.0) - lost
            if load.get(place, 0.0) > 0.05 and load[place] > ceiling * max(can, 1e-9):
                return (
                    f"{place}: those left would carry {load[place]:.2f} on {max(0.0, can):.2f} nodes'"
                    f" worth of cores, over {ceiling:g}"
                )
        return ""

    def _take(
        self, thing: str, left: dict[str, int], capacity: dict[str, float], count: dict[str, int]
    ) -> None:
        for each in (thing, *self.layout.dependents.get(thing, ())):
            for name in self.of.get(each, ()):
                left[name] = left.get(name, 0) - 1
            site = self.site.get(each, "")
            capacity[site] = capacity.get(site, 0.0) - 1.0
        site = self.site.get(thing, "")
        count[site] = count.get(site, 0) + 1
