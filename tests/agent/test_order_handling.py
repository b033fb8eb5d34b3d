"""Tests of orders to an agent with real processes, also with a crash of the agent at each durable step."""

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
import time
from dataclasses import replace
from unittest import mock

from oakkeel.agent import messages
from oakkeel.agent.instances import Phase
from oakkeel.agent.processes import Processes
from oakkeel.agent.storage import SCHEMA, VERSION
from oakkeel.authentication.mac import Key
from oakkeel.fakes.site import FakeSite, SiteOptions
from oakkeel.fleet.agent_clients import AgentError, request_once
from oakkeel.settings.fleet import read_fleet
from oakkeel.settings.keys import read_operator_key, write_key
from oakkeel.settings.types import HostSettings
from oakkeel.store.database import Database, DatabaseError
from oakkeel.units import SECOND
from tests.agent.agent_test_case import SHORT_TIMEOUTS, TIMEOUT_S, AgentTestCase


class OrderHandlingTest(AgentTestCase):
    async def test_accepts_one_of_two_concurrent_opposite_orders(self):
        agent = await self.start_agent()
        await self.wait_until_serving(agent)
        requests = [
            (messages.OrderRequest("o1", "stop", [("n1", 1)], 30 * SECOND), "asha"),
            (messages.OrderRequest("o2", "restart", [("n1", 1)], 30 * SECOND), "ravi"),
        ]
        first, second = await asyncio.gather(*(self.send_request(*each) for each in requests))
        states = sorted(response.tasks[0].state for response in (first, second))
        self.assertEqual(states[0], "refused")
        refused, accepted = (first, second) if first.tasks[0].state == "refused" else (second, first)
        self.assertIn(f"{accepted.operator}'s {accepted.verb} is open since", refused.tasks[0].why)
        self.assertEqual(await self.wait_for_final_states(accepted.order_id), {"n1": "done"})

    async def test_rolling_restart_respects_the_budget_and_starts_each_instance_once(self):
        # A stall of the event loop must not make instances silent, which would count as unavailable too.
        agent = await self.start_agent(replace(SHORT_TIMEOUTS, silence_timeout_ns=30 * SECOND))
        await self.wait_until_serving(agent)
        await self.submit_order("restart", "n1", "n2", "n3")
        most_unavailable = 0
        while agent.orders.orders["o1"].is_open:
            most_unavailable = max(most_unavailable, agent.supervisor.unavailable["woodbrook"])
            await asyncio.sleep(0.005)
        self.assertEqual(most_unavailable, 1)
        self.assertEqual(
            [self.started_generations(name) for name in ("n1", "n2", "n3")], [[1, 3], [1, 3], [1, 3]]
        )

    async def test_restart_supersedes_a_drain_and_kills_after_the_timeout(self):
        self.write_script("n1", "deaf")
        agent = await self.start_agent()
        await self.wait_until_serving(agent)
        await self.submit_order("drain", "n1")
        await self.wait_until(lambda: self.instance(agent, "n1").phase is Phase.DRAINING)
        await self.submit_order("restart", "n1", order_id="o2", operator="ravi", supersede=True)
        self.assertEqual(await self.wait_for_final_states("o2"), {"n1": "done"})
        self.assertEqual(await self.wait_for_final_states("o1"), {"n1": "superseded"})
        self.assertIn("drain_timeout_killed", self.log_output.getvalue())

    async def test_no_process_is_killed_before_the_time_of_its_own_configuration(self):
        # Also after the agent was restarted. A node answers until the end of that time (review/6).
        config_path = self.host.instances[0].config_path
        with open(config_path, "w", encoding="utf-8") as file:
            file.write('{"stop_ms": 2500}')
        self.write_script("n1", "deaf")
        agent = await self.start_agent()
        await self.wait_until_serving(agent)
        process = agent.running_processes[self.instance(agent, "n1")]
        self.assertEqual(self.instance(agent, "n1").stop_after_ns, 2.5 * SECOND)
        await self.stop(agent)
        next_agent = await self.start_agent()
        await self.wait_until_serving(next_agent)
        self.assertEqual(self.instance(next_agent, "n1").stop_after_ns, 2.5 * SECOND)
        await self.submit_order("restart", "n1")
        await self.wait_until(lambda: self.instance(next_agent, "n1").drain_sent_at)
        drain_sent_at = self.instance(next_agent, "n1").drain_sent_at
        await self.wait_until(lambda: not os.path.exists(f"/proc/{process.pid}"))
        self.assertGreaterEqual(time.monotonic_ns() - drain_sent_at, 2.5 * SECOND)
        self.write_script("n1", "")
        self.assertEqual(await self.wait_for_final_states(), {"n1": "done"})

    async def test_next_agent_completes_orders_left_open_by_sigterm(self):
        self.write_script("n1", "deaf")
        agent = await self.start_agent()
        await self.wait_until_serving(agent)
        await self.submit_order("drain", "n1")
        await self.wait_until(lambda: self.instance(agent, "n1").phase is Phase.DRAINING)
        await self.stop(agent)
        self.write_script("n1", "")
        next_agent = await self.start_agent()
        self.assertEqual(await self.wait_for_final_states(), {"n1": "done"})
        self.assertEqual(
            (self.instance(next_agent, "n1").phase, self.started_generations("n1")), (Phase.STOPPED, [1])
        )

    async def test_rejects_orders_and_continues_supervision_while_the_disk_is_full(self):
        os.makedirs(self.host.state_folder, exist_ok=True)
        store = Database(os.path.join(self.host.state_folder, "agent.db"), SCHEMA, VERSION)
        agent = await self.start_agent(store=store)
        await self.wait_until_serving(agent)
        store.connection.execute("PRAGMA max_page_count = 1")  # no page can be added
        for number in range(200):  # orders fill the free space of the existing pages
            generation = await self.current_generation("n2")
            response = await self.send_request(
                messages.OrderRequest(f"f{number}", "start", [("n2", generation)], SECOND)
            )
            if isinstance(response, messages.ErrorResponse):
                break
        self.assertIn("can't be written: database or disk is full", getattr(response, "why", ""))
        self.assertEqual(await self.current_generation("n2"), generation)
        with mock.patch.object(store, "write", side_effect=DatabaseError("database or disk is full")):
            n1 = self.instance(agent, "n1")
            agent.processes.signal(agent.running_processes[n1], signal.SIGKILL)
            await self.wait_until(lambda: n1.process_generation == 2 and n1.phase is Phase.SERVING)
            self.assertIn("orders wait", (await self.send_request(messages.HostStatusRequest())).notes[0])
        store.connection.execute("PRAGMA max_page_count = 10000")
        await self.wait_until(lambda: not agent.storage_error)
        await self.submit_order("restart", "n2", order_id="later")
        self.assertEqual(await self.wait_for_final_states("later"), {"n2": "done"})

    async def test_rejects_orders_while_the_state_file_is_read_only(self):
        os.makedirs(self.host.state_folder, exist_ok=True)
        store = Database(os.path.join(self.host.state_folder, "agent.db"), SCHEMA, VERSION)
        agent = await self.start_agent(store=store)
        await self.wait_until_serving(agent)
        store.connection.execute("PRAGMA query_only = 1")
        response = await self.send_request(messages.OrderRequest("o1", "stop", [("n1", 1)], SECOND))
        self.assertIn("readonly", getattr(response, "why", ""))
        self.assertEqual(
            (self.instance(agent, "n1").generation, self.instance(agent, "n1").phase), (1, Phase.SERVING)
        )

    async def test_executes_an_order_once_when_killed_at_any_durable_step(self):
        """Tests each step with a separate agent and folder; several steps are tested at the same time."""
        semaphore = asyncio.Semaphore(8)

        async def run_limited(step: int) -> bool:
            async with semaphore:
                return await self.run_with_crash_at(step)

        never_reached, step = [], 1
        while not any(never_reached):
            never_reached = await asyncio.gather(*(run_limited(each) for each in range(step, step + 16)))
            step += 16
        self.assertGreater(step - 16 + never_reached.index(True), 14)

    async def run_with_crash_at(self, step: int) -> bool:
        """Check that a restart is executed once if the agent crashes at `step`; return True if it did not."""
        folder = os.path.join(self.folder, f"at{step}")
        os.mkdir(folder)
        site = FakeSite(
            folder,
            {"wb1": ["n1"]},
            SiteOptions(max_unavailable=1, supervision='<supervision backoff="50ms"/>'),
        )
        write_key(os.path.join(folder, "asha.key"), os.urandom(32))
        site.write_settings(ravi="", lena="")
        fleet = read_fleet(site.settings)
        host, key = fleet.hosts[0], read_operator_key(fleet, "asha")
        agents: list[asyncio.subprocess.Process] = []
        try:
            await self.restart_through_a_crash(site.settings, host.agent_address, key, step, agents)
            await self.assert_restarted_once(host, key, step)
            return len(agents) == 1
        finally:
            if agents and agents[-1].returncode is None:
                agents[-1].kill()
                await agents[-1].wait()
            processes = Processes(host.state_folder, lambda process, why: None)
            if process := processes.adopt("n1"):
                processes.signal(process, signal.SIGKILL)
            processes.close()

    async def restart_through_a_crash(
        self,
        settings: str,
        address: tuple[str, int],
        key: Key,
        step: int,
        agents: list[asyncio.subprocess.Process],
    ) -> None:
        """Order a restart and wait for its end; the first agent crashes at `step`, later agents do not."""
        deadline, is_accepted = time.monotonic() + 2 * TIMEOUT_S, False
        while time.monotonic() < deadline:
            if not agents or agents[-1].returncode is not None:
                agents.append(await self.start_crashing_agent(settings, [] if agents else [str(step)]))
            with contextlib.suppress(AgentError, asyncio.TimeoutError):
                status = await asyncio.wait_for(request_once(address, key, messages.HostStatusRequest()), 1)
                instance = status.instances[0]
                if not is_accepted and instance.phase == "serving":
                    # The order is sent again until a response arrives: the first one may have been lost.
                    order = messages.OrderRequest("o1", "restart", [("n1", 1)], 30 * SECOND)
                    response = await asyncio.wait_for(request_once(address, key, order), 1)
                    is_accepted = response.tasks[0].state != "refused"
                    self.assertTrue(is_accepted, response)
                elif is_accepted and instance.order is None and instance.phase == "serving":
                    return
            await asyncio.sleep(0.02)
        self.fail(f"step {step}: the restart did not end in time")

    async def start_crashing_agent(self, settings: str, step: list[str]) -> asyncio.subprocess.Process:
        command = (sys.executable, "-m", "oakkeel.fakes.crashing", settings, "wb1", *step)
        return await asyncio.create_subprocess_exec(*command, stderr=subprocess.DEVNULL)

    async def assert_restarted_once(self, host: HostSettings, key: Key, step: int) -> None:
        orders = await request_once(host.agent_address, key, messages.ListOrdersRequest())
        self.assertEqual([task.state for task in orders.orders[0].tasks], ["done"], f"step {step}")
        with open(os.path.join(host.state_folder, "n1.journal")) as file:
            events = [line.split()[:2] for line in file if line.startswith(("start ", "end "))]
        self.assertEqual([event for event, _ in events], ["start", "end", "start"], f"step {step}: {events}")
