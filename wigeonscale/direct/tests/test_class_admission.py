import asyncio
from dataclasses import replace

from wigeonscale.direct.choice import FULL_SHARE, choose_path, path_costs
from wigeonscale.direct.runs import Run
from wigeonscale.direct.service import DirectService
from wigeonscale.direct.stream import relay_stream
from wigeonscale.direct.tests.fakes import FakeSink
from wigeonscale.direct.tests.support import (
    ENGINE,
    MODEL,
    StreamCase,
    event,
    not_run,
    unknown,
)
from wigeonscale.errors import WigeonscaleError
from wigeonscale.limits import ClassCount
from wigeonscale.ports.exchange import GenerationSize
from wigeonscale.routes import Repeat, RouteTable

CAPACITY = FULL_SHARE * (5000 - 5 * 100) * 1e6 / 1e5
SIZES = GenerationSize(prompt_tokens=10, max_tokens=20, expected_tokens=20)


def count(priority, *, domain="a", **counts):
    return ClassCount(service="model", priority=priority, domain=domain, **counts)


def short(domain="a", **counts):
    """Return demand for which other classes than the most urgent leave 0.2 free."""
    fields = {"arrived": 400, "waiting": 1} | counts
    return [
        count(0, domain=domain, **fields),
        count(2, domain=domain, arrived=8, admitted=8, waiting=999),
    ]


class ClassCase(StreamCase):
    has_classes = True

    async def prepare(self):
        await super().prepare()
        harness = self.harness
        harness.ctx = replace(
            harness.ctx,
            has_classes=lambda service: self.has_classes and service == "model",
        )
        self.ctx = harness.ctx
        self.clock = harness.clock

    def job(self, priority, *, left_s=20.0):
        job = self.harness.job(
            Repeat.STREAM, service=MODEL, left_s=left_s, resumable=True
        )
        return replace(job, route=replace(job.route, priority=priority))

    def fill(self, share, *names):
        runs = [Run((name,), {name: share * CAPACITY}) for name in names]
        for run in runs:
            self.harness.tracker.begin(run)
        return runs

    def start(self, priority):
        sink = FakeSink()
        return asyncio.create_task(relay_stream(self.ctx, self.job(priority), sink))

    async def end(self, *tasks):
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def report(self):
        return self.ctx.class_demand.report()


class CostsTest(ClassCase):
    def costs(self, reserves):
        return path_costs(
            ENGINE,
            SIZES,
            tracker=self.harness.tracker,
            entry_count=1,
            reserves=reserves,
        )

    def chosen(self, reserves):
        path = choose_path(
            tuple(self.harness.fleet.by_service["model"]),
            ENGINE,
            self.costs(reserves),
            domain="a",
        )
        return [part.backend_id for part in path]

    async def test_reserve_is_not_free(self):
        """Guards against filling the capacity that is left to others."""
        a1, b1 = (self.harness.fleet.by_id[name] for name in ("a1", "b1"))
        # 412 layers without a reserve, as in the tests of the choice.
        costs = self.costs({"a": 0.2})
        self.assertTrue(costs.has_capacity(a1, int(0.8 * CAPACITY / 120)))
        self.assertFalse(costs.has_capacity(a1, int(0.8 * CAPACITY / 120) + 1))
        self.assertTrue(costs.has_capacity(b1, int(CAPACITY / 120)))

    async def test_slots_are_reserved(self):
        """Guards against filling the slots of a first engine with free memory."""
        for _ in range(6):
            self.harness.tracker.begin(Run(("a1",)))
        a1 = self.harness.fleet.by_id["a1"]
        self.assertTrue(self.costs({"a": 0.2}).has_capacity(a1, 5))
        self.harness.tracker.begin(Run(("a1",)))
        self.assertFalse(self.costs({"a": 0.2}).has_capacity(a1, 5))
        self.assertTrue(self.costs({}).has_capacity(a1, 5))

    async def test_domain_without_a_reserve_is_preferred(self):
        """Guards against waiting while another domain has capacity for all."""
        self.fill(0.85, "a1")
        self.assertEqual(["a1", "a2"], self.chosen({}))
        self.assertEqual(["b1", "b2"], self.chosen({"a": 0.2}))
        self.assertEqual(["a1", "a2"], self.chosen({"a": 0.1}))

    async def test_no_reserve_changes_nothing(self):
        """Guards against other decisions for services without traffic classes."""
        self.fill(1.0 - 5 * 120 / CAPACITY, "a1")
        a1 = self.harness.fleet.by_id["a1"]
        for reserves in ({}, {"a": 0.0}, {"b": 0.3}):
            self.assertTrue(self.costs(reserves).has_capacity(a1, 5))
            self.assertFalse(self.costs(reserves).has_capacity(a1, 6))


class AdmissionTest(ClassCase):
    async def prepare(self):
        await super().prepare()
        self.fill(0.85, "a1", "b1")
        self.ctx.class_demand.apply_totals([*short("a"), *short("b")])

    async def test_less_urgent_request_waits(self):
        """Guards against the last capacity going to whichever request asks first."""
        self.exchange.script("a1", [event(1)])
        task = self.start(2)
        await self.clock.advance(0.1)
        self.assertEqual([], self.exchange.calls)
        self.assertEqual([count(2, waiting=1)], self.report())
        await self.start(0)
        self.assertEqual(["a1"], self.exchange.sent_to)
        await self.end(task)
        self.assertEqual([count(0, admitted=1, released=1)], self.report())

    async def test_admitted_when_the_others_are_no_longer_short(self):
        """Guards against requests that are held back for their whole patience."""
        self.exchange.script("a1", [event(1)])
        task = self.start(2)
        await self.clock.advance(0.1)
        self.ctx.class_demand.apply_totals([count(0, arrived=400)])
        # 0.85 of the capacity is used, and the reserve falls from 0.2 to 0.1.
        await self.clock.advance(0.8)
        self.assertEqual([], self.exchange.sent_to)
        await self.clock.advance(0.3)
        self.assertTrue(task.done())
        self.assertEqual(["a1"], self.exchange.sent_to)
        self.assertEqual(0, len(self.ctx.admission_queue))

    async def test_not_held_back_below_the_floor(self):
        """Guards against a class that gets nothing."""
        totals = [short()[0], count(2, arrived=8, admitted=1)]
        self.ctx.class_demand.apply_totals(totals)
        self.exchange.script("a1", [event(1)])
        await self.start(2)
        self.assertEqual(["a1"], self.exchange.sent_to)

    async def test_held_requests_do_not_block_more_urgent_ones(self):
        """Guards against an urgent request behind one that is held back.

        The queue admits its requests one after another, so an urgent request that
        waits for capacity would wait until the held one gives up.
        """
        held = self.start(2)
        await self.clock.advance(0.1)
        full = self.fill(0.15, "a1", "b1")
        urgent = self.start(0)
        await self.clock.advance(0.1)
        self.assertEqual([], self.exchange.calls)
        self.exchange.script("a1", [event(1)])
        self.harness.tracker.end(full[0])
        await self.clock.advance(0.1)
        self.assertTrue(urgent.done())
        self.assertEqual(["a1"], self.exchange.sent_to)
        self.assertFalse(held.done())
        await self.end(held)

    async def test_held_request_below_the_floor(self):
        """Guards against a class that gets nothing behind another that is held back."""
        held = [self.start(1), self.start(2)]
        await self.clock.advance(0.1)
        totals = [short()[0], count(1, arrived=8, admitted=8), count(2, arrived=8)]
        self.ctx.class_demand.apply_totals(totals)
        self.exchange.script("a1", [event(1)])
        await self.clock.advance(0.1)
        self.assertEqual([False, True], [task.done() for task in held])
        self.assertEqual(["a1"], self.exchange.sent_to)
        await self.end(*held)

    async def test_begun_stream_ignores_the_reserve(self):
        """Guards against moving a stream away from the engines that can finish it."""
        self.ctx.class_demand.apply_totals([])
        gate = asyncio.get_running_loop().create_future()
        self.exchange.script("a1", [event(1), gate, unknown()], [event(2)])
        sink = FakeSink()
        task = asyncio.create_task(relay_stream(self.ctx, self.job(2), sink))
        await self.until(lambda: sink.data)
        # With the reserve, the path in domain b would be chosen.
        self.ctx.class_demand.apply_totals(short("a"))
        gate.set_result(None)
        await self.clock.advance(0.05)
        await task
        self.assertEqual(["a1", "a1"], self.exchange.sent_to)

    async def test_refused_request_leaves_the_reserve_free(self):
        """Guards against a retry that takes what a first send may not."""
        self.ctx.class_demand.apply_totals([])
        self.exchange.script("a1", not_run())
        self.exchange.script("b1", [event(1)])
        step = self.exchange.open

        def open_then_short(call):
            self.ctx.class_demand.apply_totals([*short("a"), *short("b")])
            return step(call)

        self.exchange.open = open_then_short
        task = self.start(2)
        await self.clock.advance(0.2)
        self.assertEqual(["a1"], self.exchange.sent_to)
        await self.end(task)

    async def test_service_without_classes(self):
        """Guards against any change for services without traffic classes."""
        self.has_classes = False
        self.exchange.script("a1", [event(1)])
        await self.start(2)
        self.assertEqual(["a1"], self.exchange.sent_to)
        self.assertEqual([], self.report())

    async def test_classes_that_end_during_a_wait(self):
        """Guards against a request that is reported as waiting for ever."""
        task = self.start(2)
        await self.clock.advance(0.1)
        self.assertEqual([count(2, waiting=1)], self.report())
        self.has_classes = False
        await self.end(task)
        self.assertEqual([], self.report())


class CountsTest(ClassCase):
    async def test_whole_generation(self):
        """Guards against demand that control does not see."""
        self.exchange.script("a1", [event(1)])
        job = self.job(1)
        table = RouteTable(
            number=1,
            routes={"h": {"/": job.route}},
            services={"model": MODEL},
        )
        ready = asyncio.Event()
        ready.set()
        service = DirectService(
            ctx=self.ctx,
            table=lambda: table,
            config_received=ready,
            may_serve=lambda: True,
            rng=self.ctx.rng,
        )
        await service.serve(job.req, self.sink)
        self.assertEqual([count(1, arrived=1, admitted=1, released=1)], self.report())

    async def test_retry_is_admitted_once(self):
        """Guards against the floor counting retries as admitted generations."""
        self.exchange.script("a1", not_run())
        self.exchange.script("b1", [event(1)])
        await self.start(1)
        self.assertEqual([count(1, admitted=1, released=1)], self.report())

    async def test_refused_request_releases_nothing(self):
        """Guards against a release rate that includes requests without capacity."""
        self.exchange.script("a1", not_run())
        self.exchange.script("b1", not_run())
        job = self.job(1, left_s=0.3)
        task = asyncio.create_task(relay_stream(self.ctx, job, self.sink))
        await self.clock.advance(1.0)
        self.assertRaises(WigeonscaleError, task.result)
        (counts,) = self.report()
        self.assertEqual((1, 0, 0), (counts.admitted, counts.released, counts.waiting))


class RunningTest(ClassCase):
    async def test_places_are_the_generations_of_the_domain(self):
        """Guards against counting a generation once for each engine of its path."""
        self.ctx.class_demand.apply_totals(
            [count(0, arrived=20, waiting=10), count(2, arrived=1, admitted=1)]
        )
        for _ in range(30):
            self.harness.tracker.begin(Run(("a1", "a2")))
            self.harness.tracker.begin(Run(("b1", "b2")))
        with self.assertLogs("wigeonscale.direct.class_demand", "INFO") as logs:
            task = self.start(2)
            await self.clock.advance(0.0)
        (line,) = logs.records
        # Ten arrivals per second, 30 generations that run and 10 that wait.
        self.assertEqual((40.0, 0.25), (line.fields["places"], line.fields["wanted"]))
        await self.end(task)
