"""Server side of one connection to a client, with requests parsed by httptools.

Requests on one connection are handled concurrently and answered in order. Bodies
are streamed under flow control. If a response cannot be completed, its connection
is closed, so that the client never takes it for complete. uvicorn's protocol does
neither; see docs/PLATFORM.md.
"""

import asyncio
from collections import deque
from http import HTTPStatus

import httptools

from ragworthoist.core.memory import (
    HEADER_OVERHEAD_BYTES,
    REQUEST_OVERHEAD_BYTES,
    measure_headers,
)
from ragworthoist.core.turns import FREE_ITEMS
from ragworthoist.events import Event, log_event
from ragworthoist.exceptions import BodyCutError, CallerGoneError
from ragworthoist.net.bodies import HIGH_WATER_BYTES, BodyPipe
from ragworthoist.net.output import OutputMonitor
from ragworthoist.net.sockets import (
    is_closed_by_peer,
    read_output_state,
    set_socket_timeouts,
)

# Bytes of a long body that are kept until the response, so that a call that was refused
# can be sent elsewhere.
HELD_BODY_BYTES = 2 * HIGH_WATER_BYTES
# Unanswered requests on one connection at which reading is paused.
MAX_PIPELINED = 16
# Largest read, and the part of it that is parsed at once where it may hold many
# requests or chunks.
READ_BYTES = 64 * 1024
SLICE_BYTES = 2048
BODY_SLICE_BYTES = 4096
# What a request line may have besides its target.
REQUEST_LINE_BYTES = 32
# Bytes besides the body after the head of one request: chunk framing and trailers.
MAX_FRAMING_BYTES = 64 * 1024
# The framing of a chunk with an ordinary extension.
CHUNK_FRAMING_BYTES = 32
# Added to the idle timeout of a connection without a request in progress.
IDLE_MARGIN_SECONDS = 0.5
# Time to read and drop data after the last response; long enough for what a client
# has already sent when the response reaches it.
LINGER_SECONDS = 1.0
# Interval at which a closing connection is checked for a response that the client has
# not taken.
CLOSE_POLL_SECONDS = 0.25

_REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}
# Tells a client that was refused when it may come back.
_COME_BACK = b"retry-after: 1\r\n"
_FRAMING_HEADERS = frozenset(
    {b"connection", b"content-length", b"keep-alive", b"transfer-encoding", b"upgrade"}
)


class Request:
    """One request of a client.

    `body` is the complete body as bytes if it is short, otherwise a `BodyPipe`.
    `turn` is a future that completes when the responses before this one are sent.
    `started_at` is when its first byte arrived, in seconds of the event loop's clock.
    """

    __slots__ = ("_connection", "method", "target", "headers", "body", "keep_alive",
                 "task", "turn", "has_responded", "is_complete", "pipe",
                 "received", "started_at", "held_bytes")  # fmt: skip

    def __init__(self, connection, method, target, headers, keep_alive, started_at):
        self._connection = connection
        self.started_at = started_at
        self.method = method
        self.target = target
        self.headers = headers
        self.body = b""
        self.keep_alive = keep_alive
        self.task = None
        self.turn = None
        self.has_responded = False
        self.is_complete = False
        self.pipe = None
        self.received = None
        self.held_bytes = 0

    @property
    def age(self):
        """Seconds since the first byte of the request arrived."""
        return asyncio.get_running_loop().time() - self.started_at

    async def respond(self, status, headers=(), body=b"", close=False):
        """Send the response once the responses before it are complete.

        Parameters
        ----------
        status : int
            The HTTP status.
        headers : iterable of (bytes, bytes)
            Headers of the response. Those that describe the connection or the
            length of the body are set here and skipped.
        body : bytes or BodyPipe
            The body, streamed if it is a pipe.
        close : bool
            Whether to close the connection after this response.

        Raises
        ------
        CallerGoneError
            If the client has closed its connection.
        """
        await self._connection.respond(self, status, headers, body, close)


# Where all connections receive; what they receive is copied before the next read.
_read_buffer = memoryview(bytearray(READ_BYTES))


class ClientConnection(asyncio.BufferedProtocol):
    """Reads the requests of one connection and writes their responses.

    Parameters
    ----------
    listener : Listener
        Provides `loop`, `limits`, `memory`, `run_handler`, `report_refused`, `admit`,
        `wait_for_turn`, the set `connections`, and whether the node `is_draining` or
        `is_stopping`.
    """

    def __init__(self, listener):
        self._listener = listener
        self._account = listener.memory.open_account(self._evict)
        # What the account counts: requests without a complete response, a head that is
        # being received, output that the client does not take, and unparsed input.
        self._held_bytes = 0
        self._head_held_bytes = 0
        self._stalled_bytes = 0
        self._unparsed = b""
        self._item_count = 0
        self._is_turn_due = False
        self._is_parsing = False
        self._loop = listener.loop
        self._transport = None
        self._socket = None
        self._output = None
        self._parser = httptools.HttpRequestParser(self)
        self._requests = deque()
        self._current = None
        self._url = []
        self._headers = []
        self._head_bytes = 0
        self._raw_head_bytes = 0
        self._begun_count = 0
        self._body_bytes = 0
        self._framing_bytes = 0
        self._declared_length = 0
        self._expects_continue = False
        self._in_head = False
        self._head_started_at = 0.0
        self._message_started_at = 0.0
        self._response_started_at = 0.0
        self.last_active = 0.0
        self._writable = None
        self._is_reading = True
        self._is_closing = False
        self._is_refused = False
        self._is_disconnected = False

    # Transport callbacks.

    def connection_made(self, transport):
        """Register the connection with its listener."""
        self._transport = transport
        self._socket = transport.get_extra_info("socket")
        set_socket_timeouts(self._socket)
        self._output = OutputMonitor(self._loop, transport, self._get_stall_limit)
        self.last_active = self._loop.time()
        if self._listener.admit():
            self._listener.connections.add(self)
        else:
            self.close_at_once()

    def connection_lost(self, error):
        """Abandon the requests of a disconnected client."""
        self._is_disconnected = True
        self._account.close()
        self._unparsed = b""
        self._output.stop()
        if error is not None:
            self._log_cut_answer(error)
        self._listener.connections.discard(self)
        self._resume_writer()
        for request in list(self._requests):
            self._abandon(request)
        self._requests.clear()

    def eof_received(self):
        """Close the connection once the client has closed its side."""
        if self._is_closing or self._is_refused:
            self.close_now()
            return False
        # The client no longer waits for responses.
        self._transport.abort()
        return False

    def get_buffer(self, _size):
        """Return where the transport writes what it receives."""
        return _read_buffer

    def buffer_updated(self, count):
        """Parse `count` bytes from the client."""
        if self._is_refused or self._is_closing:
            return
        self.last_active = self._loop.time()
        data = bytes(_read_buffer[:count])
        if self._unparsed:
            self._unparsed += data
            self._count_held()
            return
        self._item_count = 0
        self._parse(data)

    def parse_in_turn(self):
        """Parse what has waited for the turn of this connection.

        Returns
        -------
        int
            Number of items that were parsed.
        """
        self._is_turn_due = False
        self._item_count = 0
        self._parse_waiting()
        return self._item_count

    def _parse_waiting(self):
        if self._is_turn_due or not self._unparsed:
            return
        data, self._unparsed = self._unparsed, b""
        if not (self._is_refused or self._is_closing or self._is_disconnected):
            self._parse(data)

    def _parse(self, data):
        """Parse `data` until the rest has to wait for a turn or for responses."""
        start = 0
        self._is_parsing = True
        while start < len(data) and not (self._is_refused or self._is_closing):
            has_had_turn = self._item_count >= FREE_ITEMS
            if has_had_turn or self._is_full:
                self._unparsed = data[start:]
                if has_had_turn:
                    self._is_turn_due = True
                    self._listener.wait_for_turn(self)
                break
            size = self._choose_slice()
            self._parse_slice(data[start : start + size])
            start += size
        self._is_parsing = False
        self._count_held()
        self._control_reading()

    @property
    def _is_full(self):
        """Whether requests or bytes that were received have to be dealt with first."""
        pipe = self._current.pipe if self._current is not None else None
        is_pipe_full = pipe is not None and pipe.is_full
        return is_pipe_full or len(self._requests) >= MAX_PIPELINED

    def _choose_slice(self):
        """Return how many bytes to parse before the state is looked at again."""
        if self._current is None:
            return SLICE_BYTES
        return max(self._declared_length - self._body_bytes, 0) or BODY_SLICE_BYTES

    def _parse_slice(self, data):
        if not self._in_head and self._current is None:
            self._head_started_at = self.last_active
            self._raw_head_bytes = 0
            self._begun_count = 0
        size = len(data)
        self._framing_bytes += size
        try:
            while data:
                data = self._feed(data)
        except httptools.HttpParserError:
            if not self._is_refused:
                self._refuse(400)
        if self._in_head:
            self._check_partial_head(size)
        elif self._current is None:
            self._framing_bytes = 0
        elif self._framing_bytes > MAX_FRAMING_BYTES:
            self._refuse_body(400)

    def _feed(self, data):
        """Parse `data`, and return what follows a head with an offer to upgrade.

        The offer is ignored, as HTTP allows. The parser stops behind such a head, so
        another one gets the head without the offer.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            method = self._parser.get_method()
            if method == b"CONNECT":
                self._refuse(400)
                return b""
            self._parser = httptools.HttpRequestParser(self)
            self._parser.feed_data(_make_head_without_offer(method, self))
            return data[upgrade.args[0] :]
        return b""

    def _check_partial_head(self, count):
        """Refuse a head whose end has not come, but more bytes than a head may have."""
        if self._begun_count > 1:
            # The bytes before it belong to other requests.
            self._raw_head_bytes = 0
            self._begun_count = 1
            return
        self._raw_head_bytes += count
        limit = self._listener.limits.max_head_bytes + REQUEST_LINE_BYTES
        if self._raw_head_bytes > limit:
            self._refuse(431)

    def _count_held(self):
        self._account.resize(
            self._held_bytes
            + self._head_held_bytes
            + self._stalled_bytes
            + len(self._unparsed)
            # Of which the parser keeps an incomplete header.
            + (self._raw_head_bytes if self._in_head else 0)
        )

    def _hold(self, request, count):
        request.held_bytes += count
        self._held_bytes += count

    def _evict(self):
        """Drop what this connection holds, since the process holds too much.

        A request that has not started is refused, and the client may come back.
        """
        if self._is_disconnected:
            return
        log_event(
            Event.CONNECTION_EVICTED,
            peer=self._transport.get_extra_info("peername"),
            requests=len(self._requests),
        )
        is_started = self._current is not None and self._current.pipe is not None
        if self._requests or is_started or self._is_refused or self._is_closing:
            self._transport.abort()
            return
        if self._current is not None:
            self._current.received = None
        self._headers = []
        self._unparsed = b""
        self._refuse(503, _COME_BACK)

    @property
    def waiting_since(self):
        """Time from which the connection has waited for its client.

        It is in seconds of the event loop's clock, None if it waits for this node.
        """
        if self._writable is not None or self._is_closing:
            return self._response_started_at
        if self._in_head:
            return self._head_started_at
        if self._current is not None:
            return self._message_started_at if self._is_reading else None
        return None if self._requests else self.last_active

    def close_at_once(self):
        """Close the connection and give its descriptor back."""
        self._is_closing = True
        self._transport.abort()

    def pause_writing(self):
        """Pause a streamed response while the client reads slowly."""
        self._writable = self._loop.create_future()
        self._stalled_bytes = self._transport.get_write_buffer_size()
        self._count_held()

    def resume_writing(self):
        """Resume a streamed response."""
        self._stalled_bytes = 0
        self._count_held()
        self._resume_writer()

    # Parser callbacks.

    def on_message_begin(self):
        """Start receiving a request."""
        self._in_head = True
        self._message_started_at = self._loop.time()
        self._begun_count += 1
        self._item_count += 1
        self._head_bytes = 0
        self._head_held_bytes = 0
        self._body_bytes = 0
        self._declared_length = 0
        self._expects_continue = False
        self._url = []
        self._headers = []

    def on_url(self, url):
        """Store a part of the request target."""
        self._url.append(url)
        self._head_bytes += len(url)

    def on_header(self, name, value):
        """Store one header."""
        if self._is_refused:
            return
        self._item_count += 1
        name = name.lower()
        self._headers.append((name, value))
        if name == b"content-length":
            self._declared_length = int(value) if value.isdigit() else 0
        elif name == b"expect":
            self._expects_continue = value.lower() == b"100-continue"
        self._head_bytes += len(name) + len(value) + 4
        self._head_held_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        if self._head_bytes > self._listener.limits.max_head_bytes:
            # A trailer, if the request has begun.
            if self._current is None:
                self._refuse(431)
            else:
                self._refuse_body(431)

    def on_headers_complete(self):
        """Check the head of a request against the limits."""
        self._in_head = False
        if self._parser.should_upgrade():
            # Comes again without the offer.
            return
        if self._head_bytes > self._listener.limits.max_head_bytes:
            self._refuse(431)
        if self._is_refused:
            return
        request = Request(
            self,
            self._parser.get_method().decode("latin1"),
            b"".join(self._url),
            self._headers,
            self._parser.should_keep_alive(),
            self._message_started_at,
        )
        self._current = request
        self._hold(request, self._head_held_bytes + REQUEST_OVERHEAD_BYTES)
        self._head_held_bytes = 0
        self._framing_bytes = 0
        if self._declared_length > self._listener.limits.max_body_bytes:
            self._refuse(413)
        elif self._expects_continue and not self._requests:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data):
        """Store or stream a part of the body."""
        request = self._current
        if self._is_refused or request is None:
            return
        self._item_count += 1
        self._body_bytes += len(data)
        received = len(data) + CHUNK_FRAMING_BYTES
        self._framing_bytes = max(0, self._framing_bytes - received)
        if self._body_bytes > self._listener.limits.max_body_bytes:
            self._refuse_body(413)
        elif request.pipe is not None:
            request.pipe.feed(data)
        elif self._body_bytes < HIGH_WATER_BYTES:
            if request.received is None:
                request.received = bytearray()
            request.received += data
            self._hold(request, len(data))
        else:
            self._open_pipe(request, data)

    def on_message_complete(self):
        """Complete a request and start its handler if that is not running."""
        request, self._current = self._current, None
        if self._is_refused or request is None:
            return
        request.is_complete = True
        if request.pipe is not None:
            request.pipe.end()
            # A request refused while stopping has no task: it was never queued.
            if request.has_responded and request.task is not None:
                self._finish(request)
            return
        if request.received:
            request.body = bytes(request.received)
            request.received = None
        self._start(request)

    # Responses.

    async def respond(self, request, status, headers, body, close):
        """Write the response to `request` after those before it.

        See `Request.respond`.
        """
        if self._is_disconnected or self._is_refused and request is self._current:
            # A refused request is answered by its refusal.
            raise CallerGoneError
        is_piped = isinstance(body, BodyPipe)
        answer_bytes = measure_headers(headers) + (0 if is_piped else len(body))
        self._hold(request, answer_bytes)
        self._count_held()
        if self._requests[0] is not request:
            request.turn = self._loop.create_future()
            await request.turn
        if self._is_disconnected:
            raise CallerGoneError
        is_last = len(self._requests) == 1
        should_close = close or not request.keep_alive
        should_close = should_close or (self._listener.is_draining and is_last)
        self._response_started_at = self._loop.time()
        parts = [b"HTTP/1.1 %d %s\r\n" % (status, _get_reason_phrase(status))]
        for name, value in headers:
            if name not in _FRAMING_HEADERS:
                parts.append(b"%s: %s\r\n" % (name, value))
        if should_close:
            parts.append(b"connection: close\r\n")
        has_body = request.method != "HEAD" and status not in (204, 304)
        if is_piped and has_body:
            parts.append(b"transfer-encoding: chunked\r\n\r\n")
        elif status != 204:
            parts.append(b"content-length: %d\r\n\r\n" % len(body))
        else:
            parts.append(b"\r\n")
        if is_piped:
            self._write(b"".join(parts))
            if has_body:
                await self._write_piped(body)
        else:
            if has_body:
                parts.append(body)
            self._write(b"".join(parts))
            if self._writable is not None and not should_close:
                # The request counts as unanswered until then, which bounds how many
                # further requests are read.
                await self._writable
                if self._is_disconnected:
                    raise CallerGoneError
        request.has_responded = True
        if request.pipe is not None:
            request.pipe.discard()
        if should_close:
            self._close_after(request)
        elif request.is_complete:
            self._finish(request)
        self._control_reading()

    async def _write_piped(self, body):
        try:
            while data := await body.read():
                self._write(b"%x\r\n" % len(data) + data + b"\r\n")
                if self._writable is not None:
                    await self._writable
                if self._is_disconnected:
                    raise CallerGoneError
        except BodyCutError:
            # The last chunk is missing, so the client sees an incomplete response.
            self._transport.abort()
            raise
        self._write(b"0\r\n\r\n")

    def _write(self, data):
        self._transport.write(data)
        self._output.watch()

    def _open_pipe(self, request, data):
        """Start the handler of a request with a long body before it is complete."""
        request.body = request.pipe = BodyPipe(
            on_read=self._on_body_read,
            held_bytes=HELD_BODY_BYTES,
            memory=self._listener.memory,
            on_evict=self._evict,
        )
        received, request.received = request.received, None
        if received:
            request.pipe.feed(bytes(received))
            self._hold(request, -len(received))
        request.pipe.feed(data)
        self._start(request)

    def _start(self, request):
        if self._listener.is_stopping:
            self._refuse_unstarted(request)
            return
        self._requests.append(request)
        request.task = self._loop.create_task(self._listener.run_handler(request, self))

    def _refuse_unstarted(self, request):
        """Refuse a request that arrived while this node is stopping.

        The client can send it to another node.
        """
        if self._requests:
            # The response in progress closes the connection, and the requests behind
            # it then count as not read.
            request.has_responded = True
        else:
            self._refuse(503)

    def close_unless_responded(self, request):
        """Close the connection if `request` has no complete response."""
        if self._is_refused and request is self._current:
            # The refusal, which is written next, is the response to this request.
            return
        if not (self._is_disconnected or self._is_closing or request.has_responded):
            self._transport.abort()

    def _finish(self, request):
        self._requests.popleft()
        self._hold(request, -request.held_bytes)
        self._count_held()
        if self._requests and self._requests[0].turn is not None:
            turn = self._requests[0].turn
            if not turn.done():
                turn.set_result(None)
        self.last_active = self._loop.time()
        self._control_reading()

    def _close_after(self, request):
        self._is_closing = True
        for other in list(self._requests)[1:]:
            self._abandon(other)
        self._close_with_linger()

    def _close_with_linger(self):
        # Closing a socket with unread data resets the connection, and the client may
        # then lose the response. Data that still arrives, such as pipelined requests,
        # is therefore read and dropped for `LINGER_SECONDS`.
        self._transport.resume_reading()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._loop.call_later(LINGER_SECONDS, self._close_when_taken)

    def _close_when_taken(self):
        """Close the connection once the client has taken everything sent to it."""
        if self._is_disconnected:
            return
        if self._output.is_empty:
            self._transport.close()
            return
        self._output.watch()
        self._loop.call_later(CLOSE_POLL_SECONDS, self._close_when_taken)

    def close_now(self):
        """Close the connection; the kernel delivers what the client has not taken."""
        self._output.release()
        self._transport.close()

    def _abandon(self, request):
        if request.pipe is not None:
            request.pipe.cut()
            request.pipe.discard()
        if request.turn is not None and not request.turn.done():
            request.turn.set_result(None)
        if not request.has_responded and request.task is not None:
            request.task.cancel()

    def _refuse(self, status, headers=b""):
        """Answer a request that cannot be accepted, and close the connection."""
        if self._is_refused:
            return
        self._is_refused = True
        self._listener.report_refused(status)
        self._loop.create_task(self._write_refusal(status, headers))

    def _refuse_body(self, status):
        """Refuse a request whose body cannot be accepted."""
        self._refuse(status)
        if self._current.pipe is not None:
            self._abandon(self._current)

    async def _write_refusal(self, status, headers):
        """Write the refusal after the responses to the requests before it."""
        while self._requests and not self._is_disconnected:
            last = self._requests[-1].task
            await asyncio.wait([last])
            if self._requests and self._requests[-1].task is last:
                break
        if not self._is_disconnected:
            head = b"HTTP/1.1 %d %s\r\n" % (status, _get_reason_phrase(status))
            self._transport.write(
                head + headers + b"connection: close\r\ncontent-length: 0\r\n\r\n"
            )
            self._close_with_linger()

    # Flow control and timeouts.

    def _on_body_read(self, _count):
        self._control_reading()

    def _control_reading(self):
        if self._is_disconnected or self._transport.is_closing():
            return
        if self._unparsed and not self._is_full and not self._is_parsing:
            self._loop.call_soon(self._parse_waiting)
        should_read = not (self._unparsed or self._is_full)
        if should_read != self._is_reading:
            self._is_reading = should_read
            if should_read:
                self._transport.resume_reading()
            else:
                self._transport.pause_reading()

    def _get_stall_limit(self):
        return self._listener.limits.idle_timeout

    def _log_cut_answer(self, error):
        """Log that the connection ended with output that the client has not taken."""
        state = read_output_state(self._socket)
        if state is None:
            return
        unsent = state.unsent_bytes + self._transport.get_write_buffer_size()
        if unsent or state.segments_in_flight:
            log_event(Event.ANSWER_CUT, error=str(error), unsent_bytes=unsent)

    def _resume_writer(self):
        writable, self._writable = self._writable, None
        if writable is not None and not writable.done():
            writable.set_result(None)

    def check_timeouts(self, now, limits, is_stopping):
        """Refuse a late request head, or close a connection that is inactive too long.

        A client that leaves while nothing is read from it is noticed here too.

        A connection is inactive while the body of a request does not arrive, or while
        no request is in progress.

        Parameters
        ----------
        now : float
            Time in seconds of the event loop's clock.
        limits : RequestLimits
            Holds the timeouts in seconds.
        is_stopping : bool
            Whether to close connections without a request in progress.
        """
        if self._is_closing or self._is_refused:
            return
        if not self._is_reading and is_closed_by_peer(self._socket):
            self._transport.abort()
        elif self._in_head:
            if now - self._head_started_at > limits.head_timeout:
                self._refuse(408)
        elif self._current is not None:
            if self._is_reading and now - self.last_active > limits.idle_timeout:
                self._transport.abort()
        elif not self._requests:
            idle = limits.idle_timeout + IDLE_MARGIN_SECONDS
            is_due = is_stopping or now - self.last_active > idle
            if is_due and self._output.is_empty:
                self._transport.close()


def _get_reason_phrase(status):
    return _REASON_PHRASES.get(status, "Unknown").encode()


def _make_head_without_offer(method, connection):
    parts = [b"%b %b HTTP/1.1\r\n" % (method, b"".join(connection._url))]
    for name, value in connection._headers:
        if name != b"upgrade":
            parts.append(b"%b: %b\r\n" % (name, value))
    return b"".join([*parts, b"\r\n"])
