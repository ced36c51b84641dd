"""Bounds on repeated attempts: allotments per customer request, budgets per service.

An `Allotment` is granted once at the entrance. Each hop lends part of what it
holds to its onward calls and takes back what they did not use; an answer that is
lost counts as spent. The total of available, lent and spent never changes, so the
number of repeats in the whole call chain cannot pass the grant.
"""

from dataclasses import dataclass

from ragworthoist._registry import Registry

retry_bounds = Registry("retry bound")


@dataclass(slots=True)
class RetryAllowance:
    """Repeats that one hop may still make for a customer request.

    Examples
    --------
    >>> allowance = RetryAllowance(3)
    >>> allowance.lend()
    2
    >>> allowance.reclaim(2, unused_retries=1)
    >>> allowance.available, allowance.spent
    (2, 1)
    """

    available: int
    lent: int = 0
    spent: int = 0

    def spend(self):
        """Use one repeat; return False when none is available."""
        if self.available <= 0:
            return False
        self.available -= 1
        self.spent += 1
        return True

    def lend(self):
        """Return the number of repeats that an onward call may use.

        Half of what is available, rounded up, so that calls made side by side
        each get some.
        """
        share = (self.available + 1) // 2
        self.available -= share
        self.lent += share
        return share

    def reclaim(self, share, unused_retries):
        """Settle a loan of `share` of which the callee reports `unused`."""
        unused_retries = max(0, min(share, unused_retries))
        self.lent -= share
        self.available += unused_retries
        self.spent += share - unused_retries


class RetryBudget:
    """Repeats that a node may make towards one service.

    Parameters
    ----------
    ratio : float
        Repeats allowed per successful call.
    """

    FLOOR = 10.0
    CAP = 100.0

    def __init__(self, ratio):
        self.ratio = ratio
        self.tokens = self.FLOOR

    def record_success(self):
        """Earn a share of a repeat."""
        self.tokens = min(self.CAP, self.tokens + self.ratio)

    def withdraw(self):
        """Use one repeat; return False when the budget is empty."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@retry_bounds.register("request")
def bound_by_request(retry_allowance, _retries):
    """Let an onward call use what its customer request still holds."""
    return retry_allowance


@retry_bounds.register("hop")
def bound_by_hop(_retry_allowance, retries):
    """Grant each onward call repeats of its own, which multiply; a baseline."""
    return RetryAllowance(retries)
