"""Tests of the agent's server: authentication, the limit of connections and long responses."""

import asyncio
import contextlib
import itertools
import os
import time
import unittest
from unittest import mock

from oakkeel.agent import messages
from oakkeel.agent.server import AgentServer
from oakkeel.authentication.framing import GREETING_PREFIX, REJECTION, encode_frame
from oakkeel.authentication.mac import Key, Role
from oakkeel.control.messages import NodeStatus
from oakkeel.fleet.agent_clients import AgentRejectedError, request_once
from oakkeel.log import EventLog
from oakkeel.settings.fleet import read_fleet
from oakkeel.settings.keys import read_keys, read_operator_key, write_key
from oakkeel.units import MS, SECOND
from tests.agent.agent_test_case import TIMEOUT_S, AgentTestCase
from tests.support.cancellation import cancel_after_result, run_event_loop


class AgentServerTest(AgentTestCase):
    async def send_frames(self, *frames: bytes) -> list[bytes]:
        """Send frames on one connection; return the challenge and the response to each frame."""
        reader, writer = await asyncio.open_connection(*self.host.agent_address)
        responses = [await self.read_frame(reader)]
        for each in frames:
            writer.write(each)
            responses.append(await self.read_frame(reader))
        writer.close()
        return responses

    async def read_frame(self, reader: asyncio.StreamReader) -> bytes:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionResetError):
            length = int.from_bytes(await asyncio.wait_for(reader.readexactly(4), TIMEOUT_S), "big")
            return await asyncio.wait_for(reader.readexactly(length), TIMEOUT_S)
        return b""

    async def test_rejects_replayed_altered_and_malformed_frames_and_wrong_keys(self):
        agent = await self.start_agent()
        await self.wait_until_serving(agent)
        sent_frames: list[bytes] = []
        with mock.patch(
            "oakkeel.authentication.client.encode_frame",
            lambda content: sent_frames.append(encode_frame(content)) or sent_frames[-1],
        ):
            await self.send_request(messages.OrderRequest("o1", "start", [("n1", 1)], SECOND))
        generation = self.instance(agent, "n1").generation
        for rejected_frame in (
            sent_frames[0],
            sent_frames[0][:-1] + bytes([sent_frames[0][-1] ^ 1]),
            encode_frame(b"what"),
            (1 << 30).to_bytes(4, "big"),
        ):
            hello, response = await self.send_frames(rejected_frame)
            self.assertTrue(hello.startswith(GREETING_PREFIX))
            self.assertEqual(response, REJECTION)
        wrong_key = Key("asha-1", "asha", Role.ACT, os.urandom(32))
        with self.assertRaisesRegex(AgentRejectedError, "the cause is in the agent's log"):
            await request_once(self.host.agent_address, wrong_key, messages.HostStatusRequest())
        self.assertEqual(self.instance(agent, "n1").generation, generation)
        rejections = [line for line in self.log_output.getvalue().splitlines() if "message_rejected" in line]
        self.assertLessEqual(len(rejections), 2)  # at most one log line per second

    async def test_viewer_may_not_send_orders(self):
        agent = await self.start_agent()
        await self.wait_until_serving(agent)
        self.assertIsInstance(
            await self.send_request(messages.HostStatusRequest(), "lena"), messages.HostStatus
        )
        response = await self.send_request(messages.OrderRequest("o1", "stop", [("n1", 1)], SECOND), "lena")
        self.assertEqual(response.why, "lena may only view")
        self.assertEqual(self.instance(agent, "n1").generation, 1)

    async def test_partial_frames_and_too_many_connections_do_not_affect_other_clients(self):
        agent = await self.start_agent()
        await self.wait_until_serving(agent)
        partial_connections = [await asyncio.open_connection(*self.host.agent_address) for _ in range(80)]
        for _, writer in partial_connections:
            writer.write(b"\x00\x00")
        for _ in range(10):
            self.assertIsInstance(await self.send_request(messages.HostStatusRequest()), messages.HostStatus)
        self.assertLessEqual(len(agent.server.connections), agent.server.limits.max_connections)
        for _, writer in partial_connections:
            writer.close()

    async def test_rotates_keys_while_serving(self):
        agent = await self.start_agent()
        old_key = read_operator_key(self.fleet, "asha")
        write_key(os.path.join(self.folder, "asha-2.key"), os.urandom(32))
        both_keys = (
            '<operator name="asha" role="act"><key id="asha-1" file="asha.key"/>'
            '<key id="asha-2" file="asha-2.key"/></operator>'
        )
        for operator, expected in (
            (both_keys, (True, True)),
            (both_keys.replace('<key id="asha-1" file="asha.key"/>', ""), (False, True)),
        ):
            self.site.write_settings(asha=operator)
            agent.keys = read_keys(read_fleet(self.site.settings))
            new_key = agent.keys["asha-2"]
            for key, is_accepted in zip((old_key, new_key), expected, strict=True):
                if is_accepted:
                    self.assertIsInstance(
                        await request_once(self.host.agent_address, key, messages.HostStatusRequest()),
                        messages.HostStatus,
                    )
                else:
                    with self.assertRaises(AgentRejectedError):
                        await request_once(self.host.agent_address, key, messages.HostStatusRequest())

    async def test_sends_the_status_of_a_host_with_a_thousand_instances(self):
        status = messages.HostStatus(
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
        server = AgentServer(
            self.host.agent_address,
            lambda: read_keys(self.fleet),
            lambda key, request: status,
            EventLog("server", 10),
        )
        server.open()
        response = await self.send_request(messages.HostStatusRequest())
        self.assertEqual(len(response.instances), 1000)
        server.close()

    async def test_reports_an_agent_that_answers_after_the_deadline_as_unknown(self):
        async def respond_late(reader, writer):
            tasks.append(asyncio.current_task())
            writer.write(encode_frame(GREETING_PREFIX + b"c" * 16))
            await reader.read(10)
            await asyncio.sleep(0.4)
            writer.write(encode_frame(b"late"))
            writer.close()

        tasks: list[asyncio.Task] = []

        server = await asyncio.start_server(respond_late, *self.host.agent_address)
        started_at = time.monotonic()
        await self.agent_clients.refresh(self.view, deadline=300 * MS)
        self.assertLess(time.monotonic() - started_at, 0.5)
        self.assertEqual(self.view.rows(0)[0].displayed_state, "unknown")
        self.assertIn("did not answer", self.view.notes()[0])
        await asyncio.wait(tasks, timeout=TIMEOUT_S)
        server.close()


class FakeStream:
    """A stream whose writes complete when the test sets their result."""

    def __init__(self, written: asyncio.Future | None = None) -> None:
        self.written = written or asyncio.get_running_loop().create_future()
        self.max_buffer_size = 0

    def write(self, data: bytes) -> asyncio.Future:
        return self.written

    def close(self) -> None:
        pass


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    """One connection of a server; the test delivers its requests, which are not authenticated."""

    async def asyncSetUp(self) -> None:
        self.requests: asyncio.Queue[bytes] = asyncio.Queue()
        self.handled_count = 0
        authenticator = mock.Mock()
        authenticator.verify.return_value = (Key("asha-1", "asha", Role.ACT, b""), b"request")
        authenticator.sign.return_value = b"response"
        module = "oakkeel.agent.server"
        self.enterContext(mock.patch(f"{module}.ServerAuthenticator", return_value=authenticator))
        self.enterContext(mock.patch(f"{module}.read_frame", lambda stream, max_bytes: self.requests.get()))
        self.server = AgentServer(("127.0.0.1", 0), dict, mock.Mock(), EventLog("server", 0))
        self.addCleanup(self.server.socket.close)
        self.enterContext(mock.patch.object(self.server, "_respond", self.respond))

    async def respond(self, key: Key, content: bytes) -> messages.Response:
        self.handled_count += 1
        return messages.ErrorResponse("none")

    async def test_a_connection_that_is_cancelled_as_a_request_arrives_is_cancelled(self):
        task = asyncio.ensure_future(self.server._serve(FakeStream()))
        await run_event_loop()
        self.assertTrue(await cancel_after_result(task, lambda: self.requests.put_nowait(b"request")))

    async def test_a_connection_that_is_cancelled_as_a_response_is_written_is_cancelled(self):
        stream = FakeStream()
        task = asyncio.ensure_future(self.server._serve(stream))
        self.requests.put_nowait(b"request")
        await run_event_loop()
        self.assertEqual(self.handled_count, 1)
        self.assertTrue(await cancel_after_result(task, lambda: stream.written.set_result(None)))

    async def test_a_client_that_always_sends_does_not_block_the_event_loop(self):
        written = asyncio.get_running_loop().create_future()
        written.set_result(None)
        for _ in range(100):
            self.requests.put_nowait(b"request")
        task = asyncio.ensure_future(self.server._serve(FakeStream(written)))
        handled_counts = [0]
        while self.handled_count < 100:
            await asyncio.sleep(0)
            handled_counts.append(self.handled_count)
        task.cancel()
        await asyncio.wait([task])
        self.assertEqual(max(after - before for before, after in itertools.pairwise(handled_counts)), 1)
