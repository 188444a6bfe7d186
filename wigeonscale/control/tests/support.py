"""A fake of the replicated log, and a fixture with one control replica."""

import asyncio

from wigeonscale.adapters.channels import new_server
from wigeonscale.adapters.metrics import Metrics
from wigeonscale.control import (
    Commands,
    ControlServicer,
    Hub,
    Liveness,
    Watcher,
)
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.ports import ProbeResult
from wigeonscale.replication import Member, NotLeaderError, Role
from wigeonscale.state import ControlState
from wigeonscale.state.tests.support import engine
from wigeonscale.testing import ManualClock
from wigeonscale.wire import wire_pb2 as wire
from wigeonscale.wire import wire_pb2_grpc

LEASE_S = 3.0
DOWN_AFTER_S = 3.0
HANDLERS_END_S = 10


async def handlers_ended():
    """Wait for the tasks of cancelled calls that a stopped gRPC server leaves behind.

    A task that does not end in time is left over and fails the test.
    """
    others = asyncio.all_tasks() - {asyncio.current_task()}
    if others:
        await asyncio.wait(others, timeout=HANDLERS_END_S)


class FakeReplica:
    """Applies each proposal immediately; tests set its role and freshness."""

    def __init__(self, *, state, clock):
        self.role = Role.LEADER
        self.term = 1
        self.applied_term = 1
        self.leader_address = ""
        self.may_vote = True
        self.stale_s = 0.0
        self.fails = None
        self.silence_s = {}
        self.peers = [Member("c1", "one"), Member("c2", "two")]
        self.proposed = []
        self._state = state
        self._clock = clock

    @property
    def applied_index(self):
        return self._state.index

    commit_index = applied_index

    def fresh_at(self):
        return None if self.stale_s is None else self._clock.now() - self.stale_s

    def last_position(self):
        return self.term, self._state.index

    def members(self):
        return tuple(self.peers)

    def seconds_since_peer_contact(self, node_id):
        return self.silence_s.get(node_id, float("inf"))

    async def propose(self, data):
        if self.role is not Role.LEADER:
            raise NotLeaderError(node_id="c1", leader=self.leader_address)
        if self.fails is not None:
            raise WigeonscaleError(ErrorKind.NO_QUORUM, self.fails)
        self.proposed.append(wire.Command.FromString(data))
        return self._state.apply(self._state.index + 1, self.term, data)


class ControlFixture:
    """Control components of one replica, named c1, on a fake log."""

    def __init__(self, *, clock=None, loads=4, addresses=("127.0.0.1:1",)):
        self.clock = clock or ManualClock()
        self.state = ControlState()
        self.replica = FakeReplica(state=self.state, clock=self.clock)
        self.metrics = Metrics()
        self.commands = Commands(
            replica=self.replica,
            addresses=addresses,
            clock=self.clock,
            metrics=self.metrics,
        )
        self.hub = Hub(
            node_id="c1",
            state=self.state,
            replica=self.replica,
            clock=self.clock,
            lease_s=LEASE_S,
            loads=loads,
        )
        self.forwarded = []
        self.peer_answers = True
        self.probed = []
        self.probe_answer = ProbeResult.NO_ANSWER
        self.liveness = Liveness(
            node_id="c1",
            state=self.state,
            replica=self.replica,
            hub=self.hub,
            commands=self.commands,
            clock=self.clock,
            down_after_s=DOWN_AFTER_S,
            lease_s=LEASE_S,
            forward_suspicion=self._forward,
            probe=self._probe,
            metrics=self.metrics,
        )

    async def _forward(self, address, suspicion):
        self.forwarded.append((address, suspicion.agent_id))
        return self.peer_answers

    async def _probe(self, address):
        self.probed.append(address)
        return self.probe_answer

    async def run(self, **body):
        return await self.commands.propose(wire.Command(**body))

    async def announce(self, agent_id, incarnation=1, *, replica="c1", **fields):
        backend = engine(agent_id, incarnation, **fields)
        return await self.run(announce=wire.Announce(backend=backend, replica=replica))

    async def attach(self, agent_id, incarnation=1, **fields):
        """Attach an agent to this replica and return its stream."""
        watcher = self.watcher(agent_id, "agent")
        self.hub.announce(watcher, engine(agent_id, incarnation, **fields))
        await self.announce(agent_id, incarnation, **fields)
        return watcher

    def watcher(self, node_id="e1", role="entry", **known):
        hello = wire.Hello(node_id=node_id, role=role, **known)
        watcher = Watcher(hello=hello, clock=self.clock)
        self.hub.add(watcher)
        return watcher

    async def serve(self):
        """Start a gRPC server; return it and its address."""
        server, address = new_server("127.0.0.1:0")
        servicer = ControlServicer(
            node_id="c1",
            replica=self.replica,
            hub=self.hub,
            commands=self.commands,
            liveness=self.liveness,
            clock=self.clock,
        )
        wire_pb2_grpc.add_ControlServicer_to_server(servicer, server)
        await server.start()
        return server, address
