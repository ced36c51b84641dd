"""Requests that reached a backend server in the last seconds."""

from collections import deque

SPAN_SECONDS = 4.0
BUCKET_SECONDS = 0.25


class ArrivalMeter:
    """Counts requests sent to one server, in all and over the last `SPAN_SECONDS`.

    Attributes
    ----------
    total : int
        Requests since the start.

    Examples
    --------
    >>> meter = ArrivalMeter()
    >>> for now in (10.0, 10.5, 11.0, 11.5):
    ...     meter.record(now)
    >>> meter.rate(12.0), meter.rate(99.0)
    (1.0, 0.0)
    """

    def __init__(self):
        self.total = 0
        self._buckets = deque()
        self._in_span = 0

    def record(self, now):
        """Count one request sent at `now`, in seconds."""
        self.total += 1
        self._in_span += 1
        bucket = now // BUCKET_SECONDS
        if self._buckets and self._buckets[-1][0] == bucket:
            self._buckets[-1][1] += 1
        else:
            self._buckets.append([bucket, 1])
            self._expire(now)

    def rate(self, now):
        """Return the requests a second over the last `SPAN_SECONDS`."""
        self._expire(now)
        return self._in_span / SPAN_SECONDS

    def _expire(self, now):
        oldest = (now - SPAN_SECONDS) // BUCKET_SECONDS
        while self._buckets and self._buckets[0][0] < oldest:
            self._in_span -= self._buckets.popleft()[1]
