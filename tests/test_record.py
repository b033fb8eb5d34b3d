"""Stories of the record and of places, free of I/O: keepers that agree, files lost, drawn schedules."""

import contextlib
import dataclasses
import os
import random
import sqlite3
import subprocess
import sys
import tempfile
import unittest
from types import SimpleNamespace
from unittest import mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from oakkeel.agent.instances import Instance, Phase
from oakkeel.agent.leader_locator import LeaderLocator
from oakkeel.agent.orders import OrderRegistry, TaskState, Verb
from oakkeel.agent.supervisor import SupervisionTimeouts, Supervisor
from oakkeel.disruption import commands
from oakkeel.disruption.allocator import PermitAllocator, PermitTimeouts
from oakkeel.disruption.holder import PermitHolder
from oakkeel.disruption.lease_holder import LeaseHolder
from oakkeel.disruption.messages import GrantedPermit, HeartbeatResponse
from oakkeel.disruption.state_machine import PermitStateMachine, Rejection
from oakkeel.disruption.topology import BudgetGroup, Topology, UnavailableTargets
from oakkeel.emulator.consensus import play, smallest
from oakkeel.emulator.faults import MS, SECOND, Fault, Schedule, draw, read
from oakkeel.invariants.consensus import ConsensusAudit
from oakkeel.raft import storage
from oakkeel.raft.log import ReplicatedLog, Snapshot
from oakkeel.raft.memory_storage import InMemoryStorage
from oakkeel.raft.messages import (
    AppendEntriesRequest,
    AppendEntriesResponse,
    Entry,
    EntryKind,
    Envelope,
    Member,
    RecoveryRequest,
    encode_members,
)
from oakkeel.raft.replica import DurableState, NotLeaderError, ProposalStatus, Replica, Role, StorageUpdate
from oakkeel.raft.timeouts import RaftTimeouts
from oakkeel.store.database import APPLICATION, Database, DatabaseError


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

    def fold(self) -> bytes:
        return b"\n".join([" ".join(self.wanted).encode(), *self.lines])

    def restore(self, content: bytes) -> None:
        first, *self.lines = content.split(b"\n") if content else [b""]
        self.wanted = tuple(first.decode().split())

    def keepers(self) -> tuple[str, ...]:
        return self.wanted


class Net:
    """Keepers on one clock, whose letters take a millisecond unless a way is cut."""

    def __init__(self, *names: str, founders: tuple[str, ...] = (), pace: RaftTimeouts | None = None) -> None:
        self.now, self.founders, self.pace = SECOND, founders or names, pace or RaftTimeouts()
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
        self.keepers[name] = Replica(self.now, disk.load(), Notes(), self.count, self.pace, self.founders)

    def carry_out(self, name: str, steps) -> None:
        if steps.keep:
            self.disks[name].write(self.keepers[name].durable, steps.keep)
        for to, letter in steps.send:
            if (name, to) not in self.cut:
                self.count += 1
                self.waiting.append((self.now + MS, self.count, to, letter))

    def run(self, lasts: int, done=lambda: False) -> None:
        end = self.now + lasts
        while self.now < end and not done():
            at = min([each.next_at() for each in self.keepers.values()] + [each[0] for each in self.waiting])
            self.now = max(self.now, min(at, end))
            due = sorted(each for each in self.waiting if each[0] <= self.now)
            self.waiting = [each for each in self.waiting if each[0] > self.now]
            for _, _, to, letter in due:
                if to in self.keepers:
                    self.carry_out(to, self.keepers[to].heard(self.now, letter))
            for name, replica in list(self.keepers.items()):
                if replica.next_at() <= self.now:
                    self.carry_out(name, replica.tick(self.now))

    def leader(self) -> Replica:
        self.run(5 * SECOND, lambda: any(each.leads(self.now) for each in self.keepers.values()))
        return next(each for each in self.keepers.values() if each.leads(self.now))

    def propose(self, content: bytes):
        leader = self.leader()
        proposal, steps = leader.propose(self.now, content)
        self.carry_out(leader.name, steps)
        return proposal

    def agree(self, *contents: bytes) -> None:
        for content in contents:
            proposal = self.propose(content)
            self.run(2 * SECOND, lambda made=proposal: made.fate is not ProposalStatus.WAITING)
            assert proposal.fate is ProposalStatus.AGREED, proposal.fate

    def lines(self) -> dict[str, list[bytes]]:
        self.run(500 * MS)
        return {name: each.machine.lines for name, each in self.keepers.items()}


class KeeperStories(unittest.TestCase):
    def test_three_with_empty_files_found_a_record_and_agree(self):
        net = Net("a", "b", "c")
        net.agree(b"one", b"two")
        self.assertEqual(set(map(tuple, net.lines().values())), {(b"one", b"two")})
        self.assertEqual(len({each.durable.epoch for each in net.keepers.values()}), 1)

    def test_no_record_is_founded_while_one_of_the_founders_is_not_there(self):
        net = Net("a", "b", founders=("a", "b", "c"))
        net.run(5 * SECOND)
        self.assertEqual({each.role for each in net.keepers.values()}, {Role.JOINING})
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
        self.assertEqual(net.keepers[away].role, Role.ASKING)
        net.cut.clear()
        net.run(SECOND)
        self.assertEqual((net.leader(), leader.term, leader.elections), (leader, 1, 1))

    def test_a_leader_that_hears_nobody_leads_no_more_before_another_does(self):
        net = Net("a", "b", "c")
        leader = net.leader()
        net.cut = {(name, leader.name) for name in net.keepers}  # its own words still go out
        net.run(net.pace.most)
        self.assertFalse(leader.leads(net.now))
        net.run(2 * SECOND, lambda: any(each.leads(net.now) for each in net.keepers.values()))
        self.assertIsNot(net.leader(), leader)

    def test_a_lost_file_does_not_vote_until_the_leader_has_put_its_new_life_in_place(self):
        net = Net("a", "b", "c")
        net.agree(b"one")
        lost = next(name for name in net.keepers if name != net.leader().name)
        old = net.disks.pop(lost).head.life
        net.start(lost)
        net.agree(b"two")
        replica = net.keepers[lost]
        net.run(5 * SECOND, lambda: replica.life in net.leader().voters)
        self.assertIn(replica.life, net.leader().voters)
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
        net.run(SECOND, lambda: net.keepers[victim].role is not Role.JOINING)
        self.assertEqual(net.keepers[victim].role, Role.OUTDATED)
        self.assertRegex(net.keepers[victim].why, "knows it to have kept entry")
        del net.disks[victim]
        net.start(victim)
        net.run(5 * SECOND, lambda: net.keepers[victim].life in net.leader().voters)
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
        net.run(300 * MS, lambda: net.keepers[victim].role is not Role.JOINING)
        self.assertEqual(net.keepers[victim].role, Role.OUTDATED)

    def test_a_leader_that_has_the_word_of_a_follower_for_more_than_it_holds_ends_its_old_file(self):
        net = Net("a", "b", "c")
        net.agree(b"one")
        leader = net.leader().name
        victim = next(name for name in net.keepers if name != leader)
        backup = net.disks[victim].copy()
        net.agree(b"two", b"three")
        net.disks[victim] = backup
        net.start(victim)
        net.keepers[victim]._move(net.now, Role.FOLLOWING)  # as if nobody had known
        net.run(SECOND, lambda: net.keepers[victim].role is Role.OUTDATED)
        self.assertRegex(net.keepers[victim].why, "has its word for entry")

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
        net.run(2 * SECOND, lambda: replica.role is not Role.JOINING)
        self.assertEqual(replica.role, Role.FOLLOWING)
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
        net = Net("a", "b", "c", pace=RaftTimeouts(fold=4))
        net.agree(*(b"%d" % number for number in range(10)))
        for name in list(net.keepers):
            net.start(name)
        net.agree(b"last")
        self.assertEqual({len(each) for each in net.lines().values()}, {11})
        self.assertTrue(all(each.log.snapshot.index > 4 for each in net.keepers.values()))

    def test_keepers_change_from_three_to_five_and_to_others_while_one_is_cut_off(self):
        net = Net("a", "b", "c", "d", "e", founders=("a", "b", "c"), pace=RaftTimeouts(fold=4))
        net.agree(*(b"%d" % number for number in range(6)))
        away = next(name for name in "abc" if name != net.leader().name)
        net.cut = {(away, name) for name in net.keepers} | {(name, away) for name in net.keepers}
        net.agree(b"keepers a b c d e")

        def voters() -> set[str]:
            return {each.name for each in net.leader().members if each.votes}

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
        net.run(5 * SECOND, lambda: leader.role is not Role.LEADING)
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
        leader._append(
            net.now,
            EntryKind.MEMBERS,
            encode_members([each for each in leader.members if each.name != leader.name]),
        )
        net.carry_out(leader.name, leader._done(net.now))
        del net.disks[others[0]]
        net.start(others[0])
        net.run(3 * SECOND)
        net.cut.clear()
        net.agree(b"two")
        net.run(3 * SECOND)
        self.assertNotIn(leader.life, net.leader().voters)
        self.assertEqual(net.keepers[others[1]].machine.lines, [b"one", b"two"])

    def test_what_a_cut_off_leader_took_is_lost_or_agreed_and_never_half(self):
        net = Net("a", "b", "c")
        leader = net.leader()
        net.cut = {pair for name in net.keepers for pair in ((leader.name, name), (name, leader.name))}
        proposal, steps = leader.propose(net.now, b"never")
        net.carry_out(leader.name, steps)
        net.run(3 * SECOND)
        self.assertEqual(proposal.fate, ProposalStatus.UNKNOWN)
        net.agree(b"other")
        net.cut.clear()
        net.agree(b"third")
        self.assertEqual(set(map(tuple, net.lines().values())), {(b"other", b"third")})

    def test_letters_of_another_record_and_doubled_ones_change_nothing(self):
        net = Net("a", "b", "c")
        net.agree(b"one")
        leader = net.leader()
        follower = next(each for each in net.keepers.values() if each is not leader)
        for letter in (
            Envelope("other", "x", "x.1", AppendEntriesRequest(99, 0, 0, [Entry(99, 2, b"bad")], 1, 0, [])),
            Envelope("other", "x", "x.1", RecoveryRequest(1, False, 99, 99, 99)),
            Envelope(
                leader.durable.epoch,
                leader.name,
                leader.life,
                AppendEntriesRequest(leader.term, 0, 0, list(leader.log.entries), 2, 0, []),
            ),
        ):
            for _ in range(2):
                follower.heard(net.now, letter)
        self.assertEqual((follower.term, follower.machine.lines), (leader.term, [b"one"]))

    def test_a_link_that_doubles_every_letter_does_not_make_more_and_more_of_them(self):
        net = Net("a", "b", "c")
        leader = net.leader()
        net.agree(b"one")
        peer = next(iter(leader.leading.peers.values()))
        life = next(life for life, each in leader.leading.peers.items() if each is peer)
        peer.match, peer.next, peer.waiting = 0, 1, False  # one that never takes what it is sent
        answers = [AppendEntriesResponse(leader.term, False, 0, peer.sent_at)]
        for _ in range(12):
            net.now += MS
            sent = []
            for answer in answers:
                steps = leader.heard(net.now, Envelope(leader.durable.epoch, peer.name, life, answer))
                sent += [letter.word for to, letter in steps.send if to == peer.name]
            answers = [
                AppendEntriesResponse(leader.term, False, 0, word.sent) for word in sent for _ in range(2)
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
        self.net = Net("a", "b", "c", pace=RaftTimeouts(fold=3))
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
            self.net.waiting = [each for each in self.net.waiting if each[3].name != name]

    @rule(name=names)
    def propose(self, name):
        content = b"%d" % len(self.proposals)
        replica = self.net.keepers[name]
        try:
            proposal, steps = replica.propose(self.net.now, content)
        except NotLeaderError:
            return
        self.proposals.append((content, proposal))
        self.net.carry_out(name, steps)
        self.net.run(5 * MS)

    @rule(name=names)
    def letters_come_twice(self, name):
        self.net.waiting += [
            (at, -count, to, letter) for at, count, to, letter in self.net.waiting if to == name
        ]

    @invariant()
    def what_is_agreed_stays(self):
        for replica in self.net.keepers.values():
            lines = replica.machine.lines
            common = min(len(lines), len(self.agreed))
            assert lines[:common] == self.agreed[:common]
            self.agreed = max(self.agreed, list(lines), key=len)
            if replica.role is Role.LEADING:
                assert self.leaders.setdefault(replica.term, replica.life) == replica.life
        for content, proposal in self.proposals:
            if proposal.fate is ProposalStatus.AGREED:
                assert content in self.agreed


KeepersMachine.TestCase.settings = settings(max_examples=40, stateful_step_count=25, deadline=None)
KeepersCase = KeepersMachine.TestCase


class FileStories(unittest.TestCase):
    def setUp(self) -> None:
        self.path = os.path.join(self.enterContext(tempfile.TemporaryDirectory()), "record.db")

    def test_the_file_means_what_the_plain_values_mean(self):
        random_ = random.Random(5)
        for _ in range(30):
            if os.path.exists(self.path):
                os.unlink(self.path)
            store = Database(self.path, storage.SCHEMA, storage.VERSION)
            durable = storage.load(store, "a", "a.1")
            disk, log = InMemoryStorage(durable), ReplicatedLog(Snapshot(0, 0, (), b""), [])
            for _ in range(40):
                keep = StorageUpdate()
                if random_.random() < 0.3:
                    durable.term, durable.voted, keep.head = durable.term + 1, "b.1", True
                    durable.marks = {"b.1": (durable.term, 3)}
                if log.entries and random_.random() < 0.2:
                    keep.cut = random_.randint(log.snapshot.index + 1, log.last)
                    log.cut(keep.cut)
                for _ in range(random_.randrange(3)):
                    entry = Entry(durable.term, EntryKind.COMMAND, random_.randbytes(3))
                    keep.entries.append((log.append(entry), entry))
                if log.entries and random_.random() < 0.2:
                    keep.snapshot = log.fold(random_.randint(log.snapshot.index + 1, log.last), b"all")
                storage.write(store, durable, keep)
                disk.write(durable, keep)
            store.close()
            store = Database(self.path, storage.SCHEMA, storage.VERSION)
            self.assertEqual(storage.load(store, "a", "a.2"), disk.load())
            self.assertEqual(storage.check(disk.load()), "")
            store.close()

    def test_a_write_that_fails_leaves_nothing_of_it(self):
        store = Database(self.path, storage.SCHEMA, storage.VERSION)
        durable = storage.load(store, "a", "a.1")
        pages = store._number("page_count")
        store.base.execute(f"PRAGMA max_page_count = {pages}")
        with self.assertRaises(DatabaseError):
            storage.write(
                store,
                durable,
                StorageUpdate(entries=[(1, Entry(1, 2, b"small")), (2, Entry(1, 2, bytes(100_000)))]),
            )
        self.assertEqual(storage.load(store, "a", "a.2").entries, [])

    def test_a_copy_that_is_put_back_shows_by_how_often_it_was_written(self):
        """Drawn schedule 1008469: with its leader stopped nobody else could know."""
        store = Database(self.path, storage.SCHEMA, storage.VERSION)
        witness = storage.WriteCounter(self.path + ".count", store)
        durable = storage.load(store, "a", "a.1")
        storage.write(store, durable, StorageUpdate(head=True), witness)
        store.base.execute("VACUUM INTO ?", (self.path + ".backup",))
        storage.write(store, durable, StorageUpdate(head=True), witness)
        witness.close()
        store.close()
        again = Database(self.path, storage.SCHEMA, storage.VERSION)
        self.assertEqual(storage.WriteCounter(self.path + ".count", again).why(), "")
        again.close()
        os.replace(self.path + ".backup", self.path)
        for ending in ("-wal", "-shm"):
            with contextlib.suppress(FileNotFoundError):
                os.unlink(self.path + ending)
        back = sqlite3.connect(self.path)
        back.execute(f"PRAGMA application_id = {APPLICATION}")
        back.close()
        old = Database(self.path, storage.SCHEMA, storage.VERSION)
        self.assertIn("written 1 times, and 2", storage.WriteCounter(self.path + ".count", old).why())
        old.close()

    def test_a_power_cut_may_leave_the_count_beside_the_file_behind_and_that_is_no_old_copy(self):
        store = Database(self.path, storage.SCHEMA, storage.VERSION)
        witness = storage.WriteCounter(self.path + ".count", store)
        storage.write(store, storage.load(store, "a", "a.1"), StorageUpdate(head=True), witness)
        os.truncate(self.path + ".count", 0)
        self.assertEqual(storage.WriteCounter(self.path + ".count", store).why(), "")
        store.close()

    def test_terms_that_go_back_are_damage(self):
        durable = DurableState("a", "a.1", term=3, entries=[Entry(2, 2, b""), Entry(1, 2, b"")])
        self.assertEqual(storage.check(durable), "terms that go back")
        durable.entries = [Entry(1, int(EntryKind.MEMBERS), b"\xc1")]
        self.assertRegex(storage.check(durable), "members")


LAYOUT = Topology(
    {"h1": ("a", "b", "cat1"), "h2": ("c", "d", "cat2")},
    (
        BudgetGroup("fleet", 2, ("a", "b", "c", "d")),
        BudgetGroup("site s", 1, ("a", "b")),
        BudgetGroup("kind cat", 1, ("cat1", "cat2")),
    ),
    {"cat1": ("a",), "cat2": ("c", "d")},
)


class PlaceStories(unittest.TestCase):
    """A ledger with the leader's part, and agents that say what they are told to."""

    def setUp(self) -> None:
        self.ledger = PermitStateMachine(
            lambda *told: self.allocator.applied(self.now, *told) if self.allocator else None
        )
        self.allocator: PermitAllocator | None = None
        self.now, self.index = SECOND, 0
        self.permit_holder = {name: PermitHolder(name, things, 1) for name, things in LAYOUT.hosts.items()}
        self.up = dict.fromkeys("abcd", True) | {"cat1": True, "cat2": True}
        self.put(commands.SetTopology(LAYOUT))
        self.lead()

    def put(self, *wanted: commands.Command) -> object:
        result = None
        for command in wanted:
            self.index += 1
            result = self.ledger.apply(self.index, commands.encode(command))
        return result

    def lead(self) -> None:
        self.allocator = PermitAllocator(self.now, self.ledger, PermitTimeouts(), self.index + 1)

    def turn(self, *hosts: str) -> None:
        """Agents say how they are, and the leader does what follows."""
        for host in hosts or LAYOUT.hosts:
            permit_holder = self.permit_holder[host]
            self.put(*self.allocator.heard(self.now, permit_holder.poll(self.now, self.up, [], {})))
            while wanted := self.allocator.tick(self.now):
                self.put(*wanted)
            permit_holder.answered(self.now, self.now, self.allocator.answer(self.now, "e", host))

    def order(self, ident: str, *things: str, verb: str = "drain", whole: bool = False) -> object:
        return self.put(
            commands.SubmitOrder(ident, "asha", verb, 0, 60 * SECOND, whole, [(thing, 1) for thing in things])
        )

    def states(self, ident: str) -> dict[str, str]:
        return {thing: part.state for thing, part in self.ledger.held.orders[ident].parts.items()}

    def begin(self, host: str, thing: str, ident: str) -> bool:
        if may := self.permit_holder[host].may_begin(self.now, thing, ident):
            self.permit_holder[host].begin(self.now, thing)
            self.up[thing] = False
        return may

    def test_nothing_leaves_before_all_of_the_site_were_heard(self):
        self.order("o1", "a")
        self.turn("h2")
        self.assertEqual(self.states("o1"), {"a": "waiting"})
        self.turn("h1")
        self.assertEqual(self.states("o1"), {"a": "granted"})

    def test_the_bound_holds_over_hosts_and_a_place_given_back_goes_to_the_next(self):
        self.turn()
        self.order("o1", "a", "b", "c", "d", verb="restart")
        self.turn()
        self.turn()
        self.assertEqual(sorted(self.states("o1").values()), ["granted", "granted", "waiting", "waiting"])
        self.assertTrue(self.begin("h1", "a", "o1"))
        self.assertFalse(self.begin("h1", "b", "o1"))
        self.turn()
        self.assertEqual(self.states("o1")["a"], "out")
        self.up["a"] = True
        self.permit_holder["h1"].is_back("a")
        self.turn()
        self.turn()
        self.assertEqual(self.states("o1"), {"a": "done", "b": "granted", "c": "granted", "d": "waiting"})

    def test_all_or_nothing_waits_for_room_for_all_and_ends_whole(self):
        self.turn()
        self.order("o1", "a")
        self.turn()
        self.order("o2", "c", "d", whole=True)
        self.turn()
        self.assertEqual(self.states("o2"), {"c": "waiting", "d": "waiting"})
        self.begin("h1", "a", "o1")
        self.turn()
        self.put(commands.CancelOrder("o1", "ravi"))
        self.up["a"] = True
        self.permit_holder["h1"].is_back("a")
        self.turn()
        self.turn()
        self.assertEqual(self.states("o2"), {"c": "granted", "d": "granted"})
        self.assertIsInstance(self.order("o3", "a", "b", "nobody"), Rejection)
        self.assertEqual(self.ledger.held.orders["o2"].whole, True)

    def test_a_service_below_takes_out_what_hangs_on_it_and_counts_when_it_dies(self):
        self.turn()
        self.order("o1", "cat2")
        self.turn()
        self.assertEqual(self.states("o1"), {"cat2": "granted"})  # c and d with it: the fleet is full
        self.order("o2", "a")
        self.turn()
        self.assertEqual(self.states("o2"), {"a": "waiting"})
        self.up["cat1"] = False  # dies while one of its kind is out
        self.order("o3", "cat1")
        self.turn()
        self.assertEqual((self.states("o2"), self.states("o3")), ({"a": "waiting"}, {"cat1": "waiting"}))
        self.assertIn("hangs on cat1", self.allocator.out.reasons["a"])

    def test_a_place_lapses_only_after_nobody_can_begin_and_counts_until_its_agent_was_heard(self):
        self.turn()
        self.order("o1", "a")
        self.order("o2", "c", "d")
        self.turn()
        terms, granted = self.allocator.terms, self.now
        self.now = granted + terms.good - MS
        self.assertTrue(self.permit_holder["h1"].may_begin(self.now, "a", "o1"))
        self.now = granted + terms.good
        self.assertFalse(self.permit_holder["h1"].may_begin(self.now, "a", "o1"))
        self.now = granted + terms.lapse + MS
        for _ in range(3):
            self.turn("h2")
        fence = self.ledger.held.places["a"].fence
        self.assertTrue(self.ledger.held.places["a"].lapsed)
        late = self.permit_holder["h1"].poll(self.now, self.up, [], {})  # said before it knew of the lapse
        self.put(*self.allocator.heard(self.now, late))
        self.assertEqual(self.ledger.held.places["a"].fence, fence)
        self.turn("h1")
        self.assertFalse(self.permit_holder["h1"].may_begin(self.now, "a", "o1"))
        self.turn("h1")
        self.assertGreater(self.ledger.held.places["a"].fence, fence)  # it is granted anew

    def test_one_who_began_and_vanished_keeps_the_place_that_lapsed_meanwhile(self):
        self.turn()
        self.order("o1", "a")
        self.turn()
        self.begin("h1", "a", "o1")
        self.now += self.allocator.terms.lapse + MS
        self.turn("h2")
        self.order("o2", "b")
        self.up["b"] = False  # it is dead: room for it as such, and none for a second place
        self.turn()
        self.turn()
        self.assertEqual((self.states("o1"), self.states("o2")), ({"a": "out"}, {"b": "waiting"}))

    def test_a_new_leader_lets_a_place_of_the_old_one_stand_its_time_anew(self):
        self.turn()
        self.order("o1", "a")
        self.turn()
        self.now += 2 * SECOND
        self.lead()
        self.now += 2 * SECOND
        self.turn("h2")
        self.assertIn("a", self.ledger.held.places)

    def test_a_host_that_falls_silent_counts_whole(self):
        self.turn()
        self.now += 3 * SECOND
        self.order("o1", "a")
        self.turn("h1")
        self.assertEqual(self.states("o1"), {"a": "waiting"})  # c and d may be anything
        self.turn("h2")
        self.assertEqual(self.states("o1"), {"a": "granted"})

    def test_what_an_agent_said_before_it_was_started_anew_is_not_believed_any_more(self):
        self.turn()
        late = self.permit_holder["h1"].poll(self.now, self.up, [], {})
        self.permit_holder["h1"] = PermitHolder("h1", LAYOUT.hosts["h1"], 2)
        self.up["a"] = False
        self.turn("h1")
        self.turn("h1")  # it has heard the leader: by that it is known to be the later one
        self.allocator.heard(self.now, late)
        self.assertIn("does not serve", self.allocator.out.reasons["a"])

    def test_a_late_word_of_an_agent_that_was_killed_does_not_make_the_next_one_unheard(self):
        """Drawn schedule 1020500: after a change of leader it came behind the next one's first word, which
        was then taken for the earlier life, and that agent was heard no more."""
        self.turn()
        late = self.permit_holder["h1"].poll(self.now, self.up, [], {})
        self.permit_holder["h1"] = PermitHolder("h1", LAYOUT.hosts["h1"], 2)
        self.index += 1
        self.lead()
        self.up["a"] = False
        self.turn("h1")
        self.allocator.heard(self.now, late)
        self.turn("h1")
        self.now += SECOND
        self.turn("h1")
        self.assertEqual(self.allocator.hosts["h1"].life, 2)
        self.assertEqual(self.allocator.hosts["h1"].at, self.now)

    def test_what_an_order_took_out_stays_out_where_the_next_one_on_it_is_not_used(self):
        """Drawn schedule 1016590: a restart of what was stopped was cancelled unused, and nothing knew of the
        stop any more."""
        self.turn()
        self.order("o1", "a", verb="stop")
        self.turn()
        self.begin("h1", "a", "o1")
        self.turn()
        self.put(commands.FinishTask("o1", "a", "done", ""))
        self.order("o2", "a", verb="restart")
        self.turn()
        self.assertEqual(self.ledger.held.places["a"].ident, "o2")
        self.put(commands.HaltOrder("o2", "ravi"))
        self.turn()
        self.turn()
        place = self.ledger.held.places["a"]
        self.assertEqual((place.ident, place.out), ("o1", True))
        self.up["a"] = True
        self.turn()
        self.permit_holder["h1"].is_back("a")
        self.turn()
        self.assertNotIn("a", self.ledger.held.places)

    def test_with_more_out_than_may_be_a_place_on_one_of_them_holds_only_while_it_is_down(self):
        self.up["a"] = self.up["b"] = False  # the bound of their site is 1
        self.turn()
        self.order("o1", "a", verb="restart")
        self.turn()
        permit_holder = self.permit_holder["h1"]
        self.assertTrue(self.ledger.held.places["a"].down)
        self.assertFalse(permit_holder.may_begin(self.now, "a", "o1", True))
        self.assertTrue(permit_holder.may_begin(self.now, "a", "o1", False))

    def test_one_that_could_not_be_told_in_time_is_not_told_to_leave_at_all(self):
        """Drawn schedule 1047676: a place was begun, the disk was full for eight seconds, and what had died
        meanwhile was not counted when it was used."""
        for late, state in ((False, "serving"), (True, "serving"), (True, "draining")):
            self.setUp()
            self.turn()
            self.order("o1", "a")
            self.turn()
            permit_holder = self.permit_holder["h1"]
            instance = Instance("a", "s", phase=Phase.SERVING, generation=1, born=1, spawned=True, limit=9)
            supervision = Supervisor([instance], SupervisionTimeouts(silent=SECOND * 60), {}, 1, lambda: 0)
            orders = OrderRegistry(supervision, lambda: 0, permit_holder=permit_holder)
            orders.take(self.now, "o1", "asha", Verb.DRAIN, (("a", 1),), 60 * SECOND)
            orders.advance(self.now)
            [step] = supervision.tick(self.now)
            self.assertTrue(permit_holder.places["a"].begun)
            instance.left_at = 0  # it was put off, as it could not be kept
            instance.report = SimpleNamespace(state=state)
            self.now += 4 * SECOND * late
            steps = orders.hold_back(self.now, supervision.tick(self.now))
            if late and state == "serving":
                self.assertEqual((steps, instance.phase, instance.part), ([], Phase.SERVING, None))
                self.assertEqual(orders.orders["o1"].parts[0].state, TaskState.CANCELLED)
            else:
                self.assertEqual((steps, instance.part.sent), ([step], True))

    def test_after_a_halt_a_granted_place_is_given_back_and_what_began_goes_on(self):
        self.turn()
        self.order("o1", "a", "c", "d")
        self.turn()
        self.begin("h1", "a", "o1")
        self.turn()
        self.put(commands.HaltOrder("o1", "ravi"))
        self.turn()
        self.turn()
        self.assertEqual(self.states("o1"), {"a": "out", "c": "halted", "d": "halted"})
        self.assertFalse(self.begin("h2", "c", "o1"))
        self.assertEqual(set(self.ledger.held.places), {"a"})

    def test_an_answer_that_is_older_or_of_another_record_or_an_older_fence_is_not_obeyed(self):
        permit_holder = PermitHolder("h1", ("a",), 1)
        answer = HeartbeatResponse("e", 7, [GrantedPermit("a", "o1", 6, False, 3 * SECOND)], [], {})
        self.assertTrue(permit_holder.answered(SECOND, SECOND, answer))
        self.assertFalse(permit_holder.answered(SECOND, SECOND, HeartbeatResponse("e", 5, [], [], {})))
        self.assertFalse(permit_holder.answered(SECOND, SECOND, HeartbeatResponse("other", 9, [], [], {})))
        permit_holder.begin(SECOND, "a")
        again = PermitHolder("h1", ("a",), 2)
        again.restore("e", [("a", 6, "o1", True)], {})
        self.assertTrue(again.may_begin(9 * SECOND, "a", "o1"))  # begun is begun
        again.answered(
            SECOND, SECOND, HeartbeatResponse("e", 9, [GrantedPermit("a", "o0", 4, False, SECOND)], [], {})
        )
        self.assertFalse(again.may_begin(SECOND, "a", "o0"))

    def test_generations_only_rise(self):
        self.put(commands.ReserveGenerations("h1", {"a": 64}))
        self.put(commands.ReserveGenerations("h1", {"a": 3}))
        self.assertEqual(self.ledger.held.generations["a"], 64)

    def test_a_lease_has_one_holder_at_a_time_and_the_next_a_higher_fence(self):
        first, second = LeaseHolder("release", "h1", SECOND), LeaseHolder("release", "h2", SECOND)
        asked = self.now
        self.assertTrue(first.answered(asked, self.put(first.asking())))
        fence = first.fence
        self.assertFalse(second.answered(self.now, self.put(second.asking())))
        self.now += SECOND // 2
        self.assertTrue(first.answered(self.now, self.put(first.asking())))  # renewed: the fence stays
        self.assertEqual((first.fence, first.until), (fence, asked + SECOND // 2 + SECOND))
        self.lead()  # a new leader does not know when that was
        self.now += SECOND
        self.assertFalse(first.holds(self.now))
        self.put(*self.allocator.tick(self.now))
        self.assertFalse(second.answered(self.now, self.put(second.asking())))
        self.now += self.allocator.terms.beyond(SECOND) + MS
        self.put(*self.allocator.tick(self.now))
        self.assertTrue(second.answered(self.now, self.put(second.asking())))
        self.assertGreater(second.fence, fence)
        self.assertIsInstance(self.put(commands.ReleaseLease("release", fence)), Rejection)
        self.assertFalse(first.answered(self.now, Rejection("h2 holds it")))

    def test_an_agent_asks_whom_it_was_told_leads_or_each_keeper_in_turn(self):
        whom = LeaderLocator(["h1", "h2", "h3"], ["h1", "h2", "h3", "h4"])
        asked = []
        for leader in ("", "", "h4", "h9", "h4"):
            whom.elsewhere(leader)
            asked.append(whom.name)
        self.assertEqual(asked, ["h2", "h3", "h4", "h1", "h4"])
        whom.told(["h9"])
        whom.elsewhere("")
        self.assertIn(whom.name, ("h1", "h2", "h3"))

    def test_a_command_of_a_later_version_is_the_same_no_everywhere(self):
        self.assertIsInstance(self.ledger.apply(99, b"\x91\xa5other"), Rejection)
        again = PermitStateMachine()
        again.restore(self.ledger.fold())
        self.assertEqual(again.fold(), self.ledger.fold())


class PlacesMachine(RuleBasedStateMachine):
    """The real ledger against sets: whatever is put to it in whatever order, the bounds hold."""

    def __init__(self) -> None:
        super().__init__()
        self.ledger, self.index, self.fences = PermitStateMachine(), 0, {}
        self.put(commands.SetTopology(LAYOUT))

    def put(self, command) -> object:
        self.index += 1
        return self.ledger.apply(self.index, commands.encode(command))

    things = st.sampled_from(["a", "b", "c", "d", "cat1", "cat2"])
    idents = st.sampled_from(["o1", "o2", "o3"])

    @rule(
        ident=idents,
        named=st.sets(things, min_size=1),
        verb=st.sampled_from(["drain", "stop", "restart"]),
        whole=st.booleans(),
    )
    def order(self, ident, named, verb, whole):
        self.put(
            commands.SubmitOrder(ident, "asha", verb, 0, SECOND, whole, [(each, 1) for each in sorted(named)])
        )

    @rule(ident=idents, named=st.sets(things, min_size=1))
    def grant(self, ident, named):
        result = self.put(commands.GrantPermits(ident, sorted(named)))
        for thing in named if isinstance(result, int) else ():
            assert result > self.fences.get(thing, 0)
            self.fences[thing] = result

    @rule(
        thing=things,
        kind=st.sampled_from([commands.StartPermit, commands.ReleasePermit, commands.ExpirePermit]),
    )
    def move(self, thing, kind):
        self.put(kind(thing, self.fences.get(thing, 0)))

    @rule(ident=idents, thing=things, how=st.sampled_from(["done", "failed", "refused"]))
    def ended(self, ident, thing, how):
        self.put(commands.FinishTask(ident, thing, how, ""))

    @rule(
        ident=idents, kind=st.sampled_from([commands.HaltOrder, commands.CancelOrder, commands.ExpireOrder])
    )
    def end(self, ident, kind):
        self.put(kind(ident) if kind is commands.ExpireOrder else kind(ident, "ravi"))

    @rule()
    def fold(self):
        self.ledger.restore(self.ledger.fold())

    @invariant()
    def bounds_hold(self):
        out = set(self.ledger.held.places)
        out |= {each for thing in out for each in LAYOUT.hanging.get(thing, ())}
        for group in LAYOUT.groups:
            assert len(out & set(group.things)) <= group.bound, (group, out)


PlacesMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)
PlacesCase = PlacesMachine.TestCase


class ScheduleStories(unittest.TestCase):
    """Whole fleets in simulated time. `make measure-schedules` plays many more."""

    def test_drawn_schedules_break_no_promise_and_come_to_an_end(self):
        for seed in range(7000, 7012):
            with self.subTest(seed=seed):
                world, breaches = play(draw(seed))
                self.assertEqual((breaches, world.stuck()), ([], []))

    def test_the_same_schedule_plays_the_same_again_also_from_a_file_and_in_another_process(self):
        schedule = draw(3)
        first, second = play(schedule)[0], play(read(schedule.told()))[0]
        self.assertEqual((first.clock.happened, first.said), (second.clock.happened, second.said))
        code = (
            "from oakkeel.emulator.consensus import play; from oakkeel.emulator.faults import draw\n"
            "print(play(draw(3))[0].clock.happened)"
        )
        told = {
            subprocess.run(
                [sys.executable, "-c", code],
                env={**os.environ, "PYTHONHASHSEED": seed},
                capture_output=True,
                text=True,
                check=True,
            ).stdout
            for seed in ("1", "2")
        }
        self.assertEqual(told, {f"{first.clock.happened}\n"})

    def test_a_planted_fault_is_caught_and_cut_down(self):
        with mock.patch.object(UnavailableTargets, "against", lambda self, things: ""):

            def fails(schedule: Schedule) -> bool:
                return bool(play(schedule)[1])

            schedule = next(each for each in map(draw, range(20)) if fails(each))
            less = smallest(schedule, fails)
            self.assertTrue(fails(less))
            self.assertLess(len(less.troubles), len(schedule.troubles))
            for index in range(len(less.troubles)):  # nothing of it can be left out
                rest = less.troubles[:index] + less.troubles[index + 1 :]
                self.assertFalse(fails(dataclasses.replace(less, troubles=rest)))
        self.assertEqual(play(less)[1], [])

    def test_an_agent_that_would_go_by_a_place_whose_time_is_over_is_caught(self):
        schedules = [
            Schedule(
                seed,
                3,
                3,
                2,
                1,
                1,
                (
                    Fault(3 * SECOND, "stop in a step", 0, 0, 6 * SECOND),
                    Fault(4 * SECOND, "drain", 0, 0, 0, 0.0),
                    Fault(5 * SECOND, "halt"),
                ),
                16 * SECOND,
            )
            for seed in range(6)
        ]
        self.assertEqual([breach for each in schedules for breach in play(each)[1]], [])

        def for_ever(self, now, thing, ident, runs=True):
            held = self.places.get(thing)
            return held is not None and held.ident == ident and not held.given

        with (
            mock.patch.object(PermitHolder, "may_begin", for_ever),
            mock.patch.object(PermitHolder, "fresh", for_ever),
        ):
            breaches = [breach for each in schedules for breach in play(each)[1]]
        self.assertRegex(breaches[0], "promise 7: ")

    def test_the_auditor_catches_each_breach_by_itself(self):
        def judge() -> ConsensusAudit:
            audit = ConsensusAudit({"s": (1, ["a", "b"])}, SECOND)
            audit.applied(0, "k", 5, b"\x93\xa5grant\xa1o\x92\xa1a\xa1b")
            return audit

        audit = judge()
        audit.led(0, 1, "x")
        audit.led(1, 1, "y")
        audit.applied(1, "y", 5, b"\x93\xa5grant\xa1o\x91\xa1a")
        audit.answered("o9", 5)
        audit.started(2, "a", 3)
        audit.started(3, "a", 3)
        audit.left(3, "a", 4)
        audit.left(4, "b", 5)
        audit.left(5, "b", 3)
        audit.halt_holds("o")
        audit.left(6, "b", 6, "o")
        told = "\n".join(audit.end(9))
        for number in range(1, 8):
            self.assertIn(f"promise {number}: ", told)
        good = judge()
        good.gone(0, "a")
        good.left(SECOND // 2, "b", 5)  # too soon to be known
        self.assertEqual(good.end(9), [])
        late = judge()
        late.gone(0, "a")
        late.left(2 * SECOND, "b", 5)
        self.assertRegex(late.end(9)[0], "known to be away")


class MembersStories(unittest.TestCase):
    def test_members_count_from_the_entry_that_names_them_and_go_with_it(self):
        log = ReplicatedLog(Snapshot(0, 0, (Member("a", "a.1"),), b""), [])
        log.append(
            Entry(1, EntryKind.MEMBERS, encode_members([Member("a", "a.1"), Member("b", "b.1", False)]))
        )
        self.assertEqual(len(log.members), 2)
        log.cut(1)
        self.assertEqual((len(log.members), log.members_at), (1, 0))


if __name__ == "__main__":
    unittest.main()
