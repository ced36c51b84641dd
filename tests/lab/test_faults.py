"""Faults of real processes: kills, pauses, graceful stops and store outages.

A fault must not run a non-idempotent request twice, nor report a request as not run
that ran.
"""

import json
import os
import signal
import socket
import time

import anyio
import pytest

from ragworthoist._commands import run_command
from ragworthoist_lab.fleet import Fleet, ServiceSpec, request_json, wait_until
from ragworthoist_lab.load import Customers, Stream
from ragworthoist_lab.report import find_violations

pytestmark = pytest.mark.processes

SERVICES = [
    ServiceSpec("orders", 2, 8, 10, ("POST /stock/reserve",)),
    ServiceSpec("stock", 2, 8, 10),
]
NON_IDEMPOTENT = {"orders", "stock"}
STREAMS = [
    Stream("order", "business", "POST", "/orders/new", 20, body=b"2 rolls", retries=4),
    Stream("check", "urgent", "GET", "/stock/check", 40, retries=2),
]


def run_load(fleet, seconds, inject_fault):
    """Send load for `seconds` while `inject_fault` runs in a thread; return results.

    Customers avoid the entrance of the node whose settings file is the attribute
    `excluded_path` of `inject_fault`, if it has one.
    """

    async def run():
        def entrances():
            return [
                e.entrance for e in fleet.endpoints if e.settings_path != excluded_path
            ]

        async with (
            Customers(entrances) as customers,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(customers.run, STREAMS, seconds)
            await anyio.sleep(0.5)
            await anyio.to_thread.run_sync(inject_fault)
        return customers.results

    excluded_path = getattr(inject_fault, "excluded_path", None)
    return anyio.run(run)


@pytest.fixture
def fleet():
    with Fleet(SERVICES) as running:
        yield running


class TestLeaving:
    def test_a_graceful_stop_fails_no_request_and_accepts_no_new_one(self, fleet):
        leaving_endpoint = fleet.endpoints_of("stock")[1]
        record_counts = []

        def leave():
            assert fleet.stop_node(leaving_endpoint) == 0
            before = len(fleet.control_server(leaving_endpoint, "records"))
            time.sleep(1.0)
            record_counts.append(
                (before, len(fleet.control_server(leaving_endpoint, "records")))
            )

        leave.excluded_path = leaving_endpoint.settings_path
        results = run_load(fleet, 6.0, leave)

        assert {r.outcome for r in results} == {"completed"}
        assert not find_violations(results, fleet.read_records(), NON_IDEMPOTENT)
        before, after = record_counts[0]
        assert after == before > 0

    def test_a_graceful_stop_waits_for_a_long_answer(self, fleet):
        leaving_endpoint = fleet.endpoints_of("stock")[0]
        path = leaving_endpoint.settings_path
        assert run_command(["defaults", "edit", path, "deadline_ms=30000"]) == 0
        wait_until(
            lambda: fleet.get_operators_json(leaving_endpoint, "/status")[
                "configuration"
            ]["version"]
        )
        # Longer than the pause between announcing the departure to peers and closing.
        values = {"service_seconds": 5.0, "answer_bytes": 4_000_000}
        fleet.control_server(leaving_endpoint, "behaviour", values)
        stream = Stream("check", "urgent", "GET", "/stock/check", 0)
        statuses = []

        async def run():
            async with Customers(lambda: [leaving_endpoint.entrance]) as customers:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(customers.request, stream, "long-1")
                    while not await anyio.to_thread.run_sync(
                        fleet.control_server, leaving_endpoint, "records"
                    ):
                        await anyio.sleep(0.02)
                    leaving_endpoint.node.send_signal(signal.SIGTERM)
                statuses.extend(r.status for r in customers.results)

        anyio.run(run)

        assert statuses == [200]
        assert leaving_endpoint.node.wait(15) == 0

    def test_a_customer_that_reads_slowly_gets_the_whole_answer(self, fleet):
        leaving_endpoint = fleet.endpoints_of("stock")[0]
        size = 4_000_000
        fleet.control_server(leaving_endpoint, "behaviour", {"answer_bytes": size})
        with socket.socket() as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
            connection.connect(("127.0.0.1", leaving_endpoint.ports["entrance"]))
            connection.sendall(b"GET /stock/check HTTP/1.1\r\nhost: x\r\n\r\n")
            wait_until(lambda: fleet.control_server(leaving_endpoint, "records"))
            leaving_endpoint.node.send_signal(signal.SIGTERM)
            received = len(connection.recv(65_536))
            while received < size:
                time.sleep(0.03)
                part = connection.recv(32_768)
                assert part, f"connection closed after {received} bytes"
                received += len(part)

        assert leaving_endpoint.node.wait(15) == 0


class TestFailures:
    @pytest.mark.parametrize("service", ["orders", "stock"])
    def test_a_paused_node_violates_no_guarantee_when_it_resumes(self, fleet, service):
        paused = fleet.endpoints_of(service)[0]

        def pause():
            paused.node.send_signal(signal.SIGSTOP)
            time.sleep(3.0)
            paused.node.send_signal(signal.SIGCONT)

        results = run_load(fleet, 6.0, pause)

        assert not find_violations(results, fleet.read_records(), NON_IDEMPOTENT)
        assert any(r.is_completed for r in results)
        wait_until(lambda: fleet.count_alive_members(paused) == len(fleet.endpoints))

    def test_a_restart_on_the_same_address_runs_no_order_twice(self, fleet):
        killed = fleet.endpoints_of("orders")[0]

        def restart():
            killed.node.kill()
            killed.node.wait()
            time.sleep(0.3)
            fleet.start_node(killed)
            fleet.wait_until_ready([killed])

        results = run_load(fleet, 6.0, restart)

        assert not find_violations(results, fleet.read_records(), NON_IDEMPOTENT)
        wait_until(
            lambda: fleet.count_alive_members(fleet.endpoints_of("stock")[0]) == 4
        )

    def test_a_killed_server_fails_no_idempotent_request(self, fleet):
        killed = fleet.endpoints_of("stock")[0]

        def kill():
            killed.server.kill()
            time.sleep(1.0)

        results = run_load(fleet, 4.0, kill)

        checks = [r for r in results if r.kind == "check"]
        assert {r.outcome for r in checks} == {"completed"}


class TestStoreFaults:
    def edit_defaults(self, fleet, assignment, *options):
        path = fleet.endpoints[0].settings_path
        return run_command(["defaults", "edit", path, assignment, *options])

    def read_versions(self, fleet):
        return {
            fleet.get_operators_json(e, "/status")["configuration"]["version"]
            for e in fleet.endpoints
        }

    def test_store_outage_lost_answers_and_rollback(self, fleet, capfd):
        """No fault of the store repeats an edit, or undoes one that is in force.

        An edit whose response is lost counts once. A node that starts during an
        outage gets the newest version. When the store goes back to an older version,
        the fleet keeps the newest one and stores it again.
        """
        assert self.edit_defaults(fleet, "retries=1", "--wait") == 0
        assert self.read_versions(fleet) == {1}

        fleet.control_store("save", {})
        fleet.control_store("faults", {"lose_answers": 1})
        assert self.edit_defaults(fleet, "retries=3", "--wait") == 0
        assert self.read_versions(fleet) == {2}

        fleet.control_store("faults", {"down": True})
        assert self.edit_defaults(fleet, "retries=4") == 5
        assert "StoreUnavailableError" in capfd.readouterr().err
        restarted = fleet.endpoints_of("stock")[1]
        fleet.stop_node(restarted)
        fleet.start_node(restarted)
        fleet.wait_until_ready([restarted])
        assert self.read_versions(fleet) == {2}

        fleet.control_store("go-back", {})
        fleet.control_store("faults", {"down": False})
        wait_until(lambda: self.read_stored_version(fleet) == 2)
        assert self.read_versions(fleet) == {2}
        assert self.edit_defaults(fleet, "retries=5", "--wait") == 0
        assert self.read_versions(fleet) == {3}

    def read_stored_version(self, fleet):
        path = fleet.endpoints[0].settings_path
        return json.loads(self.show_defaults(path))["version"]

    def show_defaults(self, path):
        import contextlib
        import io

        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            assert run_command(["defaults", "show", path, "--as-json"]) == 0
        return out.getvalue()

    def test_killed_watchers_are_replaced(self, fleet):
        """A change reaches every node after nodes that watch the store were killed.

        The last endpoint is not killed, so that at least one node keeps running.
        """
        state = fleet.get_operators_json(fleet.endpoints[0], "/state")
        watchers = set(state["watchers"])
        for endpoint in fleet.endpoints:
            if fleet.get_operators_json(endpoint, "/status")["instance"] in watchers:
                kept_endpoint = fleet.endpoints[-1]
                if endpoint is not kept_endpoint:
                    endpoint.node.kill()
                    endpoint.node.wait()
        running = [e for e in fleet.endpoints if e.node.poll() is None]
        path = running[0].settings_path
        assert run_command(["defaults", "edit", path, "retries=7"]) == 0

        wait_until(
            lambda: all(
                fleet.get_operators_json(e, "/status")["configuration"]["version"] == 1
                for e in running
            )
        )


class TestOperators:
    def test_state_is_dumped_on_request_and_by_signal(self, fleet):
        endpoint = fleet.endpoints[0]
        state = fleet.get_operators_json(endpoint, "/state")
        assert state["admission"]["in_flight"] == 0
        assert len(state["members"]) == 4

        endpoint.node.send_signal(signal.SIGUSR1)
        errors = endpoint.settings_path + ".err"
        wait_until(lambda: os.path.getsize(errors) > 0)
        with open(errors) as file:
            assert json.loads(file.readline())["instance"] == state["instance"]

    def test_the_operators_address_requires_the_token(self, fleet):
        url = fleet.endpoints[0].operators_url + "/state"
        with pytest.raises(OSError, match="401"):
            request_json(url)
        with pytest.raises(OSError, match="401"):
            request_json(url, headers={"authorization": "Bearer wrong"})
