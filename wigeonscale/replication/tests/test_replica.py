import asyncio
import itertools
import threading

from testscenarios import WithScenarios

from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.replication import NotLeaderError, ReplicaOptions
from wigeonscale.replication.tests.support import (
    LIMIT_S,
    ClusterCase,
    numbered_commands,
)


class ReplicaTest(ClusterCase):
    async def test_commit_reaches_all_replicas(self):
        index = await self.cluster.propose(b"1", b"2")
        await self.cluster.wait_for_commands([b"1", b"2"])
        replica = self.cluster.replicas[self.leader]
        self.assertEqual((index, index), (replica.commit_index, replica.applied_index))
        self.assertEqual((replica.term, index), replica.last_position())
        self.assertEqual([self.leader], self.cluster.leaders())

    async def test_follower_names_the_leader(self):
        replica = self.cluster.replicas[self.followers[0]]
        with self.assertRaises(NotLeaderError) as caught:
            await replica.propose(b"1")
        self.assertEqual(self.leader, caught.exception.leader)
        self.assertEqual(RunState.NOT_RUN, caught.exception.run_state)

    async def test_command_that_fails_to_apply_stops_no_replica(self):
        task = await self.cluster.propose_at(self.leader, b"raise")
        exc = await self.outcome(task)
        self.assertEqual(ErrorKind.INTERNAL, exc.kind)
        await self.cluster.propose(b"1")
        await self.cluster.wait_for_commands([b"1"])

    async def test_entry_in_preparation_blocks_only_later_entries(self):
        follower = self.cluster.replicas[self.followers[0]]
        machine, release = follower._state.machine, threading.Event()
        begun = []

        def preparation(data):
            begun.append(data)
            return (lambda: release.wait(LIMIT_S)) if data == b"2" else None

        machine.preparation = preparation
        await self.cluster.propose(b"1", b"2", b"3")
        await self.cluster.wait_until(lambda: b"2" in begun)
        term = follower.term
        await self.cluster.clock.advance(60)
        self.assertEqual([b"1"], machine.commands)
        self.assertLess(follower.applied_index, follower.commit_index)
        self.assertEqual(term, follower.term)
        release.set()
        await self.cluster.wait_for_commands(numbered_commands(1, 3))
        self.assertEqual(1, begun.count(b"2"))

    async def test_duplicated_messages_change_nothing(self):
        self.cluster.network.duplicate = True
        await self.cluster.propose(*numbered_commands(1, 20))
        await self.cluster.stop(self.leader)
        await self.cluster.propose(*numbered_commands(21, 25))
        self.cluster.start(self.leader)
        await self.cluster.wait_for_commands(numbered_commands(1, 25))

    async def test_no_commit_is_lost_over_restarts_in_every_order(self):
        done = []
        for order in itertools.permutations("abc"):
            for name in order:
                await self.cluster.stop(name)
                done.append(b"%d" % len(done))
                await self.cluster.propose(done[-1])
                self.cluster.start(name)
            await self.cluster.stop()
            for name in order:
                self.cluster.start(name)
                await self.cluster.clock.advance(0.7)
            await self.cluster.wait_for_commands(done)

    async def test_follower_killed_while_it_handles_an_append(self):
        node = self.followers[0]
        self.cluster.folders[node].writable.clear()
        await self.cluster.propose(b"1")
        await self.cluster.stop(node)
        self.cluster.start(node)
        await self.cluster.wait_for_commands([b"1"])

    async def test_unsynced_entry_of_the_leader_does_not_count(self):
        await self.cluster.stop(self.followers[0])
        self.cluster.folders[self.leader].writable.clear()
        task = await self.cluster.propose_at(self.leader, b"1")
        await self.cluster.clock.advance(3)
        self.assertFalse(task.done())
        self.cluster.folders[self.leader].writable.set()
        await self.cluster.run_until_done(task)

    async def test_killed_leader_is_replaced_within_two_seconds(self):
        for _ in range(20):
            await self.cluster.propose(b"x")
            leader = await self.cluster.leader()
            before = self.cluster.clock.now()
            await self.cluster.stop(leader)
            await self.cluster.leader()
            self.assertTrue(self.cluster.clock.now() - before <= 2.0)
            self.cluster.start(leader)
            await self.cluster.clock.advance(1)


class FailedDiskTest(WithScenarios, ClusterCase):
    """A disk failure stops its replica; the other replicas continue."""

    options = ReplicaOptions(snapshot_entries=20)
    scenarios = [
        (f"{name} of the {who}", {"who": who, "name": name})
        for who in ("leader", "follower")
        for name in ("log", "snapshot", "vote")
    ]

    async def test_replica_stops_and_the_others_continue(self):
        node = self.leader if self.who == "leader" else self.followers[0]
        self.cluster.folders[node].fail_on(self.name)
        if self.name == "vote":
            self.cluster.network.isolate(self.leader)
            await self.cluster.clock.advance(3)
            self.cluster.network.heal()
        tasks = {
            data: await self.cluster.propose_at(name, data)
            for name in self.cluster.leaders()
            for data in numbered_commands(1, 30)
        }
        await self.cluster.wait_until(self.cluster.tasks[node].done)
        exc = self.cluster.tasks[node].exception()
        self.assertIsInstance(exc, OSError)
        self.assertEqual(self.name, exc.filename)
        await self.cluster.wait_until(
            lambda: all(task.done() for task in tasks.values())
        )
        await self.cluster.stop(node)
        await self.cluster.propose(b"last")
        self.cluster.start(node)
        held = list(self.cluster.machines[self.cluster.leaders()[0]].commands)
        await self.cluster.wait_for_commands(held)
        accepted = {data for data, task in tasks.items() if task.exception() is None}
        self.assertEqual(len(held), len(set(held)))
        self.assertEqual(set(), accepted - set(held))
        self.assertEqual(b"last", held[-1])


class IsolationTest(ClusterCase):
    async def test_isolated_leader_commits_nothing_and_steps_down(self):
        old = self.cluster.replicas[self.leader]
        await self.cluster.propose(b"1")
        cut_at = self.cluster.clock.now()
        self.cluster.network.isolate(self.leader)
        early = await self.cluster.propose_at(self.leader, b"lost")
        await self.cluster.clock.advance(0.8)
        with self.assertRaises(WigeonscaleError) as caught:
            await old.propose(b"refused")
        refusal = caught.exception
        self.assertEqual(
            (ErrorKind.NO_QUORUM, RunState.NOT_RUN), (refusal.kind, refusal.run_state)
        )
        exc = await self.outcome(early)
        self.assertEqual(
            (ErrorKind.NO_QUORUM, RunState.UNKNOWN), (exc.kind, exc.run_state)
        )
        self.assertTrue(self.cluster.clock.now() - cut_at < 1.3)
        self.assertNotEqual("leader", old.role)
        leader = await self.cluster.leader(among=self.followers)
        await self.cluster.propose(b"2", via=leader)
        await self.cluster.clock.advance(30)
        self.assertEqual([b"1"], self.cluster.machines[self.leader].commands)
        self.assertTrue(old.fresh_at() <= cut_at)
        self.cluster.network.heal()
        await self.cluster.wait_for_commands([b"1", b"2"])

    async def test_returning_replica_does_not_depose_the_leader(self):
        self.cluster.network.isolate(self.followers[0])
        await self.cluster.clock.advance(30)
        term = self.cluster.replicas[self.leader].term
        self.cluster.network.heal()
        await self.cluster.clock.advance(10)
        self.assertEqual([self.leader], self.cluster.leaders())
        self.assertEqual(term, self.cluster.replicas[self.leader].term)

    async def test_no_leader_while_two_followers_are_isolated(self):
        for name in self.followers:
            self.cluster.network.isolate(name)
        await self.cluster.wait_until(lambda: not self.cluster.leaders())
        await self.cluster.clock.advance(20)
        self.assertEqual([], self.cluster.leaders())


class OneWayPartitionTest(WithScenarios, ClusterCase):
    scenarios = [
        (f"{who} {way}", {"who": who, "way": way})
        for who in ("leader", "follower")
        for way in ("receives nothing", "sends nothing")
    ]

    async def test_the_other_replicas_keep_committing(self):
        node = self.leader if self.who == "leader" else self.followers[0]
        others = [name for name in "abc" if name != node]
        for other in others:
            pair = (other, node) if self.way == "receives nothing" else (node, other)
            self.cluster.network.cut.add(pair)
        await self.cluster.clock.advance(3)
        leader = await self.cluster.leader(among=others)
        await self.cluster.propose(b"1", via=leader)
        await self.cluster.wait_for_commands([b"1"], names=others)
        self.cluster.network.heal()
        await self.cluster.propose(b"2")
        await self.cluster.wait_for_commands([b"1", b"2"])


STEPS = (
    "nothing sent",
    "sent to one",
    "followers not synced",
    "replies lost",
    "leader not synced",
    "committed",
)


class LeaderLossTest(WithScenarios, ClusterCase):
    """The leader is killed or isolated at each step of a commit."""

    scenarios = [
        (f"{step} {loss}", {"step": step, "loss": loss})
        for step in STEPS
        for loss in ("killed", "isolated")
    ]

    async def test_no_commit_is_lost_or_duplicated(self):
        await self.cluster.propose(b"before")
        self.begin_step()
        task = await self.cluster.propose_at(self.leader, b"middle")
        await self.cluster.clock.advance(0.3)
        expected_done = self.step in ("sent to one", "leader not synced", "committed")
        self.assertEqual(expected_done, task.done())
        await self.lose_leader()
        leader = await self.cluster.leader(among=self.followers)
        await self.cluster.propose(b"after", via=leader)
        self.cluster.network.heal()
        if self.loss == "killed":
            self.cluster.start(self.leader)
        held = list(self.cluster.machines[leader].commands)
        await self.cluster.wait_for_commands(held)
        result = (await asyncio.gather(task, return_exceptions=True))[0]
        if isinstance(result, WigeonscaleError):
            self.assertEqual(RunState.UNKNOWN, result.run_state)
        kept = 1 if expected_done else held.count(b"middle")
        self.assertEqual([b"before", *[b"middle"] * kept, b"after"], held)
        self.assertTrue(kept <= 1)

    def begin_step(self):
        cut = self.cluster.network.cut
        if self.step == "nothing sent":
            cut.update((self.leader, name) for name in self.followers)
        if self.step == "sent to one":
            cut.add((self.leader, self.followers[0]))
        if self.step == "replies lost":
            cut.update((name, self.leader) for name in self.followers)
        if self.step == "followers not synced":
            for name in self.followers:
                self.cluster.folders[name].writable.clear()
        if self.step == "leader not synced":
            self.cluster.folders[self.leader].writable.clear()

    async def lose_leader(self):
        self.cluster.network.cut.clear()
        if self.loss == "killed":
            await self.cluster.stop(self.leader)
        else:
            self.cluster.network.isolate(self.leader)
        for folder in self.cluster.folders.values():
            folder.writable.set()
