import pytest

from ragworthoist.net.exchanges import Response
from ragworthoist.platform.headers import (
    forward_answer_headers,
    make_hand_over_headers,
    make_refusal_headers,
    read_attempt,
    read_verdict,
)


class TestReadAttempt:
    @pytest.mark.parametrize(
        ("value", "patience"),
        [(b"1500", 1.5), (b"0", 0.0), (b"", None), (b"-5", None), (b"1e9", None)],
    )
    def test_patience_is_read_in_seconds(self, value, patience):
        attempt = read_attempt([(b"deadline-ms", value)], "shop")
        assert attempt.patience == patience

    @pytest.mark.parametrize(
        ("host", "found"),
        [(b"A.example", "a.example"), (b"a.example:80", "a.example"), (b"", "")],
    )
    def test_the_host_loses_port_and_case(self, host, found):
        assert read_attempt([(b"host", host)], "shop").host == found

    def test_the_caller_is_set_whatever_was_sent(self):
        attempt = read_attempt([(b"caller-service", b"false")], "shop")
        assert attempt.headers == [(b"caller-service", b"shop")]

    @pytest.mark.parametrize(
        "name",
        [b"connection", b"content-length", b"transfer-encoding", b"keep-alive", b"te",
         b"upgrade", b"expect-instance", b"deadline-ms", b"nominated"],
    )  # fmt: skip
    def test_headers_of_one_hop_do_not_travel(self, name):
        headers = [(b"connection", b"nominated, x"), (name, b"1"), (b"kept", b"2")]
        names = [found for found, _ in read_attempt(headers, "shop").headers]
        assert names == [b"kept", b"caller-service"]


class TestVerdict:
    @pytest.mark.parametrize(
        ("status", "headers", "facts"),
        [
            (200, [(b"server-seal", b"x")], (False, False, True, False)),
            (503, [(b"not-executed", b"1")], (True, False, False, False)),
            (421, [(b"instance-id", b"i-2")], (False, True, False, False)),
            (200, [(b"content-encoding", b"gzip")], (False, False, False, True)),
            (503, [], (False, False, False, False)),
        ],
    )
    def test_says_what_the_server_states(self, status, headers, facts):
        found = read_verdict(Response(status, headers))
        assert facts == (
            found.not_run,
            found.is_misdirected,
            found.is_sealed,
            found.is_encoded,
        )


def test_a_hand_over_never_offers_less_than_a_millisecond():
    headers = dict(make_hand_over_headers(0.0001, "i-1"))
    assert headers == {b"deadline-ms": b"1", b"expect-instance": b"i-1"}


def test_answers_keep_the_seal_and_the_attempt():
    headers = [(b"server-seal", b"x"), (b"attempt-id", b"1"), (b"connection", b"close")]
    assert forward_answer_headers(headers) == headers[:2]


@pytest.mark.parametrize(
    ("attempt_id", "seconds", "headers"),
    [
        (b"1", None, [(b"attempt-id", b"1")]),
        (b"", 0.25, [(b"retry-after", b"0.250")]),
    ],
)
def test_refusals_name_the_attempt_and_when_to_return(attempt_id, seconds, headers):
    assert make_refusal_headers(attempt_id, seconds) == headers
