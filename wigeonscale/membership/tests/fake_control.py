"""Scripted control replica for tests over loopback."""

import asyncio
import random

from wigeonscale.adapters import Metrics, new_server
from wigeonscale.membership import ControlClient
from wigeonscale.rules import EMPTY_DOCUMENT, diff_documents, parse_document
from wigeonscale.testing import AsyncTestCase, ManualClock, rpcs_ended
from wigeonscale.wire import wire_pb2 as wire
from wigeonscale.wire import wire_pb2_grpc

LIMIT_S = 30


def document_of(revision):
    """Return a document that differs for each revision."""
    if revision == 0:
        return EMPTY_DOCUMENT
    return parse_document(
        f"[organisation org{revision}]\n\n"
        "[service directory]\n\n"
        "[rule all]\nwhen = always\nthen = route service directory\n"
    )


def config_update(revision, base=0, **changed):
    """Return the update event from one of these documents to another."""
    new = document_of(revision)
    values = {
        "base_revision": base,
        "revision": revision,
        "changes": diff_documents(document_of(base), new),
        "digest": new.digest,
    }
    return wire.WatchEvent(config=wire.ConfigUpdate(**{**values, **changed}))


class FakeControl(wire_pb2_grpc.ControlServicer):
    def __init__(self, *, node_id, revision=1):
        self.node_id = node_id
        self.revision = revision
        self.answers_heartbeats = True
        self.age_us = 0
        self.backends = []
        self.first_members = wire.MembersUpdate(full=True, index=1)
        self.grants_per_stream = 0  # Closes a stream after this many; 0: never.
        self.received = asyncio.Queue()
        self.hellos = asyncio.Queue()
        self.open_streams = 0
        self.on_command = lambda req: wire.SubmitReply(call_id=req.call_id)
        self.commands = []
        self.floor = (1, 1)
        self._context = None
        self._write_lock = asyncio.Lock()
        self._submit_context = None

    async def start(self):
        self._server, self.address = new_server("127.0.0.1:0")
        wire_pb2_grpc.add_ControlServicer_to_server(self, self._server)
        await self._server.start()
        return self

    async def stop(self):
        await self._server.stop(None)

    async def push(self, event):
        await self._write(self._context, event)

    async def reply(self, reply):
        await self._write(self._submit_context, reply)

    async def _write(self, context, message):
        # gRPC rejects concurrent writes on one stream.
        async with self._write_lock:
            await context.write(message)

    async def Watch(self, requests, context):  # noqa: N802
        self._context = context
        self.open_streams += 1
        try:
            granted = 0
            async for req in requests:
                await self._answer(req, context)
                granted += req.HasField("heartbeat")
                if granted == self.grants_per_stream > 0:
                    return
        finally:
            self.open_streams -= 1

    async def _answer(self, req, context):
        kind = req.WhichOneof("body")
        if kind == "hello":
            if self.first_members is not None:
                del self.first_members.backends[:]
                self.first_members.backends.extend(self.backends)
                await self._write(context, wire.WatchEvent(members=self.first_members))
            if self.revision != req.hello.known_revision:
                await self._write(context, config_update(self.revision))
            self.hellos.put_nowait(req.hello)
        elif kind == "heartbeat":
            await self._grant(req.heartbeat, context)
        else:
            self.received.put_nowait(req)

    async def _grant(self, heartbeat, context):
        if not self.answers_heartbeats:
            return
        grant = wire.LeaseGrant(
            echo_us=heartbeat.sent_us, age_us=self.age_us, revision=self.revision
        )
        await self._write(context, wire.WatchEvent(lease=grant))

    async def Submit(self, requests, context):  # noqa: N802
        self._submit_context = context
        async for req in requests:
            self.commands.append(req.command)
            reply = self.on_command(req)
            if reply is not None:
                await self._write(context, reply)

    async def Floor(self, req, context):  # noqa: N802
        term, index = self.floor
        return wire.FloorReply(node_id=self.node_id, term=term, index=index)


class FakeControlCase(AsyncTestCase):
    """Starts fake replicas and clients, and stops them after the test."""

    async def prepare(self):
        self.clock = ManualClock()
        self.metrics = Metrics()
        self.addCleanup(rpcs_ended)

    async def start_fakes(self, count=1, **options):
        fakes = [FakeControl(node_id=f"c{n}", **options) for n in range(count)]
        for fake in fakes:
            await fake.start()
            self.addCleanup(fake.stop)
        return fakes

    def start_client(self, *fakes, role="entry", **options):
        client = ControlClient(
            **{
                "node_id": "n1",
                "role": role,
                "addresses": [fake.address for fake in fakes],
                "clock": self.clock,
                "rng": random.Random(7),
                "metrics": self.metrics,
                **options,
            }
        )
        task = asyncio.create_task(client.run())
        self.addCleanup(self.stop_task, task)
        return client

    async def stop_task(self, task):
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def attached(self, *fakes, **options):
        """Return a ready client, the fake it is attached to, and the others."""
        client = self.start_client(*fakes, **options)
        await self.within_limit(client.ready())
        first = next(fake for fake in fakes if not fake.hellos.empty())
        first.hellos.get_nowait()
        return client, first, [fake for fake in fakes if fake is not first]

    async def wait_for_answer(self, client):
        """Wait until the attached replica answered the latest heartbeat."""
        conn = client._watcher.attached
        await self.until(lambda: conn.answered_at * 1_000_000 >= conn.last_sent_us)

    async def next_hello(self, client, fake):
        """Advance the clock until a connection opens, and return its Hello."""
        # A connection that opens and is attached within one step is no candidate any
        # more, but its Hello has been received by then.
        while client._watcher._candidate is None and fake.hellos.empty():
            await self.clock.advance(0.025)
            await asyncio.sleep(0)
        return await self.within_limit(fake.hellos.get())

    async def within_limit(self, awaitable):
        async with asyncio.timeout(LIMIT_S):
            return await awaitable

    async def until(self, condition):
        await self.advance_until(condition, step_s=0)

    async def advance_until(self, condition, step_s=0.125):
        """Advance the clock in steps until a condition holds.

        Sleeps briefly in real time after each step, so that messages are delivered.
        """
        async with asyncio.timeout(LIMIT_S):
            while not condition():
                await self.clock.advance(step_s)
                await asyncio.sleep(0.002)
