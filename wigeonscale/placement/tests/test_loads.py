"""Order of weight loads."""

import random

from wigeonscale.placement import ChainPlan, StagePlan, order_loads
from wigeonscale.testing import AsyncTestCase


def chain(chain_id, pipeline, rate, *sizes):
    stages = []
    first = 0
    for number, size in enumerate(sizes):
        agent_id = f"{chain_id}{number}"
        stages.append(StagePlan(agent_id, 1, "", "a", first, first + size - 1))
        first += size
    return ChainPlan(chain_id, pipeline, 1, tuple(stages), rate)


def order(chains, loaded=(), **kwargs):
    pairs = order_loads(
        chains, is_loaded=lambda _, stage: stage.agent_id in loaded, **kwargs
    )
    return [stage.agent_id for _, stage in pairs]


class OrderLoadsTest(AsyncTestCase):
    def test_chains_load_one_after_the_other(self):
        chains = [chain("a", "p", 10.0, 4, 4), chain("b", "p", 10.0, 4, 4)]
        self.assertEqual(["a0", "a1", "b0", "b1"], order(chains))

    def test_shortest_remaining_load_first(self):
        chains = [chain("a", "p", 10.0, 4, 4), chain("b", "p", 10.0, 4, 4)]
        self.assertEqual(["b1", "a0", "a1"], order(chains, loaded=["b0"]))

    def test_idle_pipeline_before_a_shorter_load_of_a_served_one(self):
        chains = [
            chain("a", "p", 10.0, 8),
            chain("b", "p", 10.0, 1),
            chain("c", "q", 10.0, 8),
        ]
        self.assertEqual(["c0", "b0"], order(chains, loaded=["a0"]))

    def test_first_chain_of_each_idle_pipeline_before_any_second(self):
        chains = [
            chain("a", "p", 10.0, 2),
            chain("b", "p", 10.0, 2),
            chain("c", "q", 10.0, 9),
        ]
        self.assertEqual(["a0", "c0", "b0"], order(chains))

    def test_demand_that_is_met_does_not_count(self):
        chains = [
            chain("a", "p", 10.0, 2),
            chain("b", "p", 10.0, 2),
            chain("c", "q", 10.0, 2),
            chain("d", "q", 10.0, 4),
        ]
        demand = {"p": 10.0, "q": 20.0}
        got = order(chains, loaded=["a0", "c0"], demand=demand)
        self.assertEqual(["d0", "b0"], got)

    def test_loads_in_progress_stay_first(self):
        chains = [chain("a", "p", 10.0, 1), chain("b", "p", 10.0, 9)]
        self.assertEqual(["b0", "a0"], order(chains, loading=["b0"]))

    def test_order_does_not_depend_on_the_input_order(self):
        rng = random.Random(1)
        chains = [
            chain(f"c{n:02}-", rng.choice("pq"), rng.choice((1.0, 2.0)), 2, 3)
            for n in range(12)
        ]
        first = order(chains)
        self.assertEqual(24, len(set(first)))
        for _ in range(5):
            rng.shuffle(chains)
            self.assertEqual(first, order(chains))
