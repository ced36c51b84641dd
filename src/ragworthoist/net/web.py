"""Helpers for ASGI applications, and the names of ragworthoist's headers."""

from ragworthoist.exceptions import BodyTooLargeError, CallerGoneError

MAX_HEADER_BYTES = 32_768

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


async def read_body(receive, limit):
    """Return the complete body of a request.

    Raises
    ------
    BodyTooLargeError
        If the body is longer than `limit` bytes.
    CallerGoneError
        If the caller disconnects before the body is complete.
    """
    message = await receive()
    if message["type"] != "http.request":
        raise CallerGoneError
    body = message.get("body", b"")
    if not message.get("more_body"):
        if len(body) > limit:
            raise BodyTooLargeError(limit)
        return body
    parts = bytearray(body)
    while message.get("more_body"):
        message = await receive()
        if message["type"] != "http.request":
            raise CallerGoneError
        parts += message.get("body", b"")
        if len(parts) > limit:
            raise BodyTooLargeError(limit)
    return bytes(parts)


async def respond(send, status, headers=(), body=b""):
    """Send a complete response."""
    headers = [*headers, (b"content-length", b"%d" % len(body))]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


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
