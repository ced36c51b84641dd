import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ragworthoist.core.budgets import BudgetTerms, RepeatBudget

TERMS = BudgetTerms(ratio=0.2, extra=12.0, window_seconds=10.0)


class TestRepeatBudget:
    @settings(derandomize=True, deadline=None)
    @given(
        steps=st.lists(
            st.tuples(st.integers(0, 3), st.booleans(), st.floats(0.0, 0.5)),
            max_size=300,
        )
    )
    def test_the_fleet_stays_below_its_bound_in_every_window(self, steps):
        fleet = 4
        budgets = [RepeatBudget(TERMS) for _ in range(fleet)]
        now = 0.0
        requests, repeats = [], []
        for node, is_request, pause in steps:
            now += pause
            if is_request:
                budgets[node].record_request("shop", now)
                requests.append(now)
            elif budgets[node].withdraw("shop", now, fleet):
                repeats.append(now)
        for end in repeats:
            start = end - TERMS.window_seconds
            used = sum(start < t <= end for t in repeats)
            # Requests of the window before count as well under the fleet's rule.
            asked = sum(start - TERMS.window_seconds <= t <= end for t in requests)
            assert used <= TERMS.ratio * asked + TERMS.extra

    @pytest.mark.parametrize(
        ("requests", "fleet", "allowed"), [(0, 1, 6), (0, 100, 0), (100, 100, 10)]
    )
    def test_the_share_grows_with_own_requests(self, requests, fleet, allowed):
        budget = RepeatBudget(TERMS)
        for _ in range(requests):
            budget.record_request("shop", 1.0)
        granted = sum(budget.withdraw("shop", 1.0, fleet) for _ in range(50))
        assert granted == allowed

    def test_services_have_budgets_of_their_own(self):
        budget = RepeatBudget(TERMS)
        while budget.withdraw("shop", 1.0, 1):
            pass
        assert budget.withdraw("stock", 1.0, 1)

    def test_calls_of_repeated_runs_use_the_budget(self):
        budget = RepeatBudget(TERMS)
        for _ in range(6):
            budget.charge("shop", 1.0)
        assert not budget.withdraw("shop", 1.0, 1)
