import asyncio

from testscenarios import WithScenarios

from wigeonscale.errors import RunState
from wigeonscale.replication import NotLeaderError
from wigeonscale.replication.tests.support import ClusterCase, numbered_commands
from wigeonscale.wire import wire_pb2 as wire

ELECTION_TIMEOUT_S = 1.0


class TransferCase(ClusterCase):
    async def prepare(self):
        await super().prepare()
        self.asked = []  # voters that were asked to campaign, in order
        self.cluster.network.before_campaign = self.record_campaign

    async def record_campaign(self, sender, receiver, req):
        self.asked.append(receiver)

    async def transfer_leadership(self, name):
        return self.cluster.spawn(self.cluster.replicas[name].transfer_leadership())


class TransferTest(TransferCase):
    async def test_immediate_transfer_without_lost_or_duplicated_proposals(self):
        old = self.cluster.replicas[self.leader]
        gate = asyncio.Event()

        async def hold(sender, receiver, req):
            await gate.wait()

        self.cluster.network.before_append = hold
        tasks = [
            await self.cluster.propose_at(self.leader, n)
            for n in numbered_commands(1, 9)
        ]
        began = self.cluster.clock.now()
        transfer = await self.transfer_leadership(self.leader)
        late = await self.cluster.propose_at(self.leader, b"late")
        refusal = late.exception()
        self.assertIsInstance(refusal, NotLeaderError)
        self.assertEqual((RunState.NOT_RUN, ""), (refusal.run_state, refusal.leader))
        self.assertEqual([], self.asked)
        term = old.term
        votes = []

        async def record_vote(sender, receiver, req):
            votes.append((receiver, req.pre_vote))

        self.cluster.network.before_vote = record_vote
        gate.set()
        for _ in range(10):
            await self.cluster.clock.advance(0)
        self.assertTrue(transfer.result())
        self.assertEqual([None] * 9, [task.exception() for task in tasks])
        # One request to the successor and one to each voter, without any delay.
        self.assertEqual(began, self.cluster.clock.now())
        self.assertEqual(1, len(self.asked))
        voters = set("abc") - set(self.asked)
        self.assertEqual({(name, False) for name in voters}, set(votes))
        self.assertEqual(self.asked, self.cluster.leaders())
        self.assertEqual(term + 1, old.term)
        await self.cluster.propose(b"after", via=self.asked[0])
        await self.cluster.wait_for_commands([*numbered_commands(1, 9), b"after"])

    async def test_most_caught_up_voter_takes_over(self):
        behind, level = self.followers
        self.cluster.network.cut.add((self.leader, behind))
        await self.cluster.propose(b"1")
        self.cluster.network.heal()
        await self.cluster.run_until_done(await self.transfer_leadership(self.leader))
        self.assertEqual([level], self.asked)
        self.assertEqual([level], self.cluster.leaders())

    async def test_stopping_replica_does_not_campaign_again(self):
        await self.cluster.run_until_done(await self.transfer_leadership(self.leader))
        await self.cluster.stop(*self.cluster.leaders())
        candidates = set()

        async def record_vote(sender, receiver, req):
            candidates.add(sender)

        self.cluster.network.before_vote = record_vote
        await self.cluster.clock.advance(20)
        self.assertEqual(set(self.cluster.replicas) - {self.leader}, candidates)

    async def test_all_replicas_stop_together(self):
        tasks = [await self.transfer_leadership(name) for name in "abc"]
        await self.cluster.clock.advance(0)
        self.assertEqual([False] * 3, [task.result() for task in tasks])
        self.assertEqual([], self.cluster.leaders())


class BlockedCommitTest(WithScenarios, TransferCase):
    """Entries that cannot be committed delay a stop by one election timeout at most."""

    scenarios = [
        (cause, {"cause": cause, "wait_s": wait_s})
        for cause, wait_s in (
            ("no majority", ELECTION_TIMEOUT_S),
            ("slow disk", ELECTION_TIMEOUT_S),
            ("another leads", 0),
        )
    ]

    async def test_leader_steps_down_in_time(self):
        if self.cause == "slow disk":
            self.cluster.folders[self.leader].writable.clear()
            await self.cluster.stop(self.followers[0])
        else:
            self.cluster.network.isolate(self.leader)
        old = self.cluster.replicas[self.leader]
        early = await self.cluster.propose_at(self.leader, b"early")
        transfer = await self.transfer_leadership(self.leader)
        await self.cluster.clock.advance(0)
        if self.cause == "another leads":
            ahead = wire.AppendRequest(leader_id="x", term=old.term + 1)
            await old.handle_append(ahead)
        await self.cluster.clock.advance(self.wait_s)
        self.assertFalse(transfer.result())
        self.assertEqual(RunState.UNKNOWN, early.exception().run_state)
        self.assertEqual(("follower", []), (old.role, self.asked))


class LostTransferTargetTest(WithScenarios, TransferCase):
    """The first voter asked to campaign fails; the other one takes over in time."""

    scenarios = [
        (fault, {"fault": fault})
        for fault in (
            "dead",
            "cut",
            "cut once asked",
            "stopping",
            "asked for another term",
            "asked by another leader",
            "asked with a longer log",
        )
    ]

    async def record_campaign(self, sender, receiver, req):
        await super().record_campaign(sender, receiver, req)
        if len(self.asked) > 1:
            return
        if self.fault == "dead":
            await self.cluster.stop(receiver)
        if self.fault == "cut":
            self.cluster.network.isolate(receiver)
        if self.fault == "cut once asked":
            self.cluster.network.isolate(receiver)
            self.cluster.network.cut.discard((sender, receiver))
        if self.fault == "stopping":
            await self.cluster.replicas[receiver].transfer_leadership()
        if self.fault == "asked for another term":
            req.term -= 1
        if self.fault == "asked by another leader":
            req.leader_id = "x"
        if self.fault == "asked with a longer log":
            req.last_index += 1

    async def test_other_voter_takes_over(self):
        await self.cluster.propose(b"1")
        transfer = await self.transfer_leadership(self.leader)
        began = self.cluster.clock.now()
        self.assertTrue(await self.cluster.run_until_done(transfer))
        self.assertTrue(self.cluster.clock.now() - began <= ELECTION_TIMEOUT_S)
        first, second = self.asked
        self.assertEqual([second], self.cluster.leaders())
        await self.cluster.propose(b"2", via=second)
        self.assertEqual([b"1", b"2"], self.cluster.machines[second].commands)


class StoppingSuccessorTest(WithScenarios, TransferCase):
    """The successor also stops, before, while or after it takes over."""

    scenarios = [
        (at, {"at": at}) for at in ("together", "asked", "candidate", "leader")
    ]

    async def test_third_replica_takes_over_immediately(self):
        await self.cluster.propose(b"1")
        began = self.cluster.clock.now()
        self.stops = []
        self.cluster.network.before_vote = self.record_vote
        transfer = await self.transfer_leadership(self.leader)
        if self.at == "together":
            self.stops += [
                await self.transfer_leadership(name) for name in self.followers[:1]
            ]
        await self.settle()
        if self.at == "leader":
            self.stops.append(await self.transfer_leadership(self.asked[0]))
            await self.settle()
        self.assertTrue(transfer.done())
        self.assertEqual([True], [task.done() for task in self.stops])
        self.assertEqual(began, self.cluster.clock.now())
        (third,) = self.cluster.leaders()
        await self.cluster.propose(b"2", via=third)
        self.assertEqual([b"1", b"2"], self.cluster.machines[third].commands)

    async def settle(self):
        for _ in range(20):
            await self.cluster.clock.advance(0)

    async def record_campaign(self, sender, receiver, req):
        await super().record_campaign(sender, receiver, req)
        if self.at == "asked" and not self.stops:
            self.stops.append(await self.transfer_leadership(receiver))
            await asyncio.sleep(0)

    async def record_vote(self, sender, receiver, req):
        if self.at == "candidate" and not self.stops:
            self.stops.append(await self.transfer_leadership(sender))


class StoppingCandidateTest(WithScenarios, TransferCase):
    """A candidate in a regular election stops before it has received its votes."""

    scenarios = [(f"pre-vote {pre}", {"pre_vote": pre}) for pre in (True, False)]

    async def test_stopped_candidate_does_not_become_leader(self):
        stops = []

        async def stop_sender(sender, receiver, req):
            if req.pre_vote == self.pre_vote:
                if not stops:
                    self.began = self.cluster.clock.now()
                    stops.append((sender, await self.transfer_leadership(sender)))
                await asyncio.sleep(0)
                if not self.pre_vote:
                    raise ConnectionError("injected fault")

        self.cluster.network.before_vote = stop_sender
        await self.cluster.stop(self.leader)
        await self.cluster.wait_until(lambda: stops)
        ((name, task),) = stops
        await self.cluster.wait_until(task.done)
        self.assertTrue(self.cluster.clock.now() - self.began < 0.1)
        await self.cluster.clock.advance(5)
        self.assertNotIn(name, self.cluster.leaders())
