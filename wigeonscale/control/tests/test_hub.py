"""Tests of the events that watchers get: deltas, leases, orders."""

import asyncio

from wigeonscale.control.tests.support import LEASE_S, ControlFixture
from wigeonscale.errors import ErrorKind
from wigeonscale.state.tests.support import DOCUMENT, chain
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire


class HubTest(AsyncTestCase):
    async def prepare(self):
        self.fixture = ControlFixture(loads=2)
        self.addCleanup(self.fixture.hub.close)
        self.state = self.fixture.state

    async def pending_events(self, watcher):
        await asyncio.sleep(0)
        return list(self.fixture.hub.pending_events(watcher))

    async def pending_event_types(self, watcher):
        return [
            event.WhichOneof("body") for event in await self.pending_events(watcher)
        ]

    def add_heartbeat(self, watcher, sent_us=7):
        now = self.fixture.clock.now()
        watcher.pending_heartbeat = (wire.Heartbeat(sent_us=sent_us), now)

    async def apply(self, number, base):
        document = DOCUMENT + f"\n[service s{number}]\n"
        config = wire.ApplyConfig(base_revision=base, document=document)
        await self.fixture.run(apply_config=config)

    async def test_new_watcher_gets_full_state_then_deltas(self):
        await self.apply(0, 0)
        await self.fixture.announce("a")
        await self.fixture.announce("b")
        watcher = self.fixture.watcher()
        config, members = await self.pending_events(watcher)
        self.assertEqual((0, 1), (config.config.base_revision, config.config.revision))
        self.assertTrue(members.members.full)
        self.assertEqual(2, len(members.members.backends))
        self.assertEqual([], await self.pending_events(watcher))
        await self.fixture.announce("b", layers=(0, 3))
        (members,) = await self.pending_events(watcher)
        self.assertFalse(members.members.full)
        self.assertEqual(["b"], [b.agent_id for b in members.members.backends])

    async def test_crash_records_are_sent_before_members(self):
        crash = wire.Crash(fingerprint=b"a", backend="s1")
        await self.fixture.run(record_crashes=wire.RecordCrashes(crashes=[crash]))
        watcher = self.fixture.watcher()
        first, second = await self.pending_events(watcher)
        self.assertEqual([b"a"], [r.fingerprint for r in first.crashes.records])
        self.assertTrue(second.HasField("members"))
        self.assertEqual([], await self.pending_events(watcher))
        # Only changes follow, also for a watcher that another replica updated.
        other = self.fixture.watcher("e2", known_crashes=first.crashes.index)
        self.assertEqual(["members"], await self.pending_event_types(other))
        await self.fixture.run(record_crashes=wire.RecordCrashes(cleared=[b"a"]))
        for each in (watcher, other):
            (update,) = await self.pending_events(each)
            self.assertEqual([[]], [list(r.backends) for r in update.crashes.records])
        agent = self.fixture.watcher("n1", role="agent")
        self.assertEqual(["members"], await self.pending_event_types(agent))

    async def test_watcher_with_known_revision_gets_later_revisions(self):
        for number in range(3):
            await self.apply(number, number)
        watcher = self.fixture.watcher(known_revision=1)
        updates = [
            e.config for e in await self.pending_events(watcher) if e.HasField("config")
        ]
        pairs = [(u.base_revision, u.revision) for u in updates]
        self.assertEqual([(1, 2), (2, 3)], pairs)

    async def test_each_new_watcher_gets_the_document_in_force(self):
        for number in range(2):
            await self.apply(number, number)
            config, _ = await self.pending_events(self.fixture.watcher(f"e{number}"))
            self.assertEqual(number + 1, config.config.revision)
            digest = self.state.configuration.document.digest
            self.assertEqual(digest, config.config.digest)

    async def test_watcher_ahead_of_this_replica_gets_nothing_older(self):
        await self.apply(0, 0)
        watcher = self.fixture.watcher(known_revision=5)
        self.assertEqual(["members"], await self.pending_event_types(watcher))

    async def test_delta_does_not_grow_with_document_or_membership(self):
        sizes = []
        for count in (5, 200):
            fixture = ControlFixture()
            self.addCleanup(fixture.hub.close)
            services = "".join(f"[service s{n}]\n" for n in range(count))
            first = wire.ApplyConfig(document=DOCUMENT + services)
            await fixture.run(apply_config=first)
            for number in range(count):
                await fixture.announce(f"a{number}")
            watcher = fixture.watcher()
            await asyncio.sleep(0)
            list(fixture.hub.pending_events(watcher))
            changed = wire.ApplyConfig(
                base_revision=1, document=DOCUMENT + services + "[service new]\n"
            )
            await fixture.run(apply_config=changed)
            await fixture.announce("a1", layers=(0, 3))
            await asyncio.sleep(0)
            sizes.append(sum(e.ByteSize() for e in fixture.hub.pending_events(watcher)))
        self.assertGreater(sizes[0], 0)
        # Only names and indexes have more digits.
        self.assertLess(sizes[1] - sizes[0], 16)

    async def test_slow_watcher_gets_only_the_newest_state(self):
        watcher = self.fixture.watcher()
        await self.pending_events(watcher)
        for last_layer in range(100):
            await self.fixture.announce("a", layers=(0, last_layer))
        (event,) = await self.pending_events(watcher)
        (backend,) = event.members.backends
        self.assertEqual(99, backend.last_layer)

    async def test_watchers_at_one_position_share_one_message(self):
        first, second = self.fixture.watcher("e1"), self.fixture.watcher("e2")
        await self.fixture.announce("a")
        await asyncio.sleep(0)
        feed = self.fixture.hub.feed
        shared = feed.members_after(first.members_index)
        self.assertIs(shared, feed.members_after(second.members_index))

    async def test_watcher_too_far_behind_gets_all_members(self):
        feed = self.fixture.hub.feed
        feed._max_changes = 3
        watcher = self.fixture.watcher()
        await self.pending_events(watcher)
        for number in range(5):
            await self.fixture.announce(f"a{number}")
        (event,) = await self.pending_events(watcher)
        self.assertTrue(event.members.full)
        self.assertEqual(5, len(event.members.backends))

    async def test_reattached_watcher_gets_a_delta(self):
        for number in range(3):
            await self.fixture.announce(f"a{number}")
        first = self.fixture.watcher()
        await self.pending_events(first)
        again = self.fixture.watcher(known_index=first.members_index)
        (event,) = await self.pending_events(again)
        self.assertEqual(wire.MembersUpdate(index=first.members_index), event.members)
        await self.fixture.announce("a1", layers=(0, 3))
        again = self.fixture.watcher(known_index=first.members_index)
        (event,) = await self.pending_events(again)
        self.assertFalse(event.members.full)
        self.assertEqual(["a1"], [b.agent_id for b in event.members.backends])
        self.assertEqual([], await self.pending_events(again))

    async def test_watcher_ahead_of_this_replica_gets_all_members(self):
        await self.fixture.announce("a")
        (event,) = await self.pending_events(self.fixture.watcher(known_index=99))
        self.assertTrue(event.members.full)

    async def test_restored_state_is_sent_in_full(self):
        watcher = self.fixture.watcher()
        await self.fixture.announce("a")
        await self.pending_events(watcher)
        other = ControlFixture()
        self.addCleanup(other.hub.close)
        for agent_id in ("b", "c", "d"):
            await other.announce(agent_id)
        self.state.restore(other.state.snapshot())
        (event,) = await self.pending_events(watcher)
        self.assertTrue(event.members.full)
        names = [backend.agent_id for backend in event.members.backends]
        self.assertEqual(["b", "c", "d"], names)

    async def test_lease_age_counts_from_confirmation_by_a_majority(self):
        watcher = self.fixture.watcher()
        await self.pending_events(watcher)
        self.add_heartbeat(watcher, sent_us=7)
        self.fixture.replica.stale_s = 0.25
        (event,) = await self.pending_events(watcher)
        self.assertEqual((7, 250_000), (event.lease.echo_us, event.lease.age_us))
        self.assertEqual([], await self.pending_events(watcher))

    async def test_stale_replica_sends_no_events_and_grants_no_lease(self):
        await self.apply(0, 0)
        watcher = self.fixture.watcher()
        for stale_s in (None, LEASE_S):
            self.fixture.replica.stale_s = stale_s
            self.add_heartbeat(watcher)
            self.assertEqual([], await self.pending_events(watcher))
        self.fixture.replica.stale_s = 0.0
        expected = ["config", "members", "lease"]
        self.assertEqual(expected, await self.pending_event_types(watcher))

    async def test_lease_is_no_newer_than_the_events_before_it(self):
        watcher = self.fixture.watcher()
        self.add_heartbeat(watcher)
        events = self.fixture.hub.pending_events(watcher)
        next(events)
        await self.fixture.clock.advance(2.0)  # the first write took this long
        (last,) = list(events)
        self.assertEqual(0, last.lease.age_us)
        self.assertEqual(7, last.lease.echo_us)
        self.assertEqual(self.state.configuration.revision, last.lease.revision)

    async def place(self, *stages):
        place = wire.PlaceChains(
            chains=[chain("c", 1, *stages)], base_index=self.state.placement_index
        )
        result = await self.fixture.run(place=place)
        self.assertEqual("", result.kind)

    async def orders(self, watcher):
        return [
            e.order for e in await self.pending_events(watcher) if e.HasField("order")
        ]

    async def test_concurrent_loads_are_limited(self):
        watchers = [await self.fixture.attach(name) for name in ("a", "b", "s")]
        for watcher in watchers:
            await self.pending_events(watcher)
        await self.place(("a", 0, 0), ("b", 1, 1), ("s", 2, 3))
        released = [await self.orders(watcher) for watcher in watchers]
        self.assertEqual([1, 1, 0], [len(orders) for orders in released])
        await self.fixture.announce("a", layers=(0, 0))
        (order,) = await self.orders(watchers[2])
        self.assertEqual((2, 3), (order.load.first_layer, order.load.last_layer))
        self.assertEqual((1, self.state.index), (order.term, order.sequence))

    async def test_unfinished_order_is_resent(self):
        watcher = await self.fixture.attach("a")
        await self.pending_events(watcher)
        await self.place(("a", 0, 3))
        (order,) = await self.orders(watcher)
        self.assertEqual([], await self.orders(watcher))
        failed = wire.OrderResult(order_id=order.order_id, kind=ErrorKind.INTERNAL)
        self.fixture.hub.handle_order_result(watcher, failed)
        self.assertEqual([], await self.orders(watcher))
        await self.fixture.clock.advance(1.0)
        bodies = [o.WhichOneof("body") for o in await self.orders(watcher)]
        self.assertIn("load", bodies)
        await self.fixture.clock.advance(10.0)
        self.assertEqual(1, len(await self.orders(watcher)))

    async def test_drain_is_sent_on_each_stream_and_each_change(self):
        watcher = await self.fixture.attach("a")
        (order,) = await self.orders(watcher)
        self.assertFalse(order.drain)
        await self.fixture.run(drain=wire.DrainBackend(agent_id="a", draining=True))
        (order,) = await self.orders(watcher)
        self.assertTrue(order.drain)
        (order,) = await self.orders(await self.fixture.attach("a"))
        self.assertTrue(order.drain)

    async def test_end_of_an_incarnation_is_sent_to_its_agent(self):
        watcher = await self.fixture.attach("a", 5)
        await self.pending_events(watcher)
        end = wire.EndIncarnation(agent_id="a", incarnation=5)
        await self.fixture.run(end_incarnation=end)
        ended = [
            e.ended for e in await self.pending_events(watcher) if e.HasField("ended")
        ]
        self.assertEqual([5], [each.incarnation for each in ended])

    async def test_failed_drain_is_resent(self):
        watcher = await self.fixture.attach("a")
        (order,) = await self.orders(watcher)
        failed = wire.OrderResult(order_id=order.order_id, kind=ErrorKind.STALE_TERM)
        self.fixture.hub.handle_order_result(watcher, failed)
        self.assertEqual(1, len(await self.orders(watcher)))
