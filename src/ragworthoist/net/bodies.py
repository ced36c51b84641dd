"""Bodies that are passed from one connection to another."""

import asyncio
from collections import deque

from ragworthoist.exceptions import BodyCutError

HIGH_WATER_BYTES = 65_536


class BodyPipe:
    """Bytes of one body, passed on as they arrive.

    The writer calls `feed`, then `end` or `cut`, and pauses while `is_full` so that
    memory stays bounded. The single reader awaits `read` until it returns no bytes.
    `has_been_read` tells whether `read` was called, after which the complete body
    cannot be sent again.

    Parameters
    ----------
    on_read : callable, optional
        Called with the number of bytes that were read or dropped.
    on_discard : callable, optional
        Called when the reader calls `discard` before the body is complete.
    on_close : callable, optional
        Called once when the body has ended or was cut.
    """

    __slots__ = ("_parts", "_size", "_is_ended", "_is_cut", "_waiter", "_on_read",
                 "_on_discard", "_is_discarded", "_on_close",
                 "has_been_read")  # fmt: skip

    def __init__(self, on_read=None, on_discard=None, on_close=None):
        self._parts = deque()
        self._size = 0
        self._is_ended = False
        self._is_cut = False
        self._waiter = None
        self._on_read = on_read
        self._on_discard = on_discard
        self._on_close = on_close
        self._is_discarded = False
        self.has_been_read = False

    @property
    def is_full(self):
        """Whether the writer should pause."""
        return self._size >= HIGH_WATER_BYTES

    def feed(self, data):
        """Add `data` to the body."""
        if self._is_discarded:
            if self._on_read is not None:
                self._on_read(len(data))
            return
        self._parts.append(data)
        self._size += len(data)
        self._wake()

    def end(self):
        """Mark the body as complete."""
        if not (self._is_ended or self._is_cut):
            self._is_ended = True
            self._close()

    def cut(self):
        """Mark the body as truncated: the rest will not arrive."""
        if not (self._is_ended or self._is_cut):
            self._is_cut = True
            self._close()

    def discard(self):
        """Drop the unread bytes; the reader needs no more of the body."""
        if self._is_discarded:
            return
        self._is_discarded = True
        dropped, self._size = self._size, 0
        self._parts.clear()
        if dropped and self._on_read is not None:
            self._on_read(dropped)
        if not (self._is_ended or self._is_cut) and self._on_discard is not None:
            self._on_discard()

    async def read(self):
        """Return the next bytes, or no bytes at the end of the body.

        Raises
        ------
        BodyCutError
            If the body was cut before it was complete.
        """
        self.has_been_read = True
        while not self._parts:
            if self._is_cut:
                raise BodyCutError
            if self._is_ended or self._is_discarded:
                return b""
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        data = self._parts.popleft()
        self._size -= len(data)
        if self._on_read is not None:
            self._on_read(len(data))
        return data

    def _wake(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _close(self):
        self._wake()
        if self._on_close is not None:
            self._on_close()
            self._on_close = None
