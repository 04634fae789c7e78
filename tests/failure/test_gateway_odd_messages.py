"""Messages of peers with values of the right type that no node sends."""

import unittest
from dataclasses import replace

from fakes.gateway_settings import make_settings
from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.gateway.peer_exchange import PeerExchange
from rattanwick.internal.gateway.peer_messages import encode_state
from tests.gateway_case import make_state

# By field of a state: a value that no node sends.
ODD_VALUES = {
    "port": (-1, 65_536, 2**40),
    "boot": (-1,),
    "sequence": (-1,),
    "cores": (-1.0,),
    "request_rate": (-1.0,),
    "fence": (-1,),
    "versions": ({"servers": [1, -1]}, {"servers": [-1, 1]}, {"servers": 5}),
    "usage": ({1: {"org": -1}},),
    "loads": ({"i-1": [-5, 0, 0, 0]}, {"i-1": [0, -5, 0, 0]}),
    "prompt_tokens": ({"engine": -1},),
    "prefill_seen": (
        {"engine": [-30.0, 0.0, 0.0, 0.0, 0.0, 1.0]},
        {"engine": [1.0, 1.0, 1.0, 1.0, 1.0, 2.0]},
    ),
    "crashes": ([["fingerprint", "i-1", -1e9]],),
    "placed": (-1,),
    "placements": ([["i-1", [["p", -5]]]],),
}


class OddMessageTests(unittest.TestCase):
    """Guard against a state that stops a node's sending or distorts its decisions.

    A port out of range ended the sending of states: sendto() raises OverflowError.
    """

    def setUp(self):
        self.state = make_state(ManualTimerService(), make_settings("n1"))
        self.peers = PeerExchange(self.state, [])
        self.peers._datagrams.send_to = lambda *_: None  # no socket is open
        other = make_state(ManualTimerService(), make_settings("n2"))
        now = other.timers.now()
        self.message = replace(PeerExchange(other, [])._own_state(now), port=7600)

    def receive(self, **changes) -> None:
        """Receive the peer's state with some fields changed."""
        data = encode_state(replace(self.message, **changes))
        self.peers._receive(data, ("127.0.0.1", 7600))

    def test_an_odd_state_is_ignored(self):
        for name, values in ODD_VALUES.items():
            for value in values:
                with self.subTest(name=name, value=value):
                    with self.assertLogs("rattanwick.peers", "WARNING"):
                        self.receive(**{name: value})
                    self.assertIsNone(self.state.members.get("n2"))

    def test_a_model_can_be_fitted_to_any_observations(self):
        """Guard against a division by zero in each request of a service."""
        figures = (0.0, 1.0, 2.0**53 - 1)
        for first in figures:
            for second in figures:
                for assumed in (0.0, 1.0):
                    sums = [first, second, first, second, first, assumed]
                    with self.subTest(sums=sums):
                        self.receive(
                            prefill_seen={"engine": sums}, sequence=self.next_sequence()
                        )
                        estimator = self.state.prefill_estimator
                        model = estimator.for_service("engine")
                        self.assertGreater(model.rate, 0)
                        self.assertGreater(model.seconds(1000), 0)

    def next_sequence(self) -> int:
        """Return a higher sequence than that of the last state."""
        self.message = replace(self.message, sequence=self.message.sequence + 1)
        return self.message.sequence
