"""How a node gets the configuration, and tells the store where nodes are.

A few nodes, chosen by rendezvous in each failure domain, watch the store; all
others learn of a change from gossip and fetch the document from a peer. Two
watchers too many are harmless, so no lease guards the choice.
"""

import json
from datetime import UTC, datetime

import anyio

from ragworthoist.core.configuration import Adoption
from ragworthoist.events import Event, log_event
from ragworthoist.exceptions import DocumentError, NotReadyError, StoreError
from ragworthoist.store.dependency import StoreDependency

WATCHER_READ_SECONDS = 10.0
POLL_SECONDS = 10.0
POLLS_PER_INTERVAL = 2.0
RETRY_SECONDS = 0.5
ALONE_SECONDS = 0.5
PEER_LEASE_SECONDS = 30
PEERS_FOR_START = 3
START_TIMEOUT_SECONDS = 30.0
REFRESH_EXCEPTIONS_SECONDS = 5.0


def configuration_key(fleet):
    """Return the store key of the configuration document of `fleet`."""
    return f"ragworthoist/{fleet}/configuration"


def peers_prefix(fleet):
    """Return the store prefix under which `fleet` keeps addresses of a few nodes."""
    return f"ragworthoist/{fleet}/peers/"


class Keeper:
    """Keeps one node's configuration up to date.

    Parameters
    ----------
    node : object
        Supplies `configuration`, `membership`, `random`, `join`,
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
        self._dependency = StoreDependency()

    async def find_peers(self):
        """Return addresses of some nodes, from settings and the store."""
        addresses = list(self._seeds)
        try:
            for found in await self._store.list(self._prefix):
                host, port = json.loads(found.value)
                addresses.append((host, port))
        except (StoreError, ValueError) as error:
            self._dependency.note(error)
        own = self._node.membership.node.address
        return [address for address in dict.fromkeys(addresses) if address != own]

    async def keep_joining(self):
        """Look for nodes that this one does not know, more often while alone.

        Nodes that started before their seeds, or that were on two sides of a cut
        for longer than addresses are remembered, find one another here.
        """
        while True:
            alone = not self._node.membership.peers()
            await anyio.sleep(ALONE_SECONDS if alone else WATCHER_READ_SECONDS)
            if alone or self._node.membership.is_watcher:
                await self._node.join(await self.find_peers())

    async def load_first(self):
        """Get a configuration to start with: the newest of store and peers.

        Raises
        ------
        NotReadyError
            If neither has answered in `START_TIMEOUT_SECONDS`.
        """
        with anyio.move_on_after(START_TIMEOUT_SECONDS):
            while True:
                await self.read_store()
                # Peers are asked as well: the store may have lost changes.
                if await self._ask_peers():
                    return
                await anyio.sleep(RETRY_SECONDS)
        raise NotReadyError("configuration from the store or from peers")

    async def read_store(self):
        """Read the document once; return whether a configuration is in force."""
        try:
            found = await self._store.get(self._key)
        except StoreError as error:
            self._dependency.note(error)
            return False
        self._dependency.note(None)
        if found is None:
            if self._node.configuration.policy is None:
                self._node.adopt_configuration(b"{}", "defaults")
        else:
            await self._take(found)
        return self._node.configuration.policy is not None

    async def watch(self):
        """Keep watching the store while this node is chosen to, else poll rarely."""
        while True:
            if not self._node.membership.is_watcher:
                await self._poll()
                continue
            with anyio.move_on_after(WATCHER_READ_SECONDS):
                await self._watch_once()
            await self._write_address()

    async def refresh_exceptions(self):
        """End exceptions whose time has passed."""
        while True:
            await anyio.sleep(REFRESH_EXCEPTIONS_SECONDS)
            self._node.end_expired_exceptions(datetime.now(UTC))

    async def _watch_once(self):
        try:
            found = await self._store.get(self._key)
            self._dependency.note(None)
            revision = 0
            if found is not None:
                await self._take(found)
                revision = found.revision
            async for value in self._store.watch(self._key, revision + 1):
                await self._take(value)
        except StoreError as error:
            self._dependency.note(error)
        await anyio.sleep(RETRY_SECONDS)

    async def _poll(self):
        # All nodes together read the store a constant number of times.
        await anyio.sleep(POLL_SECONDS * (0.5 + self._node.random.random()))
        fleet_size = len(self._node.membership.peers()) + 1
        if self._node.random.random() < POLLS_PER_INTERVAL / fleet_size:
            await self.read_store()

    async def _take(self, found):
        try:
            adoption = self._node.adopt_configuration(found.value, "store")
        except DocumentError as error:
            log_event(Event.CONFIGURATION_REFUSED, source="store", error=str(error))
            return
        if adoption is Adoption.OLDER:
            log_event(
                Event.CONFIGURATION_OLDER,
                revision=found.revision,
                in_force=self._node.configuration.version,
            )
            await self._restore(found)

    async def _restore(self, found):
        # A store that lost changes gets back the newest that was accepted.
        if self._node.membership.is_watcher:
            await self._store.replace(
                self._key, self._node.configuration.raw, found.revision
            )

    async def _ask_peers(self):
        asked = self._node.membership.peers()
        self._node.random.shuffle(asked)
        for member in asked[:PEERS_FOR_START]:
            await self._node.fetch_configuration_from(member)
        return self._node.configuration.policy is not None

    async def _write_address(self):
        node = self._node.membership.node
        own_slot = [
            m.instance
            for m in self._node.membership.watchers()
            if m.domain == node.domain
        ]
        if node.instance not in own_slot:
            return
        key = f"{self._prefix}{node.domain}/{own_slot.index(node.instance)}"
        try:
            if self._lease is None or not await self._store.keep_lease(self._lease):
                self._lease = await self._store.grant_lease(PEER_LEASE_SECONDS)
                value = json.dumps(list(node.address)).encode()
                await self._store.put(key, value, self._lease)
        except StoreError as error:
            self._lease = None
            self._dependency.note(error)
