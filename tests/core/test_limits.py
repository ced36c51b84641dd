import heapq
import random

import pytest

from ragworthoist import Document
from ragworthoist.core.limits import Sample, limits
from ragworthoist.core.policy import Policy


class SlotServer:
    """A server with slots and an internal queue; calls always fill the limit."""

    def __init__(self, limit, slots, seconds):
        self.limit = limit
        self.slots = slots
        self.seconds = seconds
        self.now = 0.0
        self.in_flight = 0
        self.free_at = [0.0] * slots
        self.ends = []
        self.random = random.Random(1)
        self.done = 0

    def run(self, seconds):
        end = self.now + seconds
        self.done = 0
        while self.now < end:
            while self.in_flight < self.limit.limit:
                self.start()
            self.finish()
        return self.done / seconds

    def start(self):
        heapq.heapify(self.free_at)
        begin = max(self.now, heapq.heappop(self.free_at))
        done = begin + self.seconds * (0.5 + self.random.random())
        heapq.heappush(self.free_at, done)
        heapq.heappush(self.ends, (done, self.now))
        self.in_flight += 1

    def finish(self):
        self.now, started = heapq.heappop(self.ends)
        latency = self.now - started
        self.limit.record(Sample("x", latency, latency, self.in_flight, True), self.now)
        self.in_flight -= 1
        self.done += 1


def make_limit(name="latency"):
    return limits.get(name)(Policy(Document()).service("stock"))


class TestLatencyLimit:
    @pytest.mark.parametrize("slots", [2, 3, 30, 220])
    @pytest.mark.parametrize("seconds", [0.005, 0.05])
    def test_limit_uses_the_slots_of_a_server_and_stays_bounded(self, slots, seconds):
        server = SlotServer(make_limit(), slots, seconds)
        server.run(20.0)
        rate = server.run(20.0)

        assert rate >= 0.9 * slots / seconds
        assert server.limit.limit <= 2.5 * slots + 4

    @pytest.mark.parametrize("slots", [3, 30])
    def test_slots_stay_in_use_when_a_server_slows_to_a_fifth(self, slots):
        """A slower server must not be mistaken for one with too many calls.

        Measured against the old floors, its latency looks like waiting, and the limit
        would shrink below the number of slots.
        """
        server = SlotServer(make_limit(), slots, 0.02)
        server.run(20.0)
        server.seconds = 0.1
        server.run(5.0)
        rate = server.run(20.0)

        assert rate >= 0.85 * slots / 0.1

    def test_time_of_onward_calls_does_not_lower_the_limit(self):
        """A call that waits for its onward calls is not waiting inside the server."""
        limit = make_limit()
        now = 0.0
        for number in range(2000):
            now += 0.005
            onward = 0.02 if number < 500 else 0.5
            sample = Sample("order", 0.01, 0.01 + onward, int(limit.limit), True)
            limit.record(sample, now)

        assert limit.limit >= 20
