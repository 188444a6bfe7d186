"""Properties of plans, and examples of planning and repair."""

import math
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonscale.placement import EngineSpec, plan_chains
from wigeonscale.rules.model import Pipeline
from wigeonscale.testing import AsyncTestCase

MODELS = ("m", "n")


def engine(number, **changes):
    spec = EngineSpec(
        agent_id=f"e{number}",
        incarnation=number + 1,
        address=f"10.0.0.{number}:1",
        domain=f"d{number % 3}",
        model="m",
        layer_rate=1000.0,
        layer_capacity=4,
    )
    return replace(spec, **changes)


@st.composite
def pools(draw):
    count = draw(st.integers(0, 24))
    return [
        engine(
            number,
            model=draw(st.sampled_from(MODELS)),
            layer_rate=draw(st.sampled_from((0.0, 500.0, 1000.0, 1700.0, math.nan))),
            layer_capacity=draw(st.integers(0, 8) | st.just(2**31 - 1)),
            link_rate=draw(st.sampled_from((0.0, 20.0, 2000.0))),
            draining=draw(st.sampled_from((False, False, False, True))),
            region=draw(st.sampled_from(("r", "s"))),
        )
        for number in range(count)
    ]


PIPELINES = st.lists(
    st.builds(
        Pipeline,
        name=st.sampled_from(("p", "q", "r-1")),
        model=st.sampled_from(MODELS),
        layers=st.integers(1, 20),
        replicas=st.integers(0, 3),
        stages=st.integers(0, 3),
    ),
    unique_by=lambda pipeline: pipeline.name,
    max_size=3,
)
SETTINGS = settings(derandomize=True, deadline=None, max_examples=150)


def problems(plan, pipelines, engines):
    """Return descriptions of the constraints that a plan violates."""
    by_id = {spec.agent_id: spec for spec in engines}
    by_name = {pipeline.name: pipeline for pipeline in pipelines}
    found = []
    seen = set()
    for chain in plan.chains:
        pipeline = by_name[chain.pipeline]
        layers = [
            layer
            for stage in chain.stages
            for layer in range(stage.first_layer, stage.last_layer + 1)
        ]
        if layers != list(range(pipeline.layers)):
            found.append(f"layers {layers}")
        if pipeline.stages not in (0, len(chain.stages)):
            found.append(f"{len(chain.stages)} stages")
        if len({by_id[stage.agent_id].region for stage in chain.stages}) > 1:
            found.append("crosses regions")
        for stage in chain.stages:
            spec = by_id[stage.agent_id]
            if stage.agent_id in seen:
                found.append(f"{stage.agent_id} used twice")
            seen.add(stage.agent_id)
            if stage.layers > spec.layer_capacity or stage.layers < 1:
                found.append(f"{stage.agent_id} holds {stage.layers}")
            if chain.rate <= 0:
                found.append(f"{chain.chain_id} passes nothing")
            if spec.model != pipeline.model:
                found.append(f"{stage.agent_id} is for {spec.model}")
            if spec.incarnation != stage.incarnation:
                found.append(f"{stage.agent_id} of an old incarnation")
    return found


class PlanProperties(AsyncTestCase):
    @SETTINGS
    @given(PIPELINES, pools(), st.integers(0, 3))
    def test_new_plan_is_sound_and_stable(self, pipelines, engines, spares):
        def plan(chains, index):
            return plan_chains(
                pipelines=pipelines,
                engines=engines,
                chains=chains,
                spares=spares,
                base_index=index,
            )

        first = plan((), 1)
        self.assertEqual([], problems(first, pipelines, engines))
        draining = {spec.agent_id for spec in engines if spec.draining}
        used = {s.agent_id for chain in first.chains for s in chain.stages}
        self.assertEqual(set(), used & draining)
        self.assertEqual(first.chains, first.changed)
        again = plan(first.chains, 2)
        self.assertEqual(first.chains, again.chains)
        self.assertEqual(((), ()), (again.changed, again.removed))

    @SETTINGS
    @given(PIPELINES, pools(), st.data())
    def test_repair_touches_only_lost_stages(self, pipelines, engines, data):
        before = plan_chains(
            pipelines=pipelines, engines=engines, chains=(), base_index=1
        )
        ids = [spec.agent_id for spec in engines]
        lost = data.draw(st.sets(st.sampled_from(ids))) if ids else set()
        left = [spec for spec in engines if spec.agent_id not in lost]
        after = plan_chains(
            pipelines=pipelines, engines=left, chains=before.chains, base_index=2
        )
        self.assertEqual([], problems(after, pipelines, left))
        standing = {chain.chain_id: chain for chain in after.chains}
        for chain in before.chains:
            hit = [stage.agent_id in lost for stage in chain.stages]
            now = standing.get(chain.chain_id)
            if not any(hit):
                self.assertEqual(chain, now)
            elif now is None:
                self.assertIn(chain.chain_id, after.removed)
            else:
                self.assertEqual(chain.epoch + 1, now.epoch)
                kept = [s for s in chain.stages if s.agent_id not in lost]
                self.assertEqual(kept, [s for s in now.stages if s in chain.stages])


class PlanTest(AsyncTestCase):
    pipeline = Pipeline(name="p", model="m", layers=8, replicas=1, stages=2)

    def plan(self, engines, chains=(), **kwargs):
        return plan_chains(
            pipelines=[self.pipeline], engines=engines, chains=chains, **kwargs
        )

    def test_lost_stage_gets_spare_of_another_domain(self):
        engines = [engine(n, domain="a" if n < 4 else "b") for n in range(6)]
        before = self.plan(engines[:2]).chains
        (chain,) = self.plan(engines[1:], before).chains
        self.assertEqual("b", chain.stages[0].domain)
        self.assertEqual(2, chain.epoch)

    def test_only_a_spare_that_holds_exactly_the_layers_counts_as_loaded(self):
        engines = [engine(n, domain="a", layer_capacity=8) for n in range(2)]
        (chain,) = self.plan(engines).chains
        lost = chain.stages[1]
        wide = engine(2, domain="a", first_layer=0, last_layer=7, layer_capacity=8)
        exact = engine(3, domain="a", first_layer=4, last_layer=7)
        left = [spec for spec in engines if spec.agent_id != lost.agent_id]
        (after,) = self.plan([*left, wide, exact], [chain]).chains
        self.assertEqual("e3", after.stages[1].agent_id)

    def test_restarted_engine_that_kept_its_layers_keeps_its_stage(self):
        engines = [engine(n) for n in range(6)]
        (chain,) = self.plan(engines).chains
        stage = chain.stages[1]
        engines = [
            replace(spec, incarnation=99, first_layer=4, last_layer=7)
            if spec.agent_id == stage.agent_id
            else spec
            for spec in engines
        ]
        (after,) = self.plan(engines, [chain]).chains
        self.assertEqual(replace(stage, incarnation=99), after.stages[1])
        self.assertEqual(2, after.epoch)

    def test_chain_with_draining_stage_stays_and_is_replaced(self):
        engines = [engine(n) for n in range(4)]
        (chain,) = self.plan(engines).chains
        leaving = chain.stages[0].agent_id
        engines = [replace(spec, draining=spec.agent_id == leaving) for spec in engines]
        after = self.plan(engines, [chain], base_index=2)
        self.assertEqual(chain, after.chains[0])
        self.assertEqual(2, len(after.chains))

    def test_chain_id_is_not_used_again(self):
        engines = [engine(n) for n in range(2)]
        (chain,) = self.plan(engines, base_index=5).chains
        (later,) = self.plan(engines, base_index=9).chains
        self.assertNotEqual(chain.chain_id, later.chain_id)

    def test_lost_range_is_shared_when_no_spare_holds_it_whole(self):
        pipeline = replace(self.pipeline, stages=0)
        engines = [engine(n, layer_capacity=8 if n < 1 else 4) for n in range(5)]
        (chain,) = plan_chains(
            pipelines=[replace(pipeline, layers=12)], engines=engines[:2], chains=()
        ).chains
        big = next(s for s in chain.stages if s.layers == 8)
        left = [spec for spec in engines if spec.agent_id != big.agent_id]
        (after,) = plan_chains(
            pipelines=[replace(pipeline, layers=12)], engines=left, chains=[chain]
        ).chains
        self.assertEqual(chain.chain_id, after.chain_id)
        self.assertEqual([4, 4, 4], [stage.layers for stage in after.stages])

    def test_one_chain_is_removed_so_that_another_can_be_repaired(self):
        pipeline = replace(self.pipeline, replicas=2)
        engines = [engine(n, domain="a") for n in range(4)]
        before = plan_chains(pipelines=[pipeline], engines=engines, chains=()).chains
        lost = {chain.stages[0].agent_id for chain in before}
        left = [spec for spec in engines if spec.agent_id not in lost]
        plan = plan_chains(pipelines=[pipeline], engines=left, chains=before)
        (after,) = plan.chains
        self.assertEqual(2, after.epoch)
        self.assertEqual(1, len(plan.removed))

    def test_spares_are_kept_unless_a_chain_needs_them(self):
        engines = [engine(n) for n in range(6)]
        pipeline = replace(self.pipeline, stages=0, replicas=1)
        for count, spares, used in ((6, 2, 4), (6, 0, 6), (3, 2, 2)):
            plan = plan_chains(
                pipelines=[replace(pipeline, layers=6)],
                engines=engines[:count],
                chains=(),
                spares=spares,
            )
            stages = plan.chains[0].stages
            self.assertLessEqual(len(stages), used)
            self.assertTrue(stages)

    def test_loaded_ranges_are_reused(self):
        engines = [engine(n) for n in range(6)]
        engines[1] = replace(engines[1], first_layer=4, last_layer=7)
        engines[3] = replace(engines[3], first_layer=0, last_layer=3)
        (chain,) = self.plan(engines).chains
        self.assertEqual(["e3", "e1"], [stage.agent_id for stage in chain.stages])

    def test_pipelines_of_one_model_share_its_engines(self):
        pipelines = [
            replace(self.pipeline, stages=0),
            replace(self.pipeline, stages=0, name="q"),
            replace(self.pipeline, name="r"),
        ]
        engines = [engine(n) for n in range(9)]
        plan = plan_chains(pipelines=pipelines, engines=engines, chains=())
        self.assertEqual(
            ["p", "q", "r"], sorted(chain.pipeline for chain in plan.chains)
        )

    def test_fewer_replicas_keep_the_fastest_chain(self):
        slow = [engine(n, layer_rate=100.0) for n in range(2)]
        fast = [engine(n, domain="b") for n in range(2, 4)]
        pipeline = replace(self.pipeline, replicas=2)
        before = plan_chains(pipelines=[pipeline], engines=slow + fast, chains=())
        best = max(before.chains, key=lambda chain: chain.rate)
        after = self.plan(slow + fast, before.chains)
        self.assertEqual((best,), after.chains)

    def test_removed_pipeline_loses_its_chains(self):
        engines = [engine(n) for n in range(2)]
        before = self.plan(engines)
        after = plan_chains(pipelines=[], engines=engines, chains=before.chains)
        self.assertEqual((), after.chains)
        self.assertEqual((before.chains[0].chain_id,), after.removed)

    def test_second_loss_right_after_a_repair(self):
        engines = [engine(n) for n in range(5)]
        (chain,) = self.plan(engines[:2]).chains
        for lost in (0, 2):
            engines = [spec for spec in engines if spec.agent_id != f"e{lost}"]
            (chain,) = self.plan(engines, [chain]).chains
        self.assertEqual(3, chain.epoch)
        self.assertEqual(
            [], problems(self.plan(engines, [chain]), [self.pipeline], engines)
        )

    def test_restarted_engine_is_preferred_to_a_spare_for_its_stage(self):
        engines = [engine(n) for n in range(5)]
        (chain,) = self.plan(engines).chains
        agent_id = chain.stages[0].agent_id
        engines = [
            replace(spec, incarnation=99) if spec.agent_id == agent_id else spec
            for spec in engines
        ]
        (after,) = self.plan(engines, [chain]).chains
        self.assertEqual(agent_id, after.stages[0].agent_id)

    def test_spares_go_to_the_chains_that_lost_least(self):
        engines = [engine(n, domain="a") for n in range(6)]
        pipeline = replace(self.pipeline, replicas=3)
        before = plan_chains(pipelines=[pipeline], engines=engines, chains=()).chains
        gone = {stage.agent_id for stage in before[0].stages}
        gone |= {chain.stages[0].agent_id for chain in before[1:]}
        left = [spec for spec in engines if spec.agent_id not in gone]
        left += [engine(8), engine(9)]
        plan = plan_chains(pipelines=[pipeline], engines=left, chains=before)
        kept = [chain.chain_id for chain in plan.chains]
        self.assertEqual([chain.chain_id for chain in before[1:]], kept)

    def test_chain_ids_differ_within_one_base_index(self):
        engines = [engine(n) for n in range(4)]
        before = self.plan(engines[:2]).chains
        pipeline = replace(self.pipeline, replicas=2)
        after = plan_chains(pipelines=[pipeline], engines=engines, chains=before)
        self.assertEqual(2, len({chain.chain_id for chain in after.chains}))
