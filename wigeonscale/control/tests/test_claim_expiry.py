"""Tests of claim expiry by the leader."""

import asyncio

from wigeonscale.control import run_claim_expiry
from wigeonscale.control.tests.support import ControlFixture
from wigeonscale.errors import ErrorKind
from wigeonscale.replication import Role
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire

AGE_S = 100.0


class ExpiryTest(AsyncTestCase):
    async def test_leader_expires_claims_by_age(self):
        fixture = ControlFixture()
        self.addCleanup(fixture.hub.close)
        await fixture.announce("a")
        await self.claim(fixture, "old")
        task = asyncio.create_task(
            run_claim_expiry(
                state=fixture.state,
                replica=fixture.replica,
                commands=fixture.commands,
                clock=fixture.clock,
                claim_age_s=AGE_S,
            )
        )
        await fixture.clock.advance(AGE_S / 2)
        await self.claim(fixture, "new")
        fixture.replica.role = Role.FOLLOWER
        await fixture.clock.advance(AGE_S * 0.6)
        self.assertEqual(2, len(fixture.state.claims))
        tried = {"command": "expire", "kind": ErrorKind.NOT_LEADER}
        self.assertEqual(0, fixture.metrics.commands.value(**tried))
        fixture.replica.role = Role.LEADER
        await fixture.clock.advance(AGE_S / 10)
        self.assertEqual(1, len(fixture.state.claims))
        self.assertIsNotNone(fixture.state.claims.find("o", "new"))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def claim(self, fixture, key):
        claim = wire.Claim(
            organisation="o",
            key=key,
            dispatch_id="d",
            agent_id="a",
            agent_incarnation=1,
        )
        result = await fixture.run(claim=claim)
        self.assertTrue(result.granted)
