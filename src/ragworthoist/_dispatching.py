"""Dispatch of calls to the endpoints of a service, with bounded retries."""

import os

import anyio

from ragworthoist.core.entities import Answer, Outcome, Reason, refuse
from ragworthoist.core.levels import EndpointLevels
from ragworthoist.core.retries import RetryBudget
from ragworthoist.core.tickets import Ticket, open_ticket, seal_ticket
from ragworthoist.exceptions import MalformedTicketError

NONCE_BYTES = 12
_ENDPOINT_FAILURES = frozenset(
    {
        Reason.PEER_UNREACHABLE,
        Reason.PEER_LOST,
        Reason.SERVER_UNREACHABLE,
        Reason.SERVER_LOST,
    }
)


class Dispatcher:
    """Chooses endpoints for calls, and retries within the allowance and the budget.

    Parameters
    ----------
    node : object
        Provides `instance`, `key`, `clock`, `wall_clock`, `membership`, `router`,
        `peers`, `forwarder` and `policy`.
    """

    def __init__(self, node):
        self._node = node
        self.endpoint_levels = EndpointLevels()
        self._budgets = {}

    async def dispatch(self, call, retry_allowance, first_endpoint=None):
        """Make attempts at `call` and return its `Answer`.

        Parameters
        ----------
        call : Call
            The call.
        retry_allowance : RetryAllowance
            Retries that may still be made for the customer request.
        first_endpoint : Member, optional
            Endpoint for the first attempt; chosen here by default.
        """
        if call.ticket:
            return await self._dispatch_ticketed(call, retry_allowance)
        node = self._node
        budget = self._get_budget(call.service)
        excluded = set()
        answer = None
        may_have_run = False
        while True:
            now = node.clock()
            if now >= call.deadline:
                break
            endpoint, reason = first_endpoint, None
            if endpoint is None:
                endpoint, reason = self.choose_endpoint(call, excluded, now)
            first_endpoint = None
            if endpoint is None:
                answer = answer or refuse(reason, call, retryable=False)
                break
            answer = await self._attempt(endpoint, call, retry_allowance)
            if answer.outcome is Outcome.COMPLETED:
                budget.record_success()
                return answer
            excluded.add(endpoint.instance)
            may_have_run = may_have_run or answer.outcome is Outcome.UNKNOWN
            if not self._may_retry(call, answer, retry_allowance, budget):
                break
        answer = answer or refuse(Reason.DEADLINE, call)
        if may_have_run:
            # The last attempt may not have run, but an earlier one may have.
            answer.outcome = Outcome.UNKNOWN
        return answer

    def choose_endpoint(self, call, excluded, now):
        """Return (endpoint, None), or (None, reason) if no endpoint accepts `call`.

        `excluded` are instances that were tried already. The endpoint of this node is
        preferred unless it is busy.
        """
        node = self._node
        membership = node.membership
        candidates = node.router.candidates(
            call.service, membership.by_service, membership.version, excluded, now
        )
        if not candidates:
            return None, Reason.NO_ENDPOINT
        if node.policy.service(call.service).carry_levels:
            candidates = self._filter_by_level(candidates, call, now)
            if not candidates:
                return None, Reason.LEVEL
        own = node.own_endpoint(call.service)
        if own in candidates and not node.forwarder.admission.is_busy:
            return own, None
        return node.router.pick(candidates, now), None

    def issue_ticket(self, call, now):
        """Return (ticket, None), or (None, reason) if no endpoint accepts `call`.

        The ticket is valid once, at the endpoint that was chosen.
        """
        endpoint, reason = self.choose_endpoint(call, (), now)
        if endpoint is None:
            return None, reason
        expires = self._node.wall_clock() + self._node.policy.ticket_lifetime
        ticket = Ticket(endpoint.instance, expires, os.urandom(NONCE_BYTES))
        return seal_ticket(ticket, self._node.key), None

    def _filter_by_level(self, candidates, call, now):
        levels = [
            (self.endpoint_levels.level(member.instance, call.kind, now), member)
            for member in candidates
        ]
        best = max(level for level, _ in levels)
        self._node.forwarder.downstream.record(call.kind, call.service, best, now)
        return [member for level, member in levels if call.draw < level]

    async def _dispatch_ticketed(self, call, retry_allowance):
        node = self._node
        try:
            ticket = open_ticket(call.ticket, node.key)
        except MalformedTicketError:
            return refuse(Reason.TICKET_MALFORMED, call, retryable=False)
        holder = node.membership.members.get(ticket.instance)
        while holder is not None and node.clock() < call.deadline:
            answer = await self._attempt(holder, call, retry_allowance)
            if answer.reason not in _ENDPOINT_FAILURES or not retry_allowance.spend():
                return _downgrade_unproven_refusal(answer)
            # The retry goes to the same endpoint, which recognises the ticket and does
            # not run the request twice.
            await anyio.sleep(0)
        return Answer(Outcome.UNKNOWN, Reason.TICKET_HOLDER_GONE)

    async def _attempt(self, endpoint, call, retry_allowance):
        node = self._node
        share = retry_allowance.lend()
        call.retry_allowance = share
        unused_retries = 0
        node.router.record_start(endpoint.instance)
        answer = Answer(Outcome.UNKNOWN, Reason.CANCELLED)
        try:
            if endpoint.instance == node.instance:
                answer = await node.forwarder.serve(call)
            else:
                answer = await node.peers.call(endpoint, call)
            unused_retries = answer.unused_retries
        finally:
            retry_allowance.reclaim(share, unused_retries)
            self._record_answer(endpoint, answer)
        return answer

    def _record_answer(self, endpoint, answer):
        now = self._node.clock()
        self._node.router.record_end(
            endpoint.instance,
            now,
            failed=answer.reason in _ENDPOINT_FAILURES,
            shed=answer.reason is Reason.SHED,
            leaving=answer.reason is Reason.LEAVING,
        )
        self.endpoint_levels.update(endpoint.instance, dict(answer.levels), now)

    def _may_retry(self, call, answer, retry_allowance, budget):
        if not answer.retryable:
            return False
        if answer.outcome is Outcome.UNKNOWN and not call.idempotent:
            return False
        if self._node.clock() >= call.deadline:
            return False
        if retry_allowance.available <= 0 or not budget.withdraw():
            return False
        return retry_allowance.spend()

    def _get_budget(self, service):
        ratio = self._node.policy.service(service).retry_budget
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(ratio)
        budget.ratio = ratio
        return budget


def _downgrade_unproven_refusal(answer):
    """Return `answer`, with the outcome unknown unless not-run is certain.

    A ticketed request may have reached the endpoint of its ticket through another
    entrance. Only that endpoint can be certain that it did not run, because it then
    refuses the ticket from then on.
    """
    if answer.outcome is Outcome.NOT_RUN and answer.reason in _UNPROVEN_NOT_RUN_REASONS:
        answer.outcome = Outcome.UNKNOWN
    return answer


_UNPROVEN_NOT_RUN_REASONS = frozenset(
    {Reason.PEER_UNREACHABLE, Reason.DEADLINE, Reason.CANCELLED}
)
