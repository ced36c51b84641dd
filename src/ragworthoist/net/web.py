"""Small helpers for ASGI applications and the headers of ragworthoist."""

from ragworthoist.exceptions import BodyTooLargeError, CallerGoneError

MAX_HEADER_BYTES = 32_768

REQUEST = b"ragworthoist-request"
OUTCOME = b"ragworthoist-outcome"
REASON = b"ragworthoist-reason"
TICKET = b"ragworthoist-ticket"
NOT_RUN = b"ragworthoist-not-run"
STEP = b"ragworthoist-step"
DEADLINE = b"ragworthoist-deadline-ms"
_PREFIX = b"ragworthoist-"

_HOP_BY_HOP = frozenset(
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
    """Return the whole body of a request.

    Raises
    ------
    BodyTooLargeError
        If it is longer than `limit` bytes.
    CallerGoneError
        If the caller leaves before its end.
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
    """Send a whole response."""
    headers = [*headers, (b"content-length", b"%d" % len(body))]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


def forward_headers(headers):
    """Return the headers that travel end to end, without those of ragworthoist."""
    return [
        (name, value)
        for name, value in headers
        if name not in _HOP_BY_HOP and not name.startswith(_PREFIX)
    ]


def find_header(headers, wanted):
    """Return the value of the header `wanted`, empty when absent."""
    for name, value in headers:
        if name == wanted:
            return value
    return b""
