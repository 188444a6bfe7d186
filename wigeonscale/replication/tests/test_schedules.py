import random

from testscenarios import WithScenarios

from wigeonscale.errors import WigeonscaleError
from wigeonscale.replication import ReplicaOptions
from wigeonscale.replication.tests.memory_folder import MemoryFolder
from wigeonscale.replication.tests.support import Cluster
from wigeonscale.testing import AsyncTestCase

ROUNDS = 50
SEEDS = 12


class ScheduleTest(WithScenarios, AsyncTestCase):
    """Random faults from a seeded generator; invariants are checked after each."""

    scenarios = [(f"seed {seed}", {"seed": seed}) for seed in range(SEEDS)]

    async def prepare(self):
        self.rng = random.Random(self.seed)
        options = ReplicaOptions(snapshot_entries=20, batch_entries=2)
        self.cluster = Cluster(options=options, seed=self.seed)
        self.addCleanup(self.cluster.stop)
        self.cluster.start()
        self.accepted = []  # (time of the result, command)
        self.leader_of_term = {}
        self.proposals = 0
        self.cluster.network.duplicate = self.seed % 2 == 1

    async def test_invariants(self):
        await self.cluster.leader()
        faults = [self.propose] * 5
        faults += [self.cut, self.kill, self.wipe, self.hang, self.plan_stop]
        faults += [self.heal, self.start] * 2
        for _ in range(ROUNDS):
            await self.rng.choice(faults)()
            await self.cluster.clock.advance(self.rng.choice([0.01, 0.1, 0.4, 1.5]))
            self.check()
        await self.heal()
        await self.start()
        await self.cluster.clock.advance(5)
        leader = await self.cluster.leader()
        await self.cluster.propose(b"last", via=leader)
        held = list(self.cluster.machines[leader].commands)
        await self.cluster.wait_for_commands(held)
        self.check()
        self.assertTrue(len(self.accepted) >= 5)

    async def propose(self):
        for name, replica in list(self.cluster.replicas.items()):
            for _ in range(self.rng.choice([1, 8])):
                self.proposals += 1
                command = b"%d@%s" % (self.proposals, name.encode())
                self.cluster.spawn(self.accept(replica, command))

    async def accept(self, replica, command):
        try:
            await replica.propose(command)
        except WigeonscaleError:
            return
        self.accepted.append((self.cluster.clock.now(), command))

    async def cut(self):
        self.cluster.network.cut.add(tuple(self.rng.sample("abc", 2)))

    async def heal(self):
        self.cluster.network.heal()
        for folder in self.cluster.folders.values():
            folder.writable.set()

    async def hang(self):
        self.cluster.folders[self.rng.choice("abc")].writable.clear()

    async def kill(self):
        if self.cluster.replicas:
            await self.cluster.stop(self.rng.choice(sorted(self.cluster.replicas)))

    async def plan_stop(self):
        """Stop some replicas as planned, concurrently."""
        names = sorted(self.cluster.replicas)
        names = self.rng.sample(names, min(len(names), self.rng.choice([1, 2])))
        for name in names:
            self.cluster.spawn(self.cluster.replicas[name].transfer_leadership())
        await self.cluster.clock.advance(self.rng.choice([0, 0.1, 0.6, 1.2]))
        if names:
            await self.cluster.stop(*names)

    async def start(self):
        for name in sorted(set("abc") - set(self.cluster.replicas)):
            self.cluster.start(name)

    async def wipe(self):
        replicas = self.cluster.replicas
        healthy = len(replicas) == 3 and all(r.may_vote for r in replicas.values())
        if healthy and len({r.last_position() for r in replicas.values()}) == 1:
            name = self.rng.choice("abc")
            await self.cluster.stop(name)
            self.cluster.folders[name] = MemoryFolder()
            self.cluster.start(name)

    def check(self):
        logs = [self.cluster.machines[name].commands for name in "abc"]
        longest = max(logs, key=len)
        self.assertEqual(len(longest), len(set(longest)))
        for log in logs:
            self.assertEqual(longest[: len(log)], log)
        for name in self.cluster.leaders():
            term = self.cluster.replicas[name].term
            self.assertEqual(name, self.leader_of_term.setdefault(term, name))
        for name, replica in self.cluster.replicas.items():
            fresh_at = replica.fresh_at()
            if fresh_at is None:
                continue
            known = {command for at, command in self.accepted if at < fresh_at}
            missing = known - set(self.cluster.machines[name].commands)
            self.assertEqual(set(), missing)
