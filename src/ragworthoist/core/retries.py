"""Bounds on retries: an allowance per customer request and a budget per service.

A `RetryAllowance` is granted once at the entrance. Each hop lends part of its
allowance to its onward calls and reclaims what they did not use; if an answer is lost,
the part lent counts as spent. The total of available, lent and spent retries never
changes, so the number of retries in the whole call chain cannot exceed the grant.
"""

from dataclasses import dataclass

from ragworthoist._registry import Registry

retry_bounds = Registry("retry bound")


@dataclass(slots=True)
class RetryAllowance:
    """Retries that one hop may still make for a customer request.

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
        """Use one retry; return False if none is available."""
        if self.available <= 0:
            return False
        self.available -= 1
        self.spent += 1
        return True

    def lend(self):
        """Return the number of retries that an onward call may use.

        This is half of what is available, rounded up, so that parallel calls each get
        some.
        """
        share = (self.available + 1) // 2
        self.available -= share
        self.lent += share
        return share

    def reclaim(self, share, unused_retries):
        """Settle a loan of `share` retries, of which `unused_retries` come back."""
        unused_retries = max(0, min(share, unused_retries))
        self.lent -= share
        self.available += unused_retries
        self.spent += share - unused_retries


class RetryBudget:
    """Token bucket of the retries that a node may make towards one service.

    Parameters
    ----------
    ratio : float
        Retries earned by each successful call.
    """

    INITIAL_TOKENS = 10.0
    MAX_TOKENS = 100.0

    def __init__(self, ratio):
        self.ratio = ratio
        self.tokens = self.INITIAL_TOKENS

    def record_success(self):
        """Add `ratio` of a retry to the budget."""
        self.tokens = min(self.MAX_TOKENS, self.tokens + self.ratio)

    def withdraw(self):
        """Use one retry; return False if less than one is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@retry_bounds.register("request")
def bound_by_request(retry_allowance, _retries):
    """Let an onward call use the remaining allowance of its customer request."""
    return retry_allowance


@retry_bounds.register("hop")
def bound_by_hop(_retry_allowance, retries):
    """Grant each onward call its own retries, which multiply (a baseline)."""
    return RetryAllowance(retries)
