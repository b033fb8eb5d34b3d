"""The link to the engine, without a node."""

import asyncio
import unittest

from oakkeel.engine.link import EngineLink
from oakkeel.stream_buffers import BufferPool
from tests.support.node_process import WAIT
from tests.support.node_request import LOG, RESOURCE_LIMITS, node_request


class EngineLinkTest(unittest.IsolatedAsyncioTestCase):
    async def test_reconnects_after_an_internal_error_at_a_notice(self):
        # Without the notices of its engine a node answers no request.
        attached = asyncio.Queue()

        async def accepted(reader, writer):
            writer.write(b"HELLO steady 1\r\n")
            attached.put_nowait(await reader.readline())
            await reader.read()
            writer.close()

        def started(cold, age):
            raise RuntimeError("a defect")

        server = await asyncio.start_server(accepted, "127.0.0.1", 0)
        link = EngineLink(server.sockets[0].getsockname(), BufferPool(8192, 9), RESOURCE_LIMITS, LOG, started)
        serving = asyncio.ensure_future(link.serve())
        for _ in range(2):
            self.assertEqual(await asyncio.wait_for(attached.get(), WAIT), b"ATTACH 0\r\n")
        serving.cancel()
        await asyncio.wait((serving,))
        server.close()

    async def test_retries_when_no_buffer_is_left(self):
        # An error must not end the retries.
        attached = asyncio.Queue()

        async def accepted(reader, writer):
            attached.put_nowait(await reader.readline())
            writer.close()

        server = await asyncio.start_server(accepted, "127.0.0.1", 0)
        pool = BufferPool(8192, 0)
        link = EngineLink(server.sockets[0].getsockname(), pool, RESOURCE_LIMITS, LOG, lambda cold, age: None)
        serving = asyncio.ensure_future(link.serve())
        for _ in range(9):
            await asyncio.sleep(0)
        pool.unallocated = 9
        self.assertEqual(await asyncio.wait_for(attached.get(), WAIT), b"ATTACH 0\r\n")
        serving.cancel()
        await asyncio.wait((serving,))
        server.close()

    async def test_resends_a_recent_command_though_gauges_were_answered_after_it(self):
        # A loss may take the youngest commands with it, even after the engine has read them.
        commands, up, links = asyncio.Queue(), asyncio.Event(), []

        async def accepted(reader, writer):
            links.append(writer)
            while line := await reader.readline():
                verb, word = (*line.split(), b"", b"")[:2]
                if verb == b"RUN":
                    commands.put_nowait(word)
                elif verb == b"STAT":
                    writer.write(b"STATS %s 0 0 0 0\r\n" % word)
                elif verb == b"ATTACH":
                    writer.write(b"HELLO steady 1\r\n")
            writer.close()

        server = await asyncio.start_server(accepted, "127.0.0.1", 0)
        link = EngineLink(
            server.sockets[0].getsockname(),
            BufferPool(8192, 9),
            RESOURCE_LIMITS,
            LOG,
            lambda cold, age: up.set(),
        )
        serving = asyncio.ensure_future(link.serve())
        await asyncio.wait_for(up.wait(), WAIT)
        request = node_request()
        link.run(request)
        self.assertEqual(await asyncio.wait_for(commands.get(), WAIT), request.request_id)
        await asyncio.wait_for(link.maintain_and_ask_gauges(), WAIT)
        links[0].close()
        self.assertEqual(await asyncio.wait_for(commands.get(), WAIT), request.request_id)
        serving.cancel()
        await asyncio.wait((serving,))
        server.close()

    async def test_connecting_link_moves_to_a_new_address(self):
        # The earlier address accepts no commands and would never send a greeting.
        attached = asyncio.Queue()

        async def accepted(reader, writer):
            attached.put_nowait((writer.get_extra_info("sockname"), await reader.readline()))
            await reader.read()
            writer.close()

        old, new = [await asyncio.start_server(accepted, "127.0.0.1", 0) for _ in range(2)]
        addresses = [server.sockets[0].getsockname() for server in (old, new)]
        link = EngineLink(addresses[0], BufferPool(8192, 9), RESOURCE_LIMITS, LOG, lambda cold, age: None)
        serving = asyncio.ensure_future(link.serve())
        await asyncio.sleep(0)
        link.move(addresses[1])
        received = (None, b"")
        while received[1] != b"ATTACH 0\r\n":
            received = await asyncio.wait_for(attached.get(), WAIT)
        self.assertEqual(received[0], addresses[1])
        serving.cancel()
        await asyncio.wait((serving,))
        old.close()
        new.close()
