"""Configuration changes by operators against a fake store, with races and lost answers.

A write whose answer is lost may be accepted or not. An operator must not be told that
a change was accepted when it was not, nor the reverse, and no change may be made twice.
"""

import anyio
import pytest
from fakes import run_virtual
from hypothesis import given, settings
from hypothesis import strategies as st

from ragworthoist._configuration_changes import change_document, read_document
from ragworthoist._document import parse_document
from ragworthoist.exceptions import ConflictError, DocumentError, StoreUnavailableError
from ragworthoist.store import StoredValue


class FakeStore:
    """A store with one key, whose calls take 10 ms.

    With the fault "down" a call fails and has no effect; with "answer lost" a write
    takes effect and then fails.
    """

    def __init__(self, faults=()):
        self.faults = list(faults)
        self.value = None
        self.revision = 0
        self.versions = []

    async def get(self, key):
        await self._maybe_fail("down")
        if self.value is None:
            return None
        return StoredValue(key, self.value, self.revision)

    async def replace(self, _key, value, revision):
        fault = await self._maybe_fail("down")
        matches = revision == self.revision
        if matches:
            self.revision += 1
            self.value = value
            self.versions.append(parse_document(value))
        if fault == "answer lost":
            raise StoreUnavailableError("txn", "lost")
        return matches

    async def _maybe_fail(self, failing):
        await anyio.sleep(0.01)
        fault = self.faults.pop(0) if self.faults else "none"
        if fault == failing:
            raise StoreUnavailableError("call", "down")
        return fault


def set_retries(number):
    def edit(values):
        values["defaults"]["retries"] = number

    return edit


class TestChangeDocument:
    @settings(max_examples=100)
    @given(
        faults=st.lists(
            st.sampled_from(["none", "none", "down", "answer lost"]), max_size=24
        ),
        starts=st.lists(st.sampled_from([0.0, 0.005, 0.015, 0.03]), max_size=6),
    )
    def test_accepted_changes_are_kept_and_refused_ones_are_not(self, faults, starts):
        store = FakeStore(faults)
        results = {}

        async def operator(number, pause):
            await anyio.sleep(pause)
            try:
                await change_document(
                    store, "lab", set_retries(number), f"operator {number}", "change"
                )
                results[number] = "accepted"
            except ConflictError:
                results[number] = "refused"
            except StoreUnavailableError:
                results[number] = "unknown"

        async def run():
            async with anyio.create_task_group() as tasks:
                for number, pause in enumerate(starts):
                    tasks.start_soon(operator, number, pause)

        run_virtual(run)

        history = store.versions[-1].history if store.versions else []
        kept = [change.author for change in history]
        for number, result in results.items():
            count = kept.count(f"operator {number}")
            assert count <= 1
            if result != "unknown":
                assert (count == 1) == (result == "accepted")
        versions = [document.version for document in store.versions]
        assert versions == list(range(1, len(versions) + 1))

    def test_a_conflict_shows_both_changes(self):
        store = FakeStore()

        async def run():
            base = await read_document(store, "lab")
            await change_document(store, "lab", set_retries(3), "ana", "retries=3")
            await change_document(
                store, "lab", set_retries(5), "bor", "retries=5", base
            )

        with pytest.raises(ConflictError) as caught:
            run_virtual(run)

        assert "bor: retries=5" in caught.value.ours
        assert "ana: retries=3" in caught.value.theirs

    def test_invalid_change_is_not_written(self):
        store = FakeStore()

        with pytest.raises(DocumentError) as caught:
            run_virtual(change_document, store, "lab", set_retries(99), "ana", "x")

        assert caught.value.key == "defaults.retries"
        assert store.value is None


class TestParseDocument:
    @pytest.mark.parametrize(
        "raw",
        [
            b'{"version": %d}' % 2**63,
            b'{"version": %d}' % 10**4000,
            b"[" * 10_000 + b"]" * 10_000,
        ],
        ids=["65 bits", "4,001 digits", "nested"],
    )
    def test_odd_document_is_in_force_or_fills_the_log(self, raw):
        with pytest.raises(DocumentError) as caught:
            parse_document(raw)
        assert len(str(caught.value)) < 1000
