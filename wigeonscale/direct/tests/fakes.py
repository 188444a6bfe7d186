"""Fake backend servers, callers and VMs for tests of an entry."""

import asyncio
from contextlib import asynccontextmanager

from wigeonscale.ports import ProbeResult
from wigeonscale.ports.exchange import FullResponse, ResponseHead
from wigeonscale.ports.orders import EngineStatus, OrderOutcome


class FakeExchange:
    """Answers each call with the next step of its server's script.

    A step is an error to raise, a whole answer, a future with one, or a list of events.
    In such a list, an error breaks the stream, ``HANG`` stalls it forever, and a future
    stalls it until it is set.
    """

    HANG = object()

    def __init__(self):
        self.scripts = {}
        self.calls = []
        self.cancelled = []

    def script(self, name, *steps):
        self.scripts.setdefault(name, []).extend(steps)

    async def call(self, call):
        async with self.open(call) as stream:
            return FullResponse(stream.head, await stream.read_body())

    @asynccontextmanager
    async def open(self, call):
        self.calls.append(call)
        step = self.scripts[call.backend_id].pop(0)
        if step is self.HANG:
            try:
                await asyncio.get_running_loop().create_future()
            finally:
                self.cancelled.append(call.backend_id)
        if isinstance(step, asyncio.Future):
            step = await step
        if isinstance(step, Exception):
            raise step
        yield step if isinstance(step, FakeStream) else FakeStream(step)

    @property
    def sent_to(self):
        return [call.backend_id for call in self.calls]


class FakeStream:
    def __init__(self, step):
        self._step = step
        is_whole = isinstance(step, FullResponse)
        self.head = step.head if is_whole else ResponseHead(200, (("Stamp", "first"),))

    async def read_body(self):
        return self._step.body

    async def events(self):
        for each in self._step:
            if each is FakeExchange.HANG:
                await asyncio.get_running_loop().create_future()
            if isinstance(each, asyncio.Future):
                await each
                continue
            if isinstance(each, Exception):
                raise each
            yield each


class FakeSink:
    """Records the response to a caller."""

    def __init__(self):
        self.answer = None
        self.head = None
        self.data = b""
        self.is_whole = False

    async def send(self, answer):
        self.answer = answer

    async def begin(self, head):
        self.head = head

    async def write(self, data):
        self.data += data

    async def end(self):
        self.is_whole = True

    def abort(self):
        self.is_whole = False


class FakeReachabilityCheck:
    """Returns the probe results that a test sets."""

    def __init__(self, clock):
        self._clock = clock
        # Addresses that do not respond; result and delay of the others.
        self.unreachable = set()
        self.answers = {}
        self.answer_s = {}
        self.probed = []

    async def __call__(self, address, timeout_s):
        self.probed.append(address)
        takes_s = self.answer_s.get(address, 0.0)
        if address in self.unreachable or takes_s > timeout_s:
            await self._clock.sleep(timeout_s)
            return ProbeResult.NO_ANSWER
        await self._clock.sleep(takes_s)
        return self.answers.get(address, ProbeResult.ANSWERED)


class FakeOrders:
    """Engines with the status that a test sets; None for no response."""

    def __init__(self):
        self.held_up_by = {}
        self.queried = []
        self.limits = []
        self.rerouted = []
        self.reroute_outcome = OrderOutcome.REFUSED

    async def change_path(self, address, *, backend_id, request_id, path, addresses):
        self.rerouted.append((address, request_id, [part.backend_id for part in path]))
        return self.reroute_outcome

    async def status(self, address, *, timeout_s):
        self.limits.append(timeout_s)
        self.queried.append(address)
        held_up_by = self.held_up_by.get(address, ())
        if held_up_by is None:
            return None
        return EngineStatus(0, False, 0, 0, held_up_by=tuple(held_up_by))
