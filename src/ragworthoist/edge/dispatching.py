"""Dispatch of calls to endpoints of their service, with retries."""

from ragworthoist.core.entities import Answer, Outcome, Reason, refuse
from ragworthoist.core.levels import EndpointLevels
from ragworthoist.core.notices import NoticeTable
from ragworthoist.events import Event, log_event

# A call that was not sent to a server is retried only while it has had fewer retries
# than this, counted over all reasons. Each refusal by a node costs a hop, and more of
# them mean that the whole service lacks capacity.
MAX_RETRIES_AFTER_REFUSAL = 3
MIN_SERVER_ERROR_STATUS = 500

# Reasons for which a call was never sent to a backend server. A retry after one of
# them uses neither the retry allowance nor the retry budget.
_NOT_FORWARDED_REASONS = frozenset(
    {
        Reason.SHED,
        Reason.LIMIT,
        Reason.LEAVING,
        Reason.SERVER_UNVERIFIED,
        Reason.SERVER_UNREACHABLE,
        Reason.PEER_UNREACHABLE,
        Reason.NO_CONFIGURATION,
    }
)
# Reasons for which a call that may have run has no usable answer. They count as
# failures of the endpoint.
_EXECUTION_FAILURES = frozenset(
    {Reason.SERVER_LOST, Reason.SERVER_GARBLED, Reason.SERVER_ERROR, Reason.PEER_LOST}
)


class AttemptDispatcher:
    """Chooses endpoints and retries calls within the bounds of the route and fleet.

    Parameters
    ----------
    node : EdgeNode
        Supplies `instance`, `clock`, `membership`, `placement`, `peers`,
        `forwarder` and `budget`.
    """

    def __init__(self, node):
        self._node = node
        self._endpoint_levels = EndpointLevels()
        self._notices = NoticeTable()

    async def dispatch(self, call, parent=None):
        """Return the `Answer` to `call`.

        If an endpoint may have run the call and none completes it, the outcome is
        `UNKNOWN`, even if later endpoints refused it. A call that is not idempotent
        is retried only if it is certain that it has not run.

        Parameters
        ----------
        call : Call
            Its retry allowance is reduced by each retry, except for those after a
            call that was never sent to a server.
        parent : Call, optional
            The call for which the local server makes `call`. Without it, `call` is
            a client's, and is refused if no endpoint accepts its draw.

        Returns
        -------
        Answer
            A completed answer if there is one, otherwise the last one. It may be
            an error response of the server, such as status 500.
        """
        answers = []
        final = None
        try:
            final = await self._make_attempts(call, parent, answers)
            return final
        finally:
            # Only one answer is delivered; the sources of the others are stopped.
            for answer in answers:
                if answer is not final:
                    _discard_body(answer)

    async def _make_attempts(self, call, parent, answers):
        """Return the final answer; all answers of endpoints are added to `answers`."""
        node = self._node
        excluded = set()
        retries = 0
        error_answer = None
        may_have_run = False
        answer = None
        while True:
            now = node.clock()
            if now >= call.deadline:
                answer = answer or refuse(Reason.DEADLINE, call)
                break
            must_accept = parent is None or retries >= MAX_RETRIES_AFTER_REFUSAL
            endpoint, refusal = self._choose_endpoint(
                call, parent, excluded, must_accept, now
            )
            if endpoint is None:
                answer = answer or refusal
                break
            answer = await self._call_endpoint(endpoint, call)
            answers.append(answer)
            excluded.add(endpoint.instance)
            if answer.outcome is Outcome.COMPLETED:
                if answer.status < MIN_SERVER_ERROR_STATUS:
                    return answer
                error_answer = answer
            may_have_run = may_have_run or answer.outcome is not Outcome.NOT_RUN
            if not self._may_retry(call, answer, retries):
                break
            retries += 1
            self._log_retry(call, endpoint, answer)
        if error_answer is not None:
            return error_answer
        if may_have_run and answer.outcome is Outcome.NOT_RUN:
            answer = Answer(Outcome.UNKNOWN, answer.reason, endpoint=answer.endpoint)
        return answer

    def _choose_endpoint(self, call, parent, excluded, must_accept, now):
        """Return (endpoint, None), or (None, answer) if no endpoint accepts `call`.

        Unless `must_accept`, `call` is offered even if its draw is above all levels.
        """
        node = self._node
        membership = node.membership
        candidates = node.placement.candidates(
            call.service, membership.by_service, membership.version, excluded, now
        )
        if not candidates:
            return None, refuse(Reason.NO_ENDPOINT, call)
        if self._endpoint_levels:
            accepting = self._filter_by_level(call, parent, candidates, now)
            if not accepting and must_accept:
                return None, self._refuse_by_level(call, candidates, now)
            # Work has already been done for the request of a server's call, so it is
            # offered to some endpoints in any case.
            candidates = accepting or candidates
        chosen = node.placement.choose(candidates, call.kind, call.latency_target, now)
        return chosen, None

    def _refuse_by_level(self, call, candidates, now):
        """Return the refusal of a call whose draw is above all levels.

        If a server of the `candidates` advertises a rate, the refusal names it.
        """
        for member in candidates:
            notice = self._notices.get(member.address, now)
            if notice is not None and notice.rate is not None:
                answer = refuse(Reason.LIMIT, call)
                answer.endpoint = member.instance
                answer.notice = notice
                return answer
        return refuse(Reason.LEVEL, call)

    def _filter_by_level(self, call, parent, candidates, now):
        """Return the candidates whose level is above the draw of `call`.

        The highest level is kept for the answer to `parent`.
        """
        levels = [
            self._endpoint_levels.level(member.instance, call.kind, now)
            for member in candidates
        ]
        if parent is not None:
            self._node.forwarder.downstream.record(
                parent.kind, call.service, max(levels), now
            )
        return [
            member
            for member, level in zip(candidates, levels, strict=True)
            if call.draw < level
        ]

    async def _call_endpoint(self, endpoint, call):
        node = self._node
        node.placement.record_start(endpoint.instance)
        started = node.clock()
        call.notice = self._notices.get(endpoint.address, started)
        answer = None
        try:
            if endpoint.instance == node.instance:
                answer = await node.forwarder.serve(call)
            else:
                answer = await node.peers.call(endpoint, call)
            answer.endpoint = endpoint.instance
        finally:
            self._record_result(endpoint, call, answer, started)
        return answer

    def _record_result(self, endpoint, call, answer, started):
        node = self._node
        now = node.clock()
        if answer is None:
            node.placement.record_end(endpoint.instance, now)
            return
        node.placement.record_end(
            endpoint.instance,
            now,
            failed=answer.reason is Reason.SERVER_UNREACHABLE,
            shed=answer.reason in (Reason.SHED, Reason.SERVER_REFUSED),
            leaving=answer.reason in (Reason.LEAVING, Reason.SERVER_UNVERIFIED),
        )
        if answer.reason in (Reason.PEER_UNREACHABLE, Reason.PEER_LOST):
            node.placement.eject_unreachable(endpoint.instance, now)
        else:
            self._endpoint_levels.update(endpoint.instance, dict(answer.levels), now)
            # A node that has just started may refuse a call, or pass on an error that
            # names no attempt, before it knows what its server has said.
            is_success = answer.outcome is Outcome.COMPLETED and answer.status < 400
            if answer.notice is not None or is_success:
                self._notices.update(endpoint.address, answer.notice, now)
        if answer.outcome is Outcome.COMPLETED or answer.reason in _EXECUTION_FAILURES:
            failed = (
                answer.reason in _EXECUTION_FAILURES
                or answer.status >= MIN_SERVER_ERROR_STATUS
            )
            if not failed and isinstance(answer.body, bytes):
                node.placement.record_size(call.kind, len(answer.body))
            node.placement.record_answer(
                endpoint.instance, call.kind, now - started, answer.load, failed, now
            )
        elif answer.reason is Reason.SERVER_REFUSED:
            node.placement.record_answer(
                endpoint.instance, call.kind, 0.0, answer.load, True, now
            )
        elif answer.reason in (Reason.SHED, Reason.LIMIT):
            node.placement.record_load(endpoint.instance, answer.load, now)

    def _may_retry(self, call, answer, retries):
        node = self._node
        if answer.outcome is not Outcome.NOT_RUN and not (
            call.idempotent and answer.retryable
        ):
            return False
        now = node.clock()
        if now >= call.deadline:
            return False
        if not isinstance(call.body, bytes) and not call.body.rewind():
            return False
        if (
            answer.outcome is Outcome.NOT_RUN
            and answer.reason in _NOT_FORWARDED_REASONS
        ):
            # An endpoint that keeps to its server's rate says nothing about the others,
            # and those that have no room either are left out by their levels.
            return answer.reason is Reason.LIMIT or retries < MAX_RETRIES_AFTER_REFUSAL
        if answer.reason is Reason.DEADLINE or call.retry_allowance <= 0:
            return False
        fleet_size = len(node.membership.peers()) + 1
        if not node.budget.withdraw(call.service, now, fleet_size):
            return False
        call.retry_allowance -= 1
        call.is_retry = True
        return True

    def _log_retry(self, call, endpoint, answer):
        log_event(
            Event.ATTEMPT_REPEATED,
            request=call.request_id.decode("latin1"),
            endpoint=endpoint.instance.hex(),
            outcome=answer.outcome.label,
            reason=answer.reason.value,
            load=round(answer.load, 2),
            left=call.retry_allowance,
        )


def _discard_body(answer):
    if not isinstance(answer.body, bytes):
        answer.body.discard()
