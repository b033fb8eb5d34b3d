"""Applies the replicated commands of releases: assigns versions to targets, and changes the open release.

Every command of a controller carries the fencing token of its lease and the number of the last step that the
controller observed. Every replica therefore rejects the commands of a former controller, and a step that was
already taken. Free of I/O and clocks.

Reasons that a command stores are part of the replicated state: they must be the same on every replica, also
while a fleet runs two versions of the program.
"""

from __future__ import annotations

from oakkeel.disruption import commands as permit_commands
from oakkeel.disruption.command_registry import CommandRegistry
from oakkeel.disruption.order_handlers import submit_order
from oakkeel.disruption.state import DisruptionOrder, FleetTaskState, Rejection
from oakkeel.disruption.state_machine import PermitStateMachine
from oakkeel.errors import InvalidTransitionError
from oakkeel.rollout import commands
from oakkeel.rollout.release import (
    FINAL_STATES,
    MOVING_STATES,
    STOPPED_STATES,
    TARGET_TRANSITIONS,
    TRANSITIONS,
    Release,
    ReleaseState,
    ReleaseTarget,
    RolloutState,
    TargetState,
)
from oakkeel.rollout.validation import find_rejection_reason

LEASE = "release"  # the name of the lease of the rollout controller
MAX_FINISHED_RELEASES = 32  # kept in the state for display; older ones are dropped
MAX_GATE_STATE_BYTES = 16 * 1024
MAX_TEXT = 500  # characters of a reason or summary
# The next state of a release, by operator action. The state after `resume` depends on the direction of the
# release. `abort` halts a release, except that it abandons a release that is still preparing.
ACTION_STATES = {
    "pause": ReleaseState.PAUSED,
    "abort": ReleaseState.HALTED,
    "undo": ReleaseState.ROLLING_BACK,
    "leave": ReleaseState.ABANDONED,
}


class RolloutStateMachine(PermitStateMachine):
    """Applies the commands of releases; the base class applies all other commands."""

    state: RolloutState
    STATE = RolloutState

    @property
    def open_release(self) -> Release | None:
        """Return the release that is not finished, if any; there is at most one."""
        return next((release for release in self.state.releases.values() if not release.is_finished), None)

    def _start_release(self, index: int, command: commands.StartRelease) -> Release | Rejection:
        state = self.state
        spec = command.spec
        if existing := state.releases.get(command.ident):
            is_repetition = (existing.operator, existing.spec, sorted(existing.targets)) == (
                command.operator,
                spec,
                sorted(command.targets),
            )
            return (
                existing
                if is_repetition
                else Rejection(f"the ID belongs to another release, started by {existing.operator}")
            )
        if current := self.open_release:
            return Rejection(
                f"{current.operator}'s release {current.ident} is {current.state}: it has to end first"
            )
        if reason := find_rejection_reason(command, state.topology, state.versions, state.sources):
            return Rejection(reason)
        targets = {name: ReleaseTarget(state.versions.get(name, "")) for name in command.targets}
        release = Release(command.ident, command.operator, command.unix, index, spec, command.policy, targets)
        state.releases[release.ident] = release
        if not spec.services:
            state.sources[spec.version] = spec
        finished = [release.ident for release in state.releases.values() if release.is_finished]
        for ident in finished[:-MAX_FINISHED_RELEASES]:
            del state.releases[ident]
        return release

    def _control_release(self, index: int, command: commands.ControlRelease) -> Release | Rejection:
        release = self.state.releases.get(command.ident)
        if release is None:
            return Rejection("no such release")
        action = command.action
        if action == "abort" and release.state is ReleaseState.PREPARING:
            action = "leave"
        if action == "undo" and release.state is ReleaseState.PREPARING:
            return Rejection("the release has changed nothing yet: abort it")
        next_state = ACTION_STATES.get(action)
        if action == "resume":
            next_state = ReleaseState.ROLLING_BACK if release.rolling_back else ReleaseState.RUNNING
        if next_state is release.state:
            return release
        if next_state is None or next_state not in TRANSITIONS[release.state]:
            return Rejection(f"the release is {release.state}: {action} is not possible")
        release.operator_actions += 1
        if action == "resume" and release.state is ReleaseState.HALTED:  # an operator overrules the gates
            release.reset_progress()
        return self._move_release(release, next_state, f"by {command.operator}")

    def _holds_lease(self, fencing_token: int) -> bool:
        """Return whether the token is that of the current lease; only its holder takes steps of a release."""
        lease = self.state.leases.get(LEASE)
        return lease is not None and lease.fencing_token == fencing_token

    def _authorize_step(
        self, command: commands.ControllerCommand, *states: ReleaseState
    ) -> Release | Rejection:
        """Return the release if the command may change it, else a rejection.

        The command needs the current fencing token, a release in one of `states`, and the current step of the
        release. So no step is taken twice, neither by one controller nor by two.
        """
        release = self.state.releases.get(command.ident)
        if not self._holds_lease(command.fence):
            return Rejection("another controller holds the release lease, or none does")
        if release is None or release.state not in states:
            return Rejection(f"there is no release {command.ident} that is {' or '.join(states)}")
        if command.step != release.step:
            return Rejection(f"step {command.step} was taken: the release is at step {release.step}")
        return release

    def _report_prepared(self, index: int, command: commands.ReportPrepared) -> Release | Rejection:
        release = self.state.releases.get(command.ident)
        if (
            not self._holds_lease(command.fence)
            or release is None
            or release.state is not ReleaseState.PREPARING
        ):
            return Rejection("the release is not preparing, or another controller holds its lease")
        if command.why:
            return self._move_release(
                release, ReleaseState.ABANDONED, f"{command.host} can't take it: {command.why}"
            )
        if command.host not in release.prepared_hosts:
            release.prepared_hosts.append(command.host)
            for name, base in command.bases.items():
                if name in release.targets:
                    release.targets[name].base = base
        return release

    def _begin_rollout(self, index: int, command: commands.BeginRollout) -> Release | Rejection:
        release = self._authorize_step(command, ReleaseState.PREPARING)
        if isinstance(release, Rejection):
            return release
        release.step += 1
        return self._move_release(release, ReleaseState.RUNNING, "")

    def _start_batch(self, index: int, command: commands.StartBatch) -> DisruptionOrder | Rejection:
        release = self._authorize_step(command, *MOVING_STATES)
        if isinstance(release, Rejection):
            return release
        names = [name for name, _ in command.targets]
        if release.in_progress or not names or any(name not in release.targets for name in names):
            return Rejection("a batch is in progress, or this one has no targets or targets of no release")
        verb = "drain" if release.spec.services else "restart"
        order = submit_order(
            self,
            index,
            permit_commands.SubmitOrder(
                f"{release.ident}.{release.batch + 1}",
                release.operator,
                verb,
                command.unix,
                release.policy.batch_timeout,
                False,
                [*command.targets, *command.comparison_targets],
            ),
        )
        if isinstance(order, Rejection):
            return order
        release.step += 1
        release.batch += 1
        for name in names:
            target = release.targets[name]
            target.attempts += 1
            self._move_target(target, TargetState.CHANGING)
            self._assign_version(name, release.version_to_assign(name))
        release.batch_forward = not release.rolling_back
        release.in_progress = names
        release.comparison_targets = [name for name, _ in command.comparison_targets]
        if not order.is_open:  # all tasks were rejected: the batch still has to be finished
            self.state.orders.setdefault(order.id, order)
        return order

    def _finish_batch(self, index: int, command: commands.FinishBatch) -> Release | Rejection:
        release = self._authorize_step(command, *MOVING_STATES, *STOPPED_STATES)
        if isinstance(release, Rejection):
            return release
        release.step += 1
        for name in release.in_progress:
            target = release.targets[name]
            updated = name in command.updated
            self._move_target(target, TargetState.NEW if updated else TargetState.OLD)
            self._assign_version(name, release.spec.version if updated else target.base or target.previous)
        release.in_progress = []
        return release

    def _record_verdict(self, index: int, command: commands.RecordVerdict) -> Release | Rejection:
        release = self._authorize_step(command, *MOVING_STATES, ReleaseState.PAUSED)
        if isinstance(release, Rejection):
            return release
        release.step += 1
        if len(command.gate_state) <= MAX_GATE_STATE_BYTES:
            release.gate_state = command.gate_state
        release.summary = command.summary[:MAX_TEXT]
        if command.why:
            was_rolling_back = release.state is ReleaseState.ROLLING_BACK
            self._move_release(release, ReleaseState.HALTED, command.why[:MAX_TEXT])
            if release.policy.auto_roll_back and not was_rolling_back:
                self._move_release(release, ReleaseState.ROLLING_BACK, command.why[:MAX_TEXT])
        return release

    def _finish_release(self, index: int, command: commands.FinishRelease) -> Release | Rejection:
        release = self._authorize_step(command, *MOVING_STATES)
        if isinstance(release, Rejection):
            return release
        if release.in_progress or any(
            target.state != release.end_state for target in release.targets.values()
        ):
            return Rejection("not all targets have reached the end state")
        release.step += 1
        final_state = ReleaseState.ROLLED_BACK if release.rolling_back else ReleaseState.DONE
        return self._move_release(release, final_state, "")

    def _assign_version(self, target: str, version: str) -> None:
        if version:
            self.state.versions[target] = version
        else:
            self.state.versions.pop(target, None)

    def _move_target(self, target: ReleaseTarget, state: TargetState) -> None:
        """Change the state of a target; no other method does. Raises InvalidTransitionError."""
        if state not in TARGET_TRANSITIONS[target.state] and state != target.state:
            raise InvalidTransitionError("a target of a release", target.state, state)
        target.state = state

    def _move_release(self, release: Release, state: ReleaseState, why: str) -> Release:
        """Change the state of a release; no other method does. Raises InvalidTransitionError."""
        if state not in TRANSITIONS[release.state]:
            raise InvalidTransitionError(f"release {release.ident}", release.state, state)
        previous_state = release.state
        release.state = state
        release.why = why or release.why
        order = self.state.orders.get(release.order_id)
        if state in (*STOPPED_STATES, ReleaseState.ROLLING_BACK) and order and order.is_open:
            order.halted_by = order.halted_by or release.operator
            order.end_waiting(FleetTaskState.HALTED, f"release {release.ident} {state}")
            if state is ReleaseState.ROLLING_BACK:  # do not wait for a target that fails to start
                order.cancelled_by = order.cancelled_by or release.operator
        if state is ReleaseState.ROLLING_BACK:
            if not release.rolling_back:
                release.reset_progress()
            release.rolling_back = True
        if state in FINAL_STATES:
            self._clean_up(release)
        if previous_state is ReleaseState.PREPARING or state is ReleaseState.RUNNING:
            release.why = why
        return release

    def _clean_up(self, release: Release) -> None:
        """Assign targets with the old version their earlier one, and drop the sources of unused versions."""
        for name, target in release.targets.items():
            if target.state is TargetState.OLD:
                self._assign_version(name, target.previous)
        used = {*self.state.versions.values()}
        self.state.sources = {
            version: spec for version, spec in self.state.sources.items() if version in used
        }

    COMMANDS = CommandRegistry(
        {
            commands.StartRelease: _start_release,
            commands.ControlRelease: _control_release,
            commands.ReportPrepared: _report_prepared,
            commands.BeginRollout: _begin_rollout,
            commands.StartBatch: _start_batch,
            commands.FinishBatch: _finish_batch,
            commands.RecordVerdict: _record_verdict,
            commands.FinishRelease: _finish_release,
        },
        PermitStateMachine.COMMANDS,
    )
