"""Socket options that detect the loss of the other end of a connection."""

import socket

# The connection is closed if sent data is not acknowledged for this long. A healthy
# link inside a region acknowledges within milliseconds; a lost packet is resent
# within a few hundred milliseconds.
USER_TIMEOUT_MS = 2000
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2


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
