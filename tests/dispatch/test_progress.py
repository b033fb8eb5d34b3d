"""The event that the reader of a connection waits for."""

import asyncio
import itertools
import unittest
from unittest import mock

from oakkeel.dispatch.progress import Progress
from oakkeel.units import MS, SECOND
from tests.support.cancellation import await_then_block, cancel_after_result, run_event_loop


class ProgressTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        stream = mock.Mock()
        stream.closed.return_value = False
        self.progress = Progress(stream)

    async def test_a_wait_that_is_cancelled_as_progress_is_made_is_cancelled(self):
        for timeout, iterations in itertools.product((0, 60 * SECOND), (0, 1)):
            with self.subTest(timeout=timeout, iterations=iterations):
                task = asyncio.ensure_future(await_then_block(self.progress.wait(timeout)))
                await run_event_loop()
                self.assertTrue(await cancel_after_result(task, self.progress.set, iterations))

    async def test_a_wait_with_a_limit_ends_without_progress(self):
        async with asyncio.timeout(20):
            await self.progress.wait(MS)

    async def test_a_wait_without_a_limit_ends_with_progress_only(self):
        task = asyncio.ensure_future(self.progress.wait())
        await asyncio.sleep(0.02)
        self.assertFalse(task.done())
        self.progress.set()
        async with asyncio.timeout(20):
            await task


if __name__ == "__main__":
    unittest.main()
