"""Tests of what watchers are due: deltas, leases, orders."""

import asyncio

from wigeonscale.control.tests.support import LEASE_S, Parts
from wigeonscale.errors import ErrorKind
from wigeonscale.state.tests.support import DOCUMENT, chain
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire


class HubTest(AsyncTestCase):
    async def prepare(self):
        self.parts = Parts(loads=2)
        self.addCleanup(self.parts.hub.close)
        self.state = self.parts.state

    async def due(self, watcher):
        await asyncio.sleep(0)
        return list(self.parts.hub.due(watcher))

    async def names_due(self, watcher):
        return [event.WhichOneof("body") for event in await self.due(watcher)]

    def beat(self, watcher, sent_us=7):
        now = self.parts.clock.now()
        watcher.unanswered = (wire.Heartbeat(sent_us=sent_us), now)

    async def apply(self, number, base):
        document = DOCUMENT + f"\n[service s{number}]\n"
        config = wire.ApplyConfig(base_revision=base, document=document)
        await self.parts.run(apply_config=config)

    async def test_new_watcher_gets_everything_then_deltas(self):
        await self.apply(0, 0)
        await self.parts.announce("a")
        await self.parts.announce("b")
        watcher = self.parts.watcher()
        config, members = await self.due(watcher)
        self.assertEqual((0, 1), (config.config.base_revision, config.config.revision))
        self.assertTrue(members.members.full)
        self.assertEqual(2, len(members.members.backends))
        self.assertEqual([], await self.due(watcher))
        await self.parts.announce("b", layers=(0, 3))
        (members,) = await self.due(watcher)
        self.assertFalse(members.members.full)
        self.assertEqual(["b"], [b.agent_id for b in members.members.backends])

    async def test_records_of_crashes_come_before_what_may_be_served(self):
        crash = wire.Crash(fingerprint=b"a", backend="s1")
        await self.parts.run(record_crashes=wire.RecordCrashes(crashes=[crash]))
        watcher = self.parts.watcher()
        first, second = await self.due(watcher)
        self.assertEqual([b"a"], [r.fingerprint for r in first.crashes.records])
        self.assertTrue(second.HasField("members"))
        self.assertEqual([], await self.due(watcher))
        # Then only what changed, also to one that was told by another replica.
        other = self.parts.watcher("e2", known_crashes=first.crashes.index)
        self.assertEqual(["members"], await self.names_due(other))
        await self.parts.run(record_crashes=wire.RecordCrashes(cleared=[b"a"]))
        for each in (watcher, other):
            (update,) = await self.due(each)
            self.assertEqual([[]], [list(r.backends) for r in update.crashes.records])
        agent = self.parts.watcher("n1", role="agent")
        self.assertEqual(["members"], await self.names_due(agent))

    async def test_watcher_with_known_revision_gets_what_follows(self):
        for number in range(3):
            await self.apply(number, number)
        watcher = self.parts.watcher(known_revision=1)
        updates = [e.config for e in await self.due(watcher) if e.HasField("config")]
        pairs = [(u.base_revision, u.revision) for u in updates]
        self.assertEqual([(1, 2), (2, 3)], pairs)

    async def test_each_new_watcher_gets_the_document_in_force(self):
        for number in range(2):
            await self.apply(number, number)
            config, _ = await self.due(self.parts.watcher(f"e{number}"))
            self.assertEqual(number + 1, config.config.revision)
            digest = self.state.configuration.document.digest
            self.assertEqual(digest, config.config.digest)

    async def test_watcher_ahead_of_this_replica_gets_nothing_older(self):
        await self.apply(0, 0)
        watcher = self.parts.watcher(known_revision=5)
        self.assertEqual(["members"], await self.names_due(watcher))

    async def test_delta_does_not_grow_with_document_or_membership(self):
        sizes = []
        for count in (5, 200):
            parts = Parts()
            self.addCleanup(parts.hub.close)
            services = "".join(f"[service s{n}]\n" for n in range(count))
            first = wire.ApplyConfig(document=DOCUMENT + services)
            await parts.run(apply_config=first)
            for number in range(count):
                await parts.announce(f"a{number}")
            watcher = parts.watcher()
            await asyncio.sleep(0)
            list(parts.hub.due(watcher))
            changed = wire.ApplyConfig(
                base_revision=1, document=DOCUMENT + services + "[service new]\n"
            )
            await parts.run(apply_config=changed)
            await parts.announce("a1", layers=(0, 3))
            await asyncio.sleep(0)
            sizes.append(sum(e.ByteSize() for e in parts.hub.due(watcher)))
        self.assertGreater(sizes[0], 0)
        # Names and indexes have more digits, nothing else.
        self.assertLess(sizes[1] - sizes[0], 16)

    async def test_slow_watcher_is_told_the_newest_once(self):
        watcher = self.parts.watcher()
        await self.due(watcher)
        for last_layer in range(100):
            await self.parts.announce("a", layers=(0, last_layer))
        (event,) = await self.due(watcher)
        (backend,) = event.members.backends
        self.assertEqual(99, backend.last_layer)

    async def test_watchers_at_one_position_share_one_message(self):
        first, second = self.parts.watcher("e1"), self.parts.watcher("e2")
        await self.parts.announce("a")
        await asyncio.sleep(0)
        feed = self.parts.hub.feed
        shared = feed.members_after(first.position)
        self.assertIs(shared, feed.members_after(second.position))

    async def test_watcher_too_far_behind_gets_everything(self):
        feed = self.parts.hub.feed
        feed._kept = 3
        watcher = self.parts.watcher()
        await self.due(watcher)
        for number in range(5):
            await self.parts.announce(f"a{number}")
        (event,) = await self.due(watcher)
        self.assertTrue(event.members.full)
        self.assertEqual(5, len(event.members.backends))

    async def test_reattached_watcher_gets_what_changed_meanwhile(self):
        for number in range(3):
            await self.parts.announce(f"a{number}")
        first = self.parts.watcher()
        await self.due(first)
        again = self.parts.watcher(known_index=first.position)
        (event,) = await self.due(again)
        self.assertEqual(wire.MembersUpdate(index=first.position), event.members)
        await self.parts.announce("a1", layers=(0, 3))
        again = self.parts.watcher(known_index=first.position)
        (event,) = await self.due(again)
        self.assertFalse(event.members.full)
        self.assertEqual(["a1"], [b.agent_id for b in event.members.backends])
        self.assertEqual([], await self.due(again))

    async def test_watcher_ahead_of_this_replica_gets_all_members(self):
        await self.parts.announce("a")
        (event,) = await self.due(self.parts.watcher(known_index=99))
        self.assertTrue(event.members.full)

    async def test_restored_state_is_told_as_a_whole(self):
        watcher = self.parts.watcher()
        await self.parts.announce("a")
        await self.due(watcher)
        other = Parts()
        self.addCleanup(other.hub.close)
        for agent_id in ("b", "c", "d"):
            await other.announce(agent_id)
        self.state.restore(other.state.snapshot())
        (event,) = await self.due(watcher)
        self.assertTrue(event.members.full)
        names = [backend.agent_id for backend in event.members.backends]
        self.assertEqual(["b", "c", "d"], names)

    async def test_lease_counts_from_what_a_majority_confirmed(self):
        watcher = self.parts.watcher()
        await self.due(watcher)
        self.beat(watcher, sent_us=7)
        self.parts.replica.stale_s = 0.25
        (event,) = await self.due(watcher)
        self.assertEqual((7, 250_000), (event.lease.echo_us, event.lease.age_us))
        self.assertEqual([], await self.due(watcher))

    async def test_replica_that_is_not_fresh_tells_and_grants_nothing(self):
        await self.apply(0, 0)
        watcher = self.parts.watcher()
        for stale_s in (None, LEASE_S):
            self.parts.replica.stale_s = stale_s
            self.beat(watcher)
            self.assertEqual([], await self.due(watcher))
        self.parts.replica.stale_s = 0.0
        expected = ["config", "members", "lease"]
        self.assertEqual(expected, await self.names_due(watcher))

    async def test_lease_is_no_newer_than_what_was_told_before_it(self):
        watcher = self.parts.watcher()
        self.beat(watcher)
        events = self.parts.hub.due(watcher)
        next(events)
        await self.parts.clock.advance(2.0)  # the first write took this long
        (last,) = list(events)
        self.assertEqual(0, last.lease.age_us)
        self.assertEqual(7, last.lease.echo_us)
        self.assertEqual(self.state.configuration.revision, last.lease.revision)

    async def place(self, *stages):
        place = wire.PlaceChains(
            chains=[chain("c", 1, *stages)], base_index=self.state.placement_index
        )
        result = await self.parts.run(place=place)
        self.assertEqual("", result.kind)

    async def orders(self, watcher):
        return [e.order for e in await self.due(watcher) if e.HasField("order")]

    async def test_only_so_many_loads_are_released(self):
        watchers = [await self.parts.attach(name) for name in ("a", "b", "s")]
        for watcher in watchers:
            await self.due(watcher)
        await self.place(("a", 0, 0), ("b", 1, 1), ("s", 2, 3))
        released = [await self.orders(watcher) for watcher in watchers]
        self.assertEqual([1, 1, 0], [len(orders) for orders in released])
        await self.parts.announce("a", layers=(0, 0))
        (order,) = await self.orders(watchers[2])
        self.assertEqual((2, 3), (order.load.first_layer, order.load.last_layer))
        self.assertEqual((1, self.state.index), (order.term, order.sequence))

    async def test_unfinished_order_is_pushed_again(self):
        watcher = await self.parts.attach("a")
        await self.due(watcher)
        await self.place(("a", 0, 3))
        (order,) = await self.orders(watcher)
        self.assertEqual([], await self.orders(watcher))
        failed = wire.OrderResult(order_id=order.order_id, kind=ErrorKind.INTERNAL)
        self.parts.hub.note_order_result(watcher, failed)
        self.assertEqual([], await self.orders(watcher))
        await self.parts.clock.advance(1.0)
        bodies = [o.WhichOneof("body") for o in await self.orders(watcher)]
        self.assertIn("load", bodies)
        await self.parts.clock.advance(10.0)
        self.assertEqual(1, len(await self.orders(watcher)))

    async def test_drain_is_told_on_each_stream_and_each_change(self):
        watcher = await self.parts.attach("a")
        (order,) = await self.orders(watcher)
        self.assertFalse(order.drain)
        await self.parts.run(drain=wire.DrainBackend(agent_id="a", draining=True))
        (order,) = await self.orders(watcher)
        self.assertTrue(order.drain)
        (order,) = await self.orders(await self.parts.attach("a"))
        self.assertTrue(order.drain)

    async def test_ended_agent_is_told(self):
        watcher = await self.parts.attach("a", 5)
        await self.due(watcher)
        end = wire.EndIncarnation(agent_id="a", incarnation=5)
        await self.parts.run(end_incarnation=end)
        ended = [e.ended for e in await self.due(watcher) if e.HasField("ended")]
        self.assertEqual([5], [each.incarnation for each in ended])

    async def test_drain_that_failed_is_told_again(self):
        watcher = await self.parts.attach("a")
        (order,) = await self.orders(watcher)
        failed = wire.OrderResult(order_id=order.order_id, kind=ErrorKind.STALE_TERM)
        self.parts.hub.note_order_result(watcher, failed)
        self.assertEqual(1, len(await self.orders(watcher)))
