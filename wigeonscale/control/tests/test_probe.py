"""Tests of probing agents over loopback connections."""

import asyncio

from wigeonscale.adapters.channels import new_server
from wigeonscale.agent.servicer import AgentServicer
from wigeonscale.control import probe_agent
from wigeonscale.control.probe import PROBE_INTERVAL_S, ProbeCache
from wigeonscale.ports import ProbeResult, SystemClock
from wigeonscale.testing import AsyncTestCase, ManualClock, rpcs_ended
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
            dispatch_handler=_PongOnly(),
            stage=None,
            load=wire.LoadWord,
            clock=SystemClock(),
        )
        wire_pb2_grpc.add_AgentServicer_to_server(servicer, server)
        await server.start()
        self.addCleanup(server.stop, None)
        answer = await probe_agent(address, timeout_s=LIMIT_S)
        self.assertIs(ProbeResult.ANSWERED, answer)

    async def test_nothing_listens(self):
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        server.close()
        await server.wait_closed()
        answer = await probe_agent(f"{host}:{port}", timeout_s=LIMIT_S)
        self.assertIs(ProbeResult.REFUSED, answer)

    async def test_process_that_only_accepts_connections_does_not_answer(self):
        taken = []
        server = await asyncio.start_server(
            lambda _, writer: taken.append(writer), "127.0.0.1", 0
        )
        host, port = server.sockets[0].getsockname()
        answer = await probe_agent(f"{host}:{port}")
        self.assertIs(ProbeResult.NO_ANSWER, answer)
        for writer in taken:
            writer.close()
        server.close()
        await server.wait_closed()


class ProbeCacheTest(AsyncTestCase):
    async def prepare(self):
        self.clock = ManualClock()
        self.asked = []
        self.probes = ProbeCache(
            probe=self.probe, clock=self.clock, on_answer=lambda: None
        )
        self.addCleanup(self.probes.close)

    async def probe(self, address):
        self.asked.append(asyncio.get_running_loop().create_future())
        return await self.asked[-1]

    async def answer(self, since):
        answer = self.probes.answer("a", "address", since)
        await asyncio.sleep(0)
        return answer, len(self.asked)

    async def reply(self, answer):
        self.asked[-1].set_result(answer)
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    async def test_answers_are_refreshed_and_earlier_ones_ignored(self):
        self.assertEqual((None, 1), await self.answer(0.0))
        self.assertEqual((None, 1), await self.answer(0.0))
        await self.reply(ProbeResult.ANSWERED)
        self.assertEqual((ProbeResult.ANSWERED, 1), await self.answer(0.0))
        await self.clock.advance(PROBE_INTERVAL_S)
        self.assertEqual((ProbeResult.ANSWERED, 2), await self.answer(0.0))
        await self.clock.advance(PROBE_INTERVAL_S)
        suspected_at = self.clock.now()
        self.assertEqual((None, 2), await self.answer(suspected_at))
        await self.reply(ProbeResult.ANSWERED)
        self.assertEqual((None, 3), await self.answer(suspected_at))
        await self.reply(ProbeResult.REFUSED)
        self.assertEqual((ProbeResult.REFUSED, 3), await self.answer(suspected_at))
        self.probes.retain(set())
        self.assertEqual((None, 4), await self.answer(suspected_at))
