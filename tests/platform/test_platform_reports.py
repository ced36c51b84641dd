import json

import pytest

from ragworthoist.exceptions import ReportError
from ragworthoist.platform.reports import decode_heartbeat, parse_report_target

INFO = {"service": "shop", "version": "v1", "zone": "a", "slots": 5}
STATUS = {"state": "ready", "seq": 4, "coldLeftMs": 1500}


def encode(info=(), status=(), **changes):
    body = {
        "address": "10.0.0.1:80",
        "nodeInfo": INFO | dict(info),
        "statusInfo": STATUS | dict(status),
    }
    return json.dumps(body | changes).encode()


@pytest.mark.parametrize(
    ("target", "expected"),
    [
        (b"/rpc?call=instances.heartbeat&of=i-1", (True, "i-1")),
        (b"/rpc?call=instances.deregister&of=i-1", (False, "i-1")),
        (b"/rpc?call=instances.heartbeat", None),
        (b"/rpc?call=other&of=i-1", None),
        (b"/other?call=instances.heartbeat&of=i-1", None),
    ],
)
def test_report_targets_are_parsed(target, expected):
    assert parse_report_target(target) == expected


def test_heartbeat_is_decoded_to_a_report():
    report = decode_heartbeat("i-1", encode(born=1700))
    assert (report.instance, report.service, report.slots) == ("i-1", "shop", 5)
    assert (report.sequence, report.server_start_ms, report.cold_seconds) == (
        4,
        1700,
        1.5,
    )
    assert not report.leaving
    leaving = decode_heartbeat("i-1", encode(status={"state": "draining"}))
    assert leaving.leaving


@pytest.mark.parametrize(
    ("raw", "field"),
    [
        (b"\xff\xfe", "body"),
        (b"{", "body"),
        (b"[]", ""),
        (encode(info={"service": 5}), "nodeInfo.service"),
        (encode(info={"slots": "5"}), "nodeInfo.slots"),
        (encode(status={"state": "asleep"}), "statusInfo.state"),
        (encode(status={"seq": None}), "statusInfo.seq"),
        (encode(born="early"), "born"),
        (encode(address=""), "address"),
    ],
)
def test_invalid_heartbeat_raises_an_error_naming_the_field(raw, field):
    with pytest.raises(ReportError) as caught:
        decode_heartbeat("i-1", raw)
    assert caught.value.field == field


@pytest.mark.parametrize(
    ("raw", "field"),
    [
        (b"[" * 10_000 + b"]" * 10_000, "body"),
        (encode(info={"slots": 10**4000}), "nodeInfo.slots"),
        (encode(status={"seq": 10**4000}), "statusInfo.seq"),
        (encode(status={"coldLeftMs": float("inf")}), "body"),
        (encode(born=10**4000), "born"),
        (encode(born=-1), "born"),
    ],
)
def test_odd_heartbeat_of_another_writer_is_taken_or_fails_later(raw, field):
    with pytest.raises(ReportError) as caught:
        decode_heartbeat("i-1", raw)
    assert caught.value.field == field
