"""Tests of connections whose other end reads slowly or not at all.

A peer that reads slowly closes its receive window for seconds at a time. Its connection
must stay, while one whose peer is lost must not.
"""

import asyncio
import ctypes
import socket
import struct
from contextlib import asynccontextmanager

import anyio
import pytest
from fakes import run_virtual

from ragworthoist.core.routes import RequestLimits
from ragworthoist.net import output
from ragworthoist.net.bodies import HIGH_WATER_BYTES
from ragworthoist.net.client import HttpClient
from ragworthoist.net.listener import Listener
from ragworthoist.net.liveness import PROBE_TIMEOUT_SECONDS
from ragworthoist.net.output import CHECK_INTERVAL_SECONDS, OutputMonitor
from ragworthoist.net.sockets import (
    KEEPALIVE_IDLE_SECONDS,
    KEEPALIVE_INTERVAL_SECONDS,
    PROBE_INTERVAL_MS,
    USER_TIMEOUT_MS,
    OutputState,
    read_output_state,
    set_socket_timeouts,
)

HANG_SECONDS = 60.0
RECEIVE_BUFFER_BYTES = 8192
# The instruction of a packet filter that returns how much of a packet is kept.
BPF_RETURN = 0x06
SO_ATTACH_FILTER = 26  # the socket module has no name for it
# Longer than the kernel waits for a closed receive window under the user timeout.
UNREAD_SECONDS = USER_TIMEOUT_MS / 1000 + 1.0
BODY = bytes(range(250)) * 120
GET = b"GET %s HTTP/1.1\r\nhost: a\r\n\r\n"
LIMITS = RequestLimits(max_head_bytes=2000, head_timeout=60.0, idle_timeout=60.0)


@asynccontextmanager
async def connect_slow_reader(handle, limits=LIMITS):
    """Yield a `Listener` and a client socket with a small receive buffer."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(HANG_SECONDS):
        listener = Listener(handle, ("127.0.0.1", 0))
        listener.limits = limits
        async with listener:
            with socket.socket() as client:
                client.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
                )
                client.setblocking(False)
                await loop.sock_connect(
                    client, listener._server.sockets[0].getsockname()
                )
                yield listener, client


async def receive(client, until=None):
    """Return all bytes up to `until`, or to the end of the connection."""
    received = b""
    while until is None or not received.endswith(until):
        part = await asyncio.get_running_loop().sock_recv(client, 65_536)
        if not part:
            break
        received += part
    return received


class TestSlowReader:
    """Guards against a reset of connections whose client reads slowly but steadily."""

    @pytest.mark.parametrize("closes", [False, True], ids=["kept", "closed"])
    @pytest.mark.parametrize("is_draining", [False, True], ids=["serving", "stopping"])
    def test_whole_response_arrives_after_the_receive_window_was_closed(
        self, is_draining, closes
    ):
        async def handle(request):
            await request.respond(200, [], BODY, close=closes)

        async def run():
            async with connect_slow_reader(handle) as (listener, client):
                loop = asyncio.get_running_loop()
                await loop.sock_sendall(client, GET % b"/")
                await asyncio.sleep(CHECK_INTERVAL_SECONDS)
                if is_draining:
                    listener.drain()
                    await listener.stop_accepting()
                await asyncio.sleep(UNREAD_SECONDS)
                return await receive(client, until=BODY)

        assert asyncio.run(run()).endswith(BODY)

    def test_whole_response_arrives_after_the_listener_has_closed(self):
        async def handle(request):
            await request.respond(200, [], BODY)

        async def run():
            loop = asyncio.get_running_loop()
            async with connect_slow_reader(handle) as (listener, client):
                await loop.sock_sendall(client, GET % b"/")
                await asyncio.sleep(CHECK_INTERVAL_SECONDS)
                for connection in list(listener.connections):
                    connection.close_now()
                await asyncio.sleep(UNREAD_SECONDS)
                return await receive(client)

        assert asyncio.run(run()).endswith(BODY)

    def test_connection_serves_further_requests(self):
        async def handle(request):
            await request.respond(200, [], request.target + BODY + request.target)

        async def run():
            async with connect_slow_reader(handle) as (_, client):
                loop = asyncio.get_running_loop()
                endings = []
                for target in (b"/1", b"/2"):
                    await loop.sock_sendall(client, GET % target)
                    await asyncio.sleep(UNREAD_SECONDS)
                    endings.append((await receive(client, until=BODY + target))[-2:])
                return endings

        assert asyncio.run(run()) == [b"/1", b"/2"]

    def test_client_that_reads_nothing_for_the_idle_timeout_is_disconnected(self):
        limits = RequestLimits(head_timeout=60.0, idle_timeout=1.0)
        left = []

        async def handle(request):
            await request.respond(200, [], BODY)

        async def run():
            async with connect_slow_reader(handle, limits) as (listener, client):
                loop = asyncio.get_running_loop()
                await loop.sock_sendall(client, GET % b"/")
                while not listener.connections:
                    await asyncio.sleep(0.01)
                started = loop.time()
                while listener.connections:
                    await asyncio.sleep(0.01)
                left.append(loop.time() - started)

        asyncio.run(run())
        assert left[0] < limits.idle_timeout + 3 * CHECK_INTERVAL_SECONDS


def silence(sock):
    """Drop all segments that arrive at `sock`, so that its kernel acknowledges none."""
    code = ctypes.create_string_buffer(struct.pack("HBBI", BPF_RETURN, 0, 0, 0))
    program = struct.pack("HL", 1, ctypes.addressof(code))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


class TestSilentPeer:
    """Guards against a later notice of connections that go silent without a reset."""

    @pytest.mark.parametrize(
        ("body", "limit_seconds"),
        [
            # As with the user timeout: 2 s without an acknowledgement.
            (BODY[:1000], USER_TIMEOUT_MS / 1000 + 0.5),
            # A probe a second, its time limit, and the interval of the checks.
            (BODY, PROBE_INTERVAL_MS / 1000 + PROBE_TIMEOUT_SECONDS + 0.75),
        ],
        ids=["window open", "window closed"],
    )
    @pytest.mark.parametrize("closes", [False, True], ids=["kept", "closing"])
    def test_output_to_it_ends_the_connection_in_time(
        self, closes, body, limit_seconds
    ):
        may_respond = asyncio.Event()

        async def handle(request):
            if len(body) < len(BODY):
                await may_respond.wait()
            await request.respond(200, [], body, close=closes)

        async def run():
            async with connect_slow_reader(handle) as (listener, client):
                loop = asyncio.get_running_loop()
                await loop.sock_sendall(client, GET % b"/")
                await asyncio.sleep(0.5)
                silence(client)
                may_respond.set()
                started = loop.time()
                while listener.connections:
                    await asyncio.sleep(0.01)
                return loop.time() - started

        assert asyncio.run(run()) < limit_seconds

    def test_idle_connection_ends_in_time(self):
        async def run():
            async with connect_slow_reader(None) as (listener, client):
                while not listener.connections:
                    await asyncio.sleep(0.01)
                silence(client)
                started = asyncio.get_running_loop().time()
                while listener.connections:
                    await asyncio.sleep(0.01)
                return asyncio.get_running_loop().time() - started

        limit = KEEPALIVE_IDLE_SECONDS + KEEPALIVE_INTERVAL_SECONDS
        assert asyncio.run(run()) < limit + 0.5


class TestPipelining:
    """Guards against answers without end held for a client that reads none of them."""

    @pytest.mark.parametrize("method", [b"GET", b"HEAD"])
    def test_requests_are_served_only_as_far_as_their_answers_are_taken(self, method):
        handled = 0

        async def handle(request):
            nonlocal handled
            handled += 1
            await request.respond(200, [(b"x", bytes(1000).hex().encode())], BODY)

        async def run():
            async with connect_slow_reader(handle) as (listener, client):
                loop = asyncio.get_running_loop()
                request = (GET % b"/").replace(b"GET", method)
                sending = loop.create_task(loop.sock_sendall(client, request * 20_000))
                await asyncio.sleep(1.0)
                [connection] = listener.connections
                buffered = connection._transport.get_write_buffer_size()
                sending.cancel()
                return buffered

        assert asyncio.run(run()) < 2 * HIGH_WATER_BYTES
        assert handled < 20_000

    def test_all_requests_of_a_client_that_reads_late_are_answered(self):
        count = 200

        async def handle(request):
            await request.respond(200, [], request.target + BODY)

        async def run():
            async with connect_slow_reader(handle) as (_, client):
                loop = asyncio.get_running_loop()
                requests = b"".join(GET % (b"/%d/" % n) for n in range(count))
                sending = loop.create_task(loop.sock_sendall(client, requests))
                await asyncio.sleep(0.5)
                last = b"/%d/" % (count - 1) + BODY
                received = await receive(client, until=last)
                await sending
                return received

        received = asyncio.run(run())
        positions = [received.index(b"/%d/" % n + BODY) for n in range(count)]
        assert positions == sorted(positions)


class TestSlowServer:
    """Guards against a reset of uploads whose server reads slowly but steadily."""

    def test_whole_request_arrives_after_the_receive_window_was_closed(self):
        body = BODY * 8
        received = []

        async def run():
            loop = asyncio.get_running_loop()
            with socket.socket() as server:
                server.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
                )
                server.bind(("127.0.0.1", 0))
                server.listen()
                server.setblocking(False)

                async def serve():
                    connection, _ = await loop.sock_accept(server)
                    with connection:
                        await asyncio.sleep(UNREAD_SECONDS)
                        received.append(await receive(connection, until=body))
                        await loop.sock_sendall(
                            connection, b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
                        )

                serving = loop.create_task(serve())
                async with (
                    asyncio.timeout(HANG_SECONDS),
                    HttpClient(server.getsockname()) as client,
                ):
                    head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n"
                    response = await client.send(head % len(body), body)
                await serving
                return response.status

        assert asyncio.run(run()) == 200
        assert received[0].endswith(body)


class FakeTransport:
    """A transport without a connection."""

    def __init__(self):
        self.is_aborted = False

    def get_extra_info(self, name):
        return ("127.0.0.1", 1) if name == "peername" else self

    def get_write_buffer_size(self):
        return 0

    def abort(self):
        self.is_aborted = True


IN_FLIGHT = OutputState(segments_in_flight=1, window_bytes=9)
CLOSED = OutputState(unsent_bytes=9)
EMPTY = OutputState(window_bytes=9)


class TestOutputMonitor:
    @pytest.mark.parametrize(
        ("states", "is_aborted", "events"),
        [
            ([EMPTY], False, []),
            ([IN_FLIGHT, EMPTY], False, []),
            ([CLOSED] * 12 + [EMPTY], False, []),
            ([IN_FLIGHT] * 12, True, ["lost"]),
            ([None], False, []),
        ],
        ids=["empty", "acknowledged", "slow", "lost", "unknown"],
    )
    def test_connection_is_aborted_only_if_its_peer_is_lost(
        self, monkeypatch, states, is_aborted, events
    ):
        transport = FakeTransport()
        remaining = [EMPTY, *states]
        logged = []
        monkeypatch.setattr(
            output, "read_output_state", lambda _sock, _size: remaining.pop(0)
        )
        monkeypatch.setattr(
            output, "log_event", lambda _event, **fields: logged.append(fields)
        )

        async def run():
            monitor = OutputMonitor(asyncio.get_running_loop(), transport)
            monitor.watch()
            while monitor._timer is not None:
                await anyio.sleep(0.01)

        run_virtual(run)
        assert transport.is_aborted is is_aborted
        assert [fields["reason"] for fields in logged] == events

    def test_lost_peer_is_noticed_no_later_than_by_the_user_timeout(self, monkeypatch):
        transport = FakeTransport()
        monkeypatch.setattr(output, "read_output_state", lambda *_: IN_FLIGHT)

        async def run():
            loop = asyncio.get_running_loop()
            OutputMonitor(loop, transport).watch()
            started = loop.time()
            while not transport.is_aborted:
                await anyio.sleep(0.01)
            return loop.time() - started

        assert run_virtual(run) <= USER_TIMEOUT_MS / 1000 + 0.01

    def test_nothing_is_checked_where_the_platform_tells_no_state(self, monkeypatch):
        monkeypatch.setattr(output, "read_output_state", lambda *_: None)

        async def run():
            monitor = OutputMonitor(asyncio.get_running_loop(), FakeTransport())
            monitor.watch()
            return monitor._timer, monitor.is_empty

        assert run_virtual(run) == (None, True)


class TestReadOutputState:
    def test_closed_receive_window_is_told_from_segments_in_flight(self):
        with socket.socket() as server, socket.socket() as client:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            server.bind(("127.0.0.1", 0))
            server.listen()
            client.connect(server.getsockname())
            connection, _ = server.accept()
            with connection:
                set_socket_timeouts(connection)
                before = read_output_state(connection)
                connection.setblocking(False)
                connection.send(BODY)
                anyio.run(anyio.sleep, CHECK_INTERVAL_SECONDS)
                closed = read_output_state(connection)
                while (
                    client.recv(65_536) and not read_output_state(connection).is_empty
                ):
                    pass

        assert before.is_empty
        assert not before.is_window_closed
        assert closed.is_window_closed
        assert closed.acknowledged_bytes > 0

    def test_socket_without_that_information_has_none(self):
        with socket.socket(socket.AF_UNIX) as sock:
            assert read_output_state(sock) is None
        assert read_output_state(None) is None

    @pytest.mark.parametrize("length", [0, 100, 232])
    def test_platform_that_counts_no_segments_keeps_the_user_timeout(self, length):
        """Without it, the loss of a peer would not be noticed there."""

        class PartialSocket(socket.socket):
            def getsockopt(self, level, option, *size):
                if option == socket.TCP_INFO:
                    return bytes(length)
                return super().getsockopt(level, option, *size)

        with PartialSocket(socket.AF_INET) as sock:
            set_socket_timeouts(sock)
            timeout = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        assert timeout == USER_TIMEOUT_MS
