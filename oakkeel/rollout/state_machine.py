"""The ledger with releases in it: what each thing shall run, and how far the open release has come.

Every command of a driver carries the fence of its lease and the number of the step that it saw last: an old
driver that wakes, and a step that was taken already, are refused alike on every keeper. Free of I/O and time.
"""

from __future__ import annotations

from typing import Any, ClassVar

import msgspec

from oakkeel.disruption import commands as places
from oakkeel.disruption.state_machine import ControlPlaneState, DisruptionOrder, PermitStateMachine, Rejection
from oakkeel.rollout import commands
from oakkeel.rollout.commands import MAX_TARGETS, RolloutPolicy, VersionSpec

LEASE = "release"  # whoever holds it drives
MAX_RELEASES = 32  # releases that are over
MAX_GATE_STATE_BYTES = 16 * 1024  # bytes of what the gates have seen

# Of a release. preparing: hosts make their copies; running, undoing: forth and back; halted: nothing further
# leaves until an operator says how it goes on.
TRANSITIONS = {
    "preparing": {"running", "left"},
    "running": {"paused", "halted", "undoing", "done"},
    "paused": {"running", "halted", "undoing"},
    "halted": {"running", "undoing", "left"},
    "undoing": {"halted", "undone"},
    "done": set(),
    "undone": set(),
    "left": set(),
}
FINAL_STATES = ("done", "undone", "left")
# Of a part.
TARGET_TRANSITIONS = {"old": {"changing"}, "changing": {"old", "new"}, "new": {"changing"}}


class ReleaseTarget(msgspec.Struct, array_like=True):
    """One thing of a release. `RolloutStateMachine._put` alone changes its state."""

    was: str  # the version before
    state: str = "old"
    base: str = ""  # the copy of what it ran, should its settings be other ones by then
    tries: int = 0


class Release(msgspec.Struct, array_like=True):
    ident: str
    operator: str
    unix: int
    index: int
    what: VersionSpec
    pace: RolloutPolicy
    parts: dict[str, ReleaseTarget]
    state: str = "preparing"
    step: int = 0  # changed by everything that a driver does
    batch: int = 0  # of the last one
    now: list[str] = []  # the things of the batch that is under way
    controls: list[str] = []  # and those that begin anew beside them
    ready: list[str] = []  # hosts
    back: bool = False  # what is halted was on its way back
    why: str = ""
    seen: bytes = b""
    said: str = ""
    turns: int = 0  # words of operators
    forward: bool = True  # the batch under way brings the new

    @property
    def over(self) -> bool:
        return self.state in FINAL_STATES

    @property
    def order(self) -> str:
        """The id of its last batch's order."""
        return f"{self.ident}.{self.batch}"

    def to(self, thing: str) -> str:
        """The version that it shall have in the direction in which it goes."""
        part = self.parts[thing]
        return part.base or part.was if self.back else self.what.version


class RolloutState(ControlPlaneState, array_like=True):
    releases: dict[str, Release] = {}
    versions: dict[str, str] = {}  # that a thing runs from its next start on; none: as its settings say
    sources: dict[str, VersionSpec] = {}  # of versions that some thing may have


_snapshot_decoder = msgspec.msgpack.Decoder(RolloutState)


class RolloutStateMachine(PermitStateMachine):
    state: RolloutState

    def decode_command(self, content: bytes) -> Any:
        return commands.decode(content)

    def decode_snapshot(self, content: bytes) -> RolloutState:
        return _snapshot_decoder.decode(content) if content else RolloutState()

    @property
    def open(self) -> Release | None:
        """There is one at most."""
        return next((each for each in self.state.releases.values() if not each.over), None)

    # An operator's.

    def _begin(self, index: int, command: commands.StartRelease) -> object:
        held, what = self.state, command.what
        if known := held.releases.get(command.ident):
            same = (known.operator, known.what, sorted(known.parts)) == (
                command.operator,
                what,
                sorted(command.things),
            )
            return known if same else Rejection(f"that id is of another release, by {known.operator}")
        if other := self.open:
            return Rejection(
                f"{other.operator}'s release {other.ident} is {other.state}: it has to end first"
            )
        things = command.things
        if (
            not command.ident
            or len(command.ident) > 48
            or "." in command.ident
            or not things
            or len(set(things)) != len(things)
            or len(things) > MAX_TARGETS
        ):
            return Rejection("no id without a dot, nothing named, something twice, or too much at once")
        known_things = {thing for here in held.topology.hosts.values() for thing in here}
        services = {
            thing
            for group in held.topology.groups
            if group.name.startswith("kind ")
            for thing in group.targets
        }
        if unknown := sorted(set(things) - known_things):
            return Rejection(f"there is no {unknown[0]}")
        if wrong := [thing for thing in things if (thing in services) != what.services]:
            return Rejection(f"{wrong[0]}: instances and services below are released one after the other")
        if not what.version:
            return Rejection("no version is named")
        parts = {thing: ReleaseTarget(held.versions.get(thing, "")) for thing in things}
        if same_now := [thing for thing, part in parts.items() if part.was == what.version]:
            return Rejection(f"{same_now[0]} has that version already")
        if not what.services and not what.as_set:
            for thing, part in parts.items():
                ran = held.sources.get(part.was, VersionSpec(""))
                for name in ("program", "patch"):
                    if getattr(ran, name) and not getattr(what, name):
                        return Rejection(
                            f"{thing} runs a released {name}: name one here too, or say that it"
                            " shall be as the settings say"
                        )
        release = Release(command.ident, command.operator, command.unix, index, what, command.pace, parts)
        held.releases[release.ident] = release
        if not what.services:
            held.sources[what.version] = what
        for ident in [each.ident for each in held.releases.values() if each.over][:-MAX_RELEASES]:
            del held.releases[ident]
        return release

    def _turn(self, index: int, command: commands.ControlRelease) -> object:
        release = self.state.releases.get(command.ident)
        if release is None:
            return Rejection("no such release")
        to, by = command.to, f"by {command.operator}"
        if to == "abort" and release.state == "preparing":
            to = "leave"
        if to == "undo" and release.state == "preparing":
            return Rejection("nothing of it was changed yet: abort it")
        state = {
            "pause": "paused",
            "abort": "halted",
            "undo": "undoing",
            "leave": "left",
            "resume": "undoing" if release.back else "running",
        }.get(to, "")
        if state == release.state:
            return release
        if state not in TRANSITIONS[release.state]:
            return Rejection(f"it is {release.state}, and can't be told to {to}")
        release.turns += 1
        if to == "resume" and release.state == "halted":  # an operator knows better than the gates
            release.seen = b""
            for part in release.parts.values():
                part.tries = 0
        return self._shift(release, state, by)

    # A driver's.

    def _of(self, command: Any, *states: str) -> Release | Rejection:
        """The release that a driver's step is for, if the step holds."""
        release, lease = self.state.releases.get(command.ident), self.state.leases.get(LEASE)
        if lease is None or lease.fencing_token != command.fence:
            return Rejection("another drives by now, or none")
        if release is None or release.state not in states:
            return Rejection("no such release, or it is not at that")
        if command.step != release.step:
            return Rejection(f"step {command.step} was taken: it is at {release.step}")
        return release

    def _ready(self, index: int, command: commands.ReportPrepared) -> object:
        release, lease = self.state.releases.get(command.ident), self.state.leases.get(LEASE)
        if (
            lease is None
            or lease.fencing_token != command.fence
            or release is None
            or release.state != "preparing"
        ):
            return Rejection("nothing is prepared, or another drives")
        if command.why:
            return self._shift(release, "left", f"{command.host} can't take it: {command.why}")
        if command.host not in release.ready:
            release.ready.append(command.host)
            for thing, base in command.bases.items():
                if thing in release.parts:
                    release.parts[thing].base = base
        return release

    def _go(self, index: int, command: commands.BeginRollout) -> object:
        release = self._of(command, "preparing")
        if isinstance(release, Rejection):
            return release
        release.step += 1
        return self._shift(release, "running", "")

    def _batch(self, index: int, command: commands.StartBatch) -> object:
        release = self._of(command, "running", "undoing")
        if isinstance(release, Rejection):
            return release
        names = [thing for thing, _ in command.things]
        if release.now or not names or any(thing not in release.parts for thing in names):
            return Rejection("a batch is under way, or something of this one can't be changed now")
        held = self.state
        verb = "drain" if release.what.services else "restart"
        order = self._order(
            index,
            places.SubmitOrder(
                f"{release.ident}.{release.batch + 1}",
                release.operator,
                verb,
                command.unix,
                release.pace.lasts,
                False,
                [*command.things, *command.controls],
            ),
        )
        if isinstance(order, Rejection):
            return order
        release.step, release.batch = release.step + 1, release.batch + 1
        for thing in names:
            part = release.parts[thing]
            part.tries += 1
            self._put(part, "changing")
            self._shall_run(thing, release.to(thing))
        release.forward = not release.back
        release.now, release.controls = names, [thing for thing, _ in command.controls]
        assert isinstance(order, DisruptionOrder)
        if not order.open:  # all of it was refused: to be settled all the same
            held.orders.setdefault(order.id, order)
        return order

    def _settle(self, index: int, command: commands.FinishBatch) -> object:
        release = self._of(command, "running", "paused", "halted", "undoing")
        if isinstance(release, Rejection):
            return release
        release.step += 1
        for thing in release.now:
            part = release.parts[thing]
            new = thing in command.new
            self._put(part, "new" if new else "old")
            self._shall_run(thing, release.what.version if new else part.base or part.was)
        release.now = []
        return release

    def _judge(self, index: int, command: commands.RecordVerdict) -> object:
        release = self._of(command, "running", "paused", "undoing")
        if isinstance(release, Rejection):
            return release
        release.step += 1
        if len(command.seen) <= MAX_GATE_STATE_BYTES:
            release.seen = command.seen
        release.said = command.said[:500]
        if command.why:
            going_back = release.state == "undoing"
            self._shift(release, "halted", command.why[:500])
            if release.pace.back and not going_back:
                self._shift(release, "undoing", command.why[:500])
        return release

    def _finish(self, index: int, command: commands.FinishRelease) -> object:
        release = self._of(command, "running", "undoing")
        if isinstance(release, Rejection):
            return release
        end = "old" if release.back else "new"
        if release.now or any(part.state != end for part in release.parts.values()):
            return Rejection("not all of it is there")
        release.step += 1
        return self._shift(release, "undone" if release.back else "done", "")

    # Changes.

    def _shall_run(self, thing: str, version: str) -> None:
        if version:
            self.state.versions[thing] = version
        else:
            self.state.versions.pop(thing, None)

    def _put(self, part: ReleaseTarget, state: str) -> None:
        """The one place where the state of a part changes."""
        if state not in TARGET_TRANSITIONS[part.state] and state != part.state:
            raise RuntimeError(f"{part.state} to {state}")
        part.state = state

    def _shift(self, release: Release, state: str, why: str) -> Release:
        """The one place where the state of a release changes."""
        if state not in TRANSITIONS[release.state]:
            raise RuntimeError(f"{release.state} to {state}")
        was, release.state = release.state, state
        release.why = why or release.why
        order = self.state.orders.get(release.order)
        if state in ("paused", "halted", "undoing") and order and order.open:
            order.halted_by = order.halted_by or release.operator
            self._end_waiting(order, "halted", f"release {release.ident} {state}")
            if state == "undoing":  # what does not come up is not waited for
                order.cancelled_by = order.cancelled_by or release.operator
        if state == "undoing":
            if not release.back:
                release.seen = b""
                for part in release.parts.values():
                    part.tries = 0
            release.back = True
        if state in FINAL_STATES:
            for thing, part in release.parts.items():
                if part.state == "old":
                    self._shall_run(thing, part.was)
            wanted = {*self.state.versions.values()}
            self.state.sources = {
                version: what for version, what in self.state.sources.items() if version in wanted
            }
        if was == "preparing" or state == "running":
            release.why = why
        return release

    HANDLERS: ClassVar[dict[type, Any]] = {
        **PermitStateMachine.HANDLERS,
        commands.StartRelease: _begin,
        commands.ControlRelease: _turn,
        commands.ReportPrepared: _ready,
        commands.BeginRollout: _go,
        commands.StartBatch: _batch,
        commands.FinishBatch: _settle,
        commands.RecordVerdict: _judge,
        commands.FinishRelease: _finish,
    }
