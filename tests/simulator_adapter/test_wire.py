"""The frames of the simulator's protocol: its own examples, and malformed frames."""

import io
import struct
import subprocess
import sys
import unittest

from oakkeel.simulator_adapter import wire
from oakkeel.simulator_adapter.table import InstanceTable

SETTINGS = "\n".join(
    (
        "extra.cores=2",
        "extra.heap-kb=9000.0",
        "extra.run-factor=8.0",
        "obligations.fall-multiple=4.0",
        "classes.count=1",
        "classes.0.hard-limit=4000000000",
        "classes.0.aim=1000000000",
        "classes.0.effect=read_like",
        "extra.gauges=core_use,on_cores",
        "unheard.of=7",
    )
).encode()
START = wire.START.pack(1, 3, 99, 0, len(SETTINGS)).ljust(wire.EVENT_SIZE, b"\0")
ARRIVAL = wire.ARRIVAL.pack(2, 3, 77, 0, 0.5, 0, 40.0, 0, 1, 900_000_000, 0, 0, 0, 0).ljust(
    wire.EVENT_SIZE, b"\0"
)


def batch(*records: bytes, settings: bytes = b"") -> bytes:
    body = b"".join(records) + settings
    return wire.BATCH_HEADER.pack(5, len(body) + 12, 10**9, len(records)) + body


def run_adapter(data: bytes) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "oakkeel.simulator_adapter"], input=data, capture_output=True, timeout=20
    )


class SimulatorWireTest(unittest.TestCase):
    def test_reads_and_writes_the_examples_of_the_protocol(self):
        empty = bytes.fromhex("010000000c00000090bf68f50100000000000000")
        self.assertEqual(wire.read_batch(io.BytesIO(empty)), wire.Batch(1, 8_412_249_999 + 1, 0, b""))
        self.assertEqual(wire.Reply().take_frame(1).hex(), "010000000400000000000000")
        incoming = bytes.fromhex(
            "02"
            "03000000"
            "c4913a5d91c40f00"
            "0000"
            "0000203f"
            "001bb70000000000"
            "0000c441"
            "01"
            "1100"
            "001c4e0e00000000"
            "00000000"
            "903a1c0000000000"
            "640ad2557c3bf091"
            "192b6f0e90b20c00"
            "0000"
        )
        fields = wire.ARRIVAL.unpack_from(incoming)
        self.assertEqual(fields[3:12], (0, 0.625, 12_000_000, 24.5, 1, 17, 240_000_000, 0, 1_850_000))
        bounce = wire.ACTION_REJECT.pack(wire.ActionCode.REJECT, 3, 0x000CB2900E6F2B19, True, 250_000_000)
        self.assertEqual(bounce.hex(), "0903000000192b6f0e90b20c000180b2e60e000000000000")

    def test_a_restarted_instance_runs_a_request_id_that_was_used_before(self):
        table = InstanceTable()
        frame = table.handle(wire.read_batch(io.BytesIO(batch(START, ARRIVAL, settings=SETTINGS))))
        self.assertIn(wire.ACTION_REQUEST.pack(wire.ActionCode.RUN, 3, 77), frame)
        killed = wire.EVENT_HEAD.pack(9, 3).ljust(wire.EVENT_SIZE, b"\0")
        frame = table.handle(wire.read_batch(io.BytesIO(batch(killed, START, ARRIVAL, settings=SETTINGS))))
        self.assertIn(wire.ACTION_REQUEST.pack(wire.ActionCode.RUN, 3, 77), frame)

    def test_reports_an_error_of_the_admission_decisions_as_a_record(self):
        table = InstanceTable()
        table.handle(wire.read_batch(io.BytesIO(batch(START, settings=SETTINGS))))
        table.instances[3].admission.arrive = None
        frame = table.handle(wire.read_batch(io.BytesIO(batch(ARRIVAL))))
        self.assertEqual(struct.unpack_from("<B", frame, 12)[0], wire.ActionCode.INTERNAL_ERROR)

    def test_exits_cleanly_at_the_end_of_input(self):
        self.assertEqual(run_adapter(b"").returncode, 0)

    def test_exits_with_one_line_on_malformed_input(self):
        unknown_code = batch(b"\x63".ljust(wire.EVENT_SIZE, b"\0"))
        unknown_request = wire.FINISHED.pack(3, 3, 55, 200, 0).ljust(wire.EVENT_SIZE, b"\0")
        for data in (
            b"abc",
            batch(START, settings=SETTINGS)[:-4],
            unknown_code,
            batch(ARRIVAL),
            batch(START, unknown_request, settings=SETTINGS),
            batch(START.replace(SETTINGS, b""), settings=b""),
        ):
            process = run_adapter(data)
            self.assertEqual(process.returncode, 2)
            self.assertEqual(process.stderr.count(b"\n"), 1)
            self.assertNotIn(b"Traceback", process.stderr)

    def test_names_missing_settings(self):
        start = wire.START.pack(1, 3, 99, 0, 0).ljust(wire.EVENT_SIZE, b"\0")
        self.assertIn(b"extra.cores", run_adapter(batch(start)).stderr)


if __name__ == "__main__":
    unittest.main()
