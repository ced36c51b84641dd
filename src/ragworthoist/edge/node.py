"""A node of the edge for attempts, which runs beside one backend server."""

import contextlib
import hashlib
import os
import time
from collections import Counter

import anyio

from ragworthoist._fleet import FleetNode
from ragworthoist._limits import make_connection_budget, make_memory_budget
from ragworthoist._outcomes import OutcomeTable
from ragworthoist._settings import load_settings
from ragworthoist._tasks import TaskPool
from ragworthoist.core.budgets import FleetRetryBound, FleetRetryBudget
from ragworthoist.core.configuration import ConfigurationTable
from ragworthoist.core.pauses import PauseMeter
from ragworthoist.core.placement import Placement
from ragworthoist.core.planned_stop import PlannedStop
from ragworthoist.core.routes import Splitter
from ragworthoist.core.server_lifecycle import ServerLifecycle, ServerState
from ragworthoist.edge.discovery import FleetDiscovery
from ragworthoist.edge.dispatching import AttemptDispatcher
from ragworthoist.edge.entrance import AttemptEntrance
from ragworthoist.edge.following import ConfigurationFollower
from ragworthoist.edge.forwarding import Forwarder
from ragworthoist.edge.observing import Observer, dump_edge_state
from ragworthoist.edge.reporting import ServerReports
from ragworthoist.events import Event, log_event
from ragworthoist.exceptions import SettingsError
from ragworthoist.net.client import HttpClient
from ragworthoist.net.listener import Listener
from ragworthoist.platform.configuration import compile_routes
from ragworthoist.store import open_store
from ragworthoist.store.reachability import StoreReachability

TICK_SECONDS = 0.02
CHECK_SECONDS = 0.05
SETTINGS_POLL_SECONDS = 2.0
# A node that has not reached all others accepts clients after this time anyway, so
# that a restart of all machines is over well before clients give up.
DISCOVERY_TIMEOUT_SECONDS = 2.0
# No more clients are sent here after two failed readiness checks, made once a second.
ENTRANCE_GRACE_SECONDS = 2.6
# Gossip reaches all nodes of a region within about a second.
GOSSIP_SPREAD_SECONDS = 1.2
DRAIN_POLL_SECONDS = 0.05
MAX_CONTACTED_MEMBERS = 24
# Until it is ready, a node repeats its pings to members that have not answered. The
# process at such an address may just be starting, and tells that the member is gone.
CONTACT_INTERVAL_SECONDS = 0.2
MAX_CONTACTED_AGAIN = 8
# A member that leaves so many pings unanswered does not keep the node from being ready:
# the record of a machine that is gone stays in the store for some seconds.
MAX_UNANSWERED_PINGS = 3
MAX_EXCHANGE_ATTEMPTS = 3
OTHER_DOMAIN_FETCH_DELAY_SECONDS = 0.4


def read_clock():
    """Return the seconds of a clock that also runs while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class EdgeNode(FleetNode):
    """State of one node process, and the tasks that it runs.

    Parameters
    ----------
    settings : AttemptSettings
        Identity, addresses and bounds of this node.
    path : Path, optional
        The settings file, read again when it changes.
    """

    streams_bodies = True

    def __init__(self, settings, path=None):
        key = hashlib.blake2b(settings.fleet.key.encode(), digest_size=32).digest()
        table = ConfigurationTable(compile=compile_routes)
        memory = make_memory_budget(settings.limits)
        super().__init__(settings.node, key, read_clock, table, memory, accepting=False)
        self.settings = settings
        self._path = path
        self.bounds = settings.bounds
        server = settings.node.server
        self.lifecycle = ServerLifecycle(
            settings.node.service,
            f"{server.host}:{server.port}",
            self.bounds.drain_ms / 1000,
        )
        self.server_client = HttpClient(server.pair, memory)
        self.forwarder = Forwarder(self.lifecycle, self.server_client, self.clock)
        self.placement = Placement(self.membership.node, self.random)
        self.budget = FleetRetryBudget(_make_retry_bound(self.bounds))
        self.splitter = Splitter()
        self.dispatcher = AttemptDispatcher(self)
        self.outcomes = OutcomeTable()
        self.entrance = Listener(
            AttemptEntrance(self).handle,
            settings.node.entrance.pair,
            _log_malformed,
            memory,
            make_connection_budget(settings.limits),
        )
        self.pauses = PauseMeter()
        self.is_ready = False
        self.discovery = None
        self.follower = None
        self.store = None
        self._leaving = anyio.Event()
        self._server_state = ServerState.UNKNOWN
        self._next_contact = 0.0
        self._unanswered_pings = Counter()

    async def run(self):
        """Serve until `start_leaving` is called, then stop gracefully."""
        node = self.settings.node
        log_event(
            Event.NODE_STARTED, instance=self.instance.hex(), service=node.service
        )
        reports = ServerReports(self)
        observer = Observer(self)
        async with contextlib.AsyncExitStack() as stack:
            self.store = await stack.enter_async_context(
                open_store(self.settings.store)
            )
            await stack.enter_async_context(self.datagrams)
            await stack.enter_async_context(self.server_client)
            for handle, address in (
                (reports.handle, node.reports),
                (observer.answer_readiness, node.readiness),
                (observer.answer_metrics, node.metrics),
            ):
                if address is not None:
                    await stack.enter_async_context(
                        Listener(handle, address.pair, memory=self.memory)
                    )
            await stack.enter_async_context(self.entrance)
            group = await stack.enter_async_context(anyio.create_task_group())
            self.tasks = TaskPool(group)
            await self._start(reports)
            await self._leaving.wait()
            await self._drain()
            self.tasks.cancel()
        log_event(Event.NODE_STOPPED, instance=self.instance.hex())

    async def _start(self, reports):
        await self.tasks.start(
            self.peers.serve, self.settings.node.peers.pair, self.tasks
        )
        reachability = StoreReachability()
        self.follower = ConfigurationFollower(
            self, self.store, self.settings.store.configuration_key, reachability
        )
        self.discovery = FleetDiscovery(
            self, self.store, self.settings.fleet, reachability
        )
        for loop in (
            self.follower.follow,
            self.follower.send_heartbeats,
            self.discovery.run,
            self._tick,
            self._check,
            self._gossip,
            self._poll_settings,
        ):
            self.tasks.keep_running(loop)
        self.tasks.keep_running(self.datagrams.receive, self._on_message)
        self.tasks.start_soon(self.follower.ask_peers)
        self.tasks.start_soon(reports.verify_server)

    # Background loops.

    async def _on_message(self, message, address):
        await super()._on_message(message, address)
        if self.membership.is_heartbeat(message):
            # It may have waited in a buffer during a pause of the process.
            now = self.clock()
            self.follower.duty.record_heartbeat(now - self.pauses.measure(now))

    async def _tick(self):
        while True:
            await anyio.sleep(TICK_SECONDS)
            now = self.clock()
            self.pauses.tick(now)
            self.forwarder.tick(now)

    async def _check(self):
        while True:
            await anyio.sleep(CHECK_SECONDS)
            now = self.clock()
            self.peers.check(now)
            self.lifecycle.tick(now)
            await self.apply_server_state(now)
            if not self.is_ready:
                await self._advance_readiness(now)

    async def _advance_readiness(self, now):
        if self._can_become_ready(now):
            self.is_ready = True
            log_event(Event.NODE_READY, configuration=self.configuration.version)
        elif now >= self._next_contact:
            self._next_contact = now + CONTACT_INTERVAL_SECONDS
            await self._contact_unseen(MAX_CONTACTED_AGAIN)

    def _can_become_ready(self, now):
        if self.policy is None or self._leaving.is_set():
            return False
        if now - self.started > DISCOVERY_TIMEOUT_SECONDS:
            return True
        if not self.discovery.has_joined or self._is_configuration_behind():
            return False
        # Records in the store may be old: whether a node accepts calls is only known
        # once it has answered.
        return all(
            self._unanswered_pings[member.instance] > MAX_UNANSWERED_PINGS
            for member in self.membership.list_unseen()
        )

    def _is_configuration_behind(self):
        """Whether a peer has a newer configuration in force than this node."""
        versions = self.membership.configuration_versions
        return any(
            versions.get(member.instance, 0) > self.configuration.version
            for member in self.membership.peers()
        )

    async def _poll_settings(self):
        stamp = self._read_settings_stamp()
        while True:
            await anyio.sleep(SETTINGS_POLL_SECONDS)
            current = self._read_settings_stamp()
            if current != stamp:
                stamp = current
                self.reload()

    def _read_settings_stamp(self):
        if self._path is None:
            return None
        try:
            status = os.stat(self._path)
        except OSError as error:
            log_event(Event.SETTINGS_RELOADED, error=str(error))
            return None
        return status.st_mtime_ns, status.st_size

    def reload(self):
        """Read the settings file again; an invalid file changes nothing."""
        if self._path is None:
            return
        try:
            settings = load_settings(self._path)
        except SettingsError as error:
            log_event(Event.SETTINGS_RELOADED, error=str(error))
            return
        self.bounds = settings.bounds
        self.lifecycle.drain_seconds = self.bounds.drain_ms / 1000
        self.budget.bound = _make_retry_bound(self.bounds)
        log_event(Event.SETTINGS_RELOADED, error="")

    # The server beside this node.

    async def apply_server_state(self, now):
        """Apply the number of slots and the state of the server.

        A change of state is logged. Other members are notified if the server starts
        or stops accepting calls.
        """
        state = self.lifecycle.state
        if self.lifecycle.slots:
            self.forwarder.apply_slots(self.lifecycle.slots)
        if state is self._server_state:
            return
        previous, self._server_state = self._server_state, state
        log_event(
            Event.SERVER_STATE_CHANGED,
            server=self.lifecycle.instance,
            state=state.value,
            previous=previous.value,
            sequence=self.lifecycle.sequence,
        )
        accepting = self.lifecycle.is_ready and not self._leaving.is_set()
        await self.datagrams.send(self.membership.set_accepting(accepting, now))

    # Members and configuration.

    async def fetch_configuration_from(self, member):
        """Fetch the configuration of `member` and adopt it if it is newer.

        If the member is in another failure domain, a watcher of the own domain is given
        time to bring the same version without traffic between the domains.
        """
        if member.domain != self.membership.node.domain and self.policy is not None:
            await anyio.sleep(OTHER_DOMAIN_FETCH_DELAY_SECONDS)
            offered = self.membership.configuration_versions.get(member.instance, 0)
            if offered <= self.configuration.version:
                return
        await super().fetch_configuration_from(member)

    async def contact_members(self, members):
        """Merge records of `members` and announce this node to them.

        Returns whether one of them has answered.
        """
        self.membership.merge(members, self.clock())
        await self._contact_unseen()
        # Only a few nodes keep records in the store. An exchange with one of them
        # returns the remaining members.
        peers = self.membership.peers()
        self.random.shuffle(peers)
        domain = self.membership.node.domain
        peers.sort(key=lambda member: member.domain != domain)
        has_answer = False
        for member in peers[:MAX_EXCHANGE_ATTEMPTS]:
            has_answer = await self.exchange_with(member)
            if has_answer:
                await self._contact_unseen()
                break
        self._start_requested_exchanges()
        return has_answer

    async def _contact_unseen(self, count=MAX_CONTACTED_MEMBERS):
        unseen = self.membership.list_unseen()
        self.random.shuffle(unseen)
        # Those that were pinged least come first.
        unseen.sort(key=lambda member: self._unanswered_pings[member.instance])
        contacted = unseen[:count]
        self._unanswered_pings.update(member.instance for member in contacted)
        await self.datagrams.send(self.membership.make_pings(contacted))

    def apply_policy(self):
        """Apply the request limits of the configuration at the entrance."""
        self.entrance.limits = self.policy.limits

    def serve_call(self, call, reply):
        """Accept or refuse a peer's call.

        Returns
        -------
        PendingCall or None
            A handle for `cancel_call`, None if the call was refused.
        """
        # The call may have waited during a pause of the process; that time counts.
        call.deadline -= self.pauses.measure(self.clock())
        return self.forwarder.submit(call, reply)

    def cancel_call(self, handle):
        """Cancel a peer's call."""
        self.forwarder.cancel(handle)

    def refuse_waiting_call(self, handle):
        """Refuse a peer's call that has not been forwarded; return whether so."""
        return self.forwarder.refuse_waiting_call(handle)

    # Lifecycle.

    def dump_state(self):
        """Return the state of the node's tables as plain values."""
        return dump_edge_state(self)

    def start_leaving(self):
        """Begin a graceful stop; further calls have no effect."""
        if not self._leaving.is_set():
            self.is_ready = False
            log_event(Event.NODE_LEAVING, in_progress=self.in_progress)
            self._leaving.set()

    @property
    def is_leaving(self):
        """Whether a graceful stop has begun."""
        return self._leaving.is_set()

    @property
    def in_progress(self):
        """Number of requests and calls that this node has not finished."""
        return self.entrance.open_requests + self.forwarder.in_progress

    async def _drain(self):
        stop = PlannedStop(self.clock(), self.bounds.grace_seconds)
        self.forwarder.planned_stop = stop
        self.entrance.drain()
        self.tasks.start_soon(self.discovery.leave)
        # Until clients are sent elsewhere, the node serves them and the server
        # serves peers. Peers are notified just early enough for the message to
        # reach all of them by then.
        await anyio.sleep(ENTRANCE_GRACE_SECONDS - GOSSIP_SPREAD_SECONDS)
        await self.datagrams.send(self.membership.announce_leaving(self.clock()))
        await anyio.sleep(GOSSIP_SPREAD_SECONDS)
        self.forwarder.is_leaving = True
        await self.entrance.stop_accepting()
        while self.clock() < stop.exits_at and (
            self.in_progress
            or self.entrance.connections
            # Answers that are still sent to peers.
            or self.peers.calls_in_progress
        ):
            await anyio.sleep(DRAIN_POLL_SECONDS)
        await self.datagrams.send(self.membership.announce_left(self.clock()))


def _make_retry_bound(bounds):
    return FleetRetryBound(
        bounds.repeat_ratio, bounds.repeat_extra, bounds.repeat_window_seconds
    )


def _log_malformed(status):
    log_event(Event.REQUEST_MALFORMED, status=status)
