"""Upper bound, split of layers over engines, and partition into groups."""

from itertools import product

from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonscale.placement import hardware_bound, plan_chains
from wigeonscale.placement.local_search import group_rate, improve_pairs, total_rate
from wigeonscale.placement.partition import QUICK_SEARCH, Search, partition_engines
from wigeonscale.placement.rates import split_layers, stage_rate
from wigeonscale.placement.tests.test_planner import engine
from wigeonscale.rules.model import Pipeline
from wigeonscale.testing import AsyncTestCase

SETTINGS = settings(derandomize=True, deadline=None, max_examples=100)

POOLS = st.lists(
    st.tuples(
        st.sampled_from((300.0, 1000.0, 1700.0)),
        st.integers(1, 5),
        st.sampled_from((150.0, 5000.0)),
    ),
    min_size=1,
    max_size=5,
).map(
    lambda kinds: [
        engine(number, layer_rate=rate, layer_capacity=capacity, link_rate=link)
        for number, (rate, capacity, link) in enumerate(kinds)
    ]
)


def best_by_trial(engines, layers, chains):
    """Return the highest total rate over all assignments of layers to engines."""
    best = 0.0
    choices = [
        [(0, 0)]
        + [(c, n) for c in range(chains) for n in range(1, e.layer_capacity + 1)]
        for e in engines
    ]
    for choice in product(*choices):
        total = 0.0
        for chain in range(chains):
            stages = [
                (e, n)
                for e, (c, n) in zip(engines, choice, strict=True)
                if n and c == chain
            ]
            if sum(n for _, n in stages) == layers:
                single_stage = len(stages) == 1
                total += min(
                    stage_rate(e, n, single_stage=single_stage) for e, n in stages
                )
        best = max(best, total)
    return best


class BoundTest(AsyncTestCase):
    @settings(SETTINGS, max_examples=40)
    @given(POOLS.filter(lambda pool: len(pool) <= 4), st.integers(2, 6))
    def test_no_assignment_beats_the_bound(self, engines, layers):
        for chains in (1, 2):
            best = best_by_trial(engines, layers, chains)
            bound = hardware_bound(engines, layers=layers, chains=chains)
            self.assertLessEqual(best, bound * (1 + 1e-6))

    @SETTINGS
    @given(POOLS, st.integers(2, 8))
    def test_bound_grows_with_the_chains_allowed(self, engines, layers):
        bounds = [hardware_bound(engines, layers=layers, chains=n) for n in range(1, 6)]
        for fewer, more in zip(bounds, bounds[1:], strict=False):
            self.assertLessEqual(fewer, more * (1 + 1e-6))

    @SETTINGS
    @given(POOLS, st.integers(2, 8), st.integers(1, 5))
    def test_no_plan_beats_the_bound(self, engines, layers, replicas):
        pipeline = Pipeline(name="p", model="m", layers=layers, replicas=replicas)
        plan = plan_chains(pipelines=[pipeline], engines=engines, chains=())
        bound = hardware_bound(engines, layers=layers, chains=replicas)
        total = sum(chain.rate for chain in plan.chains)
        self.assertLessEqual(total, bound * (1 + 1e-6))


class SplitTest(AsyncTestCase):
    @settings(SETTINGS, max_examples=40)
    @given(POOLS.filter(lambda pool: len(pool) <= 4), st.integers(1, 6))
    def test_split_is_the_best_there_is(self, engines, layers):
        split = split_layers(engines, layers)
        self.assertAlmostEqual(
            best_by_trial(engines, layers, 1), group_rate(engines, layers)
        )
        if split:
            self.assertEqual(layers, sum(count for _, count in split))

    def test_link_rate_applies_only_between_stages(self):
        slow = engine(1, layer_capacity=8, link_rate=1.0)
        other = engine(2, layer_capacity=4)
        self.assertEqual(125.0, group_rate([slow, other], 8))
        self.assertEqual([(slow, 8)], split_layers([slow, other], 8))


class PartitionTest(AsyncTestCase):
    def test_slow_links_do_not_slow_the_other_chains(self):
        engines = [
            engine(n, domain="a", link_rate=5000.0 if n < 4 else 50.0) for n in range(8)
        ]
        groups = partition_engines(engines, layers=8, chains=2)
        links = sorted({e.link_rate for e in group} == {5000.0} for group in groups)
        self.assertEqual([False, True], links)

    def test_chain_stays_in_its_domain_where_that_costs_little(self):
        # Chains of equal engines across domains have rates of 250 and 242.5; chains
        # inside the domains have 242.5 each.
        engines = [
            engine(n, domain=domain, layer_rate=rate)
            for n, (domain, rate) in enumerate(
                [("a", 1000.0), ("a", 970.0), ("b", 1000.0), ("b", 970.0)]
            )
        ]
        groups = partition_engines(engines, layers=8, chains=2)
        self.assertEqual(2, len(groups))
        for group in groups:
            self.assertEqual(1, len({e.domain for e in group}))

    def test_chain_crosses_domains_where_staying_inside_costs_much(self):
        engines = [
            engine(n, domain=domain, layer_rate=rate)
            for n, (domain, rate) in enumerate(
                [("a", 900.0), ("a", 50.0), ("b", 50.0), ("b", 900.0)]
            )
        ]
        (group,) = partition_engines(engines, layers=8, chains=1)
        self.assertEqual({900.0}, {e.layer_rate for e in group})
        search = Search(rates_tried=4, local_search=True, domain_share=0.0)
        (group,) = partition_engines(engines, layers=8, chains=1, search=search)
        self.assertEqual(1, len({e.domain for e in group}))

    def test_quick_search_returns_engines_with_exact_rates(self):
        engines = [engine(n, layer_rate=1000.0 + n) for n in range(6)]
        groups = partition_engines(engines, layers=8, chains=2, search=QUICK_SEARCH)
        self.assertEqual(2, len(groups))
        for group in groups:
            self.assertTrue(set(group) <= set(engines))

    def test_improving_pairs_raises_the_rate_and_uses_no_engine_twice(self):
        engines = [engine(n, layer_rate=300.0 * (1 + n % 3)) for n in range(9)]
        groups = [engines[0:3], engines[3:6]]
        better = improve_pairs(groups, engines, layers=8)
        self.assertGreater(total_rate(better, 8), total_rate(groups, 8))
        ids = [e.agent_id for group in better for e in group]
        self.assertEqual(len(set(ids)), len(ids))
