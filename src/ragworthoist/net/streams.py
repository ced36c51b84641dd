"""The multiplexed stream between two nodes.

Either side may call the other. Frames are written by one task that joins what has
accumulated, and read by one task that dispatches frames without starting tasks of
its own, so a call costs few switches.
"""

import os
from dataclasses import dataclass, field

import anyio
import msgpack

from ragworthoist.core.entities import Answer, Outcome, Reason, refuse
from ragworthoist.exceptions import AuthenticationError, BodyCutError, FrameError
from ragworthoist.net.bodies import BodyPipe
from ragworthoist.net.frames import (
    CHUNK_BYTES,
    MAX_BODY_BYTES,
    MAX_FRAME_BYTES,
    NONCE_BYTES,
    PROTOCOL_VERSION,
    STREAMED,
    WINDOW_BYTES,
    FrameKind,
    pack_answer,
    pack_call,
    prove,
    unpack_answer,
    unpack_call,
)

HANDSHAKE_TIMEOUT_SECONDS = 2.0
VERDICT_GRACE_SECONDS = 0.05
RECEIVE_BYTES = 65_536
EXCHANGE_TIMEOUT_SECONDS = 5.0
# A healthy peer answers a check within its link's round trip and one turn of its
# event loop; a multiple of that marks the stream, a longer silence ends it.
CHECK_AFTER_SECONDS = 0.25
CHECK_IDLE_SECONDS = 3.0
DOUBT_AFTER_SECONDS = 0.3
SILENT_AFTER_SECONDS = 1.5


@dataclass(slots=True)
class _Pending:
    """A call that this side made and that has no whole answer yet."""

    event: anyio.Event
    answer: object = None
    body: object = field(default_factory=bytearray)
    length: int = 0


@dataclass(slots=True)
class _Inbound:
    """A call that the other side made and that has no whole answer yet."""

    call: object
    length: int
    body: object = field(default_factory=bytearray)
    handle: object = None


@dataclass(slots=True)
class _Window:
    """Bytes of a body that may still be sent, and how to wait for more."""

    credit: int = WINDOW_BYTES
    event: anyio.Event = field(default_factory=anyio.Event)


class PeerStream:
    """One authenticated stream to another node.

    Parameters
    ----------
    transport : anyio.abc.ByteStream
        The connected transport.
    host : object
        The node, which supplies `instance`, `key`, `clock`, `serve_call`,
        `cancel_call`, `exchange_members` and `fetch_configuration`. A host with
        `streams_bodies` gets long bodies as a `BodyPipe`, others as whole bytes.
    opened : bool
        Whether this side opened the connection.
    """

    def __init__(self, transport, host, opened):
        self._transport = transport
        self._host = host
        self._opened = opened
        self._packer = msgpack.Packer()
        self._unpacker = msgpack.Unpacker(max_buffer_size=4 * MAX_FRAME_BYTES)
        self._out = []
        self._wake = anyio.Event()
        self._pending = {}
        self._inbound = {}
        self._windows = {}
        self._next_id = 1 if opened else 2
        self._streams_bodies = getattr(host, "streams_bodies", False)
        self._receiving = {}
        self._last_heard = 0.0
        self._checked_at = None
        self._finishing = False
        self.closed = False
        self.peer = b""
        self.tasks = None

    async def run(self, task_status=anyio.TASK_STATUS_IGNORED):
        """Serve the stream until it ends; raises nothing but cancellation."""
        try:
            async with self._transport:
                with anyio.fail_after(HANDSHAKE_TIMEOUT_SECONDS):
                    await self._shake_hands()
                async with anyio.create_task_group() as tasks:
                    self.tasks = tasks
                    task_status.started(self)
                    tasks.start_soon(self._write)
                    await self._read()
                    tasks.cancel_scope.cancel()
        except* (OSError, anyio.EndOfStream, TimeoutError):
            pass
        except* (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        except* (FrameError, AuthenticationError, msgpack.UnpackException) as group:
            self._host.report_refused_peer(self.peer, group.exceptions[0])
        except* Exception as group:
            # Whatever a peer manages to trip over must not end the listener.
            self._host.report_refused_peer(self.peer, group.exceptions[0])
        finally:
            self._end()

    async def call(self, call):
        """Send `call` and return its `Answer`; never raises for a lost peer."""
        remaining = call.deadline - self._host.clock()
        if self.closed or remaining <= 0:
            reason = Reason.PEER_UNREACHABLE if self.closed else Reason.DEADLINE
            return refuse(reason, call)
        call_id = self._take_id()
        pending = self._pending[call_id] = _Pending(anyio.Event())
        self._send(pack_call(call_id, call, remaining))
        try:
            with anyio.move_on_after(remaining + VERDICT_GRACE_SECONDS):
                if not _is_inline(call.body):
                    self.tasks.start_soon(self._send_call_body, call_id, call.body)
                await pending.event.wait()
        finally:
            self._pending.pop(call_id, None)
            self._stop_sending(call_id)
            if not pending.event.is_set():
                self._send([int(FrameKind.CANCEL), call_id])
        if not pending.event.is_set():
            return Answer(Outcome.UNKNOWN, Reason.DEADLINE)
        return pending.answer

    async def exchange(self, records):
        """Send member records and return those of the peer, None when lost."""
        return await self._ask(FrameKind.EXCHANGE, records)

    async def fetch(self):
        """Return the raw configuration document of the peer, None when lost."""
        return await self._ask(FrameKind.FETCH, None)

    def close(self):
        """End the stream; calls without an answer become unknown."""
        if self.tasks is not None:
            self.tasks.cancel_scope.cancel()

    @property
    def calls_in_progress(self):
        """Number of calls without a whole answer, and of frames not yet written."""
        waiting = len(self._pending) + len(self._receiving)
        return waiting + len(self._inbound) + len(self._out)

    @property
    def is_doubtful(self):
        """Whether the peer has left a check unanswered for a while."""
        checked = self._checked_at
        return (
            checked is not None and self._host.clock() - checked > DOUBT_AFTER_SECONDS
        )

    def check(self, now):
        """Ask a silent peer for a sign of life, and end the stream without one."""
        if self.closed or self.tasks is None:
            return
        if self._checked_at is not None:
            if now - self._checked_at > SILENT_AFTER_SECONDS:
                self.close()
            return
        after = CHECK_AFTER_SECONDS if self._pending else CHECK_IDLE_SECONDS
        if now - self._last_heard > after:
            self._checked_at = now
            self._send([int(FrameKind.CHECK), 0, None])

    async def _ask(self, kind, content):
        call_id = self._take_id()
        pending = self._pending[call_id] = _Pending(anyio.Event())
        self._send([int(kind), call_id, content])
        with anyio.move_on_after(EXCHANGE_TIMEOUT_SECONDS):
            await pending.event.wait()
        self._pending.pop(call_id, None)
        return None if isinstance(pending.answer, Answer) else pending.answer

    def _take_id(self):
        self._next_id += 2
        return self._next_id

    async def _shake_hands(self):
        nonce = os.urandom(NONCE_BYTES)
        hello = [int(FrameKind.HELLO), PROTOCOL_VERSION, self._host.instance, nonce]
        await self._transport.send(self._packer.pack(hello))
        frame = await self._receive_one()
        valid = len(frame) == 4 and frame[:2] == [FrameKind.HELLO, PROTOCOL_VERSION]
        if not valid or not isinstance(frame[2], bytes):
            raise FrameError("hello", frame[:2])
        self.peer, peer_nonce = frame[2:]
        own_role, peer_role = (b"o", b"a") if self._opened else (b"a", b"o")
        key = self._host.key
        proof = prove(key, own_role, nonce, peer_nonce, self._host.instance)
        await self._transport.send(self._packer.pack([int(FrameKind.PROOF), proof]))
        frame = await self._receive_one()
        expected = prove(key, peer_role, peer_nonce, nonce, self.peer)
        if frame != [FrameKind.PROOF, expected]:
            raise AuthenticationError(self.peer.hex())

    async def _receive_one(self):
        while True:
            for frame in self._unpacker:
                if not isinstance(frame, list) or not frame:
                    raise FrameError("frame", type(frame).__name__)
                return frame
            self._unpacker.feed(await self._transport.receive(RECEIVE_BYTES))

    async def _read(self):
        while True:
            for frame in self._unpacker:
                self._dispatch(frame)
            self._unpacker.feed(await self._transport.receive(RECEIVE_BYTES))
            self._last_heard = self._host.clock()
            self._checked_at = None

    async def _write(self):
        while True:
            if not self._out:
                self._wake = anyio.Event()
                await self._wake.wait()
            data = b"".join(self._out)
            self._out.clear()
            await self._transport.send(data)

    def _send(self, frame):
        if self.closed:
            return
        self._out.append(self._packer.pack(frame))
        self._wake.set()

    async def _send_call_body(self, call_id, body):
        try:
            await self._send_body(call_id, body)
        except BodyCutError:
            # The caller has gone, and cancels the call itself.
            return

    async def _send_body(self, call_id, body):
        window = self._windows[call_id] = _Window()
        total = 0
        try:
            async for part in _parts_of(body):
                for chunk in _chunks_of(part):
                    while window.credit < len(chunk):
                        window.event = anyio.Event()
                        await window.event.wait()
                    if self._windows.get(call_id) is not window:
                        return
                    window.credit -= len(chunk)
                    total += len(chunk)
                    self._send([int(FrameKind.CHUNK), call_id, bytes(chunk)])
            self._send([int(FrameKind.END), call_id, total])
        finally:
            if self._windows.get(call_id) is window:
                del self._windows[call_id]

    def _stop_sending(self, call_id):
        window = self._windows.pop(call_id, None)
        if window is not None:
            window.credit = MAX_BODY_BYTES
            window.event.set()

    def _dispatch(self, frame):
        try:
            kind, call_id = FrameKind(frame[0]), frame[1]
            handle = self._HANDLERS[kind]
        except (TypeError, ValueError, IndexError, KeyError):
            raise FrameError("kind", repr(frame)[:40]) from None
        if not isinstance(call_id, int) or len(frame) < self._LENGTHS.get(kind, 3):
            raise FrameError(kind.name.lower(), len(frame))
        try:
            handle(self, call_id, frame)
        except (TypeError, ValueError) as error:
            raise FrameError(kind.name.lower(), str(error)) from None

    def _is_own(self, call_id):
        return call_id % 2 == (1 if self._opened else 0)

    def _on_call(self, call_id, frame):
        if self._is_own(call_id) or call_id in self._inbound:
            raise FrameError("call id", call_id)
        call, length, complete = unpack_call(frame, self._host.clock())
        inbound = self._inbound[call_id] = _Inbound(call, length)
        if not complete:
            self._await_body(call_id, inbound, call)
        if complete or self._streams_bodies:
            self._serve(call_id, inbound)

    def _await_body(self, call_id, holder, owner):
        """Prepare `holder` for chunks that belong to the call or answer `owner`."""
        if not self._streams_bodies:
            if holder.length == STREAMED:
                raise FrameError("body length", STREAMED)
            return

        def credit(count):
            self._send([int(FrameKind.CREDIT), call_id, count])

        def stop():
            self._receiving.pop(call_id, None)
            self._send([int(FrameKind.CANCEL), call_id])

        is_own = self._is_own(call_id)
        owner.body = holder.body = BodyPipe(credit, stop if is_own else None)
        if is_own:
            self._receiving[call_id] = holder

    def _serve(self, call_id, inbound):
        def reply(answer):
            self._reply(call_id, answer)

        handle = self._host.serve_call(inbound.call, reply)
        if call_id in self._inbound:
            inbound.handle = handle

    def _reply(self, call_id, answer):
        if self.closed or call_id not in self._inbound:
            return
        self._send(pack_answer(call_id, answer))
        if _is_inline(answer.body):
            del self._inbound[call_id]
        else:
            self.tasks.start_soon(self._finish_reply, call_id, answer.body)

    async def _finish_reply(self, call_id, body):
        try:
            await self._send_body(call_id, body)
        except BodyCutError:
            self._send([int(FrameKind.CUT), call_id, None])
        self._inbound.pop(call_id, None)
        if isinstance(body, BodyPipe):
            body.discard()

    def _on_answer(self, call_id, frame):
        pending = self._pending.get(call_id)
        if pending is None:
            return
        answer, length, complete = unpack_answer(frame)
        pending.answer = answer
        pending.length = length
        if not complete:
            self._await_body(call_id, pending, answer)
        if complete or self._streams_bodies:
            pending.event.set()

    def _on_chunk(self, call_id, frame):
        holder = self._holder(call_id)
        if holder is None:
            self._send([int(FrameKind.CREDIT), call_id, len(frame[2])])
            return
        if isinstance(holder.body, BodyPipe):
            holder.body.feed(frame[2])
            return
        holder.body += frame[2]
        if len(holder.body) > min(holder.length, MAX_BODY_BYTES):
            raise FrameError("chunk", len(holder.body))
        self._send([int(FrameKind.CREDIT), call_id, len(frame[2])])

    def _on_end(self, call_id, frame):
        holder = self._holder(call_id)
        if holder is None:
            return
        if isinstance(holder.body, BodyPipe):
            self._receiving.pop(call_id, None)
            holder.body.end()
            return
        if not frame[2] == holder.length == len(holder.body):
            raise FrameError("end", frame[2])
        if self._is_own(call_id):
            holder.answer.body = bytes(holder.body)
            holder.event.set()
        else:
            holder.call.body = bytes(holder.body)
            self._serve(call_id, holder)

    def _holder(self, call_id):
        if not self._is_own(call_id):
            return self._inbound.get(call_id)
        return self._receiving.get(call_id) or self._pending.get(call_id)

    def _on_credit(self, call_id, frame):
        if not isinstance(frame[2], int):
            raise FrameError("credit", frame[2])
        window = self._windows.get(call_id)
        if window is not None:
            window.credit += frame[2]
            window.event.set()

    def _on_cancel(self, call_id, _frame):
        inbound = self._inbound.pop(call_id, None)
        self._stop_sending(call_id)
        if inbound is None:
            return
        if isinstance(inbound.body, BodyPipe):
            inbound.body.cut()
        if inbound.handle is not None:
            self._host.cancel_call(inbound.handle)

    def _on_cut(self, call_id, _frame):
        holder = self._receiving.pop(call_id, None)
        if holder is not None:
            holder.body.cut()

    def _on_check(self, call_id, _frame):
        self._send([int(FrameKind.CHECKED), call_id, None])

    def _on_checked(self, _call_id, _frame):
        """Do nothing: any frame is the sign of life that was asked for."""

    def _on_exchange(self, call_id, frame):
        records = self._host.exchange_members(frame[2])
        self._send([int(FrameKind.EXCHANGED), call_id, records])

    def _on_fetch(self, call_id, _frame):
        raw = self._host.fetch_configuration()
        self._send([int(FrameKind.FETCHED), call_id, raw])

    def _on_result(self, call_id, frame):
        pending = self._pending.get(call_id)
        if pending is not None:
            pending.answer = frame[2]
            pending.event.set()

    def _end(self):
        self.closed = True
        for pending in list(self._pending.values()):
            pending.answer = Answer(Outcome.UNKNOWN, Reason.PEER_LOST)
            pending.event.set()
        for holder in list(self._receiving.values()):
            holder.body.cut()
        self._receiving.clear()
        for inbound in list(self._inbound.values()):
            if isinstance(inbound.body, BodyPipe):
                inbound.body.cut()
            if inbound.handle is not None:
                self._host.cancel_call(inbound.handle)
        self._inbound.clear()
        for window in list(self._windows.values()):
            window.credit = MAX_BODY_BYTES
            window.event.set()
        self._host.report_lost_peer(self)

    _LENGTHS = {FrameKind.CANCEL: 2}

    _HANDLERS = {
        FrameKind.CALL: _on_call,
        FrameKind.ANSWER: _on_answer,
        FrameKind.CHUNK: _on_chunk,
        FrameKind.END: _on_end,
        FrameKind.CREDIT: _on_credit,
        FrameKind.CANCEL: _on_cancel,
        FrameKind.EXCHANGE: _on_exchange,
        FrameKind.EXCHANGED: _on_result,
        FrameKind.FETCH: _on_fetch,
        FrameKind.FETCHED: _on_result,
        FrameKind.CUT: _on_cut,
        FrameKind.CHECK: _on_check,
        FrameKind.CHECKED: _on_checked,
    }


def _is_inline(body):
    return isinstance(body, bytes) and len(body) <= CHUNK_BYTES


async def _parts_of(body):
    if not isinstance(body, BodyPipe):
        yield body
        return
    while part := await body.read():
        yield part


def _chunks_of(part):
    view = memoryview(part)
    for start in range(0, len(part), CHUNK_BYTES):
        yield view[start : start + CHUNK_BYTES]
