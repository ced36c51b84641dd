"""How much of a server its node trusts to be free.

Guards against calls that a server never answers because it cannot queue them.
"""

import random

import pytest

from ragworthoist.core.occupancy import Occupancy

SLOTS = 10
USABLE = 9


@pytest.mark.parametrize(
    ("given_up", "now", "limit"),
    [
        ([], 0.0, 9),
        ([1.0], 0.0, 9),
        ([1.0] * 2, 0.0, 8),
        ([1.0] * 2, 1.0, 9),
        ([1.0, 3.0, 3.0], 2.0, 8),
        ([1.0] * 40, 0.0, 1),
    ],
)
def test_limit_leaves_room_for_given_up_runs(given_up, now, limit):
    occupancy = Occupancy(SLOTS)
    occupancy.record_end(5.0)
    for deadline in given_up:
        occupancy.record_given_up(0.0, deadline)
    assert occupancy.limit(USABLE, now) == limit


@pytest.mark.parametrize(
    ("room", "most_unanswered"),
    # A given-up run may outlast all recent ones; a place in the queue covers it.
    [(0, 5), (2, 0), (5, 0), (20, 0)],
)
def test_server_gets_a_request_that_it_can_neither_run_nor_queue(room, most_unanswered):
    """Callers leave all the time, and the server goes on with their runs."""
    occupancy = Occupancy(SLOTS)
    draws = random.Random(1)
    held, unanswered, now = [], 0, 0.0
    for _ in range(3000):
        now += draws.uniform(0.0, 0.03)
        held = [run for run in held if run[0] > now]
        waited_for = sum(1 for run in held if not run[1])
        if waited_for >= occupancy.limit(USABLE, now):
            continue
        if len(held) >= SLOTS + room:
            unanswered += 1
            continue
        is_given_up = draws.random() < 0.5
        seconds = draws.uniform(0.05, 0.5)
        occupancy.record_end(seconds)
        if is_given_up:
            occupancy.record_given_up(now, now + 3.0)
        held.append((now + seconds, is_given_up))
    assert unanswered <= most_unanswered
