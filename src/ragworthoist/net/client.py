"""HTTP/1.1 client for one address, with connection reuse."""

import asyncio

from ragworthoist.core.memory import MemoryBudget
from ragworthoist.exceptions import ConnectFailedError
from ragworthoist.net.exchanges import Exchange, ServerConnection

CONNECT_TIMEOUT_SECONDS = 0.8
# Share of the server's keep-alive timeout after which an idle connection is closed.
IDLE_TIMEOUT_SHARE = 0.6
# Time without data on any connection after which a request timeout closes the idle
# connections. A working server answers some request more often.
STALE_AFTER_SECONDS = 0.3


class HttpClient:
    """Sends requests to one address and reuses its connections.

    Parameters
    ----------
    address : tuple
        (host, port) of the server.
    memory : MemoryBudget, optional
        Counts what is held of responses.
    """

    def __init__(self, address, memory=None):
        self.address = address
        self.memory = memory or MemoryBudget()
        self._idle = []
        self._open = set()
        self.connections_opened = 0
        self.last_received = 0.0

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_exception):
        self.close()

    def close(self):
        """Close all connections."""
        for connection in list(self._open):
            connection.abort()
        self._idle.clear()

    def close_stale_connections(self):
        """Close idle connections if no connection has received data recently.

        Called after a request has timed out: connections may be broken without a
        reset, and the next requests should not be sent over them.
        """
        if asyncio.get_running_loop().time() - self.last_received > STALE_AFTER_SECONDS:
            self.close_idle()

    def close_idle(self):
        """Close the connections without a request in progress."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.abort()

    def start_request(
        self,
        on_done,
        head,
        body=b"",
        accepts=lambda response: True,
        is_head_request=False,
        timeout=None,
        uses_own_connection=False,
    ):
        """Start sending a request and return its `Exchange`.

        Parameters
        ----------
        on_done : callable
            Called with the response and the error, one of which is None.
        head : bytes
            Request line and headers, including the empty line.
        body : bytes or BodyPipe
            A pipe is sent with chunked transfer encoding, which `head` must declare.
        accepts : callable
            Returns whether a `Response` (status and headers) belongs to this
            request; other responses are skipped.
        is_head_request : bool
            Whether the method is HEAD, so that the response has no body.
        timeout : float, optional
            Seconds until the head of the response, and a short body, must have
            arrived.
        uses_own_connection : bool
            Whether to open a connection for this request alone. Needed if `accepts`
            cannot tell its response from a late one, or from those to later requests.
        """
        loop = asyncio.get_running_loop()
        deadline = None if timeout is None else loop.time() + timeout
        exchange = Exchange(head, body, accepts, is_head_request, deadline, on_done)
        connection = None if uses_own_connection else self._pop_idle()
        if connection is None:
            exchange.connect_task = loop.create_task(
                self._connect_for(exchange, is_reusable=not uses_own_connection)
            )
        else:
            exchange.connection = connection
            connection.start(exchange)
        return exchange

    async def send(self, head, body=b"", **options):
        """Send a request and return its `Response`.

        The options are those of `start_request`.

        Raises
        ------
        ConnectFailedError
            If no connection could be made; nothing was sent.
        ConnectionLostError
            If the connection ended before the response; the request may have run.
        GarbledResponseError
            If the response is malformed; the request may have run.
        TimeoutError
            If the response did not arrive in time; the request may have run.
        """
        done = asyncio.get_running_loop().create_future()

        def resolve(response, error):
            if done.done():
                return
            if error is not None:
                done.set_exception(error)
            else:
                done.set_result(response)

        exchange = self.start_request(resolve, head, body, **options)
        try:
            return await done
        except asyncio.CancelledError:
            exchange.cancel()
            raise

    def release(self, connection):
        """Keep a connection whose response is complete for the next request.

        A connection that cannot be reused is closed.
        """
        if not connection.is_usable:
            connection.abort()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        self._idle.append(connection)

    def forget(self, connection):
        """Remove a closed connection."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def _pop_idle(self):
        now = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            limit = connection.keep_alive_seconds * IDLE_TIMEOUT_SHARE
            if not connection.is_lost and now - connection.idle_since < limit:
                return connection
            connection.abort()
        return None

    async def _connect_for(self, exchange, is_reusable):
        try:
            connection = await self._connect()
        except ConnectFailedError as error:
            exchange.connect_task = None
            exchange.on_done(None, error)
            return
        connection.is_reusable = is_reusable
        exchange.connect_task = None
        exchange.connection = connection
        connection.start(exchange)

    async def _connect(self):
        loop = asyncio.get_running_loop()
        host, port = self.address
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, connection = await loop.create_connection(
                    lambda: ServerConnection(self), host, port
                )
        except (OSError, TimeoutError) as error:
            raise ConnectFailedError(f"{host}:{port}", repr(error)) from None
        self.connections_opened += 1
        self._open.add(connection)
        return connection
