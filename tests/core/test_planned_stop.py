import pytest

from ragworthoist.core.planned_stop import (
    ANSWER_RESERVE_SECONDS,
    EXIT_RESERVE_SECONDS,
    PlannedStop,
)

STARTED = 10.0


class TestPlannedStop:
    @pytest.mark.parametrize("grace", [6.0, 2.0])
    @pytest.mark.parametrize(
        ("after_answers", "is_limited"), [(-0.1, False), (0.0, False), (5.0, True)]
    )
    def test_calls_end_before_the_exit(self, grace, after_answers, is_limited):
        stop = PlannedStop(STARTED, grace)
        reserve = EXIT_RESERVE_SECONDS + ANSWER_RESERVE_SECONDS
        end = STARTED + grace - reserve
        deadline = end + after_answers
        limited = stop.limit_deadline(deadline)
        assert limited == pytest.approx(end if is_limited else deadline)
        assert limited < stop.exits_at < STARTED + grace

    @pytest.mark.parametrize("grace", [0.5, EXIT_RESERVE_SECONDS])
    def test_grace_too_short_for_any_call_ends_at_once(self, grace):
        stop = PlannedStop(STARTED, grace)
        assert stop.limit_deadline(STARTED + 9.0) == stop.exits_at == STARTED
