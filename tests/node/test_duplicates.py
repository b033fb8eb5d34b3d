"""Duplicate requests: the response cache, and the same over sockets."""

import unittest
from dataclasses import replace
from types import SimpleNamespace

from oakkeel.admission.types import Idempotency, Outcome
from oakkeel.dispatch.codec import RequestReader
from oakkeel.node.response_cache import ResponseCache
from oakkeel.request_events import SharedResponse
from oakkeel.units import MS, SECOND
from tests.support.fake_host import GROUP, FakeHost
from tests.support.node_process import NodeProcessTest
from tests.support.node_request import RESOURCE_LIMITS, node_request

ONCE = replace(GROUP, idempotency=Idempotency.IDEMPOTENCY_KEY, idempotency_window=SECOND)
KEY = (0, b"hall", b"k1")
NOW = 100 * SECOND


def one(**fields):
    return node_request(**{**{"request_class": ONCE, "cache_key": KEY, "body": b"two seats"}, **fields})


class ResponseCacheWindowTest(unittest.TestCase):
    def setUp(self) -> None:
        self.response_cache = ResponseCache(RESOURCE_LIMITS, 0)

    def remembered(self, now: int = NOW, **fields):
        request = one(**fields)
        self.response_cache.retain(request, now, SECOND)
        return request

    def test_the_window_counts_from_arrival_to_arrival_not_from_reading(self):
        self.remembered(queueing_delay=300 * MS)  # it arrived at 99.7 s
        self.assertTrue(self.response_cache.find(one(), NOW + 699 * MS))
        self.assertFalse(self.response_cache.find(one(), NOW + 700 * MS))  # it would get an earlier result
        self.assertTrue(self.response_cache.find(one(queueing_delay=5 * MS), NOW + 704 * MS))

    def test_a_window_shorter_than_the_run_ends_with_the_run_going_on(self):
        self.remembered()
        self.assertTrue(self.response_cache.find(one(), NOW + 999 * MS))
        self.assertFalse(self.response_cache.find(one(), NOW + SECOND))

    def test_the_request_read_first_runs_though_it_arrived_later(self):
        self.remembered(queueing_delay=0)
        self.assertTrue(self.response_cache.find(one(queueing_delay=500 * MS), NOW + MS))

    def test_a_duplicate_that_arrived_in_time_is_recognized_in_a_full_cache(self):
        # An entry whose window is over must not be evicted while a duplicate may still be unread.
        cache = self.response_cache = ResponseCache(
            replace(RESOURCE_LIMITS, memory=4 * RESOURCE_LIMITS.result_size), 0
        )
        self.remembered()
        later = NOW + SECOND + 400 * MS
        self.assertFalse(cache.make_room(later))
        self.assertTrue(cache.find(one(queueing_delay=500 * MS), later))
        self.assertTrue(cache.make_room(NOW + SECOND + ONCE.client_timeout))

    def test_a_request_that_never_ran_restores_the_entry_of_the_one_that_did(self):
        first = self.remembered()
        self.response_cache.finish(first, Outcome.COMPLETED, b"first")
        second = self.remembered(NOW + 1100 * MS)
        self.response_cache.release(second)
        late = one(queueing_delay=300 * MS)  # it arrived at 100.9 s, within the window of the first
        self.assertTrue(self.response_cache.find(late, NOW + 1200 * MS))
        self.response_cache.share(late)
        self.assertEqual(late.events.popleft(), SharedResponse(Outcome.COMPLETED, b"first"))

    def test_a_follower_of_a_request_that_never_ran_gets_the_earlier_result(self):
        first = self.remembered()
        second = self.remembered(NOW + 1100 * MS)
        late, fresh = one(queueing_delay=300 * MS), one()
        late.arrived_at = fresh.arrived_at = NOW + 1200 * MS
        for each in (late, fresh):
            self.assertTrue(self.response_cache.find(each, NOW + 1200 * MS))
            self.response_cache.share(each)
        self.response_cache.release(second)
        self.assertEqual(fresh.events.popleft(), SharedResponse(Outcome.REJECTED, b""))
        self.assertFalse(late.events)
        self.response_cache.finish(first, Outcome.COMPLETED, b"first")
        self.assertEqual(late.events.popleft(), SharedResponse(Outcome.COMPLETED, b"first"))

    def test_an_unfinished_entry_is_restored_after_two_that_never_ran(self):
        first, second = self.remembered(), self.remembered(NOW + 1100 * MS)
        third = self.remembered(NOW + 2200 * MS)
        self.response_cache.release(second)  # in the middle: nothing changes
        self.assertIs(self.response_cache.entries[KEY], third.cache_entry)
        self.response_cache.finish(first, Outcome.CANCELLED, b"")
        self.response_cache.finish(third, Outcome.COMPLETED, b"third")
        self.assertTrue(self.response_cache.find(one(), NOW + 2300 * MS))


class CacheKeyTest(unittest.TestCase):
    def setUp(self) -> None:
        limits = FakeHost(
            request_classes=[{"idempotency": effect} for effect in Idempotency], tenants=[1.0]
        ).limits
        self.reader = RequestReader(
            limits, [effect.value for effect in Idempotency], ["hall"], RESOURCE_LIMITS
        )

    def read(self, effect: Idempotency, fields: bytes, body: bytes = b"b"):
        words = [b"CALL", b"1", effect.value.encode(), b"req=9b1f03aa5c7e2d41,need=1," + fields, body]
        return self.reader.read(1, words, None)

    def test_two_tenants_never_share_a_key_or_a_subject(self):
        for effect, name in ((Idempotency.IDEMPOTENCY_KEY, b"opkey"), (Idempotency.IDEMPOTENT, b"subject")):
            keys = {
                self.read(effect, owner + name + b"=k1").cache_key
                for owner in (b"owner=hall,", b"owner=fete,", b"owner=,", b"owner=unheard-of,")
            }
            self.assertEqual(len(keys), 4)

    def test_non_idempotent_requests_with_one_subject_are_no_duplicates(self):
        # The second must run, and not get the result of the first.
        for fields in (b"subject=s", b"opkey=k"):
            request = self.read(Idempotency.NON_IDEMPOTENT, fields)
            self.assertEqual((request.cache_key, request.has_key), (None, False))

    def test_the_field_of_another_kind_of_idempotency_is_no_key(self):
        self.assertIsNone(self.read(Idempotency.IDEMPOTENCY_KEY, b"subject=s").cache_key)
        self.assertIsNone(self.read(Idempotency.IDEMPOTENT, b"opkey=k").cache_key)

    def test_the_same_key_with_another_body_is_a_mismatch(self):
        cache = ResponseCache(RESOURCE_LIMITS, 0)
        first = one()
        cache.retain(first, NOW, SECOND)
        for body, mismatch in ((b"two seats", False), (b"nine seats", True), (b"", True)):
            request = one(body=body)
            self.assertTrue(cache.find(request, NOW))
            self.assertEqual(cache.key_mismatch(request), mismatch)


class DuplicateRequestTest(NodeProcessTest):
    """Duplicates over sockets: `order` runs at most once in a window of 5 s."""

    def order(self, dispatcher, key: str = "k1", body: bytes = b"two seats", **more) -> str:
        return dispatcher.call("order", body, fields=f",opkey={key}" + more.pop("fields", ""), **more)

    def runs(self, request_id: str) -> None:
        self.assertEqual(self.engine.next()[:2], ("RUN", request_id))

    def seen(self, dispatcher) -> None:
        """Wait until the node has read all that the dispatcher sent."""
        dispatcher.send("CHECK", "99", "")
        self.assertEqual(dispatcher.answer()[0], 99)

    def begun(self):
        self.begin()
        return self.dispatcher(), self.dispatcher()

    def filled(self) -> tuple:
        """Occupy all cores, so that the next request is queued."""
        dispatcher, other = self.begun()
        busy = [dispatcher.call("pay") and self.engine.next()[1] for _ in range(4)]
        return dispatcher, other, busy

    def test_two_tenants_with_one_key_both_run_and_get_their_own_results(self):
        one, two = self.begun()
        first = self.order(one, fields=",owner=hall")
        self.runs(first)
        second = self.order(two, fields=",owner=fete")
        self.runs(second)
        self.engine.done(second, body=b"for fete")
        self.engine.done(first, body=b"for hall")
        self.assertEqual(one.answer()[1::2], (b"ok", b"for hall"))
        self.assertEqual(two.answer()[1::2], (b"ok", b"for fete"))

    def test_a_key_with_another_body_gets_no_result(self):
        # A client that guesses a key must not get the result of another one's request.
        one, two = self.begun()
        first = self.order(one)
        self.runs(first)
        self.order(two, body=b"nine seats")
        self.assertEqual(two.answer()[1::2], (b"fault", b""))
        self.engine.done(first)
        self.assertEqual(one.answer()[1], b"ok")
        self.order(two, body=b"nine seats", tag=2)  # nor after the run
        self.assertEqual(two.answer()[1::2], (b"fault", b""))
        self.order(one, tag=2)
        self.assertEqual(one.answer()[1::2], (b"ok", b"result"))
        self.assertTrue(self.engine.commands.empty())

    def test_a_request_that_the_engine_does_not_know_leaves_its_key_available(self):
        # The engine does not know it, so nothing ran: the error must not stay for the window.
        one, two = self.begun()
        guessed = self.order(two)
        self.runs(guessed)
        self.engine.say(f"NO RUN {guessed}")
        self.assertEqual(two.answer()[1], b"fault")
        first = self.order(one)
        self.runs(first)
        self.engine.done(first)
        self.assertEqual(one.answer()[1], b"ok")

    def test_duplicates_of_a_queued_running_or_finished_request_share_one_run(self):
        one, two, busy = self.filled()
        first = self.order(one, tag=9)
        self.seen(one)
        self.order(two, tag=1, fields=",resent=1")  # while the first is queued
        self.seen(two)
        self.engine.done(busy[0])
        self.runs(first)
        self.order(two, tag=2, fields=",resent=1")  # while it runs
        self.seen(two)
        self.engine.done(first, body=b"once")
        self.order(two, tag=3, fields=",resent=1")  # just finished
        answers = [two.answer()[::3] for _ in range(3)]
        # The third may be read between the end of the run and the wake-up of the two followers.
        self.assertIn([tag for tag, _ in answers], ([1, 2, 3], [1, 3, 2], [3, 1, 2]))
        self.assertEqual([body for _, body in answers], [b"once"] * 3)
        self.assertTrue(self.engine.commands.empty())

    def test_two_duplicates_in_one_write_share_one_run(self):
        one, _ = self.begun()
        sent = []
        one.socket = SimpleNamespace(sendall=sent.append, close=one.socket.close, real=one.socket)
        first = self.order(one)
        self.order(one)
        one.socket.real.sendall(b"".join(sent))
        self.runs(first)
        self.engine.done(first, body=b"once")
        self.assertEqual([one.answer()[::3] for _ in range(2)], [(1, b"once"), (2, b"once")])
        self.assertTrue(self.engine.commands.empty())

    def test_followers_of_a_request_cancelled_in_the_queue_are_rejected_with_retry_after(self):
        # They must not fail as if it might have run.
        one, two, busy = self.filled()
        self.order(one, tag=9)
        self.seen(one)
        self.order(two, fields=",resent=1")
        self.seen(two)
        one.send("CANCEL", "9")
        tag, word, fields, _ = two.answer()
        self.assertEqual((tag, word), (1, b"full"))
        self.assertIn(b"holdoff=", fields)
        again = self.order(two, tag=2, fields=",resent=1")
        self.engine.done(busy[0])
        self.runs(again)

    def test_followers_of_a_request_cancelled_while_running_fail(self):
        one, two = self.begun()
        first = self.order(one)
        self.runs(first)
        self.order(two, fields=",resent=1")
        self.seen(two)
        one.send("CANCEL", "1")
        self.assertEqual(self.engine.next()[:2], ("HALT", first))
        self.engine.done(first, "interrupted", b"")
        self.assertEqual(two.answer()[:2], (1, b"fault"))
        self.order(two, tag=2, fields=",resent=1")  # it must not run again in the window
        self.assertEqual(two.answer()[:2], (2, b"fault"))
        self.assertTrue(self.engine.commands.empty())

    def test_a_duplicate_of_a_failed_request_fails_and_does_not_run(self):
        one, two = self.begun()
        first = self.order(one, timeout=1500)
        self.runs(first)
        self.assertEqual(one.answer()[1], b"fault")
        self.assertEqual(self.engine.next()[:2], ("HALT", first))
        self.order(two, timeout=400, fields=",resent=1")  # the run outlasts this request
        self.assertEqual(two.answer()[1], b"fault")
        self.engine.done(first, "interrupted", b"")
        self.order(two, tag=2, fields=",resent=1")
        self.assertEqual(two.answer()[1], b"fault")
        self.assertTrue(self.engine.commands.empty())

    def test_a_request_after_the_window_runs_again_also_beside_the_first(self):
        self.begin(settings=self.short_window())
        one, two = self.dispatcher(), self.dispatcher()
        first = self.order(one, age=100)  # sent 100 ms ago: the window of 1 ms is over
        self.runs(first)
        late = self.order(two)
        self.runs(late)
        self.engine.done(late, body=b"second")
        self.engine.done(first, body=b"first")
        self.assertEqual(two.answer()[3], b"second")
        self.assertEqual(one.answer()[3], b"first")

    def short_window(self) -> dict:
        told = self.settings()
        told["classes"] = [{**each, "window": 1 * MS} for each in told["classes"]]
        return told

    def test_a_restarted_node_runs_a_duplicate(self):
        one, _ = self.begun()
        self.runs(self.order(one))
        self.process.kill()
        self.process.wait()
        self.process.stderr.close()
        self.begin(listen=f"127.0.0.1:{self.port}", state="booting", age="1.0")
        self.engine.number = 0
        two = self.dispatcher()
        again = self.order(two, fields=",resent=1")
        self.runs(again)
        self.engine.done(again)
        self.assertEqual(two.answer()[1], b"ok")

    def test_a_full_cache_rejects_new_keys_and_recognizes_the_retained_ones(self):
        self.begin(limits={"cores": 1.0, "memory_mb": 0.1, "sockets": 1024})  # a capacity of one key
        one, two = self.dispatcher(), self.dispatcher()
        first = self.order(one)
        self.runs(first)
        self.order(two, "k2")
        _tag, word, fields, _ = two.answer()
        self.assertEqual(word, b"full")
        self.assertIn(b"holdoff=", fields)
        self.engine.done(first)
        self.order(two, tag=2, fields=",resent=1")
        self.assertEqual(two.answer()[1], b"ok")


if __name__ == "__main__":
    unittest.main()
