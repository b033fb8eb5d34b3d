"""Requests of disconnected clients, and events for finished requests."""

import unittest

from oakkeel.admission.types import (
    Outcome,
    RequestState,
)
from tests.support.fake_host import FakeHost


class RequestEndsTest(unittest.TestCase):
    def test_cancels_the_run_of_a_disconnected_client_without_an_answer(self):
        host = FakeHost()
        request = host.arrive()
        host.admission.client_disconnected(host.now, request)
        host.finish(request, Outcome.CANCELLED)
        self.assertEqual(
            (host.actions_on(request), request.state), (["run", "cancel"], RequestState.FINISHED)
        )

    def test_ignores_events_for_a_finished_request(self):
        host = FakeHost()
        request = host.arrive()
        host.finish(request)
        host.finish(request, Outcome.NEVER_STARTED)
        host.need_call(request)
        host.finish_call(request, Outcome.COMPLETED)
        host.admission.client_disconnected(host.now, request)
        self.assertEqual(host.actions_on(request), ["run"])
