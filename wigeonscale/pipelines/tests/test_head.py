import asyncio

from wigeonscale.agent.tests.support import until
from wigeonscale.pipelines.constants import MAX_BATCH_POSITIONS
from wigeonscale.pipelines.cost import IterationCost
from wigeonscale.pipelines.generation import Generation
from wigeonscale.pipelines.head import Head
from wigeonscale.testing import AsyncTestCase, ManualClock
from wigeonscale.wire import wire_pb2 as wire

CHAIN = wire.Chain(
    chain_id="c",
    epoch=1,
    stages=[wire.Stage(agent_id="a0"), wire.Stage(agent_id="a1")],
    ready=True,
)


class HeldStage:
    """Records iterations and answers them once it is let go."""

    def __init__(self):
        self.cost = IterationCost()
        self.iterations = []
        self.gate = asyncio.Event()

    async def run(self, req):
        self.iterations.append([step.count for step in req.steps])
        await self.gate.wait()
        return wire.StepReply(
            results=[
                wire.StepResult(sequence_id=s.sequence_id, position=s.position)
                for s in req.steps
            ]
        )


class BatchTest(AsyncTestCase):
    async def prepare(self):
        self.stage = HeldStage()
        self.ends = []
        self.head = Head(
            agent_id="a0",
            stage=self.stage,
            links=None,
            chains=lambda chain_id: CHAIN,
            suspect=lambda agent_id, incarnation: None,
            clock=ManualClock(),
            repair_timeout_s=1,
        )
        self.addCleanup(self.head.close)

    def start(self, pieces, tokens=2):
        generation = Generation(
            dispatch_id=f"g{pieces}",
            pieces=["x"] * pieces,
            produced=0,
            max_tokens=tokens,
            on_token=lambda token: None,
            on_end=self.ends.append,
            on_failed=self.ends.append,
        )
        self.head.start(generation, CHAIN)
        return generation

    async def test_one_iteration_a_stage_and_one_more_are_in_flight(self):
        for pieces in range(1, 10):
            self.start(pieces)
        await until(lambda: len(self.stage.iterations) == 3)
        self.stage.gate.set()
        await until(lambda: len(self.ends) == 9)
        self.assertEqual(["length"] * 9, self.ends)
        # Nine sequences go in three even parts once the first ones are back.
        self.assertEqual(3, max(len(counts) for counts in self.stage.iterations))

    async def test_flat_cost_takes_the_extra_iteration_away(self):
        for size in (1, 8):
            self.stage.cost.observe(size, 0.02)
        for pieces in range(1, 5):
            self.start(pieces)
        await until(lambda: self.stage.iterations)
        self.assertEqual([[1], [2]], self.stage.iterations)

    async def test_long_prompts_do_not_share_an_iteration(self):
        half = MAX_BATCH_POSITIONS // 2
        longer = [half + n for n in range(1, 8)] + [MAX_BATCH_POSITIONS + 1]
        for pieces in (1, 2, 3, *longer):
            self.start(pieces, tokens=1)
        self.stage.gate.set()
        await until(lambda: len(self.ends) == 11)
        for counts in self.stage.iterations:
            alone = len(counts) == 1
            self.assertTrue(alone or sum(counts) <= MAX_BATCH_POSITIONS, counts)
        self.assertEqual(11, sum(len(counts) for counts in self.stage.iterations))
