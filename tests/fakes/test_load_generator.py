import asyncio
import time
import unittest
from unittest import mock

from oakkeel.fakes.load_generator import LoadSummary
from oakkeel.fakes.load_process import LoadProcess
from oakkeel.fakes.stream_server import StreamServer
from tests.support.cancellation import ends_cancelled, followed_by_wait, let_run


async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Read RESP calls; every fourth is rejected, the others succeed."""
    while head := await reader.readline():
        words = []
        for _ in range(int(head[1:])):
            length = int((await reader.readline())[1:])
            words.append((await reader.readexactly(length + 2))[:-2])
        tag = words[1]
        word = b"full" if int(tag) % 4 == 0 else b"ok"
        writer.write(b"*2\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(item), item) for item in (tag, word)))


class LoadProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.server = StreamServer(answer)
        self.address = ("127.0.0.1", await self.server.open())
        self.addAsyncCleanup(self.server.close)
        self.load = LoadProcess()
        self.addAsyncCleanup(self.load.close)

    async def test_reports_what_became_of_every_request(self):
        await self.load.start(100.0, 1)
        self.load.set_addresses({"n1": self.address})
        async with asyncio.timeout(20):
            while len(self.load.reports) < 40:
                await asyncio.sleep(0.02)
        summary = await self.load.stop()
        self.assertEqual(len(self.load.reports), summary.counts["sent"])
        outcomes = [report.outcome for report in self.load.reports]
        self.assertEqual(
            {word: outcomes.count(word) for word in set(outcomes)},
            {word: summary.counts[word] for word in ("ok", "full")},
        )
        self.assertEqual(len({report.id for report in self.load.reports}), summary.counts["sent"])
        self.assertTrue(all(report.sent_at <= report.ended_at for report in self.load.reports))
        self.assertIn("n1", self.load.last_success)

    async def test_keeps_its_pace_while_the_process_that_reads_it_stands_still(self):
        await self.load.start(50.0, 1)
        self.load.set_addresses({"n1": ("127.0.0.1", 1)})  # nobody listens: each is counted as unsent
        await asyncio.sleep(0.5)
        time.sleep(1.0)  # the loop of this process stands still
        summary = await self.load.stop()
        self.assertGreater(summary.counts["unsent"], 50)
        self.assertLess(summary.max_send_delay, 0.5)

    async def test_a_request_without_an_answer_is_reported_lost(self):
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

    async def test_an_end_without_a_summary_is_an_error(self):
        await self.load.start(1.0, 1)
        await self.load.close()
        with self.assertRaises((EOFError, OSError)):
            await self.load.stop()

    async def test_a_stop_that_is_cancelled_as_the_process_ends_is_cancelled(self):
        ended = asyncio.Event()
        self.load._reading = asyncio.ensure_future(ended.wait())
        self.load.summary = LoadSummary({}, 0.0)
        with mock.patch.object(self.load, "_send"):
            task = asyncio.ensure_future(followed_by_wait(self.load.stop()))
            await let_run()
            self.assertTrue(await ends_cancelled(task, ended.set))

    @staticmethod
    async def close_after_first_line(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()


if __name__ == "__main__":
    unittest.main()
