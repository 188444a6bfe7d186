"""Series of configurations while engines load layers."""

from dataclasses import replace

from wigeonscale.control.tests.layer_assigner_case import (
    PROFILE,
    TABLE,
    FakeEngines,
    LayerAssignerCase,
)
from wigeonscale.ports.orders import EngineStatus, OrderOutcome
from wigeonscale.routes import RouteTable, Service

LOAD_S = 3.0
HEARTBEAT_S = 1.2
# Two engines, each with its order, one refused as it loads, and one sent again.
MAX_ORDERS = 6


class LoadingEngines(FakeEngines):
    """Engines that load for a while and refuse orders meanwhile."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock
        self.loading = {}  # end of the load and its layers by address

    def finish_loads(self):
        for address, (until, layers) in list(self.loading.items()):
            if self.clock.now() >= until:
                self.held[address] = layers
                del self.loading[address]

    async def place(self, address, *, first, end, expected_orders, **order):
        self.finish_loads()
        self.orders.append((address, first, end, None, expected_orders))
        if address in self.loading or expected_orders != self.counts[address]:
            return OrderOutcome.CONFLICT
        self.counts[address] += 1
        self.loading[address] = self.clock.now() + LOAD_S, (first, end)
        return OrderOutcome.STARTED

    async def status(self, address, **_):
        self.finish_loads()
        busy = address in self.loading
        return EngineStatus(self.counts[address], busy, *self.held[address])


class ConfigurationSeriesTest(LayerAssignerCase):
    async def prepare(self):
        await super().prepare()
        self.engines = LoadingEngines(self.clock)
        self.assigner._orders = self.engines
        await self.announce_all("e1", "e2")
        await self.pass_time(1.2)
        self.assertEqual({"e1", "e2"}, self.engines.loading.keys())

    async def pass_time(self, seconds):
        """Advance the clock, with a heartbeat of each engine at its interval."""
        end = self.clock.now() + seconds
        while self.clock.now() < end - 1e-9:
            await self.clock.advance(min(HEARTBEAT_S, end - self.clock.now()))
            self.engines.finish_loads()
            await self.announce_all("e1", "e2")

    def configure(self, number, layers):
        profile = replace(PROFILE, layers=layers)
        services = {"m": Service(name="m", engine=profile)}
        self.table = RouteTable(number=number, services=services)

    def assert_holds(self, layers):
        held = {
            n for first, end in self.engines.held.values() for n in range(first, end)
        }
        self.assertEqual(set(range(layers)), held, self.engines.held)

    async def test_service_that_is_dropped_and_comes_back_while_its_engines_load(self):
        self.table = RouteTable(number=2)
        await self.pass_time(0.4)
        self.table = replace(TABLE, number=3)
        await self.pass_time(12.0)
        self.assert_holds(10)
        self.assertTrue(len(self.engines.orders) <= MAX_ORDERS, self.engines.orders)

    async def test_service_that_is_dropped_for_good(self):
        orders = len(self.engines.orders)
        self.table = RouteTable(number=2)
        await self.pass_time(20.0)
        self.assertEqual(orders, len(self.engines.orders))

    async def test_two_configurations_in_one_interval(self):
        await self.pass_time(6.0)
        self.engines.orders.clear()
        self.configure(2, layers=4)
        self.configure(3, layers=8)
        await self.pass_time(10.0)
        self.assert_holds(8)
        self.assertEqual({8}, {end for _, _, end, *_ in self.engines.orders})

    async def test_configurations_in_quick_succession(self):
        for number, layers in enumerate((6, 10, 4, 9, 5, 10), start=2):
            self.configure(number, layers=layers)
            await self.pass_time(0.3)
        await self.pass_time(30.0)
        self.assert_holds(10)
        settled = len(self.engines.orders)
        await self.pass_time(30.0)
        self.assertEqual(settled, len(self.engines.orders))
