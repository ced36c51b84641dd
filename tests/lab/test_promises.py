"""Which logs of a soak break a promise.

Guards against a soak that passes because its checks see nothing.
"""

import pytest

from ragworthoist_lab.attempt_clients import AttemptResult
from ragworthoist_lab.disturbances import RateChange, Span
from ragworthoist_lab.promises import SoakLog, find_violations, promises

CALM_SINCE = 100.0
LEAVING = frozenset({"leaving"})
RATE = frozenset({"rate"})


def make_result(name="x", sent_at=10.0, status=200, **fields):
    whole = status == 200
    values = {"is_complete": status > 0, "is_whole": whole, "server": "i-1"} | fields
    target = values.pop("target", "/order/c")
    return AttemptResult(
        name, 0, target, False, sent_at, sent_at + 0.1, status, **values
    )


def arrive(name="x", at=10.0, server="i-1", events=("arrival", "run")):
    return [
        {"event": e, "at": at, "attempt": name, "server": server, "service": "shop"}
        for e in events
    ]


RATES = [RateChange("i-1", 2.0, 9.9, 10.0)]


def arrive_often(count):
    """Arrivals within a second, behind one that tells the node of the rate."""
    names = [f"n{number}" for number in range(count)]
    results = [make_result("first", 10.2, notices=RATE)]
    results += [make_result(name, 20.0) for name in names]
    journal = [
        entry
        for number, name in enumerate(names)
        for entry in arrive(name, 20.0 + number / count)
    ]
    return results, journal


CUT = {"is_whole": False, "is_complete": False}
CALM = [make_result("calm", CALM_SINCE + 1.0)], arrive("calm", CALM_SINCE, "i-2")
MOVES = [(10.0, "shop"), (20.0, "stock")]


@pytest.mark.parametrize(
    ("results", "journal", "spans", "broken"),
    [
        ([make_result()], arrive(), [], ""),
        ([make_result()], arrive() * 2, [], "runs at most once"),
        ([make_result(status=503)], arrive(), [], "said not to have run"),
        ([make_result(status=503)], arrive(events=["arrival"]), [], ""),
        ([make_result(is_whole=False)], arrive(), [], "whole answer"),
        # A cut answer looks cut.
        ([make_result(is_whole=False, is_complete=False)], arrive(), [], ""),
        ([make_result(status=0)], arrive(), [], "passed on is answered"),
        ([make_result(status=0)], arrive(events=[]), [], ""),
        ([make_result(status=0)], arrive(), [Span("kill", 0, 9.0, 10.2)], ""),
        (
            [make_result(status=0)],
            arrive(),
            [Span("stop", 0, 9.0, 12.0, {"has_exited": True})],
            "passed on is answered",
        ),
        ([make_result(status=0)], arrive(), [Span("kill", 1, 9.0, 12.0)], "answered"),
        ([], [], [Span("stop", 0, 9.0, 16.0, {"has_exited": False})], "planned stop"),
        (*arrive_often(17), [], ""),
        (*arrive_often(18), [], "no more than the rate"),
        (*arrive_often(18), [Span("stop", 0, 12.0, 15.0)], ""),
        (*arrive_often(18), [Span("stop", 1, 12.0, 15.0)], "no more than the rate"),
        (
            [make_result("first", notices=LEAVING), make_result("late", 12.2)],
            arrive("late", 12.3),
            [],
            "gets nothing new",
        ),
        (
            [make_result("first", notices=LEAVING), make_result("late", 12.0)],
            arrive("late", 12.3),
            [],
            "",
        ),
        (
            [make_result("first", notices=LEAVING), make_result("late", 12.2)],
            arrive("late", 12.3),
            [Span("pause", 0, 11.0, 11.5)],
            "",
        ),
        ([make_result(sent_at=22.1, target="/moved/d")], arrive(), [], "in force soon"),
        ([make_result(sent_at=21.9, target="/moved/d")], arrive(), [], ""),
        (
            [make_result(sent_at=22.1, target="/moved/d")],
            arrive(),
            [Span("store", 0, 15.0, 19.0)],
            "",
        ),
        ([make_result("late", CALM_SINCE + 2.0, 502)], [], [], "without disturbances"),
        ([make_result(reads_late=True, is_whole=False)], arrive(), [], "whole answer"),
        ([make_result(reads_late=True, **CUT)], arrive(), [], ""),
    ],
)
def test_violations(results, journal, spans, broken):
    log = SoakLog(CALM[0] + results, CALM[1] + journal, spans, MOVES, RATES, CALM_SINCE)
    violations = find_violations(log)
    assert len(violations) == bool(broken)
    assert all(broken in violation for violation in violations)


@pytest.mark.parametrize(
    ("change", "is_broken"),
    [
        (RateChange("i-1", None, 20.0, 20.1), False),
        (RateChange("i-1", 60.0, 20.0, 20.1), False),
        (RateChange("i-2", None, 20.0, 20.1), True),
        (RateChange("i-1", None, 22.0, 22.1), True),
    ],
)
def test_a_rate_is_kept_until_the_same_server_is_told_otherwise(change, is_broken):
    results, journal = arrive_often(18)
    rates = [*RATES, change]
    log = SoakLog(CALM[0] + results, CALM[1] + journal, [], MOVES, rates, CALM_SINCE)
    assert len(find_violations(log)) == is_broken


def test_a_cut_answer_of_a_late_reader_breaks_a_promise_in_a_calm_fleet():
    late = make_result("late", CALM_SINCE + 1.0, reads_late=True, **CUT)
    others = [make_result(f"calm{n}", CALM_SINCE + 1.0) for n in range(200)]
    journal = arrive("late", CALM_SINCE + 1.0)
    log = SoakLog([late, *others], journal, [], MOVES, RATES, CALM_SINCE)
    [violation] = find_violations(log)
    assert "reads late" in violation


def test_a_soak_without_calm_requests_is_a_violation():
    assert len(find_violations(SoakLog([], [], [], [], [], CALM_SINCE))) == 1
    assert len(promises.names()) == 10
