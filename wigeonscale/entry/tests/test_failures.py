"""Streams under faults: silent or lost agents, slow callers, disconnects, shutdown."""

import asyncio

import aiohttp

from wigeonscale.dispatch.tests.fake_agent import WORDS
from wigeonscale.entry.service import EntryLimits
from wigeonscale.entry.tests.support import KEY, EntryCase, read_events, texts_of
from wigeonscale.errors import ErrorKind
from wigeonscale.pipelines.constants import INITIAL_CREDIT_TOKENS
from wigeonscale.wire import wire_pb2 as wire


class FailuresTest(EntryCase):
    async def begin_stream(self, agent, hold=3):
        """Start a stream that the agent suspends after some tokens."""
        agent.hold = hold
        answer = await self.complete(stream=True)
        await answer.content.readuntil(f"id: {hold - 1}\n".encode())
        return answer

    async def test_silent_connection_is_replaced_without_token_loss(self):
        answer = await self.begin_stream(self.agent)
        self.agent.mute_open_streams()
        self.agent.resume.set()
        events = await read_events(answer)
        self.assertEqual(list(WORDS[3:]), texts_of(events))
        self.assertIn("attach", self.agent.names())
        self.assertEqual(1, len(self.agent.opened))
        self.assertEqual([], self.control.suspected)

    async def test_lost_agent_is_replaced_without_repeated_tokens(self):
        answer = await self.begin_stream(self.agent)
        other = await self.start_agent("a2")
        await self.agent.stop()
        events = await read_events(answer)
        self.assertEqual(list(WORDS[3:]), texts_of(events))
        self.assertEqual(other.opened[0], events[-2]["data"]["id"])
        prefix = dict(other.seen)["open"].generate.prefix
        self.assertEqual(list(WORDS[:3]), [token.text for token in prefix])
        self.assertEqual(["a1"], self.control.suspected)

    async def test_lost_agent_without_replacement_ends_with_error(self):
        self.entry.dispatcher._repair_wait_s = 0.0
        answer = await self.begin_stream(self.agent)
        await self.agent.stop()
        events = await read_events(answer)
        self.assertEqual("error", events[-1]["event"])
        error = events[-1]["data"]["error"]
        self.assertEqual(ErrorKind.NO_BACKEND, error["kind"])
        self.assertEqual("ran", error["run"])

    async def test_stream_waits_for_repair_after_agent_loss(self):
        answer = await self.begin_stream(self.agent)
        await self.agent.stop()
        async with asyncio.timeout(30):
            await self.control.suspicion.wait()
        other = await self.start_agent("a2")
        self.assertEqual(list(WORDS[3:]), texts_of(await read_events(answer)))
        self.assertEqual(1, len(other.opened))

    async def test_agent_loss_after_the_last_token_adds_no_token(self):
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

    async def test_generation_moves_away_from_a_removed_chain(self):
        answer = await self.begin_stream(self.agent)
        members = self.control.members
        given_up = wire.MembersUpdate(
            index=members.index + 1, removed_chains=["chain-a1"]
        )
        members.apply(given_up)
        self.entry.reroute_removed_chains()
        self.assertNotIn("cancel", self.agent.names())
        await self.start_agent("a2")
        self.entry.reroute_removed_chains()
        self.assertEqual(list(WORDS[3:]), texts_of(await read_events(answer)))
        await self.agent.until(lambda agent: "cancel" in agent.names())

    async def test_generation_continues_on_a_new_chain_with_the_same_head(self):
        answer = await self.begin_stream(self.agent)
        while self.entry.dispatcher._budget.try_spend():
            continue  # the move must not depend on the retry budget
        members = self.control.members
        chain = wire.Chain()
        chain.CopyFrom(members.chains["chain-a1"])
        chain.chain_id = "chain-new"
        rebuilt = wire.MembersUpdate(
            index=members.index + 1, removed_chains=["chain-a1"], chains=[chain]
        )
        members.apply(rebuilt)
        self.agent.hold = None
        self.entry.reroute_removed_chains()
        self.assertEqual(list(WORDS[3:]), texts_of(await read_events(answer)))
        self.assertEqual(2, len(self.agent.opened))

    async def test_missing_repeated_and_foreign_tokens_are_handled(self):
        answer = await self.begin_stream(self.agent)
        dispatch_id = self.agent.opened[0]
        self.agent.send_token(0, dispatch_id, 1)
        self.agent.send_token(0, dispatch_id, 5)
        self.agent.send_token(0, "someone-else@a1", 3)
        await self.agent.until(lambda agent: "attach" in agent.names())
        self.agent.resume.set()
        self.assertEqual(list(WORDS[3:]), texts_of(await read_events(answer)))

    async def test_answer_with_missing_tokens_ends_with_error(self):
        self.agent.hold = 2
        async with self.complete(stream=True) as answer:
            await self.agent.until(lambda agent: agent.opened)
            done = wire.Done(tokens=5, finish_reason="stop")
            for _ in range(5):
                self.agent.send(0, self.agent.opened[0], done=done)
            events = await read_events(answer)
        self.assertEqual("error", events[-1]["event"])

    async def test_slow_caller_does_not_delay_others(self):
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

    async def test_refusal_as_not_run_is_retried_on_another_agent(self):
        self.agent.refusals = [wire.Refused(kind="stopping", run_state="not-run")] * 9
        other = await self.start_agent("a2")
        for _ in range(4):
            async with self.complete() as answer:
                self.assertEqual(200, answer.status)
        self.assertEqual(4, len(other.opened))

    async def test_answer_is_resumed_after_a_broken_connection(self):
        answer = await self.begin_stream(self.agent)
        request_id = answer.headers["Wigeonscale-Request"]
        answer.close()
        await self.entry.wait_until_idle()
        path = f"/v1/requests/{request_id}"
        headers = {"Last-Event-ID": "2"}
        rest = asyncio.create_task(self.http.get(path, headers=headers))
        await self.agent.until(lambda agent: "attach" in agent.names())
        self.agent.resume.set()
        self.assertEqual(list(WORDS[3:]), texts_of(await read_events(await rest)))
        async with self.http.get(path, params={"from": "0"}) as whole:
            self.assertEqual(list(WORDS), texts_of(await read_events(whole)))
        self.assertNotIn("cancel", self.agent.names())

    async def test_answer_that_is_not_resumed_is_cancelled(self):
        self.entry.limits = EntryLimits(resume_grace_s=0.01)
        answer = await self.begin_stream(self.agent)
        answer.close()
        await self.agent.until(lambda agent: "cancel" in agent.names())
        self.assertEqual([], self.entry._links.streams())

    async def test_exceeded_limit_and_lost_lease_refuse_at_once(self):
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

    async def test_shutdown_becomes_unready_and_finishes_streams(self):
        answer = await self.begin_stream(self.agent)
        stopping = asyncio.create_task(self.server.stop_accepting())
        await asyncio.sleep(0)
        self.assertFalse(self.entry.is_ready() or self.entry.stopping)
        # A request on an open connection is still served; then it is closed.
        url = f"http://{self.server.address}/lookup/x"
        async with aiohttp.ClientSession(headers=self.http.headers) as keeping:
            async with keeping.get(url) as late:
                self.assertEqual("close", late.headers["Connection"])
                self.assertEqual(200, late.status)
        self.agent.resume.set()
        await stopping
        await self.server.finish()
        self.assertEqual(list(WORDS[3:]), texts_of(await read_events(answer)))

    async def test_stream_aborted_at_stop_timeout_reports_its_request_id(self):
        answer = await self.begin_stream(self.agent)
        await self.server.abort()
        events = await read_events(answer)
        self.assertEqual("error", events[-1]["event"])
        error = events[-1]["data"]["error"]
        self.assertEqual(ErrorKind.STOPPING, error["kind"])
        self.assertIn(answer.headers["Wigeonscale-Request"], error["message"])
        self.assertNotIn("cancel", self.agent.names())


class SlowCallerTest(EntryCase):
    """The process exits after the shutdown, with whatever its transports still hold."""

    async def test_end_of_an_answer_is_sent_before_the_shutdown_ends(self):
        """Guards against answers that count as sent when they are only buffered."""
        self.service.call_answer = b"x" * 8_000_000
        host, _, port = self.server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=4096)
        self.addCleanup(writer.close)
        head = f"GET /lookup/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {KEY}\r\n"
        writer.write(f"{head}Connection: close\r\n\r\n".encode())
        async with asyncio.timeout(30):
            await reader.readuntil(b"\r\n\r\n")
        (conn,) = self.server._runner._server.connections
        transport = conn.transport

        async def finish():
            await self.server.finish()
            return transport.get_write_buffer_size()

        finishing = asyncio.create_task(finish())
        for _ in range(50):
            await asyncio.sleep(0)
        async with asyncio.timeout(30):
            answer = await reader.read()
            writer.close()
            self.assertEqual(0, await finishing, "bytes lost by the exit")
        self.assertEqual(len(self.service.call_answer), len(answer))
