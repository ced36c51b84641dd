"""Clients of the edge for attempts that use their connections to the end.

A client sends one attempt after the other on one connection until the node closes it or
the process is gone, and opens the next one then.
"""

import asyncio
import random
import socket
import time
from contextlib import closing
from dataclasses import dataclass

from ragworthoist_lab.disturbances import MOVED_PREFIX
from ragworthoist_lab.mesh import VIRTUAL_HOST

CLIENT_TIMEOUT_SECONDS = 3.0
# Added to the time limit before a client takes an attempt for unanswered.
PATIENCE_SECONDS = 2.0
CONNECT_RETRY_SECONDS = 0.05
LONG_BODY_BYTES = 150_000
# Longer than a node may take a peer for lost that acknowledges nothing.
READING_DELAY_SECONDS = 2.6
LATE_READER_BUFFER_BYTES = 8192
_TARGETS = {
    # Whether the attempt may be repeated, by the target of its route.
    ("GET", "/shop/a"): True,
    ("GET", "/stock/b"): True,
    ("POST", "/order/c"): False,
    ("GET", f"{MOVED_PREFIX}d"): True,
}


@dataclass(slots=True)
class AttemptResult:
    """What became of one attempt; times are those of the monotonic clock.

    Attributes
    ----------
    place : int
        Number of the endpoint at whose node the attempt entered the fleet.
    status : int
        Status of the answer, 0 if no head of an answer has arrived.
    is_complete : bool
        Whether the answer has arrived up to its end.
    is_whole : bool
        Whether the answer is the server's, to this very attempt, with its whole body.
    notices : frozenset of str
        What the answer says of its server: "leaving" or "rate".
    server : str
        Id of the server that answered, empty if the node did.
    reads_late : bool
        Whether the client began to read only `READING_DELAY_SECONDS` after sending.
    """

    attempt: str
    place: int
    target: str
    is_idempotent: bool
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    is_complete: bool = False
    is_whole: bool = False
    notices: frozenset = frozenset()
    server: str = ""
    reads_late: bool = False


async def _connect(port, reads_late):
    """Return the reader and writer of a new connection.

    One that `reads_late` takes little of an answer before it is read.
    """
    if not reads_late:
        return await asyncio.open_connection("127.0.0.1", port)
    sock = socket.socket()
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, LATE_READER_BUFFER_BYTES)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
        return await asyncio.open_connection(sock=sock, limit=LATE_READER_BUFFER_BYTES)
    except BaseException:
        sock.close()
        raise


class AttemptClient:
    """One client at the node of one endpoint.

    Parameters
    ----------
    port : int
        Port of the node's entrance.
    place : int
        Number of the endpoint.
    name : str
        Prefix of the ids of the attempts.
    pause_seconds : float
        Mean time between an answer and the next attempt.
    reads_late : bool
        Whether the client has a small receive buffer, and begins to read each answer,
        all of which are long, `READING_DELAY_SECONDS` after sending.
    """

    def __init__(self, port, place, name, pause_seconds, reads_late=False):
        self.results = []
        self._port = port
        self._place = place
        self._name = name
        self._pause_seconds = pause_seconds
        self._reads_late = reads_late
        self._draws = random.Random(name)
        self._is_stopped = False

    def stop(self):
        """Send no further attempt."""
        self._is_stopped = True

    async def run(self):
        """Send attempts until `stop` is called."""
        while not self._is_stopped:
            try:
                async with asyncio.timeout(CLIENT_TIMEOUT_SECONDS):
                    streams = await _connect(self._port, self._reads_late)
            except (OSError, TimeoutError):
                await asyncio.sleep(CONNECT_RETRY_SECONDS)
                continue
            with closing(streams[1]):
                await self._use_connection(*streams)

    async def _use_connection(self, reader, writer):
        is_open = True
        while is_open and not self._is_stopped:
            is_open = await self._send_attempt(reader, writer)
            await asyncio.sleep(self._draws.expovariate(1 / self._pause_seconds))

    async def _send_attempt(self, reader, writer):
        """Send one attempt and record it; return whether the connection is kept."""
        method, target = self._draws.choice(list(_TARGETS))
        if self._reads_late:
            method, target = "POST", "/order/c"
        attempt = f"{self._name}-{len(self.results)}"
        body = b""
        if method == "POST":
            body = attempt.encode()
            if self._reads_late or self._draws.random() < 0.2:
                body *= LONG_BODY_BYTES // len(body)
        result = AttemptResult(
            attempt, self._place, target, _TARGETS[method, target], time.monotonic()
        )
        result.reads_late = self._reads_late
        self.results.append(result)
        head = (
            f"{method} {target} HTTP/1.1\r\nhost: {VIRTUAL_HOST}\r\n"
            f"attempt-id: {attempt}\r\ncontent-length: {len(body)}\r\n"
            f"deadline-ms: {CLIENT_TIMEOUT_SECONDS * 1000:.0f}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_SECONDS + PATIENCE_SECONDS):
                writer.write(head.encode() + body)
                if self._reads_late:
                    await asyncio.sleep(READING_DELAY_SECONDS)
                return await _read_answer(reader, result, body[::-1])
        except (OSError, EOFError, TimeoutError):
            return False
        finally:
            result.ended_at = time.monotonic()


async def _read_answer(reader, result, expected_body):
    """Read the answer into `result`; return whether the connection is kept."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in head[1:] if line)
    result.status = int(head[0].split()[1])
    result.server = headers.get("instance-id", "")
    names = {"server-leaving": "leaving", "server-limit": "rate"}
    result.notices = frozenset(names[name] for name in names if name in headers)
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    else:
        body = await reader.readexactly(int(headers["content-length"]))
    result.is_complete = True
    result.is_whole = (
        headers.get("attempt-id") == result.attempt
        and "server-seal" in headers
        and body == expected_body
    )
    return headers.get("connection") != "close"
