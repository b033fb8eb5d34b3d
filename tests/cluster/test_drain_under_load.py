import unittest

from measure import drain


class DrainUnderLoadTest(unittest.IsolatedAsyncioTestCase):
    async def test_drains_and_cancels_under_changing_load_lose_and_reject_no_request(
        self,
    ):
        figures = await drain.measure(6, 100.0, 3)
        self.assertEqual((figures["lost"], figures["doubled"], figures["after_grace"]), (0, 0, 0), figures)
        counts = figures["counts"]
        self.assertEqual(counts, {"sent": counts["sent"], "ok": counts["sent"]}, figures["sent_late"])
        self.assertEqual(figures["reported"], counts["sent"])
        self.assertGreater(counts["ok"], 100)


if __name__ == "__main__":
    unittest.main()
