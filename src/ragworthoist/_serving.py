"""Calls that arrive at this node's backend server.

A call is admitted, waits or is refused; when it is handed over, the node keeps
the customer request's context so that onward calls of the server inherit it.
"""

import hashlib
import os
from dataclasses import dataclass, field

import anyio

from ragworthoist.core.admission import Admission, Entry, EntryState
from ragworthoist.core.entities import Answer, Outcome, Reason, refuse
from ragworthoist.core.levels import DownstreamLevels
from ragworthoist.core.retries import RetryAllowance
from ragworthoist.core.tickets import (
    MAX_KEPT_BODY_BYTES,
    TicketState,
    TicketTable,
    open_ticket,
)
from ragworthoist.exceptions import ExpiredTicketError, MalformedTicketError

TOKEN_BYTES = 12


@dataclass(slots=True, eq=False)
class Inbound:
    """A call under way at this node's backend server.

    `onward` holds what has become of the onward calls the server made for it, by
    fingerprint.
    """

    call: object
    reply: object
    retry_allowance: RetryAllowance
    token: str = ""
    entry: object = None
    record: object = None
    scope: object = None
    cancelled: bool = False
    inline: bool = False
    onward: dict = field(default_factory=dict)
    onward_active: int = 0
    onward_since: float = 0.0
    onward_seconds: float = 0.0
    onward_ran: bool = False
    onward_refused: bool = False

    def start_onward(self, now):
        """Note that an onward call begins."""
        if not self.onward_active:
            self.onward_since = now
        self.onward_active += 1

    def note_onward(self, answer):
        """Note what became of an onward call."""
        if answer.outcome is Outcome.NOT_RUN:
            self.onward_refused = True
            return
        self.onward_ran = True
        if answer.outcome is Outcome.UNKNOWN and not answer.retryable:
            self.onward_refused = True

    def end_onward(self, now):
        """Note that an onward call has ended."""
        self.onward_active -= 1
        if not self.onward_active:
            self.onward_seconds += now - self.onward_since


class Serving:
    """Admission and hand-over of calls to the backend server beside this node.

    Parameters
    ----------
    backend : BackendClient
        The client towards the server.
    instance : bytes
        This incarnation of the node.
    key : bytes
        The fleet's key, with which tickets are sealed.
    clock, wall_clock : callable
        Monotonic time, and time comparable between nodes that does not run
        backwards within one incarnation.
    policy : ServicePolicy
        How calls are admitted.
    """

    def __init__(self, backend, instance, key, clock, wall_clock, policy, tasks):
        self.admission = Admission(policy)
        self.tickets = TicketTable(instance)
        self.downstream = DownstreamLevels()
        self.inbound = {}
        self.leaving = False
        self._backend = backend
        self._key = key
        self._clock = clock
        self._wall_clock = wall_clock
        self._tasks = tasks
        self._in_progress = 0

    @property
    def in_progress(self):
        """Number of calls that wait or run."""
        return self._in_progress

    async def serve(self, call):
        """Take in `call` from this very node and return its `Answer`."""
        done = anyio.Event()
        answers = []

        def reply(answer):
            answers.append(answer)
            done.set()

        handle = self.submit(call, reply, inline=True)
        if handle is not None and handle.inline:
            # The task of the caller hands over, which spares a task of its own.
            await self._hand_over(handle)
        elif not answers:
            try:
                await done.wait()
            finally:
                if not answers and handle is not None:
                    self.cancel(handle)
        return answers[0]

    def submit(self, call, reply, inline=False):
        """Take in `call`; `reply` is called once with its `Answer`.

        With `inline` a call that need not wait is left to the caller to hand over.

        Returns
        -------
        Inbound or None
            A handle for `cancel`, None when the call has been answered.
        """
        if call.ticket:
            return self._submit_ticketed(call, reply)
        if self.leaving:
            reply(refuse(Reason.LEAVING, call))
            return None
        return self._admit(call, reply, None, inline)

    def cancel(self, inbound):
        """End `inbound`, whose caller has gone."""
        inbound.cancelled = True
        if inbound.entry.state is EntryState.WAITING:
            self.admission.withdraw(inbound.entry)
            self._settle(inbound, refuse(Reason.CANCELLED, inbound.call))
        elif inbound.record is None and inbound.scope is not None:
            # A one-time request runs on: its repeats still ask for the outcome.
            inbound.scope.cancel()

    def find(self, token):
        """Return the inbound call that was handed over with `token`, or None."""
        inbound = self.inbound.get(token)
        if inbound is None or inbound.cancelled:
            return None
        return inbound

    def tick(self, now):
        """Run the systems of this node's server side."""
        self.admission.tick(now)
        self.tickets.expire(self._wall_clock())

    def fold_levels(self, now):
        """Return the levels that answers carry, as (kind, level) pairs."""
        if not self.admission.policy.carry_levels:
            return []
        levels = self.downstream.fold(self.admission.levels.lowered(), now)
        return list(levels.items())

    def _submit_ticketed(self, call, reply):
        fingerprint = fingerprint_call(call)
        try:
            ticket = open_ticket(call.ticket, self._key)
            record, first = self.tickets.get_or_add(
                ticket, fingerprint, self._wall_clock()
            )
        except MalformedTicketError:
            reply(refuse(Reason.TICKET_MALFORMED, call, retryable=False))
            return None
        except ExpiredTicketError:
            # It may have run before it was forgotten.
            reply(Answer(Outcome.UNKNOWN, Reason.TICKET_EXPIRED, retryable=False))
            return None
        if ticket.instance != self.tickets.instance:
            reply(Answer(Outcome.UNKNOWN, Reason.TICKET_HOLDER_GONE, retryable=False))
            return None
        if first:
            record.waiter = []
            return self._start_ticketed(call, reply, record)
        if record.fingerprint != fingerprint:
            reply(refuse(Reason.TICKET_REUSED, call, retryable=False))
        elif record.answer is not None:
            reply(record.answer)
        else:
            record.waiter.append(reply)
        return None

    def _start_ticketed(self, call, reply, record):
        if self.leaving:
            answer = refuse(Reason.LEAVING, call, retryable=False)
            _settle_record(record, answer)
            reply(answer)
            return None
        return self._admit(call, reply, record)

    def _admit(self, call, reply, record, inline=False):
        inbound = Inbound(
            call, reply, RetryAllowance(call.retry_allowance), record=record
        )
        inbound.inline = inline
        self._in_progress += 1
        inbound.entry = Entry(
            call, self._clock(), lambda entry: self._on_decided(inbound)
        )
        self.admission.offer(inbound.entry, inbound.entry.arrived)
        if inbound.entry.state is EntryState.WAITING:
            inbound.inline = False
        return inbound if inbound.entry.state <= EntryState.RUNNING else None

    def _on_decided(self, inbound):
        if inbound.entry.state is EntryState.RUNNING:
            if inbound.inline:
                return
            self._tasks.start_soon(self._hand_over, inbound)
            return
        late = inbound.call.deadline <= self._clock()
        reason = Reason.DEADLINE if late else Reason.SHED
        self._settle(inbound, refuse(reason, inbound.call))

    async def _hand_over(self, inbound):
        call = inbound.call
        remaining = call.deadline - self._clock()
        if inbound.cancelled or remaining <= 0:
            self.admission.release(inbound.entry, self._clock())
            reason = Reason.CANCELLED if inbound.cancelled else Reason.DEADLINE
            self._settle(inbound, refuse(reason, call))
            return
        if inbound.record is not None:
            inbound.record.state = TicketState.RUNNING
        inbound.token = os.urandom(TOKEN_BYTES).hex()
        self.inbound[inbound.token] = inbound
        answer = Answer(Outcome.UNKNOWN, Reason.CANCELLED)
        try:
            with anyio.CancelScope() as inbound.scope:
                answer = await self._backend.send(call, inbound.token, remaining)
        finally:
            del self.inbound[inbound.token]
            self._finish(inbound, answer)

    def _finish(self, inbound, answer):
        if answer.outcome is Outcome.NOT_RUN and inbound.onward_ran:
            # A server that made onward calls has run, whatever it claims.
            answer = Answer(Outcome.UNKNOWN, Reason.SERVER_ERROR, 503)
        if inbound.onward_refused:
            answer.retryable = False
        answer.unused_retries = inbound.retry_allowance.available
        if answer.reason is Reason.CANCELLED:
            self.admission.release(inbound.entry, self._clock())
        else:
            ok = answer.outcome is Outcome.COMPLETED or inbound.onward_refused
            self.admission.finish(
                inbound.entry, self._clock(), ok, inbound.onward_seconds
            )
        self._settle(inbound, answer)

    def _settle(self, inbound, answer):
        self._in_progress -= 1
        answer.levels = self.fold_levels(self._clock())
        record = inbound.record
        if record is not None:
            if answer.outcome is Outcome.NOT_RUN:
                answer.retryable = False
            waiters = record.waiter
            _settle_record(record, answer)
            for waiting_reply in waiters:
                waiting_reply(record.answer)
        inbound.reply(answer)


def _settle_record(record, answer):
    """Keep `answer` for repeats of a ticketed request."""
    not_run = answer.outcome is Outcome.NOT_RUN
    record.state = TicketState.VOID if not_run else TicketState.DONE
    record.waiter = None
    if not_run:
        record.answer = Answer(Outcome.NOT_RUN, Reason.TICKET_VOID, retryable=False)
    elif len(answer.body) > MAX_KEPT_BODY_BYTES:
        record.answer = Answer(
            Outcome.UNKNOWN, Reason.TOO_LARGE, answer.status, retryable=False
        )
    else:
        record.answer = Answer(
            answer.outcome,
            answer.reason,
            answer.status,
            answer.headers,
            answer.body,
            retryable=False,
        )


def fingerprint_call(call, step=b""):
    """Return a digest of what a call asks for, to recognise a repeat of it."""
    head = f"{call.method} {call.target}\n".encode()
    digest = hashlib.blake2b(head, digest_size=16)
    digest.update(step + b"\n")
    digest.update(call.body)
    return digest.digest()
