import random
from collections import Counter
from types import SimpleNamespace

from wigeonscale.routing import (
    Candidate,
    CandidatePool,
    Chooser,
    LoadTable,
    PrefixView,
    prefix_digest,
)
from wigeonscale.testing import AsyncTestCase, ManualClock

DOMAINS = ("aarhus-a", "aarhus-b", "vejle-c")


def candidates_of(count, *, rate=1.0):
    return tuple(
        Candidate(f"agent{i}", f"chain{i}", rate, DOMAINS[i % 3]) for i in range(count)
    )


def keys_of(candidates):
    return {candidate.key for candidate in candidates}


class CandidatePoolTest(AsyncTestCase):
    def pool(self, count, seed=b"entry"):
        return CandidatePool(seed=seed, size=9, candidates=candidates_of(count))

    def test_subset_is_bounded_and_spread_over_domains(self):
        subset = self.pool(300).subset
        domains = Counter(candidate.domain for candidate in subset)
        self.assertEqual({domain: 3 for domain in DOMAINS}, dict(domains))

    def test_only_the_lost_candidate_is_replaced(self):
        pool = self.pool(300)
        before = keys_of(pool.subset)
        lost = pool.subset[4].key
        pool.remove(lost)
        self.assertEqual({lost}, before - keys_of(pool.subset))

    def test_change_outside_the_subset_changes_nothing(self):
        pool = self.pool(300)
        before = pool.subset
        outside = next(c for c in candidates_of(300) if c not in before)
        pool.remove(outside.key)
        self.assertEqual(before, pool.subset)

    def test_order_of_changes_does_not_matter(self):
        pool = self.pool(0)
        for candidate in reversed(candidates_of(300)):
            pool.add(candidate)
        self.assertEqual(self.pool(300).subset, pool.subset)

    def test_replace_touches_only_what_differs(self):
        pool = self.pool(300)
        pool.replace(candidates_of(200))
        self.assertEqual(self.pool(200).subset, pool.subset)

    def test_entries_use_different_subsets_evenly(self):
        used = Counter()
        for entry in range(300):
            used.update(keys_of(self.pool(90, seed=b"%d" % entry).subset))
        self.assertEqual(90, len(used))
        self.assertLess(max(used.values()), 60)


class ChooserTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.table = LoadTable(clock=ManualClock())
        self.view = PrefixView()
        self.chooser = Chooser(table=self.table, rng=random.Random(7), view=self.view)

    def choices(self, candidates, count=200, **kwargs):
        chosen = [self.chooser.choose(candidates, **kwargs) for _ in range(count)]
        return Counter(candidate.agent_id for candidate in chosen)

    def load(self, agent_id, running):
        word = SimpleNamespace(
            running=running, queued=0, slots=8, wait_s=0.0, leaving=False
        )
        self.table.update_load(agent_id, word)

    def test_no_candidate_gives_none(self):
        self.assertIsNone(self.chooser.choose(()))
        one = candidates_of(1)
        self.assertIsNone(self.chooser.choose(one, avoid=frozenset({"agent0"})))

    def test_selections_stay_in_the_subset(self):
        self.assertEqual(16, len(self.choices(candidates_of(100), 500)))

    def test_most_loaded_is_never_chosen(self):
        self.load("agent1", 9)
        self.assertNotIn("agent1", self.choices(candidates_of(4)))

    def test_faster_server_gets_more_load(self):
        slow = Candidate("slow", "s", rate=1.0)
        fast = Candidate("fast", "f", rate=4.0)
        self.load("slow", 1)
        self.load("fast", 3)
        self.assertEqual({"fast"}, set(self.choices((slow, fast))))

    def test_free_slot_is_preferred_to_a_faster_server_without(self):
        slow = Candidate("slow", "s", rate=1.0)
        fast = Candidate("fast", "f", rate=4.0)
        self.load("slow", 6)
        self.load("fast", 9)
        self.assertEqual({"slow"}, set(self.choices((slow, fast))))

    def test_organisation_spreads_where_requests_queue(self):
        candidates = candidates_of(2)
        for agent_id in ("agent0", "agent1"):
            self.load(agent_id, 12)
        self.table.started("agent0", "org")
        self.table.started("agent1", "other")
        chosen = self.choices(candidates, organisation="org")
        self.assertEqual({"agent1"}, set(chosen))

    def test_server_that_fails_immediately_does_not_attract_requests(self):
        candidates = candidates_of(2)
        self.load("agent0", 7)
        self.table.failed("agent1")
        self.assertEqual({"agent0"}, set(self.choices(candidates)))

    def test_leaving_agent_is_not_chosen(self):
        word = SimpleNamespace(running=0, queued=0, slots=4, wait_s=0.0, leaving=True)
        self.table.update_load("agent0", word)
        self.assertEqual({"agent1"}, set(self.choices(candidates_of(2))))

    def test_lost_subset_is_replaced_by_others(self):
        candidates = candidates_of(100)
        subset = frozenset(self.choices(candidates))
        self.assertNotEqual({}, self.choices(candidates, avoid=subset))

    def test_same_prefix_goes_to_same_server(self):
        chosen = self.choices(candidates_of(8), prefix=b"style guide")
        self.assertEqual(1, len(chosen))

    def test_prefixes_are_spread_over_servers(self):
        candidates = candidates_of(8)
        chosen = Counter()
        for number in range(400):
            chosen += self.choices(candidates, 1, prefix=b"%d" % number)
        self.assertEqual(8, len(chosen))

    def test_affinity_does_not_overload_a_server(self):
        candidates = candidates_of(8)
        (preferred,) = self.choices(candidates, prefix=b"style guide")
        self.load(preferred, 9)
        self.assertNotIn(preferred, self.choices(candidates, prefix=b"style guide"))

    def test_server_that_holds_the_prefix_is_preferred(self):
        candidates = candidates_of(8)
        (hashed,) = self.choices(candidates, prefix=b"style guide")
        holder = next(c.agent_id for c in candidates if c.agent_id != hashed)
        self.view.apply_event(holder, 1, prefix_digest(b"style guide"), held=True)
        chosen = self.choices(candidates, prefix=b"style guide")
        self.assertEqual({holder}, set(chosen))
