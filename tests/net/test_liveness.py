"""Tests of the liveness of a peer.

A peer that stops responding must be detected although its connection stays open,
and a peer that responds must not lose its stream.
"""

import pytest

from ragworthoist.net.liveness import (
    ACKNOWLEDGE_TIMEOUT_SECONDS,
    CHECK_DELAY_SECONDS,
    CLOSE_AFTER_SECONDS,
    IDLE_CHECK_DELAY_SECONDS,
    PROBE_TIMEOUT_SECONDS,
    UNRESPONSIVE_AFTER_SECONDS,
    OutputLiveness,
    OutputVerdict,
    PeerLiveness,
    Verdict,
)
from ragworthoist.net.sockets import OutputState

CHECKED_AT = IDLE_CHECK_DELAY_SECONDS + 1.0
MARGIN_SECONDS = 0.01


class TestPeerLiveness:
    @pytest.mark.parametrize(
        ("silent_seconds", "has_pending_calls", "verdict"),
        [
            (CHECK_DELAY_SECONDS - MARGIN_SECONDS, True, Verdict.FINE),
            (CHECK_DELAY_SECONDS + MARGIN_SECONDS, True, Verdict.ASK),
            (CHECK_DELAY_SECONDS + MARGIN_SECONDS, False, Verdict.FINE),
            (IDLE_CHECK_DELAY_SECONDS + MARGIN_SECONDS, False, Verdict.ASK),
        ],
    )
    def test_silent_peer_is_sent_a_check(
        self, silent_seconds, has_pending_calls, verdict
    ):
        assert PeerLiveness(0.0).evaluate(silent_seconds, has_pending_calls) is verdict

    @pytest.mark.parametrize(
        ("silent_seconds", "verdict"),
        [
            (UNRESPONSIVE_AFTER_SECONDS - MARGIN_SECONDS, Verdict.WAITING),
            (UNRESPONSIVE_AFTER_SECONDS + MARGIN_SECONDS, Verdict.DOUBTFUL),
            (CLOSE_AFTER_SECONDS + MARGIN_SECONDS, Verdict.SILENT),
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


def in_flight(silent, acknowledged=0, window=9):
    return OutputState(
        segments_in_flight=1,
        window_bytes=window,
        silent_seconds=silent,
        acknowledged_bytes=acknowledged,
    )


def closed(probes=0, acknowledged=0):
    return OutputState(
        unsent_bytes=9, unanswered_probes=probes, acknowledged_bytes=acknowledged
    )


EMPTY, WAITING = OutputVerdict.EMPTY, OutputVerdict.WAITING
LOST, STALLED = OutputVerdict.LOST, OutputVerdict.STALLED
STALL_LIMIT = 10.0
TIMEOUT = ACKNOWLEDGE_TIMEOUT_SECONDS


class TestOutputLiveness:
    @pytest.mark.parametrize(
        ("observations", "verdicts"),
        [
            ([(1.0, OutputState(acknowledged_bytes=9))], [EMPTY]),
            ([(1.0, in_flight(1.0)), (TIMEOUT, in_flight(TIMEOUT))], [WAITING, LOST]),
            # An acknowledgement 0.1 s before the observation counts from then on.
            (
                [(1.0, in_flight(0.1, 5)), (TIMEOUT, in_flight(1.1, 5))],
                [WAITING, WAITING],
            ),
            (
                [(1.0, in_flight(0.1, 5)), (0.9 + TIMEOUT, in_flight(TIMEOUT, 5))],
                [WAITING, LOST],
            ),
            # Data of the peer that acknowledges nothing new does not count.
            ([(TIMEOUT, in_flight(0.0))], [LOST]),
            # Segments sent into a closed window are sent again, and acknowledged.
            ([(TIMEOUT, in_flight(0.5, window=0))], [WAITING]),
            ([(TIMEOUT, in_flight(TIMEOUT, window=0))], [LOST]),
            # A peer that reads nothing answers probes, but not all of them.
            ([(t, closed(probes=t % 2)) for t in range(1, 9)], [WAITING] * 8),
            # The window has just opened, and what was sent into it is not acknowledged.
            ([(3.0, closed()), (3.1, in_flight(0.1))], [WAITING, WAITING]),
            (
                [(3.0, closed()), (3.1, in_flight(0.1)), (3.0 + TIMEOUT, in_flight(2))],
                [WAITING, WAITING, LOST],
            ),
            (
                [(1.0, closed(1)), (1.1 + PROBE_TIMEOUT_SECONDS, closed(2))],
                [WAITING, LOST],
            ),
            (
                [(1.0, closed(1)), (1.1 + PROBE_TIMEOUT_SECONDS, closed(1, 5))],
                [WAITING, WAITING],
            ),
            (
                [
                    (1.0, closed(1)),
                    (2.0, OutputState(acknowledged_bytes=9)),
                    (3.0, closed(1, 9)),
                ],
                [WAITING, EMPTY, WAITING],
            ),
            ([(9.9, closed()), (10.1, closed())], [WAITING, STALLED]),
            (
                [
                    (9.0, OutputState(unsent_bytes=9, buffered_bytes=5)),
                    (11.0, OutputState(unsent_bytes=9, buffered_bytes=4)),
                    (20.0, OutputState(unsent_bytes=9, buffered_bytes=4)),
                    (21.1, OutputState(unsent_bytes=9, buffered_bytes=4)),
                ],
                [WAITING, WAITING, WAITING, STALLED],
            ),
        ],
        ids=[
            "empty", "in flight", "late progress", "no progress", "data of the peer",
            "shrunk window", "shrunk window, lost", "slow", "just opened",
            "just opened, lost", "lost", "read on",
            "emptied", "stalled", "stalled after progress",
        ],
    )  # fmt: skip
    def test_slow_reader_is_told_from_a_lost_peer(self, observations, verdicts):
        liveness = OutputLiveness()
        liveness.record_write(0.0)
        assert [
            liveness.evaluate(now, state, STALL_LIMIT) for now, state in observations
        ] == verdicts

    def test_no_limit_lets_a_peer_that_acknowledges_read_nothing_for_any_time(self):
        liveness = OutputLiveness()
        liveness.record_write(0.0)
        assert liveness.evaluate(1e6, closed(), None) is WAITING
