"""Model of entries that share a retry budget by claims, with late totals."""

import random
from collections import deque

from wigeonscale.adapters.metrics import METRICS
from wigeonscale.direct import SharedRetryBudget
from wigeonscale.testing import AsyncTestCase, ManualClock

ENTRIES = 28
WINDOW_S = 10.0
STEP_S = 0.05
# Steps between two reports of an entry, and the longest time from a report to its use.
REPORT_STEPS = 10
MAX_DELAY_STEPS = 14
# Control drops the report of an entry after 2 s.
MAX_REPORT_STEPS = 40
# The entries have been up for a minute, and have counts of a whole window.
UP_S = 60.0
WARM_UP_STEPS = 300


class Deployment:
    """Entries with separate phases and delays, and control that sums their reports."""

    def __init__(
        self,
        *,
        has_classes,
        has_wanting=True,
        old_entries=0,
        ratio=0.1,
        slack=150,
        entries=ENTRIES,
        seed=1,
    ):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.ratio, self.slack = ratio, slack
        self.entry_count = entries
        self.has_classes, self.has_wanting = has_classes, has_wanting
        self.budgets = [
            self.new_budget(is_old=each < old_entries) for each in range(entries)
        ]
        self.phases = [self.rng.randrange(REPORT_STEPS) for _ in range(entries)]
        # Last reports of each entry, with their steps.
        self.history = [deque(maxlen=8) for _ in range(entries)]
        self.partitioned = {}
        self.step = 0
        self.requests = deque()
        self.retries = deque()
        self.made = 0
        self.has_requests = True
        self.worst = 0.0

    def new_budget(self, *, is_old=False):
        count = [self.entry_count]
        budget = SharedRetryBudget(
            clock=self.clock,
            ratio=self.ratio,
            slack=self.slack,
            window_s=WINDOW_S,
            entry_count=lambda: count[0],
            has_classes=lambda service: self.has_classes and not is_old,
        )
        budget.count = count
        return budget

    @property
    def budget(self):
        return self.ratio * len(self.requests) + self.slack

    def exchange(self):
        for each in range(len(self.budgets)):
            if (self.step + self.phases[each]) % REPORT_STEPS or each in (
                self.partitioned
            ):
                continue
            budget = self.budgets[each]
            sends = budget.report_sends().get("s", (0, 0))
            wanting = budget.is_wanting("s") and self.has_wanting
            self.history[each].append((self.step, (*sends, int(wanting))))
            self.deliver(each)

    def deliver(self, each):
        # The totals lack what was reported in the last 0.3 to 0.7 s.
        late = self.rng.randint(6, MAX_DELAY_STEPS)
        seen = []
        for history in self.history:
            known = [item for at, item in history if at <= self.step - late]
            times = [at for at, _ in history if at <= self.step - late]
            if known and times[-1] >= self.step - late - MAX_REPORT_STEPS:
                seen.append(known[-1])
        budget = self.budgets[each]
        budget.count[0] = self.entry_count
        budget.apply_totals(
            {"s": (sum(x[0] for x in seen), sum(x[1] for x in seen))},
            wanting={"s": sum(x[2] for x in seen)},
            reporting_entries=len(seen),
        )

    async def warm_up(self):
        await self.run(MAX_DELAY_STEPS)
        await self.clock.advance(UP_S)
        await self.run(WARM_UP_STEPS)

    async def run(self, steps, wants=lambda each: False):
        """Advance; return the retries that were made."""
        before = self.made
        for _ in range(steps):
            self.exchange()
            now = self.clock.now()
            for each, budget in enumerate(self.budgets):
                if self.has_requests and (self.step + each) % 4 == 0:
                    budget.record("s")
                    self.requests.append(now)
            order = list(range(len(self.budgets)))
            self.rng.shuffle(order)
            for each in order:
                while wants(each) and self.budgets[each].try_spend("s"):
                    self.retries.append(now)
                    self.made += 1
            for times in (self.requests, self.retries):
                while times and times[0] < now - WINDOW_S:
                    times.popleft()
            self.worst = max(self.worst, len(self.retries) / self.budget)
            self.step += 1
            await self.clock.advance(STEP_S)
        return self.made - before


def third(number):
    return lambda each: each % 3 == number


class RetryClaimsTest(AsyncTestCase):
    async def deployment(self, **fields):
        found = Deployment(**({"has_classes": True} | fields))
        await found.warm_up()
        return found

    async def test_one_third_gets_more_and_stays_within_the_budget(self):
        # Guards against a loss in one domain whose streams wait although the budget of
        # the entries in the other domains is unused.
        for seed in range(3):
            made = {}
            for has_classes in (False, True):
                each = await self.deployment(has_classes=has_classes, seed=seed)
                made[has_classes] = [await each.run(n, third(0)) for n in (1, 59, 140)]
                if has_classes:
                    self.assertTrue(each.worst <= 1.0, each.worst)
            self.assertTrue(made[True][0] >= 1.5 * made[False][0], made)
            self.assertTrue(sum(made[True]) >= sum(made[False]), made)

    async def test_all_want_everything(self):
        # Guards against parts that add up to more than the budget.
        for seed in range(3):
            each = await self.deployment(seed=seed)
            await each.run(500, lambda each: True)
            self.assertTrue(0.7 <= each.worst <= 1.0, each.worst)

    async def test_demand_moves_every_four_seconds(self):
        # Guards against an excess while the totals still show the previous third.
        for seed in range(3):
            each = await self.deployment(seed=seed)
            for number in range(7):
                made = await each.run(80, third(number % 3))
                self.assertTrue(made > 0, number)
            self.assertTrue(each.worst <= 1.0, each.worst)

    async def test_two_thirds_are_partitioned(self):
        # Guards against entries that spend the part of those they cannot see, also
        # when control no longer counts them.
        for seed in range(3):
            each = await self.deployment(seed=seed)
            await each.run(30, third(0))
            each.partitioned = {n: True for n in range(ENTRIES) if n % 3}
            await each.run(100, lambda n: True)
            each.entry_count = ENTRIES - len(each.partitioned)
            await each.run(500, lambda n: True)
            each.partitioned = {}
            await each.run(20, lambda n: True)
            each.entry_count = ENTRIES
            await each.run(500, lambda n: True)
            self.assertTrue(each.worst <= 1.0, each.worst)

    async def test_restarted_entries(self):
        # Guards against entries that forget their retries with a restart.
        for seed in range(3):
            each = await self.deployment(seed=seed)
            for number in range(4):
                await each.run(20, third(0))
                each.partitioned = {number: True}
                await each.run(20, third(1))
                each.budgets[number] = each.new_budget()
                each.partitioned = {}
            await each.run(300, lambda n: True)
            self.assertTrue(each.worst <= 1.0, each.worst)

    async def test_totals_without_wanting(self):
        # Guards against an excess, and against claims that are never accepted, while
        # control runs an older version.
        each = await self.deployment(has_wanting=False)
        await each.run(300, third(0))
        made = await each.run(300, lambda each: True)
        self.assertTrue(made > 0)
        self.assertTrue(each.worst <= 1.0, each.worst)

    async def test_entries_of_an_older_version(self):
        # Guards against claims on the retries that entries without claims may make.
        for old_entries in (7, 14, 21):
            each = await self.deployment(old_entries=old_entries)
            await each.run(100, third(0))
            await each.run(300, lambda each: True)
            self.assertTrue(each.worst <= 1.0, (old_entries, each.worst))

    async def test_stale_totals_leave_the_own_share(self):
        # Guards against entries that use claims which control has dropped.
        each = await self.deployment(slack=280, ratio=0.0)
        each.partitioned = dict.fromkeys(range(ENTRIES), True)
        await each.run(21)
        self.assertEqual(2 * ENTRIES, await each.run(100, lambda n: True))

    async def test_new_entry_has_no_retries_before_its_first_window(self):
        # Guards against a new entry that takes the slack of all, since the number of
        # entries is 1 until control reports it.
        each = Deployment(has_classes=True)
        self.assertEqual(0, await each.run(200, lambda n: True))

    async def test_new_entry_has_no_own_share_at_first(self):
        # Guards against a new entry that counts only those with contact to control,
        # while the others use their part of the slack.
        each = await self.deployment(entries=3, ratio=0.0)
        each.partitioned = {1: True, 2: True}
        await each.run(100)
        each.entry_count = 1
        each.budgets[0] = each.new_budget()
        await each.run(600)
        await each.run(300, lambda n: True)
        self.assertTrue(each.worst <= 1.0, each.worst)

    async def test_without_classes_nothing_changes(self):
        # Guards against other decisions for services without traffic classes: the
        # figures are those of the equal parts.
        each = await self.deployment(has_classes=False)
        made = [await each.run(steps, third(0)) for steps in (1, 200)]
        self.assertEqual([60, 106], made)
        self.assertFalse(any(budget.is_wanting("s") for budget in each.budgets))
        self.assertFalse(any(budget._claims for budget in each.budgets))

    async def test_no_retries_after_requests_stop(self):
        # Guards against claims from a time of many requests that are used again when
        # the first retries leave the window.
        each = await self.deployment(ratio=0.2, slack=10)
        await each.run(20, lambda n: True)
        each.has_requests = False
        await each.run(170, lambda n: True)
        before = len(each.retries)
        made = await each.run(50, lambda n: True)
        self.assertTrue(before > each.slack)
        self.assertTrue(made <= each.slack, made)

    async def test_outcomes_are_counted(self):
        # Guards against denied retries that no metric shows.
        counter = METRICS.budget_retries
        before = {x: counter.value(outcome=x) for x in ("allowed", "denied")}
        each = await self.deployment()
        made = await each.run(1, third(0))
        self.assertEqual(before["allowed"] + made, counter.value(outcome="allowed"))
        self.assertTrue(counter.value(outcome="denied") > before["denied"])

    async def test_reserve_for_begun_streams(self):
        # Guards against requests that can be rejected taking the retries of streams.
        each = await self.deployment()
        budget = each.budgets[0]
        while budget.try_spend("s", is_begun=False):
            pass
        self.assertTrue(budget.try_spend("s", is_begun=True))
