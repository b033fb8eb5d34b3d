"""Test of the live table of the demo."""

import asyncio
import unittest
from unittest import mock

from oakkeel.demo import show
from tests.support.cancellation import await_then_block, cancel_after_result, run_event_loop


class LiveTableTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_cancellation_in_the_same_turn_as_a_stop_signal_is_not_lost(self):
        agents = mock.Mock(refresh=mock.AsyncMock())
        view = mock.Mock()
        view.rows.return_value = []
        live = mock.Mock()
        live.console.width = 80
        dispatcher = mock.Mock(answered_count=0, counts={"lost": 0})
        stop_requested = asyncio.Event()
        with mock.patch.object(show, "REFRESH_INTERVAL_SECONDS", 60.0):
            show_table = show._show_until_stopped(agents, view, dispatcher, 0, live, stop_requested)
            task = asyncio.ensure_future(await_then_block(show_table))
            await run_event_loop()
            self.assertEqual(live.update.call_count, 1)
            self.assertTrue(await cancel_after_result(task, stop_requested.set))


if __name__ == "__main__":
    unittest.main()
