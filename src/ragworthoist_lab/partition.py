"""A node that can be disconnected from given ports, for tests of network partitions.

The node is the real one. Only the functions that send datagrams, connect to peers
and call the store are replaced: they do not reach loopback ports that a file lists as
unreachable. Open streams to these ports are closed. A watch of the store stays open,
but raises an error in place of the next value.
"""

import json
import sys
from pathlib import Path

import anyio
import eliot

from ragworthoist import load_settings
from ragworthoist._node import Node
from ragworthoist.exceptions import StoreUnavailableError
from ragworthoist.net.datagrams import Datagrams
from ragworthoist.net.peers import PeerTable
from ragworthoist.store.etcd import EtcdStore

POLL_INTERVAL_SECONDS = 0.05


class _BlockedPorts:
    """Loopback ports that are currently unreachable.

    The ports are reread from a file every `POLL_INTERVAL_SECONDS`.

    Parameters
    ----------
    path : path-like
        JSON file with a list of ports; while it is missing, the ports stay as they
        are.
    """

    def __init__(self, path):
        self._path = Path(path)
        self.ports = frozenset()

    async def poll_file(self, node):
        while True:
            await anyio.sleep(POLL_INTERVAL_SECONDS)
            if not self._path.exists():
                continue
            self.ports = frozenset(json.loads(self._path.read_text()))
            for instance, stream in list(node.peers._streams.items()):
                member = node.membership.members.get(instance)
                if member is not None and member.port in self.ports:
                    stream.close()


def _block_datagrams(blocked):
    send = Datagrams.send

    async def send_unblocked(self, outgoing):
        unblocked = [
            (message, address)
            for message, address in outgoing
            if address[1] not in blocked.ports
        ]
        await send(self, unblocked)

    Datagrams.send = send_unblocked


def _block_streams(blocked):
    connect = PeerTable._connect

    async def connect_unblocked(self, address):
        return None if address[1] in blocked.ports else await connect(self, address)

    PeerTable._connect = connect_unblocked


def _block_store(blocked, port):
    post, watch = EtcdStore._post, EtcdStore.watch

    async def post_unblocked(self, operation, path, body):
        if port in blocked.ports:
            raise StoreUnavailableError(operation, "partitioned")
        return await post(self, operation, path, body)

    async def watch_unblocked(self, key, revision):
        async for value in watch(self, key, revision):
            if port in blocked.ports:
                raise StoreUnavailableError("watch", "partitioned")
            yield value

    EtcdStore._post = post_unblocked
    EtcdStore.watch = watch_unblocked


def run_partitionable_node(settings: Path):
    """Run a node that cannot reach the ports listed in the file SETTINGS.cut.

    :param settings: TOML file with the settings of the node
    """
    loaded = load_settings(settings)
    eliot.to_file(open(loaded.log.path, "a") if loaded.log.path else sys.stderr)  # noqa: SIM115
    blocked = _BlockedPorts(f"{settings}.cut")
    _block_datagrams(blocked)
    _block_streams(blocked)
    _block_store(blocked, int(loaded.store.url.rsplit(":", 1)[1]))

    async def run():
        node = Node(loaded)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(blocked.poll_file, node)
            await node.run()

    anyio.run(run, backend_options={"use_uvloop": True})
