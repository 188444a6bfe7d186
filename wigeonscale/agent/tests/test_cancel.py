"""A cancelled dispatch that another caller reads goes on."""

from wigeonscale.agent.tests.support import connect, start_chain
from wigeonscale.testing import AsyncTestCase
from wigeonscale.testing.fake_engine import expected_tokens
from wigeonscale.wire import wire_pb2 as wire


class CancelTest(AsyncTestCase):
    async def test_answer_taken_up_by_another_entry_survives_the_first_ones_cancel(
        self,
    ):
        _, nodes, chain = await start_chain(self)
        first, second = await connect(self, nodes[0]), await connect(self, nodes[0])
        async with nodes[1].engine._busy:
            dispatch_id = await first.generate(chain, b"page one", 8)
            await first.wait(lambda: first.items(dispatch_id))
            attach = wire.Attach(dispatch_id=dispatch_id, organisation="o1")
            await second.send(attach=attach)
            await second.wait(lambda: second.items(dispatch_id))
            await first.send(cancel=wire.Cancel(dispatch_id=dispatch_id))
            await first.send(ping=wire.Ping(sent_us=7))
            await first.wait(lambda: any(event.pong_us == 7 for event in first.events))
        await second.end(dispatch_id)
        self.assertEqual(expected_tokens("page one", 6, 8), second.texts(dispatch_id))
