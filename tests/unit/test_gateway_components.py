"""Small components of the relay: retries, crashes, usage, events, members, peers."""

import random
import unittest
from dataclasses import replace
from math import ceil

from hypothesis import given, strategies as st

from rattanwick.internal.gateway.connection_pool import ConnectionPool
from rattanwick.internal.gateway.crash_guard import CrashGuard, call_fingerprint
from rattanwick.internal.gateway.event_sequence import EventSequence
from rattanwick.internal.gateway.interfaces import StoredRow, Version
from rattanwick.internal.gateway.members import (
    MEMBER_TIMEOUT_SECONDS,
    STANDBY_TIMEOUT_SECONDS,
    Member,
    Members,
)
from rattanwick.internal.gateway.model import PromptPart
from rattanwick.internal.gateway.node_state import Placement
from rattanwick.internal.gateway.peer_messages import (
    NO_LOAD,
    PeerLoads,
    PeerState,
    changed_loads,
    decode_datagram,
    encode_changes,
    encode_loads,
    encode_placement,
    encode_state,
    make_brief,
    placements_after,
)
from rattanwick.internal.gateway.retries import RetryBudget
from rattanwick.internal.gateway.send_rotation import (
    SEND_INTERVAL_SECONDS,
    SendRotation,
    load_pause,
    peers_per_interval,
)
from rattanwick.internal.gateway.stream_events import EventSplitter
from rattanwick.internal.gateway.table_watch import TableChanges
from rattanwick.internal.gateway.usage import UsageCounts
from tests.gateway_case import make_call


class RetryBudgetTests(unittest.TestCase):
    """Guard against retries that add to an overload."""

    def test_nodes_together_stay_within_the_share_and_the_slack(self):
        nodes = [RetryBudget(0.2, 52.0, 10.0) for _ in range(6)]
        for node in nodes:
            for _ in range(100):
                node.note_request("plain", 1.0)
        spent = sum(node.spend("plain", 6, 1.0) for node in nodes for _ in range(100))
        self.assertLessEqual(spent, 0.2 * 600 + 52)
        self.assertGreater(spent, 0)

    def test_a_spent_budget_is_renewed_with_time(self):
        budget = RetryBudget(0.2, 6.0, 10.0)
        while budget.spend("plain", 1, 0.0):
            pass
        self.assertFalse(budget.spend("plain", 1, 9.0))
        self.assertTrue(budget.spend("plain", 1, 11.0))


class CrashGuardTests(unittest.TestCase):
    """Guard against a request that crashes one endpoint after the other."""

    def test_a_request_is_refused_after_two_endpoints(self):
        guard, request_fingerprint = CrashGuard(), call_fingerprint("org", make_call())
        guard.note_crash(request_fingerprint, "i-1", 0.0)
        guard.note_crash(request_fingerprint, "i-1", 1.0)
        self.assertFalse(guard.is_blocked(request_fingerprint, 1.0))
        guard.note_crash(request_fingerprint, "i-2", 2.0)
        self.assertTrue(guard.is_blocked(request_fingerprint, 2.0))
        self.assertFalse(guard.is_blocked(request_fingerprint, 500.0))

    def test_a_frequent_request_is_not_blocked_for_endpoints_that_fail(self):
        """Guard against refusing a frequent read for a minute after two restarts."""
        guard, request_fingerprint = CrashGuard(), call_fingerprint("org", make_call())
        for number in range(4):
            guard.note_answer(request_fingerprint, 0.1 * number)
        guard.note_crash(request_fingerprint, "i-1", 2.0)
        guard.note_crash(request_fingerprint, "i-2", 2.0)
        self.assertFalse(guard.is_blocked(request_fingerprint, 2.0))
        guard.note_crash(request_fingerprint, "i-3", 2.1)
        self.assertTrue(guard.is_blocked(request_fingerprint, 2.1))

    def test_a_crash_before_an_answer_is_ignored_when_peers_report_it(self):
        guard, request_fingerprint = CrashGuard(), call_fingerprint("org", make_call())
        guard.note_crash(request_fingerprint, "i-1", 1.0)
        guard.note_answer(request_fingerprint, 2.0)
        guard.note_crash(request_fingerprint, "i-1", 1.0)  # reported again by a peer
        guard.note_crash(request_fingerprint, "i-2", 3.0)
        self.assertFalse(guard.is_blocked(request_fingerprint, 3.0))

    def test_crashes_of_a_frequent_request_are_not_reported_to_peers(self):
        """Guard against a newly started node that refuses what all others serve."""
        guard, request_fingerprint = CrashGuard(), call_fingerprint("org", make_call())
        for number in range(10):
            guard.note_answer(request_fingerprint, 0.1 * number)
        guard.note_crash(request_fingerprint, "i-1", 2.0)
        guard.note_crash("other", "i-1", 2.0)
        self.assertEqual(guard.recent(3.0, 10.0), [("other", "i-1", 1.0)])

    def test_old_answers_do_not_count(self):
        guard, request_fingerprint = CrashGuard(), call_fingerprint("org", make_call())
        for number in range(50):
            guard.note_answer(request_fingerprint, 0.1 * number)
        guard.note_crash(request_fingerprint, "i-1", 100.0)
        guard.note_crash(request_fingerprint, "i-2", 100.0)
        self.assertTrue(guard.is_blocked(request_fingerprint, 100.0))

    def test_the_same_body_under_another_id_has_the_same_fingerprint(self):
        first, second = make_call(call_id="one"), make_call(call_id="two")
        self.assertEqual(
            call_fingerprint("org", first), call_fingerprint("org", second)
        )
        self.assertNotEqual(
            call_fingerprint("x", first), call_fingerprint("org", first)
        )


class UsageTests(unittest.TestCase):
    """Guard against usage that is counted twice or lost with a node."""

    def test_windows_are_summed_over_processes(self):
        usage = UsageCounts(5.0)
        usage.note_began("org", 12.0)
        usage.update_from_peer(("n2", 1), {2: {"org": 3}})
        usage.update_from_peer(("n2", 1), {2: {"org": 4}})
        usage.update_from_peer(("n2", 2), {2: {"org": 1}})
        self.assertEqual(usage.total(2), {"org": 6})

    def test_old_windows_are_forgotten(self):
        usage = UsageCounts(5.0)
        for second in range(0, 100, 5):
            usage.note_began("org", float(second))
        self.assertLessEqual(len(usage.own()), 4)


class EventSplitterTests(unittest.TestCase):
    """Guard against incomplete events that reach a caller."""

    @given(st.lists(st.integers(1, 9), max_size=30))
    def test_only_complete_events_are_returned(self, sizes):
        data = b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, 8))
        splitter, got, at = EventSplitter(EventSequence()), b"", 0
        for size in sizes:
            events = splitter.feed(data[at : at + size])
            self.assertTrue(events == b"" or events.endswith(b"\n\n"))
            got += events
            at += size
        self.assertEqual(got + splitter.partial, data[:at])
        if got:
            self.assertEqual(splitter.sequence.resume_id, str(got.count(b"\n\n")))


class MemberTests(unittest.TestCase):
    """Guard against callers that are directed to a silent node."""

    def member(
        self, node_id: str, last_heard_at: float, boot: int = 1, fence: int = 0
    ) -> Member:
        """Return a member whose last datagram came at ``last_heard_at``."""
        return Member(
            node_id,
            boot,
            ("127.0.0.1", 1),
            "127.0.0.1:2",
            "a",
            last_heard_at,
            fence=fence,
        )

    def test_silent_nodes_are_not_live_and_are_removed_later(self):
        members = Members("n1")
        members.put(self.member("n2", 10.0))
        self.assertEqual(len(members.live(10.5)), 1)
        self.assertEqual(len(members.live(13.0)), 0)
        self.assertEqual(members.count_nodes(), 2)
        members.update_liveness(60.0)
        self.assertEqual(members.count_nodes(), 1)

    def test_an_older_process_does_not_replace_a_newer_one(self):
        members = Members("n1")
        self.assertTrue(members.put(self.member("n2", 1.0, boot=5)))
        self.assertFalse(members.put(self.member("n2", 2.0, boot=4)))
        self.assertEqual(members.get("n2").boot, 5)

    def test_any_datagram_of_the_known_process_keeps_a_member_live(self):
        """With 90 nodes a state comes every 0.8 s, and one may be lost."""
        members = Members("n1")
        members.put(self.member("n2", 10.0, boot=5))
        members.note_heard("n2", 4, 11.0)
        members.note_heard("n3", 5, 11.0)
        self.assertEqual(members.live(11.5), [])
        members.note_heard("n2", 5, 11.0)
        self.assertEqual([m.node_id for m in members.live(11.5)], ["n2"])
        self.assertIsNone(members.get("n3"))

    def test_the_member_with_the_highest_fence_is_the_leader(self):
        members = Members("n1")
        members.put(self.member("n2", 10.0, fence=3))
        members.put(self.member("n3", 10.0, fence=4))
        self.assertEqual(members.leader(10.1, 3.0).node_id, "n3")
        self.assertIsNone(members.leader(20.0, 3.0))


class FinishedConnection:
    """Connection whose response was read to its end."""

    def __init__(self):
        self.pool_key = "i-1/1"
        self.idle_limit = self.idle_since = 0.0
        self.closed = False

    def finish(self) -> bool:
        """Return that the connection can be reused."""
        return True

    def close(self) -> None:
        """Record that the connection was closed."""
        self.closed = True


class ConnectionPoolTests(unittest.TestCase):
    """Guard against idle connections that use up the connections of an endpoint."""

    def test_no_more_connections_are_kept_than_allowed(self):
        connections, pool = [FinishedConnection() for _ in range(5)], ConnectionPool()
        for connection in connections:
            pool.release(connection, None, 2)
        self.assertEqual(
            [connection.closed for connection in connections],
            [False, False] + [True] * 3,
        )


class SendRotationTests(unittest.TestCase):
    """Guard against a cost of messages that grows with the square of the nodes."""

    def test_many_peers_get_the_state_in_turn_and_none_is_left_out(self):
        members = [Member(f"n{n}", 1, ("x", 1), "x:1", "a", 0.0) for n in range(79)]
        sent, rotation = [], SendRotation()
        for _ in range(4):
            recipients = rotation.next_members(members, 24)
            self.assertEqual(len(recipients), 24)
            sent.extend(member.node_id for member in recipients)
        self.assertEqual(set(sent), {member.node_id for member in members})

    def test_no_member_is_left_out_when_others_come_and_go(self):
        """A leader that gets too few states reports a quarter too little usage."""
        rng, rotation = random.Random(3), SendRotation()
        members = [Member(f"n{n}", 1, ("x", 1), "x:1", "a", 0.0) for n in range(34)]
        steady, since = members[:30], dict.fromkeys(range(30), 0)
        for _ in range(300):
            present = steady + [m for m in members[30:] if rng.random() < 0.5]
            rng.shuffle(present)
            recipients = rotation.next_members(present, 8)
            since = {n: 0 if steady[n] in recipients else since[n] + 1 for n in since}
            # At most five periods for 34 members, eight in each.
            self.assertLess(max(since.values()), 5)

    def test_a_node_receives_no_more_loads_from_more_peers(self):
        """The rate of messages to a node had grown with the number of its peers.

        Each of 80 nodes received 250 messages a second, and did little else.
        """
        for peers in (24, 48, 80, 394):
            with self.subTest(peers=peers):
                self.assertLessEqual(peers / load_pause(peers), 251)
        self.assertLess(79 / load_pause(79), 79)
        self.assertEqual(load_pause(5), 0.02)

    def test_states_use_less_than_half_of_a_slow_link(self):
        """24 states of 4 kB in each interval fill a link of 5 Mbit/s."""
        bandwidth, state, brief = 5e6 / 8, 4000, 500  # bytes a second, bytes
        for active, standby in ((24, 56), (26, 154)):
            with self.subTest(active=active):
                per_second = peers_per_interval(active, False) * state
                per_second += peers_per_interval(standby, False) * brief
                self.assertLess(per_second / SEND_INTERVAL_SECONDS, 0.5 * bandwidth)

    def test_every_peer_gets_a_state_before_the_member_timeout(self):
        for peers in (5, 24, 80, 394):
            with self.subTest(peers=peers):
                rounds = ceil(peers / peers_per_interval(peers, False))
                self.assertLess(rounds * SEND_INTERVAL_SECONDS, MEMBER_TIMEOUT_SECONDS)
                rounds = ceil(peers / peers_per_interval(peers, True))
                self.assertLess(
                    2 * (rounds - 1) * SEND_INTERVAL_SECONDS, STANDBY_TIMEOUT_SECONDS
                )

    def test_few_peers_all_get_the_state(self):
        members = [Member(f"n{n}", 1, ("x", 1), "x:1", "a", 0.0) for n in range(5)]
        self.assertEqual(SendRotation().next_members(members, 24), members)


class PeerStateTests(unittest.TestCase):
    """Guard against malformed datagrams that stop a node."""

    STATE = PeerState(
        node_id="n1",
        boot=1,
        sequence=2,
        brief=False,
        port=3,
        callers="127.0.0.1:4",
        data_centre="a",
        ready=True,
        leaving=False,
        standby=False,
        cores=0.5,
        request_rate=4.5,
        store_failing=False,
        fence=0,
        versions={"op": Version(2, 3)},
        block_digest=0,
        configuration=7,
        spent={"org": [1, 2]},
        usage={5: {"org": 1}},
        loads={"i-1": [1, 2, 3, 4]},
        prompt_tokens={"engine": 5},
        prefill_seen={"engine": [1.0, 2.5, 0.25, 4.0, 5.5, 0.5]},
        crashes=[],
        leaving_endpoints=[["i-2", 1]],
        placed=7,
        placements=[["i-1", [["p", 5]]]],
    )

    def test_states_and_loads_are_decoded_as_encoded(self):
        self.assertEqual(decode_datagram(encode_state(self.STATE)), self.STATE)
        placements = [["i-1", [["p", 5]]]]
        spent = {"org": [5, 7]}
        loads = PeerLoads(
            "n1", 1, 2, {"i-1": [1, 2, 3, 4]}, 1, placements, spent, [["i-2", 1]]
        )
        self.assertEqual(decode_datagram(encode_loads(loads)), loads)

    def test_a_brief_state_keeps_the_fields_for_limits_and_directory(self):
        brief = make_brief(self.STATE)
        self.assertTrue(brief.brief)
        self.assertEqual((brief.usage, brief.loads, brief.placements), ({}, {}, []))
        kept = ("spent", "prompt_tokens", "versions", "ready", "fence", "crashes")
        for name in kept:
            self.assertEqual(getattr(brief, name), getattr(self.STATE, name))

    def test_only_loads_that_changed_are_sent(self):
        sent = {"i-1": [1, 2, 3, 4], "i-2": [5, 1, 1, 1], "i-3": [0, 1, 1, 9]}
        loads = {"i-1": [1, 2, 3, 7], "i-2": [6, 2, 1, 1], "i-4": [1, 1, 1, 1]}
        changed = changed_loads(sent, loads)
        self.assertEqual(
            changed, {"i-2": [6, 2, 1, 1], "i-4": [1, 1, 1, 1], "i-3": NO_LOAD}
        )

    def test_changes_of_the_store_are_decoded_as_encoded(self):
        versions = [Version(2, number) for number in (6, 7, 8, 9)]
        after, first, second, version = versions
        rows = (StoredRow("i-1", b"x" * 9000, first), StoredRow("i-2", None, second))
        changes = TableChanges("servers", after, version, rows, None)
        data = encode_changes("n1", changes)
        self.assertLess(len(data), 1000)
        self.assertEqual(decode_datagram(data), ("n1", changes))
        for size in range(len(data)):
            with self.assertRaises(ValueError):
                decode_datagram(data[:size])

    def test_a_placement_is_applied_once(self):
        """Placements are sent repeatedly; a repeat must not look like a new use."""
        sent = [Placement(f"i-{n}", (PromptPart("p", n),)) for n in (5, 6, 7)]
        encoded = [encode_placement(placement) for placement in sent]
        state = replace(self.STATE, placed=7, placements=encoded)
        self.assertEqual(placements_after(state, 0), sent)
        self.assertEqual(placements_after(state, 5), sent[1:])
        self.assertEqual(placements_after(state, 7), [])
        self.assertEqual(placements_after(state, 9), [])

    @given(st.data())
    def test_a_field_of_another_shape_is_an_error(self, data):
        """Guard against a failure after the datagram's sequence has been recorded."""
        name = data.draw(st.sampled_from(PeerState.__slots__))
        strange = st.one_of(
            st.none(),
            st.binary(),
            st.just(1 << 60),
            st.just(float("nan")),
            st.just([[1]]),
            st.just({"org": ["x"]}),
            st.just({b"org": 1}),
        )
        state = replace(self.STATE, **{name: data.draw(strange)})
        with self.assertRaises(ValueError):
            decode_datagram(encode_state(state))

    @given(st.binary(max_size=200))
    def test_bytes_of_another_kind_are_an_error(self, data):
        with self.assertRaises(ValueError):
            decode_datagram(data)

    @given(st.integers(0, 150))
    def test_a_truncated_datagram_is_an_error(self, size):
        data = encode_state(self.STATE)
        with self.assertRaises(ValueError):
            decode_datagram(data[: min(size, len(data) - 1)])
