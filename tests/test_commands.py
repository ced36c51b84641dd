"""The command line: exit codes, errors of a configuration and the status of a node."""

import json
import threading
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, HTTPServer

import pytest

from ragworthoist._commands import run_command

GOOD = """
[defaults]
ranks = ["protected", "browsing"]
[[defaults.kinds]]
name = "welfare"
service = "welfare"
rank = "protected"
[[exceptions]]
name = "slow-week"
reason = "the stock service moves house this week"
author = "ana"
kind = "welfare"
set = { deadline_ms = 3000 }
"""

ATTEMPT_SETTINGS = """
edge = "attempts"
[node]
name = "stock-0"
service = "stock"
region = "main"
failure_domain = "a"
entrance = "127.0.0.1:1"
readiness = "127.0.0.1:2"
reports = "127.0.0.1:3"
peers = "127.0.0.1:4"
server = "127.0.0.1:5"
{metrics}
[fleet]
name = "lab"
key = "lab-fleet-key-0123456789"
[store]
protocol = "platform"
url = "http://127.0.0.1:6"
configuration_key = "configuration"
"""


@contextmanager
def serve_json(document):
    """Serve `document` at every path; yield the port."""

    class Handler(BaseHTTPRequestHandler):
        def do_GET(self):
            self.send_response(200)
            self.end_headers()
            self.wfile.write(json.dumps(document).encode())

        def log_message(self, *_arguments):
            pass

    with HTTPServer(("127.0.0.1", 0), Handler) as server:
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        yield server.server_port
        server.shutdown()
        thread.join()


class TestCheck:
    @pytest.mark.parametrize(
        ("old", "new", "code", "text"),
        [
            ("", "", 0, "no fault found"),
            ('rank = "protected"', 'rank = "high"', 3, "allowed: ['protected'"),
            ('reason = "the stock service moves house this week"', "", 3, "reason"),
            ("deadline_ms = 3000", "deadline_ms = -1", 3, "deadline_ms"),
            ("deadline_ms = 3000", "colour = 1", 3, "colour"),
            ('kind = "welfare"', "", 3, "names a kind, a service, or both"),
            ("[defaults]", "[defaults", 3, "TOML"),
        ],
    )
    def test_reports_the_first_error(self, tmp_path, capsys, old, new, code, text):
        path = tmp_path / "fleet.toml"
        path.write_text(GOOD.replace(old, new, 1))

        assert run_command(["check", str(path), "--configuration"]) == code
        output = capsys.readouterr()
        assert text in output.out + output.err


class TestRunCommand:
    def test_prints_the_version(self, capsys):
        assert run_command(["version"]) == 0
        assert capsys.readouterr().out.strip()

    def test_wrong_usage_exits_with_2(self):
        with pytest.raises(SystemExit) as caught:
            run_command(["defaults", "edit"])
        assert caught.value.code == 2


class TestAttemptStatus:
    @pytest.mark.parametrize(
        ("command", "rate", "shown"),
        [
            (["status"], 12.8, ["i-5840", "ready", "12.8", "30.25"]),
            (["status"], None, ["i-5840", "ready", "none", "30.25"]),
            (["status"], "never", ["i-5840", "ready"]),
            (["status", "--as-json"], 12.8, ['"advertised_rate": 12.8']),
            (["dump"], 12.8, ['"advertised_rate": 12.8']),
        ],
    )
    def test_shows_the_rate_of_the_server(self, tmp_path, capsys, command, rate, shown):
        member = {
            "service": "stock",
            "failure_domain": "a",
            "address": "127.0.0.1:4",
            "state": "alive",
            "accepting": True,
        }
        server = {"id": "i-5840", "state": "ready"}
        if rate != "never":
            server |= {"advertised_rate": rate, "requests_per_second": 30.25}
        state = {
            "instance": "ab12",
            "service": "stock",
            "configuration": 7,
            "server": server,
            "members": [member],
        }
        path = tmp_path / "node.toml"
        with serve_json(state) as port:
            metrics = f'metrics = "127.0.0.1:{port}"'
            path.write_text(ATTEMPT_SETTINGS.format(metrics=metrics))
            assert run_command([command[0], str(path), *command[1:]]) == 0
        output = capsys.readouterr().out
        assert all(text in output for text in shown)
        assert ("advertised_rate" in output) is (rate != "never")

    def test_node_without_an_address_for_metrics_is_an_error(self, tmp_path, capsys):
        path = tmp_path / "node.toml"
        path.write_text(ATTEMPT_SETTINGS.format(metrics=""))
        assert run_command(["status", str(path)]) == 5
        assert "metrics" in capsys.readouterr().err
