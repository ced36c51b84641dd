import pytest

from ragworthoist.net.liveness import (
    CHECK_AFTER_SECONDS,
    CHECK_IDLE_SECONDS,
    DOUBT_AFTER_SECONDS,
    SILENT_AFTER_SECONDS,
    PeerLiveness,
    Verdict,
)

ASKED_AT = CHECK_IDLE_SECONDS + 1.0
MARGIN = 0.01


class TestPeerLiveness:
    @pytest.mark.parametrize(
        ("silence", "is_awaited", "verdict"),
        [
            (CHECK_AFTER_SECONDS - MARGIN, True, Verdict.FINE),
            (CHECK_AFTER_SECONDS + MARGIN, True, Verdict.ASK),
            (CHECK_AFTER_SECONDS + MARGIN, False, Verdict.FINE),
            (CHECK_IDLE_SECONDS + MARGIN, False, Verdict.ASK),
        ],
    )
    def test_a_silent_peer_is_asked(self, silence, is_awaited, verdict):
        assert PeerLiveness(0.0).judge(silence, is_awaited) is verdict

    @pytest.mark.parametrize(
        ("silence", "verdict"),
        [
            (DOUBT_AFTER_SECONDS - MARGIN, Verdict.WAITING),
            (DOUBT_AFTER_SECONDS + MARGIN, Verdict.DOUBTFUL),
            (SILENT_AFTER_SECONDS + MARGIN, Verdict.SILENT),
        ],
    )
    def test_an_unanswered_check_is_judged_by_its_age(self, silence, verdict):
        liveness = PeerLiveness(0.0)
        assert liveness.judge(ASKED_AT, is_awaited=True) is Verdict.ASK
        assert liveness.judge(ASKED_AT + silence, is_awaited=True) is verdict

    def test_anything_that_is_heard_answers_the_check(self):
        liveness = PeerLiveness(0.0)
        liveness.judge(ASKED_AT, is_awaited=True)
        liveness.note_heard(ASKED_AT + 1.0)
        assert not liveness.is_checked
        assert liveness.judge(ASKED_AT + 1.0, is_awaited=True) is Verdict.FINE
