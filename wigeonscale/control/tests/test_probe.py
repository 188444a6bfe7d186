"""Tests of asking an agent itself, on loopback."""

import asyncio

from wigeonscale.adapters.channels import new_server
from wigeonscale.agent.servicer import AgentServicer
from wigeonscale.control import ProbeAnswer, probe_agent
from wigeonscale.ports import SystemClock
from wigeonscale.testing import AsyncTestCase, rpcs_ended
from wigeonscale.wire import wire_pb2 as wire
from wigeonscale.wire import wire_pb2_grpc

LIMIT_S = 30


class _PongOnly:
    def handle(self, req, stream):
        stream.pong(req.ping.sent_us)


class ProbeTest(AsyncTestCase):
    async def prepare(self):
        self.addCleanup(rpcs_ended)

    async def test_agent_answers(self):
        server, address = new_server("127.0.0.1:0")
        servicer = AgentServicer(
            dispatcher=_PongOnly(), stage=None, load=wire.LoadWord, clock=SystemClock()
        )
        wire_pb2_grpc.add_AgentServicer_to_server(servicer, server)
        await server.start()
        self.addCleanup(server.stop, None)
        answer = await probe_agent(address, timeout_s=LIMIT_S)
        self.assertIs(ProbeAnswer.ANSWERED, answer)

    async def test_nothing_listens(self):
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        server.close()
        await server.wait_closed()
        answer = await probe_agent(f"{host}:{port}", timeout_s=LIMIT_S)
        self.assertIs(ProbeAnswer.REFUSED, answer)

    async def test_process_that_only_takes_connections_does_not_answer(self):
        taken = []
        server = await asyncio.start_server(
            lambda _, writer: taken.append(writer), "127.0.0.1", 0
        )
        host, port = server.sockets[0].getsockname()
        answer = await probe_agent(f"{host}:{port}")
        self.assertIs(ProbeAnswer.NOTHING, answer)
        for writer in taken:
            writer.close()
        server.close()
        await server.wait_closed()
