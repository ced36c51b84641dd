"""Follows changes of the operators' configuration in the store.

Only some nodes watch the store, see `core.watching`. The others learn of a new version
from the heartbeats of those, and fetch it from them.
"""

import anyio

from ragworthoist.core.configuration import Adoption
from ragworthoist.core.watching import HEARTBEAT_INTERVAL_SECONDS, WatchDuty
from ragworthoist.events import Event, log_event
from ragworthoist.exceptions import DocumentError, HistoryGoneError, StoreError

RETRY_MIN_SECONDS = 0.1
RETRY_MAX_SECONDS = 1.0
ASK_PEERS_INTERVAL_SECONDS = 0.5
MAX_PEERS_ASKED = 3
DUTY_CHECK_SECONDS = 0.1


class ConfigurationFollower:
    """Keeps one node's configuration up to date.

    Parameters
    ----------
    node : FleetNode
        Supplies `clock`, `started`, `random`, `tasks`, `datagrams`, `discovery`,
        `membership`, `configuration`, `policy`, `adopt_configuration`,
        `report_refused_configuration` and `fetch_configuration_from`.
    store : object
        Client of the platform's store.
    key : str
        Key of the configuration in the store.
    reachability : StoreReachability
        Records whether the store is reachable.

    Attributes
    ----------
    confirmed_at : float or None
        When the store last answered a read or a watch of this node, and so confirmed
        which version is the newest.
    """

    def __init__(self, node, store, key, reachability):
        self._node = node
        self._store = store
        self._key = key
        self._reachability = reachability
        self._refused = None
        self._is_watching = False
        self.confirmed_at = None
        self.duty = WatchDuty(node.clock())

    async def follow(self):
        """Read the configuration and follow its changes until the node stops."""
        delay = RETRY_MIN_SECONDS
        while True:
            try:
                await self._read_and_watch()
                await self._wait_for_duty(True)
                delay = RETRY_MIN_SECONDS
            except HistoryGoneError:
                # Changes may have been missed: read again without a longer delay.
                delay = RETRY_MIN_SECONDS
            except StoreError as error:
                self._reachability.record_result(error)
            await anyio.sleep(delay * (0.5 + self._node.random.random()))
            delay = min(RETRY_MAX_SECONDS, 2 * delay)

    async def ask_peers(self):
        """Fetch the first configuration from peers.

        A node whose requests the store refuses depends on this.
        """
        while self._node.policy is None:
            await anyio.sleep(ASK_PEERS_INTERVAL_SECONDS)
            candidates = self._node.membership.peers()
            self._node.random.shuffle(candidates)
            for member in candidates[:MAX_PEERS_ASKED]:
                if self._node.policy is None:
                    await self._node.fetch_configuration_from(member)

    async def send_heartbeats(self):
        """Tell the failure domain that the watch of this node works, if it does."""
        membership = self._node.membership
        while True:
            await anyio.sleep(HEARTBEAT_INTERVAL_SECONDS)
            if self._is_watching and membership.is_watcher:
                await self._node.datagrams.send(membership.make_heartbeats())

    async def _read_and_watch(self):
        """Read the configuration, and watch it while that is this node's duty."""
        stored, position = await self._store.read(self._key)
        self._record_confirmation()
        if stored is not None:
            self._adopt(stored)
        if not self._is_on_duty():
            return
        # Stays None if the watch is cancelled because the duty has ended.
        failure = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_without_duty, tasks.cancel_scope)
            failure = await self._watch(position)
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _watch(self, position):
        """Adopt changes after `position`; return the `StoreError` that ends it."""
        self._is_watching = True
        try:
            async for value in self._store.watch(self._key, position):
                self._record_confirmation()
                if value is not None:
                    self._adopt(value)
        except StoreError as error:
            log_event(
                Event.WATCH_LOST,
                error=str(error),
                unconfirmed_seconds=round(self.unconfirmed_seconds, 3),
            )
            return error
        finally:
            self._is_watching = False
        return None

    @property
    def is_watching(self):
        """Whether a watch of this node waits for the store."""
        return self._is_watching

    @property
    def unconfirmed_seconds(self):
        """Seconds since `confirmed_at`, or since the start of the node."""
        since = self._node.started if self.confirmed_at is None else self.confirmed_at
        return self._node.clock() - since

    def _record_confirmation(self):
        self.confirmed_at = self._node.clock()
        self._reachability.record_result(None)

    async def _cancel_without_duty(self, scope):
        await self._wait_for_duty(False)
        scope.cancel()

    async def _wait_for_duty(self, is_on_duty):
        while self._is_on_duty() is not is_on_duty:
            await anyio.sleep(DUTY_CHECK_SECONDS)

    def _is_on_duty(self):
        node = self._node
        is_watcher = node.discovery.has_joined and node.membership.is_watcher
        return self.duty.evaluate(node.clock(), is_watcher)

    def _adopt(self, stored):
        try:
            adoption = self._node.adopt_configuration(stored.value, "store")
        except DocumentError as error:
            if stored != self._refused:
                self._refused = stored
                self._node.report_refused_configuration("store", error)
            return
        if adoption is Adoption.ADOPTED and self._is_watching:
            # The other nodes of the failure domain learn of the version at once.
            self._node.tasks.start_soon(
                self._node.datagrams.send, self._node.membership.make_heartbeats()
            )
        if adoption is Adoption.OLDER:
            log_event(
                Event.CONFIGURATION_OLDER,
                revision=stored.revision,
                in_force=self._node.configuration.version,
            )
