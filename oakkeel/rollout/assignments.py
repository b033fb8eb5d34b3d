"""The versions assigned to the targets of an agent, and the copies that the agent has to make for a release.

Free of I/O: the agent stores changed assignments (`needs_storing`) before it starts a process of an assigned
version, makes the copies that `take_requests` returns, and passes the result to `record_prepared`.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from oakkeel.rollout.commands import VersionSpec
from oakkeel.rollout.messages import AgentReport, TargetStatus, decode_assignments, encode


@dataclass(slots=True, frozen=True)
class ArtifactRequest:
    """A request to copy a version, and the content that targets without an assigned version run."""

    release: str
    spec: VersionSpec
    targets: tuple[str, ...]


class VersionAssignments:
    """The versions of the targets of an agent, as last received from the leader."""

    def __init__(self, services: tuple[str, ...] = ()) -> None:
        """`services` are the downstream services that the agent watches; they need no copies."""
        self.services = frozenset(services)
        self.versions: dict[str, str] = {}  # by target
        self.sources: dict[str, VersionSpec] = {}  # by version
        # By target without an assigned version: the version of the copy of its content, for a rollback.
        self.bases: dict[str, str] = {}
        self.needs_storing = False  # whether the agent has to store the assignments
        self.leader_supports_releases = False  # whether the leader supports releases
        self.collect_samples = False  # whether reports contain samples
        self.release = ""  # ID of the open release, empty if there is none
        # By release: the reason why this host can't run its version; empty if it can.
        self.prepared: dict[str, str] = {}
        self.requested: set[str] = set()  # releases whose copies were requested
        self.pending: dict[str, ArtifactRequest] = {}  # by release, until `take_requests` returns them

    def restore(
        self, versions: dict[str, str], sources: dict[str, VersionSpec], bases: dict[str, str]
    ) -> None:
        """Restore the assignments that an earlier process of the agent stored."""
        self.versions = versions
        self.sources = sources
        self.bases = bases

    def version(self, target: str) -> str:
        """Return the version of a target's next process; empty for the version in the settings."""
        return self.versions.get(target, "")

    def encode_report(self, statuses: list[TargetStatus]) -> bytes:
        """Return the encoded report to send; it has samples only while a release is open."""
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
        """Adopt the assignments of the leader; content that can't be decoded is ignored."""
        if not content:
            return  # the leader does not support releases
        try:
            received = decode_assignments(content)
        except msgspec.MsgspecError:
            return
        self.leader_supports_releases = True
        self.collect_samples = received.collect_samples
        if (self.versions, self.sources) != (received.versions, received.sources):
            self.versions = received.versions
            self.sources = received.sources
            self.needs_storing = True
        if received.release != self.release:
            self.release = received.release
            self.prepared = {ident: why for ident, why in self.prepared.items() if ident == received.release}
            self.requested &= {received.release}
            if not received.release and self.bases:
                self.bases = {}  # the release has ended: no rollback needs them
                self.needs_storing = True
        targets = tuple(target for target in received.targets if target not in self.services)
        if received.release and targets and received.release not in self.requested:
            self.requested.add(received.release)
            self.pending[received.release] = ArtifactRequest(received.release, received.spec, targets)

    def take_requests(self) -> list[ArtifactRequest]:
        """Return the requests for copies to make now; each is returned once, and again after a restart."""
        requests = list(self.pending.values())
        self.pending = {}
        return requests

    def record_prepared(self, release: str, why: str, bases: dict[str, str]) -> None:
        """Record why this host can't run the version of a release, empty if it can, and its copies.

        `bases` has the version of the copied content by target; `why` is reported to the leader.
        """
        if release != self.release:
            return
        self.prepared[release] = why
        added = {target: base for target, base in bases.items() if target not in self.bases}
        if added:
            self.bases |= added
            self.needs_storing = True

    def needed_versions(self) -> set[str]:
        """Return the versions whose copies the agent has to keep."""
        return {*self.versions.values(), *self.sources, *self.bases.values()}
