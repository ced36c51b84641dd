"""Liveness of the peer at the other end of a stream."""

from enum import Enum

# Silence after which a check is sent, while calls wait for the peer and otherwise.
CHECK_DELAY_SECONDS = 0.1
IDLE_CHECK_DELAY_SECONDS = 3.0
# A healthy peer answers a check within one round trip and one iteration of its event
# loop. After a multiple of that time without an answer the peer counts as
# unresponsive; after a longer time the stream is closed.
UNRESPONSIVE_AFTER_SECONDS = 0.15
CLOSE_AFTER_SECONDS = 1.5


class Verdict(Enum):
    """What has to be done about the silence of a peer.

    `FINE` and `WAITING` need no action; with `WAITING` a check is unanswered.
    `ASK` means that a check has to be sent, `DOUBTFUL` that the peer is
    unresponsive, and `SILENT` that the stream has to be closed.
    """

    FINE = "fine"
    ASK = "ask"
    WAITING = "waiting"
    DOUBTFUL = "doubtful"
    SILENT = "silent"


class PeerLiveness:
    """Time when a peer was last seen and when an unanswered check was sent.

    Parameters
    ----------
    now : float
        Monotonic time in seconds at which the stream was created.
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
        """Record that data of the peer arrived, which also answers a check."""
        self._last_seen = now
        self._checked_at = None

    def is_unresponsive(self, now):
        """Whether a check is unanswered for over `UNRESPONSIVE_AFTER_SECONDS`."""
        checked = self._checked_at
        return checked is not None and now - checked > UNRESPONSIVE_AFTER_SECONDS

    def evaluate(self, now, has_pending_calls):
        """Return the `Verdict` at time `now`.

        The caller has to send a check on `Verdict.ASK`, which is recorded as sent.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        has_pending_calls : bool
            Whether calls wait for the peer; a check is then sent sooner.
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
