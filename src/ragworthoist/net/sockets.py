"""Socket options that detect the loss of the other end of a connection."""

import socket
import struct
from dataclasses import dataclass

# The connection is closed if sent data is not acknowledged for this long. A healthy
# link inside a region acknowledges within milliseconds; a lost packet is resent
# within a few hundred milliseconds.
USER_TIMEOUT_MS = 2000
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2

# The start of `struct tcp_info` of Linux, which only grows at its end.
_TCP_INFO = struct.Struct("=8B24I2Q2Q3I")
_PROBES_FIELD = 3
_UNACKNOWLEDGED_FIELD = 12
_ACKNOWLEDGED_BYTES_FIELD = 34
_UNSENT_BYTES_FIELD = 38


@dataclass(frozen=True, slots=True)
class OutputState:
    """What the kernel knows of the output of one TCP connection.

    Parameters
    ----------
    segments_in_flight : int
        Segments that were sent and are not acknowledged.
    unsent_bytes : int
        Bytes that were accepted for sending and not sent.
    unanswered_probes : int
        Probes of a closed receive window since the last acknowledgement.
    acknowledged_bytes : int
        Bytes acknowledged since the connection was made.
    """

    segments_in_flight: int = 0
    unsent_bytes: int = 0
    unanswered_probes: int = 0
    acknowledged_bytes: int = 0


def read_output_state(sock):
    """Return the `OutputState` of a TCP socket, None if the platform has none."""
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
    return OutputState(
        fields[_UNACKNOWLEDGED_FIELD],
        fields[_UNSENT_BYTES_FIELD],
        fields[_PROBES_FIELD],
        fields[_ACKNOWLEDGED_BYTES_FIELD],
    )


def set_socket_timeouts(sock):
    """Set timeouts on an IPv4 TCP socket, so that a dead connection is closed.

    Nagle's algorithm is switched off as well. Other sockets are left unchanged.
    """
    if sock is None or sock.family != socket.AF_INET:
        return
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)
