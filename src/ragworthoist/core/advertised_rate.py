"""Requests a second that a backend server takes, as it advertises in its answers.

The node beside a server is the only sender to it, so a rate kept there is kept for all
nodes together. It is kept by a token bucket: each request that is sent takes a token.
"""

# The bucket holds the tokens of this time, so that irregular arrivals after a lull are
# still sent, but no long burst.
BURST_SECONDS = 0.5
# A server that takes fewer requests, or none, is tried this often all the same: only
# its answers tell that it takes more again. In requests a second.
MIN_RATE = 0.5
# Allows for rounding in the refill.
_WHOLE_TOKEN = 1.0 - 1e-9


class AdvertisedRate:
    """The rate that the present server process advertises, and what it still allows.

    Attributes
    ----------
    rate : float or None
        Requests a second, None while the server advertises none.
    has_been_used : bool
        Whether a rate has been in force since the node started.

    Examples
    --------
    >>> advertised = AdvertisedRate()
    >>> advertised.record_answer(4.0, sent_at=9.5, now=10.0)
    True
    >>> advertised.allows(10.0), advertised.allows(10.25)
    (False, True)
    >>> advertised.estimate_wait(ahead=1, now=10.25)
    0.25
    """

    def __init__(self):
        self.rate = None
        self.has_been_used = False
        self._advertised_at = 0.0
        self._tokens = 0.0
        self._refilled_at = 0.0

    def record_answer(self, rate, sent_at, now):
        """Record the rate in an answer; return whether the rate in force has changed.

        Parameters
        ----------
        rate : float or None
            The rate in the answer, None if it has none.
        sent_at : float
            When the request was sent, in seconds. An answer without a rate ends the
            rate only if its request was sent after the rate was last advertised, since
            answers on several connections may overtake each other.
        now : float
            When the answer arrived, in seconds.
        """
        if rate is not None:
            self._advertised_at = now
        elif sent_at <= self._advertised_at:
            return False
        return self._apply(rate, now)

    def adopt(self, rate, now):
        """Use the `rate` that a caller knows until an answer sets or ends it."""
        if self.rate is None:
            self._apply(rate, now)

    def reset(self):
        """Forget what an earlier server process advertised."""
        self.rate = None
        self._advertised_at = 0.0

    def allows(self, now):
        """Return whether a request may be sent at `now`."""
        if self.rate is None:
            return True
        self._refill(now)
        return self._tokens >= _WHOLE_TOKEN

    def record_request(self, now):
        """Take the token of a request that is sent at `now`."""
        if self.rate is not None:
            self._refill(now)
            self._tokens -= 1.0

    def estimate_wait(self, ahead, now):
        """Return the seconds until a request behind `ahead` others may be sent."""
        if self.rate is None:
            return 0.0
        self._refill(now)
        return max(0.0, ahead + _WHOLE_TOKEN - self._tokens) / self._kept_rate

    def _apply(self, rate, now):
        if rate == self.rate:
            return False
        if self.rate is None:
            # The server is in need and has been sent more than it takes: no burst.
            self._tokens = 0.0
            self._refilled_at = now
        self._refill(now)
        self.rate = rate
        self.has_been_used = True
        return True

    @property
    def _kept_rate(self):
        return max(MIN_RATE, self.rate)

    def _refill(self, now):
        if self.rate is None:
            return
        rate = self._kept_rate
        earned = rate * (now - self._refilled_at)
        self._tokens = min(max(1.0, rate * BURST_SECONDS), self._tokens + earned)
        self._refilled_at = now
