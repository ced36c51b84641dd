"""Helpers for ASGI applications, and the names of ragworthoist's headers."""

from ragworthoist.exceptions import BodyTooLargeError, CallerGoneError

MAX_HEADER_BYTES = 32_768
# Largest part of a response body that is passed to the server at once.
PART_BYTES = 65_536

# Key of an ASGI scope: closes the connection of the request at once.
CLOSE_CONNECTION = "ragworthoist.close_connection"
# Token of a forwarded call. The server sends it with its onward calls.
REQUEST_HEADER = b"ragworthoist-request"
# Outcome and reason of an answer, in responses of the node.
OUTCOME_HEADER = b"ragworthoist-outcome"
REASON_HEADER = b"ragworthoist-reason"
# One-time ticket of a request that is not idempotent.
TICKET_HEADER = b"ragworthoist-ticket"
# Token of a forwarded call that the server did not run, in its 503 response.
NOT_RUN_HEADER = b"ragworthoist-not-run"
# Distinguishes onward calls that are otherwise equal.
STEP_HEADER = b"ragworthoist-step"
# Milliseconds left until the deadline.
DEADLINE_HEADER = b"ragworthoist-deadline-ms"
_HEADER_PREFIX = b"ragworthoist-"

# Headers that are not forwarded: the hop-by-hop ones, and `content-length`, `date`,
# `expect`, `host` and `server`.
_DROPPED_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"date",
        b"server",
    }
)


async def read_body(receive, limit, count=lambda size: None, parts=None):
    """Return the complete body of a request.

    Parameters
    ----------
    receive : callable
        Returns the next message of the ASGI server.
    limit : int
        Largest length in bytes.
    count : callable, optional
        Called with the size of each part that is received.
    parts : bytearray, optional
        Where the body is collected; empty afterwards.

    Raises
    ------
    BodyTooLargeError
        If the body is longer than `limit` bytes.
    CallerGoneError
        If the caller disconnects before the body is complete.
    """
    parts = bytearray() if parts is None else parts
    has_more = True
    while has_more:
        message = await receive()
        if message["type"] != "http.request":
            raise CallerGoneError
        part = message.get("body", b"")
        has_more = message.get("more_body")
        if not (parts or has_more):
            count(len(part))
            if len(part) > limit:
                raise BodyTooLargeError(limit)
            return part
        parts += part
        count(len(part))
        if len(parts) > limit:
            raise BodyTooLargeError(limit)
    body = bytes(parts)
    parts.clear()
    return body


async def respond(send, status, headers=(), body=b""):
    """Send a complete response.

    A long body is sent in parts, so that few of its bytes wait in the server's buffers
    while the caller reads slowly.
    """
    headers = [*headers, (b"content-length", b"%d" % len(body))]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    view = memoryview(body)
    for start in range(0, len(body) - PART_BYTES, PART_BYTES):
        part = bytes(view[start : start + PART_BYTES])
        await send({"type": "http.response.body", "body": part, "more_body": True})
    # Of an empty body, this is all.
    start = max(0, (len(body) - 1) // PART_BYTES * PART_BYTES)
    await send({"type": "http.response.body", "body": bytes(view[start:])})


def forward_headers(headers):
    """Return `headers` without those in `_DROPPED_HEADERS` and ragworthoist's."""
    return [
        (name, value)
        for name, value in headers
        if name not in _DROPPED_HEADERS and not name.startswith(_HEADER_PREFIX)
    ]


def find_header(headers, wanted):
    """Return the value of the header `wanted`, empty if it is absent."""
    for name, value in headers:
        if name == wanted:
            return value
    return b""
