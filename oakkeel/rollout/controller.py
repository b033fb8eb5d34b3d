"""Whoever drives the open release: what it may do, when, and why not yet. Free of I/O.

Made when a keeper begins to lead, thrown away when it leads no more. It acts while it holds the lease, by
commands that carry the lease's fence and the step that they follow; all else that it knows, it can lose: the
next driver goes on from the record, and from what agents tell within a moment.
"""

from __future__ import annotations

import msgspec

from oakkeel.disruption import commands as places
from oakkeel.disruption.allocator import PermitAllocator
from oakkeel.disruption.lease_holder import LeaseHolder
from oakkeel.disruption.messages import Heartbeat
from oakkeel.disruption.state_machine import OPEN_STATES, Rejection
from oakkeel.rollout import commands
from oakkeel.rollout.gates import Decision, Gate
from oakkeel.rollout.messages import AgentAssignments, decode_report, encode
from oakkeel.rollout.plan import BatchPlanner, TargetObservation
from oakkeel.rollout.state_machine import LEASE, Release, RolloutStateMachine

MS = 1_000_000
SECOND = 1000 * MS
LASTS = 2 * SECOND  # the lease; renewed after a quarter of it
AGAIN = 200 * MS  # after somebody else was found to hold it, or a step was refused
KEEP_EVERY = 2 * SECOND  # what the gates have seen is put to the record
MOST = 500  # things of one batch
LOOK_AGAIN = 250 * MS  # for things to change, where there was none
TRIES = 4  # of one thing, before the release halts
PREPARE = 120 * SECOND
EXPIRED = "its time"  # by which an order is halted that has run out of it
LATE = 8 * SECOND  # past the time of a batch, before it counts as lost


class RolloutController:
    """Times are nanoseconds of the leader's monotonic clock."""

    def __init__(self, now: int, book: RolloutStateMachine, allocator: PermitAllocator, holder: str) -> None:
        """`holder` is a name that no driver before had."""
        self.book, self.allocator = book, allocator
        self.lease = LeaseHolder(LEASE, holder, LASTS)
        self.asked_at = 0  # when the lease was asked for, until that is answered
        self.ask_at = now
        self.seen: dict[str, TargetObservation] = {}
        self.died: dict[str, tuple[int, int]] = {}  # by thing: life of its agent, deaths told
        self.planner = BatchPlanner(allocator.topology)
        self.gate: Gate | None = None
        self.gate_of = ""  # release and direction
        self.since = now  # when the last batch was up, or the release began, as far as we know
        self.batch_at = now  # when we first saw the batch that is under way
        self.batch_of = (0, "", 0)
        self.kept_at = now
        self.act_at = now  # not before
        self.waiting: bytes = b""  # a step that was proposed and is not agreed yet
        self.why = ""  # nothing is done just now

    # What agents tell.

    def receive_heartbeat(self, now: int, poll: Heartbeat) -> list[commands.Command | places.Command]:
        """News of one host, no older than what its echo shows."""
        host = self.allocator.sessions.get(poll.host)
        if (
            host is None
            or host.incarnation != poll.incarnation
            or host.sequence != poll.sequence
            or not host.echoed_at
        ):
            return []  # overtaken, or nobody knows how old it is
        try:
            told = decode_report(poll.extension)
        except msgspec.MsgspecError:
            return []  # of a version that says other things
        release = self.book.open
        for run in told.runs:
            if self.allocator.host_of.get(run.name) != poll.host:
                continue
            known = self.seen.get(run.name)
            if known and known.at > host.echoed_at:
                continue
            before = known.version if known else run.version
            self.seen[run.name] = TargetObservation(
                run.name,
                run.phase,
                run.generation,
                run.version or (before if run.age < 0 else ""),
                host.echoed_at,
                run.load,
                run.resting,
            )
            if release:
                self._measure(now, release, poll.incarnation, run, before)
        if release and release.state == "preparing" and self.lease.is_held(now):
            return [
                commands.ReportPrepared(
                    release.ident,
                    self.lease.fencing_token,
                    poll.host,
                    why,
                    {
                        thing: base
                        for thing, base in told.bases.items()
                        if self.allocator.host_of.get(thing) == poll.host
                    },
                )
                for ident, why in told.ready.items()
                if ident == release.ident and (why or poll.host not in release.ready)
            ]
        return []

    def _measure(self, now: int, release: Release, life: int, run, before: str) -> None:
        gate = self._gate(now, release)
        arm = self._arm(release, run.name, run.version)
        was = self.died.get(run.name)
        self.died[run.name] = life, run.died
        if was and was[0] == life and run.died > was[1]:
            arms = [
                self._arm(release, name, each.version)
                for name, each in self.seen.items()
                if each.serves or name == run.name
            ]
            gate.died(run.name, self._arm(release, run.name, before), arms.count("new"), arms.count("old"))
        if run.figures is not None and run.phase in ("serving", "cold"):
            gate.heard(now, run.name, arm, run.version, run.generation, run.phase == "cold", run.figures)

    def _arm(self, release: Release, thing: str, version: str) -> str:
        """New, old, or neither. Of services it is what an instance hangs on that counts."""
        if not release.what.services:
            if thing not in release.parts:
                return "old" if version != release.what.version else "new"
            return "new" if version == release.what.version else "old"
        on = {
            release.parts[service].state
            for service in self.planner.below.get(thing, ())
            if service in release.parts
        }
        return {"old": "old", "new": "new"}.get(on.pop(), "") if len(on) == 1 else ""

    def _gate(self, now: int, release: Release) -> Gate:
        name = f"{release.ident} {release.back} {release.turns}"
        if self.gate is None or self.gate_of != name:
            self.gate, self.gate_of = Gate(now, release.seen, release.pace.margin), name
            self.since = now
        return self.gate

    def respond(self, now: int, host: str) -> bytes:
        """What a host's agent hears with each answer."""
        held, release = self.book.state, self.book.open
        here = self.allocator.topology.hosts.get(host, ())
        versions = {thing: held.versions[thing] for thing in here if thing in held.versions}
        heard = AgentAssignments(
            versions,
            {version: held.sources[version] for version in {*versions.values()} if version in held.sources},
        )
        if release:
            heard.watch, heard.release, heard.what = True, release.ident, release.what
            heard.things = [thing for thing in here if thing in release.parts]
        return encode(heard)

    # What is agreed.

    def applied(self, now: int, command: object, result: object) -> None:
        if isinstance(command, places.SetTopology):
            self.planner = BatchPlanner(self.allocator.topology)
        if (
            isinstance(command, places.AcquireLease)
            and command.name == LEASE
            and command.holder == self.lease.holder
        ):
            if not self.lease.receive_result(self.asked_at, result):
                self.ask_at = now + AGAIN
            self.asked_at = 0
        if self.waiting and places.encode(command) == self.waiting:  # type: ignore[arg-type]
            self.waiting = b""
            if isinstance(result, Rejection):
                self.why, self.act_at = result.reason, now + AGAIN
            elif isinstance(command, commands.FinishBatch):
                self.since = now

    def lost(self, command: object) -> None:
        if isinstance(command, places.AcquireLease):
            self.asked_at = 0
        if self.waiting and places.encode(command) == self.waiting:  # type: ignore[arg-type]
            self.waiting = b""

    # What to do.

    def tick(self, now: int) -> list[commands.Command | places.Command]:
        wanted: list[commands.Command | places.Command] = []
        release = self.book.open
        if release is None:
            self.gate, self.gate_of = None, ""
            return wanted
        if (
            not self.asked_at
            and now >= self.ask_at
            and (not self.lease.is_held(now) or now > self.lease.expires_at - LASTS * 3 // 4)
        ):
            self.asked_at, self.ask_at = now, now + AGAIN
            wanted.append(self.lease.acquire_command())
        if not self.lease.is_held(now) or self.waiting or now < self.act_at:
            return wanted
        gate = self._gate(now, release)
        gate.look(now)
        if (step := self._step(now, release, gate)) is not None:
            self.waiting = places.encode(step)  # type: ignore[arg-type]
            wanted.append(step)
        return wanted

    def _step(self, now: int, release: Release, gate: Gate) -> commands.Command | None:
        """The next thing to do, if there is one: the ordinary path from its beginning to its end."""
        head = release.ident, self.lease.fencing_token, release.step
        if release.state == "preparing":
            return self._prepare(now, release)
        if release.now:
            return self._finish_batch(now, release, gate)
        if release.state not in ("running", "undoing"):
            self.why = ""
            return None
        end = "old" if release.back else "new"
        left = [
            thing
            for thing, part in release.parts.items()
            if part.state != end or self._strays(now, release, thing)
        ]
        if gated := self._gated(now, release, gate):
            return gated
        if self.why:
            return None
        if not left:
            if unheard := [
                thing
                for thing in release.parts
                if not release.what.services
                and ((each := self.seen.get(thing)) is None or not each.fresh(now))
            ]:
                self.why = f"waits to hear what {', '.join(unheard[:5])} run"
                return None
            return commands.FinishRelease(*head)
        if worn := [thing for thing in left if release.parts[thing].tries >= TRIES]:
            return self._halt(
                release,
                gate,
                f"{worn[0]} was changed {TRIES} times, and is not there: {self._story(release, worn[0])}",
            )
        return self._next_batch(now, release, left)

    def _prepare(self, now: int, release: Release) -> commands.Command | None:
        hosts = {self.allocator.host_of[thing] for thing in release.parts if thing in self.allocator.host_of}
        missing = sorted(hosts - set(release.ready)) if not release.what.services else []
        if not missing:
            return commands.BeginRollout(release.ident, self.lease.fencing_token, release.step)
        self.why = f"{', '.join(missing[:5])} not ready yet"
        if now - self.since > PREPARE:
            return commands.ReportPrepared(
                release.ident, self.lease.fencing_token, missing[0], "it did not say in time", {}
            )
        return None

    # A batch that is under way.

    def _finish_batch(self, now: int, release: Release, gate: Gate) -> commands.Command | None:
        """Settle it once all of it has come to an end, or halt where it does not."""
        batch = release.batch, release.ident, release.turns  # told to go on, it has its time anew
        if self.batch_of != batch:
            self.batch_of, self.batch_at = batch, now
        held, order = self.book.state, self.book.state.orders.get(release.order)
        parts = order.tasks if order else {}
        open_ones = [
            thing
            for thing in (*release.now, *release.controls)
            if thing in parts and parts[thing].state in OPEN_STATES
        ]
        halted = bool(order and order.halted_by not in ("", EXPIRED))
        stopped = release.state in ("paused", "halted") or halted or release.forward is release.back
        failed = [thing for thing in release.now if thing in parts and parts[thing].state == "failed"]
        if not stopped:
            if failed:
                return self._halt(
                    release,
                    gate,
                    f"{failed[0]} did not come up with the"
                    f" {'old' if release.back else 'new'}:"
                    f" {self._story(release, failed[0])}",
                )
            if release.pace.gated and not release.back:
                verdict = gate.verdict(gate.full())
                if verdict.answer is Decision.WORSE:
                    return self._halt(release, gate, verdict.why)
        if release.state in ("running", "undoing") and now - self.batch_at > release.pace.lasts + LATE:
            late = next((thing for thing in open_ones or release.now), "")
            return self._halt(release, gate, f"{late} was not heard of in the time of its batch")
        out = [
            thing
            for thing in release.now
            if thing in held.permits and held.permits[thing].order_id == release.order
        ]
        came = [thing for thing in release.now if self._came(now, release, thing)]
        if open_ones or out:
            # What is broken will not come back by itself: a halted release says so and lets it be.
            missing = {*open_ones, *out} & set(release.now)
            if not stopped or any(not self._broken(now, thing) for thing in missing):
                self.why = f"batch {release.batch}: {', '.join((open_ones or out)[:5])} not back yet"
                return None
        elif not stopped and len(came) < len(release.now) and not self._refused(parts, release):
            self.why = f"batch {release.batch}: waits to hear what it runs"
            return None
        if (
            any(not (each := self.seen.get(thing)) or not each.fresh(now) for thing in release.now)
            and not release.what.services
        ):
            self.why = "waits to hear of all in the batch"
            return None
        self.why = ""
        return commands.FinishBatch(
            release.ident,
            self.lease.fencing_token,
            release.step,
            [thing for thing in release.now if self._is_new(release, thing, parts)],
        )

    def _refused(self, parts: dict, release: Release) -> bool:
        """Nothing of what has not come was begun: it can be tried again."""
        return all(
            parts[thing].state in ("refused", "expired", "halted", "cancelled", "done")
            for thing in release.now
            if thing in parts
        )

    def _came(self, now: int, release: Release, thing: str) -> bool:
        each = self.seen.get(thing)
        if release.what.services:
            return thing not in self.allocator.unavailable.reasons
        return bool(
            each
            and each.fresh(now)
            and each.phase in ("cold", "serving")
            and (each.version == release.what.version) is release.forward
        )

    def _strays(self, now: int, release: Release, thing: str) -> bool:
        """It runs something else than it was settled with: it died before its agent had heard of that."""
        each = self.seen.get(thing)
        if release.what.services or each is None or not each.fresh(now):
            return False
        new = each.version == release.what.version
        return each.phase in ("cold", "serving") and new is release.back

    def _broken(self, now: int, thing: str) -> bool:
        each = self.seen.get(thing)
        return bool(
            each
            and each.fresh(now)
            and (each.resting or each.phase in ("failing", "stopped", "silent", "stuck"))
        )

    def _is_new(self, release: Release, thing: str, parts: dict) -> bool:
        """What it runs by now, or will run: one with no process, or whose process leaves, may be started
        with what the batch brings at any moment, and has to be changed again. Of a service: whether the
        operator has replaced it."""
        if release.what.services:
            replaced = thing in parts and parts[thing].state == "done"
            return replaced is release.forward
        each = self.seen.get(thing)
        stays = each is not None and each.phase in ("starting", "cold", "serving", "silent", "stuck")
        return not stays or (each is not None and each.version == release.what.version)

    def _story(self, release: Release, thing: str) -> str:
        order = self.book.state.orders.get(release.order)
        part = order.tasks.get(thing) if order else None
        return part.reason or part.state if part else "nothing was ordered"

    def _halt(self, release: Release, gate: Gate, why: str) -> commands.Command:
        return commands.RecordVerdict(
            release.ident, self.lease.fencing_token, release.step, gate.kept(), gate.figures(), why
        )

    # Between batches.

    def _gated(self, now: int, release: Release, gate: Gate) -> commands.Command | None:
        """A halt, or what was seen put to the record; `why` says what is waited for."""
        self.why = ""
        if release.back or not release.pace.gated:
            return None
        verdict = gate.verdict(gate.full())
        if verdict.answer is Decision.WORSE:
            return self._halt(release, gate, verdict.why)
        if not release.batch:
            return None
        waited = now - self.since
        if verdict.answer is Decision.TOO_FEW and waited > release.pace.patience:
            return self._halt(release, gate, f"no answer from the gates: {verdict.why}")
        if verdict.answer is Decision.TOO_FEW or waited < release.pace.soak:
            self.why = verdict.why or (
                f"watched for {release.pace.soak / SECOND:.0f} s, {waited / SECOND:.0f} by now"
            )
            if now - self.kept_at >= KEEP_EVERY:
                self.kept_at = now
                return commands.RecordVerdict(
                    release.ident, self.lease.fencing_token, release.step, gate.kept(), verdict.figures
                )
        return None

    def _next_batch(self, now: int, release: Release, left: list[str]) -> commands.Command | None:
        pace = release.pace
        if release.back:
            most = pace.most or len(left)
        elif not release.batch:
            most = pace.canary
        else:
            there = sum(part.state == "new" for part in release.parts.values())
            most = max(pace.canary, int(there * (pace.growth - 1)) if pace.gated else len(left))
            most = min(most, pace.most or most)
        standing = self._standing()
        free = [thing for thing in left if thing not in standing]
        if not free:
            self.why = f"{standing[left[0]]} stands on {left[0]}"
            return None
        choice = self.planner.choose(
            now,
            free,
            self.seen,
            self.allocator.unavailable,
            max(1, min(most, MOST)),
            pace.ceiling,
            release.back,
            len(release.parts) > 1,
        )
        if not choice.things:
            self.why, self.act_at = choice.why, now + LOOK_AGAIN
            return None
        generations = {name: each.generation for name, each in self.seen.items()}
        controls: list[str] = []
        if pace.control and pace.gated and not release.batch and not release.what.services:
            controls = self._controls(now, release, choice.things)
        return commands.StartBatch(
            release.ident,
            self.lease.fencing_token,
            release.step,
            release.unix,
            [(thing, generations.get(thing, 0)) for thing in choice.things],
            [(thing, generations.get(thing, 0)) for thing in controls],
        )

    def _standing(self) -> dict[str, str]:
        """Things on which an order is open, and whose: what is tried there would be refused."""
        return {
            thing: f"{order.operator}'s {order.verb} {order.id}"
            for ident in self.allocator.order_submitted_at
            if (order := self.book.state.orders.get(ident))
            for thing, part in order.tasks.items()
            if part.state in OPEN_STATES
        }

    def _controls(self, now: int, release: Release, chosen: list[str]) -> list[str]:
        """As many of the old, to begin anew beside the first of the new, where there is room for both."""
        others = [
            thing
            for thing in self.planner.site
            if thing not in chosen
            and (each := self.seen.get(thing))
            and each.serves
            and self._arm(release, thing, each.version) == "old"
            and not self.allocator.unavailable.find_violation([*chosen, thing])
        ]
        found = self.planner.choose(
            now, others, self.seen, self.allocator.unavailable, len(chosen), release.pace.ceiling, False
        ).things
        return [] if self.allocator.unavailable.find_violation([*chosen, *found]) else found
