"""Work that must run at most once: claims, repeated requests, unknown outcomes."""

import asyncio

from wigeonscale.dispatch import KeepaliveLimits
from wigeonscale.entry.tests.support import EntryCase
from wigeonscale.wire import wire_pb2 as wire


class OnceTest(EntryCase):
    async def note(self, key="k1", body=b"to Jana"):
        """Send a transfer note and return status, run state and body."""
        headers = {"Idempotency-Key": key}
        async with self.http.post("/notes/1", data=body, headers=headers) as answer:
            text = await answer.text()
            run = answer.headers.get("Wigeonscale-Run", "")
            return answer.status, run, text

    async def test_two_callers_with_one_key_get_one_effect_and_one_answer(self):
        self.service.hold = 0
        first = asyncio.create_task(self.note())
        await self.service.until(lambda agent: agent.once_effects)
        second = asyncio.create_task(self.note())
        await self.service.until(lambda agent: "attach" in agent.names())
        self.service.resume.set()
        self.assertEqual((200, "", "did /notes/1"), await first)
        self.assertEqual(await first, await second)
        self.assertEqual(await first, await self.note())
        self.assertEqual(["k1"], self.service.once_effects)

    async def test_claim_is_stored_before_the_dispatch(self):
        await self.note()
        claim = self.control.claims["korrektur", "k1"].claim
        self.assertEqual(self.service.opened, [claim.dispatch_id])
        self.assertEqual("s1", claim.agent_id)

    async def test_same_key_with_another_body_is_refused(self):
        await self.note()
        status, run, _ = await self.note(body=b"to Petr")
        self.assertEqual((422, "not-run"), (status, run))
        self.assertEqual(["k1"], self.service.once_effects)

    async def test_lost_agent_makes_the_outcome_unknown_permanently(self):
        self.service.hold = 0
        first = asyncio.create_task(self.note())
        await self.service.until(lambda agent: agent.once_effects)
        await self.service.stop()
        status, run, text = await first
        self.assertEqual((409, "unknown"), (status, run), text)
        self.assertIn("outcome-unknown", text)
        self.assertEqual((409, "unknown"), (await self.note())[:2])
        self.assertEqual(["s1"], self.control.suspected[:1])
        self.assertEqual(["k1"], self.service.once_effects)

    async def test_frozen_agent_with_open_connections_makes_outcome_unknown(self):
        self.entry._links._limits = KeepaliveLimits(
            interval_s=0.02, reconnect_checks=3, max_silent_connections=1
        )
        self.service.hold = 0
        first = asyncio.create_task(self.note())
        await self.service.until(lambda agent: agent.once_effects)
        self.service.ignores_messages = True
        self.service.mute_open_streams()
        status, run, text = await first
        self.assertEqual((409, "unknown"), (status, run), text)
        self.assertEqual(2, self.service.streams)
        self.assertEqual(["s1"], self.control.suspected)

    async def test_refusal_as_not_run_releases_the_key(self):
        refused = wire.Refused(kind="limit-exceeded", run_state="not-run")
        self.service.refusals = [refused]
        self.assertEqual((429, "not-run"), (await self.note())[:2])
        self.assertEqual(200, (await self.note())[0])
        self.assertEqual(["k1"], self.service.once_effects)

    async def test_claimed_dispatch_that_never_arrived_is_sealed_and_rerun(self):
        lost = wire.Claim(
            organisation="korrektur",
            key="k1",
            dispatch_id="lost@s1",
            agent_id="s1",
            agent_incarnation=1,
            agent_address=self.service.target.address,
        )
        await self.note(key="probe")
        lost.digest = self.control.claims["korrektur", "probe"].claim.digest
        record = wire.ClaimRecord(claim=lost, state=wire.CLAIMED)
        self.control.claims["korrektur", "k1"] = record
        self.assertEqual(200, (await self.note())[0])
        self.assertIn("lost@s1", self.service.sealed)
        self.assertEqual(["probe", "k1"], self.service.once_effects)

    async def test_disconnect_does_not_cancel_and_the_key_returns_the_answer(self):
        self.service.hold = 0
        first = asyncio.create_task(self.note())
        await self.service.until(lambda agent: agent.once_effects)
        first.cancel()
        await self.entry.wait_until_idle()
        self.service.resume.set()
        self.assertEqual((200, "", "did /notes/1"), await self.note())
        self.assertNotIn("cancel", self.service.names())
        self.assertEqual(["k1"], self.service.once_effects)
