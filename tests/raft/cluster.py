"""A cluster of Raft replicas on one clock, for tests."""

from collections.abc import Callable
from typing import NamedTuple

from oakkeel.raft.durable_state import DurableState
from oakkeel.raft.memory_storage import InMemoryStorage
from oakkeel.raft.messages import Envelope
from oakkeel.raft.proposals import Proposal, ProposalStatus
from oakkeel.raft.replica import Replica
from oakkeel.raft.state import Output
from oakkeel.raft.timeouts import RaftTimeouts
from oakkeel.units import MS, SECOND


class RecordingStateMachine:
    """Records the committed commands. The command `voters a b c` sets the desired voters."""

    def __init__(self) -> None:
        """Start without commands and desired voters."""
        self.commands: list[bytes] = []
        self.voters: tuple[str, ...] = ()

    def apply(self, index: int, content: bytes) -> object:
        """Record a command."""
        self.commands.append(content)
        if content.startswith(b"voters "):
            self.voters = tuple(content.decode().split()[1:])
        return index

    def snapshot(self) -> bytes:
        """Return the voters and all commands, one a line."""
        return b"\n".join([" ".join(self.voters).encode(), *self.commands])

    def restore(self, content: bytes) -> None:
        """Replace the state with that of a snapshot."""
        voters_line, *self.commands = content.split(b"\n") if content else [b""]
        self.voters = tuple(voters_line.decode().split())

    def desired_voters(self) -> tuple[str, ...]:
        """Return the voters that the last `voters` command named."""
        return self.voters


class Delivery(NamedTuple):
    """A message in transit. Messages that are due at one time arrive in the order of their numbers."""

    due_at: int
    number: int
    recipient: str
    envelope: Envelope


class Cluster:
    """Replicas on one clock. A message arrives after a millisecond, unless its link is blocked."""

    def __init__(
        self, *names: str, initial_voters: tuple[str, ...] = (), timeouts: RaftTimeouts | None = None
    ) -> None:
        """Start a replica for each name."""
        self.now = SECOND
        self.initial_voters = initial_voters or names
        self.timeouts = timeouts or RaftTimeouts()
        self.storages: dict[str, InMemoryStorage] = {}
        self.replicas: dict[str, Replica] = {}
        self.in_transit: list[Delivery] = []
        self.blocked_links: set[tuple[str, str]] = set()  # by sender and recipient
        self.last_number = 0  # the last number that a start or a message got
        for name in names:
            self.start(name)

    def start(self, name: str) -> None:
        """Start or restart a replica from its storage."""
        self.last_number += 1
        storage = self.storages.setdefault(
            name, InMemoryStorage(DurableState(name, f"{name}.{self.last_number}"))
        )
        self.replicas[name] = Replica(
            self.now,
            storage.load(),
            RecordingStateMachine(),
            self.last_number,
            self.timeouts,
            self.initial_voters,
        )

    def isolate(self, name: str) -> None:
        """Block all links of one replica, and restore all other links."""
        self.blocked_links = {link for other in self.replicas for link in ((name, other), (other, name))}

    def process_output(self, name: str, output: Output) -> None:
        """Store the storage update of a replica's output, and send the messages of the output."""
        if output.storage_update:
            self.storages[name].write(self.replicas[name].durable, output.storage_update)
        for recipient, envelope in output.envelopes:
            if (name, recipient) not in self.blocked_links:
                self.last_number += 1
                self.in_transit.append(Delivery(self.now + MS, self.last_number, recipient, envelope))

    def run(self, duration: int, is_done: Callable[[], bool] = lambda: False) -> None:
        """Advance the time until `is_done` returns true, or for the whole duration."""
        end_at = self.now + duration
        while self.now < end_at and not is_done():
            tick_times = [replica.next_tick_at() for replica in self.replicas.values()]
            next_at = min(tick_times + [delivery.due_at for delivery in self.in_transit])
            self.now = max(self.now, min(next_at, end_at))
            self._deliver()
            for name, replica in list(self.replicas.items()):
                if replica.next_tick_at() <= self.now:
                    self.process_output(name, replica.tick(self.now))

    def _deliver(self) -> None:
        due_deliveries = sorted(delivery for delivery in self.in_transit if delivery.due_at <= self.now)
        self.in_transit = [delivery for delivery in self.in_transit if delivery.due_at > self.now]
        for delivery in due_deliveries:
            if delivery.recipient in self.replicas:
                replica = self.replicas[delivery.recipient]
                self.process_output(delivery.recipient, replica.receive(self.now, delivery.envelope))

    def _leaders(self) -> list[Replica]:
        return [replica for replica in self.replicas.values() if replica.holds_lease(self.now)]

    def has_leader(self) -> bool:
        """Whether a replica holds the lease."""
        return bool(self._leaders())

    def leader(self) -> Replica:
        """Return the leader that holds the lease, after an election of at most 5 s if there is none."""
        self.run(5 * SECOND, self.has_leader)
        return self._leaders()[0]

    def propose(self, content: bytes) -> Proposal:
        """Propose a command to the leader."""
        leader = self.leader()
        proposal, output = leader.propose(self.now, content)
        self.process_output(leader.name, output)
        return proposal

    def commit(self, *contents: bytes) -> None:
        """Propose commands in turn, and wait until each is committed."""
        for content in contents:
            proposal = self.propose(content)
            self.run(2 * SECOND, lambda pending=proposal: pending.status is not ProposalStatus.PENDING)
            assert proposal.status is ProposalStatus.COMMITTED, proposal.status

    def applied_commands(self) -> dict[str, list[bytes]]:
        """Advance the time by 500 ms, and return the commands that each replica has applied."""
        self.run(500 * MS)
        return {name: replica.state_machine.commands for name, replica in self.replicas.items()}
