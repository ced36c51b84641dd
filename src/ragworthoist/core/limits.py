"""Concurrency limits of a backend server, derived from calls that its node measures.

The limit is the number of calls that a node forwards to its server at the same time.
"""

from dataclasses import dataclass

from ragworthoist._registry import Registry

limits = Registry("limit")

MIN_LIMIT = 1.0
MAX_LIMIT = 2000.0
INITIAL_LIMIT = 4.0
MIN_LATENCY_SECONDS = 1e-6


@dataclass(frozen=True, slots=True)
class Sample:
    """Measurement of one finished call.

    Attributes
    ----------
    own_seconds : float
        Part of the latency during which no onward call was in flight.
    latency_seconds : float
        Latency of the call.
    in_flight : int
        Number of calls at the server when this one ended, including this one.
    ok : bool
        Whether the call succeeded.
    """

    kind: str
    own_seconds: float
    latency_seconds: float
    in_flight: int
    ok: bool


@limits.register("none")
class NoLimit:
    """Forward every call at once (a baseline)."""

    def __init__(self, _policy):
        self.limit = float("inf")

    def record(self, sample, now):
        """Ignore the sample."""


@limits.register("fixed")
class FixedLimit:
    """Use the limit from the configuration (a baseline)."""

    def __init__(self, policy):
        self.limit = float(policy.fixed_limit)

    def record(self, sample, now):
        """Ignore the sample."""


@limits.register("additive")
class AdditiveLimit:
    """Grow by one per round of calls; shrink on failures and on slow calls.

    A call is slow if it takes more than `SLOW_FACTOR` times as long as the fastest
    recent call.
    """

    SHRINK_FACTOR = 0.9
    SLOW_FACTOR = 2.0
    SHRINK_INTERVAL_SECONDS = 0.1
    FLOOR_GROWTH_FACTOR = 1.0005

    def __init__(self, _policy):
        self.limit = INITIAL_LIMIT
        self._floor = float("inf")
        self._next_shrink = 0.0

    def record(self, sample, now):
        """Adjust the limit after one finished call."""
        self._floor = min(self._floor * self.FLOOR_GROWTH_FACTOR, sample.own_seconds)
        if not sample.ok or sample.own_seconds > self._floor * self.SLOW_FACTOR:
            if now >= self._next_shrink:
                self._next_shrink = now + self.SHRINK_INTERVAL_SECONDS
                self.limit = max(MIN_LIMIT, self.limit * self.SHRINK_FACTOR)
            return
        if sample.in_flight >= self.limit * 0.8:
            self.limit = min(MAX_LIMIT, self.limit + 1.0 / self.limit)


@dataclass(slots=True)
class _KindLatency:
    """Latency of one kind: its lowest mean so far, and sums of the current window."""

    floor: float = float("inf")
    total_seconds: float = 0.0
    count: int = 0


@limits.register("latency")
class LatencyLimit:
    """Keep a small number of calls waiting inside the server.

    In each window the number of waiting calls is estimated from the mean latency of
    each kind and its floor, the lowest mean seen: `busy * (1 - floor / mean)`. The
    limit grows while the estimate is small and shrinks while it is large. If the limit
    has shrunk and the latency has not followed, the server itself has become slower:
    the floors are then measured again, so that a slow server keeps all its slots.
    """

    WINDOW_SECONDS = 0.1
    WINDOW_LATENCIES = 2.0
    MIN_SAMPLES = 8
    MIN_KIND_SAMPLES = 3
    MAX_WINDOW_SECONDS = 2.0
    WAITING_MARGIN_CALLS = 1.0
    WAITING_LOW_SHARE = 0.1
    WAITING_HIGH_SHARE = 0.25
    SATURATED_SHARE = 0.7
    SLOW_START_GROWTH_FACTOR = 1.5
    GROWTH_SHARE = 0.05
    SHRINK_FACTOR = 0.85
    FAILURE_SHRINK_FACTOR = 0.7
    FAILURE_SHARE = 0.3
    RELEARN_LIMIT_SHARE = 0.5
    RELEARN_RATIO = 0.8
    FLOOR_GROWTH_FACTOR = 1.0005

    def __init__(self, _policy):
        self.limit = INITIAL_LIMIT
        self._kinds = {}
        self._in_slow_start = True
        self._shrink_reference = None
        self._clear_window(None)

    def record(self, sample, now):
        """Adjust the limit after one finished call."""
        if self._window_start is None:
            self._window_start = now - sample.own_seconds
        kind = self._kinds.get(sample.kind)
        if kind is None:
            kind = self._kinds[sample.kind] = _KindLatency()
        kind.total_seconds += sample.own_seconds
        kind.count += 1
        self._count += 1
        self._failures += not sample.ok
        self._own_seconds += sample.own_seconds
        self._latency_seconds += sample.latency_seconds
        self._peak = max(self._peak, sample.in_flight)
        if self._is_window_over(now - self._window_start):
            self._close_window()
            self._clear_window(now)

    def _is_window_over(self, elapsed):
        if elapsed >= self.MAX_WINDOW_SECONDS:
            return True
        long_enough = self.WINDOW_LATENCIES * self._latency_seconds / self._count
        enough = self._count >= self.MIN_SAMPLES
        return enough and elapsed >= max(self.WINDOW_SECONDS, long_enough)

    def _clear_window(self, now):
        self._window_start = now
        self._count = self._failures = self._peak = 0
        self._own_seconds = self._latency_seconds = 0.0
        for kind in self._kinds.values():
            kind.total_seconds = 0.0
            kind.count = 0

    def _close_window(self):
        slowness = self._measure_slowness()
        if self._failures > self.FAILURE_SHARE * self._count:
            self._in_slow_start = False
            self._shrink(self.FAILURE_SHRINK_FACTOR, slowness)
            return
        # A call that waits for its onward calls is not waiting inside this server.
        busy = (
            self._peak * self._own_seconds / self._latency_seconds
            if self._latency_seconds > 0
            else 0.0
        )
        waiting = busy * (1.0 - 1.0 / slowness)
        if waiting > self.WAITING_MARGIN_CALLS + self.WAITING_HIGH_SHARE * self.limit:
            self._in_slow_start = False
            self._shrink(self.SHRINK_FACTOR, slowness)
            self._relearn_floors(slowness)
            return
        self._shrink_reference = None
        if not self._is_saturated():
            return
        if waiting < self.WAITING_MARGIN_CALLS + self.WAITING_LOW_SHARE * self.limit:
            self._grow()

    def _is_saturated(self):
        return self._peak >= self.SATURATED_SHARE * self.limit

    def _measure_slowness(self):
        """Return the mean ratio of call latency to the floor of the kind."""
        excess = 0.0
        counted = 0
        for kind in self._kinds.values():
            if kind.count < self.MIN_KIND_SAMPLES:
                continue
            mean = max(kind.total_seconds / kind.count, MIN_LATENCY_SECONDS)
            kind.floor = min(kind.floor * self.FLOOR_GROWTH_FACTOR, mean)
            excess += kind.count * mean / kind.floor
            counted += kind.count
        return excess / counted if counted else 1.0

    def _grow(self):
        if self._in_slow_start:
            grown = self.limit * self.SLOW_START_GROWTH_FACTOR
        else:
            grown = self.limit + max(0.5, self.GROWTH_SHARE * self.limit)
        self.limit = min(MAX_LIMIT, grown)

    def _shrink(self, factor, slowness):
        if self._shrink_reference is None and self._is_saturated():
            self._shrink_reference = (self.limit, slowness)
        self.limit = max(MIN_LIMIT, self.limit * factor)

    def _relearn_floors(self, slowness):
        if self._shrink_reference is None or not self._is_saturated():
            return
        limit, reference_slowness = self._shrink_reference
        if self.limit > max(self.RELEARN_LIMIT_SHARE * limit, MIN_LIMIT):
            return
        if slowness > self.RELEARN_RATIO * reference_slowness:
            for kind in self._kinds.values():
                if kind.count:
                    kind.floor = kind.total_seconds / kind.count
            self.limit = limit
        self._shrink_reference = None
