"""Demonstration run by `make run`: the services of two organisations under overload.

Both share one fleet. A shop for hem tape has the services catalogue, samples, orders,
dispatches and stock; a registry for chicken welfare has listings, bookings, deposits
and welfare.
"""

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
    print_summaries,
    summarise_kinds,
)

# Name, endpoints, slots, mean service time in milliseconds, onward calls.
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
# Kind, rank, method, path, requests per second.
STREAMS = [
    Stream("stock-check", "protected", "GET", "/stock/check", 30),
    Stream("welfare", "protected", "GET", "/welfare/records", 30),
    Stream("order", "protected", "POST", "/orders/new", 20, body=b"2 rolls", retries=1),
    Stream(
        "booking", "protected", "POST", "/bookings/new", 20, body=b"1 coop", retries=1
    ),
    Stream("catalogue", "browsing", "GET", "/catalogue/tapes", 40),
    Stream("sample", "browsing", "GET", "/samples/hem", 20),
    Stream("listing", "browsing", "GET", "/listings/coops", 40),
]
OVERLOAD_FACTOR = 3.0


def make_configuration():
    """Return the configuration of the demonstration as nested dicts and lists."""
    return {"defaults": {"ranks": RANKS, "kinds": KINDS, "retries": 2}}


def scale_rates(streams, factor):
    """Return copies of `streams` with their rates multiplied by `factor`."""
    return [
        replace(stream, requests_per_second=stream.requests_per_second * factor)
        for stream in streams
    ]


def demonstrate(*, seed: int = 1, quick: bool = False):
    """Demonstrate an overload, the kill of an endpoint and a configuration change.

    :param seed: seed of arrivals and service times
    :param quick: run each phase for 30 percent of its usual time
    """
    started = time.monotonic()
    print("starting store, backend servers and nodes ...", flush=True)
    with Fleet(SERVICES, seed=seed) as fleet:
        configure(fleet, make_configuration())
        print(f"ready after {time.monotonic() - started:.1f} s", flush=True)
        violations = anyio.run(_run_phases, fleet, seed, 0.3 if quick else 1.0)
    for violation in violations[:10]:
        print(f"GUARANTEE VIOLATED: {violation}")
    print(
        f"done after {time.monotonic() - started:.1f} s, "
        f"guarantees violated: {len(violations)}"
    )
    sys.exit(1 if violations else 0)


def configure(fleet, values):
    """Apply the configuration `values` by command and wait until it is in force."""
    text = "\n".join(_to_toml(values))
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(text)
        file.flush()
        _run_command_on_fleet(
            fleet, ["defaults", "apply", "SETTINGS", file.name, "--wait"]
        )


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


def _run_command_on_fleet(fleet, arguments):
    """Run a command, with the settings file of the first node for "SETTINGS"."""
    settings = fleet.endpoints[0].settings_path
    code = run_command([settings if a == "SETTINGS" else a for a in arguments])
    if code:
        raise SystemExit(code)


async def _run_phases(fleet, seed, duration_factor):
    def entrances():
        return [e.entrance for e in fleet.endpoints if e.node.poll() is None]

    killed_endpoint = fleet.endpoints_of("catalogue")[1]
    async with Customers(entrances, seed) as customers:
        await _run_phase(customers, "usual load", STREAMS, 10 * duration_factor)
        await _run_phase(
            customers,
            "three times the load",
            scale_rates(STREAMS, OVERLOAD_FACTOR),
            15 * duration_factor,
        )
        phase_end = anyio.current_time()
        await _run_phase(customers, "usual load again", STREAMS, 10 * duration_factor)
        recovery = measure_recovery(customers.results, phase_end)
        print(f"recovery after overload: {_format_seconds(recovery)}", flush=True)
        killed_endpoint.node.kill()
        killed_endpoint.server.kill()
        phase_end = anyio.current_time()
        await _run_phase(
            customers, "one catalogue endpoint killed", STREAMS, 8 * duration_factor
        )
        recovery = measure_recovery(customers.results, phase_end)
        print(f"recovery after the kill: {_format_seconds(recovery)}", flush=True)
        await anyio.to_thread.run_sync(
            _run_command_on_fleet,
            fleet,
            ["defaults", "edit", "SETTINGS", "retries=1", "--wait"],
        )
        await _run_phase(
            customers, "retries changed to 1", STREAMS, 5 * duration_factor
        )
    results = customers.results
    print("\nwhole run")
    print_summaries(summarise_kinds(results))
    records = await anyio.to_thread.run_sync(fleet.read_records)
    amplification = measure_amplification(results, records)
    print(f"runs at servers per customer request: {amplification:.2f}")
    return find_violations(results, records, NON_IDEMPOTENT)


async def _run_phase(customers, title, streams, seconds):
    result_count_before = len(customers.results)
    print(f"\n{title}, {seconds:.0f} s ...", flush=True)
    await customers.run(streams, seconds)
    # Lets pending responses arrive before the summary.
    await anyio.sleep(1.0)
    print_summaries(summarise_kinds(customers.results[result_count_before:]))


def _format_seconds(value):
    return "not within the phase" if value is None else f"{value:.1f} s"
