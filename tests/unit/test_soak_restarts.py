"""Tests of the soak test's restarts of endpoints."""

import tempfile
import unittest
from pathlib import Path

import gevent
from gevent import socket

from fakes.addresses import split_address
from soak.system import SoakSystem


class RestartTests(unittest.TestCase):
    """Guard against an endpoint that stays away for the rest of a run.

    The soak test then reports that the nodes did not recover.
    """

    def test_the_registered_address_works_after_overlapping_restarts(self):
        for moves in ((True, False), (False, True), (True, True)):
            with self.subTest(moves=moves), tempfile.TemporaryDirectory() as folder:
                system = SoakSystem(Path(folder), 0, 1, 0)
                try:
                    gevent.joinall(
                        [
                            gevent.spawn(system.restart_endpoint, "e-0", seconds, move)
                            for seconds, move in zip((0.05, 0.1), moves, strict=True)
                        ]
                    )
                    entry = system.deployment.entries["e-0"]
                    address = split_address(entry["address"])
                    socket.create_connection(address, 1.0).close()
                finally:
                    system.close()
