"""One-time tickets: a non-idempotent request runs at most once.

A ticket names the one node process that may run the request. That process keeps the
outcome until the ticket has expired on the clock of the process. The guarantee does not
depend on membership, on the store or on clocks of other machines.
"""

import base64
import binascii
import hashlib
import heapq
import hmac
from dataclasses import dataclass
from enum import IntEnum

import msgpack

from ragworthoist.core.entities import Answer, Outcome, Reason
from ragworthoist.exceptions import ExpiredTicketError, MalformedTicketError

MAX_LIFETIME_SECONDS = 600.0
# A longer body is not kept: repeated attempts then get the outcome `UNKNOWN`.
MAX_KEPT_BODY_BYTES = 65_536
_DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to run one request once, in the node process with id `instance`.

    `expires` is a time in seconds, compared with the clock of that process.
    """

    instance: bytes
    expires: float
    nonce: bytes


class TicketState(IntEnum):
    """State of a request with a ticket.

    `VOID` means that the request was refused and that the ticket cannot be used again.
    """

    WAITING = 0
    RUNNING = 1
    DONE = 2
    VOID = 3


@dataclass(slots=True)
class TicketRecord:
    """Record of a ticket, kept by the node process that it names.

    Attributes
    ----------
    fingerprint : bytes
        Digest of the request, to refuse another request with the same ticket.
    answer : Answer or None
        Answer to repeated attempts, once there is one.
    waiters : list of callable or None
        Functions that reply to attempts which wait for the answer.
    account : MemoryAccount or None
        Counts the answer.
    """

    expires: float
    fingerprint: bytes
    state: TicketState = TicketState.WAITING
    answer: object = None
    waiters: object = None
    account: object = None

    def drop_answer(self, status):
        """Answer repeated attempts with `UNKNOWN` from now on."""
        self.answer = Answer(Outcome.UNKNOWN, Reason.TOO_LARGE, status, retryable=False)

    def close(self):
        """Give back what the record holds."""
        if self.account is not None:
            self.account.close()


def seal_ticket(ticket, key):
    """Return `ticket` as text, authenticated with the fleet's `key` (bytes)."""
    payload = msgpack.packb([ticket.instance, ticket.expires, ticket.nonce])
    digest = hashlib.blake2b(payload, key=key, digest_size=_DIGEST_BYTES).digest()
    return base64.urlsafe_b64encode(digest + payload).rstrip(b"=")


def open_ticket(text, key):
    """Return the `Ticket` in `text`.

    Raises
    ------
    MalformedTicketError
        If `text` does not parse or was not sealed with `key`.
    """
    try:
        padded = text + b"=" * (-len(text) % 4)
        sealed = base64.b64decode(padded, altchars=b"-_", validate=True)
    except (binascii.Error, ValueError):
        raise MalformedTicketError from None
    digest, payload = sealed[:_DIGEST_BYTES], sealed[_DIGEST_BYTES:]
    expected = hashlib.blake2b(payload, key=key, digest_size=_DIGEST_BYTES).digest()
    if not hmac.compare_digest(digest, expected):
        raise MalformedTicketError
    instance, expires, nonce = msgpack.unpackb(payload)
    return Ticket(instance, expires, nonce)


class TicketTable:
    """Tickets that this node process has seen, until they expire.

    All times are seconds of one clock that never runs backwards while the process runs.
    Once a record has been deleted, its ticket is therefore always refused as expired.
    """

    def __init__(self, instance):
        self.instance = instance
        self._records = {}
        self._expiries = []

    def __len__(self):
        return len(self._records)

    def get_or_add(self, ticket, fingerprint, now):
        """Return (record, is_new): the record of `ticket`, and whether it is new.

        Raises
        ------
        ExpiredTicketError
            If the ticket has expired, or is valid for longer than
            `MAX_LIFETIME_SECONDS`.
        """
        if not now < ticket.expires <= now + MAX_LIFETIME_SECONDS:
            raise ExpiredTicketError(ticket.expires, now)
        record = self._records.get(ticket.nonce)
        if record is not None:
            return record, False
        record = TicketRecord(ticket.expires, fingerprint)
        self._records[ticket.nonce] = record
        heapq.heappush(self._expiries, (ticket.expires, ticket.nonce))
        return record, True

    def expire(self, now):
        """Delete the records of expired tickets that are `DONE` or `VOID`."""
        unsettled = []
        while self._expiries and self._expiries[0][0] <= now:
            expires, nonce = heapq.heappop(self._expiries)
            if self._records[nonce].state >= TicketState.DONE:
                self._records.pop(nonce).close()
            else:
                unsettled.append((expires, nonce))
        for expiry in unsettled:
            heapq.heappush(self._expiries, expiry)

    def count_states(self):
        """Return the number of records in each state, by name."""
        counts = {state.name.lower(): 0 for state in TicketState}
        for record in self._records.values():
            counts[record.state.name.lower()] += 1
        return counts
