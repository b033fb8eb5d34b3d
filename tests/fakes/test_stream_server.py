import asyncio
import unittest

from oakkeel.authentication.framing import encode_frame
from oakkeel.fakes.catalogue import Catalogue
from oakkeel.fakes.downstream_service import DownstreamService
from oakkeel.fakes.engine import Engine
from oakkeel.fakes.faulty_link import FaultyLink, LinkDirection
from oakkeel.fakes.site import free_port


class CleanShutdownTest(unittest.TestCase):
    """Closing a fake with open connections leaves no task and causes no error when the loop ends."""

    def setUp(self) -> None:
        self.errors: list[dict] = []
        self.remaining_tasks: list[asyncio.Task] = []

    def run_and_check(self, scenario) -> None:
        async def run() -> None:
            asyncio.get_running_loop().set_exception_handler(lambda _, context: self.errors.append(context))
            await scenario()
            self.remaining_tasks = [
                task for task in asyncio.all_tasks() if task is not asyncio.current_task()
            ]

        asyncio.run(run())  # `asyncio.run` cancels remaining tasks, as at the end of a measurement
        self.assertEqual(self.errors, [])
        self.assertEqual(self.remaining_tasks, [])

    def test_engine_closes_its_link_and_cancels_its_runs(self):
        async def scenario() -> None:
            engine = Engine(work=60.0)
            reader, writer = await asyncio.open_connection("127.0.0.1", await engine.open())
            writer.write(b"ATTACH 0\r\nRUN 7 4\r\nbody\r\n")
            self.assertEqual((await reader.readline())[:5], b"HELLO")
            while not engine.runs:
                await asyncio.sleep(0.01)
            await engine.close()
            self.assertEqual(engine.runs, {})
            writer.close()

        self.run_and_check(scenario)

    def test_catalogue_closes_its_connections(self):
        async def scenario() -> None:
            catalogue = Catalogue()
            reader, writer = await asyncio.open_connection("127.0.0.1", await catalogue.open())
            writer.write(b"FETCH 1 quote 4\r\nbody\r\n")
            self.assertEqual(await reader.readline(), b"1 DATA 8\r\n")
            await catalogue.close()
            self.assertEqual(
                await asyncio.wait_for(reader.read(), 5), b"for body\r\n"
            )  # and the end of the stream
            writer.close()

        self.run_and_check(scenario)

    def test_downstream_service_can_be_opened_again_at_its_port(self):
        async def scenario() -> None:
            service = DownstreamService(free_port())
            for _ in range(2):
                await service.open()
                reader, writer = await asyncio.open_connection("127.0.0.1", service.port)
                self.assertEqual(await asyncio.wait_for(reader.read(), 5), b"")
                writer.close()
                await service.close()
                with self.assertRaises(ConnectionRefusedError):
                    await asyncio.open_connection("127.0.0.1", service.port)

        self.run_and_check(scenario)

    def test_faulty_link_closes_connections_and_drops_delayed_messages(self):
        async def scenario() -> None:
            catalogue = Catalogue()
            request_direction, response_direction = LinkDirection(), LinkDirection()
            link = FaultyLink(("127.0.0.1", await catalogue.open()), request_direction, response_direction, 1)
            port = await link.open()
            _, forwarded = await asyncio.open_connection("127.0.0.1", port)
            request_direction.delay = 60.0
            forwarded.write(encode_frame(b"late"))
            await asyncio.sleep(0.05)
            request_direction.blocked = True  # a new connection gets no answer
            _, unanswered = await asyncio.open_connection("127.0.0.1", port)
            await asyncio.sleep(0.05)
            await link.close()
            await catalogue.close()
            forwarded.close()
            unanswered.close()

        self.run_and_check(scenario)


if __name__ == "__main__":
    unittest.main()
