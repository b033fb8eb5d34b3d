"""A test case for a node process with a control link to the test."""

import json
import os
import socket
import tempfile
from unittest import mock

from tests.support.node_process import TIMEOUT_S, NodeProcessTest


class ControlledNodeTest(NodeProcessTest):
    """A test that sends requests to a node over its control link, as an agent does."""

    def setUp(self) -> None:
        super().setUp()
        self.path = os.path.join(self.enterContext(tempfile.TemporaryDirectory()), "n3.sock")
        self.enterContext(mock.patch.dict(os.environ, OAKKEEL_CONTROL=self.path, OAKKEEL_GENERATION="7"))

    def connect(self):
        """Open a control link and return its stream."""
        link = socket.socket(socket.AF_UNIX)
        link.settimeout(TIMEOUT_S)
        link.connect(self.path)
        self.addCleanup(link.close)
        stream = link.makefile("rwb", buffering=0)
        self.addCleanup(stream.close)
        return stream

    def request(self, stream, **message) -> dict:
        """Send a request and return the response."""
        stream.write(json.dumps(message).encode() + b"\n")
        return json.loads(stream.readline())

    def is_closed(self, stream) -> bool:
        """Wait for more input; return whether the node has closed the link instead."""
        try:
            return stream.readline() == b""
        except ConnectionResetError:  # the node closed the link before it read all input
            return True
