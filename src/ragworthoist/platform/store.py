"""Client of the platform's key-value store, over its HTTP interface."""

import base64
import json
import re
from dataclasses import dataclass
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

# How long the store may hold a watch request open until there is a change. A watch
# whose answer was lost looks like one without changes until the wait and the grace are
# over, so together they stay below the time after which the store counts as stable.
WATCH_WAIT_MS = 2000
WATCH_GRACE_SECONDS = 0.6
_MAX_PAGES = 1000
# A page of a listing, the longest answer of the store, has about 1 MB.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
_ERA_HEADER = b"store-era"
_ERA_PATTERN = re.compile(rb"[0-9]{1,18}")


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


@dataclass(frozen=True, slots=True)
class StorePosition:
    """A place in the history of the store.

    `era` tells how often the store was restored from a copy; it is None if the store
    doesn't say. A revision is only meaningful within one era.
    """

    revision: int
    era: int | None


@dataclass(frozen=True, slots=True)
class _Reply:
    status: int
    content: bytes
    era: int | None


@stores.register("platform")
class PlatformStore:
    """A client of the platform's store.

    Parameters
    ----------
    settings : StoreSettings
        Address and timeout.

    Attributes
    ----------
    calls : dict
        Number of calls by operation.
    era : int or None
        Latest era of the store in its answers, see `StorePosition`. Leases of an
        earlier era are gone, and their ids may have been given out again.

    Raises
    ------
    StoreUnavailableError
        From every call without an answer, or answered with status 429, 500, 502, 503
        or 504; a write may still have taken effect.
    HistoryGoneError
        From a watch whose revisions the store no longer holds, also because it was
        restored from a copy.
    StoreResponseError
        From every call whose answer violates the protocol.
    """

    def __init__(self, settings):
        parts = urlsplit(settings.url)
        self._host = parts.netloc.encode()
        self._timeout = settings.timeout_ms / 1000
        self._client = HttpClient((parts.hostname, parts.port))
        self.calls = {}
        self.era = None

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_exception):
        self._client.close()

    async def get(self, key):
        """Return the `StoredValue` under `key`, None if there is none."""
        reply = await self._call("get", "GET", f"/kv-key?key={quote(key)}")
        if reply.status == 404:
            return None
        return _decode_item(_parse(_Item, "get", reply))

    async def read(self, key):
        """Return (`StoredValue` under `key` or None, `StorePosition` of the store).

        A watch from that position misses no change of `key`.
        """
        path = f"/kv-range?pathPrefix={quote(key)}"
        reply = await self._call("read", "GET", path)
        result = _parse(_Range, "read", reply)
        found = [item for item in result.items if item.key == key]
        position = StorePosition(result.revision, reply.era)
        return _decode_item(found[0]) if found else None, position

    async def list(self, prefix):
        """Return the values of all keys that start with `prefix`."""
        items = []
        after = ""
        for _ in range(_MAX_PAGES):
            path = f"/kv-range?pathPrefix={quote(prefix)}"
            if after:
                path += f"&after={quote(after)}"
            page = _parse(_Range, "list", await self._call("list", "GET", path))
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
        reply = await self._call("put", "POST", "/kv-txn", body)
        if reply.status != 200:
            raise StoreResponseError("put", reply.status)

    async def grant_lease(self, seconds):
        """Create a lease of `seconds` and return its id."""
        body = {"ttlMs": int(seconds * 1000)}
        reply = await self._call("lease", "POST", "/kv-lease", body)
        return _parse(_Lease, "lease", reply).lease_id

    async def keep_lease(self, lease):
        """Renew `lease`; return False if it has expired."""
        reply = await self._call("keep", "POST", f"/kv-keep/{lease}")
        return reply.status == 200

    async def end_lease(self, lease):
        """End `lease` and remove its keys."""
        await self._call("end", "DELETE", f"/kv-lease-end/{lease}")

    async def watch(self, key, position):
        """Yield each `StoredValue` of `key` written after `position`, from `read`.

        None is yielded for each answer of the store that reports no change.
        """
        after = position.revision
        while True:
            path = f"/kv-watch?pathPrefix={quote(key)}&after={after}"
            path += f"&waitMs={WATCH_WAIT_MS}"
            timeout = WATCH_WAIT_MS / 1000 + WATCH_GRACE_SECONDS
            reply = await self._call("watch", "GET", path, timeout=timeout)
            if reply.status == 410:
                raise HistoryGoneError(after)
            result = _parse(_Events, "watch", reply)
            if reply.era != position.era or result.revision < after:
                raise HistoryGoneError(after)
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
        """Return the `_Reply` to one call."""
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
        era = _read_era(response.headers)
        if era is not None:
            # Answers of an earlier era may come late.
            self.era = era if self.era is None else max(self.era, era)
        if content is None:
            raise StoreResponseError(operation, status)
        if status in (429, 500, 502, 503, 504):
            raise StoreUnavailableError(operation, f"status {status}")
        if status not in (200, 404, 410, 412):
            raise StoreResponseError(operation, status)
        return _Reply(status, content, era)


def _read_era(headers):
    for name, value in headers:
        if name.lower() == _ERA_HEADER and _ERA_PATTERN.fullmatch(value):
            return int(value)
    return None


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


def _parse(model, operation, reply):
    """Return the `model` in the body of the `reply` to `operation`."""
    try:
        return model.model_validate_json(reply.content)
    except ValidationError:
        raise StoreResponseError(operation, reply.status) from None


def _decode_item(item):
    try:
        value = base64.b64decode(item.value or "")
    except ValueError:
        raise StoreResponseError("decode", 200) from None
    return StoredValue(item.key, value, item.revision)
