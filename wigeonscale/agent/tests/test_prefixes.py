"""Forwarding of an engine's cache events to entries, with gaps and bounded buffers."""

from wigeonscale.agent.prefixes import MAX_UNSENT_EVENTS, PrefixFeed, PrefixOutbox
from wigeonscale.agent.tests.support import connect, start_chain
from wigeonscale.ports import CacheEvent, EngineInfo
from wigeonscale.routing import PrefixView, prefix_digest
from wigeonscale.routing.prefixes import RESET_GAP_EVENTS
from wigeonscale.testing import AsyncTestCase, ManualClock
from wigeonscale.testing.fake_engine import FakeEngine
from wigeonscale.testing.prefix_cache import PrefixCache
from wigeonscale.wire import wire_pb2 as wire

PROMPTS = (b"style guide", b"reviewer note", b"transfer note")


class PrefixFeedTest(AsyncTestCase):
    async def prepare(self):
        _, nodes, self.chain = await start_chain(self, stages=1)
        self.node = nodes[0]
        self.engine = self.node.engine
        self.hold(slots=2)

    def hold(self, **options):
        options.setdefault("lose_every", 0)
        self.engine.prefixes = PrefixCache(**options)

    async def generate(self, client, *prompts):
        for prompt in prompts:
            await client.end(await client.generate(self.chain, prompt, 1))
        await self.node.agent.prefixes.poll()

    async def seen(self, client, number):
        """Return the prompts whose prefix an entry considers to be cached."""
        await client.wait(
            lambda: any(e.prefixes.number >= number for e in client.events)
        )
        view = PrefixView()
        for event in client.events:
            if event.HasField("prefixes"):
                view.apply_events("a0", event.prefixes)
        return [p for p in PROMPTS if view.holds("a0", prefix_digest(p))]

    async def test_entries_learn_what_is_stored_and_evicted(self):
        client = await connect(self, self.node)
        await self.generate(client, *PROMPTS[:2], PROMPTS[0])
        self.assertEqual(list(PROMPTS[:2]), await self.seen(client, 2))
        await self.generate(client, PROMPTS[2])
        self.assertEqual([PROMPTS[0], PROMPTS[2]], await self.seen(client, 4))
        self.assertEqual(
            (1, 3), (self.engine.prefixes.hits, self.engine.prefixes.misses)
        )

    async def test_new_stream_starts_with_cached_prefixes(self):
        first = await connect(self, self.node)
        await self.generate(first, *PROMPTS)
        second = await connect(self, self.node)
        await second.send(hello=wire.EntryHello(entry_id="e2"))
        self.assertEqual(list(PROMPTS[1:]), await self.seen(second, 4))

    async def test_lost_event_leaves_a_gap(self):
        self.hold(slots=2, lose_every=2)
        client = await connect(self, self.node)
        await self.generate(client, *PROMPTS)
        self.assertEqual([PROMPTS[0], PROMPTS[2]], await self.seen(client, 3))
        numbers = [e.number for event in client.events for e in event.prefixes.events]
        self.assertEqual([1, 3], numbers)

    async def test_restarted_engine_has_no_cached_prefixes(self):
        client = await connect(self, self.node)
        await self.generate(client, *PROMPTS[:2])
        self.engine.failing = True
        for _ in range(2):
            await self.node.state.probe()
        self.engine.failing = False
        await self.node.state.probe()
        self.hold(slots=2)
        await self.generate(client, PROMPTS[2])
        self.assertEqual([PROMPTS[2]], await self.seen(client, 3))


class OddEngineTest(AsyncTestCase):
    async def test_repeated_and_huge_event_numbers_do_not_break_the_feed(self):
        engine = FakeEngine(name="e", info=EngineInfo(model="m"))
        feed = PrefixFeed(engine=engine, clock=ManualClock(), poll_s=1.0)
        outbox = feed.subscribe()
        feed.track_prompt("d1", PROMPTS[0])
        engine_events = [
            CacheEvent(2, "x", True, "d1#1"),
            CacheEvent(1 << 80, "x", False),
        ]

        async def all_events(after):
            return engine_events

        engine.cache_events = all_events
        for _ in range(3):
            await feed.poll()
        numbers = [event.number for event in outbox.pop_pending().events]
        self.assertEqual([2, 3 + RESET_GAP_EVENTS], numbers)


class PrefixOutboxTest(AsyncTestCase):
    def test_events_over_the_buffer_limit_are_dropped_as_a_gap(self):
        outbox = PrefixOutbox([], number=0)
        for number in range(1, 3 * MAX_UNSENT_EVENTS + 1):
            digest = number.to_bytes(2, "big")
            outbox.add([wire.PrefixEvent(number=number, digest=digest, held=True)])
        taken = outbox.pop_pending()
        self.assertEqual(MAX_UNSENT_EVENTS, len(taken.events))
        self.assertEqual(3 * MAX_UNSENT_EVENTS, taken.number)
        self.assertIsNone(outbox.pop_pending())
