import asyncio
import random

from wigeonscale.direct import RetryShare
from wigeonscale.direct.retry_share import REFRESH_INTERVAL_S, UNCONFIRMED_USE_S
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.limits import ALL_SHARE_PARTS
from wigeonscale.testing import AsyncTestCase, ManualClock

WINDOW_S = 10.0


class RetryShareTest(AsyncTestCase):
    """Guards against a share that is used when control may have given it to others."""

    async def prepare(self):
        self.clock = ManualClock()
        self.holders = 4
        self.in_contact = True
        self.confirmed_at = None
        self.asked = []
        self.max_parts = ALL_SHARE_PARTS
        self.kind = None
        self.delay_s = 0.0
        self.share = RetryShare(
            clock=self.clock,
            hold=self.hold,
            holders=lambda: self.holders,
            confirmed_at=lambda: self.confirmed_at,
            window_s=WINDOW_S,
            rng=random.Random(1),
        )
        self.task = asyncio.create_task(self.share.run())
        self.addCleanup(self.cancel)

    async def cancel(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    async def hold(self, sequence, parts, release_s):
        self.asked.append((sequence, parts, release_s))
        await self.clock.sleep(self.delay_s)
        if self.kind is not None:
            raise WigeonscaleError(self.kind, "refused")
        return min(parts, self.max_parts)

    async def pass_time(self, seconds):
        for _ in range(round(seconds / 0.25)):
            if self.in_contact:
                self.confirmed_at = self.clock.now()
            await self.clock.advance(0.25)

    async def pass_in_one_step(self, seconds):
        """Pass time in which the process does not run."""
        await self.cancel()
        await self.clock.advance(seconds)

    async def hold_share(self):
        await self.pass_time(WINDOW_S + 2)
        self.assertEqual(0.25, self.share.fraction())

    def parts(self):
        return [parts for _, parts, _ in self.asked]

    async def test_nothing_is_used_in_the_first_window(self):
        await self.pass_time(WINDOW_S - 0.5)
        self.assertEqual((0, []), (self.share.fraction(), self.asked))
        await self.pass_time(2)
        self.assertEqual((0.25, [250_000]), (self.share.fraction(), self.parts()))

    async def test_share_is_used_for_a_time_without_contact(self):
        await self.hold_share()
        self.in_contact = False
        await self.pass_time(UNCONFIRMED_USE_S - 1)
        self.assertEqual(0.25, self.share.fraction())
        await self.pass_time(1.5)
        self.assertEqual(0, self.share.fraction())

    async def test_share_is_held_anew_after_a_long_gap(self):
        await self.hold_share()
        self.in_contact = False
        await self.pass_time(UNCONFIRMED_USE_S + 1)
        self.max_parts = 100_000
        self.in_contact = True
        await self.pass_time(1)
        self.assertEqual(0.1, self.share.fraction())
        self.assertEqual([1, 2], [sequence for sequence, _, _ in self.asked])

    async def test_gap_in_which_the_process_did_not_run(self):
        await self.hold_share()
        await self.pass_in_one_step(UNCONFIRMED_USE_S + 1)
        self.confirmed_at = self.clock.now()
        self.assertEqual(0, self.share.fraction())

    async def test_answer_from_before_a_gap(self):
        await self.pass_time(WINDOW_S - 1)
        self.delay_s = UNCONFIRMED_USE_S + 5
        await self.pass_time(2)
        self.assertEqual([250_000], self.parts())
        self.in_contact = False
        await self.pass_time(UNCONFIRMED_USE_S + 2)
        self.in_contact = True
        await self.pass_time(3)
        self.assertEqual(0, self.share.fraction())

    async def test_lowered_share_is_recorded_after_a_window(self):
        await self.hold_share()
        self.holders = 5
        await self.pass_time(WINDOW_S - 0.5)
        self.assertEqual((0.2, [250_000]), (self.share.fraction(), self.parts()))
        await self.pass_time(1.5)
        self.assertEqual([250_000, 200_000], self.parts())

    async def test_increase_soon_after_a_decrease(self):
        """The record covers retries that the former share allowed."""
        await self.hold_share()
        self.holders = 10
        await self.pass_time(2)
        self.holders = 5
        await self.pass_time(2)
        self.assertEqual(
            (0.2, [250_000, 250_000]), (self.share.fraction(), self.parts())
        )
        await self.pass_time(WINDOW_S)
        self.assertEqual([250_000, 250_000, 200_000], self.parts())

    async def test_refused_increase_keeps_the_share(self):
        await self.hold_share()
        self.holders, self.max_parts = 2, 0
        await self.pass_time(3)
        self.assertEqual(0.25, self.share.fraction())
        self.max_parts = ALL_SHARE_PARTS
        await self.pass_time(3)
        self.assertEqual(0.5, self.share.fraction())

    async def test_failed_command_is_repeated(self):
        self.kind = ErrorKind.NO_QUORUM
        await self.pass_time(WINDOW_S + 2)
        self.assertEqual((0, [250_000]), (self.share.fraction(), self.parts()))
        self.kind = None
        await self.pass_time(3)
        self.assertEqual(0.25, self.share.fraction())

    async def test_hundreds_of_entries_keep_their_shares_when_one_is_added(self):
        self.holders = 900
        await self.pass_time(WINDOW_S + 8)
        before = self.share.fraction()
        self.holders = 901
        await self.pass_time(2 * WINDOW_S)
        self.assertEqual(
            (before, 1), (self.share.fraction(), len(self.asked)), self.asked
        )

    async def test_replicas_that_have_lost_the_record(self):
        """Replicas of an older version do not keep it."""
        await self.hold_share()
        self.max_parts = 100_000
        await self.pass_time(REFRESH_INTERVAL_S)
        self.assertEqual(0.1, self.share.fraction())

    async def test_stopped_entry_gives_up_its_share(self):
        await self.hold_share()
        await self.share.end()
        self.assertEqual(0, self.share.fraction())
        await self.pass_time(5)
        self.assertEqual([250_000, 250_000], self.parts())
        self.assertTrue(self.asked[-1][2] < self.asked[0][2], self.asked)

    async def test_control_of_an_older_version(self):
        self.assertEqual(0, self.share.fraction())
        self.holders = None
        await self.pass_time(1)
        self.assertIsNone(self.share.fraction())
        self.holders, self.kind = 4, ErrorKind.BAD_REQUEST
        await self.pass_time(WINDOW_S + 2)
        self.assertIsNone(self.share.fraction())
