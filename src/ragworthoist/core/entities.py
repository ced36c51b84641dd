"""Data types of the core: calls, answers, and the outcomes and reasons of attempts."""

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

import xxhash

DRAW_RANGE = 1 << 16


class Outcome(IntEnum):
    """What a caller may conclude about an attempt.

    `COMPLETED` comes with a response of the server, `NOT_RUN` means that the server
    has certainly not run the call, and `UNKNOWN` that it may have run it.
    """

    COMPLETED = 0
    NOT_RUN = 1
    UNKNOWN = 2

    @property
    def label(self):
        """Spelling of the outcome in response headers."""
        return self.name.lower().replace("_", "-")


class Reason(StrEnum):
    """Why an attempt ended as it did."""

    ANSWERED = "answered"
    SERVER_ERROR = "server-error"
    SERVER_REFUSED = "server-refused"
    SERVER_LOST = "server-lost"
    SERVER_UNREACHABLE = "server-unreachable"
    SERVER_GARBLED = "server-garbled"
    SERVER_UNVERIFIED = "server-unverified"
    SHED = "shed"
    LIMIT = "limit"
    LEVEL = "level"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    LEAVING = "leaving"
    NO_ENDPOINT = "no-endpoint"
    NO_CONFIGURATION = "no-configuration"
    UNKNOWN_ROUTE = "unknown-route"
    PEER_LOST = "peer-lost"
    PEER_UNREACHABLE = "peer-unreachable"
    TOO_LARGE = "too-large"
    TICKET_REQUIRED = "ticket-required"
    TICKET_EXPIRED = "ticket-expired"
    TICKET_MALFORMED = "ticket-malformed"
    TICKET_VOID = "ticket-void"
    TICKET_REUSED = "ticket-reused"
    TICKET_HOLDER_GONE = "ticket-holder-gone"
    REPEAT_REFUSED = "repeat-refused"
    MALFORMED = "malformed"


@dataclass(slots=True)
class Call:
    """One attempt to have a customer request, or a part of it, served.

    `kind`, `rank`, `deadline` and `draw` are set at the entrance and stay the same
    while nodes pass the call on. Onward calls inherit all four at `net.entrance`. At
    `edge.entrance` they share the draw of the call that caused them, and its deadline
    is an upper bound of theirs.

    Attributes
    ----------
    weight : float
        Weight of the kind among the kinds of its rank.
    deadline : float
        Time limit in seconds of the local monotonic clock.
    draw : int
        Hash of the request id that decides which requests are shed; see
        `compute_draw`.
    retry_allowance : int
        Number of retries that the receiving hop may still make. A `retry_allowance` in
        `_dispatching` or of an `InboundCall` is a `RetryAllowance` instead: the first
        lends this number, the second is granted it.
    body : bytes or BodyPipe
        A `BodyPipe` if the body is long and the edge streams bodies.
    is_retry : bool
        Whether this is a retry, or a call made by the server while it runs a retry.
    ticket : bytes
        Sealed one-time ticket, empty without one.
    latency_target : float
        Latency to aim for, in seconds.
    has_failed_onward : bool
        Whether a call failed that the server made to serve this one.
    notice : ServerNotice or None
        What the caller's node knows of the server at the address that it calls.
    """

    request_id: bytes
    kind: str
    rank: int
    weight: float
    deadline: float
    draw: int
    retry_allowance: int
    service: str
    method: str
    target: str
    headers: list = field(default_factory=list)
    body: bytes = b""
    idempotent: bool = True
    is_retry: bool = False
    ticket: bytes = b""
    latency_target: float = 1.0
    has_failed_onward: bool = False
    notice: object = None


@dataclass(slots=True)
class Answer:
    """Result of an attempt, with the complete response of the server if there is one.

    Attributes
    ----------
    unused_retries : int
        Part of the retry allowance of the call that was not used.
    retryable : bool
        False if a retry at another endpoint would be refused, or fail, for the same
        reason.
    levels : list of (str, int)
        Admission levels of the kinds that the endpoint and its downstream services
        do not accept in full.
    load : float
        Share of its concurrency limit that the endpoint has in use, above 1 while
        calls wait.
    endpoint : bytes
        Instance id of the endpoint that was tried, set by the caller's node only.
    notice : ServerNotice or None
        What the server has said of itself, None if it has no need to be known.
    """

    outcome: Outcome
    reason: Reason
    status: int = 0
    headers: list = field(default_factory=list)
    body: bytes = b""
    unused_retries: int = 0
    retryable: bool = True
    levels: list = field(default_factory=list)
    load: float = 0.0
    endpoint: bytes = b""
    notice: object = None


def refuse(reason, call=None, retryable=True):
    """Return a not-run `Answer` that returns the retry allowance of `call` unused."""
    unused_retries = call.retry_allowance if call is not None else 0
    return Answer(
        Outcome.NOT_RUN, reason, unused_retries=unused_retries, retryable=retryable
    )


def compute_draw(request_id):
    """Return the draw of a customer request: a hash from 0 to `DRAW_RANGE - 1`.

    Under overload, requests with a high draw are shed first. The draw depends only
    on the request id, so every hop and every service sheds the same requests.
    """
    return xxhash.xxh3_64_intdigest(request_id) % DRAW_RANGE
