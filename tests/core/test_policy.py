from datetime import UTC, datetime

import pytest

from ragworthoist import Document
from ragworthoist.core.policy import Policy

VALUES = {
    "defaults": {
        "ranks": ["protected", "browsing"],
        "deadline_ms": 700,
        "retries": 2,
        "kinds": [
            {
                "name": "order",
                "service": "orders",
                "method": "POST",
                "rank": "protected",
            },
            {"name": "view", "service": "orders", "rank": "browsing", "weight": 2},
            {
                "name": "export",
                "service": "orders",
                "path_prefix": "/orders/export",
                "rank": "browsing",
                "idempotent": False,
            },
        ],
    },
    "exceptions": [
        {
            "name": "slow-orders",
            "reason": "the orders service moves house",
            "author": "ana",
            "kind": "order",
            "set": {"deadline_ms": 3000},
        },
        {
            "name": "over",
            "reason": "this exception has expired already",
            "author": "ana",
            "service": "orders",
            "expires": "2026-01-01T00:00:00Z",
            "set": {"retries": 9},
        },
        {
            "name": "fixed-limit",
            "reason": "the stock service takes ten at once",
            "author": "bor",
            "service": "stock",
            "set": {"limit": "fixed", "fixed_limit": 10},
        },
    ],
}
NOW = datetime(2026, 6, 1, tzinfo=UTC)


@pytest.fixture
def policy():
    return Policy(Document.model_validate(VALUES), NOW)


class TestClassify:
    @pytest.mark.parametrize(
        ("service", "method", "path", "name", "rank", "deadline"),
        [
            ("orders", "POST", "/orders/new", "order", 0, 3.0),
            ("orders", "GET", "/orders/1", "view", 1, 1.0),
            ("orders", "POST", "/orders/export/all", "export", 1, 1.0),
            ("stock", "GET", "/stock/1", "stock", 1, 0.7),
        ],
    )
    def test_combines_kinds_defaults_and_exceptions(
        self, policy, service, method, path, name, rank, deadline
    ):
        kind = policy.classify(service, method, path)
        assert (kind.name, kind.rank, kind.deadline) == (name, rank, deadline)
        assert kind.retries == 2

    def test_exception_applies_until_it_expires(self):
        before = Policy(
            Document.model_validate(VALUES), datetime(2025, 6, 1, tzinfo=UTC)
        )
        assert before.classify("orders", "GET", "/orders/1").retries == 9


class TestIsIdempotent:
    @pytest.mark.parametrize(
        ("method", "path", "expected"),
        [
            ("GET", "/orders/1", True),
            ("POST", "/orders/new", False),
            ("PUT", "/orders/1", True),
            ("GET", "/orders/export/all", False),
        ],
    )
    def test_follows_the_method_unless_the_kind_overrides_it(
        self, policy, method, path, expected
    ):
        assert policy.is_idempotent("orders", method, path) is expected


class TestService:
    def test_exception_overrides_the_policy_of_its_service(self, policy):
        assert policy.service("stock").fixed_limit == 10
        assert policy.service("stock").limit == "fixed"
        assert policy.service("orders").limit == "latency"
