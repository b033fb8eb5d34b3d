"""Stories of the whole program: started as `run` does, spoken to over sockets."""

import contextlib
import signal
import socket
import subprocess
import threading
import time
import unittest

from oakkeel.dispatch.resp import encode
from tests.support.node_process import TOLD, WAIT, NodeStory, until_refused

ANY_BYTES = bytes(range(256)) * 4 + b"\r\n*3\r\n$1\r\n"


class ExchangeStories(NodeStory):
    def test_an_exchange_is_run_and_its_result_comes_back_unchanged(self):
        self.begin()
        dispatcher = self.dispatcher()
        ident = dispatcher.call("quote", ANY_BYTES)
        self.assertEqual(self.engine.next(), ("RUN", ident, "quote", str(len(ANY_BYTES)), ANY_BYTES))
        self.engine.done(ident, body=ANY_BYTES * 3)
        self.assertEqual(dispatcher.answer(), (1, b"ok", b"signal=1.0000", ANY_BYTES * 3))

    def test_answers_may_overtake_each_other_and_a_failed_run_is_terminated(self):
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

    def test_a_call_that_fails_is_left_out_where_that_earns(self):
        dispatcher, ident, link = self.calling("quote")
        link.say(f"{ident} FAULT")
        self.assertEqual(self.engine.next()[:3], ("SKIP", ident, "1"))

    def test_a_refused_call_never_ran_and_a_broken_one_proves_nothing(self):
        # A mutating exchange shows the difference: the first is placed again, the second is terminated.
        dispatcher, ident, link = self.calling("pay")
        link.say(f"{ident} LATER")
        again = self.catalogue_link()  # never the same link: a second reply there would be taken for its own
        self.assertEqual(again.next()[:2], ("FETCH", ident))
        again.close()
        self.assertEqual(dispatcher.answer()[:2], (1, b"fault"))
        self.catalogue.setblocking(False)
        self.assertRaises(BlockingIOError, self.catalogue.accept)

    def test_with_no_catalogue_there_every_call_is_unreached(self):
        self.begin(catalog="127.0.0.1:1")
        dispatcher = self.dispatcher()
        ident = dispatcher.call("quote")
        self.engine.next()
        self.engine.need(ident)
        self.assertEqual(self.engine.next()[:2], ("SKIP", ident))

    def test_an_unreadable_catalogue_is_connected_to_anew(self):
        dispatcher, ident, link = self.calling("card")
        link.say("what is this")
        again = self.catalogue_link()
        self.assertEqual(again.next()[:2], ("FETCH", ident))

    def test_a_flood_is_denied_with_when_to_return(self):
        self.begin()
        dispatcher = self.dispatcher()
        for _ in range(30):
            dispatcher.call("card")
        tag, word, fields, _ = dispatcher.answer()
        self.assertEqual(word, b"full")
        self.assertIn(b"holdoff=", fields)
        self.assertIn(b"signal=", fields)

    def test_an_exchange_read_late_counts_its_age_from_its_stamp(self):
        self.begin()
        dispatcher = self.dispatcher()
        dispatcher.call("card", age=7990)
        self.assertEqual(dispatcher.answer()[1], b"full")
        self.assertTrue(self.engine.commands.empty())

    def test_what_can_no_longer_be_in_time_is_answered_and_its_run_stopped(self):
        dispatcher, ident = self.running("pay", timeout=1500)
        self.assertEqual(dispatcher.answer()[:2], (1, b"fault"))
        self.assertEqual(self.engine.next()[:2], ("HALT", ident))
        self.engine.done(ident, "interrupted", b"")
        self.engine.done(dispatcher.call() and self.engine.next()[1])
        self.assertEqual(dispatcher.answer()[:2], (2, b"ok"))

    def test_a_cancelled_exchange_is_stopped_and_its_result_dropped(self):
        dispatcher, ident = self.running()
        dispatcher.send("CANCEL", "1")
        dispatcher.send("CANCEL", "1")
        dispatcher.send("CANCEL", "77")
        self.assertEqual(self.engine.next()[:2], ("HALT", ident))
        self.engine.done(ident)
        dispatcher.call(tag=5)
        self.engine.done(self.engine.next()[1])
        self.assertEqual(dispatcher.answer()[:2], (5, b"ok"))

    def test_a_call_whose_exchange_is_cancelled_is_quit(self):
        dispatcher, ident, link = self.calling("card")
        start = time.monotonic()
        dispatcher.send("CANCEL", "1")
        self.assertEqual(link.next()[:2], ("QUIT", ident))
        self.assertLess(time.monotonic() - start, 4)  # not only when its time is up

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

    def test_a_command_to_run_that_was_not_carried_out_terminates_its_exchange(self):
        dispatcher, ident = self.running()
        self.engine.say(f"NO RUN {ident}")
        self.assertEqual(dispatcher.answer()[1], b"fault")

    def test_repeats_of_a_kept_exchange_take_its_one_result(self):
        dispatcher, ident = self.running("order", fields=",opkey=k1")
        dispatcher.call("order", fields=",opkey=k1,resent=1")
        self.engine.done(ident, body=b"once")
        self.assertEqual([dispatcher.answer()[1::2] for _ in range(2)], [(b"ok", b"once")] * 2)
        dispatcher.call("order", fields=",opkey=k1")
        self.assertEqual(dispatcher.answer()[1::2], (b"ok", b"once"))
        other = dispatcher.call("order", fields=",opkey=k2")
        self.assertEqual(self.engine.next()[:2], ("RUN", other))

    def test_a_repeat_of_what_went_unrun_runs(self):
        # Cancelled in the hold, or never started: its repeats were answered as terminated for a whole window.
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


class DispatcherStories(NodeStory):
    def test_a_health_check_tells_the_advice(self):
        self.begin()
        dispatcher = self.dispatcher()
        dispatcher.send("CHECK", "8", "")
        self.assertEqual(dispatcher.answer()[:3], (8, b"yes", b"signal=1.0000"))

    def test_before_its_engine_is_up_a_node_is_not_well_and_runs_nothing(self):
        self.begin(attach=False)
        dispatcher = self.dispatcher()
        dispatcher.send("CHECK", "8", "")
        self.assertEqual(dispatcher.answer()[:2], (8, b"no"))
        dispatcher.call(tag=9)
        self.assertEqual(dispatcher.answer()[:2], (9, b"full"))

    def test_a_node_whose_engine_has_just_booted_is_cold_since_then(self):
        self.begin(state="booting", age="2500.0")
        dispatcher, share = self.dispatcher(), 0.25
        while share == 0.25:  # until the first poll has read the clock
            dispatcher.tag += 1
            dispatcher.send("CHECK", str(dispatcher.tag), "")
            share = float(dispatcher.answer()[2].removeprefix(b"signal="))
        self.assertTrue(0.25 + 0.75 * 0.25 <= share < 0.9, share)

    def test_what_cant_be_read_is_answered_and_its_connection_lives(self):
        self.begin()
        dispatcher = self.dispatcher()
        dispatcher.call("unheard-of")
        dispatcher.call(fields=",need=much")
        dispatcher.send("CALL", "3", "quote", "ts=1", b"")
        dispatcher.send("WHAT", "4")
        self.assertEqual(
            [dispatcher.answer()[:2] for _ in range(4)],
            [(1, b"fault"), (2, b"fault"), (3, b"fault"), (4, b"fault")],
        )
        self.engine.done(dispatcher.call(tag=5) and self.engine.next()[1])
        self.assertEqual(dispatcher.answer()[:2], (5, b"ok"))

    def test_bytes_that_are_no_array_end_a_connection_once_all_on_it_is_answered(self):
        self.begin()
        for garbage in (
            b"GET / HTTP/1.1\r\n\r\n",
            b"*2\r\n$9999999\r\n",
            b"*2\r\n$-1\r\n",
            b"*3\r\n$4\r\nCALL\r\n$1\r\n0\r\n$0\r\n\r\n",
            b"*1\r\n$8000\r\n" + b"x" * 9000,
        ):
            dispatcher = self.dispatcher()
            ident = dispatcher.call()
            self.engine.next()
            dispatcher.socket.sendall(garbage)
            self.assertEqual(dispatcher.answer()[:2], (0, b"fault"))
            self.engine.done(ident)
            self.assertEqual(dispatcher.answer()[:2], (1, b"ok"))
            with contextlib.suppress(ConnectionResetError):
                self.assertEqual(dispatcher.next(), [])

    def test_dispatchers_that_take_no_answers_hold_up_nobody_and_take_little_memory(self):
        # A write of its own for each answer took 0.4 MB a stuck dispatcher, and 229 MB with 512 of them.
        self.begin()
        checks = [encode(b"CHECK", b"%d" % number, b"") for number in range(1, 30_000)]
        for _ in range(60):
            stuck = self.dispatcher()
            stuck.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            stuck.socket.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                for at in range(0, len(checks), 500):
                    part = b"".join(checks[at : at + 500])
                    if stuck.socket.send(part) < len(part):
                        break
        other = self.dispatcher()
        self.engine.done(other.call() and self.engine.next()[1])
        self.assertEqual(other.answer()[1], b"ok")
        with open(f"/proc/{self.process.pid}/statm") as file:
            self.assertLess(int(file.read().split()[1]) * 4096, 36 * 2**20)

    def test_an_idle_connection_is_told_that_no_more_shall_come_before_it_ends(self):
        dispatcher, ident = self.running()
        self.engine.done(ident)
        self.assertEqual(dispatcher.next()[:2], [b"1", b"ok"])
        self.assertEqual(dispatcher.next(), [b"0", b"last"])
        ident = dispatcher.call()  # one that crossed the word is still served
        self.engine.done(self.engine.next()[1])
        self.assertEqual(dispatcher.next()[:2], [b"2", b"ok"])
        self.assertEqual(dispatcher.next(), [])

    def test_connections_that_say_nothing_or_half_are_closed_and_make_room(self):
        # They were never idle, filled the table, and no dispatcher was accepted any more.
        self.begin(limits={"cores": 1.0, "memory_mb": 192, "sockets": 140})
        quiet = [self.dispatcher() for _ in range(70)]
        quiet[-1].socket.sendall(b"*5\r\n$4\r\nCA")
        self.engine.done(self.dispatcher().call() and self.engine.next()[1])  # the table is full
        start = time.monotonic()
        for each in quiet:
            with contextlib.suppress(ConnectionResetError):
                self.assertEqual(each.next(), [])
        self.assertLess(time.monotonic() - start, 3)

    def test_connections_held_for_good_make_room_for_those_that_work(self):
        self.begin(
            limits={"cores": 1.0, "memory_mb": 192, "sockets": 140}, settings=self.settings(idle=600 * 10**9)
        )
        for _ in range(60):
            held = self.dispatcher()
            self.engine.done(held.call() and self.engine.next()[1])
            self.assertEqual(held.answer()[1], b"ok")

    def test_an_id_that_is_open_is_not_taken_again_and_the_first_does_not_notice(self):
        # The second took the first one's place, and was answered with its result.
        dispatcher, ident = self.running()
        other = self.dispatcher()
        other.send("CALL", "1", "quote", f"req={ident},need=1", b"another body")
        self.assertEqual(other.answer()[:2], (1, b"fault"))
        self.engine.done(ident)
        self.assertEqual(dispatcher.answer()[:2], (1, b"ok"))
        self.assertTrue(self.engine.commands.empty())

    def test_ids_and_figures_that_cant_be_are_refused_and_change_nothing(self):
        self.begin()
        now = time.time_ns() // 10**6
        for fields in (
            "req=12345678 9abcdef,need=1",
            "req=1234567\r\nabcdef,need=1",
            "req=0123456789abcdeg,need=1",
            "need=1",
            "req={},need=0x10",
            "req={},need=nan",
            "req={},need=1e9",
            "req={},need=-1",
            "req={},need=1,ts=5",
            "req={},need=1,ts=inf",
            f"req={{}},need=1,ts={now * 2}",
            "req={},need=1,timeout=1e12",
            "req={},need=1,level=1.5",
            "req={},need=1,via=nan",
        ):
            dispatcher = self.dispatcher()
            dispatcher.send("CALL", "1", "quote", fields.format("0123456789abcdef"), b"")
            self.assertEqual(dispatcher.answer()[:2], (1, b"fault"), fields)
        dispatcher.send("CALL", "2", "quote", "req=0123456789abcdef,need=1", bytes(3000))
        self.assertEqual(dispatcher.answer()[:2], (2, b"fault"))
        dispatcher.send("CHECK", "3", "")
        self.assertEqual(dispatcher.answer()[:2], (3, b"yes"))
        self.assertTrue(self.engine.commands.empty())

    def test_one_that_goes_on_with_what_nobody_can_use_is_read_no_further(self):
        self.begin()
        for useless in ("unheard-of", "quote"):
            dispatcher = self.dispatcher()
            for tag in range(1, 9):
                ident = dispatcher.call(useless, tag=tag)
                if useless == "quote":
                    self.assertEqual(self.engine.next()[:2], ("RUN", ident))
                    self.engine.say(f"NO RUN {ident}")
                self.assertEqual(dispatcher.answer()[:2], (tag, b"fault"))
            with contextlib.suppress(ConnectionResetError, BrokenPipeError):
                dispatcher.call(tag=9)
                while dispatcher.next():
                    pass

    def test_more_open_exchanges_than_may_be_are_denied_and_the_rest_is_not_read(self):
        self.begin()
        dispatcher = self.dispatcher()
        for tag in range(1, 200):
            dispatcher.call(tag=tag)
        said = []
        with contextlib.suppress(ConnectionResetError):
            while words := dispatcher.next():
                said.append(words)
        self.assertIn([b"0", b"fault"], [words[:2] for words in said])
        self.assertNotIn(b"199", [words[0] for words in said])

    def test_one_that_always_has_more_to_say_does_not_hold_up_the_others(self):
        self.begin()
        flood, stop = self.dispatcher(), threading.Event()

        def pour():
            with contextlib.suppress(OSError):
                for first in range(1, 10**9, 500):
                    if stop.is_set():
                        return
                    flood.socket.sendall(
                        b"".join(encode(b"CANCEL", b"%d" % tag) for tag in range(first, first + 500))
                    )

        pouring = threading.Thread(target=pour)
        pouring.start()
        try:
            other = self.dispatcher()
            start = time.monotonic()
            for _ in range(20):
                self.engine.done(other.call() and self.engine.next()[1])
                self.assertEqual(other.answer()[1], b"ok")
            self.assertLess(time.monotonic() - start, 5)
        finally:
            stop.set()
            flood.socket.shutdown(socket.SHUT_RDWR)
            pouring.join()


class ReloadStories(NodeStory):
    def test_a_new_configuration_is_gone_over_to_with_nothing_lost(self):
        # SIGHUP ended the node.
        dispatcher, ident, link = self.calling("card")
        before = self.report().split()
        old, _, _ = self.replace_parties()
        self.reload(self.told())
        self.assertEqual(self.engine.attach(), 1)  # the last notice that was read
        self.assertEqual(old.next(), ("END",))
        self.assertEqual(self.report().split(), before)
        link.say(f"{ident} DATA 3", b"old")  # a call on its way ends where it was placed
        self.assertEqual(self.engine.next()[:2], ("FEED", ident))
        again = dispatcher.call("card")
        self.assertEqual(self.engine.next()[:2], ("RUN", again))
        self.engine.number = 1
        self.engine.need(again)
        self.assertEqual(self.catalogue_link().next()[:2], ("FETCH", again))
        self.engine.done(ident)
        self.assertEqual(dispatcher.answer()[:2], (1, b"ok"))

    def test_a_configuration_that_cant_be_used_changes_nothing(self):
        self.begin()
        for told in ("{", "[]", self.told(engine="nowhere"), self.told(settings={**TOLD, "classes": []})):
            self.reload(told)
            self.log("configuration_rejected")
        self.engine.done(self.dispatcher().call() and self.engine.next()[1])

    def test_a_hangup_before_the_engine_is_up_and_in_a_drain_ends_nothing(self):
        self.begin(attach=False)
        self.replace_parties()
        self.reload(self.told())
        self.engine.attach()
        self.log("engine_ready")
        dispatcher = self.dispatcher()
        ident = dispatcher.call()
        self.assertEqual(self.engine.next()[:2], ("RUN", ident))
        self.process.send_signal(signal.SIGTERM)
        self.log("drain_started")
        self.replace_parties()
        self.reload(self.told())
        self.engine.attach()
        self.engine.done(ident)
        self.assertEqual(dispatcher.answer()[:2], (1, b"ok"))
        dispatcher.close()
        self.assertEqual(self.process.wait(WAIT), 0)


class EngineLinkStories(NodeStory):
    def test_a_lost_link_is_taken_up_with_nothing_lost_or_run_again(self):
        self.begin()
        dispatcher = self.dispatcher()
        ended, running = dispatcher.call(), dispatcher.call()
        self.assertEqual({self.engine.next()[1], self.engine.next()[1]}, {ended, running})
        self.engine.need(running)
        link = self.catalogue_link()
        self.assertEqual(link.next()[:2], ("FETCH", running))
        self.engine.lose()
        self.assertEqual(self.engine.attach(answer=False), 1)
        # What was missed comes before the answer to the barrier; only then is anything sent again.
        self.engine.say(f"HELLO steady {self.engine.age()}")
        self.engine.say(f"NEED 1 {running} 4", b"call")
        self.engine.done(ended)
        barrier = self.engine.stream.readline().split()
        self.assertEqual(barrier[0], b"STAT")
        self.assertEqual(dispatcher.answer()[:2], (1, b"ok"))
        self.engine.say(f"STATS {barrier[1].decode()} 0.1 0.0 0.1 1.0")
        third = dispatcher.call()
        while (line := self.engine.stream.readline().split())[0] == b"STAT":
            pass
        self.assertEqual(line[:2], [b"RUN", third.encode()])
        self.engine.stream.read(int(line[3]) + 2)
        link.say(f"{running} DATA 5", b"reply")
        while (line := self.engine.stream.readline().split())[0] == b"STAT":
            pass
        self.assertEqual(line[:2], [b"FEED", running.encode()])
        self.engine.done(running)
        self.assertEqual(dispatcher.answer()[:2], (2, b"ok"))

    def test_a_command_that_the_engine_never_read_is_sent_again(self):
        self.begin()
        dispatcher = self.dispatcher()
        read, unread = dispatcher.call(), dispatcher.call("pay")
        self.engine.next()
        self.engine.next()
        self.engine.lose()
        self.log("engine_link_lost")
        late = dispatcher.call()
        self.engine.attach()
        # The link broke before the gauges proved that RUN was read. A repeatable one is sent again, to no
        # effect where it runs; a mutating one may run already and is not.
        self.assertEqual([self.engine.next()[:2] for _ in range(2)], [("RUN", read), ("RUN", late)])
        self.engine.done(unread)
        self.assertEqual(dispatcher.answer()[:2], (2, b"ok"))

    def test_a_run_that_may_be_lost_and_may_not_run_twice_is_settled_after_its_answer(self):
        # It was counted as running for ever: four of them, and a node of four cores ran nothing more.
        self.begin()
        dispatcher = self.dispatcher()
        idents = [dispatcher.call("pay", timeout=2500) for _ in range(4)]
        for _ in idents:
            self.engine.next()
        self.engine.lose()
        self.engine.attach()
        self.assertEqual([dispatcher.answer()[1] for _ in idents], [b"fault"] * 4)
        asked = [self.engine.next()[:2] for _ in range(8)]
        self.assertEqual({each for each in asked if each[0] == "HALT"}, {("HALT", ident) for ident in idents})
        for verb, ident in asked:
            if verb == "RUN":
                self.engine.done(ident, "nothing", b"")
        dispatcher = self.dispatcher()
        self.engine.done(dispatcher.call() and self.engine.next()[1])
        self.assertEqual(dispatcher.answer()[1], b"ok")

    def test_gauges_that_cant_be_make_the_link_anew(self):
        self.begin()
        self.engine.gauges = "nan 0.0 0.1 -3"
        self.log('engine_stream_malformed error="gauges')
        self.engine.gauges = "0.1 0.0 0.1 1.0"
        self.engine.attach()
        dispatcher = self.dispatcher()
        self.engine.done(dispatcher.call() and self.engine.next()[1])
        self.assertEqual(dispatcher.answer()[:2], (1, b"ok"))

    def test_a_line_of_the_engine_that_cant_be_read_makes_the_link_anew(self):
        dispatcher, ident = self.running("pay")
        self.engine.say("DONE what is this")
        self.engine.attach()
        self.engine.done(ident)
        self.assertEqual(dispatcher.answer()[:2], (1, b"ok"))


class EndStories(NodeStory):
    def test_a_node_whose_log_nobody_takes_lives(self):
        self.begin()
        self.process.stderr.close()
        dispatcher = self.dispatcher()
        for tag in range(1, 4):
            dispatcher.call("unheard-of", tag=tag)
            self.assertEqual(dispatcher.answer()[:2], (tag, b"fault"))
        self.engine.done(dispatcher.call() and self.engine.next()[1])
        self.assertEqual(dispatcher.answer()[:2], (4, b"ok"))

    def test_a_drain_answers_all_runs_nothing_after_the_grace_and_ends(self):
        self.begin(settings=self.settings(readiness=False))
        dispatcher, late = self.dispatcher(), self.dispatcher()
        ident = dispatcher.call()
        self.engine.next()
        self.assertEqual(self.report(), "PULSE n3 open")
        self.process.send_signal(signal.SIGTERM)
        self.log("drain_started")
        self.process.send_signal(signal.SIGTERM)
        while self.report() != "PULSE n3 closed":
            pass
        self.assertEqual(dispatcher.next(), [b"0", b"last"])
        within = late.call()  # read in the grace: it runs
        self.assertEqual(self.engine.next()[:2], ("RUN", within))
        until_refused(self.port)  # the grace of 0.3 s ends: the listening socket closes
        late.call(tag=2)
        self.assertEqual(late.answer()[:2], (2, b"full"))
        self.engine.done(within)
        self.engine.done(ident)
        self.assertEqual(late.answer()[:2], (1, b"ok"))
        self.assertEqual(dispatcher.answer()[:2], (1, b"ok"))
        dispatcher.close()
        late.close()
        self.assertEqual(self.process.wait(WAIT), 0)
        self.assertNotIn("drain_started", self.process.stderr.read())

    def test_what_still_runs_is_answered_before_the_stop(self):
        self.begin(stop_ms=700)
        dispatcher = self.dispatcher()
        dispatcher.call()
        self.engine.next()
        start = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(dispatcher.answer()[:2], (1, b"full"))
        self.assertLess(time.monotonic() - start, 4)  # far less than the SLO time

    def test_a_node_told_to_leave_before_its_engine_is_up_ends_at_once(self):
        self.begin(attach=False)
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.process.wait(WAIT), 0)

    def test_a_killed_node_starts_again_under_its_address(self):
        self.begin()
        self.engine.done(self.dispatcher().call() and self.engine.next()[1])
        self.process.kill()
        self.process.wait()
        self.process.stderr.close()
        self.begin(listen=f"127.0.0.1:{self.port}", state="booting", age="1.0")
        dispatcher = self.dispatcher()
        self.engine.number = 0
        self.engine.done(dispatcher.call() and self.engine.next()[1])
        self.assertEqual(dispatcher.answer()[1], b"ok")

    def test_a_bad_start_is_one_plain_line_and_no_traceback(self):
        taken = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(taken.close)
        for told in (
            None,
            "not json",
            "[]",
            self.told(engine="nowhere"),
            self.told(seed="green"),
            self.told(limits={"sockets": "many", "memory_mb": 1}),
            self.told(settings={**TOLD, "classes": []}),
            self.told(settings={**TOLD, "obligations": {}}),
            self.told(listen=f"127.0.0.1:{taken.getsockname()[1]}"),
        ):
            ended = self.launch(told)
            _, said = ended.communicate(timeout=WAIT)
            self.assertEqual((ended.returncode, said.count("\n")), (2, 1), said)
            self.assertTrue(said.startswith("oakkeel"), said)

    def test_an_unreadable_configuration_is_named(self):
        import sys

        ended = subprocess.run(
            [sys.executable, "-m", "oakkeel"],
            env={"PROXY_CONFIG": "/nowhere/at/all"},
            capture_output=True,
            text=True,
            timeout=WAIT,
        )
        self.assertEqual((ended.returncode, ended.stderr.count("\n")), (2, 1))


if __name__ == "__main__":
    unittest.main()
