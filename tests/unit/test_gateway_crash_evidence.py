"""Evidence of which prompt part crashes endpoints, and the blocks that follow."""

import unittest

from hypothesis import given, strategies as st

from bench.parts_lab import MAX_REQUESTS, Guarded, Scenario, Simulation
from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.gateway.blocked_parts import (
    BLOCK_RETENTION_SECONDS,
    MAX_BLOCKS,
    Block,
    BlockedParts,
)
from rattanwick.internal.gateway.crash_evidence import (
    LEARNING_ANSWERS,
    MAX_PARTS,
    MAX_ROUNDS,
    CrashEvidence,
    LostRequest,
    shared_parts,
)
from rattanwick.internal.gateway.model import PromptPart
from rattanwick.internal.gateway.part_guard import PartGuard
from rattanwick.internal.gateway.part_messages import PeerParts

START = 100.0  # well after the start of the process


def lost(*parts: str, organisation: str = "org", sent_at: float = 0.0) -> LostRequest:
    """Return a request that was lost in a crash."""
    return LostRequest(organisation, parts, sent_at)


def make_block(block_id: str = "b", parts=("x",), organisations=("org",), at=START):
    """Return a block as a peer sends it."""
    return Block(
        id=block_id,
        parts=frozenset(parts),
        organisations=frozenset(organisations),
        crashes=3,
        endpoints=("i-1",),
        nodes=("n1",),
        made_at=at,
        used_at=at,
    )


class CrashEvidenceTests(unittest.TestCase):
    """Guard against blaming the wrong part, or blaming the right one too late."""

    def setUp(self):
        self.evidence = CrashEvidence()
        for number in range(LEARNING_ANSWERS):
            self.evidence.note_answer((f"old-{number}",), 0.0)
        self.count = 0

    def crash(self, at: float, *requests: LostRequest, node: str = "n1") -> None:
        """Report the crash of another endpoint."""
        self.count += 1
        self.evidence.note_crash(f"i-{self.count}", at, list(requests), node)

    def culprits(self, at: float, node: str = "n1") -> list[set[str]]:
        """Return the parts that the evidence points to."""
        found = self.evidence.find_culprits(at, node, lambda request: False)
        return [set(culprit.parts) for culprit in found]

    def test_a_part_is_blamed_after_three_crashes_in_a_row(self):
        self.evidence.note_answer(("f", "g"), START - 1)
        for number in range(3):
            self.assertEqual(self.culprits(START + number), [])
            at = START + number
            self.crash(at, lost("f", "x", sent_at=at - 0.1))
        self.assertEqual(self.culprits(START + 2), [{"x"}])

    def test_crashes_that_three_nodes_saw_count_together(self):
        # Each node sees one of the crashes.
        for number in range(3):
            at = START + number
            self.crash(at, lost("x", sent_at=at - 0.1), node=f"n{number}")
        self.assertEqual(self.culprits(START + 2, "n0"), [{"x"}])
        self.assertEqual(self.culprits(START + 2, "n9"), [])

    def test_endpoints_that_fail_together_are_one_round(self):
        # Guards against blaming a much used part for a rack that lost power.
        for number in range(9):
            self.crash(START + 0.001 * number, lost("f", sent_at=START - 0.5))
        self.assertEqual(self.culprits(START + 1), [])

    def test_an_answer_after_a_crash_clears_a_part(self):
        for number in range(6):
            at = START + number
            self.crash(at, lost("f", "x", sent_at=at - 0.1))
            self.evidence.note_cleared("f", at + 0.5)
        self.assertEqual(self.culprits(START + 6), [{"x"}])

    def test_a_part_that_was_answered_before_needs_five_rounds(self):
        self.evidence.note_answer(("f",), START - 1)
        for number in range(5):
            at = START + number
            self.assertEqual(self.culprits(at), [])
            self.crash(at, lost("f", sent_at=at - 0.1))
        self.assertEqual(self.culprits(START + 5), [{"f"}])

    def test_bursts_of_crashes_do_not_blame_a_part_that_was_answered_before(self):
        # Five endpoints in a second, too fast for an answer in between.
        self.evidence.note_answer(("f",), START - 0.1)
        for number in range(5):
            at = START + 0.2 * number
            self.crash(at, lost("f", sent_at=at - 0.05))
        self.assertEqual(self.culprits(START + 1), [])

    def test_a_node_that_has_just_started_takes_all_parts_for_known(self):
        self.evidence = CrashEvidence()
        for number in range(3):
            at = START + number
            self.crash(at, lost("f", sent_at=at - 0.1))
        self.assertEqual(self.culprits(START + 3), [])

    def test_requests_that_ran_beside_it_are_not_blamed(self):
        self.crash(START, lost("x", sent_at=START - 0.1), lost("s", sent_at=START - 1))
        self.crash(START + 1, lost("x", sent_at=START + 0.9), lost("t", sent_at=START))
        self.crash(START + 2, lost("x", sent_at=START + 1.9), lost("s", sent_at=START))
        self.assertEqual(self.culprits(START + 2), [{"x"}])

    def test_parts_that_always_come_together_are_blamed_together(self):
        for number in range(3):
            at = START + number
            self.crash(at, lost("g", "x", sent_at=at - 0.1))
        self.assertEqual(self.culprits(START + 2), [{"g", "x"}])

    def test_equally_likely_parts_of_other_requests_wait_for_the_fifth_crash(self):
        for number in range(5):
            at = START + number
            self.assertEqual(self.culprits(at), [])
            sent_at = at - 0.1
            self.crash(at, lost("x", sent_at=sent_at), lost("y", sent_at=sent_at))
        self.assertTrue(self.culprits(START + 5))

    def test_crashes_without_the_part_raise_the_number_of_rounds(self):
        # Guards against blaming seldom used parts while endpoints fail anyway.
        for number in range(4):
            at = START + number
            self.crash(at, lost("s", sent_at=at - 0.1))
            self.crash(at + 0.5, lost(f"t{number}", sent_at=at))
        self.assertEqual(self.culprits(START + 4), [])

    def test_an_endpoint_that_turns_out_to_be_leaving_has_not_crashed(self):
        for number in range(3):
            at = START + number
            self.crash(at, lost("x", sent_at=at - 0.1))
        self.evidence.forget_endpoint("i-2")
        self.assertEqual(self.culprits(START + 2), [])

    def test_reports_of_one_crash_are_merged(self):
        for node in ("n1", "n2", "n3"):
            request = lost("x", sent_at=START - 0.1)
            self.evidence.note_crash("i-1", START, [request], node)
        self.assertEqual(self.culprits(START), [])

    def test_invented_parts_do_not_push_out_those_of_another_organisation(self):
        for number in range(MAX_ROUNDS):
            at = START + number
            for copy in range(12):
                invented = tuple(f"p-{number}-{copy}-{n}" for n in range(1500))
                self.crash(at, lost(*invented, organisation="other", sent_at=at - 0.1))
            self.crash(at, lost("x", sent_at=at - 0.1))
        held = sum(len(r.parts) for c in self.evidence._crashes for r in c.requests)
        self.assertLessEqual(held, MAX_PARTS)
        self.assertLessEqual(len(self.evidence._crashed_at), MAX_PARTS)
        self.assertEqual(self.culprits(START + 5)[-1:], [{"x"}])

    def test_a_culprit_among_invented_parts_is_found(self):
        # An organisation may hide it, knowingly or not.
        for number in range(5):
            at = START + number
            invented = tuple(f"p-{number}-{n}" for n in range(1500))
            self.crash(at, lost(*invented, "x", sent_at=at - 0.1))
        self.assertEqual(self.culprits(START + 5), [{"x"}])

    def test_many_lost_requests_do_not_hide_a_later_culprit(self):
        for number in range(100):
            at = START + number
            beside = [lost(f"a-{number}-{n}", f"b-{n}", "f") for n in range(200)]
            self.crash(at, *beside)
            self.evidence.note_cleared("f", at + 0.5)
            for n in range(200):
                self.evidence.note_cleared(f"b-{n}", at + 0.5)
        for number in range(3):
            at = START + 100 + number
            self.crash(at, lost("x", sent_at=at - 0.1))
        self.assertEqual(self.culprits(START + 103), [{"x"}])

    def test_long_ids_with_a_common_beginning_differ(self):
        prompt = tuple(PromptPart("a" * 60 + end, 1) for end in "xyz")
        first, second = shared_parts(prompt)
        self.assertNotEqual(first, second)


class BlockedPartTests(unittest.TestCase):
    """Guard against blocks that revive, that hold for the wrong callers or overflow."""

    def test_one_organisation_gets_only_its_own_requests_refused(self):
        blocks = BlockedParts()
        blocks.put(make_block(), START)
        parts = frozenset(("f", "x"))
        self.assertIsNotNone(blocks.find("org", parts))
        self.assertIsNone(blocks.find("other", parts))
        blocks.put(make_block(organisations=("other",)), START)
        self.assertIsNotNone(blocks.find("third", parts))

    def test_a_request_must_hold_all_parts_of_a_block(self):
        blocks = BlockedParts()
        blocks.put(make_block(parts=("g", "x")), START)
        self.assertIsNone(blocks.find("org", frozenset(("g", "f"))))
        self.assertIsNotNone(blocks.find("org", frozenset(("g", "f", "x"))))

    def test_old_news_does_not_revive_a_block_that_has_ended(self):
        blocks = BlockedParts()
        blocks.put(make_block(), START)
        blocks.put(make_block(parts=()), START)
        blocks.put(make_block(), START)
        self.assertIsNone(blocks.find("org", frozenset("x")))
        self.assertIsNone(blocks.put(make_block("c"), START + BLOCK_RETENTION_SECONDS))

    @given(
        st.lists(
            st.builds(
                make_block,
                block_id=st.sampled_from("ab"),
                parts=st.sets(st.sampled_from("xyz")),
                organisations=st.sets(st.sampled_from("pq"), min_size=1),
            ),
            max_size=6,
        ),
        st.randoms(),
    )
    def test_the_order_of_messages_does_not_matter(self, received, rng):
        shuffled = list(received)
        rng.shuffle(shuffled)
        first, second = BlockedParts(), BlockedParts()
        for source, target in ((received, first), (shuffled, second)):
            for block in source:
                fields = PeerParts(blocks=[block]).to_fields(START)[2][0]
                target.put(make_block(fields[0], fields[1], fields[2]), START)
        self.assertEqual(first.digest(), second.digest())

    def test_the_number_of_blocks_is_bounded(self):
        blocks = BlockedParts()
        for number in range(MAX_BLOCKS + 10):
            blocks.put(make_block(f"b{number}", parts=(f"x{number}",)), START)
        self.assertEqual(len(blocks.all()), MAX_BLOCKS)


class PartGuardTests(unittest.TestCase):
    """Guard against blocks that do not end, and trials that are made twice."""

    def setUp(self):
        self.timers = ManualTimerService()
        self.guard = PartGuard("n1", self.timers)
        self.sent: list[PeerParts] = []
        self.guard.broadcast = self.sent.append
        for number in range(LEARNING_ANSWERS):
            self.guard.note_answer((f"old-{number}",))

    def crash_three_endpoints(self, *parts: str) -> None:
        for number in range(3):
            self.timers.advance(1.0)
            now = self.timers.now()
            request = LostRequest("org", parts, now - 0.1)
            self.guard.note_crash(f"i-{number}", now, [request])

    def test_a_block_is_made_published_and_to_be_saved(self):
        self.crash_three_endpoints("x")
        block = self.guard.find_block("org", ("f", "x"))
        self.assertEqual(block.parts, {"x"})
        self.assertEqual(self.sent[-1].blocks, [block])
        self.assertEqual(self.guard.unsaved, {block.id})
        self.assertEqual(block.endpoints, ("i-0", "i-1", "i-2"))

    def test_a_stream_in_progress_that_ends_well_ends_a_wrong_block(self):
        self.crash_three_endpoints("x")
        self.guard.note_answer(("x",))
        self.assertIsNone(self.guard.find_block("org", ("x",)))
        self.assertTrue(self.sent[-1].blocks[0].ended)

    def test_an_answer_narrows_a_block_of_parts_that_came_together(self):
        self.crash_three_endpoints("g", "x")
        self.guard.note_answer(("f", "g"))
        self.assertIsNone(self.guard.find_block("org", ("g",)))
        self.assertIsNotNone(self.guard.find_block("org", ("x",)))

    def test_a_part_can_be_blocked_again_after_a_block_has_ended(self):
        self.crash_three_endpoints("x")
        self.guard.note_answer(("x",))
        for number in range(5):
            self.timers.advance(1.0)
            now = self.timers.now()
            request = LostRequest("org", ("x",), now - 0.1)
            self.guard.note_crash(f"k-{number}", now, [request])
        self.assertIsNotNone(self.guard.find_block("org", ("x",)))

    def test_a_crash_under_another_organisation_extends_the_block_to_all(self):
        self.crash_three_endpoints("x")
        self.assertIsNone(self.guard.find_block("other", ("x",)))
        now = self.timers.now()
        self.guard.note_crash("i-9", now, [LostRequest("other", ("x",), now - 0.1)])
        self.assertIsNotNone(self.guard.find_block("third", ("x",)))

    def test_a_trial_lets_one_request_through(self):
        self.crash_three_endpoints("x")
        block = self.guard.find_block("org", ("x",))
        self.assertFalse(self.guard.take_trial(block))
        self.guard.open_trial(block)
        self.assertTrue(self.guard.take_trial(block))
        self.assertFalse(self.guard.take_trial(block))

    def test_nothing_is_sent_for_answers_while_no_endpoint_crashes(self):
        for _ in range(100):
            self.guard.note_answer(("f", "g"))
        self.assertEqual(self.sent, [])


# Sound requests with the key, or the first part, of those that crash endpoints begin at
# the first attempt this often after the bound, compared with before the crashes.
MIN_GROUP_RATIO = 0.9


class BoundInVirtualTimeTests(unittest.TestCase):
    """Guard against a fourth request that crashes endpoints after the bound.

    The lab draws loads, prompts and lost datagrams; see ``bench.parts_lab``.
    """

    def check(self, scenario: Scenario, seconds: float = 30.0) -> None:
        for seed in (1, 2):
            simulation = Simulation(scenario, Guarded(), seed)
            simulation.run(seconds)
            self.assertLessEqual(simulation.late_requests(), MAX_REQUESTS)
            self.assertGreaterEqual(simulation.most_crashes(), 1)
            self.assertEqual(simulation.wrong_blocks(), 0)
            served = simulation.sound_served()
            self.assertGreaterEqual(served, 0.8)
            ratio = simulation.lowest_ratio()
            if ratio is not None:
                self.assertGreaterEqual(ratio, MIN_GROUP_RATIO)

    def test_three_nodes(self):
        self.check(Scenario(nodes=3))

    def test_two_parts_at_once_and_retries(self):
        self.check(Scenario(crashing_parts=2, attempts=2))

    def test_a_part_at_any_place_and_of_all_organisations(self):
        self.check(Scenario(position=None, organisations=5))

    def test_lost_datagrams(self):
        self.check(Scenario(loss=0.2))

    def test_nodes_that_restart_in_turn(self):
        self.check(Scenario(restart_seconds=2.0))

    def test_63_nodes(self):
        self.check(
            Scenario(nodes=63, endpoints=70, requests_per_second=200.0), seconds=20.0
        )

    def test_390_nodes(self):
        self.check(
            Scenario(nodes=390, endpoints=100, requests_per_second=200.0), seconds=16.0
        )
