"""Entrance for requests of clients and of the local backend server."""

from ragworthoist.core.entities import Call, Outcome, Reason, compute_draw, refuse
from ragworthoist.events import Event, is_logged, log_event, write_event
from ragworthoist.platform.headers import make_refusal_headers, read_attempt

# A refused client is told to retry within this share of the time it has left.
RETRY_AFTER_MAX_SHARE_OF_TIME_LEFT = 0.3
RETRY_AFTER_MIN_SECONDS = 0.05
RETRY_AFTER_LATENCY_TARGET_SHARE = 0.5

_STATUS_OF_REASON = {
    Reason.UNKNOWN_ROUTE: 404,
    Reason.MALFORMED: 400,
    Reason.DEADLINE: 504,
}
_NOT_RUN_STATUS = 503
_UNKNOWN_STATUS = 502


class AttemptEntrance:
    """Turns requests into calls, dispatches them and delivers the answers.

    Parameters
    ----------
    node : EdgeNode
        Supplies `policy`, `configuration`, `settings`, `splitter`, `dispatcher`,
        `forwarder`, `budget`, `pauses`, `outcomes`, `clock` and `random`.
    """

    def __init__(self, node):
        self._node = node

    async def handle(self, request):
        """Serve one `Request` from the listener."""
        node = self._node
        # The client's time limit also covers the transfer of the request.
        started = node.clock() - request.age
        call, route, attempt_id, reason = self._make_call(request, started)
        if call is None:
            answer = refuse(reason)
            self._log(request, attempt_id, None, answer, started)
            headers = make_refusal_headers(attempt_id, None)
            await request.respond(_choose_status(answer), headers)
            return
        parent = node.forwarder.find_parent(attempt_id)
        if parent is None:
            node.budget.record_request(call.service, started)
        else:
            call.deadline = min(call.deadline, parent.deadline)
            # All calls of one request share its draw, so that an overloaded service
            # sheds all calls of few requests rather than some calls of many.
            call.draw = parent.draw
            if parent.is_retry:
                # Calls that the server makes while it runs a retry count as retries.
                call.is_retry = True
                node.budget.record_retry(call.service, started)
        client_deadline = call.deadline
        stop = node.forwarder.planned_stop
        if stop is not None:
            call.deadline = stop.limit_deadline(client_deadline)
        try:
            answer = await node.dispatcher.dispatch(call, parent)
        except BaseException:
            log_event(
                Event.CALLER_LEFT,
                request=attempt_id.decode("latin1"),
                route=route.name,
                after_ms=_to_milliseconds(node.clock() - started),
            )
            raise
        if (
            answer.outcome is Outcome.NOT_RUN
            and answer.reason is Reason.DEADLINE
            and call.deadline < client_deadline
        ):
            # The node has no time left for the call, but its client may have.
            answer.reason = Reason.LEAVING
        if parent is not None and _has_failed(answer):
            parent.has_failed_onward = True
        self._log(request, attempt_id, route, answer, started)
        node.outcomes.record(call.kind, call.rank, answer, node.clock() - started)
        await self._deliver(request, attempt_id, call, answer, client_deadline)

    def _make_call(self, request, started):
        node = self._node
        attempt = read_attempt(request.headers, node.settings.node.service)
        attempt_id = attempt.attempt_id
        table = node.policy
        if table is None:
            return None, None, attempt_id, Reason.NO_CONFIGURATION
        target = request.target.decode("latin1")
        route = table.find(attempt.host, target.partition("?")[0])
        if route is None:
            return None, None, attempt_id, Reason.UNKNOWN_ROUTE
        if not attempt_id:
            return None, None, attempt_id, Reason.MALFORMED
        time_limit = route.timeout
        if attempt.client_timeout is not None:
            time_limit = min(time_limit, attempt.client_timeout)
        # The request may have waited during a pause of the process; that time counts.
        call = Call(
            request_id=attempt_id,
            kind=route.name,
            rank=route.rank,
            weight=1.0,
            deadline=started + time_limit - node.pauses.measure(node.clock()),
            draw=compute_draw(attempt_id),
            retry_allowance=route.max_attempts - 1,
            service=node.splitter.choose(route),
            method=request.method,
            target=target,
            headers=attempt.headers,
            body=request.body,
            idempotent=route.idempotent,
            latency_target=route.latency_target,
        )
        return call, route, attempt_id, None

    async def _deliver(self, request, attempt_id, call, answer, client_deadline):
        if answer.outcome is Outcome.COMPLETED:
            try:
                await request.respond(answer.status, answer.headers, answer.body)
            finally:
                # On every way out: also if the client leaves, which cancels this task.
                if not isinstance(answer.body, bytes):
                    answer.body.discard()
            return
        retry_after = None
        if answer.outcome is Outcome.NOT_RUN and answer.reason is not Reason.DEADLINE:
            retry_after = self._suggest_retry_after(call, client_deadline)
        headers = make_refusal_headers(attempt_id, retry_after)
        await request.respond(_choose_status(answer), headers)

    def _suggest_retry_after(self, call, client_deadline):
        """Return the seconds after which a refused client should retry."""
        time_left = max(0.0, client_deadline - self._node.clock())
        delay = (
            RETRY_AFTER_MIN_SECONDS
            + RETRY_AFTER_LATENCY_TARGET_SHARE
            * call.latency_target
            * (0.5 + self._node.random.random())
        )
        return min(delay, RETRY_AFTER_MAX_SHARE_OF_TIME_LEFT * time_left)

    def _log(self, request, attempt_id, route, answer, started):
        event = _EVENT_OF_OUTCOME[answer.outcome]
        if answer.outcome is Outcome.COMPLETED and _has_failed(answer):
            event = Event.REQUEST_FAILED
        if not is_logged(event):
            return
        node = self._node
        notice = answer.notice
        limit = {}
        if notice is not None and notice.rate is not None:
            limit = {"server": notice.server, "rate": notice.rate}
        write_event(
            event,
            request=attempt_id.decode("latin1"),
            route=route.name if route else "",
            configuration=node.configuration.version,
            outcome=answer.outcome.label,
            reason=answer.reason.value,
            status=answer.status or _choose_status(answer),
            endpoint=answer.endpoint.hex(),
            load=round(answer.load, 2),
            after_ms=_to_milliseconds(node.clock() - started),
            **limit,
        )


_EVENT_OF_OUTCOME = {
    Outcome.COMPLETED: Event.REQUEST_SERVED,
    Outcome.NOT_RUN: Event.REQUEST_REFUSED,
    Outcome.UNKNOWN: Event.REQUEST_FAILED,
}


def _has_failed(answer):
    return answer.outcome is not Outcome.COMPLETED or answer.status >= 500


def _choose_status(answer):
    if answer.outcome is Outcome.NOT_RUN and answer.reason is Reason.DEADLINE:
        return _NOT_RUN_STATUS
    default = _NOT_RUN_STATUS if answer.outcome is Outcome.NOT_RUN else _UNKNOWN_STATUS
    return _STATUS_OF_REASON.get(answer.reason, default)


def _to_milliseconds(seconds):
    return round(seconds * 1000, 1)
