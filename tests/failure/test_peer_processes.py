"""Real processes that are frozen or killed leave and come back."""

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

    def test_a_frozen_node_is_out_in_time_and_returns_when_it_runs_again(self):
        frozen = self.peers.processes[3].pid
        os.kill(frozen, signal.SIGSTOP)
        self.assertLess(self.peers.wait_live([0, 1, 2], 3), 0.6 + 0.7)
        os.kill(frozen, signal.SIGCONT)
        # It must not count the others as lost after its own pause.
        self.assertLess(self.peers.wait_live([0, 1, 2, 3], 4), 3.0)

    def test_a_killed_node_is_out_in_time(self):
        self.peers.processes[2].kill()
        self.assertLess(self.peers.wait_live([0, 1, 3], 3), 0.6 + 0.7)
