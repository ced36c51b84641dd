"""Responses of a node to requests for metrics and readiness.

Guards against changed names or labels of metrics, which operators' tools match.
"""

import asyncio
from types import SimpleNamespace

import pytest

from ragworthoist._outcomes import OutcomeTable
from ragworthoist.core.admission import Admission
from ragworthoist.core.advertised_rate import AdvertisedRate
from ragworthoist.core.arrivals import ArrivalMeter
from ragworthoist.core.entities import Answer, Outcome, Reason
from ragworthoist.edge.forwarding import _ADMISSION_POLICY
from ragworthoist.edge.observing import Observer


class FakeRequest:
    def __init__(self, target):
        self.target = target
        self.answer = None

    async def respond(self, status, headers=(), body=b""):
        self.answer = (status, body)


def make_node(*rates):
    outcomes = OutcomeTable()
    outcomes.record("order", 0, Answer(Outcome.COMPLETED, Reason.ANSWERED, 200), 0.03)
    outcomes.record("order", 0, Answer(Outcome.NOT_RUN, Reason.SHED), 0.001)
    arrivals = ArrivalMeter()
    for _ in range(6):
        arrivals.record(9.0)
    advertised_rate = AdvertisedRate()
    for rate in rates:
        advertised_rate.record_answer(rate, 9.5, 9.0)
    return SimpleNamespace(
        clock=lambda: 10.0,
        lifecycle=SimpleNamespace(instance="i-1"),
        outcomes=outcomes,
        store=SimpleNamespace(calls={"get": 2}),
        server_client=SimpleNamespace(connections_opened=3),
        forwarder=SimpleNamespace(
            admission=Admission(_ADMISSION_POLICY),
            arrivals=arrivals,
            advertised_rate=advertised_rate,
        ),
        configuration=SimpleNamespace(version=7, refusals=2),
        follower=SimpleNamespace(is_watching=True, unconfirmed_seconds=1.5),
        membership=SimpleNamespace(members={}),
        memory=SimpleNamespace(held_bytes=41, evicted_count=5),
        is_ready=True,
    )


def get_answer(target, method="answer_metrics", rates=(12.8,)):
    request = FakeRequest(target)
    asyncio.run(getattr(Observer(make_node(*rates)), method)(request))
    return request.answer


@pytest.mark.parametrize(
    "line",
    [
        'ragworthoist_requests_total{kind="order",outcome="not-run",rank="0",'
        'reason="shed"} 1',
        'ragworthoist_completed_below_total{kind="order",le="0.05",rank="0"} 1',
        'ragworthoist_store_calls_total{kind="get"} 2',
        "ragworthoist_server_connections_total 3",
        "ragworthoist_held_bytes 41",
        "ragworthoist_evictions_total 5",
        "ragworthoist_configuration_version 7",
        "ragworthoist_configuration_unconfirmed_seconds 1.5",
        'ragworthoist_server_requests_total{server="i-1"} 6',
        'ragworthoist_server_requests_per_second{server="i-1"} 1.5',
        'ragworthoist_server_advertised_rate{server="i-1"} 12.8',
        "ragworthoist_configurations_refused_total 2",
    ],
)
def test_metrics_are_served_as_text(line):
    status, body = get_answer(b"/metrics")
    assert status == 200
    assert line in body.decode().splitlines()


@pytest.mark.parametrize(
    ("rates", "shown"),
    [
        ((), set()),
        ((12.8,), {"requests_total", "requests_per_second", "advertised_rate"}),
        # What reached the server stays comparable after the rate has ended.
        ((12.8, None), {"requests_total", "requests_per_second"}),
    ],
)
def test_metrics_of_the_rate_appear_with_the_first_one(rates, shown):
    _, body = get_answer(b"/metrics", rates=rates)
    names = {
        line.split()[2].removeprefix("ragworthoist_server_")
        for line in body.decode().splitlines()
        if line.startswith("# TYPE ragworthoist_server_")
    }
    assert names - {"connections_total"} == shown


def test_unknown_path_is_not_found():
    assert get_answer(b"/other")[0] == 404


def test_ready_node_responds_with_status_200():
    assert get_answer(b"/ready", "answer_readiness")[0] == 200
