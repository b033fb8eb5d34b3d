"""Tests of the reconciliation cycle of an agent."""

import unittest
from unittest import mock

from oakkeel.agent.agent import Agent
from oakkeel.agent.configuration import AgentSettings
from oakkeel.settings.types import FairSharingSettings
from tests.agent.agent_test_case import AgentTestCase
from tests.support.cancellation import await_then_block, cancel_after_result


class AgentCycleTest(AgentTestCase):
    async def test_an_agent_that_is_cancelled_as_its_stop_is_requested_is_cancelled(self):
        run = Agent.run
        with mock.patch.object(Agent, "run", lambda agent: await_then_block(run(agent))):
            agent = await self.start_agent()
        await self.wait_until(lambda: "agent_started" in self.log_output.getvalue())
        self.assertTrue(await cancel_after_result(agent.task, agent.stop_requested.set))

    async def test_new_weights_signal_a_process_only_once_it_has_reported(self):
        # Before that a process handles no signals, and SIGHUP would end it.
        self.write_script("n1", "mute")
        with mock.patch(
            "tests.agent.agent_test_case.AgentSettings",
            lambda host, timeouts: AgentSettings(host, timeouts, FairSharingSettings(("caller",), ())),
        ):
            agent = await self.start_agent()
        n1, n2 = self.instance(agent, "n1"), self.instance(agent, "n2")
        await self.wait_until(lambda: n1 in agent.running_processes and n2.report)
        first_pid = agent.running_processes[n1].pid
        agent.executor.update_fair_sharing(FairSharingSettings(("caller",), (("asha", 2.0),)))
        await self.wait_until(
            lambda: "killed by SIGHUP" in self.log_output.getvalue()
        )  # a fake that reported
        self.assertEqual(agent.running_processes[n1].pid, first_pid)
        self.write_script("n1", "")
        await self.wait_until(lambda: n1.report and n1 not in agent.executor.reloads_due)
        await self.wait_until(lambda: f"pid={first_pid} generation=1 how" in self.log_output.getvalue())


if __name__ == "__main__":
    unittest.main()
