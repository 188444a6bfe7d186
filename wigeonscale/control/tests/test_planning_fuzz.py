"""Random announcements and rules: planning raises nothing and the state takes plans."""

from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonscale.control.planning import (
    chain_plan,
    engine_spec,
    place_command,
    plan_placement,
)
from wigeonscale.rules import Pipeline
from wigeonscale.state import ControlState
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire

INT32 = st.one_of(st.integers(-1, 9), st.sampled_from((-(2**31), 2**31 - 1)))
rates = st.sampled_from((0.0, 1e-300, 500.0, 1000.0, 1e300))
backends = st.lists(
    st.builds(
        wire.Backend,
        agent_id=st.sampled_from([f"e{number}" for number in range(9)]),
        incarnation=st.integers(1, 3),
        address=st.sampled_from(("a:1", "b:1", "", "c:1")),
        domain=st.sampled_from("de"),
        region=st.sampled_from(("r", "s")),
        kind=st.sampled_from((wire.ENGINE, wire.ENGINE, wire.SERVICE)),
        model=st.sampled_from("mn"),
        layer_rate=rates,
        layer_capacity=st.one_of(st.integers(0, 9), st.just(2**31 - 1)),
        link_rate=rates,
        first_layer=INT32,
        last_layer=INT32,
        draining=st.sampled_from((False, False, True)),
    ),
    max_size=10,
)
pipelines = st.lists(
    st.builds(
        Pipeline,
        name=st.sampled_from("pq"),
        model=st.sampled_from("mn"),
        layers=st.integers(1, 9),
        replicas=st.integers(0, 3),
        stages=st.integers(0, 2),
    ),
    unique_by=lambda pipeline: pipeline.name,
    max_size=2,
)


class PlanningFuzzTest(AsyncTestCase):
    @settings(derandomize=True, deadline=None, max_examples=100, database=None)
    @given(st.lists(st.tuples(backends, pipelines), min_size=1, max_size=4))
    def test_plans_of_any_announcements_are_accepted(self, rounds):
        state = ControlState()
        for announced, wanted in rounds:
            for backend in announced:
                announce = wire.Announce(backend=backend, replica="c1")
                self.apply(state, wire.Command(announce=announce))
            result = self.apply(state, self.plan(state, wanted))
            self.assertEqual("", result.kind, result.message)

    def plan(self, state, wanted):
        names = sorted(member.backend.agent_id for member in state.members)
        specs = [engine_spec(state, name) for name in names]
        active = [chain for chain in state.chains.planned() if not chain.retiring]
        plan = plan_placement(
            pipelines=wanted,
            engines=[spec for spec in specs if spec is not None],
            chains=[chain_plan(chain) for chain in active],
            serving={chain.chain_id for chain in state.chains if chain.ready},
            loaded={chain.chain_id for chain in active if chain.ready},
            base_index=state.index,
        )
        return place_command(plan, active, wanted, state.placement_index)

    def apply(self, state, command):
        return state.apply(state.index + 1, 1, command.SerializeToString())
