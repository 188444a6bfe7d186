"""Streams under failure: silence, lost agents, slow and vanished callers, stop."""

import asyncio

import aiohttp

from wigeonscale.dispatch.tests.fake_agent import WORDS
from wigeonscale.entry.service import EntryLimits
from wigeonscale.entry.tests.support import EntryCase, read_events, texts_of
from wigeonscale.errors import ErrorKind
from wigeonscale.pipelines.constants import INITIAL_CREDIT_TOKENS
from wigeonscale.wire import wire_pb2 as wire


class FailuresTest(EntryCase):
    async def begin_stream(self, agent, hold=3):
        """Start a stream that stops at the agent after some tokens."""
        agent.hold = hold
        answer = await self.complete(stream=True)
        await answer.content.readuntil(f"id: {hold - 1}\n".encode())
        return answer

    async def test_silent_connection_is_replaced_and_no_token_is_lost(self):
        answer = await self.begin_stream(self.agent)
        self.agent.mute_open_streams()
        self.agent.resume.set()
        events = await read_events(answer)
        self.assertEqual(list(WORDS[3:]), texts_of(events))
        self.assertIn("attach", self.agent.names())
        self.assertEqual(1, len(self.agent.opened))
        self.assertEqual([], self.control.suspected)

    async def test_lost_agent_is_replaced_and_no_token_is_doubled(self):
        answer = await self.begin_stream(self.agent)
        other = await self.start_agent("a2")
        await self.agent.stop()
        events = await read_events(answer)
        self.assertEqual(list(WORDS[3:]), texts_of(events))
        self.assertEqual(other.opened[0], events[-2]["data"]["id"])
        prefix = dict(other.seen)["open"].generate.prefix
        self.assertEqual(list(WORDS[:3]), [token.text for token in prefix])
        self.assertEqual(["a1"], self.control.suspected)

    async def test_lost_agent_without_another_ends_by_an_honest_error(self):
        self.entry.dispatcher._repair_wait_s = 0.0
        answer = await self.begin_stream(self.agent)
        await self.agent.stop()
        events = await read_events(answer)
        self.assertEqual("error", events[-1]["event"])
        error = events[-1]["data"]["error"]
        self.assertEqual(ErrorKind.NO_BACKEND, error["kind"])
        self.assertEqual("ran", error["run"])

    async def test_stream_whose_agent_is_lost_waits_for_the_repair(self):
        answer = await self.begin_stream(self.agent)
        await self.agent.stop()
        async with asyncio.timeout(30):
            await self.control.suspicion.wait()
        other = await self.start_agent("a2")
        self.assertEqual(list(WORDS[3:]), texts_of(await read_events(answer)))
        self.assertEqual(1, len(other.opened))

    async def test_agent_lost_after_the_last_token_gets_no_token_more(self):
        self.agent.hold = len(WORDS)
        other = await self.start_agent("a2")
        other.hold = len(WORDS)
        answer = await self.complete(stream=True, max_tokens=len(WORDS))
        await answer.content.readuntil(f"id: {len(WORDS) - 1}\n".encode())
        for agent in (self.agent, other):
            await agent.stop()
        events = await read_events(answer)
        last = events[-2]["data"]
        self.assertEqual(len(WORDS), last["usage"]["completion_tokens"])
        self.assertEqual("length", last["choices"][0]["finish_reason"])

    async def test_generation_leaves_a_chain_that_was_given_up(self):
        answer = await self.begin_stream(self.agent)
        members = self.control.members
        given_up = wire.MembersUpdate(
            index=members.index + 1, removed_chains=["chain-a1"]
        )
        members.apply(given_up)
        self.entry.leave_lost_chains()
        self.assertNotIn("cancel", self.agent.names())
        await self.start_agent("a2")
        self.entry.leave_lost_chains()
        self.assertEqual(list(WORDS[3:]), texts_of(await read_events(answer)))
        await self.agent.until(lambda agent: "cancel" in agent.names())

    async def test_generation_goes_on_at_a_new_chain_of_the_same_head(self):
        answer = await self.begin_stream(self.agent)
        while self.entry.dispatcher._budget.try_spend():
            continue  # such a move is paid for by nobody
        members = self.control.members
        chain = wire.Chain()
        chain.CopyFrom(members.chains["chain-a1"])
        chain.chain_id = "chain-new"
        rebuilt = wire.MembersUpdate(
            index=members.index + 1, removed_chains=["chain-a1"], chains=[chain]
        )
        members.apply(rebuilt)
        self.agent.hold = None
        self.entry.leave_lost_chains()
        self.assertEqual(list(WORDS[3:]), texts_of(await read_events(answer)))
        self.assertEqual(2, len(self.agent.opened))

    async def test_gap_doubled_and_foreign_tokens_are_mended_or_dropped(self):
        answer = await self.begin_stream(self.agent)
        dispatch_id = self.agent.opened[0]
        self.agent.send_token(0, dispatch_id, 1)
        self.agent.send_token(0, dispatch_id, 5)
        self.agent.send_token(0, "someone-else@a1", 3)
        await self.agent.until(lambda agent: "attach" in agent.names())
        self.agent.resume.set()
        self.assertEqual(list(WORDS[3:]), texts_of(await read_events(answer)))

    async def test_answer_without_its_last_event_is_never_called_whole(self):
        self.agent.hold = 2
        async with self.complete(stream=True) as answer:
            await self.agent.until(lambda agent: agent.opened)
            done = wire.Done(tokens=5, finish_reason="stop")
            for _ in range(5):
                self.agent.send(0, self.agent.opened[0], done=done)
            events = await read_events(answer)
        self.assertEqual("error", events[-1]["event"])

    async def test_slow_caller_does_not_hold_the_others(self):
        self.agent.words = ("x" * 30_000,) * INITIAL_CREDIT_TOKENS
        slow = await self.complete(stream=True)
        async with self.complete() as other:
            document = await other.json()
        self.assertEqual("".join(self.agent.words), document["choices"][0]["text"])
        slow.close()

    async def test_deadline_before_start_is_sealed_and_not_run(self):
        self.agent.accept = False
        headers = {"Wigeonscale-Deadline": "0.05"}
        async with self.complete(headers=headers) as answer:
            document = await answer.json()
        self.assertEqual("deadline-exceeded", document["error"]["kind"])
        self.assertEqual("not-run", answer.headers["Wigeonscale-Run"])
        self.assertIn("Retry-After", answer.headers)
        self.assertEqual(["open", "seal"], self.agent.names())

    async def test_refused_as_not_run_is_tried_elsewhere(self):
        self.agent.refusals = [wire.Refused(kind="stopping", run_state="not-run")] * 9
        other = await self.start_agent("a2")
        for _ in range(4):
            async with self.complete() as answer:
                self.assertEqual(200, answer.status)
        self.assertEqual(4, len(other.opened))

    async def test_answer_is_taken_up_after_the_connection_broke(self):
        answer = await self.begin_stream(self.agent)
        request_id = answer.headers["Wigeonscale-Request"]
        answer.close()
        await self.entry.until_idle()
        path = f"/v1/requests/{request_id}"
        headers = {"Last-Event-ID": "2"}
        rest = asyncio.create_task(self.http.get(path, headers=headers))
        await self.agent.until(lambda agent: "attach" in agent.names())
        self.agent.resume.set()
        self.assertEqual(list(WORDS[3:]), texts_of(await read_events(await rest)))
        async with self.http.get(path, params={"from": "0"}) as whole:
            self.assertEqual(list(WORDS), texts_of(await read_events(whole)))
        self.assertNotIn("cancel", self.agent.names())

    async def test_answer_not_taken_up_is_cancelled(self):
        self.entry.limits = EntryLimits(take_up_grace_s=0.01)
        answer = await self.begin_stream(self.agent)
        answer.close()
        await self.agent.until(lambda agent: "cancel" in agent.names())
        self.assertEqual([], self.entry._links.streams())

    async def test_limit_and_lease_refuse_at_once(self):
        headers = {"Authorization": "Bearer key-of-vltava"}
        self.agent.hold = 1
        first = await self.complete(stream=True, headers=headers)
        async with self.complete(headers=headers) as answer:
            self.assertEqual(429, answer.status)
            self.assertIn("Retry-After", answer.headers)
        self.agent.resume.set()
        await first.read()
        self.control.lease = False
        async with self.complete() as answer:
            document = await answer.json()
        self.assertEqual("lease-expired", document["error"]["kind"])
        self.assertFalse(self.entry.is_ready())

    async def test_stop_is_unready_first_and_finishes_streams(self):
        answer = await self.begin_stream(self.agent)
        stopping = asyncio.create_task(self.server.stop_accepting())
        await asyncio.sleep(0)
        self.assertFalse(self.entry.is_ready() or self.entry.stopping)
        # A request on a connection that stands is served, the last one on it.
        url = f"http://{self.server.address}/lookup/x"
        async with aiohttp.ClientSession(headers=self.http.headers) as keeping:
            async with keeping.get(url) as late:
                self.assertEqual("close", late.headers["Connection"])
                self.assertEqual(200, late.status)
        self.agent.resume.set()
        await stopping
        await self.server.finish()
        self.assertEqual(list(WORDS[3:]), texts_of(await read_events(answer)))

    async def test_stream_cut_at_the_bound_names_its_request(self):
        answer = await self.begin_stream(self.agent)
        await self.server.cut()
        events = await read_events(answer)
        self.assertEqual("error", events[-1]["event"])
        error = events[-1]["data"]["error"]
        self.assertEqual(ErrorKind.STOPPING, error["kind"])
        self.assertIn(answer.headers["Wigeonscale-Request"], error["message"])
        self.assertNotIn("cancel", self.agent.names())
