"""Chains are rebuilt to make room for missing replicas."""

from dataclasses import replace

from hypothesis import given

from wigeonscale.placement import ChainPlan, plan_chains
from wigeonscale.placement.repair import stage_on
from wigeonscale.placement.tests.test_planner import (
    PIPELINES,
    SETTINGS,
    engine,
    pools,
    problems,
)
from wigeonscale.rules.model import Pipeline
from wigeonscale.testing import AsyncTestCase

ROUNDS = 20
TWELVE_LAYERS = Pipeline(name="p", model="m", layers=12, replicas=2)


def plan(pipelines, engines, chains, index=1, **options):
    return plan_chains(
        pipelines=pipelines, engines=engines, chains=chains, base_index=index, **options
    )


def load(engines, chains):
    """Return the engines, with the layers of their stages loaded."""
    wanted = {stage.agent_id: stage for chain in chains for stage in chain.stages}
    loaded = []
    for spec in engines:
        stage = wanted.get(spec.agent_id)
        if stage is not None:
            first, last = stage.first_layer, stage.last_layer
            spec = replace(spec, first_layer=first, last_layer=last)
        loaded.append(spec)
    return loaded


class RegroupTest(AsyncTestCase):
    def test_engines_that_join_late_form_the_missing_replica(self):
        pipelines = [TWELVE_LAYERS]
        engines = [engine(n, domain=f"d{n % 3}") for n in range(6)]
        one = replace(TWELVE_LAYERS, replicas=1)
        for loaded in (False, True):
            (before,) = plan([one], engines[:4], ()).chains
            self.assertEqual(4, len(before.stages))
            known = load(engines, [before]) if loaded else engines
            after = plan(pipelines, known, [before], 2)
            self.assertEqual([], problems(after, pipelines, engines))
            self.assertEqual(2, len(after.chains))
            self.assertEqual((), after.removed)
            kept = after.chains[0]
            self.assertEqual(before.chain_id, kept.chain_id)
            self.assertEqual(before.epoch + 1, kept.epoch)
            self.assertEqual(before.stages[0].agent_id, kept.stages[0].agent_id)
            own = {stage.agent_id for stage in before.stages}
            self.assertLessEqual({stage.agent_id for stage in kept.stages}, own)

    def test_serving_chains_are_rebuilt_one_at_a_time(self):
        # Three chains of four engines; a fourth chain needs one engine of each.
        engines = [engine(n, domain="d") for n in range(12)]
        chains = plan([replace(TWELVE_LAYERS, replicas=3)], engines, ()).chains
        self.assertEqual([4, 4, 4], [len(chain.stages) for chain in chains])
        four = [replace(TWELVE_LAYERS, replicas=4)]
        engines = load(engines, chains)
        for index in range(2, ROUNDS):
            after = plan(four, engines, chains, index)
            self.assertEqual([], problems(after, four, engines))
            known = {chain.chain_id for chain in chains}
            rebuilt = [c for c in after.changed if c.chain_id in known]
            self.assertLessEqual(len(rebuilt), 1)
            # No other chain changes while the rebuilt chain loads.
            again = plan(four, engines, after.chains, index)
            self.assertEqual(after.chains, again.chains)
            chains = after.chains
            engines = load(engines, chains)
        self.assertEqual([3, 3, 3, 3], [len(chain.stages) for chain in chains])

    def test_serving_chain_is_kept_if_required_or_if_the_gain_is_too_small(self):
        engines = [engine(n, domain="d") for n in range(6)]
        (before,) = plan([replace(TWELVE_LAYERS, replicas=1)], engines[:4], ()).chains
        known = load(engines, [before])
        told = plan([TWELVE_LAYERS], known, [before], 2, rebuild_serving=False)
        self.assertEqual((before,), told.chains)
        slow = [replace(spec, layer_rate=10.0) for spec in known[4:]]
        self.assertEqual(
            (before,), plan([TWELVE_LAYERS], known[:4] + slow, [before]).chains
        )
        # A chain that does not serve yet can be rebuilt in any case.
        slow = [replace(spec, layer_rate=10.0) for spec in engines[4:]]
        after = plan(
            [TWELVE_LAYERS], engines[:4] + slow, [before], rebuild_serving=False
        )
        self.assertEqual(2, len(after.chains))

    def test_without_load_new_only_loaded_engines_form_chains(self):
        engines = [engine(n, domain="d") for n in range(6)]
        (loaded,) = plan([replace(TWELVE_LAYERS, replicas=1)], engines[:3], ()).chains
        self.assertEqual((), plan([TWELVE_LAYERS], engines, (), load_new=False).chains)
        known = load(engines, [loaded])
        (only,) = plan([TWELVE_LAYERS], known, (), load_new=False).chains
        self.assertEqual(loaded.stages, only.stages)

    def test_heads_in_the_same_group_are_separated(self):
        # Both chains have their heads in the domain that a new group prefers.
        engines = [engine(n, domain="ab"[n % 2]) for n in range(12)]
        chains = [self.crossing(engines, 0), self.crossing(engines, 4)]
        after = plan([replace(TWELVE_LAYERS, replicas=3)], engines, chains, 2)
        self.assertEqual(3, len(after.chains))
        heads = [chain.stages[0].agent_id for chain in after.chains]
        self.assertEqual(["e0", "e4"], heads[:2])

    def crossing(self, engines, first):
        """Return a chain of four stages of three layers, with the head in domain a."""
        stages = tuple(stage_on(engines[first + n], 3 * n, 3 * n + 2) for n in range(4))
        return ChainPlan(f"p-1-{first}", "p", 1, stages, 333.0)

    def test_chain_whose_engine_drains_is_not_rebuilt(self):
        engines = [engine(n, domain="d") for n in range(6)]
        (before,) = plan([replace(TWELVE_LAYERS, replicas=1)], engines[:4], ()).chains
        engines[3] = replace(engines[3], draining=True)
        after = plan([TWELVE_LAYERS], engines, [before], 2)
        self.assertIn(before, after.chains)

    def test_chains_of_two_pipelines_share_their_engines(self):
        pipelines = [
            replace(TWELVE_LAYERS, replicas=1),
            replace(TWELVE_LAYERS, name="q", replicas=1),
        ]
        engines = [engine(n, domain="d") for n in range(6)]
        before = plan(pipelines[:1], engines[:4], ()).chains
        after = plan(pipelines, engines, before, 2)
        self.assertEqual(["p", "q"], sorted(chain.pipeline for chain in after.chains))

    @SETTINGS
    @given(PIPELINES, pools())
    def test_engines_that_join_late_end_in_a_fixed_point(self, pipelines, engines):
        for loading in (False, True):
            chains = ()
            known = []
            index = 0
            for count in (len(engines) // 2, len(engines)):
                known += engines[len(known) : count]
                for _ in range(ROUNDS):
                    index += 1
                    after = plan(pipelines, known, chains, index)
                    self.assertEqual([], problems(after, pipelines, engines))
                    self.check_step(chains, after)
                    if not after.changed and not after.removed:
                        break
                    chains = after.chains
                    if loading:
                        known = load(known, chains)
                else:
                    self.fail("plans go on changing")

    def check_step(self, before, after):
        """Check that no replica is lost, and that chains keep their ids and heads."""
        self.assertEqual((), after.removed)
        standing = {chain.chain_id: chain for chain in after.chains}
        for chain in before:
            now = standing[chain.chain_id]
            self.assertEqual(chain.stages[0].agent_id, now.stages[0].agent_id)
            if now != chain:
                self.assertEqual(chain.epoch + 1, now.epoch)
