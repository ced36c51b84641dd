"""Entities that the systems of the core work on."""

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

import xxhash

DRAW_RANGE = 1 << 16


class Outcome(IntEnum):
    """What a caller may conclude about an attempt."""

    COMPLETED = 0
    NOT_RUN = 1
    UNKNOWN = 2

    @property
    def label(self):
        """The outcome as it stands in response headers."""
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

    `kind`, `rank`, `deadline` and `draw` are settled once at the entrance and
    stay the same down the chain. `deadline` is in seconds of the local monotonic
    clock, `aim` the latency in seconds that is aimed at. `body` is a `BodyPipe` where
    it is long and the edge streams bodies.
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


@dataclass(slots=True)
class Answer:
    """How an attempt ended, with the whole response of the server if there is one.

    `unused` is the part of the retry allotment that comes back. `retryable` is
    false when repeating the attempt elsewhere would meet the same refusal. `load` is
    the share of its limit that the endpoint has in use, above 1 while calls wait.
    `endpoint` is the instance that was tried, which only the caller's node notes.
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


def refuse(reason, call=None, retryable=True):
    """Return a not-run `Answer` that hands back the allotment of `call`."""
    unused_retries = call.retry_allowance if call is not None else 0
    return Answer(
        Outcome.NOT_RUN, reason, unused_retries=unused_retries, retryable=retryable
    )


def compute_draw(request_id):
    """Return the shedding draw of a customer request, the same at every hop.

    Requests with a low draw are kept longest. The draw depends on nothing but
    the request id, so every service sheds the same requests.
    """
    return xxhash.xxh3_64_intdigest(request_id) % DRAW_RANGE
