import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ragworthoist.core.routes import (
    RequestLimits,
    Route,
    RouteDocument,
    RouteTable,
    Share,
    Splitter,
)


def make_route(name="shop", host="a.example", prefix="/x/", shares=(("shop", 1.0),)):
    shares = tuple(Share(service, weight) for service, weight in shares)
    return Route(name, host, prefix, True, 1.0, 0.1, 0, 2, shares)


def make_table(*routes):
    return RouteTable(RouteDocument(1, routes, {}, RequestLimits()))


class TestRouteTable:
    @pytest.mark.parametrize(
        ("host", "path", "name"),
        [
            ("a.example", "/x/1", "short"),
            ("a.example", "/x/y/1", "long"),
            ("a.example", "/x/y", "short"),
            ("a.example", "/x", None),
            ("a.example", "/", None),
            ("b.example", "/x/y/1", "other"),
            ("c.example", "/x/1", None),
        ],
    )
    def test_the_longest_prefix_of_the_host_wins(self, host, path, name):
        table = make_table(
            make_route("short"),
            make_route("long", prefix="/x/y/"),
            make_route("other", host="b.example"),
        )
        found = table.find(host, path)
        assert (found.name if found else None) == name


class TestSplitter:
    @settings(derandomize=True, deadline=None)
    @given(
        weights=st.lists(st.integers(1, 100), min_size=1, max_size=5),
        rounds=st.integers(1, 4),
    )
    def test_every_run_of_requests_stays_close_to_the_weights(self, weights, rounds):
        route = make_route(
            shares=[(f"s{index}", float(w)) for index, w in enumerate(weights)]
        )
        splitter = Splitter()
        total = sum(weights)
        counts = dict.fromkeys((share.service for share in route.shares), 0)
        for done in range(1, rounds * total + 1):
            counts[splitter.choose(route)] += 1
            for share in route.shares:
                fair = done * share.weight / total
                assert abs(counts[share.service] - fair) < len(weights)
        for share in route.shares:
            assert counts[share.service] == rounds * share.weight

    def test_changed_shares_restart_the_distribution(self):
        splitter = Splitter()
        splitter.choose(make_route(shares=[("old", 1.0), ("new", 1.0)]))
        changed = make_route(shares=[("new", 1.0), ("newer", 1.0)])
        assert {splitter.choose(changed), splitter.choose(changed)} == {"new", "newer"}
