"""The configuration with which a node starts: the newest of the store and of peers.

A store that has lost changes has an older version than peers; adopting it at the start
would revert accepted changes.
"""

import random
from types import SimpleNamespace

import pytest
from fakes import run_virtual

from ragworthoist import Document
from ragworthoist._store_sync import StoreSync
from ragworthoist.core.configuration import ConfigurationTable
from ragworthoist.core.members import Member
from ragworthoist.core.membership import Membership
from ragworthoist.exceptions import NotReadyError, StoreUnavailableError
from ragworthoist.store import StoredValue


def make_raw(version):
    return Document(version=version).model_dump_json().encode()


class FakeStore:
    """Has a document of `version`, none if it is None, or fails if it is "down"."""

    def __init__(self, version, addresses=()):
        self.version = version
        self.addresses = addresses

    async def list(self, prefix):
        return [
            StoredValue(f"{prefix}{number}", value, 1)
            for number, value in enumerate(self.addresses)
        ]

    async def get(self, key):
        if self.version == "down":
            raise StoreUnavailableError("range", "down")
        if self.version is None:
            return None
        return StoredValue(key, make_raw(self.version), 1)


class FakeNode:
    """A starting node, with peers that have documents of the given versions."""

    def __init__(self, peer_versions):
        self.random = random.Random(1)
        self.configuration = ConfigurationTable()
        own = Member(b"00000000", "stock", "main", "a", "10.0.0.1", 1)
        self.membership = Membership(own, self.random, 0.0)
        self.versions = {}
        for number, version in enumerate(peer_versions):
            name = f"peer{number:04}".encode()
            peer = Member(name, "stock", "main", "a", "10.0.0.2", number)
            self.membership.merge([peer], 0.0)
            self.versions[name] = version

    def adopt_configuration(self, raw, _source):
        return self.configuration.offer(raw)

    async def fetch_configuration_from(self, member):
        self.adopt_configuration(make_raw(self.versions[member.instance]), "peer")


class TestLoadInitial:
    @pytest.mark.parametrize(
        ("stored", "peers", "expected"),
        [
            (4, [], 4),
            (4, [4, 3], 4),
            (None, [], 0),
            ("down", [3, 5, 4], 5),
            (2, [3, 5], 5),
            (None, [7], 7),
        ],
    )
    def test_newest_version_of_store_and_peers_is_in_force(
        self, stored, peers, expected
    ):
        node = FakeNode(peers)
        fleet = SimpleNamespace(name="lab", seeds=[])
        run_virtual(StoreSync(node, FakeStore(stored), fleet).load_initial)

        assert node.configuration.version == expected

    def test_load_fails_without_store_and_peers(self):
        fleet = SimpleNamespace(name="lab", seeds=[])
        with pytest.raises(NotReadyError):
            run_virtual(StoreSync(FakeNode([]), FakeStore("down"), fleet).load_initial)


class TestFindPeerAddresses:
    @pytest.mark.parametrize(
        "odd",
        [
            b"",
            b"\xff",
            b"null",
            b"5",
            b'["10.0.0.8"]',
            b'["10.0.0.8", 70000]',
            b'["10.0.0.8", -1]',
            b'["10.0.0.8", "x"]',
            b'["no such host", 7000]',
            b'[["10.0.0.8"], 7000]',
            b'["10.0.0.8", %s]' % (b"9" * 4000),
            b"[" * 10_000 + b"]" * 10_000,
        ],
        ids=lambda raw: raw[:20].decode("latin1"),
    )
    def test_odd_entry_among_the_addresses_hides_the_others(self, odd):
        store = FakeStore(1, [odd, b'["10.0.0.9", 7000]'])
        fleet = SimpleNamespace(name="lab", seeds=[])
        found = run_virtual(StoreSync(FakeNode([]), store, fleet).find_peer_addresses)
        assert found == [("10.0.0.9", 7000)]
