"""Links to agents: lost connections, and items that cannot be processed."""

import asyncio

from wigeonscale.dispatch import (
    AgentLinks,
    AnswerRecord,
    DispatchStream,
    KeepaliveLimits,
)
from wigeonscale.dispatch.links import FLAP_LIFETIME_S
from wigeonscale.dispatch.tests.fake_agent import WORDS, FakeAgent
from wigeonscale.errors import ErrorKind
from wigeonscale.ports import SystemClock
from wigeonscale.testing import AsyncTestCase, ManualClock
from wigeonscale.wire import wire_pb2 as wire


class LinksTest(AsyncTestCase):
    async def prepare(self):
        self.agent = FakeAgent()
        await self.agent.start()
        self.addCleanup(self.agent.stop)
        self.gone = []
        self.links = self.new_links()

    def new_links(self) -> AgentLinks:
        # A long limit for unresponsive agents: these tests break connections
        # themselves.
        links = AgentLinks(
            entry_id="e1",
            clock=SystemClock(),
            on_gone=self.gone.append,
            limits=KeepaliveLimits(interval_s=0.05, reconnect_checks=400),
        )
        self.addCleanup(links.close)
        return links

    def add_stream(self, dispatch_id: str) -> DispatchStream:
        stream = DispatchStream(
            dispatch_id=dispatch_id,
            target=self.agent.target,
            organisation="o",
            record=AnswerRecord(),
            opening=wire.Open(dispatch_id=dispatch_id, generate=wire.Generate()),
        )
        self.links.add_stream(stream)
        return stream

    async def read_all(self, stream: DispatchStream) -> list[str]:
        texts = []
        while new := await stream.read():
            texts += new
        stream.detach()
        return texts

    async def test_dispatch_added_while_an_idle_connection_ends_is_served(self):
        # The dispatch is added a number of event loop iterations after the loss.
        for turns in range(12):
            await self.read_all(self.add_stream(f"first-{turns}@a1"))
            (supervisor,) = self.links._supervisors[self.agent.target]
            supervisor._reader.cancel()
            for _ in range(turns):
                await asyncio.sleep(0)
            stream = self.add_stream(f"then-{turns}@a1")
            self.assertEqual(list(WORDS), await self.read_all(stream))
            await self.links.close()
            self.links = self.new_links()
        self.assertEqual([], self.gone)

    async def test_only_short_lived_connections_count_as_flapping(self):
        clock = ManualClock()
        links = AgentLinks(entry_id="e1", clock=clock)
        supervisor = links._start_supervisor(self.agent.target)
        self.assertEqual([False] * 4, [supervisor._is_flapping() for _ in range(4)])
        self.assertTrue(supervisor._is_flapping())
        await clock.advance(FLAP_LIFETIME_S)
        self.assertFalse(supervisor._is_flapping())
        await links.close()

    async def test_item_that_cannot_be_processed_ends_its_own_dispatch_only(self):
        link = self.links.new_link(self.agent.target)
        bad, good = self.add_stream("bad@a1"), self.add_stream("good@a1")
        bad.record = None
        link.streams = {"bad@a1": bad, "good@a1": good}
        run = wire.TokenRun(texts=["x "], ids=[1])
        items = [
            wire.DispatchItem(dispatch_id=each, tokens=run)
            for each in ("bad@a1", "good@a1")
        ]
        link._receive(wire.DispatchEvent(items=items))
        self.assertEqual(ErrorKind.INTERNAL, bad.error.kind)
        self.assertEqual(["x "], good.record.texts)
