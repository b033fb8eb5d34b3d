"""The order in which admitted requests start."""

import unittest

from oakkeel.admission.request_queue import RequestQueue
from oakkeel.admission.types import RequestState
from tests.support.fake_host import make_request


def queued_request(rank: float):
    return make_request(rank=rank, state=RequestState.QUEUED)


class RequestQueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = RequestQueue()

    def take_all(self) -> list:
        requests = []
        while (request := self.queue.first()) is not None:
            self.queue.pop()
            requests.append(request)
        return requests

    def test_takes_the_highest_rank_first_and_equal_ranks_in_order_of_arrival(self):
        low, high, low_again = queued_request(0.1), queued_request(0.9), queued_request(0.1)
        for request in (low, high, low_again):
            self.queue.push(request)
        self.assertEqual(self.take_all(), [high, low, low_again])

    def test_drops_requests_that_are_no_longer_queued(self):
        timed_out, waiting = queued_request(0.9), queued_request(0.1)
        self.queue.push(timed_out)
        self.queue.push(waiting)
        timed_out.state = RequestState.FINISHED
        self.assertEqual(self.take_all(), [waiting])


if __name__ == "__main__":
    unittest.main()
