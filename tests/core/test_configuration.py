import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from ragworthoist import Document
from ragworthoist.core.configuration import Adoption, ConfigurationTable
from ragworthoist.exceptions import DocumentError

NODES = 4


def make_raw(version, retries=2):
    document = Document.model_validate(
        {"version": version, "defaults": {"retries": retries}}
    )
    return document.model_dump_json().encode()


class SpreadMachine(RuleBasedStateMachine):
    """Documents reach nodes in any order, from a store that may return old ones."""

    @initialize()
    def start(self):
        self.accepted = [make_raw(0)]
        self.tables = [ConfigurationTable() for _ in range(NODES)]
        self.highest = [0] * NODES

    @rule(retries=st.integers(0, 10))
    def accept(self, retries):
        self.accepted.append(make_raw(len(self.accepted), retries))

    @rule(node=st.integers(0, NODES - 1), choice=st.integers(0, 1000))
    def offer_any_accepted(self, node, choice):
        version = choice % len(self.accepted)
        before = self.tables[node].policy
        adoption = self.tables[node].offer(self.accepted[version])
        newer = before is None or version > self.highest[node]
        assert (adoption is Adoption.ADOPTED) == newer
        self.highest[node] = max(self.highest[node], version)

    @rule(node=st.integers(0, NODES - 1), peer=st.integers(0, NODES - 1))
    def fetch_from_peer(self, node, peer):
        raw = self.tables[peer].raw
        if raw:
            self.tables[node].offer(raw)
            self.highest[node] = max(self.highest[node], self.highest[peer])

    @rule(node=st.integers(0, NODES - 1), garbage=st.binary(max_size=40))
    def offer_garbage(self, node, garbage):
        with pytest.raises(DocumentError):
            self.tables[node].offer(b"!" + garbage)

    @invariant()
    def versions_never_decrease(self):
        for table, highest in zip(self.tables, self.highest, strict=True):
            assert table.version == highest
            if table.policy is not None:
                assert table.raw == self.accepted[highest]


TestSpread = SpreadMachine.TestCase
TestSpread.settings = settings(max_examples=60, stateful_step_count=40)


class TestOffer:
    @pytest.mark.parametrize(
        ("raw", "key"),
        [
            (b"{", "document"),
            (b'{"defaults": {"retries": 99}}', "defaults.retries"),
            (b'{"defaults": {"unknown": 1}}', "defaults.unknown"),
            (b'{"exceptions": [{"name": "x"}]}', "exceptions.0.reason"),
            (b" " * 1_000_001, "document"),
        ],
    )
    def test_invalid_document_is_refused_with_its_key_and_changes_nothing(
        self, raw, key
    ):
        table = ConfigurationTable()
        table.offer(make_raw(3))

        with pytest.raises(DocumentError) as caught:
            table.offer(raw)

        assert caught.value.key == key
        assert table.version == 3
