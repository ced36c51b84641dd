"""The demonstration that `make run` shows: both users' services under overload."""

import json
import sys
import tempfile
import time
from dataclasses import replace

import anyio

from ragworthoist._commands import run_command
from ragworthoist_lab.fleet import Fleet, ServiceSpec
from ragworthoist_lab.load import Customers, Stream
from ragworthoist_lab.report import (
    find_violations,
    measure_amplification,
    measure_recovery,
    print_rows,
    summarise,
)

SERVICES = [
    ServiceSpec("catalogue", 2, 1, 20),
    ServiceSpec("samples", 2, 1, 20),
    ServiceSpec("orders", 2, 8, 10, ("POST /dispatches/new",)),
    ServiceSpec("dispatches", 2, 8, 10, ("POST /stock/reserve",)),
    ServiceSpec("stock", 2, 1, 20),
    ServiceSpec("listings", 2, 1, 20),
    ServiceSpec("bookings", 2, 8, 10, ("POST /deposits/new",)),
    ServiceSpec("deposits", 2, 1, 20),
    ServiceSpec("welfare", 2, 1, 20),
]
NON_IDEMPOTENT = {"orders", "dispatches", "bookings", "deposits"}
RANKS = ["protected", "browsing"]
KINDS = [
    {"name": "stock-check", "service": "stock", "method": "GET", "rank": "protected"},
    {"name": "welfare", "service": "welfare", "rank": "protected"},
    {"name": "order", "service": "orders", "method": "POST", "rank": "protected"},
    {"name": "booking", "service": "bookings", "method": "POST", "rank": "protected"},
    {"name": "catalogue", "service": "catalogue", "rank": "browsing"},
    {"name": "sample", "service": "samples", "rank": "browsing"},
    {"name": "listing", "service": "listings", "rank": "browsing"},
]
STREAMS = [
    Stream("stock-check", "protected", "GET", "/stock/check", 30),
    Stream("welfare", "protected", "GET", "/welfare/records", 30),
    Stream("order", "protected", "POST", "/orders/new", 20, body=b"2 rolls", repeats=1),
    Stream(
        "booking", "protected", "POST", "/bookings/new", 20, body=b"1 coop", repeats=1
    ),
    Stream("catalogue", "browsing", "GET", "/catalogue/tapes", 40),
    Stream("sample", "browsing", "GET", "/samples/hem", 20),
    Stream("listing", "browsing", "GET", "/listings/coops", 40),
]
OVERLOAD_FACTOR = 3.0


def configuration_values():
    """Return the configuration of the demonstration as plain values."""
    return {"defaults": {"ranks": RANKS, "kinds": KINDS, "retries": 2}}


def scale(streams, factor):
    """Return `streams` at `factor` times their rates."""
    return [replace(stream, rate=stream.rate * factor) for stream in streams]


def demonstrate(*, seed: int = 1, quick: bool = False):
    """Run both users' services through overload, a failure and a change.

    :param seed: seed of arrivals and service times
    :param quick: shorten every phase
    """
    started = time.monotonic()
    print("starting store, backend servers and nodes ...", flush=True)
    with Fleet(SERVICES, seed=seed) as fleet:
        configure(fleet, configuration_values())
        print(f"ready after {time.monotonic() - started:.1f} s", flush=True)
        violations = anyio.run(_drive, fleet, seed, 0.3 if quick else 1.0)
    for violation in violations[:10]:
        print(f"BROKEN PROMISE: {violation}")
    print(f"done after {time.monotonic() - started:.1f} s, broken: {len(violations)}")
    sys.exit(1 if violations else 0)


def configure(fleet, values):
    """Put `values` in force through the command line."""
    text = "\n".join(_to_toml(values))
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(text)
        file.flush()
        _command(fleet, ["defaults", "apply", "SETTINGS", file.name, "--wait"])


def _to_toml(values):
    defaults = dict(values["defaults"])
    kinds = defaults.pop("kinds", [])
    yield "[defaults]"
    for key, value in defaults.items():
        yield f"{key} = {json.dumps(value)}"
    for kind in kinds:
        yield "[[defaults.kinds]]"
        for key, value in kind.items():
            yield f"{key} = {json.dumps(value)}"


def _command(fleet, arguments):
    settings = fleet.endpoints[0].settings_path
    code = run_command([settings if a == "SETTINGS" else a for a in arguments])
    if code:
        raise SystemExit(code)


async def _drive(fleet, seed, pace):
    def entrances():
        return [e.entrance for e in fleet.endpoints if e.node.poll() is None]

    killed = fleet.endpoints_of("catalogue")[1]
    async with Customers(entrances, seed) as customers:
        await _phase(customers, "usual load", STREAMS, 10 * pace)
        await _phase(
            customers,
            "three times the load",
            scale(STREAMS, OVERLOAD_FACTOR),
            15 * pace,
        )
        ended = anyio.current_time()
        await _phase(customers, "usual load again", STREAMS, 10 * pace)
        recovery = measure_recovery(customers.results, ended)
        print(f"recovery after overload: {_seconds(recovery)}", flush=True)
        killed.node.kill()
        killed.server.kill()
        ended = anyio.current_time()
        await _phase(customers, "one catalogue endpoint killed", STREAMS, 8 * pace)
        recovery = measure_recovery(customers.results, ended)
        print(f"recovery after the kill: {_seconds(recovery)}", flush=True)
        await anyio.to_thread.run_sync(
            _command, fleet, ["defaults", "edit", "SETTINGS", "retries=1", "--wait"]
        )
        await _phase(customers, "retries changed to 1", STREAMS, 5 * pace)
    results = customers.results
    print("\nwhole run")
    print_rows(summarise(results))
    records = await anyio.to_thread.run_sync(fleet.read_records)
    amplification = measure_amplification(results, records)
    print(f"runs at servers per customer request: {amplification:.2f}")
    return find_violations(results, records, NON_IDEMPOTENT)


async def _phase(customers, title, streams, seconds):
    before = len(customers.results)
    print(f"\n{title}, {seconds:.0f} s ...", flush=True)
    await customers.run(streams, seconds)
    await anyio.sleep(1.0)
    print_rows(summarise(customers.results[before:]))


def _seconds(value):
    return "not within the phase" if value is None else f"{value:.1f} s"
