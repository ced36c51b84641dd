"""Stand-in for an etcd store: the JSON gateway of etcd v3, with faults.

`POST /faults` sets the faults. `GET /calls` returns the number of calls of each
path; a pending watch counts as one call. `POST /save` takes a snapshot of the values,
`POST /go-back` writes them again.
"""

import base64
import json
from dataclasses import dataclass, field

import anyio

from ragworthoist.net.web import respond
from ragworthoist_lab.web import read_json, respond_json, run_application


@dataclass(slots=True)
class Faults:
    """Faults of the store.

    Parameters
    ----------
    down : bool
        Whether calls are answered with 503, and watches end.
    delay_seconds : float
        Delay before each call is processed.
    lose_answers : int
        Number of coming writes that take effect but are answered with 504.
    lapse_leases : bool
        Whether each call first expires all leases.
    """

    down: bool = False
    delay_seconds: float = 0.0
    lose_answers: int = 0
    lapse_leases: bool = False


@dataclass(slots=True)
class _Value:
    value: str
    revision: int
    lease: str = "0"


@dataclass(slots=True)
class _Lease:
    ttl_seconds: float
    expires_at: float


@dataclass(slots=True)
class StandInStore:
    """An ASGI application that keeps all values and leases in memory."""

    revision: int = 0
    values: dict = field(default_factory=dict)
    leases: dict = field(default_factory=dict)
    calls: dict = field(default_factory=dict)
    faults: Faults = field(default_factory=Faults)
    snapshot: dict = field(default_factory=dict)
    changed: anyio.Event = field(default_factory=anyio.Event)

    async def __call__(self, scope, receive, send):
        """Serve one HTTP request."""
        if scope["type"] != "http":
            return
        path = scope["path"]
        body = await read_json(receive)
        if not path.startswith("/v3/"):
            await self._control(path, body, send)
            return
        self.calls[path] = self.calls.get(path, 0) + 1
        if self.faults.delay_seconds:
            await anyio.sleep(self.faults.delay_seconds)
        if self.faults.down:
            await respond(send, 503)
            return
        self._expire_leases()
        if path == "/v3/watch":
            await self._watch(body["create_request"], send)
            return
        handlers = {
            "/v3/kv/range": self._get_range,
            "/v3/kv/put": self._put,
            "/v3/kv/txn": self._run_transaction,
            "/v3/lease/grant": self._grant_lease,
            "/v3/lease/keepalive": self._renew_lease,
        }
        handler = handlers.get(path)
        if handler is None:
            await respond(send, 404)
            return
        reply = handler(body)
        if path in ("/v3/kv/put", "/v3/kv/txn") and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            await respond(send, 504)
            return
        await respond_json(send, reply)

    async def _control(self, path, body, send):
        if path == "/calls":
            await respond_json(send, self.calls)
        elif path == "/faults":
            for name, value in body.items():
                setattr(self.faults, name, value)
            self._notify_watchers()
            await respond(send, 204)
        elif path == "/save":
            self.snapshot = {
                k: _Value(v.value, v.revision) for k, v in self.values.items()
            }
            await respond(send, 204)
        elif path == "/go-back":
            for key, old in self.snapshot.items():
                self._write(key, old.value)
            await respond(send, 204)
        else:
            await respond(send, 404)

    def _get_range(self, body):
        key, end = body["key"], body.get("range_end")
        low = base64.b64decode(key)
        high = base64.b64decode(end) if end else None
        found = [
            self._encode_item(k)
            for k in sorted(self.values)
            if k == key or (high and low <= base64.b64decode(k) < high)
        ]
        return {"kvs": found, "count": str(len(found))}

    def _put(self, body):
        self._write(body["key"], body["value"], body.get("lease", "0"))
        return {"header": {"revision": str(self.revision)}}

    def _run_transaction(self, body):
        matches = all(
            self._revision_of(c["key"]) == int(c["mod_revision"])
            for c in body["compare"]
        )
        for operation in body.get("success" if matches else "failure", []):
            put = operation["requestPut"]
            self._write(put["key"], put["value"])
        return {"succeeded": matches} if matches else {}

    def _grant_lease(self, body):
        lease_id = str(len(self.leases) + 1)
        ttl_seconds = float(body["TTL"])
        self.leases[lease_id] = _Lease(ttl_seconds, anyio.current_time() + ttl_seconds)
        return {"ID": lease_id, "TTL": body["TTL"]}

    def _renew_lease(self, body):
        lease = self.leases.get(body["ID"])
        if lease is None:
            return {"result": {"ID": body["ID"], "TTL": "0"}}
        lease.expires_at = anyio.current_time() + lease.ttl_seconds
        return {"result": {"ID": body["ID"], "TTL": str(int(lease.ttl_seconds))}}

    async def _watch(self, body, send):
        key, revision = body["key"], int(body.get("start_revision", 0))
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await self._send_line(send, {"result": {"created": True}})
        while not self.faults.down:
            current = self.values.get(key)
            if current is not None and current.revision >= revision:
                revision = current.revision + 1
                event = {"events": [{"kv": self._encode_item(key)}]}
                await self._send_line(send, {"result": event})
            with anyio.move_on_after(1.0):
                await self.changed.wait()
        await send({"type": "http.response.body", "body": b""})

    async def _send_line(self, send, value):
        line = json.dumps(value).encode() + b"\n"
        await send({"type": "http.response.body", "body": line, "more_body": True})

    def _encode_item(self, key):
        found = self.values[key]
        return {
            "key": key,
            "value": found.value,
            "mod_revision": str(found.revision),
            "lease": found.lease,
        }

    def _revision_of(self, key):
        found = self.values.get(key)
        return found.revision if found else 0

    def _write(self, key, value, lease="0"):
        self.revision += 1
        self.values[key] = _Value(value, self.revision, lease)
        self._notify_watchers()

    def _notify_watchers(self):
        self.changed.set()
        self.changed = anyio.Event()

    def _expire_leases(self):
        now = anyio.current_time()
        expired = {
            lease_id
            for lease_id, lease in self.leases.items()
            if lease.expires_at <= now or self.faults.lapse_leases
        }
        for lease_id in expired:
            del self.leases[lease_id]
        for key in [k for k, v in self.values.items() if v.lease in expired]:
            del self.values[key]


def run_store(port: int):
    """Run the stand-in for an etcd store on loopback.

    :param port: port to listen on
    """
    run_application(StandInStore(), port)
