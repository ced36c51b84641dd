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


@pytest.mark.xfail(strict=True, reason="listed in KNOWN-RED.txt")
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
