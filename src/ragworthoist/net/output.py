"""Output of one connection until the other end has acknowledged it."""

from ragworthoist.events import Event, log_event
from ragworthoist.net.liveness import OutputLiveness, OutputVerdict
from ragworthoist.net.sockets import read_output_state, release_output

CHECK_INTERVAL_SECONDS = 0.25
# Only output that takes longer than this to be acknowledged is checked often.
FIRST_CHECK_SECONDS = 1.0


class OutputMonitor:
    """Ends a connection whose peer is lost, but not one whose peer reads slowly.

    Nothing is checked while the peer has acknowledged all output, nor where the
    platform does not tell the state of a connection.

    Parameters
    ----------
    loop : AbstractEventLoop
        The event loop of the transport.
    transport : Transport
        The connection. It is aborted if the peer is lost or has stalled.
    get_stall_limit : callable, optional
        Returns the longest time in seconds in which the peer may read nothing, or
        None if there is no limit.
    """

    __slots__ = ("_loop", "_transport", "_socket", "_get_stall_limit", "_liveness",
                 "_timer", "_is_supported")  # fmt: skip

    def __init__(self, loop, transport, get_stall_limit=lambda: None):
        self._loop = loop
        self._transport = transport
        self._socket = transport.get_extra_info("socket")
        self._get_stall_limit = get_stall_limit
        self._liveness = OutputLiveness()
        self._timer = None
        self._is_supported = self._read_state() is not None

    @property
    def is_empty(self):
        """Whether the peer has acknowledged all output, as far as is known."""
        if not self._is_supported:
            return not self._transport.get_write_buffer_size()
        state = self._read_state()
        return state is None or state.is_empty

    def watch(self):
        """Check the output until the peer has acknowledged all of it.

        Called after each write to the transport.
        """
        if self._timer is None and self._is_supported:
            self._liveness.record_write(self._loop.time())
            self._timer = self._loop.call_later(FIRST_CHECK_SECONDS, self._check)

    def stop(self):
        """Check no more; called when the connection is lost."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def release(self):
        """Leave unsent output to the kernel, before the transport is closed."""
        self.stop()
        if self._is_supported:
            release_output(self._socket)

    def _check(self):
        self._timer = None
        state = self._read_state()
        if state is None:
            return
        now = self._loop.time()
        verdict = self._liveness.evaluate(now, state, self._get_stall_limit())
        if verdict in (OutputVerdict.LOST, OutputVerdict.STALLED):
            log_event(
                Event.CONNECTION_ABANDONED,
                reason=verdict.value,
                peer=self._transport.get_extra_info("peername"),
                unsent_bytes=state.unsent_bytes + state.buffered_bytes,
            )
            self._transport.abort()
        elif verdict is OutputVerdict.WAITING:
            delay = CHECK_INTERVAL_SECONDS
            if now < self._liveness.lost_at:
                delay = min(delay, self._liveness.lost_at - now)
            self._timer = self._loop.call_later(delay, self._check)

    def _read_state(self):
        return read_output_state(self._socket, self._transport.get_write_buffer_size())
