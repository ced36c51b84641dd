"""HTTP servers that run under anyio.

uvicorn serves customer requests and onward calls, hypercorn the operators' address.
The node in `edge` does not use them; it serves HTTP with `net.listener`.
"""

import contextlib
from collections import deque
from functools import partial

import anyio
import uvicorn
from hypercorn.asyncio import serve as serve_hypercorn
from hypercorn.config import Config
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from ragworthoist.core.connections import ConnectionBudget
from ragworthoist.core.entities import Outcome, Reason
from ragworthoist.core.memory import HEADER_OVERHEAD_BYTES, REQUEST_OVERHEAD_BYTES
from ragworthoist.exceptions import NotReadyError
from ragworthoist.net.web import (
    CLOSE_CONNECTION,
    MAX_HEADER_BYTES,
    OUTCOME_HEADER,
    REASON_HEADER,
)

BACKLOG = 2048
KEEP_ALIVE_SECONDS = 30
START_POLL_INTERVAL_SECONDS = 0.01


class _BoundedProtocol(HttpToolsProtocol):
    """HTTP protocol that limits request heads and states the outcome of a refusal.

    uvicorn itself accepts a head of any length and passes it on once it is complete.
    """

    def __init__(self, bounds, *arguments, **options):
        super().__init__(*arguments, **options)
        self._bounds = bounds
        self._account = None
        self._in_head = True
        self._is_closed = False
        self._head_bytes = 0
        self._began_at = 0.0
        # What the account counts: heads by request, in the order of their responses,
        # output that the client does not take, and what was not read of a body.
        self._head_held_bytes = 0
        self._heads = deque()
        self._stalled_bytes = 0

    @property
    def waiting_since(self):
        """Time from which the connection has waited for its client.

        It is in seconds of the event loop's clock, None if it waits for this node.
        """
        cycle = self.cycle
        if cycle is None or cycle.response_complete:
            return self._began_at
        if self.flow.write_paused or cycle.more_body:
            return self._began_at
        return None

    def connection_made(self, transport):
        super().connection_made(transport)
        self._began_at = self.loop.time()
        self._account = self._bounds.memory.open_account(self.close_at_once)
        if not self._bounds.admit(self):
            self.close_at_once()

    def connection_lost(self, error):
        self._bounds.connections.discard(self)
        self._account.close()
        self.pipeline.clear()
        self.headers = []
        super().connection_lost(error)

    def close_at_once(self):
        """Close the connection and drop what is held for it."""
        self._is_closed = True
        if self._in_head and self.headers:
            self.headers.clear()
        if self.cycle is not None:
            self.cycle.body = b""
        self.pipeline.clear()
        self.transport.abort()

    def on_message_begin(self):
        self._in_head = True
        self._head_bytes = 0
        self._head_held_bytes = REQUEST_OVERHEAD_BYTES
        self._began_at = self.loop.time()
        super().on_message_begin()
        # Not a method of this object, which refers to the scope.
        self.scope[CLOSE_CONNECTION] = self.transport.abort

    def on_header(self, name, value):
        if self._is_closed:
            # Ends the parsing of what was received.
            raise ConnectionAbortedError
        self._head_held_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        super().on_header(name, value)

    def on_headers_complete(self):
        self._in_head = False
        self._heads.append(self._head_held_bytes)
        self._account.add(self._head_held_bytes)
        self._head_held_bytes = 0
        super().on_headers_complete()

    def on_response_complete(self):
        self._account.add(-self._heads.popleft())
        self._began_at = self.loop.time()
        super().on_response_complete()

    def data_received(self, data):
        was_in_head = self._in_head
        super().data_received(data)
        if was_in_head and self._in_head:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEADER_BYTES:
                self._refuse(431, "Request Header Fields Too Large", Reason.TOO_LARGE)
        self._count_held()

    def pause_writing(self):
        self._stalled_bytes = self.transport.get_write_buffer_size()
        self._count_held()
        super().pause_writing()

    def resume_writing(self):
        self._stalled_bytes = 0
        self._count_held()
        super().resume_writing()

    def _count_held(self):
        # The application counts what it has read of a body.
        unread = 0 if self.cycle is None else len(self.cycle.body)
        self._account.resize(
            sum(self._heads) + self._head_held_bytes + self._stalled_bytes + unread
        )

    def send_400_response(self, _message):
        if not self._is_closed:
            self._refuse(400, "Bad Request", Reason.MALFORMED)

    def _refuse(self, status, phrase, reason):
        lines = [
            f"HTTP/1.1 {status} {phrase}",
            f"{OUTCOME_HEADER.decode()}: {Outcome.NOT_RUN.label}",
            f"{REASON_HEADER.decode()}: {reason.value}",
            "content-length: 0",
            "connection: close",
        ]
        self.transport.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        self.transport.close()


class _ConnectionBounds:
    """What the connections at one address share.

    Parameters
    ----------
    memory : MemoryBudget
        Counts what the connections hold.
    connection_budget : ConnectionBudget
        Bound on the number of connections.
    """

    def __init__(self, memory, connection_budget):
        self.memory = memory
        self.connections = set()
        self._connection_budget = connection_budget

    def admit(self, connection):
        """Add `connection`, for which others may be closed; return False if refused."""
        has_room = self._connection_budget.make_room(self.connections)
        if has_room:
            self.connections.add(connection)
        return has_room


class _Server(uvicorn.Server):
    """uvicorn server without signal handlers; the node handles signals."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


class HttpServer:
    """One uvicorn server for customer requests or onward calls.

    Parameters
    ----------
    application : callable
        The ASGI application.
    address : tuple
        (host, port) to listen on.
    memory : MemoryBudget
        Counts what the connections hold.
    connection_budget : ConnectionBudget, optional
        Bound on the number of connections.
    """

    def __init__(self, application, address, memory, connection_budget=None):
        host, port = address
        bounds = _ConnectionBounds(memory, connection_budget or ConnectionBudget())
        self._address = address
        config = uvicorn.Config(
            application,
            host=host,
            port=port,
            http=partial(_BoundedProtocol, bounds),
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            proxy_headers=False,
            server_header=False,
            date_header=False,
            backlog=BACKLOG,
            timeout_keep_alive=KEEP_ALIVE_SECONDS,
        )
        self._server = _Server(config)
        self.finished = anyio.Event()

    async def run(self, task_status=anyio.TASK_STATUS_IGNORED):
        """Serve until `stop` is called, then finish the requests in progress.

        Raises
        ------
        NotReadyError
            If the server cannot listen on the address.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._report_start, task_status)
            try:
                await self._server.serve()
            except SystemExit:
                raise NotReadyError(f"a free address {self._address}") from None
            finally:
                self.finished.set()
                tasks.cancel_scope.cancel()

    async def _report_start(self, task_status):
        while not self._server.started:
            await anyio.sleep(START_POLL_INTERVAL_SECONDS)
        task_status.started()

    def stop(self):
        """Stop accepting requests and end once those in progress are answered."""
        self._server.should_exit = True


async def serve_operators(application, address, stopped):
    """Serve the operators' `application` until the event `stopped` is set."""
    config = Config()
    host, port = address
    config.bind = [f"{host}:{port}"]
    config.loglevel = "ERROR"
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 0.5
    await serve_hypercorn(application, config, shutdown_trigger=stopped.wait)
