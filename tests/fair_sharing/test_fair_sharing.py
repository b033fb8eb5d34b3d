"""Stories of fair shares: the measures and their bounds, decisions in simulated time, a node on sockets."""

import json
import os
import random
import signal
import tempfile
import time
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from oakkeel.admission import MS, SECOND
from oakkeel.admission.types import FairSharingRules, ShareStanding
from oakkeel.fair_sharing import persistence
from oakkeel.fair_sharing.heavy_hitters import HeavyHitters
from oakkeel.fair_sharing.keys import SECRET, FlowKeys
from oakkeel.fair_sharing.max_min import MaxMinShares, fill
from oakkeel.fair_sharing.reservations import EACH, Reservations
from oakkeel.fakes.simulated_node import SimulatedClient, SimulatedNode, fair_share, jain
from oakkeel.store import snapshot_file
from tests.support.node_process import NodeStory

LONG = 10**9 * SECOND  # a half-life in which nothing fades


class HeavyStories(unittest.TestCase):
    @given(
        st.lists(st.tuples(st.integers(0, 40), st.integers(1, 9)), min_size=1, max_size=300),
        st.integers(1, 12),
    )
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_counts_are_never_under_and_certain_ones_never_over_the_truth(self, sent, most):
        table, truth = HeavyHitters(most, LONG), {}
        for key, weight in sent:
            table.add(0, key, weight)
            truth[key] = truth.get(key, 0) + weight
        total = sum(truth.values())
        self.assertLessEqual(len(table.flows), most)
        self.assertEqual(len(table.heap), len(table.flows))
        for key, sender in table.flows.items():
            self.assertGreaterEqual(sender.count, truth[key])
            self.assertLessEqual(sender.count - sender.error, truth[key])
            self.assertLessEqual(sender.error, total / most)
        scale = table.total_rate(0) / total
        for key, count in truth.items():
            if key not in table.flows:
                self.assertLessEqual(count * scale, table.error_rate(0) * 1.000001)
                self.assertLessEqual(count, total / most)

    def test_what_was_sent_counts_half_each_half_life_and_rates_come_out(self):
        table, now = HeavyHitters(8, 2 * SECOND), 0
        for _ in range(4000):  # 100 a second for 40 s, over which the scale is brought back too
            now += 10 * MS
            sender = table.add(now, 1, 3.0)
        self.assertAlmostEqual(table.rate(now, sender) / 300, 1.0, delta=0.02)
        self.assertAlmostEqual(table.rate(now + 4 * SECOND, sender) / 75, 1.0, delta=0.02)
        later = now + 3600 * SECOND
        again = table.add(later, 1, 3.0)
        self.assertLess(table.rate(later, again), 3.0)

    def test_a_hundred_thousand_who_send_once_leave_the_heavy_one_found_and_none_accused(self):
        table, chance = HeavyHitters(256, 4 * SECOND), random.Random(7)
        for number in range(100_000):
            table.add(number * 40_000, chance.getrandbits(60), 1.0)
            if number % 50 == 0:
                heavy = table.add(number * 40_000, 1, 1.0)
        now = 100_000 * 40_000
        self.assertIs(table.flows.get(1), heavy)
        self.assertGreaterEqual(table.rate(now, heavy), table.error_rate(now))
        accused = [each for each in table.flows.values() if table.rate(now, each) >= table.error_rate(now)]
        self.assertEqual(accused, [heavy])
        self.assertEqual((len(table.flows), len(table.heap)), (256, 256))

    def test_keys_cannot_be_aimed_without_the_secret(self):
        names = [f"client-{number}".encode() for number in range(300)]
        first, second = (FlowKeys(bytes([number]) * SECRET, (b"client",)) for number in (1, 2))
        keys = [
            [maker.flow_keys(lambda field, name=name: name)[0][0] for name in names]
            for maker in (first, second)
        ]
        self.assertEqual(len(set(keys[0])), 300)
        self.assertFalse(set(keys[0]) & set(keys[1]))
        both = FlowKeys(bytes(SECRET), (b"owner", b"client"))
        apart = {
            both.flow_keys({b"owner": owner, b"client": client}.__getitem__)[1][0]
            for owner, client in ((b"ab", b"c"), (b"a", b"bc"), (b"abc", b""))
        }
        self.assertEqual(len(apart), 3)


class LevelStories(unittest.TestCase):
    @given(
        st.lists(st.tuples(st.floats(0.1, 100), st.floats(0.1, 10)), min_size=1, max_size=20),
        st.floats(0.1, 500),
    )
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_water_fills_evenly_gives_nobody_more_than_asked_and_leaves_nothing(self, rows, whole):
        level = fill(rows, whole)
        given_out = sum(min(asked, level * weight) for asked, weight in rows)
        self.assertAlmostEqual(given_out, min(whole, sum(asked for asked, _ in rows)), delta=1e-6 * whole)

    def test_weights_count_and_identities_within_a_tenant_share_what_it_has(self):
        levels = MaxMinShares(2, 64, 2 * SECOND, {b"big": 3.0})
        now = 0
        for _ in range(4000):
            now += 5 * MS
            for outer, name, inner in ((1, b"big", 10), (2, b"small", 20 + now // (5 * MS) % 1000)):
                levels.count(now, ((outer, name), (inner, b"")), 1.0, False)
        levels.allocate(now, 200.0)  # of the 400 a second that are asked
        big, small = levels.tables[0].flows[1], levels.tables[0].flows[2]
        self.assertAlmostEqual(big.allowed_rate, 150, delta=3)
        self.assertAlmostEqual(small.allowed_rate, 50, delta=3)
        self.assertAlmostEqual(levels.tables[1].flows[10].allowed_rate, 150, delta=3)
        self.assertAlmostEqual(
            small.unknown_share, 0.25, delta=0.1
        )  # none of the thousand is heavy, all are cut


class PromiseStories(unittest.TestCase):
    @given(st.lists(st.tuples(st.integers(0, 6), st.floats(1, 30), st.integers(0, 3)), max_size=120))
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_what_is_booked_never_exceeds_the_room(self, wishes):
        ledger, now = Reservations(50 * MS, 20, 40), 0
        for key, work, pause in wishes:
            now += pause * 20 * MS
            ledger.book(now, now, key, work, 30.0)
            self.assertLessEqual(max(ledger.booked), 30.0)
            self.assertLessEqual(ledger.open_count, 40)
            self.assertEqual(ledger.open_count, sum(len(each) for each in ledger.open.values()))
            self.assertTrue(all(len(each) <= EACH for each in ledger.open.values()))

    def test_one_taken_back_frees_its_room_and_one_not_come_for_is_dropped(self):
        ledger = Reservations(50 * MS, 20, 2)
        first = ledger.book(0, 0, 1, 10.0, 10.0)
        self.assertEqual((first.due_at, ledger.book(0, 0, 2, 10.0, 10.0).due_at), (50 * MS, 100 * MS))
        self.assertIsNone(ledger.book(0, 0, 3, 10.0, 10.0))
        ledger.end(first, None)
        self.assertEqual(ledger.book(0, 0, 3, 10.0, 10.0).due_at, 50 * MS)
        self.assertIsNotNone(ledger.book(5 * SECOND, 0, 4, 10.0, 10.0))
        self.assertEqual(ledger.expired_count, 2)


def world(fair=True, by=("caller",), weights=None, seed=7, **more) -> SimulatedNode:
    rules = FairSharingRules(
        tuple(by), weights if weights is not None else {}, max_flows=more.pop("places", 256)
    )
    return SimulatedNode(rules if fair else None, seed, **more)


def kept(
    made: SimulatedNode, clients: list[SimulatedClient], seconds: float = 8, warm: float = 4
) -> tuple[list[float], float]:
    """Of its fair share, what each kept after a while; and the share of returns as told that went ahead."""
    made.pass_time(warm)
    before = [
        (each.counts["in time"], each.first_attempts, each.scheduled_returns, each.admitted_returns)
        for each in made.clients
    ]
    made.pass_time(seconds)
    done = [
        (each.counts["in time"] - was[0]) / seconds for each, was in zip(made.clients, before, strict=True)
    ]
    sent = [(each.first_attempts - was[1]) / seconds for each, was in zip(made.clients, before, strict=True)]
    shares = fair_share(sent, max(150.0, sum(done)))
    told = sum(each.scheduled_returns - was[2] for each, was in zip(made.clients, before, strict=True))
    taken = sum(each.admitted_returns - was[3] for each, was in zip(made.clients, before, strict=True))
    return (
        [
            min(1.0, one / share)
            for each, one, share in zip(made.clients, done, shares, strict=True)
            if each in clients
        ],
        taken / told if told else 1.0,
    )


class ShareStories(unittest.TestCase):
    def compliant(self, count: int = 12, rate: float = 15) -> list[SimulatedClient]:
        return [SimulatedClient(b"good-%d" % number, rate) for number in range(count)]

    def test_a_crawler_takes_the_node_without_and_its_share_with(self):
        for fair in (False, True):
            made, good = world(fair), self.compliant()
            made.add(*good, SimulatedClient(b"crawler", 1000, honours_retry_after=False, max_attempts=10))
            shares, promises = kept(made, good)
            if not fair:
                self.assertLess(sum(shares) / len(shares), 0.5)
                continue
            self.assertGreater(sum(shares) / len(shares), 0.9)
            self.assertGreater(min(shares), 0.75)
            self.assertGreater(promises, 0.95)
            self.assertGreater(jain([each.counts["in time"] for each in good]), 0.98)

    def test_identities_within_one_tenant_gain_it_nothing(self):
        made = world(by=("tenant", "caller"), places=128)
        good = [SimulatedClient(b"good-%d" % number, 20, tenant=b"t%d" % number) for number in range(8)]
        crowd = [
            SimulatedClient(b"id-%d" % number, 1.0, tenant=b"crowd", honours_retry_after=False)
            for number in range(1000)
        ]
        made.add(*good, *crowd)
        made.pass_time(5)
        before = [each.counts["in time"] for each in good], sum(each.counts["in time"] for each in crowd)
        made.pass_time(8)
        each_good = [(each.counts["in time"] - was) / 8 for each, was in zip(good, before[0], strict=True)]
        crowd_got = (sum(each.counts["in time"] for each in crowd) - before[1]) / 8
        self.assertGreater(sum(each_good) / len(each_good), 15)
        self.assertLess(crowd_got, 60)  # of the thousand a second that it asks

    def test_a_weight_is_a_larger_share_and_changes_while_it_runs(self):
        weights = {b"heavy": 3.0}
        made = world(weights=weights)
        first, second = SimulatedClient(b"heavy", 300), SimulatedClient(b"plain", 300)
        made.add(first, second)
        made.pass_time(4)
        before = first.counts["in time"], second.counts["in time"]
        made.pass_time(8)
        ratio = (first.counts["in time"] - before[0]) / (second.counts["in time"] - before[1])
        self.assertAlmostEqual(ratio, 3.0, delta=0.8)
        weights[b"heavy"] = 1.0
        made.pass_time(4)
        before = first.counts["in time"], second.counts["in time"]
        made.pass_time(8)
        ratio = (first.counts["in time"] - before[0]) / (second.counts["in time"] - before[1])
        self.assertAlmostEqual(ratio, 1.0, delta=0.25)

    def test_who_is_alone_has_all_and_a_tenant_that_comes_back_after_an_hour_has_its_share(self):
        made = world()
        busy, back = SimulatedClient(b"busy", 150), SimulatedClient(b"back", 40)
        made.add(busy)
        made.pass_time(6)
        self.assertGreater(busy.counts["in time"] / busy.first_attempts, 0.97)
        made.clients.remove(busy)
        made.run_until(made.now + 3600 * SECOND)
        made.add(back, more := SimulatedClient(b"more", 400))
        shares, _ = kept(made, [back], warm=3)
        self.assertGreater(min(shares), 0.9)
        self.assertGreater(more.counts["in time"], 0)

    def test_a_node_half_as_fast_allows_and_promises_half_as_much(self):
        promised = []
        for slow in (1.0, 2.0):
            made = world(slow=slow, slo=SECOND)
            made.add(*self.compliant(10, 40))
            made.pass_time(10)
            fair = made.admission.fair_sharing
            allowed = [each.allowed_rate for each in fair.shares.tables[0].flows.values()]
            promised.append(sum(allowed) / made.admission.ranking.service_times[0])
        self.assertAlmostEqual(promised[1] / promised[0], 0.5, delta=0.1)

    def test_a_cold_node_is_shared_as_well(self):
        made, good = world(cold=True, slow=4.0, slo=2 * SECOND), self.compliant(8, 4)
        made.add(*good, SimulatedClient(b"crawler", 400, honours_retry_after=False))
        shares, _ = kept(made, good, warm=3, seconds=6)
        self.assertGreater(sum(shares) / len(shares), 0.85)

    def test_all_promised_return_at_once_and_promises_hold(self):
        made, good = world(), self.compliant(40, 15)  # three times what the node can do
        made.add(*good)
        _, promises = kept(made, good)
        self.assertGreater(promises, 0.95)
        self.assertGreater(sum(each.scheduled_returns for each in good), 200)

    def test_who_comes_early_gains_nothing_and_waits_longer(self):
        made = world()
        made.add(
            SimulatedClient(b"flood", 600),
            one := SimulatedClient(b"one", 0.0, honours_retry_after=False, max_attempts=1),
        )
        made.pass_time(5)
        fair = made.admission.fair_sharing
        while not fair.reservations.last_booked(key := hash((0, b"one")) & (1 << 62) - 1):
            made.send(one, 1)
            made.pass_time(0.01)
        told = fair.reservations.last_booked(key).due_at
        made.send(one, 2)  # a further try, long before
        self.assertGreater(fair.reservations.last_booked(key).due_at, told)
        self.assertEqual(one.counts["in time"], 0)

    def test_in_a_drain_those_within_the_grace_go_on_and_no_promise_is_made(self):
        made, good = world(), self.compliant(30, 15)
        made.add(*good)
        made.pass_time(5)
        fair, before = made.admission.fair_sharing, [sum(each.admitted_returns for each in good)]
        made.admission.drain(made.now, 5 * SECOND)
        booked = fair.reservations.booked_count
        made.pass_time(1.5)
        self.assertEqual(fair.reservations.booked_count, booked)
        self.assertGreater(sum(each.admitted_returns for each in good), before[0])

    def test_without_rules_nothing_of_it_is_there(self):
        made, good = world(False), self.compliant(4, 10)
        made.add(*good)
        made.pass_time(2)
        self.assertIsNone(made.admission.fair_sharing)

    def test_a_retry_budget_is_the_senders_own(self):
        made = world()
        levels = made.admission.fair_sharing.shares
        for number in range(400):
            levels.count(made.now + number * MS, ((1, b"tries"),), 1.0, number % 2 == 0)
        sender = levels.tables[0].flows[1]
        self.assertAlmostEqual(sender.retries / sender.count, 0.5, delta=0.01)
        request = mock.Mock(
            flow_keys=((1, b"tries"),), retry_attempt=True, share_standing=ShareStanding.WITHIN_SHARE
        )
        made.admission.fair_sharing.arrive(made.now + 400 * MS, request, 1.0, 1e9)
        self.assertIs(request.share_standing, ShareStanding.OVER_SHARE)
        request.retry_attempt = False
        made.admission.fair_sharing.arrive(made.now + 400 * MS, request, 1.0, 1e9)
        self.assertIs(request.share_standing, ShareStanding.WITHIN_SHARE)


class StateStories(unittest.TestCase):
    def setUp(self) -> None:
        self.path = os.path.join(self.enterContext(tempfile.TemporaryDirectory()), "n1.shares")

    def filled(self) -> SimulatedNode:
        made = world()
        made.add(
            SimulatedClient(b"crawler", 500, honours_retry_after=False),
            *(SimulatedClient(b"g%d" % n, 20) for n in range(10)),
        )
        made.pass_time(5)
        return made

    def content(self, made: SimulatedNode, unix: int = 10**18) -> bytes:
        fair = made.admission.fair_sharing
        return persistence.encode_snapshot(
            made.now, unix, ("caller",), bytes(SECRET), fair.shares, fair.reservations
        )

    def test_a_restart_forgives_nobody_and_breaks_no_promise(self):
        made, again = self.filled(), world()
        content = self.content(made)
        found = persistence.decode_snapshot(content, 10**18 + SECOND, ("caller",))
        fair, old = again.admission.fair_sharing, made.admission.fair_sharing
        persistence.restore_snapshot(found, again.now, 10**18 + SECOND, fair.shares, fair.reservations)
        key = max(old.shares.tables[0].flows.values(), key=lambda each: each.count).key
        before = old.shares.tables[0].rate(made.now, old.shares.tables[0].flows[key])
        after = fair.shares.tables[0].rate(again.now, fair.shares.tables[0].flows[key])
        self.assertAlmostEqual(after / before, 0.5**0.25, delta=0.01)  # a second of the four that halve it
        ahead = [
            sorted(each.due_at - made_at for rows in ledger.open.values() for each in rows)
            for ledger, made_at in ((old.reservations, made.now + SECOND), (fair.reservations, again.now))
        ]
        self.assertEqual(ahead[1], [after for after in ahead[0] if after > 0])

    def test_one_from_the_future_too_old_or_of_other_senders_is_not_taken(self):
        content = self.content(self.filled())
        for unix, by in (
            (10**18 - 5 * SECOND, ("caller",)),
            (10**18 + 61 * SECOND, ("caller",)),
            (10**18, ("tenant",)),
        ):
            with self.assertRaises(persistence.SnapshotRejectedError):
                persistence.decode_snapshot(content, unix, by)
        with self.assertRaises(persistence.SnapshotRejectedError):
            persistence.decode_snapshot(content[:50], 10**18, ("caller",))

    def test_a_file_cut_in_half_or_with_one_bit_changed_is_told_from_a_whole_one(self):
        snapshot_file.write(self.path, b"content" * 100)
        self.assertEqual(snapshot_file.read(self.path), b"content" * 100)
        with open(self.path, "rb") as file:
            whole = file.read()
        for spoilt in (whole[: len(whole) // 2], whole[:-1] + bytes([whole[-1] ^ 1]), b"", b"x" * 100):
            with open(self.path, "wb") as file:
                file.write(spoilt)
            with self.assertRaises(snapshot_file.SnapshotError):
                snapshot_file.read(self.path)
        self.assertIsNone(snapshot_file.read(self.path + "x"))


class FairNodeStories(NodeStory):
    def setUp(self) -> None:
        super().setUp()
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.told_path = os.path.join(self.folder, "n3.told")
        self.write_told()
        self.enterContext(
            mock.patch.dict(
                os.environ,
                OAKKEEL_TOLD=self.told_path,
                OAKKEEL_GENERATION="1",
                OAKKEEL_CONTROL=os.path.join(self.folder, "n3.sock"),
            )
        )

    def write_told(self, by=("client",), **weights: float) -> None:
        with open(self.told_path, "w") as file:
            json.dump(
                {
                    "fair": {
                        "by": list(by),
                        "weights": weights,
                        "places": 64,
                        "promises": 64,
                        "half": 4 * SECOND,
                        "snapshot": os.path.join(self.folder, "n3.shares"),
                    }
                },
                file,
            )

    def clients(self) -> dict:
        import socket  # a link of this story alone

        with socket.socket(socket.AF_UNIX) as link:
            link.connect(os.path.join(self.folder, "n3.sock"))
            link.settimeout(20)
            link.sendall(b'{"type":"clients","tag":1}\n')
            with link.makefile("rb") as stream:
                return json.loads(stream.readline())

    def served(self, dispatcher, client: str) -> None:
        dispatcher.call("card", fields=f",client={client}")
        self.engine.done(self.engine.next()[1])
        self.assertEqual(dispatcher.answer()[1], b"ok")

    def test_senders_are_told_over_the_control_link_and_outlive_the_process(self):
        self.begin()
        dispatcher = self.dispatcher()
        for client in ("a", "a", "a", "b"):
            self.served(dispatcher, client)
        told = self.clients()
        self.assertEqual(
            [(each["name"], round(each["asks"], 1)) for each in told["clients"]],
            [("a", 0.8), ("b", 0.2)] if told["clients"][0]["asks"] > 0.76 else [("a", 0.7), ("b", 0.3)],
        )
        self.process.send_signal(signal.SIGTERM)
        dispatcher.close()
        self.assertEqual(self.process.wait(20), 0)
        self.process.stderr.close()
        self.engine.number = 0
        self.begin()
        self.assertEqual([each["name"] for each in self.clients()["clients"]], ["a", "b"])

    def test_a_damaged_snapshot_is_set_aside_and_named_and_the_node_serves(self):
        with open(os.path.join(self.folder, "n3.shares"), "wb") as file:
            file.write(b"oakkeel snapshot 1\n" + b"x" * 60)
        self.launch(self.told())
        self.assertIn("n3.shares.bad", self.log("fair_sharing_snapshot_quarantined"))
        self.port = int(self.log("listening").rsplit(":", 1)[1])
        self.engine.attach()
        self.log("engine_ready")
        self.served(self.dispatcher(), "a")

    def test_weights_change_by_sighup_and_who_counts_does_not(self):
        self.begin()
        self.write_told(a=4.0)
        self.reload(self.told())
        self.assertIn("weights=1", self.log("flow_weights_reloaded"))
        self.write_told(by=("tenant",))
        time.sleep(1.1)  # the log says the same line once a second
        self.reload(self.told())
        self.log("flow_key_change_ignored")
        self.served(self.dispatcher(), "a")

    def test_settings_that_cannot_be_used_are_one_line(self):
        for text in ("", "{}x", '{"fair": {"by": []}}', '{"fair": {"by": ["a"], "weights": {"b": -1}}}'):
            with open(self.told_path, "w") as file:
                file.write(text)
            process = self.launch(self.told())
            _, error = process.communicate(timeout=20)
            self.assertEqual((process.returncode, error.count("\n")), (2, 1), error)
