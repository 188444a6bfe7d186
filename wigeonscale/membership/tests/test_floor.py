import asyncio
import random

from wigeonscale.membership.floor import query_fencing_floor
from wigeonscale.membership.tests.fake_control import FakeControlCase


class FloorTest(FakeControlCase):
    def ask(self, *fakes):
        coro = query_fencing_floor(
            addresses=[fake.address for fake in fakes],
            clock=self.clock,
            rng=random.Random(1),
        )
        return asyncio.create_task(coro)

    async def test_largest_position_by_term_then_index(self):
        fakes = await self.start_fakes(3)
        for fake, floor in zip(fakes, [(2, 50), (3, 7), (1, 99)], strict=True):
            fake.floor = floor
        self.assertEqual((3, 7), await self.within_limit(self.ask(*fakes)))

    async def test_waits_for_a_majority(self):
        one, two, three = await self.start_fakes(3)
        await two.stop()
        await three.stop()
        task = self.ask(one, two, three)
        await self.advance_until(lambda: self.clock.now() > 1030)
        self.assertFalse(task.done())
        await self.stop_task(task)

    async def test_one_replica_at_two_addresses_is_no_majority(self):
        one, two, three = await self.start_fakes(3)
        two.node_id = one.node_id
        await three.stop()
        task = self.ask(one, two, three)
        await self.advance_until(lambda: self.clock.now() > 1030)
        self.assertFalse(task.done())
        await self.stop_task(task)
