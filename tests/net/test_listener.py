"""Tests of the HTTP server in `net.listener`.

Malformed input must not be served, concurrent requests must be answered in order, and
a truncated response must not look complete.
"""

import asyncio
import socket
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from ragworthoist.core.routes import RequestLimits
from ragworthoist.exceptions import BodyCutError
from ragworthoist.net.bodies import HIGH_WATER_BYTES, BodyPipe
from ragworthoist.net.listener import Listener
from ragworthoist.net.requests import MAX_FRAMING_BYTES

HANG_SECONDS = 60.0
# Largest read of an event loop.
MAX_READ_BYTES = 256 * 1024
LIMITS = RequestLimits(
    max_head_bytes=2000, max_body_bytes=200_000, head_timeout=60.0, idle_timeout=60.0
)
GET = b"GET %s HTTP/1.1\r\nhost: a\r\n\r\n"


async def echo(request):
    body = request.body
    if not isinstance(body, bytes):
        parts = []
        while part := await body.read():
            parts.append(part)
        body = b"".join(parts)
    await request.respond(200, [(b"target", request.target)], body)


@asynccontextmanager
async def serve(handle=echo, limits=LIMITS):
    async with asyncio.timeout(HANG_SECONDS):
        listener = Listener(handle, ("127.0.0.1", 0))
        listener.limits = limits
        async with listener:
            port = listener._server.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            yield listener, reader, writer
            writer.close()


async def read_response(reader):
    """Return (status, headers, body) of one response with a length or in chunks."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in head[1:] if line)
    status = int(head[0].split()[1])
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
        return status, headers, body
    return status, headers, await reader.readexactly(int(headers["content-length"]))


def send_pieces(*pieces, responses=1, handle=echo, limits=LIMITS):
    """Send `pieces` and return (responses, whether the connection was closed)."""

    async def run():
        async with serve(handle, limits) as (_, reader, writer):
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)
            found = [await read_response(reader) for _ in range(responses)]
            ended = found[-1][1].get("connection") == "close"
            if ended:
                assert await reader.read() == b""
            return found, ended

    return asyncio.run(run())


class TestBadInput:
    @pytest.mark.parametrize(
        ("sent", "status"),
        [
            (b"nonsense\r\n\r\n", 400),
            (b"GET / HTTP/1.1\r\nhost a\r\n\r\n", 400),
            (b"GET / HTTP/1.1\r\nx: " + b"y" * 3000 + b"\r\n\r\n", 431),
            (b"GET /" + b"y" * 3000 + b" HTTP/1.1\r\n\r\n", 431),
            (b"POST / HTTP/1.1\r\ncontent-length: 300000\r\n\r\n", 413),
            (b"POST / HTTP/1.1\r\ncontent-length: -1\r\n\r\n", 400),
            (b"POST / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n", 400),
            (
                b"POST / HTTP/1.1\r\ncontent-length: 5\r\n"
                b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
                400,
            ),
            (b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", 400),
        ],
    )
    def test_is_refused_with_its_status_and_closes_the_connection(self, sent, status):
        [(found, _, _)], ended = send_pieces(sent)
        assert (found, ended) == (status, True)

    def test_oversized_chunked_body_is_refused(self):
        chunk = b"10000\r\n" + b"x" * 65536 + b"\r\n"
        head = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"

        async def wait_for_end(request):
            while await request.body.read():
                pass

        async def run():
            async with serve(wait_for_end) as (_, reader, writer):
                writer.write(head + chunk * 5)
                return (await reader.readline()).split()[1]

        assert asyncio.run(run()) == b"413"

    @pytest.mark.parametrize(
        "start", [b"1;", b'1;name="', b"0\r\nname: ", b"1\r\nx\r\n1;"]
    )
    @pytest.mark.parametrize("body", [b"", b"10\r\n" + bytes(16) + b"\r\n"])
    def test_bytes_without_end_that_are_no_body_keep_the_connection_open(
        self, body, start
    ):
        head = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"

        async def run():
            async with serve() as (_, reader, writer):
                writer.write(head + body + start)
                reading = asyncio.create_task(reader.read())
                for _ in range(400):
                    if reading.done():
                        break
                    writer.write(b"y" * 4096)
                    await asyncio.sleep(0)
                return await asyncio.wait_for(reading, HANG_SECONDS / 10)

        answer = asyncio.run(run())
        assert answer.startswith(b"HTTP/1.1 400 ")
        assert answer.count(b"HTTP/1.1") == 1

    @pytest.mark.parametrize(
        ("more", "status"),
        [(b"x: %b\r\n" % (b"y" * 1000) * 10, 431), (b"y" * 10_000, 400)],
        ids=["lines", "one line"],
    )
    def test_trailers_without_end_after_a_long_body_are_refused(self, more, status):
        """Guards against a connection that is kept, or whose bytes are kept, for them.

        The body is in tiny chunks, whose framing must not allow for more trailers.
        """
        head = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
        sent = 0

        async def handle(request):
            while await request.body.read():
                pass

        async def run():
            nonlocal sent
            async with serve(handle) as (_, reader, writer):
                writer.write(head + b"1\r\nx\r\n" * (LIMITS.max_body_bytes - 1))
                await writer.drain()
                writer.write(b"0\r\n")
                reading = asyncio.create_task(reader.read())
                while sent < MAX_FRAMING_BYTES + 4 * MAX_READ_BYTES:
                    writer.write(more)
                    sent += len(more)
                    await writer.drain()
                return await asyncio.wait_for(reading, HANG_SECONDS / 10)

        assert asyncio.run(run()).startswith(b"HTTP/1.1 %d " % status)

    @pytest.mark.parametrize("behaviour", ["waits", "answers"])
    def test_refusal_of_an_oversized_body_is_the_only_response(self, behaviour):
        chunk = b"10000\r\n" + b"x" * 65536 + b"\r\n"
        head = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"

        async def handle(request):
            try:
                while await request.body.read():
                    pass
                await asyncio.sleep(HANG_SECONDS)
            except (BodyCutError, asyncio.CancelledError):
                if behaviour == "answers":
                    await request.respond(502)
                raise

        async def run():
            async with serve(handle) as (_, reader, writer):
                writer.write(head + chunk * 5)
                return await reader.read()

        answer = asyncio.run(run())
        assert answer.startswith(b"HTTP/1.1 413 ")
        assert answer.count(b"HTTP/1.1") == 1

    @pytest.mark.parametrize("size", [10, HIGH_WATER_BYTES + 10])
    def test_age_of_a_request_includes_its_transfer(self, size):
        ages = []

        async def note_age(request):
            if not isinstance(request.body, bytes):
                while await request.body.read():
                    pass
            ages.append(request.age)
            await request.respond(200)

        async def run():
            async with serve(note_age) as (_, reader, writer):
                writer.write(b"POST / HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % size)
                await asyncio.sleep(0.2)
                writer.write(bytes(size))
                await read_response(reader)
                writer.write(GET % b"/")
                await read_response(reader)

        asyncio.run(run())
        assert ages[0] >= 0.2 > ages[1]

    def test_earlier_requests_are_answered_before_the_refusal(self):
        found, ended = send_pieces(GET % b"/good" + b"bad\r\n\r\n", responses=2)
        assert ([status for status, _, _ in found], ended) == ([200, 400], True)

    @pytest.mark.parametrize("started", [b"GET / HT", b"GET / HTTP/1.1\r\nho"])
    def test_slow_head_is_refused_with_a_timeout_status(self, started):
        limits = replace(LIMITS, head_timeout=0.01)
        [(status, _, _)], ended = send_pieces(started, limits=limits)
        assert (status, ended) == (408, True)

    def test_an_idle_connection_is_closed(self):
        async def run():
            limits = replace(LIMITS, idle_timeout=0.01)
            async with serve(limits=limits) as (_, reader, writer):
                writer.write(GET % b"/")
                await read_response(reader)
                return await reader.read()

        assert asyncio.run(run()) == b""


class TestRequests:
    @pytest.mark.parametrize("size", [0, 1, 1000, HIGH_WATER_BYTES + 1, 200_000])
    @pytest.mark.parametrize("is_chunked", [False, True])
    def test_bodies_arrive_complete(self, size, is_chunked):
        body = bytes(range(256)) * (size // 256) + bytes(size % 256)
        if is_chunked:
            head = b"POST /x?a=b HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
            framed = b"%x\r\n%b\r\n" % (size, body) if size else b""
            sent = head + framed + b"0\r\n\r\n"
        else:
            head = b"POST /x?a=b HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % size
            sent = head + body
        [(status, headers, found)], _ = send_pieces(sent)
        assert (status, headers["target"], found) == (200, "/x?a=b", body)

    def test_pipelined_requests_run_concurrently_and_are_answered_in_order(self):
        async def run():
            second_ran = asyncio.Event()

            async def handle(request):
                if request.target == b"/1":
                    await second_ran.wait()
                else:
                    second_ran.set()
                await request.respond(200, [], request.target)

            async with serve(handle) as (_, reader, writer):
                writer.write(GET % b"/1" + GET % b"/2")
                return [(await read_response(reader))[2] for _ in range(2)]

        assert asyncio.run(run()) == [b"/1", b"/2"]

    def test_client_disconnect_cancels_its_request(self):
        async def run():
            started, cancelled = asyncio.Event(), asyncio.Event()

            async def handle(request):
                started.set()
                try:
                    await asyncio.Event().wait()
                finally:
                    cancelled.set()

            async with serve(handle) as (_, _, writer):
                writer.write(GET % b"/")
                await started.wait()
                writer.close()
                await cancelled.wait()

        asyncio.run(run())

    def test_response_before_the_body_ends_leaves_the_connection_usable(self):
        async def answer_early(request):
            await request.respond(200, [], request.target)

        async def run():
            async with serve(answer_early) as (_, reader, writer):
                size = HIGH_WATER_BYTES + 10
                writer.write(b"POST /1 HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % size)
                writer.write(bytes(HIGH_WATER_BYTES))
                first = await read_response(reader)
                writer.write(bytes(10) + GET % b"/2")
                return first[2], (await read_response(reader))[2]

        assert asyncio.run(run()) == (b"/1", b"/2")


class TestResponses:
    @pytest.mark.parametrize("cut_after", [0, 1, 3])
    def test_truncated_streamed_response_is_visibly_incomplete(self, cut_after):
        async def handle(request):
            pipe = BodyPipe()
            for _ in range(cut_after):
                pipe.feed(b"part")
            pipe.cut()
            await request.respond(200, [], pipe)

        async def run():
            async with serve(handle) as (_, reader, writer):
                writer.write(GET % b"/")
                try:
                    return await reader.read()
                except ConnectionResetError:
                    return b""

        assert not asyncio.run(run()).endswith(b"0\r\n\r\n")

    def test_handler_without_a_response_closes_the_connection(self):
        async def handle(_request):
            return

        async def run():
            async with serve(handle) as (_, reader, writer):
                writer.write(GET % b"/")
                try:
                    return await reader.read()
                except ConnectionResetError:
                    return b""

        assert asyncio.run(run()) == b""

    def test_draining_closes_the_connection_after_its_last_response(self):
        async def run():
            async with serve() as (listener, reader, writer):
                writer.write(GET % b"/1")
                before = await read_response(reader)
                listener.drain()
                writer.write(GET % b"/2" + GET % b"/3")
                after = [await read_response(reader) for _ in range(2)]
                assert await reader.read() == b""
                return [a[1].get("connection") for a in [before, *after]]

        assert asyncio.run(run()) == [None, None, "close"]

    def test_stopped_listener_finishes_requests_and_accepts_no_connection(self):
        async def run():
            started, release = asyncio.Event(), asyncio.Event()

            async def handle(request):
                started.set()
                await release.wait()
                await request.respond(200, [], b"done")

            async with serve(handle) as (listener, reader, writer):
                address = listener._server.sockets[0].getsockname()
                writer.write(GET % b"/")
                await started.wait()
                listener.drain()
                await listener.stop_accepting()
                with pytest.raises(OSError):
                    await asyncio.open_connection(*address)
                release.set()
                return await read_response(reader)

        status, headers, body = asyncio.run(run())
        assert (status, headers["connection"], body) == (200, "close", b"done")

    def test_connection_made_just_before_the_stop_is_answered(self):
        """It waits in the backlog of the socket while the process is busy."""

        async def run():
            async with serve() as (listener, _, _):
                address = listener._server.sockets[0].getsockname()
                clients = []
                # Without a pause, so that the event loop cannot accept them yet.
                for _ in range(20):
                    client = socket.create_connection(address)
                    client.sendall(GET % b"/late")
                    clients.append(client)
                await listener.stop_accepting()
                statuses = []
                for client in clients:
                    reader, writer = await asyncio.open_connection(sock=client)
                    statuses.append((await read_response(reader))[0])
                    writer.close()
                return statuses

        assert set(asyncio.run(run())) <= {200, 503}

    def test_refused_long_body_leaves_the_earlier_response_intact(self):
        async def run():
            started, release = asyncio.Event(), asyncio.Event()

            async def handle(request):
                started.set()
                await release.wait()
                await request.respond(200, [], b"ahead")

            async with serve(handle) as (listener, reader, writer):
                writer.write(GET % b"/ahead")
                await started.wait()
                listener.drain()
                listener.is_stopping = True
                size = HIGH_WATER_BYTES + 10
                head = b"POST / HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % size
                writer.write(head + bytes(size))
                [connection] = listener.connections
                while connection._body_bytes < size:
                    await asyncio.sleep(0)
                release.set()
                return (await read_response(reader))[2]

        assert asyncio.run(run()) == b"ahead"

    @pytest.mark.parametrize(("ahead", "statuses"), [(0, [503]), (1, [200])])
    def test_request_received_while_stopping_is_not_started(self, ahead, statuses):
        async def run():
            started, release = asyncio.Event(), asyncio.Event()
            targets = []

            async def handle(request):
                targets.append(request.target)
                started.set()
                await release.wait()
                await request.respond(200)

            async with serve(handle) as (listener, reader, writer):
                if ahead:
                    writer.write(GET % b"/ahead")
                    await started.wait()
                listener.drain()
                listener.is_stopping = True
                writer.write(GET % b"/late")
                await asyncio.sleep(0.01)
                release.set()
                found = [(await read_response(reader))[0] for _ in statuses]
                assert await reader.read() == b""
                return found, targets

        assert asyncio.run(run()) == (statuses, [b"/ahead"] * ahead)
