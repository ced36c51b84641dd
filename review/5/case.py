"""Orders whose clients read slowly but steadily lose their answers."""

import asyncio
import os
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import HOST, Fleet, make_rule, run_case  # noqa: E402

# The largest answer to `sample-request` in the users' site file, and its time limit.
ANSWER_BYTES = 30_000
TIME_LIMIT_SECONDS = 5.0
CLIENTS = 12
# A slow client takes this many bytes, every so often: 7 KB a second, so it is done
# well within the time limit.
READ_BYTES = 2048
READ_INTERVAL_SECONDS = 0.3
# The window of the simulated links is small; that of loopback has to be asked for.
RECEIVE_BUFFER_BYTES = 8192
# `stableWindowMs` and a margin, so that all machines are in touch.
SETTLE_SECONDS = 3.5
LOST_ALLOWED = 3


def make_body(attempt):
    return (attempt * (ANSWER_BYTES // len(attempt) + 1)).encode()[:ANSWER_BYTES]


class Client:
    """Sends attempts on one kept connection, and reads each answer to its end."""

    def __init__(self, machine, name, record):
        self._machine = machine
        self._name = name
        self._record = record
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._socket.setblocking(False)
        self.lost = []

    async def run(self, reads_slowly):
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._socket, self._machine.outbound)
        with self._socket:
            # The first answer is read at once: the connection is a kept one after it.
            for number, is_slow in enumerate((False, reads_slowly)):
                attempt = f"{self._name}-{number}-{os.urandom(4).hex()}"
                if not await self._send(loop, attempt, is_slow):
                    self.lost.append(attempt)
                    return

    async def _send(self, loop, attempt, is_slow):
        """Send one attempt; return whether its whole answer has arrived."""
        head = (
            f"POST /order/a HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: {attempt}\r\n"
            f"deadline-ms: {TIME_LIMIT_SECONDS * 1000:.0f}\r\ncontent-length: 2\r\n\r\n{{}}"
        )
        sent_at = time.monotonic()
        await loop.sock_sendall(self._socket, head.encode())
        received, end = b"", "time limit"
        while time.monotonic() - sent_at < TIME_LIMIT_SECONDS:
            try:
                async with asyncio.timeout_at(loop.time() + TIME_LIMIT_SECONDS):
                    part = await loop.sock_recv(self._socket, READ_BYTES)
            except OSError as error:
                end = type(error).__name__
                break
            if not part:
                end = "closed"
                break
            received += part
            if received.endswith(make_body(attempt)):
                end = "complete"
                break
            if is_slow:
                await asyncio.sleep(READ_INTERVAL_SECONDS)
        self._record(
            f"answer {attempt} slow={is_slow} {received[9:12].decode()} "
            f"{len(received)} bytes after {time.monotonic() - sent_at:.2f} s: {end}"
        )
        # A client that is out of time has no claim to the rest.
        return end in ("complete", "time limit")


async def main(record, has_trouble):
    rules = {"/order/": make_rule("orders", "unsafe", 5000, 2500)}
    async with Fleet({"orders": 3, "shop": 1}, record) as fleet:
        await fleet.start(make_body, rules)
        await asyncio.sleep(SETTLE_SECONDS)
        clients = [
            Client(fleet.machines[n % len(fleet.machines)], f"c{n}", record)
            for n in range(CLIENTS)
        ]
        await asyncio.gather(*(client.run(has_trouble) for client in clients))
        completed = {a for endpoint in fleet.endpoints for a in endpoint.completed}
        lost = [attempt for client in clients for attempt in client.lost]
        lost_after_run = [attempt for attempt in lost if attempt in completed]
        record(f"runs to the end at endpoints: {len(completed)}")
        record(
            f"connections ended without a complete answer: {len(lost)}, of these after "
            f"a run to the end: {len(lost_after_run)} (allowed: {LOST_ALLOWED})"
        )
        return len(lost_after_run) <= LOST_ALLOWED


run_case(Path(__file__).parent, main)
