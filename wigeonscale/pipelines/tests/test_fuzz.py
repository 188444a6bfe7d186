import asyncio

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from wigeonscale.pipelines.stage import StageRunner
from wigeonscale.ports import EngineInfo
from wigeonscale.testing import AsyncTestCase, ManualClock
from wigeonscale.testing.fake_engine import FakeEngine
from wigeonscale.wire import wire_pb2 as wire

small = st.integers(-1, 3)
steps = st.builds(
    wire.SequenceStep,
    sequence_id=st.sampled_from(["", "a#1", "b#1", "b#2"]),
    epoch=small,
    position=small,
    count=small,
    attempt=small,
    first=st.booleans(),
    last=st.booleans(),
    hidden=st.sampled_from([b'["x"]', b'["x", "y"]', b"", b"{", b"\xff", b"7"]),
)
stages = st.builds(
    wire.Stage,
    agent_id=st.sampled_from(["a0", "a1"]),
    incarnation=st.integers(6, 7),
    last_layer=st.integers(2, 3),
)
requests = st.builds(
    wire.StepRequest,
    chain_id=st.sampled_from(["c", ""]),
    epoch=small,
    rest=st.lists(stages, max_size=1),
    steps=st.lists(steps, max_size=4),
    cancelled=st.lists(st.sampled_from(["a#1", "b#1"]), max_size=1),
)


class FuzzTest(AsyncTestCase):
    @seed(4)
    @settings(max_examples=200, deadline=None, derandomize=False, database=None)
    @given(batch=st.lists(requests, max_size=6))
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
            links=None,
            clock=ManualClock(),
        )
        async with asyncio.timeout(30):
            replies = await asyncio.gather(*(stage.run(req) for req in batch))
        for req, reply in zip(batch, replies, strict=True):
            asked = [step.sequence_id for step in req.steps]
            self.assertEqual(asked, [r.sequence_id for r in reply.results])
        ran = [(record["sequence"], record["position"]) for record in trace]
        self.assertEqual(len(set(ran)), len(ran))
        await stage.close()
