"""Handles the requests to the control plane: orders, releases and voters of the fleet."""

from __future__ import annotations

import time

from oakkeel.agent import messages
from oakkeel.agent.control_plane_status import fleet_order_status, fleet_status, raft_status, release_status
from oakkeel.agent.handler_context import HandlerContext
from oakkeel.agent.raft_runtime import CommitUnknownError, RaftRuntime
from oakkeel.authentication.mac import Key
from oakkeel.disruption import commands
from oakkeel.disruption.state import DisruptionOrder, Rejection
from oakkeel.errors import OakkeelError
from oakkeel.raft.proposals import NotLeaderError
from oakkeel.rollout import commands as rollout_commands
from oakkeel.rollout.release import Release
from oakkeel.settings.types import VOTER_COUNTS

CONTROL_PLANE_REQUESTS = (
    messages.FleetOrderRequest,
    messages.EndFleetOrderRequest,
    messages.SetVotersRequest,
    messages.FleetStatusRequest,
    messages.StartReleaseRequest,
    messages.ControlReleaseRequest,
    messages.ReleaseStatusRequest,
)


class UnexpectedRequestError(OakkeelError):
    """A request or a result has a type that its handler does not know, which is a defect of the program."""


class ControlPlaneHandlers:
    """Handlers for the requests that only the leader of the control plane can serve."""

    def __init__(self, agent: HandlerContext) -> None:
        """Serve requests with the replica of `agent`."""
        self.agent = agent

    async def handle(self, key: Key, request: messages.Request) -> messages.Response:
        """Propose the command of a request, or respond with the requested status."""
        raft = self.agent.raft
        if raft is None or raft.control_plane is None:
            return self._no_replica_response(raft)
        try:
            if isinstance(request, messages.FleetStatusRequest):
                return fleet_status(time.monotonic_ns(), raft, request.order_id)
            if isinstance(request, messages.ReleaseStatusRequest):
                return release_status(time.monotonic_ns(), raft, request.release_id)
            if isinstance(request, messages.SetVotersRequest):
                return await self._set_voters(key, raft, request)
            result = await raft.propose(_command_of(key, request, time.time_ns()))
        except NotLeaderError as error:
            return messages.NotLeaderResponse(error.leader, str(error))
        except CommitUnknownError as error:
            return _commit_unknown_response(error)
        return self._committed_response(key, request, raft, result)

    def _no_replica_response(self, raft: RaftRuntime | None) -> messages.Response:
        """Respond that this host has no replica, and name the leader if it is known."""
        reporter = self.agent.status_reporter
        if raft and raft.storage_error:
            reason = raft.storage_error
        elif reporter:
            reason = "this host has no replica"
        else:
            reason = "this fleet has no control plane: name its voters in <keepers>"
        return messages.NotLeaderResponse(reporter.leader if reporter else "", reason)

    def _committed_response(
        self, key: Key, request: messages.Request, raft: RaftRuntime, result: object
    ) -> messages.Response:
        """Respond with the result of a committed command."""
        if isinstance(result, Rejection):
            return messages.ErrorResponse(result.reason)
        if isinstance(result, Release):
            self.agent.log.info(
                "release_command_committed",
                release=result.ident,
                operator=key.operator,
                command=getattr(request, "action", "start"),
            )
            return release_status(time.monotonic_ns(), raft, result.ident)
        if not isinstance(result, DisruptionOrder):
            raise UnexpectedRequestError(f"unexpected result of a command: {type(result).__name__}")
        self.agent.log.info(
            "order_command_committed",
            order=result.id,
            operator=key.operator,
            command=request.__struct_config__.tag,
        )
        return fleet_order_status(raft, result)

    async def _set_voters(
        self, key: Key, raft: RaftRuntime, request: messages.SetVotersRequest
    ) -> messages.Response:
        known_hosts = {host.name for host in raft.fleet.hosts}
        if unknown_hosts := [name for name in request.hosts if name not in known_hosts]:
            return messages.ErrorResponse(f"there is no host {unknown_hosts[0]!r}")
        if len(request.hosts) not in VOTER_COUNTS:
            return messages.ErrorResponse("name three or five voters (keepers), or one for a trial")
        result = await raft.propose(commands.SetVoters(request.hosts, key.operator))
        if isinstance(result, Rejection):
            return messages.ErrorResponse(result.reason)
        return raft_status(time.monotonic_ns(), self.agent.host.name, raft, self.agent.status_reporter)


def _commit_unknown_response(error: CommitUnknownError) -> messages.NotLeaderResponse:
    """Respond that a command may be committed or lost.

    The leader sends the response of a replica that knows no leader. A client then searches for the leader
    again and repeats the request with the same ID; a command that is committed twice takes effect once.
    """
    return messages.NotLeaderResponse(
        "", f"not known to be committed: {error}; send it again with the same id"
    )


def _command_of(
    key: Key, request: messages.Request, unix_time: int
) -> commands.Command | rollout_commands.Command:
    """The command that a request adds to the replicated log."""
    if isinstance(request, messages.FleetOrderRequest):
        return commands.SubmitOrder(
            request.order_id,
            key.operator,
            request.verb,
            unix_time,
            request.lifetime,
            request.atomic,
            list(request.targets),
        )
    if isinstance(request, messages.StartReleaseRequest):
        return rollout_commands.StartRelease(
            request.release_id, key.operator, unix_time, request.version, request.policy, request.targets
        )
    if isinstance(request, messages.ControlReleaseRequest):
        return rollout_commands.ControlRelease(request.release_id, key.operator, request.action)
    if not isinstance(request, messages.EndFleetOrderRequest):
        raise UnexpectedRequestError(f"no command for {type(request).__name__}")
    if request.cancel:
        return commands.CancelOrder(request.order_id, key.operator)
    return commands.HaltOrder(request.order_id, key.operator)
