import pytest

from ragworthoist.net.exchanges import Response
from ragworthoist.platform.headers import (
    filter_answer_headers,
    make_forwarding_headers,
    make_refusal_headers,
    read_attempt,
    read_response_metadata,
)


class TestReadAttempt:
    @pytest.mark.parametrize(
        ("value", "client_timeout"),
        [(b"1500", 1.5), (b"0", 0.0), (b"", None), (b"-5", None), (b"1e9", None)],
    )
    def test_client_timeout_is_converted_to_seconds(self, value, client_timeout):
        attempt = read_attempt([(b"deadline-ms", value)], "shop")
        assert attempt.client_timeout == client_timeout

    @pytest.mark.parametrize(
        ("host", "expected_host"),
        [(b"A.example", "a.example"), (b"a.example:80", "a.example"), (b"", "")],
    )
    def test_host_is_lowercased_without_its_port(self, host, expected_host):
        assert read_attempt([(b"host", host)], "shop").host == expected_host

    def test_caller_header_of_the_client_is_replaced(self):
        attempt = read_attempt([(b"caller-service", b"false")], "shop")
        assert attempt.headers == [(b"caller-service", b"shop")]

    @pytest.mark.parametrize(
        "name",
        [b"connection", b"content-length", b"transfer-encoding", b"keep-alive", b"te",
         b"upgrade", b"expect-instance", b"deadline-ms", b"nominated"],
    )  # fmt: skip
    def test_hop_by_hop_and_node_headers_are_not_forwarded(self, name):
        headers = [(b"connection", b"nominated, x"), (name, b"1"), (b"kept", b"2")]
        names = [header for header, _ in read_attempt(headers, "shop").headers]
        assert names == [b"kept", b"caller-service"]


class TestReadResponseMetadata:
    @pytest.mark.parametrize(
        ("status", "headers", "flags"),
        [
            (200, [(b"server-seal", b"x")], (False, False, True, False)),
            (503, [(b"not-executed", b"1")], (True, False, False, False)),
            (421, [(b"instance-id", b"i-2")], (False, True, False, False)),
            (200, [(b"content-encoding", b"gzip")], (False, False, False, True)),
            (503, [], (False, False, False, False)),
        ],
    )
    def test_flags_follow_status_and_headers(self, status, headers, flags):
        metadata = read_response_metadata(Response(status, headers))
        assert flags == (
            metadata.not_run,
            metadata.is_misdirected,
            metadata.is_sealed,
            metadata.is_encoded,
        )

    @pytest.mark.parametrize(
        ("values", "rate", "malformed"),
        [
            ([], None, None),
            ([b"12.8"], 12.8, None),
            ([b" 3 "], 3.0, None),
            ([b".5"], 0.5, None),
            ([b"0"], 0.0, None),
            ([b"1" * 40], float("1" * 40), None),
            ([b"0." + b"3" * 40], 1 / 3, None),
            ([b"9", b"7.5"], 7.5, None),
            ([b"9", b"x"], 9.0, "x"),
            ([b""], None, ""),
            ([b"-1"], None, "-1"),
            ([b"1e3"], None, "1e3"),
            ([b"NaN"], None, "NaN"),
            ([b"inf"], None, "inf"),
            ([b"."], None, "."),
            ([b"1,5"], None, "1,5"),
            ([b"1" * 65], None, "1" * 64),
        ],
    )
    def test_rate_is_a_plain_decimal_number(self, values, rate, malformed):
        headers = [(b"server-limit", value) for value in values]
        metadata = read_response_metadata(Response(200, headers))
        assert metadata.advertised_rate == (rate and pytest.approx(rate))
        assert metadata.malformed_rate == malformed

    @pytest.mark.parametrize(
        ("headers", "is_leaving"),
        [
            ([], False),
            ([(b"server-leaving", b"1")], True),
            ([(b"server-leaving", b" 1 ")], True),
            ([(b"server-leaving", b"0")], False),
        ],
    )
    def test_leaving_is_read(self, headers, is_leaving):
        metadata = read_response_metadata(Response(200, headers))
        assert metadata.is_leaving is is_leaving


def test_forwarded_timeout_is_at_least_one_millisecond():
    headers = dict(make_forwarding_headers(0.0001, "i-1"))
    assert headers == {b"deadline-ms": b"1", b"expect-instance": b"i-1"}


def test_answer_headers_keep_seal_and_attempt_id():
    headers = [(b"server-seal", b"x"), (b"attempt-id", b"1"), (b"connection", b"close")]
    assert filter_answer_headers(headers) == headers[:2]


@pytest.mark.parametrize(
    ("attempt_id", "seconds", "headers"),
    [
        (b"1", None, [(b"attempt-id", b"1")]),
        (b"", 0.25, [(b"retry-after", b"0.250")]),
    ],
)
def test_refusal_headers_hold_attempt_id_and_retry_after(attempt_id, seconds, headers):
    assert make_refusal_headers(attempt_id, seconds) == headers
