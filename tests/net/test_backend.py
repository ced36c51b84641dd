"""Tests of the client of the backend server, against a server that misbehaves."""

import asyncio

import pytest
from test_streams import make_call

from ragworthoist.core.entities import Outcome, Reason
from ragworthoist.net.backend import BackendClient

HANG_SECONDS = 4.0


def call_server(serve):
    """Return the `Answer` to a call to a server whose connections `serve` handles."""

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()[:2]
        async with asyncio.timeout(HANG_SECONDS), BackendClient(address) as backend:
            call = make_call("/", deadline=0.0)
            answer = await backend.send(call, "token", HANG_SECONDS / 2)
        server.close()
        return answer

    return asyncio.run(run())


class TestStatus:
    @pytest.mark.parametrize("status", [b"000", b"007", b"101", b"600", b"999"])
    def test_status_outside_the_protocol_is_no_answer(self, status):
        """Guards against handing such a status to the customer."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 %s x\r\ncontent-length: 2\r\n\r\nok" % status)
            await writer.drain()
            writer.close()

        answer = call_server(serve)
        assert answer.outcome is Outcome.UNKNOWN
        assert answer.reason in (Reason.SERVER_GARBLED, Reason.SERVER_LOST)
