"""Helpers shared by the ASGI applications of the stand-ins."""

import json

import anyio
import uvicorn

from ragworthoist.net.web import read_body, respond

MAX_BODY_BYTES = 16 * 1024 * 1024


async def read_json(receive):
    """Return the JSON body of a request, an empty dict if there is no body."""
    raw = await read_body(receive, MAX_BODY_BYTES)
    return json.loads(raw) if raw else {}


async def respond_json(send, value, status=200, headers=()):
    """Send a response with `value` as JSON, and with `headers` besides."""
    headers = [(b"content-type", b"application/json"), *headers]
    await respond(send, status, headers, json.dumps(value).encode())


def run_application(application, port, lifespan="off"):
    """Serve an ASGI application on loopback until SIGINT or SIGTERM."""
    config = uvicorn.Config(
        application,
        host="127.0.0.1",
        port=port,
        http="httptools",
        ws="none",
        lifespan=lifespan,
        log_level="error",
        access_log=False,
        backlog=2048,
        timeout_keep_alive=60,
        timeout_graceful_shutdown=1,
    )
    server = uvicorn.Server(config)
    options = {"use_uvloop": True}
    anyio.run(server.serve, backend="asyncio", backend_options=options)
