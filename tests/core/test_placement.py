import random
from dataclasses import replace

import pytest

from ragworthoist.core.members import Member
from ragworthoist.core.placement import STATISTICS_EXPIRY_SECONDS, Placement

LATENCY_TARGET = 0.1


def make_member(name, domain="a", region="r"):
    return Member(name.encode(), "shop", region, domain, "10.0.0.1", 80)


OWN = make_member("own")
NEAR = make_member("near")
FAR = make_member("far", domain="b")
OTHER_REGION = make_member("other-region", domain="c", region="s")


def make_placement(node=OWN):
    return Placement(node, random.Random(1))


def record_answers(
    placement, member, seconds=0.01, load=0.1, failed=False, now=1.0, times=20
):
    for _ in range(times):
        placement.record_answer(member.instance, "order", seconds, load, failed, now)


class TestPlacement:
    @pytest.mark.parametrize(
        ("observations", "chosen"),
        [
            ({}, "near"),
            ({"near": {"seconds": 0.02}}, "near"),
            ({"near": {"seconds": 0.1}}, "far"),
            ({"near": {"load": 1.1}}, "far"),
            ({"near": {"load": 0.7}}, "near"),
            ({"near": {"failed": True}}, "far"),
            ({"near": {"seconds": 0.1}, "far": {"seconds": 0.3}}, "near"),
            ({"near": {"seconds": 0.05}, "far": {"seconds": 0.05}}, "near"),
            (
                {name: {"load": 2.0} for name in ("near", "far", "other-region")},
                "near",
            ),
        ],
    )
    def test_cost_decides_between_domains(self, observations, chosen):
        placement = make_placement()
        members = {"near": NEAR, "far": FAR, "other-region": OTHER_REGION}
        for name, observed in observations.items():
            record_answers(placement, members[name], **observed)
        found = placement.choose(list(members.values()), "order", LATENCY_TARGET, 1.0)
        assert found.instance == chosen.encode()

    def test_own_server_is_preferred(self):
        placement = make_placement()
        picks = {
            placement.choose([OWN, NEAR], "order", LATENCY_TARGET, 1.0).instance
            for _ in range(50)
        }
        assert picks == {b"own"}

    def test_slow_endpoint_is_tried_again_after_its_statistics_expire(self):
        placement = make_placement()
        record_answers(placement, NEAR, seconds=1.0, now=1.0)
        later = 1.0 + STATISTICS_EXPIRY_SECONDS
        assert placement.choose([NEAR, FAR], "order", LATENCY_TARGET, 1.0) == FAR
        assert placement.choose([NEAR, FAR], "order", LATENCY_TARGET, later) == NEAR

    def test_equal_endpoints_share_the_calls(self):
        placement = make_placement()
        twins = [replace(NEAR, instance=name) for name in (b"one", b"two")]
        counts = {b"one": 0, b"two": 0}
        for _ in range(400):
            counts[placement.choose(twins, "order", LATENCY_TARGET, 1.0).instance] += 1
        assert min(counts.values()) > 100

    @pytest.mark.parametrize(("size", "chosen"), [(100, FAR), (5000, NEAR)])
    def test_large_answers_stay_in_the_domain(self, size, chosen):
        placement = make_placement()
        placement.record_size("order", size)
        record_answers(placement, NEAR, seconds=0.5 * LATENCY_TARGET)
        record_answers(placement, FAR, seconds=0.1 * LATENCY_TARGET)
        assert placement.choose([NEAR, FAR], "order", LATENCY_TARGET, 1.0) == chosen
