"""Recovery of a replica that has just started, and the bootstrap of a new cluster.

A replica that has just started asks the other replicas for the last entry that it acknowledged. If that entry
is after the end of its log, its file is an older copy: the replica is stale and must begin a new incarnation.
The replica does not vote before a majority has responded, and never in a term that a responder has already
reached.
"""

from __future__ import annotations

from oakkeel.raft.log import LogPosition, Snapshot
from oakkeel.raft.messages import Envelope, JoinCluster, Member, RecoveryRequest, RecoveryResponse
from oakkeel.raft.roles import Role
from oakkeel.raft.state import ReceivedRecoveryRequest, ReplicaState

UNKNOWN_VOTE = "?"  # stored as the vote in a term in which an earlier vote may have been lost
NONCE_BITS = 60
EPOCH_BITS = 64


class Recovery:
    """Sends recovery requests and responds to the requests of other replicas."""

    def __init__(self, now: int, replica: ReplicaState, initial_voters: tuple[str, ...]) -> None:
        """`initial_voters` names the voters of a new cluster, by the operators' settings."""
        self.replica = replica
        self.initial_voters = initial_voters
        self.started_at = now
        self.next_request_at = now
        self.start_position = replica.log.last_position  # the end of the log at the start
        self.nonce = replica.random.getrandbits(NONCE_BITS)
        self.responders: set[str] = set()  # incarnations of the replicas that responded

    def tick(self, now: int) -> None:
        """Send recovery requests if they are due, and create the cluster if there is none."""
        if now < self.next_request_at:
            return
        replica = self.replica
        durable = replica.durable
        self.next_request_at = now + replica.timeouts.recovery_interval_ns
        is_recovering = replica.role is Role.RECOVERING
        position = self.start_position if is_recovering else replica.log.last_position
        request = RecoveryRequest(self.nonce, not durable.epoch, durable.term, position.term, position.index)
        recipients = {
            *(member.name for member in replica.members),
            *self.initial_voters,
            *replica.state_machine.desired_voters(),
        }
        for name in sorted(recipients):  # a fixed order, so that a simulation is reproducible by its seed
            replica.send(name, request)
        if not durable.epoch and self.initial_voters and replica.name == min(self.initial_voters):
            self._bootstrap(now)

    def _bootstrap(self, now: int) -> None:
        """Create the cluster if all initial voters have empty files: else a cluster may exist already."""
        replica = self.replica
        incarnations = {
            name: request.incarnation
            for name, request in replica.recent_recovery_requests(now).items()
            if request.has_empty_file
        }
        incarnations[replica.name] = replica.incarnation
        if set(incarnations) >= set(self.initial_voters):
            members = [Member(name, incarnations[name]) for name in sorted(self.initial_voters)]
            self._join(now, f"{replica.random.getrandbits(EPOCH_BITS):016x}", members)

    def _join(self, now: int, epoch: str, members: list[Member]) -> None:
        replica = self.replica
        replica.durable.epoch = epoch
        replica.replace_log(Snapshot(0, 0, tuple(members), b""))
        replica.storage_update.updates_metadata = True
        replica.change_role(now, Role.FOLLOWER)
        replica.leader_contact_at = now
        replica.reset_election_timer(now)

    def handle_request(self, now: int, envelope: Envelope, request: RecoveryRequest) -> None:
        """Respond with the last acknowledged entry of the sender, and name the cluster to a new member."""
        replica = self.replica
        durable = replica.durable
        if envelope.epoch and envelope.epoch != durable.epoch:
            return  # the sender belongs to another cluster
        replica.recovery_requests[envelope.sender] = ReceivedRecoveryRequest(
            envelope.incarnation, now, request.empty
        )
        acknowledged = self._acknowledged_position(envelope.incarnation)
        response = RecoveryResponse(
            request.nonce, not durable.epoch, durable.term, acknowledged.term, acknowledged.index
        )
        replica.send(envelope.sender, response)
        # A member with an empty file has missed the creation of the cluster, or was added later.
        is_member = any(member.incarnation == envelope.incarnation for member in replica.members)
        if request.empty and durable.epoch and is_member:
            members = list(replica.log.snapshot.members)
            replica.send(envelope.sender, JoinCluster(request.nonce, durable.epoch, members))

    def _acknowledged_position(self, incarnation: str) -> LogPosition:
        """Return the last entry that a replica is known to have stored."""
        replica = self.replica
        position = replica.durable.acknowledgements.get(incarnation, LogPosition(0, 0))
        if replica.leader_state and (peer := replica.leader_state.peers.get(incarnation)):
            position = max(position, LogPosition(replica.log.term_at(peer.match_index), peer.match_index))
        return position

    def handle_response(self, now: int, envelope: Envelope, response: RecoveryResponse) -> None:
        """Become stale if the file is an older copy, or a follower once enough voters have responded."""
        replica = self.replica
        if replica.role is not Role.RECOVERING or response.nonce != self.nonce:
            return
        if not replica.durable.epoch or envelope.epoch != replica.durable.epoch:
            return
        acknowledged = LogPosition(response.acknowledged_term, response.acknowledged_index)
        if acknowledged > self.start_position:
            replica.become_stale(
                now,
                f"{envelope.sender} knows that this replica stored entry {acknowledged.index} of term"
                f" {acknowledged.term}, but its log ends with entry {self.start_position.index} of term"
                f" {self.start_position.term}",
            )
            return
        replica.set_term(max(response.term, replica.term), UNKNOWN_VOTE)  # the file may lack an earlier vote
        self.responders.add(envelope.incarnation)
        if self._is_complete(now):
            replica.change_role(now, Role.FOLLOWER)
            replica.reset_election_timer(now)

    def _is_complete(self, now: int) -> bool:
        """Whether all voters have responded, or a majority after the maximum wait.

        One voter may know of a later acknowledgement than another, so the wait lets all of them respond.
        """
        replica = self.replica
        incarnations = self.responders | {replica.incarnation}
        if incarnations >= replica.voters:
            return True
        waited_ns = now - self.started_at
        return waited_ns >= replica.timeouts.max_recovery_wait_ns and replica.has_majority(incarnations)

    def handle_join(self, now: int, message: JoinCluster) -> None:
        """Join the cluster that a message names, if the message responds to a request of this start."""
        if not self.replica.durable.epoch and message.nonce == self.nonce:
            self._join(now, message.epoch, message.members)
