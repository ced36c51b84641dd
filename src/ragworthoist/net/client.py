"""An HTTP/1.1 client on httptools for one address.

It tells precisely how far a request has come when something goes wrong, skips
answers that belong to other requests, and never reuses a connection on which
surplus bytes arrived.
"""

import asyncio
from dataclasses import dataclass, field

import httptools

from ragworthoist.exceptions import (
    BodyCutError,
    ConnectFailedError,
    ConnectionLostError,
    GarbledResponseError,
)
from ragworthoist.net.bodies import HIGH_WATER_BYTES, BodyPipe
from ragworthoist.net.sockets import guard_socket

CONNECT_TIMEOUT_SECONDS = 0.8
# Idle connections are dropped after this share of the time the server keeps them.
IDLE_SHARE = 0.6
DEFAULT_IDLE_SECONDS = 4.0
# Silence on all connections that makes those kept doubtful once a request has timed
# out; a server at work answers something more often.
SUSPECT_SECONDS = 0.3
_BODILESS = frozenset({204, 304})


@dataclass(slots=True)
class Response:
    """The answer to one request; a long body is a `BodyPipe`."""

    status: int
    headers: list
    body: object = b""

    def find_header(self, name):
        """Return the value of the header `name` (lower case), empty when absent."""
        for found, value in self.headers:
            if found == name:
                return value
        return b""


@dataclass(slots=True)
class _Message:
    """A response as it arrives; a long body gets a pipe, a short one is joined."""

    headers: list = field(default_factory=list)
    parts: list = field(default_factory=list)
    size: int = 0
    pipe: object = None
    response: object = None
    is_foreign: bool = False
    is_framed: bool = False
    keep_alive: bytes = b""


class _Connection(asyncio.Protocol):
    def __init__(self, client):
        self._client = client
        self._loop = asyncio.get_running_loop()
        self._transport = None
        self._parser = httptools.HttpResponseParser(self)
        self._message = None
        self._waiter = None
        self._accepts = None
        self._is_head = False
        self._writable = None
        self._sender = None
        self._error = None
        self._paused = False
        self.is_reusable = True
        self.is_lost = False
        self.idle_since = 0.0
        self.idle_seconds = DEFAULT_IDLE_SECONDS

    @property
    def is_idle(self):
        return self._waiter is None and self._message is None

    # Transport callbacks.

    def connection_made(self, transport):
        self._transport = transport
        guard_socket(transport.get_extra_info("socket"))

    def data_received(self, data):
        self._client.last_heard = self._loop.time()
        if self.is_idle:
            # An answer nobody waits for: the connection is out of step.
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.is_reusable = False
            self._fail(GarbledResponseError(str(error)))
            self._transport.abort()

    def eof_received(self):
        message = self._message
        if message is not None and message.response and not message.is_framed:
            # Without a length the body ends with its connection.
            self.is_reusable = False
            self._complete()
        return False

    def connection_lost(self, error):
        self.is_lost = True
        self.is_reusable = False
        self._resume_writer()
        self._fail(ConnectionLostError(str(error or "closed")))
        self._client.forget(self)

    def pause_writing(self):
        self._writable = self._loop.create_future()

    def resume_writing(self):
        self._resume_writer()

    # Parser callbacks.

    def on_message_begin(self):
        if self._waiter is None and self._message is None:
            self.is_reusable = False
            return
        self._message = _Message()

    def on_header(self, name, value):
        message = self._message
        if message is None:
            return
        name = name.lower()
        message.headers.append((name, value))
        if name == b"content-length":
            message.is_framed = True
        elif name == b"transfer-encoding":
            message.is_framed = b"chunked" in value.lower()
        elif name == b"keep-alive":
            message.keep_alive = value

    def on_headers_complete(self):
        message = self._message
        if message is None:
            return
        status = self._parser.get_status_code()
        if status < 200:
            message.is_foreign = True
            return
        response = Response(status, message.headers)
        if self._waiter is None or not self._accepts(response):
            # An answer to an earlier request, late.
            message.is_foreign = True
            self.is_reusable = False
            return
        if not self._parser.should_keep_alive():
            self.is_reusable = False
        message.response = response
        if message.keep_alive:
            self._note_keep_alive(message.keep_alive)
        if self._is_head or status in _BODILESS:
            if self._is_head:
                self.is_reusable = False
            self._complete()

    def on_body(self, data):
        message = self._message
        if message is None or message.is_foreign:
            return
        if message.pipe is None:
            message.parts.append(data)
            message.size += len(data)
            if message.size >= HIGH_WATER_BYTES:
                self._open_pipe(message)
            return
        message.pipe.feed(data)
        if message.pipe.is_full:
            self._pause()

    def on_message_complete(self):
        message = self._message
        if message is None:
            return
        if message.is_foreign:
            self._message = None
            return
        self._complete()

    # Requests.

    async def exchange(self, head, body, accepts, is_head, end):
        """Send one request and return its `Response`."""
        self._accepts = accepts
        self._is_head = is_head
        self._waiter = self._loop.create_future()
        timer = None
        if end is not None:
            timer = self._loop.call_at(end, self._time_out)
        try:
            if isinstance(body, BodyPipe):
                self._transport.write(head)
                self._sender = self._loop.create_task(self._send_piped(body))
            else:
                self._transport.write(head + body if body else head)
            return await self._waiter
        except BaseException:
            self.abort()
            raise
        finally:
            if timer is not None:
                timer.cancel()

    def abort(self):
        """Close at once; the server notices that nobody waits."""
        self.is_reusable = False
        if self._sender is not None:
            self._sender.cancel()
        if self._transport is not None:
            self._transport.abort()

    async def _send_piped(self, body):
        try:
            while data := await body.read():
                self._transport.write(b"%x\r\n" % len(data) + data + b"\r\n")
                if self._writable is not None:
                    await self._writable
                if self.is_lost:
                    return
            self._transport.write(b"0\r\n\r\n")
            self._sender = None
        except BodyCutError:
            # The client's body broke off, and so does the request.
            self.abort()

    def _open_pipe(self, message):
        """Deliver a long answer before it is complete."""
        pipe = message.pipe = BodyPipe(
            on_read=self._on_body_read, on_discard=self.abort, on_close=self._on_closed
        )
        for part in message.parts:
            pipe.feed(part)
        message.parts.clear()
        self._deliver(message.response, pipe)
        self._pause()

    def _deliver(self, response, body):
        waiter, self._waiter = self._waiter, None
        response.body = body
        if waiter is not None and not waiter.done():
            waiter.set_result(response)

    def _complete(self):
        message, self._message = self._message, None
        if message is None or message.response is None:
            return
        if self._sender is not None:
            # The server has not read the rest of the body; what follows on this
            # connection would be taken for it.
            self.is_reusable = False
        if message.pipe is not None:
            message.pipe.end()
            return
        self._deliver(message.response, b"".join(message.parts))
        self._on_closed()

    def _time_out(self):
        if self._waiter is not None:
            self._fail(TimeoutError())

    def _fail(self, error):
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_exception(error)
        message, self._message = self._message, None
        if message is not None and message.pipe is not None:
            message.pipe.cut()

    def _on_closed(self):
        # Runs when the body has ended or was cut, in the middle of a callback of
        # the parser: the connection is released once that is over.
        self._loop.call_soon(self._client.release, self)

    def _note_keep_alive(self, value):
        if value.startswith(b"timeout="):
            digits = value[len(b"timeout=") :].split(b",")[0].strip()
            if digits.isdigit():
                self.idle_seconds = float(digits)

    def _on_body_read(self, _count):
        message = self._message
        pipe = message.pipe if message is not None else None
        if self._paused and (pipe is None or not pipe.is_full):
            self._paused = False
            if not self.is_lost:
                self._transport.resume_reading()

    def _pause(self):
        if not self._paused and not self.is_lost:
            self._paused = True
            self._transport.pause_reading()

    def _resume_writer(self):
        writable, self._writable = self._writable, None
        if writable is not None and not writable.done():
            writable.set_result(None)


class HttpClient:
    """Sends requests to one address over kept connections.

    Parameters
    ----------
    address : tuple
        (host, port) of the server.
    """

    def __init__(self, address):
        self.address = address
        self._idle = []
        self._open = set()
        self.opened = 0
        self.last_heard = 0.0

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_exception):
        self.close()

    def close(self):
        """Close all connections."""
        for connection in list(self._open):
            connection.abort()
        self._idle.clear()

    def suspect(self):
        """Drop kept connections if none has brought anything for a while.

        Called when a request got no answer in time: connections may have gone
        silent without a reset, and the next requests should not meet them.
        """
        if asyncio.get_running_loop().time() - self.last_heard > SUSPECT_SECONDS:
            self.close_idle()

    def close_idle(self):
        """Close the connections on which no request is under way."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.abort()

    async def send(
        self,
        head,
        body=b"",
        accepts=lambda response: True,
        is_head=False,
        timeout=None,
    ):
        """Send a request and return its `Response`.

        Parameters
        ----------
        head : bytes
            Request line and headers, with the empty line.
        body : bytes or BodyPipe
            A pipe is sent in chunks; `head` must then say so.
        accepts : callable
            Tells whether a `Response` (status and headers) belongs to this
            request; others are skipped.
        timeout : float, optional
            Seconds until the head of the answer, and a short body, must be there.

        Raises
        ------
        TimeoutError
            If `timeout` has passed; the request may have run.
        ConnectFailedError
            If no connection could be made: nothing was sent.
        ConnectionLostError
            If the connection ended before the answer; the request may have run.
        GarbledResponseError
            If the answer breaks the protocol; the request may have run.
        """
        end = None
        if timeout is not None:
            end = asyncio.get_running_loop().time() + timeout
        connection = self._take_idle() or await self._connect()
        return await connection.exchange(head, body, accepts, is_head, end)

    def release(self, connection):
        """Keep a connection whose answer is complete for the next request."""
        usable = connection.is_reusable and connection.is_idle
        if not usable or connection.is_lost or connection._sender is not None:
            connection.abort()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        self._idle.append(connection)

    def forget(self, connection):
        """Drop a connection that has ended."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def _take_idle(self):
        now = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            limit = connection.idle_seconds * IDLE_SHARE
            if not connection.is_lost and now - connection.idle_since < limit:
                return connection
            connection.abort()
        return None

    async def _connect(self):
        loop = asyncio.get_running_loop()
        host, port = self.address
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, connection = await loop.create_connection(
                    lambda: _Connection(self), host, port
                )
        except (OSError, TimeoutError) as error:
            raise ConnectFailedError(f"{host}:{port}", repr(error)) from None
        self.opened += 1
        self._open.add(connection)
        return connection
