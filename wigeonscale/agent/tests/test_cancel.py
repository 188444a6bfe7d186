"""A cancelled dispatch continues only while another live reader is attached."""

from wigeonscale.agent.tests.support import connect, start_chain
from wigeonscale.pipelines.constants import ENTRY_TIMEOUT_S
from wigeonscale.testing import AsyncTestCase, ManualClock
from wigeonscale.testing.fake_engine import expected_tokens
from wigeonscale.wire import wire_pb2 as wire


class CancelTest(AsyncTestCase):
    async def prepare(self):
        self.clock = ManualClock()
        _, self.nodes, self.chain = await start_chain(self, clock=self.clock)
        self.table = self.nodes[0].agent.table
        self.held = self.nodes[1].engine._iteration_lock
        await self.held.acquire()

    async def open_and_attach(self, *entries):
        """Open a dispatch from the first entry and attach to it from the second."""
        first, second = [await connect(self, self.nodes[0]) for _ in entries]
        for client, entry_id in zip((first, second), entries, strict=True):
            await client.send(hello=wire.EntryHello(entry_id=entry_id))
        dispatch_id = await first.generate(self.chain, b"page one", 8)
        await first.wait(lambda: first.items(dispatch_id))
        attach = wire.Attach(dispatch_id=dispatch_id, organisation="o1")
        await second.send(attach=attach)
        await second.wait(lambda: second.items(dispatch_id))
        return first, second, dispatch_id

    async def cancel(self, client, dispatch_id):
        await client.send(cancel=wire.Cancel(dispatch_id=dispatch_id))
        await client.send(ping=wire.Ping(sent_us=7))
        await client.wait(lambda: any(event.pong_us == 7 for event in client.events))

    async def test_answer_read_by_another_entry_survives_cancel(self):
        await self.check_survives_cancel("e1", "e2")

    async def test_answer_read_on_another_stream_of_the_entry_survives_cancel(self):
        await self.check_survives_cancel("e1", "e1")

    async def check_survives_cancel(self, *entries):
        first, second, dispatch_id = await self.open_and_attach(*entries)
        await self.cancel(first, dispatch_id)
        for _ in range(10):
            await self.clock.jump(ENTRY_TIMEOUT_S / 2)
            await second.send(ping=wire.Ping(sent_us=8))
            received = len(second.events)
            await second.wait(lambda received=received: len(second.events) > received)
        self.held.release()
        await second.end(dispatch_id)
        self.assertEqual(expected_tokens("page one", 6, 8), second.texts(dispatch_id))

    async def test_reader_on_silent_connection_does_not_prevent_cancel(self):
        _, second, dispatch_id = await self.open_and_attach("e1", "e2")
        await self.clock.jump(ENTRY_TIMEOUT_S)
        await self.cancel(second, dispatch_id)
        self.assertEqual([], self.table.live())
        self.held.release()

    async def test_older_connection_of_same_entry_does_not_prevent_cancel(self):
        _, second, dispatch_id = await self.open_and_attach("e1", "e1")
        await self.cancel(second, dispatch_id)
        await self.clock.jump(ENTRY_TIMEOUT_S)
        self.assertEqual([], self.table.live())
        self.held.release()
