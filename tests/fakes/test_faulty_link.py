import asyncio
import contextlib
import unittest

from oakkeel.authentication.framing import encode_frame


class FaultyLinkTest(unittest.IsolatedAsyncioTestCase):
    async def test_loses_and_duplicates_whole_messages(self):
        from oakkeel.fakes.faulty_link import FaultyLink, LinkDirection

        async def echo(reader, writer):
            with contextlib.suppress(asyncio.IncompleteReadError):
                while True:
                    length_field = await reader.readexactly(4)
                    writer.write(length_field + await reader.readexactly(int.from_bytes(length_field, "big")))

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        request_direction, response_direction = LinkDirection(), LinkDirection()
        link = FaultyLink(server.sockets[0].getsockname(), request_direction, response_direction, 1)
        reader, writer = await asyncio.open_connection("127.0.0.1", await link.open())
        writer.write(encode_frame(b"one"))
        self.assertEqual(await reader.readexactly(7), encode_frame(b"one"))
        request_direction.blocked = True
        writer.write(encode_frame(b"lost"))
        await asyncio.sleep(0.1)
        request_direction.blocked, request_direction.double = False, 1.0
        writer.write(encode_frame(b"two"))
        self.assertEqual(await asyncio.wait_for(reader.readexactly(14), 5), encode_frame(b"two") * 2)
        self.assertEqual(link.lost_count, 1)
        writer.close()
        await link.close()
        server.close()


if __name__ == "__main__":
    unittest.main()
