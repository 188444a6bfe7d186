import asyncio
import dataclasses

import testscenarios

from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.pipelines.constants import SEQUENCE_IDLE_S
from wigeonscale.pipelines.links import PeerLostError
from wigeonscale.pipelines.stage import StageRunner
from wigeonscale.pipelines.tokens import encode_pieces
from wigeonscale.ports import EngineInfo
from wigeonscale.testing import AsyncTestCase, ManualClock
from wigeonscale.testing.fake_engine import FakeEngine
from wigeonscale.wire import wire_pb2 as wire

THIS_STAGE = wire.Stage(agent_id="a0", incarnation=7, first_layer=0, last_layer=3)
NEXT_STAGE = wire.Stage(
    agent_id="a1", incarnation=8, address="x", first_layer=4, last_layer=7
)


def step(position=0, *, count=1, sequence="d#1", epoch=1, attempt=1, **fields):
    return wire.SequenceStep(
        sequence_id=sequence,
        epoch=epoch,
        position=position,
        count=count,
        attempt=attempt,
        first=fields.pop("first", position == 0),
        hidden=encode_pieces(["x"] * count),
        **fields,
    )


def request(*steps, rest=(THIS_STAGE,), epoch=1, cancelled=()):
    return wire.StepRequest(
        batch_id=1,
        chain_id="c",
        epoch=epoch,
        rest=rest,
        steps=steps,
        cancelled=cancelled,
    )


class FakeLinks:
    def __init__(self):
        self.requests = []
        self.lost = False

    async def call(self, address, req):
        self.requests.append(req)
        if self.lost:
            raise PeerLostError(address=address)
        return wire.StepReply(
            results=[
                wire.StepResult(sequence_id=s.sequence_id, position=s.position)
                for s in req.steps
            ]
        )


class StageCase(AsyncTestCase):
    async def prepare(self):
        self.trace = []
        self.clock = ManualClock()
        self.links = FakeLinks()
        info = EngineInfo(model="m", first_layer=0, last_layer=3)
        self.engine = FakeEngine(name="e", info=info, trace=self.trace.append)
        self.failed_calls = []
        self.leaving = None
        self.stage = StageRunner(
            agent_id="a0",
            incarnations=lambda: [7],
            engine=self.engine,
            loaded=lambda: self.engine.state,
            links=self.links,
            clock=self.clock,
            check_admission=self.check_admission,
            on_engine_failed=lambda: self.failed_calls.append(1),
        )
        self.addCleanup(self.stage.close)

    def check_admission(self):
        if self.leaving:
            raise self.leaving

    async def run_one(self, *args, **kwargs):
        reply = await self.stage.run(request(*args, **kwargs))
        return reply.results[0]

    def positions(self):
        return [(r["sequence"], r["position"]) for r in self.trace]


class OrderTest(StageCase):
    async def test_next_position_runs_and_duplicate_is_answered(self):
        await self.run_one(step(count=2))
        first = await self.run_one(step(2))
        again = await self.run_one(step(2, attempt=2))
        self.assertEqual(first.token, again.token)
        self.assertEqual((1, 2), (first.attempt, again.attempt))
        self.assertEqual([("d#1", 0), ("d#1", 2)], self.positions())

    async def test_duplicate_of_a_running_step_waits_for_it(self):
        self.engine.step_s = 0.01
        one, two = await asyncio.gather(
            self.run_one(step()), self.run_one(step(attempt=2))
        )
        self.assertEqual(one.token, two.token)
        self.assertEqual([("d#1", 0)], self.positions())

    async def test_two_steps_of_one_sequence_in_one_iteration(self):
        async with asyncio.timeout(5):
            reply = await self.stage.run(request(step(), step(1)))
        self.assertEqual(["", "bad-request"], [r.kind for r in reply.results])
        self.assertEqual([("d#1", 0)], self.positions())

    async def test_last_step_is_kept_for_a_resend(self):
        first = await self.run_one(step(last=True))
        again = await self.run_one(step(last=True, attempt=2))
        self.assertEqual(first.token, again.token)
        self.assertEqual((0, 1), (self.stage.active, len(self.trace)))

    async def test_cancelled_run_never_restarts(self):
        await self.run_one(step())
        await self.stage.run(request(cancelled=["d#1", "d#2"]))
        late = [await self.run_one(step(1)), await self.run_one(step(sequence="d#2"))]
        self.assertEqual([ErrorKind.CANCELLED] * 2, [r.kind for r in late])
        self.assertEqual([("d#1", 0)], self.positions())
        await asyncio.sleep(0)
        self.assertEqual({}, self.engine.caches)

    async def test_reloaded_engine_runs_nothing(self):
        # The agent has not yet noticed that the engine was reloaded.
        known = self.engine.state
        self.stage._loaded = lambda: known
        self.engine.state = dataclasses.replace(known, first_layer=4, last_layer=7)
        result = await self.run_one(step())
        self.assertEqual((ErrorKind.BACKEND_FAILED, []), (result.kind, self.trace))

    async def test_failed_run_accepts_no_further_step(self):
        await self.run_one(step())
        self.engine.failing = True
        broken = await self.run_one(step(1))
        self.engine.failing = False
        after = await self.run_one(step(2))
        self.assertEqual([ErrorKind.BACKEND_FAILED] * 2, [broken.kind, after.kind])
        self.assertEqual(("a0", [1]), (broken.failed_agent, self.failed_calls))
        self.assertFalse(broken.unreachable)
        self.assertEqual([("d#1", 0)], self.positions())

    async def test_idle_sequence_is_ended(self):
        await self.run_one(step())
        await self.clock.advance(SEQUENCE_IDLE_S + 1)
        await self.run_one(step(sequence="d2#1"))
        self.assertEqual(1, self.stage.active)


class RefusalTest(testscenarios.WithScenarios, StageCase):
    scenarios = [
        ("skipped", {"steps": [step(2)], "kind": "bad-request"}),
        ("repeated", {"steps": [step(0, count=2)], "kind": "bad-request"}),
        ("unknown", {"steps": [step(1, sequence="d2#1")], "kind": "bad-request"}),
        ("epoch", {"steps": [step(1, epoch=2)], "epoch": 2, "kind": "stale-epoch"}),
        ("crossed", {"steps": [step(1)], "epoch": 2, "kind": "stale-epoch"}),
        (
            "old epoch",
            {"steps": [step(sequence="d2#1", epoch=0)], "epoch": 0},
        ),
        (
            "incarnation",
            {
                "steps": [step(1)],
                "rest": [wire.Stage(agent_id="a0", incarnation=6, last_layer=3)],
                "kind": "stale-incarnation",
            },
        ),
        (
            "agent",
            {"steps": [step(1)], "rest": [NEXT_STAGE], "kind": "bad-request"},
        ),
        (
            "layers",
            {
                "steps": [step(1)],
                "rest": [wire.Stage(agent_id="a0", incarnation=7, last_layer=4)],
                "kind": "stale-epoch",
            },
        ),
    ]
    epoch = 1
    rest = (THIS_STAGE,)
    kind = "stale-epoch"

    async def test_refused_and_not_run(self):
        await self.run_one(step())
        if self.id().endswith("(repeated)"):
            await self.run_one(step(1))
        before = self.positions()
        result = await self.run_one(*self.steps, epoch=self.epoch, rest=self.rest)
        self.assertEqual(self.kind, result.kind)
        self.assertEqual(before, self.positions())
        self.assertEqual("", (await self.run_one(step(len(before)))).kind)


class ForwardTest(StageCase):
    async def test_hidden_state_and_cancellations_are_forwarded(self):
        await self.stage.run(
            request(step(), rest=[THIS_STAGE, NEXT_STAGE], cancelled=["old#1"])
        )
        forwarded = self.links.requests[0]
        self.assertEqual(["old#1"], list(forwarded.cancelled))
        self.assertEqual(["a1"], [s.agent_id for s in forwarded.rest])
        self.assertNotEqual(step().hidden, forwarded.steps[0].hidden)

    async def test_lost_next_stage_is_reported(self):
        self.links.lost = True
        result = await self.run_one(step(), rest=[THIS_STAGE, NEXT_STAGE])
        self.assertEqual(("a1", True), (result.failed_agent, result.unreachable))

    async def test_leaving_stage_continues_but_starts_no_sequence(self):
        await self.run_one(step())
        self.leaving = WigeonscaleError(ErrorKind.BACKEND_LEAVING, "leaving")
        refused = await self.run_one(step(sequence="d2#1"))
        self.assertEqual(ErrorKind.BACKEND_LEAVING, refused.kind)
        self.assertEqual("", (await self.run_one(step(1))).kind)
