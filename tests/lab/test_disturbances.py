"""How the disturbances of a soak are drawn."""

import pytest

from ragworthoist_lab.disturbances import disturbances, draw_schedule


@pytest.mark.parametrize("seed", [1, 2, 50])
def test_equal_seeds_give_equal_schedules(seed):
    schedule = draw_schedule(seed, 30.0, 4)
    assert schedule == draw_schedule(seed, 30.0, 4)
    assert schedule != draw_schedule(seed + 1, 30.0, 4)


def test_disturbances_of_all_kinds_and_places_overlap():
    schedule = draw_schedule(1, 600.0, 4)
    assert {d.kind for d in schedule} == set(disturbances.names())
    assert {d.place for d in schedule} == set(range(4))
    assert all(0.0 <= d.at < 600.0 for d in schedule)
    assert any(
        later.at < earlier.at + earlier.seconds and later.place == earlier.place
        for number, earlier in enumerate(schedule)
        for later in schedule[number + 1 :]
    )
