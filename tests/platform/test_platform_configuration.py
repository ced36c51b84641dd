import json

import pytest

from ragworthoist.core.configuration import Adoption, ConfigurationTable
from ragworthoist.exceptions import DocumentError
from ragworthoist.platform.configuration import compile_routes

RULE = {
    "name": "r-1",
    "pathPrefix": "/x/",
    "routeKind": "safe",
    "timeoutMs": 5000,
    "targetLatencyMs": 1200,
    "priority": 1,
    "service": "shop",
    "maxAttempts": 2,
}


def encode(version="0000000c", rules=(RULE,), **changes):
    body = {
        "version": version,
        "services": [
            {"name": "shop", "healthPath": "/up", "maxConnections": 7},
            {"name": "stock"},
        ],
        "limits": {"maxHeaderBytes": 100, "idleTimeoutMs": 2000},
        "virtualHosts": [{"host": "A.example", "pathRules": list(rules)}],
    }
    return json.dumps(body | changes).encode()


def test_configuration_is_compiled_to_routes():
    table = compile_routes(encode())
    route = table.find("a.example", "/x/1")
    assert (table.version, route.name, route.rank) == (12, "r-1", 1)
    assert (route.timeout, route.latency_target, route.max_attempts) == (5.0, 1.2, 2)
    assert route.idempotent
    assert table.service("shop").health_path == "/up"
    assert (table.limits.max_head_bytes, table.limits.idle_timeout) == (100, 2.0)


def test_split_keeps_only_services_with_positive_weight():
    parts = [{"service": "stock", "weight": 90}, {"service": "shop", "weight": 0}]
    rule = {key: RULE[key] for key in RULE if key != "service"}
    table = compile_routes(encode(rules=[rule | {"weightedSplit": parts}]))
    [share] = table.find("a.example", "/x/").shares
    assert (share.service, share.weight) == ("stock", 90)


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"{",
        b"\xff",
        b"[]",
        encode(version="12"),
        encode(version=12),
        encode(rules=[RULE | {"pathPrefix": "x"}]),
        encode(rules=[RULE | {"routeKind": "odd"}]),
        encode(rules=[RULE | {"timeoutMs": -1}]),
        encode(rules=[RULE | {"service": None}]),
        encode(limits={"maxHeaderBytes": 0}),
        encode(rules=[RULE | {"service": "nowhere"}]),
        encode(rules=[RULE, RULE | {"name": "r-2"}]),
        encode()[:-20],
    ],
)
def test_invalid_configuration_leaves_the_last_valid_one_in_force(raw):
    table = ConfigurationTable(compile=compile_routes)
    assert table.offer(encode()) is Adoption.ADOPTED
    with pytest.raises(DocumentError):
        table.offer(raw)
    assert table.version == 12


@pytest.mark.parametrize(
    ("kind", "idempotent"), [("safe", True), ("unsafe", False), ("upload", False)]
)
def test_only_safe_routes_are_idempotent(kind, idempotent):
    table = compile_routes(encode(rules=[RULE | {"routeKind": kind}]))
    assert table.find("a.example", "/x/1").idempotent is idempotent


@pytest.mark.parametrize(
    ("rules", "parts"),
    [
        ([RULE | {"routeKind": "odd"}], ["route r-1", "routeKind", "'odd'"]),
        ([RULE | {"timeoutMs": -1}], ["route r-1", "timeoutMs", "-1"]),
        ([RULE | {"service": None}], ["route r-1", "service"]),
        ([RULE | {"service": "nowhere"}], ["route r-1", "'nowhere'"]),
        ([RULE, RULE | {"name": "r-2"}], ["route r-2", "prefix"]),
        ([{"pathPrefix": "/x/"}], ["virtualHosts.0.pathRules.0.name"]),
    ],
)
def test_error_names_the_route_the_field_and_the_value(rules, parts):
    with pytest.raises(DocumentError) as error:
        compile_routes(encode(rules=rules))
    assert all(part in str(error.value) for part in parts)


@pytest.mark.parametrize(
    ("version", "adoption"),
    [("0000000b", "older"), ("0000000c", "same"), ("000000ff", "adopted")],
)
def test_only_higher_versions_are_adopted(version, adoption):
    table = ConfigurationTable(compile=compile_routes)
    table.offer(encode())
    assert table.offer(encode(version)).value == adoption


NESTED = b"[" * 10_000 + b"]" * 10_000
HUGE = 10**4000


@pytest.mark.parametrize(
    "raw",
    [
        NESTED,
        encode()[:-1] + b', "extra": ' + NESTED + b"}",
        encode(rules=[RULE | {"priority": HUGE}]),
        encode(rules=[RULE | {"maxAttempts": HUGE}]),
        encode(rules=[RULE | {"timeoutMs": float("inf")}]),
        encode(rules=[RULE | {"timeoutMs": float("nan")}]),
        encode(rules=[RULE | {"service": None, "weightedSplit": [
            {"service": "shop", "weight": float("inf")}]}]),
        encode(limits={"maxBodyBytes": HUGE}),
        encode(services=[{"name": "shop"}, {"name": "\ud800"}]),
    ],
)  # fmt: skip
def test_odd_configuration_ends_the_task_that_follows_it(raw):
    with pytest.raises(DocumentError):
        compile_routes(raw)
