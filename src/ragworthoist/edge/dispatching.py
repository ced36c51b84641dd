"""Attempts to have a call run by some endpoint of its service."""

from ragworthoist.core.entities import Answer, Outcome, Reason, refuse
from ragworthoist.events import Event, log_event

# Refusals of nodes cost a hop each; more of them than this say that the whole
# service is short of room.
MAX_REFUSALS = 3
SERVER_ERROR_STATUS = 500

# Refusals that say nothing was sent to the endpoint at all.
_NOT_FORWARDED_REASONS = frozenset(
    {
        Reason.SHED,
        Reason.LEAVING,
        Reason.SERVER_UNVERIFIED,
        Reason.SERVER_UNREACHABLE,
        Reason.PEER_UNREACHABLE,
        Reason.NO_CONFIGURATION,
    }
)
_EXECUTION_FAILURES = frozenset(
    {Reason.SERVER_LOST, Reason.SERVER_GARBLED, Reason.SERVER_ERROR, Reason.PEER_LOST}
)


class AttemptDispatcher:
    """Chooses endpoints and repeats hand-overs within the route's and fleet's bounds.

    Parameters
    ----------
    node : EdgeNode
        Supplies `instance`, `clock`, `membership`, `placement`, `peers`,
        `handover` and `budget`.
    """

    def __init__(self, node):
        self._node = node

    async def dispatch(self, call, route):
        """Return the `Answer` to `call`.

        An attempt that may have run makes the outcome unknown, whatever later
        attempts say. A call that is not idempotent is repeated only after a
        proven refusal.
        """
        node = self._node
        excluded = set()
        refusals = 0
        error_answer = None
        may_have_run = False
        answer = None
        while True:
            now = node.clock()
            if now >= call.deadline:
                answer = answer or refuse(Reason.DEADLINE, call)
                break
            endpoint = self._choose_endpoint(call, excluded, now)
            if endpoint is None:
                answer = answer or refuse(Reason.NO_ENDPOINT, call)
                break
            answer = await self._attempt(endpoint, call)
            excluded.add(endpoint.instance)
            if answer.outcome is Outcome.COMPLETED:
                if answer.status < SERVER_ERROR_STATUS:
                    return answer
                error_answer = answer
            may_have_run = may_have_run or answer.outcome is not Outcome.NOT_RUN
            if not self._may_retry(call, answer, refusals):
                break
            refusals += 1
            self._log_retry(call, endpoint, answer)
        if error_answer is not None:
            return error_answer
        if may_have_run and answer.outcome is Outcome.NOT_RUN:
            answer = Answer(Outcome.UNKNOWN, answer.reason, endpoint=answer.endpoint)
        return answer

    def _choose_endpoint(self, call, excluded, now):
        node = self._node
        membership = node.membership
        candidates = node.placement.candidates(
            call.service, membership.by_service, membership.version, excluded, now
        )
        if not candidates:
            return None
        return node.placement.choose(candidates, call.kind, call.latency_target, now)

    async def _attempt(self, endpoint, call):
        node = self._node
        node.placement.record_start(endpoint.instance)
        started = node.clock()
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
        if answer.outcome is Outcome.COMPLETED or answer.reason in _EXECUTION_FAILURES:
            failed = (
                answer.reason in _EXECUTION_FAILURES
                or answer.status >= SERVER_ERROR_STATUS
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
        elif answer.reason is Reason.SHED:
            node.placement.record_load(endpoint.instance, answer.load, now)

    def _may_retry(self, call, answer, refusals):
        node = self._node
        if answer.outcome is not Outcome.NOT_RUN and not call.idempotent:
            return False
        if not isinstance(call.body, bytes) and call.body.has_been_read:
            return False
        now = node.clock()
        if now >= call.deadline:
            return False
        if (
            answer.outcome is Outcome.NOT_RUN
            and answer.reason in _NOT_FORWARDED_REASONS
        ):
            return refusals < MAX_REFUSALS
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
