"""Random engines and models: each planned range is one that the engine can hold."""

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonscale.layers import Holder, LayerRange, ModelSize, plan_layers
from wigeonscale.testing import AsyncTestCase

models = st.builds(
    ModelSize,
    layers=st.integers(1, 12),
    layer_mb=st.sampled_from((1.0, 100.0, 350.0, 2000.0)),
    token_mb=st.sampled_from((0.0, 0.01, 1.0)),
    room_tokens=st.sampled_from((0.0, 100.0, 50_000.0)),
    request_tokens=st.sampled_from((0.0, 90.0)),
    slots=st.sampled_from((0, 4, 96)),
    slowdown=st.sampled_from((0.0, 0.1)),
)
engines = st.lists(
    st.builds(
        Holder,
        backend_id=st.just("e"),
        domain=st.sampled_from("ab"),
        size_mb=st.sampled_from((50.0, 300.0, 1000.0, 4000.0)),
        pace=st.sampled_from((1.0, 3.0, 16.0)),
        held=st.one_of(
            st.just(LayerRange(0, 0)),
            st.builds(LayerRange, st.integers(0, 12), st.integers(0, 13)),
        ),
        is_available=st.sampled_from((True, True, True, False)),
        is_settled=st.sampled_from((True, True, True, False)),
    ),
    max_size=10,
).map(lambda found: [replace(h, backend_id=f"e{i}") for i, h in enumerate(found)])


class PlanFuzzTest(AsyncTestCase):
    @settings(derandomize=True, deadline=None, max_examples=600, database=None)
    @given(engines, models)
    def test_ranges_fit_the_model_and_the_memory(self, holders, model):
        by_name = {holder.backend_id: holder for holder in holders}
        for name, layers in plan_layers(holders, model).items():
            self.assertTrue(model.contains(layers), (name, layers))
            needed_mb = layers.count * model.layer_mb
            self.assertTrue(needed_mb <= by_name[name].size_mb, (name, layers))
