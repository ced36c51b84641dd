"""HTTP servers that run under anyio.

uvicorn serves customer requests and onward calls, hypercorn the operators' address.
The node in `edge` does not use them; it serves HTTP with `net.listener`.
"""

import contextlib

import anyio
import uvicorn
from hypercorn.asyncio import serve as serve_hypercorn
from hypercorn.config import Config
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from ragworthoist.core.entities import Outcome, Reason
from ragworthoist.exceptions import NotReadyError
from ragworthoist.net.web import MAX_HEADER_BYTES, OUTCOME_HEADER, REASON_HEADER

BACKLOG = 2048
KEEP_ALIVE_SECONDS = 30
START_POLL_INTERVAL_SECONDS = 0.01


class _BoundedProtocol(HttpToolsProtocol):
    """HTTP protocol that limits request heads and states the outcome of a refusal.

    uvicorn itself accepts a head of any length and passes it on once it is complete.
    """

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self._in_head = True
        self._head_bytes = 0

    def on_message_begin(self):
        self._in_head = True
        self._head_bytes = 0
        super().on_message_begin()

    def on_headers_complete(self):
        self._in_head = False
        super().on_headers_complete()

    def data_received(self, data):
        was_in_head = self._in_head
        super().data_received(data)
        if was_in_head and self._in_head:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEADER_BYTES:
                self._refuse(431, "Request Header Fields Too Large", Reason.TOO_LARGE)

    def send_400_response(self, _message):
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
    """

    def __init__(self, application, address):
        host, port = address
        self._address = address
        config = uvicorn.Config(
            application,
            host=host,
            port=port,
            http=_BoundedProtocol,
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
