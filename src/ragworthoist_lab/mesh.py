"""A small fleet of real processes whose nodes run the edge for attempts.

The setting `edge = "attempts"` selects this edge, the package `ragworthoist.edge`. The
store and the backend servers are stand-ins that use the platform's formats, which the
package `ragworthoist.platform` translates.
"""

import json
import signal
import subprocess
import sys
import tempfile
import threading
from dataclasses import dataclass, field
from pathlib import Path

from ragworthoist_lab.fleet import (
    find_free_ports,
    lower_descriptor_limit,
    request_json,
    start_lab_process,
    wait_for_port,
    wait_until,
)

VIRTUAL_HOST = "lab.example"
CONFIGURATION_KEY = "op/config"


@dataclass
class MeshEndpoint:
    """One backend server with the node beside it.

    `ports` maps the names of the addresses, such as "entrance", to loopback ports.
    """

    service: str
    failure_domain: str
    ports: dict
    settings_path: Path
    server: subprocess.Popen = None
    node: subprocess.Popen = None

    @property
    def journal_path(self):
        """File with the arrivals and runs at the server, over all its processes."""
        return self.settings_path.with_suffix(".journal")

    @property
    def log(self):
        """Events in the node's log, oldest first."""
        lines = self.settings_path.with_suffix(".log").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]


@dataclass
class Mesh:
    """Processes of store, backend servers and nodes; leaving the context kills them.

    Parameters
    ----------
    services : dict
        Number of endpoints of each service.
    descriptor_limit : int, optional
        Number of descriptors that each node may open.
    """

    services: dict
    descriptor_limit: int | None = None
    endpoints: list = field(default_factory=list)
    store: subprocess.Popen = None
    store_port: int = 0
    version: int = 0
    _document: dict = field(default_factory=dict)
    _writing: object = field(default_factory=threading.Lock)
    _directory: object = None

    def __enter__(self):
        self._directory = tempfile.TemporaryDirectory(prefix="ragworthoist-mesh-")
        try:
            self._start_all()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_exception):
        processes = [p for e in self.endpoints for p in (e.node, e.server)]
        processes = [p for p in [*processes, self.store] if p is not None]
        for process in processes:
            if process.poll() is None:
                process.kill()
        for process in processes:
            process.wait()
        self._directory.cleanup()

    def endpoints_of(self, service):
        """Return the endpoints of the service called `service`."""
        return [e for e in self.endpoints if e.service == service]

    def control_store(self, action, values=None):
        """Return the reply of the stand-in store to a control request.

        `action` is "calls", "faults" or "write"; `values` are the faults to set, or
        the key and value to write.
        """
        return request_json(f"http://127.0.0.1:{self.store_port}/{action}", values)

    def control_server(self, endpoint, action, values=None):
        """Return the reply of a stand-in server to a control request.

        `action` is "records" or "behaviour"; with "behaviour", `values` are the
        fields to change.
        """
        port = endpoint.ports["server"]
        return request_json(f"http://127.0.0.1:{port}/.lab/{action}", values)

    def read_state(self, endpoint):
        """Return the state that a node reports at `/state`."""
        return request_json(f"http://127.0.0.1:{endpoint.ports['metrics']}/state")

    def read_records(self):
        """Return the runs recorded by all running servers."""
        return [
            record
            for endpoint in self.endpoints
            if endpoint.server.poll() is None
            for record in self.control_server(endpoint, "records")
        ]

    def read_journal(self):
        """Return the arrivals and runs at all servers, those that ended included."""
        return [
            json.loads(line)
            for endpoint in self.endpoints
            if endpoint.journal_path.exists()
            for line in endpoint.journal_path.read_text().splitlines()
        ]

    def configure(self, rules):
        """Write the next version of the configuration to the store.

        Parameters
        ----------
        rules : dict of dict
            Fields of each path rule that differ from the defaults below, by path
            prefix.
        """
        with self._writing:
            self.version += 1
            self._document = {
                "key": CONFIGURATION_KEY,
                "value": json.dumps(self._make_document(rules)),
            }
            self.control_store("write", self._document)

    def restore_store(self):
        """Bring the copy of the store back, and write the newest configuration again.

        The operators do the latter on the platform.
        """
        with self._writing:
            self.control_store("restore")
            self.control_store("write", self._document)

    def _make_document(self, rules):
        path_rules = [
            {
                "name": prefix.strip("/"),
                "pathPrefix": prefix,
                "routeKind": "safe",
                "timeoutMs": 20_000,
                "targetLatencyMs": 10_000,
                "priority": 1,
                "maxAttempts": 2,
            }
            | changes
            for prefix, changes in rules.items()
        ]
        return {
            "version": f"{self.version:08x}",
            "services": [{"name": name} for name in self.services],
            "limits": {},
            "virtualHosts": [{"host": VIRTUAL_HOST, "pathRules": path_rules}],
        }

    def wait_for_version(self):
        """Wait until the newest version is in force at all running nodes."""
        for endpoint in self.running_endpoints:
            wait_until(
                lambda e=endpoint: self.read_state(e)["configuration"] == self.version
            )

    def wait_until_ready(self):
        """Wait until each running node is ready and sees all of them accept calls."""
        wanted = len(self.running_endpoints)
        for endpoint in self.running_endpoints:
            wait_until(lambda e=endpoint: self._count_accepting(e) >= wanted)

    @property
    def running_endpoints(self):
        """Endpoints whose nodes are running."""
        return [e for e in self.endpoints if e.node and e.node.poll() is None]

    def start_server(self, endpoint):
        """Start the backend server of `endpoint`, as a new process with a new id."""
        endpoint.server = start_lab_process(
            "mesh-server",
            endpoint.service,
            str(endpoint.ports["server"]),
            str(endpoint.ports["reports"]),
            "--journal",
            str(endpoint.journal_path),
        )

    def start_node(self, endpoint):
        """Start the node of `endpoint`."""
        command = [
            sys.executable,
            "-m",
            "ragworthoist",
            "node",
            str(endpoint.settings_path),
        ]
        with open(endpoint.settings_path.with_suffix(".log"), "ab") as log:
            endpoint.node = subprocess.Popen(command, stdout=log, stderr=log)
        lower_descriptor_limit(endpoint.node, self.descriptor_limit)

    def stop_node(self, endpoint):
        """Stop a node gracefully and return its exit code."""
        endpoint.node.send_signal(signal.SIGTERM)
        return endpoint.node.wait(30)

    def is_ready(self, endpoint):
        """Return whether a node is ready and sees a member that accepts calls."""
        return self._count_accepting(endpoint) > 0

    def _count_accepting(self, endpoint):
        try:
            state = self.read_state(endpoint)
        except OSError:
            return 0
        if not state["ready"]:
            return 0
        members = state["members"]
        return sum(m["state"] == "alive" and m["accepting"] for m in members)

    def _start_all(self):
        names = ("entrance", "readiness", "reports", "peers", "server", "metrics")
        count = sum(self.services.values())
        ports = find_free_ports(1 + len(names) * count)
        self.store_port = ports.pop()
        self.store = start_lab_process("mesh-store", str(self.store_port))
        wait_for_port(self.store_port, self.store)
        for service, endpoint_count in self.services.items():
            for index in range(endpoint_count):
                endpoint_ports = {name: ports.pop() for name in names}
                settings_path = Path(self._directory.name) / f"{service}-{index}.toml"
                endpoint = MeshEndpoint(
                    service, "abc"[index % 3], endpoint_ports, settings_path
                )
                self.endpoints.append(endpoint)
                self._write_settings(endpoint)
                self.start_server(endpoint)
        for endpoint in self.endpoints:
            wait_for_port(endpoint.ports["server"], endpoint.server)
            self.start_node(endpoint)

    def _write_settings(self, endpoint):
        lines = [
            'edge = "attempts"',
            "[node]",
            f'name = "{endpoint.settings_path.stem}"',
            f'service = "{endpoint.service}"',
            'region = "main"',
            f'failure_domain = "{endpoint.failure_domain}"',
        ]
        lines += [f'{n} = "127.0.0.1:{p}"' for n, p in endpoint.ports.items()]
        lines += [
            "[fleet]",
            'name = "lab"',
            'key = "lab-fleet-key-0123456789"',
            "[store]",
            'protocol = "platform"',
            f'url = "http://127.0.0.1:{self.store_port}"',
            f'configuration_key = "{CONFIGURATION_KEY}"',
        ]
        endpoint.settings_path.write_text("\n".join(lines) + "\n")
