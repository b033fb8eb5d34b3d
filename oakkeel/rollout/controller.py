"""The rollout controller: decides the next step of the open release, or why it waits. Free of I/O.

A controller is created when a replica becomes the leader, and dropped when the replica steps down. It acts
only while it holds the lease; its commands carry the fencing token of the lease and the number of the step
that they follow. All its other state may be lost: the next controller continues from the replicated state
and the next reports of the agents.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from oakkeel.disruption import commands as permit_commands
from oakkeel.disruption.allocator import PermitAllocator
from oakkeel.disruption.messages import Heartbeat
from oakkeel.disruption.state import OPEN_FLEET_TASK_STATES, Rejection
from oakkeel.rollout import commands
from oakkeel.rollout.batches import MAX_LISTED_TARGETS, BatchView, Step, finish_batch, start_batch
from oakkeel.rollout.controller_lease import ControllerLease
from oakkeel.rollout.gates import Decision, Gate
from oakkeel.rollout.messages import AgentAssignments, AgentReport, decode_report, encode
from oakkeel.rollout.observations import Observations
from oakkeel.rollout.release import MOVING_STATES, Release, ReleaseState
from oakkeel.rollout.state_machine import RolloutStateMachine
from oakkeel.units import MS, SECOND

STEP_RETRY_DELAY_NS = 200 * MS  # after a rejected step
PLAN_RETRY_DELAY_NS = 250 * MS  # after a plan without a target
GATE_STORAGE_INTERVAL_NS = 2 * SECOND
MAX_ATTEMPTS = 4  # for one target, before the release halts
PREPARE_TIMEOUT_NS = 120 * SECOND


@dataclass(slots=True, frozen=True)
class BatchKey:
    """Identifies the batch whose timeout runs; an action of an operator restarts the timeout."""

    batch: int = 0
    release: str = ""
    operator_actions: int = 0


class RolloutController:
    """Drives the open release. Times are nanoseconds of the leader's monotonic clock."""

    def __init__(
        self, now: int, state_machine: RolloutStateMachine, allocator: PermitAllocator, holder: str
    ) -> None:
        """`holder` is a name that no earlier controller had."""
        self.state_machine = state_machine
        self.allocator = allocator
        self.lease = ControllerLease(now, holder)
        self.observations = Observations(allocator)
        self.gate: Gate | None = None
        self.gate_key = ""  # identifies the release, direction and operator action of the gate
        # The time at which the last batch finished or the gate was created. The soak time and the timeouts of
        # the preparation and of the verdict count from it.
        self.waiting_since = now
        self.batch_started_at = now  # the time at which this controller first observed the open batch
        self.batch_key = BatchKey()
        self.gate_stored_at = now
        self.next_step_at = now
        self.proposed_step: bytes = b""  # the encoded step that is not committed yet
        self.why = ""  # the reason why the release waits

    # Heartbeats of agents.

    def receive_heartbeat(
        self, now: int, heartbeat: Heartbeat
    ) -> list[commands.Command | permit_commands.Command]:
        """Record the report of a host; return the commands to propose.

        The report is no older than the response that the heartbeat echoes.
        """
        session = self.allocator.sessions.get(heartbeat.host)
        if (
            session is None
            or session.incarnation != heartbeat.incarnation
            or session.sequence != heartbeat.sequence
            or not session.echoed_at
        ):
            return []  # the heartbeat is outdated, or its age is not known
        try:
            report = decode_report(heartbeat.extension)
        except msgspec.MsgspecError:
            return []  # the agent runs another version of the program
        release = self.state_machine.open_release
        for status in report.statuses:
            if self.allocator.host_by_target.get(status.name) != heartbeat.host:
                continue
            previous_version = self.observations.record(status, session.echoed_at)
            if previous_version is not None and release:
                gate = self._current_gate(now, release)
                self.observations.add_to_gate(
                    now, gate, release, heartbeat.incarnation, status, previous_version
                )
        if release and release.state is ReleaseState.PREPARING and self.lease.is_held(now):
            return self._report_prepared(release, heartbeat.host, report)
        return []

    def _report_prepared(
        self, release: Release, host: str, report: AgentReport
    ) -> list[commands.Command | permit_commands.Command]:
        why = report.prepared.get(release.ident)
        if why is None or (not why and host in release.prepared_hosts):
            return []
        host_of = self.allocator.host_by_target
        bases = {target: base for target, base in report.bases.items() if host_of.get(target) == host}
        return [commands.ReportPrepared(release.ident, self.lease.fencing_token, host, why, bases)]

    def _current_gate(self, now: int, release: Release) -> Gate:
        key = f"{release.ident} {release.rolling_back} {release.operator_actions}"
        if self.gate is None or self.gate_key != key:
            self.gate = Gate(now, release.gate_state, release.policy.margin)
            self.gate_key = key
            self.waiting_since = now
        return self.gate

    def respond(self, now: int, host: str) -> bytes:
        """Return the encoded assignments of a host's agent, sent with each response."""
        state = self.state_machine.state
        release = self.state_machine.open_release
        targets = self.allocator.topology.hosts.get(host, ())
        versions = {target: state.versions[target] for target in targets if target in state.versions}
        sources = {
            version: state.sources[version] for version in {*versions.values()} if version in state.sources
        }
        assignments = AgentAssignments(versions, sources)
        if release:
            assignments.collect_samples = True
            assignments.release = release.ident
            assignments.spec = release.spec
            assignments.targets = [target for target in targets if target in release.targets]
        return encode(assignments)

    # Results of commands.

    def handle_applied(self, now: int, command: object, result: object) -> None:
        """Handle the result of a command that the state machine has applied."""
        if isinstance(command, permit_commands.SetTopology):
            self.observations.update_topology()
        if self.lease.is_own_request(command):
            self.lease.receive_result(now, result)
        if self._is_proposed(command):
            self.proposed_step = b""
            if isinstance(result, Rejection):
                self.why = result.reason
                self.next_step_at = now + STEP_RETRY_DELAY_NS
            elif isinstance(command, commands.FinishBatch):
                self.waiting_since = now

    def handle_lost_command(self, command: object) -> None:
        """Handle a command that was not committed."""
        if isinstance(command, permit_commands.AcquireLease):
            self.lease.handle_lost_request()
        if self._is_proposed(command):
            self.proposed_step = b""

    def _is_proposed(self, command: object) -> bool:
        return bool(self.proposed_step) and permit_commands.encode(command) == self.proposed_step  # type: ignore[arg-type]

    # The next step.

    def tick(self, now: int) -> list[commands.Command | permit_commands.Command]:
        """Return the commands to propose now: for the lease, and for the next step under the lease."""
        proposals: list[commands.Command | permit_commands.Command] = []
        release = self.state_machine.open_release
        if release is None:
            self.gate = None
            self.gate_key = ""
            return proposals
        if self.lease.needs_request(now):
            proposals.append(self.lease.request(now))
        if not self.lease.is_held(now) or self.proposed_step or now < self.next_step_at:
            return proposals
        gate = self._current_gate(now, release)
        gate.evaluate(now)
        step = self._next_step(now, release, gate)
        if step.why is not None:
            self.why = step.why
        if step.retry:
            self.next_step_at = now + PLAN_RETRY_DELAY_NS
        if step.command is not None:
            self.proposed_step = permit_commands.encode(step.command)
            proposals.append(step.command)
        return proposals

    def _next_step(self, now: int, release: Release, gate: Gate) -> Step:
        """Return the next step of a release: it depends on the state of the release and of its open batch."""
        view = BatchView(
            now, self.state_machine.state, release, gate, self.observations, self.lease.fencing_token
        )
        if release.state is ReleaseState.PREPARING:
            return self._prepare(now, release)
        if release.in_progress:
            key = BatchKey(release.batch, release.ident, release.operator_actions)
            if self.batch_key != key:
                self.batch_key = key
                self.batch_started_at = now
            return finish_batch(view, self.batch_started_at)
        if release.state not in MOVING_STATES:
            return Step(None, "")
        gate_step = self._check_gate(view)
        if gate_step.command or gate_step.why:
            return gate_step
        step = self._continue(view)
        return Step(step.command, step.why or "", step.retry)

    def _prepare(self, now: int, release: Release) -> Step:
        """Begin the rollout once all hosts have their copies; abandon it if a host reports none in time."""
        host_of = self.allocator.host_by_target
        hosts = {host_of[target] for target in release.targets if target in host_of}
        missing = sorted(hosts - set(release.prepared_hosts)) if not release.spec.services else []
        if not missing:
            return Step(commands.BeginRollout(release.ident, self.lease.fencing_token, release.step))
        why = f"waits for copies on {', '.join(missing[:MAX_LISTED_TARGETS])}"
        if now - self.waiting_since > PREPARE_TIMEOUT_NS:
            reason = f"no report within {PREPARE_TIMEOUT_NS // SECOND} s"
            command = commands.ReportPrepared(release.ident, self.lease.fencing_token, missing[0], reason, {})
            return Step(command, why)
        return Step(None, why)

    def _check_gate(self, view: BatchView) -> Step:
        """Halt the release, or wait for a verdict and the soak time; an empty step lets the next batch start.

        The release halts if there is no verdict within the timeout of the policy: an operator has to decide.
        """
        release = view.release
        policy = release.policy
        if release.rolling_back or not policy.gated:
            return Step(None, "")
        verdict = view.gate.verdict(view.gate.reference_weight())
        if verdict.decision is Decision.WORSE:
            return Step(view.verdict_command(verdict.why), "")
        if not release.batch:
            return Step(None, "")
        waited = view.now - self.waiting_since
        inconclusive = verdict.decision is Decision.TOO_FEW
        if inconclusive and waited > policy.verdict_timeout:
            return Step(view.verdict_command(f"no verdict of the gates in time: {verdict.why}"), "")
        if not inconclusive and waited >= policy.soak:
            return Step(None, "")
        why = verdict.why or f"soak time: {waited / SECOND:.0f} of {policy.soak / SECOND:.0f} s"
        if view.now - self.gate_stored_at >= GATE_STORAGE_INTERVAL_NS:
            self.gate_stored_at = view.now
            return Step(view.verdict_command(), why)
        return Step(None, why)

    def _continue(self, view: BatchView) -> Step:
        """Start the next batch, halt after too many attempts, or finish the release if no target remains."""
        release = view.release
        remaining = [
            name
            for name, target in release.targets.items()
            if target.state != release.end_state or self.observations.deviates(view.now, release, name)
        ]
        if not remaining:
            return self._finish(view)
        for name in remaining:
            if release.targets[name].attempts >= MAX_ATTEMPTS:
                return view.halt_step(
                    f"{name} was changed {MAX_ATTEMPTS} times without success: {view.last_outcome(name)}"
                )
        return start_batch(view, remaining, self._busy_targets())

    def _finish(self, view: BatchView) -> Step:
        """Finish the release once the last reports of all its targets are fresh."""
        release = view.release
        if not release.spec.services and (
            stale := [
                target
                for target in release.targets
                if self.observations.fresh_observation(view.now, target) is None
            ]
        ):
            return Step(None, f"waits for reports of {', '.join(stale[:MAX_LISTED_TARGETS])}")
        return Step(commands.FinishRelease(release.ident, self.lease.fencing_token, release.step))

    def _busy_targets(self) -> dict[str, str]:
        """Describe the open order of each target that has one: another order for it would be rejected."""
        return {
            target: f"{order.operator}'s {order.verb} {order.id}"
            for ident in self.allocator.clock.order_submitted_at
            if (order := self.state_machine.state.orders.get(ident))
            for target, task in order.tasks.items()
            if task.state in OPEN_FLEET_TASK_STATES
        }
