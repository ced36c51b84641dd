"""Multiplexed stream between two nodes.

Both sides can send calls. Frames are dispatched as they arrive and written without
delay; the transport combines the writes of one event loop iteration.
"""

import asyncio
from functools import partial

import msgpack

from ragworthoist.core.entities import Answer, Outcome, Reason, refuse
from ragworthoist.core.memory import (
    REQUEST_OVERHEAD_BYTES,
    MemoryBudget,
    measure_headers,
)
from ragworthoist.events import Event, log_event
from ragworthoist.exceptions import FrameError
from ragworthoist.net.bodies import BodyPipe
from ragworthoist.net.calls import (
    BodySender,
    InboundCall,
    PendingCall,
    is_inline,
)
from ragworthoist.net.frames import (
    MAX_BODY_BYTES,
    MAX_FRAME_BYTES,
    STREAMED_LENGTH,
    FrameKind,
    pack_answer,
    pack_call,
    unpack_answer,
    unpack_call,
)
from ragworthoist.net.handshake import Handshake
from ragworthoist.net.liveness import PeerLiveness, Verdict
from ragworthoist.net.output import OutputMonitor
from ragworthoist.net.sockets import set_socket_timeouts

HANDSHAKE_TIMEOUT_SECONDS = 2.0
# Time to wait after the deadline of a call, so that an answer which the peer sends at
# the deadline can still arrive.
ANSWER_GRACE_SECONDS = 0.12
QUERY_TIMEOUT_SECONDS = 5.0


class PeerStream(asyncio.Protocol):
    """One authenticated stream to another node.

    Parameters
    ----------
    node : object
        The node. It provides `instance`, `key`, `clock`, `serve_call`,
        `cancel_call`, `refuse_waiting_call`, `exchange_members`,
        `fetch_configuration`, `report_refused_peer`, `report_lost_peer` and `memory`,
        the `MemoryBudget` of the process. If its `streams_bodies` is
        true, it gets long bodies as a `BodyPipe`, otherwise as complete bytes.
    is_initiator : bool
        Whether this side opened the connection.
    on_open : callable, optional
        Called with the stream once the handshake is complete.
    """

    def __init__(self, node, is_initiator, on_open=None):
        self._loop = asyncio.get_running_loop()
        self._transport = None
        self._output = None
        self._node = node
        self._is_initiator = is_initiator
        self._on_open = on_open
        self._packer = msgpack.Packer()
        self._unpacker = msgpack.Unpacker(max_buffer_size=4 * MAX_FRAME_BYTES)
        self._pending = {}
        self._inbound = {}
        self._body_sender = BodySender(self._send)
        self._receiving = {}
        self._tasks = set()
        self._next_id = 1 if is_initiator else 2
        self._streams_bodies = getattr(node, "streams_bodies", False)
        self._memory = getattr(node, "memory", None) or MemoryBudget()
        self._handshake = Handshake(node, is_initiator)
        self._handshake_timer = None
        self._liveness = PeerLiveness(node.clock())
        self.established = self._loop.create_future()
        self.is_closed = False
        self.peer = b""

    # Transport callbacks.

    def connection_made(self, transport):
        """Start the handshake."""
        self._transport = transport
        set_socket_timeouts(transport.get_extra_info("socket"))
        self._output = OutputMonitor(self._loop, transport)
        self._handshake_timer = self._loop.call_later(
            HANDSHAKE_TIMEOUT_SECONDS, self._abort_handshake
        )
        self._transport.write(self._packer.pack(self._handshake.hello))

    def data_received(self, data):
        """Dispatch the frames in `data`."""
        self._liveness.mark_seen(self._node.clock())
        try:
            self._unpacker.feed(data)
            for frame in self._unpacker:
                if self.is_closed:
                    return
                if self._is_established:
                    self._dispatch(frame)
                else:
                    self._process_handshake(frame)
        except Exception as error:
            # An error caused by one peer must not stop the node from accepting
            # other streams.
            self._node.report_refused_peer(self.peer, error)
            self.close()

    def connection_lost(self, _error):
        """Set the outcome of every call in progress."""
        self._output.stop()
        self._end()

    def pause_writing(self):
        """Hold back chunks of bodies while many bytes are unsent."""
        self._body_sender.writable.clear()

    def resume_writing(self):
        """Send chunks of bodies again."""
        self._body_sender.writable.set()

    # Calls.

    async def call(self, call):
        """Send `call` and return its `Answer`.

        No exception is raised if the peer is unreachable or lost; the reason in the
        answer states it.
        """
        remaining = call.deadline - self._node.clock()
        if self.is_closed or remaining <= 0:
            reason = Reason.PEER_UNREACHABLE if self.is_closed else Reason.DEADLINE
            return refuse(reason, call)
        call_id = self._take_id()
        pending = self._pending[call_id] = PendingCall(
            self._loop.create_future(),
            idempotent=call.idempotent,
            deadline=call.deadline,
        )
        timer = self._loop.call_later(remaining + ANSWER_GRACE_SECONDS, pending.finish)
        frame_version = self._handshake.frame_version
        self._send(pack_call(call_id, call, remaining, frame_version))
        sender = None
        if not is_inline(call.body):
            sender = self._start(self._body_sender.send(call_id, call.body))
        is_piped = isinstance(call.body, BodyPipe)
        if is_piped:
            call.body.set_cut_callback(partial(self._abandon, pending))
        try:
            await pending.completion
        except asyncio.CancelledError:
            if pending.answer is not None and isinstance(pending.answer.body, BodyPipe):
                pending.answer.body.discard()
            raise
        finally:
            timer.cancel()
            self._pending.pop(call_id, None)
            if pending.account is not None:
                pending.account.close()
            self._body_sender.stop(call_id)
            if is_piped:
                call.body.set_cut_callback(None)
            if sender is not None:
                # The body may be read again at once, for another endpoint.
                sender.cancel()
            if pending.answer is None or pending.is_abandoned:
                self._send([int(FrameKind.CANCEL), call_id])
        if pending.is_abandoned:
            return pending.answer
        if pending.answer is None or not self._is_complete(pending):
            return Answer(Outcome.UNKNOWN, Reason.DEADLINE)
        return pending.answer

    async def exchange(self, records):
        """Return the member records of the peer after sending it `records`.

        Returns None if no answer arrives.
        """
        return await self._send_query(FrameKind.EXCHANGE, records)

    async def fetch(self):
        """Return the raw configuration document of the peer.

        Returns None if no answer arrives.
        """
        return await self._send_query(FrameKind.FETCH, None)

    def close(self):
        """Close the stream; calls without an answer get the outcome unknown."""
        if self._transport is not None:
            self._transport.abort() if self.is_unresponsive else self._transport.close()
        self._end()

    @property
    def calls_in_progress(self):
        """Number of incomplete calls and bodies, plus one while data is unsent."""
        waiting = len(self._pending) + len(self._receiving) + len(self._inbound)
        unsent = 0
        if self._transport is not None and not self.is_closed:
            unsent += self._transport.get_write_buffer_size() > 0
        return waiting + unsent

    @property
    def is_unresponsive(self):
        """Whether a check is unanswered for over `UNRESPONSIVE_AFTER_SECONDS`."""
        liveness = self._liveness
        return liveness.has_pending_check and liveness.is_unresponsive(
            self._node.clock()
        )

    def check(self, now):
        """Send a check to a silent peer, and act on a check without an answer.

        Idempotent calls end once the peer is unresponsive. The stream is closed
        after a longer silence, unless calls that are not idempotent are in progress, or
        answers have begun: the peer may only be paused, and no second attempt can
        replace them. Each of them ends at its deadline.
        """
        if self.is_closed or not self._is_established:
            return
        verdict = self._liveness.evaluate(now, has_pending_calls=bool(self._pending))
        if verdict is Verdict.ASK:
            self._send([int(FrameKind.CHECK), 0, None])
        elif verdict is Verdict.DOUBTFUL:
            self._end_idempotent_calls()
        elif verdict is Verdict.SILENT and not self._must_stay_open(now):
            self.close()

    def _must_stay_open(self, now):
        return (
            any(pending.must_be_awaited for pending in self._pending.values())
            or any(begun.deadline > now for begun in self._receiving.values())
            or any(not inbound.call.idempotent for inbound in self._inbound.values())
        )

    def _end_idempotent_calls(self):
        """End the idempotent calls, which can be retried elsewhere without delay."""
        ended_count = 0
        for pending in list(self._pending.values()):
            if pending.idempotent and pending.answer is None:
                pending.answer = Answer(Outcome.UNKNOWN, Reason.PEER_LOST)
                pending.is_abandoned = True
                pending.finish()
                ended_count += 1
        if ended_count:
            log_event(Event.PEER_DOUBTED, peer=self.peer.hex(), calls=ended_count)

    async def _send_query(self, kind, content):
        if self.is_closed:
            return None
        call_id = self._take_id()
        pending = self._pending[call_id] = PendingCall(
            self._loop.create_future(), is_query=True
        )
        timer = self._loop.call_later(QUERY_TIMEOUT_SECONDS, pending.finish)
        self._send([int(kind), call_id, content])
        try:
            await pending.completion
        finally:
            timer.cancel()
            self._pending.pop(call_id, None)
        # If the stream ended, `_end` has set an `Answer` in place of a result.
        return None if isinstance(pending.answer, Answer) else pending.answer

    def _take_id(self):
        self._next_id += 2
        return self._next_id

    # Handshake.

    @property
    def _is_established(self):
        return self.established.done()

    def _process_handshake(self, frame):
        reply = self._handshake.process_frame(frame)
        self.peer = self._handshake.peer
        if reply is not None:
            self._transport.write(self._packer.pack(reply))
            return
        self._handshake_timer.cancel()
        self.established.set_result(self)
        if self._on_open is not None:
            self._on_open(self)

    def _abort_handshake(self):
        self._transport.abort()
        self._end()

    # Sending.

    def _send(self, frame):
        if self.is_closed:
            return
        # The transport combines the writes of one event loop iteration.
        self._transport.write(self._packer.pack(frame))
        self._output.watch()

    def _start(self, coroutine):
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _abandon(self, pending):
        """End a call whose body was cut: the server can never receive all of it."""
        if pending.answer is None:
            pending.answer = Answer(Outcome.UNKNOWN, Reason.CANCELLED)
            pending.is_abandoned = True
            pending.finish()

    # Frames.

    def _dispatch(self, frame):
        try:
            kind, call_id = frame[0], frame[1]
            handle = self._HANDLERS[kind]
        except (TypeError, ValueError, IndexError, KeyError):
            raise FrameError("kind", repr(frame)[:40]) from None
        if not isinstance(call_id, int) or len(frame) < self._MIN_LENGTHS.get(kind, 3):
            raise FrameError(FrameKind(kind).name.lower(), len(frame))
        try:
            handle(self, call_id, frame)
        except (TypeError, ValueError) as error:
            raise FrameError(FrameKind(kind).name.lower(), str(error)) from None

    def _is_complete(self, pending):
        """Whether the answer can be returned: its body is complete or streamed."""
        return self._streams_bodies or pending.length == len(pending.answer.body)

    def _is_own(self, call_id):
        """Whether this side made the call; ids of the initiator are odd."""
        return call_id % 2 == (1 if self._is_initiator else 0)

    def _on_call(self, call_id, frame):
        if self._is_own(call_id) or call_id in self._inbound:
            raise FrameError("call id", call_id)
        call, length, complete = unpack_call(frame, self._node.clock())
        account = self._memory.open_account(partial(self._evict, call_id))
        inbound = self._inbound[call_id] = InboundCall(call, length, account)
        account.add(
            REQUEST_OVERHEAD_BYTES + measure_headers(call.headers) + len(call.body)
        )
        if call_id not in self._inbound:
            return
        if not complete:
            self._prepare_receiver(call_id, inbound, call)
        if complete or self._streams_bodies:
            self._serve(call_id, inbound)

    def _prepare_receiver(self, call_id, receiver, owner):
        """Prepare `receiver` for the body chunks of the call or answer `owner`."""
        if not self._streams_bodies:
            if receiver.length == STREAMED_LENGTH:
                raise FrameError("body length", STREAMED_LENGTH)
            return

        def credit(count):
            self._send([int(FrameKind.CREDIT), call_id, count])

        def stop():
            self._receiving.pop(call_id, None)
            self._send([int(FrameKind.CANCEL), call_id])

        is_own = self._is_own(call_id)
        owner.body = receiver.body = BodyPipe(
            credit,
            on_discard=stop if is_own else None,
            on_evict=None if is_own else partial(self._evict, call_id),
            memory=self._memory,
        )
        if is_own:
            self._receiving[call_id] = receiver

    def _serve(self, call_id, inbound):
        def reply(answer):
            self._reply(call_id, answer)

        inbound.is_served = True
        handle = self._node.serve_call(inbound.call, reply)
        if call_id in self._inbound:
            inbound.handle = handle

    def _reply(self, call_id, answer):
        if self.is_closed or call_id not in self._inbound:
            if isinstance(answer.body, BodyPipe):
                answer.body.discard()
            return
        self._send(pack_answer(call_id, answer, self._handshake.frame_version))
        if is_inline(answer.body):
            self._forget_inbound(call_id)
        else:
            # The answer's own body has an account, or is counted here.
            inbound = self._inbound[call_id]
            inbound.is_answered = True
            if isinstance(answer.body, BodyPipe):
                inbound.answer_body = answer.body
            inbound.account.resize(
                len(answer.body) if isinstance(answer.body, bytes) else 0
            )
            self._start(self._finish_reply(call_id, answer.body))

    async def _finish_reply(self, call_id, body):
        try:
            if not await self._body_sender.send(call_id, body):
                self._send([int(FrameKind.CUT), call_id, None])
        finally:
            self._forget_inbound(call_id)

    def _forget_inbound(self, call_id):
        """Remove a call of the other side, and return it if it was in progress."""
        inbound = self._inbound.pop(call_id, None)
        if inbound is None:
            return None
        inbound.account.close()
        if isinstance(inbound.body, BodyPipe):
            # What has not arrived will not be read any more.
            inbound.body.cut()
            inbound.body.discard()
        if inbound.answer_body is not None:
            inbound.answer_body.discard()
        return inbound

    def _evict(self, call_id):
        """Refuse or end a call of the other side, since the process holds too much."""
        inbound = self._inbound.get(call_id)
        if inbound is None:
            return
        if inbound.is_answered:
            self._body_sender.stop(call_id)
            self._send([int(FrameKind.CUT), call_id, None])
        elif not (inbound.is_served or inbound.call.ticket):
            # Of a request with a ticket, another attempt may run.
            self._reply(call_id, refuse(Reason.SHED, inbound.call))
        elif inbound.handle is None or not self._node.refuse_waiting_call(
            inbound.handle
        ):
            self._reply(call_id, Answer(Outcome.UNKNOWN, Reason.CANCELLED))
            if inbound.handle is not None:
                self._node.cancel_call(inbound.handle)

    def _evict_answer(self, pending):
        """Give up an answer, since the process holds too much."""
        pending.answer = Answer(Outcome.UNKNOWN, Reason.TOO_LARGE, retryable=False)
        pending.body = bytearray()
        pending.is_abandoned = True
        pending.finish()

    def _on_answer(self, call_id, frame):
        pending = self._pending.get(call_id)
        if pending is None:
            return
        answer, length, complete = unpack_answer(frame)
        pending.answer = answer
        pending.length = length
        if not complete:
            if not self._streams_bodies:
                pending.account = self._memory.open_account(
                    partial(self._evict_answer, pending)
                )
            self._prepare_receiver(call_id, pending, answer)
        if complete or self._streams_bodies:
            pending.finish()

    def _on_chunk(self, call_id, frame):
        receiver = self._find_receiver(call_id)
        if receiver is None:
            self._send([int(FrameKind.CREDIT), call_id, len(frame[2])])
            return
        if isinstance(receiver.body, BodyPipe):
            receiver.body.feed(frame[2])
            return
        receiver.body += frame[2]
        receiver.account.add(len(frame[2]))
        if len(receiver.body) > min(receiver.length, MAX_BODY_BYTES):
            raise FrameError("chunk", len(receiver.body))
        self._send([int(FrameKind.CREDIT), call_id, len(frame[2])])

    def _on_end(self, call_id, frame):
        receiver = self._find_receiver(call_id)
        if receiver is None:
            return
        if isinstance(receiver.body, BodyPipe):
            self._receiving.pop(call_id, None)
            receiver.body.end()
            return
        if not frame[2] == receiver.length == len(receiver.body):
            raise FrameError("end", frame[2])
        if self._is_own(call_id):
            receiver.answer.body = bytes(receiver.body)
            receiver.finish()
        else:
            receiver.call.body = bytes(receiver.body)
            receiver.body = b""
            self._serve(call_id, receiver)

    def _find_receiver(self, call_id):
        if not self._is_own(call_id):
            return self._inbound.get(call_id)
        return self._receiving.get(call_id) or self._pending.get(call_id)

    def _on_credit(self, call_id, frame):
        if not isinstance(frame[2], int):
            raise FrameError("credit", frame[2])
        self._body_sender.add_credit(call_id, frame[2])

    def _on_cancel(self, call_id, _frame):
        inbound = self._inbound.get(call_id)
        self._body_sender.stop(call_id)
        if inbound is None:
            return
        self._forget_inbound(call_id)
        if inbound.handle is not None:
            self._node.cancel_call(inbound.handle)

    def _on_cut(self, call_id, _frame):
        receiver = self._receiving.pop(call_id, None)
        if receiver is not None:
            receiver.body.cut()

    def _on_check(self, call_id, _frame):
        self._send([int(FrameKind.CHECKED), call_id, None])

    def _on_checked(self, _call_id, _frame):
        """Do nothing: any received data already answers the check."""

    def _on_exchange(self, call_id, frame):
        records = self._node.exchange_members(frame[2], self.peer)
        self._send([int(FrameKind.EXCHANGED), call_id, records])

    def _on_fetch(self, call_id, _frame):
        raw = self._node.fetch_configuration()
        self._send([int(FrameKind.FETCHED), call_id, raw])

    def _on_result(self, call_id, frame):
        pending = self._pending.get(call_id)
        if pending is not None:
            pending.answer = frame[2]
            pending.finish()

    def _end(self):
        if self.is_closed:
            return
        self.is_closed = True
        self._handshake_timer.cancel()
        if not self._is_established:
            self.established.set_result(None)
        for pending in list(self._pending.values()):
            pending.answer = Answer(Outcome.UNKNOWN, Reason.PEER_LOST)
            pending.finish()
        for receiver in list(self._receiving.values()):
            receiver.body.cut()
        self._receiving.clear()
        for call_id, inbound in list(self._inbound.items()):
            self._forget_inbound(call_id)
            if inbound.handle is not None:
                self._node.cancel_call(inbound.handle)
        self._body_sender.stop_all()
        self._node.report_lost_peer(self)

    _MIN_LENGTHS = {FrameKind.CANCEL: 2}

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
