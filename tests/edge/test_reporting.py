"""Queries of the server's id after the node has started.

Guards against a delay of the first calls: none is forwarded before the id is known,
so the query has to follow as soon as there are routes.
"""

from types import SimpleNamespace

import anyio
import pytest

from ragworthoist.core.advertised_rate import AdvertisedRate
from ragworthoist.core.arrivals import ArrivalMeter
from ragworthoist.core.routes import ServiceInfo
from ragworthoist.core.server_lifecycle import (
    ServerLifecycle,
    ServerReport,
    ServerState,
)
from ragworthoist.edge import reporting
from ragworthoist.edge.reporting import (
    ROUTES_POLL_SECONDS,
    VERIFY_RETRY_SECONDS,
    ServerReports,
)
from ragworthoist.edge.server_notices import ServerNotices
from ragworthoist.exceptions import ConnectFailedError
from ragworthoist.net.exchanges import Response

READY = Response(200, [(b"instance-id", b"i-1")])


class FakeNode:
    """Has routes after `polls_without_policy` polls; `script` holds the responses."""

    def __init__(self, polls_without_policy, script):
        self.polls_without_policy = polls_without_policy
        self.clock = lambda: 1.0
        self.lifecycle = ServerLifecycle("shop", "here:1", 2.0)
        self.settings = SimpleNamespace(node=SimpleNamespace(service="shop"))
        self.server_client = self
        self.rate = AdvertisedRate()
        notices = ServerNotices(self.lifecycle, self.rate, ArrivalMeter())
        self.forwarder = SimpleNamespace(notices=notices)
        self.sleeps = []
        self._script = list(script)

    @property
    def policy(self):
        if len(self.sleeps) < self.polls_without_policy:
            return None
        return SimpleNamespace(service=lambda name: ServiceInfo(name, "/health", 8))

    async def send(self, _head, **_options):
        answer = self._script.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def sleep(self, seconds):
        self.sleeps.append(seconds)


@pytest.mark.parametrize(
    ("polls_without_policy", "script", "sleeps", "state"),
    [
        (0, [READY], [], ServerState.READY),
        (2, [READY], [ROUTES_POLL_SECONDS] * 2, ServerState.READY),
        (
            1,
            [ConnectFailedError("here:1", "refused"), READY],
            [ROUTES_POLL_SECONDS, VERIFY_RETRY_SECONDS],
            ServerState.READY,
        ),
        (0, [Response(503, [(b"instance-id", b"i-1")])], [], ServerState.UNKNOWN),
        (
            0,
            [Response(503, [(b"instance-id", b"i-1"), (b"server-leaving", b"1")])],
            [],
            ServerState.LEAVING,
        ),
    ],
)
def test_server_is_asked_for_its_id_once_routes_are_known(
    monkeypatch, polls_without_policy, script, sleeps, state
):
    node = FakeNode(polls_without_policy, script)
    monkeypatch.setattr(reporting.anyio, "sleep", node.sleep)
    anyio.run(ServerReports(node).verify_server)
    assert (node.sleeps, node.lifecycle.state) == (sleeps, state)


def test_rate_is_known_from_the_query_of_the_id():
    node = FakeNode(0, [Response(200, [*READY.headers, (b"server-limit", b"9.8")])])
    anyio.run(ServerReports(node).verify_server)
    assert node.rate.rate == 9.8


@pytest.mark.parametrize("is_report_first", [True, False])
def test_server_that_is_leaving_at_the_start_of_its_node_gets_no_calls(is_report_first):
    """A report that it is ready may have been delayed until after the restart."""
    leaving = Response(503, [*READY.headers, (b"server-leaving", b"1")])
    node = FakeNode(0, [leaving])
    late = ServerReport("i-1", "shop", "here:1", 8, False, 3, server_start_ms=5)
    if is_report_first:

        async def send_after_report(_head, **_options):
            node.lifecycle.process_report(late, 1.0)
            return leaving

        node.send = send_after_report
    anyio.run(ServerReports(node).verify_server)
    node.lifecycle.process_report(late, 1.0)
    assert not node.lifecycle.admits(1.0)
