import asyncio

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from wigeonscale.pipelines.links import PeerLostError
from wigeonscale.pipelines.stage import StageRunner
from wigeonscale.ports import EngineInfo
from wigeonscale.testing import AsyncTestCase, ManualClock
from wigeonscale.testing.fake_engine import FakeEngine
from wigeonscale.wire import wire_pb2 as wire

GOOD_STAGE = wire.Stage(agent_id="a0", incarnation=7, last_layer=3)
# Most steps are valid, so that many pass the first checks; a mutation makes a step
# invalid or unusual.
MUTATIONS = (
    {"first": True},
    {"first": False},
    {"count": 2},
    {"count": 0},
    {"position": -1},
    {"epoch": 2},
    {"hidden": b"{"},
    {"hidden": b"7"},
    {"last": True},
    {"attempt": 2},
)
BAD_STAGES = (
    wire.Stage(agent_id="a1", incarnation=7, last_layer=3),
    wire.Stage(agent_id="a0", incarnation=6, last_layer=3),
    wire.Stage(agent_id="a0", incarnation=7, last_layer=2),
)


def build_step(sequence, position, mutation):
    fields = {
        "sequence_id": sequence,
        "epoch": 1,
        "position": position,
        "count": 1,
        "first": position == 0,
        "hidden": b'["x"]',
    }
    return wire.SequenceStep(**{**fields, **mutation})


steps = st.builds(
    build_step,
    st.sampled_from(["a#1", "b#1"]),
    st.sampled_from([0, 0, 1, 2]),
    st.sampled_from([{}] * len(MUTATIONS) + list(MUTATIONS)),
)
stages = st.sampled_from([GOOD_STAGE] * 12 + list(BAD_STAGES))
requests = st.builds(
    wire.StepRequest,
    chain_id=st.just("c"),
    epoch=st.sampled_from([1] * 9 + [2]),
    rest=st.lists(stages, min_size=0, max_size=2),
    steps=st.lists(steps, max_size=4),
    cancelled=st.lists(st.just("a#1"), max_size=1),
)


class NoLinks:
    async def call(self, address, req):
        raise PeerLostError(address=address)


class FuzzTest(AsyncTestCase):
    @seed(4)
    @settings(max_examples=200, deadline=None, database=None)
    @given(batch=st.lists(requests, min_size=1, max_size=6))
    def test_every_step_is_answered_and_none_runs_twice(self, batch):
        asyncio.run(self.run_batch(batch))

    async def run_batch(self, batch):
        trace = []
        engine = FakeEngine(
            name="e",
            info=EngineInfo(model="m", first_layer=0, last_layer=3),
            trace=trace.append,
        )
        stage = StageRunner(
            agent_id="a0",
            incarnations=lambda: [7],
            engine=engine,
            loaded=lambda: engine.state,
            links=NoLinks(),
            clock=ManualClock(),
        )
        async with asyncio.timeout(5):
            replies = await asyncio.gather(*(stage.run(req) for req in batch))
        for req, reply in zip(batch, replies, strict=True):
            asked = [step.sequence_id for step in req.steps]
            self.assertEqual(asked, [r.sequence_id for r in reply.results])
        ran = [(record["sequence"], record["position"]) for record in trace]
        self.assertEqual(len(set(ran)), len(ran))
        await stage.close()
