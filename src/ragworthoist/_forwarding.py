"""Admission of calls and forwarding to the backend server beside this node.

A call is forwarded at once, waits, or is refused. While the server runs it, the node
keeps the context of its customer request, so that onward calls of the server inherit
it.
"""

import hashlib
import os
from dataclasses import dataclass, field
from functools import partial

import anyio

from ragworthoist.core.admission import Admission, Entry, EntryState
from ragworthoist.core.entities import Answer, Outcome, Reason, refuse
from ragworthoist.core.levels import DownstreamLevels
from ragworthoist.core.memory import MemoryBudget, measure_headers
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
    """A call that waits for, or runs at, the backend server of this node.

    Attributes
    ----------
    call : Call
        The call.
    reply : callable
        Called once with the `Answer`.
    retry_allowance : RetryAllowance
        Retries that this hop and its onward calls may still make.
    token : str
        Identifies the call in onward calls of the server; empty until forwarded.
    entry : Entry
        The call in the admission queue.
    record : TicketRecord or None
        What is stored for the ticket of the call.
    scope : anyio.CancelScope or None
        Cancels the forwarded call.
    is_cancelled : bool
        Whether the caller cancelled the call.
    is_inline : bool
        Whether the task of the caller forwards the call.
    onward_answers : dict
        Latest answers to the onward calls that the server made, by fingerprint.
    active_onward_calls : int
        Number of onward calls in progress.
    onward_started : float
        Time at which the number of active onward calls last rose above zero, in seconds
        of the node's clock.
    onward_seconds : float
        Total time with at least one active onward call.
    has_onward_call_run : bool
        Whether an onward call was answered with completed or unknown, so that it ran
        or may have run.
    has_onward_refusal : bool
        Whether an onward call was answered with not-run, or with unknown and may not
        be retried.
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
        """Record that an onward call starts at `now`."""
        if not self.active_onward_calls:
            self.onward_started = now
        self.active_onward_calls += 1

    def record_onward_answer(self, answer):
        """Record the answer to an onward call."""
        if answer.outcome is Outcome.NOT_RUN:
            self.has_onward_refusal = True
            return
        self.has_onward_call_run = True
        if answer.outcome is Outcome.UNKNOWN and not answer.retryable:
            self.has_onward_refusal = True

    def end_onward(self, now):
        """Record that an onward call ended at `now`."""
        self.active_onward_calls -= 1
        if not self.active_onward_calls:
            self.onward_seconds += now - self.onward_started


class Forwarder:
    """Admits calls and forwards them to the backend server beside this node.

    It serves the edge with tickets; the other edge has its own in `edge.forwarding`.
    It also keeps the calls in progress, so that onward calls of the server are
    recognised by their token, stores the answers of requests with tickets for their
    retries, and computes the levels to send with answers.

    Parameters
    ----------
    backend : BackendClient
        The client for the server.
    instance : bytes
        Id of this node process.
    key : bytes
        The fleet's key, which authenticates tickets.
    clock, wall_clock : callable
        Monotonic time in seconds; time in seconds that is comparable between nodes
        and does not go backwards within one process.
    policy : ServicePolicy
        The admission policy.
    tasks : TaskPool
        Runs the forwarded calls.
    memory : MemoryBudget, optional
        Counts the answers that are kept for retries.
    """

    def __init__(
        self, backend, instance, key, clock, wall_clock, policy, tasks, memory=None
    ):
        self._memory = memory or MemoryBudget()
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
        """Number of calls that wait for, or run at, the server."""
        return self._in_progress

    async def serve(self, call):
        """Accept `call` from this node itself and return its `Answer`."""
        done = anyio.Event()
        answers = []

        def reply(answer):
            answers.append(answer)
            done.set()

        handle = self.submit(call, reply, is_inline=True)
        if handle is not None and handle.is_inline:
            # Forwarding in the task of the caller saves the cost of another task.
            await self._forward(handle)
        elif not answers:
            try:
                await done.wait()
            finally:
                if not answers and handle is not None:
                    self.cancel(handle)
        return answers[0]

    def submit(self, call, reply, is_inline=False):
        """Accept or refuse `call`; `reply` is called once with its `Answer`.

        With `is_inline`, a call that does not have to wait is not forwarded here; the
        caller has to forward it if `is_inline` of the returned handle is set.

        Returns
        -------
        InboundCall or None
            A handle for `cancel`, None if the call was answered or is a retry of a
            ticketed request.
        """
        if call.ticket:
            return self._submit_ticketed(call, reply)
        if self.is_leaving:
            reply(refuse(Reason.LEAVING, call))
            return None
        return self._admit(call, reply, None, is_inline)

    def cancel(self, inbound):
        """Cancel `inbound`, whose caller no longer waits for the answer."""
        inbound.is_cancelled = True
        if inbound.entry.state is EntryState.WAITING:
            self.admission.withdraw(inbound.entry)
            self._settle(inbound, refuse(Reason.CANCELLED, inbound.call))
        elif inbound.record is None and inbound.scope is not None:
            # A ticketed request keeps running, so that retries get its outcome.
            inbound.scope.cancel()

    def refuse_waiting_call(self, inbound):
        """Refuse `inbound` as shed if it has not been forwarded; return whether so."""
        if inbound.entry.state is not EntryState.WAITING:
            return False
        self.admission.withdraw(inbound.entry)
        self._settle(inbound, refuse(Reason.SHED, inbound.call))
        return True

    def find(self, token):
        """Return the inbound call that was forwarded with `token`.

        It is None if the call has ended or was cancelled.
        """
        inbound = self.inbound.get(token)
        if inbound is None or inbound.is_cancelled:
            return None
        return inbound

    def tick(self, now):
        """Update admission and expire tickets; called at regular intervals."""
        self.admission.tick(now)
        self.tickets.expire(self._wall_clock())

    def fold_levels(self, now):
        """Return the levels to send with answers, as (kind, level) pairs."""
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
            # The request may have run before its record expired.
            reply(Answer(Outcome.UNKNOWN, Reason.TICKET_EXPIRED, retryable=False))
            return None
        if ticket.instance != self.tickets.instance:
            reply(Answer(Outcome.UNKNOWN, Reason.TICKET_HOLDER_GONE, retryable=False))
            return None
        if is_first:
            record.waiters = []
            return self._start_ticketed(call, reply, record)
        if record.fingerprint != fingerprint:
            reply(refuse(Reason.TICKET_REUSED, call, retryable=False))
        elif record.answer is not None:
            reply(record.answer)
        else:
            record.waiters.append(reply)
        return None

    def _start_ticketed(self, call, reply, record):
        if self.is_leaving:
            answer = refuse(Reason.LEAVING, call, retryable=False)
            self._settle_record(record, answer)
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
        is_late = inbound.call.deadline <= self._clock()
        reason = Reason.DEADLINE if is_late else Reason.SHED
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
            # The server made an onward call, so it ran, although it reports not-run.
            answer = Answer(Outcome.UNKNOWN, Reason.SERVER_ERROR, 503)
        if inbound.has_onward_refusal:
            answer.retryable = False
        answer.unused_retries = inbound.retry_allowance.available
        if answer.reason is Reason.CANCELLED:
            self.admission.release(inbound.entry, self._clock())
        else:
            is_success = (
                answer.outcome is Outcome.COMPLETED or inbound.has_onward_refusal
            )
            self.admission.finish(
                inbound.entry, self._clock(), is_success, inbound.onward_seconds
            )
        self._settle(inbound, answer)

    def _settle(self, inbound, answer):
        self._in_progress -= 1
        answer.levels = self.fold_levels(self._clock())
        record = inbound.record
        if record is not None:
            if answer.outcome is Outcome.NOT_RUN:
                answer.retryable = False
            waiters = record.waiters
            self._settle_record(record, answer)
            for waiting_reply in waiters:
                waiting_reply(record.answer)
        inbound.reply(answer)

    def _settle_record(self, record, answer):
        """Store `answer` in `record` for retries of a ticketed request.

        After not-run the ticket is void: a retry with it does not run either.
        """
        not_run = answer.outcome is Outcome.NOT_RUN
        record.state = TicketState.VOID if not_run else TicketState.DONE
        record.waiters = None
        if not_run:
            record.answer = Answer(Outcome.NOT_RUN, Reason.TICKET_VOID, retryable=False)
            return
        if len(answer.body) > MAX_KEPT_BODY_BYTES:
            record.drop_answer(answer.status)
            return
        record.answer = Answer(
            answer.outcome,
            answer.reason,
            answer.status,
            answer.headers,
            answer.body,
            retryable=False,
        )
        record.account = self._memory.open_account(
            partial(record.drop_answer, answer.status)
        )
        record.account.add(len(answer.body) + measure_headers(answer.headers))


def fingerprint_call(call, step=b""):
    """Return a digest of method, target, `step` and body, to recognise a retry.

    `step` distinguishes calls that are equal otherwise.
    """
    head = f"{call.method} {call.target}\n".encode()
    digest = hashlib.blake2b(head, digest_size=16)
    digest.update(step + b"\n")
    digest.update(call.body)
    return digest.digest()
