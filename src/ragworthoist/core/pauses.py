"""Pauses of this process, during which received requests wait in its buffers.

When a suspended machine or a stopped process resumes, it finds requests in its
buffers. Their time limits have continued to run during the pause.
"""

MIN_PAUSE_SECONDS = 0.25
# All buffered data is read within this time after a pause.
CATCH_UP_SECONDS = 0.2


class PauseMeter:
    """Measures pauses between the ticks of a process.

    The clock has to continue while the machine is suspended.

    Examples
    --------
    >>> meter = PauseMeter()
    >>> meter.tick(10.0)
    >>> meter.measure(10.02), meter.measure(13.0)
    (0.0, 3.0)
    >>> meter.tick(13.0)
    >>> meter.measure(13.1), meter.measure(13.3)
    (3.0, 0.0)
    """

    def __init__(self):
        self._last_tick = None
        self._last_pause = 0.0
        self._caught_up_at = 0.0

    def tick(self, now):
        """Record that the process is running at `now`."""
        gap = 0.0 if self._last_tick is None else now - self._last_tick
        if gap > MIN_PAUSE_SECONDS:
            self._last_pause = gap
            self._caught_up_at = now + CATCH_UP_SECONDS
        self._last_tick = now

    def measure(self, now):
        """Return the seconds that data read at `now` may have waited in a buffer."""
        gap = 0.0 if self._last_tick is None else now - self._last_tick
        if gap > MIN_PAUSE_SECONDS:
            return gap
        return self._last_pause if now < self._caught_up_at else 0.0
