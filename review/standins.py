"""Stand-ins for the platform, its clients and its backend servers, on loopback.

Only the standard library is used. The nodes are the programs of the deploy file: they are
started as `python3 target/app SETTINGS` with `target/deps` on Python's path, and SETTINGS
is `deploy/settings.toml` filled in with the fields of the users' pages.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "shop.example"
ZONES = ("za", "zb", "zc")
BOUNDS = {
    "drainMs": 2000,
    "graceS": 6,
    "retryBudgetRatio": 0.2,
    "budgetExtraTries": 48,
    "budgetWindowS": 10,
}
BEAT_INTERVAL_SECONDS = 1.5
MAX_CONNECTIONS_WAITING = 4096
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 67108864,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


class CouldNotRunError(Exception):
    """The case could not be set up; its script exits with 2."""


class Record:
    """Writes `record.txt` of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", buffering=1)
        self._started = time.monotonic()

    def __call__(self, text):
        """Write one line with the seconds since the start, and print it."""
        line = f"{time.monotonic() - self._started:8.3f} {text}"
        print(line, flush=True)
        self._file.write(line + "\n")


# HTTP.


async def read_message(reader):
    """Return (first line, headers, body) of one HTTP message; names are lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    headers = {}
    for line in head[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return head[0], headers, body


async def call_http(address, method, target, body=b"", headers=(), seconds=5.0):
    """Return (status, headers, body) of one request on a connection of its own."""
    async with asyncio.timeout(seconds):
        reader, writer = await asyncio.open_connection(*address)
        try:
            lines = [f"{method} {target} HTTP/1.1", f"host: {HOST}", *headers]
            lines.append(f"content-length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            line, answered, content = await read_message(reader)
            return int(line.split()[1]), answered, content
        finally:
            writer.close()


class HttpServer:
    """Base of the stand-ins that answer HTTP on kept connections."""

    def __init__(self, address):
        self.address = address
        self._server = None
        self._writers = set()

    async def start(self):
        """Listen at the address."""
        self._server = await asyncio.start_server(
            self._serve, *self.address, backlog=MAX_CONNECTIONS_WAITING, limit=2**20
        )

    async def stop(self):
        """End as a process does: its port closes, and so do its connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                status, extra, content = await self.answer(
                    method, target, headers, body
                )
                lines = [f"HTTP/1.1 {status} X"]
                lines += [f"{name}: {value}" for name, value in extra]
                is_streamed = not isinstance(content, bytes)
                if is_streamed:
                    lines.append("transfer-encoding: chunked")
                else:
                    lines.append(f"content-length: {len(content)}")
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
                if is_streamed:
                    await self._write_chunks(writer, content)
                else:
                    writer.write(content)
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _write_chunks(self, writer, parts):
        async for part in parts:
            writer.write(b"%x\r\n" % len(part) + part + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    async def answer(self, method, target, headers, body):
        """Return (status, headers, body) of the answer to one request.

        The body is bytes, or an asynchronous iterator of its parts.
        """
        raise NotImplementedError


class Store(HttpServer):
    """The platform's store: items, transactions, leases and watches. It never fails."""

    def __init__(self, address):
        super().__init__(address)
        self.revision = 10
        self.items = {}
        self.leases = {}
        self._history = []
        self._changed = asyncio.Event()

    def write(self, key, value, lease=0):
        """Write bytes under a key; return the revision."""
        self.revision += 1
        created = self.items.get(key, {}).get("createdRev", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "createdRev": created,
            "leaseId": lease,
        }
        self.items[key] = item
        self._append(item)
        return self.revision

    def _delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append({"key": key, "revision": self.revision, "tombstone": True})

    def _append(self, event):
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _end_leases(self, ended):
        for lease in ended:
            self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["leaseId"] in ended]:
            self._delete(key)

    async def answer(self, method, target, headers, body):
        """Answer one call as the users' pages say."""
        from urllib.parse import parse_qs, urlsplit

        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        now = time.monotonic()
        self._end_leases({n for n, (_, ends) in self.leases.items() if ends <= now})
        status, reply = await self._handle(
            parts.path, query, json.loads(body) if body else {}
        )
        content = json.dumps(reply).encode()
        return status, [("content-type", "application/json")], content

    async def _handle(self, path, query, body):
        now = time.monotonic()
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, item | {"at": self.revision}) if item else (404, {})
        if path == "/kv-range":
            prefix = query["pathPrefix"]
            found = [self.items[k] for k in sorted(self.items) if k.startswith(prefix)]
            return 200, {"items": found, "hasMore": False, "at": self.revision}
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._run(body)
        if path == "/kv-lease":
            lease = len(self.leases) + 1000 + self.revision
            self.leases[lease] = (body["ttlMs"] / 1000, now + body["ttlMs"] / 1000)
            return 200, {"leaseId": lease, "ttlMs": body["ttlMs"]}
        operation, _, raw = path[1:].partition("/")
        lease = int(raw)
        if lease not in self.leases:
            return 404, {}
        if operation == "kv-keep":
            self.leases[lease] = (self.leases[lease][0], now + self.leases[lease][0])
        else:
            self._end_leases({lease})
        return 200, {}

    async def _watch(self, query):
        prefix, after = query["pathPrefix"], int(query["after"])
        ends_at = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            found = [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = ends_at - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "at": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _run(self, body):
        for row in body.get("expect", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        if any(p["leaseId"] and p["leaseId"] not in self.leases for p in body["puts"]):
            return 404, {}
        for put in body["puts"]:
            self.write(put["key"], base64.b64decode(put["value"]), put["leaseId"])
        for key in body["deletes"]:
            self._delete(key)
        return 200, {"revision": self.revision}


class Endpoint(HttpServer):
    """A backend server that announces itself to the node beside it.

    The body of an answer is `make_body(attempt id)`. `runs` holds (time, attempt id) of
    each run, `arrivals` each request that reached it and was not misdirected.
    """

    def __init__(self, machine, make_body, service_seconds=0.005, slots=248):
        super().__init__(machine.server)
        self.machine = machine
        self.identity = f"i-{os.urandom(4).hex()}"
        self.born = int(time.time() * 1000)
        self.make_body = make_body
        self.service_seconds = service_seconds
        self.slots = slots
        self.state = "ready"
        self.sequence = 0
        self.runs = []
        self.completed = []
        self._beats = None
        self._has_exited = False

    async def start(self):
        """Listen, and send heartbeats from now on."""
        await super().start()
        self._beats = asyncio.create_task(self._send_beats())

    async def stop(self):
        """End as a process does."""
        self.stop_beats()
        self._has_exited = True
        await super().stop()

    def stop_beats(self):
        """Send no further heartbeat."""
        if self._beats is not None:
            self._beats.cancel()
            self._beats = None

    async def _send_beats(self):
        while True:
            with contextlib.suppress(OSError, EOFError, TimeoutError, ValueError):
                await self.send_beat(self.make_beat())
            await asyncio.sleep(BEAT_INTERVAL_SECONDS)

    def make_beat(self):
        """Return the body of the next heartbeat."""
        self.sequence += 1
        beat = {
            "address": "%s:%d" % self.machine.server,
            "nodeInfo": {
                "service": self.machine.service,
                "version": "v1",
                "zone": self.machine.zone,
                "slots": self.slots,
            },
            "statusInfo": {
                "state": self.state,
                "seq": self.sequence,
                "coldLeftMs": 0,
            },
            "born": self.born,
        }
        return json.dumps(beat).encode()

    async def send_beat(self, body):
        """Send one heartbeat; return the status."""
        target = f"/rpc?call=instances.heartbeat&of={self.identity}"
        kind = ("content-type: application/json",)
        return (await call_http(self.machine.control, "POST", target, body, kind, 1))[0]

    async def deregister(self):
        """Tell the node that this server leaves; return the status."""
        target = f"/rpc?call=instances.deregister&of={self.identity}"
        return (await call_http(self.machine.control, "POST", target, b"", (), 1))[0]

    async def answer(self, method, target, headers, body):
        """Run one request, or answer the status check."""
        identity = [("instance-id", self.identity)]
        if target == "/health":
            return (503 if self.state == "draining" else 200), identity, b""
        attempt = headers.get("attempt-id", "")
        common = [("attempt-id", attempt), ("keep-alive", "timeout=10")]
        if headers.get("expect-instance") != self.identity:
            return 421, [*common, *identity], b""
        self.runs.append((time.monotonic(), attempt))
        await asyncio.sleep(self.service_seconds)
        if self._has_exited:
            raise EOFError
        self.completed.append(attempt)
        seal = [("server-seal", f"{self.identity}.{attempt}")]
        return 200, [*common, *seal], self.make_body(attempt)


# Machines and nodes.


class Machine:
    """Addresses of one machine: a loopback address of its own, and free ports."""

    def __init__(self, name, service, zone):
        self.name = name
        self.service = service
        self.zone = zone
        self.ip = "127.%d.%d.%d" % tuple(random.randint(2, 250) for _ in range(3))
        ports = _find_free_ports(self.ip, 6)
        self.outbound = (self.ip, ports[0])
        self.inbound = (self.ip, ports[1])
        self.readiness = (self.ip, ports[2])
        self.control = (self.ip, ports[3])
        self.server = (self.ip, ports[4])
        self.internal_port = ports[5]

    def fields(self, store, is_first_start):
        """Return the fields of the settings that the users' pages name."""
        fields = {
            "nodeName": self.name,
            "zone": self.zone,
            "region": "main",
            "ip": self.ip,
            "service": self.service,
            "appAddr": "%s:%d" % self.server,
            "listenAddrs.outbound": "%s:%d" % self.outbound,
            "listenAddrs.inbound": "%s:%d" % self.inbound,
            "listenAddrs.readinessAddr": "%s:%d" % self.readiness,
            "listenAddrs.controlAddr": "%s:%d" % self.control,
            "internalPorts.0": self.internal_port,
            "platformCfg.address": "%s:%d" % store.address,
            "bootstrap": is_first_start,
        }
        return fields | {f"bounds.{name}": value for name, value in BOUNDS.items()}


def _find_free_ports(ip, count):
    sockets = []
    for _ in range(count):
        sockets.append(socket.socket())
        sockets[-1].bind((ip, 0))
    ports = [found.getsockname()[1] for found in sockets]
    for found in sockets:
        found.close()
    return ports


def fill_in(template, fields):
    """Return the settings template with sections and placeholders filled in."""

    def expand(match):
        return match[2] if fields.get(match[1]) not in (None, False, "") else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", expand, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(fields.get(m[1], "")), text)


class Node:
    """The node process of one machine, started with the command of the deploy file."""

    def __init__(self, machine, store, directory):
        self.machine = machine
        self._store = store
        self._settings = Path(directory) / f"{machine.name}.conf"
        self.log_path = Path(directory) / f"{machine.name}.log"
        self.process = None

    def start(self, is_first_start=False):
        """Start the process; it is not waited for."""
        template = (ROOT / "deploy/settings.toml").read_text()
        fields = self.machine.fields(self._store, is_first_start)
        self._settings.write_text(fill_in(template, fields))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = "target/deps"
        environment["RAGWORTHOIST_SETTINGS"] = str(self._settings)
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "target/app", str(self._settings)],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def send(self, number):
        """Send a signal to the process, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        """Kill the process and wait for its end."""
        if self.process is None:
            return
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self.process.wait()

    async def is_ready(self):
        """Whether the node answers the platform's question with 200."""
        try:
            status, _, _ = await call_http(self.machine.readiness, "GET", "/ready", seconds=1)
        except (OSError, EOFError, TimeoutError, ValueError):
            return False
        return status == 200

    async def read_state(self):
        """Return the state that the node dumps at its metrics address."""
        _, _, body = await call_http((self.machine.ip, 9464), "GET", "/state")
        return json.loads(body)

    def memory_bytes(self):
        """Return the resident memory of the process, 0 if it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")


class Fleet:
    """A store, and machines with a node and a backend server each."""

    def __init__(self, services, record):
        self.record = record
        self.machines = [
            Machine(f"m{number}-{service}", service, ZONES[number % len(ZONES)])
            for number, service in enumerate(
                name for name, count in services.items() for _ in range(count)
            )
        ]
        self.store = Store(("127.0.0.1", _find_free_ports("127.0.0.1", 1)[0]))
        self._directory = tempfile.TemporaryDirectory(prefix="ragworthoist-review-")
        self.nodes = [Node(m, self.store, self._directory.name) for m in self.machines]
        self.endpoints = []
        self.services = list(services)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_exception):
        for node in self.nodes:
            node.end()
        for endpoint in self.endpoints:
            await endpoint.stop()
        await self.store.stop()
        self._directory.cleanup()

    def configure(self, version, rules):
        """Write a version of the configuration; `rules` are path rules by prefix."""
        document = {
            "version": f"{version:08x}",
            "services": [
                {"name": name, "healthPath": "/health", "maxConnections": 1588}
                for name in self.services
            ],
            "limits": LIMITS,
            "virtualHosts": [
                {
                    "host": HOST,
                    "pathRules": [
                        {"name": f"r{prefix.strip('/')}", "pathPrefix": prefix} | rule
                        for prefix, rule in rules.items()
                    ],
                }
            ],
        }
        self.store.write("op/config", json.dumps(document).encode())

    async def start(self, make_body, rules, endpoint_type=Endpoint, **options):
        """Start everything, and wait until all nodes and servers are in use."""
        if not (ROOT / "target/app").is_dir() or not (ROOT / "target/deps").is_dir():
            raise CouldNotRunError("the build of the deploy file is missing")
        await self.store.start()
        self.configure(1, rules)
        for machine in self.machines:
            self.endpoints.append(endpoint_type(machine, make_body, **options))
            await self.endpoints[-1].start()
        for node in self.nodes:
            node.start(is_first_start=True)
        await self.wait_until_served(self.nodes)

    async def wait_until_served(self, nodes, seconds=20.0):
        """Wait until `nodes` are ready and know a server in use for each machine."""
        ends_at = time.monotonic() + seconds
        for node in nodes:
            while not await self._sees_all(node):
                if time.monotonic() > ends_at:
                    raise CouldNotRunError(f"{node.machine.name} is not ready")
                await asyncio.sleep(0.1)

    async def _sees_all(self, node):
        if not await node.is_ready():
            return False
        try:
            state = await node.read_state()
        except (OSError, EOFError, TimeoutError, ValueError):
            return False
        members = state["members"]
        used = sum(m["state"] == "alive" and m["accepting"] for m in members)
        return used >= len(self.machines)


def make_rule(service, kind="safe", timeout_ms=5000, latency_ms=1200, attempts=2):
    """Return a path rule like those of a small deployment."""
    return {
        "routeKind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": latency_ms,
        "priority": 1,
        "service": service,
        "maxAttempts": attempts,
    }


def run_case(folder, main):
    """Run `main(record, has_trouble)`, and exit as the script of a case does.

    `main` returns whether the rule was kept.
    """
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"disruption: {'yes' if has_trouble else 'no'}")

    async def run():
        # A script that is ended from outside ends what it has started, too.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(110):
            return await main(record, has_trouble)

    try:
        is_kept = asyncio.run(run())
    except (
        CouldNotRunError,
        TimeoutError,
        OSError,
        asyncio.CancelledError,
    ) as error:
        record(f"could not run: {error!r}")
        sys.exit(2)
    record("the rule was kept" if is_kept else "the rule was broken")
    sys.exit(0 if is_kept else 1)
