import pytest

from ragworthoist.core.arrivals import ArrivalMeter


@pytest.mark.parametrize(
    ("sent_at", "now", "rate"),
    [
        ([], 5.0, 0.0),
        ([1.0] * 8, 1.0, 2.0),
        ([1.0] * 8, 4.9, 2.0),
        ([1.0] * 8, 5.3, 0.0),
        ([1.0] * 4 + [3.0] * 4, 5.5, 1.0),
    ],
)
def test_rate_counts_the_last_four_seconds(sent_at, now, rate):
    meter = ArrivalMeter()
    for time in sent_at:
        meter.record(time)
    assert meter.rate(now) == rate
    assert meter.total == len(sent_at)
