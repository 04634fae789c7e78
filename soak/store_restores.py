"""A store that is away and comes back from an older copy, and endpoints that leave."""

import random

import gevent

from soak.faults import Fault, KillNode, PauseNode, StopNode
from soak.system import SoakSystem

AWAY_SECONDS = (0.2, 2.0)  # before the store comes back
COPY_AGE_SECONDS = (1.0, 10.0)
WHOLE_HISTORY_SHARE = 0.1  # of the copies, which hold nothing at all
AGAIN_SHARE = 0.25  # of the restores, which another one follows
AGAIN_SECONDS = (0.0, 1.0)
NODE_FAULT_SHARE = 0.4  # of the restores, during which a node fails or stops
NODE_FAULT_DELAY_SECONDS = 2.0  # longest, from the begin of the outage
# How the nodes see the outage; "unseen" is a restore without an outage.
OUTAGE_KINDS = ("down", "delay", "cut_forward", "cut_backward", "refuses", "unseen")
LINK_DELAY_SECONDS = 0.3
# The operator writes the configuration again after this time, the endpoints their
# entries after at most the longest one.
REWRITE_SECONDS = (0.5, 2.0)
# The platform allows requests for this long after the store has accepted that an
# endpoint leaves.
DRAIN_SECONDS = 2.0
LEAVE_INTERVAL_SECONDS = (1.0, 4.0)  # between two endpoints that leave


class RestoreStore(Fault):
    """Takes the store away and restores it from a copy that is some seconds old."""

    name = "store restored"

    def inject(self) -> str:
        """Restore the store once or twice; then all rows are written again."""
        text = []
        with self._system.record_store_disruption():
            task = self._start_node_fault()
            while True:
                text.append(self._restore())
                if self._random.random() >= AGAIN_SHARE:
                    break
                gevent.sleep(self._random.uniform(*AGAIN_SECONDS))
            rewrites = [
                gevent.spawn_later(self._random.uniform(*REWRITE_SECONDS), write)
                for write in self._system.rewrites()
            ]
            gevent.joinall(rewrites, raise_error=True)
        gevent.joinall([task] if task else [], raise_error=True)
        return "; ".join(text)

    def _start_node_fault(self) -> gevent.Greenlet | None:
        if self._random.random() >= NODE_FAULT_SHARE:
            return None
        kind = self._random.choice((KillNode, StopNode, PauseNode))
        fault = kind(self._system, random.Random(self._random.getrandbits(32)))
        delay = self._random.uniform(0.0, NODE_FAULT_DELAY_SECONDS)
        return gevent.spawn_later(delay, fault.inject)

    def _restore(self) -> str:
        rows = self._system.deployment.platform.rows
        kind = self._random.choice(OUTAGE_KINDS)
        names = self._system.names
        nodes = self._random.sample(names, self._random.randint(1, len(names)))
        proxies = [self._system.store_proxies[node] for node in nodes]
        if kind == "down":
            rows.down = True
        elif kind != "unseen":
            for proxy in proxies:
                setattr(proxy, kind, LINK_DELAY_SECONDS if kind == "delay" else True)
        age = self._random.uniform(*COPY_AGE_SECONDS)
        if self._random.random() < WHOLE_HISTORY_SHARE:
            age = float("inf")
        gevent.sleep(self._random.uniform(*AWAY_SECONDS))
        rows.restore(rows.number_before(age))
        rows.down = False
        for proxy in proxies:
            proxy.heal()
        seen = f" by {','.join(nodes)}" if kind not in ("down", "unseen") else ""
        return f"{kind}{seen}, era {rows.era} from a copy of {age:.1f} s ago"


class EndpointDeparture(Fault):
    """Lets an endpoint without faults leave, after another one has come."""

    name = "endpoint leaves"

    def inject(self) -> str:
        """Let the oldest endpoint without faults leave."""
        system: SoakSystem = self._system
        departed, successor = system.begin_departure()
        gevent.sleep(DRAIN_SECONDS + self._random.uniform(0.0, 1.0))
        system.end_departure(departed)
        gevent.sleep(self._random.uniform(*LEAVE_INTERVAL_SECONDS))
        return f"{departed}, after {successor} had come"
