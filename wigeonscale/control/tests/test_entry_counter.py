"""Tests of counting attached entries over all replicas."""

import asyncio

from wigeonscale.control import EntryCounter
from wigeonscale.control.tests.support import DOWN_AFTER_S, LEASE_S, ControlFixture
from wigeonscale.replication import Role
from wigeonscale.state import ControlState
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire

GRACE_S = DOWN_AFTER_S + LEASE_S


class EntryCounterCase(AsyncTestCase):
    async def prepare(self):
        self.fixture = ControlFixture()
        self.addCleanup(self.fixture.hub.close)
        self.fixture.replica.silence_s = {"c2": 0.0}
        count = EntryCounter(
            node_id="c1",
            state=self.fixture.state,
            replica=self.fixture.replica,
            hub=self.fixture.hub,
            commands=self.fixture.commands,
            clock=self.fixture.clock,
            entry_timeout_s=DOWN_AFTER_S,
            replica_timeout_s=GRACE_S,
        )
        task = asyncio.create_task(count.run())

        async def stop():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self.addCleanup(stop)

    async def pass_time(self, seconds, *active):
        end = self.fixture.clock.now() + seconds
        while self.fixture.clock.now() < end - 1e-9:
            for watcher in active:
                watcher.last_message_at = self.fixture.clock.now()
            await self.fixture.clock.advance(0.25)

    async def attach_elsewhere(self, *names):
        count = wire.CountEntries(replica="c2", attached=names)
        await self.fixture.run(count_entries=count)

    def count(self):
        return len(self.fixture.state.entries)

    def granted_entries(self, watcher):
        watcher.pending_heartbeat = (wire.Heartbeat(), self.fixture.clock.now())
        (grant,) = [
            e.lease
            for e in self.fixture.hub.pending_events(watcher)
            if e.HasField("lease")
        ]
        return grant.entries


class EntryCounterTest(EntryCounterCase):
    async def test_lease_grants_report_the_count_over_all_replicas(self):
        await self.attach_elsewhere("e8", "e9")
        watcher = self.fixture.watcher("e1")
        agent = self.fixture.watcher("a", "agent")
        await self.pass_time(1, watcher, agent)
        self.assertEqual(
            [3, 0], [self.granted_entries(watcher), self.granted_entries(agent)]
        )

    async def test_heartbeats_submit_no_command(self):
        watcher = self.fixture.watcher("e1")
        await self.pass_time(1, watcher)
        commands = len(self.fixture.replica.proposed)
        await self.pass_time(60, watcher)
        self.assertEqual((1, commands), (self.count(), commands))
        self.assertEqual(commands, len(self.fixture.replica.proposed))

    async def test_lost_and_silent_entries_are_no_longer_counted(self):
        lost, silent = self.fixture.watcher("e1"), self.fixture.watcher("e2")
        await self.pass_time(1, lost, silent)
        self.fixture.hub.remove(lost)
        await self.pass_time(DOWN_AFTER_S - 0.5, silent)
        self.assertEqual(2, self.count())
        await self.pass_time(1, silent)
        self.assertEqual(1, self.count())
        await self.pass_time(2 * DOWN_AFTER_S + 1)
        self.assertEqual(0, self.count())

    async def test_moved_entry_stays_with_the_replica_that_recorded_it_last(self):
        watcher = self.fixture.watcher("e1")
        await self.pass_time(1, watcher)
        await self.attach_elsewhere("e1")
        commands = len(self.fixture.replica.proposed)
        await self.pass_time(1, watcher)
        self.fixture.hub.remove(watcher)
        await self.pass_time(10)
        self.assertEqual(
            (1, commands), (self.count(), len(self.fixture.replica.proposed))
        )
        late = wire.CountEntries(replica="c1", gone=["e1"])
        await self.fixture.run(count_entries=late)
        self.assertEqual(1, self.count())
        again = self.fixture.watcher("e1")
        await self.pass_time(1, again)
        self.assertEqual("c1", self.fixture.state.entries.replica_of("e1"))

    async def test_entries_of_a_lost_replica_are_dropped(self):
        self.fixture.replica.silence_s = {"c2": GRACE_S - 0.1}
        await self.attach_elsewhere("e1", "e2")
        await self.pass_time(1)
        self.assertEqual(2, self.count())
        self.fixture.replica.silence_s = {"c2": GRACE_S}
        await self.pass_time(1)
        self.assertEqual(0, self.count())

    async def test_replica_that_is_not_fresh_changes_nothing(self):
        self.fixture.watcher("e1")
        self.fixture.replica.stale_s = None
        await self.pass_time(1)
        self.assertEqual(0, self.count())

    async def test_snapshot_contains_the_entries(self):
        await self.attach_elsewhere("e1", "e2")
        restored = ControlState()
        restored.restore(self.fixture.state.snapshot())
        self.assertEqual({"e1", "e2"}, restored.entries.attached_to("c2"))


class ReleasedSharesTest(EntryCounterCase):
    """Guards against the release of a share that its entry may still use."""

    RELEASE_S = 20

    async def hold(self, name, sequence=1):
        share = wire.RetryShare(
            entry=name,
            process=1,
            sequence=sequence,
            parts=100,
            release_ms=self.RELEASE_S * 1000,
        )
        await self.fixture.run(hold_retry_share=share)

    def holders(self):
        return {share.entry for share in self.fixture.state.retry_shares}

    async def test_share_is_released_after_the_time_without_contact(self):
        lost, present = self.fixture.watcher("e1"), self.fixture.watcher("e2")
        await self.pass_time(1, lost, present)
        await self.hold("e1")
        await self.hold("e2")
        await self.pass_time(2 * self.RELEASE_S, lost, present)
        self.fixture.hub.remove(lost)
        await self.pass_time(self.RELEASE_S, present)
        self.assertEqual({"e1", "e2"}, self.holders())
        await self.pass_time(DOWN_AFTER_S + 1, present)
        self.assertEqual({"e2"}, self.holders())

    async def test_entry_that_comes_back_keeps_its_share(self):
        watcher = self.fixture.watcher("e1")
        await self.pass_time(1, watcher)
        await self.hold("e1")
        self.fixture.hub.remove(watcher)
        await self.pass_time(self.RELEASE_S - 1)
        again = self.fixture.watcher("e1")
        await self.pass_time(1, again)
        self.fixture.hub.remove(again)
        await self.pass_time(self.RELEASE_S - 1)
        self.assertEqual({"e1"}, self.holders())

    async def test_new_leader_counts_the_time_from_its_election(self):
        await self.hold("e1")
        await self.pass_time(self.RELEASE_S - 1)
        self.fixture.replica.term += 1
        await self.pass_time(self.RELEASE_S - 1)
        self.assertEqual({"e1"}, self.holders())
        await self.pass_time(2)
        self.assertEqual(set(), self.holders())

    async def test_follower_releases_nothing(self):
        await self.hold("e1")
        self.fixture.replica.role = Role.FOLLOWER
        await self.pass_time(2 * self.RELEASE_S)
        self.assertEqual({"e1"}, self.holders())
