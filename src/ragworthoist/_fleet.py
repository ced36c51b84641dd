"""The part of a node that is common to both edges: members, streams, configuration.

An edge is the interface of a node to its clients. The node class of each edge derives
from `FleetNode`: `_node.Node` issues tickets to customers, `edge.node.EdgeNode` serves
clients that send attempts with their own attempt ids.
"""

import os
import random
from collections import Counter

import anyio

from ragworthoist.core.configuration import Adoption
from ragworthoist.core.members import Member, unpack_members
from ragworthoist.core.membership import Membership
from ragworthoist.events import Event, log_event
from ragworthoist.exceptions import DocumentError
from ragworthoist.net.datagrams import Datagrams
from ragworthoist.net.peers import PeerTable

INSTANCE_ID_BYTES = 8
GOSSIP_TICK_SECONDS = 0.1
SURVEY_ROUNDS = 4
SURVEY_ROUND_SECONDS = 0.3


class FleetNode:
    """One member of the fleet.

    Parameters
    ----------
    node_settings : object
        Settings with `service`, `region`, `failure_domain` and `peers` (an `Address`).
    key : bytes
        The fleet's key.
    clock : callable
        Monotonic time in seconds.
    configuration : ConfigurationTable
        The configuration in force.
    memory : MemoryBudget
        Counts what the process holds for clients, servers and peers.
    accepting : bool
        Whether the backend server accepts calls from the start.
    """

    def __init__(
        self, node_settings, key, clock, configuration, memory, accepting=True
    ):
        self.memory = memory
        self.instance = os.urandom(INSTANCE_ID_BYTES)
        self.key = key
        self.clock = clock
        self.random = random.Random(self.instance)
        self.started = clock()
        host, port = node_settings.peers.pair
        member = Member(
            self.instance,
            node_settings.service,
            node_settings.region,
            node_settings.failure_domain,
            host,
            port,
            accepting=accepting,
        )
        self.configuration = configuration
        self.membership = Membership(member, self.random, clock())
        self.peers = PeerTable(self, clock)
        self.datagrams = Datagrams(node_settings.peers.pair, key)
        self.tasks = None

    @property
    def policy(self):
        """The policy of the configuration in force, None if there is none yet."""
        return self.configuration.policy

    async def join(self, addresses):
        """Exchange member records with nodes at `addresses` that are not known yet.

        `addresses` is an iterable of (host, port).
        """
        known = {member.address for member in self.membership.peers()}
        for host, port in addresses:
            if (host, port) not in known:
                await self.exchange_with(Member(b"", "", "", "", host, port))

    async def _gossip(self):
        while True:
            await anyio.sleep(GOSSIP_TICK_SECONDS)
            await self.datagrams.send(self.membership.tick(self.clock()))
            self._start_requested_exchanges()

    async def _on_message(self, message, address):
        replies = self.membership.receive(message, address, self.clock())
        await self.datagrams.send(replies)
        self._start_requested_exchanges()

    def _start_requested_exchanges(self):
        """Log changes of members, and start the requests to peers that are due."""
        membership = self.membership
        self._log_changes()
        sync_with = membership.members.get(membership.sync_peer)
        membership.sync_peer = None
        if sync_with is not None and sync_with.is_present:
            self.tasks.start_soon(self.exchange_with, sync_with)
        newer = membership.members.get(membership.newer_configuration_peer)
        membership.newer_configuration_peer = None
        if newer is not None and newer.is_present:
            self.tasks.start_soon(self.fetch_configuration_from, newer)

    def _log_changes(self):
        membership = self.membership
        for member in membership.changed_members:
            log_event(
                Event.MEMBER_CHANGED,
                member=member.instance.hex(),
                service=member.service,
                state=member.state.name.lower(),
            )
        if membership.changed_members:
            members = membership.members.values()
            self.peers.close_idle({m.instance for m in members if not m.is_present})
        membership.changed_members.clear()
        if membership.paused_seconds:
            log_event(Event.NODE_WAS_PAUSED, seconds=membership.paused_seconds)
            membership.paused_seconds = 0.0

    async def exchange_with(self, member):
        """Exchange all member records with `member`; return whether it answered."""
        stream = await self.peers.connect_to(member)
        records = None
        if stream is not None:
            records = await stream.exchange(self.membership.snapshot())
        if records is None:
            return False
        self._merge_records(records, stream.peer)
        return True

    async def fetch_configuration_from(self, member):
        """Fetch the configuration of `member` and adopt it if it is newer."""
        stream = await self.peers.get_stream(member)
        raw = await stream.fetch() if stream is not None else None
        if not raw:
            return
        try:
            self.adopt_configuration(raw, member.instance.hex())
        except DocumentError as error:
            self.report_refused_configuration(member.instance.hex(), error)

    async def survey(self):
        """Ask every member for the version of its configuration in force.

        Returns
        -------
        dict
            `versions`, the number of nodes by version, and `silent`, the addresses of
            members that did not answer in `SURVEY_ROUNDS` rounds.
        """
        membership = self.membership
        membership.configuration_versions.clear()
        for _ in range(SURVEY_ROUNDS):
            missing = [m for m in membership.peers() if self._version_of(m) is None]
            if not missing:
                break
            await self.datagrams.send(membership.make_pings(missing))
            await anyio.sleep(SURVEY_ROUND_SECONDS)
        versions = Counter(self._version_of(m) for m in membership.peers())
        versions[self.configuration.version] += 1
        silent = [m.address for m in membership.peers() if self._version_of(m) is None]
        versions.pop(None, None)
        return {"versions": dict(versions), "silent": silent}

    def _version_of(self, member):
        return self.membership.configuration_versions.get(member.instance)

    def adopt_configuration(self, raw, source):
        """Put the document in `raw` in force if it is newer.

        Parameters
        ----------
        raw : bytes
            The document.
        source : str
            Origin of the document, for the log.

        Returns
        -------
        Adoption
            Whether it was adopted, and if not, why.

        Raises
        ------
        DocumentError
            If the document is invalid.
        """
        adoption = self.configuration.offer(raw)
        if adoption is not Adoption.ADOPTED:
            return adoption
        version = self.configuration.version
        self.membership.configuration_version = version
        self.apply_policy()
        log_event(Event.CONFIGURATION_ADOPTED, version=version, source=source)
        self.tasks.start_soon(self.datagrams.send, self.membership.make_hints())
        return adoption

    def report_refused_configuration(self, source, error):
        """Count and log a document that is invalid; `error` is a `DocumentError`."""
        self.configuration.record_refusal(str(error))
        log_event(
            Event.CONFIGURATION_REFUSED,
            source=source,
            error=str(error),
            in_force=self.configuration.version,
        )

    def apply_policy(self):
        """Apply the configuration in force; the node classes override this."""

    # Interface for peer streams.

    def exchange_members(self, records, peer):
        """Merge the member records of `peer` and return those of this node."""
        self._merge_records(records, peer)
        return self.membership.snapshot()

    def fetch_configuration(self):
        """Return the document in force as bytes, empty if there is none yet."""
        return self.configuration.raw

    def report_lost_peer(self, stream):
        """Remove and log a peer stream that has ended."""
        self.peers.forget(stream)
        log_event(Event.PEER_LOST, peer=stream.peer.hex())

    def report_refused_peer(self, peer, error):
        """Log a peer that violated the protocol or did not prove it has the key."""
        log_event(Event.PEER_REFUSED, peer=peer.hex(), error=str(error))

    def _merge_records(self, records, peer):
        members, errors = unpack_members(records)
        if errors:
            log_event(Event.DATAGRAM_REFUSED, count=len(errors), error=str(errors[0]))
        self.membership.merge(members, self.clock(), peer)
