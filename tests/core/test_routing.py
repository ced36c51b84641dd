import random
from collections import Counter

import pytest

from ragworthoist.core.members import Member
from ragworthoist.core.routing import EJECT_AFTER_FAILURES, Router


def make_members(count, domains="abcd", service="stock"):
    return [
        Member(
            f"{service}{number:04}".encode(),
            service,
            "north" if domains[number % len(domains)] in "ab" else "south",
            domains[number % len(domains)],
            "10.0.0.1",
            number,
        )
        for number in range(count)
    ]


def make_router(domain="a", name=b"caller00"):
    node = Member(name, "orders", "north", domain, "10.0.0.1", 9999)
    return Router(node, random.Random(1))


class TestSubset:
    @pytest.mark.parametrize("count", [4, 40, 400])
    def test_is_bounded_and_covers_every_domain(self, count):
        members = {"stock": make_members(count)}
        subset = make_router().subset("stock", members, 1)

        assert len(subset) == min(count, 16)
        assert {m.domain for m in subset} == set("abcd")

    def test_subsets_of_all_callers_cover_endpoints_evenly(self):
        members = {"stock": make_members(80)}
        uses = Counter()
        for number in range(500):
            router = make_router(name=f"c{number:07}".encode())
            uses.update(m.instance for m in router.subset("stock", members, 1))

        assert len(uses) == 80
        assert max(uses.values()) < 2 * min(uses.values())

    def test_is_recomputed_when_the_members_change(self):
        members = {"stock": make_members(8)}
        router = make_router()
        assert len(router.subset("stock", members, 1)) == 8
        assert len(router.subset("stock", {"stock": members["stock"][:3]}, 2)) == 3


class TestPick:
    def test_prefers_the_own_domain_without_load(self):
        members = make_members(8)
        router = make_router("a")
        picked = {router.pick(members, 0.0).domain for _ in range(50)}
        assert picked == {"a"}

    def test_spills_to_other_domains_under_load(self):
        members = make_members(8)
        router = make_router("a")
        picks = Counter()
        for _ in range(80):
            member = router.pick(members, 0.0)
            router.record_start(member.instance)
            picks[member.domain] += 1
        assert set(picks) == set("abcd")


class TestRecordEnd:
    def fail(self, router, member, now, times=EJECT_AFTER_FAILURES):
        for _ in range(times):
            router.record_start(member.instance)
            router.record_end(member.instance, now, failed=True)

    def test_failing_endpoints_are_ejected_and_tried_again(self):
        members = {"stock": make_members(4)}
        router = make_router()
        bad = members["stock"][0]
        self.fail(router, bad, 0.0)

        def usable(now):
            return router.candidates("stock", members, 1, (), now)

        assert bad not in usable(0.5)
        assert bad in usable(1.5)
        self.fail(router, bad, 1.5, times=1)
        assert bad not in usable(3.0)
        assert bad in usable(4.0)

    def test_at_most_half_of_the_endpoints_are_ejected(self):
        members = {"stock": make_members(4)}
        router = make_router()
        router.candidates("stock", members, 1, (), 0.0)
        for member in members["stock"]:
            self.fail(router, member, 0.0)

        assert len(router.candidates("stock", members, 1, (), 0.1)) >= 2

    def test_leaving_endpoint_is_not_used_for_a_while(self):
        members = {"stock": make_members(2)}
        router = make_router()
        leaver = members["stock"][1]
        router.record_start(leaver.instance)
        router.record_end(leaver.instance, 0.0, leaving=True)

        assert leaver not in router.candidates("stock", members, 1, (), 0.1)
