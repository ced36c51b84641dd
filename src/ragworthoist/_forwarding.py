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
class InboundCall:
    """A call under way at this node's backend server.

    `onward_answers` holds the answers to the onward calls that the server made, by
    fingerprint.
    """

    call: object
    reply: object
    retry_allowance: RetryAllowance
    token: str = ""
    entry: object = None
    record: object = None
    scope: object = None
    is_cancelled: bool = False
    is_inline: bool = False
    onward_answers: dict = field(default_factory=dict)
    active_onward_calls: int = 0
    onward_started: float = 0.0
    onward_seconds: float = 0.0
    has_onward_call_run: bool = False
    has_onward_refusal: bool = False

    def start_onward(self, now):
        """Note that an onward call begins."""
        if not self.active_onward_calls:
            self.onward_started = now
        self.active_onward_calls += 1

    def record_onward_answer(self, answer):
        """Note what became of an onward call."""
        if answer.outcome is Outcome.NOT_RUN:
            self.has_onward_refusal = True
            return
        self.has_onward_call_run = True
        if answer.outcome is Outcome.UNKNOWN and not answer.retryable:
            self.has_onward_refusal = True

    def end_onward(self, now):
        """Note that an onward call has ended."""
        self.active_onward_calls -= 1
        if not self.active_onward_calls:
            self.onward_seconds += now - self.onward_started


class Forwarder:
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
        self.is_leaving = False
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

        handle = self.submit(call, reply, is_inline=True)
        if handle is not None and handle.is_inline:
            # The task of the caller hands over, which spares a task of its own.
            await self._forward(handle)
        elif not answers:
            try:
                await done.wait()
            finally:
                if not answers and handle is not None:
                    self.cancel(handle)
        return answers[0]

    def submit(self, call, reply, is_inline=False):
        """Take in `call`; `reply` is called once with its `Answer`.

        With `is_inline` a call that need not wait is left to the caller to hand over.

        Returns
        -------
        InboundCall or None
            A handle for `cancel`, None when the call has been answered.
        """
        if call.ticket:
            return self._submit_ticketed(call, reply)
        if self.is_leaving:
            reply(refuse(Reason.LEAVING, call))
            return None
        return self._admit(call, reply, None, is_inline)

    def cancel(self, inbound):
        """End `inbound`, whose caller has gone."""
        inbound.is_cancelled = True
        if inbound.entry.state is EntryState.WAITING:
            self.admission.withdraw(inbound.entry)
            self._settle(inbound, refuse(Reason.CANCELLED, inbound.call))
        elif inbound.record is None and inbound.scope is not None:
            # A one-time request runs on: its repeats still ask for the outcome.
            inbound.scope.cancel()

    def find(self, token):
        """Return the inbound call that was handed over with `token`, or None."""
        inbound = self.inbound.get(token)
        if inbound is None or inbound.is_cancelled:
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
            record, is_first = self.tickets.get_or_add(
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
        if is_first:
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
        if self.is_leaving:
            answer = refuse(Reason.LEAVING, call, retryable=False)
            _settle_record(record, answer)
            reply(answer)
            return None
        return self._admit(call, reply, record)

    def _admit(self, call, reply, record, is_inline=False):
        inbound = InboundCall(
            call, reply, RetryAllowance(call.retry_allowance), record=record
        )
        inbound.is_inline = is_inline
        self._in_progress += 1
        inbound.entry = Entry(
            call, self._clock(), lambda entry: self._on_admission_decided(inbound)
        )
        self.admission.offer(inbound.entry, inbound.entry.arrived)
        if inbound.entry.state is EntryState.WAITING:
            inbound.is_inline = False
        return inbound if inbound.entry.state <= EntryState.RUNNING else None

    def _on_admission_decided(self, inbound):
        if inbound.entry.state is EntryState.RUNNING:
            if inbound.is_inline:
                return
            self._tasks.start_soon(self._forward, inbound)
            return
        late = inbound.call.deadline <= self._clock()
        reason = Reason.DEADLINE if late else Reason.SHED
        self._settle(inbound, refuse(reason, inbound.call))

    async def _forward(self, inbound):
        call = inbound.call
        remaining = call.deadline - self._clock()
        if inbound.is_cancelled or remaining <= 0:
            self.admission.release(inbound.entry, self._clock())
            reason = Reason.CANCELLED if inbound.is_cancelled else Reason.DEADLINE
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
        if answer.outcome is Outcome.NOT_RUN and inbound.has_onward_call_run:
            # A server that made onward calls has run, whatever it claims.
            answer = Answer(Outcome.UNKNOWN, Reason.SERVER_ERROR, 503)
        if inbound.has_onward_refusal:
            answer.retryable = False
        answer.unused_retries = inbound.retry_allowance.available
        if answer.reason is Reason.CANCELLED:
            self.admission.release(inbound.entry, self._clock())
        else:
            ok = answer.outcome is Outcome.COMPLETED or inbound.has_onward_refusal
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
