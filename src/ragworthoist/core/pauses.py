"""How long what arrives now may have waited while the process stood still.

A machine that is suspended, or a process that is stopped, finds requests in its
buffers when it goes on. Their time limits ran on meanwhile.
"""

MIN_PAUSE_SECONDS = 0.25
# Buffers are read empty within this time after a stall.
CATCH_UP_SECONDS = 0.2


class PauseMeter:
    """Measures pauses between the ticks of a process.

    The clock has to go on while the machine stands still.

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
        """Note that the process runs at `now`."""
        gap = 0.0 if self._last_tick is None else now - self._last_tick
        if gap > MIN_PAUSE_SECONDS:
            self._last_pause = gap
            self._caught_up_at = now + CATCH_UP_SECONDS
        self._last_tick = now

    def measure(self, now):
        """Return the seconds that what is read at `now` may have waited."""
        gap = 0.0 if self._last_tick is None else now - self._last_tick
        if gap > MIN_PAUSE_SECONDS:
            return gap
        return self._last_pause if now < self._caught_up_at else 0.0
