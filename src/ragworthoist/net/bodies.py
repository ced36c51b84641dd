"""Bodies that are passed from one connection to another."""

import asyncio
from collections import deque

from ragworthoist.core.memory import MemoryBudget
from ragworthoist.exceptions import BodyCutError

HIGH_WATER_BYTES = 65_536
# Smaller parts are joined while several wait to be read: as objects of their own they
# would take many times their size.
MIN_PART_BYTES = 4096
MAX_SEPARATE_PARTS = 8


class BodyPipe:
    """Bytes of one body, passed on as they arrive.

    The writer calls `feed`, then `end` or `cut`, and pauses while `is_full` so that
    memory stays bounded. The single reader awaits `read` until it returns no bytes.

    The bytes are counted in an account of `memory`. If it is evicted, the body is cut
    and its source stopped.

    Parameters
    ----------
    memory : MemoryBudget, optional
        Counts the bytes that the pipe holds.
    held_bytes : int, optional
        Number of bytes that are kept after they were read, so that `rewind` can
        return to the start of the body. If more are read, none are kept.
    on_read : callable, optional
        Called with the number of bytes that were read or dropped.
    on_discard : callable, optional
        Called when the reader calls `discard`, or the body is evicted, before it is
        complete.
    on_evict : callable, optional
        Called when the body is evicted.
    on_close : callable, optional
        Called once when the body has ended or was cut.
    """

    __slots__ = ("_parts", "_size", "_is_ended", "_is_cut", "_waiter", "_on_read",
                 "_on_discard", "_is_discarded", "_on_close", "_held",
                 "_holdable_bytes", "_on_cut", "_account", "_is_read",
                 "_on_evict", "_held_size")  # fmt: skip

    def __init__(
        self,
        on_read=None,
        on_discard=None,
        on_close=None,
        held_bytes=0,
        memory=None,
        on_evict=None,
    ):
        self._account = (memory or MemoryBudget()).open_account(self._evict)
        self._held = []
        self._held_size = 0
        self._holdable_bytes = held_bytes
        self._parts = deque()
        self._size = 0
        self._is_ended = False
        self._is_cut = False
        self._waiter = None
        self._on_read = on_read
        self._on_discard = on_discard
        self._on_close = on_close
        self._on_cut = None
        self._on_evict = on_evict
        self._is_discarded = False
        self._is_read = False

    @property
    def is_full(self):
        """Whether the writer should pause."""
        return self._size >= HIGH_WATER_BYTES

    def feed(self, data):
        """Add `data` to the body."""
        if self._is_discarded or self._is_cut:
            if self._on_read is not None:
                self._on_read(len(data))
            return
        _append(self._parts, data)
        self._size += len(data)
        self._wake()
        self._account.add(len(data))

    def end(self):
        """Mark the body as complete."""
        if not (self._is_ended or self._is_cut):
            self._is_ended = True
            self._close()

    def cut(self):
        """Mark the body as truncated: the rest will not arrive.

        What was not read is dropped, as it is of no use without the rest.
        """
        if not (self._is_ended or self._is_cut):
            self._truncate()

    def _truncate(self):
        self._is_cut = True
        self._drop()
        self._close()
        if self._on_cut is not None:
            self._on_cut()

    def _evict(self):
        """Cut the body, even if all of it has arrived, and stop its source."""
        if self._is_discarded or self._is_cut:
            return
        is_ended = self._is_ended
        self._truncate()
        if not is_ended and self._on_discard is not None:
            self._on_discard()
        if self._on_evict is not None:
            self._on_evict()

    def set_cut_callback(self, callback):
        """Call `callback` once the body is cut, also while nobody reads.

        None ends it.
        """
        self._on_cut = callback
        if callback is not None and self._is_cut:
            callback()

    def discard(self):
        """Drop the unread bytes; the reader needs no more of the body."""
        if self._is_discarded:
            return
        self._is_discarded = True
        self._is_read = self._is_ended and not self._parts
        dropped = self._drop()
        self._wake()
        if dropped and self._on_read is not None:
            self._on_read(dropped)
        if not (self._is_ended or self._is_cut) and self._on_discard is not None:
            self._on_discard()

    def _drop(self):
        """Give back everything that is held; return the number of unread bytes."""
        dropped, self._size = self._size, 0
        self._parts.clear()
        self._held = None
        self._held_size = 0
        self._account.close()
        return dropped

    def rewind(self):
        """Return to the start of the body, so that it can be sent again.

        The previous reader must have stopped. Returns False, without any effect, if
        bytes that were read are no longer held.
        """
        if self._held is None:
            return False
        self._parts.extendleft(reversed(self._held))
        self._size += self._held_size
        self._holdable_bytes += self._held_size
        self._held = []
        self._held_size = 0
        return True

    async def read(self):
        """Return the next bytes, or no bytes at the end of the body.

        Raises
        ------
        BodyCutError
            If the body was cut before it was complete.
        """
        while not self._parts:
            if self._is_cut:
                raise BodyCutError
            if self._is_discarded and not self._is_read:
                # What is missing must not look like the end of the body.
                raise BodyCutError
            if self._is_ended:
                if not self._held:
                    self._account.close()
                return b""
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        data = self._parts.popleft()
        if isinstance(data, bytearray):
            data = bytes(data)
        self._size -= len(data)
        self._hold(data)
        self._account.resize(self._size + self._held_size)
        if self._on_read is not None:
            self._on_read(len(data))
        return data

    def _hold(self, data):
        if self._held is None:
            return
        self._holdable_bytes -= len(data)
        if self._holdable_bytes < 0:
            self._held = None
            self._held_size = 0
        else:
            _append(self._held, data)
            self._held_size += len(data)

    def _wake(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _close(self):
        self._wake()
        if self._on_close is not None:
            self._on_close()
            self._on_close = None


def _append(parts, data):
    """Add `data` to the list or deque `parts`, joined with the last ones if small."""
    is_small = len(data) < MIN_PART_BYTES and len(parts) >= MAX_SEPARATE_PARTS
    if not is_small or len(parts[-1]) >= MIN_PART_BYTES:
        parts.append(data)
        return
    if not isinstance(parts[-1], bytearray):
        parts[-1] = bytearray(parts[-1])
    parts[-1] += data
