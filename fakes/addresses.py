"""Addresses on loopback for deployments that run side by side."""

import os
import socket

from gevent.server import StreamServer

FIRST_OCTET = 10
OCTETS = 240
LOCK_PORT = 7999
LOOPBACK = "127.0.0.1"
USED = ((1, 1, 8080), (1, 11, 8000), (3, 1, 8080), (3, 11, 8000))


def split_address(address: str) -> tuple[str, int]:
    """Return IP:PORT as a socket address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def address_of(server: StreamServer) -> str:
    """Return IP:PORT of a server that listens."""
    return f"{server.server_host}:{server.server_port}"


class OctetReservation:
    """Hold a second octet of 127.0.0.0/8 that no other deployment uses.

    The claim is a bound socket, so it ends with the process at the latest.
    """

    def __init__(self):
        for index in range(OCTETS):
            octet = FIRST_OCTET + (os.getpid() + index) % OCTETS
            lock = socket.socket()
            if _can_bind(lock, f"127.{octet}.0.1", LOCK_PORT) and _is_free(octet):
                self.octet = octet
                self._lock = lock
                return
            lock.close()
        raise OSError("no free addresses for a deployment")

    def release(self) -> None:
        """Let other deployments use the octet."""
        self._lock.close()


def _is_free(octet: int) -> bool:
    for third, fourth, port in USED:
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
