"""A network partition between two groups of real nodes that lasts, then ends."""

import anyio
import pytest

from ragworthoist._commands import run_command
from ragworthoist_lab.fleet import Fleet, ServiceSpec, wait_until
from ragworthoist_lab.load import Customers, Stream
from ragworthoist_lab.report import find_violations

pytestmark = pytest.mark.processes

SERVICES = [ServiceSpec("orders", 4, 8, 5), ServiceSpec("stock", 4, 8, 5)]
DOMAINS = ("a", "b", "c", "d")
STREAMS = [
    Stream("order", "protected", "POST", "/orders/new", 10, body=b"2", retries=4),
    Stream("check", "protected", "GET", "/stock/check", 20),
]


def read_versions(fleet, endpoints):
    """Return the set of configuration versions in force at `endpoints`."""
    return {
        fleet.get_operators_json(e, "/status")["configuration"]["version"]
        for e in endpoints
    }


def edit_defaults(fleet, endpoint, assignment):
    return run_command(["defaults", "edit", endpoint.settings_path, assignment])


class TestPartition:
    def test_both_sides_serve_and_merge_after_the_partition(self):
        """The regions are partitioned, and only the northern one reaches the store."""
        regions = {"a": "north", "b": "north", "c": "south", "d": "south"}
        with Fleet(
            SERVICES, failure_domains=DOMAINS, regions=regions, allow_partition=True
        ) as fleet:
            south = [e for e in fleet.endpoints if e.failure_domain in "cd"]
            north = [e for e in fleet.endpoints if e.failure_domain in "ab"]
            fleet.partition(south)
            wait_until(
                lambda: all(fleet.count_alive_members(e) == 4 for e in fleet.endpoints)
            )
            assert edit_defaults(fleet, north[0], "retries=5") == 0
            wait_until(lambda: read_versions(fleet, north) == {1})

            results = anyio.run(self.run_load, fleet, "during-")
            assert {r.outcome for r in results if r.kind == "check"} == {"completed"}
            assert read_versions(fleet, south) == {0}

            fleet.partition([])
            wait_until(
                lambda: all(fleet.count_alive_members(e) == 8 for e in fleet.endpoints)
            )
            wait_until(lambda: read_versions(fleet, fleet.endpoints) == {1})
            results += anyio.run(self.run_load, fleet, "after-")
            records = fleet.read_records()
            assert not find_violations(results, records, {"orders", "stock"})

    async def run_load(self, fleet, id_prefix):
        entrances = [e.entrance for e in fleet.endpoints]
        async with Customers(lambda: entrances, id_prefix=id_prefix) as customers:
            await customers.run(STREAMS, 3.0)
        return customers.results
