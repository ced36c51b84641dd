"""Crowds of clients that the operators do not control, against real processes.

Whatever a crowd does, no process may end, each stays within the memory and the
descriptors of its machine, and ordinary clients still get answers.
"""

import asyncio
import contextlib
from dataclasses import dataclass, field

import pytest

from ragworthoist_lab.crowds import gather_crowd
from ragworthoist_lab.fleet import Fleet, ServiceSpec
from ragworthoist_lab.mesh import VIRTUAL_HOST, Mesh

pytestmark = pytest.mark.processes

# The smallest machine of the platform.
MEMORY_LIMIT_BYTES = 200 * 1024 * 1024
# What a node of the descriptor tests may open.
DESCRIPTOR_LIMIT = 200
ORDINARY_TIMEOUT_SECONDS = 10.0
MAX_ORDINARY_ATTEMPTS = 30
ATTEMPT_DELAY_SECONDS = 0.3


@dataclass(frozen=True)
class Case:
    """A crowd, the number of its connections, and how the server beside it behaves."""

    crowd: str
    connection_count: int
    behaviour: dict = field(default_factory=dict)

    def __str__(self):
        return "-".join([self.crowd, *self.behaviour])


def read_peak_memory(process):
    """Return the largest resident memory that `process` has had, in bytes."""
    with open(f"/proc/{process.pid}/status") as file:
        line = next(line for line in file if line.startswith("VmHWM:"))
    return int(line.split()[1]) * 1024


async def request_once(port, host, target, number, more="\r\n", body=b""):
    """Return the status of one request on a connection of its own.

    `more` ends the head.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        head = (
            f"{'POST' if body else 'GET'} {target} HTTP/1.1\r\nhost: {host}\r\n"
            f"attempt-id: ordinary-{number}\r\ndeadline-ms: 10000\r\n"
            f"connection: close\r\n{more}"
        )
        writer.write(head.encode() + body)
        status_line = await reader.readline()
        await reader.read()
        return int(status_line.split()[1])
    finally:
        writer.close()


async def is_answered(port, host, target):
    """Whether an ordinary client gets an answer; it may have to come back."""
    for number in range(MAX_ORDINARY_ATTEMPTS):
        with contextlib.suppress(OSError, TimeoutError, IndexError):
            async with asyncio.timeout(ORDINARY_TIMEOUT_SECONDS):
                if await request_once(port, host, target, number) == 200:
                    return True
        await asyncio.sleep(ATTEMPT_DELAY_SECONDS)
    return False


async def run_crowd(case, nodes, port, host, target, set_behaviour):
    """Run the crowd of `case`; return what broke, as a list of texts."""
    await asyncio.to_thread(set_behaviour, case.behaviour)
    address = ("127.0.0.1", port)
    async with gather_crowd(case.crowd, address, host, target, case.connection_count):
        # Ordinary clients do not have the server's odd behaviour to bear.
        await asyncio.to_thread(set_behaviour, dict.fromkeys(case.behaviour, 0))
        with_crowd = await is_answered(port, host, target)
    afterwards = await is_answered(port, host, target)
    broken = []
    if not with_crowd:
        broken.append("no answer beside the crowd")
    if not afterwards:
        broken.append("no answer after the crowd")
    for name, process in nodes.items():
        if process.poll() is not None:
            broken.append(f"{name} ended with {process.returncode}")
            continue
        peak = read_peak_memory(process)
        print(f"{case}: peak of {name} {peak / 2**20:.0f} MB")
        if peak > MEMORY_LIMIT_BYTES:
            broken.append(f"{name} had {peak / 2**20:.0f} MB")
    return broken


LONG_ANSWERS = {"answer_bytes": 6_000_000, "part_bytes": 100_000}
SLOW_ANSWERS = {"answer_bytes": 500_000, "part_bytes": 50_000, "part_seconds": 0.1}

ATTEMPT_CASES = [
    Case("uploads-in-large-chunks", 3000),
    Case("uploads-in-small-chunks", 120),
    Case("long-uploads-in-small-chunks", 90),
    Case("heads-without-end", 900),
    Case("pipelined-requests", 40),
    Case("pipelined-long-heads", 60, {"service_seconds": 5.0}),
    Case("slow-readers", 700, LONG_ANSWERS),
    Case("slow-readers", 150, LONG_ANSWERS | {"header_count": 12_000}),
    Case("leaving-readers", 700, SLOW_ANSWERS),
]

TICKET_CASES = [
    Case("uploads-with-a-length", 50),
    Case("long-uploads-in-large-chunks", 350),
    Case("heads-without-end", 900),
    Case("pipelined-requests", 40),
    Case("pipelined-long-heads", 60, {"service_seconds": 5.0}),
    Case("slow-readers", 60, {"answer_bytes": 4_000_000}),
]

DESCRIPTOR_CASES = [
    Case("idle-connections", 400),
    Case("kept-connections", 400),
    Case("long-uploads-in-large-chunks", 400),
    Case("slow-readers", 400, {"answer_bytes": 1_000_000}),
]


# Heads and bodies as large as clients may send them; stand-in servers take 16 MB.
LARGEST_ATTEMPTS = {
    "head": ("x: " + "y" * 16_000 + "\r\n\r\n", b""),
    "many headers": ("a: b\r\n" * 2500 + "\r\n", b""),
    "body": ("content-length: 16000000\r\n\r\n", b"x" * 16_000_000),
    "chunks": (
        "transfer-encoding: chunked\r\n\r\n",
        b"2\r\nxy\r\n" * 200_000 + b"0\r\n\r\n",
    ),
}
LARGEST_WITH_TICKETS = {
    "head": ("x: " + "y" * 32_000 + "\r\n\r\n", b""),
    "many headers": ("a: b\r\n" * 4000 + "\r\n", b""),
}


class TestAttempts:
    def _run(self, case, descriptor_limit=None):
        services = {"shop": 1, "stock": 1}
        with Mesh(services, descriptor_limit=descriptor_limit) as mesh:
            mesh.configure({"/stock/": {"service": "stock"}})
            mesh.wait_until_ready()
            return self._run_crowd(mesh, case)

    def _run_crowd(self, mesh, case):
        shop, stock = mesh.endpoints

        def set_behaviour(values):
            mesh.control_server(stock, "behaviour", values)

        nodes = {"entrance": shop.node, "node beside the server": stock.node}
        port = shop.ports["entrance"]
        return asyncio.run(
            run_crowd(case, nodes, port, VIRTUAL_HOST, "/stock/x", set_behaviour)
        )

    @pytest.mark.parametrize("case", ATTEMPT_CASES, ids=str)
    def test_crowd_exhausts_the_memory_of_a_node(self, case):
        assert self._run(case) == []

    @pytest.mark.parametrize("case", DESCRIPTOR_CASES, ids=str)
    def test_crowd_exhausts_the_descriptors_of_a_node(self, case):
        assert self._run(case, DESCRIPTOR_LIMIT) == []

    def test_largest_request_in_calm_is_refused(self):
        with Mesh({"shop": 1, "stock": 1}) as mesh:
            mesh.configure({"/stock/": {"service": "stock"}})
            mesh.wait_until_ready()
            port = mesh.endpoints[0].ports["entrance"]
            statuses = {
                name: asyncio.run(
                    request_once(port, VIRTUAL_HOST, "/stock/x", name[:2], *sent)
                )
                for name, sent in LARGEST_ATTEMPTS.items()
            }
        assert statuses == dict.fromkeys(LARGEST_ATTEMPTS, 200)


class TestTickets:
    def _run(self, case, descriptor_limit=None):
        services = [ServiceSpec("shop", 1, 8, 5), ServiceSpec("stock", 1, 8, 5)]
        with Fleet(services, descriptor_limit=descriptor_limit) as fleet:
            return self._run_crowd(fleet, case)

    def _run_crowd(self, fleet, case):
        shop, stock = fleet.endpoints

        def set_behaviour(values):
            if values.get("service_seconds") == 0:
                values["service_seconds"] = 0.005
            fleet.control_server(stock, "behaviour", values)

        nodes = {"entrance": shop.node, "node beside the server": stock.node}
        port = shop.ports["entrance"]
        return asyncio.run(
            run_crowd(case, nodes, port, "a", "/stock/check", set_behaviour)
        )

    @pytest.mark.parametrize("case", TICKET_CASES, ids=str)
    def test_crowd_exhausts_the_memory_of_a_node(self, case):
        assert self._run(case) == []

    @pytest.mark.parametrize("case", DESCRIPTOR_CASES, ids=str)
    def test_crowd_exhausts_the_descriptors_of_a_node(self, case):
        assert self._run(case, DESCRIPTOR_LIMIT) == []

    def test_largest_request_in_calm_is_refused(self):
        services = [ServiceSpec("shop", 1, 8, 5), ServiceSpec("stock", 1, 8, 5)]
        with Fleet(services) as fleet:
            _, stock = fleet.endpoints
            fleet.control_server(stock, "behaviour", {"answer_bytes": 8_000_000})
            port = fleet.endpoints[0].ports["entrance"]
            statuses = {
                name: asyncio.run(request_once(port, "a", "/stock/check", name, *sent))
                for name, sent in LARGEST_WITH_TICKETS.items()
            }
        assert statuses == dict.fromkeys(LARGEST_WITH_TICKETS, 200)
