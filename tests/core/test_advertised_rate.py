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


class TestTokens:
    @pytest.mark.parametrize(
        ("rate", "seconds", "least", "most"),
        [
            (12.8, 4.0, 50, 58),
            (100.0, 4.0, 399, 451),
            (3.3, 4.0, 12, 15),
            (1.0, 4.0, 4, 5),
            # A server that takes hardly any requests is still tried.
            (0.0, 10.0, 4, 6),
            (0.01, 10.0, 4, 6),
        ],
    )
    def test_requests_follow_the_rate(self, rate, seconds, least, most):
        advertised = AdvertisedRate()
        advertised.record_answer(rate, 0.0, 1.0)
        sent = 0
        for step in range(int(seconds * 1000) + 1):
            now = 1.0 + step / 1000
            while advertised.allows(now):
                advertised.record_request(now)
                sent += 1
        assert least <= sent <= most

    def test_a_lull_allows_no_long_burst(self):
        advertised = AdvertisedRate()
        advertised.record_answer(10.0, 0.0, 1.0)
        sent = 0
        while advertised.allows(61.0):
            advertised.record_request(61.0)
            sent += 1
        assert sent == 5

    @pytest.mark.parametrize(("ahead", "wait"), [(0, 0.1), (3, 0.4)])
    def test_wait_is_estimated(self, ahead, wait):
        advertised = AdvertisedRate()
        advertised.record_answer(10.0, 0.0, 1.0)
        assert advertised.estimate_wait(ahead, 1.0) == pytest.approx(wait)

    def test_everything_is_allowed_without_a_rate(self):
        advertised = AdvertisedRate()
        assert advertised.allows(1.0)
        assert advertised.estimate_wait(1000, 1.0) == 0.0

    def test_a_lower_rate_keeps_no_tokens_of_the_higher_one(self):
        advertised = AdvertisedRate()
        advertised.record_answer(100.0, 0.0, 1.0)
        assert advertised.allows(2.0)
        advertised.record_answer(2.0, 1.5, 2.0)
        advertised.record_request(2.0)
        assert not advertised.allows(2.4)
