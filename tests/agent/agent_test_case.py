"""A test case with an agent in this process, fake nodes and real sockets."""

import asyncio
import contextlib
import io
import os
import signal
import tempfile
import time
import unittest
from unittest import mock

from oakkeel.agent import messages
from oakkeel.agent.agent import Agent
from oakkeel.agent.configuration import AgentKeys, AgentParts, AgentSettings
from oakkeel.agent.instances import Phase
from oakkeel.agent.processes import Processes
from oakkeel.agent.supervision_rules import SupervisionTimeouts
from oakkeel.fakes.crashing import PROGRAM
from oakkeel.fakes.site import FakeSite, SiteOptions
from oakkeel.fleet.agent_clients import AgentClients, request_once
from oakkeel.fleet.view import FleetView
from oakkeel.log import EventLog
from oakkeel.settings.fleet import read_fleet
from oakkeel.settings.keys import read_keys, read_operator_key, write_key
from oakkeel.units import MS, SECOND

TIMEOUT_S = 20.0  # timeout of each wait, in seconds
SHORT_TIMEOUTS = SupervisionTimeouts(
    silence_timeout_ns=400 * MS,
    start_timeout_ns=3 * SECOND,
    stuck_timeout_ns=60 * SECOND,
    drain_timeout_ns=SECOND,
    min_backoff_ns=50 * MS,
)


class AgentTestCase(unittest.IsolatedAsyncioTestCase):
    """A folder with settings and keys, and the agents that a test starts in it."""

    async def asyncSetUp(self) -> None:
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.site = FakeSite(self.folder, {"wb1": ["n1", "n2", "n3"]}, SiteOptions(max_unavailable=1))
        for key in ("asha", "ravi", "lena"):
            write_key(os.path.join(self.folder, f"{key}.key"), os.urandom(32))
        self.site.write_settings()
        self.fleet = read_fleet(self.site.settings)
        self.host = self.fleet.hosts[0]
        self.log_output = io.StringIO()
        self.agent_clients, self.view = (
            AgentClients(self.fleet, read_operator_key(self.fleet, "asha")),
            FleetView(self.fleet),
        )
        self.addAsyncCleanup(self.kill_nodes)

    async def kill_nodes(self) -> None:
        """Kill the fake nodes; a node is killed only while it holds the lock of its instance."""
        os.makedirs(self.host.state_folder, exist_ok=True)
        processes = Processes(self.host.state_folder, lambda process, why: None)
        for name in ("n1", "n2", "n3"):
            if processes.is_running(name) and (process := processes.adopt(name)):
                processes.signal(process, signal.SIGCONT)
                processes.signal(process, signal.SIGKILL)
        processes.close()

    def write_script(self, name: str, behavior: str) -> None:
        """Set the behaviour of an instance's fake node; empty: the node serves."""
        os.makedirs(self.host.state_folder, exist_ok=True)
        with open(os.path.join(self.host.state_folder, f"{name}.script"), "w") as file:
            file.write(behavior)

    def read_journal(self, name: str) -> list[list[str]]:
        """The events that the fake nodes of an instance have recorded."""
        with (
            contextlib.suppress(OSError),
            open(os.path.join(self.host.state_folder, f"{name}.journal")) as file,
        ):
            return [line.split() for line in file]
        return []

    def started_generations(self, name: str) -> list[int]:
        """The generations of an instance that were started, in order."""
        return [int(line[1]) for line in self.read_journal(name) if line[0] == "start"]

    async def start_agent(self, timeouts: SupervisionTimeouts = SHORT_TIMEOUTS, **options) -> Agent:
        """Start an agent in this process; `stop` ends it as SIGTERM would."""
        agent = Agent(
            AgentSettings(self.host, timeouts),
            AgentKeys(read_keys(self.fleet)),
            EventLog("agent", 1000, stream=self.log_output),
            7,
            AgentParts(program=PROGRAM, **options),
        )
        with mock.patch.object(asyncio.get_running_loop(), "add_signal_handler"):
            task = asyncio.ensure_future(agent.run())
            await asyncio.sleep(0)
        self.addAsyncCleanup(self.stop, agent, task)
        agent.task = task
        return agent

    async def stop(self, agent: Agent, task: asyncio.Task | None = None) -> None:
        agent.stop_requested.set()
        await asyncio.wait((task or agent.task,))

    async def wait_until(self, condition, message: str = "") -> None:
        """Wait until a condition holds, while the agent runs."""
        deadline = time.monotonic() + TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline, message or self.log_output.getvalue())
            await asyncio.sleep(0.01)

    async def wait_until_serving(self, agent: Agent) -> None:
        """Wait until all instances of an agent serve."""
        await self.wait_until(lambda: all(each.phase is Phase.SERVING for each in agent.supervisor.instances))

    def instance(self, agent: Agent, name: str):
        return agent.orders.instances[name]

    async def send_request(self, request: messages.Request, operator: str = "asha") -> messages.Response:
        return await asyncio.wait_for(
            request_once(self.host.agent_address, read_operator_key(self.fleet, operator), request), TIMEOUT_S
        )

    async def submit_order(
        self,
        verb: str,
        *names: str,
        order_id: str = "o1",
        operator: str = "asha",
        generation: int = 0,
        supersede: bool = False,
    ) -> dict[str, messages.TaskStatus]:
        """Submit an order for the current generations, or for `generation`; returns its tasks by instance."""
        requested_instances = [(name, generation or await self.current_generation(name)) for name in names]
        response = await self.send_request(
            messages.OrderRequest(order_id, verb, requested_instances, 30 * SECOND, supersede), operator
        )
        self.assertIsInstance(response, messages.OrderStatus, response)
        return {task.instance: task for task in response.tasks}

    async def current_generation(self, name: str) -> int:
        response = await self.send_request(messages.HostStatusRequest())
        return next(each.generation for each in response.instances if each.name == name)

    async def wait_for_final_states(self, order_id: str = "o1") -> dict[str, str]:
        """Wait until an order has ended; returns the final state of each of its instances."""
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            response = await self.send_request(messages.ListOrdersRequest())
            for order in response.orders:
                if order.order_id == order_id and not any(
                    task.state in ("waiting", "acting") for task in order.tasks
                ):
                    return {task.instance: task.state for task in order.tasks}
            await asyncio.sleep(0.02)
        raise AssertionError(f"order {order_id} did not end: {response}\n{self.log_output.getvalue()}")
