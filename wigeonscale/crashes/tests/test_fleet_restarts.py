"""Entries, engines or control restart while requests crash engines.

What the entries knew of the parts that run well must not be lost with their processes.
"""

import logging

from wigeonscale.crashes.tests.fleet_model import FleetModel
from wigeonscale.testing import AsyncTestCase

# By the users' rules: requests that reach engines 3 s after the fifth crash by one part
# or request, and the share of the usual requests that begin 6 s after it.
MAX_LATE_SENDS = 3
MIN_ACCEPTED_SHARE = 0.5
# Time in which that share must begin.
WINDOW_S = 10.0


class FleetCase(AsyncTestCase):
    def setUp(self):
        super().setUp()
        # Thousands of lines per second of the model.
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    async def check(self, *, seeds, seconds=40.0, **fields):
        for seed in seeds:
            model = FleetModel(seed=seed, **fields)
            await model.play(seconds)
            for key, times in model.crashes.items():
                late = model.late_sends(key)
                self.assertTrue(
                    late <= MAX_LATE_SENDS,
                    f"seed {seed}: {late} late sends, {len(times)} crashes",
                )
            crashes = sorted(at for times in model.crashes.values() for at in times)
            settled_at = max([crashes[:5][-1], *model.disturbed_at]) + 6.0
            shares = [
                round(model.accepted_share(first, first + WINDOW_S), 2)
                for first in range(int(settled_at), int(seconds - WINDOW_S) + 1)
            ]
            self.assertTrue(
                min(shares) >= MIN_ACCEPTED_SHARE, f"seed {seed}: {shares} accepted"
            )


class RestartTest(FleetCase):
    """All sound requests share a part, which has run well until then."""

    async def test_entries_of_a_site_with_few_engines(self):
        await self.check(
            seeds=(2, 4),
            entries=2,
            engines=3,
            deadly_requests=("repeated",),
            deadly_rate=6.0,
            sound_rate=20.0,
            deadly_from_s=4.0,
            entry_restarts=((4.0, 1.0),),
        )

    async def test_entries_of_a_site_with_one_engine(self):
        await self.check(
            seeds=(3, 4),
            entries=2,
            engines=1,
            deadly_requests=("repeated",),
            deadly_rate=6.0,
            sound_rate=20.0,
            deadly_from_s=4.0,
            entry_restarts=((4.0, 1.0),),
        )

    async def test_some_entries_and_control(self):
        await self.check(
            seeds=(1, 2),
            entries=5,
            engines=3,
            deadly_requests=("repeated",),
            deadly_rate=6.0,
            sound_rate=20.0,
            deadly_from_s=3.0,
            entry_restarts=((4.0, 1.0), (9.0, 0.6)),
            control_restarts=(3.5, 6.0, 9.0),
        )


class UnknownPartTest(FleetCase):
    """No entry has reported the part that all sound requests share."""

    async def test_start_of_everything(self):
        await self.check(
            seeds=(2, 3),
            entries=28,
            engines=3,
            deadly_requests=("repeated",),
            deadly_rate=6.0,
            sound_rate=20.0,
        )

    async def test_several_parts_and_requests_after_a_restart(self):
        await self.check(
            seeds=(1, 3),
            entries=28,
            engines=6,
            deadly=("one", "two", "three"),
            deadly_requests=("first", "second"),
            deadly_rate=8.0,
            deadly_from_s=4.0,
            entry_restarts=((4.0, 1.0),),
        )

    async def test_loss_of_power_of_everything(self):
        await self.check(
            seeds=(1, 2),
            entries=28,
            engines=3,
            deadly_requests=("repeated",),
            deadly_rate=6.0,
            sound_rate=20.0,
            deadly_from_s=4.0,
            power_losses=(5.0, 15.0),
        )

    async def test_hundreds_of_entries(self):
        await self.check(
            seeds=(1,),
            entries=300,
            engines=6,
            deadly_requests=("repeated",),
            deadly_rate=6.0,
            deadly_from_s=5.0,
            power_losses=(7.0,),
        )

    async def test_engines_that_end_for_other_reasons_after_a_restart(self):
        await self.check(
            seeds=(1, 2, 3),
            entries=28,
            engines=8,
            deadly_from_s=4.0,
            entry_restarts=((4.0, 1.0),),
            racks=(4.6, 5.3, 6.0, 7.0, 9.0),
        )


class TwoCausesTest(FleetCase):
    """A part and a request had their first crashes in common, on the only engine."""

    async def test_crashes_of_one_do_not_release_the_other(self):
        await self.check(
            seeds=(7, 8),
            entries=2,
            engines=1,
            deadly_requests=("repeated",),
            deadly_rate=6.0,
            sound_rate=20.0,
            deadly_from_s=4.0,
            entry_restarts=((4.0, 1.0),),
        )


class RepeatedRequestTest(FleetCase):
    """Several entries have the same request when its refusal expires."""

    async def test_one_entry_tries_it(self):
        await self.check(
            seeds=(28,),
            entries=5,
            engines=3,
            deadly_requests=("repeated",),
            deadly_rate=6.0,
            sound_rate=20.0,
            deadly_from_s=3.0,
            entry_restarts=((4.0, 1.0), (9.0, 0.6)),
            control_restarts=(3.5, 6.0, 9.0),
        )
