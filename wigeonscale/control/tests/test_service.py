"""Tests of the Control service over gRPC, with real clients."""

import asyncio
import random

import grpc

from wigeonscale.adapters.channels import open_channel
from wigeonscale.control import Commands, forward_suspicion
from wigeonscale.control.tests.support import (
    ControlFixture,
    FakeReplica,
    handlers_ended,
)
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.membership import ControlClient
from wigeonscale.ports import SystemClock
from wigeonscale.replication import Role
from wigeonscale.state.tests.support import DOCUMENT, engine
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire
from wigeonscale.wire import wire_pb2_grpc

LIMIT_S = 30


class ServiceCase(AsyncTestCase):
    async def prepare(self):
        self.fixture = ControlFixture(clock=SystemClock())
        self.addCleanup(self.fixture.hub.close)
        self.state = self.fixture.state
        server, self.address = await self.fixture.serve()
        self.addCleanup(handlers_ended)
        self.addCleanup(server.stop, None)

    def start(self, coro):
        task = asyncio.create_task(coro)

        async def stop():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self.addCleanup(stop)

    def client(self, node_id="e1", role="entry", **kwargs):
        client = ControlClient(
            node_id=node_id,
            role=role,
            addresses=[self.address],
            clock=SystemClock(),
            heartbeat_s=0.05,
            rng=random.Random(1),
            **kwargs,
        )
        self.start(client.run())
        return client

    async def until(self, condition):
        async with asyncio.timeout(LIMIT_S):
            while not condition():  # noqa: ASYNC110 (spans several objects)
                await asyncio.sleep(0.01)


class ServiceTest(ServiceCase):
    async def test_watcher_follows_configuration_and_members(self):
        client = self.client()
        await client.ready()
        config = wire.ApplyConfig(document=DOCUMENT)
        await client.submit(wire.Command(apply_config=config))
        await self.until(lambda: client.revision == 1 and client.lease_valid())
        await self.fixture.announce("a")
        await self.until(lambda: "a" in client.members.backends)
        self.assertEqual(
            self.state.configuration.document.digest, client.document.digest
        )
        (watcher,) = self.fixture.hub.watchers
        await self.until(lambda: watcher.applied_revision == 1)

    async def test_agent_announces_executes_orders_and_learns_its_end(self):
        backend = engine("a", 7)
        orders, ended = [], []

        async def execute_order(order):
            orders.append(order)
            return wire.OrderResult(order_id=order.order_id, done=True)

        client = self.client(
            "a",
            "agent",
            announce=lambda: backend,
            on_order=execute_order,
            on_ended=ended.append,
        )
        await client.ready()
        await self.until(lambda: self.state.members.is_announced("a", 7))
        self.assertEqual("c1", self.state.members.get("a").replica)
        await self.fixture.run(drain=wire.DrainBackend(agent_id="a", draining=True))
        await self.until(lambda: orders and orders[-1].drain)
        end = wire.EndIncarnation(agent_id="a", incarnation=7)
        await self.fixture.run(end_incarnation=end)
        await self.until(lambda: 7 in ended)
        client.announce_changed()
        await self.until(lambda: len(ended) == 2)
        self.assertFalse(self.state.members.is_announced("a", 7))

    async def test_unchanged_announcement_costs_no_command(self):
        backend = engine("a", 7)
        client = self.client("a", "agent", announce=lambda: backend)
        await client.ready()
        await self.until(lambda: self.state.members.is_announced("a", 7))
        count = len(self.fixture.replica.proposed)
        watcher = self.fixture.hub.agent("a", 7)
        first = watcher.announced
        client.announce_changed()
        await self.until(lambda: watcher.announced is not first)
        await self.until(lambda: watcher.pending_announcement is None)
        self.assertEqual(count, len(self.fixture.replica.proposed))

    async def test_replica_with_messages_from_the_agent_keeps_it(self):
        backend = engine("a", 7)
        client = self.client("a", "agent", announce=lambda: backend)
        await client.ready()
        await self.until(lambda: self.state.members.is_announced("a", 7))
        late = wire.Announce(backend=backend, replica="c2")
        await self.fixture.run(announce=late)
        self.assertEqual("c2", self.state.members.get("a").replica)
        await self.until(lambda: self.state.members.get("a").replica == "c1")

    async def test_stream_must_begin_with_hello(self):
        async with open_channel(self.address) as channel:
            call = wire_pb2_grpc.ControlStub(channel).Watch()
            await call.write(wire.WatchRequest(heartbeat=wire.Heartbeat()))
            self.assertEqual(grpc.StatusCode.INVALID_ARGUMENT, await call.code())

    async def test_unexpected_messages_leave_the_stream_open(self):
        async with open_channel(self.address) as channel:
            call = wire_pb2_grpc.ControlStub(channel).Watch()
            hello = wire.Hello(node_id="x", role="agent")
            unexpected = [
                wire.WatchRequest(hello=hello),
                wire.WatchRequest(hello=hello),
                wire.WatchRequest(),
                wire.WatchRequest(announce=engine("other", 1)),
                wire.WatchRequest(announce=wire.Backend(agent_id="x")),
                wire.WatchRequest(suspect=wire.Suspect(agent_id="nobody")),
                wire.WatchRequest(order_result=wire.OrderResult(kind="odd")),
                wire.WatchRequest(heartbeat=wire.Heartbeat(sent_us=5)),
            ]
            for message in unexpected:
                await call.write(message)
            async with asyncio.timeout(LIMIT_S):
                async for event in call:
                    if event.HasField("lease"):
                        break
            self.assertEqual(5, event.lease.echo_us)
            self.assertEqual(0, len(self.state.members))

    async def test_only_a_replica_with_a_vote_returns_its_floor(self):
        await self.fixture.announce("a")
        async with open_channel(self.address) as channel:
            stub = wire_pb2_grpc.ControlStub(channel)
            reply = await stub.Floor(wire.FloorRequest())
            self.assertEqual(("c1", 1, 1), (reply.node_id, reply.term, reply.index))
            self.fixture.replica.may_vote = False
            call = stub.Floor(wire.FloorRequest())
            self.assertEqual(grpc.StatusCode.UNAVAILABLE, await call.code())

    async def test_suspicion_is_accepted_from_another_replica(self):
        await self.fixture.announce("a")
        suspicion = wire.Suspect(agent_id="a", incarnation=1)
        self.assertTrue(await forward_suspicion("c2", self.address, suspicion))
        self.assertIn(("a", 1), self.fixture.liveness._suspected_at)
        self.assertFalse(await forward_suspicion("c2", "127.0.0.1:1", suspicion))


class CommandsTest(ServiceCase):
    """Commands of a follower that forwards to the served leader."""

    async def prepare(self):
        await super().prepare()
        follower = FakeReplica(state=self.state, clock=SystemClock())
        follower.role = Role.FOLLOWER
        follower.leader_address = self.address
        self.follower = Commands(
            replica=follower,
            addresses=[self.address],
            clock=SystemClock(),
            metrics=self.fixture.metrics,
        )
        self.addCleanup(self.follower.close)

    async def test_follower_forwards_to_the_leader(self):
        drain = wire.DrainBackend(agent_id="a", draining=True)
        await self.fixture.announce("a")
        await self.follower.submit(wire.Command(drain=drain))
        self.assertTrue(self.state.members.is_drained("a"))

    async def test_refusal_of_a_forwarded_command_is_raised(self):
        drain = wire.DrainBackend(agent_id="a", draining=True)
        for commands in (self.follower, self.fixture.commands):
            exc = None
            try:
                await commands.submit(wire.Command(drain=drain))
            except WigeonscaleError as caught:
                exc = caught
            self.assertEqual(ErrorKind.NOT_FOUND, exc.kind)

    async def test_follower_names_the_leader_to_others(self):
        reply = await self.follower.answer(wire.SubmitRequest(call_id=3))
        self.assertEqual(ErrorKind.NOT_LEADER, reply.result.kind)
        self.assertEqual((3, self.address), (reply.call_id, reply.leader))

    async def test_leader_sets_the_timestamp(self):
        command = wire.Command(wall_ms=5, expire=wire.ExpireClaims())
        await self.fixture.commands.propose(command)
        stamped = self.fixture.replica.proposed[-1]
        self.assertGreater(stamped.wall_ms, 1_000_000_000_000)
