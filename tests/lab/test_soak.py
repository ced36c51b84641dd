"""A short soak of real processes; long ones are started by hand."""

import pytest

from ragworthoist_lab.soak import run_soak

pytestmark = pytest.mark.processes


@pytest.mark.parametrize("seed", [1])
def test_no_promise_is_broken_under_overlapping_disturbances(seed):
    log, violations = run_soak(seed, 25.0, 2)
    assert violations == []
    assert len(log.results) > 500
    assert sum(result.status == 200 for result in log.results) > len(log.results) / 2
