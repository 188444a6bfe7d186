import asyncio

from wigeonscale.adapters.channels import new_server, open_channel
from wigeonscale.agent.tests.support import until
from wigeonscale.pipelines.links import PeerLostError, StepLink
from wigeonscale.testing import AsyncTestCase, ManualClock, rpcs_ended
from wigeonscale.wire import wire_pb2 as wire
from wigeonscale.wire import wire_pb2_grpc

RECONNECT_AFTER_S = 0.5
PROBE_S = 0.2


class Peer(wire_pb2_grpc.AgentServicer):
    """Fake peer that answers probes, and steps unless ``holds_steps`` is set."""

    def __init__(self):
        self.streams = 0
        self.attempts = []
        self.probes = 0
        self.silent_streams = set()
        self.holds_steps = False

    async def Steps(self, request_iterator, context):  # noqa: N802
        self.streams += 1
        number = self.streams
        async for req in request_iterator:
            self.attempts += [step.attempt for step in req.steps]
            self.probes += not req.steps
            if number in self.silent_streams or (req.steps and self.holds_steps):
                continue
            await context.write(wire.StepReply(batch_id=req.batch_id))


class StepLinkTest(AsyncTestCase):
    async def prepare(self):
        self.addCleanup(rpcs_ended)
        self.peer = Peer()
        self.clock = ManualClock()
        self.server, address = new_server("127.0.0.1:0")
        wire_pb2_grpc.add_AgentServicer_to_server(self.peer, self.server)
        await self.server.start()
        self.addCleanup(self.server.stop, None)
        self.link = self.new_link(address)

    def new_link(self, address):
        link = StepLink(
            address=address,
            dial=open_channel,
            clock=self.clock,
            probe_after_s=PROBE_S,
            reconnect_after_s=RECONNECT_AFTER_S,
        )
        self.addCleanup(link.close)
        return link

    def call(self):
        req = wire.StepRequest(steps=[wire.SequenceStep(sequence_id="d", attempt=1)])
        return asyncio.create_task(self.link.call(req))

    async def wait_for_reconnect(self, attempts):
        await until(lambda: self.peer.attempts == attempts)
        await self.clock.advance(RECONNECT_AFTER_S + PROBE_S)

    async def test_many_requests_share_one_stream(self):
        await asyncio.gather(*(self.call() for _ in range(20)))
        self.assertEqual((1, [1] * 20), (self.peer.streams, self.peer.attempts))

    async def test_silent_stream_is_replaced_and_the_step_resent(self):
        self.peer.silent_streams = {1}
        call = self.call()
        await self.wait_for_reconnect([1])
        await call
        self.assertEqual((2, [1, 2]), (self.peer.streams, self.peer.attempts))

    async def test_peer_silent_on_two_connections_is_lost(self):
        self.peer.silent_streams = {1, 2}
        call = self.call()
        await self.wait_for_reconnect([1])
        await self.wait_for_reconnect([1, 2])
        with self.assertRaisesRegex(PeerLostError, "on two connections"):
            await call
        await self.call()
        self.assertEqual(3, self.peer.streams)

    async def test_local_pause_does_not_count_as_peer_silence(self):
        self.peer.holds_steps = True
        call = self.call()
        await until(lambda: self.peer.attempts == [1])
        await self.clock.jump(20 * RECONNECT_AFTER_S)
        await until(lambda: self.peer.probes or self.peer.streams > 1)
        self.assertEqual((1, [1]), (self.peer.streams, self.peer.attempts))
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)

    async def test_refused_connection_fails_immediately(self):
        self.link = self.new_link("127.0.0.1:1")
        with self.assertRaises(PeerLostError):
            await self.call()

    async def test_slow_step_on_a_live_stream_is_not_resent(self):
        self.peer.holds_steps = True
        call = self.call()
        await until(lambda: self.peer.attempts == [1])
        for probes in range(1, 9):
            await self.clock.advance(PROBE_S)
            await until(lambda probes=probes: self.peer.probes >= probes)
            last_message_at = self.clock.now()
            await until(lambda at=last_message_at: self.link.last_message_at >= at)
        self.assertEqual((1, [1]), (self.peer.streams, self.peer.attempts))
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
