"""One node's share of the fleet-wide retry budget."""

from collections import deque
from dataclasses import dataclass, field

# Each node counts on its own in a sliding window. It uses only these shares of the
# fleet's bound, so that the sum over all nodes stays below the bound.
RATIO_SHARE = 0.5
EXTRA_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class FleetRetryBound:
    """Fleet-wide bound on the retries of a window of `window_seconds`.

    The bound is `ratio` times the number of requests in the window, plus `extra`.
    """

    ratio: float
    extra: float
    window_seconds: float


@dataclass(slots=True)
class _Window:
    requests: deque = field(default_factory=deque)
    retries: deque = field(default_factory=deque)

    def trim(self, earliest):
        for times in (self.requests, self.retries):
            while times and times[0] < earliest:
                times.popleft()


class FleetRetryBudget:
    """Retries that this node may make towards each service.

    The share of the node is a part of its own requests in the window plus an even part
    of the fixed extra, so that all nodes together stay below the fleet's bound without
    exchanging counts.

    Parameters
    ----------
    bound : FleetRetryBound
        Bound that holds for all nodes together.

    Examples
    --------
    >>> budget = FleetRetryBudget(FleetRetryBound(0.2, 4, 10.0))
    >>> [budget.withdraw("stock", 1.0, 1) for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, bound):
        self.bound = bound
        self._windows = {}

    def record_request(self, service, now):
        """Count a request of a client for `service`; calls of servers do not count."""
        window = self._window(service, now)
        window.requests.append(now)

    def record_retry(self, service, now):
        """Count a retry decided elsewhere, such as a call made while a retry runs."""
        self._window(service, now).retries.append(now)

    def withdraw(self, service, now, fleet_size):
        """Use one retry; return False if the share of this node is used up."""
        window = self._window(service, now)
        allowed = RATIO_SHARE * self.bound.ratio * len(window.requests)
        allowed += EXTRA_SHARE * self.bound.extra / max(1, fleet_size)
        if len(window.retries) + 1 > allowed:
            return False
        window.retries.append(now)
        return True

    def _window(self, service, now):
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = _Window()
        window.trim(now - self.bound.window_seconds)
        return window
