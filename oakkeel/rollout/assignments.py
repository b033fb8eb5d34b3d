"""An agent's part in releases: what its targets run from their next start on, and what it has to prepare.

Free of I/O: the agent stores a change (`changed`) before it starts anything by it, makes the copies that
`take_requests` names, and reports the result to `record_prepared`.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from oakkeel.rollout.commands import VersionSpec
from oakkeel.rollout.messages import AgentReport, TargetStatus, decode_assignments, encode


@dataclass(slots=True, frozen=True)
class ArtifactRequest:
    """Copies to make: of a version's content, and of what the targets here run without a version."""

    release: str
    spec: VersionSpec
    targets: tuple[str, ...]


class VersionAssignments:
    """The versions assigned to an agent's targets, as it last received from the leader."""

    def __init__(self, services: tuple[str, ...] = ()) -> None:
        """`services` are downstream services watched here, for which nothing is prepared."""
        self.services = frozenset(services)
        self.versions: dict[str, str] = {}  # by target
        self.sources: dict[str, VersionSpec] = {}  # by version
        self.bases: dict[str, str] = {}  # by target: its copy of what it runs without a version
        self.changed = False
        self.active = False  # the leader knows of releases
        self.collect_samples = False
        self.release = ""
        self.prepared: dict[str, str] = {}  # by release: why it can't be installed, empty where it can
        self.requested: set[str] = set()  # releases whose copies are being made, or were
        self.pending: dict[str, ArtifactRequest] = {}

    def restore(
        self, versions: dict[str, str], sources: dict[str, VersionSpec], bases: dict[str, str]
    ) -> None:
        """Take over what was stored by an earlier process of the agent."""
        self.versions, self.sources, self.bases = versions, sources, bases

    def version(self, target: str) -> str:
        """Return the version of a target's next process; empty: as its settings say."""
        return self.versions.get(target, "")

    def encode_report(self, statuses: list[TargetStatus]) -> bytes:
        """Return the report to send; samples are left out while no release needs them."""
        if not self.collect_samples:
            statuses = [
                TargetStatus(
                    status.name,
                    status.version,
                    status.generation,
                    status.phase,
                    status.age,
                    status.backing_off,
                    status.deaths,
                    status.load,
                )
                for status in statuses
            ]
        return encode(AgentReport(statuses, self.prepared, self.bases if self.release else {}))

    def handle_response(self, content: bytes) -> None:
        """Take over the leader's assignments. Content that can't be decoded changes nothing."""
        if not content:
            return  # the leader knows of no releases
        try:
            received = decode_assignments(content)
        except msgspec.MsgspecError:
            return
        self.active, self.collect_samples = True, received.collect_samples
        if (self.versions, self.sources) != (received.versions, received.sources):
            self.versions, self.sources, self.changed = received.versions, received.sources, True
        if received.release != self.release:
            self.release = received.release
            self.prepared = {ident: why for ident, why in self.prepared.items() if ident == received.release}
            self.requested &= {received.release}
            if not received.release and self.bases:
                self.bases, self.changed = {}, True  # it has ended: what ran before is not needed
        targets = tuple(target for target in received.targets if target not in self.services)
        if received.release and targets and received.release not in self.requested:
            self.requested.add(received.release)
            self.pending[received.release] = ArtifactRequest(received.release, received.spec, targets)

    def take_requests(self) -> list[ArtifactRequest]:
        """Return the copies to make now; status is requested once, and again after a restart of the agent."""
        requests, self.pending = list(self.pending.values()), {}
        return requests

    def record_prepared(self, release: str, why: str, bases: dict[str, str]) -> None:
        """Record why the new version can't run here, empty where it can, and the copies of what runs now."""
        if release != self.release:
            return
        self.prepared[release] = why
        added = {target: base for target, base in bases.items() if target not in self.bases}
        if added:
            self.bases |= added
            self.changed = True

    def needed_versions(self) -> set[str]:
        """Return the versions whose copies have to stay."""
        return {*self.versions.values(), *self.sources, *self.bases.values()}
