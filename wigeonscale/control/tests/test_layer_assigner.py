import asyncio
from dataclasses import replace

from wigeonscale.control import layer_assigner
from wigeonscale.control.tests.layer_assigner_case import (
    PROFILE,
    TABLE,
    LayerAssignerCase,
)
from wigeonscale.ports.orders import OrderOutcome
from wigeonscale.replication import Role
from wigeonscale.routes import RouteTable, Service


class FirstPlanTest(LayerAssignerCase):
    async def test_waits_until_all_engines_are_announced(self):
        await self.announce("e1")
        await self.clock.advance(0.5)
        await self.announce("e2")
        await self.clock.advance(0.5)
        self.assertEqual([], self.engines.orders)
        await self.clock.advance(0.5)
        self.assertEqual({("e1", 0, 5), ("e2", 5, 10)}, self.placed())

    async def test_each_engine_is_ordered_once(self):
        await self.announce_all("e1", "e2")
        await self.clock.advance(3.0)
        await self.announce_all("e1", "e2")
        await self.clock.advance(3.0)
        self.assertEqual(2, len(self.engines.orders))
        self.assertEqual([], self.engines.status_queries)

    async def test_only_the_leader_orders(self):
        await self.announce_all("e1", "e2")
        self.replica.role = Role.FOLLOWER
        await self.clock.advance(5)
        self.replica.role = Role.LEADER
        self.fresh = False
        await self.clock.advance(5)
        self.assertEqual([], self.engines.orders)

    async def test_fencing_tokens_grow_with_the_log(self):
        await self.announce_all("e1", "e2", "e3")
        await self.clock.advance(2.0)
        before = max(order[3] for order in self.engines.orders)
        await self.announce_all("e1", "e2", "e3")
        self.replica.applied_term = 2
        await self.announce("e2", 3, 7, silent=True)
        await self.clock.advance(2.0)
        self.assertTrue(self.engines.orders[-1][3] > before)


class LostAnswerTest(LayerAssignerCase):
    async def test_engine_status_is_queried_before_another_order(self):
        self.engines.outcomes["e1"] = OrderOutcome.UNKNOWN
        await self.announce_all("e1", "e2")
        await self.clock.advance(1.3)
        self.assertEqual(2, len(self.engines.orders))
        # Meanwhile the engine carried out the order whose answer was lost.
        del self.engines.outcomes["e1"]
        self.engines.counts["e1"] = 1
        self.engines.held["e1"] = (0, 5)
        await self.clock.advance(5.0)
        self.assertEqual(2, len(self.engines.orders))
        self.assertIn("e1", self.engines.status_queries)

    async def test_another_order_uses_the_order_count_of_the_engine(self):
        self.engines.outcomes["e1"] = OrderOutcome.UNKNOWN
        await self.announce_all("e1", "e2")
        await self.clock.advance(1.3)
        del self.engines.outcomes["e1"]
        self.engines.counts["e1"] = 4
        await self.clock.advance(3.0)
        self.assertEqual(("e1", 0, 5, 4), self._last_order())

    def _last_order(self):
        name, first, end, _, expected = self.engines.orders[-1]
        return name, first, end, expected


class TakeoverTest(LayerAssignerCase):
    async def test_neighbours_take_over_from_a_silent_engine(self):
        await self.announce("e1", 0, 4)
        await self.announce("e2", 4, 7, silent=True)
        await self.announce("e3", 7, 10)
        await self.clock.advance(1.0)
        covered = {n for name, first, end in self.placed() for n in range(first, end)}
        self.assertTrue(covered >= {4, 5, 6}, self.placed())
        self.assertEqual({"e1", "e3"}, {name for name, *_ in self.placed()})

    async def test_orders_after_a_loss_do_not_wait_for_requests(self):
        # No path is complete any more, and waiting would keep the gap open for seconds.
        await self.announce("e1", 0, 4)
        await self.announce("e2", 4, 7, silent=True)
        await self.announce("e3", 7, 10)
        await self.clock.advance(1.0)
        self.assertEqual({"e1": False, "e3": False}, self.engines.waits)

    async def test_orders_for_a_draining_engine_wait_for_requests(self):
        # The draining engine still serves, and so do the paths through the others.
        await self.announce("e1", 0, 4)
        await self.announce("e2", 4, 7, draining=True)
        await self.announce("e3", 7, 10)
        await self.clock.advance(1.0)
        self.assertEqual({"e1": True, "e3": True}, self.engines.waits)

    async def test_layers_are_announced_before_the_next_heartbeat(self):
        await self.announce("e1", 0, 4)
        await self.announce("e2", 4, 7, silent=True)
        await self.announce("e3", 7, 10)
        await self.clock.advance(1.0)
        held = set()
        for name in ("e1", "e3"):
            backend = self.state.members.get(name).backend
            held |= set(range(backend.first_layer, backend.last_layer + 1))
        self.assertEqual(set(range(10)), held)

    async def test_the_first_plan_waits_for_heartbeats(self):
        await self.announce_all("e1", "e2")
        await self.clock.advance(3.0)
        self.assertEqual([], self.engines.status_queries)


class RestartTest(LayerAssignerCase):
    """A restarted engine holds no layers and counts its orders from zero."""

    async def serving(self):
        for name, *held in (("e1", 0, 4), ("e2", 4, 7), ("e3", 7, 10)):
            self.engines.restart(name, 100)
            self.engines.held[name] = tuple(held)
            self.engines.counts[name] = 3
            await self.announce(name, *held, started_ms=100)
        await self.clock.advance(1.0)

    async def test_order_count_of_the_new_incarnation_is_used(self):
        await self.serving()
        self.engines.restart("e2", 200)
        await self.announce("e2", 0, 0, started_ms=200)
        await self.clock.advance(1.0)
        placed = [order for order in self.engines.orders if order[0] == "e2"]
        self.assertEqual([("e2", 0)], [(order[0], order[4]) for order in placed])
        first, end = self.engines.held["e2"]
        self.assertTrue(first <= 4 and end >= 7, (first, end))

    async def test_no_order_is_based_on_the_former_incarnation(self):
        await self.serving()
        await self.announce("e3", 7, 10, started_ms=100, silent=True)
        # Its neighbours take over, and one of them restarted in the meantime.
        self.engines.restart("e2", 200)
        await self.clock.advance(1.0)
        self.assertNotIn("e2", {name for name, *_ in self.engines.orders})
        await self.announce("e2", 0, 0, started_ms=200)
        await self.clock.advance(2.0)
        counts = [order[4] for order in self.engines.orders if order[0] == "e2"]
        self.assertEqual([0], counts)


class ConfiguredTest(LayerAssignerCase):
    def configure(self, number, **engine):
        self.table = RouteTable(
            number=number,
            services={"m": Service(name="m", engine=replace(PROFILE, **engine))},
        )

    def assert_complete(self, layers):
        held = {
            layer
            for first, end in self.engines.held.values()
            if end <= layers
            for layer in range(first, end)
        }
        self.assertEqual(set(range(layers)), held)


class OtherModelTest(ConfiguredTest):
    """Engines hold or load layers that the configured model does not have.

    Guards against a leader that ends, on each replica in turn, as soon as it plans.
    """

    async def test_engine_with_layers_beyond_the_model_is_ordered_anew(self):
        await self.announce("e1", 0, 5)
        await self.announce("e2", 7, 12)
        await self.clock.advance(2.0)
        self.assertEqual({("e2", 5, 10)}, self.placed())

    async def test_model_with_fewer_layers(self):
        await self.announce("e1", 0, 5)
        await self.announce("e2", 5, 10)
        await self.clock.advance(1.0)
        self.configure(2, layers=6)
        await self.clock.advance(2.0)
        self.assertEqual({"e2"}, {name for name, *_ in self.placed()})
        self.assert_complete(6)

    async def test_model_with_more_layers(self):
        await self.announce("e1", 0, 5)
        await self.announce("e2", 5, 10)
        await self.announce("e3")
        await self.clock.advance(2.0)
        self.configure(2, layers=14)
        await self.announce_all("e1", "e2", "e3")
        await self.clock.advance(3.0)
        self.assert_complete(14)

    async def test_order_in_progress_for_more_layers_than_the_model_has(self):
        # An order without an answer is sent again until the engine reports its layers.
        self.engines.outcomes |= dict.fromkeys(("e1", "e2"), OrderOutcome.UNKNOWN)
        await self.announce_all("e1", "e2")
        await self.clock.advance(1.2)
        self.assertEqual({("e1", 0, 5), ("e2", 5, 10)}, self.placed())
        self.configure(2, layers=6)
        self.engines.orders.clear()
        self.engines.outcomes.clear()
        await self.clock.advance(4.0)
        self.assertTrue(self.engines.orders)
        ends = {end for _, _, end in self.placed()}
        self.assertTrue(max(ends) <= 6, self.placed())
        self.assert_complete(6)

    async def test_order_in_progress_for_more_memory_than_its_layers_may_take(self):
        self.engines.outcomes |= dict.fromkeys(("e1", "e2"), OrderOutcome.UNKNOWN)
        await self.announce_all("e1", "e2")
        await self.clock.advance(1.2)
        self.configure(2, layer_mb=300.0)
        self.engines.orders.clear()
        self.engines.outcomes.clear()
        await self.announce_all("e1", "e2", "e3", "e4")
        await self.clock.advance(4.0)
        sizes = {end - first for _, first, end in self.placed()}
        self.assertTrue(sizes and max(sizes) <= 3, self.placed())
        self.assert_complete(10)

    async def test_order_in_progress_at_an_engine_whose_kind_is_dropped(self):
        self.engines.outcomes["e1"] = OrderOutcome.UNKNOWN
        await self.announce_all("e1", "e2")
        await self.clock.advance(1.2)
        self.configure(2, accelerators={})
        self.engines.orders.clear()
        await self.clock.advance(5.0)
        self.assertEqual([], self.engines.orders)
        self.table = replace(TABLE, number=3)
        await self.clock.advance(3.0)
        self.assertTrue(self.engines.orders)

    async def test_order_that_waits_while_the_configuration_changes(self):
        # Only some orders are sent at a time; the others wait.
        async def wait_for_change(address, **order):
            changed.set()
            await self.clock.sleep(0.5)
            return await place(address, **order)

        changed, place = asyncio.Event(), self.engines.place
        self.engines.place = wait_for_change
        self.assigner._order_slots = asyncio.Semaphore(1)
        await self.announce_all("e1", "e2")
        await self.clock.advance(1.2)
        await changed.wait()
        self.configure(2, layers=5)
        await self.clock.advance(4.0)
        ends = {end for _, _, end in self.placed()}
        self.assertTrue(max(ends) <= 5, self.placed())
        self.assert_complete(5)

    async def test_order_in_progress_at_an_engine_whose_service_is_dropped(self):
        self.engines.outcomes["e1"] = OrderOutcome.UNKNOWN
        await self.announce_all("e1", "e2")
        await self.clock.advance(1.2)
        self.table = RouteTable(number=2)
        self.engines.orders.clear()
        await self.clock.advance(5.0)
        self.assertEqual([], self.engines.orders)
        self.table = replace(TABLE, number=3)
        await self.clock.advance(3.0)
        self.assertTrue(self.engines.orders)


class ImplausibleProfileTest(ConfiguredTest):
    """A valid document has amounts with which no layers can be planned.

    Guards against a leader that ends, on each replica in turn, as soon as it plans.
    """

    def accelerators(self, **fields):
        kind = replace(PROFILE.accelerators["k"], **fields)
        return {"accelerators": {"k": kind}}

    async def test_unknown_amounts_do_not_keep_layers_from_being_planned(self):
        for number, engine in enumerate(
            (
                {"token_bytes": 0.0},
                {"token_bytes": -1.0},
                {"token_bytes": 0.0, "room_tokens": 0.0, "slots": 0},
                {"room_tokens": float("nan")},
                {"room_tokens": float("inf"), "token_bytes": 0.0},
                {"usual_prompt": float("inf"), "step_ms": 1e-320},
                {"slots": 10**400, "token_bytes": 1e-320, "sequence_ms": 1.0},
                {"slots": -1, "sequence_ms": 1.0, "step_ms": 1.0},
            ),
            start=2,
        ):
            await self.stop()
            self.start()
            self.configure(number, **engine)
            await self.announce_all("e1", "e2")
            await self.clock.advance(3.0)
            self.assert_complete(10)

    async def test_impossible_amounts_do_not_end_the_assigner(self):
        nan, inf = float("nan"), float("inf")
        for number, engine in enumerate(
            (
                {"layers": -80},
                {"layer_mb": 0.0, "room_tokens": 0.0},
                {"layer_mb": -1.0},
                {"layer_mb": nan},
                self.accelerators(size_mb=inf),
                self.accelerators(size_mb=nan),
                self.accelerators(size_mb=-1.0),
                self.accelerators(pace=0.0),
            ),
            start=2,
        ):
            self.configure(number, **engine)
            await self.announce_all("e1", "e2")
            await self.clock.advance(1.5)
            self.assertFalse(self.task.done(), engine)
            self.assertEqual([], self.engines.orders, engine)
        self.configure(99)
        await self.clock.advance(1.5)
        self.assert_complete(10)


class FailedPlanTest(ConfiguredTest):
    """The plan of one service fails."""

    async def prepare(self):
        await super().prepare()
        self.plan_layers = layer_assigner.plan_layers
        layer_assigner.plan_layers = self.fail_for_ten_layers
        self.addCleanup(setattr, layer_assigner, "plan_layers", self.plan_layers)

    def fail_for_ten_layers(self, holders, model):
        if model.layers == 10:
            raise RuntimeError("no plan")
        return self.plan_layers(holders, model)

    async def test_other_services_are_planned_and_it_is_tried_again(self):
        other = replace(PROFILE, layers=4)
        services = {"m": Service(name="m", engine=PROFILE)}
        services["n"] = Service(name="n", engine=other)
        self.table = RouteTable(number=1, services=services)
        await self.announce("e1")
        await self.announce("e2", service="n")
        await self.announce("e3")
        await self.clock.advance(5.0)
        self.assertEqual({("e2", 0, 4)}, self.placed())
        # One line for all the attempts of five seconds, with the input.
        (record,) = self.take_step_failures()
        self.assertIn("no plan", record.getMessage())
        self.assertIn("e1", record.fields["engines"])
        layer_assigner.plan_layers = self.plan_layers
        await self.clock.advance(2.0)
        self.assert_complete(10)

    async def test_failed_order_is_reported_and_sent_again(self):
        layer_assigner.plan_layers = self.plan_layers
        status, place = self.engines.status, self.engines.place

        async def fail(address, **_):
            raise RuntimeError("no exchange")

        self.engines.place = fail
        await self.announce_all("e1", "e2")
        await self.clock.advance(2.0)
        (record,) = self.take_step_failures()
        self.assertIn("no exchange", record.getMessage())
        self.engines.place, self.engines.status = place, status
        await self.clock.advance(5.0)
        self.assert_complete(10)
