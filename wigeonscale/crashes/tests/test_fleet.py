"""Requests with one deadly prompt part arrive at all entries of a fleet."""

import logging

from wigeonscale.crashes.tests.fleet_model import POPULAR, FleetModel
from wigeonscale.testing import AsyncTestCase

# By the users' rules: requests with the part that reach engines 3 s after its fifth
# crash, and the share of the usual requests that begin 6 s after it.
MAX_LATE_SENDS = 3
MIN_ACCEPTED_SHARE = 0.5
SEEDS = range(1, 4)


class FleetTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        # Thousands of lines per second of the model.
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    async def check(self, *, seconds=40.0, **fields):
        for seed in SEEDS:
            model = FleetModel(seed=seed, **fields)
            await model.play(seconds)
            for key, crashes in model.crashes.items():
                late = model.late_sends(key)
                self.assertTrue(
                    late <= MAX_LATE_SENDS,
                    f"seed {seed}: {late} late sends, {len(crashes)} crashes",
                )
                if crashes:
                    settled_at = crashes[:5][-1] + 6.0
                    share = model.accepted_share(settled_at, seconds)
                    self.assertTrue(
                        share >= MIN_ACCEPTED_SHARE,
                        f"seed {seed}: {share:.2f} accepted",
                    )

    async def test_few_entries(self):
        await self.check(entries=5)

    async def test_many_entries(self):
        await self.check(entries=68)

    async def test_hundreds_of_entries(self):
        await self.check(entries=300, seconds=25.0)

    async def test_late_detection_of_crashes(self):
        await self.check(entries=28, detection_s=(1.0, 2.0))

    async def test_several_parts_at_the_same_time(self):
        await self.check(entries=28, deadly=("one", "two", "three"))

    async def test_racks_that_end_for_other_reasons(self):
        await self.check(entries=28, racks=(0.5, 4.0, 9.0, 15.0, 22.0))

    async def test_requests_with_rare_parts(self):
        await self.check(entries=28, rare_parts=200)

    async def test_parts_that_arrive_more_often_than_sound_requests(self):
        await self.check(entries=28, deadly_rate=12.0, sound_rate=8.0)

    async def test_few_sound_requests(self):
        """They must not be refused for long with the part that all requests share."""
        await self.check(
            entries=5, engines=3, deadly_rate=5.0, sound_rate=1.0, seconds=60.0
        )

    async def test_control_of_an_older_version(self):
        await self.check(entries=28, is_control_old=True)

    async def test_repeated_request_at_engines_that_fall_silent(self):
        """Aborted starts are no crashes if the engines answer again."""
        for seed in SEEDS:
            model = FleetModel(
                seed=seed,
                entries=5,
                deadly_from_s=60.0,
                sound_rate=60.0,
                popular_share=0.5,
                silences=(4.0,),
            )
            await model.play(20.0)
            # They have answered again for 1.5 s at least.
            share = model.accepted_share(8.0, 10.0, fingerprint=POPULAR)
            self.assertTrue(share >= MIN_ACCEPTED_SHARE, f"seed {seed}: {share:.2f}")

    async def test_control_without_a_majority(self):
        await self.check(entries=5, outage=(2.0, 10.0))
