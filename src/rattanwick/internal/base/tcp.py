"""State of TCP connections, as the operating system tells it."""

import fcntl
import struct
import termios
import time

import gevent
from gevent import monkey

poll = monkey.get_original("select", "poll")
POLLIN = 1  # select.POLLIN
POLLHUP = 16  # select.POLLHUP
# The system does not signal acknowledgements, so they are polled.
ACKNOWLEDGEMENT_POLL_SECONDS = 0.005


def is_readable(sock) -> bool:
    """Return whether a socket has bytes to read, was closed by the peer or failed."""
    return _events(sock) != 0


def wait_until_acknowledged(sock, deadline: float) -> None:
    """Wait until the peer's system has acknowledged all bytes sent.

    Raises ConnectionResetError if the connection was reset, and TimeoutError at
    ``deadline``, in monotonic seconds. The system reports a reset only once, to any
    call on the socket, so an orderly end that was read does not exclude one. A reset
    may also follow an end that was read: a peer that has closed its connection resets
    it when more arrives. This side must not have ended its sending.
    """
    while not _events(sock) & POLLHUP:
        if not _unacknowledged_bytes(sock):
            return
        if time.monotonic() >= deadline:
            raise TimeoutError("sent bytes were not acknowledged in time")
        gevent.sleep(ACKNOWLEDGEMENT_POLL_SECONDS)
    raise ConnectionResetError("connection was reset")


def _unacknowledged_bytes(sock) -> int:
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
