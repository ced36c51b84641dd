"""A store client for the JSON gateway of etcd v3."""

import base64
import json

import httpx

from ragworthoist.exceptions import StoreResponseError, StoreUnavailableError
from ragworthoist.store import StoredValue, stores

# Longest answer of the store, and longest line of a watch, in bytes.
MAX_ANSWER_BYTES = 8 * 1024 * 1024


def _encode(text):
    raw = text if isinstance(text, bytes) else text.encode()
    return base64.b64encode(raw).decode()


def _decode(text):
    return base64.b64decode(text)


def _range_end(prefix):
    raw = prefix.encode()
    return _encode(raw[:-1] + bytes([raw[-1] + 1]))


def _unpack(entry):
    return StoredValue(
        _decode(entry["key"]).decode(),
        _decode(entry.get("value", "")),
        int(entry["mod_revision"]),
    )


@stores.register("etcd")
class EtcdStore:
    """A client of an etcd store.

    Parameters
    ----------
    settings : StoreSettings
        Address and timeout.

    Raises
    ------
    StoreUnavailableError
        By every method, if the store did not answer, and by every method but `watch`,
        if it answered with a status of 500 or above; a write may then have taken
        effect.
    StoreResponseError
        By every method but `watch`, if the store answered with a status below 500
        other than 200; by every method, if an answer or a line of the watch is longer
        than `MAX_ANSWER_BYTES`.
    """

    def __init__(self, settings):
        self._timeout = settings.timeout_ms / 1000
        self._client = httpx.AsyncClient(base_url=settings.url, timeout=self._timeout)

    async def __aenter__(self):
        await self._client.__aenter__()
        return self

    async def __aexit__(self, *exception):
        await self._client.__aexit__(*exception)

    async def get(self, key):
        """Return the `StoredValue` of `key`, None if there is none."""
        reply = await self._post("range", "/v3/kv/range", {"key": _encode(key)})
        entries = reply.get("kvs", [])
        return _unpack(entries[0]) if entries else None

    async def list(self, prefix):
        """Return the values of all keys that start with `prefix`."""
        query = {"key": _encode(prefix), "range_end": _range_end(prefix)}
        reply = await self._post("range", "/v3/kv/range", query)
        return [_unpack(entry) for entry in reply.get("kvs", [])]

    async def replace(self, key, value, revision):
        """Write `value` if `key` is still at `revision` (0: the key does not exist).

        Returns
        -------
        bool
            Whether the value was written.
        """
        compare = {
            "key": _encode(key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(revision),
        }
        put = {"requestPut": {"key": _encode(key), "value": _encode(value)}}
        query = {"compare": [compare], "success": [put]}
        reply = await self._post("txn", "/v3/kv/txn", query)
        return bool(reply.get("succeeded", False))

    async def put(self, key, value, lease):
        """Write `value`, which the store deletes when `lease` expires."""
        query = {"key": _encode(key), "value": _encode(value), "lease": str(lease)}
        await self._post("put", "/v3/kv/put", query)

    async def grant_lease(self, seconds):
        """Return the id of a new lease that expires after `seconds`."""
        reply = await self._post("lease", "/v3/lease/grant", {"TTL": str(seconds)})
        return int(reply["ID"])

    async def keep_lease(self, lease):
        """Renew `lease`; return False if it has expired."""
        reply = await self._post("keepalive", "/v3/lease/keepalive", {"ID": str(lease)})
        return int(reply.get("result", {}).get("TTL", 0)) > 0

    async def watch(self, key, revision):
        """Yield each `StoredValue` of `key` written at or after `revision`."""
        create = {"key": _encode(key), "start_revision": str(revision)}
        body = {"create_request": create}
        timeout = httpx.Timeout(self._timeout, read=None)
        try:
            async with self._client.stream(
                "POST", "/v3/watch", json=body, timeout=timeout
            ) as response:
                async for line in _iterate_lines(response):
                    for event in json.loads(line).get("result", {}).get("events", []):
                        if "mod_revision" in event.get("kv", {}):
                            yield _unpack(event["kv"])
        except httpx.HTTPError as error:
            raise StoreUnavailableError("watch", str(error)) from None

    async def _post(self, operation, path, body):
        try:
            async with self._client.stream("POST", path, json=body) as response:
                content = await _read(response)
        except httpx.HTTPError as error:
            raise StoreUnavailableError(operation, repr(error)) from None
        if content is None:
            raise StoreResponseError(operation, response.status_code)
        if response.status_code >= 500:
            raise StoreUnavailableError(operation, f"status {response.status_code}")
        if response.status_code != 200:
            raise StoreResponseError(operation, response.status_code)
        return json.loads(content)


async def _read(response):
    """Return the body, or None if it is longer than `MAX_ANSWER_BYTES`."""
    content = bytearray()
    async for part in response.aiter_bytes():
        content += part
        if len(content) > MAX_ANSWER_BYTES:
            return None
    return bytes(content)


async def _iterate_lines(response):
    """Yield the lines of the body, without their ends.

    Raises
    ------
    StoreResponseError
        If a line is longer than `MAX_ANSWER_BYTES`.
    """
    rest = bytearray()
    async for part in response.aiter_bytes():
        rest += part
        if b"\n" in part:
            *lines, rest = rest.split(b"\n")
            for line in lines:
                yield line
        if len(rest) > MAX_ANSWER_BYTES:
            raise StoreResponseError("watch", response.status_code)
    if rest:
        yield rest
