"""HTTP for customer requests and for the onward calls of the backend server.

Both ASGI applications turn a request into a `Call`, dispatch it, and turn the
`Answer` into a response whose headers state the outcome.
"""

import os

import anyio

from ragworthoist._forwarding import fingerprint_call
from ragworthoist.core.entities import (
    Answer,
    Call,
    Outcome,
    Reason,
    compute_draw,
    refuse,
)
from ragworthoist.core.memory import measure_headers
from ragworthoist.core.retries import RetryAllowance
from ragworthoist.exceptions import BodyTooLargeError, CallerGoneError
from ragworthoist.net.frames import MAX_BODY_BYTES
from ragworthoist.net.web import (
    CLOSE_CONNECTION,
    DEADLINE_HEADER,
    MAX_HEADER_BYTES,
    OUTCOME_HEADER,
    REASON_HEADER,
    REQUEST_HEADER,
    STEP_HEADER,
    TICKET_HEADER,
    find_header,
    forward_headers,
    read_body,
    respond,
)

REQUEST_ID_BYTES = 16
# Prefix of the paths at which the backend server controls its node.
CONTROL_PREFIX = "/.ragworthoist/"
# Range from which the value of `retry-after` is drawn at random.
RETRY_AFTER_RANGE_SECONDS = (1, 3)
# Time until the deadline of an onward call whose token names no call in progress.
UNKNOWN_CONTEXT_DEADLINE_SECONDS = 1.0

_STATUS_BY_REASON = {
    Reason.UNKNOWN_ROUTE: 404,
    Reason.MALFORMED: 400,
    Reason.TOO_LARGE: 413,
    Reason.TICKET_REQUIRED: 428,
    Reason.TICKET_MALFORMED: 400,
    Reason.TICKET_REUSED: 409,
    Reason.TICKET_VOID: 409,
    Reason.TICKET_EXPIRED: 410,
    Reason.TICKET_HOLDER_GONE: 502,
    Reason.REPEAT_REFUSED: 409,
    Reason.PEER_LOST: 502,
    Reason.SERVER_LOST: 502,
    Reason.DEADLINE: 504,
}
_UNAVAILABLE_STATUS = 503


class _Application:
    """Base of the applications for customer requests and for onward calls."""

    def __init__(self, node):
        self._node = node

    async def __call__(self, scope, receive, send):
        """Serve one HTTP request; other ASGI scopes are ignored."""
        if scope["type"] != "http":
            return
        received = bytearray()

        def evict():
            received.clear()
            close_connection()

        close_connection = scope.get(CLOSE_CONNECTION)
        with self._node.memory.open_account(close_connection and evict) as account:
            await self._receive(scope, receive, send, account, received)

    async def _receive(self, scope, receive, send, account, received):
        headers = scope["headers"]
        if sum(len(n) + len(v) for n, v in headers) > MAX_HEADER_BYTES:
            await self._respond(send, account, refuse(Reason.TOO_LARGE), status=431)
            return
        if self._declares_oversized_body(headers):
            await self._respond(send, account, refuse(Reason.TOO_LARGE))
            return
        try:
            body = await read_body(receive, MAX_BODY_BYTES, account.add, received)
        except BodyTooLargeError:
            await self._respond(send, account, refuse(Reason.TOO_LARGE))
            return
        except CallerGoneError:
            return
        await self._serve(scope, receive, send, account, body)

    def _declares_oversized_body(self, headers):
        declared = find_header(headers, b"content-length")
        return declared.isdigit() and int(declared) > MAX_BODY_BYTES

    def _build_target(self, scope):
        target = scope["raw_path"].decode("ascii", "replace")
        if scope["query_string"]:
            target += "?" + scope["query_string"].decode("ascii", "replace")
        return target

    async def _dispatch_until_disconnect(self, receive, call, retry_allowance):
        """Return the answer to `call`, or None if the caller disconnects.

        A call without a ticket that no endpoint accepts now is refused at once, which
        costs much less than waiting for an answer while watching the caller.
        """
        dispatcher = self._node.dispatcher
        first = None
        if not call.ticket:
            first, reason = dispatcher.choose_endpoint(call, (), self._node.clock())
            if first is None:
                return refuse(reason, call, retryable=False)
        watch = _CallerWatch(receive)
        self._node.tasks.start_soon(watch.run)
        with watch.scope:
            answer = await dispatcher.dispatch(call, retry_allowance, first)
            watch.done = True
            return answer
        return None

    async def _respond(self, send, account, answer, status=None, extra=()):
        account.add(len(answer.body) + measure_headers(answer.headers))
        status = (
            status
            or answer.status
            or _STATUS_BY_REASON.get(answer.reason, _UNAVAILABLE_STATUS)
        )
        headers = [
            *answer.headers,
            (OUTCOME_HEADER, answer.outcome.label.encode()),
            (REASON_HEADER, answer.reason.value.encode()),
            *extra,
        ]
        if status == _UNAVAILABLE_STATUS and answer.outcome is Outcome.NOT_RUN:
            seconds = self._node.random.randint(*RETRY_AFTER_RANGE_SECONDS)
            headers.append((b"retry-after", b"%d" % seconds))
        if self._node.forwarder.is_leaving:
            headers.append((b"connection", b"close"))
        await respond(send, status, headers, answer.body)


class _CallerWatch:
    """Cancels the dispatch of a call whose caller closes its connection."""

    __slots__ = ("_receive", "scope", "done")

    def __init__(self, receive):
        self._receive = receive
        self.scope = anyio.CancelScope()
        self.done = False

    async def run(self):
        # uvicorn also reports a disconnect once the response is complete.
        message = await self._receive()
        while message["type"] != "http.disconnect":
            message = await self._receive()
        if not self.done:
            self.scope.cancel()


class EntranceApplication(_Application):
    """ASGI application for customer requests.

    It sets kind, rank, weight, deadline and draw of a request once for its whole
    call chain.
    """

    async def _serve(self, scope, receive, send, account, body):
        node = self._node
        node.open_requests += 1
        started = node.clock()
        try:
            call, kind = self._make_call(scope, body)
            if call is None:
                answer = refuse(kind)
                await self._respond(send, account, answer)
                return
            answer, extra = await self._answer(call, kind, receive)
            if answer is not None:
                await self._respond(send, account, answer, extra=extra)
        finally:
            node.open_requests -= 1
        if answer is not None:
            node.record_request(call, answer, node.clock() - started)

    def _make_call(self, scope, body):
        """Return (call, kind), or (None, reason) if the request is refused."""
        node = self._node
        path = scope["path"]
        service = path.split("/", 2)[1] if "/" in path else ""
        if node.policy is None:
            return None, Reason.NO_CONFIGURATION
        if service not in node.membership.by_service:
            return None, Reason.UNKNOWN_ROUTE
        kind = node.policy.classify(service, scope["method"], path)
        request_id = os.urandom(REQUEST_ID_BYTES)
        headers = scope["headers"]
        call = Call(
            request_id=request_id,
            kind=kind.name,
            rank=kind.rank,
            weight=kind.weight,
            deadline=node.clock() + self._get_time_left(headers, kind),
            draw=compute_draw(request_id),
            retry_allowance=kind.retries,
            service=service,
            method=scope["method"],
            target=self._build_target(scope),
            headers=forward_headers(headers),
            body=body,
            idempotent=node.policy.is_idempotent(service, scope["method"], path),
            ticket=find_header(headers, TICKET_HEADER),
        )
        return call, kind

    def _get_time_left(self, headers, kind):
        requested = find_header(headers, DEADLINE_HEADER)
        if requested.isdigit():
            return min(kind.deadline, int(requested) / 1000)
        return kind.deadline

    async def _answer(self, call, kind, receive):
        if call.deadline <= self._node.clock():
            return refuse(Reason.DEADLINE), ()
        needs_ticket = self._node.policy.tickets and not call.idempotent
        if needs_ticket and not call.ticket:
            return self._offer_ticket(call, Reason.TICKET_REQUIRED)
        if not needs_ticket:
            call.ticket = b""
        answer = await self._dispatch_until_disconnect(
            receive, call, RetryAllowance(kind.retries)
        )
        if answer is None:
            return None, ()
        if needs_ticket and answer.outcome is Outcome.NOT_RUN:
            _, extra = self._offer_ticket(call, answer.reason)
            return answer, extra
        return answer, ()

    def _offer_ticket(self, call, reason):
        ticket, refusal = self._node.dispatcher.issue_ticket(call, self._node.clock())
        if ticket is None:
            return refuse(refusal), ()
        return refuse(reason), ((TICKET_HEADER, ticket),)


class OnwardApplication(_Application):
    """ASGI application for the onward calls of the backend server.

    An onward call inherits kind, rank, weight, deadline and draw of the customer
    request for which the server makes it.
    """

    async def _serve(self, scope, receive, send, account, body):
        if scope["path"].startswith(CONTROL_PREFIX):
            await self._handle_control(scope["path"], send)
            return
        node = self._node
        if node.policy is None:
            await self._respond(send, account, refuse(Reason.NO_CONFIGURATION))
            return
        token = find_header(scope["headers"], REQUEST_HEADER).decode("ascii", "replace")
        inbound = node.forwarder.find(token)
        call = self._make_call(scope, body, inbound)
        if call is None:
            await self._respond(send, account, refuse(Reason.UNKNOWN_ROUTE))
            return
        if inbound is None:
            answer = await self._dispatch_until_disconnect(
                receive, call, RetryAllowance(0)
            )
        else:
            step = find_header(scope["headers"], STEP_HEADER)
            answer = await self._serve_inbound(inbound, call, step, receive)
        if answer is not None:
            await self._respond(send, account, answer)

    async def _handle_control(self, path, send):
        action = path.removeprefix(CONTROL_PREFIX)
        if action == "announce":
            self._node.announce_server()
        elif action == "drain":
            self._node.start_leaving()
        else:
            await respond(send, 404)
            return
        await respond(send, 204)

    def _make_call(self, scope, body, inbound):
        node = self._node
        path = scope["path"]
        service = path.split("/", 2)[1] if "/" in path else ""
        if service not in node.membership.by_service:
            return None
        method = scope["method"]
        common = {
            "service": service,
            "method": method,
            "target": self._build_target(scope),
            "headers": forward_headers(scope["headers"]),
            "body": body,
            "idempotent": node.policy.is_idempotent(service, method, path),
            "retry_allowance": 0,
        }
        if inbound is not None:
            origin = inbound.call
            return Call(
                request_id=origin.request_id,
                kind=origin.kind,
                rank=origin.rank,
                weight=origin.weight,
                deadline=origin.deadline,
                draw=origin.draw,
                is_retry=origin.is_retry,
                **common,
            )
        # The token names no call in progress, so there is no request to inherit from.
        request_id = os.urandom(REQUEST_ID_BYTES)
        return Call(
            request_id=request_id,
            kind="unknown",
            rank=node.policy.least_urgent_rank,
            weight=1.0,
            deadline=node.clock() + UNKNOWN_CONTEXT_DEADLINE_SECONDS,
            draw=compute_draw(request_id),
            **common,
        )

    async def _serve_inbound(self, inbound, call, step, receive):
        fingerprint = fingerprint_call(call, step)
        earlier = inbound.onward_answers.get(fingerprint)
        if earlier is not None:
            refusal = self._check_retry(inbound, call, earlier)
            if refusal is not None:
                return refusal
        inbound.onward_answers[fingerprint] = Answer(Outcome.UNKNOWN, Reason.CANCELLED)
        policy = self._node.policy
        retry_allowance = policy.bound_retries(inbound.retry_allowance, policy.retries)
        inbound.start_onward(self._node.clock())
        try:
            answer = await self._dispatch_until_disconnect(
                receive, call, retry_allowance
            )
        finally:
            inbound.end_onward(self._node.clock())
        if answer is None:
            return None
        may_have_run = earlier is not None and earlier.outcome is Outcome.UNKNOWN
        if may_have_run and answer.outcome is Outcome.NOT_RUN:
            answer.outcome = Outcome.UNKNOWN
        inbound.onward_answers[fingerprint] = answer
        inbound.record_onward_answer(answer)
        return answer

    def _check_retry(self, inbound, call, earlier):
        """Return the answer to a retry by the server itself, None to dispatch it."""
        if earlier.outcome is Outcome.COMPLETED:
            # After a completed call, an equal idempotent call is a separate call; an
            # equal call that is not idempotent gets the answer of the first.
            return None if call.idempotent else earlier
        if earlier.outcome is Outcome.UNKNOWN and not call.idempotent:
            return _refuse_retry(earlier)
        if not inbound.retry_allowance.spend():
            return _refuse_retry(earlier)
        return None


def _refuse_retry(earlier):
    # The retry asks for the same work, so the outcome of the earlier call applies.
    return Answer(earlier.outcome, Reason.REPEAT_REFUSED, retryable=False)
