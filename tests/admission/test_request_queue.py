"""The order of admitted requests."""

import unittest

from oakkeel.admission.request_queue import RequestQueue
from oakkeel.admission.types import RequestState
from tests.support.fake_host import make_request


def queued(rank: float):
    return make_request(rank=rank, state=RequestState.QUEUED)


class RequestQueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = RequestQueue()

    def taken(self) -> list:
        requests = []
        while (request := self.queue.first()) is not None:
            self.queue.pop()
            requests.append(request)
        return requests

    def test_takes_the_highest_rank_first_then_the_first_to_come(self):
        low, high, low_again = queued(0.1), queued(0.9), queued(0.1)
        for request in (low, high, low_again):
            self.queue.push(request)
        self.assertEqual(self.taken(), [high, low, low_again])

    def test_drops_requests_that_are_no_longer_queued(self):
        timed_out, waiting = queued(0.9), queued(0.1)
        self.queue.push(timed_out)
        self.queue.push(waiting)
        timed_out.state = RequestState.FINISHED
        self.assertEqual(self.taken(), [waiting])


if __name__ == "__main__":
    unittest.main()
