"""Requests, responses and simulator conversations that an earlier version recorded."""

import base64
import gzip
import io
import struct
import unittest

from oakkeel.dispatch import codec, resp
from oakkeel.node_limits import Settings, read_limits
from oakkeel.resource_limits import ResourceLimits
from oakkeel.simulator_adapter import wire
from oakkeel.simulator_adapter.table import InstanceTable
from tests.compatibility.fixtures import DATA, leaf_values, load_fixture
from tests.support.node_process import read_resp_array

FIELDS_BY_EARLIER_NAME = {  # current field of a request, by its name in the earlier version
    "group": "request_class",
    "tenant": "tenant",
    "caller": "client",
    "memory_kb": "memory_kb",
    "marked_retry": "retry_attempt",
    "left": "remaining_time",
    "backlog": "queueing_delay",
    "has_key": "has_key",
    "repeats": "is_duplicate",
    "ident": "request_id",
    "tag": "tag",
    "group_name": "class_name",
    "body": "body",
    "key": "cache_key",
}
NOW = 1_700_000_000_000_000_000


class DispatcherCompatibilityTest(unittest.TestCase):
    def setUp(self) -> None:
        self.expected = load_fixture("network.json")

    def test_requests_are_read_to_the_same_values(self):
        limits = read_limits(Settings(load_fixture("simulator-settings.json")))
        resource_limits = ResourceLimits(1024, 192 * 2**20, 3_000_000_000)
        classes, tenants = ["quote", "pay", "card"], ["guild", "south"]
        reader = codec.RequestReader(limits, classes, tenants, resource_limits, lambda: NOW)
        for encoded, values in zip(self.expected["calls"], self.expected["read"], strict=True):
            content = base64.b64decode(encoded)
            call = read_resp_array(io.BytesIO(content))
            self.assertEqual(resp.encode(*call), content)
            request = reader.read(int(call[1]), call, None)
            self.assertEqual(
                leaf_values(
                    {
                        earlier_name: getattr(request, name)
                        for earlier_name, name in FIELDS_BY_EARLIER_NAME.items()
                    }
                ),
                values,
            )

    def test_answers_are_written_with_the_same_bytes(self):
        written = [
            codec.encode_answer(7, codec.COMPLETED, 0.625, b"result"),
            codec.encode_answer(8, codec.REJECTED, None, b"", True, 250_000_000),
            codec.encode_answer(9, codec.FAILED, 1.0),
            codec.encode_answer(10, codec.HEALTHY, 0.5),
            codec.encode_answer(11, codec.UNHEALTHY, None),
            codec.DRAIN_NOTICE,
            codec.MALFORMED_STREAM,
        ]
        self.assertEqual(written, [base64.b64decode(answer) for answer in self.expected["answers"]])


class SimulatorCompatibilityTest(unittest.TestCase):
    def test_responses_to_the_simulator_have_the_same_bytes(self):
        for name in ("simulator-1.bin.gz", "simulator-2.bin.gz", "simulator-3.bin.gz"):
            table, batch_count = InstanceTable(), 0
            for frame, expected_response in self.recorded_exchanges(name):
                batch_count += 1
                response = table.handle(wire.read_batch(io.BytesIO(frame)))
                self.assertEqual(response.hex(), expected_response.hex(), (name, batch_count))
            self.assertGreater(batch_count, 3000)

    @staticmethod
    def recorded_exchanges(name: str):
        """Yield each batch of a recorded conversation with the recorded response."""
        content = gzip.decompress((DATA / name).read_bytes())
        position = 0
        while position < len(content):
            frame_size, response_size = struct.unpack_from("<II", content, position)
            frame_start = position + 8
            response_start = frame_start + frame_size
            position = response_start + response_size
            yield content[frame_start:response_start], content[response_start:position]
