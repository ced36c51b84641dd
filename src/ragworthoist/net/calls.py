"""Calls in progress on a peer stream, and flow control of their bodies."""

import asyncio
from dataclasses import dataclass, field

from ragworthoist.exceptions import BodyCutError
from ragworthoist.net.bodies import BodyPipe
from ragworthoist.net.frames import CHUNK_BYTES, WINDOW_BYTES, FrameKind


@dataclass(slots=True)
class PendingCall:
    """A call or query sent by this side whose answer is not complete yet.

    `body` collects the body of the answer; `length` is its declared length in bytes.
    `is_abandoned` tells whether the call ended because the peer was unresponsive.
    `is_query` marks a query about members or the configuration. `account` counts what
    is held of the answer besides a streamed body. `deadline` is that of the call, in
    seconds of the node's clock.
    """

    completion: asyncio.Future
    answer: object = None
    body: object = field(default_factory=bytearray)
    length: int = 0
    idempotent: bool = False
    is_abandoned: bool = False
    is_query: bool = False
    account: object = None
    deadline: float = 0.0

    @property
    def must_be_awaited(self):
        """Whether an answer may still come that no second attempt could replace."""
        return self.answer is None and not self.idempotent and not self.is_query

    def finish(self):
        """Wake the task that waits for the answer."""
        if not self.completion.done():
            self.completion.set_result(None)


@dataclass(slots=True)
class InboundCall:
    """A call received from the other side whose answer is not complete yet.

    `length` is the declared length of its body in bytes. `handle` is the result of
    the node's `serve_call`, with which the call can be cancelled. `account` counts what
    is held for the call besides a streamed body. `is_served` tells whether the node has
    got the call, so that it may run, and `is_answered` whether its answer is being
    sent. `answer_body` is the body of that answer if it is streamed.
    """

    call: object
    length: int
    account: object
    body: object = field(default_factory=bytearray)
    handle: object = None
    is_served: bool = False
    is_answered: bool = False
    answer_body: object = None


@dataclass(slots=True)
class SendWindow:
    """Credit in bytes for one body, and an event set when credit is added."""

    credit: int = WINDOW_BYTES
    event: asyncio.Event = field(default_factory=asyncio.Event)


def is_inline(body):
    """Whether `body` is sent in the frame of its call or answer."""
    return isinstance(body, bytes) and len(body) <= CHUNK_BYTES


async def iterate_parts(body):
    """Yield the parts of `body`; complete bytes are one part."""
    if not isinstance(body, BodyPipe):
        yield body
        return
    while part := await body.read():
        yield part


def split_chunks(part):
    """Yield `part` in chunks of at most `CHUNK_BYTES`."""
    view = memoryview(part)
    for start in range(0, len(part), CHUNK_BYTES):
        yield view[start : start + CHUNK_BYTES]


class BodySender:
    """Sends long bodies in chunks, within the credit granted by the other side.

    Parameters
    ----------
    send : callable
        Sends the frame that is passed to it.

    Attributes
    ----------
    writable : asyncio.Event
        Not set while the transport holds many unsent bytes. Chunks then wait, so that
        the frames of other calls are not queued behind them.
    """

    def __init__(self, send):
        self._send = send
        self._windows = {}
        self.writable = asyncio.Event()
        self.writable.set()

    async def send(self, call_id, body):
        """Send `body`; return False if its source ended before it was complete."""
        window = self._windows[call_id] = SendWindow()
        total = 0
        try:
            async for part in iterate_parts(body):
                for chunk in split_chunks(part):
                    await self._wait_for_room(window, len(chunk))
                    if self._windows.get(call_id) is not window:
                        return True
                    window.credit -= len(chunk)
                    total += len(chunk)
                    self._send([int(FrameKind.CHUNK), call_id, bytes(chunk)])
            self._send([int(FrameKind.END), call_id, total])
        except BodyCutError:
            return False
        finally:
            if self._windows.get(call_id) is window:
                del self._windows[call_id]
        return True

    async def _wait_for_room(self, window, size):
        while window.credit < size or not self.writable.is_set():
            if window.credit < size:
                window.event.clear()
                await window.event.wait()
            await self.writable.wait()

    def add_credit(self, call_id, count):
        """Allow `count` more bytes of the body of call `call_id`."""
        window = self._windows.get(call_id)
        if window is not None:
            window.credit += count
            window.event.set()

    def stop(self, call_id):
        """Stop sending the body of call `call_id`."""
        window = self._windows.pop(call_id, None)
        if window is not None:
            # Wakes the sender, which then finds that its window is removed.
            window.credit = CHUNK_BYTES
            window.event.set()

    def stop_all(self):
        """Stop sending all bodies."""
        self.writable.set()
        for call_id in list(self._windows):
            self.stop(call_id)
