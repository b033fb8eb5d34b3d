"""Duplicate requests, in the response cache alone and in a node process over sockets."""

import time
import unittest
from dataclasses import replace
from types import SimpleNamespace

from oakkeel.admission.types import Idempotency, Outcome
from oakkeel.dispatch.codec import RequestReader
from oakkeel.node.response_cache import ResponseCache
from oakkeel.request_events import SharedResponse
from oakkeel.units import MS, SECOND
from tests.support.fake_host import REQUEST_CLASS, FakeHost
from tests.support.node_process import NodeProcessTest
from tests.support.node_request import RESOURCE_LIMITS, node_request

AT_MOST_ONCE_CLASS = replace(
    REQUEST_CLASS, idempotency=Idempotency.IDEMPOTENCY_KEY, idempotency_window=SECOND
)
CACHE_KEY = (0, b"hall", b"k1")
NOW = 100 * SECOND


def keyed_request(**fields):
    return node_request(
        **{**{"request_class": AT_MOST_ONCE_CLASS, "cache_key": CACHE_KEY, "body": b"two seats"}, **fields}
    )


class ResponseCacheWindowTest(unittest.TestCase):
    def setUp(self) -> None:
        self.response_cache = ResponseCache(RESOURCE_LIMITS, 0)

    def retain_request(self, now: int = NOW, **fields):
        request = keyed_request(**fields)
        self.response_cache.retain(request, now, SECOND)
        return request

    def test_the_window_counts_from_arrival_to_arrival_not_from_reading(self):
        self.retain_request(queueing_delay=300 * MS)  # arrived at 99.7 s
        self.assertTrue(self.response_cache.find_original(keyed_request(), NOW + 699 * MS))
        # A duplicate would get the result of a window that has ended.
        self.assertFalse(self.response_cache.find_original(keyed_request(), NOW + 700 * MS))
        self.assertTrue(
            self.response_cache.find_original(keyed_request(queueing_delay=5 * MS), NOW + 704 * MS)
        )

    def test_a_window_shorter_than_the_run_ends_during_the_run(self):
        self.retain_request()
        self.assertTrue(self.response_cache.find_original(keyed_request(), NOW + 999 * MS))
        self.assertFalse(self.response_cache.find_original(keyed_request(), NOW + SECOND))

    def test_the_request_read_first_runs_though_it_arrived_later(self):
        self.retain_request(queueing_delay=0)
        self.assertTrue(self.response_cache.find_original(keyed_request(queueing_delay=500 * MS), NOW + MS))

    def test_a_duplicate_that_arrived_in_time_is_recognized_in_a_full_cache(self):
        # An entry whose window has ended must not be evicted while a duplicate may still be unread.
        cache = self.response_cache = ResponseCache(
            replace(RESOURCE_LIMITS, memory=4 * RESOURCE_LIMITS.result_size), 0
        )
        self.retain_request()
        later = NOW + SECOND + 400 * MS
        self.assertFalse(cache.make_room(later))
        self.assertTrue(cache.find_original(keyed_request(queueing_delay=500 * MS), later))
        self.assertTrue(cache.make_room(NOW + SECOND + AT_MOST_ONCE_CLASS.client_timeout))

    def test_release_of_a_request_that_never_ran_restores_the_entry_of_the_earlier_request(self):
        first = self.retain_request()
        self.response_cache.finish(first, Outcome.COMPLETED, b"first")
        second = self.retain_request(NOW + 1100 * MS)
        self.response_cache.release(second)
        late_request = keyed_request(queueing_delay=300 * MS)  # arrived at 100.9 s, in the first window
        self.assertTrue(self.response_cache.find_original(late_request, NOW + 1200 * MS))
        self.response_cache.share(late_request, NOW + 1200 * MS)
        self.assertEqual(late_request.events.popleft(), SharedResponse(Outcome.COMPLETED, b"first"))

    def test_a_follower_of_a_request_that_never_ran_gets_the_earlier_result(self):
        first = self.retain_request()
        second = self.retain_request(NOW + 1100 * MS)
        late_request, new_request = keyed_request(queueing_delay=300 * MS), keyed_request()
        late_request.arrived_at = new_request.arrived_at = NOW + 1200 * MS
        for request in (late_request, new_request):
            self.assertTrue(self.response_cache.find_original(request, NOW + 1200 * MS))
            self.response_cache.share(request, NOW + 1200 * MS)
        self.response_cache.release(second)
        self.assertEqual(new_request.events.popleft(), SharedResponse(Outcome.REJECTED, b""))
        self.assertFalse(late_request.events)
        self.response_cache.finish(first, Outcome.COMPLETED, b"first")
        self.assertEqual(late_request.events.popleft(), SharedResponse(Outcome.COMPLETED, b"first"))

    def test_releasing_an_entry_that_was_replaced_keeps_the_present_entry(self):
        first, second = self.retain_request(), self.retain_request(NOW + 1100 * MS)
        third = self.retain_request(NOW + 2200 * MS)
        self.response_cache.release(second)  # no effect: the third request has replaced its entry
        self.assertIs(self.response_cache.entries[CACHE_KEY], third.cache_entry)
        self.response_cache.finish(first, Outcome.CANCELLED, b"")
        self.response_cache.finish(third, Outcome.COMPLETED, b"third")
        self.assertTrue(self.response_cache.find_original(keyed_request(), NOW + 2300 * MS))


class CacheKeyTest(unittest.TestCase):
    def setUp(self) -> None:
        limits = FakeHost(
            request_classes=[{"idempotency": idempotency} for idempotency in Idempotency], tenants=[1.0]
        ).limits
        self.reader = RequestReader(
            limits, [idempotency.value for idempotency in Idempotency], ["hall"], RESOURCE_LIMITS
        )

    def read(self, idempotency: Idempotency, fields: bytes, body: bytes = b"b"):
        words = [b"CALL", b"1", idempotency.value.encode(), b"req=9b1f03aa5c7e2d41,need=1," + fields, body]
        return self.reader.read(1, words, None)

    def test_two_tenants_never_share_a_key_or_a_subject(self):
        for idempotency, name in (
            (Idempotency.IDEMPOTENCY_KEY, b"opkey"),
            (Idempotency.IDEMPOTENT, b"subject"),
        ):
            keys = {
                self.read(idempotency, owner + name + b"=k1").cache_key
                for owner in (b"owner=hall,", b"owner=fete,", b"owner=,", b"owner=unheard-of,")
            }
            self.assertEqual(len(keys), 4)

    def test_non_idempotent_requests_with_one_subject_are_no_duplicates(self):
        # The second request must run, and not get the result of the first.
        for fields in (b"subject=s", b"opkey=k"):
            request = self.read(Idempotency.NON_IDEMPOTENT, fields)
            self.assertEqual((request.cache_key, request.has_key), (None, False))

    def test_the_key_field_of_another_idempotency_kind_is_ignored(self):
        self.assertIsNone(self.read(Idempotency.IDEMPOTENCY_KEY, b"subject=s").cache_key)
        self.assertIsNone(self.read(Idempotency.IDEMPOTENT, b"opkey=k").cache_key)

    def test_the_same_key_with_another_body_is_a_mismatch(self):
        cache = ResponseCache(RESOURCE_LIMITS, 0)
        first = keyed_request()
        cache.retain(first, NOW, SECOND)
        for body, is_mismatch in ((b"two seats", False), (b"nine seats", True), (b"", True)):
            request = keyed_request(body=body)
            self.assertTrue(cache.find_original(request, NOW))
            self.assertEqual(cache.has_key_mismatch(request), is_mismatch)


class DuplicateRequestTest(NodeProcessTest):
    """Duplicates over sockets: `order` runs at most once in a window of 5 s."""

    sends_duplicates = True

    def send_order(self, dispatcher, key: str = "k1", body: bytes = b"two seats", **options) -> str:
        return dispatcher.call("order", body, fields=f",opkey={key}" + options.pop("fields", ""), **options)

    def assert_runs(self, request_id: str) -> None:
        self.assertEqual(self.engine.next_command()[:2], ("RUN", request_id))

    def wait_until_read(self, dispatcher) -> None:
        """Wait until the node has read everything that the dispatcher has sent."""
        dispatcher.send("CHECK", "99", "")
        self.assertEqual(dispatcher.next_answer()[0], 99)

    def begin_with_two_dispatchers(self):
        self.start_node()
        return self.dispatcher(), self.dispatcher()

    def occupy_cores(self) -> tuple:
        """Begin, and occupy all cores, so that the next request is queued."""
        dispatcher, other_dispatcher = self.begin_with_two_dispatchers()
        running_ids = [dispatcher.call("pay") and self.engine.next_command()[1] for _ in range(4)]
        return dispatcher, other_dispatcher, running_ids

    def test_requests_of_two_tenants_with_one_key_both_run_and_get_their_own_results(self):
        dispatcher, other_dispatcher = self.begin_with_two_dispatchers()
        first_id = self.send_order(dispatcher, fields=",owner=hall")
        self.assert_runs(first_id)
        second_id = self.send_order(other_dispatcher, fields=",owner=fete")
        self.assert_runs(second_id)
        self.engine.send_done(second_id, body=b"for fete")
        self.engine.send_done(first_id, body=b"for hall")
        self.assertEqual(dispatcher.next_answer()[1::2], (b"ok", b"for hall"))
        self.assertEqual(other_dispatcher.next_answer()[1::2], (b"ok", b"for fete"))

    def test_a_request_with_a_known_key_and_another_body_gets_no_result(self):
        # A client that guesses a key must not get the result of another client's request.
        dispatcher, other_dispatcher = self.begin_with_two_dispatchers()
        first_id = self.send_order(dispatcher)
        self.assert_runs(first_id)
        self.send_order(other_dispatcher, body=b"nine seats")
        self.assertEqual(other_dispatcher.next_answer()[1::2], (b"fault", b""))
        self.engine.send_done(first_id)
        self.assertEqual(dispatcher.next_answer()[1], b"ok")
        self.send_order(other_dispatcher, body=b"nine seats", tag=2)  # also rejected after the run
        self.assertEqual(other_dispatcher.next_answer()[1::2], (b"fault", b""))
        self.send_order(dispatcher, tag=2)
        self.assertEqual(dispatcher.next_answer()[1::2], (b"ok", b"result"))
        self.assertTrue(self.engine.commands.empty())

    def test_a_request_that_the_engine_does_not_know_leaves_its_key_available(self):
        # The engine does not know the request, so nothing ran: the error must not stay cached for the window.
        dispatcher, other_dispatcher = self.begin_with_two_dispatchers()
        unknown_id = self.send_order(other_dispatcher)
        self.assert_runs(unknown_id)
        self.engine.send_line(f"NO RUN {unknown_id}")
        self.assertEqual(other_dispatcher.next_answer()[1], b"fault")
        first_id = self.send_order(dispatcher)
        self.assert_runs(first_id)
        self.engine.send_done(first_id)
        self.assertEqual(dispatcher.next_answer()[1], b"ok")

    def test_duplicates_of_a_queued_running_or_finished_request_share_one_run(self):
        dispatcher, other_dispatcher, running_ids = self.occupy_cores()
        first_id = self.send_order(dispatcher, tag=9)
        self.wait_until_read(dispatcher)
        self.send_order(other_dispatcher, tag=1, fields=",resent=1")  # while the first is queued
        self.wait_until_read(other_dispatcher)
        self.engine.send_done(running_ids[0])
        self.assert_runs(first_id)
        self.send_order(other_dispatcher, tag=2, fields=",resent=1")  # while the first runs
        self.wait_until_read(other_dispatcher)
        self.engine.send_done(first_id, body=b"once")
        self.send_order(other_dispatcher, tag=3, fields=",resent=1")  # when the first has just finished
        answers = [other_dispatcher.next_answer()[::3] for _ in range(3)]
        # The third may be read between the end of the run and the wake-up of the two followers.
        self.assertIn([tag for tag, _ in answers], ([1, 2, 3], [1, 3, 2], [3, 1, 2]))
        self.assertEqual([body for _, body in answers], [b"once"] * 3)
        self.assertTrue(self.engine.commands.empty())

    def test_two_duplicates_in_one_write_share_one_run(self):
        dispatcher, _ = self.begin_with_two_dispatchers()
        sent_chunks = []
        dispatcher.socket = SimpleNamespace(
            sendall=sent_chunks.append, close=dispatcher.socket.close, real=dispatcher.socket
        )
        first_id = self.send_order(dispatcher)
        self.send_order(dispatcher)
        dispatcher.socket.real.sendall(b"".join(sent_chunks))
        self.assert_runs(first_id)
        self.engine.send_done(first_id, body=b"once")
        self.assertEqual([dispatcher.next_answer()[::3] for _ in range(2)], [(1, b"once"), (2, b"once")])
        self.assertTrue(self.engine.commands.empty())

    def test_followers_of_a_request_cancelled_in_the_queue_are_rejected_with_retry_after(self):
        # The followers must not fail, as the request can't have run.
        dispatcher, other_dispatcher, running_ids = self.occupy_cores()
        self.send_order(dispatcher, tag=9)
        self.wait_until_read(dispatcher)
        self.send_order(other_dispatcher, fields=",resent=1")
        self.wait_until_read(other_dispatcher)
        dispatcher.send("CANCEL", "9")
        tag, status, fields, _ = other_dispatcher.next_answer()
        self.assertEqual((tag, status), (1, b"full"))
        self.assertIn(b"holdoff=", fields)
        resent_id = self.send_order(other_dispatcher, tag=2, fields=",resent=1")
        self.engine.send_done(running_ids[0])
        self.assert_runs(resent_id)

    def test_followers_of_a_request_cancelled_while_running_fail(self):
        dispatcher, other_dispatcher = self.begin_with_two_dispatchers()
        first_id = self.send_order(dispatcher)
        self.assert_runs(first_id)
        self.send_order(other_dispatcher, fields=",resent=1")
        self.wait_until_read(other_dispatcher)
        dispatcher.send("CANCEL", "1")
        self.assertEqual(self.engine.next_command()[:2], ("HALT", first_id))
        self.engine.send_done(first_id, "interrupted", b"")
        self.assertEqual(other_dispatcher.next_answer()[:2], (1, b"fault"))
        self.send_order(other_dispatcher, tag=2, fields=",resent=1")  # must not run again in the window
        self.assertEqual(other_dispatcher.next_answer()[:2], (2, b"fault"))
        self.assertTrue(self.engine.commands.empty())

    def test_a_duplicate_of_a_failed_request_fails_and_does_not_run(self):
        dispatcher, other_dispatcher = self.begin_with_two_dispatchers()
        first_id = self.send_order(dispatcher, timeout=1500)
        self.assert_runs(first_id)
        self.assertEqual(dispatcher.next_answer()[1], b"fault")
        self.assertEqual(self.engine.next_command()[:2], ("HALT", first_id))
        self.send_order(other_dispatcher, timeout=400, fields=",resent=1")  # the run outlasts this request
        self.assertEqual(other_dispatcher.next_answer()[1], b"fault")
        self.engine.send_done(first_id, "interrupted", b"")
        self.send_order(other_dispatcher, tag=2, fields=",resent=1")
        self.assertEqual(other_dispatcher.next_answer()[1], b"fault")
        self.assertTrue(self.engine.commands.empty())

    def test_a_request_after_the_window_runs_even_if_the_first_still_runs(self):
        self.start_node(settings=self.short_window_settings())
        dispatcher, other_dispatcher = self.dispatcher(), self.dispatcher()
        first_id = self.send_order(dispatcher, age=100)  # sent 100 ms ago: its window of 1 ms is over
        self.assert_runs(first_id)
        late_id = self.send_order(other_dispatcher)
        self.assert_runs(late_id)
        self.engine.send_done(late_id, body=b"second")
        self.engine.send_done(first_id, body=b"first")
        self.assertEqual(other_dispatcher.next_answer()[3], b"second")
        self.assertEqual(dispatcher.next_answer()[3], b"first")

    def short_window_settings(self) -> dict:
        settings = self.settings_with_extra()
        settings["classes"] = [{**request_class, "window": 1 * MS} for request_class in settings["classes"]]
        return settings

    def test_a_duplicate_runs_after_a_restart_of_the_node(self):
        dispatcher, _ = self.begin_with_two_dispatchers()
        self.assert_runs(self.send_order(dispatcher))
        self.process.kill()
        self.process.wait()
        self.process.stderr.close()
        self.start_node(listen=f"127.0.0.1:{self.port}", state="booting", age="1.0")
        self.engine.notice_number = 0
        other_dispatcher = self.dispatcher()
        resent_id = self.send_order(other_dispatcher, fields=",resent=1")
        self.assert_runs(resent_id)
        self.engine.send_done(resent_id)
        self.assertEqual(other_dispatcher.next_answer()[1], b"ok")

    def test_a_full_cache_rejects_new_keys_and_recognizes_the_retained_ones(self):
        self.start_node(limits={"cores": 1.0, "memory_mb": 0.1, "sockets": 1024})  # a capacity of one key
        dispatcher, other_dispatcher = self.dispatcher(), self.dispatcher()
        first_id = self.send_order(dispatcher)
        self.assert_runs(first_id)
        self.send_order(other_dispatcher, "k2")
        _tag, status, fields, _ = other_dispatcher.next_answer()
        self.assertEqual(status, b"full")
        self.assertIn(b"holdoff=", fields)
        self.engine.send_done(first_id)
        self.send_order(other_dispatcher, tag=2, fields=",resent=1")
        self.assertEqual(other_dispatcher.next_answer()[1], b"ok")

    def read_settings(self, **extra) -> dict:
        """Return settings with which reads of one subject share a response that is under a second old."""
        return self.settings_with_extra(**{"fresh": SECOND, "depends-on": "silent", **extra})

    def test_a_client_with_an_id_unknown_to_the_engine_gets_no_shared_read(self):
        # No run reaches the engine for a duplicate, so nothing else would find out such a client.
        self.start_node(settings=self.read_settings())
        dispatcher, bad_client = self.dispatcher(), self.dispatcher()
        first_id = dispatcher.call("card", fields=",subject=s")
        self.assert_runs(first_id)
        self.engine.refuse_next_check = True
        bad_client.call("card", fields=",subject=s")  # while the original runs
        self.assertEqual(bad_client.next_answer()[1::2], (b"fault", b""))
        self.engine.send_done(first_id)
        self.assertEqual(dispatcher.next_answer()[1], b"ok")
        self.engine.refuse_next_check = True
        bad_client.call("card", fields=",subject=s")  # when the response is retained
        self.assertEqual(bad_client.next_answer()[1::2], (b"fault", b""))
        dispatcher.call("card", fields=",subject=s")
        self.assertEqual(dispatcher.next_answer()[1::2], (b"ok", b"result"))
        self.assertTrue(self.engine.commands.empty())

    def test_a_client_with_an_id_unknown_to_the_engine_gets_no_result_of_a_key(self):
        dispatcher, bad_client = self.begin_with_two_dispatchers()
        first_id = self.send_order(dispatcher)
        self.assert_runs(first_id)
        self.engine.send_done(first_id)
        self.assertEqual(dispatcher.next_answer()[1], b"ok")
        self.engine.refuse_next_check = True
        self.send_order(bad_client)
        self.assertEqual(bad_client.next_answer()[1::2], (b"fault", b""))
        self.send_order(dispatcher)
        self.assertEqual(dispatcher.next_answer()[1::2], (b"ok", b"result"))
        self.assertTrue(self.engine.commands.empty())

    def test_a_repeat_on_a_connection_over_the_limit_gets_the_result(self):
        # While other clients fill the table, `full` would let the request run again elsewhere (review/7).
        limits = RESOURCE_LIMITS
        sockets = limits.reserved_sockets + limits.max_call_links + limits.max_evicted_connections + 2
        self.start_node(limits={"cores": 1.0, "memory_mb": 192, "sockets": sockets})
        first = self.dispatcher()
        request_id = first.call("order", fields=",opkey=k1")
        self.assertEqual(self.engine.next_command()[:2], ("RUN", request_id))
        self.engine.send_done(request_id)
        self.assertEqual(first.next_answer()[1::2], (b"ok", b"result"))
        for dispatcher in (first, self.dispatcher()):
            request_id = dispatcher.call("pay")
            self.assertEqual(self.engine.next_command()[:2], ("RUN", request_id))
        late = self.dispatcher()
        late.call("order", fields=",opkey=k1")
        late.call("order", fields=",opkey=k2")
        answers = sorted(late.next_answer() for _ in range(2))
        self.assertEqual([answer[:2] for answer in answers], [(1, b"ok"), (2, b"full")])
        self.assertEqual(answers[0][3], b"result")

    def test_a_repeat_beyond_the_open_requests_of_a_connection_is_not_rejected(self):
        self.start_node()
        dispatcher = self.dispatcher()
        request_id = dispatcher.call("order", fields=",opkey=k1")
        self.assertEqual(self.engine.next_command()[:2], ("RUN", request_id))
        self.engine.send_done(request_id)
        self.assertEqual(dispatcher.next_answer()[1], b"ok")
        for _ in range(RESOURCE_LIMITS.max_open_requests):
            dispatcher.call("pay")
        dispatcher.call("order", fields=",opkey=k1")
        statuses = {}
        while dispatcher.tag not in statuses:
            tag, status, _, _ = dispatcher.next_answer()
            statuses[tag] = status
        self.assertEqual(statuses[dispatcher.tag], b"fault")

    def test_the_check_of_a_duplicate_is_sent_again_after_a_lost_link(self):
        self.start_node(settings=self.read_settings())
        dispatcher, other_dispatcher = self.dispatcher(), self.dispatcher()
        first_id = dispatcher.call("card", fields=",subject=s")
        self.assert_runs(first_id)
        self.engine.send_done(first_id)
        self.assertEqual(dispatcher.next_answer()[1], b"ok")
        self.engine.drop_link()
        self.wait_for_log("engine_link_lost")
        other_dispatcher.call("card", fields=",subject=s")
        self.wait_until_read(other_dispatcher)
        self.engine.accept_link()
        self.assertEqual(other_dispatcher.next_answer()[1::2], (b"ok", b"result"))

    def test_a_read_whose_original_grew_too_old_during_the_check_is_rejected(self):
        self.start_node(settings=self.read_settings(fresh=200 * MS))
        dispatcher, other_dispatcher = self.dispatcher(), self.dispatcher()
        first_id = dispatcher.call("card", fields=",subject=s")
        self.assert_runs(first_id)
        self.engine.drop_link()
        self.wait_for_log("engine_link_lost")
        other_dispatcher.call("card", fields=",subject=s")
        self.wait_until_read(other_dispatcher)
        self.engine.accept_link(answer=False)
        self.engine.send_line(f"HELLO steady {self.engine.age()}")
        self.engine.send_done(first_id)
        self.assertEqual(dispatcher.next_answer()[1], b"ok")
        time.sleep(0.3)  # the link opens when the first STAT is answered
        self.engine.answers_stat = True
        self.engine.start_reading()
        self.assertEqual(other_dispatcher.next_answer()[1::2], (b"full", b""))

    def test_a_read_gets_no_result_that_may_be_older_than_allowed_after_a_lost_link(self):
        # The run may have ended right after the loss, and its end is read only after the link is back.
        self.start_node(settings=self.read_settings(fresh=200 * MS))
        dispatcher, other_dispatcher = self.dispatcher(), self.dispatcher()
        first_id = dispatcher.call("card", fields=",subject=s")
        self.assert_runs(first_id)
        self.engine.drop_link()
        self.wait_for_log("engine_link_lost")
        time.sleep(0.4)
        other_dispatcher.call("card", fields=",subject=s")
        self.wait_until_read(other_dispatcher)
        self.engine.accept_link(answer=False)
        self.engine.send_line(f"HELLO steady {self.engine.age()}")
        self.engine.send_done(first_id)
        self.engine.answers_stat = True
        self.engine.start_reading()
        self.assertEqual(dispatcher.next_answer()[1], b"ok")
        self.assertEqual(other_dispatcher.next_answer()[1::2], (b"full", b""))

    def test_a_read_runs_where_no_command_can_check_its_id(self):
        # Its run shows its ID to the engine.
        self.start_node(settings=self.read_settings(halt="silent"))
        dispatcher, other_dispatcher = self.dispatcher(), self.dispatcher()
        self.assert_runs(dispatcher.call("card", fields=",subject=s"))
        self.assert_runs(other_dispatcher.call("card", fields=",subject=s"))


if __name__ == "__main__":
    unittest.main()
