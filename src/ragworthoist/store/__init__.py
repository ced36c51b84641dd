"""Clients of the platform's key-value store, with one common interface.

A client is a class registered in `stores` under the name of its protocol.
"""

from dataclasses import dataclass

from ragworthoist._registry import Registry

stores = Registry("store protocol")


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A value in the store and the revision at which it was written."""

    key: str
    value: bytes
    revision: int


def open_store(settings):
    """Return a client for `settings` (a `StoreSettings`).

    It is an asynchronous context manager, which the caller has to enter.
    """
    if settings.protocol == "platform":
        from ragworthoist.platform import store  # noqa: F401  registers itself
    else:
        from ragworthoist.store import etcd  # noqa: F401  registers itself

    return stores.get(settings.protocol)(settings)
