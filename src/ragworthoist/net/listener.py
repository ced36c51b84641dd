"""HTTP/1.1 server that parses requests with httptools.

uvicorn's protocol neither streams concurrent requests under flow control nor closes
the connection of a response that cannot be completed; see docs/PLATFORM.md.
"""

import asyncio
import socket

from ragworthoist.core.routes import RequestLimits
from ragworthoist.exceptions import BodyCutError, CallerGoneError
from ragworthoist.net.requests import ClientConnection

BACKLOG = 1024
SWEEP_INTERVAL_SECONDS = 0.25
ACCEPT_LAST_SECONDS = 0.01


class Listener:
    """Accepts connections at one address and passes their requests to `handle`.

    Parameters
    ----------
    handle : callable
        Coroutine function that takes a `Request` and responds to it. If it
        returns without a response, the connection is closed.
    address : tuple
        (host, port) to listen on.
    report_refused : callable, optional
        Called with the HTTP status with which a request was refused.
    """

    def __init__(self, handle, address, report_refused=lambda status: None):
        self._handle = handle
        self._address = address
        self._server = None
        self._sweeper = None
        self.report_refused = report_refused
        self.limits = RequestLimits()
        self.connections = set()
        self.is_draining = False
        self.is_stopping = False
        self.loop = None

    async def __aenter__(self):
        self.loop = asyncio.get_running_loop()
        host, port = self._address
        self._server = await self.loop.create_server(
            lambda: ClientConnection(self),
            host,
            port,
            backlog=BACKLOG,
            family=socket.AF_INET,
            reuse_address=True,
        )
        self._sweeper = self.loop.create_task(self._sweep())
        return self

    async def __aexit__(self, *_exception):
        self._sweeper.cancel()
        self._server.close()
        for connection in list(self.connections):
            connection.close_now()

    @property
    def open_requests(self):
        """Number of requests without a complete response."""
        return sum(len(connection._requests) for connection in self.connections)

    def drain(self):
        """Close each connection after its last response from now on."""
        self.is_draining = True

    async def stop_accepting(self):
        """Accept no connections and close those without a request in progress."""
        # The event loop first accepts the connections that clients have made already;
        # closing the socket would reset them.
        await asyncio.sleep(ACCEPT_LAST_SECONDS)
        self._server.close()
        self.is_stopping = True

    async def run_handler(self, request, connection):
        """Run the handler of one request.

        A disconnected client, a truncated body or a cancellation ends the handler
        without an error. A request without a complete response closes its connection.
        """
        try:
            await self._handle(request)
        except (CallerGoneError, BodyCutError, asyncio.CancelledError):
            pass
        finally:
            connection.close_unless_responded(request)

    async def _sweep(self):
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            now = self.loop.time()
            for connection in list(self.connections):
                connection.check_timeouts(now, self.limits, self.is_stopping)
