from dataclasses import dataclass

import pytest

from ragworthoist.core.connections import CLOSED_SHARE, ConnectionBudget


@dataclass(frozen=True)
class Connection:
    waiting_since: float | None


@pytest.mark.parametrize(
    ("limit", "waits", "closed"),
    [
        (3, [5.0, 1.0], []),
        (3, [5.0, 1.0, 3.0], [1.0]),
        (2, [5.0, 1.0, 3.0], [1.0, 3.0]),
        (3, [None, 9.0, None], [9.0]),
        # All wait for this node.
        (2, [None, None], None),
        (2, [None, None, 4.0], None),
        (float("inf"), [1.0] * 50, []),
    ],
)
def test_those_that_wait_longest_for_their_clients_are_closed(limit, waits, closed):
    connections = [Connection(wait) for wait in waits]
    selected = ConnectionBudget(limit).select_excess(connections)
    assert (selected and [c.waiting_since for c in selected]) == closed


def test_several_are_closed_at_once_under_a_large_bound():
    connections = [Connection(float(n)) for n in range(1000)]
    selected = ConnectionBudget(1000).select_excess(connections)
    assert selected == connections[: int(1000 * CLOSED_SHARE)]
