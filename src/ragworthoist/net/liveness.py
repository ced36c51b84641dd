"""Liveness of the peer at the other end of a connection."""

from enum import Enum

# Silence after which a check is sent, while calls wait for the peer and otherwise.
CHECK_DELAY_SECONDS = 0.1
IDLE_CHECK_DELAY_SECONDS = 3.0
# A healthy peer answers a check within one round trip and one iteration of its event
# loop. After a multiple of that time without an answer the peer counts as
# unresponsive; after a longer time the stream is closed.
UNRESPONSIVE_AFTER_SECONDS = 0.15
CLOSE_AFTER_SECONDS = 1.5
# As the user timeout of the kernel, see `net.sockets`.
ACKNOWLEDGE_TIMEOUT_SECONDS = 2.0
# Longer than the interval of the probes of a closed receive window. A kernel does not
# answer a probe that follows another one within half a second.
PROBE_TIMEOUT_SECONDS = 1.25


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


class OutputVerdict(Enum):
    """What is known of a peer to which output is being sent.

    `EMPTY` means that it has acknowledged everything, `WAITING` that it has not,
    `LOST` that it acknowledges nothing any more, and `STALLED` that it acknowledges
    but has read nothing for too long.
    """

    EMPTY = "empty"
    WAITING = "waiting"
    LOST = "lost"
    STALLED = "stalled"


class OutputLiveness:
    """Tells a peer that reads slowly from one that is lost.

    A peer that reads slowly closes its receive window for seconds at a time, but its
    kernel acknowledges the probes of the window. While the window is open, bytes that
    were sent must be acknowledged.
    """

    __slots__ = ("_acknowledged_bytes", "_buffered_bytes", "_closed_at",
                 "_progressed_at", "_unanswered_since")  # fmt: skip

    def __init__(self):
        self._acknowledged_bytes = 0
        self._buffered_bytes = 0
        self._closed_at = float("-inf")
        self._progressed_at = 0.0
        self._unanswered_since = None

    def record_write(self, now):
        """Record that output began at time `now`, after all before was acknowledged."""
        self._progressed_at = now
        self._unanswered_since = None

    def evaluate(self, now, state, stall_limit):
        """Return the `OutputVerdict` at time `now`.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        state : OutputState
            State of the connection at `now`.
        stall_limit : float or None
            Longest time in seconds in which the peer may read nothing; None means no
            limit.
        """
        self._record_progress(now, state)
        if state.is_empty:
            return OutputVerdict.EMPTY
        if self._is_lost(now, state):
            return OutputVerdict.LOST
        if stall_limit is not None and now - self._progressed_at > stall_limit:
            return OutputVerdict.STALLED
        return OutputVerdict.WAITING

    @property
    def lost_at(self):
        """Time at which a peer that acknowledges nothing from now on is lost."""
        # What is sent when the window opens has its own time to be acknowledged.
        waiting_since = max(self._progressed_at, self._closed_at)
        return waiting_since + ACKNOWLEDGE_TIMEOUT_SECONDS

    def _record_progress(self, now, state):
        if state.acknowledged_bytes != self._acknowledged_bytes:
            self._acknowledged_bytes = state.acknowledged_bytes
            self._progressed_at = max(self._progressed_at, now - state.silent_seconds)
            self._unanswered_since = None
        if state.buffered_bytes < self._buffered_bytes:
            self._progressed_at = now
        self._buffered_bytes = state.buffered_bytes

    def _is_lost(self, now, state):
        if not state.is_window_closed:
            self._unanswered_since = None
            return state.segments_in_flight > 0 and now >= self.lost_at
        self._closed_at = now
        if state.segments_in_flight:
            # Segments that the peer had no room for are sent again as probes.
            return state.silent_seconds >= ACKNOWLEDGE_TIMEOUT_SECONDS
        if not state.unanswered_probes:
            self._unanswered_since = None
        elif self._unanswered_since is None:
            self._unanswered_since = now
        return (
            self._unanswered_since is not None
            and now - self._unanswered_since > PROBE_TIMEOUT_SECONDS
        )
