"""Answers of a faulty store, as the client of the platform's store takes them."""

import asyncio
import json

import pytest

from ragworthoist._settings import StoreSettings
from ragworthoist.exceptions import HistoryGoneError, StoreError, StoreResponseError
from ragworthoist.platform.store import PlatformStore, StorePosition

HANG_SECONDS = 20.0
LONG = b"x" * 200_000

POSITION = StorePosition(2, None)

CALLS = {
    "get": lambda store: store.get("op/config"),
    "read": lambda store: store.read("op/config"),
    "list": lambda store: store.list("peers/"),
    "lease": lambda store: store.grant_lease(5.0),
    "put": lambda store: store.put("peers/a", b"x", 1),
    "keep": lambda store: store.keep_lease(1),
    "end": lambda store: store.end_lease(1),
    "watch": lambda store: anext(store.watch("op/config", POSITION)),
}


def make_answer(body, length=None, status=b"200 OK", headers=b""):
    length = len(body) if length is None else length
    head = b"HTTP/1.1 %s\r\ncontent-length: %d\r\n%s\r\n" % (status, length, headers)
    return head + body


async def call_store(operation, serve, timeout_ms=1000):
    """Return the result of one call to a store that answers by `serve`."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    settings = StoreSettings(
        url=f"http://127.0.0.1:{port}", timeout_ms=timeout_ms, protocol="platform"
    )
    try:
        async with asyncio.timeout(HANG_SECONDS), PlatformStore(settings) as store:
            return await CALLS[operation](store)
    finally:
        server.close()


def serve_once(answer):
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()
        writer.close()

    return serve


@pytest.mark.parametrize("operation", CALLS)
@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"HTTP/1.1 200 OK\r\n",
        make_answer(b'{"it', length=100),
        make_answer(LONG, length=300_000),
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n{",
        b"not an answer\r\n\r\n",
    ],
    ids=["closed", "head", "short body", "long body", "chunk", "noise"],
)
def test_an_answer_that_is_cut_or_garbled_is_a_store_error(operation, answer):
    with pytest.raises(StoreError):
        asyncio.run(call_store(operation, serve_once(answer)))


@pytest.mark.parametrize(
    ("operation", "content"),
    [
        ("get", b"{"),
        ("get", b"{}"),
        ("get", b'{"key": "op/config", "revision": "new"}'),
        ("get", b"[]"),
        ("read", b"{}"),
        ("read", b'{"at": 3, "items": [{"key": "op/config"}]}'),
        ("read", b'{"at": 3, "items": 4}'),
        ("list", b'{"items": [{}]}'),
        ("list", b'{"items": {"a": 1}}'),
        ("list", b'{"hasMore": true}'),
        ("lease", b"{}"),
        ("watch", b"{}"),
        ("watch", b'{"at": 3, "events": [{"key": "op/config", "value": "x"}]}'),
        ("watch", b'{"at": "soon", "events": 7}'),
    ],
)
def test_an_answer_without_what_was_asked_for_is_a_store_error(operation, content):
    with pytest.raises(StoreResponseError):
        asyncio.run(call_store(operation, serve_once(make_answer(content))))


@pytest.mark.parametrize(
    ("start", "more"),
    [
        (b"HTTP/1.1 200 OK\r\n", b"x-a: y\r\n"),
        (b"HTTP/1.1 200 OK\r\nx: ", b"yyyyyyyy"),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 999999999\r\n\r\n", b"xxxxxxxx"),
        (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", b"3\r\nabc\r\n"),
        (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;", b"xxxxxxxx"),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"xxxxxxxx"),
    ],
    ids=["headers", "header", "length", "chunks", "extension", "until close"],
)
def test_bytes_without_end_are_a_store_error_and_end_the_connection(start, more):
    sent = 0
    is_closed = asyncio.Event()

    async def send_without_end(reader, writer):
        nonlocal sent
        await reader.readuntil(b"\r\n\r\n")
        writer.write(start)
        try:
            while True:
                writer.write(more * 4000)
                sent += 4000 * len(more)
                await writer.drain()
        except OSError:
            is_closed.set()
            writer.close()

    async def run():
        with pytest.raises(StoreError):
            await call_store("list", send_without_end, timeout_ms=15_000)
        async with asyncio.timeout(HANG_SECONDS):
            await is_closed.wait()

    asyncio.run(run())
    # The bound of an answer, and what the sockets buffer on both sides.
    assert sent < 32 * 1024 * 1024


def test_pages_of_a_listing_are_joined():
    pages = [
        {
            "items": [{"key": "a", "value": "eA==", "revision": 1}],
            "hasMore": True,
            "at": 9,
        },
        {"items": [{"key": "b", "value": "eQ==", "revision": 2}], "at": 9},
    ]

    async def serve(reader, writer):
        for page in pages:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(make_answer(json.dumps(page).encode()))
        writer.close()

    found = asyncio.run(call_store("list", serve))
    assert [(item.key, item.value) for item in found] == [("a", b"x"), ("b", b"y")]


@pytest.mark.parametrize(
    ("read_era", "watch_era", "revision", "is_gone"),
    [
        (b"1", b"1", 9, False),
        (b"1", b"1", 10, False),
        (None, None, 9, False),
        # The store has given out the revisions again since the read.
        (b"1", b"2", 9, True),
        (b"1", b"2", 10, True),
        (None, b"1", 10, True),
        (None, None, 8, True),
        (b"1", b"1", 8, True),
    ],
)
def test_watch_that_survives_a_restore_misses_changes(
    read_era, watch_era, revision, is_gone
):
    async def serve(reader, writer):
        for era, fields in (
            (read_era, {"items": [], "at": 9}),
            (watch_era, {"events": [], "at": revision}),
        ):
            await reader.readuntil(b"\r\n\r\n")
            headers = b"" if era is None else b"store-era: %s\r\n" % era
            writer.write(make_answer(json.dumps(fields).encode(), headers=headers))
        await reader.read()
        writer.close()

    async def read_and_watch(store):
        _, position = await store.read("op/config")
        return await anext(store.watch("op/config", position))

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        settings = StoreSettings(url=f"http://127.0.0.1:{port}", protocol="platform")
        async with asyncio.timeout(HANG_SECONDS), server, PlatformStore(settings) as s:
            return await read_and_watch(s)

    if is_gone:
        with pytest.raises(HistoryGoneError):
            asyncio.run(run())
    else:
        assert asyncio.run(run()) is None
