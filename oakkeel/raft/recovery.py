"""Recovery of a replica that has just started, and the bootstrap of a new cluster.

A replica that starts asks the others what it may have forgotten. Where they know it to have stored more than
its file holds, the file is an older copy: it is stale, and begins a new incarnation. Until a majority has
answered it votes for nobody, and never in a term that any of them knows of.
"""

from __future__ import annotations

from oakkeel.raft.log import LogPosition, Snapshot
from oakkeel.raft.messages import Envelope, JoinCluster, Member, RecoveryRequest, RecoveryResponse
from oakkeel.raft.roles import Role
from oakkeel.raft.state import ReceivedRecoveryRequest, ReplicaState

UNKNOWN_VOTE = "?"  # a vote that may have been given and is forgotten


class Recovery:
    """Asks and answers what a replica may have forgotten."""

    def __init__(self, now: int, replica: ReplicaState, initial_voters: tuple[str, ...]) -> None:
        """`initial_voters` names the voters of a new cluster, by the operators' settings."""
        self.replica, self.initial_voters = replica, initial_voters
        self.started_at = self.next_request_at = now
        self.start_position = replica.log.last_position
        self.nonce = replica.random.getrandbits(60)
        self.responded: set[str] = set()  # incarnations whose response counted

    def tick(self, now: int) -> None:
        """Ask again if it is time, and found the cluster if there is none."""
        if now < self.next_request_at:
            return
        replica, durable = self.replica, self.replica.durable
        self.next_request_at = now + replica.timeouts.recovery_interval
        recovering = replica.role is Role.RECOVERING
        position = self.start_position if recovering else replica.log.last_position
        request = RecoveryRequest(self.nonce, not durable.epoch, durable.term, position.term, position.index)
        names = {
            *(member.name for member in replica.members),
            *self.initial_voters,
            *replica.state_machine.desired_voters(),
        }
        for name in sorted(names):  # in one order, as a schedule must play the same again
            replica.send(name, request)
        if not durable.epoch and self.initial_voters and replica.name == min(self.initial_voters):
            self._bootstrap(now)

    def _bootstrap(self, now: int) -> None:
        """Begin a cluster, if all initial voters have empty files: then there is none."""
        replica = self.replica
        incarnations = {
            name: request.incarnation
            for name, request in replica.recent_recovery_requests(now).items()
            if request.empty
        }
        incarnations[replica.name] = replica.incarnation
        if set(incarnations) >= set(self.initial_voters):
            members = [Member(name, incarnations[name]) for name in sorted(self.initial_voters)]
            self._join(now, f"{replica.random.getrandbits(64):016x}", members)

    def _join(self, now: int, epoch: str, members: list[Member]) -> None:
        replica = self.replica
        replica.durable.epoch = epoch
        replica.replace_log(Snapshot(0, 0, tuple(members), b""))
        replica.storage_update.metadata = True
        replica.change_role(now, Role.FOLLOWER)
        replica.leader_contact_at = now
        replica.reset_election_timer(now)

    def request_received(self, now: int, envelope: Envelope, request: RecoveryRequest) -> None:
        """Answer what the sender may have forgotten; tell a new replica which cluster it belongs to."""
        replica, durable = self.replica, self.replica.durable
        if envelope.epoch and envelope.epoch != durable.epoch:
            return  # of another cluster
        replica.recovery_requests[envelope.sender] = ReceivedRecoveryRequest(
            envelope.incarnation, now, request.empty
        )
        acknowledged = self._acknowledged(envelope.incarnation)
        response = RecoveryResponse(
            request.nonce, not durable.epoch, durable.term, acknowledged.term, acknowledged.index
        )
        replica.send(envelope.sender, response)
        # A member that has nothing was on its way when the cluster began, or is new.
        is_member = any(member.incarnation == envelope.incarnation for member in replica.members)
        if request.empty and durable.epoch and is_member:
            members = list(replica.log.snapshot.members)
            replica.send(envelope.sender, JoinCluster(request.nonce, durable.epoch, members))

    def _acknowledged(self, incarnation: str) -> LogPosition:
        """Return the last entry that a replica is known to have stored."""
        replica = self.replica
        known = replica.durable.acknowledgements.get(incarnation, LogPosition(0, 0))
        if replica.leader_state and (peer := replica.leader_state.peers.get(incarnation)):
            known = max(known, LogPosition(replica.log.term_at(peer.match_index), peer.match_index))
        return known

    def response_received(self, now: int, envelope: Envelope, response: RecoveryResponse) -> None:
        """Find the file stale, or go on as a follower once enough others have answered."""
        replica = self.replica
        if replica.role is not Role.RECOVERING or response.nonce != self.nonce:
            return
        if not replica.durable.epoch or envelope.epoch != replica.durable.epoch:
            return
        acknowledged = LogPosition(response.acknowledged_term, response.acknowledged_index)
        if acknowledged > self.start_position:
            replica.become_stale(
                now,
                f"{envelope.sender} knows it to have kept entry {acknowledged.index} of term"
                f" {acknowledged.term}; its file ends with {self.start_position.index} of"
                f" {self.start_position.term}",
            )
            return
        replica.set_term(max(response.term, replica.term), UNKNOWN_VOTE)  # it may have voted in it
        self.responded.add(envelope.incarnation)
        if self._is_complete(now):
            replica.change_role(now, Role.FOLLOWER)
            replica.reset_election_timer(now)

    def _is_complete(self, now: int) -> bool:
        """Whether all voters have answered, or after some time a majority.

        The first to answer may know less than another, so all that are there are asked.
        """
        replica = self.replica
        counted = self.responded | {replica.incarnation}
        if counted >= replica.voters:
            return True
        waited = now - self.started_at
        return waited >= replica.timeouts.recovery_wait and replica.has_majority(counted)

    def join_received(self, now: int, message: JoinCluster) -> None:
        """Join the cluster that it belongs to, if it answers this start."""
        if not self.replica.durable.epoch and message.nonce == self.nonce:
            self._join(now, message.epoch, message.members)
