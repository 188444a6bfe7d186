"""Entries that share a retry budget and exchange late reports, for tests."""

import random
from collections import deque

from wigeonscale.direct import SharedRetryBudget
from wigeonscale.limits import NEW_REPORT, add_ages, older_by
from wigeonscale.testing import ManualClock

WINDOW_S = 10.0
STEP_S = 0.05
RATIO = 0.1
REPORT_STEPS = 10
REQUEST_STEPS = 4
# Control drops the reports of an entry without heartbeats after this time.
MAX_REPORT_STEPS = 40
DEMAND_AT_S = WINDOW_S


class RetryModel:
    """Plays entries that make requests and, from ``DEMAND_AT_S``, want retries.

    Args:
        slack: Retries of all entries together, besides the ratio.
        seed: Seed of the delays and of the order of the entries.
        entries: Number of entries.
        delay_steps: Range of the steps until the totals contain a report.
        wants: Returns whether an entry wants retries at a time.
        cut: Entries without contact to control once retries are wanted.
        has_ages: Whether the totals say how old the reports are.

    Attributes:
        highest: Largest part of the budget used in any window.
        times: Times of all retries, in seconds after ``DEMAND_AT_S``.
    """

    def __init__(
        self,
        *,
        slack,
        seed,
        entries=28,
        delay_steps=(6, 14),
        wants=lambda entry, now: True,
        cut=frozenset(),
        has_ages=True,
    ):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.slack = slack
        self.delay_steps = delay_steps
        self.wants = wants
        self.cut = cut
        self.has_ages = has_ages
        self.budgets = [
            SharedRetryBudget(
                clock=self.clock,
                ratio=RATIO,
                slack=slack,
                window_s=WINDOW_S,
                entry_count=lambda: entries,
            )
            for _ in range(entries)
        ]
        self.reports = [deque(maxlen=12) for _ in self.budgets]
        self.highest = 0.0
        self.times = []

    async def play(self, *, seconds):
        requests, retries = deque(), deque()
        for step in range(int(seconds / STEP_S)):
            now = step * STEP_S
            for number, budget in enumerate(self.budgets):
                is_cut = number in self.cut and now >= DEMAND_AT_S
                if (step + number) % REPORT_STEPS == 0 and not is_cut:
                    self.reports[number].append((step, budget.report_sends()))
                    self.send_totals(budget, step)
                if (step + number) % REQUEST_STEPS == 0:
                    budget.record("s")
                    requests.append(now)
            if now >= DEMAND_AT_S:
                spent = self.spend(now)
                retries.extend([now] * spent)
            for times in (requests, retries):
                while times and times[0] < now - WINDOW_S:
                    times.popleft()
            budget = RATIO * len(requests) + self.slack
            self.highest = max(self.highest, len(retries) / budget)
            await self.clock.advance(STEP_S)
        return self

    def send_totals(self, budget, step):
        known_at = step - self.rng.randint(*self.delay_steps)
        requests = retries = 0
        ages = []
        for reports in self.reports:
            known = [each for each in reports if each[0] <= known_at][-1:]
            for at, sends in known:
                if step - at > MAX_REPORT_STEPS + self.delay_steps[1]:
                    continue
                own_requests, own_retries = sends.get("s", (0, 0))
                requests += own_requests
                retries += own_retries
                ages = add_ages(ages, older_by(NEW_REPORT, (step - at) * STEP_S))
        report_ages = ages if self.has_ages else ()
        budget.apply_totals({"s": (requests, retries)}, report_ages=report_ages)

    def spend(self, now):
        spent = 0
        numbers = range(len(self.budgets))
        for number in self.rng.sample(numbers, len(numbers)):
            while self.wants(number, now) and self.budgets[number].try_spend("s"):
                spent += 1
        self.times.extend([now - DEMAND_AT_S] * spent)
        return spent

    def retries_by(self, seconds):
        """Return the retries up to a time after the loss, in seconds."""
        return sum(at <= seconds + STEP_S / 2 for at in self.times)
