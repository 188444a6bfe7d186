import asyncio
from unittest import mock

from wigeonscale.agent.tests.support import until
from wigeonscale.errors import ErrorKind
from wigeonscale.pipelines.constants import (
    MAX_POSITIONS_PER_ITERATION,
    MAX_PREFILL_DELAY_S,
)
from wigeonscale.pipelines.cost import IterationCost
from wigeonscale.pipelines.generation import Generation
from wigeonscale.pipelines.head import ChainHead
from wigeonscale.testing import AsyncTestCase, ManualClock
from wigeonscale.wire import wire_pb2 as wire

CHAIN = wire.Chain(
    chain_id="c",
    epoch=1,
    stages=[wire.Stage(agent_id="a0"), wire.Stage(agent_id="a1")],
    ready=True,
)


class BlockingStage:
    """Records iterations and blocks them until ``gate`` is set."""

    def __init__(self):
        self.cost = IterationCost()
        self.iterations = []
        self.failure = {}
        self.gate = asyncio.Event()

    async def run(self, req):
        self.iterations.append([step.count for step in req.steps])
        await self.gate.wait()
        return wire.StepReply(
            results=[
                wire.StepResult(
                    sequence_id=s.sequence_id, position=s.position, **self.failure
                )
                for s in req.steps
            ]
        )


class BatchTest(AsyncTestCase):
    async def prepare(self):
        self.stage = BlockingStage()
        self.ends = []
        self.suspected = []
        self.head = ChainHead(
            agent_id="a0",
            stage=self.stage,
            links=None,
            chains=lambda chain_id: CHAIN,
            suspect=lambda agent_id, incarnation: self.suspected.append(agent_id),
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

    async def test_one_iteration_per_stage_and_one_extra_are_in_flight(self):
        for pieces in range(1, 10):
            self.start(pieces)
        await until(lambda: len(self.stage.iterations) == 3)
        self.stage.gate.set()
        await until(lambda: len(self.ends) == 9)
        self.assertEqual(["length"] * 9, self.ends)
        # Nine sequences form three even batches after the first iterations return.
        self.assertEqual(3, max(len(counts) for counts in self.stage.iterations))

    async def test_high_fixed_cost_disables_the_extra_iteration(self):
        for size in (1, 8):
            self.stage.cost.observe(size, 0.02)
        for pieces in range(1, 5):
            self.start(pieces)
        await until(lambda: self.stage.iterations)
        self.assertEqual([[1], [2]], self.stage.iterations)

    async def test_only_an_unreachable_stage_is_suspected(self):
        self.stage.gate.set()
        for unreachable in (False, True):
            self.stage.failure = {
                "kind": ErrorKind.STALE_EPOCH,
                "failed_agent": "a1",
                "unreachable": unreachable,
            }
            before = len(self.stage.iterations)
            generation = self.start(1)
            await until(lambda before=before: len(self.stage.iterations) > before)
            await until(lambda g=generation: g.failures)
            self.assertEqual(["a1"] if unreachable else [], self.suspected)
            self.head.cancel(generation)

    async def test_long_prompts_are_split_while_others_run(self):
        for size in (1, 101):
            self.stage.cost.observe(size, 0.0002 * size)
        # Three iterations are in flight, so each gets a third of the maximum delay.
        max_positions = int(MAX_PREFILL_DELAY_S / 3 / 0.0002)
        lengths = (1, 1, 1, 500, 900, 2000)
        for pieces in lengths:
            self.start(pieces, tokens=1)
        self.stage.gate.set()
        await until(lambda: len(self.ends) == len(lengths))
        iterations = self.stage.iterations
        self.assertEqual(sum(lengths), sum(map(sum, iterations)))
        for counts in iterations[:10]:
            self.assertLessEqual(sum(counts) - counts.count(1), max_positions, counts)
        # The longest prompt is not limited any more once it is the only one left.
        self.assertGreater(iterations[-1][0], max_positions)

    async def test_iterations_respect_the_position_limit(self):
        half = MAX_POSITIONS_PER_ITERATION // 2
        lengths = [
            1,
            2,
            3,
            MAX_POSITIONS_PER_ITERATION + 1,
            *(half + n for n in range(1, 8)),
        ]
        endless = mock.patch.object(
            IterationCost, "positions_within", lambda cost, seconds: 1 << 30
        )
        with endless:
            for pieces in lengths:
                self.start(pieces, tokens=1)
            self.stage.gate.set()
            await until(lambda: len(self.ends) == len(lengths))
        iterations = self.stage.iterations
        self.assertLessEqual(max(map(sum, iterations)), MAX_POSITIONS_PER_ITERATION)
        self.assertEqual(sum(lengths), sum(map(sum, iterations)))
