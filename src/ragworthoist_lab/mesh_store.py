"""Stand-in for the platform's key-value store, with leases, watches and faults.

`POST /faults` sets the faults, `POST /write` writes a value as an operator does, and
`GET /calls` returns the number of calls of each path. `GET /copy` copies what the store
holds, and `GET /restore` brings that copy back.
"""

import base64
import copy
from dataclasses import dataclass, field
from urllib.parse import parse_qs

import anyio

from ragworthoist.net.web import respond
from ragworthoist_lab.web import read_json, respond_json, run_application


@dataclass(slots=True)
class MeshFaults:
    """Faults of the store.

    Parameters
    ----------
    down : bool
        Whether calls are answered with 503 and pending watches end early.
    delay_seconds : float
        Delay before each call is processed.
    lose_answers : int
        Number of coming transactions that are processed but answered with 500,
        which the HTTP server sends when the application sends nothing.
    forget_history : bool
        Whether one watch, pending or new, is answered with 410, as if its history
        were gone. The store resets this field then.
    silent : bool
        Whether calls that arrive, and watches that are pending, are never answered.
        Their connections stay open, also after this field is reset.
    """

    down: bool = False
    delay_seconds: float = 0.0
    lose_answers: int = 0
    forget_history: bool = False
    silent: bool = False


@dataclass(slots=True)
class _Lease:
    ttl_seconds: float
    expires_at: float


@dataclass(slots=True)
class MeshStore:
    """An ASGI application that keeps items and their history in memory.

    `era` is the number of restores so far, and `_saved` the copy for the next one.
    """

    era: int = 0
    revision: int = 10
    items: dict = field(default_factory=dict)
    history: list = field(default_factory=list)
    leases: dict = field(default_factory=dict)
    calls: dict = field(default_factory=dict)
    faults: MeshFaults = field(default_factory=MeshFaults)
    changed: anyio.Event = field(default_factory=anyio.Event)
    _saved: dict = field(default_factory=dict)

    async def __call__(self, scope, receive, send):
        """Serve one HTTP request."""
        if scope["type"] != "http":
            return
        path, body = scope["path"], await read_json(receive)
        if path in ("/faults", "/write", "/calls", "/copy", "/restore"):
            await self._control(path, body, send)
            return
        self.calls[path] = self.calls.get(path, 0) + 1
        if self.faults.silent:
            await _wait_for_disconnect(receive)
            return
        await anyio.sleep(self.faults.delay_seconds)
        if self.faults.down:
            await respond(send, 503)
            return
        self._expire_leases()
        query = {k: v[0] for k, v in parse_qs(scope["query_string"].decode()).items()}
        status, reply = await self._handle_request(path, query, body)
        if path == "/kv-txn" and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return
        if self.faults.silent:
            await _wait_for_disconnect(receive)
            return
        await respond_json(send, reply, status, [(b"store-era", b"%d" % self.era)])

    async def _handle_request(self, path, query, body):
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
            return self._run_transaction(body)
        if path == "/kv-lease":
            lease_id, ttl_seconds = len(self.leases) + 1, body["ttlMs"] / 1000
            self.leases[lease_id] = _Lease(
                ttl_seconds, anyio.current_time() + ttl_seconds
            )
            return 200, {"leaseId": lease_id, "ttlMs": body["ttlMs"]}
        # The path is /kv-keep/ID to renew a lease or /kv-lease-end/ID to end it.
        operation, _, lease_id = path[1:].partition("/")
        lease = self.leases.get(int(lease_id))
        if lease is None:
            return 404, {}
        if operation == "kv-keep":
            lease.expires_at = anyio.current_time() + lease.ttl_seconds
        else:
            lease.expires_at = 0.0
            self._expire_leases()
        return 200, {}

    async def _watch(self, query):
        prefix, after = query["pathPrefix"], int(query["after"])
        if after > self.revision:
            return 410, {}
        with anyio.move_on_after(int(query["waitMs"]) / 1000):
            while True:
                if self.faults.forget_history:
                    self.faults.forget_history = False
                    return 410, {}
                found = [
                    event
                    for event in self.history
                    if event["revision"] > after and event["key"].startswith(prefix)
                ]
                if found or self.faults.down or self.faults.silent:
                    break
                await self.changed.wait()
        return 200, {"events": found, "at": self.revision}

    def _run_transaction(self, body):
        for expected in body["expect"]:
            item = self.items.get(expected["key"])
            if (item["revision"] if item else 0) != expected["revision"]:
                return 412, {"items": [item] if item else []}
        if any(p["leaseId"] and p["leaseId"] not in self.leases for p in body["puts"]):
            return 404, {}
        for put in body["puts"]:
            self._write(put["key"], put["value"], put["leaseId"])
        for key in body["deletes"]:
            self._delete(key)
        return 200, {"revision": self.revision}

    def _write(self, key, value, lease=0):
        self.revision += 1
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "createdRev": self.items.get(key, {}).get("createdRev", self.revision),
            "leaseId": lease,
        }
        self.items[key] = item
        self._append_event(item)

    def _delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append_event(
                {"key": key, "revision": self.revision, "tombstone": True}
            )

    def _append_event(self, event):
        self.history.append(event)
        self._notify_watchers()

    def _notify_watchers(self):
        self.changed.set()
        self.changed = anyio.Event()

    def _expire_leases(self):
        now = anyio.current_time()
        expired = {n for n, lease in self.leases.items() if lease.expires_at <= now}
        for lease_id in expired:
            del self.leases[lease_id]
        for key in [k for k, item in self.items.items() if item["leaseId"] in expired]:
            self._delete(key)

    async def _control(self, path, body, send):
        if path == "/calls":
            await respond_json(send, self.calls)
            return
        if path == "/copy":
            self._saved = {
                name: copy.deepcopy(getattr(self, name))
                for name in ("revision", "items", "history", "leases")
            }
        elif path == "/restore":
            self.era += 1
            for name, value in copy.deepcopy(self._saved).items():
                setattr(self, name, value)
        elif path == "/write":
            value = base64.b64encode(body["value"].encode()).decode()
            self._write(body["key"], value)
        else:
            for name, value in body.items():
                setattr(self.faults, name, value)
            self._notify_watchers()
        await respond_json(send, {"revision": self.revision})


async def _wait_for_disconnect(receive):
    while (await receive())["type"] != "http.disconnect":
        pass


def run_mesh_store(port: int):
    """Run the stand-in for the platform's key-value store on loopback.

    :param port: port to listen on
    """
    run_application(MeshStore(), port)
