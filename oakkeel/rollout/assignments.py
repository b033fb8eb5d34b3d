"""An agent's part in releases: what its things run from their next start on, and what it has to make ready.

Free of I/O: whoever acts keeps `changed` on disk before anything is started by it, makes the copies that
`to_prepare` names, and tells `prepared` how that ended.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from oakkeel.rollout.commands import VersionSpec
from oakkeel.rollout.messages import AgentReport, TargetStatus, decode_assignments, encode


@dataclass(slots=True, frozen=True)
class ArtifactRequest:
    """One copy to make: of what a version is, and of what the things here run without one."""

    release: str
    what: VersionSpec
    things: tuple[str, ...]


class VersionAssignments:
    def __init__(self, services: tuple[str, ...] = ()) -> None:
        self.services = frozenset(services)
        self.versions: dict[str, str] = {}  # by thing
        self.sources: dict[str, VersionSpec] = {}  # by version
        self.bases: dict[str, str] = {}  # by thing: its copy of what it runs without a version
        self.changed = False
        self.active = False  # whoever leads knows of releases
        self.watch = False
        self.release = ""
        self.ready: dict[str, str] = {}
        self.asked: set[str] = set()  # releases whose copies are made, or were
        self.missing: dict[str, ArtifactRequest] = {}

    def restore(
        self, versions: dict[str, str], sources: dict[str, VersionSpec], bases: dict[str, str]
    ) -> None:
        self.versions, self.sources, self.bases = versions, sources, bases

    def version(self, thing: str) -> str:
        """What its next process shall run; empty as its settings say."""
        return self.versions.get(thing, "")

    def told(self, runs: list[TargetStatus]) -> bytes:
        if not self.watch:
            runs = [
                TargetStatus(
                    each.name,
                    each.version,
                    each.generation,
                    each.phase,
                    each.age,
                    each.resting,
                    each.died,
                    each.load,
                )
                for each in runs
            ]
        return encode(AgentReport(runs, self.ready, self.bases if self.release else {}))

    def heard(self, content: bytes) -> None:
        """What the leader's answer says of our things. One that can't be read changes nothing."""
        if not content:
            return  # whoever leads knows of no releases
        try:
            heard = decode_assignments(content)
        except msgspec.MsgspecError:
            return
        self.active, self.watch = True, heard.watch
        if (self.versions, self.sources) != (heard.versions, heard.sources):
            self.versions, self.sources, self.changed = heard.versions, heard.sources, True
        if heard.release != self.release:
            self.release = heard.release
            self.ready = {ident: why for ident, why in self.ready.items() if ident == heard.release}
            self.asked &= {heard.release}
            if not heard.release and self.bases:
                self.bases, self.changed = {}, True  # it is over: what was there before is not needed
        things = tuple(thing for thing in heard.things if thing not in self.services)
        if heard.release and things and heard.release not in self.asked:
            self.asked.add(heard.release)
            self.missing[heard.release] = ArtifactRequest(heard.release, heard.what, things)

    def to_prepare(self) -> list[ArtifactRequest]:
        """Copies to be made now; each is asked for once, and again by an agent that starts anew."""
        found, self.missing = list(self.missing.values()), {}
        return found

    def prepared(self, release: str, why: str, bases: dict[str, str]) -> None:
        """`why` the new can't be run here, empty where it can; `bases` of the copies of what runs now."""
        if release != self.release:
            return
        self.ready[release] = why
        news = {thing: base for thing, base in bases.items() if thing not in self.bases}
        if news:
            self.bases |= news
            self.changed = True

    def needed(self) -> set[str]:
        """Versions whose copies are to stay."""
        return {*self.versions.values(), *self.sources, *self.bases.values()}
