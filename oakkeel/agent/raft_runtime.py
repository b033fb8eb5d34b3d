"""The record in one agent: its file, its links to other agents, its timers. `ControlPlaneReplica` decides."""

from __future__ import annotations

import asyncio
import contextlib
import os
import secrets
import time
from collections import deque
from collections.abc import Callable

import msgspec

from oakkeel.agent import messages
from oakkeel.agent.command_log import CommandLog
from oakkeel.agent.topology import topology_of
from oakkeel.authentication.client import AuthenticatedClient, LinkError
from oakkeel.authentication.mac import Key
from oakkeel.disruption import commands
from oakkeel.disruption.allocator import PermitAllocator
from oakkeel.disruption.control_plane import ControlPlaneReplica, ControlPlaneSettings
from oakkeel.disruption.messages import Heartbeat
from oakkeel.errors import OakkeelError
from oakkeel.log import EventLog, fault
from oakkeel.raft import storage
from oakkeel.raft.messages import Envelope
from oakkeel.raft.proposals import NotLeaderError, Proposal, ProposalStatus
from oakkeel.raft.roles import Role
from oakkeel.raft.state import Output
from oakkeel.raft.timeouts import RaftTimeouts
from oakkeel.raft.write_counter import WriteCounter
from oakkeel.rollout import commands as releases
from oakkeel.rollout.controller import RolloutController
from oakkeel.rollout.state_machine import RolloutStateMachine
from oakkeel.settings.types import Fleet
from oakkeel.store.database import Database, DatabaseError
from oakkeel.units import MS, SECOND

MAX_QUEUED_ENVELOPES = 256  # that wait for one peer
MAX_REQUEST_BYTES = 96 * 1024  # bytes of letters in one message
PEER_REQUEST_TIMEOUT = 700 * MS  # for a message to a peer to be taken; what it held is lost then
AGAIN = 100 * MS  # after a link failed, and after the file could not be written
AGREE = 5 * SECOND  # for something proposed to be agreed


class CommitUnknownError(OakkeelError):
    """Nobody can say yet whether it is agreed; the same id may be sent again."""


class RaftRuntime:
    """One keeper. Every write, link and timer of it is here."""

    def __init__(
        self,
        fleet: Fleet,
        name: str,
        keys: dict[str, Key],
        log: EventLog,
        timeouts: RaftTimeouts | None = None,
    ) -> None:
        """Raises StoreError where its file can't be used."""
        assert fleet.control_plane is not None
        self.fleet, self.name, self.keys, self.log = fleet, name, keys, log
        self.timeouts = timeouts or RaftTimeouts()
        host = fleet.host(name)
        self.path = os.path.join(host.state, "record.db")
        self.store = Database(self.path, storage.SCHEMA, storage.VERSION, storage.MAX_FILE_BYTES)
        if self.store.quarantined:
            log.warning("raft_storage_quarantined", file=self.store.quarantined)
        self.write_counter = WriteCounter(self.path + ".count", self.store)
        if self.store.created:
            self._reset_write_counter()
        elif why := self.write_counter.stale_reason():
            self._quarantine(f"an older copy: {why}")
        self.command_log = CommandLog(log)
        self.topology = topology_of(fleet)
        self.peers: dict[str, PeerSender] = {}
        self.futures: dict[Proposal, asyncio.Future[object]] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.storage_error = ""  # the file can't be written
        self.is_leader = False
        self.retry_at = 0  # when to make the keeper anew, where there is none
        self.control_plane: ControlPlaneReplica | None = None

    def open(self) -> None:
        """Start the replica and its timer."""
        self._start_replica()
        self._schedule()

    def _start_replica(self) -> None:
        """Make the keeper from what is on disk."""
        try:
            stored = storage.load(self.store, self.name, f"{self.name}.{secrets.token_hex(8)}")
            try:
                storage.check(stored)
            except storage.CorruptStateError as error:
                self._quarantine(str(error))
                stored = storage.load(self.store, self.name, f"{self.name}.{secrets.token_hex(8)}")
        except DatabaseError as error:
            self._storage_failed(error)
            return
        self.storage_error, founders = "", self.fleet.control_plane.hosts if self.fleet.control_plane else ()
        self.control_plane = ControlPlaneReplica(
            time.monotonic_ns(),
            stored,
            secrets.randbits(60),
            ControlPlaneSettings(
                founders,
                self.topology,
                self.timeouts,
                state_machine=RolloutStateMachine,
                extension=self._make_controller,
            ),
        )
        self.control_plane.on_committed = self._command_committed

    def _make_controller(
        self, now: int, state_machine: RolloutStateMachine, allocator: PermitAllocator
    ) -> RolloutController:
        """What a leader does for releases, with a name that no other has."""
        return RolloutController(now, state_machine, allocator, f"{self.name}.{secrets.token_hex(6)}")

    def _command_committed(self, index: int, command: commands.Command, result: object) -> None:
        self.command_log.committed(self.control_plane, index, command, result)

    def _quarantine(self, why: str) -> None:
        """Put the file away under a name that says when, and begin a new life."""
        self.store.close()
        self.write_counter.reset()
        aside = f"{self.path}.{time.strftime('%Y%m%dT%H%M%S', time.gmtime())}-{os.getpid()}"
        for ending in ("", "-wal", "-shm"):
            with contextlib.suppress(FileNotFoundError):
                os.rename(self.path + ending, aside + ending)
        self.log.warning("raft_storage_quarantined", file=aside, error=why)
        self.store = Database(self.path, storage.SCHEMA, storage.VERSION, storage.MAX_FILE_BYTES)
        self.write_counter = WriteCounter(self.path + ".count", self.store)

    def _reset_write_counter(self) -> None:
        """The file is a new one, whatever was counted of the one before."""
        self.write_counter.reset()
        self.write_counter = WriteCounter(self.path + ".count", self.store)

    def _storage_failed(self, error: DatabaseError) -> None:
        """As if it had crashed: made again from what is there, once that can be written."""
        if str(error) != self.storage_error:
            self.log.error("raft_storage_write_failed", error=str(error))
        self.storage_error, self.control_plane, self.retry_at = str(error), None, time.monotonic_ns() + AGAIN
        for future in self.futures.values():
            if not future.done():
                future.set_exception(CommitUnknownError("the record can't be kept here"))
        self.futures.clear()

    # What happens.

    def receive_envelopes(self, sender: str, envelopes: list[Envelope]) -> list[Envelope]:
        """Letters came from a host, as its key proves. Returns those that wait for it."""
        for envelope in envelopes:
            if envelope.sender == sender and self.control_plane:
                self._execute(self.control_plane.receive(time.monotonic_ns(), envelope))
        self._schedule()
        return self._peer(sender).take() if sender in self.keys else []

    def receive_heartbeat(self, heartbeat: Heartbeat) -> messages.Response:
        """Answer an agent's heartbeat, or name the leader."""
        if self.control_plane is None:
            return messages.NotLeaderResponse("", self.storage_error or "the record is not kept here")
        try:
            agreed, steps = self.control_plane.receive_heartbeat(time.monotonic_ns(), heartbeat)
        except NotLeaderError as error:
            return messages.NotLeaderResponse(error.leader, str(error))
        self._execute(steps)
        self._schedule()
        return messages.HeartbeatAccepted(agreed)

    async def propose(self, command: commands.Command | releases.Command) -> object:
        """What came of it once it is agreed. Raises NotLeading, or Undecided."""
        if self.control_plane is None:
            raise NotLeaderError("", self.storage_error)
        proposal, steps = self.control_plane.propose(time.monotonic_ns(), command)
        future: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        self.futures[proposal] = future
        self._execute(steps)
        self._schedule()
        try:
            return await asyncio.wait_for(future, AGREE / SECOND)
        except TimeoutError:
            raise CommitUnknownError("no majority has kept it yet") from None
        finally:
            self.futures.pop(proposal, None)

    def _tick(self) -> None:
        self.timer = None
        try:
            if self.control_plane is None:
                self._start_replica()
            else:
                self._execute(self.control_plane.tick(time.monotonic_ns()))
        except Exception as error:  # the agent lives on; what is on disk is whole
            self.log.error("raft_tick_failed", error=fault(error))
            self.control_plane, self.retry_at = None, time.monotonic_ns() + AGAIN
        self._schedule()

    def _schedule(self) -> None:
        if self.timer:
            self.timer.cancel()
        now = time.monotonic_ns()
        at = self.retry_at  # not from now: letters that come all the time would put it off for ever
        if self.control_plane:
            at = min(
                self.control_plane.replica.next_tick_at(),
                now + (50 * MS if self.control_plane.allocator else SECOND),
            )
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(max(MS, at - now) / SECOND, self._tick)

    def _execute(self, all_steps: list[Output]) -> None:
        """Written before anything is sent or told, in the order in which it was decided."""
        for steps in all_steps:
            if self.control_plane is None:
                return
            if steps.storage_update:
                try:
                    storage.write(
                        self.store,
                        self.control_plane.replica.durable,
                        steps.storage_update,
                        self.write_counter,
                    )
                except DatabaseError as error:
                    self._storage_failed(error)
                    return
            for name, envelope in steps.envelopes:
                if name in self.keys:
                    self._peer(name).put(envelope)
            for proposal in steps.completed:
                self._proposal_decided(proposal)
        control_plane = self.control_plane
        if control_plane is None:
            return
        if control_plane.replica.role is Role.STALE:
            self._quarantine(control_plane.replica.stale_reason)
            self._start_replica()
        elif (leads := control_plane.allocator is not None) != self.is_leader:
            self.is_leader = leads
            self.log.info(
                "leader_elected" if leads else "leadership_lost",
                term=control_plane.replica.term,
                committed=control_plane.replica.commit_index,
            )

    def _proposal_decided(self, proposal: Proposal) -> None:
        future = self.futures.pop(proposal, None)
        if future is None or future.done():
            return
        if proposal.status is ProposalStatus.COMMITTED:
            future.set_result(proposal.result)
        else:
            future.set_exception(CommitUnknownError("its leader is leader no more"))

    def _peer(self, name: str) -> PeerSender:
        if name not in self.peers:
            link = AuthenticatedClient(self.fleet.host(name).agent, self.keys[self.name])
            self.peers[name] = PeerSender(name, link, self._envelopes_received, self.log)
        return self.peers[name]

    def _envelopes_received(self, name: str, envelopes: list[Envelope]) -> None:
        """With the answer to what we sent."""
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
        self.write_counter.close()
        self.store.close()


class PeerSender:
    """Another keeper: what waits for it, and the link on which it goes."""

    def __init__(
        self,
        name: str,
        link: AuthenticatedClient,
        on_response: Callable[[str, list[Envelope]], None],
        log: EventLog,
    ) -> None:
        """Start the task that sends; `came` gets the envelopes of each response."""
        self.name, self.link, self.on_response, self.log = name, link, on_response, log
        self.queue: deque[Envelope] = deque(maxlen=MAX_QUEUED_ENVELOPES)  # the oldest is lost first
        self.not_empty = asyncio.Event()
        self.task = asyncio.ensure_future(self._send())

    def put(self, envelope: Envelope) -> None:
        """Queue an envelope; the oldest is dropped where the queue is full."""
        self.queue.append(envelope)
        self.not_empty.set()

    def take(self) -> list[Envelope]:
        """As many as one message holds."""
        envelopes: list[Envelope] = []
        size = 0
        while self.queue:
            size += len(msgspec.msgpack.encode(self.queue[0]))
            if envelopes and size > MAX_REQUEST_BYTES:
                break
            envelopes.append(self.queue.popleft())
        if not self.queue:
            self.not_empty.clear()
        return envelopes

    async def _send(self) -> None:
        while True:
            await self.not_empty.wait()
            envelopes = self.take()
            if not envelopes:
                continue
            try:
                if self.link.stream is None:
                    await self._ask([])  # shows whose link it is, so that a long message is taken
                await self._ask(envelopes)
            except (LinkError, msgspec.MsgspecError):
                await asyncio.sleep(AGAIN / SECOND)  # what was sent is lost: keepers say it again
            except Exception as error:  # else a fault in what one answer brings would end this link for good
                self.log.error("peer_response_failed", target=self.name, error=fault(error))
                await asyncio.sleep(AGAIN / SECOND)

    async def _ask(self, envelopes: list[Envelope]) -> None:
        answer = messages.decode_response(
            await self.link.request(
                messages.encode(messages.PeerEnvelopesRequest(envelopes)), PEER_REQUEST_TIMEOUT / SECOND
            )
        )
        if isinstance(answer, messages.PeerEnvelopesResponse):
            self.on_response(self.name, answer.envelopes)

    def close(self) -> None:
        """Cancel the task and close the connection."""
        self.task.cancel()
        self.link.close()
