"""The JSON output of the command line has the keys of an earlier version."""

import os

from tests.agent.agent_test_case import AgentTestCase
from tests.compatibility.fixtures import assert_same_keys, load_fixture


class CommandLineCompatibilityTest(AgentTestCase):
    async def test_json_output_of_one_host_has_the_same_keys(self):
        agent = await self.start_agent()
        await self.wait_until_serving(agent)
        for expected in load_fixture("command-line.json")["one host"]:
            await assert_same_keys(self, os.path.dirname(self.site.settings), expected)
