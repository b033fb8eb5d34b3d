"""Log events of committed commands."""

from __future__ import annotations

from oakkeel.disruption import commands
from oakkeel.disruption.control_plane import ControlPlaneReplica
from oakkeel.disruption.state import Rejection
from oakkeel.log import EventLog, LogFields
from oakkeel.rollout import commands as rollout_commands
from oakkeel.rollout.state_machine import RolloutStateMachine

RELEASE_EVENTS: dict[type, str] = {  # by type of the command
    rollout_commands.StartRelease: "release_started",
    rollout_commands.ControlRelease: "release_controlled",
    rollout_commands.ReportPrepared: "release_host_prepared",
    rollout_commands.BeginRollout: "release_rollout_begun",
    rollout_commands.StartBatch: "release_batch_started",
    rollout_commands.FinishBatch: "release_batch_finished",
    rollout_commands.RecordVerdict: "release_halted",
    rollout_commands.FinishRelease: "release_finished",
}


class CommandLog:
    """Logs committed commands: permit grants on each replica, as a leader may fail, others on the leader."""

    def __init__(self, log: EventLog) -> None:
        """Write the events to `log`."""
        self.log = log

    def log_committed(
        self, control_plane: ControlPlaneReplica | None, index: int, command: commands.Command, result: object
    ) -> None:
        """Log a command that was committed at `index` and was not rejected."""
        if isinstance(result, Rejection):
            return
        if isinstance(command, commands.GrantPermits):
            for target in command.targets:
                self.log.info("permit_granted", target=target, fence=index, order=command.order_id)
        if control_plane is None or control_plane.allocator is None:
            return
        if isinstance(command, rollout_commands.Command):
            self._log_release_command(control_plane, command)
        elif isinstance(command, commands.SetTopology):
            self.log.info("topology_committed", fence=index)
        elif isinstance(command, commands.ReleasePermit):
            self.log.info("permit_released", target=command.target, fence=command.fencing_token)
        elif isinstance(command, commands.ExpirePermit):
            self.log.warning("permit_expired", target=command.target, fence=command.fencing_token)

    def _log_release_command(
        self, control_plane: ControlPlaneReplica, command: rollout_commands.Command
    ) -> None:
        state_machine = control_plane.state_machine
        if not isinstance(state_machine, RolloutStateMachine):
            return
        release = state_machine.state.releases.get(command.ident)
        if release is None or (isinstance(command, rollout_commands.RecordVerdict) and not command.why):
            return
        fields: LogFields = {"release": release.ident, "state": release.state, "batch": release.batch}
        if isinstance(command, rollout_commands.StartBatch):
            fields["targets"] = ",".join(target for target, _ in command.targets)
            fields["fence"] = command.fence
        elif isinstance(command, rollout_commands.FinishBatch):
            fields["new"] = ",".join(command.updated)
        self.log.info(RELEASE_EVENTS[type(command)], step=release.step, reason=release.why or None, **fields)
