"""Runs the control plane replica of one agent: its file, connections and timer.

The `RaftRuntime` of an agent owns a `ReplicaFile` (the state on disk), a `PeerTransport` for each other
replica, and a `ControlPlaneReplica`. The `ControlPlaneReplica` owns the Raft `Replica`, the state machine
and, while it leads, a `PermitAllocator` and the rollout controller. After a failed write or a quarantine, a
new `ControlPlaneReplica` is created from the file.
"""

from __future__ import annotations

import asyncio
import os
import secrets
import time

from oakkeel.agent import messages
from oakkeel.agent.command_log import CommandLog
from oakkeel.agent.configuration import control_plane_of
from oakkeel.agent.peer_sender import PeerTransport
from oakkeel.agent.replica_file import ReplicaFile
from oakkeel.agent.topology import topology_of
from oakkeel.authentication.client import AuthenticatedClient
from oakkeel.authentication.mac import Key
from oakkeel.disruption import commands
from oakkeel.disruption.allocator import PermitAllocator
from oakkeel.disruption.control_plane import ControlPlaneReplica, ReplicaSettings
from oakkeel.disruption.messages import Heartbeat
from oakkeel.errors import OakkeelError
from oakkeel.log import EventLog, describe_error
from oakkeel.raft.messages import Envelope
from oakkeel.raft.proposals import NotLeaderError, Proposal, ProposalStatus
from oakkeel.raft.roles import Role
from oakkeel.raft.state import Output
from oakkeel.raft.timeouts import RaftTimeouts
from oakkeel.rollout import commands as rollout_commands
from oakkeel.rollout.controller import RolloutController
from oakkeel.rollout.state_machine import RolloutStateMachine
from oakkeel.settings.types import Fleet
from oakkeel.store.database import DatabaseError
from oakkeel.units import MS, SECOND

STORAGE_RETRY_DELAY_NS = 100 * MS  # after the file could not be written
COMMIT_TIMEOUT_NS = 5 * SECOND  # from proposing a command
LEADER_TICK_INTERVAL_NS = 50 * MS
FOLLOWER_TICK_INTERVAL_NS = SECOND
MIN_TIMER_DELAY_NS = MS
SEED_BITS = 60
RAFT_DATABASE = "record.db"
CONTROLLER_ID_BYTES = 6  # of randomness in the name of a leader's rollout controller


class CommitUnknownError(OakkeelError):
    """It is not known whether a command is committed; the command may be sent again with the same ID."""


class RaftRuntime:
    """The replica of one host, with its file, connections and timer."""

    def __init__(
        self,
        fleet: Fleet,
        name: str,
        keys: dict[str, Key],
        log: EventLog,
        timeouts: RaftTimeouts | None = None,
    ) -> None:
        """Raises DatabaseError if the file can't be used, and NoControlPlaneError."""
        self.initial_voters = control_plane_of(fleet).initial_voters
        self.fleet = fleet
        self.name = name
        self.keys = keys
        self.log = log
        self.timeouts = timeouts or RaftTimeouts()
        path = os.path.join(fleet.host(name).state_folder, RAFT_DATABASE)
        self.file = ReplicaFile(path, name, log)
        self.command_log = CommandLog(log)
        self.topology = topology_of(fleet)
        self.peers: dict[str, PeerTransport] = {}
        self.futures: dict[Proposal, asyncio.Future[object]] = {}  # results of the open proposals
        self.timer: asyncio.TimerHandle | None = None
        self.storage_error = ""  # reason the file can't be written; empty if it can
        self.has_allocator = False  # as of the last log event of a change of leadership
        self.retry_at = 0  # time of the next attempt to start a stopped replica
        self.control_plane: ControlPlaneReplica | None = None

    def open(self) -> None:
        """Start the replica and its timer."""
        self._start_replica()
        self._schedule()

    def _start_replica(self) -> None:
        """Start the replica from the state on disk."""
        try:
            stored_state = self.file.load()
        except DatabaseError as error:
            self._handle_storage_failure(error)
            return
        self.storage_error = ""
        self.control_plane = ControlPlaneReplica(
            time.monotonic_ns(),
            stored_state,
            secrets.randbits(SEED_BITS),
            ReplicaSettings(
                self.initial_voters,
                self.topology,
                self.timeouts,
                state_machine=RolloutStateMachine,
                extension=self._make_controller,
            ),
        )
        self.control_plane.on_committed = self._log_committed_command

    def _make_controller(
        self, now: int, state_machine: RolloutStateMachine, allocator: PermitAllocator
    ) -> RolloutController:
        """The rollout controller of a leader, with a name that no other controller has."""
        controller_id = f"{self.name}.{secrets.token_hex(CONTROLLER_ID_BYTES)}"
        return RolloutController(now, state_machine, allocator, controller_id)

    def _log_committed_command(self, index: int, command: commands.Command, result: object) -> None:
        self.command_log.log_committed(self.control_plane, index, command, result)

    def _handle_storage_failure(self, error: DatabaseError) -> None:
        """Stop the replica as if it had crashed; it is started again once its file can be written."""
        if str(error) != self.storage_error:
            self.log.error("raft_storage_write_failed", error=str(error))
        self.storage_error = str(error)
        self._stop_replica()
        for future in self.futures.values():
            if not future.done():
                future.set_exception(CommitUnknownError("the replica's file can't be written"))
        self.futures.clear()

    def _stop_replica(self) -> None:
        self.control_plane = None
        self.retry_at = time.monotonic_ns() + STORAGE_RETRY_DELAY_NS

    # Events.

    def receive_envelopes(self, sender: str, envelopes: list[Envelope]) -> list[Envelope]:
        """Receive the envelopes of an authenticated host. Returns the envelopes queued for that host."""
        for envelope in envelopes:
            if envelope.sender == sender and self.control_plane:
                self._execute(self.control_plane.receive(time.monotonic_ns(), envelope))
        self._schedule()
        return self._peer_transport(sender).dequeue() if sender in self.keys else []

    def receive_heartbeat(self, heartbeat: Heartbeat) -> messages.Response:
        """Answer an agent's heartbeat, or name the leader."""
        if self.control_plane is None:
            return messages.NotLeaderResponse("", self.storage_error or "no replica runs on this host")
        try:
            response, outputs = self.control_plane.receive_heartbeat(time.monotonic_ns(), heartbeat)
        except NotLeaderError as error:
            return messages.NotLeaderResponse(error.leader, str(error))
        self._execute(outputs)
        self._schedule()
        return messages.HeartbeatAccepted(response)

    async def propose(self, command: commands.Command | rollout_commands.Command) -> object:
        """Return the result of a command once it is committed.

        Raises NotLeaderError, or CommitUnknownError if the outcome is not known in time.
        """
        if self.control_plane is None:
            raise NotLeaderError("", self.storage_error)
        proposal, outputs = self.control_plane.propose(time.monotonic_ns(), command)
        future: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        self.futures[proposal] = future
        self._execute(outputs)
        self._schedule()
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_NS / SECOND):
                return await future
        except TimeoutError as error:
            if not future.cancelled():  # the result arrived in the same pass of the event loop as the timeout
                return future.result()
            raise CommitUnknownError("no majority has stored the command yet") from error
        finally:
            self.futures.pop(proposal, None)

    def _tick(self) -> None:
        self.timer = None
        try:
            if self.control_plane is None:
                self._start_replica()
            else:
                self._execute(self.control_plane.tick(time.monotonic_ns()))
        except Exception as error:  # the agent continues; the state on disk is consistent
            self.log.error("raft_tick_failed", error=describe_error(error))
            self._stop_replica()
        self._schedule()

    def _schedule(self) -> None:
        if self.timer:
            self.timer.cancel()
        now = time.monotonic_ns()
        # `retry_at` is a time, not a delay: each arriving envelope reschedules the tick, and a delay that
        # starts again each time might never end.
        next_tick_at = self.retry_at
        if self.control_plane:
            has_allocator = self.control_plane.allocator is not None
            interval = LEADER_TICK_INTERVAL_NS if has_allocator else FOLLOWER_TICK_INTERVAL_NS
            next_tick_at = min(self.control_plane.replica.next_tick_at(), now + interval)
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(max(MIN_TIMER_DELAY_NS, next_tick_at - now) / SECOND, self._tick)

    def _execute(self, outputs: list[Output]) -> None:
        """Execute the outputs in order: store each one, then send its envelopes and report its results."""
        for output in outputs:
            if self.control_plane is None:
                return
            if output.storage_update:
                durable = self.control_plane.replica.durable
                try:
                    self.file.write(durable, output.storage_update)
                except DatabaseError as error:
                    self._handle_storage_failure(error)
                    return
            for name, envelope in output.envelopes:
                if name in self.keys:
                    self._peer_transport(name).enqueue(envelope)
            for proposal in output.completed:
                self._complete_proposal(proposal)
        if self.control_plane is not None:
            self._check_role(self.control_plane)

    def _check_role(self, control_plane: ControlPlaneReplica) -> None:
        """Quarantine the file of a stale replica, and log when leadership was won or lost.

        A leader has an allocator from when it first holds its lease until it steps down, also while the lease
        is expired. `RaftStatus.is_leader` differs, as it needs a valid lease.
        """
        replica = control_plane.replica
        has_allocator = control_plane.allocator is not None
        if replica.role is Role.STALE:
            self.file.quarantine(replica.stale_reason)
            self._start_replica()
        elif has_allocator != self.has_allocator:
            self.has_allocator = has_allocator
            self.log.info(
                "leader_elected" if has_allocator else "leadership_lost",
                term=replica.term,
                committed=replica.commit_index,
            )

    def _complete_proposal(self, proposal: Proposal) -> None:
        future = self.futures.pop(proposal, None)
        if future is None or future.done():
            return
        if proposal.status is ProposalStatus.COMMITTED:
            future.set_result(proposal.result)
        else:
            future.set_exception(CommitUnknownError("the replica that received it is no longer the leader"))

    def _peer_transport(self, name: str) -> PeerTransport:
        if name not in self.peers:
            link = AuthenticatedClient(self.fleet.host(name).agent_address, self.keys[self.name])
            self.peers[name] = PeerTransport(name, link, self._receive_response_envelopes, self.log)
        return self.peers[name]

    def _receive_response_envelopes(self, name: str, envelopes: list[Envelope]) -> None:
        """Receive the envelopes of a peer's response."""
        for envelope in envelopes:
            if envelope.sender == name and self.control_plane:
                self._execute(self.control_plane.receive(time.monotonic_ns(), envelope))
        self._schedule()

    def close(self) -> None:
        """Cancel the timer and close connections and files."""
        if self.timer:
            self.timer.cancel()
        for peer in self.peers.values():
            peer.close()
        self.file.close()
