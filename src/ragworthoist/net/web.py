"""Small helpers for ASGI applications and the headers of ragworthoist."""

from ragworthoist.exceptions import BodyTooLargeError, CallerGoneError

MAX_HEADER_BYTES = 32_768

REQUEST_HEADER = b"ragworthoist-request"
OUTCOME_HEADER = b"ragworthoist-outcome"
REASON_HEADER = b"ragworthoist-reason"
TICKET_HEADER = b"ragworthoist-ticket"
NOT_RUN_HEADER = b"ragworthoist-not-run"
STEP_HEADER = b"ragworthoist-step"
DEADLINE_HEADER = b"ragworthoist-deadline-ms"
_HEADER_PREFIX = b"ragworthoist-"

_HOP_BY_HOP_HEADERS = frozenset(
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
        if name not in _HOP_BY_HOP_HEADERS and not name.startswith(_HEADER_PREFIX)
    ]


def find_header(headers, wanted):
    """Return the value of the header `wanted`, empty when absent."""
    for name, value in headers:
        if name == wanted:
            return value
    return b""
