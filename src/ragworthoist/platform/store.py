"""Client of the platform's key-value store, over its HTTP interface."""

import base64
import json
from urllib.parse import quote, urlsplit

import anyio
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ragworthoist.exceptions import (
    BodyCutError,
    ExchangeError,
    HistoryGoneError,
    StoreResponseError,
    StoreUnavailableError,
)
from ragworthoist.net.client import HttpClient
from ragworthoist.store import StoredValue, stores

# How long the store may hold a watch request open until there is a change. A watch whose
# answer was lost looks like one without changes until the wait and the grace are over, so
# together they stay below the shortest time after which the store counts as stable.
WATCH_WAIT_MS = 2000
WATCH_GRACE_SECONDS = 0.6
_MAX_PAGES = 1000
# A page of a listing, the longest answer of the store, has about 1 MB.
MAX_ANSWER_BYTES = 8 * 1024 * 1024


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore", strict=True)


class _Item(_Model):
    # An event of a watch has no value if the key was deleted.
    key: str
    revision: int
    value: str | None = None


class _Range(_Model):
    items: list[_Item]
    has_more: bool = Field(default=False, alias="hasMore")
    revision: int = Field(alias="at")


class _Events(_Model):
    events: list[_Item] = []
    # The revision up to which the store has searched for events.
    revision: int = Field(alias="at")


class _Lease(_Model):
    lease_id: int | str = Field(alias="leaseId")


@stores.register("platform")
class PlatformStore:
    """A client of the platform's store.

    Parameters
    ----------
    settings : StoreSettings
        Address and timeout.

    Raises
    ------
    StoreUnavailableError
        From every call without an answer, or answered with status 429, 500, 502, 503
        or 504; a write may still have taken effect.
    HistoryGoneError
        From a watch whose revisions the store no longer holds.
    StoreResponseError
        From every call whose answer violates the protocol.
    """

    def __init__(self, settings):
        parts = urlsplit(settings.url)
        self._host = parts.netloc.encode()
        self._timeout = settings.timeout_ms / 1000
        self._client = HttpClient((parts.hostname, parts.port))
        self.calls = {}

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_exception):
        self._client.close()

    async def get(self, key):
        """Return the `StoredValue` under `key`, None if there is none."""
        status, content = await self._call("get", "GET", f"/kv-key?key={quote(key)}")
        if status == 404:
            return None
        return _decode_item(_parse(_Item, "get", status, content))

    async def read(self, key):
        """Return (`StoredValue` under `key` or None, revision of the store).

        A watch from the revision after that one misses no change of `key`.
        """
        path = f"/kv-range?pathPrefix={quote(key)}"
        status, content = await self._call("read", "GET", path)
        result = _parse(_Range, "read", status, content)
        found = [item for item in result.items if item.key == key]
        return _decode_item(found[0]) if found else None, result.revision

    async def list(self, prefix):
        """Return the values of all keys that start with `prefix`."""
        items = []
        after = ""
        for _ in range(_MAX_PAGES):
            path = f"/kv-range?pathPrefix={quote(prefix)}"
            if after:
                path += f"&after={quote(after)}"
            status, content = await self._call("list", "GET", path)
            page = _parse(_Range, "list", status, content)
            items += [_decode_item(item) for item in page.items]
            if not page.has_more or not page.items:
                break
            after = page.items[-1].key
        return items

    async def put(self, key, value, lease):
        """Write `value` under `key`; it is removed when `lease` ends."""
        put = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "leaseId": lease,
        }
        body = {"expect": [], "puts": [put], "deletes": []}
        status, _ = await self._call("put", "POST", "/kv-txn", body)
        if status != 200:
            raise StoreResponseError("put", status)

    async def grant_lease(self, seconds):
        """Create a lease of `seconds` and return its id."""
        body = {"ttlMs": int(seconds * 1000)}
        status, content = await self._call("lease", "POST", "/kv-lease", body)
        return _parse(_Lease, "lease", status, content).lease_id

    async def keep_lease(self, lease):
        """Renew `lease`; return False if it has expired."""
        status, _ = await self._call("keep", "POST", f"/kv-keep/{lease}")
        return status == 200

    async def end_lease(self, lease):
        """End `lease` and remove its keys."""
        await self._call("end", "DELETE", f"/kv-lease-end/{lease}")

    async def watch(self, key, revision):
        """Yield each `StoredValue` of `key` written at or after `revision`.

        None is yielded for each answer of the store that reports no change.
        """
        after = revision - 1
        while True:
            path = f"/kv-watch?pathPrefix={quote(key)}&after={after}"
            path += f"&waitMs={WATCH_WAIT_MS}"
            timeout = WATCH_WAIT_MS / 1000 + WATCH_GRACE_SECONDS
            status, content = await self._call("watch", "GET", path, timeout=timeout)
            if status == 410:
                raise HistoryGoneError(after)
            result = _parse(_Events, "watch", status, content)
            changes = [
                event
                for event in result.events
                if event.key == key and event.value is not None
            ]
            for event in changes:
                yield _decode_item(event)
            if not changes:
                yield None
            after = result.revision

    async def _call(self, operation, method, path, body=None, timeout=None):
        """Return the status and the body of the answer to one call."""
        self.calls[operation] = self.calls.get(operation, 0) + 1
        raw = b"" if body is None else json.dumps(body).encode()
        head = b"%s %s HTTP/1.1\r\nhost: %s\r\n" % (
            method.encode(),
            path.encode(),
            self._host,
        )
        if method != "GET":
            head += b"content-type: application/json\r\n"
            head += b"content-length: %d\r\n" % len(raw)
        try:
            with anyio.fail_after(timeout or self._timeout):
                response = await self._client.send(head + b"\r\n", raw)
                content = response.body
                if not isinstance(content, bytes):
                    content = await _read_all(content)
        except TimeoutError:
            self._client.close_stale_connections()
            raise StoreUnavailableError(operation, "no answer in time") from None
        except (ExchangeError, BodyCutError) as error:
            raise StoreUnavailableError(operation, str(error)) from None
        status = response.status
        if content is None:
            raise StoreResponseError(operation, status)
        if status in (429, 500, 502, 503, 504):
            raise StoreUnavailableError(operation, f"status {status}")
        if status not in (200, 404, 410, 412):
            raise StoreResponseError(operation, status)
        return status, content


async def _read_all(pipe):
    """Return the body in `pipe`, None if it is longer than `MAX_ANSWER_BYTES`."""
    parts, size = [], 0
    while part := await pipe.read():
        parts.append(part)
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            pipe.discard()
            return None
    return b"".join(parts)


def _parse(model, operation, status, content):
    """Return the `model` in the body `content` of an answer to `operation`."""
    try:
        return model.model_validate_json(content)
    except ValidationError:
        raise StoreResponseError(operation, status) from None


def _decode_item(item):
    try:
        value = base64.b64decode(item.value or "")
    except ValueError:
        raise StoreResponseError("decode", 200) from None
    return StoredValue(item.key, value, item.revision)
