"""Stories of asking many agents, of what is believed of them, of marks, settings and what is kept on disk."""

import os
import secrets
import sqlite3
import tempfile
import time
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from oakkeel.agent import messages
from oakkeel.authentication.mac import (
    NONCE,
    AuthenticationError,
    ClientAuthenticator,
    Key,
    Role,
    ServerAuthenticator,
)
from oakkeel.fleet.fan_out import MS, FanOut, TargetState
from oakkeel.fleet.order_tracking import OrderTracker, Result
from oakkeel.fleet.selection import Selection, SelectionError, by_host, sites_over_share
from oakkeel.fleet.view import SECOND, FleetView
from oakkeel.settings.fleet import ClientSettings as HowToAsk
from oakkeel.settings.fleet import Fleet, HostSettings, InstanceSettings, SettingsError, read_fleet, split
from oakkeel.settings.keys import key_of, read_keys, write_key
from oakkeel.store.database import Database, DatabaseError


class AskingStories(unittest.TestCase):
    def asking(self, count: int = 12, **more) -> FanOut:
        given = dict(deadline=SECOND, hedge=100 * MS, tries=3, seed=7) | more
        return FanOut(0, [f"h{number}" for number in range(count)], **given)

    def test_each_is_asked_once_and_only_the_quiet_one_again(self):
        asking = self.asking()
        names = asking.tick(0)
        self.assertEqual(len(names), 12)
        for name in names[1:]:
            self.assertTrue(asking.answered(10 * MS, name))
        self.assertEqual(asking.tick(50 * MS), [])
        self.assertEqual(asking.tick(asking.next_at()), ["h0"])
        self.assertFalse(asking.over)
        self.assertTrue(asking.answered(150 * MS, "h0"))
        self.assertTrue(asking.over)
        self.assertFalse(asking.answered(151 * MS, "h0"))  # the first try's answer, by now told already

    def test_a_silent_agent_costs_no_more_than_the_deadline(self):
        asking = self.asking(1, tries=2)
        sent = 0
        now = 0
        while not asking.over:
            sent += len(asking.tick(now))
            now = max(now + MS, asking.next_at())
        self.assertEqual((sent, asking.targets["h0"].state), (2, TargetState.LATE))
        self.assertLessEqual(now, SECOND + 2 * MS)
        self.assertFalse(asking.answered(now, "h0"))

    def test_agents_that_are_all_slow_are_not_asked_twice_as_much(self):
        asking = self.asking(100)
        sent = sum(len(asking.tick(at * 10 * MS)) for at in range(100))
        self.assertEqual(sent, 120)

    def test_a_try_that_fails_is_made_again_after_a_while_and_a_refusal_never(self):
        asking = self.asking(2)
        asking.tick(0)
        asking.failed(MS, "h0", "connection refused")
        asking.refused(MS, "h1", "wrong key")
        self.assertEqual((asking.tick(2 * MS), asking.targets["h1"].state), ([], TargetState.REFUSED))
        self.assertEqual(asking.tick(asking.next_at()), ["h0"])
        asking.failed(asking.next_at(), "h0", "connection refused")
        self.assertEqual(asking.tick(asking.next_at()), ["h0"])
        asking.failed(asking.next_at(), "h0", "connection refused")
        self.assertEqual(asking.targets["h0"].state, TargetState.FAILED)

    @given(
        st.lists(
            st.tuples(st.integers(0, 4), st.sampled_from(["answered", "failed", "refused", "time"])),
            max_size=60,
        )
    )
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_whatever_comes_it_ends_by_its_deadline_within_its_budget(self, events):
        asking, now, on_way = self.asking(5), 0, []
        sent = asking.tick(now)
        on_way += sent
        total = len(sent)
        for which, what in events:
            name = f"h{which}"
            if what == "time":
                now += 60 * MS
            elif name in on_way:
                on_way.remove(name)
                if what == "answered":
                    asking.answered(now, name)
                else:
                    getattr(asking, what)(now, name, "so")
            sent = asking.tick(now)
            on_way += sent
            total += len(sent)
        asking.tick(SECOND)
        self.assertTrue(asking.over)
        self.assertLessEqual(total, 5 + 3)


def fleet_of(hosts: int = 2, each: int = 3) -> Fleet:
    return Fleet(
        "f",
        "f.xml",
        (),
        {},
        HowToAsk(),
        {"woodbrook": 2},
        tuple(
            HostSettings(
                f"h{host}",
                "woodbrook",
                ("127.0.0.1", 1),
                "",
                1,
                tuple(InstanceSettings(f"n{host}{number}", "", "", "console") for number in range(each)),
            )
            for host in range(hosts)
        ),
    )


def told(host: str, phase: str = "serving", names=(0, 1, 2), unix: int = 0) -> messages.HostStatus:
    return messages.HostStatus(
        host,
        "woodbrook",
        1,
        unix,
        1,
        0,
        [],
        [
            messages.InstanceStatus(
                f"n{host[1:]}{number}", phase, 5, "up", 4, 0, "", 77, 200 * MS, None, None, 0, False, 0, ""
            )
            for number in names
        ],
    )


class ViewStories(unittest.TestCase):
    def test_ages_count_from_the_question_and_what_is_old_is_called_old(self):
        view = FleetView(fleet_of())
        view.told("h0", 10 * SECOND, told("h0"))
        rows = view.rows(10 * SECOND + 400 * MS)
        self.assertEqual((rows[0].shown, rows[0].age, rows[0].report_age), ("serving", 400 * MS, 600 * MS))
        self.assertEqual((rows[3].shown, rows[3].age, rows[3].out), ("unknown", -1, True))
        view.unanswered("h0", "did not answer")
        rows = view.rows(20 * SECOND)
        self.assertEqual((rows[0].shown, rows[0].age, rows[0].out), ("old: serving", 10 * SECOND, True))
        self.assertEqual(view.notes(), ["agent of h0: did not answer"])

    def test_an_answer_to_an_earlier_question_changes_nothing(self):
        view = FleetView(fleet_of())
        view.told("h0", 20 * SECOND, told("h0", "stopped"))
        view.told("h0", 10 * SECOND, told("h0", "serving"))
        self.assertEqual(view.rows(21 * SECOND)[0].state, "stopped")

    def test_an_agent_that_answers_for_another_host_is_not_believed(self):
        view = FleetView(fleet_of())
        view.told("h0", SECOND, told("h1"))
        self.assertEqual(view.rows(SECOND)[0].state, "unknown")
        self.assertIn("answers in its place", view.notes()[0])

    def test_an_instance_that_its_agent_does_not_know_is_unknown(self):
        view = FleetView(fleet_of())
        view.told("h0", SECOND, told("h0", names=(0,)))
        self.assertEqual([row.state for row in view.rows(SECOND)[:3]], ["serving", "unknown", "unknown"])

    def test_a_clock_that_is_off_is_told(self):
        view = FleetView(fleet_of())
        view.unix = 1000 * SECOND
        view.told("h0", 10 * SECOND, told("h0", unix=(1010 - 3600) * SECOND))
        self.assertIn("clock is -3600 s from ours", view.notes()[0])

    def test_choices_are_by_name_glob_site_host_and_state(self):
        view = FleetView(fleet_of())
        view.told("h0", SECOND, told("h0"))
        rows = view.rows(SECOND)
        self.assertEqual([row.name for row in Selection(names=("n0*",)).among(rows)], ["n00", "n01", "n02"])
        self.assertEqual([row.name for row in Selection(("n*1",), ("wood*",), ("h1",)).among(rows)], ["n11"])
        self.assertEqual(len(Selection(states=("unknown",)).among(rows)), 3)
        with self.assertRaisesRegex(SelectionError, "no instance has the name 'x'"):
            Selection(names=("n00", "x")).among(rows)
        self.assertEqual(by_host(rows), {"h0": [("n00", 4), ("n01", 4), ("n02", 4)]})

    def test_an_order_that_takes_out_much_is_named_and_what_is_out_counts(self):
        view = FleetView(fleet_of())
        view.told("h0", SECOND, told("h0"))
        view.told("h1", SECOND, told("h1"))
        rows = view.rows(SECOND)
        self.assertEqual(sites_over_share(rows, rows[:2], 0.34), [])
        self.assertIn("3 of 6 would leave, 0 are out", sites_over_share(rows, rows[:3], 0.34)[0])
        view.told("h1", 2 * SECOND, told("h1", "failing"))
        rows = view.rows(2 * SECOND)
        self.assertIn("1 of 6 would leave, 3 are out", sites_over_share(rows, rows[:1], 0.34)[0])
        self.assertEqual(sites_over_share(rows, rows[3:], 0.34), [])


class FollowingStories(unittest.TestCase):
    def following(self) -> OrderTracker:
        view = FleetView(fleet_of(3, 1))
        view.told("h0", SECOND, told("h0", names=(0,)))
        view.told("h1", SECOND, told("h1", names=(0,)))
        return OrderTracker("o1", "stop", view.rows(SECOND), 60 * SECOND, False)

    def order(self, name: str, state: str, ident: str = "o1") -> messages.OrderStatus:
        return messages.OrderStatus(ident, "asha", "stop", 0, [messages.TaskStatus(name, state, 0, "")])

    def test_each_instance_has_one_end_and_what_nobody_told_of_is_not_ordered(self):
        following = self.following()
        self.assertEqual(
            {host: wish.instances for host, wish in following.wishes().items()},
            {"h0": [("n00", 4)], "h1": [("n10", 4)]},
        )
        following.answered("h0", self.order("n00", "waiting"))
        following.answered("h1", messages.ErrorResponse("not taken, as it can't be kept"))
        self.assertEqual((following.over, following.to_ask()), (False, ["h0"]))
        following.answered("h0", messages.OrderList([self.order("n00", "done")]))
        self.assertEqual(
            {part.instance: part.state for part in following.parts.values()},
            {"n00": "done", "n10": "refused", "n20": "not ordered"},
        )
        self.assertIs(following.result(True), Result.SOME_SILENT)

    def test_an_answer_that_comes_late_takes_nothing_back(self):
        following = self.following()
        following.answered("h0", self.order("n00", "done"))
        following.answered("h0", self.order("n00", "acting"))
        following.answered("h0", self.order("n00", "failed", ident="o0"))
        following.answered("h1", self.order("n00", "failed"))
        self.assertEqual(following.parts["n00"].state, "done")

    def test_no_answer_is_not_known_until_the_agent_tells_and_never_done(self):
        following = self.following()
        following.answered("h0", self.order("n00", "done"))
        following.unanswered("h1", "did not answer")
        self.assertEqual(
            (following.parts["n10"].state, following.result(True)), ("not known", Result.SOME_SILENT)
        )
        self.assertEqual(following.to_ask(), ["h1"])
        following.answered("h1", messages.OrderList([self.order("n10", "failed")]))
        del following.parts["n20"]
        self.assertIs(following.result(True), Result.SOME_FAILED)

    def test_one_who_does_not_wait_takes_open_for_good(self):
        following = self.following()
        del following.parts["n20"]
        following.answered("h0", self.order("n00", "acting"))
        following.answered("h1", self.order("n10", "waiting"))
        self.assertEqual((following.result(False), following.result(True)), (Result.DONE, Result.SOME_FAILED))


class MarkStories(unittest.TestCase):
    def setUp(self) -> None:
        self.old, self.new, self.foreign = (
            Key(ident, "asha", Role.ACT, secrets.token_bytes(32)) for ident in ("a-1", "a-2", "a-1")
        )
        self.keys = {key.ident: key for key in (self.old, self.new)}

    def ends(self, key: Key, keys=None, made: int = 0) -> tuple[ClientAuthenticator, ServerAuthenticator]:
        challenge = secrets.token_bytes(NONCE)
        return (
            ClientAuthenticator(key, challenge, lambda: secrets.token_bytes(NONCE), time.time_ns),
            ServerAuthenticator(keys or self.keys, challenge, made),
        )

    def test_both_keys_are_good_during_a_change_and_the_answer_is_proved(self):
        for key in (self.old, self.new):
            sender, receiver = self.ends(key)
            for number in range(3):
                found, content = receiver.open(0, 0, sender.seal(b"ask %d" % number))
                self.assertEqual((found, content), (key, b"ask %d" % number))
                self.assertEqual(sender.open(receiver.seal(0, b"so")), b"so")

    def refused(self, receiver: ServerAuthenticator, frame: bytes, now: int = 0, unix: int = 0) -> None:
        with self.assertRaises(AuthenticationError):
            receiver.open(now, unix, frame)

    def test_replayed_altered_foreign_late_and_ended_ones_are_refused(self):
        sender, receiver = self.ends(self.old)
        frame = sender.seal(b"stop n1")
        receiver.open(0, 0, frame)
        self.refused(receiver, frame)  # on the same link
        self.refused(self.ends(self.old)[1], frame)  # on another
        sender, receiver = self.ends(self.old)
        good = sender.seal(b"stop n1")
        self.refused(receiver, good.replace(b"n1", b"n2"))
        receiver.open(0, 0, good)
        sender, receiver = self.ends(self.foreign)
        self.refused(receiver, sender.seal(b"stop n1"))
        sender, receiver = self.ends(self.old)
        self.refused(receiver, sender.seal(b"stop n1"), now=11 * SECOND)
        ended = Key("a-1", "asha", Role.ACT, self.old.secret, until=5 * SECOND)
        sender, receiver = self.ends(ended, {"a-1": ended})
        self.refused(receiver, sender.seal(b"stop n1"), unix=5 * SECOND)

    def test_a_clock_that_was_set_back_lets_no_old_message_in(self):
        sender, receiver = self.ends(self.old)
        frame = sender.seal(b"stop n1")
        receiver.open(0, 3600 * SECOND, frame)
        self.refused(self.ends(self.old)[1], frame, unix=0)

    def test_an_answer_to_another_question_is_not_believed(self):
        sender, receiver = self.ends(self.old)
        receiver.open(0, 0, sender.seal(b"one"))
        answer = receiver.seal(0, b"so")
        sender.seal(b"two")
        with self.assertRaises(AuthenticationError):
            sender.open(answer)

    @given(st.binary(max_size=300))
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_any_bytes_are_a_refusal_and_nothing_else(self, frame):
        self.refused(self.ends(self.old)[1], frame)

    @given(st.data())
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_one_changed_byte_anywhere_is_refused(self, data):
        sender, receiver = self.ends(self.old)
        frame = bytearray(sender.seal(b"stop n1"))
        place = data.draw(st.integers(0, len(frame) - 1))
        frame[place] ^= data.draw(st.integers(1, 255))
        try:
            _, content = receiver.open(0, 0, bytes(frame))
        except AuthenticationError:
            return
        self.assertEqual(content, b"stop n1")  # another spelling of the same message


GOOD = """<fleet xmlns="urn:oakkeel:fleet:1" name="guild">
  <operators><operator name="asha" role="act"><key id="asha-1" file="asha.key"/></operator></operators>
  <supervision silent="1500ms" restarts="3" restart-stuck="false"/>
  <site name="woodbrook" away="3">
    <host name="wb1" agent="127.0.0.1:7401" state="wb1">
      <instance name="n1" config="n1.json"/><instance name="n2" config="n2.json"/>
    </host>
    <host name="wb2" agent="127.0.0.1:7402" state="wb2">
      <instance name="n3" config="n3.json" log="json"/>
    </host>
  </site>
</fleet>
"""


class SettingsStories(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = os.path.join(self.folder, "fleet.xml")

    def read(self, text: str) -> Fleet:
        with open(self.path, "w") as file:
            file.write(text)
        return read_fleet(self.path)

    def test_what_is_set_comes_out_and_the_rest_is_built_in(self):
        fleet = self.read(GOOD)
        self.assertEqual(fleet.supervision, {"silent": 1500 * MS, "budget": 3, "restart_stuck": False})
        self.assertEqual([(host.name, host.away) for host in fleet.hosts], [("wb1", 2), ("wb2", 1)])
        self.assertEqual(fleet.hosts[0].instances[1].config, os.path.join(self.folder, "n2.json"))

    def test_each_fault_is_a_line_with_place_and_what_is_allowed(self):
        for old, new, line, words in (
            ('away="3"', 'away="many"', 4, "'many'"),
            ('role="act"', 'role="admin"', 2, "'view', 'act'"),
            ('silent="1500ms"', 'silent="soon"', 3, "pattern"),
            (' log="json"', ' lug="json"', 9, "'lug' is not allowed"),
            ('name="n3"', 'name="n1"', 9, "stands in line 6 already"),
            ("127.0.0.1:7402", "127.0.0.1:99999", 8, "no port"),
            ('away="3"', 'away="1"', 8, "nothing is left for it"),
            ('name="wb1"', 'name="wb1" away="4"', 4, "told 4 in all"),
            ("</site>", "", 12, "no XML"),
        ):
            with self.subTest(new), self.assertRaises(SettingsError) as caught:
                self.read(GOOD.replace(old, new, 1))
            self.assertRegex(str(caught.exception).replace("\n", " "), rf"fleet\.xml:{line}: .*{words}")

    def test_fair_shares_are_read_and_what_cannot_be_is_named(self):
        fairness = '  <fairness by="tenant client" half="2s"><weight of="a" is="2.5"/></fairness>'
        plain = GOOD.replace("  <site name", fairness + "\n  <site name", 1)
        fair = self.read(plain).fairness
        self.assertEqual(
            (fair.by, fair.weights, fair.half, fair.places),
            (("tenant", "client"), (("a", 2.5),), 2 * SECOND, 256),
        )
        self.assertIsNone(self.read(GOOD).fairness)
        for old, new, words in (
            ('"tenant client"', '"a b c"', "pattern"),
            ('is="2.5"', 'is="0"', "0.001"),
            ('half="2s"', 'places="0"', "1 to 65536"),
            ('is="2.5"/>', 'is="2.5"/><weight of="a" is="1"/>', "stands in line 4"),
        ):
            with self.subTest(new), self.assertRaisesRegex(SettingsError, words):
                self.read(plain.replace(old, new))

    def test_entities_document_types_and_huge_files_are_refused(self):
        bomb = '<!DOCTYPE fleet [<!ENTITY a "aaaa">]>\n' + GOOD.replace('name="guild"', 'name="&a;"')
        for text in (bomb, '<!DOCTYPE fleet SYSTEM "file:///etc/passwd">' + GOOD, " " * (1 << 20) + GOOD, ""):
            with self.assertRaises(SettingsError):
                self.read(text)
        with self.assertRaisesRegex(SettingsError, "No such file"):
            read_fleet(self.path + "x")

    def test_a_key_that_others_may_read_or_that_is_none_is_refused(self):
        fleet = self.read(GOOD)
        path = os.path.join(self.folder, "asha.key")
        with self.assertRaisesRegex(SettingsError, "no key of asha here"):
            key_of(fleet, "asha")
        write_key(path, secret := secrets.token_bytes(32))
        self.assertEqual(read_keys(fleet)["asha-1"].secret, secret)
        self.assertRaises(OSError, write_key, path, secret)
        os.chmod(path, 0o644)
        self.assertRaisesRegex(SettingsError, "mode 600", read_keys, fleet)
        os.chmod(path, 0o600)
        with open(path, "w") as file:
            file.write("not hexadecimal")
        self.assertRaisesRegex(SettingsError, "64 hexadecimal digits", key_of, fleet, "asha")
        self.assertRaisesRegex(SettingsError, "no operator 'ravi'", key_of, fleet, "ravi")

    @given(st.integers(0, 50), st.lists(st.integers(1, 9), min_size=1, max_size=9))
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_a_bound_is_split_without_rest_and_none_is_left_out_if_it_need_not(self, whole, sizes):
        shares = split(whole, sizes)
        self.assertEqual(sum(shares), whole)
        self.assertGreaterEqual(min(shares), 0)
        if whole >= len(sizes):
            self.assertGreaterEqual(min(shares), 1)


class StoreStories(unittest.TestCase):
    SCHEMA = "CREATE TABLE words (word TEXT)"

    def setUp(self) -> None:
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = os.path.join(self.folder, "a.db")

    def open(self, version: int = 1, **more) -> Database:
        store = Database(self.path, self.SCHEMA, version, **more)
        self.addCleanup(store.close)
        return store

    def put(self, store: Database, word: str) -> None:
        store.write([("INSERT INTO words VALUES (?)", (word,))])

    def test_what_was_written_is_there_again(self):
        self.put(self.open(), "kept")
        again = self.open()
        self.assertEqual((again.read("SELECT * FROM words"), again.set_aside), ([("kept",)], ""))

    def test_a_file_of_another_version_damaged_or_not_ours_is_set_aside_and_named(self):
        for spoil in (lambda: None, self._damage, self._foreign):
            store = Database(self.path, self.SCHEMA, 1)
            for number in range(500):
                self.put(store, "kept" * 50 + str(number)) if number < 40 else None
            store.close()
            spoil()
            later = Database(self.path, self.SCHEMA, 2)
            self.assertTrue(later.set_aside)
            self.assertEqual(later.read("SELECT * FROM words"), [])
            aside = later.set_aside.partition(": ")[0]
            self.assertGreater(os.path.getsize(aside), 0)
            later.close()
            os.rename(aside, aside + str(id(spoil)))
            os.remove(self.path)

    def _damage(self) -> None:
        with open(self.path, "r+b") as file:
            file.seek(4096)
            file.write(b"\xff" * 4096)

    def _foreign(self) -> None:
        os.remove(self.path)
        base = sqlite3.connect(self.path)
        base.execute("CREATE TABLE words (word TEXT)")
        base.close()

    def test_a_full_disk_keeps_nothing_of_a_write_and_says_so(self):
        store = self.open(most_bytes=64 * 1024)
        with self.assertRaisesRegex(DatabaseError, "full"):
            store.write([("INSERT INTO words VALUES (?)", ("x" * 1000,))] * 200)
        self.assertEqual(store.read("SELECT count(*) FROM words"), [(0,)])
        self.put(store, "small")

    def test_a_folder_that_is_not_there_is_one_plain_error(self):
        with self.assertRaisesRegex(DatabaseError, "nowhere"):
            Database("/nowhere/a.db", self.SCHEMA, 1)
