"""Discovery of nodes without seed addresses, by leased address records in the store.

A node reads the records of the others when it starts, and writes its own only if none
of them answers. From then on gossip updates the list of members. Only the watchers, a
few nodes of each failure domain chosen by rendezvous hashing, keep records, for nodes
that start later, and reread those of the others.
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
# Nodes of a fleet that starts as a whole wait for a random part of this time before
# they write a record, so that most of them find the records of a few.
MAX_RECORD_DELAY_SECONDS = 0.8
# Replaces the renewal interval while this node has no peers.
ALONE_INTERVAL_SECONDS = 1.0
# Reading the records again reunites a fleet that was partitioned. It is done rarely,
# because every read of the store is paid for.
REREAD_INTERVAL_SECONDS = 30.0
DEPARTURE_POLL_SECONDS = 0.2


class FleetDiscovery:
    """Publishes one node's address in the store and finds the other nodes.

    Parameters
    ----------
    node : EdgeNode
        Supplies `membership`, `random`, `clock`, `contact_members`.
    store : object
        Client of the platform's store.
    fleet : FleetSettings
        Name of the fleet, and whether it starts for the first time.
    reachability : StoreReachability
        Records whether the store is reachable.

    Attributes
    ----------
    has_joined : bool
        Whether the membership holds all nodes that have a record, or there are none.
    """

    def __init__(self, node, store, fleet, reachability):
        self._node = node
        self._store = store
        self._prefix = peers_prefix(fleet.name)
        self._is_first_start = fleet.first_start
        self._reachability = reachability
        self._lease = None
        # Era of the store in which the lease was granted.
        self._lease_era = None
        self._has_left = False
        self.has_joined = False

    async def run(self):
        """Join the fleet, then renew the record and reread those of the others.

        A node that has peers renews and rereads only while it is a watcher.
        """
        while not await self._join():
            await anyio.sleep(self._add_jitter(JOIN_RETRY_SECONDS))
        self.has_joined = True
        read_at = self._node.clock()
        while True:
            is_alone = not self._node.membership.peers()
            await self._wait_for_renewal(
                ALONE_INTERVAL_SECONDS if is_alone else RENEWAL_INTERVAL_SECONDS
            )
            if not is_alone and not self._node.membership.is_watcher:
                continue
            await self._renew_record()
            now = self._node.clock()
            if is_alone or now - read_at > REREAD_INTERVAL_SECONDS:
                read_at = now
                await self._read_records()

    async def leave(self):
        """Remove this node's record from the store, and write none any more."""
        self._has_left = True
        self._drop_lost_lease()
        if self._lease is None:
            return
        try:
            await self._store.end_lease(self._lease)
        except StoreError as error:
            self._reachability.record_result(error)

    async def _wait_for_renewal(self, seconds):
        """Wait for about `seconds`, less if this node should write a record.

        A member that leaves takes its record with it. If that was the only one, a node
        that starts then finds nobody. The same holds after the store was restored from
        a copy, which has none of the leases granted since.
        """
        membership = self._node.membership
        departures = membership.departures
        ends_at = self._node.clock() + self._add_jitter(seconds)
        while (left := ends_at - self._node.clock()) > 0:
            has_departure = membership.departures != departures
            has_no_record = self._lease is None and membership.is_watcher
            if has_departure and has_no_record:
                return
            if self._drop_lost_lease() and membership.is_watcher:
                return
            await anyio.sleep(min(left, DEPARTURE_POLL_SECONDS))

    def _drop_lost_lease(self):
        """Forget a lease of an earlier era of the store; return whether there was one.

        Its id may have been given out again, to another node.
        """
        is_lost = self._lease is not None and self._lease_era != self._store.era
        if is_lost:
            self._lease = None
        return is_lost

    async def _join(self):
        """Find the fleet; return False if the store does not answer."""
        has_answer = False
        if not self._is_first_start:
            has_answer = await self._read_records()
        if has_answer is False and self._lease is None:
            await anyio.sleep(MAX_RECORD_DELAY_SECONDS * self._node.random.random())
            has_answer = await self._read_records()
        if has_answer is not False:
            return has_answer is not None
        if self._lease is None and not await self._write_record():
            return False
        # Another node may have written its record at the same time.
        return await self._read_records() is not None

    async def _renew_record(self):
        self._drop_lost_lease()
        try:
            # The answer may be the first of another era.
            if (
                self._lease is not None
                and await self._store.keep_lease(self._lease)
                and not self._drop_lost_lease()
            ):
                return
        except StoreError as error:
            self._reachability.record_result(error)
            return
        await self._write_record()

    async def _write_record(self):
        if self._has_left:
            return False
        member = self._node.membership.node
        key = f"{self._prefix}{member.domain}/{member.host}:{member.port}"
        try:
            self._lease = await self._store.grant_lease(RECORD_LEASE_SECONDS)
            self._lease_era = self._store.era
            await self._store.put(key, msgpack.packb(member.pack()), self._lease)
            if self._has_left:
                await self._store.end_lease(self._lease)
        except StoreError as error:
            self._reachability.record_result(error)
            return False
        self._reachability.record_result(None)
        return True

    async def _read_records(self):
        """Contact the nodes with a record; return whether one of them has answered.

        Returns None if the store does not answer.
        """
        try:
            records = await self._store.list(self._prefix)
        except StoreError as error:
            self._reachability.record_result(error)
            return None
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
        own_address = self._node.membership.node.address
        if any(member.address != own_address for member in members):
            # Whether they still run is found out by contacting them. A record with the
            # own address is this node's, or that of an earlier process.
            self.has_joined = True
        return await self._node.contact_members(members)

    def _add_jitter(self, seconds):
        return seconds * (0.75 + 0.5 * self._node.random.random())
