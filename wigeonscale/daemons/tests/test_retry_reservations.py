import asyncio
import random
from unittest import mock

from wigeonscale.control.tests.support import ControlFixture, handlers_ended
from wigeonscale.daemons.retry_reservations import retry_reserver
from wigeonscale.direct import ReservedRetries, SharedRetryBudget, reserved_retries
from wigeonscale.membership import ControlClient
from wigeonscale.ports import SystemClock
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire


class ReservationOverGrpcTest(AsyncTestCase):
    """Guards against entries that together reserve more than control may grant."""

    async def prepare(self):
        # The result does not depend on how busy the machine is.
        patch = mock.patch.object(reserved_retries, "MAX_WAIT_S", 60.0)
        patch.start()
        self.addCleanup(patch.stop)
        self.clock = SystemClock()
        self.fixture = ControlFixture(clock=self.clock)
        self.addCleanup(self.fixture.hub.close)
        server, self.address = await self.fixture.serve()
        self.addCleanup(handlers_ended)
        self.addCleanup(server.stop, None)

    def new_budget(self, name):
        client = ControlClient(
            node_id=name,
            role="entry",
            addresses=[self.address],
            clock=self.clock,
            rng=random.Random(1),
        )
        task = asyncio.create_task(client.run())

        async def stop():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self.addCleanup(stop)
        reserved = ReservedRetries(
            clock=self.clock, reserve=retry_reserver(lambda: client, window_s=10.0)
        )
        self.addCleanup(reserved.close)
        return SharedRetryBudget(
            clock=self.clock,
            ratio=0.0,
            slack=20,
            window_s=10.0,
            entry_count=lambda: 2,
            reserved=reserved,
        )

    async def test_two_entries_want_every_retry(self):
        budgets = [self.new_budget(name) for name in ("e1", "e2")]
        allowed = [await budget.acquire("s") for budget in budgets * 20]
        # Both have just started, and together they may reserve 7 of the 20.
        self.assertEqual(7, sum(allowed))
        snapshot = wire.StateSnapshot()
        self.fixture.state.retry_reservations.save(snapshot)
        self.assertEqual(7, sum(each.count for each in snapshot.retry_reservations))
