"""Requests that start together with a crashing request at the same entry.

All of them are lost together and retried at once. If all choose the same cheapest
engine, they are lost together again at each crash and rejected with the crashing one.
"""

import asyncio
import dataclasses
from contextlib import asynccontextmanager

from wigeonscale.direct.runs import Run
from wigeonscale.direct.stream import relay_stream
from wigeonscale.direct.tests.fakes import FakeSink, FakeStream
from wigeonscale.direct.tests.support import MODEL, EntryHarness, engine, event, unknown
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.routes import Repeat
from wigeonscale.testing import AsyncTestCase

EVENTS = 8
EVENT_S = 0.1
CRASH_S = 0.05
CRASHING = b"crash"
# The first engine is local and cheapest; the others are increasingly busy.
ENGINES = [("a", "a1"), *(("b", f"b{n}") for n in range(1, 7))]


class CrashingEngines:
    """Engines that send an event every 0.1 s and crash with one request.

    Attributes:
        crashed: Names of crashed engines.
    """

    def __init__(self, harness):
        self.crashed = []
        self._harness = harness
        self._ends = {name: asyncio.Event() for _, name in ENGINES}

    @asynccontextmanager
    async def open(self, call):
        end = self._ends[call.backend_id]
        if end.is_set():
            raise unknown()
        if call.req.body == CRASHING:
            await self._harness.clock.sleep(CRASH_S)
            self._crash(call.backend_id)
        yield FakeStream(self._events(end))

    def _events(self, end):
        for number in range(1, EVENTS + 1):
            yield self._pause(end)
            yield event(number)

    def _pause(self, end):
        # The stream awaits a future, which fails when the engine crashes.
        return asyncio.ensure_future(self._until_next(end))

    async def _until_next(self, end):
        until = self._harness.clock.now() + EVENT_S
        while self._harness.clock.now() < until:
            if end.is_set():
                raise unknown()
            await self._harness.clock.sleep(EVENT_S / 10)

    def _crash(self, name):
        self.crashed.append(name)
        self._ends[name].set()
        old = self._harness.fleet.by_id[name]
        gone = engine(name, 0, 10, domain=old.domain, is_silent=True)
        self._harness.fleet.by_id[name] = gone
        servers = self._harness.fleet.by_service
        servers["model"] = tuple(
            gone if each.backend_id == name else each for each in servers["model"]
        )


class CommonCrashTest(AsyncTestCase):
    async def prepare(self):
        self.harness = EntryHarness(
            *(engine(name, 0, 10, domain=d) for d, name in ENGINES)
        )
        for busy, (_, name) in enumerate(ENGINES):
            for _ in range(busy):
                self.harness.tracker.begin(Run((name,)))
        self.engines = CrashingEngines(self.harness)
        self.harness.ctx = dataclasses.replace(self.harness.ctx, exchange=self.engines)

    async def ask(self, body):
        job = self.harness.job(
            Repeat.STREAM,
            body=body,
            service=MODEL,
            left_s=20.0,
            resumable=True,
            max_attempts=9,
        )
        sink = FakeSink()
        try:
            await relay_stream(self.harness.ctx, job, sink)
        except WigeonscaleError as exc:
            return exc.kind
        return sink.is_whole

    async def test_only_the_crashing_request_is_rejected(self):
        bodies = [CRASHING, b"one", b"two", b"three"]
        tasks = [asyncio.create_task(self.ask(body)) for body in bodies]
        while not all(task.done() for task in tasks):
            await self.harness.clock.advance(0.01)
        self.assertEqual(3, len(self.engines.crashed))
        self.assertEqual(
            [ErrorKind.CRASHES_BACKENDS, True, True, True],
            [task.result() for task in tasks],
        )
