"""Agents that stand still for a while and then go on, as their VMs may."""

import asyncio

from wigeonscale.agent.tests.tcp_proxy import TcpProxy
from wigeonscale.dispatch import KeepaliveLimits, Target
from wigeonscale.dispatch.tests.fake_agent import WORDS, FakeAgent
from wigeonscale.entry.tests.support import EntryCase, read_events, texts_of
from wigeonscale.wire import wire_pb2 as wire


class SilentAgentTest(EntryCase):
    """Guards against answers that end because their agent is silent for a while."""

    reconnect_checks = 3

    async def prepare(self):
        await super().prepare()
        self.entry._links._limits = KeepaliveLimits(
            interval_s=0.02,
            reconnect_checks=self.reconnect_checks,
            max_silent_connections=500,
        )

    async def start_behind_proxy(self, agent_id, kind):
        """Start an agent that tests can make silent."""
        agent = FakeAgent(agent_id=agent_id)
        await agent.start()
        self.addCleanup(agent.stop)
        proxy = TcpProxy(agent.target.address)
        address = await proxy.start(self)
        agent.target = Target(agent_id, agent.incarnation, address)
        self.control.add(agent, kind)
        return agent, proxy

    async def be_silent(self, agent, proxy, answer):
        """Make an agent silent until three new connections were opened to it.

        Returns early if the answer ends before that.
        """
        before = proxy.accepted
        proxy.pause()
        accepted = asyncio.create_task(proxy.until_accepted(before + 3))
        await asyncio.wait(
            {accepted, answer}, timeout=30, return_when=asyncio.FIRST_COMPLETED
        )
        accepted.cancel()
        await asyncio.gather(accepted, return_exceptions=True)
        agent.resume.set()
        proxy.go_on()

    async def call(self, path, **headers):
        async with self.http.post(path, data=b"x", headers=headers) as answer:
            return answer.status, await answer.text()

    async def assert_call_is_answered(self, path, **headers):
        agent, proxy = await self.start_behind_proxy("s1", wire.SERVICE)
        agent.hold = 0
        call = asyncio.create_task(self.call(path, **headers))
        await agent.until(lambda agent: agent.opened)
        await self.be_silent(agent, proxy, call)
        self.assertEqual((200, f"did {path}"), await call)
        self.assertEqual(1, len(agent.opened))
        self.assertIn("s1", self.control.suspected)

    async def test_call_with_a_key(self):
        await self.assert_call_is_answered("/notes/1", **{"Idempotency-Key": "k1"})

    async def test_call_without_a_key(self):
        await self.assert_call_is_answered("/lookup/1")

    async def test_second_caller_with_the_same_key(self):
        agent, proxy = await self.start_behind_proxy("s1", wire.SERVICE)
        agent.hold = 0
        key = {"Idempotency-Key": "k1"}
        first = asyncio.create_task(self.call("/notes/1", **key))
        await agent.until(lambda agent: agent.opened)
        second = asyncio.create_task(self.call("/notes/1", **key))
        await agent.until(lambda agent: "attach" in agent.names())
        await self.be_silent(agent, proxy, second)
        self.assertEqual((200, "did /notes/1"), await first)
        self.assertEqual(await first, await second)
        self.assertEqual(["k1"], agent.once_effects)

    async def test_stream_that_another_agent_can_continue(self):
        """It moves at once, since its caller waits."""
        agent, proxy = await self.start_behind_proxy("a1", wire.ENGINE)
        agent.hold = 3
        answer = await self.complete(stream=True)
        await answer.content.readuntil(b"id: 2\n")
        other = await self.start_agent("a2")
        proxy.pause()
        self.assertEqual(list(WORDS[3:]), texts_of(await read_events(answer)))
        self.assertEqual(1, len(other.opened))

    async def test_stream_of_a_long_chain_that_has_not_begun(self):
        """The other stages are not blamed for the silence of the head."""
        agent, proxy = await self.start_behind_proxy("a1", wire.ENGINE)
        self.add_stages("a1", "a3", "a4", "a5")
        agent.hold = 0
        request = asyncio.create_task(self.complete_text())
        await agent.until(lambda agent: agent.opened)
        await self.start_agent("a2")
        proxy.pause()
        self.assertEqual((200, "".join(WORDS)), await request)

    def add_stages(self, head, *others):
        """Add stages to the chain of an agent, as members that nobody calls."""
        members = self.control.members
        chain = wire.Chain()
        chain.CopyFrom(members.chains[f"chain-{head}"])
        backends = [wire.Backend(agent_id=name, incarnation=1) for name in others]
        for name in others:
            chain.stages.add(agent_id=name, incarnation=1)
        update = wire.MembersUpdate(
            index=members.index + 1, backends=backends, chains=[chain]
        )
        members.apply(update)

    async def complete_text(self):
        async with self.complete() as answer:
            document = await answer.json()
            if answer.status != 200:
                return answer.status, document["error"]["kind"]
            return answer.status, document["choices"][0]["text"]

    async def test_begun_stream_that_may_not_be_repeated(self):
        agent, proxy = await self.start_behind_proxy("a1", wire.ENGINE)
        agent.hold = 3
        headers = {"X-Billed": "yes", "Idempotency-Key": "k1"}
        answer = await self.complete(stream=True, headers=headers)
        await answer.content.readuntil(b"id: 2\n")
        rest = asyncio.create_task(read_events(answer))
        await self.be_silent(agent, proxy, rest)
        self.assertEqual(list(WORDS[3:]), texts_of(await rest))
        self.assertEqual(1, len(agent.opened))


class SlowHandshakeTest(SilentAgentTest):
    """Guards against a handshake that times out and counts as a refused connection."""

    # The connection attempts of gRPC time out before these checks.
    reconnect_checks = 15
