import random
from collections import deque

from wigeonscale.direct import SharedRetryBudget
from wigeonscale.testing import AsyncTestCase, ManualClock

ENTRIES = 28
WINDOW_S = 10.0
STEP_S = 0.05
# Steps between two reports of an entry, and the range of the steps until the totals of
# all entries contain a report.
REPORT_STEPS = 10
DELAY_STEPS = (6, 14)
RATIO = 0.1


class RetryBoundTest(AsyncTestCase):
    """Guards against more retries in a window than the budget of all entries allows."""

    async def highest_share(self, *, slack, seed):
        """Return the largest part of the budget used while all entries want retries."""
        clock, rng = ManualClock(), random.Random(seed)
        budgets = [
            SharedRetryBudget(
                clock=clock,
                ratio=RATIO,
                slack=slack,
                window_s=WINDOW_S,
                entry_count=lambda: ENTRIES,
            )
            for _ in range(ENTRIES)
        ]
        reports = [deque([(0, (0, 0))], maxlen=8) for _ in budgets]
        requests, retries = deque(), deque()
        highest = 0.0
        for step in range(int(3 * WINDOW_S / STEP_S)):
            for number, budget in enumerate(budgets):
                if (step + number) % REPORT_STEPS == 0:
                    reports[number].append(
                        (step, budget.report_sends().get("s", (0, 0)))
                    )
                    known_at = step - rng.randint(*DELAY_STEPS)
                    known = [
                        [sends for at, sends in report if at <= known_at][-1:]
                        for report in reports
                    ]
                    sums = [sum(each) for each in zip(*sum(known, []), strict=True)]
                    budget.apply_totals({"s": tuple(sums or (0, 0))})
                if (step + number) % 4 == 0:
                    budget.record("s")
                    requests.append(clock.now())
            wants = step * STEP_S >= WINDOW_S
            for budget in rng.sample(budgets, ENTRIES):
                while wants and budget.try_spend("s"):
                    retries.append(clock.now())
            for times in (requests, retries):
                while times and times[0] < clock.now() - WINDOW_S:
                    times.popleft()
            highest = max(highest, len(retries) / (RATIO * len(requests) + slack))
            await clock.advance(STEP_S)
        return highest

    async def test_all_entries_want_retries_at_once(self):
        highest = await self.highest_share(slack=384, seed=1)
        self.assertTrue(highest <= 1.0, highest)
