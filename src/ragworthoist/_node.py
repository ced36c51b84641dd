"""The node of the edge with tickets: one process beside one backend server."""

import hashlib
import time

import anyio

from ragworthoist._dispatching import Dispatcher
from ragworthoist._document import Document
from ragworthoist._fleet import FleetNode
from ragworthoist._forwarding import Forwarder
from ragworthoist._limits import make_connection_budget, make_memory_budget
from ragworthoist._outcomes import OutcomeTable
from ragworthoist._store_sync import StoreSync
from ragworthoist._tasks import TaskPool
from ragworthoist.core.configuration import ConfigurationTable
from ragworthoist.core.entities import Reason, refuse
from ragworthoist.core.policy import Policy
from ragworthoist.core.routing import Router
from ragworthoist.events import Event, log_event
from ragworthoist.net.backend import BackendClient
from ragworthoist.net.entrance import EntranceApplication, OnwardApplication
from ragworthoist.net.httpserver import HttpServer, serve_operators
from ragworthoist.net.operators import OperatorsApplication, dump_state
from ragworthoist.store import open_store

TICK_SECONDS = 0.02
SERVER_PROBE_SECONDS = 0.2
LEAVING_GRACE_SECONDS = 2.0
DRAIN_POLL_SECONDS = 0.05
DRAIN_TIMEOUT_SECONDS = 120.0
FLUSH_SECONDS = 0.2


class Node(FleetNode):
    """The state of one node, and the tasks that run it.

    Parameters
    ----------
    settings : Settings
        The settings of the node.
    """

    def __init__(self, settings):
        key = hashlib.blake2b(settings.fleet.key.encode(), digest_size=32).digest()
        memory = make_memory_budget(settings.limits)
        super().__init__(
            settings.node, key, time.monotonic, ConfigurationTable(), memory
        )
        self.settings = settings
        self._wall_offset = time.time() - time.monotonic()
        self.router = Router(self.membership.node, self.random)
        self.outcomes = OutcomeTable()
        self.open_requests = 0
        self.is_open = False
        self.dispatcher = Dispatcher(self)
        self.forwarder = None
        self._leaving = anyio.Event()
        self._operators_stopped = anyio.Event()

    def wall_clock(self):
        """Return the time in seconds since the epoch.

        It is comparable between nodes and never goes backwards within one process.
        """
        return self._wall_offset + self.clock()

    def own_endpoint(self, service):
        """Return this node as a member, None if it does not serve `service`."""
        return self.membership.node if self.membership.node.service == service else None

    async def run(self):
        """Serve until `start_leaving` is called, then stop gracefully."""
        backend = BackendClient(self.settings.node.server.pair, self.memory)
        async with (
            open_store(self.settings.store) as store,
            backend,
            self.datagrams,
            anyio.create_task_group() as group,
        ):
            self.tasks = TaskPool(group)
            self.forwarder = Forwarder(
                backend,
                self.instance,
                self.key,
                self.clock,
                self.wall_clock,
                Policy(Document()).service(self.settings.node.service),
                self.tasks,
                self.memory,
            )
            await self._start(StoreSync(self, store, self.settings.fleet))
            await self._leaving.wait()
            await self._drain()
            self.tasks.cancel()
        log_event(Event.NODE_STOPPED, instance=self.instance.hex())

    async def _start(self, store_sync):
        node = self.settings.node
        log_event(
            Event.NODE_STARTED, instance=self.instance.hex(), service=node.service
        )
        start = self.tasks.start
        self.tasks.start_soon(
            serve_operators,
            OperatorsApplication(self),
            node.operators.pair,
            self._operators_stopped,
        )
        await start(self.peers.serve, node.peers.pair, self.tasks)
        await self._wait_for_server(node.server.pair)
        await self.join(await store_sync.find_peer_addresses())
        await store_sync.load_initial()
        self._entrance = HttpServer(
            EntranceApplication(self),
            node.entrance.pair,
            self.memory,
            make_connection_budget(self.settings.limits),
        )
        self._onward = HttpServer(
            OnwardApplication(self), node.onward.pair, self.memory
        )
        await start(self._onward.run)
        await start(self._entrance.run)
        self.tasks.keep_running(self.datagrams.receive, self._on_message)
        self.tasks.keep_running(self._tick)
        self.tasks.keep_running(self._gossip)
        self.tasks.keep_running(store_sync.watch)
        self.tasks.keep_running(store_sync.keep_joining)
        self.tasks.keep_running(store_sync.refresh_exceptions)
        self.is_open = True
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

    async def _tick(self):
        while True:
            await anyio.sleep(TICK_SECONDS)
            self.forwarder.tick(self.clock())

    def end_expired_exceptions(self, now):
        """Apply the configuration without exceptions expired at `now` (a datetime)."""
        self.configuration.refresh_exceptions(now)
        self.apply_policy()

    def apply_policy(self):
        """Apply the admission policy of the configuration in force."""
        self.forwarder.admission.apply(self.policy.service(self.settings.node.service))

    # Interface for peer streams.

    def serve_call(self, call, reply):
        """Accept the call of a peer; return a handle for `cancel_call`.

        `reply` is called once with the `Answer`.
        """
        if self.policy is None:
            reply(refuse(Reason.NO_CONFIGURATION, call))
            return None
        return self.forwarder.submit(call, reply)

    def refuse_waiting_call(self, handle):
        """Refuse a peer's call that has not been forwarded; return whether so."""
        return self.forwarder.refuse_waiting_call(handle)

    def cancel_call(self, handle):
        """Cancel the call of a peer."""
        self.forwarder.cancel(handle)

    # Lifecycle.

    def announce_server(self):
        """Log that the backend server has announced that it is ready."""
        log_event(Event.SERVER_ANNOUNCED)

    def dump_state(self):
        """Return the complete state of the node as plain values."""
        return dump_state(self)

    def reload(self):
        """Do nothing on SIGHUP.

        Settings are read only at the start, and the configuration is read from the
        store.
        """

    def start_leaving(self):
        """Start a graceful stop; further calls have no effect."""
        if not self._leaving.is_set():
            log_event(Event.NODE_LEAVING, in_progress=self.in_progress)
            self._leaving.set()

    @property
    def in_progress(self):
        """Number of requests and calls in progress at this node."""
        server_calls = self.forwarder.in_progress if self.forwarder is not None else 0
        return server_calls + self.open_requests + self.peers.calls_in_progress

    def record_request(self, call, answer, seconds):
        """Count the outcome of a customer request that took `seconds`."""
        self.outcomes.record(call.kind, call.rank, answer, seconds)

    async def _drain(self):
        self.forwarder.is_leaving = True
        await self.datagrams.send(self.membership.announce_leaving(self.clock()))
        await anyio.sleep(LEAVING_GRACE_SECONDS)
        self._entrance.stop()
        with anyio.move_on_after(DRAIN_TIMEOUT_SECONDS):
            while self.in_progress:
                await anyio.sleep(DRAIN_POLL_SECONDS)
            # The last answers may still be in send buffers.
            await self._entrance.finished.wait()
            await anyio.sleep(FLUSH_SECONDS)
        self._onward.stop()
        await self.datagrams.send(self.membership.announce_left(self.clock()))
        self._operators_stopped.set()
