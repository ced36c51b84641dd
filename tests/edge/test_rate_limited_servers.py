"""What servers and callers get while servers advertise how many requests they take.

Each test plays a load on a model of a call graph on virtual time.
"""

import pytest
from edge.call_graph import CallGraph, Kind, Service
from edge.test_overload import play

# Any span of this length counts, once the rate has been known for `SETTLE_SECONDS`.
SPAN_SECONDS = 4.0
SETTLE_SECONDS = 3.0
# The users' bound on what a server gets in a span, as a multiple of its rate, and the
# requests that may come on top.
MAX_EXCESS_FACTOR = 1.5
MAX_EXTRA_REQUESTS = 5


def make_graph(rate=120.0, slots=54, **options):
    """A graph with five servers of one service; each has 0.4 s of work a request."""
    return CallGraph(
        {"listings": Service(slots, speeds=(1.0,) * 5), "welfare": Service(40)},
        [
            Kind("browse", "listings", 0.4, (), rate, rank=2, target=2.0),
            Kind("check", "listings", 0.1, (), 0.1 * rate, rank=0, target=0.5),
            Kind("refund", "welfare", 0.1, ("ledger",), 20.0, target=2.0),
            Kind("ledger", "welfare", 0.02, (), rank=1, target=0.5),
        ],
        **options,
    )


def advertise(service, *rates):
    """Return a change of the graph after which servers of `service` advertise."""

    def change(graph):
        graph.services[service].advertised = rates

    return change


def find_largest_excess(times, rate, start, end=float("inf")):
    """Return by how many requests the busiest span exceeds what `rate` allows."""
    times = [time for time in times if start <= time < end]
    allowed = MAX_EXCESS_FACTOR * rate * SPAN_SECONDS + MAX_EXTRA_REQUESTS
    counts = [
        sum(first <= time < first + SPAN_SECONDS for time in times) for first in times
    ]
    return max(counts, default=0) - allowed


@pytest.mark.parametrize(
    "rates",
    [
        (12.0, 12.0, 12.0, 12.0, None),
        (23.2, 11.1, 10.7, 9.8, None),
        (3.3, None, None, None, None),
        (12.0, 12.0, 12.0, 12.0, 12.0),
    ],
)
def test_server_gets_more_requests_than_the_rate_that_it_advertises(rates):
    graph = make_graph()
    result = play(graph, 12.0, changes=[(2.0, advertise("listings", *rates))])
    for place, rate in enumerate(rates):
        if rate is not None:
            times = result.arrival_times["listings", place]
            assert find_largest_excess(times, rate, 2.0 + SETTLE_SECONDS) <= 0


@pytest.mark.parametrize(
    ("rates", "least_served"),
    [
        # What four servers do not take fits at the fifth.
        ((12.0, 12.0, 12.0, 12.0, None), 0.97),
        ((3.3, None, None, None, None), 0.99),
        # A rate above the need changes nothing.
        ((60.0, 60.0, 60.0, 60.0, 60.0), 0.99),
    ],
)
def test_requests_beyond_a_rate_go_to_servers_with_room(rates, least_served):
    result = play(make_graph(), 12.0, changes=[(2.0, advertise("listings", *rates))])
    assert result.share("browse") >= least_served
    assert result.share("check") >= least_served
    assert result.share("refund") >= 0.99


def test_a_service_whose_servers_all_advertise_serves_urgent_requests_first():
    rates = (10.0,) * 5
    graph = make_graph(client_retries=1)
    result = play(graph, 12.0, changes=[(0.0, advertise("listings", *rates))])
    assert result.share("check") > 0.98
    # Nearly all that the rates allow is used.
    assert result.arrivals["listings"] / 12.0 > 0.9 * sum(rates)
    assert result.statuses["browse", 503] > 0
    assert result.count(500) == result.count(502) == 0
    # Refused so early that the client can come back within its target.
    waits = sorted(result.seconds_until_refused)
    assert waits[len(waits) // 2] < 0.15


def test_requests_return_soon_after_a_server_advertises_no_rate_any_more():
    rates = (4.0,) * 5
    changes = [(2.0, advertise("listings", *rates)), (6.0, advertise("listings"))]
    calm = {}
    changes.append((8.5, lambda graph: calm.update(refused=graph.result.count(503))))
    result = play(make_graph(), 12.0, changes=changes)
    assert calm["refused"] > 0
    assert result.count(503) - calm["refused"] < 5


@pytest.mark.parametrize("rate", [0.0, 0.1])
def test_a_server_that_takes_hardly_any_requests_is_still_tried(rate):
    changes = [(2.0, advertise("listings", rate, None, None, None, None))]
    changes.append((7.0, advertise("listings")))
    result = play(make_graph(), 12.0, changes=changes)
    times = result.arrival_times["listings", 0]
    assert 1 <= sum(3.0 <= time < 7.0 for time in times) <= MAX_EXTRA_REQUESTS
    assert sum(9.5 <= time < 12.0 for time in times) > 20


def test_a_rate_deep_in_the_graph_is_kept_by_refusing_whole_requests():
    graph = make_graph()
    rates = (2.0, 2.0, 2.0)
    result = play(graph, 12.0, changes=[(2.0, advertise("welfare", *rates))])
    for place, rate in enumerate(rates):
        times = result.arrival_times["welfare", place]
        assert find_largest_excess(times, rate, 2.0 + SETTLE_SECONDS) <= 0
    assert result.statuses["refund", 503] > result.statuses["refund", 500]


@pytest.mark.parametrize("rate", [1.0, 2.0, 4.0])
def test_restarts_of_the_node_beside_a_server_do_not_forget_its_rate(rate):
    """Callers tell the new process what the server had said before."""
    changes = [(1.0, advertise("listings", rate, None, None, None, None))]
    changes += [
        (5.0 + step, lambda graph: graph.restart_node("listings", 0))
        for step in (0.0, 0.7, 1.4, 5.0, 5.3)
    ]
    result = play(make_graph(), 14.0, changes=changes)
    times = result.arrival_times["listings", 0]
    assert find_largest_excess(times, rate, 1.0 + SETTLE_SECONDS) <= 0


@pytest.mark.parametrize("timeout", [1.0, 1.5, 5.0])
@pytest.mark.parametrize(
    "rates", [(8.0, 8.0, 8.0, 8.0, None), (23.2, 11.1, 10.7, 9.8, None)]
)
def test_calls_wait_for_a_rate_until_no_server_can_serve_them_in_time(rates, timeout):
    refund = Kind(
        "refund", "listings", 0.3, (), 120.0, target=4.0, timeout=timeout, safe=False
    )
    graph = CallGraph({"listings": Service(54, speeds=(1.0,) * 5)}, [refund])
    result = play(graph, 12.0, changes=[(2.0, advertise("listings", *rates))])
    assert result.statuses["refund", 200] == result.asked["refund"]
