"""The platform's key-value store, behind one small interface.

A store is a class entered in `stores` under the name of its protocol.
"""

from dataclasses import dataclass

from ragworthoist._registry import Registry

stores = Registry("store protocol")


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A value and the revision at which it was written."""

    key: str
    value: bytes
    revision: int


def open_store(settings):
    """Return the store that `settings` (a `StoreSettings`) names, not yet entered."""
    if settings.protocol == "platform":
        from ragworthoist.platform import store  # noqa: F401  registers itself
    else:
        from ragworthoist.store import etcd  # noqa: F401  registers itself

    return stores.get(settings.protocol)(settings)
