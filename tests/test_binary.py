"""The single-file executable, which runs every command."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from ragworthoist_lab.fleet import Fleet, ServiceSpec, wait_until

ROOT = Path(__file__).parent.parent

pytestmark = pytest.mark.processes


@pytest.fixture(scope="module")
def binary(tmp_path_factory):
    path = tmp_path_factory.mktemp("binary") / "ragworthoist.pyz"
    command = [
        sys.executable,
        "-m",
        "shiv",
        "--entry-point",
        "ragworthoist.__main__:main",
    ]
    command += ["--output-file", str(path), "--no-deps", "--requirement"]
    command += [str(ROOT / "requirements.lock"), str(ROOT)]
    subprocess.run(command, check=True, capture_output=True)
    return path


def find_children(pid):
    """Return the ids of the processes whose parent is `pid`."""
    found = []
    for entry in Path("/proc").iterdir():
        try:
            fields = (entry / "stat").read_text().rsplit(") ", 1)[1].split()
        except (OSError, IndexError):
            continue
        if int(fields[1]) == pid:
            found.append(entry.name)
    return found


class TestBinary:
    def test_node_runs_without_child_processes(self, binary, tmp_path):
        environment = os.environ | {"SHIV_ROOT": str(tmp_path)}
        environment.pop("PYTHONPATH", None)
        with Fleet([ServiceSpec("stock", 1)]) as fleet:
            endpoint = fleet.endpoints[0]
            fleet.stop_node(endpoint)
            command = [sys.executable, str(binary), "node", endpoint.settings_path]
            endpoint.node = subprocess.Popen(command, env=environment)
            wait_until(lambda: fleet.count_alive_members(endpoint))

            assert find_children(endpoint.node.pid) == []
            assert fleet.stop_node(endpoint) == 0

    def test_prints_its_version(self, binary, tmp_path):
        environment = os.environ | {"SHIV_ROOT": str(tmp_path)}
        command = [sys.executable, str(binary), "version"]
        output = subprocess.run(
            command, env=environment, capture_output=True, text=True, check=True
        )
        assert output.stdout.strip() == "0.1.0"
