import asyncio
import dataclasses
import random
from collections import Counter

from wigeonscale.adapters.metrics import METRICS
from wigeonscale.crashes import START_CRASH_WINDOW_S
from wigeonscale.direct.choice import FULL_SHARE
from wigeonscale.direct.recovery_plans import (
    MOVE_TTL_S,
    PLAN_TTL_S,
    RecoveryPlan,
    RecoveryPlans,
)
from wigeonscale.direct.runs import Run
from wigeonscale.direct.tests.fakes import FakeSink
from wigeonscale.direct.tests.support import (
    EntryHarness,
    StreamCase,
    engine,
    event,
    fleet,
    not_sent,
    unknown,
)
from wigeonscale.errors import RunState
from wigeonscale.ports.orders import OrderOutcome

LOGGER = "wigeonscale.direct.recovery_ways"
# Longest silence of an engine that goes on.
MAX_SILENCE_S = 1.5


class FixedPlans(RecoveryPlans):
    """Gives all shares to the detour, or to new sends to one failure domain."""

    def __init__(self, *, detour=False, domain=""):
        super().__init__()
        self._detour = detour
        self._domain = domain
        self.made = 0

    def plan(self, service, lost, *, make, **fields):
        def make_fixed():
            self.made += 1
            plan = make()
            sends = [
                float(not way.is_detour and way.domain == self._domain)
                for way in plan.ways
            ]
            shares = [float(way.is_detour) for way in plan.ways]
            return dataclasses.replace(
                plan, shares=shares if self._detour else sends, send_shares=sends
            )

        return super().plan(service, lost, make=make_fixed, **fields)


class LostEngineCase(StreamCase):
    """An engine of running streams is lost; another one of the domain holds its layers.

    Without traffic classes, domain b would be next.
    """

    has_classes = True
    entry_count = 1
    slack = 100
    silent = ()

    async def prepare(self):
        self.harness = EntryHarness(entry_count=self.entry_count, slack=self.slack)
        self.set_fleet()
        self.exchange = self.harness.exchange
        self.sink = FakeSink()
        self.gates = []
        self.harness.orders.reroute_outcome = OrderOutcome.STARTED
        self.set_plans(RecoveryPlans())
        self.ways = ("detour", "same-domain", "other-domain")
        self.before = [METRICS.recovered_streams.value(way=way) for way in self.ways]

    def set_fleet(self, *others):
        engines = [
            engine(f"{domain}{part + 1}", 5 * part, 5 * part + 5, domain=domain)
            for domain in "abc"
            for part in (0, 1)
        ]
        engines = [
            dataclasses.replace(each, is_silent=each.backend_id in self.silent)
            for each in engines
        ]
        self.harness.fleet = fleet(*engines, *others)

    def set_plans(self, plans):
        self.harness.ctx = dataclasses.replace(
            self.harness.ctx,
            has_classes=lambda service: self.has_classes,
            recovery=plans,
        )

    def gate(self):
        """Return a future that stalls a stream until an engine is lost."""
        self.gates.append(asyncio.get_running_loop().create_future())
        return self.gates[-1]

    async def start(self, count=1, **fields):
        """Start streams through a1 and a2 and wait for their first events."""
        self.exchange.script(
            "a1",
            *[
                [event(0), self.gate(), event(1), self.gate(), event(2)]
                for _ in range(count)
            ],
        )
        self.sinks, self.tasks = [], []
        for _ in range(count):
            self.sink = FakeSink()
            self.sinks.append(self.sink)
            self.tasks.append(asyncio.create_task(self.relay(**fields)))
        await self.until(lambda: all(sink.data for sink in self.sinks))
        # A run that has gone on for this long is not suspected of crashing engines.
        await self.harness.clock.advance(START_CRASH_WINDOW_S)
        for gate in self.gates[::2]:
            gate.set_result(None)
        await self.harness.clock.advance(0.1)

    async def lose(self, name, *others):
        """Lose an engine; other engines are added, which no path used before."""
        self.silent = (name,)
        self.set_fleet(*others)
        self.harness.stalls.check()
        await self.harness.clock.advance(0)
        for gate in self.gates:
            if not gate.done():
                # This stream kept its connection and gets the rest over the new path.
                gate.set_result(None)

    async def finish(self):
        await self.until(lambda: all(task.done() for task in self.tasks))
        await asyncio.gather(*self.tasks)
        for sink in self.sinks:
            self.assertEqual(b"id: 0\n\nid: 1\n\nid: 2\n\n", sink.data)
            self.assertTrue(sink.is_whole)

    async def run_through_loss(self, name, *others, **fields):
        await self.start(**fields)
        await self.lose(name, *others)
        await self.finish()

    def spend_budget(self):
        while self.harness.ctx.budget.try_spend("model"):
            pass

    def retries(self):
        self.harness.ctx.budget.record("model")
        return self.harness.ctx.budget.report_sends()["model"][1]

    def counted(self):
        """Return the recovered streams by way: detour, same domain, other domain."""
        now = [METRICS.recovered_streams.value(way=way) for way in self.ways]
        return [b - a for a, b in zip(self.before, now, strict=True)]

    def fill(self, name):
        capacity = FULL_SHARE * (5000 - 5 * 100) * 1e6 / 1e5
        self.harness.tracker.begin(Run((name,), {name: capacity}))


class DrawnWayTest(LostEngineCase):
    """Guards against drawn ways that streams do not take."""

    async def test_drawn_way_elsewhere(self):
        self.set_plans(FixedPlans(domain="c"))
        self.exchange.script("c1", [event(2)])
        await self.run_through_loss("a2", engine("a3", 5, 10))
        self.assertEqual(["a1", "c1"], self.exchange.sent_to)
        last = [part.backend_id for part in self.exchange.calls[-1].path]
        self.assertEqual(["c1", "c2"], last)
        self.assertEqual([], self.harness.orders.rerouted)
        # One retry, though it is taken before the wait for events is aborted.
        self.assertEqual(1, self.retries())
        self.assertEqual([0, 0, 1], self.counted())

    async def test_drawn_detour(self):
        self.set_plans(FixedPlans(detour=True))
        await self.run_through_loss("a2", engine("a3", 5, 10))
        self.assertEqual([("a1:80", "r1", ["a1", "a3"])], self.harness.orders.rerouted)
        self.assertEqual(["a1"], self.exchange.sent_to)
        self.assertEqual(0, self.retries())
        self.assertEqual([1, 0, 0], self.counted())

    async def test_drawn_new_send_in_the_same_domain(self):
        self.set_plans(FixedPlans(domain="a"))
        await self.start()
        self.exchange.script("a1", [event(2)])
        # There is one more path, without the replacement of the detour.
        await self.lose("a2", engine("a3", 5, 10), engine("a4", 5, 10))
        await self.finish()
        self.assertEqual(["a1", "a1"], self.exchange.sent_to)
        self.assertEqual([0, 1, 0], self.counted())

    async def test_first_engine_lost(self):
        """Guards against all streams of a first engine resuming in one domain."""
        self.set_plans(FixedPlans(domain="c"))
        self.exchange.script("c1", [event(2)])
        await self.run_through_loss("a1")
        self.assertEqual(["a1", "c1"], self.exchange.sent_to)
        self.assertEqual([], self.harness.orders.rerouted)
        self.assertEqual([0, 0, 1], self.counted())

    async def test_connection_broken_by_a_lost_engine(self):
        """Guards against draws for rerouted streams only, not for broken ones."""
        self.set_plans(FixedPlans(domain="c"))
        exc = unknown()
        exc.failed_address = "a2:80"
        self.exchange.script("a1", [event(1), exc])
        self.exchange.script("c1", [event(2)])
        await self.relay()
        self.assertEqual([1, 2], self.got())
        self.assertEqual(["a1", "c1"], self.exchange.sent_to)

    async def test_streams_of_one_instant_spread_over_equal_replacements(self):
        """Guards against choices that do not see each other before orders return."""
        self.set_plans(FixedPlans(detour=True))
        order = self.harness.orders.change_path

        async def order_later(*args, **fields):
            await asyncio.sleep(0)  # the other streams choose meanwhile
            return await order(*args, **fields)

        self.harness.orders.change_path = order_later
        await self.start(6)
        await self.lose("a2", engine("a3", 5, 10), engine("a4", 5, 10))
        await self.finish()
        moved = Counter(path[-1] for _, _, path in self.harness.orders.rerouted)
        self.assertEqual({"a3": 3, "a4": 3}, moved)


class ImpossibleWayTest(LostEngineCase):
    """Guards against streams that wait or fail as their drawn way is impossible."""

    async def test_budget_without_retries(self):
        self.set_plans(FixedPlans(domain="c"))
        await self.start()
        self.spend_budget()
        lost_at = self.harness.clock.now()
        await self.lose("a2", engine("a3", 5, 10))
        # The detour is ordered at once.
        self.assertEqual(lost_at, self.harness.clock.now())
        self.assertEqual([("a1:80", "r1", ["a1", "a3"])], self.harness.orders.rerouted)
        await self.finish()
        self.assertEqual(["a1"], self.exchange.sent_to)

    async def test_detour_refused_as_misfit(self):
        self.set_plans(FixedPlans(detour=True, domain="c"))
        self.harness.orders.reroute_outcome = OrderOutcome.CONFLICT
        self.exchange.script("c1", [event(2)])
        await self.run_through_loss("a2", engine("a3", 5, 10))
        self.assertEqual(1, len(self.harness.orders.rerouted))
        self.assertEqual(["a1", "c1"], self.exchange.sent_to)
        self.assertEqual([0, 0, 1], self.counted())

    async def test_drawn_domain_without_room(self):
        """Guards against resumed streams that preempt those of a full domain."""
        self.set_plans(FixedPlans(domain="c"))
        self.exchange.script("b1", [event(2)])
        await self.start()
        self.fill("c2")
        await self.lose("a1")
        await self.finish()
        self.assertEqual(["a1", "b1"], self.exchange.sent_to)
        self.assertEqual([0, 0, 1], self.counted())

    async def test_engine_of_the_drawn_domain_does_not_respond(self):
        self.set_plans(FixedPlans(domain="c"))
        self.exchange.script("b1", [event(2)])
        await self.start()
        self.harness.tracker.note_lost("c2")
        await self.lose("a1")
        await self.finish()
        self.assertEqual(["a1", "b1"], self.exchange.sent_to)

    async def test_path_of_the_drawn_domain_does_not_cross_domains(self):
        self.set_plans(FixedPlans(domain="c"))
        self.exchange.script("b1", [event(2)])
        await self.start()
        self.silent = ("a1", "c2")
        self.set_fleet(engine("b3", 5, 10, domain="b"))
        self.harness.stalls.check()
        await self.harness.clock.advance(0)
        await self.finish()
        self.assertEqual("b1", self.exchange.sent_to[-1])

    async def test_stream_that_had_just_started(self):
        """Guards against requests that crash engines in one domain after another."""
        self.set_plans(FixedPlans(domain="c"))
        self.exchange.script("a1", [event(1), self.gate(), event(2)])
        task = asyncio.create_task(self.relay())
        await self.until(lambda: self.sink.data)
        await self.harness.clock.advance(0.1)
        await self.lose("a2", engine("a3", 5, 10))
        await self.until(task.done)
        await task
        self.assertEqual(["a1"], self.exchange.sent_to)
        self.assertEqual(1, len(self.harness.orders.rerouted))

    async def test_no_attempts_left(self):
        """Guards against more first engines than the route allows."""
        self.set_plans(FixedPlans(domain="c"))
        await self.run_through_loss("a2", engine("a3", 5, 10), max_attempts=1)
        self.assertEqual(["a1"], self.exchange.sent_to)
        self.assertEqual(1, len(self.harness.orders.rerouted))
        self.assertEqual(0, self.retries())

    async def test_replacement_lost_as_well(self):
        """Guards against a second move that reuses the first draw."""
        self.set_plans(FixedPlans(domain="c"))
        self.exchange.script("c1", [event(2), not_sent()])
        self.exchange.script("b1", [event(3)])
        await self.start(max_attempts=3)
        await self.lose("a1")
        await self.until(lambda: self.tasks[0].done())
        await self.tasks[0]
        self.assertEqual(["a1", "c1", "b1"], self.exchange.sent_to)
        self.assertEqual(2, self.retries())


class ScarceRetriesTest(LostEngineCase):
    """Guards against streams that all rely on the same last retry."""

    slack = 3

    async def test_further_streams_take_the_detour(self):
        self.set_plans(FixedPlans(domain="c"))
        self.exchange.script("c1", *[[event(2)] for _ in range(5)])
        await self.start(5)
        await self.lose("a2", engine("a3", 5, 10))
        moved = len(self.harness.orders.rerouted)
        await self.finish()
        sent_again = self.exchange.sent_to.count("c1")
        self.assertEqual(5, moved + sent_again)
        self.assertIn(sent_again, (1, 2, 3))
        self.assertEqual(sent_again, self.retries())
        self.assertFalse(self.harness.ctx.budget.try_spend("model"))


class NotResumableTest(LostEngineCase):
    """Guards against a second run of a request that may run at most once."""

    async def test_takes_the_detour_whatever_is_drawn(self):
        self.set_plans(FixedPlans(domain="c"))
        await self.run_through_loss("a2", engine("a3", 5, 10), resumable=False)
        self.assertEqual(["a1"], self.exchange.sent_to)
        self.assertEqual(0, self.retries())

    async def begin(self):
        """Begin a stream; return its task and the gate before its second event."""
        gate = asyncio.get_running_loop().create_future()
        self.exchange.script("a1", [event(1), gate, event(2)])
        task = asyncio.create_task(self.relay(resumable=False))
        await self.until(lambda: self.sink.data)
        await self.harness.clock.advance(0.1)
        return task, gate

    async def check_fails_once_it_breaks(self, task, gate):
        await self.harness.clock.advance(MAX_SILENCE_S)
        self.assertFalse(task.done())
        gate.set_exception(unknown())
        (exc,) = await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(RunState.UNKNOWN, exc.run_state)
        self.assertEqual(["a1"], self.exchange.sent_to)
        self.assertEqual([0, 0, 0], self.counted())

    async def check_goes_on(self, task, gate):
        await self.harness.clock.advance(MAX_SILENCE_S)
        gate.set_result(None)
        await task
        self.assertEqual([1, 2], self.got())
        self.assertTrue(self.sink.is_whole)
        self.assertEqual(["a1"], self.exchange.sent_to)

    async def test_broken_without_a_detour(self):
        self.set_plans(FixedPlans(domain="c"))
        task, gate = await self.begin()
        await self.lose("a1")
        await self.check_fails_once_it_breaks(task, gate)

    async def test_goes_on_without_a_detour(self):
        self.set_plans(FixedPlans(domain="c"))
        task, gate = await self.begin()
        await self.lose("a1")
        await self.check_goes_on(task, gate)

    async def test_broken_after_a_refused_detour(self):
        self.set_plans(FixedPlans(domain="c"))
        self.harness.orders.reroute_outcome = OrderOutcome.CONFLICT
        task, gate = await self.begin()
        await self.lose("a2", engine("a3", 5, 10))
        await self.check_fails_once_it_breaks(task, gate)

    async def test_goes_on_after_a_refused_detour(self):
        self.set_plans(FixedPlans(domain="c"))
        self.harness.orders.reroute_outcome = OrderOutcome.CONFLICT
        task, gate = await self.begin()
        await self.lose("a2", engine("a3", 5, 10))
        await self.check_goes_on(task, gate)


class PlanTest(LostEngineCase):
    """Guards against shares computed from a wrong number of streams, or too often."""

    entry_count = 3

    async def planned(self, count, *, totals=None):
        """Lose an engine of some streams; return the fields of the log lines."""
        await self.start(count)
        if totals is not None:
            self.harness.tracker.report_loads()
            self.harness.tracker.apply_totals(totals)
        for name in ("a1", "b1", "c1"):
            self.exchange.script(name, *[[event(2)] for _ in range(count)])
        with self.assertLogs(LOGGER) as logs:
            await self.lose("a2", engine("a3", 5, 10))
        await self.finish()
        return [record.fields for record in logs.records]

    async def test_stale_totals(self):
        self.harness.tracker.apply_totals({})
        await self.harness.clock.advance(5.0)
        lines = await self.planned(3)
        self.assertEqual(3 * 3, lines[0]["streams"])

    async def test_no_totals(self):
        lines = await self.planned(3)
        self.assertEqual(3, lines[0]["streams"])

    async def test_recent_totals(self):
        lines = await self.planned(3, totals={"a2": (40, 0.0)})
        self.assertEqual(40, lines[0]["streams"])

    async def test_one_plan_and_one_log_line_per_loss(self):
        lines = await self.planned(8)
        self.assertEqual(1, len(lines))
        ways = lines[0]["ways"]
        self.assertEqual(["detour", "b", "c"], [way["way"] for way in ways])
        self.assertAlmostEqual(1.0, sum(way["share"] for way in ways), places=2)
        for way in ways:
            self.assertGreater(way["ready_s"], 0.0)
            self.assertGreater(way["per_stream_s"], 0.0)
            self.assertGreater(way["room"], 0)

    def test_plan_is_made_again_after_its_time(self):
        plans = RecoveryPlans()
        made = []

        for now in (0.0, 0.1, PLAN_TTL_S, PLAN_TTL_S + 0.01):
            self.ask(plans, made, now=now, has_detour=True)
        self.assertEqual([0.0, PLAN_TTL_S + 0.01], made)

    def ask(self, plans, made, *, now, has_detour):
        """Ask for the plan of a loss, and note the time if it is made."""

        def make():
            made.append(now)
            return RecoveryPlan(
                made_at=now,
                domain="a",
                ways=(),
                shares=(),
                send_shares=(),
                has_detour=has_detour,
            )

        return plans.plan(
            "s", frozenset({"a"}), has_detour=has_detour, now=now, make=make
        )

    def test_plan_without_a_detour_is_replaced(self):
        # Guards against streams that all take a new send and a retry, because the plan
        # was made for a stream whose connection broke.
        plans = RecoveryPlans()
        made = []
        for now, has_detour in ((0.0, False), (0.1, True), (0.2, False), (0.25, True)):
            self.ask(plans, made, now=now, has_detour=has_detour)
        self.assertEqual([0.0, 0.1], made)

    async def test_detour_after_a_broken_stream(self):
        """The first engine reports one stream as broken before others are rerouted."""
        exc = unknown()
        exc.failed_address = "a2:80"
        await self.start(3)
        self.exchange.script("a1", [event(0), exc])
        for name in ("a1", "b1", "c1"):
            self.exchange.script(name, *[[event(1), event(2)] for _ in range(3)])
        self.sink = FakeSink()
        await self.relay()
        await self.lose("a2", engine("a3", 5, 10))
        await self.finish()
        self.assertTrue(self.harness.orders.rerouted)

    def test_moves_to_engines_that_are_gone_are_dropped(self):
        # Guards against memory that grows with each engine that streams moved to.
        plans = RecoveryPlans()
        for number in range(100):
            plans.note_moved([f"e{number}"], now=float(number))
        self.assertEqual(1, len(plans._moves))

    def test_moves_are_forgotten(self):
        """Guards against engines that are shunned long after a loss."""
        plans = RecoveryPlans()
        plans.note_moved(["a"], now=1.0)
        plans.note_moved(["a", "b"], now=1.2)
        self.assertEqual(2, plans.moving_to("a", now=1.3))
        self.assertEqual(1, plans.moving_to("a", now=1.1 + MOVE_TTL_S))
        self.assertEqual(0, plans.moving_to("a", now=2.0 + MOVE_TTL_S))
        self.assertEqual(0, plans.moving_to("c", now=1.3))


class WithoutClassesTest(LostEngineCase):
    """Guards against changed decisions for services without traffic classes."""

    has_classes = False

    async def prepare(self):
        await super().prepare()
        self.plans = FixedPlans(domain="c")
        self.set_plans(self.plans)
        self.harness.ctx.rng.seed(5)

    async def test_detour_as_before(self):
        await self.run_through_loss("a2", engine("a3", 5, 10), engine("a4", 5, 10))
        self.assertEqual([("a1:80", "r1", ["a1", "a3"])], self.harness.orders.rerouted)
        self.assert_unused()

    async def test_next_domain_as_before(self):
        self.exchange.script("b1", [event(2)])
        await self.run_through_loss("a1")
        self.assertEqual(["a1", "b1"], self.exchange.sent_to)
        self.assert_unused()

    def assert_unused(self):
        self.assertEqual(0, self.plans.made)
        self.assertEqual([0, 0, 0], self.counted())
        # No random number was drawn.
        self.assertEqual(random.Random(5).random(), self.harness.ctx.rng.random())
