"""Tests of the reconciliation cycle of an agent."""

import unittest
from unittest import mock

from oakkeel.agent.agent import Agent
from tests.agent.agent_test_case import AgentTestCase
from tests.support.cancellation import await_then_block, cancel_after_result


class AgentCycleTest(AgentTestCase):
    async def test_an_agent_that_is_cancelled_as_its_stop_is_requested_is_cancelled(self):
        run = Agent.run
        with mock.patch.object(Agent, "run", lambda agent: await_then_block(run(agent))):
            agent = await self.start_agent()
        await self.wait_until(lambda: "agent_started" in self.log_output.getvalue())
        self.assertTrue(await cancel_after_result(agent.task, agent.stop_requested.set))


if __name__ == "__main__":
    unittest.main()
