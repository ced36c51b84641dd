"""Time limits of a node that stops as planned.

They answer the load that still arrives after the signal to stop: clients and peers go
on sending until they know of the stop. A call that is accepted then must not be cut off
when the process exits.
"""

# Part of the time until SIGKILL that is reserved for closing down.
EXIT_RESERVE_SECONDS = 0.8
# Time for the last answers to reach their clients before the exit.
ANSWER_RESERVE_SECONDS = 0.15


class PlannedStop:
    """A stop that began at `started` and must end within `grace_seconds`.

    Attributes
    ----------
    exits_at : float
        Time in seconds at which the process exits at the latest.
    answers_until : float
        Time in seconds by which calls accepted during the stop are answered.

    Examples
    --------
    >>> stop = PlannedStop(started=10.0, grace_seconds=6.0)
    >>> stop.limit_deadline(12.0), round(stop.limit_deadline(20.0), 3)
    (12.0, 15.05)
    """

    def __init__(self, started, grace_seconds):
        self.exits_at = started + max(0.0, grace_seconds - EXIT_RESERVE_SECONDS)
        self.answers_until = max(started, self.exits_at - ANSWER_RESERVE_SECONDS)

    def limit_deadline(self, deadline):
        """Return the deadline of a call that is accepted during the stop.

        With it, a call that is likely to take longer is refused as not run, and a
        server at work on one stops in time to say so.
        """
        return min(deadline, self.answers_until)
