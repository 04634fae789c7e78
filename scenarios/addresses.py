"""Addresses on loopback for deployments that run side by side."""

import contextlib
import os
import socket
from collections.abc import Iterator

FIRST_OCTET = 10
OCTETS = 240
LOCK_PORT = 7999
USED = ((1, 1, 8080), (1, 11, 8000), (3, 1, 8080), (3, 11, 8000))


@contextlib.contextmanager
def claimed_octet() -> Iterator[int]:
    """Hold a second octet of 127.0.0.0/8 that no other deployment uses."""
    for index in range(OCTETS):
        octet = FIRST_OCTET + (os.getpid() + index) % OCTETS
        with socket.socket() as lock:
            if not _can_bind(lock, f"127.{octet}.0.1", LOCK_PORT):
                continue
            if _is_free(octet):
                yield octet
                return
    raise OSError("no free addresses for a deployment")


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
