import pytest

from ragworthoist.core.pauses import CATCH_UP_SECONDS, MIN_PAUSE_SECONDS, PauseMeter


def test_process_start_is_no_pause():
    meter = PauseMeter()
    assert meter.measure(5.0) == 0.0
    meter.tick(9.0)
    assert meter.measure(9.1) == 0.0


@pytest.mark.parametrize(
    ("ticks", "now", "expected"),
    [
        ([0.02, 0.04], 0.05, 0.0),
        ([0.02], 0.02 + MIN_PAUSE_SECONDS, 0.0),
        ([0.02], 5.02, 5.0),
        ([0.02, 5.02], 5.03, 5.0),
        ([0.02, 5.02, 5.04], 5.05, 5.0),
        ([0.02, 5.02], 5.02 + CATCH_UP_SECONDS, 0.0),
    ],
)
def test_pause_counts_until_buffers_are_read(ticks, now, expected):
    meter = PauseMeter()
    meter.tick(0.0)
    for tick in ticks:
        meter.tick(tick)
    assert meter.measure(now) == pytest.approx(expected)
