"""How much of a server is taken by runs that its node has given up.

Some servers never answer a request that they cannot queue, nor any other request on its
connection. A node is the only sender to its server, so it can keep from filling it. A
run whose caller has left may go on until its time limit, and still takes a slot or a
place in the queue of the server.
"""

from bisect import insort

# The longest recent run is forgotten by this factor with each run that ends.
LONGEST_DECAY = 0.99


class Occupancy:
    """Runs at one server, the given-up ones included, and the most it is trusted with.

    Only its slots count: a server does not report how many requests it can queue, and
    one request beyond that gets no answer.

    Attributes
    ----------
    slots : int
        Number of slots of the server.

    Examples
    --------
    >>> occupancy = Occupancy(slots=4)
    >>> occupancy.record_end(seconds=2.0)
    >>> for _ in range(2):
    ...     occupancy.record_given_up(started=0.0, deadline=9.0)
    >>> occupancy.limit(3, now=1.0), occupancy.limit(3, now=2.0)
    (2, 3)
    """

    def __init__(self, slots):
        self.slots = slots
        self._given_up = []
        self._longest_seconds = 0.0

    def record_end(self, seconds):
        """Record that a run ended after `seconds`."""
        self._longest_seconds = max(seconds, LONGEST_DECAY * self._longest_seconds)

    def record_given_up(self, started, deadline):
        """Record a run whose caller has left.

        It is expected to last as long as the longest recent one, and ends at its
        `deadline`. Times are in seconds.
        """
        insort(self._given_up, min(started + self._longest_seconds, deadline))

    def count_given_up(self, now):
        """Return how many given-up runs may still go on at `now`."""
        while self._given_up and self._given_up[0] <= now:
            self._given_up.pop(0)
        return len(self._given_up)

    def limit(self, usable, now):
        """Return how many calls may run at the server at `now`, at least 1.

        `usable` is the number without given-up runs.
        """
        return max(1, min(usable, self.slots - self.count_given_up(now)))
