"""Membership of real processes that are frozen or killed.

Guards against failures that show only with separate processes, such as a paused
process that declares all others dead when it resumes.
"""

import os
import signal
import unittest

from bench.peer_processes import PeerProcesses

TIMES = {"heartbeat_seconds": 0.1, "suspect_seconds": 0.3, "dead_seconds": 0.6}


class ProcessTests(unittest.TestCase):
    def setUp(self):
        self.peers = PeerProcesses(4, 2, **TIMES)
        self.addCleanup(self.peers.stop)
        self.peers.wait_live([0, 1, 2, 3], 4)

    def test_a_frozen_process_is_not_live_and_is_live_again_after_it_resumes(self):
        frozen = self.peers.processes[3].pid
        os.kill(frozen, signal.SIGSTOP)
        self.assertLess(self.peers.wait_live([0, 1, 2], 3), 0.6 + 0.7)
        os.kill(frozen, signal.SIGCONT)
        # The resumed process must not count the others as lost after its own pause.
        self.assertLess(self.peers.wait_live([0, 1, 2, 3], 4), 3.0)

    def test_a_killed_process_is_not_live_within_the_timeout(self):
        # Guards against relying on a closed connection or a last message of the
        # process.
        self.peers.processes[2].kill()
        self.assertLess(self.peers.wait_live([0, 1, 3], 3), 0.6 + 0.7)
