"""Reports to the directory."""

import asyncio
import socket
import unittest
from dataclasses import replace

from oakkeel.directory.reports import DirectoryReporter
from oakkeel.units import SECOND
from tests.support.node_process import TIMEOUT_S
from tests.support.node_request import RESOURCE_LIMITS


class DirectoryReporterTest(unittest.IsolatedAsyncioTestCase):
    async def test_repeats_the_report_of_a_change(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as directory:
            directory.bind(("127.0.0.1", 0))
            directory.setblocking(False)
            loop = asyncio.get_running_loop()
            reporter = DirectoryReporter(
                directory.getsockname(), "n3", replace(RESOURCE_LIMITS, report_interval=600 * SECOND)
            )
            reporter.start()
            reporter.set_accepting(False)
            received = [await asyncio.wait_for(loop.sock_recv(directory, 99), TIMEOUT_S) for _ in range(4)]
            reporter.close()
            self.assertEqual(received, [b"PULSE n3 open"] + [b"PULSE n3 closed"] * 3)
