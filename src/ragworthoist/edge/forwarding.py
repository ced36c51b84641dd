"""The last hop: admission of calls and forwarding to the server beside the node.

Only this node sends calls to the server, so a refusal before forwarding proves that
the call has not run and will not run.
"""

import asyncio
from dataclasses import dataclass
from functools import partial

from ragworthoist.core.admission import Admission, Entry, EntryState
from ragworthoist.core.advertised_rate import AdvertisedRate
from ragworthoist.core.arrivals import ArrivalMeter
from ragworthoist.core.entities import Answer, Outcome, Reason, refuse
from ragworthoist.core.levels import DownstreamLevels
from ragworthoist.core.occupancy import Occupancy
from ragworthoist.core.policy import ServicePolicy
from ragworthoist.core.rate_levels import RateLevels
from ragworthoist.core.server_lifecycle import ServerState
from ragworthoist.edge.server_notices import ServerNotices
from ragworthoist.events import Event, is_logged, log_event, write_event
from ragworthoist.exceptions import (
    ConnectFailedError,
    ConnectionLostError,
    GarbledResponseError,
)
from ragworthoist.platform.headers import (
    filter_answer_headers,
    make_forwarding_headers,
    read_response_metadata,
)

# A slot is room for one call at the server. This number is assumed until the server
# reports its own; it is low enough for the smallest server.
DEFAULT_SLOTS = 16
# The rest of the reported slots stays free, because some servers slow down when they
# are nearly full.
USABLE_SLOT_SHARE = 0.94
# While an arriving call would wait longer than this share of its latency target, calls
# are shed, because another endpoint is likely to serve them sooner.
MAX_WAIT_SHARE_OF_LATENCY_TARGET = 0.25
# Added to the time limit, so that an answer sent at the limit can still arrive.
ANSWER_GRACE_SECONDS = 0.08
# Failures to connect, without a response in between, after which the server is marked
# unverified.
CONNECT_FAILURES_UNTIL_UNVERIFIED = 3
SERVICE_TIME_DECAY_PER_TICK = 0.98
STATUSES_READ_AS_NOT_RUN = frozenset({408, 421, 429, 503})

_ADMISSION_POLICY = ServicePolicy(
    limit="fixed",
    fixed_limit=DEFAULT_SLOTS,
    order="draw_when_late",
    shed="draw",
    queue_seconds=0.05,
    retry_budget=0.0,
    carry_levels=True,
    rank_order=True,
    # Calls of servers have ranks of their own, which say nothing about the requests
    # that they belong to.
    levels_follow_ranks=False,
    max_wait_share=MAX_WAIT_SHARE_OF_LATENCY_TARGET,
)


@dataclass(slots=True, eq=False)
class PendingCall:
    """One call that this node has accepted and not yet finished.

    `reply` is called with the `Answer`. `entry` is the call's `Entry` in admission,
    `exchange` its HTTP exchange with the server, and `metadata` the
    `ResponseMetadata` of the server's response. Each of the three is None until it
    exists. `process_number` tells to which server process the call was forwarded.
    """

    call: object
    reply: object
    entry: object = None
    exchange: object = None
    metadata: object = None
    process_number: int = 0


class Forwarder:
    """Admits calls and forwards them to the backend server.

    Parameters
    ----------
    lifecycle : ServerLifecycle
        State of the server, as reported to the node.
    client : HttpClient
        Connections to the server.
    clock : callable
        Returns the time in seconds.
    """

    def __init__(self, lifecycle, client, clock):
        self.lifecycle = lifecycle
        self.advertised_rate = AdvertisedRate()
        self.admission = Admission(_ADMISSION_POLICY, self.advertised_rate)
        self.rate_levels = RateLevels()
        self.downstream = DownstreamLevels()
        self.occupancy = Occupancy(DEFAULT_SLOTS)
        self.arrivals = ArrivalMeter()
        self.notices = ServerNotices(lifecycle, self.advertised_rate, self.arrivals)
        self.is_leaving = False
        self.planned_stop = None
        self.in_progress = 0
        self._client = client
        self._clock = clock
        self._connect_failures = 0
        self._running_calls = {}
        self._usable_slots = DEFAULT_SLOTS

    async def serve(self, call):
        """Process `call`, dispatched by this node itself, and return its `Answer`."""
        done = asyncio.get_running_loop().create_future()

        def reply(answer):
            if not done.done():
                done.set_result(answer)

        pending = self.submit(call, reply)
        try:
            return await done
        except asyncio.CancelledError:
            if pending is not None:
                self.cancel(pending)
            if done.done() and not done.cancelled():
                body = done.result().body
                if not isinstance(body, bytes):
                    body.discard()
            raise

    def submit(self, call, reply):
        """Accept or refuse `call`.

        Parameters
        ----------
        call : Call
            The call to forward.
        reply : callable
            Called once with the `Answer`, unless the call is cancelled.

        Returns
        -------
        PendingCall or None
            A handle for `cancel`, None if the call was refused.
        """
        now = self._clock()
        reason = self._find_refusal_reason(call, now)
        if reason is not None:
            self._refuse(call, reply, reason)
            return None
        if self.planned_stop is not None:
            call.deadline = self.planned_stop.limit_deadline(call.deadline)
        self.rate_levels.record(call)
        pending = PendingCall(call, reply)
        self.in_progress += 1
        pending.entry = Entry(
            call, now, lambda entry: self._on_admission_decided(pending)
        )
        self.admission.offer(pending.entry, now)
        return None if pending.entry.state is EntryState.SHED else pending

    def find_parent(self, attempt_id):
        """Return the running call for which the server makes the call `attempt_id`.

        Some servers append a dot and a suffix to the id of the request that they
        are serving. This is not guaranteed, so None does not mean that the call
        has no parent.
        """
        parent_id, dot, _ = attempt_id.rpartition(b".")
        return self._running_calls.get(parent_id) if dot else None

    def cancel(self, pending):
        """Cancel `pending`, whose caller has disconnected."""
        if pending.entry.state is EntryState.WAITING:
            self.admission.withdraw(pending.entry)
            self.in_progress -= 1
        elif pending.entry.state is EntryState.RUNNING and pending.exchange is not None:
            pending.exchange.cancel()
            self._record_given_up(pending)
            self._finish(pending, None)

    def refuse_waiting_call(self, pending):
        """Refuse `pending` as shed if it has not been forwarded; return whether so."""
        if pending.entry.state is not EntryState.WAITING:
            return False
        self.admission.withdraw(pending.entry)
        self.in_progress -= 1
        self._refuse(pending.call, pending.reply, Reason.SHED)
        return True

    def apply_slots(self, slots):
        """Set the limit from the server's number of slots; 0 means unknown."""
        self._usable_slots = (
            max(1, int(slots * USABLE_SLOT_SHARE)) if slots else DEFAULT_SLOTS
        )
        self.occupancy.slots = slots or DEFAULT_SLOTS
        self._update_limit(self._clock())

    def _update_limit(self, now):
        limit = float(self.occupancy.limit(self._usable_slots, now))
        if limit != self.admission.limiter.limit:
            self.admission.limiter.limit = limit
            self.admission.start_waiting(now)

    def _record_given_up(self, pending):
        if pending.exchange.is_sent:
            now = self._clock()
            self.occupancy.record_given_up(pending.entry.started, pending.call.deadline)
            self._update_limit(now)

    @property
    def load(self):
        """Share of the limit in use; above 1 while calls wait."""
        admission = self.admission
        return (admission.in_flight + len(admission)) / admission.limiter.limit

    def _fold_levels(self):
        """Return the levels to send with answers, as (kind, level) pairs."""
        lowered = self.admission.levels.lowered()
        for kind, level in self.rate_levels.lowered().items():
            lowered[kind] = min(level, lowered.get(kind, level))
        return list(self.downstream.fold(lowered, self._clock()).items())

    def tick(self, now):
        """Refuse waiting calls that can no longer be forwarded or served in time."""
        self.notices.sync_process()
        self._update_limit(now)
        if not self.lifecycle.admits(now):
            self._refuse_waiting(now)
        if not self.admission.in_flight:
            # Without calls the service time is not measured. It decays, so that an
            # earlier slow period does not keep calls from being admitted.
            self.admission.service_time *= SERVICE_TIME_DECAY_PER_TICK
        self.rate_levels.tick(now, self.advertised_rate.rate)
        self.admission.tick(now)

    def _find_refusal_reason(self, call, now):
        if self.is_leaving:
            return Reason.LEAVING
        if call.notice is not None and not self.notices.apply_notice(call.notice, now):
            return Reason.LEAVING
        if not self.lifecycle.admits(now):
            is_unknown = self.lifecycle.state is ServerState.UNKNOWN
            return Reason.SERVER_UNVERIFIED if is_unknown else Reason.LEAVING
        return None

    def _refuse(self, call, reply, reason):
        answer = refuse(reason, call)
        answer.load = self.load
        answer.levels = self._fold_levels()
        answer.notice = self.notices.make_notice()
        log_event(
            Event.CALL_REFUSED,
            request=call.request_id.decode("latin1"),
            reason=reason.value,
            server=self.lifecycle.instance,
            state=self.lifecycle.state.value,
            in_flight=self.admission.in_flight,
            waiting=len(self.admission),
            limit=self.admission.limiter.limit,
            left_ms=round((call.deadline - self._clock()) * 1000, 1),
            expected_ms=round(self.admission.estimate_seconds(call.kind) * 1000, 1),
            rate=self.advertised_rate.rate,
            requests_per_second=round(self.arrivals.rate(self._clock()), 2),
        )
        reply(answer)

    def _refuse_waiting(self, now):
        for entry in self.admission.list_waiting():
            self.admission.withdraw(entry)
            entry.notify(entry)

    def _on_admission_decided(self, pending):
        if pending.entry.state is EntryState.RUNNING:
            self._forward(pending)
            return
        self.in_progress -= 1
        if pending.call.deadline <= self._clock():
            reason = Reason.DEADLINE
        else:
            reason = Reason.LIMIT if pending.entry.is_rate_limited else Reason.SHED
        self._refuse(pending.call, pending.reply, reason)

    def _forward(self, pending):
        call = pending.call
        now = self._clock()
        remaining = call.deadline - now
        reason = None
        if remaining <= 0:
            reason = Reason.DEADLINE
        elif not self.lifecycle.admits(now):
            reason = Reason.LEAVING
        if reason is not None:
            # Freeing the slot may start the next call, so it is left to the next
            # iteration of the event loop.
            loop = asyncio.get_running_loop()
            loop.call_soon(self._abandon, pending, reason)
            return
        self._running_calls[call.request_id] = call
        self.arrivals.record(now)
        pending.process_number = self.lifecycle.process_number
        pending.exchange = self._client.start_request(
            partial(self._on_exchange_done, pending),
            self._make_head(call, remaining),
            call.body,
            partial(self._accept_response, pending),
            is_head_request=call.method == "HEAD",
            timeout=remaining + ANSWER_GRACE_SECONDS,
        )

    def _abandon(self, pending, reason):
        self.in_progress -= 1
        self.admission.release(pending.entry, self._clock())
        self._refuse(pending.call, pending.reply, reason)

    def _accept_response(self, pending, response):
        metadata = pending.metadata = read_response_metadata(response)
        if metadata.attempt_id:
            is_accepted = metadata.attempt_id == pending.call.request_id
            if is_accepted:
                self.notices.record_response(
                    metadata,
                    pending.process_number,
                    pending.entry.started,
                    self._clock(),
                )
            return is_accepted
        # A response without an attempt id is accepted only if it is an error. A second
        # copy of it could not be told from the response to the next call.
        pending.exchange.prevent_reuse()
        return response.status >= 400

    def _on_exchange_done(self, pending, response, error):
        try:
            answer = self._make_answer(pending, response, error)
        except Exception as unexpected:
            log_event(Event.TASK_FAILED, task="forward", error=repr(unexpected))
            answer = Answer(Outcome.UNKNOWN, Reason.SERVER_ERROR)
        self._finish(pending, answer)

    def _make_answer(self, pending, response, error):
        """Return the `Answer` for the response or error that ended an exchange."""
        if error is None:
            self._connect_failures = 0
            return self._classify_response(
                response, pending.metadata, pending.call.request_id
            )
        if isinstance(error, ConnectFailedError):
            self._record_connect_failure()
            return Answer(Outcome.NOT_RUN, Reason.SERVER_UNREACHABLE)
        if isinstance(error, TimeoutError):
            self._client.close_stale_connections()
            return Answer(Outcome.UNKNOWN, Reason.DEADLINE)
        if isinstance(error, ConnectionLostError):
            return Answer(Outcome.UNKNOWN, Reason.SERVER_LOST)
        if isinstance(error, GarbledResponseError):
            return Answer(Outcome.UNKNOWN, Reason.SERVER_GARBLED)
        raise error

    def _classify_response(self, response, metadata, attempt_id):
        status = response.status
        if metadata.is_misdirected:
            self.lifecycle.mark_unverified(self._clock())
        if metadata.not_run or metadata.is_misdirected:
            answer = Answer(Outcome.NOT_RUN, Reason.SERVER_REFUSED, status)
        elif status in STATUSES_READ_AS_NOT_RUN:
            # Callers take these statuses as a guarantee that the call has not run.
            # The server has not given it here, so the status is not passed on.
            answer = Answer(Outcome.UNKNOWN, Reason.SERVER_ERROR)
        elif status < 300 and (
            not metadata.is_sealed
            or metadata.is_encoded
            or metadata.attempt_id != attempt_id
        ):
            answer = Answer(Outcome.UNKNOWN, Reason.SERVER_GARBLED)
        else:
            headers = filter_answer_headers(response.headers)
            return Answer(
                Outcome.COMPLETED, Reason.ANSWERED, status, headers, response.body
            )
        if not isinstance(response.body, bytes):
            response.body.discard()
        return answer

    def _make_head(self, call, remaining):
        parts = [
            b"%s %s HTTP/1.1\r\n" % (call.method.encode(), call.target.encode("latin1"))
        ]
        headers = call.headers + make_forwarding_headers(
            remaining, self.lifecycle.instance
        )
        for name, value in headers:
            parts.append(b"%s: %s\r\n" % (name, value))
        if not isinstance(call.body, bytes):
            parts.append(b"transfer-encoding: chunked\r\n\r\n")
        elif call.body or call.method in ("POST", "PUT", "PATCH"):
            parts.append(b"content-length: %d\r\n\r\n" % len(call.body))
        else:
            parts.append(b"\r\n")
        return b"".join(parts)

    def _finish(self, pending, answer):
        now = self._clock()
        self._running_calls.pop(pending.call.request_id, None)
        self.in_progress -= 1
        if answer is None or answer.outcome is Outcome.NOT_RUN:
            self.admission.release(pending.entry, now)
        else:
            is_success = answer.outcome is Outcome.COMPLETED and answer.status < 500
            if is_success:
                self.occupancy.record_end(now - pending.entry.started)
            self.admission.finish(pending.entry, now, is_success)
        if answer is None:
            return
        if pending.call.has_failed_onward and answer.status >= 500:
            # The hop that made the failed call has retried it as far as the budget
            # allows. A retry here would repeat the whole work above it as well.
            answer.retryable = False
        answer.load = self.load
        answer.levels = self._fold_levels()
        answer.notice = self.notices.make_notice()
        answer.unused_retries = pending.call.retry_allowance
        self._log(pending, answer, now)
        pending.reply(answer)

    def _log(self, pending, answer, now):
        failed = answer.outcome is not Outcome.COMPLETED or answer.status >= 500
        event = Event.CALL_FAILED if failed else Event.CALL_HANDED
        if not is_logged(event):
            return
        write_event(
            event,
            request=pending.call.request_id.decode("latin1"),
            server=self.lifecycle.instance,
            outcome=answer.outcome.label,
            reason=answer.reason.value,
            status=answer.status,
            waited_ms=round((pending.entry.started - pending.entry.arrived) * 1000, 1),
            ran_ms=round((now - pending.entry.started) * 1000, 1),
            load=round(answer.load, 2),
        )

    def _record_connect_failure(self):
        self._connect_failures += 1
        if self._connect_failures >= CONNECT_FAILURES_UNTIL_UNVERIFIED:
            self._connect_failures = 0
            self.lifecycle.mark_unverified(self._clock())
