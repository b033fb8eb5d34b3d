"""Tests of proposals to the replica of one agent."""

import asyncio
import os
import tempfile
import unittest
from unittest import mock

from oakkeel.agent import raft_runtime
from oakkeel.agent.raft_runtime import CommitUnknownError, RaftRuntime
from oakkeel.disruption import commands
from oakkeel.fakes.site import FakeSite, SiteOptions
from oakkeel.log import EventLog
from oakkeel.raft.proposals import Proposal, ProposalStatus
from oakkeel.settings.fleet import read_fleet
from oakkeel.units import MS, SECOND
from tests.support.cancellation import await_then_block, cancel_after_result, run_event_loop


class ProposalTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        site = FakeSite(folder, {"wb1": ["n1"]}, SiteOptions(max_unavailable=1, replicas=("wb1",)))
        site.write_settings()
        fleet = read_fleet(site.settings)
        os.makedirs(fleet.host("wb1").state_folder, exist_ok=True)
        self.runtime = RaftRuntime(fleet, "wb1", {}, EventLog("raft", 0))
        self.addCleanup(self.runtime.file.close)
        self.proposal = Proposal(1)
        self.runtime.control_plane = mock.Mock()
        self.runtime.control_plane.propose.return_value = (self.proposal, [])
        self.enterContext(mock.patch.object(self.runtime, "_schedule"))

    async def propose(self) -> object:
        return await self.runtime.propose(commands.SetVoters(("wb1",), "asha"))

    def commit(self) -> None:
        self.proposal.status = ProposalStatus.COMMITTED
        self.proposal.result = "committed"
        self.runtime._complete_proposal(self.proposal)

    async def test_a_proposal_that_is_cancelled_as_it_is_committed_is_cancelled(self):
        for iterations in (0, 1):
            with self.subTest(iterations=iterations):
                task = asyncio.ensure_future(await_then_block(self.propose()))
                await run_event_loop()
                self.assertTrue(await cancel_after_result(task, self.commit, iterations))
                self.assertEqual(self.runtime.futures, {})

    async def test_a_proposal_that_is_not_committed_in_time_has_an_unknown_outcome(self):
        with mock.patch.object(raft_runtime, "COMMIT_TIMEOUT_NS", 10 * MS):
            task = asyncio.ensure_future(self.propose())
            await run_event_loop(1)
            (future,) = self.runtime.futures.values()
            with self.assertRaises(CommitUnknownError):
                await task
        self.assertTrue(future.cancelled())
        self.assertEqual(self.runtime.futures, {})

    async def test_a_proposal_that_is_committed_as_its_timeout_expires_returns_its_result(self):
        with mock.patch.object(raft_runtime, "COMMIT_TIMEOUT_NS", SECOND // 2):
            timers = []

            def call_at(when, callback, *args, **options):
                timers.append((callback, args))
                return mock.Mock(_source_traceback=None)

            with mock.patch.object(asyncio.get_running_loop(), "call_at", call_at):
                task = asyncio.ensure_future(self.propose())
                await run_event_loop()
            ((on_timeout, args),) = timers
            self.commit()
            on_timeout(*args)
            self.assertEqual(await task, "committed")


if __name__ == "__main__":
    unittest.main()
