"""Tests of which changes make the leader plan again."""

import asyncio
from unittest import mock

from wigeonscale.control import PlacementLoop, engine_specs, placement_loop
from wigeonscale.control.tests.support import ControlFixture
from wigeonscale.state.tests.support import DOCUMENT
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire

LIMIT_S = 30
# Longer than the settle time, so that the passing of time causes no plan.
SETTLED_S = 30.0
TICK_S = 0.25


class PlanningWorkTest(AsyncTestCase):
    async def prepare(self):
        self.fixture = ControlFixture()
        self.addCleanup(self.fixture.hub.close)
        self.plans = self.count(placement_loop, "plan_placement")
        self.spec_builds = self.count(engine_specs, "engine_spec")
        loop = PlacementLoop(
            state=self.fixture.state,
            replica=self.fixture.replica,
            hub=self.fixture.hub,
            commands=self.fixture.commands,
            clock=self.fixture.clock,
        )
        task = asyncio.create_task(loop.run())
        await self.apply(DOCUMENT)
        await self.fixture.announce("a")
        async with asyncio.timeout(LIMIT_S):
            while not self.fixture.state.chains.planned():
                await self.pass_time(TICK_S)
        await self.pass_time(SETTLED_S)

        async def stop():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self.addCleanup(stop)

    def count(self, module, name):
        """Patch a function of a module; return a list with one item per call."""
        calls = []
        function = getattr(module, name)

        def counted(*args, **kwargs):
            calls.append(name)
            return function(*args, **kwargs)

        patch = mock.patch.object(module, name, counted)
        patch.start()
        self.addCleanup(patch.stop)
        return calls

    async def pass_time(self, seconds):
        for _ in range(int(seconds / TICK_S)):
            await self.fixture.clock.advance(TICK_S)
            # Lets the planning thread return its plan.
            await asyncio.sleep(0.001)

    async def apply(self, document):
        base = self.fixture.state.configuration.revision
        config = wire.ApplyConfig(base_revision=base, document=document)
        await self.fixture.run(apply_config=config)

    async def plans_after(self, command):
        """Return how many plans and rebuilt engine specs a command causes."""
        self.plans.clear()
        self.spec_builds.clear()
        await command
        await self.pass_time(4 * TICK_S)
        return len(self.plans), len(self.spec_builds)

    async def test_claims_do_not_trigger_planning(self):
        for number in range(3):
            claim = wire.Claim(
                organisation="o",
                key=f"k{number}",
                dispatch_id=f"d{number}",
                agent_id="a",
                agent_incarnation=1,
            )
            self.assertEqual(
                (0, 0), await self.plans_after(self.fixture.run(claim=claim))
            )

    async def test_only_pipeline_changes_trigger_planning(self):
        other_rule = DOCUMENT.replace("then = route", "priority = 1\nthen = route")
        self.assertEqual((0, 0), await self.plans_after(self.apply(other_rule)))
        plans, spec_builds = await self.plans_after(
            self.apply(DOCUMENT.replace("layers = 4", "layers = 4\nreplicas = 2"))
        )
        self.assertGreaterEqual(plans, 1)
        self.assertEqual(0, spec_builds)

    async def test_only_the_changed_engine_spec_is_rebuilt(self):
        for number in range(20):
            await self.fixture.announce(f"b{number}")
        await self.pass_time(SETTLED_S)
        plans, spec_builds = await self.plans_after(self.fixture.announce("c"))
        self.assertGreaterEqual(plans, 1)
        self.assertEqual(1, spec_builds)

    async def test_restored_state_rebuilds_all_specs(self):
        await self.fixture.announce("b")
        snapshot = self.fixture.state.snapshot()

        async def restore():
            self.fixture.state.restore(snapshot)

        self.assertEqual(2, (await self.plans_after(restore()))[1])
