"""Streams of a reclaimed endpoint continue at another one without a change of text.

Guards against streams that are cut by a reclaim although there was time to move
them, against computing tokens again although the KV cache could be moved, and
against a move that counts as a failure or a crash.
"""

import gevent

from fakes.endpoint_text import chat_text_of as chat_text
from rattanwick.internal.peers.gossip import ENDPOINT_LEAVING_TOPIC
from tests.request_case import RequestCase, text_of

PROMPT = "move me " + "x" * 600 + " #tokens=120"


class RelocationTests(RequestCase):
    engine = {"first_token_seconds": 0.0, "token_seconds": 0.01}

    def announce(self, seconds: float) -> None:
        body = {"leaving": True, "not_before": self.timers.wall_time() + seconds}
        self.services.gossip.publish(ENDPOINT_LEAVING_TOPIC, "e1", 1, body)

    def move(self, seconds: float, prompt: str = PROMPT):
        task = gevent.spawn(self.chat, prompt, stream=True, max_tokens=120)
        self.wait_until(
            lambda: self.ledger("e1") and self.ledger("e1")[0].output_tokens > 5
        )
        self.announce(seconds)
        return task.get(timeout=10)

    def test_a_stream_moves_with_its_cache_and_loses_no_token(self):
        # The notice leaves time to export the cache, so at most a quarter of the tokens
        # may be computed again.
        answer = self.move(seconds=1.6)
        self.assertEqual(text_of(answer.body), chat_text(PROMPT))
        moved = self.ledger("e2")[0]
        self.assertGreater(moved.resumed_tokens, 0)
        again = moved.prompt_tokens + moved.resumed_tokens - moved.cached_tokens
        self.assertLess(again, 0.25 * (moved.prompt_tokens + moved.resumed_tokens))

    def test_a_stream_moves_without_its_cache_when_the_export_fails(self):
        # Guards against a stream that ends because the endpoint exports no cache.
        self.fakes["e1"].engine.export_blocks = lambda request_id: None
        answer = self.move(seconds=1.6)
        self.assertEqual(text_of(answer.body), chat_text(PROMPT))
        self.assertEqual(self.ledger("e2")[0].cached_tokens, 0)

    def test_a_move_does_not_count_as_a_failure(self):
        # Guards against a move that needs a retry or that reports a crashed endpoint.
        self.services.router.retries = 0
        answer = self.move(seconds=1.6)
        self.assertEqual(text_of(answer.body), chat_text(PROMPT))
        topics = {topic for topic, *_ in self.services.gossip.published}
        self.assertEqual(topics, {ENDPOINT_LEAVING_TOPIC})

    def test_a_stream_that_ends_before_the_reclaim_is_not_moved(self):
        # Guards against moving streams that have time to finish where they are.
        answer = self.move(seconds=30.0)
        self.assertEqual(text_of(answer.body), chat_text(PROMPT))
        self.assertEqual(self.ledger("e2"), [])
