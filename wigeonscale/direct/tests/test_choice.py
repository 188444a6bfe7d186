from dataclasses import replace

from wigeonscale.direct import BackendTracker
from wigeonscale.direct.choice import (
    FULL_SHARE,
    choose_path,
    choose_server,
    path_costs,
)
from wigeonscale.direct.runs import Run
from wigeonscale.direct.tests.support import ENGINE, server
from wigeonscale.ports.exchange import GenerationSize
from wigeonscale.routes import Accelerator
from wigeonscale.testing import AsyncTestCase, ManualClock

SIZES = GenerationSize(prompt_tokens=100, max_tokens=40, expected_tokens=20)


class ServerTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.tracker = BackendTracker(clock=self.clock)
        self.servers = [server("near"), server("far", domain="b")]

    def chosen(self, **fields):
        fields.setdefault("entry_count", 1)
        got = choose_server(self.servers, tracker=self.tracker, domain="a", **fields)
        return got and got.backend_id

    def test_own_domain_first(self):
        self.assertEqual("near", self.chosen())

    def test_spills_over_when_half_full(self):
        for _ in range(3):
            self.tracker.begin(Run(("near",)))
        self.assertEqual("far", self.chosen())

    async def test_load_of_the_other_entries_is_inferred(self):
        # The entry got totals once and has been cut off from control since.
        self.tracker.apply_totals({})
        await self.clock.advance(5)
        self.tracker.begin(Run(("near",)))
        self.assertEqual("near", self.chosen(entry_count=1))
        self.assertEqual("far", self.chosen(entry_count=4))

    def test_failing_server_is_avoided(self):
        for _ in range(5):
            self.tracker.note_outcome("near", failed=True)
        self.assertEqual("far", self.chosen())

    def test_lost_server_only_as_last_resort(self):
        self.tracker.note_lost("near")
        self.assertEqual("far", self.chosen())
        self.assertEqual("near", self.chosen(tried={"far"}))

    async def test_lost_server_is_tried_again_later(self):
        self.tracker.note_lost("near")
        await self.clock.advance(10)
        self.assertEqual("near", self.chosen())

    def test_no_server_left(self):
        self.assertIsNone(self.chosen(tried={"near", "far"}))


class PathChoiceTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.tracker = BackendTracker(clock=self.clock)
        self.servers = [
            server(f"{domain}{i}", "model", domain=domain, layers=(5 * i, 5 * i + 5))
            for domain in "abc"
            for i in (0, 1)
        ]

    def chosen(self, **fields):
        costs = path_costs(ENGINE, SIZES, tracker=self.tracker, entry_count=1)
        path = choose_path(self.servers, ENGINE, costs, domain="a", **fields)
        return path and [part.backend_id for part in path]

    def test_stays_in_its_domain(self):
        self.assertEqual(["a0", "a1"], self.chosen())

    def test_other_domain_before_a_path_across_domains(self):
        self.tracker.note_lost("a1")
        self.assertEqual(["b0", "b1"], self.chosen())

    def test_path_across_domains_when_none_holds_all_layers(self):
        lost = {"a1", "b0", "c1"}
        self.assertEqual(["a0", "b1"], self.chosen(lost=lost))

    def test_other_domain_when_engines_are_full(self):
        capacity = FULL_SHARE * (5000 - 500) * 1e6 / 1e5
        self.tracker.begin(Run(("a0",), {"a0": capacity}))
        self.assertEqual(["b0", "b1"], self.chosen())

    def test_costs_of_a_part_add_up_by_layers(self):
        costs = path_costs(ENGINE, SIZES, tracker=self.tracker, entry_count=1)
        server = self.servers[0]
        # All 10 layers: 20 tokens of 1.01 ms and 1 ms of prefill; 20 hops of 0.1 ms.
        self.assertAlmostEqual(0.5 * 21.2 + 2.0, costs.part(server, 5))
        self.assertAlmostEqual(0.505 + 0.1, costs.token(server, 5))
        # Capacity of 45,000 tokens times layers, times 1.1, and 120 tokens per request:
        # 412 layers.
        self.assertTrue(costs.has_capacity(server, 412))
        self.assertFalse(costs.has_capacity(server, 413))
        self.assertAlmostEqual(
            20_000.0 + 41.3 * 21.2 + 2.0, costs.part(server, 413), places=3
        )

    def test_several_full_engines_before_a_path_across_domains(self):
        self.servers = [
            server(f"{domain}{i}", "model", domain=domain, layers=(2 * i, 2 * i + 2))
            for domain in "ab"
            for i in range(5)
        ]
        for full in ("a2", "a3", "a4", "b0", "b1"):
            self.tracker.begin(Run((full,), {full: 1e9}))
        self.assertEqual([f"b{i}" for i in range(5)], self.chosen())

    def test_other_domain_when_engines_are_very_slow(self):
        # With 20 tokens of 1 ms, the penalty of 300 ms pays off from a factor of about
        # 30.
        self.servers[1] = replace(self.servers[1], slowness=16)
        self.assertEqual(["a0", "a1"], self.chosen())
        self.servers[1] = replace(self.servers[1], slowness=64)
        self.assertEqual(["b0", "b1"], self.chosen())

    def test_first_engine_is_full_with_its_slots_taken(self):
        # The engine has slots for 8 requests, but memory for 45.
        for _ in range(ENGINE.slots):
            self.tracker.begin(Run(("a0", "a1")))
        self.assertEqual(["b0", "b1"], self.chosen())

    def test_slots_of_later_engines_are_ignored(self):
        for _ in range(ENGINE.slots):
            self.tracker.begin(Run(("a1",)))
        self.assertEqual(["a0", "a1"], self.chosen())

    def test_faster_domain_is_not_preferred_over_own(self):
        # One domain has faster engines than all others.
        fast = Accelerator(name="fast", size_mb=5000.0, pace=0.25, read_factor=0.25)
        engine = replace(
            ENGINE,
            step_ms=20.0,
            usual_answer=100.0,
            accelerators={**ENGINE.accelerators, "fast": fast},
        )
        servers = [
            replace(each, accelerator="fast" if each.domain == "b" else "k")
            for each in self.servers
        ]
        sizes = GenerationSize(prompt_tokens=100, max_tokens=400, expected_tokens=100)
        costs = path_costs(engine, sizes, tracker=self.tracker, entry_count=1)
        path = choose_path(servers, engine, costs, domain="a")
        self.assertEqual(["a0", "a1"], [part.backend_id for part in path])

    def test_avoided_engines_as_last_resort(self):
        for each in self.servers:
            self.tracker.note_lost(each.backend_id)
        self.assertEqual(["a0", "a1"], self.chosen())

    def test_no_path(self):
        self.assertIsNone(self.chosen(lost={"a1", "b1", "c1"}))
