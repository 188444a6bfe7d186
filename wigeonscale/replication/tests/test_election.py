from wigeonscale.replication.files import VoteState
from wigeonscale.replication.tests.support import Cluster, ClusterCase
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire


class StubPeer:
    """A peer that replies to vote requests with a fixed term only."""

    def __init__(self, *, term):
        self._term = term

    async def handle_vote(self, req):
        return wire.VoteReply(node_id="x", term=self._term)


class VoteTest(ClusterCase):
    async def prepare(self):
        await super().prepare()
        await self.cluster.propose(b"1")
        await self.cluster.wait_for_commands([b"1"])
        self.voter = self.cluster.replicas[self.followers[0]]
        self.last_term, self.last_index = self.voter.last_position()

    async def ask(self, term, *, node="x", last_term=9, last_index=9, pre_vote=False):
        reply = await self.voter.handle_vote(
            wire.VoteRequest(
                node_id=node,
                term=term,
                last_term=last_term,
                last_index=last_index,
                pre_vote=pre_vote,
            )
        )
        return reply.granted

    async def lose_leader(self):
        await self.cluster.stop(self.leader, self.followers[1])
        await self.cluster.clock.advance(3)

    async def test_no_vote_while_the_leader_is_in_contact(self):
        term = self.voter.term
        for pre_vote in (True, False):
            self.assertFalse(await self.ask(term + 5, pre_vote=pre_vote))
        self.assertEqual(term, self.voter.term)

    async def test_one_vote_per_term_also_after_a_restart(self):
        await self.lose_leader()
        self.assertTrue(await self.ask(7, node="x"))
        self.assertTrue(await self.ask(7, node="x"))
        self.assertFalse(await self.ask(7, node="y"))
        await self.cluster.stop(self.followers[0])
        self.cluster.start(self.followers[0])
        self.voter = self.cluster.replicas[self.followers[0]]
        self.assertFalse(await self.ask(7, node="y"))
        self.assertFalse(await self.ask(6, node="x"))

    async def test_vote_completes_when_the_call_is_cancelled(self):
        await self.lose_leader()
        folder = self.cluster.folders[self.followers[0]]
        folder.writable.clear()
        first = self.cluster.spawn(self.ask(7, node="x"))
        await self.cluster.clock.advance(0)
        first.cancel()
        await self.cluster.clock.advance(0)
        second = self.cluster.spawn(self.ask(7, node="y"))
        folder.writable.set()
        self.assertFalse(await second)

    async def test_no_vote_for_a_log_that_is_behind(self):
        await self.lose_leader()
        for behind in (
            {"last_term": self.last_term - 1, "last_index": 99},
            {"last_term": self.last_term, "last_index": self.last_index - 1},
        ):
            for pre_vote in (True, False):
                self.assertFalse(await self.ask(7, pre_vote=pre_vote, **behind))
        equal = {"last_term": self.last_term, "last_index": self.last_index}
        self.assertTrue(await self.ask(8, pre_vote=True, **equal))
        self.assertTrue(await self.ask(8, **equal))

    async def test_higher_term_seen_during_the_pre_vote_is_kept(self):
        await self.cluster.stop(self.leader)
        senders = []

        async def raise_term(sender, receiver, req):
            if req.pre_vote and not senders:
                senders.append(sender)
                newer = wire.AppendRequest(leader_id="x", term=50)
                await self.cluster.replicas[sender].handle_append(newer)

        self.cluster.network.before_vote = raise_term
        await self.cluster.wait_until(lambda: senders)
        await self.cluster.clock.advance(0)
        self.assertTrue(self.cluster.replicas[senders[0]].term >= 50)


class SlowVoteFileTest(ClusterCase):
    async def test_pre_vote_won_while_a_higher_term_is_being_saved(self):
        higher_term_peer = self.leader
        await self.cluster.stop(higher_term_peer)
        self.cluster.network.replicas[higher_term_peer] = StubPeer(term=50)
        candidates = []

        async def delay_vote(sender, receiver, req):
            candidates.append(sender)
            self.cluster.folders[candidates[0]].writable.clear()
            if receiver != higher_term_peer:
                await self.cluster.clock.sleep(0.01)

        self.cluster.network.before_vote = delay_vote
        await self.cluster.wait_until(lambda: candidates)
        name = candidates[0]
        await self.cluster.clock.advance(0.02)
        self.cluster.network.before_vote = None
        self.cluster.folders[name].writable.set()
        await self.cluster.clock.advance(0.1)
        self.assertFalse(self.cluster.tasks[name].done())
        self.assertTrue(self.cluster.replicas[name].term >= 50)


class NewLeaderTest(ClusterCase):
    """A new leader whose first entry has not been replicated to any follower."""

    async def prepare(self):
        await super().prepare()
        self.cluster.network.cut.update((f, self.leader) for f in self.followers)
        await self.cluster.propose_at(self.leader, b"old")
        await self.cluster.clock.advance(0.3)
        await self.cluster.stop(self.leader)
        self.cluster.network.heal()
        self.old_term = self.cluster.replicas[self.followers[0]].term

        async def strip_entries_of_new_term(sender, receiver, req):
            kept = [entry for entry in req.entries if entry.term <= self.old_term]
            del req.entries[:]
            req.entries.extend(kept)

        self.cluster.network.before_append = strip_entries_of_new_term
        await self.cluster.wait_until(self.cluster.leaders)
        self.new = self.cluster.replicas[self.cluster.leaders()[0]]
        self.fresh_before = self.new.fresh_at()
        await self.cluster.clock.advance(2)
        self.assertEqual(
            [self.new],
            [r for r in self.cluster.replicas.values() if r.role == "leader"],
        )

    async def test_entry_of_an_earlier_term_is_not_committed_by_counting(self):
        self.assertEqual([], self.cluster.machines[self.new_name()].commands)
        self.cluster.network.before_append = None
        await self.cluster.wait_for_commands([b"old"])

    async def test_not_fresh_before_the_first_commit_of_its_term(self):
        self.assertEqual(self.fresh_before, self.new.fresh_at())
        self.cluster.network.before_append = None
        await self.cluster.wait_for_commands([b"old"])
        self.assertTrue(self.new.fresh_at() > self.fresh_before)

    def new_name(self):
        return self.cluster.leaders()[0]


class ForgottenVoteTest(AsyncTestCase):
    async def test_no_second_vote_in_a_term_voted_in_before_the_disk_was_lost(self):
        cluster = Cluster()
        self.addCleanup(cluster.stop)
        cluster.network.replicas.update(b=StubPeer(term=3), c=StubPeer(term=3))
        cluster.start("a")
        await cluster.wait_until(lambda: cluster.replicas["a"].may_vote)
        reply = await cluster.replicas["a"].handle_vote(
            wire.VoteRequest(node_id="b", term=3, last_term=1, last_index=1)
        )
        self.assertFalse(reply.granted)

    async def test_term_on_disk_never_decreases(self):
        cluster = Cluster(names="a")
        self.addCleanup(cluster.stop)
        cluster.start()
        await cluster.propose(b"1")
        storage = cluster.replicas["a"]._state.storage
        with self.assertRaises(ValueError):
            await storage.save_vote(VoteState(term=storage.vote.term - 1))
