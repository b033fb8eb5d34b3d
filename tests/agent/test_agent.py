"""Stories of a whole agent: real processes and sockets, stand-ins for nodes, an agent killed at any step."""

import asyncio
import contextlib
import io
import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from unittest import mock

from oakkeel.agent import messages
from oakkeel.agent.agent import Agent
from oakkeel.agent.instances import Phase
from oakkeel.agent.processes import Process, Processes, started
from oakkeel.agent.server import AgentServer
from oakkeel.agent.storage import SCHEMA, VERSION
from oakkeel.agent.supervisor import MS, SECOND, SupervisionTimeouts
from oakkeel.authentication.framing import HELLO, REFUSED, frame
from oakkeel.authentication.mac import Key, Role
from oakkeel.control.messages import NodeStatus
from oakkeel.fakes.crashing import PROGRAM
from oakkeel.fakes.site import FakeSite
from oakkeel.fleet.agent_clients import AgentClients, AgentError, AgentRejectedError, request_once
from oakkeel.fleet.view import FleetView
from oakkeel.log import EventLog
from oakkeel.settings.fleet import read_fleet
from oakkeel.settings.keys import read_keys, read_operator_key, write_key
from oakkeel.store.database import Database, DatabaseError

WAIT = 20.0
FAST = SupervisionTimeouts(
    silent=400 * MS, start=3 * SECOND, stuck=60 * SECOND, drain=SECOND, backoff=50 * MS
)


class AgentStory(unittest.IsolatedAsyncioTestCase):
    """A folder with settings and keys, and whatever a story starts in it."""

    async def asyncSetUp(self) -> None:
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.site = FakeSite(self.folder, {"wb1": ["n1", "n2", "n3"]}, max_unavailable=1)
        for key in ("asha", "ravi", "lena"):
            write_key(os.path.join(self.folder, f"{key}.key"), os.urandom(32))
        self.site.write_settings()
        self.fleet = read_fleet(self.site.settings)
        self.host = self.fleet.hosts[0]
        self.said = io.StringIO()
        self.agents, self.view = (
            AgentClients(self.fleet, read_operator_key(self.fleet, "asha")),
            FleetView(self.fleet),
        )
        self.addAsyncCleanup(self.end_all)

    async def end_all(self) -> None:
        """By the pids that the stand-ins wrote down themselves, and only while they hold their lock."""
        os.makedirs(self.host.state, exist_ok=True)
        processes = Processes(self.host.state, lambda process, why: None)
        for name in ("n1", "n2", "n3"):
            if processes.holds(name) and (process := processes.take_up(name)):
                processes.signal(process, signal.SIGCONT)
                processes.signal(process, signal.SIGKILL)
        processes.close()

    def script(self, name: str, words: str) -> None:
        os.makedirs(self.host.state, exist_ok=True)
        with open(os.path.join(self.host.state, f"{name}.script"), "w") as file:
            file.write(words)

    def journal(self, name: str) -> list[list[str]]:
        with contextlib.suppress(OSError), open(os.path.join(self.host.state, f"{name}.journal")) as file:
            return [line.split() for line in file]
        return []

    def starts(self, name: str) -> list[int]:
        return [int(line[1]) for line in self.journal(name) if line[0] == "start"]

    async def agent(self, patience: SupervisionTimeouts = FAST, **more) -> Agent:
        """An agent in this process, which `leave` ends as SIGTERM would."""
        agent = Agent(
            self.host,
            patience,
            read_keys(self.fleet),
            EventLog("agent", 1000, stream=self.said),
            7,
            program=PROGRAM,
            **more,
        )
        with mock.patch.object(asyncio.get_running_loop(), "add_signal_handler"):
            task = asyncio.ensure_future(agent.run())
            await asyncio.sleep(0)
        self.addAsyncCleanup(self.leave, agent, task)
        agent.task = task
        return agent

    async def leave(self, agent: Agent, task: asyncio.Task | None = None) -> None:
        agent.done.set()
        await asyncio.wait((task or agent.task,))

    async def until(self, done, what: str = "") -> None:
        """Wait for something that the agent's own turns bring about."""
        end = time.monotonic() + WAIT
        while not done():
            self.assertLess(time.monotonic(), end, what or self.said.getvalue())
            await asyncio.sleep(0.01)

    async def serving(self, agent: Agent) -> None:
        await self.until(lambda: all(each.phase is Phase.SERVING for each in agent.supervision.instances))

    def of(self, agent: Agent, name: str):
        return agent.orders.named[name]

    async def ask(self, wish: messages.Request, operator: str = "asha") -> messages.Response:
        return await asyncio.wait_for(
            request_once(self.host.agent, read_operator_key(self.fleet, operator), wish), WAIT
        )

    async def order(
        self,
        verb: str,
        *names: str,
        ident: str = "o1",
        operator: str = "asha",
        generation: int = 0,
        supersede: bool = False,
    ) -> dict[str, messages.TaskStatus]:
        asked = [(name, generation or await self.generation(name)) for name in names]
        told = await self.ask(messages.OrderRequest(ident, verb, asked, 30 * SECOND, supersede), operator)
        self.assertIsInstance(told, messages.OrderStatus, told)
        return {part.instance: part for part in told.tasks}

    async def generation(self, name: str) -> int:
        told = await self.ask(messages.HostStatusRequest())
        return next(each.generation for each in told.instances if each.name == name)

    async def ended(self, ident: str = "o1") -> dict[str, str]:
        """Wait until an order is over; returns its instances with their states."""
        end = time.monotonic() + WAIT
        while time.monotonic() < end:
            told = await self.ask(messages.ListOrdersRequest())
            for order in told.orders:
                if order.order_id == ident and not any(
                    part.state in ("waiting", "acting") for part in order.tasks
                ):
                    return {part.instance: part.state for part in order.tasks}
            await asyncio.sleep(0.02)
        raise AssertionError(f"order {ident} did not end: {told}\n{self.said.getvalue()}")


class WatchingStories(AgentStory):
    async def test_instances_are_started_watched_and_told_with_their_ages(self):
        agent = await self.agent()
        await self.serving(agent)
        await self.agents.refresh(self.view)
        rows = self.view.rows(time.monotonic_ns())
        self.assertEqual(
            [(row.name, row.shown) for row in rows], [("n1", "serving"), ("n2", "serving"), ("n3", "serving")]
        )
        self.assertTrue(all(0 <= row.age < row.report_age < 2 * SECOND for row in rows))
        self.assertEqual([self.starts(name) for name in ("n1", "n2", "n3")], [[1], [1], [1]])

    async def test_a_stopped_one_is_silent_and_neither_killed_nor_replaced(self):
        agent = await self.agent()
        await self.serving(agent)
        n1 = self.of(agent, "n1")
        process = agent.alive[n1]
        agent.processes.signal(process, signal.SIGSTOP)
        await self.until(lambda: n1.phase is Phase.SILENT)
        agent.processes.signal(process, signal.SIGCONT)
        await self.until(lambda: n1.phase is Phase.SERVING)
        self.assertEqual((self.starts("n1"), agent.alive[n1]), ([1], process))

    async def test_one_that_accepts_and_never_answers_is_silent(self):
        self.script("n1", "mute")
        agent = await self.agent(SupervisionTimeouts(silent=400 * MS, start=500 * MS, backoff=50 * MS))
        await self.until(lambda: self.of(agent, "n1").phase is Phase.SILENT)
        self.script("n1", "")
        await self.until(lambda: self.of(agent, "n1").phase is Phase.SERVING)
        self.assertEqual(self.starts("n1"), [1])

    async def test_one_that_answers_an_old_generation_is_not_believed(self):
        self.script("n1", "old")
        agent = await self.agent(SupervisionTimeouts(silent=400 * MS, start=500 * MS, backoff=50 * MS))
        await self.until(lambda: self.of(agent, "n1").phase is Phase.SILENT)
        self.assertIn("generation 0 answers in place of 1", self.of(agent, "n1").why)

    async def test_a_killed_one_comes_back_with_a_new_generation(self):
        agent = await self.agent()
        await self.serving(agent)
        n1 = self.of(agent, "n1")
        agent.processes.signal(agent.alive[n1], signal.SIGKILL)
        await self.until(lambda: n1.born == 2 and n1.phase is Phase.SERVING)
        self.assertIn('how="killed by SIGKILL"', self.said.getvalue())

    async def test_a_crash_loop_rests_and_the_others_serve(self):
        self.script("n1", "crash")
        agent = await self.agent(SupervisionTimeouts(backoff=10 * MS, budget=3, silent=400 * MS))
        n1 = self.of(agent, "n1")
        await self.until(lambda: n1.resting)
        count = len(self.starts("n1"))
        await self.until(lambda: self.of(agent, "n2").phase is Phase.SERVING)
        self.assertEqual((count, len(self.starts("n1"))), (4, 4))
        told = await self.ask(messages.HostStatusRequest())
        self.assertEqual((told.instances[0].restarts_exhausted, told.instances[0].why), (True, "exit code 3"))
        self.script("n1", "")
        await self.order("start", "n1")
        self.assertEqual(await self.ended(), {"n1": "done"})

    async def test_a_pid_used_again_is_never_signalled_nor_taken_up(self):
        agent = await self.agent()
        await self.serving(agent)
        with subprocess.Popen([sys.executable, "-c", "input()"], stdin=subprocess.PIPE) as stranger:
            with open(os.path.join(self.host.state, "n1.pid"), "w") as file:
                file.write(f"{stranger.pid} 1\n")
            self.assertIsNone(agent.processes.take_up("n1"))  # it does not hold the lock
            pidfd = os.pidfd_open(stranger.pid)
            again = Process("n1", stranger.pid, started(stranger.pid) - 1, 1, pidfd)
            agent.processes.watched[pidfd] = again
            self.assertFalse(agent.processes.signal(again, signal.SIGKILL))
            del agent.processes.watched[pidfd]
            os.close(pidfd)
            self.assertIsNone(stranger.poll())
            stranger.communicate(b"\n")
        with open(os.path.join(self.host.state, "n1.pid"), "w") as file:
            file.write(f"{agent.alive[self.of(agent, 'n1')].pid} 1\n")

    async def test_a_second_agent_for_the_host_ends_at_once_and_says_why(self):
        first = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "oakkeel.fakes.crashing",
            self.site.settings,
            "wb1",
            stderr=subprocess.PIPE,
        )
        await asyncio.wait_for(first.stderr.readline(), WAIT)
        second = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "oakkeel.agent", self.site.settings, "wb1", stderr=subprocess.PIPE
        )
        _, error = await asyncio.wait_for(second.communicate(), WAIT)
        self.assertEqual(
            (second.returncode, error.decode()),
            (2, f"oakkeel: another agent looks after wb1 already: process {first.pid}\n"),
        )
        first.terminate()
        await first.communicate()
        self.assertEqual(first.returncode, 0)

    async def test_the_next_agent_takes_up_what_runs_and_finds_out_what_ended(self):
        agent = await self.agent()
        await self.serving(agent)
        pids = {each.name: process.pid for each, process in agent.alive.items()}
        await self.leave(agent)
        os.kill(pids["n3"], signal.SIGKILL)
        again = await self.agent()
        await self.until(lambda: self.of(again, "n3").born == 2)
        await self.serving(again)
        self.assertEqual(
            [again.alive[self.of(again, name)].pid for name in ("n1", "n2")], [pids["n1"], pids["n2"]]
        )
        self.assertEqual([self.starts(name) for name in ("n1", "n2", "n3")], [[1], [1], [1, 2]])

    async def test_a_damaged_state_is_set_aside_named_and_what_runs_is_taken_up_all_the_same(self):
        agent = await self.agent()
        await self.serving(agent)
        await self.leave(agent)
        with open(os.path.join(self.host.state, "agent.db"), "r+b") as file:
            file.write(b"\x00" * 8192)
        again = await self.agent()
        await self.serving(again)
        told = await self.ask(messages.HostStatusRequest())
        self.assertIn("the state was set aside", told.notes[0])
        self.assertEqual((self.starts("n1"), [each.generation for each in told.instances]), ([1], [1, 1, 1]))


class OrderingStories(AgentStory):
    async def test_opposite_orders_in_the_same_moment_leave_one_standing_and_the_other_told(self):
        agent = await self.agent()
        await self.serving(agent)
        wishes = [
            (messages.OrderRequest("o1", "stop", [("n1", 1)], 30 * SECOND), "asha"),
            (messages.OrderRequest("o2", "restart", [("n1", 1)], 30 * SECOND), "ravi"),
        ]
        first, second = await asyncio.gather(*(self.ask(*wish) for wish in wishes))
        states = sorted(answer.tasks[0].state for answer in (first, second))
        self.assertEqual(states[0], "refused")
        refused, stands = (first, second) if first.tasks[0].state == "refused" else (second, first)
        self.assertIn(f"{stands.operator}'s {stands.verb} stands since", refused.tasks[0].why)
        self.assertEqual(await self.ended(stands.order_id), {"n1": "done"})

    async def test_a_rolling_restart_keeps_the_bound_and_starts_each_once(self):
        agent = await self.agent()
        await self.serving(agent)
        await self.order("restart", "n1", "n2", "n3")
        worst = 0
        while agent.orders.orders["o1"].open:
            worst = max(worst, agent.supervision.out["woodbrook"])
            await asyncio.sleep(0.005)
        self.assertEqual(worst, 1)
        self.assertEqual([self.starts(name) for name in ("n1", "n2", "n3")], [[1, 3], [1, 3], [1, 3]])

    async def test_a_stop_kills_what_does_not_leave_in_its_time_and_a_restart_meets_a_drain(self):
        self.script("n1", "deaf")
        agent = await self.agent()
        await self.serving(agent)
        await self.order("drain", "n1")
        await self.until(lambda: self.of(agent, "n1").phase is Phase.DRAINING)
        await self.order("restart", "n1", ident="o2", operator="ravi", supersede=True)
        self.assertEqual(await self.ended("o2"), {"n1": "done"})
        self.assertEqual(await self.ended("o1"), {"n1": "superseded"})
        self.assertIn("drain_timeout_killed", self.said.getvalue())

    async def test_sigterm_to_the_agent_leaves_open_orders_to_the_next(self):
        self.script("n1", "deaf")
        agent = await self.agent()
        await self.serving(agent)
        await self.order("drain", "n1")
        await self.until(lambda: self.of(agent, "n1").phase is Phase.DRAINING)
        await self.leave(agent)
        self.script("n1", "")
        again = await self.agent()
        self.assertEqual(await self.ended(), {"n1": "done"})
        self.assertEqual((self.of(again, "n1").phase, self.starts("n1")), (Phase.STOPPED, [1]))

    async def test_a_full_disk_refuses_orders_and_watching_goes_on(self):
        os.makedirs(self.host.state, exist_ok=True)
        store = Database(os.path.join(self.host.state, "agent.db"), SCHEMA, VERSION)
        agent = await self.agent(store=store)
        await self.serving(agent)
        store.connection.execute("PRAGMA max_page_count = 1")  # as full as it can be
        for number in range(200):  # until what is free in the pages that it has is used up
            generation = await self.generation("n2")
            answer = await self.ask(
                messages.OrderRequest(f"f{number}", "start", [("n2", generation)], SECOND)
            )
            if isinstance(answer, messages.ErrorResponse):
                break
        self.assertIn("can't be kept: database or disk is full", getattr(answer, "why", ""))
        self.assertEqual(await self.generation("n2"), generation)
        with mock.patch.object(store, "write", side_effect=DatabaseError("database or disk is full")):
            n1 = self.of(agent, "n1")
            agent.processes.signal(agent.alive[n1], signal.SIGKILL)
            await self.until(lambda: n1.born == 2 and n1.phase is Phase.SERVING)
            self.assertIn("orders wait", (await self.ask(messages.HostStatusRequest())).notes[0])
        store.connection.execute("PRAGMA max_page_count = 10000")
        await self.until(lambda: not agent.store_fault)
        await self.order("restart", "n2", ident="later")
        self.assertEqual(await self.ended("later"), {"n2": "done"})

    async def test_a_state_file_that_is_read_only_refuses_orders_too(self):
        os.makedirs(self.host.state, exist_ok=True)
        store = Database(os.path.join(self.host.state, "agent.db"), SCHEMA, VERSION)
        agent = await self.agent(store=store)
        await self.serving(agent)
        store.connection.execute("PRAGMA query_only = 1")
        answer = await self.ask(messages.OrderRequest("o1", "stop", [("n1", 1)], SECOND))
        self.assertIn("readonly", getattr(answer, "why", ""))
        self.assertEqual((self.of(agent, "n1").generation, self.of(agent, "n1").phase), (1, Phase.SERVING))

    async def test_killed_at_every_durable_step_of_an_order_it_is_carried_out_once(self):
        """Each step in an agent and a folder of its own, several at a time."""
        together = asyncio.Semaphore(8)

        async def one(step: int) -> bool:
            async with together:
                return await self.crash_at(step)

        survived, step = [], 1
        while not any(survived):
            survived = await asyncio.gather(*(one(each) for each in range(step, step + 16)))
            step += 16
        self.assertGreater(step - 16 + survived.index(True), 14)

    async def crash_at(self, step: int) -> bool:
        """Whether the agent never came to that step. In any case the restart was carried out once."""
        folder = os.path.join(self.folder, f"at{step}")
        os.mkdir(folder)
        site = FakeSite(folder, {"wb1": ["n1"]}, max_unavailable=1, supervision='<supervision backoff="50ms"/>')
        write_key(os.path.join(folder, "asha.key"), os.urandom(32))
        site.write_settings(ravi="", lena="")
        fleet = read_fleet(site.settings)
        host, key = fleet.hosts[0], read_operator_key(fleet, "asha")
        crash, died, agent = step, False, None
        try:
            end, taken = time.monotonic() + 2 * WAIT, False
            while time.monotonic() < end:
                if agent is None or agent.returncode is not None:
                    died = died or agent is not None
                    agent = await asyncio.create_subprocess_exec(
                        sys.executable,
                        "-m",
                        "oakkeel.fakes.crashing",
                        site.settings,
                        "wb1",
                        *([str(crash)] if agent is None else []),
                        stderr=subprocess.DEVNULL,
                    )
                with contextlib.suppress(AgentError, asyncio.TimeoutError):
                    told = await asyncio.wait_for(
                        request_once(host.agent, key, messages.HostStatusRequest()), 1
                    )
                    if not taken and told.instances[0].phase == "serving":
                        # The same words again whenever no answer came: the sender can't know.
                        answer = await asyncio.wait_for(
                            request_once(
                                host.agent,
                                key,
                                messages.OrderRequest("o1", "restart", [("n1", 1)], 30 * SECOND),
                            ),
                            1,
                        )
                        taken = answer.tasks[0].state != "refused"
                        self.assertTrue(taken, answer)
                    elif taken and told.instances[0].order is None and told.instances[0].phase == "serving":
                        break
                await asyncio.sleep(0.02)
            else:
                self.fail(f"step {step}: no end")
            orders = await request_once(host.agent, key, messages.ListOrdersRequest())
            self.assertEqual([part.state for part in orders.orders[0].tasks], ["done"], f"step {step}")
            with open(os.path.join(host.state, "n1.journal")) as file:
                words = [line.split()[:2] for line in file if line.startswith(("start ", "end "))]
            self.assertEqual([word for word, _ in words], ["start", "end", "start"], f"step {step}: {words}")
            return not died
        finally:
            if agent and agent.returncode is None:
                agent.kill()
                await agent.wait()
            processes = Processes(host.state, lambda process, why: None)
            if process := processes.take_up("n1"):
                processes.signal(process, signal.SIGKILL)
            processes.close()


class DoorStories(AgentStory):
    async def raw(self, *frames: bytes) -> list[bytes]:
        """What comes back on one link for these frames, and the challenge first."""
        reader, writer = await asyncio.open_connection(*self.host.agent)
        answers = [await self.frame(reader)]
        for each in frames:
            writer.write(each)
            answers.append(await self.frame(reader))
        writer.close()
        return answers

    async def frame(self, reader: asyncio.StreamReader) -> bytes:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionResetError):
            length = int.from_bytes(await asyncio.wait_for(reader.readexactly(4), WAIT), "big")
            return await asyncio.wait_for(reader.readexactly(length), WAIT)
        return b""

    async def test_replayed_altered_and_foreign_messages_learn_and_change_nothing(self):
        agent = await self.agent()
        await self.serving(agent)
        recorded: list[bytes] = []
        with mock.patch(
            "oakkeel.authentication.client.frame",
            lambda content: recorded.append(frame(content)) or recorded[-1],
        ):
            await self.ask(messages.OrderRequest("o1", "start", [("n1", 1)], SECOND))
        generation = self.of(agent, "n1").generation
        for spoilt in (
            recorded[0],
            recorded[0][:-1] + bytes([recorded[0][-1] ^ 1]),
            frame(b"what"),
            (1 << 30).to_bytes(4, "big"),
        ):
            hello, answer = await self.raw(spoilt)
            self.assertTrue(hello.startswith(HELLO))
            self.assertEqual(answer, REFUSED)
        wrong = Key("asha-1", "asha", Role.ACT, os.urandom(32))
        with self.assertRaisesRegex(AgentRejectedError, "its log says why"):
            await request_once(self.host.agent, wrong, messages.HostStatusRequest())
        self.assertEqual(self.of(agent, "n1").generation, generation)
        refusals = [line for line in self.said.getvalue().splitlines() if "message_rejected" in line]
        self.assertLessEqual(len(refusals), 2)  # once a second at most

    async def test_one_who_views_may_not_act(self):
        agent = await self.agent()
        await self.serving(agent)
        self.assertIsInstance(await self.ask(messages.HostStatusRequest(), "lena"), messages.HostStatus)
        answer = await self.ask(messages.OrderRequest("o1", "stop", [("n1", 1)], SECOND), "lena")
        self.assertEqual(answer.why, "lena may view and not act")
        self.assertEqual(self.of(agent, "n1").generation, 1)

    async def test_half_a_message_and_more_links_than_there_may_be_cost_only_themselves(self):
        agent = await self.agent()
        await self.serving(agent)
        half = [await asyncio.open_connection(*self.host.agent) for _ in range(80)]
        for _, writer in half:
            writer.write(b"\x00\x00")
        for _ in range(10):
            self.assertIsInstance(await self.ask(messages.HostStatusRequest()), messages.HostStatus)
        self.assertLessEqual(len(agent.door.links), agent.door.bounds.links)
        for _, writer in half:
            writer.close()

    async def test_keys_change_while_it_serves_and_the_old_one_goes_with_the_settings(self):
        agent = await self.agent()
        old = read_operator_key(self.fleet, "asha")
        write_key(os.path.join(self.folder, "asha-2.key"), os.urandom(32))
        two = (
            '<operator name="asha" role="act"><key id="asha-1" file="asha.key"/>'
            '<key id="asha-2" file="asha-2.key"/></operator>'
        )
        for text, good in (
            (two, (True, True)),
            (two.replace('<key id="asha-1" file="asha.key"/>', ""), (False, True)),
        ):
            self.site.write_settings(asha=text)
            agent.keys = read_keys(read_fleet(self.site.settings))
            new = agent.keys["asha-2"]
            for key, taken in zip((old, new), good, strict=True):
                if taken:
                    self.assertIsInstance(
                        await request_once(self.host.agent, key, messages.HostStatusRequest()),
                        messages.HostStatus,
                    )
                else:
                    with self.assertRaises(AgentRejectedError):
                        await request_once(self.host.agent, key, messages.HostStatusRequest())

    async def test_a_host_of_a_thousand_instances_can_be_told(self):
        whole = messages.HostStatus(
            "wb1",
            "woodbrook",
            1,
            1,
            1,
            0,
            [],
            [
                messages.InstanceStatus(
                    f"n{number}",
                    "serving",
                    1,
                    "up",
                    1,
                    1,
                    "the agent",
                    77,
                    1,
                    NodeStatus(1, "n", 1, 1, "serving", "a:1", 1),
                    None,
                    0,
                    False,
                    0,
                    "",
                )
                for number in range(1000)
            ],
        )
        door = AgentServer(
            self.host.agent, lambda: read_keys(self.fleet), lambda key, wish: whole, EventLog("door", 10)
        )
        door.open()
        told = await self.ask(messages.HostStatusRequest())
        self.assertEqual(len(told.instances), 1000)
        door.close()

    async def test_an_agent_that_answers_after_the_deadline_is_told_as_silent(self):
        async def late(reader, writer):
            tasks.append(asyncio.current_task())
            writer.write(frame(HELLO + b"c" * 16))
            await reader.read(10)
            await asyncio.sleep(0.4)
            writer.write(frame(b"late"))
            writer.close()

        tasks: list[asyncio.Task] = []

        server = await asyncio.start_server(late, *self.host.agent)
        began = time.monotonic()
        await self.agents.refresh(self.view, deadline=300 * MS)
        self.assertLess(time.monotonic() - began, 0.5)
        self.assertEqual(self.view.rows(0)[0].shown, "unknown")
        self.assertIn("did not answer", self.view.notes()[0])
        await asyncio.wait(tasks, timeout=WAIT)
        server.close()
