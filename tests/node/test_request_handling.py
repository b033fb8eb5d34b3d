"""Runs, rejections and answers of requests, over sockets."""

import time
import unittest

from tests.support.node_process import NodeProcessTest

ANY_BYTES = bytes(range(256)) * 4 + b"\r\n*3\r\n$1\r\n"


class RequestHandlingTest(NodeProcessTest):
    def test_a_request_is_run_and_its_result_comes_back_unchanged(self):
        self.start_node()
        dispatcher = self.dispatcher()
        request_id = dispatcher.call("quote", ANY_BYTES)
        self.assertEqual(
            self.engine.next_command(), ("RUN", request_id, "quote", str(len(ANY_BYTES)), ANY_BYTES)
        )
        self.engine.send_done(request_id, body=ANY_BYTES * 3)
        self.assertEqual(dispatcher.next_answer(), (1, b"ok", b"signal=1.0000", ANY_BYTES * 3))

    def test_answers_may_be_reordered_and_a_failed_run_fails_its_request(self):
        self.start_node()
        dispatcher = self.dispatcher()
        first_id, second_id = dispatcher.call(), dispatcher.call("card", b"")
        self.assertEqual(
            {self.engine.next_command()[1], self.engine.next_command()[1]}, {first_id, second_id}
        )
        self.engine.send_line("NOTE 1 " + "a remark of no meaning " * 20)
        self.engine.notice_number = 1
        self.engine.send_done(second_id, "failure", b"")
        self.assertEqual(dispatcher.next_answer()[:2], (2, b"fault"))
        self.engine.send_done(first_id)
        self.assertEqual(dispatcher.next_answer()[:2], (1, b"ok"))

    def test_the_reply_of_a_downstream_call_is_passed_to_its_run(self):
        dispatcher, request_id = self.start_request("card")
        self.engine.send_need(request_id, ANY_BYTES)
        link = self.catalogue_link()
        verb, called_id, timeout_ms, _, body = link.next_command()
        self.assertEqual((verb, called_id, body), ("FETCH", request_id, ANY_BYTES))
        self.assertTrue(0 < int(timeout_ms) <= 8000)
        link.send_line(f"{request_id} DATA {len(ANY_BYTES)}", ANY_BYTES)
        self.assertEqual(self.engine.next_command(), ("FEED", request_id, str(len(ANY_BYTES)), ANY_BYTES))
        self.engine.send_done(request_id)
        self.assertEqual(dispatcher.next_answer()[:2], (1, b"ok"))

    def test_a_failed_call_is_skipped_if_a_degraded_answer_has_weight(self):
        _dispatcher, request_id, link = self.start_downstream_call("quote")
        link.send_line(f"{request_id} FAULT")
        self.assertEqual(self.engine.next_command()[:3], ("SKIP", request_id, "1"))

    def test_a_refused_call_is_retried_and_a_lost_one_is_not(self):
        # A non-idempotent call shows the difference: a refused call is retried, a lost call fails.
        dispatcher, request_id, link = self.start_downstream_call("pay")
        link.send_line(f"{request_id} LATER")
        # The retry attempt needs a new link: on the first link, a duplicate reply of the first attempt would
        # be taken for the reply of the retry attempt.
        new_link = self.catalogue_link()
        self.assertEqual(new_link.next_command()[:2], ("FETCH", request_id))
        new_link.close()
        self.assertEqual(dispatcher.next_answer()[:2], (1, b"fault"))
        self.catalogue.setblocking(False)
        self.assertRaises(BlockingIOError, self.catalogue.accept)

    def test_without_a_catalogue_every_call_fails_to_connect(self):
        self.start_node(catalog="127.0.0.1:1")
        dispatcher = self.dispatcher()
        request_id = dispatcher.call("quote")
        self.engine.next_command()
        self.engine.send_need(request_id)
        self.assertEqual(self.engine.next_command()[:2], ("SKIP", request_id))

    def test_the_node_reconnects_to_a_catalogue_after_a_malformed_reply(self):
        _dispatcher, request_id, link = self.start_downstream_call("card")
        link.send_line("what is this")
        new_link = self.catalogue_link()
        self.assertEqual(new_link.next_command()[:2], ("FETCH", request_id))

    def test_a_flood_is_rejected_with_retry_after(self):
        self.start_node()
        dispatcher = self.dispatcher()
        for _ in range(30):
            dispatcher.call("card")
        _tag, status, fields, _ = dispatcher.next_answer()
        self.assertEqual(status, b"full")
        self.assertIn(b"holdoff=", fields)
        self.assertIn(b"signal=", fields)

    def test_a_request_read_late_counts_its_age_from_its_timestamp(self):
        self.start_node()
        dispatcher = self.dispatcher()
        dispatcher.call("card", age=7990)
        self.assertEqual(dispatcher.next_answer()[1], b"full")
        self.assertTrue(self.engine.commands.empty())

    def test_a_request_past_its_deadline_is_answered_and_its_run_stopped(self):
        dispatcher, request_id = self.start_request("pay", timeout=1500)
        self.assertEqual(dispatcher.next_answer()[:2], (1, b"fault"))
        self.assertEqual(self.engine.next_command()[:2], ("HALT", request_id))
        self.engine.send_done(request_id, "interrupted", b"")
        self.engine.send_done(dispatcher.call() and self.engine.next_command()[1])
        self.assertEqual(dispatcher.next_answer()[:2], (2, b"ok"))

    def test_a_cancelled_request_is_stopped_and_its_result_dropped(self):
        dispatcher, request_id = self.start_request()
        dispatcher.send("CANCEL", "1")
        dispatcher.send("CANCEL", "1")
        dispatcher.send("CANCEL", "77")
        self.assertEqual(self.engine.next_command()[:2], ("HALT", request_id))
        self.engine.send_done(request_id)
        dispatcher.call(tag=5)
        self.engine.send_done(self.engine.next_command()[1])
        self.assertEqual(dispatcher.next_answer()[:2], (5, b"ok"))

    def test_the_call_of_a_cancelled_request_is_cancelled_at_the_catalogue(self):
        dispatcher, request_id, link = self.start_downstream_call("card")
        start = time.monotonic()
        dispatcher.send("CANCEL", "1")
        self.assertEqual(link.next_command()[:2], ("QUIT", request_id))
        self.assertLess(time.monotonic() - start, 4)  # before the timeout of the call

    def test_runs_that_were_never_started_leave_the_cores_free(self):
        # After a cancel that crosses the command to run, the engine answers `nothing`. The admission
        # controller ignored this outcome, so that it counted each such request as running forever.
        self.start_node()
        dispatcher = self.dispatcher()
        for _ in range(12):
            request_id = dispatcher.call()
            self.assertEqual(self.engine.next_command()[:2], ("RUN", request_id))
            self.engine.send_done(request_id, "nothing", b"")
            self.assertEqual(dispatcher.next_answer()[1], b"fault")

    def test_stopped_runs_that_the_engine_does_not_know_leave_the_cores_free(self):
        self.start_node()
        dispatcher = self.dispatcher()
        for tag in range(1, 13):
            request_id = dispatcher.call(tag=tag)
            self.assertEqual(self.engine.next_command()[:2], ("RUN", request_id))
            dispatcher.send("CANCEL", str(tag))
            self.assertEqual(self.engine.next_command()[:2], ("HALT", request_id))
            self.engine.send_line(f"NO HALT {request_id}")

    def test_a_run_command_that_the_engine_rejects_fails_its_request(self):
        dispatcher, request_id = self.start_request()
        self.engine.send_line(f"NO RUN {request_id}")
        self.assertEqual(dispatcher.next_answer()[1], b"fault")

    def test_duplicates_of_a_cached_request_get_its_result(self):
        self.sends_duplicates = True
        dispatcher, request_id = self.start_request("order", fields=",opkey=k1")
        dispatcher.call("order", fields=",opkey=k1,resent=1")
        self.engine.send_done(request_id, body=b"once")
        self.assertEqual([dispatcher.next_answer()[1::2] for _ in range(2)], [(b"ok", b"once")] * 2)
        dispatcher.call("order", fields=",opkey=k1")
        self.assertEqual(dispatcher.next_answer()[1::2], (b"ok", b"once"))
        other_id = dispatcher.call("order", fields=",opkey=k2")
        self.assertEqual(self.engine.next_command()[:2], ("RUN", other_id))

    def test_a_duplicate_of_a_request_that_never_ran_runs(self):
        # Retries of a request that was cancelled in the queue or never started must not fail in the window.
        self.start_node()
        dispatcher = self.dispatcher()
        running_ids = [dispatcher.call() and self.engine.next_command()[1] for _ in range(4)]
        dispatcher.call("order", fields=",opkey=k1")
        dispatcher.send("CANCEL", "5")
        second_id = dispatcher.call("order", fields=",opkey=k1,resent=1")
        self.engine.send_done(running_ids[0])
        self.assertEqual(self.engine.next_command()[:2], ("RUN", second_id))
        self.engine.send_done(second_id, "nothing", b"")
        self.assertEqual([dispatcher.next_answer()[0] for _ in range(2)], [1, 6])
        third_id = dispatcher.call("order", fields=",opkey=k1,resent=1")
        self.assertEqual(self.engine.next_command()[:2], ("RUN", third_id))


if __name__ == "__main__":
    unittest.main()
