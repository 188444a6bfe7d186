"""Cluster of replicas in one process, for tests with a manual clock."""

import asyncio
import random

from wigeonscale.replication import Member, Replica, ReplicaOptions, Role
from wigeonscale.replication.tests.memory_folder import MemoryFolder
from wigeonscale.replication.tests.memory_network import MemoryNetwork
from wigeonscale.testing import AsyncTestCase, ManualClock
from wigeonscale.wire import wire_pb2 as wire

STEP_S = 0.05
LIMIT_S = 60.0


class ListMachine:
    """State machine that records all commands in a list."""

    def __init__(self):
        self.commands = []

    def apply(self, index, term, data):
        if data == b"raise":
            raise ValueError("injected fault")
        self.commands.append(data)
        return index

    def snapshot(self):
        voters = wire.VoterSet()
        for data in self.commands:
            voters.voters.add(node_id=data.decode())
        return voters.SerializeToString()

    def restore(self, data):
        voters = wire.VoterSet.FromString(data).voters
        self.commands = [voter.node_id.encode() for voter in voters]


class Cluster:
    """Replicas in one process, with a common manual clock."""

    def __init__(self, *, names="abc", options=None, seed=1):
        self.clock = ManualClock()
        self.network = MemoryNetwork()
        self.options = options or ReplicaOptions()
        self.members = tuple(Member(name, name) for name in names)
        self.folders = {name: MemoryFolder() for name in names}
        self.machines = {}
        self.replicas = {}
        self.tasks = {}
        self._rng = random.Random(seed)

    def start(self, *names, members=None, **options):
        for name in names or self.folders:
            self.folders[name] = self.folders[name].crash()
            self.machines[name] = ListMachine()
            replica = Replica(
                node_id=name,
                address=name,
                initial_members=members or self.members,
                folder=self.folders[name],
                machine=self.machines[name],
                transport=self.network.transport(name),
                clock=self.clock,
                options=self.options,
                rng=random.Random(self._rng.random()),
                **options,
            )
            self.replicas[name] = replica
            self.network.replicas[name] = replica
            self.tasks[name] = asyncio.create_task(replica.run())

    async def stop(self, *names):
        """Stop replicas like a crash: nothing more is written."""
        for name in names or list(self.tasks):
            self.network.replicas.pop(name, None)
            folder = self.folders[name]
            self.folders[name] = folder.crash()
            task = self.tasks.pop(name)
            del self.replicas[name]
            task.cancel()
            await self.clock.advance(0)
            folder.writable.set()
            await asyncio.gather(task, return_exceptions=True)

    async def wait_until(self, condition, limit_s=LIMIT_S):
        """Advance the clock until a condition holds and return its result."""
        for _ in range(int(limit_s / STEP_S)):
            result = condition()
            if result:
                return result
            await self.clock.advance(STEP_S)
        raise AssertionError("the condition never held")

    async def run_until_done(self, task):
        """Advance the clock until a task is done and return its result."""
        await self.wait_until(task.done)
        return task.result()

    def leaders(self):
        return [n for n, r in self.replicas.items() if r.role is Role.LEADER]

    async def leader(self, among=None):
        """Advance until a leader has committed in its own term; return its name."""

        def ready():
            for name in self.leaders():
                replica = self.replicas[name]
                if among is not None and name not in among:
                    continue
                if replica.applied_term == replica.term:
                    return name
            return None

        return await self.wait_until(ready)

    async def propose(self, *commands, via=None):
        """Commit commands in sequence and return the last result."""
        result = None
        for data in commands:
            name = via or await self.leader()
            task = asyncio.create_task(self.replicas[name].propose(data))
            result = await self.run_until_done(task)
        return result

    def spawn(self, coro):
        """Run a coroutine as a task whose exception may remain unretrieved."""
        task = asyncio.create_task(coro)
        task.add_done_callback(lambda task: task.cancelled() or task.exception())
        return task

    async def propose_at(self, name, data):
        """Start a proposal, let it be appended and sent, and return its task."""
        task = self.spawn(self.replicas[name].propose(data))
        await self.clock.advance(0)
        return task

    async def wait_for_commands(self, commands, names=None):
        """Advance until the replicas have applied exactly these commands."""
        wanted = list(commands)
        await self.wait_until(
            lambda: all(
                self.machines[name].commands == wanted
                for name in names or self.replicas
            )
        )


def numbered_commands(first, last):
    return [b"%d" % number for number in range(first, last + 1)]


class ClusterCase(AsyncTestCase):
    options = ReplicaOptions()

    async def prepare(self):
        self.cluster = Cluster(options=self.options)
        self.addCleanup(self.cluster.stop)
        self.cluster.start()
        self.leader = await self.cluster.leader()
        self.followers = [name for name in "abc" if name != self.leader]

    async def outcome(self, task):
        """Wait for a proposal and return its error, or None if it succeeded."""
        await self.cluster.wait_until(task.done)
        return task.exception()
