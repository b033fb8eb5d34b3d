"""Coalescing of duplicates, and requests that may take effect only once."""

import unittest

from oakkeel.admission.types import (
    Idempotency,
    Outcome,
)
from oakkeel.units import SECOND
from tests.support.fake_host import FakeHost


class IdempotencyTest(unittest.TestCase):
    def test_coalesces_a_duplicate_of_a_request_with_an_idempotency_key(self):
        host = FakeHost(request_classes=[{"idempotency": Idempotency.IDEMPOTENCY_KEY}])
        first = host.arrive(has_key=True)
        duplicate = host.arrive(has_key=True, is_duplicate=True)
        self.assertEqual(
            (host.actions_on(first), host.actions_on(duplicate)), (["retain_key", "run"], ["coalesce"])
        )

    def test_fails_a_non_idempotent_request_that_ran_and_never_reruns_it(self):
        host = FakeHost(request_classes=[{"idempotency": Idempotency.NON_IDEMPOTENT}])
        request = host.arrive(remaining_time=SECOND)
        host.run_until(host.now + 2 * SECOND)
        host.finish(request, Outcome.CANCELLED)
        self.assertEqual(host.actions_on(request), ["run", "fail", "cancel"])

    def test_coalesces_reads_within_the_cache_ttl(self):
        host = FakeHost(cache_ttl=SECOND)
        host.arrive(has_key=True)
        self.assertEqual(host.actions_on(host.arrive(has_key=True, is_duplicate=True)), ["coalesce"])
