import asyncio
import threading

from wigeonscale.replication.tests.support import LIMIT_S, ClusterCase

MAX_AGE_S = 0.7  # a few heartbeat intervals


class PreparationTest(ClusterCase):
    """A leader whose next committed entry is still being prepared in a thread."""

    async def prepare(self):
        await super().prepare()
        self.old = self.cluster.replicas[self.leader]
        self.release = threading.Event()
        self.addCleanup(self.release.set)
        machine = self.cluster.machines[self.leader]
        machine.preparation = lambda data: self.wait
        self.task = await self.cluster.propose_at(self.leader, b"1")
        index = self.old.last_position()[1]
        await self.cluster.wait_until(lambda: self.old.commit_index == index)

    def wait(self):
        self.release.wait(LIMIT_S)

    async def apply(self):
        applied = asyncio.Event()
        self.old.on_applied.subscribe(lambda _: applied.set())
        self.release.set()
        async with asyncio.timeout(LIMIT_S):
            await applied.wait()

    async def test_leader_is_not_fresh_before_the_entry_is_applied(self):
        committed_at = self.cluster.clock.now()
        await self.cluster.clock.advance(5)
        self.assertEqual([], self.cluster.machines[self.leader].commands)
        self.assertTrue(self.old.fresh_at() <= committed_at)
        await self.apply()
        await self.cluster.clock.advance(1)
        self.assertTrue(self.old.fresh_at() > committed_at)

    async def test_leadership_transfer_waits_for_the_entry(self):
        transfer = self.cluster.spawn(self.old.transfer_leadership())
        await self.cluster.clock.advance(0.1)
        self.assertFalse(transfer.done())
        began = self.cluster.clock.now()
        await self.apply()
        for _ in range(10):
            await self.cluster.clock.advance(0)
        self.assertTrue(transfer.result())
        self.assertEqual(began, self.cluster.clock.now())
        self.assertIsNone(self.task.exception())


class FreshnessTest(ClusterCase):
    async def prepare(self):
        await super().prepare()
        await self.cluster.propose(b"1")
        await self.cluster.clock.advance(2)

    def age(self, name):
        return self.cluster.clock.now() - self.cluster.replicas[name].fresh_at()

    async def test_all_are_fresh_while_a_majority_answers(self):
        for name in "abc":
            self.assertTrue(0 <= self.age(name) < MAX_AGE_S)
        await self.cluster.stop(self.followers[0])
        await self.cluster.clock.advance(2)
        for name in (self.leader, self.followers[1]):
            self.assertTrue(0 <= self.age(name) < MAX_AGE_S)

    async def test_isolated_replica_is_not_fresh_after_the_cut(self):
        for name in "abc":
            cut_at = self.cluster.clock.now()
            self.cluster.network.isolate(name)
            await self.cluster.clock.advance(5)
            self.assertTrue(self.cluster.replicas[name].fresh_at() <= cut_at)
            self.cluster.network.heal()
            await self.cluster.wait_until(lambda name=name: self.age(name) < MAX_AGE_S)

    async def test_follower_that_cannot_apply_is_not_fresh(self):
        node = self.followers[0]
        cut_at = self.cluster.clock.now()
        self.cluster.folders[node].writable.clear()
        await self.cluster.propose(b"2")
        await self.cluster.clock.advance(5)
        self.assertTrue(self.cluster.replicas[node].fresh_at() <= cut_at)
        self.cluster.folders[node].writable.set()
        await self.cluster.wait_until(lambda: self.age(node) < MAX_AGE_S)

    async def test_freshness_is_unknown_after_a_restart_without_peers(self):
        await self.cluster.stop()
        self.cluster.start(self.leader)
        await self.cluster.clock.advance(5)
        self.assertIsNone(self.cluster.replicas[self.leader].fresh_at())

    async def test_echo_of_an_earlier_process_is_ignored(self):
        node = self.followers[0]
        sent = [req for _, to, req in self.cluster.network.appends if to == node]
        old = next(req for req in reversed(sent) if req.echo_us)
        await self.cluster.stop(node)
        await self.cluster.stop(self.leader)
        self.cluster.start(node)
        await self.cluster.clock.advance(0)
        replica = self.cluster.replicas[node]
        reply = await replica.handle_append(old)
        self.assertTrue(reply.success)
        self.assertIsNone(replica.fresh_at())
