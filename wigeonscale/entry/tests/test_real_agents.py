"""The entry with real agents and fake engines: complete answers, also after a loss."""

import asyncio

from wigeonscale.agent.tests import support as agents
from wigeonscale.entry.tests.support import EntryCase, read_events, texts_of
from wigeonscale.ports import EngineInfo
from wigeonscale.testing.fake_engine import FakeEngine, expected_tokens
from wigeonscale.wire import wire_pb2 as wire

STAGES = 3
LAYERS = STAGES * agents.LAYERS_PER_STAGE


class RealAgentsTest(EntryCase):
    async def use_chain(self, prefix: str, step_s: float = 0.0) -> list[agents.Node]:
        """Start a chain of three agents and make it the only chain."""
        control = agents.FakeControl()
        nodes = []
        for number in range(STAGES):
            first = number * agents.LAYERS_PER_STAGE
            last = first + agents.LAYERS_PER_STAGE - 1
            info = EngineInfo(model="m", first_layer=first, last_layer=last)
            name = f"{prefix}{number}"
            engine = FakeEngine(name=name, info=info, step_s=step_s)
            node = agents.Node(name=name, control=control, engine=engine)
            await node.start()
            self.addCleanup(node.stop)
            nodes.append(node)
        chain = agents.make_chain(nodes, epoch=1)
        chain.chain_id = f"chain-{prefix}"
        chain.pipeline = "proof"
        control.set_chain(chain)
        index = self.control.members.index + 1
        update = wire.MembersUpdate(full=True, index=index, chains=[chain])
        self.control.members.apply(update)
        return nodes

    async def test_streams_and_json_responses_are_complete(self):
        await self.use_chain("a")

        async def one(number: int) -> None:
            prompt, stream = f"page {number}", number % 2 == 0
            request = self.complete(prompt=prompt, stream=stream, max_tokens=20)
            async with request as answer:
                if stream:
                    got = "".join(texts_of(await read_events(answer)))
                else:
                    got = (await answer.json())["choices"][0]["text"]
            self.assertEqual("".join(expected_tokens(prompt, LAYERS, 20)), got)

        await asyncio.gather(*(one(number) for number in range(60)))

    async def test_agent_killed_mid_stream_is_replaced_by_another_chain(self):
        nodes = await self.use_chain("a", step_s=0.001)
        prompt, count = "chapter seven", 400
        answer = await self.complete(prompt=prompt, stream=True, max_tokens=count)
        await answer.content.readuntil(b"id: 3\n")
        await self.use_chain("b")
        await nodes[0].stop()
        events = await read_events(answer)
        self.assertEqual(expected_tokens(prompt, LAYERS, count)[4:], texts_of(events))
        self.assertEqual(str(count - 1), events[-3]["id"])
        last = events[-2]["data"]
        self.assertEqual(count, last["usage"]["completion_tokens"])
        self.assertTrue(last["id"].endswith("@b0"), last["id"])
