"""Tests of gossip datagrams.

Datagrams from outside the fleet, and those that hold no message, must be rejected.
"""

import random

import anyio
import pytest

from ragworthoist.core.members import Member
from ragworthoist.core.membership import Membership
from ragworthoist.exceptions import AuthenticationError, FrameError
from ragworthoist.net.datagrams import Datagrams
from ragworthoist.net.frames import open_datagram, seal_datagram
from ragworthoist_lab.fleet import find_free_ports

KEY = b"k" * 32


def make_membership(port=1, name=b"a"):
    member = Member(name * 8, "stock", "main", "a", "127.0.0.1", port)
    return Membership(member, random.Random(1), 0.0)


def make_message():
    table = make_membership()
    return table.make_pings([Member(b"b" * 8, "stock", "main", "a", "127.0.0.1", 2)])[
        0
    ][0]


class TestSend:
    def test_concurrent_tasks_can_send(self):
        """anyio raises BusyResourceError if two tasks use a UDP socket at once."""

        async def send_from_many_tasks():
            ports = find_free_ports(2)
            target = ("127.0.0.1", ports[1])
            received = []
            all_received = anyio.Event()

            async def handle(message, _address):
                received.append(message)
                if len(received) == 200:
                    all_received.set()

            async with (
                Datagrams(("127.0.0.1", ports[0]), KEY) as sender,
                Datagrams(target, KEY) as receiver,
                anyio.create_task_group() as tasks,
            ):
                tasks.start_soon(receiver.receive, handle)
                for _ in range(20):
                    tasks.start_soon(sender.send, [(make_message(), target)] * 10)
                await all_received.wait()
                tasks.cancel_scope.cancel()

        anyio.run(send_from_many_tasks)


class TestOpenDatagram:
    def test_returns_the_sealed_message(self):
        message = make_message()
        assert open_datagram(seal_datagram(message, KEY), KEY, "peer") == message

    @pytest.mark.parametrize(
        ("data", "error"),
        [
            (b"", AuthenticationError),
            (b"garbage" * 20, AuthenticationError),
            (seal_datagram(make_message(), b"x" * 32), AuthenticationError),
            (seal_datagram(make_message(), KEY)[:-1], AuthenticationError),
        ],
    )
    def test_rejects_datagrams_without_a_valid_digest(self, data, error):
        with pytest.raises(error):
            open_datagram(data, KEY, "peer")

    @pytest.mark.parametrize("payload", [None, 7, [], [99] * 8, [0, b"", 1]])
    def test_rejects_authenticated_datagrams_without_a_message(self, payload):
        class Garbage:
            def pack(self):
                return payload

        with pytest.raises(FrameError):
            open_datagram(seal_datagram(Garbage(), KEY), KEY, "peer")
