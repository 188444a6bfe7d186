"""Rebuilt chains keep their heads and their own engines."""

from dataclasses import replace

from wigeonscale.placement import ChainPlan
from wigeonscale.placement.assignment import assign_groups, split_with_head
from wigeonscale.placement.repair import stage_on
from wigeonscale.placement.tests.test_planner import engine
from wigeonscale.testing import AsyncTestCase


def chain_on(*engines):
    stages = tuple(stage_on(spec, n, n) for n, spec in enumerate(engines))
    return ChainPlan("c", "p", 1, stages, 1.0)


def ids(group):
    return sorted(spec.agent_id for spec in group)


class AssignmentTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.engines = [engine(n, domain="d") for n in range(6)]

    def test_heads_in_the_same_group_are_separated(self):
        a, b, c, d, e, f = self.engines
        chains = [chain_on(a), chain_on(b)]
        assigned, left = assign_groups([[a, b], [c, d], [e, f]], chains)
        self.assertIn(a, assigned[0])
        self.assertIn(b, assigned[1])
        self.assertEqual(ids(self.engines), ids(sum(assigned + left, [])))

    def test_heads_that_cannot_be_swapped_have_no_assignment(self):
        a, b, c, d, _, _ = self.engines
        heads = [replace(a, layer_capacity=7), replace(b, domain="x")]
        chains = [chain_on(head) for head in heads]
        self.assertIsNone(assign_groups([heads, [c], [d]], chains))
        self.assertIsNone(assign_groups([[c], [d]], [chain_on(a)]))

    def test_chain_keeps_its_own_engines(self):
        a, b, c, d, e, f = self.engines
        assigned, left = assign_groups([[a, d, e], [b, c, f]], [chain_on(a, b, c)])
        self.assertEqual([["e0", "e1", "e2"]], [ids(group) for group in assigned])
        self.assertEqual([["e3", "e4", "e5"]], [ids(group) for group in left])

    def test_head_gets_the_first_layers(self):
        for head in self.engines[:3]:
            split = split_with_head(head, self.engines[:3], 12)
            self.assertEqual(head, split[0][0])
            self.assertEqual([4, 4, 4], [count for _, count in split])

    def test_head_that_is_not_in_the_best_split_gets_one_layer(self):
        head = engine(9, layer_rate=1.0)
        split = split_with_head(head, [*self.engines[:3], head], 12)
        self.assertEqual((head, 1), split[0])
        self.assertEqual(12, sum(count for _, count in split))
