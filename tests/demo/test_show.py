"""The table of the demo."""

import asyncio
import unittest
from unittest import mock

from oakkeel.demo import show
from tests.support.cancellation import ends_cancelled, followed_by_wait, let_run


class ShowTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_table_that_is_cancelled_as_a_signal_ends_it_is_cancelled(self):
        agents = mock.Mock(refresh=mock.AsyncMock())
        view = mock.Mock()
        view.rows.return_value = []
        live = mock.Mock()
        live.console.width = 80
        dispatcher = mock.Mock(answered=0, counts={"lost": 0})
        done = asyncio.Event()
        with mock.patch.object(show, "REFRESH_INTERVAL_SECONDS", 60.0):
            shown = show._show_until_done(agents, view, dispatcher, 0, live, done)
            task = asyncio.ensure_future(followed_by_wait(shown))
            await let_run()
            self.assertEqual(live.update.call_count, 1)
            self.assertTrue(await ends_cancelled(task, done.set))


if __name__ == "__main__":
    unittest.main()
