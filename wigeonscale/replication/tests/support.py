"""Small fakes for tests of the log: a folder in memory, links that can be cut."""

import asyncio
import errno
import random

from wigeonscale.errors import WigeonscaleError
from wigeonscale.replication import Member, Replica, ReplicaOptions, Role
from wigeonscale.replication.records import HEADER_BYTES
from wigeonscale.testing import ManualClock
from wigeonscale.wire import wire_pb2 as wire

STEP_S = 0.05
LIMIT_S = 60.0


class MemoryFolder:
    """A folder whose unsynced data is lost in :meth:`crash`."""

    def __init__(self, *, files=None):
        self.durable = dict(files or {})
        self.writable = asyncio.Event()
        self.writable.set()
        self._writes_left = None
        self._failing = None  # name of the file whose writes fail

    def read(self, name):
        return self.durable.get(name)

    async def append(self, name, data):
        try:
            await self._sync(name)
        finally:  # like a thread, which goes on when its waiter is cancelled
            if self._writes_left != 0 and name != self._failing:
                self.durable[name] = self.durable.get(name, b"") + data

    async def replace(self, name, data):
        await self._sync(name)
        self.durable[name] = data

    async def truncate(self, name, size):
        await self._sync(name)
        self.durable[name] = self.durable[name][:size]

    def close(self):
        pass

    def fail_after(self, writes):
        """Let this many writes succeed and all others fail; None: no limit."""
        self._writes_left = writes

    def fail_on(self, name):
        """Let all writes to one file fail."""
        self._failing = name

    def flip(self, name, offset):
        data = bytearray(self.durable[name])
        data[offset] ^= 0xFF
        self.durable[name] = bytes(data)

    def crash(self):
        """Return the folder as the next process finds it."""
        return MemoryFolder(files=self.durable)

    async def _sync(self, name):
        if self._writes_left == 0 or name == self._failing:
            raise OSError(errno.ENOSPC, "planted", name)
        if self._writes_left is not None:
            self._writes_left -= 1
        await self.writable.wait()


class MemoryNetwork:
    """Links between replicas by address; direction by direction cuttable."""

    def __init__(self):
        self.replicas = {}
        self.cut = set()  # (sender, receiver)
        self.duplicate = False
        self.appends = []  # (sender, receiver, request)
        self.before_append = None  # coroutine function(sender, receiver, request)
        self.before_vote = None
        self.before_campaign = None

    def links(self, sender):
        return MemoryLinks(network=self, sender=sender)

    def isolate(self, node, *, both=True):
        for other in self.replicas:
            self.cut.add((node, other))
            if both:
                self.cut.add((other, node))

    def heal(self):
        self.cut.clear()

    async def carry(self, sender, receiver, method, req):
        if (sender, receiver) in self.cut:
            await asyncio.get_running_loop().create_future()
        replica = self.replicas.get(receiver)
        if replica is None:
            raise ConnectionError(f"{receiver} is down")
        req = type(req).FromString(req.SerializeToString())
        if self.duplicate:
            await getattr(replica, method)(req)
        try:
            reply = await getattr(replica, method)(req)
        except WigeonscaleError as exc:  # as a call over gRPC ends then
            raise ConnectionError(exc.message) from exc
        if (receiver, sender) in self.cut or self.replicas.get(receiver) is not replica:
            await asyncio.get_running_loop().create_future()
        return reply


class MemoryLinks:
    def __init__(self, *, network, sender):
        self._network = network
        self._sender = sender

    def connect(self, address):
        return MemoryLink(network=self._network, sender=self._sender, peer=address)


class MemoryLink:
    def __init__(self, *, network, sender, peer):
        self._network = network
        self._sender = sender
        self._peer = peer

    async def append(self, req):
        network = self._network
        network.appends.append((self._sender, self._peer, req))
        if network.before_append is not None:
            await network.before_append(self._sender, self._peer, req)
        return await network.carry(self._sender, self._peer, "handle_append", req)

    async def vote(self, req):
        if self._network.before_vote is not None:
            await self._network.before_vote(self._sender, self._peer, req)
        return await self._network.carry(self._sender, self._peer, "handle_vote", req)

    async def campaign(self, req):
        network = self._network
        if network.before_campaign is not None:
            await network.before_campaign(self._sender, self._peer, req)
        return await network.carry(self._sender, self._peer, "handle_campaign", req)

    async def reset(self):
        pass


class ListMachine:
    """A state machine that keeps the list of all commands."""

    def __init__(self):
        self.commands = []

    def apply(self, index, term, data):
        if data == b"raise":
            raise ValueError("planted")
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
    """Replicas in one process, on one manual clock."""

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

    def start(self, *names, members=None):
        for name in names or self.folders:
            self.folders[name] = self.folders[name].crash()
            self.machines[name] = ListMachine()
            replica = Replica(
                node_id=name,
                address=name,
                voters=members or self.members,
                folder=self.folders[name],
                machine=self.machines[name],
                links=self.network.links(name),
                clock=self.clock,
                options=self.options,
                rng=random.Random(self._rng.random()),
            )
            self.replicas[name] = replica
            self.network.replicas[name] = replica
            self.tasks[name] = asyncio.create_task(replica.run())

    async def stop(self, *names):
        """Stop replicas as a crash does: nothing is written any more."""
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

    async def until(self, condition, limit_s=LIMIT_S):
        """Advance the clock until a condition holds."""
        for _ in range(int(limit_s / STEP_S)):
            result = condition()
            if result:
                return result
            await self.clock.advance(STEP_S)
        raise AssertionError("the condition never held")

    async def finish(self, task):
        """Advance the clock until a task is done and return its result."""
        await self.until(task.done)
        return task.result()

    def leaders(self):
        return [n for n, r in self.replicas.items() if r.role is Role.LEADER]

    async def leader(self, among=None):
        """Advance until one leader has committed an entry of its term."""

        def ready():
            for name in self.leaders():
                replica = self.replicas[name]
                if among is not None and name not in among:
                    continue
                if replica.applied_term == replica.term:
                    return name
            return None

        return await self.until(ready)

    async def propose(self, *commands, via=None):
        """Commit commands one after another and return the last result."""
        result = None
        for data in commands:
            name = via or await self.leader()
            task = asyncio.create_task(self.replicas[name].propose(data))
            result = await self.finish(task)
        return result

    def spawn(self, coro):
        """Run a coroutine as a task that ends with the cluster."""
        task = asyncio.create_task(coro)
        task.add_done_callback(lambda task: task.cancelled() or task.exception())
        return task

    async def propose_at(self, name, data):
        """Begin a proposal and let it be appended and sent."""
        task = self.spawn(self.replicas[name].propose(data))
        await self.clock.advance(0)
        return task

    async def until_equal(self, commands, names=None):
        """Advance until replicas hold exactly these commands."""
        wanted = list(commands)
        await self.until(
            lambda: all(
                self.machines[name].commands == wanted
                for name in names or self.replicas
            )
        )


def last_record_offset(folder, name="log"):
    """Return where the last record of a file begins."""
    data = folder.read(name)
    offset = 0
    while True:
        length = int.from_bytes(data[offset : offset + 4], "little")
        after = offset + HEADER_BYTES + length
        if after >= len(data):
            return offset
        offset = after
