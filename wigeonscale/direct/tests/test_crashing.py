import asyncio
import dataclasses

from wigeonscale.crashes import START_CRASH_WINDOW_S, KnownCrashes, refusal_s
from wigeonscale.direct.plain import call_plain
from wigeonscale.direct.runs import Run
from wigeonscale.direct.tests.fakes import FakeExchange
from wigeonscale.direct.tests.support import (
    MODEL,
    EntryHarness,
    StreamCase,
    answer,
    engine,
    event,
    fleet,
    server,
    unknown,
)
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.ports.exchange import CallOutcome, ExchangeError
from wigeonscale.testing import AsyncTestCase

HANG = FakeExchange.HANG


def note_crashes(harness, job, *names):
    known = KnownCrashes(
        fingerprint=job.fingerprint, backends=names, age_s=0.0, span_s=9.0
    )
    harness.ctx.crashes.apply_records([known])


class EndEnginesMixin:
    """Marks engines as silent, as control does shortly after a crash."""

    def end(self, *names, may_go_on=False):
        for name in names:
            old = self.harness.fleet.by_id[name]
            self.harness.fleet.by_id[name] = dataclasses.replace(
                old, is_silent=True, may_go_on=may_go_on
            )
        self.harness.ctx.crashes.confirm_crashes()


class RefusedStreamTest(EndEnginesMixin, StreamCase):
    def job(self, body=b"", **fields):
        return self.harness.job(body=body, **fields)

    async def test_known_crashing_request_is_not_sent(self):
        note_crashes(self.harness, self.job(), "x1", "x2", "x3")
        exc = await self.refused()
        self.assertEqual(ErrorKind.CRASHES_BACKENDS, exc.kind)
        self.assertEqual(RunState.NOT_RUN, exc.run_state)
        self.assertEqual(refusal_s(3), exc.retry_after)
        self.assertEqual([], self.exchange.sent_to)

    async def test_another_body_is_another_request(self):
        note_crashes(self.harness, self.job(), "x1", "x2", "x3")
        self.exchange.script("a1", [event(1)])
        await self.relay(body=b"another")
        self.assertEqual([1], self.got())

    async def test_the_third_crash_is_the_last_send(self):
        note_crashes(self.harness, self.job(), "x1", "x2")
        self.exchange.script("a1", unknown())
        exc = await self.refused()
        self.assertEqual(["a1"], self.exchange.sent_to)
        self.assertEqual(ErrorKind.CRASHES_BACKENDS, exc.kind)
        # It may have run there, so the response must not be a 503.
        self.assertEqual(RunState.UNKNOWN, exc.run_state)

    async def test_broken_engine_is_reported_to_control(self):
        self.exchange.script("a1", unknown())
        self.exchange.script("b1", [event(1)])
        await self.relay()
        self.assertEqual(["a1"], self.harness.suspected)

    async def test_long_run_is_no_suspect(self):
        future = asyncio.get_running_loop().create_future()
        self.exchange.script("a1", [event(1), future, event(2), unknown()], [event(3)])
        task = asyncio.create_task(self.relay())
        await self.until(lambda: self.got() == [1])
        await self.harness.clock.advance(START_CRASH_WINDOW_S)
        future.set_result(None)
        await self.until(task.done)
        await task
        self.assertFalse(self.harness.ctx.crashes.is_suspect(self.job().fingerprint))

    async def test_request_to_crashed_engine_is_no_suspect(self):
        """The engine has crashed before, and its refusal is not yet received."""
        self.harness.ctx.crashes.note_abort("a1")
        await self.harness.clock.advance(0.01)
        self.exchange.script("a1", [HANG])
        self.exchange.script("b1", [event(1)])
        task = asyncio.create_task(self.relay())
        await self.until(lambda: self.exchange.calls)
        self.end("a1")
        self.harness.tracker.note_lost("a1")
        await self.until(task.done)
        await task
        self.assertFalse(self.harness.ctx.crashes.is_suspect(self.job().fingerprint))

    async def test_run_aborted_after_a_crash_is_suspect(self):
        self.exchange.script("a1", [HANG])
        self.exchange.script("b1", [HANG])
        task = asyncio.create_task(self.relay())
        await self.until(lambda: self.exchange.calls)
        await self.harness.clock.advance(0.01)
        self.harness.ctx.crashes.note_abort("a1")
        self.end("a1")
        self.harness.tracker.note_lost("a1")
        await self.until(lambda: len(self.exchange.calls) == 2)
        self.assertTrue(self.harness.ctx.crashes.is_suspect(self.job().fingerprint))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_late_read_of_a_broken_connection_is_suspect(self):
        """The process was blocked between the first event and the broken connection."""
        future = asyncio.get_running_loop().create_future()
        self.exchange.script("a1", [event(1), future, unknown()])
        self.exchange.script("b1", [HANG])
        task = asyncio.create_task(self.relay())
        await self.until(lambda: self.got() == [1])
        await self.harness.clock.advance(START_CRASH_WINDOW_S)
        self.harness.stalls.note_lag(START_CRASH_WINDOW_S)
        future.set_result(None)
        await self.until(lambda: len(self.exchange.calls) == 2)
        self.assertTrue(self.harness.ctx.crashes.is_suspect(self.job().fingerprint))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_completed_request_is_no_suspect(self):
        note_crashes(self.harness, self.job(), "x1", "x2")
        self.exchange.script("a1", [event(1)])
        await self.relay()
        self.assertFalse(self.harness.ctx.crashes.is_suspect(self.job().fingerprint))

    async def test_silence_is_no_crash(self):
        """Guards against sound requests that are refused after engines were silent."""
        names = [f"a{number}" for number in range(1, 6)]
        self.harness.fleet = fleet(*(engine(name, 0, 10) for name in names))
        steps = [[HANG]] * 4 + [[event(1)]]
        for name in names:
            self.exchange.scripts[name] = steps
        task = asyncio.create_task(self.relay(max_attempts=5))
        for sends in range(1, 5):
            await self.until(lambda sends=sends: len(self.exchange.calls) == sends)
            name = self.exchange.sent_to[-1]
            self.end(name, may_go_on=True)
            self.harness.tracker.note_lost(name)
            await self.harness.clock.advance(0.01)
            self.harness.ctx.crashes.confirm_crashes()
        await self.until(task.done)
        await task
        self.assertEqual([1], self.got())

    async def test_begun_stream_of_a_suspect_is_not_given_up(self):
        """Guards against a stream that is cut because it might crash a third engine."""
        note_crashes(self.harness, self.job(), "x1", "x2")
        gate = asyncio.get_running_loop().create_future()
        self.exchange.script("a1", [event(1), gate, event(2)])
        task = asyncio.create_task(self.relay())
        await self.until(lambda: self.got() == [1])
        self.end("a1", may_go_on=True)
        self.harness.tracker.note_lost("a1")
        await self.harness.clock.advance(1.0)
        gate.set_result(None)
        await self.until(task.done)
        await task
        self.assertEqual([1, 2], self.got())
        self.assertEqual(["a1"], self.exchange.sent_to)

    async def test_crashing_request_is_not_rerouted(self):
        """An engine after the first one crashes, and another one holds its layers."""
        self.harness.fleet.by_id["a3"] = spare = engine("a3", 5, 10)
        self.harness.fleet.by_service["model"] += (spare,)
        note_crashes(self.harness, self.job(), "x1", "x2")
        self.exchange.script("a1", [HANG])
        task = asyncio.create_task(self.refused())
        await self.until(lambda: self.exchange.calls)
        second = self.exchange.calls[0].path[1].backend_id
        self.end(second)
        self.harness.tracker.note_lost(second)
        await self.until(task.done)
        exc = await task
        self.assertEqual(ErrorKind.CRASHES_BACKENDS, exc.kind)
        self.assertEqual([], self.harness.orders.rerouted)


class PromptPartTest(EndEnginesMixin, StreamCase):
    """Requests that crash engines have only one part of their prompts in common."""

    async def prepare(self):
        await super().prepare()
        self.crashes = self.harness.ctx.crashes
        self.shared, self.part = self.harness.job(
            service=MODEL, prompt_parts=("shared", "part", "own")
        ).part_keys

    def note_part_crashes(self, key, *names):
        known = KnownCrashes(fingerprint=key, backends=names, age_s=0.0, span_s=9.0)
        self.crashes.apply_records([known])

    async def test_known_crashing_part_is_not_sent(self):
        self.note_part_crashes(self.part, "x1", "x2", "x3")
        exc = await self.refused(body=b"new", prompt_parts=("shared", "part", "own"))
        self.assertEqual(ErrorKind.CRASHES_BACKENDS, exc.kind)
        self.assertEqual(RunState.NOT_RUN, exc.run_state)
        self.assertEqual([], self.exchange.sent_to)

    async def test_other_requests_of_the_caller_are_sent(self):
        self.note_part_crashes(self.part, "x1", "x2", "x3")
        self.exchange.script("a1", [event(1)])
        await self.relay(prompt_parts=("shared", "own"))
        self.assertEqual([1], self.got())

    async def test_last_part_is_never_refused(self):
        self.note_part_crashes(self.part, "x1", "x2", "x3")
        self.exchange.script("a1", [event(1)])
        await self.relay(prompt_parts=("shared", "part"))
        self.assertEqual([1], self.got())

    async def test_third_crash_of_a_part_is_the_last_send(self):
        self.note_part_crashes(self.part, "x1", "x2")
        self.exchange.script("a1", unknown())
        exc = await self.refused(body=b"new", prompt_parts=("shared", "part", "own"))
        self.assertEqual(["a1"], self.exchange.sent_to)
        self.assertEqual(RunState.UNKNOWN, exc.run_state)

    async def test_aborted_start_makes_suspects_of_the_shared_parts(self):
        self.exchange.script("a1", unknown())
        self.exchange.script("b1", [HANG])
        task = asyncio.create_task(self.relay(prompt_parts=("shared", "part", "own")))
        await self.until(lambda: len(self.exchange.calls) == 2)
        for key in (self.shared, self.part):
            self.assertTrue(self.crashes.is_suspect(key))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_parts_are_cleared_while_the_stream_continues(self):
        """Streams last for seconds; until their ends all requests would be refused."""
        self.note_part_crashes(self.shared, "x1", "x2")
        pause = asyncio.get_running_loop().create_future()
        self.exchange.script("a1", [event(1), pause, event(2), HANG])
        task = asyncio.create_task(self.relay(prompt_parts=("shared", "own")))
        await self.until(lambda: self.got() == [1])
        self.assertTrue(self.crashes.is_suspect(self.shared))
        await self.harness.clock.advance(START_CRASH_WINDOW_S)
        pause.set_result(None)
        await self.until(lambda: self.got() == [1, 2])
        self.assertFalse(self.crashes.is_suspect(self.shared))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_resumed_stream_makes_no_suspects(self):
        """Streams that an engine interrupts resume together and are lost together."""
        pause = asyncio.get_running_loop().create_future()
        begun = [event(1), pause, event(2), unknown()]
        self.exchange.script("a1", begun, unknown(), HANG)
        self.exchange.script("b1", HANG)
        task = asyncio.create_task(self.relay(prompt_parts=("shared", "own")))
        await self.until(lambda: self.got() == [1])
        await self.harness.clock.advance(START_CRASH_WINDOW_S)
        pause.set_result(None)
        await self.until(lambda: len(self.exchange.calls) == 3)
        self.assertFalse(self.crashes.is_suspect(self.shared))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_abort_of_a_resumed_stream_clears_nothing(self):
        """New weights may crash on a part with which the stream had run before."""
        loop = asyncio.get_running_loop()
        pause, second_pause = loop.create_future(), loop.create_future()
        begun = [event(1), pause, event(2), unknown()]
        self.exchange.script("a1", begun, [second_pause, unknown()], HANG)
        self.exchange.script("b1", HANG)
        task = asyncio.create_task(self.relay(prompt_parts=("shared", "own")))
        await self.until(lambda: self.got() == [1])
        await self.harness.clock.advance(START_CRASH_WINDOW_S)
        pause.set_result(None)
        await self.until(lambda: len(self.exchange.calls) == 2)
        self.note_part_crashes(self.shared, "x1", "x2")
        second_pause.set_result(None)
        await self.until(lambda: len(self.exchange.calls) == 3)
        self.assertTrue(self.crashes.is_suspect(self.shared))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_error_response_clears_nothing(self):
        """An engine that fails shows nothing about the request."""
        self.note_part_crashes(self.part, "x1", "x2")
        self.exchange.script("a1", answer(500, b"why"))
        await self.relay(prompt_parts=("shared", "part", "own"))
        self.assertTrue(self.crashes.is_suspect(self.part))


class IsolatedSuspectsTest(EndEnginesMixin, StreamCase):
    """Two requests were lost together, so either may have caused the crash."""

    async def prepare(self):
        await super().prepare()
        self.one = self.harness.job(body=b"one")
        self.two = self.harness.job(body=b"two")
        for job in (self.one, self.two):
            note_crashes(self.harness, job, "x1")

    async def test_suspects_use_different_first_engines(self):
        self.exchange.script("a1", [HANG])
        self.exchange.script("b1", [event(1)])
        first = asyncio.create_task(self.relay(body=b"one"))
        await self.until(lambda: self.exchange.calls)
        await self.relay(body=b"two")
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        self.assertEqual(["a1", "b1"], self.exchange.sent_to)

    async def test_suspect_waits_for_the_only_first_engine(self):
        self.harness.fleet.by_service["model"] = tuple(
            self.harness.fleet.by_id[name] for name in ("a1", "a2")
        )
        begun = asyncio.get_running_loop().create_future()
        self.exchange.script("a1", [event(1), begun, event(2)], [event(1)])
        first = asyncio.create_task(self.relay(body=b"one"))
        await self.until(lambda: self.exchange.calls)
        second = asyncio.create_task(self.relay(body=b"two"))
        await self.harness.clock.advance(START_CRASH_WINDOW_S / 2)
        self.assertEqual(1, len(self.exchange.calls))
        await self.until(second.done)
        begun.set_result(None)
        await asyncio.gather(first, second)

    async def test_wait_of_a_suspect_is_bounded(self):
        self.harness.fleet.by_service["model"] = tuple(
            self.harness.fleet.by_id[name] for name in ("a1", "a2")
        )
        self.exchange.script("a1", [HANG], [event(1)])
        first = asyncio.create_task(self.relay(body=b"one"))
        await self.until(lambda: self.exchange.calls)
        second = asyncio.create_task(self.relay(body=b"two"))
        await self.until(second.done)
        await second
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)

    async def test_other_requests_are_not_isolated(self):
        self.exchange.script("a1", [HANG], [event(1)])
        first = asyncio.create_task(self.relay(body=b"one"))
        await self.until(lambda: self.exchange.calls)
        await self.relay(body=b"three")
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        self.assertEqual(["a1", "a1"], self.exchange.sent_to)


class RefusedPlainTest(AsyncTestCase):
    async def prepare(self):
        self.harness = EntryHarness(*(server(f"s{n}") for n in range(5)))
        self.exchange = self.harness.exchange

    async def test_known_crashing_plain_request_is_not_sent(self):
        job = self.harness.job()
        note_crashes(self.harness, job, "x1", "x2", "x3")
        exc = await self.failed(job)
        self.assertEqual(RunState.NOT_RUN, exc.run_state)
        self.assertEqual([], self.exchange.sent_to)

    async def test_the_third_crash_is_the_last_send(self):
        job = self.harness.job(max_attempts=5)
        note_crashes(self.harness, job, "x1")
        for name in self.harness.fleet.by_id:
            self.exchange.script(name, unknown())
        exc = await self.failed(job)
        self.assertEqual(2, len(self.exchange.sent_to))
        self.assertEqual(RunState.UNKNOWN, exc.run_state)
        self.assertEqual(self.exchange.sent_to, self.harness.suspected)

    async def test_received_error_is_returned_to_caller(self):
        job = self.harness.job()
        for name in self.harness.fleet.by_id:
            self.exchange.script(name, answer(500, b"why"), unknown())
        tracker = self.harness.ctx.crashes
        # Control reports the request as crashing while the first server runs it.
        tracker.refusal_remaining_s = lambda _: 5.0 if self.exchange.calls else 0.0
        got = await call_plain(self.harness.ctx, job)
        self.assertEqual(answer(500, b"why"), got)

    async def test_unsent_request_is_no_suspect(self):
        job = self.harness.job()
        for name in self.harness.fleet.by_id:
            self.exchange.script(
                name, ExchangeError(CallOutcome.NOT_SENT, "nobody there")
            )
        await self.failed(job)
        self.assertFalse(self.harness.ctx.crashes.is_suspect(job.fingerprint))

    async def test_suspects_use_different_servers(self):
        jobs = [self.harness.job(body=body) for body in (b"one", b"two")]
        for job in jobs:
            note_crashes(self.harness, job, "x1")
        for name in self.harness.fleet.by_id:
            self.exchange.script(name, HANG)
        # All other servers are full, so both would be sent to the same one.
        for name in ("s1", "s2", "s3", "s4"):
            for _ in range(9):
                self.harness.tracker.begin(Run((name,)))
        tasks = [asyncio.create_task(call_plain(self.harness.ctx, j)) for j in jobs]
        for _ in range(10):
            await asyncio.sleep(0)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.assertEqual(["s0", "s1"], self.exchange.sent_to)

    async def test_answered_request_is_no_suspect(self):
        job = self.harness.job()
        note_crashes(self.harness, job, "x1", "x2")
        for name in self.harness.fleet.by_id:
            self.exchange.script(name, answer())
        await call_plain(self.harness.ctx, job)
        self.assertFalse(self.harness.ctx.crashes.is_suspect(job.fingerprint))

    async def test_error_response_clears_nothing(self):
        job = self.harness.job(max_attempts=1)
        note_crashes(self.harness, job, "x1", "x2")
        for name in self.harness.fleet.by_id:
            self.exchange.script(name, answer(500, b"why"))
        await call_plain(self.harness.ctx, job)
        self.assertTrue(self.harness.ctx.crashes.is_suspect(job.fingerprint))

    async def failed(self, job):
        try:
            await call_plain(self.harness.ctx, job)
        except WigeonscaleError as exc:
            return exc
        self.fail("it was answered")
