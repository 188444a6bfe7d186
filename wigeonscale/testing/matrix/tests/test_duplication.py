"""A duplicator forwards each request and each reply twice."""

import asyncio

from wigeonscale.adapters.channels import new_server, open_channel
from wigeonscale.testing import AsyncTestCase, rpcs_ended
from wigeonscale.testing.matrix.duplication import Duplicator
from wigeonscale.wire import wire_pb2 as wire
from wigeonscale.wire import wire_pb2_grpc

WAIT_TIMEOUT_S = 30


class Echo(wire_pb2_grpc.AgentServicer):
    async def Steps(self, request_iterator, context):  # noqa: N802
        async for req in request_iterator:
            yield wire.StepReply(batch_id=req.batch_id)


class DuplicatorTest(AsyncTestCase):
    async def test_requests_and_replies_are_duplicated(self):
        self.addCleanup(rpcs_ended)
        server, address = new_server("127.0.0.1:0")
        wire_pb2_grpc.add_AgentServicer_to_server(Echo(), server)
        await server.start()
        self.addCleanup(server.stop, None)
        duplicator = Duplicator(target=address)
        await duplicator.start()
        self.addCleanup(duplicator.close)
        async with (
            asyncio.timeout(WAIT_TIMEOUT_S),
            open_channel(duplicator.address) as channel,
        ):
            call = wire_pb2_grpc.AgentStub(channel).Steps()
            await call.write(wire.StepRequest(batch_id=7))
            replies = [(await call.read()).batch_id for _ in range(4)]
            call.cancel()
        self.assertEqual([7] * 4, replies)
