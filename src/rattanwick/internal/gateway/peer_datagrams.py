"""Sending and receiving of datagrams between nodes."""

import errno
from collections.abc import Callable

from gevent.server import DatagramServer

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import counter
from rattanwick.internal.gateway.members import Member

log = get_logger("peers")

unsent_total = counter(
    "peer_datagrams_unsent", "Datagrams to peers that were not sent", ("error",)
)

MAX_RECEIVED_BYTES = 65_536


class PeerDatagrams(DatagramServer):
    """Socket for the datagrams of a node, of any size; gevent cuts them at 8 KiB.

    ``handle`` is called with each datagram and its sender.
    """

    def __init__(
        self,
        address: tuple[str, int],
        handle: Callable[[bytes, tuple[str, int]], None],
    ):
        super().__init__(address, handle)
        self._warned_of_size = False

    def do_read(self):
        """Return a datagram and its sender, or None if none has arrived."""
        try:
            return self._socket.recvfrom(MAX_RECEIVED_BYTES)
        except BlockingIOError:
            return None

    def send(self, data: bytes, members: list[Member]) -> None:
        """Send a datagram to each member."""
        for member in members:
            self.send_to(data, member.address)

    def send_to(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; one that cannot be sent is counted and logged."""
        try:
            self.socket.sendto(data, address)
        except OSError as exc:
            # State is sent again soon, and a request for permits is repeated.
            unsent_total.labels(errno.errorcode.get(exc.errno, "unknown")).inc()
            fields = {"peer": address[0], "error": str(exc), "bytes": len(data)}
            if exc.errno == errno.EMSGSIZE and not self._warned_of_size:
                self._warned_of_size = True
                log.warning("datagram is too large", extra=fields)
            else:
                log.debug("datagram not sent", extra=fields)
