"""Tests of the client of the backend server, against a server that misbehaves."""

import asyncio
import os
from pathlib import Path

import pytest
from test_streams import make_call

from ragworthoist.core.entities import Outcome, Reason
from ragworthoist.net.backend import BackendClient
from ragworthoist.net.frames import MAX_BODY_BYTES

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


def read_resident_bytes():
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


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


class TestBytesWithoutEnd:
    @pytest.mark.parametrize(
        ("start", "more"),
        [
            (b"HTTP/1.1 200 OK\r\n", b"x-%d: y\r\n"),
            (b"HTTP/1.1 200 OK\r\nx: ", b"y%d"),
            (b"HTTP/1.1 200 ", b"y%d"),
            (b"", b"HTTP/1.1 100 Continue\r\nx: %d\r\n\r\n"),
            (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;", b"x%d"),
            (
                b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
                b"x-%d: y\r\n",
            ),
            (b"HTTP/1.1 200 OK\r\n\r\n", b"%d"),
            (b"\x00\x01", b"%d"),
        ],
        ids=[
            "headers", "header", "reason", "interim", "extension", "trailers",
            "body", "noise",
        ],
    )  # fmt: skip
    def test_are_not_kept_and_end_the_call_at_its_deadline_at_the_latest(
        self, start, more
    ):
        sent = 0

        async def serve(reader, writer):
            nonlocal sent
            await reader.readuntil(b"\r\n\r\n")
            writer.write(start)
            try:
                while True:
                    block = b"".join(more.replace(b"%d", b"%d" % n) for n in range(200))
                    writer.write(block)
                    sent += len(block)
                    await writer.drain()
            except OSError:
                writer.close()

        before = read_resident_bytes()
        answer = call_server(serve)
        assert answer.outcome is Outcome.UNKNOWN
        assert sent > 0
        assert read_resident_bytes() - before < 4 * MAX_BODY_BYTES
