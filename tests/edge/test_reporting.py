"""Queries of the server's id after the node has started.

Guards against a delay of the first calls: none is forwarded before the id is known,
so the query has to follow as soon as there are routes.
"""

from types import SimpleNamespace

import anyio
import pytest

from ragworthoist.core.routes import ServiceInfo
from ragworthoist.core.server_lifecycle import ServerLifecycle, ServerState
from ragworthoist.edge import reporting
from ragworthoist.edge.reporting import (
    ROUTES_POLL_SECONDS,
    VERIFY_RETRY_SECONDS,
    ServerReports,
)
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
        self.sleeps = []
        self._script = list(script)

    @property
    def policy(self):
        if len(self.sleeps) < self.polls_without_policy:
            return None
        return SimpleNamespace(service=lambda name: ServiceInfo(name, "/health", 8))

    async def send(self, _head):
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
    ],
)
def test_server_is_asked_for_its_id_once_routes_are_known(
    monkeypatch, polls_without_policy, script, sleeps, state
):
    node = FakeNode(polls_without_policy, script)
    monkeypatch.setattr(reporting.anyio, "sleep", node.sleep)
    anyio.run(ServerReports(node).verify_server)
    assert (node.sleeps, node.lifecycle.state) == (sleeps, state)
