"""Latency that the edge for attempts adds, and processor time that a call costs there.

This edge is the package `ragworthoist.edge`. One caller, which waits for each response,
calls a backend server in turn directly, through the server's own node (one hop) and
through the node of another service (two hops). All three are measured in the same run.
Processor time is that of the node processes per call, measured over calls by two hops
only.
"""

import time
import urllib.request
from pathlib import Path

import anyio
import defopt
from latency import EVENT_LOOP_OPTIONS, WARM_UP_CALLS, read_cpu_seconds

from ragworthoist_lab.mesh import VIRTUAL_HOST, Mesh
from ragworthoist_lab.report import percentile

CALL_PATHS = ("direct", "one hop", "two hops")


def read_peak_megabytes(process):
    """Return the peak resident memory of a process, in MB (1024 kB)."""
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    return 0.0


def measure(*, calls: int = 3000, rounds: int = 2):
    """Print added latency, processor time per call, and peak memory of the nodes.

    :param calls: calls by each path in each round
    :param rounds: number of rounds
    """
    with Mesh({"stock": 1, "orders": 1}) as mesh:
        mesh.configure({"/stock/": {"service": "stock"}})
        mesh.wait_until_ready()
        mesh.wait_for_version()
        for endpoint in mesh.endpoints:
            mesh.control_server(endpoint, "behaviour", {"service_seconds": 0.0})
        figures = [
            anyio.run(_measure_round, mesh, calls, **EVENT_LOOP_OPTIONS)
            for _ in range(rounds)
        ]
        nodes = [endpoint.node for endpoint in mesh.endpoints]
        cpu_seconds_before = [read_cpu_seconds(node) for node in nodes]
        anyio.run(_call_by_two_hops, mesh, calls, **EVENT_LOOP_OPTIONS)
        cpu_seconds = [
            read_cpu_seconds(n) - b
            for n, b in zip(nodes, cpu_seconds_before, strict=True)
        ]
        peaks = [read_peak_megabytes(node) for node in nodes]
    for call_path in CALL_PATHS:
        cells = [f"{f[call_path][0]:.2f} / {f[call_path][1]:.2f}" for f in figures]
        print(f"| {call_path} | " + " | ".join(cells) + " |")
    for call_path in CALL_PATHS[1:]:
        added = [f"{f[call_path][1] - f['direct'][1]:.2f}" for f in figures]
        print(f"added by {call_path} at p99, ms: {', '.join(added)}")
    callee, entrance = (1e6 * seconds / calls for seconds in cpu_seconds)
    print(f"processor time of a call, us: entrance {entrance:.0f}, callee {callee:.0f}")
    print(f"peak memory, MB: {', '.join(f'{peak:.1f}' for peak in peaks)}")


class _Caller:
    """A keep-alive connection that reads complete responses with little overhead."""

    def __init__(self, stream, instance):
        self._stream = stream
        self._head = (
            f"GET /stock/check HTTP/1.1\r\nhost: {VIRTUAL_HOST}\r\n"
            f"deadline-ms: 5000\r\nexpect-instance: {instance}\r\n"
            f"attempt-id: %016x\r\n\r\n"
        )

    @classmethod
    async def connect(cls, port, instance):
        return cls(await anyio.connect_tcp("127.0.0.1", port), instance)

    async def call(self, number):
        await self._stream.send((self._head % number).encode())
        data = await self._stream.receive()
        while not _is_complete(data):
            data += await self._stream.receive()
        assert data.startswith(b"HTTP/1.1 200")


def _is_complete(data):
    head, end, body = data.partition(b"\r\n\r\n")
    if not end:
        return False
    _, declared, rest = head.lower().partition(b"content-length: ")
    if declared:
        return len(body) >= int(rest.split(b"\r\n")[0])
    return body.endswith(b"0\r\n\r\n")


async def _connect_all(mesh):
    stock, orders = mesh.endpoints
    url = f"http://127.0.0.1:{stock.ports['server']}/health"
    with urllib.request.urlopen(url) as response:
        instance = response.headers["instance-id"]
    ports = (stock.ports["server"], stock.ports["entrance"], orders.ports["entrance"])
    return [await _Caller.connect(port, instance) for port in ports]


async def _measure_round(mesh, calls):
    """Return (p50, p99) of the latency by each path, in milliseconds."""
    callers = await _connect_all(mesh)
    seconds = {call_path: [] for call_path in CALL_PATHS}
    for number in range(calls + WARM_UP_CALLS):
        for call_path, caller in zip(CALL_PATHS, callers, strict=True):
            started = time.perf_counter()
            await caller.call(number * len(CALL_PATHS) + CALL_PATHS.index(call_path))
            if number >= WARM_UP_CALLS:
                seconds[call_path].append(time.perf_counter() - started)
    return {
        call_path: tuple(
            1000 * percentile(sorted(durations_seconds), share) for share in (0.5, 0.99)
        )
        for call_path, durations_seconds in seconds.items()
    }


async def _call_by_two_hops(mesh, calls):
    """Make `calls` calls by two hops, one after another."""
    caller = (await _connect_all(mesh))[-1]
    for number in range(calls):
        await caller.call(number)


if __name__ == "__main__":
    defopt.run(measure, cli_options="has_default")
