"""Options that make a connection notice that its other end is gone."""

import socket

# Data that is not acknowledged for this long ends the connection: a healthy link
# of one region answers within milliseconds and a lost packet is resent within a
# few hundred.
USER_TIMEOUT_MS = 2000
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2


def set_socket_timeouts(sock):
    """Set time limits on a TCP socket, so that a silent connection ends."""
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
