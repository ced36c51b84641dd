"""Headers of attempts and of backend servers' answers."""

import re
from dataclasses import dataclass

_ATTEMPT_ID = b"attempt-id"
_CLIENT_TIMEOUT_MS = b"deadline-ms"
_CALLER_SERVICE = b"caller-service"
_EXPECTED_INSTANCE = b"expect-instance"
_SERVER_INSTANCE = b"instance-id"
_NOT_RUN = b"not-executed"
_SEAL = b"server-seal"
_RETRY_AFTER = b"retry-after"
_ADVERTISED_RATE = b"server-limit"
_IS_LEAVING = b"server-leaving"

# Hop-by-hop headers, and headers that the node sets itself.
_NOT_FORWARDED = frozenset(
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
        _CLIENT_TIMEOUT_MS,
        _CALLER_SERVICE,
        _EXPECTED_INSTANCE,
    }
)
_MAX_TIMEOUT_DIGITS = 9
_MAX_RATE_LENGTH = 64
_RATE_PATTERN = re.compile(rb"[0-9]+(\.[0-9]*)?|\.[0-9]+")


@dataclass(frozen=True, slots=True)
class AttemptHead:
    """Metadata of a client's attempt, read from its headers.

    `client_timeout` is how many seconds the client waits, None if it does not say.
    `headers` are the headers to forward to the server.
    """

    attempt_id: bytes
    host: str
    client_timeout: float | None
    headers: list


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Metadata of a backend server's answer to an attempt.

    `not_run` is true if the server states that it did not run the request,
    `is_misdirected` if another server runs at the address, `is_sealed` if the answer
    carries the server's proof, `is_encoded` if the body is encoded and therefore not
    the server's own bytes. `advertised_rate` is how many requests a second the server
    takes, None if it does not say; a value that is no decimal number is kept in
    `malformed_rate`. `is_leaving` is true if the server states that it is leaving.
    """

    attempt_id: bytes
    instance: str
    not_run: bool
    is_misdirected: bool
    is_sealed: bool
    is_encoded: bool
    advertised_rate: float | None = None
    malformed_rate: str | None = None
    is_leaving: bool = False


def read_attempt(headers, caller):
    """Return the `AttemptHead` in `headers` of an attempt.

    `caller` is the name of the service at which the attempt enters.
    """
    attempt_id = host = raw_timeout_ms = b""
    connection_options = ()
    forwarded = []
    for name, value in headers:
        if name == _ATTEMPT_ID:
            attempt_id = value
        elif name == b"host":
            host = value
        elif name == _CLIENT_TIMEOUT_MS:
            raw_timeout_ms = value
        elif name == b"connection":
            connection_options = {part.strip() for part in value.lower().split(b",")}
        if name not in _NOT_FORWARDED:
            forwarded.append((name, value))
    if connection_options:
        forwarded = [pair for pair in forwarded if pair[0] not in connection_options]
    forwarded.append((_CALLER_SERVICE, caller.encode()))
    is_valid = raw_timeout_ms.isdigit() and len(raw_timeout_ms) <= _MAX_TIMEOUT_DIGITS
    return AttemptHead(
        attempt_id,
        host.decode("latin1").rpartition(":")[0].lower()
        if b":" in host
        else host.decode("latin1").lower(),
        int(raw_timeout_ms) / 1000 if is_valid else None,
        forwarded,
    )


def make_forwarding_headers(remaining, instance):
    """Return the headers that are added when a call is forwarded.

    `remaining` is the time left in seconds, `instance` the id of the server that is to
    run the call.
    """
    return [
        (_CLIENT_TIMEOUT_MS, b"%d" % max(1, int(remaining * 1000))),
        (_EXPECTED_INSTANCE, instance.encode()),
    ]


def read_response_metadata(response):
    """Return the `ResponseMetadata` in a `Response`."""
    attempt_id = instance = b""
    not_run = is_sealed = is_encoded = is_leaving = False
    raw_rates = []
    for name, value in response.headers:
        if name == _ATTEMPT_ID:
            attempt_id = value
        elif name == _SERVER_INSTANCE:
            instance = value
        elif name == _NOT_RUN:
            not_run = True
        elif name == _SEAL:
            is_sealed = bool(value)
        elif name == _ADVERTISED_RATE:
            raw_rates.append(value.strip())
        elif name == _IS_LEAVING:
            is_leaving = value.strip() == b"1"
        elif name == b"content-encoding":
            is_encoded = True
    rate, malformed_rate = _parse_rates(raw_rates)
    return ResponseMetadata(
        attempt_id,
        instance.decode("latin1"),
        not_run,
        response.status == 421,
        is_sealed,
        is_encoded,
        rate,
        malformed_rate,
        is_leaving,
    )


def _parse_rates(raw_rates):
    """Return the lowest decimal number in `raw_rates`, and the first other value."""
    rate = malformed = None
    for raw in raw_rates:
        if len(raw) > _MAX_RATE_LENGTH or not _RATE_PATTERN.fullmatch(raw):
            if malformed is None:
                malformed = raw.decode("latin1")[:_MAX_RATE_LENGTH]
        elif rate is None or float(raw) < rate:
            rate = float(raw)
    return rate, malformed


def filter_answer_headers(headers):
    """Return the headers of a server's answer that are passed on to the client."""
    return [pair for pair in headers if pair[0] not in _NOT_FORWARDED]


def make_refusal_headers(attempt_id, retry_after):
    """Return the headers of a refusal; `retry_after` is in seconds or None."""
    headers = [(_ATTEMPT_ID, attempt_id)] if attempt_id else []
    if retry_after is not None:
        headers.append((_RETRY_AFTER, b"%.3f" % retry_after))
    return headers
