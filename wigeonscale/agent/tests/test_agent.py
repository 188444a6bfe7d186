import asyncio

from wigeonscale.agent.tests.support import (
    ReachableService,
    connect,
    start_chain,
    start_service,
)
from wigeonscale.ports import HttpAnswer
from wigeonscale.testing import AsyncTestCase
from wigeonscale.testing.fake_engine import expected_tokens
from wigeonscale.wire import wire_pb2 as wire

LAYERS = 6


class EchoService(ReachableService):
    def __init__(self):
        self.calls = []
        self.gate = asyncio.Event()
        self.gate.set()

    async def call(self, method, path, headers, body, timeout_s=60.0):
        self.calls.append((method, path, body))
        await self.gate.wait()
        return HttpAnswer(status=200, headers=(("X-A", "b"),), body=body)


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
            want = expected_tokens(f"find person {n}", LAYERS, 12)
            self.assertEqual(want, client.texts(dispatch_id))
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
