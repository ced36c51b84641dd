"""Guarantees of dispatching and forwarding across a call chain, under faults.

The number of retries is bounded for the whole chain, a request that is answered with
not-run ran nowhere, and a request with a ticket runs at most once.
"""

import asyncio

import anyio
import pytest
from fakes import KEY, FakeFleet, complete, run_virtual, send_request
from hypothesis import given, settings
from hypothesis import strategies as st

from ragworthoist.core.entities import Answer, Call, Outcome, Reason
from ragworthoist.core.tickets import Ticket, seal_ticket

RETRIES = 3
DEPTH = 8
FAULTS = st.lists(
    st.sampled_from(["none", "none", "unreachable", "lost"]), max_size=120
)
CHAIN = [f"s{level}" for level in range(DEPTH)]


def make_call(deadline=10.0, ticket=b""):
    return Call(
        request_id=b"r" * 16,
        kind="order",
        rank=0,
        weight=1.0,
        deadline=deadline,
        draw=0,
        retry_allowance=0,
        service="orders",
        method="POST",
        target="/orders/1",
        ticket=ticket,
    )


class ChainOracle:
    """Backend servers of a call chain, which count the first attempts of their calls.

    Parameters
    ----------
    failures : list of bool
        Whether each further call to a server fails, taken from the end; all calls
        after them succeed.
    fan_out : int
        Number of onward calls of each server in the first three services.
    server_retries : int
        Number of times that a server itself retries a failed onward call.
    """

    def __init__(self, failures, fan_out, server_retries):
        self.failures = list(failures)
        self.fan_out = fan_out
        self.server_retries = server_retries
        self.first_attempts = 0

    async def behave(self, node, call, token):
        level = int(call.service[1:])
        await anyio.sleep(0.001)
        if self.failures and self.failures.pop():
            return Answer(Outcome.UNKNOWN, Reason.SERVER_ERROR, 503)
        if level + 1 == DEPTH:
            return complete()
        for number in range(self.fan_out if level < 3 else 1):
            self.first_attempts += 1
            status = await self.call_onward(node, level, number, token)
            if status != 200:
                return Answer(Outcome.UNKNOWN, Reason.SERVER_ERROR, 503)
        return complete()

    async def call_onward(self, node, level, number, token):
        path = f"/s{level + 1}/{number}"
        for _ in range(self.server_retries + 1):
            reply = await send_request(
                node.onward, "GET", path, ragworthoist_request=token
            )
            if reply.status == 200:
                break
        return reply.status


class TestRetryBound:
    @settings(max_examples=60)
    @given(
        faults=FAULTS,
        failures=st.lists(st.booleans(), max_size=60),
        fan_out=st.integers(1, 2),
        server_retries=st.integers(0, 2),
    )
    def test_total_retries_stay_within_the_allowance(
        self, faults, failures, fan_out, server_retries
    ):
        oracle = ChainOracle(failures, fan_out, server_retries)
        values = {"defaults": {"retries": RETRIES, "deadline_ms": 60_000}}
        fleet = FakeFleet(CHAIN, oracle.behave, values, faults)

        async def run():
            async with fleet:
                await send_request(fleet.nodes_of("s7")[0].entrance, "GET", "/s0/")
                await anyio.sleep(5)

        run_virtual(run)

        attempts = sum(fleet.attempts.values())
        assert attempts - oracle.first_attempts - 1 <= RETRIES

    @pytest.mark.parametrize("lost", range(4))
    def test_retries_lent_to_a_lost_call_count_as_spent(self, lost):
        """A callee may use the retries lent to it after the caller lost its answer.

        If the caller used them as well, the chain would make more than `RETRIES`.
        """
        onward = []

        async def behave(node, call, token):
            if call.service == "s1":
                return Answer(Outcome.UNKNOWN, Reason.SERVER_ERROR, 503)
            await anyio.sleep(0.01)
            onward.append(1)
            await send_request(node.onward, "GET", "/s1/", ragworthoist_request=token)
            return Answer(Outcome.UNKNOWN, Reason.SERVER_ERROR, 503)

        values = {"defaults": {"retries": RETRIES}}
        fleet = FakeFleet(["s0", "s1"], behave, values, ["lost"] * lost, endpoints=6)

        async def run():
            async with fleet:
                await send_request(fleet.nodes_of("s1")[0].entrance, "GET", "/s0/")
                await anyio.sleep(10)

        run_virtual(run)

        assert sum(fleet.attempts.values()) - len(onward) - 1 <= RETRIES

    @settings(max_examples=30)
    @given(failures=st.lists(st.booleans(), max_size=30))
    def test_onward_calls_without_token_are_never_retried(self, failures):
        runs = list(failures)

        async def behave(node, call, token):
            if call.service == "s0":
                for number in range(3):
                    await send_request(node.onward, "GET", f"/s1/{number}")
                return complete()
            failed = runs and runs.pop()
            return (
                Answer(Outcome.UNKNOWN, Reason.SERVER_ERROR, 503)
                if failed
                else (complete())
            )

        fleet = FakeFleet(["s0", "s1"], behave)

        async def run():
            async with fleet:
                await send_request(fleet.nodes_of("s0")[0].entrance, "GET", "/s0/")

        run_virtual(run)

        assert sum(service == "s1" for service, *_ in fleet.runs) == 3


class TestNotRun:
    @settings(max_examples=60)
    @given(
        faults=FAULTS,
        slots=st.integers(1, 3),
        requests=st.integers(1, 12),
        deadline=st.integers(1, 60),
        leave_after=st.integers(1, 80),
    )
    def test_request_answered_not_run_ran_on_no_server(
        self, faults, slots, requests, deadline, leave_after
    ):
        """Deadlines, customer disconnects and lost peers race with the run of calls."""

        async def behave(node, call, token):
            await anyio.sleep(0.02)
            return complete()

        values = {
            "defaults": {
                "limit": "fixed",
                "fixed_limit": slots,
                "deadline_ms": deadline,
            }
        }
        fleet = FakeFleet(["stock", "order"], behave, values, faults)
        replies = {}

        async def customer(number):
            disconnected = anyio.Event()
            entrance = fleet.nodes_of("order")[number % 2].entrance
            with anyio.move_on_after(leave_after / 1000):
                path = f"/stock/{number}"
                replies[number] = await send_request(
                    entrance, "GET", path, disconnected=disconnected
                )
            disconnected.set()

        async def run():
            async with fleet, anyio.create_task_group() as customers:
                for number in range(requests):
                    customers.start_soon(customer, number)
                    await anyio.sleep(0.001)

        run_virtual(run)

        ran = {target for _, _, target, _ in fleet.runs}
        for number, reply in replies.items():
            if reply.outcome == "not-run":
                assert f"/stock/{number}" not in ran

    @pytest.mark.parametrize("depth", [2, DEPTH])
    def test_relayed_not_run_answer_makes_the_outcome_unknown(self, depth):
        """A server relays the headers of a not-run answer to its onward call.

        The server itself has run, so its caller must not receive not-run.
        """

        async def behave(node, call, token):
            level = int(call.service[1:])
            if level + 1 == depth:
                return Answer(Outcome.NOT_RUN, Reason.SERVER_REFUSED, 503)
            path = f"/s{level + 1}/"
            reply = await send_request(
                node.onward, "GET", path, ragworthoist_request=token
            )
            headers = [(k.encode(), v.encode()) for k, v in reply.headers.items()]
            return Answer(Outcome.UNKNOWN, Reason.SERVER_ERROR, reply.status, headers)

        fleet = FakeFleet(CHAIN[:depth], behave)

        async def run():
            async with fleet:
                return await send_request(
                    fleet.nodes_of("s0")[0].entrance, "GET", "/s0/"
                )

        assert run_virtual(run).outcome == "unknown"

    def test_not_run_claim_after_an_onward_call_ran_makes_the_outcome_unknown(self):
        async def behave(node, call, token):
            if call.service == "s1":
                return complete()
            await send_request(node.onward, "GET", "/s1/", ragworthoist_request=token)
            return Answer(Outcome.NOT_RUN, Reason.SERVER_REFUSED, 503)

        fleet = FakeFleet(["s0", "s1"], behave)

        async def run():
            async with fleet:
                return await send_request(
                    fleet.nodes_of("s0")[0].entrance, "GET", "/s0/"
                )

        assert run_virtual(run).outcome == "unknown"


class TestForwarding:
    def test_call_that_expired_during_a_pause_is_not_forwarded(self):
        async def behave(node, call, token):
            return complete()

        fleet = FakeFleet(["stock"], behave)

        async def run():
            async with fleet:
                answers = []
                node = fleet.nodes_of("stock")[0]
                node.forwarder.submit(make_call(deadline=1.0), answers.append)
                asyncio.get_running_loop().advance_without_running(5.0)
                await anyio.sleep(0.1)
                return answers

        answers = run_virtual(run)

        assert [a.reason for a in answers] == [Reason.DEADLINE]
        assert answers[0].outcome is Outcome.NOT_RUN
        assert not fleet.runs


class TestTickets:
    @settings(max_examples=80)
    @given(
        faults=FAULTS,
        script=st.lists(
            st.tuples(
                st.integers(0, 3),
                st.sampled_from([0.0, 0.001, 0.02, 0.5, 70.0]),
                st.sampled_from(["ask", "ask", "ask", "kill", "restart", "leave"]),
            ),
            min_size=1,
            max_size=8,
        ),
    )
    def test_retried_request_with_a_ticket_runs_at_most_once(self, faults, script):
        """The ticket is sent to any entrance while nodes are killed or restarted."""

        async def behave(node, call, token):
            await anyio.sleep(0.01)
            return complete()

        fleet = FakeFleet(["orders"], behave, faults=faults)
        replies = []

        async def run():
            async with fleet, anyio.create_task_group() as customers:
                first = await send_request(
                    fleet.nodes_of("orders")[0].entrance, "POST", "/orders/1"
                )
                for choice, pause, action in script:
                    await anyio.sleep(pause)
                    nodes = fleet.nodes_of("orders")
                    if action == "ask" and nodes:
                        node = nodes[choice % len(nodes)]
                        customers.start_soon(retry, node, first.ticket)
                    elif action == "kill" and len(nodes) > 1:
                        fleet.kill(nodes[choice % len(nodes)])
                    elif action == "restart":
                        fleet.add("orders")
                    elif action == "leave" and nodes:
                        nodes[choice % len(nodes)].forwarder.is_leaving = True

        async def retry(node, ticket):
            reply = await send_request(
                node.entrance, "POST", "/orders/1", ragworthoist_ticket=ticket
            )
            replies.append(reply.outcome)

        run_virtual(run)

        assert len(fleet.runs) <= 1
        if "completed" in replies:
            assert "not-run" not in replies
        if fleet.runs:
            assert "not-run" not in replies

    def test_a_refused_ticket_never_runs(self):
        async def behave(node, call, token):
            await anyio.sleep(0.2)
            return complete()

        values = {"defaults": {"limit": "fixed", "fixed_limit": 1}}
        fleet = FakeFleet(["orders"], behave, values, endpoints=1)
        replies = {}

        async def order(entrance, number, ticket):
            replies[number] = await send_request(
                entrance, "POST", f"/orders/{number}", ragworthoist_ticket=ticket
            )

        async def run():
            async with fleet, anyio.create_task_group() as customers:
                entrance = fleet.nodes_of("orders")[0].entrance
                tickets = [
                    (await send_request(entrance, "POST", "/orders/0")).ticket
                    for _ in range(20)
                ]
                for number, ticket in enumerate(tickets):
                    customers.start_soon(order, entrance, number, ticket)
                await anyio.sleep(30)
                refused = [n for n, r in replies.items() if r.outcome == "not-run"]
                assert refused
                for number in refused:
                    await order(entrance, number, tickets[number])
                    assert replies[number].reason == "ticket-void"
                    assert replies[number].ticket
                return refused

        refused = run_virtual(run)

        ran = {target for _, _, target, _ in fleet.runs}
        assert not ran & {f"/orders/{number}" for number in refused}

    def test_another_incarnation_does_not_run_a_ticket(self):
        async def behave(node, call, token):
            return complete()

        fleet = FakeFleet(["orders"], behave)

        async def run():
            async with fleet:
                first, second = fleet.nodes_of("orders")
                ticket = Ticket(first.instance, 30.0, b"nonce")
                call = make_call(ticket=seal_ticket(ticket, KEY))
                answers = []
                second.forwarder.submit(call, answers.append)
                return answers

        answers = run_virtual(run)

        assert [a.reason for a in answers] == [Reason.TICKET_HOLDER_GONE]
        assert answers[0].outcome is Outcome.UNKNOWN
        assert not fleet.runs

    def test_retries_with_a_ticket_get_the_stored_answer(self):
        async def behave(node, call, token):
            await anyio.sleep(0.01)
            return complete(b"order 17")

        fleet = FakeFleet(["orders"], behave)

        async def run():
            async with fleet:
                nodes = fleet.nodes_of("orders")
                first = await send_request(nodes[0].entrance, "POST", "/orders/1")
                assert (first.status, first.outcome) == (428, "not-run")
                return [
                    await send_request(
                        n.entrance,
                        "POST",
                        "/orders/1",
                        ragworthoist_ticket=first.ticket,
                    )
                    for n in nodes
                ]

        replies = run_virtual(run)

        assert [r.body for r in replies] == [b"order 17"] * 2
        assert len(fleet.runs) == 1

    @pytest.mark.parametrize(
        ("ticket", "body", "status", "outcome"),
        [
            ("garbage", b"", 400, "not-run"),
            (None, b"another order", 409, "not-run"),
        ],
    )
    def test_misused_tickets_are_refused(self, ticket, body, status, outcome):
        async def behave(node, call, token):
            return complete()

        fleet = FakeFleet(["orders"], behave)

        async def run():
            async with fleet:
                entrance = fleet.nodes_of("orders")[0].entrance
                first = await send_request(entrance, "POST", "/orders/1")
                await send_request(
                    entrance, "POST", "/orders/1", ragworthoist_ticket=first.ticket
                )
                return await send_request(
                    entrance,
                    "POST",
                    "/orders/1",
                    body,
                    ragworthoist_ticket=ticket or first.ticket,
                )

        reply = run_virtual(run)

        assert (reply.status, reply.outcome) == (status, outcome)

    def test_onward_post_is_not_retried_after_an_unknown_outcome(self):
        async def behave(node, call, token):
            if call.service == "deposits":
                return Answer(Outcome.UNKNOWN, Reason.SERVER_LOST)
            for _ in range(3):
                await send_request(
                    node.onward, "POST", "/deposits/1", ragworthoist_request=token
                )
            return complete()

        fleet = FakeFleet(["bookings", "deposits"], behave)

        async def run():
            async with fleet:
                entrance = fleet.nodes_of("bookings")[0].entrance
                first = await send_request(entrance, "POST", "/bookings/1")
                await send_request(
                    entrance, "POST", "/bookings/1", ragworthoist_ticket=first.ticket
                )

        run_virtual(run)

        assert [service for service, *_ in fleet.runs] == ["bookings", "deposits"]


class TestOnwardRetries:
    @pytest.mark.parametrize("method", ["GET", "POST"])
    @pytest.mark.parametrize("retries", [0, 4])
    def test_retry_after_an_unknown_outcome_is_never_answered_not_run(
        self, method, retries
    ):
        """A server itself retries an onward call that may have run already."""
        outcomes = []

        async def behave(node, call, token):
            if call.service == "deposits":
                for other in fleet.nodes_of("deposits"):
                    other.forwarder.is_leaving = True
                return Answer(Outcome.UNKNOWN, Reason.SERVER_LOST)
            for _ in range(2):
                reply = await send_request(
                    node.onward, method, "/deposits/1", ragworthoist_request=token
                )
                outcomes.append(reply.outcome)
            return complete()

        values = {"defaults": {"retries": retries}}
        fleet = FakeFleet(["bookings", "deposits"], behave, values)

        async def run():
            async with fleet:
                await send_request(
                    fleet.nodes_of("bookings")[0].entrance, "GET", "/bookings/1"
                )

        run_virtual(run)

        assert outcomes == ["unknown", "unknown"]


class TestLeaving:
    def test_leaving_node_cut_off_from_gossip_gets_no_new_calls(self):
        """A caller that missed the gossip avoids the node after its first refusal."""

        async def behave(node, call, token):
            return complete()

        fleet = FakeFleet(["orders", "stock"], behave)
        replies = []

        async def run():
            async with fleet:
                entrance = fleet.nodes_of("orders")[0].entrance
                leaving_node = fleet.nodes_of("stock")[0]
                leaving_node.forwarder.is_leaving = True
                original_submit = leaving_node.forwarder.submit
                calls = []

                def submit(call, reply):
                    calls.append(call)
                    return original_submit(call, reply)

                leaving_node.forwarder.submit = submit
                for _ in range(60):
                    replies.append(await send_request(entrance, "GET", "/stock/1"))
                    await anyio.sleep(0.05)
                return len(calls)

        refused = run_virtual(run)

        assert {reply.outcome for reply in replies} == {"completed"}
        assert refused <= 2


class TestLevels:
    @pytest.mark.parametrize("carried", [True, False])
    def test_requests_that_a_deep_service_sheds_are_refused_at_the_first_hop(
        self, carried
    ):
        async def behave(node, call, token):
            if call.service == "stock":
                await anyio.sleep(0.1)
                return complete()
            path = "/stock/reserve"
            reply = await send_request(
                node.onward, "GET", path, ragworthoist_request=token
            )
            ok = reply.status == 200
            return (
                complete() if ok else Answer(Outcome.UNKNOWN, Reason.SERVER_ERROR, 503)
            )

        values = {
            "defaults": {
                "limit": "fixed",
                "fixed_limit": 4,
                "carry_levels": carried,
                "retries": 0,
            },
            "exceptions": [
                {
                    "name": "wide",
                    "reason": "orders wait for stock and need places",
                    "author": "ana",
                    "service": "orders",
                    "set": {"fixed_limit": 500},
                }
            ],
        }
        fleet = FakeFleet(["orders", "stock"], behave, values, endpoints=1)

        async def run():
            async with fleet, anyio.create_task_group() as customers:
                entrance = fleet.nodes_of("orders")[0].entrance
                for _ in range(1000):
                    customers.start_soon(send_request, entrance, "GET", "/orders/1")
                    await anyio.sleep(0.01)

        run_virtual(run)

        # 100 requests arrive per second, of which the stock service can serve 40.
        ran = sum(service == "orders" for service, *_ in fleet.runs)
        assert (ran < 700) == carried
