"""UDP socket for gossip messages."""

import anyio

from ragworthoist.events import Event, log_event
from ragworthoist.exceptions import ProtocolError
from ragworthoist.net.frames import MAX_DATAGRAM_BYTES, open_datagram, seal_datagram


class Datagrams:
    """Sends and receives authenticated gossip messages.

    Parameters
    ----------
    address : tuple
        (host, port) to bind.
    key : bytes
        The fleet's key, which authenticates messages.
    """

    def __init__(self, address, key):
        self._address = address
        self._key = key
        self._socket = None
        self._sending = anyio.Lock()
        self.sent = 0
        self.sent_bytes = 0
        self.received = 0
        self.refused = 0

    async def __aenter__(self):
        host, port = self._address
        self._socket = await anyio.create_udp_socket(local_host=host, local_port=port)
        return self

    async def __aexit__(self, *_exception):
        await self._socket.aclose()

    async def send(self, outgoing):
        """Send (message, address) pairs.

        Updates are removed from messages longer than `MAX_DATAGRAM_BYTES`. Messages
        that cannot be sent are dropped like datagrams lost on the network.
        """
        for message, (host, port) in outgoing:
            data = seal_datagram(message, self._key)
            while len(data) > MAX_DATAGRAM_BYTES and message.updates:
                message.updates.pop()
                data = seal_datagram(message, self._key)
            try:
                async with self._sending:
                    await self._socket.sendto(data, host, port)
            except (OSError, anyio.BrokenResourceError):
                continue
            self.sent += 1
            self.sent_bytes += len(data)

    async def receive(self, handle):
        """Call `handle` with each valid message and the address of its sender."""
        async for data, address in self._socket:
            try:
                message = open_datagram(data, self._key, f"{address[0]}:{address[1]}")
            except ProtocolError as error:
                self._refuse(error)
                continue
            self.received += 1
            await handle(message, (address[0], address[1]))

    def _refuse(self, error):
        self.refused += 1
        # Logged only at counts that are powers of two, to bound the log in a flood.
        if self.refused & (self.refused - 1) == 0:
            log_event(Event.DATAGRAM_REFUSED, count=self.refused, error=str(error))
