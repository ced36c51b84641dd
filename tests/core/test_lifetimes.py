import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ragworthoist.core.lifetimes import (
    ADMIT_SHARE_OF_DRAIN,
    ReportVerdict,
    ServerLife,
    ServerReport,
    ServerState,
)

DRAIN_SECONDS = 2.0


def make_life():
    return ServerLife("shop", "10.0.0.1:80", DRAIN_SECONDS)


def report(instance="i-1", sequence=1, born=0, leaving=False, **changes):
    values = {"service": "shop", "address": "10.0.0.1:80", "slots": 8} | changes
    return ServerReport(
        instance=instance, sequence=sequence, born=born, leaving=leaving, **values
    )


class TestServerLife:
    @pytest.mark.parametrize(
        ("reports", "verdicts", "state"),
        [
            ([report()], ["taken"], "ready"),
            ([report(sequence=2), report(sequence=1)], ["taken", "stale"], "ready"),
            ([report(), report(sequence=1)], ["taken", "stale"], "ready"),
            ([report(service="other")], ["foreign"], "unknown"),
            ([report(address="10.0.0.2:80")], ["foreign"], "unknown"),
            ([report(), report(sequence=2, leaving=True)], ["taken"] * 2, "leaving"),
            (
                [report(sequence=3, leaving=True), report(sequence=2)],
                ["taken", "stale"],
                "leaving",
            ),
            (
                [report(born=5, sequence=9), report(born=6, sequence=1)],
                ["taken", "taken"],
                "ready",
            ),
            (
                [report(born=6, sequence=1), report(born=5, sequence=9)],
                ["taken", "stale"],
                "ready",
            ),
            (
                [report(born=5, leaving=True), report("i-2", born=9)],
                ["taken", "taken"],
                "ready",
            ),
            (
                [report("i-2", born=9), report("i-1", born=5, sequence=7)],
                ["taken", "stale"],
                "ready",
            ),
            (
                [report("i-1"), report("i-2"), report("i-1", sequence=2)],
                ["taken", "taken", "stale"],
                "ready",
            ),
        ],
    )
    def test_reports_are_ordered_by_lifetime_and_sequence(
        self, reports, verdicts, state
    ):
        life = make_life()
        found = [life.take(each, 1.0).value for each in reports]
        assert (found, life.state.value) == (verdicts, state)

    def test_a_leave_admits_for_a_part_of_the_drain_time_only(self):
        life = make_life()
        life.take(report(), 0.0)
        life.take(report(sequence=2, leaving=True), 10.0)
        end = 10.0 + ADMIT_SHARE_OF_DRAIN * DRAIN_SECONDS
        assert (life.admits(end - 0.01), life.admits(end)) == (True, False)

    def test_a_late_ready_report_does_not_undo_a_leave(self):
        life = make_life()
        life.take(report(sequence=1), 0.0)
        assert life.end("i-1", 1.0)
        life.take(report(sequence=2), 1.5)
        assert not life.is_ready

    def test_a_server_that_ended_is_not_verified_again(self):
        life = make_life()
        life.end("i-1", 0.0)
        life.verify("i-1", 1.0)
        assert life.state is ServerState.UNKNOWN


class LifeMachine(RuleBasedStateMachine):
    """Reports of a few lifetimes in any order, against the newest one sent.

    The oracle keeps every report that was ever taken in and looks only at the
    greatest by (start, sequence).
    """

    def __init__(self):
        super().__init__()
        self.life = make_life()
        self.seen = []
        self.now = 0.0

    @rule(
        born=st.integers(1, 3),
        sequence=st.integers(1, 5),
        leaving=st.booleans(),
    )
    def receive(self, born, sequence, leaving):
        self.now += 0.01
        sent = report(f"i-{born}", sequence, born, leaving)
        verdict = self.life.take(sent, self.now)
        newest = max(((r.born, r.sequence) for r in self.seen), default=(0, 0))
        assert (verdict is ReportVerdict.TAKEN) == ((born, sequence) > newest)
        if verdict is ReportVerdict.TAKEN:
            self.seen.append(sent)

    @invariant()
    def leaving_holds_within_a_lifetime(self):
        if not self.seen:
            assert self.life.state is ServerState.UNKNOWN
            return
        newest = max(r.born for r in self.seen)
        left = any(r.leaving for r in self.seen if r.born == newest)
        assert self.life.is_ready == (not left)
        assert self.life.instance == f"i-{newest}"


LifeMachine.TestCase.settings = settings(derandomize=True, deadline=None)
TestLifeMachine = LifeMachine.TestCase
