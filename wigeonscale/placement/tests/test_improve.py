"""Serving chains are rebuilt with engines that joined later."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from wigeonscale.placement import improve_chains, plan_chains
from wigeonscale.placement.improve import MIN_REBUILD_GAIN
from wigeonscale.placement.tests.test_planner import (
    SETTINGS,
    engine,
    problems,
)
from wigeonscale.placement.tests.test_regroup import load
from wigeonscale.rules.model import Pipeline
from wigeonscale.testing import AsyncTestCase

ROUNDS = 60
TWELVE_LAYERS = Pipeline(name="p", model="m", layers=12, replicas=2)
PIPELINES = st.lists(
    st.builds(
        Pipeline,
        name=st.sampled_from("pq"),
        model=st.just("m"),
        layers=st.integers(4, 8),
        replicas=st.integers(2, 3),
        stages=st.sampled_from((0, 0, 2)),
    ),
    min_size=1,
    max_size=2,
    unique_by=lambda pipeline: pipeline.name,
)


@st.composite
def late_pools(draw):
    """Return engines: the first half forms a few chains, the rest joins later."""
    return [
        engine(
            number,
            domain=draw(st.sampled_from("de")),
            layer_rate=draw(st.sampled_from((500.0, 1000.0, 1700.0, 4000.0))),
            layer_capacity=draw(st.integers(2, 8)),
            link_rate=draw(st.sampled_from((100.0, 2000.0, 20000.0))),
            draining=draw(st.integers(0, 19)) == 19,
        )
        for number in range(draw(st.integers(8, 28)))
    ]


def first_chains(pipelines, engines):
    return plan_chains(
        pipelines=pipelines, engines=engines, chains=(), base_index=1
    ).chains


def improve(pipelines, engines, chains, serving=None, **options):
    """Improve chains; by default all of them serve."""
    known = {chain.chain_id for chain in chains}
    return improve_chains(
        chains,
        pipelines=pipelines,
        engines=engines,
        serving=known if serving is None else serving,
        **options,
    )


class ImproveTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        # Two slow chains of three engines each; as many fast engines joined later.
        self.engines = [engine(n, domain="d") for n in range(6)]
        self.chains = list(first_chains([TWELVE_LAYERS], self.engines))
        fast = [engine(n, domain="d", layer_rate=3000.0) for n in range(6, 12)]
        self.engines += fast

    def test_one_chain_at_a_time_keeps_id_and_head(self):
        first, second = self.chains
        self.assertEqual([250.0, 250.0], [first.rate, second.rate])
        after, untouched = improve([TWELVE_LAYERS], self.engines, self.chains)
        self.assertEqual(second, untouched)
        self.assertGreaterEqual(after.rate, MIN_REBUILD_GAIN * first.rate)
        self.assertEqual(first.chain_id, after.chain_id)
        self.assertEqual(first.epoch + 1, after.epoch)
        self.assertEqual(first.stages[0].agent_id, after.stages[0].agent_id)

    def test_chains_change_only_while_all_replicas_serve(self):
        serving = {self.chains[1].chain_id}
        after = improve([TWELVE_LAYERS], self.engines, self.chains, serving)
        self.assertEqual(self.chains, after)
        more = replace(TWELVE_LAYERS, replicas=3)
        self.assertEqual(self.chains, improve([more], self.engines, self.chains))
        one = replace(TWELVE_LAYERS, replicas=1)
        only = self.chains[:1]
        self.assertEqual(only, improve([one], self.engines, only))

    def test_chains_do_not_change_while_an_engine_drains_or_is_lost(self):
        drained = [replace(self.engines[0], draining=True), *self.engines[1:]]
        self.assertEqual(self.chains, improve([TWELVE_LAYERS], drained, self.chains))
        self.assertEqual(
            self.chains, improve([TWELVE_LAYERS], self.engines[1:], self.chains)
        )

    def test_chains_do_not_change_for_a_small_gain(self):
        # With three of these engines, each for one layer, a chain would have a rate of
        # 300 instead of 250.
        engines = [replace(e, layer_rate=300.0) for e in self.engines[6:]]
        engines = self.engines[:6] + engines
        self.assertEqual(self.chains, improve([TWELVE_LAYERS], engines, self.chains))

    def test_spares_are_not_used(self):
        after = improve([TWELVE_LAYERS], self.engines, self.chains, spares=6)
        self.assertEqual(self.chains, after)

    def test_one_chain_leaves_fast_engines_to_the_other(self):
        chains = self.chains
        for _ in range(ROUNDS):
            chains = improve([TWELVE_LAYERS], self.engines, chains)
        for before, after in zip(self.chains, chains, strict=True):
            self.assertGreaterEqual(after.rate, MIN_REBUILD_GAIN * before.rate)

    @SETTINGS
    @given(PIPELINES, late_pools(), st.integers(0, 2))
    def test_late_engines_end_in_a_fixed_point(self, pipelines, engines, spares):
        chains = ()
        known = engines[: len(engines) // 2]
        for index in range(1, ROUNDS):
            # Like control, improves chains only when nothing else changes.
            planned = plan_chains(
                pipelines=pipelines,
                engines=known,
                chains=chains,
                spares=spares,
                base_index=index,
            ).chains
            after = planned
            if planned == chains:
                after = tuple(improve(pipelines, known, chains, spares=spares))
                self.check_step(chains, after, pipelines, known)
            if after == chains and len(known) == len(engines):
                return
            if after == chains:
                known = known + engines[len(known) :]
            chains = after
            known = load(known, chains)
        self.fail("chains go on changing")

    def check_step(self, before, after, pipelines, engines):
        # Planning with the improved chains must keep them; checks the resulting plan.
        plan = plan_chains(pipelines=pipelines, engines=engines, chains=after)
        self.assertEqual([], problems(plan, pipelines, engines))
        self.assertEqual((), plan.removed)
        changed = []
        for old, new in zip(before, after, strict=True):
            if old != new:
                changed.append(new.pipeline)
                self.assertGreaterEqual(new.rate, MIN_REBUILD_GAIN * old.rate)
                self.assertEqual(old.chain_id, new.chain_id)
                self.assertEqual(old.epoch + 1, new.epoch)
                self.assertEqual(old.stages[0].agent_id, new.stages[0].agent_id)
        self.assertEqual(len(set(changed)), len(changed))
