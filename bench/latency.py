"""Latency that nodes add to a direct call, and processor time that a call costs.

One caller, which waits for each response, calls a backend server in turn directly,
through the server's own node (one hop) and through the node of another service (two
hops). All three are measured in the same run.
"""

import json
import os
import time
from pathlib import Path

import anyio
import defopt

from ragworthoist_lab.fleet import Fleet, ServiceSpec
from ragworthoist_lab.load import Customers, Stream
from ragworthoist_lab.report import percentile

RESULTS = Path(__file__).parent / "results" / "latency.json"
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
WARM_UP_CALLS = 300
REFUSAL_LOAD_SECONDS = 6.0
REFUSAL_REQUESTS_PER_SECOND = 400.0
EVENT_LOOP_OPTIONS = {"backend_options": {"use_uvloop": True}}
SERVICES = [ServiceSpec("stock", 1, 64, 0.0), ServiceSpec("orders", 1, 64, 0.0)]


def read_cpu_seconds(process):
    """Return the processor time of a process, in seconds."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def measure(
    *,
    calls: int = 3000,
    rounds: int = 2,
    interval_ms: float = 0.0,
    path: Path = RESULTS,
):
    """Measure added latency, and processor time per served and per refused call.

    :param calls: calls by each path in each round
    :param rounds: number of rounds
    :param interval_ms: pause of the caller after each call, in milliseconds
    :param path: JSON file to write the figures to
    """
    with Fleet(SERVICES) as fleet:
        figures = [
            anyio.run(
                _measure_round, fleet, calls, interval_ms / 1000, **EVENT_LOOP_OPTIONS
            )
            for _ in range(rounds)
        ]
        refusal = anyio.run(_measure_refusals, fleet, **EVENT_LOOP_OPTIONS)
    path.parent.mkdir(exist_ok=True)
    path.write_text(json.dumps({"rounds": figures, "refusal": refusal}, indent=1))
    print(
        "| path | " + " | ".join(f"round {i + 1}, p50 / p99 ms" for i in range(rounds))
    )
    print("|" + " --- |" * (rounds + 1))
    for call_path in ("direct", "one hop", "two hops"):
        cells = [
            f"{f[call_path]['p50']:.2f} / {f[call_path]['p99']:.2f}" for f in figures
        ]
        print(f"| {call_path} | " + " | ".join(cells) + " |")
    for call_path in ("one hop", "two hops"):
        added = [f"{f[call_path]['p99'] - f['direct']['p99']:.2f}" for f in figures]
        print(f"added by {call_path} at p99, ms: {', '.join(added)}")
    for name, value in refusal.items():
        print(f"{name}: {value:.3f}")


class _Caller:
    """A keep-alive connection that reads complete responses with little overhead."""

    BODY = b"x" * 200
    REQUEST = b"PUT /stock/check HTTP/1.1\r\nhost: x\r\ncontent-length: 200\r\n\r\n"

    def __init__(self, stream):
        self._stream = stream

    @classmethod
    async def connect(cls, url):
        host, port = url.removeprefix("http://").split(":")
        return cls(await anyio.connect_tcp(host, int(port)))

    async def call(self):
        await self._stream.send(self.REQUEST + self.BODY)
        data = b""
        while b"\r\n\r\n" not in data:
            data += await self._stream.receive()
        head, _, body = data.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        while len(body) < length:
            body += await self._stream.receive()


async def _measure_round(fleet, calls, interval_seconds):
    stock, orders = fleet.endpoints
    urls = {
        "direct": stock.server_url,
        "one hop": stock.entrance,
        "two hops": orders.entrance,
    }
    seconds_by_path = {call_path: [] for call_path in urls}
    callers = {call_path: await _Caller.connect(url) for call_path, url in urls.items()}
    for number in range(calls + WARM_UP_CALLS):
        for call_path, caller in callers.items():
            started = time.perf_counter()
            await caller.call()
            if number >= WARM_UP_CALLS:
                seconds_by_path[call_path].append(time.perf_counter() - started)
            if interval_seconds:
                await anyio.sleep(interval_seconds)
    return {
        call_path: {
            "p50": 1000 * percentile(sorted(durations_seconds), 0.5),
            "p99": 1000 * percentile(sorted(durations_seconds), 0.99),
        }
        for call_path, durations_seconds in seconds_by_path.items()
    }


async def _measure_refusals(fleet):
    """Return processor time per call, in ms, with fast and with slow servers.

    With slow servers the nodes refuse calls; "share refused" is the share of calls that
    they refuse then.
    """
    orders = fleet.endpoints[1]
    served = await _measure_cpu_time(fleet, orders)
    for endpoint in fleet.endpoints_of("stock"):
        await anyio.to_thread.run_sync(
            fleet.control_server, endpoint, "behaviour", {"service_seconds": 5.0}
        )
    # The first load with the slow servers is left out of the figures.
    await _measure_cpu_time(fleet, orders)
    refused = await _measure_cpu_time(fleet, orders)
    return {
        "served, entrance ms": served["entrance"],
        "served, callee ms": served["callee"],
        "refused, entrance ms": refused["entrance"],
        "refused, callee ms": refused["callee"],
        "share refused": refused["share refused"],
    }


async def _measure_cpu_time(fleet, entrance_endpoint):
    """Return processor time per call of both nodes, in ms, and the share refused."""
    stock = fleet.endpoints[0]
    stream = Stream(
        "check", "urgent", "GET", "/stock/check", REFUSAL_REQUESTS_PER_SECOND
    )
    cpu_seconds_before = (
        read_cpu_seconds(entrance_endpoint.node),
        read_cpu_seconds(stock.node),
    )
    async with Customers(lambda: [entrance_endpoint.entrance]) as customers:
        await customers.run([stream], REFUSAL_LOAD_SECONDS)
    cpu_seconds_after = (
        read_cpu_seconds(entrance_endpoint.node),
        read_cpu_seconds(stock.node),
    )
    count = len(customers.results)
    refused = sum(r.outcome == "not-run" for r in customers.results)
    return {
        "entrance": 1000 * (cpu_seconds_after[0] - cpu_seconds_before[0]) / count,
        "callee": 1000 * (cpu_seconds_after[1] - cpu_seconds_before[1]) / count,
        "share refused": refused / count,
    }


if __name__ == "__main__":
    defopt.run(measure, cli_options="has_default")
