from wigeonscale.direct.tests.retry_model import DEMAND_AT_S, RetryModel
from wigeonscale.testing import AsyncTestCase

PLAY_S = 23
# Steps of 50 ms until the totals contain a report.
PROMPT_STEPS = (0, 2)
USUAL_STEPS = (6, 14)
LATE_STEPS = (14, 30)
VERY_LATE_STEPS = (30, 48)


async def highest_share(**options):
    """Return the largest part of the budget that is used in any window."""
    model = await RetryModel(**options).play(seconds=PLAY_S)
    return model.highest


class LateTotalsTest(AsyncTestCase):
    """Guards against more retries than the budget allows while totals are late."""

    async def assert_within_budget(self, **options):
        highest = await highest_share(**options)
        self.assertTrue(highest <= 1.0, (options, highest))

    async def test_all_entries_with_late_totals(self):
        for delay_steps in (PROMPT_STEPS, USUAL_STEPS, LATE_STEPS, VERY_LATE_STEPS):
            for slack in (24, 384, 3000):
                await self.assert_within_budget(
                    slack=slack, seed=1, delay_steps=delay_steps
                )

    async def test_few_and_many_entries(self):
        for entries in (2, 5, 150):
            for delay_steps in (USUAL_STEPS, LATE_STEPS):
                await self.assert_within_budget(
                    slack=3000, seed=2, entries=entries, delay_steps=delay_steps
                )

    async def test_totals_without_ages(self):
        """Control of an older version does not say how old the reports are."""
        for delay_steps in (PROMPT_STEPS, USUAL_STEPS, LATE_STEPS):
            for slack in (24, 384, 3000):
                await self.assert_within_budget(
                    slack=slack, seed=1, delay_steps=delay_steps, has_ages=False
                )

    async def test_entries_without_contact_to_control(self):
        for cut in (range(9), range(19)):
            await self.assert_within_budget(
                slack=384, seed=1, cut=frozenset(cut), delay_steps=USUAL_STEPS
            )

    async def test_demand_that_moves_between_entries(self):
        def wants(entry, now):
            return int((now - DEMAND_AT_S) // 4) % 3 == entry % 3

        for delay_steps in (USUAL_STEPS, LATE_STEPS):
            await self.assert_within_budget(
                slack=384, seed=1, wants=wants, delay_steps=delay_steps
            )


class SecondHalfTest(AsyncTestCase):
    """Guards against a second loss before other entries see the first one."""

    async def test_second_half_wants_retries_a_second_later(self):
        def wants(entry, now):
            return entry < 14 or now >= DEMAND_AT_S + 1.0

        for delay_steps in (USUAL_STEPS, LATE_STEPS):
            highest = await highest_share(
                slack=384, seed=1, wants=wants, delay_steps=delay_steps
            )
            self.assertTrue(highest <= 1.0, (delay_steps, highest))


class OneThirdTest(AsyncTestCase):
    """Guards against entries of one failure domain that wait for unused budget."""

    # Seconds after the loss, and mean retries of the entries that it affects.
    NEEDED = {0: 60, 0.5: 90, 1: 115, 2: 145, 3: 164, 9.9: 167}
    SEEDS = range(10)

    async def test_one_third_of_the_entries_wants_retries(self):
        models = [
            await RetryModel(
                slack=150, seed=seed, wants=lambda entry, now: entry % 3 == 0
            ).play(seconds=20)
            for seed in self.SEEDS
        ]
        means = {
            seconds: sum(each.retries_by(seconds) for each in models) / len(models)
            for seconds in self.NEEDED
        }
        for seconds, needed in self.NEEDED.items():
            self.assertTrue(means[seconds] >= needed, means)
