import pytest

from ragworthoist.core.stalls import CATCH_UP_SECONDS, STALL_SECONDS, StallMeter


def test_the_start_of_a_process_is_no_stall():
    meter = StallMeter()
    assert meter.measure(5.0) == 0.0
    meter.tick(9.0)
    assert meter.measure(9.1) == 0.0


@pytest.mark.parametrize(
    ("ticks", "now", "stalled"),
    [
        ([0.02, 0.04], 0.05, 0.0),
        ([0.02], 0.02 + STALL_SECONDS, 0.0),
        ([0.02], 5.02, 5.0),
        ([0.02, 5.02], 5.03, 5.0),
        ([0.02, 5.02, 5.04], 5.05, 5.0),
        ([0.02, 5.02], 5.02 + CATCH_UP_SECONDS, 0.0),
    ],
)
def test_a_stall_counts_until_buffers_are_read(ticks, now, stalled):
    meter = StallMeter()
    meter.tick(0.0)
    for tick in ticks:
        meter.tick(tick)
    assert meter.measure(now) == pytest.approx(stalled)
