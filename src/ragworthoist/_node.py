"""One node: the process of ragworthoist beside one backend server instance."""

import hashlib
import os
import random
import time
from collections import Counter

import anyio
from msgpack import UnpackException

from ragworthoist._dispatching import Dispatcher
from ragworthoist._document import Document
from ragworthoist._keeping import Keeper
from ragworthoist._outcomes import OutcomeTable
from ragworthoist._serving import Serving
from ragworthoist._tasks import TaskPool
from ragworthoist.core.configuration import Adoption, ConfigurationTable
from ragworthoist.core.entities import Reason, refuse
from ragworthoist.core.membership import Member, Membership
from ragworthoist.core.policy import Policy
from ragworthoist.core.routing import Router
from ragworthoist.events import Event, log_event
from ragworthoist.exceptions import DocumentError
from ragworthoist.net.backend import BackendClient
from ragworthoist.net.datagrams import Datagrams
from ragworthoist.net.entrance import Entrance, OnwardExit
from ragworthoist.net.httpserver import HttpServer, serve_operators
from ragworthoist.net.operators import Operators
from ragworthoist.net.peers import PeerTable
from ragworthoist.store import open_store

INSTANCE_BYTES = 8
TICK_SECONDS = 0.02
GOSSIP_TICK_SECONDS = 0.1
SERVER_PROBE_SECONDS = 0.2
LEAVING_GRACE_SECONDS = 2.0
DRAIN_POLL_SECONDS = 0.05
DRAIN_TIMEOUT_SECONDS = 120.0
FLUSH_SECONDS = 0.2
SURVEY_ROUNDS = 4
SURVEY_ROUND_SECONDS = 0.3


class Node:
    """Everything that one process holds, and the tasks that run it.

    Parameters
    ----------
    settings : Settings
        What this node is and where it listens.
    """

    def __init__(self, settings):
        self.settings = settings
        self.instance = os.urandom(INSTANCE_BYTES)
        self.key = hashlib.blake2b(settings.fleet.key.encode(), digest_size=32).digest()
        self.random = random.Random(self.instance)
        self.clock = time.monotonic
        self._wall_offset = time.time() - time.monotonic()
        self.started = self.clock()
        host, port = settings.node.peers.pair
        member = Member(
            self.instance,
            settings.node.service,
            settings.node.region,
            settings.node.failure_domain,
            host,
            port,
        )
        self.configuration = ConfigurationTable()
        self.membership = Membership(member, self.random, self.clock())
        self.router = Router(member, self.random)
        self.outcomes = OutcomeTable()
        self.open_requests = 0
        self.dispatcher = Dispatcher(self)
        self.peers = PeerTable(self, self.clock)
        self.datagrams = Datagrams(settings.node.peers.pair, self.key)
        self.serving = None
        self.tasks = None
        self._leaving = anyio.Event()
        self._operators_stopped = anyio.Event()

    @property
    def policy(self):
        """The configuration in force, None before the first."""
        return self.configuration.policy

    def wall_clock(self):
        """Return time comparable between nodes that never runs backwards here."""
        return self._wall_offset + self.clock()

    def own_endpoint(self, service):
        """Return this node as an endpoint of `service`, None if it is none."""
        return self.membership.node if self.membership.node.service == service else None

    async def run(self):
        """Serve until told to leave, then stop gracefully."""
        backend = BackendClient(self.settings.node.server.pair)
        async with (
            open_store(self.settings.store) as store,
            backend,
            self.datagrams,
            anyio.create_task_group() as group,
        ):
            self.tasks = TaskPool(group)
            self.serving = Serving(
                backend,
                self.instance,
                self.key,
                self.clock,
                self.wall_clock,
                Policy(Document()).service(self.settings.node.service),
                self.tasks,
            )
            await self._start(Keeper(self, store, self.settings.fleet))
            await self._leaving.wait()
            await self._drain()
            self.tasks.cancel()
        log_event(Event.NODE_STOPPED, instance=self.instance.hex())

    async def _start(self, keeper):
        node = self.settings.node
        log_event(
            Event.NODE_STARTED, instance=self.instance.hex(), service=node.service
        )
        start = self.tasks.start
        self.tasks.start_soon(
            serve_operators,
            Operators(self),
            node.operators.pair,
            self._operators_stopped,
        )
        await start(self.peers.serve, node.peers.pair, self.tasks)
        await self._wait_for_server(node.server.pair)
        await self.join(await keeper.find_peers())
        await keeper.load_first()
        self._entrance = HttpServer(Entrance(self), node.entrance.pair)
        self._onward = HttpServer(OnwardExit(self), node.onward.pair)
        await start(self._onward.run)
        await start(self._entrance.run)
        self.tasks.keep_running(self.datagrams.receive, self._on_message)
        self.tasks.keep_running(self._tick)
        self.tasks.keep_running(self._gossip)
        self.tasks.keep_running(keeper.watch)
        self.tasks.keep_running(keeper.keep_joining)
        self.tasks.keep_running(keeper.refresh_exceptions)
        log_event(Event.NODE_SERVING, configuration=self.configuration.version)

    async def _wait_for_server(self, address):
        while not self._leaving.is_set():
            try:
                stream = await anyio.connect_tcp(*address)
            except OSError:
                await anyio.sleep(SERVER_PROBE_SECONDS)
                continue
            await stream.aclose()
            return

    async def join(self, addresses):
        """Exchange members with the nodes at `addresses` that are not known."""
        known = {member.address for member in self.membership.peers()}
        for host, port in addresses:
            if (host, port) not in known:
                await self._exchange_with(Member(b"", "", "", "", host, port))

    async def _tick(self):
        while True:
            await anyio.sleep(TICK_SECONDS)
            self.serving.tick(self.clock())

    async def _gossip(self):
        while True:
            await anyio.sleep(GOSSIP_TICK_SECONDS)
            await self.datagrams.send(self.membership.tick(self.clock()))
            self._follow_up()

    async def _on_message(self, message, address):
        replies = self.membership.receive(message, address, self.clock())
        await self.datagrams.send(replies)
        self._follow_up()

    def _follow_up(self):
        """Start what the membership has found worth asking a peer for."""
        membership = self.membership
        self._log_changes()
        sync_with = membership.members.get(membership.sync_wanted)
        membership.sync_wanted = None
        if sync_with is not None and sync_with.is_present:
            self.tasks.start_soon(self._exchange_with, sync_with)
        newer = membership.members.get(membership.newer_configuration)
        membership.newer_configuration = None
        if newer is not None and newer.is_present:
            self.tasks.start_soon(self.fetch_configuration_from, newer)

    def _log_changes(self):
        membership = self.membership
        for member in membership.changed:
            log_event(
                Event.MEMBER_CHANGED,
                member=member.instance.hex(),
                service=member.service,
                state=member.state.name.lower(),
            )
        if membership.changed:
            members = membership.members.values()
            self.peers.close_idle({m.instance for m in members if not m.is_present})
        membership.changed.clear()
        if membership.paused_seconds:
            log_event(Event.NODE_WAS_PAUSED, seconds=membership.paused_seconds)
            membership.paused_seconds = 0.0

    async def _exchange_with(self, member):
        stream = await self.peers.open_to(member)
        if stream is None:
            return
        records = await stream.exchange(self.membership.snapshot())
        if records is not None:
            self._merge_records(records)

    async def fetch_configuration_from(self, member):
        """Adopt the configuration of `member` if it is newer."""
        stream = await self.peers.stream_to(member)
        raw = await stream.fetch() if stream is not None else None
        if not raw:
            return
        try:
            self.adopt_configuration(raw, member.instance.hex())
        except DocumentError as error:
            log_event(
                Event.CONFIGURATION_REFUSED,
                source=member.instance.hex(),
                error=str(error),
            )

    async def survey(self):
        """Ask every member which configuration it has in force.

        Returns
        -------
        dict
            The number of nodes by version, and the addresses that did not answer.
        """
        membership = self.membership
        membership.versions.clear()
        for _ in range(SURVEY_ROUNDS):
            missing = [m for m in membership.peers() if self._version_of(m) is None]
            if not missing:
                break
            await self.datagrams.send(membership.ask(missing))
            await anyio.sleep(SURVEY_ROUND_SECONDS)
        versions = Counter(self._version_of(m) for m in membership.peers())
        versions[self.configuration.version] += 1
        silent = [m.address for m in membership.peers() if self._version_of(m) is None]
        versions.pop(None, None)
        return {"versions": dict(versions), "silent": silent}

    def _version_of(self, member):
        return self.membership.versions.get(member.instance)

    def adopt_configuration(self, raw, source):
        """Put the document in `raw` in force if it is newer; return the `Adoption`."""
        adoption = self.configuration.offer(raw)
        if adoption is not Adoption.ADOPTED:
            return adoption
        version = self.configuration.version
        self.membership.configuration_version = version
        self._apply_policy()
        log_event(Event.CONFIGURATION_ADOPTED, version=version, source=source)
        self.tasks.start_soon(self.datagrams.send, self.membership.hint())
        return adoption

    def end_expired_exceptions(self, now):
        """Put the configuration in force without exceptions expired at `now`."""
        self.configuration.refresh_exceptions(now)
        self._apply_policy()

    def _apply_policy(self):
        self.serving.admission.apply(self.policy.service(self.settings.node.service))

    # What peer streams ask of their host.

    def serve_call(self, call, reply):
        """Take in a peer's call; return a handle for `cancel_call`."""
        if self.policy is None:
            reply(refuse(Reason.NO_CONFIGURATION, call))
            return None
        return self.serving.submit(call, reply)

    def cancel_call(self, handle):
        """End a peer's call."""
        self.serving.cancel(handle)

    def exchange_members(self, records):
        """Merge a peer's member records and return ours."""
        self._merge_records(records)
        return self.membership.snapshot()

    def fetch_configuration(self):
        """Return the raw document in force, empty before the first."""
        return self.configuration.raw

    def report_lost_peer(self, stream):
        """Drop a stream that has ended."""
        self.peers.forget(stream)
        log_event(Event.PEER_LOST, peer=stream.peer.hex())

    def report_refused_peer(self, peer, error):
        """Log a peer that broke the protocol or does not hold the fleet's key."""
        log_event(Event.PEER_REFUSED, peer=peer.hex(), error=str(error))

    def _merge_records(self, records):
        try:
            members = [Member.unpack(record) for record in records]
        except (TypeError, ValueError, IndexError, UnpackException) as error:
            log_event(Event.DATAGRAM_REFUSED, count=1, error=str(error))
            return
        self.membership.merge(members, self.clock())

    # Life cycle.

    def announce_server(self):
        """Note that the backend server says it is ready."""
        log_event(Event.SERVER_ANNOUNCED)

    def start_leaving(self):
        """Begin a graceful stop; may be called more than once."""
        if not self._leaving.is_set():
            log_event(Event.NODE_LEAVING, in_progress=self.in_progress)
            self._leaving.set()

    @property
    def in_progress(self):
        """Requests and calls that are not yet finished here."""
        serving = self.serving.in_progress if self.serving is not None else 0
        return serving + self.open_requests + self.peers.calls_in_progress

    def record_request(self, call, answer, seconds):
        """Count the outcome of a customer request."""
        self.outcomes.record(call.kind, call.rank, answer, seconds)

    async def _drain(self):
        self.serving.leaving = True
        await self.datagrams.send(self.membership.leave(self.clock()))
        await anyio.sleep(LEAVING_GRACE_SECONDS)
        self._entrance.stop()
        with anyio.move_on_after(DRAIN_TIMEOUT_SECONDS):
            while self.in_progress:
                await anyio.sleep(DRAIN_POLL_SECONDS)
            # The last answers may still lie in buffers.
            await self._entrance.finished.wait()
            await anyio.sleep(FLUSH_SECONDS)
        self._onward.stop()
        await self.datagrams.send(self.membership.depart(self.clock()))
        self._operators_stopped.set()
