"""What a restarted node takes over from callers about the server beside it.

Guards against forgetting, with a restart of the node alone, that the server is leaving
or takes a limited rate of requests.
"""

import pytest

from ragworthoist.core.advertised_rate import AdvertisedRate
from ragworthoist.core.arrivals import ArrivalMeter
from ragworthoist.core.notices import ServerNotice
from ragworthoist.core.server_lifecycle import ServerLifecycle, ServerReport
from ragworthoist.edge.server_notices import ServerNotices
from ragworthoist.net.exchanges import Response
from ragworthoist.platform.headers import read_response_metadata

NOW = 10.0


def make_notices(start_ms=5, instance="i-1"):
    """Return the lifecycle, rate and notices of a node that has just started."""
    lifecycle = ServerLifecycle("shop", "here:1", drain_seconds=2.0)
    if start_ms:
        lifecycle.process_report(
            ServerReport(instance, "shop", "here:1", 8, False, 9, start_ms), NOW
        )
    else:
        lifecycle.verify(instance, NOW)
    rate = AdvertisedRate()
    return lifecycle, rate, ServerNotices(lifecycle, rate, ArrivalMeter())


def record_answer(notices, lifecycle, sent_at, *headers):
    metadata = read_response_metadata(Response(200, [(b"server-seal", b"s"), *headers]))
    notices.record_response(metadata, lifecycle.process_number, sent_at, NOW + sent_at)


@pytest.mark.parametrize(
    ("notice", "start_ms", "may_forward", "admits_others"),
    [
        (ServerNotice("i-1", 5, None, True), 5, False, False),
        (ServerNotice("i-1", 4, None, True), 5, True, True),
        (ServerNotice("i-0", 5, None, True), 5, True, True),
        # Without a start time it may be an earlier process with the same id.
        (ServerNotice("i-1", 0, None, True), 5, False, True),
        (ServerNotice("i-1", 5, None, True), 0, False, True),
        (ServerNotice("i-1", 5, 2.0, False), 5, True, True),
    ],
)
def test_callers_tell_a_restarted_node_that_its_server_is_leaving(
    notice, start_ms, may_forward, admits_others
):
    lifecycle, _, notices = make_notices(start_ms)
    assert notices.apply_notice(notice, NOW) is may_forward
    assert lifecycle.admits(NOW) is admits_others


def test_drain_time_that_has_begun_here_is_not_cut_by_a_caller():
    lifecycle, _, notices = make_notices()
    record_answer(notices, lifecycle, 0.0, (b"server-leaving", b"1"))
    assert notices.apply_notice(ServerNotice("i-1", 5, None, True), NOW)
    assert lifecycle.admits(NOW)


@pytest.mark.parametrize(
    ("notice", "rate"),
    [
        (ServerNotice("i-1", 5, 2.0, False), 2.0),
        (ServerNotice("i-1", 0, 2.0, False), 2.0),
        (ServerNotice("i-1", 4, 2.0, False), None),
        (ServerNotice("i-0", 5, 2.0, False), None),
    ],
)
def test_callers_tell_a_restarted_node_the_rate_of_its_server(notice, rate):
    _, advertised, notices = make_notices()
    notices.apply_notice(notice, NOW)
    assert advertised.rate == rate


def test_an_answer_of_the_server_outranks_what_callers_tell():
    lifecycle, advertised, notices = make_notices()
    notice = ServerNotice("i-1", 5, 2.0, False)
    notices.apply_notice(notice, NOW)
    record_answer(notices, lifecycle, 1.0)
    assert advertised.rate is None
    notices.apply_notice(notice, NOW)
    assert advertised.rate is None


@pytest.mark.parametrize(
    ("headers", "rate", "is_leaving"),
    [
        ([(b"server-limit", b"3")], 3.0, False),
        ([(b"server-leaving", b"1")], None, True),
        ([(b"server-limit", b"3"), (b"server-leaving", b"1")], 3.0, True),
    ],
)
def test_notice_for_callers_tells_what_the_server_said(headers, rate, is_leaving):
    lifecycle, _, notices = make_notices()
    record_answer(notices, lifecycle, 0.0, *headers)
    assert notices.make_notice() == ServerNotice("i-1", 5, rate, is_leaving)


def test_a_server_without_need_makes_no_notice():
    lifecycle, _, notices = make_notices()
    record_answer(notices, lifecycle, 0.0)
    assert notices.make_notice() is None
