"""Socket options that detect the loss of the other end of a connection."""

import contextlib
import socket
import struct
from dataclasses import dataclass

# The connection is closed if sent data is not acknowledged for this long. A healthy
# link inside a region acknowledges within milliseconds; a lost packet is resent
# within a few hundred milliseconds.
USER_TIMEOUT_MS = 2000
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
# With a user timeout, the kernel closes an idle connection at the second probe in any
# case.
KEEPALIVE_PROBES = 2
KEEPALIVE_PROBES_WITHOUT_USER_TIMEOUT = 1
# A closed receive window is probed at least this often. Otherwise the interval doubles
# with each probe, and the loss of a peer that reads nothing is noticed ever later.
PROBE_INTERVAL_MS = 1000
_DEFAULT_PROBE_INTERVAL_MS = 120_000
_TCP_RTO_MAX_MS = 44  # Linux 6.15; the socket module has no name for it

# The start of `struct tcp_info` of Linux, which only grows at its end.
_TCP_INFO = struct.Struct("=8B24I2Q2Q6I2Q2Q2I2Q4I")
_STATE = 0
_PROBES = 3
_IN_FLIGHT = 12
_LAST_ACKNOWLEDGED = 20
_ACKNOWLEDGED_BYTES = 34
_SEGMENTS_SENT = 36
_SEGMENTS_RECEIVED = 37
_UNSENT_BYTES = 38
_WINDOW = 53
# States of a connection whose other end has closed it or reset it.
_CLOSED_BY_PEER_STATES = frozenset({7, 8})


@dataclass(frozen=True, slots=True)
class OutputState:
    """What the kernel knows of the output of one TCP connection.

    Parameters
    ----------
    segments_in_flight : int
        Segments that were sent and are not acknowledged.
    unsent_bytes : int
        Bytes that the kernel has accepted and not sent.
    window_bytes : int
        Receive window that the peer has advertised.
    unanswered_probes : int
        Probes of a closed receive window since the last acknowledgement.
    acknowledged_bytes : int
        Bytes acknowledged since the connection was made.
    silent_seconds : float
        Time since the last acknowledgement of the peer, also of no new bytes.
    buffered_bytes : int
        Bytes that the kernel has not accepted yet.
    """

    segments_in_flight: int = 0
    unsent_bytes: int = 0
    window_bytes: int = 0
    unanswered_probes: int = 0
    acknowledged_bytes: int = 0
    silent_seconds: float = 0.0
    buffered_bytes: int = 0

    @property
    def is_window_closed(self):
        """Whether bytes wait only because the peer has no room to receive them."""
        if self.segments_in_flight:
            return self.window_bytes == 0
        return self.unsent_bytes > 0

    @property
    def is_empty(self):
        """Whether the peer has acknowledged all output."""
        return not (self.buffered_bytes or self.unsent_bytes or self.segments_in_flight)


def read_output_state(sock, buffered_bytes=0):
    """Return the `OutputState` of a TCP socket, None if the platform does not tell it.

    A platform may know the option but fill in only some fields. It is told by a
    connection for which no segments are counted.
    """
    fields = _read_fields(sock)
    if fields is None:
        return None
    return OutputState(
        segments_in_flight=fields[_IN_FLIGHT],
        unsent_bytes=fields[_UNSENT_BYTES],
        window_bytes=fields[_WINDOW],
        unanswered_probes=fields[_PROBES],
        acknowledged_bytes=fields[_ACKNOWLEDGED_BYTES],
        silent_seconds=fields[_LAST_ACKNOWLEDGED] / 1000,
        buffered_bytes=buffered_bytes,
    )


def is_closed_by_peer(sock):
    """Whether the other end of a TCP socket has closed it, as far as is known.

    An event loop notices it only while it reads from the connection.
    """
    fields = _read_fields(sock)
    return fields is not None and fields[_STATE] in _CLOSED_BY_PEER_STATES


def _read_fields(sock):
    option = getattr(socket, "TCP_INFO", None)
    if sock is None or option is None:
        return None
    try:
        raw = sock.getsockopt(socket.IPPROTO_TCP, option, _TCP_INFO.size)
    except OSError:
        return None
    if len(raw) < _TCP_INFO.size:
        return None
    fields = _TCP_INFO.unpack(raw)
    return fields if fields[_SEGMENTS_SENT] or fields[_SEGMENTS_RECEIVED] else None


def set_socket_timeouts(sock):
    """Set timeouts on an IPv4 TCP socket, so that a dead connection is closed.

    Nagle's algorithm is switched off as well. Other sockets are left unchanged.

    The user timeout also ends a connection whose peer acknowledges everything but has
    no room to receive more. It is therefore set only where `read_output_state` returns
    None. Elsewhere, the owner of the connection needs an `OutputMonitor`.
    """
    if sock is None or sock.family != socket.AF_INET:
        return
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)
    if read_output_state(sock) is None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        return
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES_WITHOUT_USER_TIMEOUT
    )
    _set_probe_interval(sock, PROBE_INTERVAL_MS)


def release_output(sock):
    """Let the kernel deliver what is unsent after the socket is closed.

    With a short probe interval, it would soon give up a peer that reads slowly.
    """
    _set_probe_interval(sock, _DEFAULT_PROBE_INTERVAL_MS)


def _set_probe_interval(sock, milliseconds):
    # Older kernels lack the option and probe less and less often.
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, _TCP_RTO_MAX_MS, milliseconds)
