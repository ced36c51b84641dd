"""Measures for docs/CAPACITY.md how the cost of a node grows with its fleet.

Real fleets of growing size give processor time, gossip, store calls, memory and
the time until a change is in force. Tables of the core, filled with up to 5,000
members, give memory and time for fleets larger than one machine can run.
"""

import json
import random
import statistics
import subprocess
import sys
import time
import tracemalloc
from pathlib import Path

import defopt
import msgpack
from latency import read_cpu_seconds

from ragworthoist import Document
from ragworthoist._commands import run_command
from ragworthoist.core.admission import Admission
from ragworthoist.core.members import Member, Message, MessageKind
from ragworthoist.core.membership import Membership
from ragworthoist.core.policy import Policy
from ragworthoist.core.routing import Router
from ragworthoist_lab.fleet import Fleet, ServiceSpec

RESULTS = Path(__file__).parent / "results" / "capacity.json"
SETTLE_SECONDS = 6.0
IDLE_SECONDS = 12.0
PAGE_BYTES = 4096
CHANGE_COUNT = 5
TABLE_SIZES = (100, 1500, 5000)
SERVICE_COUNT = 68
TIMED_RUNS = 200
IMPORTS = (
    "anyio",
    "msgpack",
    "pydantic",
    "uvloop",
    "uvicorn, httptools",
    "aiohttp",
    "httpx",
    "hypercorn.asyncio",
    "aioprometheus",
    "eliot",
    "defopt",
    "ragworthoist._node, ragworthoist._commands",
)


def measure(*, sizes: list[int] = (4, 8, 16, 32), path: Path = RESULTS):
    """Measure memory after imports, tables of the core, and real fleets.

    :param sizes: numbers of nodes of the real fleets, multiples of four
    :param path: JSON file to write the figures to
    """
    figures = {
        "imports_mb": _measure_imports(),
        "tables": [_measure_tables(size) for size in TABLE_SIZES],
        "fleets": [],
    }
    _print_row(figures["imports_mb"])
    for row in figures["tables"]:
        _print_row(row)
    for size in sizes:
        row = _measure_fleet(size)
        figures["fleets"].append(row)
        _print_row(row)
    path.parent.mkdir(exist_ok=True)
    path.write_text(json.dumps(figures, indent=1))


def _print_row(row):
    print(json.dumps(row), flush=True)


def _measure_imports():
    """Return the resident memory after each import in turn, cumulative, in MB."""
    code = "import sys\n"
    code += "def show(name):\n"
    code += "    pages = int(open('/proc/self/statm').read().split()[1])\n"
    code += f"    print(name, '|', pages * {PAGE_BYTES} / 1e6)\n"
    code += "show('interpreter')\n"
    for names in IMPORTS:
        code += f"import {names}\nshow({names!r})\n"
    output = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout
    pairs = (line.split(" | ") for line in output.splitlines())
    return {name: round(float(value), 1) for name, value in pairs}


def _make_member(number):
    return Member(
        number.to_bytes(8, "big"),
        f"service{number % SERVICE_COUNT}",
        "north" if number % 4 < 2 else "south",
        "abcd"[number % 4],
        f"10.{number // 65536}.{number // 256 % 256}.{number % 256}",
        7000,
    )


def _measure_tables(size):
    """Return the memory and times of the core's tables with `size` members."""
    tracemalloc.start()
    table = Membership(_make_member(0), random.Random(1), 0.0)
    members = [_make_member(number) for number in range(1, size)]
    before = tracemalloc.get_traced_memory()[0]
    table.merge([_make_member(number) for number in range(1, size)], 0.0)
    table_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    table._transmissions.clear()
    router = Router(table.node, random.Random(1))
    clock = time.perf_counter
    ping = Message(MessageKind.PING, members[0].instance, 1, b"", 0, 0, [], [])
    admission = Admission(Policy(Document()).service("stock"))
    return {
        "members": size,
        "bytes_per_member": round(table_bytes / size),
        "tick_us": _measure_median_us(lambda n: table.tick(n * 0.1), clock),
        "receive_us": _measure_median_us(
            lambda n: table.receive(ping, ("1", 1), n * 0.1), clock
        ),
        "watchers_us": _measure_median_us(lambda n: table.watchers(), clock),
        "subset_us": _measure_median_us(
            lambda n: router.subset("service1", table.by_service, n), clock
        ),
        "pick_us": _measure_median_us(
            lambda n: router.pick(router.subset("service1", table.by_service, 0), n),
            clock,
        ),
        "admission_tick_us": _measure_median_us(
            lambda n: admission.tick(n * 0.02), clock
        ),
        "endpoints_in_subset": len(router.subset("service1", table.by_service, 0)),
        "exchange_bytes": len(msgpack.packb(table.snapshot())),
    }


def _measure_median_us(function, clock):
    """Return the median duration of `function(number)`, in microseconds."""
    durations_seconds = []
    for number in range(TIMED_RUNS):
        started = clock()
        function(number)
        durations_seconds.append(clock() - started)
    return round(1e6 * statistics.median(durations_seconds), 1)


def _measure_fleet(size):
    """Return the cost of idle nodes of a real fleet of `size`, and times of changes."""
    services = [ServiceSpec(f"s{number}", size // 4) for number in range(4)]
    with Fleet(services, share_servers=True) as fleet:
        time.sleep(SETTLE_SECONDS)
        first = _read_counters(fleet)
        time.sleep(IDLE_SECONDS)
        second = _read_counters(fleet)
        change_seconds = [
            _measure_change(fleet, number) for number in range(CHANGE_COUNT)
        ]
    elapsed = second["time"] - first["time"]
    rates = {
        key: round((second[key] - first[key]) / elapsed / size, 4)
        for key in ("cpu", "datagrams", "bytes")
    }
    return {
        "nodes": size,
        "core_percent": round(100 * rates["cpu"], 2),
        "datagrams_per_second": rates["datagrams"],
        "bytes_per_second": rates["bytes"],
        "store_calls_per_second": round(
            (second["store"] - first["store"]) / elapsed, 2
        ),
        "resident_mb": round(second["resident"] / size, 1),
        "in_force_seconds": [round(s, 2) for s in sorted(change_seconds)],
    }


def _read_counters(fleet):
    states = [
        fleet.get_operators_json(endpoint, "/state") for endpoint in fleet.endpoints
    ]
    return {
        "time": time.monotonic(),
        "cpu": sum(read_cpu_seconds(e.node) for e in fleet.endpoints),
        "datagrams": sum(s["datagrams"]["sent"] for s in states),
        "bytes": sum(s["datagrams"]["sent_bytes"] for s in states),
        "store": sum(fleet.control_store("calls").values()),
        "resident": sum(_read_resident_mb(e.node) for e in fleet.endpoints),
    }


def _read_resident_mb(process):
    pages = Path(f"/proc/{process.pid}/statm").read_text().split()[1]
    return int(pages) * PAGE_BYTES / 1e6


def _measure_change(fleet, number):
    """Return the seconds until a change is in force at every node."""
    started = time.time()
    settings = fleet.endpoints[0].settings_path
    if run_command(["defaults", "edit", settings, f"retries={number % 3}"]):
        raise SystemExit("the change of the retries was refused")
    expected_version = number + 1
    adopted = {}
    while len(adopted) < len(fleet.endpoints):
        time.sleep(0.05)
        for endpoint in fleet.endpoints:
            adopted_at = _find_adoption_time(endpoint, expected_version)
            if adopted_at is not None:
                adopted[endpoint.settings_path] = adopted_at
    return max(adopted.values()) - started


def _find_adoption_time(endpoint, version):
    for line in Path(endpoint.settings_path + ".log").read_text().splitlines():
        event = json.loads(line)
        # 300 is `Event.CONFIGURATION_ADOPTED`.
        if event.get("number") == 300 and event["version"] == version:
            return event["timestamp"]
    return None


if __name__ == "__main__":
    defopt.run(measure, cli_options="has_default")
