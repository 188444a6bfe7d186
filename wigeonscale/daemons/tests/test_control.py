"""Tests of complete control replicas on loopback, with real clients."""

import asyncio
import os
import random
import socket

import aiohttp
import fixtures

from wigeonscale.config import ControlSettings, Peer
from wigeonscale.control.tests.support import handlers_ended
from wigeonscale.daemons.control import ControlDaemon
from wigeonscale.membership import ControlClient
from wigeonscale.ports import SystemClock
from wigeonscale.state.tests.support import DOCUMENT, engine
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire

LIMIT_S = 60
NAMES = ("c1", "c2", "c3")


def free_address(number):
    """Return an address on a loopback host that only this process uses."""
    host = f"127.{10 + os.getpid() % 199}.{os.getpid() // 199 % 250}.{number}"
    with socket.socket() as sock:
        sock.bind((host, 0))
        return f"{host}:{sock.getsockname()[1]}"


class ControlDaemonTest(AsyncTestCase):
    async def prepare(self):
        self.folder = self.useFixture(fixtures.TempDir()).path
        self.grpc = {name: free_address(n) for n, name in enumerate(NAMES, 1)}
        self.http = {name: free_address(n) for n, name in enumerate(NAMES, 11)}
        self.running = {}
        self.addCleanup(handlers_ended)
        self.addCleanup(self.stop, *NAMES)
        self.session = aiohttp.ClientSession()
        self.addCleanup(self.session.close)
        await self.start(*NAMES)

    async def start(self, *names):
        for name in names:
            daemon = ControlDaemon(cfg=self.settings(name), clock=SystemClock())
            await daemon.start()
            self.running[name] = daemon, asyncio.create_task(daemon.run())

    async def stop(self, *names):
        for name in names:
            if name in self.running:
                daemon, task = self.running.pop(name)
                await daemon.stop()
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

    def settings(self, name):
        return ControlSettings(
            name=name,
            domain="d",
            http=self.http[name],
            grpc=self.grpc[name],
            data=f"{self.folder}/{name}",
            peers=tuple(Peer(each, self.grpc[each]) for each in NAMES),
            election_timeout_s=0.4,
            heartbeat_s=0.05,
            lease_s=1.0,
            down_after_s=10.0,
            snapshot_entries=10,
        )

    async def until(self, condition):
        async with asyncio.timeout(LIMIT_S):
            while not condition():  # noqa: ASYNC110 (spans several objects)
                await asyncio.sleep(0.02)

    def leader(self):
        for name, (daemon, _) in self.running.items():
            if daemon.replica.role == "leader" and daemon.is_ready():
                return name
        return None

    async def apply(self, number, base):
        """Apply a document as wigeonctl does, trying the replicas until one leads."""
        body = {
            "base_revision": base,
            "operation_id": f"op{number}",
            "document": DOCUMENT + f"[service s{number}]\n",
        }
        async with asyncio.timeout(LIMIT_S):
            while True:
                for name in list(self.running):
                    url = f"http://{self.http[name]}/admin/rules/apply"
                    async with self.session.post(url, json=body) as answer:
                        if answer.status not in (421, 503):
                            return answer.status, await answer.json()
                await asyncio.sleep(0.05)

    def client(self, node_id="e1", role="entry", **kwargs):
        client = ControlClient(
            node_id=node_id,
            role=role,
            addresses=list(self.grpc.values()),
            clock=SystemClock(),
            lease_s=1.0,
            heartbeat_s=0.1,
            rng=random.Random(1),
            **kwargs,
        )
        task = asyncio.create_task(client.run())

        async def stop():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self.addCleanup(stop)
        return client

    def revisions(self):
        return [d.state.configuration.revision for d, _ in self.running.values()]

    async def test_configuration_survives_leader_stop_and_restart_of_all(self):
        first = await self.apply(0, 0)
        self.assertEqual(200, first[0])
        for number in range(1, 15):  # with a snapshot and truncation in between
            await self.apply(number, number)
        await self.until(self.leader)
        await self.stop(self.leader())
        self.assertEqual(first, await self.apply(0, 0))
        conflict, _ = await self.apply(99, 3)
        self.assertEqual(409, conflict)
        await self.stop(*NAMES)
        await self.start(*NAMES)
        await self.until(lambda: self.revisions() == [15, 15, 15])
        self.assertEqual(first, await self.apply(0, 0))
        states = [daemon.state for daemon, _ in self.running.values()]
        await self.until(lambda: len({state.snapshot() for state in states}) == 1)

    async def test_replica_without_a_majority_serves_no_requests(self):
        client = self.client()
        await client.ready()
        await self.until(client.lease_valid)
        await self.until(self.leader)
        last = self.leader()
        await self.stop(*(name for name in NAMES if name != last))
        daemon, _ = self.running[last]
        await self.until(lambda: not client.lease_valid())
        await self.until(lambda: not daemon.is_ready())
        async with self.session.get(f"http://{self.http[last]}/admin/rules") as answer:
            self.assertEqual(503, answer.status)
        await self.start(*(name for name in NAMES if name != last))
        await self.until(client.lease_valid)

    async def test_entries_learn_the_number_of_entries_over_all_replicas(self):
        clients = [self.client(f"e{number}") for number in range(4)]
        await self.until(lambda: [each.entries for each in clients] == [4] * 4)

    async def test_agent_keeps_its_incarnation_when_its_replica_stops(self):
        backend = engine("a", 7)
        ended = []
        client = self.client(
            "a", "agent", announce=lambda: backend, on_ended=ended.append
        )
        await client.ready()
        await self.until(lambda: self.holder() in NAMES)
        old = self.holder()
        await self.stop(old)
        await self.until(lambda: self.holder() not in (old, None))
        self.assertEqual([], ended)
        await self.start(old)
        await self.until(lambda: self.leader() and client.lease_valid())
        self.assertEqual([], ended)

    def holder(self):
        """Return the replica to which the agent is attached, in the leader's state."""
        leader = self.leader()
        if leader is None:
            return None
        member = self.running[leader][0].state.members.get("a")
        return member.replica if member else None

    async def test_claim_is_granted_once_over_a_change_of_leader(self):
        backend = engine("a", 7)
        agent = self.client("a", "agent", announce=lambda: backend)
        entry = self.client("e1")
        await self.until(lambda: "a" in entry.members.backends)

        def claim(dispatch):
            body = wire.Claim(
                organisation="o",
                key="k",
                dispatch_id=dispatch,
                agent_id="a",
                agent_incarnation=7,
            )
            return wire.Command(operation_id=dispatch, claim=body)

        first = await entry.submit(claim("d1"), timeout_s=LIMIT_S)
        await self.until(self.leader)
        await self.stop(self.leader())
        again = await entry.submit(claim("d1"), timeout_s=LIMIT_S)
        other = await agent.submit(claim("d2"), timeout_s=LIMIT_S)
        self.assertEqual(first, again)
        self.assertEqual((True, False), (again.granted, other.granted))


class PlacementSettingsTest(AsyncTestCase):
    async def test_settings_reach_placement(self):
        expected = {
            "spares": 3,
            "domain_share": 0.5,
            "settle_s": 2.0,
            "rebuild_after_s": 7.0,
            "drain_s": 9.0,
        }
        received = {}

        class Recorder:
            def __init__(self, **options):
                received.update(options)

            async def run(self):
                raise InterruptedError

        name = "wigeonscale.daemons.control.PlacementLoop"
        self.useFixture(fixtures.MonkeyPatch(name, Recorder))
        folder = self.useFixture(fixtures.TempDir()).path
        cfg = ControlSettings(
            name="c1",
            domain="d",
            http="127.0.0.1:0",
            grpc="127.0.0.1:0",
            data=folder,
            peers=(Peer("c1", "127.0.0.1:1"),),
            **expected,
        )
        daemon = ControlDaemon(cfg=cfg, clock=SystemClock())
        self.addCleanup(daemon.commands.close)
        with self.assertRaises(ExceptionGroup):
            await daemon.run()
        self.assertEqual(expected, {key: received[key] for key in expected})
