import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ragworthoist.core.server_lifecycle import (
    ADMIT_SHARE_OF_DRAIN,
    ReportVerdict,
    ServerLifecycle,
    ServerReport,
    ServerState,
)

DRAIN_SECONDS = 2.0


def make_lifecycle():
    return ServerLifecycle("shop", "10.0.0.1:80", DRAIN_SECONDS)


def report(instance="i-1", sequence=1, start_ms=0, leaving=False, **changes):
    values = {"service": "shop", "address": "10.0.0.1:80", "slots": 8} | changes
    return ServerReport(
        instance=instance,
        sequence=sequence,
        server_start_ms=start_ms,
        leaving=leaving,
        **values,
    )


class TestServerLifecycle:
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
                [report(start_ms=5, sequence=9), report(start_ms=6, sequence=1)],
                ["taken", "taken"],
                "ready",
            ),
            (
                [report(start_ms=6, sequence=1), report(start_ms=5, sequence=9)],
                ["taken", "stale"],
                "ready",
            ),
            (
                [report(start_ms=5, leaving=True), report("i-2", start_ms=9)],
                ["taken", "taken"],
                "ready",
            ),
            (
                [report("i-2", start_ms=9), report("i-1", start_ms=5, sequence=7)],
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
    def test_reports_are_ordered_by_server_start_and_sequence(
        self, reports, verdicts, state
    ):
        lifecycle = make_lifecycle()
        found = [lifecycle.process_report(each, 1.0).value for each in reports]
        assert (found, lifecycle.state.value) == (verdicts, state)

    def test_leaving_server_admits_calls_for_part_of_the_drain_time(self):
        lifecycle = make_lifecycle()
        lifecycle.process_report(report(), 0.0)
        lifecycle.process_report(report(sequence=2, leaving=True), 10.0)
        end = 10.0 + ADMIT_SHARE_OF_DRAIN * DRAIN_SECONDS
        assert (lifecycle.admits(end - 0.01), lifecycle.admits(end)) == (True, False)

    def test_late_ready_report_does_not_undo_leaving(self):
        """A report that was sent before the deregistration may arrive after it."""
        lifecycle = make_lifecycle()
        lifecycle.process_report(report(sequence=1), 0.0)
        assert lifecycle.deregister("i-1", 1.0)
        lifecycle.process_report(report(sequence=2), 1.5)
        assert not lifecycle.is_ready

    @pytest.mark.parametrize(
        ("admits_calls", "end"),
        [(True, 10.0 + ADMIT_SHARE_OF_DRAIN * DRAIN_SECONDS), (False, 10.0)],
    )
    def test_server_that_has_said_that_it_leaves_is_not_ready_again(
        self, admits_calls, end
    ):
        lifecycle = make_lifecycle()
        lifecycle.process_report(report(sequence=1), 0.0)
        lifecycle.record_leaving(10.0, admits_calls)
        lifecycle.process_report(report(sequence=2), 10.0)
        # A repetition does not extend the time.
        lifecycle.record_leaving(end - 0.1)
        assert lifecycle.is_leaving
        assert not lifecycle.admits(end)
        lifecycle.process_report(report("i-2"), end)
        assert lifecycle.admits(end)

    @pytest.mark.parametrize(
        ("reports", "instance", "is_leaving"),
        [
            ([], "i-1", True),
            ([report()], "i-1", True),
            # Another server has taken the address since the query.
            ([report("i-2")], "i-1", False),
            ([report(), report("i-2")], "i-1", False),
        ],
    )
    def test_server_that_identifies_itself_as_leaving_gets_no_calls(
        self, reports, instance, is_leaving
    ):
        lifecycle = make_lifecycle()
        for sent in reports:
            lifecycle.process_report(sent, 0.0)
        lifecycle.verify_leaving(instance, 1.0)
        assert lifecycle.is_leaving is is_leaving
        assert lifecycle.admits(1.0) is not is_leaving

    @pytest.mark.parametrize(
        ("first", "second", "processes"),
        [
            (report(start_ms=5), report(sequence=2, start_ms=5), 1),
            (report(start_ms=5), report(start_ms=6), 2),
            (report(start_ms=5), report("i-2", start_ms=6), 2),
            (report(), report(sequence=2, start_ms=5), 1),
        ],
    )
    def test_server_processes_are_counted(self, first, second, processes):
        lifecycle = make_lifecycle()
        lifecycle.process_report(first, 0.0)
        lifecycle.process_report(second, 1.0)
        assert lifecycle.process_number == processes

    def test_first_report_after_a_query_of_the_id_is_of_the_same_process(self):
        lifecycle = make_lifecycle()
        lifecycle.verify("i-1", 0.0)
        lifecycle.process_report(report(start_ms=5), 1.0)
        assert (lifecycle.process_number, lifecycle.server_start_ms) == (1, 5)

    def test_deregistered_server_is_not_verified_again(self):
        lifecycle = make_lifecycle()
        lifecycle.deregister("i-1", 0.0)
        lifecycle.verify("i-1", 1.0)
        assert lifecycle.state is ServerState.UNKNOWN


class LifecycleMachine(RuleBasedStateMachine):
    """Reports of a few server processes in any order, compared with an oracle.

    The oracle keeps every report that was accepted and looks only at the newest one
    by (server start time, sequence number).
    """

    def __init__(self):
        super().__init__()
        self.lifecycle = make_lifecycle()
        self.seen = []
        self.now = 0.0

    @rule(
        start_ms=st.integers(1, 3),
        sequence=st.integers(1, 5),
        leaving=st.booleans(),
    )
    def receive(self, start_ms, sequence, leaving):
        self.now += 0.01
        sent = report(f"i-{start_ms}", sequence, start_ms, leaving)
        verdict = self.lifecycle.process_report(sent, self.now)
        newest = max(
            ((r.server_start_ms, r.sequence) for r in self.seen), default=(0, 0)
        )
        assert (verdict is ReportVerdict.TAKEN) == ((start_ms, sequence) > newest)
        if verdict is ReportVerdict.TAKEN:
            self.seen.append(sent)

    @invariant()
    def leaving_lasts_until_the_server_restarts(self):
        if not self.seen:
            assert self.lifecycle.state is ServerState.UNKNOWN
            return
        newest = max(r.server_start_ms for r in self.seen)
        left = any(r.leaving for r in self.seen if r.server_start_ms == newest)
        assert self.lifecycle.is_ready == (not left)
        assert self.lifecycle.instance == f"i-{newest}"


LifecycleMachine.TestCase.settings = settings(derandomize=True, deadline=None)
TestLifecycleMachine = LifecycleMachine.TestCase
