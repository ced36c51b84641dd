"""Synchronization with the store: the configuration, and addresses of nodes.

A few nodes, chosen by rendezvous hashing in each failure domain, watch the store. All
others learn of a change by gossip and fetch the document from a peer. A few watchers
too many do no harm, so no lease protects the choice.
"""

import json
from datetime import UTC, datetime

import anyio
from pydantic_core import from_json

from ragworthoist._settings import Address
from ragworthoist.core.configuration import Adoption
from ragworthoist.events import Event, log_event
from ragworthoist.exceptions import DocumentError, NotReadyError, StoreError
from ragworthoist.store.reachability import StoreReachability

WATCHER_INTERVAL_SECONDS = 10.0
POLL_INTERVAL_SECONDS = 10.0
FLEET_POLLS_PER_INTERVAL = 2.0
RETRY_DELAY_SECONDS = 0.5
ALONE_INTERVAL_SECONDS = 0.5
ADDRESS_LEASE_SECONDS = 30
MAX_PEERS_ASKED_AT_START = 3
START_TIMEOUT_SECONDS = 30.0
REFRESH_EXCEPTIONS_INTERVAL_SECONDS = 5.0


def configuration_key(fleet):
    """Return the store key of the configuration document of `fleet` (its name)."""
    return f"ragworthoist/{fleet}/configuration"


def peers_prefix(fleet):
    """Return the store prefix for the addresses of a few nodes of `fleet`."""
    return f"ragworthoist/{fleet}/peers/"


def _read_address(stored):
    """Return the (host, port) in a `StoredValue`, None if it holds no address."""
    try:
        host, port = from_json(stored.value)
        return Address(host=host, port=port).pair
    except (TypeError, ValueError) as error:
        log_event(
            Event.DATAGRAM_REFUSED,
            count=1,
            error=f"{stored.key} in the store is malformed: {error!r:.200}",
        )
        return None


class StoreSync:
    """Keeps the configuration of one node up to date, and its address in the store.

    Parameters
    ----------
    node : object
        Provides `configuration`, `membership`, `random`, `join`,
        `adopt_configuration`, `fetch_configuration_from` and
        `end_expired_exceptions`.
    store : object
        The platform's store.
    fleet : FleetSettings
        Name and seed addresses of the fleet.
    """

    def __init__(self, node, store, fleet):
        self._node = node
        self._store = store
        self._key = configuration_key(fleet.name)
        self._prefix = peers_prefix(fleet.name)
        self._seeds = [seed.pair for seed in fleet.seeds]
        self._lease = None
        self._reachability = StoreReachability()

    async def find_peer_addresses(self):
        """Return a list of (host, port) of other nodes, from settings and store."""
        addresses = list(self._seeds)
        try:
            stored = await self._store.list(self._prefix)
        except StoreError as error:
            self._reachability.record_result(error)
        else:
            addresses += [a for a in map(_read_address, stored) if a is not None]
        own = self._node.membership.node.address
        return [address for address in dict.fromkeys(addresses) if address != own]

    async def keep_joining(self):
        """Join nodes that are not known yet: often while none is known, else rarely.

        If others are known, only watchers do so. Joining connects nodes that started
        before their seeds, and nodes that were separated by a network partition for
        longer than members are remembered.
        """
        while True:
            is_alone = not self._node.membership.peers()
            await anyio.sleep(
                ALONE_INTERVAL_SECONDS if is_alone else WATCHER_INTERVAL_SECONDS
            )
            if is_alone or self._node.membership.is_watcher:
                await self._node.join(await self.find_peer_addresses())

    async def load_initial(self):
        """Adopt the newest configuration of the store and a few peers, for the start.

        Raises
        ------
        NotReadyError
            If no configuration was found within `START_TIMEOUT_SECONDS`.
        """
        with anyio.move_on_after(START_TIMEOUT_SECONDS):
            while True:
                await self.read_store()
                # Peers may have a newer version, if the store has lost changes.
                if await self._fetch_from_peers():
                    return
                await anyio.sleep(RETRY_DELAY_SECONDS)
        raise NotReadyError("configuration from the store or from peers")

    async def read_store(self):
        """Read the document once and adopt it if it is newer.

        If neither the store nor this node has a document, the defaults are adopted.
        Returns whether a configuration is in force, False if the store call failed.
        """
        try:
            stored = await self._store.get(self._key)
        except StoreError as error:
            self._reachability.record_result(error)
            return False
        self._reachability.record_result(None)
        if stored is None:
            if self._node.configuration.policy is None:
                self._node.adopt_configuration(b"{}", "defaults")
        else:
            await self._adopt(stored)
        return self._node.configuration.policy is not None

    async def watch(self):
        """Watch the store while this node is a watcher, otherwise poll it rarely."""
        while True:
            if not self._node.membership.is_watcher:
                await self._poll()
                continue
            with anyio.move_on_after(WATCHER_INTERVAL_SECONDS):
                await self._watch_once()
            await self._publish_address()

    async def refresh_exceptions(self):
        """End expired exceptions at regular intervals."""
        while True:
            await anyio.sleep(REFRESH_EXCEPTIONS_INTERVAL_SECONDS)
            self._node.end_expired_exceptions(datetime.now(UTC))

    async def _watch_once(self):
        try:
            stored = await self._store.get(self._key)
            self._reachability.record_result(None)
            revision = 0
            if stored is not None:
                await self._adopt(stored)
                revision = stored.revision
            async for value in self._store.watch(self._key, revision + 1):
                if value is not None:
                    await self._adopt(value)
        except StoreError as error:
            self._reachability.record_result(error)
        await anyio.sleep(RETRY_DELAY_SECONDS)

    async def _poll(self):
        # The rate of reads by the whole fleet does not depend on its size.
        await anyio.sleep(POLL_INTERVAL_SECONDS * (0.5 + self._node.random.random()))
        fleet_size = len(self._node.membership.peers()) + 1
        if self._node.random.random() < FLEET_POLLS_PER_INTERVAL / fleet_size:
            await self.read_store()

    async def _adopt(self, stored):
        try:
            adoption = self._node.adopt_configuration(stored.value, "store")
        except DocumentError as error:
            self._node.report_refused_configuration("store", error)
            return
        if adoption is Adoption.OLDER:
            log_event(
                Event.CONFIGURATION_OLDER,
                revision=stored.revision,
                in_force=self._node.configuration.version,
            )
            await self._restore(stored)

    async def _restore(self, stored):
        # The store has lost changes: write the newest accepted document back.
        if self._node.membership.is_watcher:
            await self._store.replace(
                self._key, self._node.configuration.raw, stored.revision
            )

    async def _fetch_from_peers(self):
        asked = self._node.membership.peers()
        self._node.random.shuffle(asked)
        for member in asked[:MAX_PEERS_ASKED_AT_START]:
            await self._node.fetch_configuration_from(member)
        return self._node.configuration.policy is not None

    async def _publish_address(self):
        node = self._node.membership.node
        same_domain_watchers = [
            m.instance
            for m in self._node.membership.watchers()
            if m.domain == node.domain
        ]
        if node.instance not in same_domain_watchers:
            return
        key = f"{self._prefix}{node.domain}/{same_domain_watchers.index(node.instance)}"
        try:
            if self._lease is None or not await self._store.keep_lease(self._lease):
                self._lease = await self._store.grant_lease(ADDRESS_LEASE_SECONDS)
                value = json.dumps(list(node.address)).encode()
                await self._store.put(key, value, self._lease)
        except StoreError as error:
            self._lease = None
            self._reachability.record_result(error)
