"""Memory of the bodies that are passed from one connection to another."""

import asyncio
import tracemalloc

import pytest

from ragworthoist.core.memory import MemoryBudget
from ragworthoist.exceptions import BodyCutError
from ragworthoist.net.bodies import HIGH_WATER_BYTES, BodyPipe


async def read_all(pipe):
    parts = []
    while part := await pipe.read():
        parts.append(part)
    return b"".join(parts)


@pytest.mark.parametrize("held_bytes", [0, 2 * HIGH_WATER_BYTES])
@pytest.mark.parametrize("is_read", [False, True], ids=["unread", "read"])
def test_small_parts_take_many_times_their_size(held_bytes, is_read):
    # Every part is an object of its own, as it comes from a parser.
    parts = [b"%05d" % number for number in range(HIGH_WATER_BYTES // 5)]

    async def run():
        pipe = BodyPipe(held_bytes=held_bytes)
        tracemalloc.start()
        try:
            for part in parts:
                pipe.feed(bytes(bytearray(part)))
                if is_read:
                    await pipe.read()
            taken, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        pipe.end()
        return taken, is_read or await read_all(pipe) == b"".join(parts)

    taken, is_whole = asyncio.run(run())
    assert is_whole
    assert taken < 2 * HIGH_WATER_BYTES


LEAVES = {
    "read": lambda pipe: asyncio.run(read_all(pipe)),
    "discarded": lambda pipe: pipe.discard(),
    "evicted": lambda pipe: pipe._account.evict(),
}


@pytest.mark.parametrize("held_bytes", [0, 3, 100])
@pytest.mark.parametrize("leave", LEAVES.values(), ids=LEAVES)
def test_body_that_ended_keeps_nothing(leave, held_bytes):
    memory = MemoryBudget()
    pipe = BodyPipe(held_bytes=held_bytes, memory=memory)
    pipe.feed(b"abcd")
    assert memory.held_bytes == 4
    pipe.end()
    leave(pipe)
    pipe.discard()
    assert memory.held_bytes == 0


@pytest.mark.parametrize("is_discarded_first", [False, True])
def test_body_that_was_cut_keeps_nothing(is_discarded_first):
    memory = MemoryBudget()
    pipe = BodyPipe(memory=memory, held_bytes=10)
    pipe.feed(b"abcd")
    if is_discarded_first:
        pipe.discard()
    pipe.cut()
    pipe.feed(b"efgh")
    assert memory.held_bytes == 0
    with pytest.raises(BodyCutError):
        asyncio.run(pipe.read())


@pytest.mark.parametrize("is_ended", [False, True])
def test_body_discarded_in_the_middle_does_not_look_complete(is_ended):
    async def run():
        pipe = BodyPipe()
        pipe.feed(b"abcd")
        pipe.feed(b"efgh")
        if is_ended:
            pipe.end()
        assert await pipe.read() == b"abcd"
        pipe.discard()
        await pipe.read()

    with pytest.raises(BodyCutError):
        asyncio.run(run())


def test_evicted_body_wakes_its_reader_and_stops_its_source():
    stopped = []

    async def run():
        memory = MemoryBudget(100)
        pipe = BodyPipe(memory=memory, on_discard=lambda: stopped.append("source"))
        reading = asyncio.ensure_future(read_all(pipe))
        await asyncio.sleep(0)
        pipe.feed(b"x" * 101)
        with pytest.raises(BodyCutError):
            await reading
        return memory.held_bytes

    assert asyncio.run(run()) == 0
    assert stopped == ["source"]
