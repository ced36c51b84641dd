import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ragworthoist.core.members import Member, MemberState, Message
from ragworthoist.core.membership import (
    PAUSE_SECONDS,
    RECENT_PROBE_INTERVAL_SECONDS,
    SUSPICION_SECONDS,
    Membership,
)

TICK_SECONDS = 0.1
# Time for suspicion, for a round of probes to nodes declared dead, and for refutations
# to spread.
SETTLE_SECONDS = 90.0


class Network:
    """Membership tables that exchange datagrams, with cuts, crashes and pauses."""

    def __init__(self, size, seed=1):
        self.now = 0.0
        self.random = random.Random(seed)
        self.tables = {}
        self.isolated = set()
        self.paused = set()
        self.loss = 0.0
        self.started = 0
        self.datagrams = 0
        for number in range(size):
            self.start(("10.0.0.1", number))

    def start(self, address, alone=False):
        self.started += 1
        domain = "ab"[address[1] % 2]
        name = f"{self.started:08}".encode()
        member = Member(name, "stock", "main", domain, *address)
        table = Membership(member, random.Random(self.started), self.now)
        for other in self.tables.values():
            if not alone:
                self.exchange(table, other)
        self.tables[address] = table

    def exchange(self, one, other):
        records = [Member.unpack(r) for r in one.snapshot()]
        one.merge([Member.unpack(r) for r in other.snapshot()], self.now)
        other.merge(records, self.now)

    def run(self, seconds):
        for _ in range(round(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            for address, table in list(self.tables.items()):
                if address not in self.paused:
                    self.deliver(address, table.tick(self.now))

    def deliver(self, source, outgoing):
        for message, address in outgoing:
            self.datagrams += 1
            target = self.tables.get(address)
            if target is None or self.is_lost(source, address):
                continue
            copy = Message.unpack(message.pack())
            self.deliver(address, target.receive(copy, source, self.now))
            sender_table = self.tables.get(source)
            if target.sync_peer is not None and sender_table is not None:
                target.sync_peer = None
                self.exchange(target, sender_table)

    def is_lost(self, source, address):
        if address in self.paused or self.random.random() < self.loss:
            return True
        return (source in self.isolated) != (address in self.isolated)

    def views(self):
        return [
            {m.instance for m in table.members.values() if m.is_present}
            for table in self.tables.values()
        ]

    def present(self):
        return {table.node.instance for table in self.tables.values()}


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["cut", "heal", "crash", "restart", "pause", "wake", "lossy"]),
        st.integers(0, 5),
        st.floats(0.1, 30.0),
    ),
    max_size=10,
)


class TestTick:
    @settings(max_examples=15)
    @given(actions=ACTIONS)
    def test_all_nodes_agree_after_the_faults_end(self, actions):
        network = Network(6)
        for action, number, seconds in actions:
            address = ("10.0.0.1", number)
            if action == "cut":
                network.isolated ^= {address}
            elif action == "heal":
                network.isolated.clear()
            elif action == "crash" and len(network.tables) > 2:
                network.tables.pop(address, None)
            elif action == "restart":
                network.start(address)
            elif action == "pause":
                network.paused.add(address)
            elif action == "wake":
                network.paused.clear()
            elif action == "lossy":
                network.loss = 0.3
            network.run(seconds)
        network.isolated.clear()
        network.paused.clear()
        network.loss = 0.0
        network.run(SETTLE_SECONDS)

        assert network.views() == [network.present()] * len(network.tables)

    def test_fleet_merges_after_a_long_network_partition(self):
        network = Network(8)
        network.run(5.0)
        network.isolated = {("10.0.0.1", number) for number in range(4)}
        network.run(600.0)
        assert {len(view) for view in network.views()} == {4}

        network.isolated.clear()
        network.run(60.0)

        assert network.views() == [network.present()] * 8

    def test_crashed_node_is_declared_dead_within_the_bound(self):
        network = Network(8)
        network.run(5.0)
        gone = network.tables.pop(("10.0.0.1", 3))
        network.run(8 * 1.0 + 2.0 + SUSPICION_SECONDS + 5.0)

        for table in network.tables.values():
            assert table.members[gone.node.instance].state is MemberState.DEAD

    def test_paused_node_declares_no_peer_dead_before_an_ack(self):
        """Answers that are missing because of the pause are no evidence."""
        network = Network(5)
        network.run(5.0)
        address = ("10.0.0.1", 0)
        paused_table = network.tables[address]
        network.paused.add(address)
        network.run(PAUSE_SECONDS + 60.0)
        network.paused.clear()
        network.isolated = {address}
        network.run(20.0)

        assert paused_table.is_suspicion_suspended
        assert all(m.is_present for m in paused_table.members.values())

    @pytest.mark.parametrize("size", [8, 32, 128])
    def test_datagrams_per_node_do_not_grow_with_the_fleet(self, size):
        network = Network(size)
        network.run(10.0)
        network.datagrams = 0
        network.run(10.0)

        # Each node sends one probe, and one answer to a probe, per second.
        assert network.datagrams / size / 10.0 <= 2.5


class TestReceive:
    def test_new_process_at_an_address_replaces_the_old_instance(self):
        network = Network(4)
        network.run(5.0)
        old = network.tables[("10.0.0.1", 1)].node.instance
        network.start(("10.0.0.1", 1))
        network.run(15.0)

        assert all(old not in view for view in network.views())

    @pytest.mark.parametrize("size", [3, 40])
    @pytest.mark.parametrize("graceful", [True, False])
    def test_process_restarted_without_peers_is_found(self, size, graceful):
        """A restarted process may have no other way to find the fleet."""
        network = Network(size)
        network.run(5.0)
        for table in network.tables.values():
            table.configuration_version = 7
        address = ("10.0.0.1", 0)
        if graceful:
            network.deliver(address, network.tables[address].announce_left(network.now))
        del network.tables[address]
        network.run(2 * SUSPICION_SECONDS + size)
        network.start(address, alone=True)
        network.run(3 * RECENT_PROBE_INTERVAL_SECONDS)
        found = network.tables[address]
        assert found.peers()
        assert found.newer_configuration_peer in found.members

    def test_every_datagram_carries_the_newest_record_of_its_sender(self):
        """A receiver that missed earlier updates may hold an old record."""
        network = Network(12)
        network.run(20.0)
        table = network.tables["10.0.0.1", 0]
        table.set_accepting(False, network.now)
        for _ in range(100):
            # The update about the change is no longer among those to send.
            table._pick_updates()
        for message, _ in [*table.make_hints(), *table.make_pings(table.peers())]:
            assert [m.accepting for m in message.updates if m == table.node] == [False]

    def test_leaving_node_is_present_but_not_an_endpoint(self):
        network = Network(4)
        network.run(5.0)
        address = ("10.0.0.1", 2)
        leaver = network.tables[address]
        network.deliver(address, leaver.announce_leaving(network.now))
        network.run(4.0)

        for table in network.tables.values():
            listed = {m.instance for m in table.by_service["stock"]}
            assert leaver.node.instance not in listed
            assert table.members[leaver.node.instance].is_present


class TestWatchers:
    @pytest.mark.parametrize(("size", "expected"), [(2, 2), (8, 4), (100, 4)])
    def test_number_does_not_grow_with_the_fleet(self, size, expected):
        network = Network(size)
        network.run(1.0)

        chosen = [
            frozenset(m.instance for m in table.watchers())
            for table in network.tables.values()
        ]

        assert len(set(chosen)) == 1
        assert len(chosen[0]) == expected
