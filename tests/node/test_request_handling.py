"""Runs, rejections and answers of requests, over sockets."""

import time
import unittest

from tests.support.node_process import NodeProcessTest

ANY_BYTES = bytes(range(256)) * 4 + b"\r\n*3\r\n$1\r\n"


class RequestHandlingTest(NodeProcessTest):
    def test_a_request_is_run_and_its_result_comes_back_unchanged(self):
        self.begin()
        dispatcher = self.dispatcher()
        ident = dispatcher.call("quote", ANY_BYTES)
        self.assertEqual(self.engine.next(), ("RUN", ident, "quote", str(len(ANY_BYTES)), ANY_BYTES))
        self.engine.done(ident, body=ANY_BYTES * 3)
        self.assertEqual(dispatcher.answer(), (1, b"ok", b"signal=1.0000", ANY_BYTES * 3))

    def test_answers_may_overtake_each_other_and_a_failed_run_is_failed(self):
        self.begin()
        dispatcher = self.dispatcher()
        first, second = dispatcher.call(), dispatcher.call("card", b"")
        self.assertEqual({self.engine.next()[1], self.engine.next()[1]}, {first, second})
        self.engine.say("NOTE 1 " + "a remark of no meaning " * 20)
        self.engine.number = 1
        self.engine.done(second, "failure", b"")
        self.assertEqual(dispatcher.answer()[:2], (2, b"fault"))
        self.engine.done(first)
        self.assertEqual(dispatcher.answer()[:2], (1, b"ok"))

    def test_a_run_that_needs_a_call_is_fed_its_reply(self):
        dispatcher, ident = self.running("card")
        self.engine.need(ident, ANY_BYTES)
        link = self.catalogue_link()
        verb, told, wait, _, body = link.next()
        self.assertEqual((verb, told, body), ("FETCH", ident, ANY_BYTES))
        self.assertTrue(0 < int(wait) <= 8000)
        link.say(f"{ident} DATA {len(ANY_BYTES)}", ANY_BYTES)
        self.assertEqual(self.engine.next(), ("FEED", ident, str(len(ANY_BYTES)), ANY_BYTES))
        self.engine.done(ident)
        self.assertEqual(dispatcher.answer()[:2], (1, b"ok"))

    def test_a_failed_call_is_skipped_if_a_degraded_answer_has_weight(self):
        _dispatcher, ident, link = self.calling("quote")
        link.say(f"{ident} FAULT")
        self.assertEqual(self.engine.next()[:3], ("SKIP", ident, "1"))

    def test_a_refused_call_is_retried_and_a_lost_one_is_not(self):
        # A non-idempotent call shows the difference: the first is retried, the second fails its request.
        dispatcher, ident, link = self.calling("pay")
        link.say(f"{ident} LATER")
        again = self.catalogue_link()  # a duplicate reply on the same link would be taken for its own
        self.assertEqual(again.next()[:2], ("FETCH", ident))
        again.close()
        self.assertEqual(dispatcher.answer()[:2], (1, b"fault"))
        self.catalogue.setblocking(False)
        self.assertRaises(BlockingIOError, self.catalogue.accept)

    def test_without_a_catalogue_every_call_fails_to_connect(self):
        self.begin(catalog="127.0.0.1:1")
        dispatcher = self.dispatcher()
        ident = dispatcher.call("quote")
        self.engine.next()
        self.engine.need(ident)
        self.assertEqual(self.engine.next()[:2], ("SKIP", ident))

    def test_an_unreadable_catalogue_is_connected_again(self):
        _dispatcher, ident, link = self.calling("card")
        link.say("what is this")
        again = self.catalogue_link()
        self.assertEqual(again.next()[:2], ("FETCH", ident))

    def test_a_flood_is_rejected_with_retry_after(self):
        self.begin()
        dispatcher = self.dispatcher()
        for _ in range(30):
            dispatcher.call("card")
        _tag, word, fields, _ = dispatcher.answer()
        self.assertEqual(word, b"full")
        self.assertIn(b"holdoff=", fields)
        self.assertIn(b"signal=", fields)

    def test_a_request_read_late_counts_its_age_from_its_timestamp(self):
        self.begin()
        dispatcher = self.dispatcher()
        dispatcher.call("card", age=7990)
        self.assertEqual(dispatcher.answer()[1], b"full")
        self.assertTrue(self.engine.commands.empty())

    def test_a_request_past_its_deadline_is_answered_and_its_run_stopped(self):
        dispatcher, ident = self.running("pay", timeout=1500)
        self.assertEqual(dispatcher.answer()[:2], (1, b"fault"))
        self.assertEqual(self.engine.next()[:2], ("HALT", ident))
        self.engine.done(ident, "interrupted", b"")
        self.engine.done(dispatcher.call() and self.engine.next()[1])
        self.assertEqual(dispatcher.answer()[:2], (2, b"ok"))

    def test_a_cancelled_request_is_stopped_and_its_result_dropped(self):
        dispatcher, ident = self.running()
        dispatcher.send("CANCEL", "1")
        dispatcher.send("CANCEL", "1")
        dispatcher.send("CANCEL", "77")
        self.assertEqual(self.engine.next()[:2], ("HALT", ident))
        self.engine.done(ident)
        dispatcher.call(tag=5)
        self.engine.done(self.engine.next()[1])
        self.assertEqual(dispatcher.answer()[:2], (5, b"ok"))

    def test_a_call_whose_request_is_cancelled_is_quit(self):
        dispatcher, ident, link = self.calling("card")
        start = time.monotonic()
        dispatcher.send("CANCEL", "1")
        self.assertEqual(link.next()[:2], ("QUIT", ident))
        self.assertLess(time.monotonic() - start, 4)  # before its timeout

    def test_runs_that_were_never_started_leave_the_cores_free(self):
        # A cancel that crossed the command to run: the engine answers `nothing`, which the decisions
        # ignored, so that each such exchange was counted as running for ever.
        self.begin()
        dispatcher = self.dispatcher()
        for _ in range(12):
            ident = dispatcher.call()
            self.assertEqual(self.engine.next()[:2], ("RUN", ident))
            self.engine.done(ident, "nothing", b"")
            self.assertEqual(dispatcher.answer()[1], b"fault")

    def test_stopped_runs_that_the_engine_does_not_know_leave_the_cores_free(self):
        self.begin()
        dispatcher = self.dispatcher()
        for tag in range(1, 13):
            ident = dispatcher.call(tag=tag)
            self.assertEqual(self.engine.next()[:2], ("RUN", ident))
            dispatcher.send("CANCEL", str(tag))
            self.assertEqual(self.engine.next()[:2], ("HALT", ident))
            self.engine.say(f"NO HALT {ident}")

    def test_a_command_to_run_that_was_not_carried_out_fails_its_request(self):
        dispatcher, ident = self.running()
        self.engine.say(f"NO RUN {ident}")
        self.assertEqual(dispatcher.answer()[1], b"fault")

    def test_duplicates_of_a_cached_request_take_its_one_result(self):
        dispatcher, ident = self.running("order", fields=",opkey=k1")
        dispatcher.call("order", fields=",opkey=k1,resent=1")
        self.engine.done(ident, body=b"once")
        self.assertEqual([dispatcher.answer()[1::2] for _ in range(2)], [(b"ok", b"once")] * 2)
        dispatcher.call("order", fields=",opkey=k1")
        self.assertEqual(dispatcher.answer()[1::2], (b"ok", b"once"))
        other = dispatcher.call("order", fields=",opkey=k2")
        self.assertEqual(self.engine.next()[:2], ("RUN", other))

    def test_a_duplicate_of_a_request_that_never_ran_runs(self):
        # Cancelled in the queue or never started: its retries must not fail for the window.
        self.begin()
        dispatcher = self.dispatcher()
        running = [dispatcher.call() and self.engine.next()[1] for _ in range(4)]
        dispatcher.call("order", fields=",opkey=k1")
        dispatcher.send("CANCEL", "5")
        again = dispatcher.call("order", fields=",opkey=k1,resent=1")
        self.engine.done(running[0])
        self.assertEqual(self.engine.next()[:2], ("RUN", again))
        self.engine.done(again, "nothing", b"")
        self.assertEqual([dispatcher.answer()[0] for _ in range(2)], [1, 6])
        third = dispatcher.call("order", fields=",opkey=k1,resent=1")
        self.assertEqual(self.engine.next()[:2], ("RUN", third))


if __name__ == "__main__":
    unittest.main()
