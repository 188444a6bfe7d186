"""A backend server that announces its shutdown must get no new requests.

Control learns of a draining server from heartbeats, which not all servers send. If an
entry ignores the `Server-Leaving` header of responses, it keeps sending requests, and
the server cuts off those that run when it exits.
"""

from wigeonscale.direct.plain import call_plain
from wigeonscale.direct.stream import relay_stream
from wigeonscale.direct.tests.fakes import FakeSink, FakeStream
from wigeonscale.direct.tests.support import MODEL, EntryHarness, engine, event, server
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.ports.exchange import FullResponse, ResponseHead, ServerNotice
from wigeonscale.routes import Repeat
from wigeonscale.testing import AsyncTestCase

LEAVING_HEAD = ResponseHead(200, (), ServerNotice(is_leaving=True))


class LeavingTest(AsyncTestCase):
    def prepare_entry(self, *servers):
        self.harness = EntryHarness(*servers)
        return self.harness

    async def stream(self):
        job = self.harness.job(
            Repeat.STREAM, service=MODEL, resumable=True, left_s=20.0
        )
        await relay_stream(self.harness.ctx, job, FakeSink())

    def receive_leaving(self, name):
        self.harness.ctx.notices.note(
            name, LEAVING_HEAD.notice, request_id="r0", sent_at=self.harness.clock.now()
        )

    async def test_first_engine_of_a_path(self):
        harness = self.prepare_entry(engine("a", 0, 10), engine("b", 0, 10, domain="b"))
        stream = FakeStream([event(1)])
        stream.head = LEAVING_HEAD
        harness.exchange.script("a", stream)
        harness.exchange.script("b", [event(1)], [event(1)])
        for _ in range(3):
            await self.stream()
        self.assertEqual(["a", "b", "b"], harness.exchange.sent_to)

    async def test_engine_inside_a_path(self):
        harness = self.prepare_entry(
            engine("a1", 0, 5), engine("a2", 5, 10), engine("a3", 5, 10)
        )
        harness.exchange.script("a1", [event(1)], [event(1)])
        self.receive_leaving("a2")
        await self.stream()
        (call,) = harness.exchange.calls
        self.assertEqual(["a1", "a3"], [part.backend_id for part in call.path])

    async def test_plain_server(self):
        harness = self.prepare_entry(server("p1"), server("p2"))
        harness.exchange.script("p1", FullResponse(LEAVING_HEAD, b"whole"))
        harness.exchange.script("p2", *[FullResponse(ResponseHead(200, ()), b"")] * 2)
        for _ in range(3):
            await call_plain(harness.ctx, harness.job())
        self.assertEqual(["p1", "p2", "p2"], harness.exchange.sent_to)

    async def test_no_other_engine(self):
        harness = self.prepare_entry(engine("a", 0, 10))
        self.receive_leaving("a")
        try:
            await self.stream()
        except WigeonscaleError as exc:
            self.assertEqual(
                (ErrorKind.NO_BACKEND, RunState.NOT_RUN), (exc.kind, exc.run_state)
            )
            self.assertTrue(exc.retry_after > 0)
        self.assertEqual([], harness.exchange.sent_to)

    async def test_earlier_response_does_not_cancel_the_notice(self):
        harness = self.prepare_entry(server("p1"), server("p2"))
        self.receive_leaving("p1")
        harness.ctx.notices.note(
            "p1", ServerNotice(), request_id="r0", sent_at=harness.clock.now() - 1.0
        )
        harness.exchange.script("p2", FullResponse(ResponseHead(200, ()), b""))
        await call_plain(harness.ctx, harness.job())
        self.assertEqual(["p2"], harness.exchange.sent_to)
