"""Headers of attempts and of the backend servers' answers."""

from dataclasses import dataclass

_ATTEMPT_ID = b"attempt-id"
_PATIENCE_MS = b"deadline-ms"
_CALLER = b"caller-service"
_EXPECTED_SERVER = b"expect-instance"
_SERVER = b"instance-id"
_NOT_RUN = b"not-executed"
_SEAL = b"server-seal"
_RETRY_AFTER = b"retry-after"

# Headers that concern one connection only, and those that the node sets itself.
_DROPPED = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        _PATIENCE_MS,
        _CALLER,
        _EXPECTED_SERVER,
    }
)
_MAX_PATIENCE_DIGITS = 9


@dataclass(frozen=True, slots=True)
class AttemptHead:
    """What the head of a client's attempt says of the attempt itself.

    `patience` is how many seconds the client will wait, None where it does not say.
    `headers` are those that travel on to the server.
    """

    attempt_id: bytes
    host: str
    patience: float | None
    headers: list


@dataclass(frozen=True, slots=True)
class ServerVerdict:
    """What a backend server's answer says of the attempt.

    `not_run` is true where the server states that it did not run the request,
    `is_misdirected` where another server lives at the address, `is_sealed` where
    the answer bears the server's proof, `is_encoded` where the body is not the
    server's own bytes.
    """

    attempt_id: bytes
    instance: str
    not_run: bool
    is_misdirected: bool
    is_sealed: bool
    is_encoded: bool


def read_attempt(headers, caller):
    """Return the `AttemptHead` in `headers` of an attempt that begins at `caller`."""
    attempt_id = host = patience = b""
    nominated = ()
    kept = []
    for name, value in headers:
        if name == _ATTEMPT_ID:
            attempt_id = value
        elif name == b"host":
            host = value
        elif name == _PATIENCE_MS:
            patience = value
        elif name == b"connection":
            nominated = {part.strip() for part in value.lower().split(b",")}
        if name not in _DROPPED:
            kept.append((name, value))
    if nominated:
        kept = [pair for pair in kept if pair[0] not in nominated]
    kept.append((_CALLER, caller.encode()))
    is_number = patience.isdigit() and len(patience) <= _MAX_PATIENCE_DIGITS
    return AttemptHead(
        attempt_id,
        host.decode("latin1").rpartition(":")[0].lower()
        if b":" in host
        else host.decode("latin1").lower(),
        int(patience) / 1000 if is_number else None,
        kept,
    )


def make_hand_over_headers(remaining, instance):
    """Return the headers that a hand-over adds: seconds left, and the server meant."""
    return [
        (_PATIENCE_MS, b"%d" % max(1, int(remaining * 1000))),
        (_EXPECTED_SERVER, instance.encode()),
    ]


def read_verdict(response):
    """Return the `ServerVerdict` in a `Response`."""
    attempt_id = instance = b""
    not_run = is_sealed = is_encoded = False
    for name, value in response.headers:
        if name == _ATTEMPT_ID:
            attempt_id = value
        elif name == _SERVER:
            instance = value
        elif name == _NOT_RUN:
            not_run = True
        elif name == _SEAL:
            is_sealed = bool(value)
        elif name == b"content-encoding":
            is_encoded = True
    return ServerVerdict(
        attempt_id,
        instance.decode("latin1"),
        not_run,
        response.status == 421,
        is_sealed,
        is_encoded,
    )


def forward_answer_headers(headers):
    """Return the headers of a server's answer that travel back to the client."""
    return [pair for pair in headers if pair[0] not in _DROPPED]


def make_refusal_headers(attempt_id, retry_after):
    """Return the headers of a refusal; `retry_after` is in seconds or None."""
    headers = [(_ATTEMPT_ID, attempt_id)] if attempt_id else []
    if retry_after is not None:
        headers.append((_RETRY_AFTER, b"%.3f" % retry_after))
    return headers
