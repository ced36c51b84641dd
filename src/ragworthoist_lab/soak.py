"""A soak: a fleet of real processes under load and overlapping disturbances.

What clients and servers see is checked against the promises of the edge for attempts.
"""

import shutil
import time
from collections import Counter
from pathlib import Path

import anyio

from ragworthoist_lab.attempt_clients import AttemptClient
from ragworthoist_lab.disturbances import MOVED_PREFIX, SoakFleet, draw_schedule
from ragworthoist_lab.mesh import Mesh
from ragworthoist_lab.promises import SETTLE_SECONDS, SoakLog, find_violations

RULES = {
    "/shop/": {"service": "shop", "timeoutMs": 3000, "targetLatencyMs": 500},
    "/stock/": {"service": "stock", "timeoutMs": 3000, "targetLatencyMs": 500},
    "/order/": {
        "service": "shop",
        "routeKind": "unsafe",
        "timeoutMs": 3000,
        "targetLatencyMs": 500,
        "priority": 0,
    },
}
CLIENTS_PER_NODE = 4
# The first clients of each node read their answers late.
LATE_READERS_PER_NODE = 1
MEAN_PAUSE_SECONDS = 0.1
CALM_SECONDS = 6.0
PROGRESS_SECONDS = 10.0


def soak(
    *,
    seed: int = 1,
    minutes: float = 0.5,
    endpoints: int = 3,
    keep: Path = Path("soak-logs"),
):
    """Disturb a fleet while clients use it, and check its promises.

    Exits with code 1 if a promise was broken. Equal seeds give equal disturbances and
    requests; how they meet in time differs from run to run.

    :param seed: seed of the disturbances and requests
    :param minutes: minutes of disturbances
    :param endpoints: backend servers of each of the two services
    :param keep: directory for the logs of a run that broke a promise
    """
    log, violations = run_soak(seed, 60 * minutes, endpoints, keep)
    statuses = Counter(result.status for result in log.results)
    kinds = Counter(span.kind for span in log.spans)
    print(f"seed {seed}: {len(log.results)} attempts by status {dict(statuses)}")
    print(f"disturbances: {dict(kinds)}")
    for violation in violations:
        print(f"PROMISE BROKEN {violation}")
    print(f"promises broken: {len(violations)}")
    return 1 if violations else 0


def run_soak(seed, seconds, endpoint_count, keep=None):
    """Return the `SoakLog` of one soak and the violations found in it.

    The logs of the nodes and the journals of the servers are copied to the directory
    `keep` if there are violations.
    """
    with Mesh({"shop": endpoint_count, "stock": endpoint_count}) as mesh:
        fleet = SoakFleet(mesh, RULES)
        mesh.configure(RULES | {MOVED_PREFIX: {"service": "shop"}})
        fleet.moves.append((time.monotonic(), "shop"))
        mesh.wait_until_ready()
        mesh.wait_for_version()
        schedule = draw_schedule(seed, seconds, len(mesh.endpoints))
        clients = [
            AttemptClient(
                endpoint.ports["entrance"],
                place,
                f"{seed}-{place}-{number}",
                MEAN_PAUSE_SECONDS,
                reads_late=number < LATE_READERS_PER_NODE,
            )
            for place, endpoint in enumerate(mesh.endpoints)
            for number in range(CLIENTS_PER_NODE)
        ]
        calm_since = anyio.run(_disturb, fleet, clients, schedule, seconds)
        results = [result for client in clients for result in client.results]
        journal = mesh.read_journal()
        log = SoakLog(
            results, journal, fleet.spans, fleet.moves, fleet.rates, calm_since
        )
        violations = find_violations(log)
        if violations and keep is not None:
            found = [*violations, *fleet.spans, *fleet.rates]
            _keep_logs(mesh, keep / str(seed), found)
    return log, violations


async def _disturb(fleet, clients, schedule, seconds):
    """Play `schedule` under load; return when the fleet was calm again."""
    async with anyio.create_task_group() as load:
        for client in clients:
            load.start_soon(client.run)
        async with anyio.create_task_group() as tasks:
            for disturbance in schedule:
                tasks.start_soon(_disturb_later, fleet, disturbance)
            await _report_progress(clients, seconds)
        await anyio.sleep(SETTLE_SECONDS)
        calm_since = time.monotonic()
        await anyio.sleep(CALM_SECONDS)
        for client in clients:
            client.stop()
    return calm_since


async def _disturb_later(fleet, disturbance):
    await anyio.sleep(disturbance.at)
    await fleet.disturb(disturbance)


async def _report_progress(clients, seconds):
    ends_at = time.monotonic() + seconds
    while (left := ends_at - time.monotonic()) > 0:
        await anyio.sleep(min(left, PROGRESS_SECONDS))
        count = sum(len(client.results) for client in clients)
        print(f"{max(0.0, left - PROGRESS_SECONDS):.0f} s left, {count} attempts")


def _keep_logs(mesh, directory, found):
    """Copy the logs of a fleet to `directory`, beside the lines of `found`."""
    directory.mkdir(parents=True, exist_ok=True)
    for endpoint in mesh.endpoints:
        for path in (endpoint.settings_path.with_suffix(".log"), endpoint.journal_path):
            if path.exists():
                shutil.copy(path, directory)
    (directory / "soak.txt").write_text("".join(f"{line}\n" for line in found))
