"""The first start of a cluster, of which one replica is lost at any moment.

Guards against a cluster that never has a leader, since each of the others waits for the
lost one, and against a first start that takes the place of an accepted log.
"""

import asyncio
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonscale.errors import WigeonscaleError
from wigeonscale.replication import Member
from wigeonscale.replication.files import FIRST_START_NAME
from wigeonscale.replication.tests.memory_folder import MemoryFolder
from wigeonscale.replication.tests.support import Cluster
from wigeonscale.testing import AsyncTestCase

FIRST_START = {"allow_bootstrap": True, "is_first_start": True}
# Every start but the first one of the cluster.
LATER_START = {"allow_bootstrap": False, "is_first_start": False}
NAMES = "abc"
STEP_S = 0.05
# A leader that lost the others steps down within this time.
LEASE_S = 1.5


class FirstStartCluster(Cluster):
    """A cluster whose replicas are killed, wiped and replaced during its first start.

    Checks after each step that no term has two leaders and that no log contradicts
    another one.
    """

    def __init__(self, *, seed=1):
        super().__init__(names=NAMES, seed=seed)
        self.leader_of_term = {}
        self.accepted = []
        self.proposals = 0

    def wipe(self, name):
        self.folders[name] = MemoryFolder()

    async def advance(self, seconds):
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            await self.clock.advance(min(STEP_S, end - self.clock.now()))
            self.check()

    def propose_to_all(self):
        for name, replica in self.replicas.items():
            self.proposals += 1
            self.spawn(
                self._accept(replica, b"%d@%s" % (self.proposals, name.encode()))
            )

    async def _accept(self, replica, command):
        try:
            await replica.propose(command)
        except WigeonscaleError:
            return
        self.accepted.append(command)

    def check(self):
        for name in self.leaders():
            term = self.replicas[name].term
            known = self.leader_of_term.setdefault(term, name)
            assert known == name, f"term {term} has the leaders {known} and {name}"
        logs = [machine.commands for machine in self.machines.values()]
        longest = max(logs, key=len, default=[])
        for log in logs:
            assert longest[: len(log)] == log, logs

    async def replace(self, lost, name):
        """Let a new replica take the place of a lost member, as soon as one leads."""
        self.folders[name] = MemoryFolder()
        members = [member for member in self.members if member.node_id != lost]
        self.start(name, members=[*members, Member(name, name)], **LATER_START)
        leader = await self.leader()
        for change in ({"remove": lost}, {"add": Member(name, name)}):
            task = asyncio.create_task(self.replicas[leader].change_members(**change))
            await self.run_until_done(task)
        await self.wait_until(lambda: self.replicas[name].may_vote)

    async def finish(self):
        """Check that commands are accepted again and that none was lost."""
        await self.advance(LEASE_S)
        await self.wait_until(lambda: all(r.may_vote for r in self.replicas.values()))
        leader = await self.leader()
        await self.propose(b"last", via=leader)
        commands = list(self.machines[leader].commands)
        assert set(self.accepted) <= set(commands), (self.accepted, commands)
        await self.wait_for_commands(commands)
        self.check()


class FirstStartTest(AsyncTestCase):
    async def prepare(self):
        self.cluster = FirstStartCluster()
        self.addCleanup(self.cluster.stop)

    async def test_two_of_three_suffice(self):
        self.cluster.start("a", "b", **FIRST_START)
        await self.cluster.finish()
        self.cluster.start("c", **FIRST_START)
        await self.cluster.finish()

    async def test_all_are_waited_for_at_first(self):
        self.cluster.start("a", "b", **FIRST_START)
        await self.cluster.advance(0.9)
        self.assertFalse(any(r.may_vote for r in self.cluster.replicas.values()))
        self.cluster.start("c", **FIRST_START)
        await self.cluster.wait_until(
            lambda: all(r.may_vote for r in self.cluster.replicas.values()), 0.5
        )
        await self.cluster.finish()

    async def test_one_alone_does_not_start(self):
        self.cluster.start("a", **FIRST_START)
        await self.cluster.advance(20)
        self.assertFalse(self.cluster.replicas["a"].may_vote)

    async def test_later_starts_of_two_do_not_start_an_empty_log(self):
        self.cluster.start(**FIRST_START)
        await self.cluster.propose(b"1")
        await self.cluster.wait_for_commands([b"1"])
        await self.cluster.stop()
        for name in "ab":
            self.cluster.wipe(name)
        self.cluster.start("a", "b", **LATER_START)
        await self.cluster.advance(20)
        self.assertEqual([], self.cluster.leaders())

    async def test_restart_before_it_was_decided_is_still_a_first_start(self):
        self.cluster.start("a", **FIRST_START)
        await self.cluster.advance(0.3)
        await self.cluster.stop("a")
        self.cluster.start("a", **LATER_START)
        self.cluster.start("b", **FIRST_START)
        await self.cluster.finish()

    async def test_all_killed_before_their_first_vote_was_saved(self):
        """Guards against a first start that never ends, with no leader."""
        for name in NAMES:
            self.cluster.folders[name].durable[FIRST_START_NAME] = b""
        self.cluster.start(**LATER_START)
        await self.cluster.finish()

    async def test_wrong_statement_while_others_lead(self):
        """The settings still state the first start after a disk was lost."""
        self.cluster.start(**FIRST_START)
        await self.cluster.propose(b"1")
        leader = await self.cluster.leader()
        lost, healthy = [name for name in NAMES if name != leader]
        await self.cluster.stop(lost, healthy)
        self.cluster.wipe(lost)
        self.cluster.start(lost, **FIRST_START)
        await self.cluster.advance(10)
        # Without the third one, it counts neither for a majority nor as a voter.
        self.assertFalse(self.cluster.replicas[lost].may_vote)
        self.assertEqual([], self.cluster.leaders())
        self.cluster.start(healthy, **LATER_START)
        await self.cluster.finish()

    async def test_late_replica_after_the_loss_of_one_that_started(self):
        self.cluster.start("a", "b", **FIRST_START)
        await self.cluster.propose(b"1")
        await self.cluster.stop("b")
        self.cluster.wipe("b")
        self.cluster.accepted.append(b"1")
        # Only a holds the command; c starts for the first time, b has lost its disk.
        self.cluster.start("b", **LATER_START)
        self.cluster.start("c", **FIRST_START)
        await self.cluster.finish()


class LostReplicaTest(AsyncTestCase):
    """One replica is killed at any moment of the first start."""

    @settings(derandomize=True, deadline=None, max_examples=40, database=None)
    @given(
        offsets=st.tuples(*[st.sampled_from((0.0, 0.05, 0.3)) for _ in NAMES]),
        lost=st.sampled_from(NAMES),
        killed_at=st.integers(0, 80).map(lambda steps: steps * STEP_S),
        returns=st.sampled_from(("with its disk", "empty", "elsewhere", "never")),
        after=st.sampled_from((0.0, 0.2, 2.5)),
        seed=st.integers(0, 99),
    )
    def test_the_others_start(self, offsets, lost, killed_at, returns, after, seed):
        asyncio.run(self.play(offsets, lost, killed_at, returns, after, seed))

    async def play(self, offsets, lost, killed_at, returns, after, seed):
        cluster = FirstStartCluster(seed=seed)
        try:
            events = sorted([*zip(offsets, NAMES, strict=True), (killed_at, "kill")])
            began = cluster.clock.now()
            for at, name in events:
                while cluster.clock.now() < began + at:
                    await cluster.advance(STEP_S)
                    cluster.propose_to_all()
                if name != "kill":
                    cluster.start(name, **FIRST_START)
                elif lost in cluster.replicas:
                    await cluster.stop(lost)
            if lost in cluster.replicas:
                await cluster.stop(lost)
            await cluster.advance(after)
            if returns == "empty":
                cluster.wipe(lost)
            if returns == "elsewhere":
                await cluster.replace(lost, "d")
            elif returns != "never":
                cluster.start(lost, **LATER_START)
            await cluster.finish()
        finally:
            await cluster.stop()


class FirstStartScheduleTest(AsyncTestCase):
    """Random faults during the first start, among them one lost disk."""

    @settings(derandomize=True, deadline=None, max_examples=40, database=None)
    @given(
        faults=st.lists(
            st.tuples(
                st.sampled_from(("kill", "start", "start", "cut", "heal", "wipe")),
                st.sampled_from(NAMES),
                st.sampled_from((0.02, 0.1, 0.4, 1.5)),
            ),
            max_size=12,
        ),
        seed=st.integers(0, 99),
    )
    def test_invariants(self, faults, seed):
        asyncio.run(self.play(faults, seed))

    async def play(self, faults, seed):
        rng = random.Random(seed)
        cluster = FirstStartCluster(seed=seed)
        wiped = False
        try:
            cluster.start(**FIRST_START)
            # A replica killed before its first write counts as one with a lost disk.
            await cluster.clock.advance(0)
            for fault, name, seconds in faults:
                if fault == "kill" and name in cluster.replicas:
                    await cluster.stop(name)
                elif fault == "start" and name not in cluster.replicas:
                    cluster.start(name, **LATER_START)
                elif fault == "cut":
                    other = rng.choice([each for each in NAMES if each != name])
                    cluster.network.cut |= {(name, other), (other, name)}
                elif fault == "heal":
                    cluster.network.heal()
                elif fault == "wipe" and name not in cluster.replicas and not wiped:
                    cluster.wipe(name)
                    wiped = True
                cluster.propose_to_all()
                await cluster.advance(seconds)
            cluster.network.heal()
            for name in set(NAMES) - set(cluster.replicas):
                cluster.start(name, **LATER_START)
            await cluster.finish()
        finally:
            await cluster.stop()
