"""Tests of an agent that supervises real processes."""

import asyncio
import os
import signal
import subprocess
import sys
import time

from oakkeel.agent import messages
from oakkeel.agent.instances import Phase
from oakkeel.agent.processes import Process, read_start_ticks
from oakkeel.agent.supervision_rules import SupervisionTimeouts
from oakkeel.units import MS, SECOND
from tests.agent.agent_test_case import TIMEOUT_S, AgentTestCase


class InstanceSupervisionTest(AgentTestCase):
    async def test_starts_instances_and_reports_them_with_ages(self):
        agent = await self.start_agent()
        await self.wait_until_serving(agent)
        await self.agent_clients.refresh(self.view)
        rows = self.view.rows(time.monotonic_ns())
        self.assertEqual(
            [(row.name, row.displayed_state) for row in rows],
            [("n1", "serving"), ("n2", "serving"), ("n3", "serving")],
        )
        self.assertTrue(all(0 <= row.age < row.report_age < 2 * SECOND for row in rows))
        self.assertEqual([self.started_generations(name) for name in ("n1", "n2", "n3")], [[1], [1], [1]])

    async def test_treats_a_stopped_process_as_silent_without_killing_it(self):
        agent = await self.start_agent()
        await self.wait_until_serving(agent)
        n1 = self.instance(agent, "n1")
        process = agent.running_processes[n1]
        agent.processes.signal(process, signal.SIGSTOP)
        await self.wait_until(lambda: n1.phase is Phase.SILENT)
        agent.processes.signal(process, signal.SIGCONT)
        await self.wait_until(lambda: n1.phase is Phase.SERVING)
        self.assertEqual((self.started_generations("n1"), agent.running_processes[n1]), ([1], process))

    async def test_treats_an_instance_that_never_answers_as_silent(self):
        self.write_script("n1", "mute")
        agent = await self.start_agent(
            SupervisionTimeouts(
                silence_timeout_ns=400 * MS, start_timeout_ns=500 * MS, min_backoff_ns=50 * MS
            )
        )
        await self.wait_until(lambda: self.instance(agent, "n1").phase is Phase.SILENT)
        self.write_script("n1", "")
        await self.wait_until(lambda: self.instance(agent, "n1").phase is Phase.SERVING)
        self.assertEqual(self.started_generations("n1"), [1])

    async def test_ignores_reports_of_an_old_generation(self):
        self.write_script("n1", "old")
        agent = await self.start_agent(
            SupervisionTimeouts(
                silence_timeout_ns=400 * MS, start_timeout_ns=500 * MS, min_backoff_ns=50 * MS
            )
        )
        await self.wait_until(lambda: self.instance(agent, "n1").phase is Phase.SILENT)
        self.assertIn("received a report of generation 0, expected 1", self.instance(agent, "n1").why)

    async def test_restarts_a_killed_process_with_a_new_generation(self):
        agent = await self.start_agent()
        await self.wait_until_serving(agent)
        n1 = self.instance(agent, "n1")
        agent.processes.signal(agent.running_processes[n1], signal.SIGKILL)
        await self.wait_until(lambda: n1.process_generation == 2 and n1.phase is Phase.SERVING)
        self.assertIn('how="killed by SIGKILL"', self.log_output.getvalue())

    async def test_stops_restarting_a_crash_loop_while_other_instances_serve(self):
        self.write_script("n1", "crash")
        agent = await self.start_agent(
            SupervisionTimeouts(min_backoff_ns=10 * MS, max_restarts=3, silence_timeout_ns=400 * MS)
        )
        n1 = self.instance(agent, "n1")
        await self.wait_until(lambda: n1.restarts_exhausted)
        start_count = len(self.started_generations("n1"))
        await self.wait_until(lambda: self.instance(agent, "n2").phase is Phase.SERVING)
        self.assertEqual((start_count, len(self.started_generations("n1"))), (4, 4))
        response = await self.send_request(messages.HostStatusRequest())
        self.assertEqual(
            (response.instances[0].restarts_exhausted, response.instances[0].why), (True, "exit code 3")
        )
        self.write_script("n1", "")
        await self.submit_order("start", "n1")
        self.assertEqual(await self.wait_for_final_states(), {"n1": "done"})

    async def test_never_signals_or_adopts_a_reused_pid(self):
        agent = await self.start_agent()
        await self.wait_until_serving(agent)
        with subprocess.Popen([sys.executable, "-c", "input()"], stdin=subprocess.PIPE) as unrelated_process:
            with open(os.path.join(self.host.state_folder, "n1.pid"), "w") as file:
                file.write(f"{unrelated_process.pid} 1\n")
            self.assertIsNone(agent.processes.adopt("n1"))  # the process does not hold the lock
            pidfd = os.pidfd_open(unrelated_process.pid)
            earlier_process = Process(
                "n1", unrelated_process.pid, read_start_ticks(unrelated_process.pid) - 1, 1, pidfd
            )
            agent.processes.watched[pidfd] = earlier_process
            self.assertFalse(agent.processes.signal(earlier_process, signal.SIGKILL))
            del agent.processes.watched[pidfd]
            os.close(pidfd)
            self.assertIsNone(unrelated_process.poll())
            unrelated_process.communicate(b"\n")
        with open(os.path.join(self.host.state_folder, "n1.pid"), "w") as file:
            file.write(f"{agent.running_processes[self.instance(agent, 'n1')].pid} 1\n")

    async def test_second_agent_of_a_host_exits_with_the_reason(self):
        first_agent = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "oakkeel.fakes.crashing",
            self.site.settings,
            "wb1",
            stderr=subprocess.PIPE,
        )
        await asyncio.wait_for(first_agent.stderr.readline(), TIMEOUT_S)
        second_agent = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "oakkeel.agent", self.site.settings, "wb1", stderr=subprocess.PIPE
        )
        _, error = await asyncio.wait_for(second_agent.communicate(), TIMEOUT_S)
        self.assertEqual(
            (second_agent.returncode, error.decode()),
            (2, f"oakkeel: another agent already runs for wb1: process {first_agent.pid}\n"),
        )
        first_agent.terminate()
        await first_agent.communicate()
        self.assertEqual(first_agent.returncode, 0)

    async def test_next_agent_adopts_running_processes_and_restarts_ended_instances(self):
        agent = await self.start_agent()
        await self.wait_until_serving(agent)
        pids = {each.name: process.pid for each, process in agent.running_processes.items()}
        await self.stop(agent)
        os.kill(pids["n3"], signal.SIGKILL)
        next_agent = await self.start_agent()
        await self.wait_until(lambda: self.instance(next_agent, "n3").process_generation == 2)
        await self.wait_until_serving(next_agent)
        self.assertEqual(
            [next_agent.running_processes[self.instance(next_agent, name)].pid for name in ("n1", "n2")],
            [pids["n1"], pids["n2"]],
        )
        self.assertEqual([self.started_generations(name) for name in ("n1", "n2", "n3")], [[1], [1], [1, 2]])

    async def test_quarantines_damaged_state_and_adopts_running_processes(self):
        agent = await self.start_agent()
        await self.wait_until_serving(agent)
        await self.stop(agent)
        with open(os.path.join(self.host.state_folder, "agent.db"), "r+b") as file:
            file.write(b"\x00" * 8192)
        next_agent = await self.start_agent()
        await self.wait_until_serving(next_agent)
        response = await self.send_request(messages.HostStatusRequest())
        self.assertIn("the state file was quarantined", response.notes[0])
        self.assertEqual(
            (self.started_generations("n1"), [each.generation for each in response.instances]),
            ([1], [1, 1, 1]),
        )
