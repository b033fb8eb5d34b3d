"""The rollout controller: what the open release may do next, when, and why not yet. Free of I/O.

Made when a replica becomes the leader, dropped when it is no longer. It acts while it holds the lease, by
commands that carry the lease's fencing token and the step that they follow. It may lose all other state: the
next controller goes on from the replicated state, and from what agents report within a moment.
"""

from __future__ import annotations

import msgspec

from oakkeel.disruption import commands as permit_commands
from oakkeel.disruption.allocator import PermitAllocator
from oakkeel.disruption.lease_holder import LeaseHolder
from oakkeel.disruption.messages import Heartbeat
from oakkeel.disruption.state import OPEN_STATES, Rejection
from oakkeel.rollout import commands
from oakkeel.rollout.batches import BatchView, Step, finish_batch, start_batch
from oakkeel.rollout.gates import Decision, Gate
from oakkeel.rollout.messages import AgentAssignments, AgentReport, decode_report, encode
from oakkeel.rollout.observations import Observations
from oakkeel.rollout.state_machine import LEASE, Release, RolloutStateMachine
from oakkeel.units import MS, SECOND

LEASE_DURATION = 2 * SECOND  # renewed after a quarter of it
RETRY_AFTER = 200 * MS  # after somebody else was found to hold the lease, or a step was rejected
PLAN_AGAIN_AFTER = 250 * MS  # where no target could be chosen
STORE_GATE_EVERY = 2 * SECOND
MAX_ATTEMPTS = 4  # for one target, before the release halts
PREPARE_TIMEOUT = 120 * SECOND


class RolloutController:
    """Drives the open release. Times are nanoseconds of the leader's monotonic clock."""

    def __init__(
        self, now: int, state_machine: RolloutStateMachine, allocator: PermitAllocator, holder: str
    ) -> None:
        """`holder` is a name that no earlier controller had."""
        self.state_machine, self.allocator = state_machine, allocator
        self.lease = LeaseHolder(LEASE, holder, LEASE_DURATION)
        self.lease_requested_at = 0  # until that is answered
        self.next_lease_request = now
        self.observations = Observations(allocator)
        self.gate: Gate | None = None
        self.gate_key = ""  # release and direction of the gate
        self.since = now  # when the last batch was finished, or the release began, as far as known here
        self.batch_started_at = now  # when the open batch was first seen here
        self.batch_key = (0, "", 0)
        self.gate_stored_at = now
        self.next_step = now
        self.proposed: bytes = b""  # a step that is not committed yet
        self.why = ""  # nothing is done just now

    # Heartbeats of agents.

    def receive_heartbeat(
        self, now: int, poll: Heartbeat
    ) -> list[commands.Command | permit_commands.Command]:
        """Take over a host's report, no older than what its echo shows."""
        host = self.allocator.sessions.get(poll.host)
        if (
            host is None
            or host.incarnation != poll.incarnation
            or host.sequence != poll.sequence
            or not host.echoed_at
        ):
            return []  # overtaken by a later one, or of unknown age
        try:
            report = decode_report(poll.extension)
        except msgspec.MsgspecError:
            return []  # of a version with another form
        release = self.state_machine.open_release
        for status in report.statuses:
            if self.allocator.host_of.get(status.name) != poll.host:
                continue
            before = self.observations.record(status, host.echoed_at)
            if before is not None and release:
                gate = self._current_gate(now, release)
                self.observations.feed(now, gate, release, poll.incarnation, status, before)
        if release and release.state == "preparing" and self.lease.is_held(now):
            return self._report_prepared(release, poll.host, report)
        return []

    def _report_prepared(
        self, release: Release, host: str, report: AgentReport
    ) -> list[commands.Command | permit_commands.Command]:
        why = report.prepared.get(release.ident)
        if why is None or (not why and host in release.prepared_hosts):
            return []
        host_of = self.allocator.host_of
        bases = {target: base for target, base in report.bases.items() if host_of.get(target) == host}
        return [commands.ReportPrepared(release.ident, self.lease.fencing_token, host, why, bases)]

    def _current_gate(self, now: int, release: Release) -> Gate:
        key = f"{release.ident} {release.rolling_back} {release.controlled}"
        if self.gate is None or self.gate_key != key:
            self.gate, self.gate_key = Gate(now, release.gate_state, release.policy.margin), key
            self.since = now
        return self.gate

    def respond(self, now: int, host: str) -> bytes:
        """Return what a host's agent learns with each response."""
        state, release = self.state_machine.state, self.state_machine.open_release
        targets = self.allocator.topology.hosts.get(host, ())
        versions = {target: state.versions[target] for target in targets if target in state.versions}
        sources = {
            version: state.sources[version] for version in {*versions.values()} if version in state.sources
        }
        assignments = AgentAssignments(versions, sources)
        if release:
            assignments.collect_samples = True
            assignments.release, assignments.spec = release.ident, release.spec
            assignments.targets = [target for target in targets if target in release.targets]
        return encode(assignments)

    # Results of commands.

    def applied(self, now: int, command: object, result: object) -> None:
        """Take note of a command that was applied, and of its result."""
        if isinstance(command, permit_commands.SetTopology):
            self.observations.update_topology()
        if (
            isinstance(command, permit_commands.AcquireLease)
            and command.name == LEASE
            and command.holder == self.lease.holder
        ):
            if not self.lease.receive_result(self.lease_requested_at, result):
                self.next_lease_request = now + RETRY_AFTER
            self.lease_requested_at = 0
        if self._is_proposed(command):
            self.proposed = b""
            if isinstance(result, Rejection):
                self.why, self.next_step = result.reason, now + RETRY_AFTER
            elif isinstance(command, commands.FinishBatch):
                self.since = now

    def lost(self, command: object) -> None:
        """Take note of a command that was not committed."""
        if isinstance(command, permit_commands.AcquireLease):
            self.lease_requested_at = 0
        if self._is_proposed(command):
            self.proposed = b""

    def _is_proposed(self, command: object) -> bool:
        return bool(self.proposed) and permit_commands.encode(command) == self.proposed  # type: ignore[arg-type]

    # The next step.

    def tick(self, now: int) -> list[commands.Command | permit_commands.Command]:
        """Return the commands to propose now: the lease, and the next step under it."""
        wanted: list[commands.Command | permit_commands.Command] = []
        release = self.state_machine.open_release
        if release is None:
            self.gate, self.gate_key = None, ""
            return wanted
        if self._needs_lease(now):
            self.lease_requested_at, self.next_lease_request = now, now + RETRY_AFTER
            wanted.append(self.lease.acquire_command())
        if not self.lease.is_held(now) or self.proposed or now < self.next_step:
            return wanted
        gate = self._current_gate(now, release)
        gate.evaluate(now)
        step = self._next(now, release, gate)
        if step.why is not None:
            self.why = step.why
        if step.retry:
            self.next_step = now + PLAN_AGAIN_AFTER
        if step.command is not None:
            self.proposed = permit_commands.encode(step.command)
            wanted.append(step.command)
        return wanted

    def _needs_lease(self, now: int) -> bool:
        if self.lease_requested_at or now < self.next_lease_request:
            return False
        return not self.lease.is_held(now) or now > self.lease.expires_at - LEASE_DURATION * 3 // 4

    def _next(self, now: int, release: Release, gate: Gate) -> Step:
        """Return the next step: the ordinary way of a release from its beginning to its end."""
        view = BatchView(
            now, self.state_machine.state, release, gate, self.observations, self.lease.fencing_token
        )
        if release.state == "preparing":
            return self._prepare(now, release)
        if release.in_progress:
            # An operator's control starts the time of a batch anew.
            key = release.batch, release.ident, release.controlled
            if self.batch_key != key:
                self.batch_key, self.batch_started_at = key, now
            return finish_batch(view, self.batch_started_at)
        if release.state not in ("running", "undoing"):
            return Step(None, "")
        gated = self._check_gate(view)
        if gated.command or gated.why:
            return gated
        step = self._continue(view)
        return Step(step.command, step.why or "", step.retry)

    def _prepare(self, now: int, release: Release) -> Step:
        host_of = self.allocator.host_of
        hosts = {host_of[target] for target in release.targets if target in host_of}
        missing = sorted(hosts - set(release.prepared_hosts)) if not release.spec.services else []
        if not missing:
            return Step(commands.BeginRollout(release.ident, self.lease.fencing_token, release.step))
        why = f"{', '.join(missing[:5])} not ready yet"
        if now - self.since > PREPARE_TIMEOUT:
            command = commands.ReportPrepared(
                release.ident, self.lease.fencing_token, missing[0], "it did not say in time", {}
            )
            return Step(command, why)
        return Step(None, why)

    def _check_gate(self, view: BatchView) -> Step:
        """Halt, or wait for a verdict and the soak time; an empty step where the next batch may start."""
        release, policy = view.release, view.release.policy
        if release.rolling_back or not policy.gated:
            return Step(None, "")
        verdict = view.gate.verdict(view.gate.reference_weight())
        if verdict.decision is Decision.WORSE:
            return Step(view.record_verdict(verdict.why), "")
        if not release.batch:
            return Step(None, "")
        waited, inconclusive = view.now - self.since, verdict.decision is Decision.TOO_FEW
        if inconclusive and waited > policy.verdict_timeout:
            return Step(view.record_verdict(f"no answer from the gates: {verdict.why}"), "")
        if not inconclusive and waited >= policy.soak:
            return Step(None, "")
        why = verdict.why or f"watched for {policy.soak / SECOND:.0f} s, {waited / SECOND:.0f} by now"
        if view.now - self.gate_stored_at >= STORE_GATE_EVERY:
            self.gate_stored_at = view.now
            return Step(view.record_verdict(), why)
        return Step(None, why)

    def _continue(self, view: BatchView) -> Step:
        """Start the next batch, or finish the release where no target remains."""
        release, observations = view.release, self.observations
        remaining = [
            name
            for name, target in release.targets.items()
            if target.state != release.end_state or observations.deviates(view.now, release, name)
        ]
        if not remaining:
            return self._finish(view)
        for name in remaining:
            if release.targets[name].attempts >= MAX_ATTEMPTS:
                return view.halt(
                    f"{name} was changed {MAX_ATTEMPTS} times, and is not there: {view.last_event(name)}"
                )
        return start_batch(view, remaining, self._busy_targets())

    def _finish(self, view: BatchView) -> Step:
        """Finish the release once all its targets have reported lately."""
        release = view.release
        if not release.spec.services and (
            stale := [
                target for target in release.targets if self.observations.fresh(view.now, target) is None
            ]
        ):
            return Step(None, f"waits to hear what {', '.join(stale[:5])} run")
        return Step(commands.FinishRelease(release.ident, self.lease.fencing_token, release.step))

    def _busy_targets(self) -> dict[str, str]:
        """Return the targets with an open order, and whose: another one there would be rejected."""
        return {
            target: f"{order.operator}'s {order.verb} {order.id}"
            for ident in self.allocator.clock.order_submitted_at
            if (order := self.state_machine.state.orders.get(ident))
            for target, task in order.tasks.items()
            if task.state in OPEN_STATES
        }
