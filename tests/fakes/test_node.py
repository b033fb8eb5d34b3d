"""The fake node keeps serving when connections of its agent break."""

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

REQUEST = b'{"type":"report","tag":1}\n'
TIMEOUT_S = 20


class FakeNodeTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = os.path.join(folder, "n1.sock")
        variables = {
            **os.environ,
            "OAKKEEL_CONTROL": self.path,
            "PROXY_NAME": "n1",
            "OAKKEEL_GENERATION": "1",
        }
        self.process = subprocess.Popen([sys.executable, "-m", "oakkeel.fakes.node"], env=variables)
        self.addCleanup(self.process.wait, TIMEOUT_S)
        self.addCleanup(self.process.kill)

    def connect(self) -> socket.socket:
        connection = socket.socket(socket.AF_UNIX)
        connection.settimeout(TIMEOUT_S)
        end = time.monotonic() + TIMEOUT_S
        while True:
            try:
                connection.connect(self.path)
                return connection
            except (FileNotFoundError, ConnectionRefusedError, BlockingIOError):
                if time.monotonic() > end:
                    raise
                time.sleep(0.02)

    def assert_serves(self) -> None:
        with self.connect() as connection:
            connection.sendall(REQUEST)
            self.assertIn(b'"state"', connection.recv(4096))
        self.assertIsNone(self.process.poll())

    def test_keeps_serving_after_a_client_closes_with_an_unread_answer(self):
        connection = self.connect()
        connection.sendall(REQUEST)
        self.assertTrue(connection.recv(1, socket.MSG_PEEK))
        connection.close()  # resets the connection
        self.assert_serves()

    def test_keeps_serving_after_clients_close_before_their_answers(self):
        for _ in range(20):
            connection = self.connect()
            connection.sendall(REQUEST)
            connection.close()
        self.assert_serves()

    def test_ends_after_sigterm_and_drain(self):
        self.assert_serves()
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.process.wait(TIMEOUT_S), 0)


if __name__ == "__main__":
    unittest.main()
