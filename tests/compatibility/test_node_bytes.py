"""Tests that a node sends the same bytes as an earlier version."""

import re
import socket

from oakkeel.dispatch import resp
from tests.compatibility.fixtures import load_fixture
from tests.support.node_process import NodeProcessTest, read_resp_array


class NodeBytesTest(NodeProcessTest):
    """Compares the bytes that a node sends to its engine, catalogue, directory and dispatcher."""

    def setUp(self) -> None:
        super().setUp()
        self.sent: dict[str, list[str]] = {"engine": [], "catalogue": [], "directory": [], "dispatcher": []}

    def open_peers(self) -> None:
        """Start the node, accept its engine link, and connect a dispatcher."""
        self.launch(self.configuration())
        port = int(self.wait_for_log("listening").rsplit(":", 1)[1])
        self.engine.server.settimeout(20)
        self.link, _ = self.engine.server.accept()
        self.engine_commands = self.open_file(self.link)
        self.record_command()
        self.link.sendall(b"HELLO steady 60000.0\r\n")
        self.wait_for_log("engine_ready")
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=20)
        self.answers = self.open_file(self.socket)

    def open_file(self, connection: socket.socket):
        file = connection.makefile("rb")
        self.addCleanup(connection.close)
        self.addCleanup(file.close)
        return file

    def record_command(self) -> None:
        """Record the next command to the engine other than STAT, and answer STAT."""
        while (line := self.engine_commands.readline()).startswith(b"STAT "):
            self.link.sendall(b"STATS %s 0.1 0.0 0.1 1.0\r\n" % line.split()[1])
        if line.startswith((b"RUN", b"FEED")):
            line += self.engine_commands.read(int(line.split()[-1]) + 2)
        self.sent["engine"].append(line.decode())

    def call(self, tag: bytes, request_id: bytes) -> None:
        fields = b"req=%s,need=24.5,via=4" % request_id
        self.socket.sendall(resp.encode(b"CALL", tag, b"quote", fields, b"what"))

    def answer_downstream_call(self) -> None:
        connection, _ = self.catalogue.accept()
        stream = self.open_file(connection)
        command = stream.readline()
        command += stream.read(int(command.split()[-1]) + 2)
        self.sent["catalogue"].append(re.sub(r" \d+ 4\r", " WAIT 4\r", command.decode()))
        connection.sendall(b"00c4913a5d91c40f DATA 5\r\nreply\r\n")

    def test_a_node_sends_the_same_bytes(self):
        self.open_peers()
        self.call(b"1", b"00c4913a5d91c40f")
        self.record_command()
        self.link.sendall(b"NEED 1 00c4913a5d91c40f 4\r\ncall\r\n")
        self.answer_downstream_call()
        self.record_command()
        self.link.sendall(b"DONE 2 00c4913a5d91c40f success 12.3 6\r\nresult\r\n")
        self.call(b"2", b"00c4913a5d91c410")
        self.record_command()
        self.socket.sendall(resp.encode(b"CANCEL", b"2"))
        self.record_command()
        self.link.sendall(b"DONE 3 00c4913a5d91c410 interrupted 1.0 0\r\n\r\n")
        self.socket.sendall(resp.encode(b"CHECK", b"3"))
        answers = [read_resp_array(self.answers), read_resp_array(self.answers)]
        self.sent["dispatcher"] = [re.sub(r"signal=[\d.]+", "signal=VALUE", str(words)) for words in answers]
        self.sent["directory"].append(self.receive_load_report())
        self.assertEqual(self.sent, load_fixture("node-bytes.json"))
