"""What makes the leader plan again, counted."""

import asyncio
from unittest import mock

from wigeonscale.control import PlacementLoop, placement_loop
from wigeonscale.control.tests.support import Parts
from wigeonscale.state.tests.support import DOCUMENT
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire

LIMIT_S = 30
# Longer than engines take to settle, so that time alone is no reason for a plan.
SETTLED_S = 30.0
TICK_S = 0.25


class PlanningWorkTest(AsyncTestCase):
    async def prepare(self):
        self.parts = Parts()
        self.addCleanup(self.parts.hub.close)
        self.plans = self.count("plan_placement")
        self.readings = self.count("engine_specs")
        loop = PlacementLoop(
            state=self.parts.state,
            replica=self.parts.replica,
            hub=self.parts.hub,
            commands=self.parts.commands,
            clock=self.parts.clock,
        )
        task = asyncio.create_task(loop.run())
        await self.apply(DOCUMENT)
        await self.parts.announce("a")
        async with asyncio.timeout(LIMIT_S):
            while not self.parts.state.chains.planned():
                await self.pass_time(TICK_S)
        await self.pass_time(SETTLED_S)

        async def stop():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self.addCleanup(stop)

    def count(self, name):
        """Return a list that gets an item at each call of the loop's function."""
        calls = []
        function = getattr(placement_loop, name)

        def counted(*args, **kwargs):
            calls.append(name)
            return function(*args, **kwargs)

        patch = mock.patch.object(placement_loop, name, counted)
        patch.start()
        self.addCleanup(patch.stop)
        return calls

    async def pass_time(self, seconds):
        for _ in range(int(seconds / TICK_S)):
            await self.parts.clock.advance(TICK_S)
            # Lets a planning thread hand back its plan.
            await asyncio.sleep(0.001)

    async def apply(self, document):
        base = self.parts.state.configuration.revision
        config = wire.ApplyConfig(base_revision=base, document=document)
        await self.parts.run(apply_config=config)

    async def plans_after(self, command):
        """Return how many plans and readings of the engines a command leads to."""
        self.plans.clear()
        self.readings.clear()
        await command
        await self.pass_time(4 * TICK_S)
        return len(self.plans), len(self.readings)

    async def test_claims_lead_to_no_plan(self):
        for number in range(3):
            claim = wire.Claim(
                organisation="o",
                key=f"k{number}",
                dispatch_id=f"d{number}",
                agent_id="a",
                agent_incarnation=1,
            )
            self.assertEqual(
                (0, 0), await self.plans_after(self.parts.run(claim=claim))
            )

    async def test_rules_lead_to_no_plan_but_pipelines_do(self):
        other_rule = DOCUMENT.replace("then = route", "priority = 1\nthen = route")
        self.assertEqual((0, 0), await self.plans_after(self.apply(other_rule)))
        plans, readings = await self.plans_after(
            self.apply(DOCUMENT.replace("layers = 4", "layers = 4\nreplicas = 2"))
        )
        self.assertGreaterEqual(plans, 1)
        self.assertEqual(0, readings)

    async def test_announcement_leads_to_a_plan(self):
        plans, readings = await self.plans_after(self.parts.announce("b"))
        self.assertGreaterEqual(plans, 1)
        self.assertEqual(1, readings)
