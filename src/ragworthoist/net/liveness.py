"""Whether the peer at the other end of a stream still answers."""

from enum import Enum

# A healthy peer answers a check within its link's round trip and one turn of its
# event loop; a multiple of that marks the stream, a longer silence ends it.
CHECK_DELAY_SECONDS = 0.1
IDLE_CHECK_DELAY_SECONDS = 3.0
UNRESPONSIVE_AFTER_SECONDS = 0.15
CLOSE_AFTER_SECONDS = 1.5


class Verdict(Enum):
    """What the silence of a peer calls for."""

    FINE = "fine"
    ASK = "ask"
    WAITING = "waiting"
    DOUBTFUL = "doubtful"
    SILENT = "silent"


class PeerLiveness:
    """When a peer was heard, and since when a check is unanswered.

    Parameters
    ----------
    now : float
        Time in seconds at which the stream began.
    """

    __slots__ = ("_last_seen", "_checked_at")

    def __init__(self, now):
        self._last_seen = now
        self._checked_at = None

    @property
    def has_pending_check(self):
        """Whether a check is unanswered."""
        return self._checked_at is not None

    def mark_seen(self, now):
        """Take anything that the peer has sent as a sign of life."""
        self._last_seen = now
        self._checked_at = None

    def is_unresponsive(self, now):
        """Whether a check has been unanswered for a while."""
        checked = self._checked_at
        return checked is not None and now - checked > UNRESPONSIVE_AFTER_SECONDS

    def evaluate(self, now, has_pending_calls):
        """Return the `Verdict` at `now`; `ASK` counts as a check that was sent.

        `has_pending_calls` tells whether calls wait for the peer, which is then
        checked sooner.
        """
        if self._checked_at is not None:
            if now - self._checked_at > CLOSE_AFTER_SECONDS:
                return Verdict.SILENT
            return Verdict.DOUBTFUL if self.is_unresponsive(now) else Verdict.WAITING
        after = CHECK_DELAY_SECONDS if has_pending_calls else IDLE_CHECK_DELAY_SECONDS
        if now - self._last_seen <= after:
            return Verdict.FINE
        self._checked_at = now
        return Verdict.ASK
