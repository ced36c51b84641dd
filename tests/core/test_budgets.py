import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ragworthoist.core.budgets import FleetRetryBound, FleetRetryBudget

BOUND = FleetRetryBound(ratio=0.2, extra=12.0, window_seconds=10.0)


class TestFleetRetryBudget:
    @settings(derandomize=True, deadline=None)
    @given(
        steps=st.lists(
            st.tuples(st.integers(0, 3), st.booleans(), st.floats(0.0, 0.5)),
            max_size=300,
        )
    )
    def test_fleet_stays_below_its_bound_in_every_window(self, steps):
        fleet = 4
        budgets = [FleetRetryBudget(BOUND) for _ in range(fleet)]
        now = 0.0
        requests, retries = [], []
        for node, is_request, pause in steps:
            now += pause
            if is_request:
                budgets[node].record_request("shop", now)
                requests.append(now)
            elif budgets[node].withdraw("shop", now, fleet):
                retries.append(now)
        for end in retries:
            start = end - BOUND.window_seconds
            used = sum(start < t <= end for t in retries)
            # The bound of the fleet also counts the requests of the window before.
            asked = sum(start - BOUND.window_seconds <= t <= end for t in requests)
            assert used <= BOUND.ratio * asked + BOUND.extra

    @pytest.mark.parametrize(
        ("requests", "fleet", "allowed"), [(0, 1, 6), (0, 100, 0), (100, 100, 10)]
    )
    def test_share_grows_with_requests_at_the_node(self, requests, fleet, allowed):
        budget = FleetRetryBudget(BOUND)
        for _ in range(requests):
            budget.record_request("shop", 1.0)
        granted = sum(budget.withdraw("shop", 1.0, fleet) for _ in range(50))
        assert granted == allowed

    def test_services_have_separate_budgets(self):
        budget = FleetRetryBudget(BOUND)
        while budget.withdraw("shop", 1.0, 1):
            pass
        assert budget.withdraw("stock", 1.0, 1)

    def test_recorded_retries_use_the_budget(self):
        budget = FleetRetryBudget(BOUND)
        for _ in range(6):
            budget.record_retry("shop", 1.0)
        assert not budget.withdraw("shop", 1.0, 1)
