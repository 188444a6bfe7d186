"""Test case with a layer assigner and fake engines."""

import asyncio
from collections import defaultdict

from wigeonscale.control import Commands, LayerAssigner
from wigeonscale.control.tests.support import FakeReplica
from wigeonscale.ports.orders import EngineStatus, OrderOutcome
from wigeonscale.routes import Accelerator, EngineProfile, RouteTable, Service
from wigeonscale.state import ControlState
from wigeonscale.testing import AsyncTestCase, ManualClock
from wigeonscale.wire import wire_pb2 as wire

PROFILE = EngineProfile(
    layers=10,
    layer_mb=100.0,
    token_bytes=1e7,
    room_tokens=100.0,
    accelerators={
        "k": Accelerator(name="k", size_mb=1000.0, pace=1.0, read_factor=1.0)
    },
)
TABLE = RouteTable(number=1, services={"m": Service(name="m", engine=PROFILE)})


class FakeEngines:
    """Carries out orders unless a test sets another outcome."""

    def __init__(self):
        self.held = defaultdict(lambda: (0, 0))
        self.counts = defaultdict(int)
        self.orders = []
        self.status_queries = []
        self.outcomes = {}
        self.waits = {}
        self.starts = defaultdict(int)

    async def place(
        self, address, *, backend_id, first, end, fence, expected_orders, waits
    ):
        self.waits[address] = waits
        self.orders.append((address, first, end, fence, expected_orders))
        outcome = self.outcomes.get(address)
        if outcome is not None:
            return outcome
        if expected_orders != self.counts[address]:
            return OrderOutcome.CONFLICT
        self.counts[address] += 1
        self.held[address] = (first, end)
        return OrderOutcome.STARTED

    async def status(self, address, **_):
        self.status_queries.append(address)
        return EngineStatus(
            self.counts[address],
            False,
            *self.held[address],
            started_ms=self.starts[address],
        )

    def restart(self, address, started_ms):
        """Restart an engine under its name, without layers or an order count."""
        self.counts[address] = 0
        self.held[address] = (0, 0)
        self.starts[address] = started_ms


class LayerAssignerCase(AsyncTestCase):
    async def prepare(self):
        self.start()
        self.addCleanup(self.stop)

    def start(self):
        self.clock = ManualClock()
        self.state = ControlState()
        self.replica = FakeReplica(state=self.state, clock=self.clock)
        self.engines = FakeEngines()
        self.commands = Commands(
            replica=self.replica, addresses=["127.0.0.1:1"], clock=self.clock
        )
        self.fresh = True
        self.table = TABLE
        self.assigner = LayerAssigner(
            state=self.state,
            replica=self.replica,
            clock=self.clock,
            orders=self.engines,
            commands=self.commands,
            table=lambda: self.table,
            is_fresh=lambda: self.fresh,
        )
        self.task = asyncio.create_task(self.assigner.run())

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self.commands.close()

    async def announce(self, name, first=0, end=0, service="m", **fields):
        if name not in self.engines.held:
            self.engines.held[name] = (first, end)
        backend = wire.Backend(
            agent_id=name,
            incarnation=fields.get("started_ms", 1),
            address=name,
            service=service,
            domain="a",
            accelerator="k",
            first_layer=first,
            last_layer=end - 1,
            **fields,
        )
        announce = wire.Announce(backend=backend, replica="c1")
        await self.replica.propose(wire.Command(announce=announce).SerializeToString())

    async def announce_all(self, *names):
        for name in names:
            await self.announce(name, *self.engines.held[name])

    def placed(self):
        return {(name, first, end) for name, first, end, *_ in self.engines.orders}
