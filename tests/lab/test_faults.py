"""Real processes killed, frozen, stopped, and without their store."""

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


def drive(fleet, seconds, disturb):
    """Send load for `seconds` while `disturb` runs in a thread; return results."""

    async def run():
        def entrances():
            return [e.entrance for e in fleet.endpoints if e.settings_path != left]

        async with (
            Customers(entrances) as customers,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(customers.run, STREAMS, seconds)
            await anyio.sleep(0.5)
            await anyio.to_thread.run_sync(disturb)
        return customers.results

    left = getattr(disturb, "left", None)
    return anyio.run(run)


@pytest.fixture
def fleet():
    with Fleet(SERVICES) as running:
        yield running


class TestLeaving:
    def test_a_planned_stop_cuts_nothing_and_gets_nothing_new(self, fleet):
        leaver = fleet.endpoints_of("stock")[1]
        seen = []

        def leave():
            assert fleet.stop_node(leaver) == 0
            before = len(fleet.control_server(leaver, "records"))
            time.sleep(1.0)
            seen.append((before, len(fleet.control_server(leaver, "records"))))

        leave.left = leaver.settings_path
        results = drive(fleet, 6.0, leave)

        assert {r.outcome for r in results} == {"completed"}
        assert not find_violations(results, fleet.read_records(), NON_IDEMPOTENT)
        before, after = seen[0]
        assert after == before > 0

    def test_a_long_answer_in_progress_is_finished(self, fleet):
        leaver = fleet.endpoints_of("stock")[0]
        path = leaver.settings_path
        assert run_command(["defaults", "edit", path, "deadline_ms=30000"]) == 0
        wait_until(
            lambda: fleet.get_operators_json(leaver, "/status")["configuration"][
                "version"
            ]
        )
        # Longer than the pause between telling others and closing.
        values = {"service_seconds": 5.0, "answer_bytes": 4_000_000}
        fleet.control_server(leaver, "behaviour", values)
        stream = Stream("check", "urgent", "GET", "/stock/check", 0)
        statuses = []

        async def run():
            async with Customers(lambda: [leaver.entrance]) as customers:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(customers.request, stream, "long-1")
                    while not await anyio.to_thread.run_sync(
                        fleet.control_server, leaver, "records"
                    ):
                        await anyio.sleep(0.02)
                    leaver.node.send_signal(signal.SIGTERM)
                statuses.extend(r.status for r in customers.results)

        anyio.run(run)

        assert statuses == [200]
        assert leaver.node.wait(15) == 0

    def test_a_customer_that_reads_slowly_gets_the_whole_answer(self, fleet):
        leaver = fleet.endpoints_of("stock")[0]
        size = 4_000_000
        fleet.control_server(leaver, "behaviour", {"answer_bytes": size})
        with socket.socket() as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
            connection.connect(("127.0.0.1", leaver.ports["entrance"]))
            connection.sendall(b"GET /stock/check HTTP/1.1\r\nhost: x\r\n\r\n")
            wait_until(lambda: fleet.control_server(leaver, "records"))
            leaver.node.send_signal(signal.SIGTERM)
            received = len(connection.recv(65_536))
            while received < size:
                time.sleep(0.03)
                part = connection.recv(32_768)
                assert part, f"cut after {received} bytes"
                received += len(part)

        assert leaver.node.wait(15) == 0


class TestFailures:
    @pytest.mark.parametrize("service", ["orders", "stock"])
    def test_a_frozen_node_that_wakes_breaks_no_promise(self, fleet, service):
        frozen = fleet.endpoints_of(service)[0]

        def freeze():
            frozen.node.send_signal(signal.SIGSTOP)
            time.sleep(3.0)
            frozen.node.send_signal(signal.SIGCONT)

        results = drive(fleet, 6.0, freeze)

        assert not find_violations(results, fleet.read_records(), NON_IDEMPOTENT)
        assert any(r.is_completed for r in results)
        wait_until(lambda: fleet.count_alive_members(frozen) == len(fleet.endpoints))

    def test_a_restart_on_the_same_address_doubles_no_order(self, fleet):
        killed = fleet.endpoints_of("orders")[0]

        def restart():
            killed.node.kill()
            killed.node.wait()
            time.sleep(0.3)
            fleet.start_node(killed)
            fleet.wait_until_ready([killed])

        results = drive(fleet, 6.0, restart)

        assert not find_violations(results, fleet.read_records(), NON_IDEMPOTENT)
        wait_until(
            lambda: fleet.count_alive_members(fleet.endpoints_of("stock")[0]) == 4
        )

    def test_a_killed_server_loses_no_idempotent_request(self, fleet):
        killed = fleet.endpoints_of("stock")[0]

        def kill():
            killed.server.kill()
            time.sleep(1.0)

        results = drive(fleet, 4.0, kill)

        checks = [r for r in results if r.kind == "check"]
        assert {r.outcome for r in checks} == {"completed"}


class TestStoreFaults:
    def change(self, fleet, assignment, *options):
        path = fleet.endpoints[0].settings_path
        return run_command(["defaults", "edit", path, assignment, *options])

    def versions(self, fleet):
        return {
            fleet.get_operators_json(e, "/status")["configuration"]["version"]
            for e in fleet.endpoints
        }

    def test_outage_lost_answers_and_a_store_that_goes_back(self, fleet, capfd):
        assert self.change(fleet, "retries=1", "--wait") == 0
        assert self.versions(fleet) == {1}

        fleet.control_store("save", {})
        fleet.control_store("faults", {"lose_answers": 1})
        assert self.change(fleet, "retries=3", "--wait") == 0
        assert self.versions(fleet) == {2}

        fleet.control_store("faults", {"down": True})
        assert self.change(fleet, "retries=4") == 5
        assert "StoreUnavailableError" in capfd.readouterr().err
        starter = fleet.endpoints_of("stock")[1]
        fleet.stop_node(starter)
        fleet.start_node(starter)
        fleet.wait_until_ready([starter])
        assert self.versions(fleet) == {2}

        fleet.control_store("go-back", {})
        fleet.control_store("faults", {"down": False})
        wait_until(lambda: self.stored_version(fleet) == 2)
        assert self.versions(fleet) == {2}
        assert self.change(fleet, "retries=5", "--wait") == 0
        assert self.versions(fleet) == {3}

    def stored_version(self, fleet):
        path = fleet.endpoints[0].settings_path
        return json.loads(self.show(path))["version"]

    def show(self, path):
        import contextlib
        import io

        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            assert run_command(["defaults", "show", path, "--as-json"]) == 0
        return out.getvalue()

    def test_watchers_that_are_killed_are_replaced(self, fleet):
        state = fleet.get_operators_json(fleet.endpoints[0], "/state")
        watchers = set(state["watchers"])
        for endpoint in fleet.endpoints:
            if fleet.get_operators_json(endpoint, "/status")["instance"] in watchers:
                spared = fleet.endpoints[-1]
                if endpoint is not spared:
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

    def test_the_operators_address_needs_the_token(self, fleet):
        url = fleet.endpoints[0].operators_url + "/state"
        with pytest.raises(OSError, match="401"):
            request_json(url)
        with pytest.raises(OSError, match="401"):
            request_json(url, headers={"authorization": "Bearer wrong"})
