"""Structured logs with bounded rates, on a stream whose reader may be slow.

Writes never block. Lines that the reader does not read in time, and lines beyond the
rates, are dropped, and their number is logged at most once a second. A part of the
rates is reserved for failures, so that successes are dropped first. Lifecycle events
are logged at any rate.
"""

import json
import os
import time

from ragworthoist.events import LIFECYCLE_EVENTS, ROUTINE_EVENTS, Event

# Share of the rates that routine events may not use.
RESERVED_RATE_SHARE = 0.5
PERIOD_SECONDS = 1.0


class LogWriter:
    """An eliot destination that writes to a file descriptor, and a filter of events.

    Parameters
    ----------
    descriptor : int
        File descriptor for the lines; it is made non-blocking.
    settings : LogSettings
        The limits in lines per second and bytes per second.
    clock : callable
        Monotonic time in seconds.

    Attributes
    ----------
    dropped : int
        Lines dropped since the last report of dropped lines.
    dropped_total : int
        Lines dropped since the start.
    """

    def __init__(self, descriptor, settings, clock=time.monotonic):
        self._descriptor = descriptor
        self._lines_per_second = settings.lines_per_second
        self._bytes_per_second = settings.bytes_per_second
        self._clock = clock
        self._period_end = clock() + PERIOD_SECONDS
        self._lines = self._bytes = 0
        self._unwritten = b""
        self.dropped = 0
        self.dropped_total = 0
        os.set_blocking(descriptor, False)

    def admit(self, event):
        """Return whether the rates allow a line for `event`; count it if not."""
        now = self._clock()
        if now >= self._period_end:
            self._start_period(now)
        if event in LIFECYCLE_EVENTS:
            return True
        share = 1.0 - RESERVED_RATE_SHARE if event in ROUTINE_EVENTS else 1.0
        if (
            self._lines >= share * self._lines_per_second
            or self._bytes >= share * self._bytes_per_second
        ):
            self._count_dropped()
            return False
        return True

    def __call__(self, message):
        """Write one eliot message, or count it as dropped."""
        self._write(message)

    def _start_period(self, now):
        self._period_end = now + PERIOD_SECONDS
        self._lines = self._bytes = 0
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            self._write(
                {
                    "message_type": "ragworthoist:log_left_out",
                    "number": int(Event.LOG_LEFT_OUT),
                    "timestamp": time.time(),
                    "count": dropped,
                }
            )

    def _write(self, message):
        for key in ("task_uuid", "task_level"):
            message.pop(key, None)
        line = json.dumps(message, default=str).encode() + b"\n"
        self._lines += 1
        self._bytes += len(line)
        if self._unwritten:
            # A line that was written in part has to be completed first.
            self._unwritten = self._unwritten[self._write_bytes(self._unwritten) :]
        if self._unwritten:
            self._count_dropped()
            return
        written = self._write_bytes(line)
        if written == 0:
            self._count_dropped()
        else:
            self._unwritten = line[written:]

    def _write_bytes(self, data):
        try:
            return os.write(self._descriptor, data)
        except BlockingIOError:
            return 0
        except OSError:
            # The reader has closed the stream, which must not stop requests.
            return 0

    def _count_dropped(self):
        self.dropped += 1
        self.dropped_total += 1
