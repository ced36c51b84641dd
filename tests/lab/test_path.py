"""The whole path of a request through real processes."""

import socket
import urllib.request

import anyio
import pytest

from ragworthoist._commands import run_command
from ragworthoist_lab.fleet import OPERATORS_TOKEN, Fleet, ServiceSpec, wait_until
from ragworthoist_lab.load import Customers, Stream
from ragworthoist_lab.report import find_violations

pytestmark = pytest.mark.processes

SERVICES = [
    ServiceSpec("orders", 2, 4, 5, ("POST /stock/reserve",)),
    ServiceSpec("stock", 2, 4, 5),
]


@pytest.fixture(scope="module")
def fleet():
    with Fleet(SERVICES) as running:
        # A long deadline, so that the outcome does not depend on the machine's speed.
        settings = running.endpoints[0].settings_path
        assert run_command(["defaults", "edit", settings, "deadline_ms=30000"]) == 0
        for endpoint in running.endpoints:
            wait_until(lambda e=endpoint: read_version(running, e) == 1)
        yield running


def read_version(fleet, endpoint):
    return fleet.get_operators_json(endpoint, "/status")["configuration"]["version"]


class TestPath:
    @pytest.mark.parametrize(
        ("method", "path", "body", "sent_count"),
        # A POST takes two HTTP requests: the first response only offers a ticket.
        [
            ("GET", "/stock/check", b"", 1),
            ("GET", "/orders/1?full=yes", b"", 1),
            ("POST", "/orders/new", b"2 rolls", 2),
            ("POST", "/orders/new", b"x" * 3_000_000, 2),
        ],
    )
    def test_request_is_served_whole_by_every_entrance(
        self, fleet, method, path, body, sent_count
    ):
        stream = Stream("kind", "rank", method, path, 0, body=body)

        async def send_all():
            entrances = [e.entrance for e in fleet.endpoints]
            async with Customers(lambda: entrances) as customers:
                for number in range(len(entrances)):
                    item = f"{method}{len(body)}-{path}-{number}"
                    await customers.request(stream, item, number / len(entrances))
            return customers.results

        results = anyio.run(send_all)

        outcomes = [(r.outcome, r.reason) for r in results]
        assert outcomes == [("completed", "answered")] * len(results)
        assert [r.http_requests_sent for r in results] == [sent_count] * len(results)
        records = fleet.read_records()
        assert not find_violations(results, records, {"orders", "stock"})


def send_raw(port, data):
    """Return a node's response to raw bytes, read until the connection closes."""
    with socket.create_connection(("127.0.0.1", port), timeout=10) as connection:
        try:
            connection.sendall(data)
            answer = connection.recv(65_536)
            while part := connection.recv(65_536):
                answer += part
        except ConnectionResetError:
            pass
    return answer.decode()


def make_request(path, *headers, method="GET"):
    lines = [f"{method} {path} HTTP/1.1", "host: x", "connection: close", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class TestInvalidInput:
    @pytest.mark.parametrize(
        ("data", "status", "reason"),
        [
            (b"\0garbage\r\n\r\n", "400", "malformed"),
            (b"GET nothing\r\n\r\n", "400", "malformed"),
            (make_request("/stock/1", "a: " + "x" * 40_000), "431", "too-large"),
            (b"GET /stock/1 HTTP/1.1\r\na: " + b"x" * 300_000, "431", "too-large"),
            (make_request("/nowhere/1"), "404", "unknown-route"),
            (make_request("/"), "404", "unknown-route"),
            (
                make_request("/stock/1", "ragworthoist-deadline-ms: 0"),
                "504",
                "deadline",
            ),
            (
                make_request("/stock/1", "content-length: 9000000", method="PUT"),
                "413",
                "too-large",
            ),
        ],
    )
    def test_is_refused_as_not_run_with_its_reason(self, fleet, data, status, reason):
        answer = send_raw(fleet.endpoints[0].ports["entrance"], data)

        assert answer.split(" ")[1] == status
        assert "ragworthoist-outcome: not-run" in answer
        assert f"ragworthoist-reason: {reason}" in answer


class TestMetrics:
    def test_every_node_serves_metrics_repeatedly(self, fleet):
        headers = {"authorization": f"Bearer {OPERATORS_TOKEN}"}
        for endpoint in fleet.endpoints:
            url = endpoint.operators_url + "/metrics"
            for _ in range(2):
                request = urllib.request.Request(url, headers=headers)
                with urllib.request.urlopen(request, timeout=30) as response:
                    assert b"ragworthoist_limit" in response.read()
