import asyncio
import random
import tempfile

from wigeonscale.adapters.channels import new_server
from wigeonscale.errors import ErrorKind, SettingsError, WigeonscaleError
from wigeonscale.ports import SystemClock
from wigeonscale.replication import (
    DiskFolder,
    GrpcTransport,
    Member,
    Replica,
    ReplicationServicer,
)
from wigeonscale.replication.tests.support import ListMachine
from wigeonscale.testing import AsyncTestCase, rpcs_ended
from wigeonscale.wire import wire_pb2 as wire
from wigeonscale.wire.wire_pb2_grpc import add_ReplicationServicer_to_server

NAMES = ("a", "b", "c")
LIMIT_S = 30


class TcpRelay:
    """TCP relay whose open connections can be made to stop forwarding data."""

    def __init__(self, target):
        self._target = target.rsplit(":", 1)
        self._connections = 0
        self._blackholed_up_to = 0
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def blackhole_open_connections(self):
        """Stop forwarding on the open connections without closing them."""
        self._blackholed_up_to = self._connections

    async def stop(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._connections += 1
        number = self._connections
        try:
            host, port = self._target
            far_reader, far_writer = await asyncio.open_connection(host, port)
            await asyncio.gather(
                self._forward(reader, far_writer, number),
                self._forward(far_reader, writer, number),
            )
        except (OSError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _forward(self, reader, writer, number):
        while data := await reader.read(65536):
            if number > self._blackholed_up_to:
                writer.write(data)
        writer.close()


class DiskClusterTest(AsyncTestCase):
    """Three replicas over gRPC on loopback with their logs on disk."""

    async def prepare(self):
        self.addCleanup(rpcs_ended)
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.root = temporary.name
        self.addresses = {}
        self.servers = {}
        for name in NAMES:
            self.servers[name], self.addresses[name] = new_server("127.0.0.1:0")
        self.relays = {name: TcpRelay(self.addresses[name]) for name in NAMES}
        for relay in self.relays.values():
            await relay.start()
            self.addCleanup(relay.stop)
        self.addCleanup(self.stop)
        await self.start()

    async def start(self):
        members = [Member(name, relay.address) for name, relay in self.relays.items()]
        self.machines = {name: ListMachine() for name in NAMES}
        self.replicas = {}
        self.tasks = []
        for seed, name in enumerate(NAMES):
            if self.servers[name] is None:
                self.servers[name], _ = new_server(self.addresses[name])
            replica = Replica(
                node_id=name,
                address=self.relays[name].address,
                initial_members=members,
                folder=DiskFolder(path=f"{self.root}/{name}"),
                machine=self.machines[name],
                transport=GrpcTransport(),
                clock=SystemClock(),
                rng=random.Random(seed),
            )
            self.replicas[name] = replica
            server = self.servers[name]
            add_ReplicationServicer_to_server(
                ReplicationServicer(replica=replica), server
            )
            await server.start()
            self.tasks.append(asyncio.create_task(replica.run()))

    async def stop(self):
        for name in NAMES:
            await self.servers[name].stop(None)
            self.servers[name] = None
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def propose(self, data):
        while True:
            for replica in self.replicas.values():
                try:
                    return await replica.propose(data)
                except WigeonscaleError as exc:
                    if exc.kind is not ErrorKind.NOT_LEADER:
                        raise
            await asyncio.sleep(0.01)

    async def wait_for_commands(self, commands):
        applied = asyncio.Event()
        for replica in self.replicas.values():
            replica.on_applied.subscribe(lambda _: applied.set())
        while any(m.commands != commands for m in self.machines.values()):
            await applied.wait()
            applied.clear()

    async def test_election_commit_and_restart(self):
        async with asyncio.timeout(LIMIT_S):
            await self.propose(b"1")
            await self.wait_for_commands([b"1"])
            await self.stop()
            await self.start()
            await self.propose(b"2")
            await self.wait_for_commands([b"1", b"2"])

    async def test_request_to_campaign_is_answered(self):
        async with asyncio.timeout(LIMIT_S):
            await self.propose(b"1")
            client = GrpcTransport().connect(self.addresses["a"])
            self.addCleanup(client.reset)
            reply = await client.campaign(wire.CampaignRequest(leader_id="x", term=99))
            self.assertEqual(("a", False), (reply.node_id, reply.won))

    async def test_unresponsive_connections_are_replaced(self):
        async with asyncio.timeout(LIMIT_S):
            await self.propose(b"1")
            await self.wait_for_commands([b"1"])
            for relay in self.relays.values():
                relay.blackhole_open_connections()
            await self.propose(b"2")
            await self.wait_for_commands([b"1", b"2"])

    async def test_folder_is_locked_by_one_process(self):
        self.assertRaises(SettingsError, DiskFolder, path=f"{self.root}/a")
