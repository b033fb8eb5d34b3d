"""Properties of Raft under random crashes, blocked links and proposals."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from oakkeel.raft.proposals import NotLeaderError, Proposal, ProposalStatus
from oakkeel.raft.roles import Role
from oakkeel.raft.timeouts import RaftTimeouts
from oakkeel.units import MS, SECOND
from tests.raft.cluster import Cluster


class RaftMachine(RuleBasedStateMachine):
    """Three replicas under blocked links, crashes and proposals in any order.

    A command that was reported as committed stays committed, in one order, and no term has two leaders.
    """

    names = st.sampled_from("abc")

    def __init__(self) -> None:
        """Start a cluster, and wait 3 s for the election of a leader."""
        super().__init__()
        self.cluster = Cluster("a", "b", "c", timeouts=RaftTimeouts(max_entries_before_snapshot=3))
        self.cluster.run(3 * SECOND)
        self.proposals: list[tuple[bytes, Proposal]] = []
        self.leaders: dict[int, str] = {}  # incarnation by term
        self.committed: list[bytes] = []  # the longest list of applied commands seen

    @rule(wait_ms=st.integers(1, 2000))
    def advance_time(self, wait_ms):
        """Let some milliseconds pass."""
        self.cluster.run(wait_ms * MS)

    @rule(name=names, other=names, both_directions=st.booleans())
    def block_link(self, name, other, both_directions):
        """Cut a link in one direction or in both directions."""
        self.cluster.blocked_links |= {(name, other), (other, name)} if both_directions else {(name, other)}

    @rule()
    def heal(self):
        """Restore all links."""
        self.cluster.blocked_links.clear()

    @rule(name=names, loses_messages=st.booleans())
    def crash(self, name, loses_messages):
        """Restart a replica; messages that it sent may be lost with it."""
        self.cluster.start(name)
        if loses_messages:
            self.cluster.in_transit = [
                delivery for delivery in self.cluster.in_transit if delivery.envelope.sender != name
            ]

    @rule(name=names)
    def propose(self, name):
        """Propose a command, if the replica leads."""
        content = b"%d" % len(self.proposals)
        replica = self.cluster.replicas[name]
        try:
            proposal, output = replica.propose(self.cluster.now, content)
        except NotLeaderError:
            return
        self.proposals.append((content, proposal))
        self.cluster.process_output(name, output)
        self.cluster.run(5 * MS)

    @rule(name=names)
    def duplicate_messages(self, name):
        """Duplicate the messages in transit to a replica."""
        self.cluster.in_transit += [
            delivery._replace(number=-delivery.number)
            for delivery in self.cluster.in_transit
            if delivery.recipient == name
        ]

    @invariant()
    def committed_commands_stay(self):
        """Compare the commands that each replica has applied, and the leaders of each term."""
        for replica in self.cluster.replicas.values():
            commands = replica.state_machine.commands
            common_length = min(len(commands), len(self.committed))
            assert commands[:common_length] == self.committed[:common_length]
            self.committed = max(self.committed, list(commands), key=len)
            if replica.role is Role.LEADER:
                assert self.leaders.setdefault(replica.term, replica.incarnation) == replica.incarnation
        for content, proposal in self.proposals:
            if proposal.status is ProposalStatus.COMMITTED:
                assert content in self.committed


RaftMachine.TestCase.settings = settings(max_examples=40, stateful_step_count=25, deadline=None)


RaftPropertiesTest = RaftMachine.TestCase
