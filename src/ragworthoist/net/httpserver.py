"""HTTP servers on anyio: uvicorn on the path of a call, hypercorn for operators."""

import contextlib

import anyio
import uvicorn
from hypercorn.asyncio import serve as serve_hypercorn
from hypercorn.config import Config

from ragworthoist.exceptions import NotReadyError

BACKLOG = 2048
KEEP_ALIVE_SECONDS = 30
START_POLL_SECONDS = 0.01


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signals to the node."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


class HttpServer:
    """One uvicorn server on the path of a call.

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
            http="httptools",
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            backlog=BACKLOG,
            timeout_keep_alive=KEEP_ALIVE_SECONDS,
        )
        self._server = _Server(config)

    async def run(self, task_status=anyio.TASK_STATUS_IGNORED):
        """Serve until `stop`, then finish the requests in progress.

        Raises
        ------
        NotReadyError
            If the address cannot be listened on.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._report_start, task_status)
            try:
                await self._server.serve()
            except SystemExit:
                raise NotReadyError(f"a free address {self._address}") from None
            finally:
                tasks.cancel_scope.cancel()

    async def _report_start(self, task_status):
        while not self._server.started:
            await anyio.sleep(START_POLL_SECONDS)
        task_status.started()

    def stop(self):
        """Stop accepting and end once requests in progress are answered."""
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
