"""Loopback addresses for deployments that run side by side."""

import os
import socket

from gevent.server import StreamServer

FIRST_OCTET = 10
OCTET_COUNT = 240
LOCK_PORT = 7999
LOOPBACK = "127.0.0.1"
# Addresses at which the nodes of a deployment listen: third octet, fourth octet, port.
DEPLOYMENT_ADDRESSES = ((1, 1, 8080), (1, 11, 8000), (3, 1, 8080), (3, 11, 8000))


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of IP:PORT."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def address_of(server: StreamServer) -> str:
    """Return IP:PORT of a listening server."""
    return f"{server.server_host}:{server.server_port}"


class OctetReservation:
    """Reservation of a second octet of 127.0.0.0/8 that no other deployment uses.

    The reservation is a bound socket, so it ends with the process at the latest.
    Raises OSError if no octet is free.
    """

    def __init__(self):
        for index in range(OCTET_COUNT):
            octet = FIRST_OCTET + (os.getpid() + index) % OCTET_COUNT
            lock = socket.socket()
            if _can_bind(lock, f"127.{octet}.0.1", LOCK_PORT) and _is_free(octet):
                self.octet = octet
                self._lock = lock
                return
            lock.close()
        raise OSError("no free second octet of 127.0.0.0/8 for a deployment")

    def release(self) -> None:
        """Free the octet for other deployments."""
        self._lock.close()


def _is_free(octet: int) -> bool:
    for third, fourth, port in DEPLOYMENT_ADDRESSES:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if not _can_bind(probe, f"127.{octet}.{third}.{fourth}", port):
                return False
    return True


def _can_bind(conn: socket.socket, host: str, port: int) -> bool:
    try:
        conn.bind((host, port))
    except OSError:
        return False
    return True
