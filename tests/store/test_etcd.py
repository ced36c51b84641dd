"""Tests of the etcd client, against a store that misbehaves."""

import asyncio
import contextlib

import pytest

from ragworthoist._settings import StoreSettings
from ragworthoist.exceptions import StoreError
from ragworthoist.store.etcd import MAX_ANSWER_BYTES, EtcdStore

HANG_SECONDS = 30.0
HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"


async def use_store(answer, use):
    """Return the result of `use(store)` at a store whose answers `answer` writes."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        with contextlib.suppress(OSError):
            await answer(writer)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    settings = StoreSettings(url=f"http://{host}:{port}", timeout_ms=2000)
    try:
        async with asyncio.timeout(HANG_SECONDS), EtcdStore(settings) as store:
            return await use(store)
    finally:
        server.close()


async def follow(store):
    return [value.value async for value in store.watch("k", 1)]


class TestAnswersWithoutEnd:
    """Guards against a store whose answer fills the memory of the node."""

    @pytest.mark.parametrize(
        "use",
        [
            lambda s: s.get("k"),
            lambda s: s.list("k"),
            lambda s: s.keep_lease(1),
            follow,
        ],
        ids=["get", "list", "keep", "watch"],
    )
    @pytest.mark.parametrize(
        ("framing", "block"),
        [
            (b"", b"[" * 4096),
            (b"transfer-encoding: chunked\r\n", b"1000\r\n" + b" " * 4096 + b"\r\n"),
        ],
        ids=["until the end", "chunked"],
    )
    def test_end_the_call(self, framing, block, use):
        sent = 0

        async def answer(writer):
            nonlocal sent
            writer.write(HEAD + framing + b"\r\n")
            while True:
                writer.write(block)
                sent += len(block)
                await writer.drain()

        async def run():
            with pytest.raises(StoreError):
                await use_store(answer, use)

        asyncio.run(run())
        # What the sockets buffer on both sides is sent besides.
        assert sent < 4 * MAX_ANSWER_BYTES


class TestWatch:
    @pytest.mark.parametrize("part_size", [1, 7, 1000])
    def test_lines_that_arrive_in_parts_are_yielded_whole(self, part_size):
        event = b'{"kv": {"key": "aw==", "value": "%b", "mod_revision": "2"}}'
        lines = [
            b'{"result": {"events": [%b]}}'
            % b", ".join(event % value for value in values)
            for values in ([b"YQ=="], [b"Yg==", b"Yw=="], [])
        ]
        content = b"\n".join(lines) + b"\n"

        async def answer(writer):
            writer.write(HEAD + b"content-length: %d\r\n\r\n" % len(content))
            for start in range(0, len(content), part_size):
                writer.write(content[start : start + part_size])
                await writer.drain()

        async def run():
            return await use_store(answer, follow)

        assert asyncio.run(run()) == [b"a", b"b", b"c"]
