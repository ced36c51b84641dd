"""A small fleet of real processes on loopback: store, backend servers and nodes."""

import json
import os
import random
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path

FLEET_NAME = "lab"
OPERATORS_TOKEN = "lab-operators-token"
FLEET_KEY = "lab-fleet-key-0123456789"
START_TIMEOUT_SECONDS = 60.0
STOP_TIMEOUT_SECONDS = 15.0
POLL_INTERVAL_SECONDS = 0.05
PORT_RANGE = (10_000, 32_000)


class StartError(Exception):
    """A process of the fleet exited or was not ready in time."""


@dataclass(frozen=True)
class ServiceSpec:
    """One service of the fleet.

    Parameters
    ----------
    name : str
        Name of the service.
    endpoint_count : int
        Number of endpoints: backend servers, each with a node beside it.
    slots : int
        Requests that a backend server works on at the same time.
    service_ms : float
        Mean service time of a backend server, in milliseconds.
    onward : tuple of str
        "METHOD /path" of the calls that a backend server makes through its node for
        each request other than GET.
    """

    name: str
    endpoint_count: int = 2
    slots: int = 4
    service_ms: float = 20.0
    onward: tuple = ()


@dataclass
class Endpoint:
    """One backend server with the node beside it.

    `ports` maps the names of the addresses, such as "entrance", to loopback ports.
    """

    spec: ServiceSpec
    failure_domain: str
    ports: dict
    settings_path: str = ""
    server: subprocess.Popen = None
    node: subprocess.Popen = None

    @property
    def entrance(self):
        """URL of the node's entrance."""
        return f"http://127.0.0.1:{self.ports['entrance']}"

    @property
    def server_url(self):
        """URL of the backend server."""
        return f"http://127.0.0.1:{self.ports['server']}"

    @property
    def operators_url(self):
        """URL of the node's address for operators."""
        return f"http://127.0.0.1:{self.ports['operators']}"


@dataclass
class Fleet:
    """Processes of a fleet; leaving the context kills them all.

    Parameters
    ----------
    services : list of ServiceSpec
        Services of the fleet.
    failure_domains : tuple of str
        Failure domains, assigned to the endpoints in turn.
    regions : dict
        Region of each failure domain, "main" where absent.
    seed : int
        Seed of the backend servers' random choices.
    share_servers : bool
        Run one backend server process for all nodes of a service. This saves
        processes when only the nodes are of interest.
    allow_partition : bool
        Run nodes that `partition` can disconnect from each other.
    descriptor_limit : int, optional
        Number of descriptors that each node may open.
    """

    services: list
    failure_domains: tuple = ("a", "b", "c")
    regions: dict = field(default_factory=dict)
    endpoints: list = field(default_factory=list)
    store: subprocess.Popen = None
    store_port: int = 0
    seed: int = 1
    share_servers: bool = False
    allow_partition: bool = False
    descriptor_limit: int | None = None
    _directory: object = None

    def __enter__(self):
        self._directory = tempfile.TemporaryDirectory(prefix="ragworthoist-lab-")
        try:
            self._start_all()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_exception):
        processes = [p for e in self.endpoints for p in (e.node, e.server)]
        processes.append(self.store)
        for process in processes:
            if process is not None and process.poll() is None:
                process.kill()
        for process in processes:
            if process is not None:
                process.wait()
        self._directory.cleanup()

    def endpoints_of(self, service):
        """Return the endpoints of the service called `service`."""
        return [e for e in self.endpoints if e.spec.name == service]

    @property
    def store_url(self):
        """URL of the stand-in store."""
        return f"http://127.0.0.1:{self.store_port}"

    def start_store(self):
        """Start the stand-in store without any data."""
        self.store = start_lab_process("store", str(self.store_port))
        wait_for_port(self.store_port, self.store)

    def start_server(self, endpoint):
        """Start the backend server of `endpoint`."""
        spec = endpoint.spec
        arguments = ["server", spec.name, str(endpoint.ports["server"])]
        arguments += ["--onward-url", f"http://127.0.0.1:{endpoint.ports['onward']}"]
        arguments += ["--slots", str(spec.slots), "--service-ms", str(spec.service_ms)]
        arguments += ["--seed", str(self.seed)]
        if spec.onward:
            arguments += ["--onward", *spec.onward]
        endpoint.server = start_lab_process(*arguments)

    def start_node(self, endpoint):
        """Start the node of `endpoint`."""
        log = open(endpoint.settings_path + ".err", "ab")  # noqa: SIM115
        program = "ragworthoist_lab" if self.allow_partition else "ragworthoist"
        command = [sys.executable, "-m", program, "node", endpoint.settings_path]
        endpoint.node = subprocess.Popen(command, stdout=log, stderr=log)
        log.close()
        lower_descriptor_limit(endpoint.node, self.descriptor_limit)

    def wait_until_ready(self, endpoints=None):
        """Wait until the nodes serve and consider all running nodes alive.

        Parameters
        ----------
        endpoints : list of Endpoint, optional
            Endpoints whose nodes to wait for, all by default.

        Raises
        ------
        StartError
            If a node exits or takes longer than `START_TIMEOUT_SECONDS`.
        """
        endpoints = self.endpoints if endpoints is None else endpoints
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        wanted = len([e for e in self.endpoints if e.node and e.node.poll() is None])
        for endpoint in endpoints:
            while self.count_alive_members(endpoint) < wanted:
                if endpoint.node.poll() is not None or time.monotonic() > deadline:
                    errors = Path(endpoint.settings_path + ".err").read_text()
                    raise StartError(
                        f"{endpoint.spec.name}: node is not ready; "
                        f"end of its error output: {errors[-2000:]}"
                    )
                time.sleep(POLL_INTERVAL_SECONDS)

    def count_alive_members(self, endpoint):
        """Return how many members a node considers alive, 0 until it serves."""
        try:
            status = self.get_operators_json(endpoint, "/status")
        except (OSError, ValueError):
            return 0
        if not status["open"]:
            return 0
        return sum(1 for m in status["members"] if m["state"] == "alive")

    def get_operators_json(self, endpoint, path):
        """Return the JSON at `path` of a node's address for operators."""
        return request_operators_json(endpoint.operators_url + path)

    def control_server(self, endpoint, action, values=None):
        """Return the reply of the stand-in server to a control request.

        `action` is "records", "forget", "behaviour" or "health"; with "behaviour",
        `values` are the fields to change.
        """
        return request_json(f"{endpoint.server_url}/.lab/{action}", values)

    def control_store(self, action, values=None):
        """Return the reply of the stand-in store to a control request.

        `action` is "calls", "faults", "save" or "go-back"; with "faults", `values`
        are the faults to set.
        """
        return request_json(f"{self.store_url}/{action}", values)

    def read_records(self):
        """Return the runs recorded by all running servers, by service."""
        records = {}
        for endpoint in self.endpoints:
            if endpoint.server is None or endpoint.server.poll() is not None:
                continue
            records_of_server = self.control_server(endpoint, "records")
            records.setdefault(endpoint.spec.name, []).extend(records_of_server)
        return records

    def partition(self, group, block_store=True):
        """Block the links between the endpoints in `group` and all others.

        The nodes in `group` cannot reach the store either, unless `block_store` is
        false. An empty group unblocks all links. The fleet must have been started
        with `allow_partition`.
        """
        for endpoint in self.endpoints:
            is_inside = endpoint in group
            others = [e for e in self.endpoints if (e in group) != is_inside]
            ports = [e.ports["peers"] for e in others]
            if is_inside and block_store:
                ports.append(self.store_port)
            Path(endpoint.settings_path + ".cut").write_text(json.dumps(ports))

    def stop_node(self, endpoint):
        """Stop a node gracefully and return its exit code."""
        endpoint.node.send_signal(signal.SIGTERM)
        return endpoint.node.wait(STOP_TIMEOUT_SECONDS)

    def _start_all(self):
        count = sum(spec.endpoint_count for spec in self.services)
        ports = find_free_ports(1 + 5 * count)
        self.store_port = ports.pop()
        self.start_store()
        endpoint_index = 0
        for spec in self.services:
            for _ in range(spec.endpoint_count):
                failure_domain = self.failure_domains[
                    endpoint_index % len(self.failure_domains)
                ]
                names = ("entrance", "onward", "peers", "operators", "server")
                endpoint_ports = {name: ports.pop() for name in names}
                self.endpoints.append(Endpoint(spec, failure_domain, endpoint_ports))
                endpoint_index += 1
        seed_ports = [e.ports["peers"] for e in self.endpoints[:3]]
        for index, endpoint in enumerate(self.endpoints):
            first_endpoint = self.endpoints_of(endpoint.spec.name)[0]
            if self.share_servers and endpoint is not first_endpoint:
                endpoint.ports["server"] = first_endpoint.ports["server"]
                endpoint.server = first_endpoint.server
            else:
                self.start_server(endpoint)
            self._write_settings(index, endpoint, seed_ports)
        for endpoint in self.endpoints:
            wait_for_port(endpoint.ports["server"], endpoint.server)
        for endpoint in self.endpoints:
            self.start_node(endpoint)
        self.wait_until_ready()

    def _write_settings(self, index, endpoint, seed_ports):
        lines = [
            "[node]",
            f'service = "{endpoint.spec.name}"',
            f'failure_domain = "{endpoint.failure_domain}"',
            f'region = "{self.regions.get(endpoint.failure_domain, "main")}"',
        ]
        for name, port in endpoint.ports.items():
            lines.append(f'{name} = {{ host = "127.0.0.1", port = {port} }}')
        addresses = ", ".join(
            f'{{ host = "127.0.0.1", port = {p} }}' for p in seed_ports
        )
        lines += [
            "[fleet]",
            f'name = "{FLEET_NAME}"',
            f'key = "{FLEET_KEY}"',
            f"seeds = [{addresses}]",
            "[store]",
            f'url = "{self.store_url}"',
            "[operators]",
            f'token = "{OPERATORS_TOKEN}"',
            "[log]",
        ]
        path = os.path.join(self._directory.name, f"node-{index}.toml")
        lines.append(f'path = "{path}.log"')
        Path(path).write_text("\n".join(lines) + "\n")
        endpoint.settings_path = path


def wait_until(condition, seconds=START_TIMEOUT_SECONDS):
    """Wait until `condition()` is true.

    Raises
    ------
    TimeoutError
        If it is still false after `seconds`.
    """
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError
        time.sleep(POLL_INTERVAL_SECONDS)


def find_free_ports(count):
    """Return `count` loopback ports that are currently free.

    They lie below the default range of ephemeral ports of Linux, so no outgoing
    connection takes them before a process listens on them.
    """
    free_ports = []
    candidates = random.Random(os.getpid() + time.monotonic_ns())
    while len(free_ports) < count:
        port = candidates.randrange(*PORT_RANGE)
        if port not in free_ports and _is_free(port):
            free_ports.append(port)
    return free_ports


def _is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def request_json(url, values=None, headers=()):
    """Return the JSON response to a GET, or to a POST if `values` are given."""
    data = None if values is None else json.dumps(values).encode()
    request = urllib.request.Request(url, data=data, headers=dict(headers))
    with urllib.request.urlopen(request, timeout=10) as response:
        raw = response.read()
    return json.loads(raw) if raw else None


def request_operators_json(url):
    """Return the JSON at a URL of a node's address for operators."""
    return request_json(url, headers={"authorization": f"Bearer {OPERATORS_TOKEN}"})


def lower_descriptor_limit(process, limit):
    """Let `process`, a child that has just started, open at most `limit` descriptors.

    Nothing is changed if `limit` is None.
    """
    if limit is not None:
        _, hard_limit = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (limit, hard_limit))


def start_lab_process(*arguments):
    """Start a command of the load and experiment tool as a process."""
    command = [sys.executable, "-m", "ragworthoist_lab", *arguments]
    return subprocess.Popen(command)


def wait_for_port(port, process):
    """Wait until something listens on `port` of loopback.

    Raises
    ------
    StartError
        If `process` exits or takes longer than `START_TIMEOUT_SECONDS`.
    """
    deadline = time.monotonic() + START_TIMEOUT_SECONDS
    while time.monotonic() < deadline and process.poll() is None:
        try:
            socket.create_connection(("127.0.0.1", port), timeout=1).close()
            return
        except OSError:
            time.sleep(POLL_INTERVAL_SECONDS)
    raise StartError(f"nothing listens on port {port}")
