"""One dispatch: token indices, credit and seals; and keepalive pings."""

import asyncio

from wigeonscale.dispatch import AnswerRecord, DispatchStream, KeepaliveLimits, Target
from wigeonscale.dispatch.keepalive import wait_unresponsive
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.pipelines.constants import INITIAL_CREDIT_TOKENS
from wigeonscale.testing import AsyncTestCase, ManualClock
from wigeonscale.wire import wire_pb2 as wire


class FakeLink:
    """Records sent messages, credit and pings."""

    def __init__(self):
        self.sent: list[wire.DispatchRequest] = []
        self.credits: list[tuple[str, int]] = []
        self.events_received = 0
        self.pings = 0
        self.busy = asyncio.Event()
        self.busy.set()

    def send(self, request):
        self.sent.append(request)

    def grant_credit(self, dispatch_id, tokens):
        self.credits.append((dispatch_id, tokens))

    def ping(self):
        self.pings += 1

    def names(self):
        return [request.WhichOneof("body") for request in self.sent]


def new_stream(base: int = 0, opened: bool = True) -> DispatchStream:
    stream = DispatchStream(
        dispatch_id="d@a1",
        target=Target("a1", 1, "127.0.0.1:1"),
        organisation="o",
        record=AnswerRecord(base=base),
        opening=wire.Open(dispatch_id="d@a1") if opened else None,
    )
    stream.link = FakeLink()
    return stream


def token_item(start: int, count: int = 1) -> wire.DispatchItem:
    ids = range(start, start + count)
    run = wire.TokenRun(ids=ids, texts=[f"t{n} " for n in ids])
    setattr(run, "from", start)
    return wire.DispatchItem(tokens=run)


def refused_item(kind: str, run_state: str) -> wire.DispatchItem:
    return wire.DispatchItem(refused=wire.Refused(kind=kind, run_state=run_state))


class StreamTest(AsyncTestCase):
    async def test_credit_is_granted_only_for_tokens_of_earlier_reads(self):
        stream = new_stream()
        stream.deliver(token_item(0, INITIAL_CREDIT_TOKENS))
        self.assertEqual(INITIAL_CREDIT_TOKENS, len(await stream.read()))
        self.assertEqual([], stream.link.credits)
        stream.deliver(token_item(INITIAL_CREDIT_TOKENS))
        await stream.read()
        self.assertEqual([("d@a1", INITIAL_CREDIT_TOKENS)], stream.link.credits)

    async def test_overlapping_runs_deliver_every_token_once(self):
        stream = new_stream(base=2)
        stream.deliver(token_item(0, 4))
        stream.deliver(token_item(3, 2))
        stream.deliver(wire.DispatchItem(done=wire.Done(tokens=5)))
        self.assertEqual(["t2 ", "t3 ", "t4 "], await stream.read())
        self.assertEqual([], await stream.read())
        self.assertEqual([], stream.link.sent)

    async def test_gap_is_requested_again_a_limited_number_of_times(self):
        stream = new_stream()
        for _ in range(5):
            stream.deliver(token_item(3))
        self.assertEqual(["attach"] * 3, stream.link.names())
        with self.assertRaises(WigeonscaleError) as caught:
            await stream.read()
        self.assertEqual(ErrorKind.INTERNAL, caught.exception.kind)

    async def test_index_beyond_the_answer_is_a_bad_request(self):
        stream = new_stream(base=9, opened=False)
        stream.deliver(wire.DispatchItem(done=wire.Done(tokens=5)))
        with self.assertRaises(WigeonscaleError) as caught:
            await stream.read()
        self.assertEqual(ErrorKind.BAD_REQUEST, caught.exception.kind)

    async def test_seal_returns_true_only_for_work_that_never_ran(self):
        sealed = wire.DispatchItem(sealed=wire.Sealed(never_ran=True))
        begun = wire.DispatchItem(sealed=wire.Sealed(never_ran=False))
        cases = [
            (sealed, True),
            (begun, False),
            (refused_item("overloaded", "not-run"), True),
            (refused_item("stale-incarnation", "unknown"), False),
        ]
        for item, never_ran in cases:
            stream = new_stream()
            waiting = asyncio.create_task(stream.seal())
            await asyncio.sleep(0)
            stream.deliver(item)
            self.assertEqual(never_ran, await waiting, item)

    async def test_opened_dispatch_unknown_to_its_agent_is_a_backend_failure(self):
        stream = new_stream()
        stream.deliver(refused_item("not-found", "unknown"))
        self.assertEqual(ErrorKind.BACKEND_FAILED, stream.error.kind)
        self.assertEqual(RunState.UNKNOWN, stream.error.run_state)

    async def test_new_link_reopens_only_dispatches_that_were_never_accepted(self):
        stream = new_stream()
        self.assertEqual(["open"], [r.WhichOneof("body") for r in stream.requests()])
        stream.deliver(token_item(0, 2))
        (request,) = stream.requests()
        self.assertEqual(2, request.attach.from_token)

    async def test_reader_gets_the_error_of_a_gap_while_tokens_are_forwarded(self):
        forwarded = []
        stream = new_stream()
        stream.forward_to(lambda texts: forwarded.append(texts) or True)
        stream.deliver(token_item(0))
        reader = asyncio.create_task(stream.read())
        await asyncio.sleep(0)
        for _ in range(9):
            stream.deliver(token_item(0))
            stream.deliver(token_item(5))
        async with asyncio.timeout(30):
            with self.assertRaises(WigeonscaleError):
                await reader
        self.assertEqual(1, len(forwarded))
        self.assertNotIn([], forwarded)


class KeepaliveTest(AsyncTestCase):
    async def test_link_is_unresponsive_only_after_unanswered_pings(self):
        clock, link = ManualClock(), FakeLink()
        limits = KeepaliveLimits(
            interval_s=1.0, max_missed_pings=3, max_checks_without_ping=6
        )
        watch = asyncio.create_task(wait_unresponsive(link, clock=clock, limits=limits))
        await clock.advance(0.0)
        for _ in range(5):
            link.events_received += 1
            await clock.advance(1.0)
        self.assertEqual(0, link.pings)
        await clock.advance(3.0)
        self.assertFalse(watch.done())
        await clock.advance(1.0)
        self.assertTrue(watch.done())
        self.assertEqual(3, link.pings)

    async def test_agent_that_keeps_sending_is_still_pinged(self):
        clock, link = ManualClock(), FakeLink()
        limits = KeepaliveLimits(interval_s=1.0, max_checks_without_ping=4)
        watch = asyncio.create_task(wait_unresponsive(link, clock=clock, limits=limits))
        await clock.advance(0.0)
        for _ in range(12):
            link.events_received += 1
            await clock.advance(1.0)
        self.assertEqual(3, link.pings)
        watch.cancel()
        await asyncio.gather(watch, return_exceptions=True)

    async def test_idle_link_is_not_pinged(self):
        clock, link = ManualClock(), FakeLink()
        link.busy.clear()
        limits = KeepaliveLimits(interval_s=1.0)
        watch = asyncio.create_task(wait_unresponsive(link, clock=clock, limits=limits))
        await clock.advance(100.0)
        self.assertFalse(watch.done())
        self.assertEqual(0, link.pings)
        watch.cancel()
        await asyncio.gather(watch, return_exceptions=True)
