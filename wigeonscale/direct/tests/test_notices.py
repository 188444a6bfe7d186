from wigeonscale.direct.plain import call_plain
from wigeonscale.direct.stream import relay_stream
from wigeonscale.direct.tests.fakes import FakeSink
from wigeonscale.direct.tests.support import (
    MODEL,
    EntryHarness,
    engine,
    event,
    not_run,
    server,
)
from wigeonscale.ports.exchange import FullResponse, ResponseHead, ServerNotice
from wigeonscale.routes import Repeat
from wigeonscale.testing import AsyncTestCase

LIMITED = ServerNotice(limit_per_s=1.0)


def answer(notice):
    return FullResponse(ResponseHead(200, (), notice), b"whole")


class NoticesTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.harness = EntryHarness()

    def test_one_log_line_per_change(self):
        notices = self.harness.ctx.notices
        with self.assertLogs("wigeonscale.direct.notices") as logs:
            for notice in (LIMITED, LIMITED, None, ServerNotice()):
                notices.note("i-1", notice, request_id="r1", sent_at=0.0)
        self.assertEqual(2, len(logs.records))
        self.assertEqual(ServerNotice(), notices.latest("i-1"))

    def test_servers_that_are_gone_are_dropped(self):
        notices = self.harness.ctx.notices
        for name in ("i-1", "i-2"):
            notices.note(name, LIMITED, request_id="r1", sent_at=0.0)
        notices.keep_only(["i-2"])
        self.assertEqual(ServerNotice(), notices.latest("i-1"))
        self.assertEqual(LIMITED, notices.latest("i-2"))


class ResponseNoticeTest(AsyncTestCase):
    """Notices are read from every response, including refusals."""

    async def test_plain(self):
        harness = EntryHarness(server("p1"), server("p2"))
        harness.exchange.script("p1", not_run(notice=ServerNotice(retry_after_s=2.0)))
        harness.exchange.script("p2", answer(LIMITED))
        await call_plain(harness.ctx, harness.job())
        self.assertEqual(2.0, harness.ctx.notices.latest("p1").retry_after_s)
        self.assertEqual(LIMITED, harness.ctx.notices.latest("p2"))

    async def test_stream(self):
        harness = EntryHarness(engine("a", 0, 10), engine("b", 0, 10, domain="b"))
        harness.exchange.script("a", not_run(notice=ServerNotice(is_leaving=True)))
        harness.exchange.script("b", [event(1)])
        job = harness.job(Repeat.STREAM, service=MODEL, resumable=True)
        await relay_stream(harness.ctx, job, FakeSink())
        self.assertTrue(harness.ctx.notices.latest("a").is_leaving)
        self.assertEqual(ServerNotice(), harness.ctx.notices.latest("b"))
