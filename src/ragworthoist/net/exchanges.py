"""Client side of one connection to a server, with responses parsed by httptools.

Errors distinguish requests that were not sent from those that may have run.
Responses that belong to other requests are skipped, and a connection is not reused
after bytes arrived that belong to no request.
"""

import asyncio
from dataclasses import dataclass, field

import httptools

from ragworthoist.core.memory import HEADER_OVERHEAD_BYTES
from ragworthoist.exceptions import (
    BodyCutError,
    ConnectionLostError,
    GarbledResponseError,
)
from ragworthoist.net.bodies import HIGH_WATER_BYTES, BodyPipe
from ragworthoist.net.output import OutputMonitor
from ragworthoist.net.sockets import set_socket_timeouts

# Keep-alive timeout assumed for a server that does not state one.
DEFAULT_KEEP_ALIVE_SECONDS = 4.0
# Bytes that a server may send besides bodies that are passed on: heads, chunk framing,
# trailers, and whole responses that are skipped. A faulty server may send without end.
MAX_UNDELIVERED_BYTES = 256 * 1024
# The framing of a chunk with an ordinary extension.
CHUNK_FRAMING_BYTES = 32
# What may still be read of a body after its time limit if only its reader was slow: the
# server may have sent all of it in time.
MAX_LATE_BYTES = 256 * 1024
LATE_READ_SECONDS = 0.1
# Range of the status codes of HTTP.
MIN_STATUS = 100
MAX_STATUS = 599
_BODYLESS_STATUSES = frozenset({204, 304})


@dataclass(slots=True)
class Response:
    """Response to one request; a long body is a `BodyPipe`."""

    status: int
    headers: list
    body: object = b""


@dataclass(slots=True)
class _Message:
    """Response being received.

    `received` is the body as long as it is short; a long body is passed on through
    `pipe`. `is_skipped` marks a response that is parsed but not delivered: an
    informational one, or one to another request. `has_framing` tells whether the
    headers determine where the body ends. `is_late` tells whether the time limit passed
    while nothing was read of the body, and `late_bytes` how much was read since.
    """

    headers: list = field(default_factory=list)
    received: bytearray = field(default_factory=bytearray)
    pipe: object = None
    response: object = None
    is_skipped: bool = False
    has_framing: bool = False
    keep_alive: bytes = b""
    is_late: bool = False
    late_bytes: int = 0


# Stands for a response that is in other hands, so that its headers are not held twice.
_DELIVERED = Response(0, [])


class Exchange:
    """One request in progress.

    `on_done` is called once, with the `Response` and None or with None and the
    error that `HttpClient.send` would raise. It is not called after `cancel`.
    `deadline` is in seconds of the event loop's clock, or None. It holds for the whole
    response: a body that its server has not sent by then is cut.
    """

    __slots__ = ("head", "body", "accepts", "is_head_request", "deadline", "on_done",
                 "connection", "connect_task")  # fmt: skip

    def __init__(self, head, body, accepts, is_head_request, deadline, on_done):
        self.head = head
        self.body = body
        self.accepts = accepts
        self.is_head_request = is_head_request
        self.deadline = deadline
        self.on_done = on_done
        self.connection = None
        self.connect_task = None

    @property
    def is_sent(self):
        """Whether the request was handed to a connection."""
        return self.connection is not None

    def prevent_reuse(self):
        """Close the connection once the exchange is complete."""
        if self.connection is not None:
            self.connection.is_reusable = False

    def cancel(self):
        """End the exchange without calling `on_done`, and close its connection."""
        if self.connect_task is not None:
            self.connect_task.cancel()
        connection = self.connection
        if connection is not None and connection._exchange is self:
            connection._exchange = None
            connection.abort()


class ServerConnection(asyncio.Protocol):
    """One reusable connection, with at most one exchange in progress.

    Parameters
    ----------
    client : HttpClient
        Its `release` is called when the connection is free, its `forget` when the
        connection is lost.
    """

    def __init__(self, client):
        self._client = client
        self._loop = asyncio.get_running_loop()
        self._transport = None
        self._output = None
        self._parser = httptools.HttpResponseParser(self)
        self._message = None
        self._exchange = None
        self._timer = None
        self._writable = None
        self._sender = None
        self._is_paused = False
        self._is_parsing = False
        self._is_release_pending = False
        self._undelivered_bytes = 0
        self._account = None
        self.is_reusable = True
        self.is_lost = False
        self.idle_since = 0.0
        self.keep_alive_seconds = DEFAULT_KEEP_ALIVE_SECONDS

    @property
    def is_idle(self):
        """Whether no exchange is in progress."""
        return self._exchange is None and self._message is None

    @property
    def is_usable(self):
        """Whether the next exchange may use this connection."""
        return (
            self.is_reusable
            and self.is_idle
            and not self.is_lost
            and self._sender is None
        )

    # Transport callbacks.

    def connection_made(self, transport):
        """Set timeouts on the socket of a new connection."""
        self._transport = transport
        set_socket_timeouts(transport.get_extra_info("socket"))
        self._output = OutputMonitor(self._loop, transport)
        # Headers and short bodies; a `BodyPipe` has an account of its own.
        self._account = self._client.memory.open_account(self._evict)

    def data_received(self, data):
        """Parse data from the server."""
        self._client.last_received = self._loop.time()
        self._undelivered_bytes += len(data)
        if self.is_idle:
            # No request waits for this response, so responses and requests on this
            # connection no longer match.
            self.abort()
            return
        self._is_parsing = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(GarbledResponseError(str(error)))
            self.abort()
        finally:
            self._is_parsing = False
        if self._undelivered_bytes > MAX_UNDELIVERED_BYTES:
            self._fail(GarbledResponseError("too many bytes that are no body"))
            self.abort()
            return
        if self._is_release_pending:
            self._is_release_pending = False
            self._client.release(self)

    def eof_received(self):
        """Complete a response whose body ends with the connection."""
        message = self._message
        if message is not None and message.response and not message.has_framing:
            # The headers state no length, so the body ends here.
            self.is_reusable = False
            self._complete()
        return False

    def connection_lost(self, error):
        """Fail the exchange in progress."""
        self.is_lost = True
        self.is_reusable = False
        self._account.close()
        self._output.stop()
        self._resume_writer()
        self._fail(ConnectionLostError(str(error or "closed")))
        self._client.forget(self)

    def pause_writing(self):
        """Pause sending a streamed body while the server reads slowly."""
        self._writable = self._loop.create_future()

    def resume_writing(self):
        """Resume sending a streamed body."""
        self._resume_writer()

    # Parser callbacks.

    def on_message_begin(self):
        """Start receiving a response."""
        if self.is_idle:
            self.is_reusable = False
            return
        self._message = _Message()

    def on_header(self, name, value):
        """Store one header."""
        message = self._message
        if message is None:
            return
        name = name.lower()
        message.headers.append((name, value))
        self._account.add(len(name) + len(value) + HEADER_OVERHEAD_BYTES)
        if name == b"content-length":
            message.has_framing = True
        elif name == b"transfer-encoding":
            message.has_framing = b"chunked" in value.lower()
        elif name == b"keep-alive":
            message.keep_alive = value

    def on_headers_complete(self):
        """Check whether the response belongs to the exchange."""
        message = self._message
        if message is None:
            return
        status = self._parser.get_status_code()
        if not MIN_STATUS <= status <= MAX_STATUS:
            # Nothing tells how such a message is framed, or which request it answers.
            self._fail(GarbledResponseError(f"status {status:03d}"))
            return
        if status < 200:
            message.is_skipped = True
            return
        response = Response(status, message.headers)
        exchange = self._exchange
        if exchange is None or not exchange.accepts(response):
            # A late response to an earlier request.
            message.is_skipped = True
            self.is_reusable = False
            return
        if not self._parser.should_keep_alive():
            self.is_reusable = False
        message.response = response
        if message.keep_alive:
            self._parse_keep_alive(message.keep_alive)
        if exchange.is_head_request or status in _BODYLESS_STATUSES:
            if exchange.is_head_request:
                self.is_reusable = False
            self._complete()

    def on_body(self, data):
        """Store or stream a part of the body."""
        message = self._message
        if message is None or message.is_skipped:
            return
        delivered = len(data) + CHUNK_FRAMING_BYTES
        self._undelivered_bytes = max(0, self._undelivered_bytes - delivered)
        if message.pipe is None:
            message.received += data
            self._account.add(len(data))
            if len(message.received) >= HIGH_WATER_BYTES:
                self._open_pipe(message)
            return
        if message.is_late:
            message.late_bytes += len(data)
            if message.late_bytes > MAX_LATE_BYTES:
                self._end_late()
                return
        message.pipe.feed(data)
        if message.pipe.is_full:
            self._pause()

    def on_message_complete(self):
        """Deliver a complete response."""
        message = self._message
        if message is None:
            return
        if message.is_skipped:
            self._message = None
            self._account.resize(0)
            return
        self._complete()

    # Requests.

    def start(self, exchange):
        """Send the request of `exchange`; its `on_done` gets the result."""
        self._exchange = exchange
        self._undelivered_bytes = 0
        body = exchange.body
        if exchange.deadline is not None:
            self._timer = self._loop.call_at(exchange.deadline, self._time_out)
        if isinstance(body, BodyPipe):
            self._write(exchange.head)
            self._sender = self._loop.create_task(self._send_piped(body))
        else:
            self._write(exchange.head + body if body else exchange.head)

    def abort(self):
        """Close at once, so that the server sees that the request is abandoned."""
        self.is_reusable = False
        self._cancel_timer()
        if self._sender is not None:
            self._sender.cancel()
        if self._transport is not None:
            self._transport.abort()

    def _write(self, data):
        self._transport.write(data)
        self._output.watch()

    async def _send_piped(self, body):
        try:
            while data := await body.read():
                self._write(b"%x\r\n" % len(data) + data + b"\r\n")
                if self._writable is not None:
                    await self._writable
                if self.is_lost:
                    return
            self._write(b"0\r\n\r\n")
            self._sender = None
        except BodyCutError:
            # The source of the body ended early, so the request is incomplete too.
            self.abort()

    def _open_pipe(self, message):
        """Deliver a long response before its body is complete."""
        pipe = message.pipe = BodyPipe(
            on_read=self._on_body_read,
            on_discard=self.abort,
            on_close=self._release,
            memory=self._client.memory,
        )
        pipe.feed(bytes(message.received))
        deadline = self._exchange.deadline
        response, message.response = message.response, _DELIVERED
        message.received = bytearray()
        message.headers = []
        self._account.resize(0)
        self._deliver(response, pipe)
        if deadline is not None:
            # The rest of the body has the same time limit.
            self._timer = self._loop.call_at(deadline, self._time_out)
        self._pause()

    def _deliver(self, response, body):
        response.body = body
        self._finish(response, None)

    def _finish(self, response, error):
        exchange, self._exchange = self._exchange, None
        self._cancel_timer()
        if exchange is not None:
            exchange.on_done(response, error)

    def _complete(self):
        message, self._message = self._message, None
        if message is None or message.response is None:
            return
        if self._sender is not None:
            # The server answered before it read the whole body. It would read what
            # follows on this connection as the rest of the body.
            self.is_reusable = False
        if message.pipe is not None:
            self._cancel_timer()
            message.pipe.end()
            return
        self._account.resize(0)
        self._deliver(message.response, bytes(message.received))
        self._release()

    def _cancel_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _evict(self):
        """Give up a response, since the process holds too much."""
        self._fail(ConnectionLostError("evicted"))
        self.abort()

    def _time_out(self):
        self._timer = None
        message = self._message
        if self._is_paused and message is not None:
            message.is_late = True
        else:
            self._end_late()

    def _end_late(self):
        self._fail(TimeoutError())
        self.abort()

    def _fail(self, error):
        message, self._message = self._message, None
        self._account.resize(0)
        if message is not None and message.pipe is not None:
            message.pipe.cut()
        if self._exchange is not None:
            self.abort()
            self._finish(None, error)

    def _release(self):
        # The same data may hold surplus bytes after the body; the connection must then
        # not be reused. So the data is parsed to its end before the release.
        if self._is_parsing:
            self._is_release_pending = True
        else:
            self._loop.call_soon(self._client.release, self)

    def _parse_keep_alive(self, value):
        if value.startswith(b"timeout="):
            digits = value[len(b"timeout=") :].split(b",")[0].strip()
            if digits.isdigit():
                self.keep_alive_seconds = float(digits)

    def _on_body_read(self, _count):
        message = self._message
        pipe = message.pipe if message is not None else None
        if self._is_paused and (pipe is None or not pipe.is_full):
            self._is_paused = False
            if not self.is_lost:
                self._transport.resume_reading()
                if message is not None and message.is_late:
                    self._cancel_timer()
                    self._timer = self._loop.call_later(
                        LATE_READ_SECONDS, self._time_out
                    )

    def _pause(self):
        if not self._is_paused and not self.is_lost:
            self._is_paused = True
            self._transport.pause_reading()

    def _resume_writer(self):
        writable, self._writable = self._writable, None
        if writable is not None and not writable.done():
            writable.set_result(None)
