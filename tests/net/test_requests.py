"""What one connection of a client holds, and how much work one read of it is."""

import asyncio
import contextlib
from collections import Counter

import pytest

from ragworthoist.core.connections import ConnectionBudget
from ragworthoist.core.memory import MemoryBudget
from ragworthoist.core.routes import RequestLimits
from ragworthoist.core.turns import FREE_ITEMS, ITEMS_PER_TURN
from ragworthoist.net.bodies import BodyPipe
from ragworthoist.net.listener import Listener
from ragworthoist.net.requests import (
    BODY_SLICE_BYTES,
    MAX_PIPELINED,
    SLICE_BYTES,
    ClientConnection,
)

HANG_SECONDS = 30.0
LIMITS = RequestLimits(
    max_head_bytes=16_384, max_body_bytes=10**7, head_timeout=60.0, idle_timeout=60.0
)
GET = b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n"
UPLOAD = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
LARGE = 200_000


def make_chunks(parts):
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)


async def echo(request):
    body = request.body
    if isinstance(body, BodyPipe):
        parts = []
        while part := await body.read():
            parts.append(part)
        body = b"".join(parts)
    await request.respond(200, [], request.target + b" " + body)


async def answer_in_parts(request):
    pipe = BodyPipe(memory=request._connection._listener.memory)
    pipe.feed(b"x" * 300_000)
    try:
        await request.respond(200, [], pipe)
    finally:
        pipe.discard()


async def fail(_request):
    raise asyncio.CancelledError


async def wait(_request):
    await asyncio.Event().wait()


async def wait_until_the_deadline(_request):
    await asyncio.sleep(0.3)


async def refuse_at_once(request):
    await request.respond(503)


class Client:
    """A listener with `handle`, and a client that is connected to it."""

    def __init__(self, handle, connection_limit=float("inf")):
        self.memory = MemoryBudget()
        self.listener = Listener(
            handle,
            ("127.0.0.1", 0),
            memory=self.memory,
            connection_budget=ConnectionBudget(connection_limit),
        )
        self.listener.limits = LIMITS

    async def __aenter__(self):
        await self.listener.__aenter__()
        address = self.listener._server.sockets[0].getsockname()
        self.reader, self.writer = await asyncio.open_connection(*address)
        return self

    async def __aexit__(self, *exception):
        self.writer.close()
        await self.listener.__aexit__(*exception)

    async def send(self, data):
        self.writer.write(data)
        with contextlib.suppress(ConnectionError):
            await self.writer.drain()

    async def wait_until(self, condition):
        async with asyncio.timeout(HANG_SECONDS):
            while not condition():
                await asyncio.sleep(0.005)

    async def read_answer(self):
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode().lower()
        length = int(head.split("content-length: ")[1].split("\r\n")[0])
        status = int(head.split()[1])
        return status, head, await self.reader.readexactly(length)


WAYS_OUT = {
    "answered": (echo, GET % 1, False),
    "upload answered": (
        echo,
        UPLOAD + make_chunks([b"x" * LARGE]) + b"0\r\n\r\n",
        False,
    ),
    "refused head": (echo, b"GET / HTTP/1.1\r\nhost a\r\n\r\n", False),
    "refused chunk": (echo, UPLOAD + make_chunks([b"x" * LARGE]) + b"zz\r\n", False),
    "refused at once": (
        refuse_at_once,
        UPLOAD + make_chunks([b"x" * LARGE]) + b"0\r\n\r\n",
        False,
    ),
    "left in a head": (echo, GET[:-2] % 1, True),
    "left in a short upload": (echo, UPLOAD + make_chunks([b"xy"] * 9), True),
    "left in a long upload": (echo, UPLOAD + make_chunks([b"x" * LARGE]), True),
    # Its end stays behind bytes for which there is no room, so nobody can tell.
    "left in a long upload that is not read": (
        wait_until_the_deadline,
        UPLOAD + make_chunks([b"x" * LARGE]),
        True,
    ),
    "left after an upload that is not read": (
        wait,
        UPLOAD + make_chunks([b"x" * 70_000]) + b"0\r\n\r\n",
        True,
    ),
    "left while requests wait": (
        wait,
        b"".join(GET % n for n in range(40)),
        True,
    ),
    "left in an answer": (answer_in_parts, GET % 1, True),
    "failed": (fail, UPLOAD + make_chunks([b"x" * LARGE]) + b"0\r\n\r\n", False),
}


@pytest.mark.parametrize(("handle", "sent", "leaves"), WAYS_OUT.values(), ids=WAYS_OUT)
@pytest.mark.parametrize("is_stopped", [False, True], ids=["serving", "stopped"])
def test_connection_keeps_nothing_on_its_way_out(handle, sent, leaves, is_stopped):
    async def run():
        client = Client(handle)
        async with client:
            await client.send(sent)
            if leaves:
                await client.wait_until(lambda: client.memory.held_bytes)
            if is_stopped:
                await client.listener.__aexit__(None, None, None)
            elif leaves:
                client.writer.transport.abort()
            await client.wait_until(lambda: not client.memory.held_bytes)

    asyncio.run(run())


EVICTED = {
    "head": (GET[:-2] % 1 + b"x: " + b"y" * 5000 + b"\r\n", 503),
    "short upload": (UPLOAD + make_chunks([b"x" * 20_000]), 503),
    "long upload": (UPLOAD + make_chunks([b"x" * LARGE]), None),
    "requests that wait": (b"".join(GET % n for n in range(10)), None),
}


@pytest.mark.parametrize(("sent", "status"), EVICTED.values(), ids=EVICTED)
def test_evicted_client_is_refused_only_if_nothing_has_started(sent, status):
    async def run():
        async with Client(wait) as client:
            await client.send(sent)
            await client.wait_until(lambda: client.memory.held_bytes > 4000)
            await asyncio.sleep(0.05)
            client.memory.limit_bytes = 10
            client.memory.relieve()
            assert client.memory.held_bytes <= 10
            if status is None:
                with contextlib.suppress(ConnectionError):
                    assert await client.reader.read() == b""
            else:
                found, head, _ = await client.read_answer()
                assert found == status
                assert "retry-after: " in head

    asyncio.run(run())


@pytest.mark.parametrize("size", [1_000, 9_000, 14_000])
@pytest.mark.parametrize("part", [1, 700, 3000, 20_000])
def test_head_inside_the_limit_that_arrives_in_parts_is_refused(size, part):
    head = GET[:-2] % 1 + b"".join(b"x-%04d: y\r\n" % n for n in range(size // 11))
    head += b"\r\n"

    async def run():
        async with Client(echo) as client:
            for start in range(0, len(head), part):
                client.writer.write(head[start : start + part])
                if part > 1 or start % 50 == 0:
                    await client.writer.drain()
                    await asyncio.sleep(0)
            return (await client.read_answer())[0]

    assert asyncio.run(run()) == 200


@pytest.mark.parametrize("part", [100, 3000, 50_000])
@pytest.mark.parametrize(
    "end", [b"x: " + b"y" * 30_000, b"x: y\r\n" * 5000], ids=["long", "many"]
)
def test_head_without_end_beyond_the_limit_is_refused(end, part):
    async def run():
        async with Client(echo) as client:
            data = GET[:-2] % 1 + end
            for start in range(0, len(data), part):
                await client.send(data[start : start + part])
                await asyncio.sleep(0)
            return (await client.read_answer())[0]

    assert asyncio.run(run()) == 431


def test_requests_sent_at_once_are_all_started_at_once():
    count = 3000
    sent = b"".join(GET % number for number in range(count))
    most = []

    async def run():
        async with Client(echo) as client:

            async def handle(request):
                # One connection, so these are its requests.
                most.append(client.listener.open_requests)
                await echo(request)

            client.listener._handle = handle
            client.writer.write(sent)
            return [(await client.read_answer())[2] for _ in range(count)]

    assert asyncio.run(run()) == [b"/%d " % number for number in range(count)]
    assert max(most) <= MAX_PIPELINED + SLICE_BYTES // len(GET) + 1


@pytest.mark.parametrize("connections", [1, 8])
def test_small_chunks_keep_the_event_loop_from_everything_else(
    connections, monkeypatch
):
    """Counts the chunks of all connections that are parsed between two callbacks."""
    chunks = 20_000
    iteration = [0]
    parsed = Counter()
    on_body = ClientConnection.on_body

    def count(connection, data):
        parsed[iteration[0]] += 1
        on_body(connection, data)

    monkeypatch.setattr(ClientConnection, "on_body", count)
    body = b"xy" * chunks

    async def tick():
        while True:
            await asyncio.sleep(0)
            iteration[0] += 1

    async def upload(address):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(UPLOAD + make_chunks([b"xy"] * chunks) + b"0\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        answer = await reader.readexactly(len(body) + 2)
        writer.close()
        return answer

    async def run():
        async with asyncio.timeout(HANG_SECONDS), Client(echo) as client:
            ticking = asyncio.ensure_future(tick())
            address = client.listener._server.sockets[0].getsockname()
            answers = await asyncio.gather(
                *(upload(address) for _ in range(connections))
            )
            ticking.cancel()
            return answers

    assert asyncio.run(run()) == [b"/ " + body] * connections
    at_once = FREE_ITEMS + BODY_SLICE_BYTES // 7 + 1
    assert max(parsed.values()) <= ITEMS_PER_TURN + at_once * (connections + 1)


def test_requests_after_an_upload_in_small_chunks_are_answered_in_order():
    body = b"xyz" * 3000

    async def run():
        async with Client(echo) as client:
            upload = UPLOAD + make_chunks([b"xyz"] * 3000) + b"0\r\n\r\n"
            client.writer.write((upload + GET % 7) * 20)
            return [(await client.read_answer())[2] for _ in range(40)]

    assert asyncio.run(run()) == [b"/ " + body, b"/7 "] * 20


async def answer_long(request):
    await request.respond(200, [], b"x" * 10_000_000)


STATES = {
    "idle": (echo, b"", True),
    "in a head": (echo, GET[:-2] % 1, True),
    "in a short upload": (echo, UPLOAD + make_chunks([b"xy"]), True),
    "in a long upload": (echo, UPLOAD + make_chunks([b"x" * LARGE]), True),
    "answered": (echo, GET % 1, True),
    "reads nothing": (answer_long, GET % 1, True),
    "running": (wait, GET % 1, False),
}


@pytest.mark.parametrize(("handle", "sent", "is_closed"), STATES.values(), ids=STATES)
def test_clients_that_wait_longest_use_up_the_connections(handle, sent, is_closed):
    """Only a connection whose request runs is kept, and the new one refused."""

    async def run():
        async with asyncio.timeout(HANG_SECONDS), Client(handle, 1) as client:
            await client.send(sent)
            await client.wait_until(lambda: client.listener.connections)
            await asyncio.sleep(0.1)
            (first,) = client.listener.connections
            address = client.listener._server.sockets[0].getsockname()
            reader, writer = await asyncio.open_connection(*address)
            await client.wait_until(
                lambda: reader.at_eof() or first not in client.listener.connections
            )
            kept = client.listener.connections
            assert len(kept) <= 1
            writer.close()
            return first not in kept

    assert asyncio.run(run()) is is_closed


OFFER = b"%b /%d HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: x/1\r\n%b\r\n%b"


@pytest.mark.parametrize(
    ("method", "framing", "body"),
    [
        (b"GET", b"", b""),
        (b"POST", b"content-length: 5\r\n", b"abcde"),
        (b"POST", b"transfer-encoding: chunked\r\n", b"5\r\nabcde\r\n0\r\n\r\n"),
    ],
    ids=["no body", "length", "chunks"],
)
@pytest.mark.parametrize("is_split", [False, True], ids=["at once", "split"])
def test_request_that_offers_an_upgrade_is_answered_twice(
    method, framing, body, is_split
):
    async def run():
        async with asyncio.timeout(HANG_SECONDS), Client(echo) as client:
            content = b"abcde" if body else b""
            for number in range(3):
                sent = OFFER % (method, number, framing, body) + GET % 9
                parts = [sent[:-40], sent[-40:]] if is_split else [sent]
                for part in parts:
                    await client.send(part)
                    await asyncio.sleep(0.01)
                status, _, answer = await client.read_answer()
                assert (status, answer) == (200, b"/%d " % number + content)
                assert (await client.read_answer())[2] == b"/9 "

    asyncio.run(run())
