"""How a node follows the operators' configuration in the store."""

import anyio

from ragworthoist.core.configuration import Adoption
from ragworthoist.events import Event, log_event
from ragworthoist.exceptions import DocumentError, HistoryGoneError, StoreError

RETRY_MIN_SECONDS = 0.1
RETRY_MAX_SECONDS = 1.0
ASK_PEERS_SECONDS = 0.5
PEERS_ASKED = 3


class ConfigurationFollower:
    """Keeps one node's configuration up to date.

    Parameters
    ----------
    node : FleetNode
        Supplies `configuration`, `membership`, `adopt_configuration` and
        `fetch_configuration_from`.
    store : object
        The platform's store.
    key : str
        Where the configuration stands.
    reachability : StoreReachability
        Told whether the store answers.
    """

    def __init__(self, node, store, key, reachability):
        self._node = node
        self._store = store
        self._key = key
        self._reachability = reachability
        self._refused = None

    async def follow(self):
        """Read the configuration and watch it, for as long as the node runs."""
        pause = RETRY_MIN_SECONDS
        while True:
            try:
                await self._read_and_watch()
                pause = RETRY_MIN_SECONDS
            except HistoryGoneError:
                # Changes may have been missed: read afresh without a longer pause.
                pause = RETRY_MIN_SECONDS
            except StoreError as error:
                self._reachability.record_result(error)
            await anyio.sleep(pause * (0.5 + self._node.random.random()))
            pause = min(RETRY_MAX_SECONDS, 2 * pause)

    async def ask_peers(self):
        """Get a first configuration from peers, for a node the store turns away."""
        while self._node.policy is None:
            await anyio.sleep(ASK_PEERS_SECONDS)
            asked = self._node.membership.peers()
            self._node.random.shuffle(asked)
            for member in asked[:PEERS_ASKED]:
                if self._node.policy is None:
                    await self._node.fetch_configuration_from(member)

    async def _read_and_watch(self):
        found = await self._store.get(self._key)
        self._reachability.record_result(None)
        if found is None:
            return
        self._take(found)
        async for value in self._store.watch(self._key, found.revision + 1):
            self._reachability.record_result(None)
            self._take(value)

    def _take(self, found):
        try:
            adoption = self._node.adopt_configuration(found.value, "store")
        except DocumentError as error:
            if self._refused != found.revision:
                self._refused = found.revision
                log_event(Event.CONFIGURATION_REFUSED, source="store", error=str(error))
            return
        if adoption is Adoption.OLDER:
            log_event(
                Event.CONFIGURATION_OLDER,
                revision=found.revision,
                in_force=self._node.configuration.version,
            )
