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


class BootstrapTest(AsyncTestCase):
    async def prepare(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.stop)

    async def test_bootstrap_with_replicas_started_one_by_one(self):
        for name in "abc":
            self.assertEqual([], self.cluster.leaders())
            self.cluster.start(name)
            await self.cluster.clock.advance(5)
        await self.cluster.propose(b"1")
        await self.cluster.wait_for_commands([b"1"])
        self.assertTrue(all(r.may_vote for r in self.cluster.replicas.values()))

    async def test_bootstrap_after_crashes_before_the_first_commit(self):
        for name in "abc" * 3:
            self.cluster.start(name)
            await self.cluster.clock.advance(0.1)
            await self.cluster.stop(name)
        self.cluster.start()
        await self.cluster.propose(b"1")
        await self.cluster.wait_for_commands([b"1"])

    async def test_two_lost_disks_do_not_bootstrap_an_empty_log(self):
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
        lost, healthy = self.followers
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
        await self.cluster.stop(healthy)
        await self.cluster.propose(b"121")
        await self.cluster.wait_for_commands(numbered_commands(1, 121))

    async def test_acknowledgement_after_a_lost_disk_does_not_count(self):
        lost, healthy = self.followers
        await self.cluster.propose(b"1")
        await self.cluster.stop(lost, healthy)
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

    async def test_second_disk_loss_is_not_covered_by_the_first_admission(self):
        lost, healthy = self.followers
        await self.cluster.propose(b"1")
        for _ in range(2):
            await self.cluster.stop(lost)
            self.wipe(lost)
            self.cluster.start(lost)
            await self.wait_until_admitted(lost)
        await self.cluster.wait_for_commands([b"1"])
        await self.cluster.stop(lost, healthy)
        self.wipe(lost)
        self.cluster.start(lost)
        # It receives the log with both earlier admissions; no new commit is possible.
        await self.cluster.wait_for_commands([b"1"], names=[lost])
        await self.cluster.clock.advance(10)
        self.assertFalse(self.cluster.replicas[lost].may_vote)
        self.cluster.start(healthy)
        await self.wait_until_admitted(lost)

    async def test_all_disks_lost_one_after_another(self):
        await self.cluster.propose(*numbered_commands(1, 60))
        for name in "abc":
            await self.cluster.stop(name)
            await self.cluster.leader()
            self.wipe(name)
            self.cluster.start(name)
            await self.wait_until_admitted(name)
        await self.cluster.wait_for_commands(numbered_commands(1, 60))


class DamagedFileTest(WithScenarios, ClusterCase):
    """A damaged file is restored from the other replicas without intervention."""

    options = ReplicaOptions(snapshot_entries=50)
    scenarios = [
        (f"{name} {how}", {"name": name, "how": how})
        for name in ("log", "snapshot", "vote")
        for how in ("flipped", "missing")
        if (name, how) != ("snapshot", "missing")
    ] + [("snapshot missing", {"name": "snapshot", "how": "missing"})]

    async def test_recovers_from_the_other_replicas(self):
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


class ChangeMembersTest(ClusterCase):
    async def change(self, **kwargs):
        leader = self.cluster.replicas[await self.cluster.leader()]
        change = leader.change_members(**kwargs)
        task = self.cluster.spawn(change)
        await self.cluster.run_until_done(task)

    def voters(self):
        leader = self.cluster.replicas[self.cluster.leaders()[0]]
        return {member.node_id for member in leader.members() if member.voting}

    async def test_replace_every_initial_member(self):
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

    async def test_removed_replica_does_not_depose_the_leader(self):
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

    async def test_uncommitted_change_is_reverted(self):
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

    async def test_single_voter_cannot_add_a_member(self):
        # The commit that admits the second voter would need that voter itself.
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

    async def test_removal_must_not_leave_one_voter_and_a_non_voting_member(self):
        await self.change(add=Member("d", "d"))  # never started
        await self.change(remove=self.followers[0])
        with self.assertRaises(WigeonscaleError) as caught:
            await self.change(remove=self.followers[1])
        self.assertEqual(ErrorKind.BAD_REQUEST, caught.exception.kind)
        await self.change(remove="d")
        await self.change(remove=self.followers[1])
        await self.cluster.propose(b"1")

    async def test_invalid_changes_are_rejected(self):
        leader = self.cluster.replicas[self.leader]
        for kwargs in ({}, {"remove": "x"}, {"add": Member("a", "a")}):
            with self.assertRaises(WigeonscaleError) as caught:
                await leader.change_members(**kwargs)
            self.assertEqual(ErrorKind.BAD_REQUEST, caught.exception.kind)


class ReplacementTest(ClusterCase):
    """A new member at another address replaces one that is lost permanently."""

    async def add_fourth(self):
        self.cluster.folders["d"] = MemoryFolder()
        leader = self.cluster.replicas[self.leader]
        change = leader.change_members(add=Member("d", "d"))
        await self.cluster.run_until_done(self.cluster.spawn(change))
        self.cluster.start("d")

    async def test_fourth_member_is_admitted_while_one_of_three_is_lost(self):
        # Four voters of which one is lost need three. If the new member did not count
        # towards its own admission, neither that nor any later entry would commit.
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

    async def test_lost_disk_of_an_added_member_does_not_count(self):
        await self.add_fourth()
        await self.cluster.wait_until(lambda: self.cluster.replicas["d"].may_vote)
        await self.cluster.propose(b"1")
        await self.cluster.wait_for_commands([b"1"])
        await self.cluster.stop("d", *self.followers)
        self.cluster.folders["d"] = MemoryFolder()
        self.cluster.start("d", self.followers[0])
        # Only two of four voters count: replaying the log does not admit it again.
        await self.cluster.clock.advance(10)
        self.assertEqual([], self.cluster.leaders())
        self.assertFalse(self.cluster.replicas["d"].may_vote)

    async def test_fourth_member_is_admitted_with_three_healthy_ones(self):
        await self.add_fourth()
        await self.cluster.wait_until(lambda: self.cluster.replicas["d"].may_vote)
        await self.cluster.propose(b"1")
        await self.cluster.wait_for_commands([b"1"])
