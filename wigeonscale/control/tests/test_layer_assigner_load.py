"""Tests with many engines, and with a new leader after the loss of all replicas."""

from wigeonscale.control import layer_assigner
from wigeonscale.control.tests.layer_assigner_case import LayerAssignerCase
from wigeonscale.ports.orders import OrderOutcome


class ManyEnginesTest(LayerAssignerCase):
    """Thousands of engines announce themselves within one heartbeat interval.

    Each exchange takes the leader 2 ms of CPU time. An order without an answer within
    0.7 s counts as unknown, although the engine carries it out.
    """

    ENGINES = 1500
    EXCHANGE_S = 0.002
    LIMIT_S = 0.7

    async def prepare(self):
        await super().prepare()
        self.free_at = self.clock.now()
        self.place_without_delay = self.engines.place
        self.engines.place = self.place
        self.in_flight = self.max_in_flight = 0

    async def place(self, address, **order):
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        self.free_at = max(self.free_at, self.clock.now()) + self.EXCHANGE_S
        takes_s = self.free_at - self.clock.now()
        outcome = await self.place_without_delay(address, **order)
        await self.clock.sleep(min(takes_s, self.LIMIT_S))
        self.in_flight -= 1
        return outcome if takes_s <= self.LIMIT_S else OrderOutcome.UNKNOWN

    async def test_each_engine_is_ordered_once(self):
        names = [f"e{number}" for number in range(self.ENGINES)]
        await self.announce_all(*names)
        await self.clock.advance(6.0)
        self.assertEqual(self.ENGINES, len(self.engines.orders))
        self.assertEqual(set(names), set(self.engines.held))
        # No engine had to be queried for the outcome of an order.
        self.assertEqual([], self.engines.status_queries)
        self.assertTrue(self.max_in_flight <= 100, self.max_in_flight)


class FirstPlanCostTest(LayerAssignerCase):
    """Guards against planning cost that is quadratic in the number of engines.

    The first plan covers nearly all engines. If the check for complete layers runs per
    engine instead of per domain, each run reads all engines: nine million reads with
    3,000 engines, which block the leader's event loop for seven seconds.
    """

    ENGINES = 600

    async def test_each_domain_is_checked_once(self):
        calls = []
        has_all_layers = layer_assigner._has_all_layers

        def counted(backends, domain, layers):
            calls.append(domain)
            return has_all_layers(backends, domain, layers)

        layer_assigner._has_all_layers = counted
        self.addCleanup(setattr, layer_assigner, "_has_all_layers", has_all_layers)
        await self.announce_all(*[f"e{number}" for number in range(self.ENGINES)])
        await self.clock.advance(1.2)
        self.assertTrue(len(self.engines.orders) > 50)
        self.assertTrue(len(calls) <= 1, f"{len(calls)} checks of one domain")


class FormerLeaderTest(LayerAssignerCase):
    """A new leader plans before it learns what its predecessor ordered.

    Guards against a failure in which two engines had just loaded the layers ordered by
    the former leader. The new leader still assumed that they were empty and planned the
    ranges the other way round. Both engines refused because of the order count. 1.6 s
    later they had announced a complete set of layers, but the leader sent the refused
    orders again with the right count (layers 57-60: `misfit` at 7.05 s, `begun` at
    8.65 s). No path through that domain was complete for ten seconds.
    """

    async def prepare(self):
        await super().prepare()
        self.engines.held |= {"e1": (5, 10), "e2": (0, 5)}
        self.engines.counts |= {"e1": 1, "e2": 1}
        await self.announce("e1")
        await self.announce("e2")
        await self.clock.advance(1.2)
        self.assertEqual({("e1", 0, 5), ("e2", 5, 10)}, self.placed())

    async def test_complete_set_of_layers_is_kept(self):
        await self.announce_all("e1", "e2")
        await self.clock.advance(20.0)
        self.assertEqual({"e1": (5, 10), "e2": (0, 5)}, dict(self.engines.held))

    async def test_complete_set_is_kept_before_it_is_announced(self):
        await self.clock.advance(20.0)
        self.assertEqual({"e1": (5, 10), "e2": (0, 5)}, dict(self.engines.held))
        # The heartbeats arrive, one engine is lost, and another one takes its place.
        await self.announce_all("e1", "e2", "e3")
        await self.announce("e2", 0, 5, silent=True)
        await self.clock.advance(3.0)
        self.assertEqual((0, 5), self.engines.held["e3"])
