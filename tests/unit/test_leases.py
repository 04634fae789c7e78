"""One process holds a lease; the next holder gets a higher fencing number.

Guards against two holders at a time, a holder that does not notice that its lease
has expired, and a lease that cannot be acquired after its holder was lost.
"""

import time
import unittest
from unittest.mock import patch

from fakes.memory import MemoryTable
from rattanwick.internal.base.errors import MaybeApplied, Refused, StepError
from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.state.boot_clock import boot_seconds
from rattanwick.internal.state.leases import (
    CLOCK_RATE_MARGIN_SECONDS,
    LEASE_SECONDS,
    LeaseKeeper,
    Leases,
)

NAME = "orders"
TAKEOVER_SECONDS = LEASE_SECONDS + CLOCK_RATE_MARGIN_SECONDS


class LeaseTests(unittest.TestCase):
    def setUp(self):
        self.table = MemoryTable()
        self.timers = ManualTimerService()
        self.first = self.make("n1/1")
        self.second = self.make("n2/1")

    def make(self, holder, offset=0.0, rate=1.0):
        return Leases(
            self.table, holder, clock=lambda: self.timers.now() * rate + offset
        )

    def test_only_one_process_acquires_a_lease(self):
        lease = self.first.acquire(NAME)
        self.assertEqual(lease.fencing_number, 1)
        self.assertIsNone(self.second.acquire(NAME))
        self.assertEqual(self.first.acquire(NAME), lease)

    def test_only_one_of_two_simultaneous_acquires_succeeds(self):
        original = self.table.get
        self.table.get = lambda *args: None  # neither finds a row
        leases = [self.first.acquire(NAME), self.second.acquire(NAME)]
        self.table.get = original
        self.assertEqual(sum(lease is not None for lease in leases), 1)

    def test_a_lost_holder_is_replaced_after_the_lease_duration_and_the_margin(self):
        lease = self.first.acquire(NAME)
        self.assertIsNone(self.second.acquire(NAME))
        self.timers.advance(TAKEOVER_SECONDS - 0.1)
        self.assertIsNone(self.second.acquire(NAME))
        self.timers.advance(0.1)
        self.assertEqual(self.second.acquire(NAME).fencing_number, 2)
        self.assertFalse(self.first.holds(lease))

    def test_a_late_observer_waits_for_a_full_lease_duration(self):
        # The row has no timestamp, so its age before the first read is not known.
        self.first.acquire(NAME)
        self.timers.advance(100)
        self.assertIsNone(self.second.acquire(NAME))

    def test_a_renewed_lease_is_not_taken_over(self):
        lease = self.first.acquire(NAME)
        for _ in range(10):
            self.timers.advance(LEASE_SECONDS / 2)
            lease = self.first.renew(lease)
            self.assertIsNone(self.second.acquire(NAME))

    def test_a_paused_holder_finds_its_lease_expired_at_its_next_use(self):
        lease = self.first.acquire(NAME)
        self.timers.advance(LEASE_SECONDS)
        self.assertRaises(Refused, self.first.require_valid, lease)
        self.assertRaises(Refused, self.first.renew, lease)
        self.assertEqual(self.first.acquire(NAME).fencing_number, 2)

    def test_the_clock_includes_the_time_of_a_suspended_machine(self):
        with patch("time.clock_gettime", side_effect={time.CLOCK_BOOTTIME: 7.0}.get):
            self.assertEqual(boot_seconds(), 7.0)

    def test_clocks_need_not_show_the_same_time(self):
        for offset in (-3600.0, 3600.0):
            other = self.make(f"n{offset}/1", offset)
            lease = self.first.acquire(NAME)
            self.assertIsNone(other.acquire(NAME))
            self.timers.advance(LEASE_SECONDS - 0.1)
            self.assertIsNone(other.acquire(NAME))
            self.assertTrue(self.first.holds(lease))
            self.first.release(lease)

    def test_a_holder_whose_clock_is_slow_within_the_margin_expires_first(self):
        slow = self.make("slow/1", rate=0.9)
        lease = slow.acquire(NAME)
        self.second.acquire(NAME)
        while self.second.acquire(NAME) is None:
            self.timers.advance(0.1)
        self.assertFalse(slow.holds(lease))

    def test_a_holder_whose_clock_is_slow_beyond_the_margin_cannot_renew(self):
        slow = self.make("slow/1", rate=0.5)
        lease = slow.acquire(NAME)
        self.second.acquire(NAME)
        self.timers.advance(TAKEOVER_SECONDS)
        taken = self.second.acquire(NAME)
        self.assertTrue(slow.holds(lease))
        self.assertRaises(Refused, slow.renew, lease)
        self.assertEqual(self.second.renew(taken).fencing_number, 2)

    def test_a_waiting_keeper_takes_over_from_a_lost_holder(self):
        self.first.acquire(NAME)
        keeper = LeaseKeeper(self.second, NAME, self.timers)
        keeper.tick()
        self.timers.advance(2 * TAKEOVER_SECONDS)
        self.assertEqual(keeper.current().fencing_number, 2)

    def test_a_released_lease_is_acquired_at_once_with_a_higher_number(self):
        lease = self.first.acquire(NAME)
        self.first.release(lease)
        self.assertEqual(self.second.acquire(NAME).fencing_number, 2)
        self.first.release(lease)
        self.assertIsNone(self.first.acquire(NAME))

    def test_after_a_lost_answer_to_acquire_the_lease_can_be_acquired_again(self):
        self.table.lose_answers = 1
        self.assertRaises(MaybeApplied, self.first.acquire, NAME)
        self.assertEqual(self.first.acquire(NAME).fencing_number, 2)

    def test_after_a_lost_answer_to_renew_the_earlier_expiry_applies(self):
        lease = self.first.acquire(NAME)
        self.timers.advance(5)
        self.table.lose_answers = 1
        self.assertRaises(MaybeApplied, self.first.renew, lease)
        self.assertEqual(lease.expires_boot, 1000 + LEASE_SECONDS)
        renewed = self.first.renew(lease)
        self.assertEqual(renewed.fencing_number, 1)
        self.assertEqual(renewed.expires_boot, 1005 + LEASE_SECONDS)

    def test_an_answer_that_arrives_after_the_expiry_gives_no_lease(self):
        original = self.table.put

        def put_slowly(*args):
            row = original(*args)
            self.timers.advance(LEASE_SECONDS + 1)
            return row

        self.table.put = put_slowly
        self.assertIsNone(self.first.acquire(NAME))

    def test_a_keeper_renews_its_lease_until_an_outage(self):
        keeper = LeaseKeeper(self.first, NAME, self.timers)
        keeper.tick()
        self.timers.advance(10 * LEASE_SECONDS)
        self.assertEqual(keeper.current().fencing_number, 1)
        self.table.down = True
        self.timers.advance(LEASE_SECONDS + 0.1)
        self.assertIsNone(keeper.current())
        self.table.down = False
        self.timers.advance(LEASE_SECONDS)
        self.assertEqual(keeper.current().fencing_number, 2)

    def test_a_stopped_keeper_releases_the_lease(self):
        keeper = LeaseKeeper(self.first, NAME, self.timers)
        keeper.tick()
        keeper.stop()
        self.assertIsNone(keeper.current())
        self.assertIsNotNone(self.second.acquire(NAME))
        self.timers.advance(100)
        self.assertIsNone(keeper.current())

    def test_stopping_in_an_outage_raises_nothing(self):
        keeper = LeaseKeeper(self.first, NAME, self.timers)
        keeper.tick()
        self.table.down = True
        try:
            keeper.stop()
        except StepError:
            self.fail("stop raised StepError")
