"""Peer streams of one node: one for each peer, opened on first use."""

import asyncio

import anyio

from ragworthoist.core.entities import Reason, refuse
from ragworthoist.events import Event, log_event
from ragworthoist.net.streams import PeerStream

CONNECT_TIMEOUT_SECONDS = 1.0
# Longest time that a call waits for a stream. The handshake takes two round trips;
# without a stream the call can still be sent to another node.
STREAM_WAIT_SECONDS = 0.2
RECONNECT_DELAY_SECONDS = 0.2


class PeerTable:
    """All peer streams of a node, keyed by the instance id of the peer.

    Parameters
    ----------
    node : object
        The node, as `PeerStream` needs it.
    clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(self, node, clock):
        self._node = node
        self._clock = clock
        self._streams = {}
        self._all_streams = set()
        self._opening = {}
        self._retry_times = {}
        self._tasks = None

    def __len__(self):
        return len(self._streams)

    async def serve(self, address, tasks, task_status=anyio.TASK_STATUS_IGNORED):
        """Accept streams at `address` until cancelled."""
        self._tasks = tasks
        host, port = address
        server = await asyncio.get_running_loop().create_server(
            lambda: PeerStream(self._node, False, self.register), host, port
        )
        try:
            task_status.started()
            await anyio.sleep_forever()
        finally:
            server.close()
            for stream in list(self._all_streams):
                stream.close()

    async def get_stream(self, member):
        """Return a stream to `member`, or None if it cannot be reached."""
        stream = self._find_usable(member.instance)
        if stream is not None:
            return stream
        if self._retry_times.get(member.instance, 0.0) > self._clock():
            return None
        opening = self._opening.get(member.instance)
        if opening is None:
            opening = self._opening[member.instance] = anyio.Event()
            self._tasks.start_soon(self._open, member, opening)
        await opening.wait()
        return self._find_usable(member.instance)

    async def connect_to(self, member):
        """Return a stream to `member`, or None if it cannot be reached.

        If the instance id of `member` is not known, any node at its address is
        accepted.
        """
        if member.instance:
            return await self.get_stream(member)
        with anyio.move_on_after(CONNECT_TIMEOUT_SECONDS):
            return await self._connect(member.address)
        return None

    async def call(self, member, call):
        """Send `call` to `member` and return the `Answer`."""
        stream = self._find_usable(member.instance)
        if stream is None:
            wait_seconds = min(STREAM_WAIT_SECONDS, call.deadline - self._clock())
            with anyio.move_on_after(wait_seconds):
                stream = await self.get_stream(member)
        if stream is None:
            return refuse(Reason.PEER_UNREACHABLE, call)
        return await stream.call(call)

    def forget(self, stream):
        """Remove a closed stream."""
        self._all_streams.discard(stream)
        if self._streams.get(stream.peer) is stream:
            del self._streams[stream.peer]

    def close_idle(self, departed):
        """Close streams without calls in progress to instances in `departed`.

        Reconnect times that have passed are removed as well.
        """
        for instance, stream in list(self._streams.items()):
            if instance in departed and not stream.calls_in_progress:
                # Removed first, so that no call starts on a stream being closed.
                self.forget(stream)
                stream.close()
        now = self._clock()
        self._retry_times = {i: t for i, t in self._retry_times.items() if t > now}

    def check(self, now):
        """Check the liveness of all peers at the monotonic time `now`."""
        for stream in list(self._all_streams):
            stream.check(now)

    @property
    def calls_in_progress(self):
        """Sum of `PeerStream.calls_in_progress` over all streams."""
        return sum(stream.calls_in_progress for stream in self._all_streams)

    def _find_usable(self, instance):
        stream = self._streams.get(instance)
        if stream is None or stream.is_closed or stream.is_unresponsive:
            return None
        return stream

    async def _open(self, member, opening):
        try:
            with anyio.move_on_after(CONNECT_TIMEOUT_SECONDS):
                stream = await self._connect(member.address)
                if stream is not None and stream.peer != member.instance:
                    stream.close()
        finally:
            if self._find_usable(member.instance) is None:
                retry_at = self._clock() + RECONNECT_DELAY_SECONDS
                self._retry_times[member.instance] = retry_at
            del self._opening[member.instance]
            opening.set()

    async def _connect(self, address):
        host, port = address
        try:
            _, stream = await asyncio.get_running_loop().create_connection(
                lambda: PeerStream(self._node, True, self.register), host, port
            )
        except OSError:
            return None
        return await asyncio.shield(stream.established)

    def register(self, stream):
        """Add a stream whose handshake is complete."""
        self._all_streams.add(stream)
        if self._find_usable(stream.peer) is None:
            self._streams[stream.peer] = stream
        log_event(Event.PEER_CONNECTED, peer=stream.peer.hex())
