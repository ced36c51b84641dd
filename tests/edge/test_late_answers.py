"""A server sends a second copy of an answer late, on a connection in use again.

Guards against the next call getting an answer that is not its own.
"""

import asyncio
from types import SimpleNamespace

import pytest

from ragworthoist.core.entities import Call, Outcome
from ragworthoist.core.routes import ServiceInfo
from ragworthoist.core.server_lifecycle import ServerLifecycle, ServerReport
from ragworthoist.edge.forwarding import Forwarder
from ragworthoist.edge.reporting import ServerReports
from ragworthoist.net.client import HttpClient

HANG_SECONDS = 30.0
OWN = b"the answer to the second call"


def answer(attempt_id, body, status=b"200 OK", extra=b""):
    identity = b"attempt-id: %s\r\n" % attempt_id if attempt_id else b""
    return (
        b"HTTP/1.1 %s\r\n%sserver-seal: s\r\ncontent-length: %d\r\n%s\r\n%s"
        % (status, identity, len(body), extra, body)
    )  # fmt: skip


SUCCESS = answer(b"first", b"the answer to the first call")
REJECTION = answer(b"", b"", b"503 Busy", b"not-executed: 1\r\n")
REJECTION_WITH_ID = answer(b"first", b"", b"503 Busy", b"not-executed: 1\r\n")
MISDIRECTION = answer(b"", b"", b"421 Misdirected", b"instance-id: i-2\r\n")
FAILURE = answer(b"", b"", b"500 Error")


class CopyingServer:
    """Answers the first request twice; the second copy comes at `moment`.

    `cut` is the number of its bytes that come before the next request is answered; the
    others come with that answer.
    """

    def __init__(self, first, moment, cut):
        self._first = first
        self._moment = moment
        self._cut = cut
        self.ran = []

    async def serve(self, reader, writer):
        has_answered_first = False
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await self._answer(head, writer, has_answered_first)
                has_answered_first = True
        except (asyncio.IncompleteReadError, OSError):
            writer.close()

    async def _answer(self, head, writer, has_answered_first):
        if b"first" in head:
            writer.write(self._first)
            if self._moment == "at once":
                writer.write(self._first[: self._cut])
            elif self._moment == "idle":
                await writer.drain()
                await asyncio.sleep(0.02)
                writer.write(self._first[: self._cut])
            return
        self.ran.append(b"second")
        if has_answered_first and self._moment == "before the answer":
            writer.write(self._first[: self._cut])
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.write(self._first[self._cut :])
        writer.write(answer(b"second", OWN))
        await writer.drain()


def make_call(attempt_id):
    return Call(
        attempt_id, "order", 0, 1.0, 1e9, 1, 0, "shop", "GET", "/x",
        headers=[(b"attempt-id", attempt_id)],
    )  # fmt: skip


def report_ready(forwarder):
    report = ServerReport("i", "shop", "here:1", 4, False, 1)
    forwarder.lifecycle.process_report(report, 0.0)


async def query_id(forwarder, client, clock):
    """Query the id of the server, as a node does at its start."""
    node = SimpleNamespace(
        policy=SimpleNamespace(service=lambda name: ServiceInfo(name, "/first", 8)),
        settings=SimpleNamespace(node=SimpleNamespace(service="shop")),
        lifecycle=forwarder.lifecycle,
        forwarder=forwarder,
        server_client=client,
        clock=clock,
    )
    await ServerReports(node).verify_server()
    report_ready(forwarder)


async def call_first(forwarder, _client, _clock):
    report_ready(forwarder)
    await forwarder.serve(make_call(b"first"))


def play(first, moment, cut, pause, send_first):
    """Return the answer to the second call, and what the server ran."""

    async def run():
        server = CopyingServer(first, moment, cut)
        listening = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        address = listening.sockets[0].getsockname()[:2]
        lifecycle = ServerLifecycle("shop", "here:1", 2.0)
        async with asyncio.timeout(HANG_SECONDS), HttpClient(address) as client:
            clock = asyncio.get_running_loop().time
            forwarder = Forwarder(lifecycle, client, clock)
            await send_first(forwarder, client, clock)
            await asyncio.sleep(pause)
            second = await forwarder.serve(make_call(b"second"))
        listening.close()
        return second, server.ran

    return asyncio.run(run())


def check_second(second, ran):
    if second.outcome is Outcome.COMPLETED:
        assert (second.status, second.body) == (200, OWN)
    else:
        # A call that may have run is never said not to have run.
        assert not ran or second.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize(
    "first",
    [SUCCESS, REJECTION, REJECTION_WITH_ID, FAILURE],
    ids=["success", "rejection", "rejection with id", "failure"],
)
@pytest.mark.parametrize("moment", ["at once", "idle", "before the answer"])
@pytest.mark.parametrize("cut", [1, 20, 10_000])
@pytest.mark.parametrize("pause", [0.0, 0.05])
def test_second_call_gets_its_own_answer_or_none(first, moment, cut, pause):
    check_second(*play(first, moment, cut, pause, call_first))


@pytest.mark.parametrize("first", [REJECTION, FAILURE], ids=["rejection", "failure"])
@pytest.mark.parametrize("moment", ["at once", "idle", "before the answer"])
@pytest.mark.parametrize("cut", [1, 20, 10_000])
@pytest.mark.parametrize("pause", [0.0, 0.05])
def test_call_after_a_rejected_query_of_the_id_is_said_not_to_have_run(
    first, moment, cut, pause
):
    check_second(*play(first, moment, cut, pause, query_id))
