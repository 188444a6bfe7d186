"""Rejected callers must return when capacity is released, the urgent ones first."""

import random
from collections import Counter
from dataclasses import dataclass

from wigeonscale.limits import ClassCount
from wigeonscale.limits.retry_after import (
    DEFAULT_RETRY_AFTER_S,
    JITTER,
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    retry_after_s,
)
from wigeonscale.testing import AsyncTestCase

PRIORITIES = (0, 1, 2)
SEEDS = range(60)


def count(priority, **fields):
    return ClassCount(service="model", priority=priority, domain="a", **fields)


def mean_s(priority, demand, **fields):
    rng = random.Random(1)
    return sum(retry_after_s(priority, demand, rng, **fields) for _ in range(500)) / 500


class RetryAfterTest(AsyncTestCase):
    def test_callers_of_the_same_and_more_urgent_classes_go_first(self):
        # Fails if a class does not wait for those before it, or waits for those after
        # it.
        demand = [
            count(0, waiting=2, returning=3, released=30),
            count(1, waiting=4, returning=5, released=10),
            count(2, waiting=40, returning=50, released=0),
        ]
        rng = random.Random(1)
        low, high = JITTER
        for priority, places in ((0, 6), (1, 15)):
            middle_s = places / 20.0
            drawn = [retry_after_s(priority, demand, rng) for _ in range(500)]
            self.assertTrue(low * middle_s <= min(drawn) < (low + 0.1) * middle_s)
            self.assertTrue((high - 0.1) * middle_s < max(drawn) <= high * middle_s)

    def test_bounds(self):
        # Fails if callers return before anything is released, or far too late, or all
        # at the same time at one of the bounds.
        rng = random.Random(1)
        fast = [count(0, released=2000)]
        slow = [count(0, waiting=500, released=1)]
        for demand in (fast, slow):
            drawn = [retry_after_s(0, demand, rng) for _ in range(500)]
            self.assertTrue(MIN_RETRY_AFTER_S <= min(drawn))
            self.assertTrue(max(drawn) <= MAX_RETRY_AFTER_S)
            self.assertTrue(max(drawn) > 1.5 * min(drawn))

    def test_interrupted_streams_wait_but_do_not_return(self):
        # Fails if an entry expects that as many interrupted streams as own callers are
        # rejected: they go first, but none of them is rejected.
        own = [count(0, returning=4)]
        quiet = [count(0, arrived=20, released=40)]
        busy = [count(-1, arrived=60, waiting=10), *quiet]
        expected_s = mean_s(0, quiet, own=own, entries=2.0) + 10 / 20.0
        self.assertAlmostEqual(
            expected_s, mean_s(0, busy, own=own, entries=2.0), delta=0.05
        )

    def test_default_range_without_totals_or_releases(self):
        # Fails if a missing total is taken for free capacity, or divides by zero.
        low, high = DEFAULT_RETRY_AFTER_S
        for demand in ([], [count(0, waiting=9, returning=9), count(1)]):
            expected = random.Random(7).uniform(low, high)
            got = retry_after_s(0, demand, random.Random(7), entries=28.0)
            self.assertEqual(expected, got)

    def test_class_that_the_totals_do_not_hold_yet(self):
        # Fails if the first callers of a class are treated as the only ones.
        demand = [count(0, released=50)]
        own = [count(2, returning=1)]
        alone_s = mean_s(2, demand)
        self.assertTrue(mean_s(2, demand, own=own, entries=10.0) > 2 * alone_s)

    def test_own_rejections_stand_for_those_that_the_totals_lack(self):
        # Fails if all callers rejected between two exchanges get the same time.
        demand = [count(0, arrived=50, released=50)]
        waits = [
            mean_s(0, demand, own=[count(0, returning=own)], entries=10.0)
            for own in range(4)
        ]
        for earlier_s, later_s in zip(waits, waits[1:], strict=False):
            self.assertTrue(later_s > earlier_s + 0.2, waits)

    def test_rejections_in_the_totals_do_not_count_twice(self):
        # Fails if an entry adds its own returning callers to totals that include them.
        own = [count(0, returning=2)]
        known = [count(0, returning=20, released=50)]
        unknown = [count(0, released=50)]
        self.assertEqual(
            mean_s(0, known, own=own, entries=10.0),
            mean_s(0, unknown, own=own, entries=10.0),
        )

    def test_rare_class_does_not_wait_for_a_frequent_one_without_arrivals(self):
        # Fails if rejections of a more urgent class are expected that has no callers.
        busy = [count(0, arrived=40), count(1, arrived=40, released=50)]
        idle = [count(0, arrived=0), count(1, arrived=40, released=50)]
        self.assertTrue(
            mean_s(1, idle, entries=10.0) < 0.6 * mean_s(1, busy, entries=10.0)
        )


@dataclass(frozen=True, slots=True)
class Herd:
    """Callers that all entries reject within half a second, and the releases."""

    callers: int = 120
    entries: int = 28
    released_per_s: int = 25
    within_s: float = 0.5
    # Entries receive the totals this often; they hold what was known one round before.
    round_s: float = 0.5

    def returns(self, seed, policy):
        """Return times and priorities of the returning callers, in order."""
        rng = random.Random(seed)
        rejections = sorted(
            (
                rng.uniform(0.0, self.within_s),
                PRIORITIES[number % len(PRIORITIES)],
                rng.randrange(self.entries),
            )
            for number in range(self.callers)
        )
        phase_s = rng.uniform(0.0, self.round_s)
        seen = []
        for now, priority, entry in rejections:
            known_at = (now - phase_s) // self.round_s * self.round_s + phase_s
            total, own = Counter(), Counter()
            for at, other_priority, other_entry, back_at in seen:
                total[other_priority] += at <= known_at < back_at
                own[other_priority] += other_entry == entry and back_at > now
            wait_s = policy(priority, self._demand(total), self._own(own), rng)
            seen.append((now, priority, entry, now + wait_s))
        return sorted((back_at, priority) for _, priority, _, back_at in seen)

    def _demand(self, returning):
        released = divmod(2 * self.released_per_s, len(PRIORITIES))
        return [
            count(
                priority,
                arrived=100,
                released=released[0] + (priority < released[1]),
                returning=returning[priority],
            )
            for priority in PRIORITIES
        ]

    def _own(self, returning):
        return [count(each, returning=returning[each]) for each in PRIORITIES]

    def admitted_shares(self, policy):
        """Return the share of callers that find a place on return, by priority."""
        found, asked = Counter(), Counter()
        for seed in SEEDS:
            taken = 0
            for at, priority in self.returns(seed, policy):
                asked[priority] += 1
                if taken + 1 <= self.released_per_s * at:
                    taken += 1
                    found[priority] += 1
        return [found[each] / asked[each] for each in PRIORITIES]

    def peaks(self, policy):
        """Return the largest share of returns to releases in a half second, by seed."""
        peaks = []
        for seed in SEEDS:
            times = [at for at, _ in self.returns(seed, policy)]
            most = max(
                sum(begin <= at < begin + 0.5 for at in times)
                for begin in times
                if begin >= 0.5
            )
            peaks.append(most / (0.5 * self.released_per_s))
        return peaks


def fixed_range(priority, demand, own, rng):
    return rng.uniform(*DEFAULT_RETRY_AFTER_S)


def from_release_rate(herd):
    def policy(priority, demand, own, rng):
        return retry_after_s(
            priority, demand, rng, own=own, entries=float(herd.entries)
        )

    return policy


class HerdTest(AsyncTestCase):
    """Callers that are rejected together must not return together."""

    def test_more_callers_find_a_place_than_with_the_fixed_range(self):
        # Fails if callers return before their place is released, or the less urgent
        # ones take the places of the more urgent. The 25 places/s cannot admit 120
        # callers within MAX_RETRY_AFTER_S; the most urgent third could be.
        herd = Herd()
        fixed = herd.admitted_shares(fixed_range)
        new = herd.admitted_shares(from_release_rate(herd))
        self.assertTrue(sum(new) > 1.25 * sum(fixed), (new, fixed))
        self.assertTrue(new[0] > 1.6 * fixed[0], (new, fixed))
        self.assertTrue(new[0] >= new[1] >= new[2], new)
        self.assertTrue(new[2] >= fixed[2] - 0.02, (new, fixed))

    def test_returns_follow_the_release_rate(self):
        # Fails if all return in one peak. 25 places/s in each of three domains: all
        # places of 120 callers are released within the bound of the Retry-After.
        herd = Herd(released_per_s=75)
        peaks = herd.peaks(from_release_rate(herd))
        self.assertTrue(max(peaks) <= 1.5, max(peaks))
        self.assertTrue(sum(herd.peaks(fixed_range)) > 1.5 * len(peaks))
        new = herd.admitted_shares(from_release_rate(herd))
        self.assertTrue(new[0] >= new[2] and min(new) > 0.98, new)

    def test_no_larger_peak_than_the_fixed_range_beyond_the_bound(self):
        # Fails if all callers whose places are released after MAX_RETRY_AFTER_S return
        # at exactly that time.
        herd = Herd()
        fixed = herd.peaks(fixed_range)
        new = herd.peaks(from_release_rate(herd))
        self.assertTrue(sum(new) <= sum(fixed), (sum(new), sum(fixed)))
