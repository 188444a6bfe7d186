"""Tests of how many entries the replicas count together."""

import asyncio

from wigeonscale.control import EntryCounter
from wigeonscale.control.tests.support import DOWN_AFTER_S, LEASE_S, Parts
from wigeonscale.state import ControlState
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire

GRACE_S = DOWN_AFTER_S + LEASE_S


class EntryCountTest(AsyncTestCase):
    async def prepare(self):
        self.parts = Parts()
        self.addCleanup(self.parts.hub.close)
        self.parts.replica.silences = {"c2": 0.0}
        count = EntryCounter(
            node_id="c1",
            state=self.parts.state,
            replica=self.parts.replica,
            hub=self.parts.hub,
            commands=self.parts.commands,
            clock=self.parts.clock,
            entry_timeout_s=DOWN_AFTER_S,
            replica_timeout_s=GRACE_S,
        )
        task = asyncio.create_task(count.run())

        async def stop():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self.addCleanup(stop)

    async def pass_time(self, seconds, *heard):
        end = self.parts.clock.now() + seconds
        while self.parts.clock.now() < end - 1e-9:
            for watcher in heard:
                watcher.last_message_at = self.parts.clock.now()
            await self.parts.clock.advance(0.25)

    async def noted_elsewhere(self, *names):
        count = wire.CountEntries(replica="c2", attached=names)
        await self.parts.run(count_entries=count)

    def count(self):
        return len(self.parts.state.entries)

    def told(self, watcher):
        watcher.unanswered = (wire.Heartbeat(), self.parts.clock.now())
        (grant,) = [e.lease for e in self.parts.hub.due(watcher) if e.HasField("lease")]
        return grant.entries

    async def test_entries_of_all_replicas_are_counted_and_told_to_entries(self):
        await self.noted_elsewhere("e8", "e9")
        watcher = self.parts.watcher("e1")
        agent = self.parts.watcher("a", "agent")
        await self.pass_time(1, watcher, agent)
        self.assertEqual([3, 0], [self.told(watcher), self.told(agent)])

    async def test_heartbeats_cost_no_command(self):
        watcher = self.parts.watcher("e1")
        await self.pass_time(1, watcher)
        commands = len(self.parts.replica.proposed)
        await self.pass_time(60, watcher)
        self.assertEqual((1, commands), (self.count(), commands))
        self.assertEqual(commands, len(self.parts.replica.proposed))

    async def test_lost_and_silent_entries_are_counted_no_more(self):
        lost, silent = self.parts.watcher("e1"), self.parts.watcher("e2")
        await self.pass_time(1, lost, silent)
        self.parts.hub.remove(lost)
        await self.pass_time(DOWN_AFTER_S - 0.5, silent)
        self.assertEqual(2, self.count())
        await self.pass_time(1, silent)
        self.assertEqual(1, self.count())
        await self.pass_time(2 * DOWN_AFTER_S + 1)
        self.assertEqual(0, self.count())

    async def test_moved_entry_stays_with_the_replica_that_noted_it_last(self):
        watcher = self.parts.watcher("e1")
        await self.pass_time(1, watcher)
        await self.noted_elsewhere("e1")
        commands = len(self.parts.replica.proposed)
        await self.pass_time(1, watcher)
        self.parts.hub.remove(watcher)
        await self.pass_time(10)
        self.assertEqual(
            (1, commands), (self.count(), len(self.parts.replica.proposed))
        )
        late = wire.CountEntries(replica="c1", gone=["e1"])
        await self.parts.run(count_entries=late)
        self.assertEqual(1, self.count())
        again = self.parts.watcher("e1")
        await self.pass_time(1, again)
        self.assertEqual("c1", self.parts.state.entries.replica_of("e1"))

    async def test_entries_of_a_lost_replica_are_dropped(self):
        self.parts.replica.silences = {"c2": GRACE_S - 0.1}
        await self.noted_elsewhere("e1", "e2")
        await self.pass_time(1)
        self.assertEqual(2, self.count())
        self.parts.replica.silences = {"c2": GRACE_S}
        await self.pass_time(1)
        self.assertEqual(0, self.count())

    async def test_replica_that_is_not_fresh_changes_nothing(self):
        self.parts.watcher("e1")
        self.parts.replica.stale_s = None
        await self.pass_time(1)
        self.assertEqual(0, self.count())

    async def test_snapshot_keeps_the_record(self):
        await self.noted_elsewhere("e1", "e2")
        restored = ControlState()
        restored.restore(self.parts.state.snapshot())
        self.assertEqual({"e1", "e2"}, restored.entries.attached_to("c2"))
