"""Discovery of nodes without seed addresses, by leased address records in the store.

A node writes its record when it starts and reads the records of the others once. From
then on gossip maintains the members. Only a few nodes of each failure domain, chosen
by rendezvous hashing, keep renewing their records for nodes that start later.
"""

import anyio
import msgpack

from ragworthoist._store_sync import peers_prefix
from ragworthoist.core.members import Member
from ragworthoist.events import Event, log_event
from ragworthoist.exceptions import StoreError

RECORD_LEASE_SECONDS = 15.0
RENEWAL_INTERVAL_SECONDS = 5.0
JOIN_RETRY_SECONDS = 0.4
# Replaces the renewal interval while this node has no peers.
ALONE_INTERVAL_SECONDS = 1.0
# Reading the records again reunites a fleet that was partitioned. It is done rarely,
# because every read of the store is paid for.
REREAD_INTERVAL_SECONDS = 30.0


class FleetDiscovery:
    """Publishes one node's address in the store and finds the other nodes.

    Parameters
    ----------
    node : EdgeNode
        Supplies `membership`, `random`, `clock`, `contact_members`.
    store : object
        Client of the platform's store.
    fleet : str
        Name of the fleet.
    reachability : StoreReachability
        Records whether the store is reachable.
    """

    def __init__(self, node, store, fleet, reachability):
        self._node = node
        self._store = store
        self._prefix = peers_prefix(fleet)
        self._reachability = reachability
        self._lease = None
        self.has_joined = False

    async def run(self):
        """Join the fleet, then renew the record and reread those of the others.

        A node that has peers does so only while it is chosen to.
        """
        while not self.has_joined:
            self.has_joined = await self._join()
            if not self.has_joined:
                await anyio.sleep(self._add_jitter(JOIN_RETRY_SECONDS))
        read_at = self._node.clock()
        while True:
            is_alone = not self._node.membership.peers()
            await anyio.sleep(
                self._add_jitter(
                    ALONE_INTERVAL_SECONDS if is_alone else RENEWAL_INTERVAL_SECONDS
                )
            )
            if not is_alone and not self._node.membership.is_watcher:
                continue
            await self._renew_record()
            now = self._node.clock()
            if is_alone or now - read_at > REREAD_INTERVAL_SECONDS:
                read_at = now
                await self._read_records()

    async def leave(self):
        """Remove this node's record from the store."""
        if self._lease is None:
            return
        try:
            await self._store.end_lease(self._lease)
        except StoreError as error:
            self._reachability.record_result(error)

    async def _join(self):
        return await self._write_record() and await self._read_records()

    async def _renew_record(self):
        try:
            if self._lease is not None and await self._store.keep_lease(self._lease):
                return
        except StoreError as error:
            self._reachability.record_result(error)
            return
        await self._write_record()

    async def _write_record(self):
        member = self._node.membership.node
        key = f"{self._prefix}{member.domain}/{member.host}:{member.port}"
        try:
            self._lease = await self._store.grant_lease(RECORD_LEASE_SECONDS)
            await self._store.put(key, msgpack.packb(member.pack()), self._lease)
        except StoreError as error:
            self._reachability.record_result(error)
            return False
        self._reachability.record_result(None)
        return True

    async def _read_records(self):
        try:
            records = await self._store.list(self._prefix)
        except StoreError as error:
            self._reachability.record_result(error)
            return False
        self._reachability.record_result(None)
        members = []
        for record in records:
            try:
                members.append(Member.unpack(msgpack.unpackb(record.value)))
            except (ValueError, TypeError, IndexError) as error:
                log_event(
                    Event.DATAGRAM_REFUSED,
                    count=1,
                    error=f"{record.key} in the store is malformed: {error!r}",
                )
        await self._node.contact_members(members)
        return True

    def _add_jitter(self, seconds):
        return seconds * (0.75 + 0.5 * self._node.random.random())
