"""Entries, control and backend servers with rate limits, in simulated time."""

import asyncio
import dataclasses
import random
from contextlib import asynccontextmanager

from wigeonscale.control import Watcher
from wigeonscale.control.load_aggregator import LoadAggregator
from wigeonscale.daemons.load_exchange import apply_load_totals, build_load_report
from wigeonscale.direct.stream import relay_stream
from wigeonscale.direct.tests.fakes import FakeSink, FakeStream
from wigeonscale.direct.tests.support import MODEL, EntryHarness, engine, event
from wigeonscale.errors import WigeonscaleError
from wigeonscale.ports.exchange import ServerNotice
from wigeonscale.routes import Repeat
from wigeonscale.testing import ManualClock
from wigeonscale.wire import wire_pb2 as wire

REPORT_INTERVAL_S = 0.5
SYNC_INTERVAL_S = 0.1
RESPONSE_S = 0.05
STEP_S = 0.05
DOMAINS = ("a", "b", "c")
# The users' rule: in any window of WINDOW_S that ends at least CHECKED_AFTER_S after a
# server announced its limit, it may get LIMIT_FACTOR times the limit plus
# SLACK_REQUESTS. A request counts only if its entry relayed an answer with the limit at
# least ENTRY_REACTION_S before.
CHECKED_AFTER_S = 3.0
WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
SLACK_REQUESTS = 5
ENTRY_REACTION_S = 0.5


class RateLimitingServers:
    """Engines that answer after a constant delay and announce limits set by a test.

    Attributes:
        notices: Notice that each engine adds to its answers.
        sends: Time, entry and engine of each request received.
        reported_at: Time at which an entry first relayed an answer with a limit, by
            entry and engine.
    """

    def __init__(self, clock):
        self.notices = {}
        self.sends = []
        self.reported_at = {}
        self._clock = clock

    def exchange_for(self, entry):
        """Return the exchange port for an entry."""
        return _Exchange(self, entry, self._clock)


class _Exchange:
    def __init__(self, servers, entry, clock):
        self._servers = servers
        self._entry = entry
        self._clock = clock

    @asynccontextmanager
    async def open(self, call):
        key = self._entry, call.backend_id
        self._servers.sends.append((self._clock.now(), *key))
        await self._clock.sleep(RESPONSE_S)
        stream = FakeStream([event(1)])
        notice = self._servers.notices.get(call.backend_id, ServerNotice())
        stream.head = dataclasses.replace(stream.head, notice=notice)
        if notice.limit_per_s is not None:
            self._servers.reported_at.setdefault(key, self._clock.now())
        yield stream


class EntryCluster:
    """Entries in three failure domains, each domain with its own first-stage engine.

    Args:
        count: Number of entries, distributed evenly over the domains.
        requests_per_s: Request rate of each entry.
        replicas: Number of control replicas, over which the entries are distributed.

    Attributes:
        has_leader: Whether the replicas exchange the reports of their entries.
    """

    def __init__(self, count, requests_per_s, replicas=1):
        self.clock = ManualClock()
        self.servers = RateLimitingServers(self.clock)
        self.answered = 0
        self.refusals = []
        self.requests_per_s = requests_per_s
        self._rng = random.Random(1)
        self.has_leader = True
        watchers = [[] for _ in range(replicas)]
        self._aggregators = [
            LoadAggregator(watchers=w, clock=self.clock) for w in watchers
        ]
        engines = [engine(f"i-{name}", 0, 10, domain=name) for name in DOMAINS]
        self._entries = []
        for number in range(count):
            harness = EntryHarness(
                *engines,
                entry_count=count,
                domain=DOMAINS[number % len(DOMAINS)],
                clock=self.clock,
                name=f"entry-{number}",
            )
            ctx = dataclasses.replace(
                harness.ctx, exchange=self.servers.exchange_for(f"entry-{number}")
            )
            hello = wire.Hello(node_id=f"entry-{number}", role="entry")
            watcher = Watcher(hello=hello, clock=self.clock)
            watchers[number % replicas].append(watcher)
            self._entries.append((harness, ctx, watcher))
        self._requests = set()
        self._background = [
            asyncio.create_task(
                self._exchange_loads(
                    ctx,
                    watcher,
                    self._aggregators[number % replicas],
                    number * REPORT_INTERVAL_S / count,
                )
            )
            for number, (_, ctx, watcher) in enumerate(self._entries)
        ]
        self._background.append(asyncio.create_task(self._sync_replicas()))

    async def run(self, seconds):
        """Generate requests for a number of seconds."""
        until = self.clock.now() + seconds
        while self.clock.now() < until:
            for harness, ctx, _ in self._entries:
                if self._rng.random() < self.requests_per_s * STEP_S:
                    task = asyncio.create_task(self._request(harness, ctx))
                    self._requests.add(task)
                    task.add_done_callback(self._requests.discard)
            await self.clock.advance(STEP_S)

    def send_periodically(self, backend_id, every_s):
        """Let each entry send to an engine periodically, whatever the engine costs."""
        for _, ctx, _ in self._entries:
            task = asyncio.create_task(
                self._send_periodically(ctx, backend_id, every_s)
            )
            self._background.append(task)

    async def _send_periodically(self, ctx, backend_id, every_s):
        while True:
            if ctx.notices.may_send(backend_id):
                ctx.limits.note_sent(backend_id)
            else:
                ctx.limits.note_demand(backend_id)
            await self.clock.sleep(every_s)

    async def close(self):
        """Cancel the background tasks and wait for the pending requests."""
        for task in self._background:
            task.cancel()
        while self._requests:
            await self.clock.advance(STEP_S)
        await asyncio.gather(*self._background, return_exceptions=True)

    def sent_to(self, backend_id):
        """Return the number of requests that an engine received so far."""
        return sum(name == backend_id for _, _, name in self.servers.sends)

    def max_excess(self, backend_id, limit_per_s, announced_at):
        """Return by how many requests the worst window exceeds the allowed number.

        Args:
            backend_id: The engine.
            limit_per_s: The limit that it announces throughout.
            announced_at: Time from which it announces the limit.
        """
        counted = [
            at
            for at, entry, name in self.servers.sends
            if name == backend_id
            and at - self.servers.reported_at.get((entry, name), at) >= ENTRY_REACTION_S
        ]
        counts = [
            sum(end - WINDOW_S < at <= end for at in counted)
            for end in counted
            if end >= announced_at + CHECKED_AFTER_S
        ]
        return max(counts, default=0) - (
            LIMIT_FACTOR * WINDOW_S * limit_per_s + SLACK_REQUESTS
        )

    async def _request(self, harness, ctx):
        job = harness.job(Repeat.STREAM, service=MODEL, left_s=20.0, resumable=True)
        try:
            await relay_stream(ctx, job, FakeSink())
            self.answered += 1
        except WigeonscaleError as exc:
            self.refusals.append(exc)

    async def _sync_replicas(self):
        """Let the first replica, as leader, collect the loads and return the sums."""
        leader, *followers = self._aggregators
        while True:
            if self.has_leader:
                for number, aggregator in enumerate(followers):
                    name = f"control-{number}"
                    leader.receive(name, aggregator.local_total().SerializeToString())
                    total = leader.total(exclude=name).SerializeToString()
                    aggregator.receive("leader", total)
            await self.clock.sleep(SYNC_INTERVAL_S)

    async def _exchange_loads(self, ctx, watcher, aggregator, delay_s):
        await self.clock.sleep(delay_s)
        while True:
            watcher.loads = build_load_report(ctx)
            watcher.last_message_at = self.clock.now()
            apply_load_totals(ctx, aggregator.total())
            await self.clock.sleep(REPORT_INTERVAL_S)
