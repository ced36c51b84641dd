"""Stand-in for a backend server that sends heartbeats to the node beside it.

It records every run by attempt id. `POST /.lab/behaviour` changes single fields of
its behaviour, `GET /.lab/records` returns the runs, and `GET /.lab/dropped` the number
of requests that it will never answer. Arrivals and runs are also written to a journal,
which outlives the process.
"""

import json
import os
import time
from contextlib import ExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import anyio

from ragworthoist.exceptions import CallerGoneError
from ragworthoist.net.web import find_header, read_body, respond
from ragworthoist_lab.web import (
    MAX_BODY_BYTES,
    read_json,
    respond_json,
    run_application,
)

HEARTBEAT_INTERVAL_SECONDS = 0.3


@dataclass(slots=True)
class MeshBehaviour:
    """How the server behaves.

    Parameters
    ----------
    service_seconds : float
        Service time of a request. If the time limit of the request is shorter, the
        server stops at the limit and answers 504.
    not_run_every : int
        Every request whose number is a multiple of this is refused before it runs;
        0 for none.
    lose_every : int
        Every request whose number is a multiple of this runs, but its response ends
        after the headers; 0 for none.
    leaving : bool
        Whether the server reports that it is draining, says so in its answers, and
        fails its health check.
    silent : bool
        Whether the server sends no heartbeats.
    room : int
        Number of requests that the server can hold, running or queued. It never
        answers one beyond that, nor any other on its connection; 0 for no bound.
    advertised_rate : float or None
        Requests a second that the server advertises in its answers, None for none.
    answer_bytes : int
        Size of the body of a response; 0 for the body of the request in reverse.
    part_bytes : int
        Size of the chunks in which the body is sent; 0 for a body with a length.
    part_seconds : float
        Time between two of these chunks.
    header_count : int
        Number of small headers that a response has besides the usual ones.
    """

    service_seconds: float = 0.005
    not_run_every: int = 0
    lose_every: int = 0
    leaving: bool = False
    silent: bool = False
    room: int = 0
    advertised_rate: float | None = None
    answer_bytes: int = 0
    part_bytes: int = 0
    part_seconds: float = 0.0
    header_count: int = 0


@dataclass(slots=True)
class MeshServer:
    """An ASGI application that serves every path of one service.

    The body of a response is the body of the request in reverse.

    Parameters
    ----------
    service : str
        Name of the service.
    address : str
        "HOST:PORT" at which the server listens.
    reports_url : str
        URL at which the node accepts heartbeats.
    slots : int
        Number of slots reported to the node; the stand-in runs any number of
        requests at the same time.
    journal : file object, optional
        Gets a line of JSON for each arrival and each run, as it happens.
    """

    service: str
    address: str
    reports_url: str
    slots: int = 8
    journal: object = None
    instance: str = field(default_factory=lambda: f"i-{os.urandom(4).hex()}")
    start_time_ms: int = field(default_factory=lambda: time.time_ns() // 1_000_000)
    behaviour: MeshBehaviour = field(default_factory=MeshBehaviour)
    records: list = field(default_factory=list)
    acknowledged_sequence: int = 0
    sequence: int = 0
    request_count: int = 0
    held_count: int = 0
    dropped_count: int = 0

    async def __call__(self, scope, receive, send):
        """Serve one HTTP request."""
        if scope["type"] != "http":
            return
        path = scope["path"]
        if path.startswith("/.lab/"):
            await self._control(path, receive, send)
            return
        if path == "/health":
            status = 503 if self.behaviour.leaving else 200
            await respond(send, status, self._make_notices())
            return
        self._write_journal("arrival", scope)
        try:
            body = await read_body(receive, MAX_BODY_BYTES)
        except CallerGoneError:
            return
        if self.behaviour.room and self.held_count >= self.behaviour.room:
            self.dropped_count += 1
            await anyio.sleep_forever()
        self.held_count += 1
        try:
            await self._serve(scope, body, send)
        finally:
            self.held_count -= 1

    async def _serve(self, scope, body, send):
        headers = scope["headers"]
        attempt_id = find_header(headers, b"attempt-id")
        common_headers = [(b"attempt-id", attempt_id), *self._make_notices()]
        if find_header(headers, b"expect-instance").decode() != self.instance:
            await respond(send, 421, common_headers)
            return
        self.request_count += 1
        behaviour = self.behaviour
        if (
            behaviour.not_run_every
            and self.request_count % behaviour.not_run_every == 0
        ):
            await respond(send, 503, [*common_headers, (b"not-executed", b"1")])
            return
        self._write_journal("run", scope)
        self.records.append(
            {
                "attempt": attempt_id.decode(),
                "caller": find_header(headers, b"caller-service").decode(),
                "target": scope["raw_path"].decode(),
                "length": len(body),
                "left_ms": int(find_header(headers, b"deadline-ms") or 0),
            }
        )
        seconds_left = self.records[-1]["left_ms"] / 1000
        if 0 < seconds_left < behaviour.service_seconds:
            await anyio.sleep(seconds_left)
            await respond(send, 504, common_headers)
            return
        await anyio.sleep(behaviour.service_seconds)
        if behaviour.lose_every and self.request_count % behaviour.lose_every == 0:
            # The HTTP server closes the connection when the application returns
            # before the response is complete.
            truncated_headers = [*common_headers, (b"content-length", b"10")]
            await send(
                {
                    "type": "http.response.start",
                    "status": 200,
                    "headers": truncated_headers,
                }
            )
            await send({"type": "http.response.body", "body": b"", "more_body": True})
            return
        headers = [*common_headers, (b"server-seal", b"lab"), *self._make_padding()]
        if behaviour.part_bytes:
            await self._respond_in_parts(send, headers)
        else:
            content = b"x" * behaviour.answer_bytes or body[::-1]
            await respond(send, 200, headers, content)

    async def _respond_in_parts(self, send, headers):
        behaviour = self.behaviour
        part = b"x" * behaviour.part_bytes
        pause = behaviour.part_seconds
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        for _ in range(behaviour.answer_bytes // behaviour.part_bytes):
            await send({"type": "http.response.body", "body": part, "more_body": True})
            await anyio.sleep(pause)
        await send({"type": "http.response.body", "body": b""})

    def _make_padding(self):
        count = self.behaviour.header_count
        return [(b"%02x" % (n % 256), b"%02x" % (n % 256)) for n in range(count)]

    def _make_notices(self):
        """Return the headers that say something of the server itself."""
        headers = [(b"instance-id", self.instance.encode())]
        if self.behaviour.advertised_rate is not None:
            rate = b"%.2f" % self.behaviour.advertised_rate
            headers.append((b"server-limit", rate))
        if self.behaviour.leaving:
            headers.append((b"server-leaving", b"1"))
        return headers

    def _write_journal(self, event, scope):
        if self.journal is None:
            return
        entry = {
            "event": event,
            "at": time.monotonic(),
            "attempt": find_header(scope["headers"], b"attempt-id").decode(),
            "server": self.instance,
            "service": self.service,
        }
        self.journal.write(json.dumps(entry) + "\n")
        # The process may be killed at any time.
        self.journal.flush()

    async def _control(self, path, receive, send):
        if path == "/.lab/records":
            await respond_json(send, self.records)
            return
        if path == "/.lab/dropped":
            await respond_json(send, self.dropped_count)
            return
        for name, value in (await read_json(receive)).items():
            setattr(self.behaviour, name, value)
        reply = {"acknowledged": self.acknowledged_sequence, "server": self.instance}
        await respond_json(send, reply)

    async def send_heartbeats(self):
        """Send heartbeats to the node until cancelled."""
        async with aiohttp.ClientSession() as session:
            while True:
                if not self.behaviour.silent:
                    await self._send_heartbeat(session)
                await anyio.sleep(HEARTBEAT_INTERVAL_SECONDS)

    async def _send_heartbeat(self, session):
        self.sequence += 1
        state = "draining" if self.behaviour.leaving else "ready"
        body = {
            "address": self.address,
            "nodeInfo": {
                "service": self.service,
                "version": "v1",
                "zone": "a",
                "slots": self.slots,
            },
            "statusInfo": {"state": state, "seq": self.sequence, "coldLeftMs": 0},
            "born": self.start_time_ms,
        }
        url = f"{self.reports_url}/rpc?call=instances.heartbeat&of={self.instance}"
        try:
            async with session.post(url, json=body) as response:
                if response.status == 200:
                    self.acknowledged_sequence = self.sequence
        except (aiohttp.ClientError, OSError):
            # The node is unreachable; the next heartbeat reports the current state.
            return


class _HeartbeatLifespan:
    """Wraps the application and sends heartbeats from its startup to its shutdown."""

    def __init__(self, server):
        self._server = server

    async def __call__(self, scope, receive, send):
        if scope["type"] != "lifespan":
            await self._server(scope, receive, send)
            return
        async with self._run_heartbeats():
            await receive()
            await send({"type": "lifespan.startup.complete"})
            await receive()
        await send({"type": "lifespan.shutdown.complete"})

    @asynccontextmanager
    async def _run_heartbeats(self):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._server.send_heartbeats)
            yield
            tasks.cancel_scope.cancel()


def run_mesh_server(
    service: str,
    port: int,
    reports_port: int,
    *,
    slots: int = 8,
    journal: Path | None = None,
):
    """Run the stand-in for a backend server of the platform on loopback.

    :param service: name of the service
    :param port: port to listen on
    :param reports_port: port at which the node accepts heartbeats
    :param slots: number of slots reported to the node
    :param journal: file to which arrivals and runs are appended
    """
    reports_url = f"http://127.0.0.1:{reports_port}"
    with ExitStack() as stack:
        file = journal and stack.enter_context(journal.open("a"))
        server = MeshServer(service, f"127.0.0.1:{port}", reports_url, slots, file)
        run_application(_HeartbeatLifespan(server), port, lifespan="on")
