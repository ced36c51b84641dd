"""Crowds of clients that hold connections and never finish what they began.

A crowd is an asynchronous context manager: entering it opens its connections and sends
what it has to send, leaving it closes them. A node may refuse or close any of them.
"""

import asyncio
import contextlib
import socket
from dataclasses import dataclass, field

from ragworthoist._registry import Registry

CONNECT_TIMEOUT_SECONDS = 10.0
SEND_TIMEOUT_SECONDS = 10.0
# A crowd that is not through by then stays as it is.
GATHER_TIMEOUT_SECONDS = 30.0
# Time in which nodes and servers process what was sent last.
SETTLE_SECONDS = 1.0
SMALL_RECEIVE_BUFFER_BYTES = 4096
# How often a client that was refused comes back.
MAX_TRIES = 5
# Clients that wait for the beginning of an answer at the same time, few enough not to
# be refused.
WAITING_CLIENTS = 6

CROWDS = Registry("crowd")


@dataclass
class Crowd:
    """Connections of one crowd to one address.

    Parameters
    ----------
    address : tuple
        (host, port) of the entrance of a node.
    host : str
        Value of the `host` header.
    target : str
        Request target that the node serves.
    connection_count : int
        Number of connections.
    """

    address: tuple
    host: str
    target: str
    connection_count: int
    sockets: list = field(default_factory=list)

    def make_head(self, method, *headers, name="crowd"):
        """Return a request head with the attempt id `name` and more `headers`."""
        lines = [
            f"{method} {self.target} HTTP/1.1",
            f"host: {self.host}",
            f"attempt-id: {name}",
            "deadline-ms: 60000",
            *headers,
        ]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def open(self, send, receive_buffer_bytes=None, at_once=None):
        """Open all connections and run `send(sock, number)` on each.

        `at_once` is the number of connections on which `send` runs at the same time,
        all of them by default. If it returns False, the client comes back on a new
        connection.
        """
        slots = asyncio.Semaphore(at_once or self.connection_count)

        async def open_one(number):
            async with slots:
                for _ in range(MAX_TRIES):
                    if await self._open_one(send, number, receive_buffer_bytes):
                        return

        async with asyncio.TaskGroup() as tasks:
            for number in range(self.connection_count):
                tasks.create_task(open_one(number))

    async def _open_one(self, send, number, receive_buffer_bytes):
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        if receive_buffer_bytes is not None:
            # Has to be set before the connection is made.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        self.sockets.append(sock)
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await loop.sock_connect(sock, self.address)
            async with asyncio.timeout(SEND_TIMEOUT_SECONDS):
                if await send(sock, number) is False:
                    sock.close()
                    return False
        return True

    def close(self):
        """Close all connections."""
        for sock in self.sockets:
            sock.close()
        self.sockets.clear()


@contextlib.asynccontextmanager
async def gather_crowd(kind, address, host, target, connection_count):
    """Run the crowd registered as `kind` until the context is left."""
    crowd = Crowd(address, host, target, connection_count)
    try:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(GATHER_TIMEOUT_SECONDS):
                await CROWDS.get(kind)(crowd)
        await asyncio.sleep(SETTLE_SECONDS)
        yield crowd
    finally:
        crowd.close()


async def _send(sock, data):
    await asyncio.get_running_loop().sock_sendall(sock, data)


async def _is_served(sock):
    """Whether a success answer begins."""
    start = await asyncio.get_running_loop().sock_recv(sock, len(b"HTTP/1.1 200"))
    return start == b"HTTP/1.1 200"


def _make_chunks(part, count):
    return (b"%x\r\n" % len(part) + part + b"\r\n") * count


@CROWDS.register("uploads-in-large-chunks")
async def upload_in_large_chunks(crowd):
    """Send chunked bodies of 60 KB without their last chunk."""
    chunks = _make_chunks(b"x" * 20_000, 3)

    async def send(sock, number):
        head = crowd.make_head("POST", "transfer-encoding: chunked", name=f"c{number}")
        await _send(sock, head + chunks)

    await crowd.open(send)


@CROWDS.register("long-uploads-in-large-chunks")
async def upload_long_in_large_chunks(crowd):
    """Send chunked bodies of 1 MB without their last chunk."""
    chunks = _make_chunks(b"x" * 50_000, 20)

    async def send(sock, number):
        head = crowd.make_head("POST", "transfer-encoding: chunked", name=f"l{number}")
        await _send(sock, head + chunks)

    await crowd.open(send)


@CROWDS.register("uploads-in-small-chunks")
async def upload_in_small_chunks(crowd):
    """Send chunked bodies of 60 KB, two bytes a chunk, without their last chunk."""
    chunks = _make_chunks(b"xy", 30_000)

    async def send(sock, number):
        head = crowd.make_head("POST", "transfer-encoding: chunked", name=f"s{number}")
        await _send(sock, head + chunks)

    await crowd.open(send)


@CROWDS.register("long-uploads-in-small-chunks")
async def upload_long_in_small_chunks(crowd):
    """Send chunked bodies of 200 KB, two bytes a chunk, without their last chunk."""
    chunks = _make_chunks(b"xy", 100_000)

    async def send(sock, number):
        head = crowd.make_head("POST", "transfer-encoding: chunked", name=f"t{number}")
        await _send(sock, head + chunks)

    await crowd.open(send)


@CROWDS.register("uploads-with-a-length")
async def upload_with_a_length(crowd):
    """Send bodies of 7 MB without their last byte."""
    body = b"x" * 6_999_999

    async def send(sock, number):
        head = crowd.make_head("POST", "content-length: 7000000", name=f"b{number}")
        await _send(sock, head)
        await _send(sock, body)

    await crowd.open(send)


@CROWDS.register("heads-without-end")
async def send_heads_without_end(crowd):
    """Send heads of small headers, inside the limit, without the empty line."""
    headers = b"".join(b"%02x:%02x\r\n" % (n % 256, n % 256) for n in range(1900))

    async def send(sock, number):
        await _send(sock, crowd.make_head("GET", name=f"h{number}")[:-2] + headers)

    await crowd.open(send)


@CROWDS.register("pipelined-requests")
async def send_pipelined_requests(crowd):
    """Send thousands of requests at once and read no answer."""

    async def send(sock, number):
        await _send(sock, crowd.make_head("GET", name=f"p{number}") * 3000)

    await crowd.open(send, SMALL_RECEIVE_BUFFER_BYTES)


@CROWDS.register("pipelined-long-heads")
async def send_pipelined_long_heads(crowd):
    """Send 16 requests with many small headers on each connection."""
    headers = [f"{n % 256:02x}:{n % 256:02x}" for n in range(1900)]

    async def send(sock, number):
        head = crowd.make_head("GET", *headers, name=f"q{number}")
        await _send(sock, head * 16)

    await crowd.open(send, SMALL_RECEIVE_BUFFER_BYTES)


@CROWDS.register("slow-readers")
async def read_nothing(crowd):
    """Ask for an answer and read nothing of it."""

    async def send(sock, number):
        await _send(sock, crowd.make_head("GET", name=f"r{number}"))
        return await _is_served(sock)

    await crowd.open(send, SMALL_RECEIVE_BUFFER_BYTES, WAITING_CLIENTS)


@CROWDS.register("leaving-readers")
async def leave_in_answers(crowd):
    """Read the beginning of an answer and leave, on each connection."""

    async def send(sock, number):
        await _send(sock, crowd.make_head("GET", name=f"g{number}"))
        if not await _is_served(sock):
            return False
        received = 0
        while received < 70_000:
            data = await asyncio.get_running_loop().sock_recv(sock, 65_536)
            if not data:
                break
            received += len(data)
        sock.close()

    await crowd.open(send, at_once=WAITING_CLIENTS)


@CROWDS.register("idle-connections")
async def open_and_wait(crowd):
    """Open connections and send nothing."""

    async def send(_sock, _number):
        return

    await crowd.open(send)


@CROWDS.register("kept-connections")
async def keep_connections(crowd):
    """Send one request on each connection, read the answer, and keep it open."""

    async def send(sock, number):
        await _send(sock, crowd.make_head("GET", name=f"k{number}"))
        await asyncio.get_running_loop().sock_recv(sock, 65_536)

    await crowd.open(send)
