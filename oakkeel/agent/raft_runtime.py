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
from oakkeel.agent.topology import topology_of
from oakkeel.authentication.client import AuthenticatedClient, LinkError
from oakkeel.authentication.mac import Key
from oakkeel.disruption import commands
from oakkeel.disruption.allocator import PermitAllocator
from oakkeel.disruption.control_plane import ControlPlaneReplica
from oakkeel.disruption.messages import Heartbeat
from oakkeel.disruption.state import Rejection
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

MS = 1_000_000
SECOND = 1000 * MS
MAX_QUEUED_ENVELOPES = 256  # that wait for one peer
MAX_REQUEST_BYTES = 96 * 1024  # bytes of letters in one message
CARRY = 700 * MS  # for a message to a peer to be taken; what it held is lost then
AGAIN = 100 * MS  # after a link failed, and after the file could not be written
AGREE = 5 * SECOND  # for something proposed to be agreed


RELEASE_EVENTS: dict[type, str] = {
    releases.StartRelease: "release_started",
    releases.ControlRelease: "release_controlled",
    releases.ReportPrepared: "release_host_prepared",
    releases.BeginRollout: "release_rollout_begun",
    releases.StartBatch: "release_batch_started",
    releases.FinishBatch: "release_batch_finished",
    releases.RecordVerdict: "release_halted",
    releases.FinishRelease: "release_finished",
}


class CommitUnknownError(Exception):
    """Nobody can say yet whether it is agreed; the same id may be sent again."""


class RaftRuntime:
    """One keeper. Every write, link and timer of it is here."""

    def __init__(
        self, fleet: Fleet, name: str, keys: dict[str, Key], log: EventLog, pace: RaftTimeouts | None = None
    ) -> None:
        """Raises StoreError where its file can't be used."""
        assert fleet.control_plane is not None
        self.fleet, self.name, self.keys, self.log = fleet, name, keys, log
        self.pace = pace or RaftTimeouts()
        host = fleet.host(name)
        self.path = os.path.join(host.state, "record.db")
        self.store = Database(self.path, storage.SCHEMA, storage.VERSION, storage.MAX_FILE_BYTES)
        if self.store.quarantined:
            log.warning("raft_storage_quarantined", file=self.store.quarantined)
        self.witness = WriteCounter(self.path + ".count", self.store)
        if self.store.created:
            self._count_anew()
        elif why := self.witness.stale_reason():
            self._set_aside(f"an older copy: {why}")
        self.layout = topology_of(fleet)
        self.peers: dict[str, PeerSender] = {}
        self.futures: dict[Proposal, asyncio.Future] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.fault = ""  # the file can't be written
        self.leads = False
        self.again_at = 0  # when to make the keeper anew, where there is none
        self.control_plane: ControlPlaneReplica | None = None

    def open(self) -> None:
        self._begin()
        self._schedule()

    def _begin(self) -> None:
        """Make the keeper from what is on disk."""
        try:
            held = storage.load(self.store, self.name, f"{self.name}.{secrets.token_hex(8)}")
            try:
                storage.check(held)
            except storage.CorruptStateError as error:
                self._set_aside(str(error))
                held = storage.load(self.store, self.name, f"{self.name}.{secrets.token_hex(8)}")
        except DatabaseError as error:
            return self._failed(error)
        self.fault, founders = "", self.fleet.control_plane.hosts if self.fleet.control_plane else ()
        self.control_plane = ControlPlaneReplica(
            time.monotonic_ns(),
            held,
            secrets.randbits(60),
            self.pace,
            founders,
            self.layout,
            state_machine=RolloutStateMachine,
            extension=self._driver,
        )
        self.control_plane.on_committed = self._agreed

    def _driver(self, now: int, book: RolloutStateMachine, allocator: PermitAllocator) -> RolloutController:
        """What a leader does for releases, with a name that no other has."""
        return RolloutController(now, book, allocator, f"{self.name}.{secrets.token_hex(6)}")

    def _agreed(self, index: int, command: commands.Command, result: object) -> None:
        """Told for whoever looks for a cause: grants by each keeper, as their leader may be gone, the rest by
        the leader."""
        if isinstance(result, Rejection):
            return None
        if isinstance(command, commands.GrantPermits):
            for thing in command.targets:
                self.log.info("permit_granted", target=thing, fence=index, order=command.order_id)
        if self.control_plane is None or self.control_plane.allocator is None:
            return None
        if isinstance(command, releases.Command):
            return self._of_release(command)
        if isinstance(command, commands.SetTopology):
            self.log.info("topology_committed", fence=index)
        elif isinstance(command, commands.ExpirePermit | commands.ReleasePermit):
            over = isinstance(command, commands.ReleasePermit)
            report = self.log.info if over else self.log.warning
            report(
                "permit_released" if over else "permit_expired",
                target=command.target,
                fence=command.fencing_token,
            )

    def _of_release(self, command: releases.Command) -> None:
        book = self.control_plane.state_machine if self.control_plane else None
        release = book.state.releases.get(command.ident) if isinstance(book, RolloutStateMachine) else None
        if release is None or (isinstance(command, releases.RecordVerdict) and not command.why):
            return
        facts: dict[str, object] = {"release": release.ident, "state": release.state, "batch": release.batch}
        if isinstance(command, releases.StartBatch):
            facts["targets"] = ",".join(thing for thing, _ in command.targets)
            facts["fence"] = command.fence
        elif isinstance(command, releases.FinishBatch):
            facts["new"] = ",".join(command.updated)
        self.log.info(RELEASE_EVENTS[type(command)], step=release.step, reason=release.why or None, **facts)

    def _set_aside(self, why: str) -> None:
        """Put the file away under a name that says when, and begin a new life."""
        self.store.close()
        self.witness.reset()
        aside = f"{self.path}.{time.strftime('%Y%m%dT%H%M%S', time.gmtime())}-{os.getpid()}"
        for ending in ("", "-wal", "-shm"):
            with contextlib.suppress(FileNotFoundError):
                os.rename(self.path + ending, aside + ending)
        self.log.warning("raft_storage_quarantined", file=aside, error=why)
        self.store = Database(self.path, storage.SCHEMA, storage.VERSION, storage.MAX_FILE_BYTES)
        self.witness = WriteCounter(self.path + ".count", self.store)

    def _count_anew(self) -> None:
        """The file is a new one, whatever was counted of the one before."""
        self.witness.reset()
        self.witness = WriteCounter(self.path + ".count", self.store)

    def _failed(self, error: DatabaseError) -> None:
        """As if it had crashed: made again from what is there, once that can be written."""
        if str(error) != self.fault:
            self.log.error("raft_storage_write_failed", error=str(error))
        self.fault, self.control_plane, self.again_at = str(error), None, time.monotonic_ns() + AGAIN
        for future in self.futures.values():
            if not future.done():
                future.set_exception(CommitUnknownError("the record can't be kept here"))
        self.futures.clear()

    # What happens.

    def carried(self, sender: str, letters: list[Envelope]) -> list[Envelope]:
        """Letters came from a host, as its key proves. Returns those that wait for it."""
        for letter in letters:
            if letter.sender == sender and self.control_plane:
                self._carry_out(self.control_plane.receive(time.monotonic_ns(), letter))
        self._schedule()
        return self._peer(sender).take() if sender in self.keys else []

    def polled(self, poll: Heartbeat) -> messages.Response:
        if self.control_plane is None:
            return messages.NotLeaderResponse("", self.fault or "the record is not kept here")
        try:
            agreed, steps = self.control_plane.receive_heartbeat(time.monotonic_ns(), poll)
        except NotLeaderError as error:
            return messages.NotLeaderResponse(error.leader, str(error))
        self._carry_out(steps)
        self._schedule()
        return messages.HeartbeatAccepted(agreed)

    async def propose(self, command: commands.Command | releases.Command) -> object:
        """What came of it once it is agreed. Raises NotLeading, or Undecided."""
        if self.control_plane is None:
            raise NotLeaderError("", self.fault)
        proposal, steps = self.control_plane.propose(time.monotonic_ns(), command)
        future: asyncio.Future = asyncio.get_running_loop().create_future()
        self.futures[proposal] = future
        self._carry_out(steps)
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
                self._begin()
            else:
                self._carry_out(self.control_plane.tick(time.monotonic_ns()))
        except Exception as error:  # the agent lives on; what is on disk is whole
            self.log.error("raft_tick_failed", error=fault(error))
            self.control_plane, self.again_at = None, time.monotonic_ns() + AGAIN
        self._schedule()

    def _schedule(self) -> None:
        if self.timer:
            self.timer.cancel()
        now = time.monotonic_ns()
        at = self.again_at  # not from now: letters that come all the time would put it off for ever
        if self.control_plane:
            at = min(
                self.control_plane.replica.next_tick_at(),
                now + (50 * MS if self.control_plane.allocator else SECOND),
            )
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(max(MS, at - now) / SECOND, self._tick)

    def _carry_out(self, all_steps: list[Output]) -> None:
        """Written before anything is sent or told, in the order in which it was decided."""
        for steps in all_steps:
            if self.control_plane is None:
                return None
            if steps.storage_update:
                try:
                    storage.write(
                        self.store, self.control_plane.replica.durable, steps.storage_update, self.witness
                    )
                except DatabaseError as error:
                    return self._failed(error)
            for name, letter in steps.envelopes:
                if name in self.keys:
                    self._peer(name).put(letter)
            for proposal in steps.completed:
                self._ended(proposal)
        control_plane = self.control_plane
        if control_plane is None:
            return None
        if control_plane.replica.role is Role.STALE:
            self._set_aside(control_plane.replica.stale_reason)
            self._begin()
        elif (leads := control_plane.allocator is not None) != self.leads:
            self.leads = leads
            self.log.info(
                "leader_elected" if leads else "leadership_lost",
                term=control_plane.replica.term,
                committed=control_plane.replica.commit_index,
            )

    def _ended(self, proposal: Proposal) -> None:
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
            self.peers[name] = PeerSender(name, link, self._came, self.log)
        return self.peers[name]

    def _came(self, name: str, letters: list[Envelope]) -> None:
        """With the answer to what we sent."""
        for letter in letters:
            if letter.sender == name and self.control_plane:
                self._carry_out(self.control_plane.receive(time.monotonic_ns(), letter))
        self._schedule()

    def close(self) -> None:
        if self.timer:
            self.timer.cancel()
        for peer in self.peers.values():
            peer.close()
        self.witness.close()
        self.store.close()


class PeerSender:
    """Another keeper: what waits for it, and the link on which it goes."""

    def __init__(
        self, name: str, link: AuthenticatedClient, came: Callable[[str, list[Envelope]], None], log: EventLog
    ) -> None:
        self.name, self.link, self.came, self.log = name, link, came, log
        self.waiting: deque[Envelope] = deque(maxlen=MAX_QUEUED_ENVELOPES)  # the oldest is lost first
        self.some = asyncio.Event()
        self.task = asyncio.ensure_future(self._send())

    def put(self, letter: Envelope) -> None:
        self.waiting.append(letter)
        self.some.set()

    def take(self) -> list[Envelope]:
        """As many as one message holds."""
        letters: list[Envelope] = []
        size = 0
        while self.waiting:
            size += len(msgspec.msgpack.encode(self.waiting[0]))
            if letters and size > MAX_REQUEST_BYTES:
                break
            letters.append(self.waiting.popleft())
        if not self.waiting:
            self.some.clear()
        return letters

    async def _send(self) -> None:
        while True:
            await self.some.wait()
            letters = self.take()
            if not letters:
                continue
            try:
                if self.link.stream is None:
                    await self._ask([])  # shows whose link it is, so that a long message is taken
                await self._ask(letters)
            except (LinkError, msgspec.MsgspecError):
                await asyncio.sleep(AGAIN / SECOND)  # what was sent is lost: keepers say it again
            except Exception as error:  # else a fault in what one answer brings would end this link for good
                self.log.error("peer_response_failed", target=self.name, error=fault(error))
                await asyncio.sleep(AGAIN / SECOND)

    async def _ask(self, letters: list[Envelope]) -> None:
        answer = messages.decode_response(
            await self.link.request(messages.encode(messages.PeerEnvelopesRequest(letters)), CARRY / SECOND)
        )
        if isinstance(answer, messages.PeerEnvelopesResponse):
            self.came(self.name, answer.envelopes)

    def close(self) -> None:
        self.task.cancel()
        self.link.close()
