"""The request handler and the events of a request, without a network."""

import asyncio
import time
import unittest
from types import SimpleNamespace

from oakkeel.admission.types import RequestState
from oakkeel.node.components import NodeComponents
from oakkeel.node.host import NodeHost
from oakkeel.node.metrics import Metrics
from oakkeel.node.request_handler import RequestHandler
from oakkeel.node.response_cache import ResponseCache
from oakkeel.request_events import CancelRun, ClientDisconnected, StartRun
from oakkeel.units import SECOND
from tests.support.cancellation import run_event_loop
from tests.support.fake_host import FakeHost
from tests.support.node_request import EVENT_LOG, RESOURCE_LIMITS, node_request


class RequestHandlerTest(unittest.IsolatedAsyncioTestCase):
    async def test_answers_a_request_after_an_internal_error_and_handles_the_next(self):
        calls = []

        class FakeParts:  # stands for the host, the admission controller, the components and a connection
            def __getattr__(self, name):
                return lambda *arguments: calls.append((name, *arguments))

            def notify(self, method, *arguments):
                method(0, *arguments)

            def arrive(self, now, request):
                raise RuntimeError("a defect")

        parts = FakeParts()
        parts.admission = parts
        components = NodeComponents(
            engine=parts,
            listener=parts,
            directory_reporter=parts,
            catalogue=parts,
            response_cache=ResponseCache(RESOURCE_LIMITS, 0),
            metrics=Metrics(),
            log=EVENT_LOG,
        )
        handler = RequestHandler(parts, components)
        for _ in range(2):
            request = node_request(connection=parts)
            await asyncio.wait_for(handler.handle(request), 5)
            self.assertIn(("answer", request, b"fault", b"", False, 0), calls)

    async def test_a_due_answer_waits_neither_for_gauges_nor_for_a_task(self):
        # In a flood of bad clients each such wait takes a pass of the event loop (review/8, review/9).
        answers = []

        class FakeParts:  # stands for the components, whose engine never tells its gauges
            def __getattr__(self, name):
                return lambda *arguments: None

            def answer(self, request, status, *arguments):
                answers.append((request, status))

            def maintain_and_request_gauges(self):
                return asyncio.get_running_loop().create_future()

        parts = FakeParts()
        components = NodeComponents(
            engine=parts,
            listener=parts,
            directory_reporter=parts,
            catalogue=parts,
            response_cache=ResponseCache(RESOURCE_LIMITS, 0),
            metrics=Metrics(),
            log=EVENT_LOG,
        )
        configuration = SimpleNamespace(
            limits=FakeHost(request_classes=[{}]).limits,
            seed=1,
            resource_limits=RESOURCE_LIMITS,
            gauges=[],
            readiness=False,
        )
        host = NodeHost(configuration, components)
        handler = RequestHandler(host, components)
        host.start_admission(False, 0)
        request = node_request(connection=parts, remaining_time=SECOND)
        handling = asyncio.ensure_future(handler.handle(request))
        await run_event_loop()
        self.assertEqual(request.state, RequestState.RUNNING)
        request.deadline = time.monotonic_ns()
        token = next(iter(host.admission.timers.steps))
        host._on_timer_due(token, time.monotonic_ns())
        self.assertEqual(answers, [(request, b"full")])
        handling.cancel()
        for task in host.timer_tasks:
            task.cancel()
        await run_event_loop()
        self.assertEqual(len(answers), 1)

    async def test_delivers_events_in_order(self):
        request = node_request()
        request.post(StartRun())
        request.post(CancelRun())
        self.assertEqual([await request.next_event(), await request.next_event()], [StartRun(), CancelRun()])
        next_event = asyncio.ensure_future(request.next_event())
        await asyncio.sleep(0)
        request.post(ClientDisconnected())
        self.assertEqual(await next_event, ClientDisconnected())
        self.assertEqual(request.state, RequestState.READ)
