"""When a node of the edge for attempts accepts clients after its start.

Guards against a node that waits for the record of a process that has ended.
"""

import asyncio
from types import SimpleNamespace

import anyio
import pytest
from fakes import VirtualLoop

from ragworthoist._settings import AttemptSettings
from ragworthoist.core.members import Member
from ragworthoist.edge import node as edge_node
from ragworthoist.edge.node import (
    CONTACT_INTERVAL_SECONDS,
    DISCOVERY_TIMEOUT_SECONDS,
    EdgeNode,
)

SETTINGS = AttemptSettings.model_validate(
    {
        "edge": "attempts",
        "node": {
            "name": "a", "service": "shop", "region": "r", "failure_domain": "z",
            "entrance": "127.0.0.1:1", "readiness": "127.0.0.1:2",
            "reports": "127.0.0.1:3", "peers": "127.0.0.1:4", "server": "127.0.0.1:5",
        },
        "fleet": {"name": "main", "key": "k" * 16},
        "store": {
            "protocol": "platform", "url": "http://127.0.0.1:6",
            "configuration_key": "routes",
        },
    }
)  # fmt: skip


class Joined:
    has_joined = True


class Datagrams:
    """Tells the node after `answers_after` seconds that a pinged member is gone."""

    def __init__(self, node, answers_after):
        self._node = node
        self._answers_after = answers_after
        self.sent = []

    async def send(self, datagrams):
        now = asyncio.get_running_loop().time()
        for message, _address in datagrams:
            self.sent.append(now)
            if now >= self._answers_after:
                self._node.membership.configuration_versions[message.target] = 1


@pytest.mark.parametrize(
    ("answers_after", "ready_before"),
    [
        (0.0, 0.2),
        (0.3, 0.6),
        (0.5, 0.8),
        # A member that never answers is waited for in vain four times.
        (1e6, 4 * CONTACT_INTERVAL_SECONDS + 0.2),
    ],
)
def test_members_that_have_not_answered_are_pinged_again(
    answers_after, ready_before, monkeypatch
):
    async def run():
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(edge_node, "read_clock", loop.time)
        node = EdgeNode(SETTINGS)
        node.datagrams = Datagrams(node, answers_after)
        node.discovery = Joined()
        node.configuration.policy = SimpleNamespace(version=1)
        member = Member(b"old", "shop", "r", "z", "10.0.0.9", 1)
        node.membership.merge([member], loop.time())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(node._check)
            while not node.is_ready:
                await asyncio.sleep(0.01)
            tasks.cancel_scope.cancel()
        return loop.time(), len(node.datagrams.sent)

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        seconds, sent = runner.run(run())
    assert seconds < ready_before
    assert sent <= 1 + seconds / 0.2


@pytest.mark.parametrize(
    ("peer_version", "adopted_after", "ready_at_least", "ready_before"),
    [
        (1, None, 0.0, 0.2),
        (2, 0.5, 0.5, 0.7),
        # A version that this node refuses does not keep it from serving for good.
        (2, None, DISCOVERY_TIMEOUT_SECONDS, DISCOVERY_TIMEOUT_SECONDS + 0.2),
    ],
)
def test_node_is_ready_with_an_older_configuration_than_its_peers(
    peer_version, adopted_after, ready_at_least, ready_before, monkeypatch
):
    async def run():
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(edge_node, "read_clock", loop.time)
        node = EdgeNode(SETTINGS)
        node.datagrams = Datagrams(node, 1e6)
        node.discovery = Joined()
        node.configuration.policy = SimpleNamespace(version=1)
        member = Member(b"peer", "shop", "r", "z", "10.0.0.9", 1)
        node.membership.merge([member], loop.time())
        node.membership.configuration_versions[b"peer"] = peer_version
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(node._check)
            while not node.is_ready:
                await asyncio.sleep(0.01)
                if adopted_after is not None and loop.time() >= adopted_after:
                    node.configuration.policy = SimpleNamespace(version=peer_version)
            tasks.cancel_scope.cancel()
        return loop.time()

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        seconds = runner.run(run())
    assert ready_at_least <= seconds < ready_before
