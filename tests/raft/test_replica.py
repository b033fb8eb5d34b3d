"""Raft replicas: elections, replication and recovery, free of I/O."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from oakkeel.emulator.faults import MS, SECOND
from oakkeel.raft.durable_state import DurableState
from oakkeel.raft.memory_storage import InMemoryStorage
from oakkeel.raft.messages import (
    AppendEntriesRequest,
    AppendEntriesResponse,
    Entry,
    EntryKind,
    Envelope,
    RecoveryRequest,
    encode_members,
)
from oakkeel.raft.proposals import NotLeaderError, ProposalStatus
from oakkeel.raft.replica import Replica
from oakkeel.raft.roles import Role
from oakkeel.raft.timeouts import RaftTimeouts


class Notes:
    """A machine that writes down what was agreed."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []
        self.wanted: tuple[str, ...] = ()

    def apply(self, index: int, content: bytes) -> object:
        self.lines.append(content)
        if content.startswith(b"keepers "):
            self.wanted = tuple(content.decode().split()[1:])
        return index

    def snapshot(self) -> bytes:
        return b"\n".join([" ".join(self.wanted).encode(), *self.lines])

    def restore(self, content: bytes) -> None:
        first, *self.lines = content.split(b"\n") if content else [b""]
        self.wanted = tuple(first.decode().split())

    def desired_voters(self) -> tuple[str, ...]:
        return self.wanted


class Net:
    """Keepers on one clock, whose letters take a millisecond unless a way is cut."""

    def __init__(
        self, *names: str, initial_voters: tuple[str, ...] = (), timeouts: RaftTimeouts | None = None
    ) -> None:
        self.now, self.initial_voters, self.timeouts = (
            SECOND,
            initial_voters or names,
            timeouts or RaftTimeouts(),
        )
        self.disks: dict[str, InMemoryStorage] = {}
        self.keepers: dict[str, Replica] = {}
        self.waiting: list[tuple[int, int, str, Envelope]] = []
        self.cut: set[tuple[str, str]] = set()
        self.count = 0
        for name in names:
            self.start(name)

    def start(self, name: str) -> None:
        self.count += 1
        disk = self.disks.setdefault(name, InMemoryStorage(DurableState(name, f"{name}.{self.count}")))
        self.keepers[name] = Replica(
            self.now, disk.load(), Notes(), self.count, self.timeouts, self.initial_voters
        )

    def carry_out(self, name: str, output) -> None:
        if output.storage_update:
            self.disks[name].write(self.keepers[name].durable, output.storage_update)
        for to, envelope in output.envelopes:
            if (name, to) not in self.cut:
                self.count += 1
                self.waiting.append((self.now + MS, self.count, to, envelope))

    def run(self, lasts: int, done=lambda: False) -> None:
        end = self.now + lasts
        while self.now < end and not done():
            at = min(
                [each.next_tick_at() for each in self.keepers.values()] + [each[0] for each in self.waiting]
            )
            self.now = max(self.now, min(at, end))
            due = sorted(each for each in self.waiting if each[0] <= self.now)
            self.waiting = [each for each in self.waiting if each[0] > self.now]
            for _, _, to, envelope in due:
                if to in self.keepers:
                    self.carry_out(to, self.keepers[to].receive(self.now, envelope))
            for name, replica in list(self.keepers.items()):
                if replica.next_tick_at() <= self.now:
                    self.carry_out(name, replica.tick(self.now))

    def leader(self) -> Replica:
        self.run(5 * SECOND, lambda: any(each.holds_lease(self.now) for each in self.keepers.values()))
        return next(each for each in self.keepers.values() if each.holds_lease(self.now))

    def propose(self, content: bytes):
        leader = self.leader()
        proposal, output = leader.propose(self.now, content)
        self.carry_out(leader.name, output)
        return proposal

    def agree(self, *contents: bytes) -> None:
        for content in contents:
            proposal = self.propose(content)
            self.run(2 * SECOND, lambda made=proposal: made.status is not ProposalStatus.PENDING)
            assert proposal.status is ProposalStatus.COMMITTED, proposal.status

    def lines(self) -> dict[str, list[bytes]]:
        self.run(500 * MS)
        return {name: each.state_machine.lines for name, each in self.keepers.items()}


class KeeperStories(unittest.TestCase):
    def test_three_with_empty_files_found_a_record_and_agree(self):
        net = Net("a", "b", "c")
        net.agree(b"one", b"two")
        self.assertEqual(set(map(tuple, net.lines().values())), {(b"one", b"two")})
        self.assertEqual(len({each.durable.epoch for each in net.keepers.values()}), 1)

    def test_no_record_is_founded_while_one_of_the_initial_voters_is_not_there(self):
        net = Net("a", "b", initial_voters=("a", "b", "c"))
        net.run(5 * SECOND)
        self.assertEqual({each.role for each in net.keepers.values()}, {Role.RECOVERING})
        with self.assertRaises(NotLeaderError):
            net.keepers["a"].propose(net.now, b"one")

    def test_a_leader_that_dies_is_followed_within_two_seconds_by_one_that_has_all(self):
        net = Net("a", "b", "c", "d", "e")
        net.agree(b"one")
        for _ in range(2):
            gone = net.leader().name
            del net.keepers[gone]
            since = net.now
            self.assertNotEqual(net.leader().name, gone)
            self.assertLess(net.now - since, 2 * SECOND)
        net.agree(b"two")
        self.assertEqual(set(map(tuple, net.lines().values())), {(b"one", b"two")})

    def test_one_that_is_cut_off_does_not_unseat_the_leader_when_it_comes_back(self):
        net = Net("a", "b", "c")
        leader = net.leader()
        away = next(name for name in net.keepers if name != leader.name)
        net.cut = {(away, name) for name in net.keepers} | {(name, away) for name in net.keepers}
        net.run(10 * SECOND)
        self.assertEqual(net.keepers[away].role, Role.PRE_CANDIDATE)
        net.cut.clear()
        net.run(SECOND)
        self.assertEqual((net.leader(), leader.term, leader.elections_won), (leader, 1, 1))

    def test_a_leader_that_hears_nobody_leads_no_more_before_another_does(self):
        net = Net("a", "b", "c")
        leader = net.leader()
        net.cut = {(name, leader.name) for name in net.keepers}  # its own words still go out
        net.run(net.timeouts.election_max)
        self.assertFalse(leader.holds_lease(net.now))
        net.run(2 * SECOND, lambda: any(each.holds_lease(net.now) for each in net.keepers.values()))
        self.assertIsNot(net.leader(), leader)

    def test_a_lost_file_does_not_vote_until_the_leader_has_put_its_new_life_in_place(self):
        net = Net("a", "b", "c")
        net.agree(b"one")
        lost = next(name for name in net.keepers if name != net.leader().name)
        old = net.disks.pop(lost).metadata.incarnation
        net.start(lost)
        net.agree(b"two")
        replica = net.keepers[lost]
        net.run(5 * SECOND, lambda: replica.incarnation in net.leader().voters)
        self.assertIn(replica.incarnation, net.leader().voters)
        self.assertNotIn(old, net.leader().voters)
        self.assertEqual(net.lines()[lost], [b"one", b"two"])

    def test_a_file_that_is_an_hour_old_is_found_out_and_begins_a_new_life(self):
        net = Net("a", "b", "c")
        net.agree(b"one")
        victim = next(name for name in net.keepers if name != net.leader().name)
        backup = net.disks[victim].copy()
        net.agree(b"two", b"three", b"four")  # what others keep of it goes along with later entries
        net.disks[victim] = backup
        net.start(victim)
        net.run(SECOND, lambda: net.keepers[victim].role is not Role.RECOVERING)
        self.assertEqual(net.keepers[victim].role, Role.STALE)
        self.assertRegex(net.keepers[victim].stale_reason, "knows it to have kept entry")
        del net.disks[victim]
        net.start(victim)
        net.run(5 * SECOND, lambda: net.keepers[victim].incarnation in net.leader().voters)
        self.assertEqual(net.lines()[victim], [b"one", b"two", b"three", b"four"])

    def test_the_first_to_answer_may_know_less_so_all_that_are_there_are_asked(self):
        """Drawn schedule 1018860: one with an old file heard first from a keeper that did not know."""
        net = Net("a", "b", "c")
        net.agree(b"one")
        leader = net.leader().name
        victim, other = (name for name in net.keepers if name != leader)
        backup = net.disks[victim].copy()
        net.cut = {(leader, other), (other, leader)}
        net.agree(b"two", b"three")
        net.disks[victim] = backup
        net.start(victim)
        net.run(300 * MS, lambda: net.keepers[victim].role is not Role.RECOVERING)
        self.assertEqual(net.keepers[victim].role, Role.STALE)

    def test_a_leader_that_has_the_word_of_a_follower_for_more_than_it_holds_ends_its_old_file(self):
        net = Net("a", "b", "c")
        net.agree(b"one")
        leader = net.leader().name
        victim = next(name for name in net.keepers if name != leader)
        backup = net.disks[victim].copy()
        net.agree(b"two", b"three")
        net.disks[victim] = backup
        net.start(victim)
        net.keepers[victim].change_role(net.now, Role.FOLLOWER)  # as if nobody had known
        net.run(SECOND, lambda: net.keepers[victim].role is Role.STALE)
        self.assertRegex(net.keepers[victim].stale_reason, "has its word for entry")

    def test_one_that_hears_the_leader_before_it_may_know_what_it_forgot_is_not_taken_for_an_old_copy(self):
        net = Net("a", "b", "c")
        net.agree(b"one")
        leader = net.leader()
        name = next(each for each in net.keepers if each != leader.name)
        net.start(name)
        replica = net.keepers[name]
        net.cut = {(name, other) for other in net.keepers}  # its hello is lost, the leader's words are not
        net.agree(b"two", b"three")
        net.run(300 * MS)
        net.cut.clear()
        net.run(2 * SECOND, lambda: replica.role is not Role.RECOVERING)
        self.assertEqual(replica.role, Role.FOLLOWER)
        self.assertEqual(net.lines()[name], [b"one", b"two", b"three"])

    def test_one_that_starts_votes_for_nobody_in_a_term_that_another_knows(self):
        net = Net("a", "b", "c")
        net.agree(b"one")
        for name in list(net.keepers):
            net.start(name)
        terms = {each.durable.term for each in net.keepers.values()}
        net.agree(b"two")
        self.assertGreater(net.leader().term, max(terms))

    def test_all_that_are_killed_at_once_go_on_from_their_files(self):
        net = Net("a", "b", "c", timeouts=RaftTimeouts(snapshot_entries=4))
        net.agree(*(b"%d" % number for number in range(10)))
        for name in list(net.keepers):
            net.start(name)
        net.agree(b"last")
        self.assertEqual({len(each) for each in net.lines().values()}, {11})
        self.assertTrue(all(each.log.snapshot.index > 4 for each in net.keepers.values()))

    def test_keepers_change_from_three_to_five_and_to_others_while_one_is_cut_off(self):
        net = Net(
            "a", "b", "c", "d", "e", initial_voters=("a", "b", "c"), timeouts=RaftTimeouts(snapshot_entries=4)
        )
        net.agree(*(b"%d" % number for number in range(6)))
        away = next(name for name in "abc" if name != net.leader().name)
        net.cut = {(away, name) for name in net.keepers} | {(name, away) for name in net.keepers}
        net.agree(b"keepers a b c d e")

        def voters() -> set[str]:
            return {each.name for each in net.leader().members if each.is_voter}

        net.run(10 * SECOND, lambda: voters() == set("abcde"))
        self.assertEqual(voters(), set("abcde"))
        net.cut.clear()
        net.agree(b"keepers c d e")
        net.run(10 * SECOND, lambda: voters() == set("cde"))
        self.assertEqual(voters(), set("cde"))
        net.agree(b"after")
        self.assertEqual(
            {name: lines[-1] for name, lines in net.lines().items() if name in "cde"},
            dict.fromkeys("cde", b"after"),
        )

    def test_a_leader_that_is_no_keeper_any_more_steps_down_by_itself(self):
        net = Net("a", "b", "c", "d")
        leader = net.leader()
        others = [name for name in net.keepers if name != leader.name]
        net.agree(b"keepers " + " ".join(others).encode())
        net.run(5 * SECOND, lambda: leader.role is not Role.LEADER)
        self.assertNotEqual(net.leader().name, leader.name)
        net.agree(b"after")

    def test_one_on_its_way_out_can_lead_until_that_is_agreed_where_it_alone_knows_of_it(self):
        """Drawn schedule 1006046: it held the entry that took it out, would vote for nobody with less, and
        did not stand; the others had no majority without it."""
        net = Net("a", "b", "c", "d")
        net.agree(b"one")
        leader = net.leader()
        others = [name for name in net.keepers if name != leader.name]
        net.cut = {(leader.name, other) for other in others}
        leader.append(
            net.now,
            EntryKind.MEMBERS,
            encode_members([each for each in leader.members if each.name != leader.name]),
        )
        net.carry_out(leader.name, leader._finish(net.now))
        del net.disks[others[0]]
        net.start(others[0])
        net.run(3 * SECOND)
        net.cut.clear()
        net.agree(b"two")
        net.run(3 * SECOND)
        self.assertNotIn(leader.incarnation, net.leader().voters)
        self.assertEqual(net.keepers[others[1]].state_machine.lines, [b"one", b"two"])

    def test_what_a_cut_off_leader_took_is_lost_or_agreed_and_never_half(self):
        net = Net("a", "b", "c")
        leader = net.leader()
        net.cut = {pair for name in net.keepers for pair in ((leader.name, name), (name, leader.name))}
        proposal, output = leader.propose(net.now, b"never")
        net.carry_out(leader.name, output)
        net.run(3 * SECOND)
        self.assertEqual(proposal.status, ProposalStatus.UNKNOWN)
        net.agree(b"other")
        net.cut.clear()
        net.agree(b"third")
        self.assertEqual(set(map(tuple, net.lines().values())), {(b"other", b"third")})

    def test_letters_of_another_record_and_doubled_ones_change_nothing(self):
        net = Net("a", "b", "c")
        net.agree(b"one")
        leader = net.leader()
        follower = next(each for each in net.keepers.values() if each is not leader)
        for envelope in (
            Envelope("other", "x", "x.1", AppendEntriesRequest(99, 0, 0, [Entry(99, 2, b"bad")], 1, 0, [])),
            Envelope("other", "x", "x.1", RecoveryRequest(1, False, 99, 99, 99)),
            Envelope(
                leader.durable.epoch,
                leader.name,
                leader.incarnation,
                AppendEntriesRequest(leader.term, 0, 0, list(leader.log.entries), 2, 0, []),
            ),
        ):
            for _ in range(2):
                follower.receive(net.now, envelope)
        self.assertEqual((follower.term, follower.state_machine.lines), (leader.term, [b"one"]))

    def test_a_link_that_doubles_every_letter_does_not_make_more_and_more_of_them(self):
        net = Net("a", "b", "c")
        leader = net.leader()
        net.agree(b"one")
        peer = next(iter(leader.leader_state.peers.values()))
        incarnation = next(
            incarnation for incarnation, each in leader.leader_state.peers.items() if each is peer
        )
        peer.match_index, peer.next_index, peer.in_flight = (
            0,
            1,
            False,
        )  # one that never takes what it is sent
        answers = [AppendEntriesResponse(leader.term, False, 0, peer.sent_at)]
        for _ in range(12):
            net.now += MS
            sent = []
            for answer in answers:
                output = leader.receive(
                    net.now, Envelope(leader.durable.epoch, peer.name, incarnation, answer)
                )
                sent += [envelope.message for to, envelope in output.envelopes if to == peer.name]
            answers = [
                AppendEntriesResponse(leader.term, False, 0, message.sent_at)
                for message in sent
                for _ in range(2)
            ]
        self.assertEqual(len(answers), 2)

    def test_a_full_table_of_proposals_refuses_more(self):
        net = Net("a", "b", "c")
        leader = net.leader()
        net.cut = {(leader.name, name) for name in net.keepers}
        with self.assertRaisesRegex(NotLeaderError, "too much waits"):
            for _ in range(2000):
                leader.propose(net.now, b"x")
        with self.assertRaisesRegex(NotLeaderError, "too long"):
            Net("a").leader().propose(SECOND, bytes(5 << 20))


class KeepersMachine(RuleBasedStateMachine):
    """Three real keepers against a list: whatever is cut, crashed or proposed in whatever order, what was
    answered as agreed stays, in one order, and no term has two leaders."""

    names = st.sampled_from("abc")

    def __init__(self) -> None:
        super().__init__()
        self.net = Net("a", "b", "c", timeouts=RaftTimeouts(snapshot_entries=3))
        self.net.run(3 * SECOND)
        self.proposals: list = []
        self.leaders: dict[int, str] = {}
        self.agreed: list[bytes] = []

    @rule(wait=st.integers(1, 2000))
    def time_goes_on(self, wait):
        self.net.run(wait * MS)

    @rule(name=names, other=names, both=st.booleans())
    def cut(self, name, other, both):
        self.net.cut |= {(name, other), (other, name)} if both else {(name, other)}

    @rule()
    def heal(self):
        self.net.cut.clear()

    @rule(name=names, loses_letters=st.booleans())
    def crash(self, name, loses_letters):
        self.net.start(name)
        if loses_letters:
            self.net.waiting = [each for each in self.net.waiting if each[3].sender != name]

    @rule(name=names)
    def propose(self, name):
        content = b"%d" % len(self.proposals)
        replica = self.net.keepers[name]
        try:
            proposal, output = replica.propose(self.net.now, content)
        except NotLeaderError:
            return
        self.proposals.append((content, proposal))
        self.net.carry_out(name, output)
        self.net.run(5 * MS)

    @rule(name=names)
    def letters_come_twice(self, name):
        self.net.waiting += [
            (at, -count, to, envelope) for at, count, to, envelope in self.net.waiting if to == name
        ]

    @invariant()
    def what_is_agreed_stays(self):
        for replica in self.net.keepers.values():
            lines = replica.state_machine.lines
            common = min(len(lines), len(self.agreed))
            assert lines[:common] == self.agreed[:common]
            self.agreed = max(self.agreed, list(lines), key=len)
            if replica.role is Role.LEADER:
                assert self.leaders.setdefault(replica.term, replica.incarnation) == replica.incarnation
        for content, proposal in self.proposals:
            if proposal.status is ProposalStatus.COMMITTED:
                assert content in self.agreed


KeepersMachine.TestCase.settings = settings(max_examples=40, stateful_step_count=25, deadline=None)


KeepersCase = KeepersMachine.TestCase
