"""Compares overload policies on real processes under the same load, with several seeds.

Run `python bench/overload.py`. It prints a table for docs/MEASUREMENTS.md and
writes every run to bench/results/overload.json.
"""

import json
import statistics
import sys
import time
from dataclasses import dataclass, replace
from pathlib import Path

import anyio
import defopt

from ragworthoist_lab.demonstration import configure
from ragworthoist_lab.fleet import Fleet, ServiceSpec
from ragworthoist_lab.load import Customers, Stream
from ragworthoist_lab.report import measure_recovery, percentile

RESULTS = Path(__file__).parent / "results" / "overload.json"
# Name, endpoints, slots, mean service time in milliseconds, onward calls.
SERVICES = [
    ServiceSpec("orders", 2, 12, 10, ("POST /stock/reserve",)),
    ServiceSpec("stock", 2, 3, 20),
    ServiceSpec("listings", 2, 3, 20),
    ServiceSpec("bookings", 2, 12, 10, ("POST /deposits/new",)),
    ServiceSpec("deposits", 2, 2, 20),
    ServiceSpec("welfare", 2, 2, 20),
]
RANKS = ["protected", "browsing"]
# Name, service, path prefix, rank.
KINDS = [
    ("stock-check", "stock", "/stock/check", "protected"),
    ("welfare", "welfare", "/", "protected"),
    ("order", "orders", "/", "protected"),
    ("booking", "bookings", "/", "protected"),
    ("sample-stock", "stock", "/stock/samples", "browsing"),
    ("listing", "listings", "/listings/coops", "browsing"),
    ("photo", "listings", "/listings/photos", "browsing"),
]
STREAMS = [
    Stream("stock-check", "protected", "GET", "/stock/check", 60),
    Stream("welfare", "protected", "GET", "/welfare/records", 60),
    Stream("order", "protected", "POST", "/orders/new", 50),
    Stream("booking", "protected", "POST", "/bookings/new", 50),
    Stream("sample-stock", "browsing", "GET", "/stock/samples", 50),
    Stream("listing", "browsing", "GET", "/listings/coops", 80),
    Stream("photo", "browsing", "GET", "/listings/photos", 40),
]
CAPACITY_FACTOR = 1.6
LOAD_SECONDS = 8.0
RECOVERY_SECONDS = 7.0
SETTLE_SECONDS = 1.5

_BASELINE = {
    "order": "first_in",
    "carry_levels": False,
    "rank_order": False,
    "retry_bound": "hop",
    "retries": 3,
    "retry_budget": 1.0,
}
POLICIES = {
    "ragworthoist": {},
    "no control": _BASELINE | {"limit": "none"},
    "fixed, first in": _BASELINE | {"limit": "fixed", "fixed_limit": 8},
    "additive limit": {"limit": "additive"},
    "first in": {"order": "first_in"},
    "newest when late": {"order": "newest_when_late"},
    "shed by chance": {"shed": "chance", "order": "newest_when_late"},
    "levels not carried": {"carry_levels": False},
}
DEFAULT_POLICIES = ("ragworthoist", "no control", "fixed, first in")


@dataclass(frozen=True)
class Scenario:
    """A load, and an optional slowdown of one service while the load lasts.

    Parameters
    ----------
    name : str
        Name of the scenario.
    rate_factors : dict
        Factors applied to the rates of `STREAMS`, by kind; "*" is the factor of all
        other kinds, 1 by default.
    retries : int
        How often customers retry a request that did not complete.
    slowdown : tuple
        Service, and the factor applied to its service times; empty for none.
    """

    name: str
    rate_factors: dict
    retries: int = 0
    slowdown: tuple = ()

    def make_streams(self):
        """Return `STREAMS` with the rates and retries of the scenario."""
        default = self.rate_factors.get("*", 1.0)
        return [
            replace(
                s,
                requests_per_second=s.requests_per_second
                * self.rate_factors.get(s.kind, default),
                retries=self.retries,
            )
            for s in STREAMS
        ]


SCENARIOS = [
    Scenario("at capacity", {"*": CAPACITY_FACTOR}),
    Scenario("demand x3", {"*": 3.0}),
    Scenario("demand x2, hard retries", {"*": 2.0}, retries=3),
    Scenario("stock slows to a fifth", {"*": 1.0}, slowdown=("stock", 5.0)),
    Scenario("flood of listings x10", {"listing": 10.0}),
    Scenario("flood of stock checks x8", {"stock-check": 8.0}),
]


def measure(
    *,
    policies: list[str] = DEFAULT_POLICIES,
    scenarios: list[str] = (),
    seeds: int = 3,
    path: Path = RESULTS,
):
    """Measure policies in scenarios and print medians.

    :param policies: names of the policies to compare
    :param scenarios: names of the scenarios to measure, all by default
    :param seeds: number of seeds to run each scenario with
    :param path: JSON file to write every run to
    """
    selected = [s for s in SCENARIOS if not scenarios or s.name in scenarios]
    runs = []
    with Fleet(SERVICES) as fleet:
        for policy in policies:
            configure(fleet, _make_configuration(POLICIES[policy]))
            for scenario in selected:
                for seed in range(1, seeds + 1):
                    run = anyio.run(_run_scenario, fleet, scenario, seed)
                    run |= {"policy": policy, "scenario": scenario.name, "seed": seed}
                    runs.append(run)
                    _show_progress(run)
    path.parent.mkdir(exist_ok=True)
    path.write_text(json.dumps(runs, indent=1))
    print_table(runs)


def _make_configuration(overrides):
    kinds = [
        {"name": name, "service": service, "path_prefix": prefix, "rank": rank}
        for name, service, prefix, rank in KINDS
    ]
    defaults = {"ranks": RANKS, "retries": 2} | overrides
    return {"defaults": defaults | {"kinds": kinds}}


async def _run_scenario(fleet, scenario, seed):
    entrances = [e.entrance for e in fleet.endpoints]
    async with Customers(lambda: entrances, seed) as customers:
        await customers.run(STREAMS, SETTLE_SECONDS)
        await _set_slow_factor(fleet, scenario)
        start = anyio.current_time()
        await customers.run(scenario.make_streams(), LOAD_SECONDS)
        end = anyio.current_time()
        await _set_slow_factor(fleet, scenario, 1.0)
        await customers.run(STREAMS, RECOVERY_SECONDS)
    load_results = [r for r in customers.results if start <= r.sent_at < end]
    recovery_results = [r for r in customers.results if r.sent_at >= end]
    return _summarise(load_results, end - start) | {
        "recovery": measure_recovery(recovery_results, end)
    }


async def _set_slow_factor(fleet, scenario, factor=None):
    """Set the factor of the slowed service, by default to that of the scenario."""
    if not scenario.slowdown:
        return
    service, slowdown = scenario.slowdown
    for endpoint in fleet.endpoints_of(service):
        await anyio.to_thread.run_sync(
            fleet.control_server,
            endpoint,
            "behaviour",
            {"slow_factor": factor or slowdown},
        )


def _summarise(results, seconds):
    """Return figures by kind, and the sum of the rates "done" as goodput.

    By kind these are the rates per second of requests that are sent and that complete
    within one second of latency ("done"), and p99 of the latter in seconds.
    """
    kinds = {}
    for stream in STREAMS:
        group = [r for r in results if r.kind == stream.kind]
        done = sorted(
            r.duration_seconds
            for r in group
            if r.is_completed and r.duration_seconds <= 1.0
        )
        kinds[stream.kind] = {
            "sent": len(group) / seconds,
            "done": len(done) / seconds,
            "p99": percentile(done, 0.99),
        }
    return {"kinds": kinds, "goodput": sum(k["done"] for k in kinds.values())}


def _show_progress(run):
    shares = " ".join(
        f"{kind}:{k['done'] / k['sent']:.2f}" for kind, k in run["kinds"].items()
    )
    print(
        f"{time.strftime('%H:%M:%S')} {run['policy']:<18} {run['scenario']:<26} "
        f"seed {run['seed']} goodput {run['goodput']:6.1f}/s recovery "
        f"{run['recovery']} {shares}",
        file=sys.stderr,
        flush=True,
    )


def print_table(runs):
    """Print medians over seeds and the range of the goodput as a Markdown table."""
    groups = {}
    for run in runs:
        groups.setdefault((run["scenario"], run["policy"]), []).append(run)
    kinds = [stream.kind for stream in STREAMS]
    print("| scenario | policy | goodput/s (range) | recovery s |", *kinds, sep=" | ")
    print("|" + " --- |" * (4 + len(kinds)))
    for (scenario, policy), group in groups.items():
        goodput = [run["goodput"] for run in group]
        recovery = [
            RECOVERY_SECONDS if run["recovery"] is None else run["recovery"]
            for run in group
        ]
        shares = [
            statistics.median(
                r["kinds"][k]["done"] / r["kinds"][k]["sent"] for r in group
            )
            for k in kinds
        ]
        cells = [
            scenario,
            policy,
            f"{statistics.median(goodput):.0f} ({min(goodput):.0f}-{max(goodput):.0f})",
            f"{statistics.median(recovery):.1f}",
            *(f"{share:.2f}" for share in shares),
        ]
        print("| " + " | ".join(cells) + " |")


if __name__ == "__main__":
    defopt.run(measure, cli_options="has_default")
