"""Tests of the memory for bodies that the requests of a node share."""

import unittest

from rattanwick.internal.gateway.body_memory import (
    UNCOUNTED_BYTES,
    BodyMemory,
    OutOfBodyMemory,
)

SIZE = 1 << 20


class BodyMemoryTests(unittest.TestCase):
    """Guard against bodies that together take more memory than a node has."""

    def setUp(self):
        self.memory = BodyMemory("test", SIZE, peer_share=0.5)

    def test_small_bodies_need_no_room(self):
        self.memory.hold("a").resize(SIZE // 2 + UNCOUNTED_BYTES)
        self.memory.hold("b").resize(SIZE // 2 + UNCOUNTED_BYTES)
        self.memory.hold("a").resize(UNCOUNTED_BYTES)
        self.assertEqual(self.memory.used, SIZE)

    def test_a_peer_cannot_take_the_room_of_the_others(self):
        first, second = self.memory.hold("a"), self.memory.hold("a")
        first.resize(SIZE // 4 + UNCOUNTED_BYTES)
        with self.assertRaises(OutOfBodyMemory):
            second.resize(SIZE // 4 + 1 + UNCOUNTED_BYTES)
        self.memory.hold("b").resize(SIZE // 2 + UNCOUNTED_BYTES)

    def test_released_room_can_be_taken_again(self):
        for _ in range(3):
            body = self.memory.hold("a")
            body.resize(SIZE // 2 + UNCOUNTED_BYTES)
            body.resize(10)
            body.resize(SIZE // 2 + UNCOUNTED_BYTES)
            body.release()
            body.release()
        self.assertEqual(self.memory.used, 0)

    def test_a_body_that_gets_no_room_keeps_what_it_has(self):
        body = self.memory.hold("a")
        body.resize(1000 + UNCOUNTED_BYTES)
        with self.assertRaises(OutOfBodyMemory):
            body.resize(SIZE + UNCOUNTED_BYTES)
        self.assertEqual(self.memory.used, 1000)
        body.release()
        self.assertEqual(self.memory.used, 0)
