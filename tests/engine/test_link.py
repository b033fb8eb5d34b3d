"""The link to the engine, without a node."""

import asyncio
import unittest

from oakkeel.engine.link import EngineLink
from oakkeel.stream_buffers import BufferPool
from tests.support.node_process import TIMEOUT_S
from tests.support.node_request import EVENT_LOG, RESOURCE_LIMITS, node_request


class EngineLinkTest(unittest.IsolatedAsyncioTestCase):
    async def test_reconnects_after_an_internal_error_at_a_notice(self):
        # A node that no longer reads its engine's notices answers no request.
        attach_lines = asyncio.Queue()

        async def accept_connection(reader, writer):
            writer.write(b"HELLO steady 1\r\n")
            attach_lines.put_nowait(await reader.readline())
            await reader.read()
            writer.close()

        def on_started(is_booting, age):
            raise RuntimeError("a defect")

        server = await asyncio.start_server(accept_connection, "127.0.0.1", 0)
        link = EngineLink(
            server.sockets[0].getsockname(), BufferPool(8192, 9), RESOURCE_LIMITS, EVENT_LOG, on_started
        )
        serving = asyncio.ensure_future(link.serve())
        for _ in range(2):
            self.assertEqual(await asyncio.wait_for(attach_lines.get(), TIMEOUT_S), b"ATTACH 0\r\n")
        serving.cancel()
        await asyncio.wait((serving,))
        server.close()

    async def test_retries_when_no_buffer_is_left(self):
        # The error of a missing buffer must not end the retries.
        attach_lines = asyncio.Queue()

        async def accept_connection(reader, writer):
            attach_lines.put_nowait(await reader.readline())
            writer.close()

        server = await asyncio.start_server(accept_connection, "127.0.0.1", 0)
        pool = BufferPool(8192, 0)
        link = EngineLink(
            server.sockets[0].getsockname(), pool, RESOURCE_LIMITS, EVENT_LOG, lambda is_booting, age: None
        )
        serving = asyncio.ensure_future(link.serve())
        for _ in range(9):
            await asyncio.sleep(0)
        pool.unallocated = 9
        self.assertEqual(await asyncio.wait_for(attach_lines.get(), TIMEOUT_S), b"ATTACH 0\r\n")
        serving.cancel()
        await asyncio.wait((serving,))
        server.close()

    async def test_resends_a_recent_command_though_gauges_were_answered_after_it(self):
        # A lost connection may lose the most recent commands, even after the engine has read them.
        received_runs, engine_started, writers = asyncio.Queue(), asyncio.Event(), []

        async def accept_connection(reader, writer):
            writers.append(writer)
            while line := await reader.readline():
                verb, argument = (*line.split(), b"", b"")[:2]
                if verb == b"RUN":
                    received_runs.put_nowait(argument)
                elif verb == b"STAT":
                    writer.write(b"STATS %s 0 0 0 0\r\n" % argument)
                elif verb == b"ATTACH":
                    writer.write(b"HELLO steady 1\r\n")
            writer.close()

        server = await asyncio.start_server(accept_connection, "127.0.0.1", 0)
        link = EngineLink(
            server.sockets[0].getsockname(),
            BufferPool(8192, 9),
            RESOURCE_LIMITS,
            EVENT_LOG,
            lambda is_booting, age: engine_started.set(),
        )
        serving = asyncio.ensure_future(link.serve())
        await asyncio.wait_for(engine_started.wait(), TIMEOUT_S)
        request = node_request()
        link.run(request)
        self.assertEqual(await asyncio.wait_for(received_runs.get(), TIMEOUT_S), request.request_id)
        await asyncio.wait_for(link.maintain_and_request_gauges(), TIMEOUT_S)
        writers[0].close()
        self.assertEqual(await asyncio.wait_for(received_runs.get(), TIMEOUT_S), request.request_id)
        serving.cancel()
        await asyncio.wait((serving,))
        server.close()

    async def test_connecting_link_moves_to_a_new_address(self):
        # The server at the earlier address never sends a greeting.
        attach_lines = asyncio.Queue()

        async def accept_connection(reader, writer):
            attach_lines.put_nowait((writer.get_extra_info("sockname"), await reader.readline()))
            await reader.read()
            writer.close()

        old, new = [await asyncio.start_server(accept_connection, "127.0.0.1", 0) for _ in range(2)]
        addresses = [server.sockets[0].getsockname() for server in (old, new)]
        link = EngineLink(
            addresses[0], BufferPool(8192, 9), RESOURCE_LIMITS, EVENT_LOG, lambda is_booting, age: None
        )
        serving = asyncio.ensure_future(link.serve())
        await asyncio.sleep(0)
        link.change_address(addresses[1])
        received = (None, b"")
        while received[1] != b"ATTACH 0\r\n":
            received = await asyncio.wait_for(attach_lines.get(), TIMEOUT_S)
        self.assertEqual(received[0], addresses[1])
        serving.cancel()
        await asyncio.wait((serving,))
        old.close()
        new.close()
