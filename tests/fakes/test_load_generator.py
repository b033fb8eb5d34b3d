import asyncio
import time
import unittest
from unittest import mock

from oakkeel.fakes.load_generator import LoadSummary
from oakkeel.fakes.load_process import LoadProcess
from oakkeel.fakes.stream_server import StreamServer
from tests.support.cancellation import await_then_block, cancel_after_result, run_event_loop


async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer calls in RESP: reject every fourth call, and report the other calls as successful."""
    while head := await reader.readline():
        parts = []
        for _ in range(int(head[1:])):
            length = int((await reader.readline())[1:])
            parts.append((await reader.readexactly(length + 2))[:-2])
        tag = parts[1]
        outcome = b"full" if int(tag) % 4 == 0 else b"ok"
        writer.write(b"*2\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(item), item) for item in (tag, outcome)))


class LoadProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.server = StreamServer(answer)
        self.address = ("127.0.0.1", await self.server.open())
        self.addAsyncCleanup(self.server.close)
        self.load = LoadProcess()
        self.addAsyncCleanup(self.load.close)

    async def test_reports_outcome_of_each_request(self):
        await self.load.start(100.0, 1)
        self.load.set_addresses({"n1": self.address})
        async with asyncio.timeout(20):
            while len(self.load.reports) < 40:
                await asyncio.sleep(0.02)
        summary = await self.load.stop()
        self.assertEqual(len(self.load.reports), summary.counts["sent"])
        outcomes = [report.outcome for report in self.load.reports]
        self.assertEqual(
            {outcome: outcomes.count(outcome) for outcome in set(outcomes)},
            {outcome: summary.counts[outcome] for outcome in ("ok", "full")},
        )
        self.assertEqual(len({report.id for report in self.load.reports}), summary.counts["sent"])
        self.assertTrue(all(report.sent_at <= report.ended_at for report in self.load.reports))
        self.assertIn("n1", self.load.last_success)

    async def test_keeps_its_rate_while_parent_process_is_blocked(self):
        await self.load.start(50.0, 1)
        self.load.set_addresses({"n1": ("127.0.0.1", 1)})  # no listener: each request is counted as unsent
        await asyncio.sleep(0.5)
        time.sleep(1.0)  # blocks the event loop of this process
        summary = await self.load.stop()
        self.assertGreater(summary.counts["unsent"], 50)
        self.assertLess(summary.max_send_delay, 0.5)

    async def test_reports_request_without_response_as_lost(self):
        server = StreamServer(self.close_after_first_line)
        self.addAsyncCleanup(server.close)
        await self.load.start(20.0, 1)
        self.load.set_addresses({"n1": ("127.0.0.1", await server.open())})
        async with asyncio.timeout(20):
            while not self.load.reports:
                await asyncio.sleep(0.02)
        summary = await self.load.stop()
        self.assertEqual({report.outcome for report in self.load.reports}, {"lost"})
        self.assertEqual(summary.counts["lost"], summary.counts["sent"])

    async def test_end_without_summary_is_an_error(self):
        await self.load.start(1.0, 1)
        await self.load.close()
        with self.assertRaises((EOFError, OSError)):
            await self.load.stop()

    async def test_stop_that_is_cancelled_as_process_ends_is_cancelled(self):
        process_ended = asyncio.Event()
        self.load._read_task = asyncio.ensure_future(process_ended.wait())
        self.load.summary = LoadSummary({}, 0.0)
        with mock.patch.object(self.load, "_send"):
            task = asyncio.ensure_future(await_then_block(self.load.stop()))
            await run_event_loop()
            self.assertTrue(await cancel_after_result(task, process_ended.set))

    @staticmethod
    async def close_after_first_line(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()


if __name__ == "__main__":
    unittest.main()
