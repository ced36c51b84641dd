"""Tests of the liveness of a peer.

A peer that stops responding must be detected although its connection stays open,
and a peer that responds must not lose its stream.
"""

import pytest

from ragworthoist.net.liveness import (
    CHECK_DELAY_SECONDS,
    CLOSE_AFTER_SECONDS,
    IDLE_CHECK_DELAY_SECONDS,
    UNRESPONSIVE_AFTER_SECONDS,
    PeerLiveness,
    Verdict,
)

CHECKED_AT = IDLE_CHECK_DELAY_SECONDS + 1.0
MARGIN = 0.01


class TestPeerLiveness:
    @pytest.mark.parametrize(
        ("silent_seconds", "has_pending_calls", "verdict"),
        [
            (CHECK_DELAY_SECONDS - MARGIN, True, Verdict.FINE),
            (CHECK_DELAY_SECONDS + MARGIN, True, Verdict.ASK),
            (CHECK_DELAY_SECONDS + MARGIN, False, Verdict.FINE),
            (IDLE_CHECK_DELAY_SECONDS + MARGIN, False, Verdict.ASK),
        ],
    )
    def test_silent_peer_is_sent_a_check(
        self, silent_seconds, has_pending_calls, verdict
    ):
        assert PeerLiveness(0.0).evaluate(silent_seconds, has_pending_calls) is verdict

    @pytest.mark.parametrize(
        ("silent_seconds", "verdict"),
        [
            (UNRESPONSIVE_AFTER_SECONDS - MARGIN, Verdict.WAITING),
            (UNRESPONSIVE_AFTER_SECONDS + MARGIN, Verdict.DOUBTFUL),
            (CLOSE_AFTER_SECONDS + MARGIN, Verdict.SILENT),
        ],
    )
    def test_unanswered_check_is_evaluated_by_its_age(self, silent_seconds, verdict):
        liveness = PeerLiveness(0.0)
        assert liveness.evaluate(CHECKED_AT, has_pending_calls=True) is Verdict.ASK
        assert (
            liveness.evaluate(CHECKED_AT + silent_seconds, has_pending_calls=True)
            is verdict
        )

    def test_any_received_data_answers_the_check(self):
        liveness = PeerLiveness(0.0)
        liveness.evaluate(CHECKED_AT, has_pending_calls=True)
        liveness.mark_seen(CHECKED_AT + 1.0)
        assert not liveness.has_pending_check
        assert (
            liveness.evaluate(CHECKED_AT + 1.0, has_pending_calls=True) is Verdict.FINE
        )
