"""A step that fails on its input must not end a background task of control.

Guards against replicas that end one after the other, again after each start, for an
input that is in the replicated state.
"""

import asyncio

from wigeonscale.control import (
    EntryCounter,
    PlacementLoop,
    Registry,
    ReplicaMembership,
    run_claim_expiry,
)
from wigeonscale.control.tests.support import ControlFixture
from wigeonscale.testing import AsyncTestCase


class FailedStepTest(AsyncTestCase):
    async def prepare(self):
        self.fixture = ControlFixture()
        self.addCleanup(self.fixture.hub.close)
        self.addCleanup(self.fixture.commands.close)
        self.common = {
            "state": self.fixture.state,
            "replica": self.fixture.replica,
            "commands": self.fixture.commands,
            "clock": self.fixture.clock,
        }

    async def assert_survives(self, coro, owner, name):
        """Check that a task goes on after a method that it calls has failed once."""
        calls, method = [], getattr(owner, name)

        def fail_once(*args, **kwargs):
            calls.append(name)
            if len(calls) == 1:
                raise RuntimeError("bad input")
            return method(*args, **kwargs)

        setattr(owner, name, fail_once)
        task = asyncio.create_task(coro)
        try:
            for _ in range(20):
                await self.fixture.clock.advance(1.0)
            self.assertFalse(task.done(), name)
            self.assertTrue(len(calls) > 1, calls)
            (record,) = self.take_step_failures()
            self.assertIn("bad input", record.getMessage())
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def test_entry_count(self):
        counter = EntryCounter(
            node_id="c1",
            hub=self.fixture.hub,
            entry_timeout_s=3.0,
            replica_timeout_s=6.0,
            **self.common,
        )
        await self.assert_survives(counter.run(), self.fixture.hub, "is_fresh")

    async def test_health_checks(self):
        registry = Registry(
            node_id="c1",
            heartbeat_s=1.2,
            probe=None,
            has_service=lambda service: True,
            **self.common,
        )
        await self.assert_survives(
            registry.run(), self.fixture.state.members, "replicas"
        )

    async def test_replica_membership(self):
        membership = ReplicaMembership(
            node_id="c1",
            address="c1",
            seeds=["c1", "c2"],
            replica=self.fixture.replica,
            commands=self.fixture.commands,
            clock=self.fixture.clock,
        )
        await self.assert_survives(membership.run(), self.fixture.replica, "members")

    async def test_liveness(self):
        await self.assert_survives(
            self.fixture.liveness.run(), self.fixture.hub, "is_fresh"
        )

    async def test_claim_expiry(self):
        await self.assert_survives(
            run_claim_expiry(claim_age_s=10.0, **self.common),
            self.fixture.state.claims,
            "oldest_wall_ms",
        )

    async def test_placement(self):
        loop = PlacementLoop(hub=self.fixture.hub, **self.common)
        await self.assert_survives(loop.run(), self.fixture.hub, "is_fresh")
