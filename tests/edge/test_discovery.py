"""How nodes find one another by records in the store, on virtual time."""

import asyncio

import anyio
import msgpack
import pytest
from edge.test_following import Node, Store
from fakes import VirtualLoop

from ragworthoist.store import StoredValue

DRAIN_SECONDS = 2.6
# The bound of the platform's pages.
RECORDS_BACK_SECONDS = 2.0
# A read and a watch of the configuration, a lease and a record, and a read of the
# records.
MAX_CALLS_PER_RECORD = 5


async def stop(node):
    """Stop `node` as planned; its loops go on until the end of the drain time."""
    await node.discovery.leave()
    await asyncio.sleep(DRAIN_SECONDS / 2)
    await node.send(node.membership.announce_leaving(node.clock()))
    await asyncio.sleep(DRAIN_SECONDS / 2)
    await node.send(node.membership.announce_left(node.clock()))


async def wait_until_joined(node):
    while not node.discovery.has_joined:
        await asyncio.sleep(0.01)


async def run_loops(node, process):
    with process:
        async with anyio.create_task_group() as tasks:
            node.tasks = tasks
            for loop in (
                node.discovery.run,
                node.gossip,
                node.follower.follow,
                node.follower.send_heartbeats,
            ):
                tasks.start_soon(loop)


def play_restart(size, age, pause, domains=3):
    """Restart the node whose record is the only one; return what it then knows.

    The fleet is `age` seconds old when the node stops, and the new process starts
    `pause` seconds after the old one has ended.
    """

    async def run():
        store = Store()
        fleet = {}
        for number in range(size):
            node = Node(fleet, number, f"d{number % domains}", store, number > 0)
            fleet[node.address] = node
        old = next(iter(fleet.values()))
        old_process = anyio.CancelScope()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_loops, old, old_process)
            await wait_until_joined(old)
            for node in fleet.values():
                if node is not old:
                    tasks.start_soon(run_loops, node, anyio.CancelScope())
            await asyncio.sleep(age)
            await stop(old)
            old_process.cancel()
            await asyncio.sleep(pause)
            new = Node(fleet, 0, "d0", store, first_start=False, run=1)
            fleet[new.address] = new
            tasks.start_soon(new.discovery.run)
            await wait_until_joined(new)
            tasks.cancel_scope.cancel()
        return len(new.membership.peers())

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(run())


@pytest.mark.parametrize("age", [0.0, 0.3, 0.6, 0.9, 1.2, 1.5, 3.0, 9.0])
@pytest.mark.parametrize("pause", [0.2, 2.0])
@pytest.mark.parametrize("size", [4, 12])
def test_node_restarted_in_a_young_fleet_joins_without_having_met_it(size, pause, age):
    assert play_restart(size, age, pause) == size - 1


@pytest.mark.parametrize("is_lease_reused", [False, True])
@pytest.mark.parametrize("size", [4, 12])
def test_records_are_missing_after_a_restore_of_the_store(size, is_lease_reused):
    """A lease whose id another node has got is not taken for the own one."""

    async def run():
        store = Store()
        store.write(1)
        fleet = {}
        for number in range(size):
            node = Node(fleet, number, f"d{number % 3}", store)
            fleet[node.address] = node
        async with anyio.create_task_group() as tasks:
            for node in fleet.values():
                tasks.start_soon(run_loops, node, anyio.CancelScope())
            await asyncio.sleep(20.0)
            watchers = [n for n in fleet.values() if n.membership.is_watcher]
            before = len(store.records)
            store.restore()
            if is_lease_reused:
                store.leases = [set() for _ in range(2 * size)]
            calls = store.calls
            await asyncio.sleep(RECORDS_BACK_SECONDS)
            after, calls = len(store.records), store.calls - calls
            tasks.cancel_scope.cancel()
        assert before >= len(watchers)
        assert after == len(watchers)
        assert calls <= MAX_CALLS_PER_RECORD * len(watchers)

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())


class RestoredStore(Store):
    """Is restored before the first renewal; the lease's id is another node's then."""

    async def keep_lease(self, lease):
        if self.era == 0:
            self.restore()
            self.leases = [{"other"}]
        return await super().keep_lease(lease)


def test_renewal_of_a_lease_given_out_again_leaves_the_record_missing():
    async def run():
        store = RestoredStore()
        store.write(1)
        node = Node({}, 1, "d", store)
        await node.discovery._write_record()
        await node.discovery._renew_record()
        return len(store.records), store.leases[0]

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        assert runner.run(run()) == (1, {"other"})


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff",
        b"\x91" * 10_000 + b"\xc0",
        msgpack.packb([[], "s", "r", "d0", "10.0.0.9", 1, 0, 0, True]),
        msgpack.packb([b"odd", "s", "r", "d0", "10.0.0.9", 70_000, 0, 0, True]),
        msgpack.packb([b"odd", "s", "r", "d0", 5, 1, 0, 0, True]),
        msgpack.packb([b"odd", "s", "r", "d0", "h" * 1_000_000, 1, 0, 0, True]),
    ],
    ids=["empty", "no text", "nested", "no id", "port", "host type", "long host"],
)
def test_odd_entry_among_the_records_keeps_a_node_from_its_fleet(value):
    async def run():
        store = Store()
        store.records["a"] = StoredValue("a", value, 1)
        fleet = {}
        for number in range(6):
            node = Node(fleet, number, f"d{number % 3}", store)
            fleet[node.address] = node
        async with anyio.create_task_group() as tasks:
            for node in fleet.values():
                tasks.start_soon(run_loops, node, anyio.CancelScope())
            await asyncio.sleep(10.0)
            tasks.cancel_scope.cancel()
        return {len(node.membership.peers()) for node in fleet.values()}

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        assert runner.run(run()) == {5}
