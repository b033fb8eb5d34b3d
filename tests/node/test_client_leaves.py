"""Clients that leave: what they have sent does not run afterwards, and no ID of theirs runs twice."""

import signal
import socket
import struct
import time

from tests.support.node_process import NodeProcessTest

REQUESTS = 30


class ClientLeavesTest(NodeProcessTest):
    def leave(self, dispatcher, reset: bool = False) -> None:
        """Close a dispatcher's connection, with a reset if it has answers unread or `reset` is set."""
        if reset:
            dispatcher.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        dispatcher.close()

    def runs_until_marker(self) -> list[str]:
        """Return the IDs of the runs that the engine starts before that of a last request."""
        last = self.dispatcher()
        marker = last.call("quote")
        run_ids = []
        while (command := self.engine.next_command())[:2] != ("RUN", marker):
            if command[0] == "RUN":
                run_ids.append(command[1])
        self.engine.send_done(marker)
        self.assertEqual(last.next_answer()[1], b"ok")
        return run_ids

    def send_while_node_stands_still(self, reset: bool) -> list[str]:
        """Let a client send requests and leave before the node reads any; return the runs."""
        self.start_node()
        leaving = self.dispatcher()
        leaving.send("CHECK", "99", "")
        self.assertEqual(leaving.next_answer()[1], b"yes")
        self.process.send_signal(signal.SIGSTOP)
        for _ in range(REQUESTS):
            leaving.call("pay")
        self.leave(leaving, reset)
        time.sleep(0.1)
        self.process.send_signal(signal.SIGCONT)
        return self.runs_until_marker()

    def test_requests_that_are_unread_when_their_client_closes_do_not_run(self):
        # The client gets no answer, and sends them again elsewhere: each would run twice.
        self.assertEqual(self.send_while_node_stands_still(reset=False), [])

    def test_requests_that_are_unread_when_their_client_resets_do_not_run(self):
        self.assertEqual(self.send_while_node_stands_still(reset=True), [])

    def test_a_client_that_only_ends_its_side_gets_all_its_answers(self):
        self.start_node()
        dispatcher = self.dispatcher()
        self.process.send_signal(signal.SIGSTOP)
        request_ids = [dispatcher.call("quote") for _ in range(8)]
        dispatcher.socket.shutdown(socket.SHUT_WR)
        time.sleep(0.1)
        self.process.send_signal(signal.SIGCONT)
        for _ in request_ids[:4]:
            self.engine.send_done(self.engine.next_command()[1])
        for _ in request_ids[4:]:
            self.engine.send_done(self.engine.next_command()[1])
        self.assertEqual([dispatcher.next_answer()[1] for _ in request_ids], [b"ok"] * 8)

    def test_an_id_that_may_run_only_once_does_not_run_again_after_its_client_has_left(self):
        self.start_node()
        leaving = self.dispatcher()
        request_id = leaving.call("pay")
        self.assertEqual(self.engine.next_command()[:2], ("RUN", request_id))
        self.leave(leaving, reset=True)
        self.assertEqual(self.engine.next_command()[:2], ("HALT", request_id))
        self.engine.send_done(request_id, "interrupted", b"")
        again = self.dispatcher()
        self.wait_until_over(again)
        again.call("pay", fields=f",req={request_id}")
        self.assertEqual(again.next_answer()[1], b"fault")
        self.assertEqual(self.runs_until_marker(), [])

    def test_an_id_that_has_run_and_was_answered_does_not_run_again(self):
        self.start_node()
        dispatcher = self.dispatcher()
        request_id = dispatcher.call("pay")
        self.assertEqual(self.engine.next_command()[:2], ("RUN", request_id))
        self.engine.send_done(request_id)
        self.assertEqual(dispatcher.next_answer()[1], b"ok")
        dispatcher.call("pay", fields=f",req={request_id}")
        self.assertEqual(dispatcher.next_answer()[1], b"fault")
        self.assertEqual(self.runs_until_marker(), [])

    def wait_until_over(self, dispatcher) -> None:
        """Wait until the node has read all notices of the engine: a later request has its answer."""
        request_id = dispatcher.call("quote")
        self.assertEqual(self.engine.next_command()[:2], ("RUN", request_id))
        self.engine.send_done(request_id)
        self.assertEqual(dispatcher.next_answer()[1], b"ok")
