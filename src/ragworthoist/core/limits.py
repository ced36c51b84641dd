"""Concurrency limits of a backend server, learned from what its node sees.

The limit is the number of calls a node hands to its server at the same time.
"""

from ragworthoist._registry import Registry

limits = Registry("limit")

MIN_LIMIT = 2.0
MAX_LIMIT = 2000.0
INITIAL_LIMIT = 8.0


@limits.register("none")
class NoLimit:
    """Hand every call over at once; a baseline."""

    def __init__(self, _policy):
        self.limit = float("inf")

    def record(self, latency, in_flight, ok, now):
        """Ignore the sample."""


@limits.register("fixed")
class FixedLimit:
    """Use the limit from the configuration; a baseline."""

    def __init__(self, policy):
        self.limit = float(policy.fixed_limit)

    def record(self, latency, in_flight, ok, now):
        """Ignore the sample."""


@limits.register("additive")
class AdditiveLimit:
    """Grow by one per round of calls, shrink on failures and on slow calls.

    A call is slow when it takes more than `SLOW_FACTOR` times the fastest one of
    the recent past.
    """

    SHRINK = 0.9
    SLOW_FACTOR = 2.0
    SHRINK_INTERVAL_SECONDS = 0.1
    FLOOR_GROWTH = 1.0005

    def __init__(self, _policy):
        self.limit = INITIAL_LIMIT
        self._floor = float("inf")
        self._next_shrink = 0.0

    def record(self, latency, in_flight, ok, now):
        """Adjust the limit to one finished call."""
        self._floor = min(self._floor * self.FLOOR_GROWTH, latency)
        if not ok or latency > self._floor * self.SLOW_FACTOR:
            if now >= self._next_shrink:
                self._next_shrink = now + self.SHRINK_INTERVAL_SECONDS
                self.limit = max(MIN_LIMIT, self.limit * self.SHRINK)
            return
        if in_flight >= self.limit * 0.8:
            self.limit = min(MAX_LIMIT, self.limit + 1.0 / self.limit)


@limits.register("latency")
class LatencyLimit:
    """Keep a small number of calls waiting inside the server.

    In each window the number waiting is estimated from the mean latency and the
    latency without waiting: `in_flight * (1 - floor / mean)`. The limit grows
    while the estimate is small and shrinks while it is large. When the limit has
    shrunk and the mean latency did not follow, the server itself has become
    slower: the floor is then learned anew, so that a slow server keeps all of its
    slots.
    """

    WINDOW_SECONDS = 0.1
    MIN_SAMPLES = 4
    MAX_WINDOW_SECONDS = 2.0
    WAITING_LOW = 0.05
    WAITING_HIGH = 0.15
    WAITING_MARGIN = 1.0
    FAST_GROWTH = 1.5
    SHRINK = 0.85
    FAILURE_SHRINK = 0.7
    FAILURE_SHARE = 0.3
    SHRUNK_ENOUGH = 0.75
    RELEARN_RATIO = 0.9
    FLOOR_GROWTH = 1.002

    def __init__(self, _policy):
        self.limit = INITIAL_LIMIT
        self.floor = float("inf")
        self._starting = True
        self._window_start = None
        self._total = 0.0
        self._fastest = float("inf")
        self._count = 0
        self._failures = 0
        self._peak = 0
        self._reference = None

    def record(self, latency, in_flight, ok, now):
        """Adjust the limit to one finished call."""
        if self._window_start is None:
            self._window_start = now
        self._count += 1
        self._failures += not ok
        self._total += latency
        self._fastest = min(self._fastest, latency)
        self._peak = max(self._peak, in_flight)
        elapsed = now - self._window_start
        if elapsed < self.WINDOW_SECONDS:
            return
        if self._count < self.MIN_SAMPLES and elapsed < self.MAX_WINDOW_SECONDS:
            return
        self._close_window(now)

    def _close_window(self, now):
        mean = self._total / self._count
        self.floor = min(self.floor * self.FLOOR_GROWTH, self._fastest)
        if self._failures > self.FAILURE_SHARE * self._count:
            self._shrink(self.FAILURE_SHRINK, mean)
        else:
            self._adjust(mean)
        self._window_start = now
        self._total = 0.0
        self._fastest = float("inf")
        self._count = self._failures = self._peak = 0

    def _adjust(self, mean):
        waiting = self._peak * (1.0 - self.floor / mean) if mean > 0 else 0.0
        if waiting > self.WAITING_MARGIN + self.WAITING_HIGH * self.limit:
            self._starting = False
            self._shrink(self.SHRINK, mean)
            self._relearn_floor(mean)
            return
        self._reference = None
        busy = self._peak >= 0.7 * self.limit
        if busy and waiting < self.WAITING_MARGIN + self.WAITING_LOW * self.limit:
            self._grow()

    def _grow(self):
        if self._starting:
            self.limit = min(MAX_LIMIT, self.limit * self.FAST_GROWTH)
        else:
            self.limit = min(MAX_LIMIT, self.limit + max(1.0, 0.05 * self.limit))

    def _shrink(self, factor, mean):
        if self._reference is None:
            self._reference = (self.limit, mean)
        self.limit = max(MIN_LIMIT, self.limit * factor)

    def _relearn_floor(self, mean):
        limit, latency = self._reference
        if self.limit > self.SHRUNK_ENOUGH * limit:
            return
        if mean > self.RELEARN_RATIO * latency:
            self.floor = self._fastest
            self.limit = limit
        self._reference = None
