"""HTTP/1.1 server that parses requests with httptools.

uvicorn's protocol neither streams concurrent requests under flow control nor closes
the connection of a response that cannot be completed; see docs/PLATFORM.md.
"""

import asyncio
import socket

from ragworthoist.core.connections import ConnectionBudget
from ragworthoist.core.memory import MemoryBudget
from ragworthoist.core.routes import RequestLimits
from ragworthoist.core.turns import ParsingTurns
from ragworthoist.exceptions import BodyCutError, CallerGoneError
from ragworthoist.net.requests import ClientConnection

BACKLOG = 1024
SWEEP_INTERVAL_SECONDS = 0.25
ACCEPT_LAST_SECONDS = 0.01
# Between two turns of clients whose input is costly to parse, so that others have time.
TURN_INTERVAL_SECONDS = 0.005


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
    memory : MemoryBudget, optional
        Counts what the connections hold.
    connection_budget : ConnectionBudget, optional
        Bound on the number of connections.
    """

    def __init__(
        self,
        handle,
        address,
        report_refused=lambda status: None,
        memory=None,
        connection_budget=None,
    ):
        self._handle = handle
        self._address = address
        self._connection_budget = connection_budget or ConnectionBudget()
        self._turns = ParsingTurns()
        self._is_turn_scheduled = False
        self.memory = memory or MemoryBudget()
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

    def admit(self):
        """Make room for one more connection; return False if there is none."""
        return self._connection_budget.make_room(self.connections)

    def wait_for_turn(self, connection):
        """Let `connection` parse the rest of its input when it is its turn."""
        self._turns.join(connection)
        self._schedule_turn()

    def _schedule_turn(self):
        if self._turns and not self._is_turn_scheduled:
            self._is_turn_scheduled = True
            self.loop.call_later(TURN_INTERVAL_SECONDS, self._take_turn)

    def _take_turn(self):
        self._is_turn_scheduled = False
        self._turns.take_turn(lambda connection: connection.parse_in_turn())
        self._schedule_turn()

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
