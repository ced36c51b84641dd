"""Stand-ins for the platform, backend servers and clients, on loopback addresses.

Only the standard library is used. The nodes under test are the programs of the deploy
file, started as separate processes with settings made from its template.
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
from collections import Counter
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
HOST = "lab.example"
INTERNAL_PORTS = (7620, 7635)
METRICS_PORT = 9464
GRACE_SECONDS = 6
DRAIN_MS = 2000
MEMORY_MB = 300
BEAT_SECONDS = 1.5
RESTART_DELAY_SECONDS = 0.5
CLOSE_POLL_SECONDS = 0.02
BROKEN_STATUS = 3


# Template of the settings, as the deployment page defines it.


def render_template(text, fields):
    """Fill in `text`: values and sections, which are all that the template uses."""

    def find(name, scope):
        value = scope
        for part in name.split("."):
            if not isinstance(value, dict) or part not in value:
                return None
            value = value[part]
        return value

    def section(match):
        return match[2] if find(match[1], fields) not in (None, False, "") else ""

    def value(match):
        found = find(match[1], fields)
        return "" if found is None else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


# HTTP helpers.


async def read_head(reader):
    """Return (first line, headers with lower-case names), or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, content = line.partition(":")
            headers[name.strip().lower()] = content.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return the whole body of a message."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def post(address, target, body):
    """Return the status of a POST, or None without an answer within a second."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*address)
            try:
                raw = json.dumps(body).encode()
                writer.write(
                    f"POST {target} HTTP/1.1\r\nhost: {address[0]}\r\n"
                    "content-type: application/json\r\nconnection: close\r\n"
                    f"content-length: {len(raw)}\r\n\r\n".encode()
                    + raw
                )
                head = await read_head(reader)
                return int(head[0].split()[1]) if head else None
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return None


async def get(address, target):
    """Return (status, body) of a GET, or (None, b"") without an answer."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(
                    f"GET {target} HTTP/1.1\r\nhost: {address[0]}\r\n"
                    "connection: close\r\n\r\n".encode()
                )
                head = await read_head(reader)
                if head is None:
                    return None, b""
                return int(head[0].split()[1]), await read_body(reader, head[1])
            finally:
                writer.close()
    except (OSError, TimeoutError, EOFError):
        return None, b""


# The platform's store.


class Store:
    """The platform's key-value store."""

    def __init__(self):
        self.revision = 10
        self.items = {}
        self.history = []
        self.leases = {}
        self.changed = asyncio.Event()
        # Machines that the store doesn't answer.
        self.cut_off = set()
        self._machines = ()
        self._server = None

    async def start(self, address, machines=()):
        self._machines = machines
        self._server = await asyncio.start_server(self._serve, *address)

    def close(self):
        if self._server is not None:
            self._server.close()

    def write(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get("createdRev", self.revision)
        item = {"key": key, "value": base64.b64encode(value).decode(),
                "revision": self.revision, "createdRev": created,
                "leaseId": lease}  # fmt: skip
        self.items[key] = item
        self._record(item)

    def _delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record({"key": key, "revision": self.revision, "tombstone": True})

    def _record(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self):
        now = time.monotonic()
        for lease in [n for n, (_, end) in self.leases.items() if end <= now]:
            del self.leases[lease]
            for key in [k for k, i in self.items.items() if i["leaseId"] == lease]:
                self._delete(key)

    async def _serve(self, reader, writer):
        caller = self._find_machine(writer.get_extra_info("peername")[1])
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split()
                raw = await read_body(reader, head[1])
                parts = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                self._expire()
                status, reply = await self._answer(
                    method, parts.path, query, json.loads(raw) if raw else {}
                )
                body = json.dumps(reply).encode()
                if caller in self.cut_off:
                    await reader.read()
                    return
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _find_machine(self, port):
        """Return the machine whose node has opened the connection from `port`."""
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if int(fields[1].split(":")[1], 16) == port and fields[9] != "0":
                wanted = f"socket:[{fields[9]}]"
                for machine in self._machines:
                    if machine.has_open(wanted):
                        return machine
        return None

    async def _answer(self, method, path, query, body):
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, item | {"at": self.revision}) if item else (404, {})
        if path == "/kv-range":
            prefix = query["pathPrefix"]
            found = [self.items[k] for k in sorted(self.items) if k.startswith(prefix)]
            found = [i for i in found if i["key"] > query.get("after", "")]
            return 200, {"items": found, "hasMore": False, "at": self.revision}
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._run_transaction(body)
        if path == "/kv-lease":
            lease, ttl = len(self.history) * 1000 + len(self.leases) + 1, body["ttlMs"]
            self.leases[lease] = (ttl / 1000, time.monotonic() + ttl / 1000)
            return 200, {"leaseId": lease, "ttlMs": ttl}
        operation, _, lease = path[1:].partition("/")
        known = self.leases.get(int(lease))
        if known is None:
            return 404, {}
        end = known[0] if operation == "kv-keep" else 0.0
        self.leases[int(lease)] = (known[0], time.monotonic() + end)
        self._expire()
        return 200, {}

    async def _watch(self, query):
        after = int(query["after"])
        ends_at = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            found = [
                e
                for e in self.history
                if e["revision"] > after and e["key"].startswith(query["pathPrefix"])
            ]
            left = ends_at - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "at": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    def _run_transaction(self, body):
        for row in body.get("expect", ()):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        puts = body.get("puts", ())
        if any(p.get("leaseId") and p["leaseId"] not in self.leases for p in puts):
            return 404, {}
        for put in puts:
            self.write(put["key"], base64.b64decode(put["value"]), put.get("leaseId"))
        for key in body.get("deletes", ()):
            self._delete(key)
        return 200, {"revision": self.revision}


# Backend servers.


class Endpoint:
    """One lifetime of an application endpoint.

    Parameters
    ----------
    machine : Machine
        Where it runs.
    run : callable
        Coroutine function (endpoint, request) that writes the whole answer of a
        request that this endpoint runs.
    """

    def __init__(self, machine, run, slots=64):
        self.machine = machine
        self.run = run
        self.slots = slots
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = time.time_ns() // 1_000_000
        self.seq = 0
        self.state = "ready"
        self.is_beating = True
        self.acknowledged = []
        self.active = set()
        self._connections = set()
        self._server = None
        self._beats = None

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, *self.machine.app_address, limit=1 << 20
        )
        self._beats = asyncio.create_task(self._beat_on())

    def close(self):
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    def make_beat(self):
        """Return (target, body) of the next ping."""
        self.seq += 1
        host, port = self.machine.app_address
        return f"/rpc?call=instances.heartbeat&of={self.id}", {
            "address": f"{host}:{port}",
            "born": self.born,
            "nodeInfo": {"service": self.machine.service, "version": "v1",
                         "zone": self.machine.zone, "slots": self.slots},
            "statusInfo": {"state": self.state, "seq": self.seq, "coldLeftMs": 0},
        }  # fmt: skip

    async def beat(self):
        """Send a ping to the node and return its status."""
        target, body = self.make_beat()
        return await self.send(target, body)

    async def send(self, target, body):
        """Send what this endpoint says of itself; return the status."""
        status = await post(self.machine.control_address, target, body)
        self.acknowledged.append((time.monotonic(), target, body, status))
        return status

    async def deregister(self):
        target = f"/rpc?call=instances.deregister&of={self.id}"
        return await self.send(target, {"born": self.born})

    async def _beat_on(self):
        while True:
            if self.is_beating:
                await self.beat()
            await asyncio.sleep(BEAT_SECONDS)

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split()
                request = Request(self, method, target, head[1], reader, writer)
                if target == "/health":
                    status = 200 if self.state == "ready" else 503
                    request.write_head(status, [("content-length", "0")])
                    continue
                if head[1].get("expect-instance", self.id) != self.id:
                    await read_body(reader, head[1])
                    request.write_head(
                        421, [("not-executed", "1"), ("content-length", "0")]
                    )
                    continue
                request.body = await read_body(reader, head[1])
                await self._run_until_close(request)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer)
            writer.transport.abort()

    async def _run_until_close(self, request):
        """Run a request, and drop it when its connection closes."""
        request.started_at = time.monotonic()
        self.machine.lab.arrivals.append(request)
        self.active.add(request)
        run = asyncio.create_task(self.run(self, request))
        try:
            while not run.done():
                if request.is_abandoned:
                    raise ConnectionError("the caller has closed its connection")
                await asyncio.wait([run], timeout=CLOSE_POLL_SECONDS)
            await run
            request.is_answered = True
        finally:
            run.cancel()
            request.ended_at = time.monotonic()
            self.active.discard(request)


class Request:
    """One request at an endpoint."""

    def __init__(self, endpoint, method, target, headers, reader, writer):
        self.endpoint = endpoint
        self.method = method
        self.target = target
        self.headers = headers
        self.reader = reader
        self.writer = writer
        self.body = b""
        self.started_at = 0.0
        self.ended_at = None
        self.is_answered = False

    @property
    def is_abandoned(self):
        """Whether the caller has closed the connection."""
        return self.reader.at_eof() or self.writer.transport.is_closing()

    @property
    def attempt(self):
        return self.headers.get("attempt-id", "")

    def write_head(self, status, headers=()):
        lines = [f"HTTP/1.1 {status} X", f"instance-id: {self.endpoint.id}"]
        if self.attempt:
            lines.append(f"attempt-id: {self.attempt}")
        lines += [f"{name}: {value}" for name, value in headers]
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    def write_answer(self, body, status=200):
        self.write_head(
            status, [("server-seal", "lab"), ("content-length", str(len(body)))]
        )
        self.writer.write(body)


# Machines with their nodes.


class Machine:
    """One machine: an endpoint and the node beside it, on an address of its own."""

    def __init__(self, lab, name, service, zone, ip):
        self.lab = lab
        self.name = name
        self.service = service
        self.zone = zone
        self.ip = ip
        self.outbound = (ip, 8304)
        self.readiness = (ip, 8302)
        self.control_address = (ip, 8306)
        self.app_address = (ip, 8301)
        self.settings_path = lab.folder / f"{name}.toml"
        self.log_path = lab.folder / f"{name}.log"
        self.endpoint = None
        self.process = None
        self.processes = []

    def write_settings(self, is_first):
        """Write the settings as the platform fills them in."""
        template = (ROOT / "deploy" / "settings.toml").read_text()
        host, port = self.app_address
        fields = {
            "nodeName": self.name,
            "service": self.service,
            "region": "main",
            "zone": self.zone,
            "ip": self.ip,
            "internalPorts": {"0": INTERNAL_PORTS[0], "1": INTERNAL_PORTS[1]},
            "listenAddrs": {
                "outbound": "%s:%d" % self.outbound,
                "readinessAddr": "%s:%d" % self.readiness,
                "controlAddr": "%s:%d" % self.control_address,
            },
            "appAddr": f"{host}:{port}",
            "bootstrap": is_first,
            "platformCfg": {"address": "%s:%d" % self.lab.store_address},
            "bounds": {
                "drainMs": DRAIN_MS,
                "graceS": GRACE_SECONDS,
                "retryBudgetRatio": 0.2,
                "budgetExtraTries": 48,
                "budgetWindowS": 10,
            },
        }
        self.settings_path.write_text(render_template(template, fields))

    def start_node(self, is_first=False):
        """Start the node with the command of the deploy file."""
        self.write_settings(is_first)
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "target/app", str(self.settings_path)],
                cwd=ROOT, env=environment, stdout=log, stderr=log,
            )  # fmt: skip
        self.processes.append(self.process)

    def signal(self, number):
        self.process.send_signal(number)

    async def wait_for_exit(self, seconds):
        """Return the exit code, None if the process still runs."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            if self.process.poll() is not None:
                return self.process.returncode
            await asyncio.sleep(0.02)
        return None

    async def is_ready(self):
        return (await get(self.readiness, "/ready"))[0] == 200

    async def read_state(self):
        """Return the state that the node reports, {} without an answer."""
        status, body = await get((self.ip, METRICS_PORT), "/state")
        return json.loads(body) if status == 200 else {}

    def read_memory_mb(self):
        """Return the resident memory of the node in MB."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+)", text)
        return int(found[1]) / 1024 if found else 0.0

    def has_open(self, name):
        """Return whether the node has a descriptor of the file called `name`."""
        folder = f"/proc/{self.process.pid}/fd" if self.process else ""
        try:
            return any(os.readlink(f"{folder}/{n}") == name for n in os.listdir(folder))
        except OSError:
            return False

    def count_descriptors(self):
        try:
            return len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except OSError:
            return 0


class Lab:
    """A small deployment on loopback addresses.

    Parameters
    ----------
    services : dict
        Number of machines by service.
    run : callable
        What endpoints do with a request, see `Endpoint`.
    """

    def __init__(self, record, services, run, slots=64, zones="abc"):
        self.record = record
        self.services = services
        self.run = run
        self.slots = slots
        self.machines = []
        self.arrivals = []
        self.sent = []
        self.version = 0
        self.store = Store()
        self._directory = tempfile.TemporaryDirectory(prefix="review-2-")
        self.folder = Path(self._directory.name)
        base = _find_free_network()
        self.store_address = (f"{base}.250", 8309)
        number = 0
        for service, count in services.items():
            for index in range(count):
                number += 1
                self.machines.append(
                    Machine(
                        self,
                        f"side-{number}",
                        service,
                        zones[index % len(zones)],
                        f"{base}.{number}",
                    )
                )

    async def __aenter__(self):
        try:
            await self._start()
        except BaseException:
            self._stop()
            raise
        return self

    async def __aexit__(self, *_exception):
        self._stop()
        self._write_traffic()

    async def _start(self):
        await self.store.start(self.store_address, self.machines)
        for machine in self.machines:
            machine.endpoint = Endpoint(machine, self.run, self.slots)
            await machine.endpoint.start()
            machine.start_node(is_first=True)

    def _stop(self):
        """End every process that was started, and wait for it."""
        processes = [process for m in self.machines for process in m.processes]
        for process in processes:
            if process.poll() is None:
                process.kill()
        for process in processes:
            process.wait()
        for machine in self.machines:
            if machine.endpoint is not None:
                machine.endpoint.close()
        self.store.close()
        self._directory.cleanup()

    def _write_traffic(self):
        """Write what was sent and answered, and what endpoints ran."""
        for answer in sorted(self.sent, key=lambda answer: answer.sent_at):
            end = "open" if answer.ended_at is None else self.record.at(answer.ended_at)
            self.record.write(
                f"sent {answer.attempt} at {self.record.at(answer.sent_at)} to "
                f"{answer.machine.name}: status {answer.status}, "
                f"whole {answer.is_complete}, {answer.error or 'no error'}, end {end}"
            )
        for request in self.arrivals:
            ended = request.ended_at
            end = "open" if ended is None else self.record.at(ended)
            self.record.write(
                f"run {request.attempt} at {self.record.at(request.started_at)} by "
                f"{request.endpoint.id} of {request.endpoint.machine.name}: "
                f"answered {request.is_answered}, end {end}"
            )

    def of(self, service):
        return [m for m in self.machines if m.service == service]

    def configure(self, rules):
        """Write the next version of the configuration, as the operator does."""
        self.version += 3
        path_rules = [
            {"name": prefix.strip("/"), "pathPrefix": prefix, "routeKind": "safe",
             "timeoutMs": 10_000, "targetLatencyMs": 2_000, "priority": 1,
             "maxAttempts": 2} | changes
            for prefix, changes in rules.items()
        ]  # fmt: skip
        document = {
            "version": f"{self.version:08x}",
            "services": [
                {"name": name, "healthPath": "/health", "maxConnections": 1588}
                for name in self.services
            ],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 8388608,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "virtualHosts": [{"host": HOST, "pathRules": path_rules}],
        }  # fmt: skip
        self.store.write("op/config", json.dumps(document).encode())

    async def wait_until_ready(self, seconds=15.0):
        """Wait until all nodes are ready and see all endpoints accept calls."""
        ends_at = time.monotonic() + seconds
        for machine in self.machines:
            while True:
                state = await machine.read_state()
                members = state.get("members", ())
                count = sum(m["accepting"] and m["state"] == "alive" for m in members)
                if state.get("ready") and count >= len(self.machines):
                    break
                if time.monotonic() > ends_at:
                    raise RuntimeError(f"{machine.name} is not ready: {state}")
                await asyncio.sleep(0.1)

    async def wait_until_up(self, seconds=15.0):
        """Wait until all nodes are ready for clients."""
        ends_at = time.monotonic() + seconds
        for machine in self.machines:
            while not await machine.is_ready():
                if time.monotonic() > ends_at:
                    raise RuntimeError(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)


def _find_free_network():
    """Return the first three numbers of a loopback network without listeners."""
    for _ in range(50):
        base = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        try:
            for port in (8301, 8304, 8309, INTERNAL_PORTS[0], METRICS_PORT):
                for last in (1, 2, 250):
                    with socket.socket() as probe:
                        probe.bind((f"{base}.{last}", port))
        except OSError:
            continue
        return base
    raise RuntimeError("no free loopback addresses")


# Clients.


class Answer:
    """What a client saw of one attempt."""

    def __init__(self, attempt, machine):
        self.attempt = attempt
        self.machine = machine
        machine.lab.sent.append(self)
        self.sent_at = time.monotonic()
        self.ended_at = None
        self.status = None
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.error = ""


class Client:
    """A client with one kept connection to the node of a machine."""

    def __init__(self, machine):
        self.machine = machine
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(
            *self.machine.outbound, limit=1 << 20
        )

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
            self.writer = None

    async def send(self, method, target, attempt, body=b"", limit_ms=8000):
        """Send one attempt and return the `Answer`."""
        answer = Answer(attempt, self.machine)
        try:
            async with asyncio.timeout(limit_ms / 1000 + 0.5):
                if self.writer is None:
                    await self.connect()
                self.writer.write(make_head(method, target, attempt, body, limit_ms))
                head = await read_head(self.reader)
                if head is None:
                    answer.error = "closed without an answer"
                    self.close()
                    return answer
                answer.status, answer.headers = int(head[0].split()[1]), head[1]
                await self._read_body(answer)
                answer.is_complete = True
                if answer.headers.get("connection") == "close":
                    self.close()
        except asyncio.IncompleteReadError:
            answer.error = "answer was cut"
            self.close()
        except TimeoutError:
            answer.error = "no whole answer in time"
            self.close()
        except OSError as error:
            answer.error = repr(error)
            self.close()
        finally:
            answer.ended_at = time.monotonic()
        return answer

    async def _read_body(self, answer):
        if "chunked" not in answer.headers.get("transfer-encoding", ""):
            answer.body = await read_body(self.reader, answer.headers)
            return
        while size := int(await self.reader.readuntil(b"\r\n"), 16):
            answer.body += (await self.reader.readexactly(size + 2))[:-2]
        await self.reader.readexactly(2)

    async def leave_after(self, method, target, attempt, seconds, limit_ms=8000):
        """Send one attempt and close the connection after `seconds`.

        Returns (`Answer`, time of the close). An attempt that ends before is kept.
        """
        answer = Answer(attempt, self.machine)
        await self.connect()
        self.writer.write(make_head(method, target, attempt, b"", limit_ms))
        try:
            async with asyncio.timeout(seconds):
                head = await read_head(self.reader)
                if head is not None:
                    answer.status, answer.headers = int(head[0].split()[1]), head[1]
                    await self._read_body(answer)
                    answer.is_complete = True
        except (OSError, EOFError):
            pass
        self.close()
        answer.ended_at = time.monotonic()
        return answer, answer.ended_at


def make_head(method, target, attempt, body, limit_ms):
    return (
        f"{method} {target} HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: {attempt}\r\n"
        f"deadline-ms: {limit_ms}\r\ncontent-length: {len(body)}\r\n\r\n"
    ).encode() + body


def new_attempt():
    return f"{random.getrandbits(64):016x}"


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w")
        self._started = time.monotonic()

    def at(self, moment):
        """Return `moment`, of the monotonic clock, as seconds since the start."""
        return f"{moment - self._started:.3f}"

    def write(self, text):
        line = f"{time.monotonic() - self._started:8.3f} {text}"
        print(line, file=self._file, flush=True)

    def close(self):
        self._file.close()


def run_case(folder, play):
    """Run `play(record, has_trouble)` and exit with 0, `BROKEN_STATUS` or 2.

    `run.sh` turns `BROKEN_STATUS` into 1, with which Python also exits after an error.
    """
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    # Ends the processes that were started, as an interrupt does.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        with asyncio.Runner() as runner:
            is_broken = runner.run(_bound(play(record, has_trouble)))
        code = BROKEN_STATUS if is_broken else 0
        record.write(f"result: the rule {'was broken' if is_broken else 'held'}")
    except (Exception, KeyboardInterrupt) as error:
        record.write(f"result: the case could not run: {error!r}")
        code = 2
    record.close()
    sys.exit(code)


async def _bound(play):
    async with asyncio.timeout(110):
        return await play


__all__ = [
    "Answer",
    "Client",
    "Counter",
    "DRAIN_MS",
    "Endpoint",
    "GRACE_SECONDS",
    "Lab",
    "MEMORY_MB",
    "RESTART_DELAY_SECONDS",
    "Record",
    "Request",
    "asyncio",
    "get",
    "make_head",
    "new_attempt",
    "post",
    "read_body",
    "read_head",
    "run_case",
    "signal",
    "time",
]
