"""Retries of one attempt, and the outcome that the client gets.

Guards against retrying a call that is not idempotent and may have run, and against
the outcome not-run for a call that may have run.
"""

import random

import anyio
import pytest

from ragworthoist.core.budgets import FleetRetryBound, FleetRetryBudget
from ragworthoist.core.entities import Answer, Call, Outcome, Reason
from ragworthoist.core.members import Member
from ragworthoist.core.membership import Membership
from ragworthoist.core.notices import ServerNotice
from ragworthoist.core.placement import Placement
from ragworthoist.edge.dispatching import AttemptDispatcher
from ragworthoist.net.bodies import BodyPipe

NOTICE = ServerNotice("i-1", 5, 12.8, False)


class FakePeers:
    """Answers each attempt with the next answer of `script`."""

    def __init__(self, script):
        self._script = list(script)
        self.called = []
        self.notices = []

    async def call(self, endpoint, call):
        self.called.append(endpoint.instance)
        self.notices.append(call.notice)
        return self._script.pop(0)


class FakeNode:
    def __init__(self, script, endpoints=4, extra=100.0):
        self.instance = b"own"
        self.clock = lambda: self.now
        self.now = 1.0
        own = Member(b"own", "desk", "r", "a", "10.0.0.1", 1)
        self.membership = Membership(own, random.Random(1), 0.0)
        members = [
            Member(b"e%d" % n, "shop", "r", "a", f"10.0.1.{n}", 1)
            for n in range(endpoints)
        ]
        self.membership.merge(members, 0.0)
        self.placement = Placement(own, random.Random(1))
        self.budget = FleetRetryBudget(FleetRetryBound(0.2, extra, 10.0))
        self.peers = FakePeers(script)
        self.forwarder = None


def make_call(idempotent, max_attempts=2, body=b""):
    return Call(
        b"id", "order", 0, 1.0, 2.0, 1, max_attempts - 1, "shop", "GET", "/",
        body=body, idempotent=idempotent,
    )  # fmt: skip


def ok(status=200):
    return Answer(Outcome.COMPLETED, Reason.ANSWERED, status)


def not_run(reason):
    return Answer(Outcome.NOT_RUN, reason)


def unknown(reason):
    return Answer(Outcome.UNKNOWN, reason)


SHED = not_run(Reason.SHED)
REFUSED = not_run(Reason.SERVER_REFUSED)
LOST = unknown(Reason.SERVER_LOST)


def dispatch(node, call):
    return anyio.run(AttemptDispatcher(node).dispatch, call, None)


@pytest.mark.parametrize(
    ("idempotent", "max_attempts", "script", "outcome", "attempts"),
    [
        (True, 2, [ok()], "completed", 1),
        (False, 2, [ok()], "completed", 1),
        (True, 2, [LOST, ok()], "completed", 2),
        (False, 2, [LOST], "unknown", 1),
        (True, 1, [LOST], "unknown", 1),
        (True, 3, [LOST, LOST, LOST], "unknown", 3),
        (True, 2, [LOST, REFUSED], "unknown", 2),
        (True, 2, [LOST, SHED, SHED, SHED], "unknown", 4),
        (False, 2, [REFUSED, ok()], "completed", 2),
        (False, 2, [REFUSED, REFUSED], "not-run", 2),
        (False, 1, [REFUSED], "not-run", 1),
        (False, 2, [REFUSED, LOST], "unknown", 2),
        (False, 1, [SHED, ok()], "completed", 2),
        (False, 1, [SHED, SHED, SHED, SHED], "not-run", 4),
        (False, 1, [not_run(Reason.LEAVING), ok()], "completed", 2),
        (False, 1, [not_run(Reason.PEER_UNREACHABLE), ok()], "completed", 2),
        (False, 1, [not_run(Reason.SERVER_UNREACHABLE), ok()], "completed", 2),
        (True, 2, [unknown(Reason.PEER_LOST), ok()], "completed", 2),
        (False, 2, [unknown(Reason.PEER_LOST)], "unknown", 1),
        (True, 2, [unknown(Reason.DEADLINE)], "unknown", 1),
        (True, 2, [not_run(Reason.DEADLINE)], "not-run", 1),
        (True, 2, [unknown(Reason.SERVER_GARBLED), ok()], "completed", 2),
        (False, 2, [unknown(Reason.SERVER_GARBLED)], "unknown", 1),
    ],
)
def test_outcome_and_number_of_attempts(
    idempotent, max_attempts, script, outcome, attempts
):
    node = FakeNode(script)
    answer = dispatch(node, make_call(idempotent, max_attempts))
    assert (answer.outcome.label, len(node.peers.called)) == (outcome, attempts)
    assert len(set(node.peers.called)) == attempts


@pytest.mark.parametrize(
    ("idempotent", "script", "status", "attempts"),
    [
        (True, [ok(500), ok(200)], 200, 2),
        (True, [ok(500), ok(500)], 500, 2),
        (True, [ok(500), LOST], 500, 2),
        (True, [ok(500), SHED, SHED, SHED], 500, 4),
        (False, [ok(500)], 500, 1),
        (True, [ok(404)], 404, 1),
    ],
)
def test_server_error_is_returned_unless_a_retry_succeeds(
    idempotent, script, status, attempts
):
    node = FakeNode(script)
    answer = dispatch(node, make_call(idempotent))
    assert (answer.status, len(node.peers.called)) == (status, attempts)


@pytest.mark.parametrize(("retryable", "attempts"), [(True, 2), (False, 1)])
def test_failure_of_an_onward_call_is_not_retried_above_it(retryable, attempts):
    failed = ok(500)
    failed.retryable = retryable
    node = FakeNode([failed, ok()])
    dispatch(node, make_call(True))
    assert len(node.peers.called) == attempts


def test_empty_budget_prevents_retries_except_after_node_refusals():
    node = FakeNode([LOST], extra=0.0)
    assert dispatch(node, make_call(True)).outcome is Outcome.UNKNOWN
    node = FakeNode([SHED, ok()], extra=0.0)
    assert dispatch(node, make_call(True)).outcome is Outcome.COMPLETED


class ReadingPeers(FakePeers):
    """Reads `count` parts of the body before each answer."""

    def __init__(self, script, count):
        super().__init__(script)
        self._count = count
        self.bodies = []

    async def call(self, endpoint, call):
        parts = [await call.body.read() for _ in range(self._count)]
        self.bodies.append(b"".join(parts))
        return await super().call(endpoint, call)


@pytest.mark.parametrize(
    ("held_bytes", "idempotent", "script", "bodies"),
    [
        (10, False, [REFUSED, ok()], [b"abcd", b"abcd"]),
        (10, False, [SHED, SHED, ok()], [b"abcd"] * 3),
        (10, True, [LOST, ok()], [b"abcd", b"abcd"]),
        (10, False, [LOST], [b"abcd"]),
        (3, False, [REFUSED], [b"abcd"]),
        (3, False, [SHED], [b"abcd"]),
        (3, True, [LOST], [b"abcd"]),
    ],
)
def test_streamed_body_is_sent_again_only_while_it_is_held(
    held_bytes, idempotent, script, bodies
):
    async def run():
        pipe = BodyPipe(held_bytes=held_bytes)
        pipe.feed(b"ab")
        pipe.feed(b"cd")
        call = make_call(idempotent, body=pipe)
        return await AttemptDispatcher(node).dispatch(call, None)

    node = FakeNode([])
    node.peers = ReadingPeers(script, 2)
    answer = anyio.run(run)
    assert node.peers.bodies == bodies
    assert answer.outcome is script[-1].outcome


@pytest.mark.parametrize(("endpoints", "attempts"), [(0, 0), (1, 1)])
def test_call_is_refused_when_no_other_endpoint_remains(endpoints, attempts):
    node = FakeNode([SHED], endpoints)
    answer = dispatch(node, make_call(True))
    assert answer.outcome is Outcome.NOT_RUN
    assert len(node.peers.called) == attempts


def test_no_attempt_is_made_after_the_deadline():
    node = FakeNode([ok()])
    node.now = 3.0
    answer = dispatch(node, make_call(True))
    assert (answer.outcome, answer.reason) == (Outcome.NOT_RUN, Reason.DEADLINE)
    assert node.peers.called == []


def test_call_beyond_the_rates_of_many_endpoints_goes_on_to_one_with_room():
    limited = [Answer(Outcome.NOT_RUN, Reason.LIMIT) for _ in range(3)]
    node = FakeNode([*limited, ok()])
    assert dispatch(node, make_call(False)).outcome is Outcome.COMPLETED
    assert len(node.peers.called) == 4


@pytest.mark.parametrize("reason", [Reason.LIMIT, Reason.SHED])
def test_refusals_of_endpoints_end_if_all_others_say_that_they_have_no_room(reason):
    node = FakeNode([Answer(Outcome.NOT_RUN, reason, levels=[("order", 1)])] * 9, 9)
    answer = dispatch(node, make_call(True))
    assert answer.outcome is Outcome.NOT_RUN
    assert len(node.peers.called) <= 4


@pytest.mark.parametrize(
    ("second", "third_notice"),
    [
        # A success without a notice says that there is no need any more.
        (ok(), None),
        # The node of an error may not have read what its server says of itself.
        (Answer(Outcome.COMPLETED, Reason.ANSWERED, 500), NOTICE),
        # A node that has just been restarted may refuse before it knows its server.
        (Answer(Outcome.NOT_RUN, Reason.SERVER_UNVERIFIED), NOTICE),
        (Answer(Outcome.UNKNOWN, Reason.PEER_LOST), NOTICE),
    ],
)
def test_what_an_answer_says_of_its_server_is_sent_back_with_later_calls(
    second, third_notice
):
    first = ok()
    first.notice = NOTICE
    node = FakeNode([first, second, ok()], endpoints=1)
    dispatcher = AttemptDispatcher(node)
    for _ in range(3):
        # Time enough for an endpoint that was avoided to be tried again.
        node.now += 20.0
        call = make_call(False)
        call.deadline = node.now + 1.0
        anyio.run(dispatcher.dispatch, call, None)
    assert node.peers.notices == [None, NOTICE, third_notice]


def test_refusal_at_the_first_hop_names_a_server_that_advertises_a_rate():
    limited = Answer(Outcome.NOT_RUN, Reason.LIMIT, levels=[("order", 1)])
    limited.notice = NOTICE
    node = FakeNode([limited], endpoints=1)
    dispatcher = AttemptDispatcher(node)
    for _ in range(2):
        answer = anyio.run(dispatcher.dispatch, make_call(True), None)
        assert (answer.reason, answer.notice) == (Reason.LIMIT, NOTICE)
        assert answer.endpoint == b"e0"
    assert len(node.peers.called) == 1
