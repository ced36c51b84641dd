import pytest

from ragworthoist.core.memory import (
    HEADER_OVERHEAD_BYTES,
    RELIEVED_SHARE,
    MemoryBudget,
    measure_headers,
)


def open_accounts(budget, sizes):
    """Return the list to which the names of evicted accounts are added."""
    evicted = []
    for name, size in sizes.items():
        budget.open_account(lambda name=name: evicted.append(name)).add(size)
    return evicted


class TestMemoryBudget:
    @pytest.mark.parametrize(
        ("sizes", "evicted"),
        [
            ({"a": 60, "b": 40}, []),
            ({"a": 60, "b": 41}, ["a"]),
            ({"a": 10, "b": 50, "c": 41}, ["b"]),
            # Among equal ones, the one opened first.
            ({"a": 30, "b": 30, "c": 30, "d": 12}, ["a"]),
            ({"a": 10, "b": 20, "c": 15, "d": 60}, ["d"]),
            ({"a": 101}, ["a"]),
            ({"a": 1, "b": 300}, ["b"]),
        ],
    )
    def test_largest_accounts_are_evicted(self, sizes, evicted):
        budget = MemoryBudget(100)
        assert open_accounts(budget, sizes) == evicted
        assert budget.held_bytes <= 100
        assert budget.evicted_count == len(evicted)

    def test_evictions_go_on_until_there_is_room_again(self):
        budget = MemoryBudget(1000)
        evicted = open_accounts(budget, dict.fromkeys(range(100), 10))
        assert not evicted
        open_accounts(budget, {"more": 1})
        assert budget.held_bytes <= 1000 * RELIEVED_SHARE

    def test_pinned_account_is_counted_and_not_evicted(self):
        budget = MemoryBudget(100)
        pinned = budget.open_account()
        pinned.add(90)
        assert open_accounts(budget, {"a": 20}) == ["a"]
        pinned.add(50)
        assert (pinned.is_open, budget.held_bytes) == (True, 140)

    def test_evicted_owner_may_change_other_accounts(self):
        budget = MemoryBudget(100)
        other = budget.open_account(lambda: None)
        other.add(30)
        budget.open_account(other.close).add(80)
        assert budget.held_bytes == 0


class TestMemoryAccount:
    @pytest.mark.parametrize(
        "leave",
        [
            lambda account: account.close(),
            lambda account: account.evict(),
            lambda account: account.__exit__(ValueError, None, None),
            lambda account: account.resize(0),
            lambda account: account.add(-7),
        ],
        ids=["closed", "evicted", "left", "resized", "returned"],
    )
    def test_all_is_given_back(self, leave):
        budget = MemoryBudget()
        account = budget.open_account(lambda: None)
        account.add(3)
        account.resize(7)
        leave(account)
        assert budget.held_bytes == 0

    @pytest.mark.parametrize("change", [lambda a: a.add(5), lambda a: a.resize(5)])
    def test_closed_account_counts_nothing(self, change):
        budget = MemoryBudget()
        account = budget.open_account()
        account.close()
        change(account)
        account.close()
        assert budget.held_bytes == 0


def test_headers_cost_more_than_their_bytes():
    assert measure_headers([(b"a", b"bc")] * 3) == 3 * (3 + HEADER_OVERHEAD_BYTES)
