"""Which nodes call the store for the configuration, and who learns of a change.

Guards against calls to the store that grow with the fleet, and against a node that can
reach the store but is not told of a change.
"""

import asyncio
import random
from types import SimpleNamespace

import anyio
import pytest
from fakes import VirtualLoop

from ragworthoist.core.configuration import ConfigurationTable
from ragworthoist.core.members import Member
from ragworthoist.core.membership import Membership
from ragworthoist.core.watching import MAX_SILENCE_SECONDS, WatchDuty
from ragworthoist.edge.discovery import FleetDiscovery
from ragworthoist.edge.following import ConfigurationFollower
from ragworthoist.exceptions import (
    DocumentError,
    HistoryGoneError,
    StoreUnavailableError,
)
from ragworthoist.store import StoredValue
from ragworthoist.store.reachability import StoreReachability

# Time within which a change has to be in force, from its acknowledgement.
APPLY_SECONDS = 2.0


class Store:
    """The store, as one or more nodes see it; calls of `cut` nodes fail."""

    def __init__(self):
        self.calls = 0
        self.era = 0
        self.records = {}
        self.leases = []
        self.value = None
        self.revision = 10
        self.changed = asyncio.Event()

    def write(self, version):
        self.revision += 1
        self.value = StoredValue("routes", b"%d" % version, self.revision)
        self.changed.set()
        self.changed = asyncio.Event()

    def restore(self):
        """Come back from a copy that has no record yet, and cut the watches."""
        self.era += 1
        self.revision -= 1
        self.value = StoredValue("routes", self.value.value, self.revision)
        self.records = {}
        self.leases = []
        self.changed.set()
        self.changed = asyncio.Event()

    async def count_call(self):
        self.calls += 1
        await asyncio.sleep(0.004)

    async def read(self, _key):
        await self.count_call()
        return self.value, self.revision

    async def watch(self, _key, revision):
        era = self.era
        while True:
            await self.count_call()
            while self.value is None or self.value.revision <= revision:
                await self.changed.wait()
                if self.era != era:
                    raise HistoryGoneError(revision)
            revision = self.revision
            yield self.value

    async def list(self, _prefix):
        await self.count_call()
        return list(self.records.values())

    async def grant_lease(self, _seconds):
        await self.count_call()
        self.leases.append(set())
        return len(self.leases)

    async def put(self, key, value, lease):
        await self.count_call()
        self.records[key] = StoredValue(key, value, 1)
        self.leases[lease - 1].add(key)

    async def keep_lease(self, lease):
        # A renewal costs a tenth of a call.
        self.calls += 0.1
        return lease <= len(self.leases) and self.leases[lease - 1] is not None

    async def end_lease(self, lease):
        await self.count_call()
        for key in self.leases[lease - 1] or ():
            self.records.pop(key, None)
        self.leases[lease - 1] = None


class CutStore(Store):
    async def count_call(self):
        await asyncio.sleep(1.0)
        raise StoreUnavailableError("read", "cut")


def compile_version(raw, _now=None):
    if not raw.isdigit():
        raise DocumentError("routes", "document", raw, "a version")
    return SimpleNamespace(version=int(raw))


class Node:
    """A node of a fleet whose datagrams and streams are function calls."""

    def __init__(self, fleet, number, domain, store, first_start=True, run=0):
        self.fleet = fleet
        self.clock = asyncio.get_running_loop().time
        self.started = self.clock()
        self.random = random.Random(number)
        self.store = store
        self.is_cut = False
        instance = b"%04d%04d" % (run, number)
        member = Member(instance, "s", "r", domain, f"10.0.0.{number}", 1)
        self.membership = Membership(member, self.random, self.clock())
        self.configuration = ConfigurationTable(compile=compile_version)
        self.datagrams = self
        self.tasks = None
        reachability = StoreReachability()
        self.discovery = FleetDiscovery(
            self,
            store,
            SimpleNamespace(name="f", first_start=first_start),
            reachability,
        )
        self.follower = ConfigurationFollower(self, store, "routes", reachability)
        self.adopted = {}
        self.refusals = []

    @property
    def policy(self):
        return self.configuration.policy

    @property
    def address(self):
        return self.membership.node.address

    def adopt_configuration(self, raw, _source):
        adoption = self.configuration.offer(raw)
        self.membership.configuration_version = self.configuration.version
        self.adopted.setdefault(self.configuration.version, self.clock())
        return adoption

    def report_refused_configuration(self, _source, error):
        self.refusals.append(str(error))

    async def contact_members(self, members):
        self.membership.merge(members, self.clock())
        found = False
        for member in members:
            peer = self.fleet.get(member.address)
            if peer is not None and peer is not self:
                peer.membership.merge([self.membership.node], self.clock())
                self.membership.merge(
                    list(peer.membership.members.values()), self.clock()
                )
                found = True
        return found

    async def send(self, datagrams):
        for message, address in datagrams:
            peer = self.fleet[address]
            if self.is_cut or peer.is_cut:
                continue
            peer.membership.receive(message, self.address, self.clock())
            if peer.membership.is_heartbeat(message):
                peer.follower.duty.record_heartbeat(self.clock())
            if message.configuration_version > peer.configuration.version:
                peer.adopt_configuration(self.configuration.raw, "peer")

    async def gossip(self):
        """Exchange records with a random node twice a second."""
        while True:
            await asyncio.sleep(0.4 + 0.2 * self.random.random())
            peer = self.random.choice(list(self.fleet.values()))
            if not (self.is_cut or peer.is_cut):
                await self.contact_members([peer.membership.node])


def play(size, scenario, domains=3, cut=(), **store_options):
    """Run a fleet of `size` nodes; return it after `scenario(fleet, store)`."""

    fleet = {}

    async def run():
        store = Store(**store_options)
        for number in range(size):
            node_store = CutStore() if number in cut else store
            node = Node(fleet, number, f"d{number % domains}", node_store)
            fleet[node.address] = node
        async with anyio.create_task_group() as tasks:
            for node in fleet.values():
                node.tasks = tasks
                for loop in (
                    node.discovery.run,
                    node.follower.follow,
                    node.follower.send_heartbeats,
                    node.gossip,
                ):
                    tasks.start_soon(loop)
            result = await scenario(list(fleet.values()), store)
            tasks.cancel_scope.cancel()
        return result

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        result = runner.run(run())
    assert all(not node.refusals for node in fleet.values())
    return result


async def play_calm_day(nodes, store):
    """Three changes in 40 s; return the calls to the store by node."""
    await asyncio.sleep(3.0)
    store.write(1)
    for version in (2, 3):
        await asyncio.sleep(15.0)
        store.write(version)
    await asyncio.sleep(7.0)
    assert all(node.configuration.version == 3 for node in nodes)
    return store.calls / len(nodes)


@pytest.mark.parametrize(("size", "most"), [(12, 9.0), (60, 5.0)])
def test_calls_per_node_fall_with_the_size_of_the_fleet(size, most):
    assert play(size, play_calm_day) < most


@pytest.mark.parametrize("size", [1, 3, 40])
def test_first_configuration_reaches_every_node(size):
    async def scenario(nodes, store):
        await asyncio.sleep(5.0)
        store.write(1)
        written = asyncio.get_running_loop().time()
        await asyncio.sleep(APPLY_SECONDS)
        return [node.adopted[1] - written for node in nodes]

    assert len(play(size, scenario)) == size


def is_watcher(node):
    return node.membership.is_watcher


@pytest.mark.parametrize("delay", [0.0, 0.1, 0.5, 1.0, 3.0])
@pytest.mark.parametrize("victims", ["watchers", "others", "one"])
def test_change_reaches_nodes_that_are_cut_off_from_their_peers(victims, delay):
    """They still reach the store, and none of the watchers."""

    async def scenario(nodes, store):
        store.write(1)
        await asyncio.sleep(10.0)
        chosen = [
            node
            for node in nodes
            if victims == "one" or is_watcher(node) is (victims == "watchers")
        ]
        for node in chosen[: 1 if victims == "one" else None]:
            node.is_cut = True
        await asyncio.sleep(delay)
        store.write(2)
        await asyncio.sleep(APPLY_SECONDS)
        return [node.configuration.version for node in nodes]

    assert set(play(18, scenario)) == {2}


def test_node_that_the_store_turns_away_learns_of_changes_from_its_watchers():
    async def scenario(nodes, store):
        store.write(1)
        for node in nodes:
            node.discovery.has_joined = True
            await node.contact_members([n.membership.node for n in nodes])
        await asyncio.sleep(10.0)
        store.write(2)
        await asyncio.sleep(APPLY_SECONDS)
        return [node.configuration.version for node in nodes]

    assert set(play(18, scenario, cut=(1, 4, 7))) == {2}


@pytest.mark.parametrize(
    ("events", "now", "is_on_duty"),
    [
        ([], 0.5, False),
        ([], MAX_SILENCE_SECONDS + 0.1, True),
        ([1.0], 1.0 + MAX_SILENCE_SECONDS - 0.1, False),
        ([1.0], 1.0 + MAX_SILENCE_SECONDS + 0.1, True),
        # A heartbeat that waited in a buffer counts from when it was sent.
        ([-3.0], 0.5, True),
    ],
)
def test_silence_of_the_watchers_starts_a_watch(events, now, is_on_duty):
    duty = WatchDuty(0.0)
    for event in events:
        duty.record_heartbeat(event)
    assert duty.evaluate(now, is_watcher=False) is is_on_duty


@pytest.mark.parametrize(
    ("values", "refusals"),
    [
        ([(b"odd", 5), (b"odd", 5)], 1),
        ([(b"odd", 5), (b"odd", 6)], 2),
        ([(b"odd", 5), (b"other", 5)], 2),
    ],
)
def test_refused_document_is_not_reported_under_a_revision_given_out_again(
    values, refusals
):
    async def run():
        node = Node({}, 1, "d", Store())
        for value, revision in values:
            node.follower._adopt(StoredValue("routes", value, revision))
        return len(node.refusals)

    assert asyncio.run(run()) == refusals
