"""How an advertised rate is divided among the kinds offered to a server."""

from types import SimpleNamespace

import pytest

from ragworthoist.core.levels import FULL_LEVEL
from ragworthoist.core.rate_levels import WINDOW_SECONDS, RateLevels


def offer(levels, kinds, seconds, rate, start=0.0):
    """Offer kinds {name: (rank, weight, requests a second)}, thinned by the levels."""
    now = start
    levels.tick(now, rate)
    due = dict.fromkeys(kinds, 0.0)
    for _ in range(round(seconds / WINDOW_SECONDS)):
        now += WINDOW_SECONDS
        lowered = levels.lowered()
        for name, (rank, weight, demand) in kinds.items():
            share = lowered.get(name, FULL_LEVEL) / FULL_LEVEL
            due[name] += demand * WINDOW_SECONDS * share
            while due[name] >= 1.0:
                due[name] -= 1.0
                levels.record(SimpleNamespace(kind=name, rank=rank, weight=weight))
        levels.tick(now, rate)
    return now


@pytest.mark.parametrize(
    ("kinds", "rate", "shares"),
    [
        ({"a": (0, 1.0, 40.0)}, None, {"a": 1.0}),
        ({"a": (0, 1.0, 40.0)}, 50.0, {"a": 1.0}),
        ({"a": (0, 1.0, 40.0)}, 20.0, {"a": 0.5}),
        ({"a": (0, 1.0, 40.0)}, 0.0, {"a": 0.01}),
        # The most urgent first.
        ({"a": (0, 1.0, 20.0), "b": (1, 1.0, 40.0)}, 30.0, {"a": 1.0, "b": 0.25}),
        # Equal shares in a rank; what one kind leaves goes to the other.
        ({"a": (1, 1.0, 40.0), "b": (1, 1.0, 40.0)}, 40.0, {"a": 0.5, "b": 0.5}),
        ({"a": (1, 1.0, 10.0), "b": (1, 1.0, 60.0)}, 40.0, {"a": 1.0, "b": 0.5}),
        ({"a": (1, 3.0, 40.0), "b": (1, 1.0, 40.0)}, 40.0, {"a": 0.75, "b": 0.25}),
    ],
)
def test_levels_divide_the_rate_by_rank_and_weight(kinds, rate, shares):
    levels = RateLevels()
    offer(levels, kinds, 8.0, rate)
    found = {
        name: levels.lowered().get(name, FULL_LEVEL) / FULL_LEVEL for name in kinds
    }
    assert found == pytest.approx(shares, rel=0.2, abs=0.02)


def test_levels_are_full_in_the_first_window_after_the_rate_has_ended():
    levels = RateLevels()
    now = offer(levels, {"a": (0, 1.0, 40.0)}, 4.0, 5.0)
    assert levels.lowered()
    levels.tick(now + WINDOW_SECONDS, None)
    assert levels.lowered() == {}


def test_levels_rise_if_no_requests_come_any_more():
    levels = RateLevels()
    now = offer(levels, {"a": (0, 1.0, 40.0)}, 4.0, 5.0)
    offer(levels, {}, 8.0, 5.0, start=now)
    assert levels.lowered() == {}
