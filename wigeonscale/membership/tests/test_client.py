import asyncio
import threading
from unittest import mock

from wigeonscale import rules
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.membership import configuration
from wigeonscale.membership.configuration import ConfigResult, Configuration
from wigeonscale.membership.tests.fake_control import (
    LIMIT_S,
    FakeControlCase,
    config_update,
    document_of,
)
from wigeonscale.rules import EMPTY_DOCUMENT, diff_documents, parse_document
from wigeonscale.wire import wire_pb2 as wire

HEARTBEAT_S = 0.5
OWN = wire.Backend(agent_id="n1", incarnation=5)


class WatchTest(FakeControlCase):
    async def test_ready_with_lease_document_and_members(self):
        (fake,) = await self.start_fakes(revision=4)
        fake.backends = [OWN]
        client, _, _ = await self.attached(fake)
        self.assertTrue(client.lease_valid())
        self.assertEqual(4, client.revision)
        self.assertEqual(document_of(4).text, client.document.text)
        self.assertEqual(["n1"], list(client.members.backends))
        self.assertEqual(1, self.metrics.lease_valid.value())

    async def test_not_ready_without_a_lease(self):
        (fake,) = await self.start_fakes()
        fake.age_us = 10_000_000
        client = self.start_client(fake)
        await self.until(lambda: client.revision == 1)
        await self.within_limit(fake.hellos.get())
        await self.advance_until(lambda: client._watcher._candidate is None)
        await self.next_hello(client, fake)
        self.assertFalse(client.lease_valid())
        self.assertFalse(client._ready.is_set())

    async def test_lease_expires_and_a_change_is_emitted(self):
        (fake,) = await self.start_fakes()
        client, _, _ = await self.attached(fake)
        changes = []
        client.changes.subscribe(changes.append)
        fake.answers_heartbeats = False
        await self.clock.advance(2.9)
        self.assertTrue(client.lease_valid())
        await self.clock.advance(0.2)
        self.assertFalse(client.lease_valid())
        self.assertIn("lease", changes)

    async def test_delta_is_applied(self):
        (fake,) = await self.start_fakes()
        client, _, _ = await self.attached(fake)
        await fake.push(config_update(2, base=1))
        await self.until(lambda: client.revision == 2)
        self.assertEqual(document_of(2).digest, client.document.digest)

    async def test_grant_for_a_newer_revision_is_pending_until_applied(self):
        (fake,) = await self.start_fakes()
        client, _, _ = await self.attached(fake)
        fake.revision = 2
        granted_at = client._state.lease.confirmed_at
        await self.clock.advance(HEARTBEAT_S)
        await self.until(lambda: client._state.lease._pending)
        self.assertEqual(granted_at, client._state.lease.confirmed_at)
        await fake.push(config_update(2, base=1))
        await self.until(lambda: client._state.lease.confirmed_at > granted_at)

    async def test_replica_with_an_older_revision_is_left(self):
        new, old = await self.start_fakes(2)
        new.revision = 7
        client, _, _ = await self.attached(new, lease_s=3.0)
        client._watcher._addresses[:] = [old.address, new.address, new.address]
        client._watcher._next_address = 0
        await new.stop()
        await self.until(lambda: client._watcher.attached is None)
        confirmed_at = client._state.lease.confirmed_at
        hello = await self.next_hello(client, old)
        self.assertEqual(7, hello.known_revision)
        cause = {"cause": "older-revision"}
        await self.until(lambda: self.metrics.reconnects.value(**cause) > 0)
        self.assertEqual(7, client.revision)
        self.assertEqual(document_of(7).digest, client.document.digest)
        self.assertEqual(confirmed_at, client._state.lease.confirmed_at)
        await self.until(lambda: old.open_streams == 0)

    async def test_grant_of_an_older_revision_gives_no_lease(self):
        (fake,) = await self.start_fakes(revision=7)
        client, _, _ = await self.attached(fake)
        confirmed_at = client._state.lease.confirmed_at
        fake.revision = 6
        await self.clock.advance(HEARTBEAT_S)
        await self.until(lambda: fake.open_streams == 0)
        self.assertEqual(confirmed_at, client._state.lease.confirmed_at)

    async def test_large_document_delays_no_heartbeat_and_keeps_the_order(self):
        (fake,) = await self.start_fakes()
        client, _, _ = await self.attached(fake)
        entered, leave = asyncio.Event(), threading.Event()
        loop = asyncio.get_running_loop()
        patch_document = rules.patch_document

        def slow_patch(base, changes):
            if len(changes) > configuration.MAX_INLINE_CHANGES:
                loop.call_soon_threadsafe(entered.set)
                leave.wait(LIMIT_S)
            return patch_document(base, changes)

        count = configuration.MAX_INLINE_CHANGES + 1
        long = parse_document("".join(f"[service s{n}]\n" for n in range(count)))
        changes = diff_documents(EMPTY_DOCUMENT, long)
        update = config_update(2, changes=changes, digest=long.digest)
        with mock.patch.object(rules, "patch_document", slow_patch):
            await fake.push(update)
            await fake.push(config_update(3))
            await self.within_limit(entered.wait())
            await self.clock.advance(HEARTBEAT_S)
            await self.wait_for_answer(client)
            self.assertEqual(1, client.revision)
            leave.set()
            await self.until(lambda: client.revision == 3)

    async def test_older_document_closes_the_connection(self):
        (fake,) = await self.start_fakes(revision=7)
        client, _, _ = await self.attached(fake)
        fake.answers_heartbeats = False
        await fake.push(config_update(6))
        await self.until(lambda: fake.open_streams == 0)
        self.assertEqual(document_of(7).digest, client.document.digest)

    async def test_delta_on_another_base_gives_wrong_base(self):
        result = await Configuration().apply(config_update(3, base=2).config)
        self.assertEqual(ConfigResult.WRONG_BASE, result)

    async def test_first_members_update_must_be_full(self):
        (fake,) = await self.start_fakes()
        fake.first_members = wire.MembersUpdate(index=1)
        client = self.start_client(fake)
        cause = {"cause": "members-out-of-order"}
        await self.until(lambda: self.metrics.reconnects.value(**cause) > 0)
        self.assertFalse(client._ready.is_set())

    async def test_second_replica_sends_a_delta(self):
        fakes = await self.start_fakes(2)
        for fake in fakes:
            fake.backends = [OWN, wire.Backend(agent_id="n2")]
        client, first, (other,) = await self.attached(*fakes)
        known = client.members
        other.first_members = wire.MembersUpdate(index=9, removed_backends=["n2"])
        other.backends = [wire.Backend(agent_id="n3")]
        first.answers_heartbeats = False
        hello = await self.next_hello(client, other)
        self.assertEqual(1, hello.known_index)
        await self.advance_until(lambda: client.members is not known)
        self.assertEqual(["n1", "n3"], list(client.members.backends))
        self.assertEqual(["n1", "n2"], list(known.backends))

    async def test_crash_records_are_applied_once_over_all_replicas(self):
        applied = []
        fakes = await self.start_fakes(2)
        options = {"on_crashes": lambda update: applied.append(update.index)}
        client, first, (other,) = await self.attached(*fakes, **options)
        for index in (7, 7, 5):
            update = wire.CrashUpdate(index=index)
            await first.push(wire.WatchEvent(crashes=update))
        await first.push(wire.WatchEvent(crashes=wire.CrashUpdate(index=8)))
        await self.until(lambda: applied[-1:] == [8])
        self.assertEqual([7, 8], applied)
        first.answers_heartbeats = False
        hello = await self.next_hello(client, other)
        self.assertEqual(8, hello.known_crashes)

    async def test_not_attached_before_members_are_received(self):
        (fake,) = await self.start_fakes()
        fake.first_members = None
        client = self.start_client(fake)
        await self.until(client.lease_valid)
        self.assertFalse(client._ready.is_set())
        await fake.push(wire.WatchEvent(members=wire.MembersUpdate(full=True)))
        await self.until(lambda: client._watcher._candidate.members is not None)
        await self.clock.advance(HEARTBEAT_S)
        await self.within_limit(client.ready())

    async def expect_request_for_whole_document(self, event):
        (fake,) = await self.start_fakes()
        client, _, _ = await self.attached(fake)
        fake.revision = 3
        await fake.push(event)
        await self.until(lambda: fake.open_streams == 0)
        self.assertEqual(1, client.revision)
        self.assertEqual(document_of(1).digest, client.document.digest)
        await self.until(lambda: client._watcher.attached is None)
        hello = await self.next_hello(client, fake)
        self.assertEqual(0, hello.known_revision)
        await self.until(lambda: client.revision == 3)
        await fake.push(config_update(2))
        await self.until(lambda: fake.open_streams == 0 and not client._watcher._tasks)
        hello = await self.next_hello(client, fake)
        self.assertEqual(3, hello.known_revision)

    async def test_delta_on_another_base(self):
        await self.expect_request_for_whole_document(config_update(3, base=2))

    async def test_delta_with_a_wrong_digest(self):
        event = config_update(3, base=1, digest="0" * 64)
        await self.expect_request_for_whole_document(event)

    async def test_delta_that_cannot_be_parsed(self):
        change = wire.SectionChange(name="rule x", text="[rule x]\nthen = fly\n")
        event = config_update(3, base=1, changes=[change])
        await self.expect_request_for_whole_document(event)

    async def test_unexpected_events_change_nothing(self):
        (fake,) = await self.start_fakes()
        client, _, _ = await self.attached(fake)

        def fail(change):
            raise ValueError("planted")

        client.changes.subscribe(fail)
        for event in (
            wire.WatchEvent(),
            wire.WatchEvent(ended=wire.IncarnationEnded(incarnation=1)),
            wire.WatchEvent(order=wire.Order(order_id="o1")),
            wire.WatchEvent(lease=wire.LeaseGrant(echo_us=2**62, revision=1)),
            config_update(2, base=1),
        ):
            await fake.push(event)
        await self.until(lambda: client.revision == 2)
        fake.revision = 2
        for _ in range(8):
            await self.clock.advance(HEARTBEAT_S)
            await self.wait_for_answer(client)
        self.assertTrue(client.lease_valid())
        self.assertEqual(1, fake.open_streams)


class AgentTest(FakeControlCase):
    async def received(self, fake, kind):
        req = await self.within_limit(fake.received.get())
        self.assertEqual(kind, req.WhichOneof("body"))
        return getattr(req, kind)

    async def test_announces_where_it_is_attached(self):
        fakes = await self.start_fakes(2)
        own = wire.Backend()
        own.CopyFrom(OWN)
        client, first, (other,) = await self.attached(
            *fakes, role="agent", announce=lambda: own
        )
        self.assertEqual(OWN, await self.received(first, "announce"))
        own.draining = True
        client.announce_changed()
        self.assertTrue((await self.received(first, "announce")).draining)
        self.assertTrue(other.received.empty())
        await first.stop()
        await self.advance_until(lambda: not other.received.empty())
        self.assertTrue((await self.received(other, "announce")).draining)

    async def test_lost_announcement_is_repeated(self):
        (fake,) = await self.start_fakes()
        await self.attached(fake, role="agent", announce=lambda: OWN)
        await self.received(fake, "announce")
        await self.advance_until(lambda: not fake.received.empty())
        self.assertEqual(OWN, await self.received(fake, "announce"))

    async def test_listed_announcement_is_not_repeated(self):
        (fake,) = await self.start_fakes()
        fake.backends = [OWN]
        client, _, _ = await self.attached(fake, role="agent", announce=lambda: OWN)
        await self.received(fake, "announce")
        for _ in range(20):
            await self.clock.advance(HEARTBEAT_S)
            await self.wait_for_answer(client)
        self.assertTrue(fake.received.empty())

    async def test_order_results_are_sent(self):
        async def on_order(order):
            if order.order_id == "broken":
                raise ValueError("planted")
            if order.order_id == "stale":
                raise WigeonscaleError(ErrorKind.STALE_TERM, "term 1 < 2")
            return wire.OrderResult(order_id=order.order_id, done=True)

        (fake,) = await self.start_fakes()
        await self.attached(fake, role="agent", on_order=on_order)
        want = {"good": "", "stale": "stale-term", "broken": "internal"}
        for order_id, kind in want.items():
            await fake.push(wire.WatchEvent(order=wire.Order(order_id=order_id)))
            result = await self.received(fake, "order_result")
            self.assertEqual(
                (order_id, not kind, kind), (result.order_id, result.done, result.kind)
            )

    async def test_long_order_blocks_no_other_events(self):
        release = asyncio.Event()

        async def on_order(order):
            await release.wait()
            return wire.OrderResult(order_id=order.order_id, done=True)

        (fake,) = await self.start_fakes()
        client, _, _ = await self.attached(fake, role="agent", on_order=on_order)
        for number in range(17):
            order = wire.Order(order_id=f"o{number}")
            await fake.push(wire.WatchEvent(order=order))
        refused = await self.received(fake, "order_result")
        self.assertEqual(("o16", "overloaded"), (refused.order_id, refused.kind))
        await fake.push(config_update(2, base=1))
        await self.until(lambda: client.revision == 2)
        release.set()
        self.assertTrue((await self.received(fake, "order_result")).done)

    async def test_ended_incarnation_is_reported(self):
        ended = []
        (fake,) = await self.start_fakes()
        await self.attached(fake, role="agent", on_ended=ended.append)
        event = wire.WatchEvent(ended=wire.IncarnationEnded(incarnation=5))
        await fake.push(event)
        await self.until(lambda: ended == [5])

    async def test_suspicion_is_sent_once_per_heartbeat(self):
        (fake,) = await self.start_fakes()
        client, _, _ = await self.attached(fake)
        for _ in range(3):
            client.suspect("a1", 1)
        client.suspect("a1", 2)
        first = await self.received(fake, "suspect")
        second = await self.received(fake, "suspect")
        self.assertEqual((1, 2), (first.incarnation, second.incarnation))
        await self.clock.advance(HEARTBEAT_S)
        client.suspect("a1", 1)
        self.assertEqual(1, (await self.received(fake, "suspect")).incarnation)
