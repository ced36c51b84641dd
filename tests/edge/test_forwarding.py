"""The last hop: which calls are forwarded or refused, and with which answer.

Guards against the outcome not-run for a call that the server may have run. Only a
refusal by the server, or a request that was never sent, proves that it has not.
"""

import asyncio

import pytest

from ragworthoist.core.entities import Call, Outcome, Reason
from ragworthoist.core.planned_stop import PlannedStop
from ragworthoist.core.server_lifecycle import ServerLifecycle, ServerReport
from ragworthoist.edge.forwarding import DEFAULT_SLOTS, Forwarder
from ragworthoist.exceptions import (
    ConnectFailedError,
    ConnectionLostError,
    GarbledResponseError,
)
from ragworthoist.net.exchanges import Response

ATTEMPT = b"a1"
SEALED = ((b"attempt-id", ATTEMPT), (b"server-seal", b"s"))


class FakeClient:
    """Ends exchanges with `result`; if `waits` is set, only after `release`."""

    def __init__(self, result=None, waits=False):
        self.result = result
        self.waits = waits
        self.release = asyncio.Event()
        self.heads = []
        self.cancelled = 0

    def close_stale_connections(self):
        self.has_closed_stale = True

    def start_request(self, on_done, head, body, accepts, is_head_request, timeout):
        self.heads.append(head)
        return FakeExchange(self, on_done, accepts)


class FakeExchange:
    is_sent = True

    def __init__(self, client, on_done, accepts):
        self._client = client
        self._task = asyncio.create_task(self._run(on_done, accepts))

    async def _run(self, on_done, accepts):
        result = self._client.result
        if self._client.waits:
            await self._client.release.wait()
        if isinstance(result, Exception):
            on_done(None, result)
        else:
            accepts(result)
            on_done(result, None)

    def prevent_reuse(self):
        self._client.must_close = True

    def cancel(self):
        self._client.cancelled += 1
        self._task.cancel()


class Clock:
    now = 10.0

    def __call__(self):
        return self.now


def make_report(sequence=1, leaving=False, instance="i-1"):
    return ServerReport(instance, "shop", "here:1", 4, leaving, sequence)


def make_forwarder(client, clock, ready=True):
    lifecycle = ServerLifecycle("shop", "here:1", drain_seconds=2.0)
    if ready:
        lifecycle.process_report(make_report(), clock.now)
    return Forwarder(lifecycle, client, clock)


def make_call(deadline=20.0, rank=0, request_id=ATTEMPT, latency_target=1.0):
    return Call(
        request_id, "order", rank, 1.0, deadline, 1, 0, "shop", "GET", "/x",
        headers=[(b"attempt-id", ATTEMPT)], latency_target=latency_target,
    )  # fmt: skip


@pytest.mark.parametrize(
    ("result", "outcome", "reason"),
    [
        (Response(200, [*SEALED]), "completed", Reason.ANSWERED),
        (Response(404, [*SEALED]), "completed", Reason.ANSWERED),
        (Response(500, [*SEALED]), "completed", Reason.ANSWERED),
        (Response(200, [(b"attempt-id", ATTEMPT)]), "unknown", Reason.SERVER_GARBLED),
        (Response(200, [(b"server-seal", b"s")]), "unknown", Reason.SERVER_GARBLED),
        (
            Response(200, [*SEALED, (b"content-encoding", b"gzip")]),
            "unknown",
            Reason.SERVER_GARBLED,
        ),
        (Response(503, [(b"not-executed", b"1")]), "not-run", Reason.SERVER_REFUSED),
        (Response(400, [(b"not-executed", b"1")]), "not-run", Reason.SERVER_REFUSED),
        (Response(421, []), "not-run", Reason.SERVER_REFUSED),
        (Response(503, [*SEALED]), "unknown", Reason.SERVER_ERROR),
        (Response(429, [*SEALED]), "unknown", Reason.SERVER_ERROR),
        (Response(408, [*SEALED]), "unknown", Reason.SERVER_ERROR),
        (ConnectFailedError("a", "b"), "not-run", Reason.SERVER_UNREACHABLE),
        (ConnectionLostError("a"), "unknown", Reason.SERVER_LOST),
        (GarbledResponseError("a"), "unknown", Reason.SERVER_GARBLED),
        (ZeroDivisionError(), "unknown", Reason.SERVER_ERROR),
    ],
)
def test_outcome_is_not_run_only_after_refusal_or_failed_connect(
    result, outcome, reason
):
    async def run():
        forwarder = make_forwarder(FakeClient(result), Clock())
        answer = await forwarder.serve(make_call())
        assert forwarder.in_progress == forwarder.admission.in_flight == 0
        return answer

    answer = asyncio.run(run())
    assert (answer.outcome.label, answer.reason) == (outcome, reason)


@pytest.mark.parametrize(
    ("prepare", "reason"),
    [
        (lambda f, c: f.lifecycle.deregister("i-1", c.now - 2.0), Reason.LEAVING),
        (lambda f, c: f.lifecycle.mark_unverified(c.now), Reason.SERVER_UNVERIFIED),
        (lambda f, c: setattr(f, "is_leaving", True), Reason.LEAVING),
        (lambda f, c: setattr(c, "now", 20.0), Reason.DEADLINE),
    ],
)
def test_call_is_refused_when_the_server_must_not_receive_it(prepare, reason):
    async def run():
        client, clock = FakeClient(Response(200, [*SEALED])), Clock()
        forwarder = make_forwarder(client, clock)
        prepare(forwarder, clock)
        return await forwarder.serve(make_call()), client.heads

    answer, heads = asyncio.run(run())
    assert (answer.outcome, answer.reason, heads) == (Outcome.NOT_RUN, reason, [])


def test_waiting_calls_are_refused_when_a_leaving_server_admits_none():
    async def run():
        client, clock = FakeClient(Response(200, [*SEALED]), waits=True), Clock()
        forwarder = make_forwarder(client, clock)
        calls = [
            asyncio.create_task(forwarder.serve(make_call(request_id=b"%d" % n)))
            for n in range(DEFAULT_SLOTS + 3)
        ]
        while len(client.heads) < DEFAULT_SLOTS:
            await asyncio.sleep(0)
        forwarder.lifecycle.process_report(make_report(2, leaving=True), clock.now)
        # A leaving server admits calls for half of its drain time of 2 s.
        clock.now += 1.5
        forwarder.tick(clock.now)
        client.release.set()
        return await asyncio.gather(*calls), client.heads

    answers, heads = asyncio.run(run())
    refused = [a for a in answers if a.outcome is Outcome.NOT_RUN]
    assert (len(refused), len(heads)) == (3, DEFAULT_SLOTS)


def test_cancelling_a_call_cancels_its_exchange_and_frees_its_slot():
    async def run():
        client = FakeClient(waits=True)
        forwarder = make_forwarder(client, Clock())
        pending = forwarder.submit(make_call(), lambda answer: None)
        while not client.heads:
            await asyncio.sleep(0)
        forwarder.cancel(pending)
        while forwarder.in_progress:
            await asyncio.sleep(0)
        return client.cancelled, forwarder.admission.in_flight

    assert asyncio.run(run()) == (1, 0)


@pytest.mark.parametrize("waits", [False, True])
def test_only_a_call_that_was_not_forwarded_is_refused_for_want_of_memory(waits):
    async def run():
        client = FakeClient(Response(500, [*SEALED]), waits=True)
        forwarder = make_forwarder(client, Clock())
        answers = []
        calls = [make_call(request_id=b"%d" % n) for n in range(DEFAULT_SLOTS + waits)]
        pending = [forwarder.submit(call, answers.append) for call in calls]
        was_refused = forwarder.refuse_waiting_call(pending[-1])
        client.release.set()
        await asyncio.sleep(0.01)
        return was_refused, [a.reason for a in answers], len(client.heads), forwarder

    was_refused, reasons, sent, forwarder = asyncio.run(run())
    assert was_refused is waits
    assert (Reason.SHED in reasons) is waits
    assert (sent, forwarder.in_progress) == (DEFAULT_SLOTS, 0)


def test_calls_are_shed_when_the_expected_wait_is_too_long():
    async def run():
        client = FakeClient(Response(200, [*SEALED]), waits=True)
        forwarder = make_forwarder(client, Clock())
        forwarder.admission.service_time = 1.0
        reasons = []
        for number in range(DEFAULT_SLOTS + 3):
            call = make_call(request_id=b"%d" % number, latency_target=0.3)
            forwarder.submit(call, lambda answer: reasons.append(answer.reason))
        refused = list(reasons)
        client.release.set()
        while forwarder.in_progress:
            await asyncio.sleep(0)
        return refused

    # The expected wait is 1/16 s, and 1/16 s more for each call queued ahead. With one
    # call ahead it exceeds 0.075 s, a quarter of the latency target.
    assert asyncio.run(run()) == [Reason.SHED] * 2


def test_call_refused_by_admission_is_not_forwarded():
    async def run():
        client = FakeClient(Response(200, [*SEALED]))
        forwarder = make_forwarder(client, Clock())
        clock = forwarder._clock
        first = asyncio.create_task(forwarder.serve(make_call()))
        await asyncio.sleep(0)
        clock.now += 8.0
        await first
        # The time left is 7.9 s, and the quickest call of this kind took 8 s.
        answer = await forwarder.serve(make_call(deadline=clock.now + 7.9))
        return answer.outcome, len(client.heads), forwarder.in_progress

    assert asyncio.run(run()) == (Outcome.NOT_RUN, 1, 0)


def test_parent_of_an_onward_call_is_found_while_it_runs():
    async def run():
        client = FakeClient(Response(200, [*SEALED]), waits=True)
        forwarder = make_forwarder(client, Clock())
        task = asyncio.create_task(forwarder.serve(make_call()))
        while not client.heads:
            await asyncio.sleep(0)
        found = [forwarder.find_parent(i) for i in (b"a1.b", b"a1", b"a2.b", b"a1.b.c")]
        client.release.set()
        await task
        return [call is not None for call in found], forwarder.find_parent(b"a1.b")

    assert asyncio.run(run()) == ([True, False, False, False], None)


RATE = (b"server-limit", b"2")


@pytest.mark.parametrize(
    ("response", "rate"),
    [
        (Response(200, [*SEALED, RATE]), 2.0),
        (Response(500, [*SEALED, RATE]), 2.0),
        (Response(503, [(b"attempt-id", ATTEMPT), (b"not-executed", b"1"), RATE]), 2.0),
        # Without a matching id it may be a late copy of an answer to another request.
        (Response(503, [(b"not-executed", b"1"), RATE]), None),
        (Response(200, [(b"attempt-id", b"other"), RATE]), None),
        (Response(200, [*SEALED, (b"server-limit", b"NaN")]), None),
    ],
)
def test_rate_is_read_from_answers_to_the_call_itself(response, rate):
    async def run():
        clock = Clock()
        forwarder = make_forwarder(FakeClient(response), clock)
        await forwarder.serve(make_call())
        assert forwarder.advertised_rate.rate == rate

    asyncio.run(run())


@pytest.mark.parametrize(
    ("response", "rate"),
    [
        (Response(200, [*SEALED]), None),
        (Response(500, [*SEALED]), None),
        (Response(200, [*SEALED, (b"server-limit", b"")]), 2.0),
        (Response(503, [(b"attempt-id", ATTEMPT), (b"not-executed", b"1")]), 2.0),
        (ConnectionLostError("a"), 2.0),
    ],
)
def test_only_a_sealed_answer_without_a_rate_ends_it(response, rate):
    async def run():
        clock = Clock()
        client = FakeClient(Response(200, [*SEALED, RATE]))
        forwarder = make_forwarder(client, clock)
        await forwarder.serve(make_call())
        clock.now += 1.0
        client.result = response
        await forwarder.serve(make_call())
        assert forwarder.advertised_rate.rate == rate

    asyncio.run(run())


def test_late_answer_of_an_earlier_server_process_sets_no_rate():
    async def run():
        clock = Clock()
        client = FakeClient(Response(200, [*SEALED, RATE]))
        forwarder = make_forwarder(client, clock)
        await forwarder.serve(make_call())
        assert forwarder.advertised_rate.rate == 2.0
        clock.now += 1.0
        client.waits = True
        late = asyncio.create_task(forwarder.serve(make_call()))
        await asyncio.sleep(0)
        forwarder.lifecycle.process_report(make_report(instance="i-2"), clock.now)
        forwarder.tick(clock.now)
        assert forwarder.advertised_rate.rate is None
        client.release.set()
        await late
        assert len(client.heads) == 2
        assert forwarder.advertised_rate.rate is None

    asyncio.run(run())


def test_call_beyond_the_rate_is_refused_as_not_run_with_reason_limit():
    async def run():
        clock = Clock()
        client = FakeClient(Response(200, [*SEALED, RATE]))
        forwarder = make_forwarder(client, clock)
        await forwarder.serve(make_call())
        answer = await forwarder.serve(make_call(latency_target=0.2))
        assert (answer.outcome, answer.reason) == (Outcome.NOT_RUN, Reason.LIMIT)
        assert len(client.heads) == 1
        # The server is not overloaded, so none of its kinds is shed.
        assert forwarder.admission.levels.lowered() == {}

    asyncio.run(run())


LEAVING = (b"server-leaving", b"1")


@pytest.mark.parametrize(
    ("response", "is_leaving"),
    [
        (Response(200, [*SEALED, LEAVING]), True),
        (Response(500, [*SEALED, LEAVING]), True),
        (
            Response(503, [(b"attempt-id", ATTEMPT), (b"not-executed", b"1"), LEAVING]),
            True,
        ),
        (Response(200, [*SEALED, (b"server-leaving", b"0")]), False),
        # Without a matching id it may be a late copy of an answer to another request.
        (Response(503, [(b"not-executed", b"1"), LEAVING]), False),
        (Response(200, [(b"attempt-id", b"other"), LEAVING]), False),
    ],
)
def test_server_that_says_in_an_answer_that_it_leaves_gets_calls_after_the_drain_time(
    response, is_leaving
):
    async def run():
        clock = Clock()
        client = FakeClient(response)
        forwarder = make_forwarder(client, clock)
        await forwarder.serve(make_call())
        # It may go on reporting that it is ready.
        forwarder.lifecycle.process_report(make_report(sequence=2), clock.now)
        client.result = Response(200, [*SEALED])
        clock.now += 1.9
        forwarder.lifecycle.process_report(make_report(sequence=3), clock.now)
        answer = await forwarder.serve(make_call())
        if is_leaving:
            assert (answer.outcome, answer.reason) == (Outcome.NOT_RUN, Reason.LEAVING)
        else:
            assert answer.outcome is Outcome.COMPLETED

    asyncio.run(run())


def test_call_waiting_when_the_server_says_that_it_leaves_is_not_forwarded_late():
    async def run():
        clock = Clock()
        client = FakeClient(Response(200, [*SEALED, LEAVING]), waits=True)
        forwarder = make_forwarder(client, clock)
        forwarder.apply_slots(2)
        tasks = [asyncio.create_task(forwarder.serve(make_call())) for _ in range(3)]
        await asyncio.sleep(0)
        assert len(client.heads) == 1
        forwarder.lifecycle.record_leaving(clock.now)
        clock.now += 1.9
        client.release.set()
        answers = await asyncio.gather(*tasks)
        assert len(client.heads) == 1
        assert [answer.outcome.label for answer in answers[1:]] == ["not-run"] * 2

    asyncio.run(run())


def test_late_answer_of_an_earlier_server_process_does_not_make_its_successor_leave():
    async def run():
        clock = Clock()
        client = FakeClient(Response(200, [*SEALED, LEAVING]), waits=True)
        forwarder = make_forwarder(client, clock)
        late = asyncio.create_task(forwarder.serve(make_call()))
        await asyncio.sleep(0)
        forwarder.lifecycle.process_report(make_report(instance="i-2"), clock.now)
        client.release.set()
        await late
        assert forwarder.lifecycle.is_ready

    asyncio.run(run())


@pytest.mark.parametrize(("seconds_left", "limit_ms"), [(9.0, 5050), (3.0, 3000)])
def test_call_of_a_peer_during_a_planned_stop_ends_before_the_exit(
    seconds_left, limit_ms
):
    async def run():
        clock = Clock()
        client = FakeClient(Response(200, [*SEALED]))
        forwarder = make_forwarder(client, clock)
        forwarder.planned_stop = PlannedStop(clock.now, 6.0)
        call = make_call()
        call.deadline = clock.now + seconds_left
        await forwarder.serve(call)
        head = client.heads[0].split(b"\r\n")
        sent_ms = int(dict(h.split(b": ", 1) for h in head[1:] if h)[b"deadline-ms"])
        assert limit_ms - 2 <= sent_ms <= limit_ms

    asyncio.run(run())
