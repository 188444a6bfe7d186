import random

from wigeonscale.limits import accepted_claim, own_share, pool_share, target_claim
from wigeonscale.limits.retry_pool import CLAIM_FRACTION, OWN_FRACTION
from wigeonscale.testing import AsyncTestCase


class RetryPoolTest(AsyncTestCase):
    def test_parts_add_up_to_what_is_left(self):
        # Guards against parts that give out more than equal parts would.
        for entries in (1, 2, 3, 28, 900):
            for wanting in range(0, entries + 1, max(1, entries // 9)):
                total = sum(
                    pool_share(100.0, entries, wanting, is_wanting=each < wanting)
                    for each in range(entries)
                )
                self.assertAlmostEqual(100.0, total)

    def test_targets_fit_into_the_budget(self):
        # Guards against claims that can never be accepted, because their rounded sum
        # exceeds the part of the budget for claims.
        for budget in (0.0, 0.4, 1.4, 5.5, 9.4, 112.0):
            for wanting in range(29):
                targets = [
                    target_claim(budget, 28, wanting, is_wanting=each < wanting)
                    for each in range(28)
                ]
                self.assertTrue(sum(targets) <= CLAIM_FRACTION * budget * 28)

    def test_entries_with_and_without_contact_stay_within_the_budget(self):
        # Guards against fractions that add up to more than the budget.
        self.assertTrue(CLAIM_FRACTION + OWN_FRACTION <= 1.0)
        self.assertEqual([0, 0, 2], [own_share(x) for x in (0.0, 3.9, 8.0)])

    def test_accepted_claims_stay_within_the_budget(self):
        # Guards against claims raised at the same time that are all accepted.
        rng = random.Random(1)
        for _ in range(300):
            claims = [rng.randint(0, 20) for _ in range(28)]
            reported = [(each, each + rng.randint(0, 9)) for each in claims]
            total = sum(claim for _, claim in reported)
            # Claims that were accepted before are within the budget.
            budget = rng.uniform(1.0, 2.0) * sum(claims) / CLAIM_FRACTION + 2.0
            accepted = [
                accepted_claim([new], total=total, budget=budget, accepted=old)
                for old, new in reported
            ]
            self.assertTrue(sum(accepted) <= CLAIM_FRACTION * budget)

    def test_recent_report_is_not_accepted(self):
        # Guards against a claim that other entries cannot know yet.
        found = accepted_claim([], total=0, budget=100.0, accepted=3)
        self.assertEqual(3, found)
        found = accepted_claim([4, 9], total=0, budget=100.0, accepted=3)
        self.assertEqual(4, found)
