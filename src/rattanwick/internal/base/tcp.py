"""State of TCP connections, as the operating system tells it."""

import fcntl
import struct
import termios

from gevent import monkey

poll = monkey.get_original("select", "poll")
POLLIN = 1  # select.POLLIN
POLLHUP = 16  # select.POLLHUP


def is_readable(sock) -> bool:
    """Return whether a socket has bytes to read, was closed by the peer or failed."""
    return _events(sock) != 0


def is_reset(sock) -> bool:
    """Return whether a connection has failed, even if a call has reported the error.

    This side must not have ended its sending.
    """
    return _events(sock) & POLLHUP != 0


def unacknowledged_bytes(sock) -> int:
    """Return how many sent bytes the peer's system has not acknowledged."""
    size = struct.calcsize("i")
    return struct.unpack("i", fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(size)))[0]


def _events(sock) -> int:
    poller = poll()
    try:
        poller.register(sock.fileno(), POLLIN)
        ready = poller.poll(0)
    except (OSError, ValueError):
        return POLLIN | POLLHUP  # the socket was closed
    return ready[0][1] if ready else 0
