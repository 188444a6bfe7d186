import asyncio

from wigeonscale.adapters import open_channel
from wigeonscale.agent.agent import STOPPING_GRACE_S
from wigeonscale.agent.tests.support import (
    ReachableService,
    connect,
    start_chain,
    start_service,
)
from wigeonscale.ports import HttpResponse
from wigeonscale.testing import AsyncTestCase, ManualClock
from wigeonscale.testing.fake_engine import expected_tokens
from wigeonscale.wire import wire_pb2 as wire
from wigeonscale.wire import wire_pb2_grpc

LAYERS = 6


class EchoService(ReachableService):
    def __init__(self):
        self.calls = []
        self.gate = asyncio.Event()
        self.gate.set()

    async def call(self, method, path, headers, body, timeout_s=60.0):
        self.calls.append((method, path, body))
        await self.gate.wait()
        return HttpResponse(status=200, headers=(("X-A", "b"),), body=body)


class GenerateTest(AsyncTestCase):
    async def test_streams_tokens_through_three_stages(self):
        _, nodes, chain = await start_chain(self)
        client = await connect(self, nodes[0])
        ids = [
            await client.generate(chain, f"find person {n}".encode(), 12)
            for n in range(20)
        ]
        for n, dispatch_id in enumerate(ids):
            last = await client.end(dispatch_id)
            self.assertEqual(
                (12, "length"), (last.done.tokens, last.done.finish_reason)
            )
            expected = expected_tokens(f"find person {n}", LAYERS, 12)
            self.assertEqual(expected, client.texts(dispatch_id))
            self.assertEqual("accepted", client.kinds(dispatch_id)[0])


class CallTest(AsyncTestCase):
    async def test_call_reaches_service_once(self):
        service = EchoService()
        control, node = await start_service(self, service)
        client = await connect(self, node)
        call = wire.Call(method="POST", path="/notes?x=1", body=b"note")
        for _ in range(2):
            await client.open("d1@s0", call=call, once=True, claim_key="k")
        last = await client.end("d1@s0")
        self.assertEqual((200, b"note"), (last.response.status, last.response.body))
        await node.agent.outcomes.flush()
        self.assertEqual([("POST", "/notes?x=1", b"note")], service.calls)
        self.assertEqual([wire.RAN], [o.state for o in control.outcomes])


class StoppingTest(AsyncTestCase):
    async def test_work_in_transit_is_refused_as_not_run_during_stop(self):
        clock = ManualClock()
        _, node = await start_service(self, EchoService(), clock=clock)
        client = await connect(self, node)
        leave = asyncio.create_task(node.agent.stop_accepting())
        await clock.advance(STOPPING_GRACE_S / 2)
        await client.open("d1@s0", call=wire.Call(path="/"), once=True, claim_key="k")
        refused = (await client.end("d1@s0")).refused
        self.assertEqual(("stopping", "not-run"), (refused.kind, refused.run_state))
        self.assertFalse(leave.done())
        await clock.advance(STOPPING_GRACE_S)
        await leave

    async def test_stage_without_lease_starts_no_sequence(self):
        control, nodes, chain = await start_chain(self)
        late = wire.SequenceStep(sequence_id="late#1", epoch=1, count=1, first=True)
        late.hidden = b'["a"]'
        request = wire.StepRequest(
            chain_id=chain.chain_id, epoch=1, rest=chain.stages[1:], steps=[late]
        )
        control.has_lease = False
        async with open_channel(nodes[1].address) as channel:
            steps = wire_pb2_grpc.AgentStub(channel).Steps()
            await steps.write(request)
            reply = await steps.read()
            steps.cancel()
        self.assertEqual(["lease-expired"], [r.kind for r in reply.results])
        self.assertEqual({}, nodes[1].engine.caches)
