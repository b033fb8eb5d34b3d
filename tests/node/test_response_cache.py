"""Shared responses and capacity of the response cache."""

import time
import unittest
from dataclasses import replace

from oakkeel.admission.types import Outcome
from oakkeel.node.response_cache import ResponseCache
from oakkeel.request_events import SharedResponse
from oakkeel.units import SECOND
from tests.support.fake_host import REQUEST_CLASS, FakeHost
from tests.support.node_request import RESOURCE_LIMITS, node_request


class ResponseCacheTest(unittest.TestCase):
    def test_shares_a_response_until_its_ttl_ends(self):
        cache, first = ResponseCache(RESOURCE_LIMITS, SECOND), node_request(key=b"s")
        now = time.monotonic_ns()
        cache.retain(first, now, 5 * SECOND)
        self.assertTrue(cache.find_original(node_request(key=b"s"), now))
        cache.finish(first, Outcome.COMPLETED, b"r")
        self.assertTrue(cache.find_original(node_request(key=b"s"), now + SECOND // 2))
        self.assertFalse(cache.find_original(node_request(key=b"s"), now + 2 * SECOND))
        self.assertFalse(cache.find_original(node_request(key=b"other"), now))

    def test_rejects_followers_of_a_request_that_is_dropped_before_its_run(self):
        cache, first, follower = (
            ResponseCache(RESOURCE_LIMITS, SECOND),
            node_request(key=b"s"),
            node_request(key=b"s"),
        )
        cache.retain(first, 0, SECOND)
        cache.find_original(follower, 0)
        cache.share(follower, 0)
        cache.release(first)
        self.assertEqual(follower.events.popleft(), SharedResponse(Outcome.REJECTED, b""))
        self.assertFalse(cache.find_original(node_request(key=b"s"), 0))

    def test_is_bounded_and_never_evicts_a_valid_idempotency_key(self):
        resource_limits = replace(RESOURCE_LIMITS, memory=4 * RESOURCE_LIMITS.result_size * 2)  # two results
        at_most_once_class = replace(
            REQUEST_CLASS,
            idempotency=FakeHost(request_classes=[{}])
            .limits.request_classes[0]
            .idempotency.__class__.IDEMPOTENCY_KEY,
        )
        cache = ResponseCache(resource_limits, SECOND)
        cache.retain(node_request(key=b"a", request_class=at_most_once_class), 0, SECOND)
        cache.retain(node_request(key=b"b"), 0, SECOND)
        cache.retain(node_request(key=b"c", request_class=at_most_once_class), 0, SECOND)  # replaces the read
        self.assertEqual([key for _, key in cache.entries], [b"a", b"c"])
        self.assertFalse(cache.make_room(SECOND // 2))
        # A duplicate that arrived before the expiry may be read until its client times out.
        self.assertFalse(cache.make_room(SECOND))
        self.assertTrue(cache.make_room(SECOND + REQUEST_CLASS.client_timeout))
