from testscenarios import WithScenarios

from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.replication import Member, ReplicaOptions
from wigeonscale.replication.tests.memory_folder import MemoryFolder
from wigeonscale.replication.tests.support import (
    Cluster,
    ClusterCase,
    numbered_commands,
)
from wigeonscale.testing import AsyncTestCase


class FirstStartTest(AsyncTestCase):
    async def prepare(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.stop)

    async def test_one_after_another(self):
        for name in "abc":
            self.assertEqual([], self.cluster.leaders())
            self.cluster.start(name)
            await self.cluster.clock.advance(5)
        await self.cluster.propose(b"1")
        await self.cluster.wait_for_commands([b"1"])
        self.assertTrue(all(r.may_vote for r in self.cluster.replicas.values()))

    async def test_killed_before_the_first_commit(self):
        for name in "abc" * 3:
            self.cluster.start(name)
            await self.cluster.clock.advance(0.1)
            await self.cluster.stop(name)
        self.cluster.start()
        await self.cluster.propose(b"1")
        await self.cluster.wait_for_commands([b"1"])

    async def test_two_lost_disks_do_not_begin_an_empty_log(self):
        self.cluster.start()
        await self.cluster.propose(b"1")
        await self.cluster.wait_for_commands([b"1"])
        await self.cluster.stop()
        for name in "ab":
            self.cluster.folders[name] = MemoryFolder()
        self.cluster.start("a", "b")
        await self.cluster.clock.advance(20)
        self.assertEqual([], self.cluster.leaders())
        self.cluster.start("c")
        await self.cluster.clock.advance(20)
        self.assertEqual([], self.cluster.leaders())
        self.assertEqual(b"", b"".join(self.cluster.machines["a"].commands))


class LostDiskTest(ClusterCase):
    options = ReplicaOptions(snapshot_entries=50)

    def wipe(self, name):
        self.cluster.folders[name] = MemoryFolder()

    async def wait_until_admitted(self, name):
        await self.cluster.wait_until(lambda: self.cluster.replicas[name].may_vote)

    async def test_no_vote_until_admitted_by_the_others(self):
        lost, sound = self.followers
        await self.cluster.propose(*numbered_commands(1, 120))
        await self.cluster.wait_for_commands(numbered_commands(1, 120))
        await self.cluster.stop(lost, self.leader)
        self.wipe(lost)
        self.cluster.start(lost)
        await self.cluster.clock.advance(20)
        self.assertEqual([], self.cluster.leaders())
        self.assertFalse(self.cluster.replicas[lost].may_vote)
        self.cluster.start(self.leader)
        await self.wait_until_admitted(lost)
        await self.cluster.wait_for_commands(numbered_commands(1, 120))
        await self.cluster.stop(sound)
        await self.cluster.propose(b"121")
        await self.cluster.wait_for_commands(numbered_commands(1, 121))

    async def test_acknowledgement_of_a_lost_disk_commits_nothing(self):
        lost, sound = self.followers
        await self.cluster.propose(b"1")
        await self.cluster.stop(lost, sound)
        self.wipe(lost)
        self.cluster.start(lost)
        task = await self.cluster.propose_at(self.leader, b"2")
        await self.cluster.wait_until(task.done)
        self.assertEqual(ErrorKind.NO_QUORUM, task.exception().kind)
        self.assertFalse(self.cluster.replicas[lost].may_vote)
        self.assertNotIn(b"2", self.cluster.machines[self.leader].commands)

    async def test_admitted_only_once_caught_up(self):
        lost = self.followers[0]
        await self.cluster.propose(b"1")
        await self.cluster.wait_for_commands([b"1"])
        await self.cluster.stop(lost)
        self.wipe(lost)

        async def hold_entries(sender, receiver, req):
            if receiver == lost and req.entries:
                await self.cluster.clock.sleep(60)

        self.cluster.network.before_append = hold_entries
        self.cluster.start(lost)
        await self.cluster.clock.advance(5)
        members = self.cluster.replicas[self.leader].members()
        self.assertEqual({""}, {member.storage_id for member in members})
        self.cluster.network.before_append = None
        await self.wait_until_admitted(lost)

    async def test_second_loss_is_not_admitted_by_the_first_admission(self):
        lost, sound = self.followers
        await self.cluster.propose(b"1")
        for _ in range(2):
            await self.cluster.stop(lost)
            self.wipe(lost)
            self.cluster.start(lost)
            await self.wait_until_admitted(lost)
        await self.cluster.wait_for_commands([b"1"])
        await self.cluster.stop(lost, sound)
        self.wipe(lost)
        self.cluster.start(lost)
        # The log with both old admissions reaches it, but no new commit can.
        await self.cluster.wait_for_commands([b"1"], names=[lost])
        await self.cluster.clock.advance(10)
        self.assertFalse(self.cluster.replicas[lost].may_vote)
        self.cluster.start(sound)
        await self.wait_until_admitted(lost)

    async def test_lost_disks_of_all_one_after_another(self):
        await self.cluster.propose(*numbered_commands(1, 60))
        for name in "abc":
            await self.cluster.stop(name)
            await self.cluster.leader()
            self.wipe(name)
            self.cluster.start(name)
            await self.wait_until_admitted(name)
        await self.cluster.wait_for_commands(numbered_commands(1, 60))


class DamageTest(WithScenarios, ClusterCase):
    """A broken file is healed from the others, without a person."""

    options = ReplicaOptions(snapshot_entries=50)
    scenarios = [
        (f"{name} {how}", {"name": name, "how": how})
        for name in ("log", "snapshot", "vote")
        for how in ("flipped", "missing")
        if (name, how) != ("snapshot", "missing")
    ] + [("snapshot missing", {"name": "snapshot", "how": "missing"})]

    async def test_healed_from_the_others(self):
        node = self.followers[0]
        await self.cluster.propose(*numbered_commands(1, 70))
        await self.cluster.wait_for_commands(numbered_commands(1, 70))
        await self.cluster.stop(node)
        folder = self.cluster.folders[node]
        if self.how == "missing":
            del folder.durable[self.name]
        else:
            folder.flip_byte(self.name, len(folder.durable[self.name]) // 2)
        self.cluster.start(node)
        await self.cluster.clock.advance(0)
        self.assertFalse(self.cluster.replicas[node].may_vote)
        await self.cluster.wait_for_commands(numbered_commands(1, 70))
        await self.cluster.wait_until(lambda: self.cluster.replicas[node].may_vote)
        await self.cluster.stop(node)
        self.cluster.start(node)
        await self.cluster.clock.advance(0)
        self.assertTrue(self.cluster.replicas[node].may_vote)


class ChangeVotersTest(ClusterCase):
    async def change(self, **kwargs):
        leader = self.cluster.replicas[await self.cluster.leader()]
        change = leader.change_members(**kwargs)
        task = self.cluster.spawn(change)
        await self.cluster.run_until_done(task)

    def voters(self):
        leader = self.cluster.replicas[self.cluster.leaders()[0]]
        return {member.node_id for member in leader.members() if member.voting}

    async def test_add_then_remove_every_first_member(self):
        await self.cluster.propose(*numbered_commands(1, 10))
        for name in "def":
            member = Member(name, name)
            self.cluster.folders[name] = MemoryFolder()
            self.cluster.start(name, members=(*self.cluster.members, member))
            await self.change(add=member)
            await self.cluster.wait_until(lambda name=name: name in self.voters())
            await self.cluster.wait_until(
                lambda name=name: self.cluster.replicas[name].may_vote
            )
        for name in "abc":
            await self.change(remove=name)
            await self.cluster.stop(name)
            await self.cluster.leader()
        self.assertEqual(set("def"), self.voters())
        await self.cluster.propose(b"11")
        await self.cluster.stop()
        self.cluster.start("d", "e", "f")
        await self.cluster.propose(b"12")
        await self.cluster.wait_for_commands(numbered_commands(1, 12))

    async def test_removed_leader_steps_down(self):
        old = self.cluster.replicas[self.leader]
        await self.change(remove=self.leader)
        await self.cluster.leader(among=self.followers)
        self.assertEqual("follower", old.role)
        await self.cluster.clock.advance(10)
        self.assertNotIn(self.leader, self.cluster.leaders())

    async def test_removed_replica_does_not_disturb(self):
        node = self.followers[0]
        await self.change(remove=node)
        term = self.cluster.replicas[self.leader].term
        await self.cluster.clock.advance(20)
        self.assertEqual([self.leader], self.cluster.leaders())
        self.assertEqual(term, self.cluster.replicas[self.leader].term)

    async def test_one_change_at_a_time(self):
        leader = self.cluster.replicas[self.leader]
        self.cluster.network.isolate(self.leader)
        first = self.cluster.spawn(leader.change_members(add=Member("d", "d")))
        await self.cluster.clock.advance(0)
        with self.assertRaises(WigeonscaleError) as caught:
            await leader.change_members(add=Member("e", "e"))
        self.assertEqual(ErrorKind.IN_PROGRESS, caught.exception.kind)
        self.cluster.network.heal()
        await self.cluster.wait_until(first.done)

    async def test_change_that_was_never_committed_is_forgotten(self):
        old = self.cluster.replicas[self.leader]
        self.cluster.network.isolate(self.leader)
        self.cluster.spawn(old.change_members(add=Member("d", "d")))
        await self.cluster.clock.advance(0)
        self.assertEqual(4, len(old.members()))
        await self.cluster.leader(among=self.followers)
        self.cluster.network.heal()
        await self.cluster.propose(b"1")
        await self.cluster.wait_for_commands([b"1"])
        self.assertEqual(self.cluster.members, old.members())

    async def test_single_voter_is_not_grown(self):
        # Once the second had a vote, its admission would wait for its own vote.
        self.cluster.folders["d"] = MemoryFolder()
        self.cluster.start("d", members=(*self.cluster.members, Member("d", "d")))
        for name in self.followers:
            await self.change(remove=name)
            await self.cluster.stop(name)
        leader = self.cluster.replicas[self.leader]
        with self.assertRaises(WigeonscaleError) as caught:
            await self.change(add=Member("d", "d"))
        self.assertEqual(ErrorKind.BAD_REQUEST, caught.exception.kind)
        self.assertIn("single voter", caught.exception.message)
        await self.cluster.clock.advance(10)
        await self.cluster.propose(b"1")
        self.assertEqual([self.leader], [m.node_id for m in leader.members()])

    async def test_single_voter_is_not_left_beside_a_member_to_be_admitted(self):
        await self.change(add=Member("d", "d"))  # never started
        await self.change(remove=self.followers[0])
        with self.assertRaises(WigeonscaleError) as caught:
            await self.change(remove=self.followers[1])
        self.assertEqual(ErrorKind.BAD_REQUEST, caught.exception.kind)
        await self.change(remove="d")
        await self.change(remove=self.followers[1])
        await self.cluster.propose(b"1")

    async def test_impossible_changes_are_refused(self):
        leader = self.cluster.replicas[self.leader]
        for kwargs in ({}, {"remove": "x"}, {"add": Member("a", "a")}):
            with self.assertRaises(WigeonscaleError) as caught:
                await leader.change_members(**kwargs)
            self.assertEqual(ErrorKind.BAD_REQUEST, caught.exception.kind)


class ReplacedTest(ClusterCase):
    """A replica at another address stands in for one that is gone for good."""

    async def add_fourth(self):
        self.cluster.folders["d"] = MemoryFolder()
        leader = self.cluster.replicas[self.leader]
        change = leader.change_members(add=Member("d", "d"))
        await self.cluster.run_until_done(self.cluster.spawn(change))
        self.cluster.start("d")

    async def test_fourth_beside_one_that_is_gone(self):
        # Four voters with one gone need three. Did the new one not count for its own
        # vote, that would never be committed, nor anything after it.
        gone = self.followers[0]
        await self.cluster.stop(gone)
        await self.add_fourth()
        await self.cluster.clock.advance(10)
        self.assertEqual([self.leader], self.cluster.leaders())
        await self.cluster.propose(b"1")
        self.assertTrue(self.cluster.replicas["d"].may_vote)

        leader = self.cluster.replicas[self.leader]
        change = leader.change_members(remove=gone)
        await self.cluster.run_until_done(self.cluster.spawn(change))
        await self.cluster.stop(self.followers[1])
        await self.cluster.propose(b"2")
        await self.cluster.wait_for_commands([b"1", b"2"], names=[self.leader, "d"])

    async def test_lost_disk_of_one_added_before_counts_for_nothing(self):
        await self.add_fourth()
        await self.cluster.wait_until(lambda: self.cluster.replicas["d"].may_vote)
        await self.cluster.propose(b"1")
        await self.cluster.wait_for_commands([b"1"])
        await self.cluster.stop("d", *self.followers)
        self.cluster.folders["d"] = MemoryFolder()
        self.cluster.start("d", self.followers[0])
        # Of four voters two count: the log that added it does not make it count.
        await self.cluster.clock.advance(10)
        self.assertEqual([], self.cluster.leaders())
        self.assertFalse(self.cluster.replicas["d"].may_vote)

    async def test_fourth_beside_three_sound_ones_votes(self):
        await self.add_fourth()
        await self.cluster.wait_until(lambda: self.cluster.replicas["d"].may_vote)
        await self.cluster.propose(b"1")
        await self.cluster.wait_for_commands([b"1"])
