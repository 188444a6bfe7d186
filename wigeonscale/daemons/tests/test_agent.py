import asyncio
import logging
import os
import signal

from wigeonscale.adapters import open_channel
from wigeonscale.config import AgentSettings
from wigeonscale.daemons.agent import run_agent
from wigeonscale.membership.tests.fake_control import FakeControl
from wigeonscale.ports import EngineInfo
from wigeonscale.testing import AsyncTestCase, rpcs_ended
from wigeonscale.testing.fake_engine import FakeEngine, expected_tokens, serve_engine
from wigeonscale.wire import wire_pb2 as wire
from wigeonscale.wire import wire_pb2_grpc

LIMIT_S = 30


class AgentDaemonTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        root = logging.getLogger()
        self.addCleanup(root.setLevel, root.level)
        self.addCleanup(root.handlers.__setitem__, slice(None), list(root.handlers))

    async def prepare(self):
        self.addCleanup(rpcs_ended)
        self.control = await FakeControl(node_id="c0").start()
        self.addCleanup(self.control.stop)
        self.engine = FakeEngine(name="e", info=EngineInfo(model="m"))
        runner, url = await serve_engine(self.engine)
        self.addCleanup(runner.cleanup)
        cfg = AgentSettings(
            name="a0",
            domain="d",
            http="127.0.0.1:0",
            grpc="127.0.0.1:0",
            control=(self.control.address,),
            kind="engine",
            backend=url,
            heartbeat_s=0.05,
            log_level="ERROR",
        )
        self.daemon = asyncio.create_task(run_agent(cfg))
        self.addCleanup(self.end_daemon)

    async def end_daemon(self):
        self.daemon.cancel()
        await asyncio.gather(self.daemon, return_exceptions=True)

    async def announced(self, condition):
        async with asyncio.timeout(LIMIT_S):
            while True:
                announce = (await self.control.received.get()).announce
                if announce.agent_id and condition(announce):
                    return announce

    async def load(self):
        load = wire.LoadLayers(model="m", first_layer=0, last_layer=1)
        order = wire.Order(order_id="o", term=1, sequence=1, load=load)
        await self.control.push(wire.WatchEvent(order=order))
        return await self.announced(lambda backend: backend.last_layer == 1)

    async def test_agent_announces_serves_and_completes_requests_on_sigterm(self):
        await self.announced(lambda backend: backend.model == "m")
        backend = await self.load()
        stage = wire.Stage(
            agent_id="a0",
            incarnation=backend.incarnation,
            address=backend.address,
            last_layer=1,
        )
        chain = wire.Chain(chain_id="c", epoch=1, stages=[stage], ready=True)
        work = wire.Generate(chain=chain, prompt=b"p", max_tokens=200)
        open_ = wire.Open(
            dispatch_id="d@a0",
            agent_incarnation=backend.incarnation,
            organisation="o",
            generate=work,
        )
        self.engine.step_s = 0.001
        async with asyncio.timeout(LIMIT_S), open_channel(backend.address) as channel:
            stream = wire_pb2_grpc.AgentStub(channel).Dispatch()
            await stream.write(wire.DispatchRequest(open=open_))
            texts, last = [], None
            async for event in stream:
                for item in event.items:
                    last = item.WhichOneof("body")
                    texts += item.tokens.texts
                if last == "tokens" and not event.load.leaving:
                    os.kill(os.getpid(), signal.SIGTERM)
                if last == "done":
                    break
            stream.cancel()
            self.assertEqual(expected_tokens("p", 2, 200), texts)
            await self.announced(lambda backend: backend.draining)
            self.assertEqual(0, await self.daemon)
