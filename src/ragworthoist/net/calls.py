"""Entities of a peer stream: calls under way, and what of their bodies may be sent."""

import asyncio
from dataclasses import dataclass, field

from ragworthoist.exceptions import BodyCutError
from ragworthoist.net.bodies import BodyPipe
from ragworthoist.net.frames import CHUNK_BYTES, WINDOW_BYTES, FrameKind


@dataclass(slots=True)
class PendingCall:
    """A call that this side made and that has no whole answer yet."""

    done: asyncio.Future
    answer: object = None
    body: object = field(default_factory=bytearray)
    length: int = 0
    idempotent: bool = False
    is_abandoned: bool = False

    def finish(self):
        """Wake whoever waits for the answer."""
        if not self.done.done():
            self.done.set_result(None)


@dataclass(slots=True)
class InboundCall:
    """A call that the other side made and that has no whole answer yet."""

    call: object
    length: int
    body: object = field(default_factory=bytearray)
    handle: object = None


@dataclass(slots=True)
class SendWindow:
    """Bytes of a body that may still be sent, and how to wait for more."""

    credit: int = WINDOW_BYTES
    event: asyncio.Event = field(default_factory=asyncio.Event)


def is_inline(body):
    """Whether `body` travels in the frame of its head."""
    return isinstance(body, bytes) and len(body) <= CHUNK_BYTES


async def iterate_parts(body):
    """Yield the parts of a body, whole or streamed, as they come."""
    if not isinstance(body, BodyPipe):
        yield body
        return
    while part := await body.read():
        yield part


def split_chunks(part):
    """Yield `part` in pieces that fit into a frame."""
    view = memoryview(part)
    for start in range(0, len(part), CHUNK_BYTES):
        yield view[start : start + CHUNK_BYTES]


class BodySender:
    """Sends long bodies in chunks, as far as the other side has given credit.

    Parameters
    ----------
    send : callable
        Takes a frame.
    """

    def __init__(self, send):
        self._send = send
        self._windows = {}

    async def send(self, call_id, body):
        """Send `body`; return False if it broke off at its source."""
        window = self._windows[call_id] = SendWindow()
        total = 0
        try:
            async for part in iterate_parts(body):
                for chunk in split_chunks(part):
                    while window.credit < len(chunk):
                        window.event.clear()
                        await window.event.wait()
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

    def add_credit(self, call_id, count):
        """Allow `count` more bytes of the body of `call_id`."""
        window = self._windows.get(call_id)
        if window is not None:
            window.credit += count
            window.event.set()

    def stop(self, call_id):
        """Send no more of the body of `call_id`."""
        window = self._windows.pop(call_id, None)
        if window is not None:
            # Lets the sender go on to see that it has been stopped.
            window.credit = CHUNK_BYTES
            window.event.set()

    def stop_all(self):
        """Send no more of any body."""
        for call_id in list(self._windows):
            self.stop(call_id)
