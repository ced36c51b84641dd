"""Requests a second that a backend server takes, as it advertises in its answers.

The node beside a server is the only sender to it, so a rate kept there is kept for all
nodes together.
"""


class AdvertisedRate:
    """The rate that the present server process advertises.

    Attributes
    ----------
    rate : float or None
        Requests a second, None while the server advertises none.
    """

    def __init__(self):
        self.rate = None
        self._advertised_at = 0.0

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
        previous, self.rate = self.rate, rate
        return rate != previous

    def reset(self):
        """Forget what an earlier server process advertised."""
        self.rate = None
