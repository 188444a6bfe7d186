"""Tests of claims expired by the leader."""

import asyncio

from wigeonscale.control import run_claim_expiry
from wigeonscale.control.tests.support import Parts
from wigeonscale.errors import ErrorKind
from wigeonscale.replication import Role
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire

AGE_S = 100.0


class ExpiryTest(AsyncTestCase):
    async def test_only_the_leader_expires_and_only_by_age(self):
        parts = Parts()
        self.addCleanup(parts.hub.close)
        await parts.announce("a")
        await self.claim(parts, "old")
        task = asyncio.create_task(
            run_claim_expiry(
                state=parts.state,
                replica=parts.replica,
                commands=parts.commands,
                clock=parts.clock,
                claim_age_s=AGE_S,
            )
        )
        await parts.clock.advance(AGE_S / 2)
        await self.claim(parts, "new")
        parts.replica.role = Role.FOLLOWER
        await parts.clock.advance(AGE_S * 0.6)
        self.assertEqual(2, len(parts.state.claims))
        tried = {"command": "expire", "kind": ErrorKind.NOT_LEADER}
        self.assertEqual(0, parts.metrics.commands.value(**tried))
        parts.replica.role = Role.LEADER
        await parts.clock.advance(AGE_S / 10)
        self.assertEqual(1, len(parts.state.claims))
        self.assertIsNotNone(parts.state.claims.find("o", "new"))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def claim(self, parts, key):
        claim = wire.Claim(
            organisation="o",
            key=key,
            dispatch_id="d",
            agent_id="a",
            agent_incarnation=1,
        )
        result = await parts.run(claim=claim)
        self.assertTrue(result.granted)
