"""Which answers of a server set and end the rate that it advertises."""

import pytest

from ragworthoist.core.advertised_rate import AdvertisedRate


@pytest.mark.parametrize(
    ("answers", "rate"),
    [
        # Each answer: rate, when its request was sent, when it arrived.
        ([(None, 0.0, 1.0)], None),
        ([(5.0, 0.0, 1.0)], 5.0),
        ([(5.0, 0.0, 1.0), (3.0, 0.5, 2.0)], 3.0),
        ([(5.0, 0.0, 1.0), (None, 1.1, 2.0)], None),
        ([(5.0, 0.0, 1.0), (None, 0.9, 2.0)], 5.0),
        ([(5.0, 0.0, 1.0), (None, 1.1, 2.0), (4.0, 1.0, 2.1)], 4.0),
    ],
)
def test_the_latest_answer_decides(answers, rate):
    advertised = AdvertisedRate()
    for answer in answers:
        advertised.record_answer(*answer)
    assert advertised.rate == rate
