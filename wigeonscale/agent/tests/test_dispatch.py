import asyncio

import testscenarios

from wigeonscale.agent.answers import Dispatch
from wigeonscale.agent.stream import EntryStream
from wigeonscale.agent.table import DELIVERY_GRACE_S, DispatchTable
from wigeonscale.agent.tests.support import connect, start_chain, until
from wigeonscale.errors import ErrorKind, RunState
from wigeonscale.pipelines.constants import INITIAL_CREDIT_TOKENS
from wigeonscale.testing import AsyncTestCase, ManualClock
from wigeonscale.testing.fake_engine import expected_tokens
from wigeonscale.wire import wire_pb2 as wire

LAYERS = 6


def _credits(dispatch_id, tokens):
    return wire.Credits(credits=[wire.Credit(dispatch_id=dispatch_id, tokens=tokens)])


class GenerateCase(AsyncTestCase):
    async def start(self, **settings):
        self.control, self.nodes, self.chain = await start_chain(
            self, stages=settings.pop("stages", 1), **settings
        )
        self.client = await connect(self, self.nodes[0])
        self.engine = self.nodes[0].engine

    def hold_engine(self):
        gate = asyncio.Event()
        self.engine.fault_position = 0
        self.engine.on_fault = gate.wait
        return gate

    async def refusal(self, dispatch_id):
        refused = (await self.client.end(dispatch_id)).refused
        return refused.kind, refused.run_state

    def expected_texts(self, prompt, count, layers=2):
        return expected_tokens(prompt, layers, count)


class CreditTest(GenerateCase):
    async def test_slow_reader_does_not_delay_others(self):
        await self.start()
        slow = await self.client.generate(
            self.chain, b"slow", INITIAL_CREDIT_TOKENS + 50
        )
        fast = await self.client.generate(self.chain, b"fast", 20)
        await self.client.end(fast)
        table = self.nodes[0].agent.table
        await until(lambda: table.get(slow).end is not None)
        await self.client.wait(
            lambda: len(self.client.texts(slow)) >= INITIAL_CREDIT_TOKENS
        )
        await self.client.send(ping=wire.Ping(sent_us=7))
        await self.client.wait(lambda: self.client.events[-1].pong_us == 7)
        self.assertEqual(INITIAL_CREDIT_TOKENS, len(self.client.texts(slow)))
        await self.client.send(credits=_credits(slow, 50))
        await self.client.end(slow)
        expected = self.expected_texts("slow", INITIAL_CREDIT_TOKENS + 50)
        self.assertEqual(expected, self.client.texts(slow))

    async def test_drain_waits_until_slow_reader_has_the_answer(self):
        await self.start()
        slow = await self.client.generate(
            self.chain, b"slow", INITIAL_CREDIT_TOKENS + 50
        )
        agent = self.nodes[0].agent
        await until(lambda: agent.table.get(slow) and agent.table.get(slow).end)
        drain = asyncio.create_task(agent.drain())
        await self.client.send(ping=wire.Ping(sent_us=7))
        await self.client.wait(lambda: self.client.events[-1].pong_us == 7)
        self.assertFalse(drain.done())
        await self.client.send(credits=_credits(slow, 50))
        await self.client.end(slow)
        await drain

    async def test_prompts_count_as_kept_bytes_until_the_end(self):
        await self.start(keep_answers_bytes=100_000)
        gate = self.hold_engine()
        first = await self.client.generate(self.chain, b"p " * 60_000, 3)
        late = await self.client.generate(self.chain, b"late", 3)
        self.assertEqual(
            (ErrorKind.OVERLOADED, RunState.NOT_RUN), await self.refusal(late)
        )
        gate.set()
        await self.client.end(first)
        self.assertLess(self.nodes[0].agent.table.kept_bytes, 2000)

    async def test_one_message_contains_all_tokens_of_an_iteration(self):
        await self.start(stages=3)
        ids = [await self.client.generate(self.chain, b"a", 20) for _ in range(32)]
        for dispatch_id in ids:
            await self.client.end(dispatch_id)
        iterations = self.engine.iterations
        # One message per iteration, plus at most one for each accepted dispatch.
        self.assertLessEqual(len(self.client.events), iterations + len(ids))
        self.assertLess(iterations, 32 * 20 / 4)

    async def test_memory_limit_pauses_generation_and_refuses_new_work(self):
        await self.start(keep_answers_bytes=100_000)
        first = await self.client.generate(self.chain, b"p", 2000, dispatch_id="f")
        table = self.nodes[0].agent.table
        await until(lambda: table.is_full)
        late = await self.client.generate(self.chain, b"late", 3)
        self.assertEqual(
            (ErrorKind.OVERLOADED, RunState.NOT_RUN), await self.refusal(late)
        )
        produced = table.get(first).produced
        self.assertLess(produced, 2000)
        await self.client.send(credits=_credits(first, 2000))
        last = await self.client.end(first)
        self.assertEqual(2000, last.done.tokens)


class AttachTest(GenerateCase):
    async def test_another_entry_attaches_from_a_token(self):
        await self.start()
        first = await self.client.generate(self.chain, b"p", 10)
        await self.client.end(first)
        other = await connect(self, self.nodes[0])
        attach = wire.Attach(dispatch_id=first, from_token=4, organisation="o1")
        await other.send(attach=attach)
        last = await other.end(first)
        self.assertEqual(10, last.done.tokens)
        self.assertEqual(self.expected_texts("p", 10)[4:], other.texts(first))

    async def test_answer_continues_after_the_entry_disconnects(self):
        await self.start()
        gate = self.hold_engine()
        first = await self.client.generate(self.chain, b"p", 10)
        await self.client.wait(lambda: self.client.kinds(first) == ["accepted"])
        await self.client.close()
        other = await connect(self, self.nodes[0])
        await other.send(attach=wire.Attach(dispatch_id=first, organisation="o1"))
        gate.set()
        await other.end(first)
        self.assertEqual(self.expected_texts("p", 10), other.texts(first))

    async def test_other_organisation_gets_nothing(self):
        await self.start()
        first = await self.client.generate(self.chain, b"p", 3)
        await self.client.end(first)
        other = await connect(self, self.nodes[0])
        await other.send(attach=wire.Attach(dispatch_id=first, organisation="o2"))
        refused = (await other.end(first)).refused
        self.assertEqual(ErrorKind.NOT_FOUND, refused.kind)

    async def test_generation_continues_after_the_given_prefix(self):
        await self.start()
        whole = self.expected_texts("p", 8)
        prefix = [wire.Token(text=text) for text in whole[:3]]
        first = await self.client.generate(self.chain, b"p", 8, prefix=prefix)
        last = await self.client.end(first)
        self.assertEqual(8, last.done.tokens)
        self.assertEqual(whole[3:], self.client.texts(first))

    async def test_expired_answer_is_reported(self):
        await self.start(keep_answers_s=0)
        first = await self.client.generate(self.chain, b"p", 3)
        await self.client.end(first)
        await until(lambda: self.nodes[0].agent.table.get(first) is None)
        await self.client.send(attach=wire.Attach(dispatch_id=first, organisation="o1"))
        await self.client.wait(lambda: self.client.kinds(first)[-1] == "refused")
        self.assertEqual(
            (ErrorKind.ANSWER_EXPIRED, RunState.RAN), await self.refusal(first)
        )


class SealTest(GenerateCase):
    async def seal(self, dispatch_id):
        incarnation = self.nodes[0].state.incarnation
        seal = wire.Seal(dispatch_id=dispatch_id, agent_incarnation=incarnation)
        await self.client.send(seal=seal)
        await self.client.wait(lambda: "sealed" in self.client.kinds(dispatch_id))
        sealed = [
            i.sealed for i in self.client.items(dispatch_id) if i.HasField("sealed")
        ]
        return sealed[-1].never_ran

    async def test_delayed_open_after_seal_never_runs(self):
        await self.start()
        self.assertTrue(await self.seal("d@a0"))
        await self.client.generate(self.chain, b"p", 3, dispatch_id="d@a0")
        await self.client.wait(lambda: len(self.client.kinds("d@a0")) == 2)
        self.assertEqual(
            (ErrorKind.CANCELLED, RunState.NOT_RUN), await self.refusal("d@a0")
        )
        self.assertEqual(0, self.engine.iterations)

    async def test_waiting_dispatch_is_sealed_and_running_one_is_not(self):
        await self.start(slots=1)
        gate = self.hold_engine()
        running = await self.client.generate(self.chain, b"p", 3)
        waiting = await self.client.generate(self.chain, b"q", 3)
        self.assertFalse(await self.seal(running))
        self.assertTrue(await self.seal(waiting))
        gate.set()
        await self.client.wait(lambda: self.client.kinds(running)[-1] == "done")
        self.assertEqual(3, self.engine.iterations)

    async def test_ended_dispatch_counts_as_run_after_eviction(self):
        await self.start(keep_answers_s=0)
        first = await self.client.generate(self.chain, b"p", 3)
        await self.client.end(first)
        await until(lambda: self.nodes[0].agent.table.get(first) is None)
        self.assertFalse(await self.seal(first))

    async def test_seal_for_another_incarnation_is_refused(self):
        await self.start()
        await self.client.send(seal=wire.Seal(dispatch_id="d", agent_incarnation=1))
        self.assertEqual(
            (ErrorKind.STALE_INCARNATION, RunState.UNKNOWN), await self.refusal("d")
        )

    async def test_refused_dispatch_never_runs_later(self):
        await self.start()
        self.control.has_lease = False
        await self.client.generate(self.chain, b"p", 3, dispatch_id="d@a0")
        self.assertEqual(
            (ErrorKind.LEASE_EXPIRED, RunState.NOT_RUN), await self.refusal("d@a0")
        )
        self.control.has_lease = True
        await self.client.generate(self.chain, b"p", 3, dispatch_id="d@a0")
        await self.client.wait(lambda: len(self.client.kinds("d@a0")) == 2)
        self.assertEqual(
            (ErrorKind.CANCELLED, RunState.NOT_RUN), await self.refusal("d@a0")
        )
        self.assertEqual(0, self.engine.iterations)

    async def test_open_after_cancel_never_runs(self):
        await self.start()
        await self.client.send(cancel=wire.Cancel(dispatch_id="d@a0"))
        await self.client.generate(self.chain, b"p", 3, dispatch_id="d@a0")
        self.assertEqual(
            (ErrorKind.CANCELLED, RunState.NOT_RUN), await self.refusal("d@a0")
        )


class EndTest(GenerateCase):
    async def test_cancel_stops_a_generation_and_frees_the_engine(self):
        await self.start(slots=1)
        endless = await self.client.generate(self.chain, b"p", 1_000_000)
        await self.client.wait(lambda: len(self.client.texts(endless)) > 2)
        await self.client.send(cancel=wire.Cancel(dispatch_id=endless))
        after = await self.client.generate(self.chain, b"q", 3)
        await self.client.end(after)
        await until(lambda: not self.engine.caches)

    async def test_deadline_during_stream(self):
        clock = ManualClock()
        await self.start(stages=3, clock=clock)
        late = await self.client.generate(self.chain, b"p", 1_000_000, deadline_ms=300)
        await self.client.wait(lambda: self.client.texts(late))
        await clock.advance(0.4)
        self.assertEqual(
            (ErrorKind.DEADLINE_EXCEEDED, RunState.RAN), await self.refusal(late)
        )
        self.assertTrue(self.client.texts(late))

    async def test_deadline_in_the_queue(self):
        clock = ManualClock()
        await self.start(slots=1, clock=clock)
        gate = self.hold_engine()
        running = await self.client.generate(self.chain, b"p", 3)
        waiting = await self.client.generate(self.chain, b"q", 3, deadline_ms=100)
        await self.client.wait(lambda: self.client.kinds(waiting) == ["accepted"])
        await clock.advance(0.2)
        self.assertEqual(
            (ErrorKind.DEADLINE_EXCEEDED, RunState.NOT_RUN),
            await self.refusal(waiting),
        )
        gate.set()
        await self.client.end(running)
        self.assertEqual(3, self.engine.iterations)


def _stop(node, control):
    node.state.stopping = True


def _drain(node, control):
    node.state.set_draining(True)


def _lose_lease(node, control):
    control.has_lease = False


def _stage_leaves(node, control):
    control.members.backends["a0"] = wire.Backend(agent_id="a0", draining=True)


class RefusalTest(testscenarios.WithScenarios, GenerateCase):
    scenarios = [
        ("stopping", {"change": _stop, "kind": "stopping"}),
        ("draining", {"change": _drain, "kind": "backend-leaving"}),
        ("no lease", {"change": _lose_lease, "kind": "lease-expired"}),
        ("stage leaves", {"change": _stage_leaves, "kind": "backend-leaving"}),
    ]

    async def test_refused_at_once_as_not_run(self):
        await self.start()
        self.change(self.nodes[0], self.control)
        late = await self.client.generate(self.chain, b"p", 3)
        self.assertEqual((self.kind, RunState.NOT_RUN), await self.refusal(late))
        self.assertGreater(self.client.items(late)[0].refused.retry_after_ms, 0)
        self.assertEqual(0, self.engine.iterations)

    async def test_lost_lease_refuses_queued_work(self):
        await self.start(slots=1)
        gate = self.hold_engine()
        running = await self.client.generate(self.chain, b"p", 3)
        waiting = [await self.client.generate(self.chain, b"q", 3) for _ in range(200)]
        await self.client.wait(lambda: self.client.kinds(waiting[-1]) == ["accepted"])
        self.control.has_lease = False
        gate.set()
        await self.client.end(running)
        for dispatch_id in waiting:
            self.assertEqual("not-run", (await self.refusal(dispatch_id))[1])
        self.assertEqual(0, self.nodes[0].agent.admission.running)

    async def test_full_queue_is_refused_with_retry_time(self):
        await self.start(slots=1, queue_limit=1)
        gate = self.hold_engine()
        ids = [await self.client.generate(self.chain, b"p", 3) for _ in range(3)]
        self.assertEqual(
            (ErrorKind.OVERLOADED, RunState.NOT_RUN), await self.refusal(ids[-1])
        )
        self.assertGreater(self.client.items(ids[-1])[-1].refused.retry_after_ms, 0)
        gate.set()
        await self.client.end(ids[1])

    async def test_other_incarnation_is_refused_as_unknown(self):
        await self.start()
        await self.client.generate(
            self.chain, b"p", 3, dispatch_id="d", agent_incarnation=1
        )
        self.assertEqual(
            (ErrorKind.STALE_INCARNATION, RunState.UNKNOWN), await self.refusal("d")
        )


class DeliveryTest(AsyncTestCase):
    async def test_answer_is_delivered_only_when_its_message_was_sent(self):
        """Guards against a drain that ends before the entry has the whole answer."""
        clock = ManualClock()
        table = DispatchTable(clock=clock, keep_bytes=1000, keep_s=100.0)
        dispatch = Dispatch(open=wire.Open(dispatch_id="d"))
        table.add(dispatch)
        stream = EntryStream(
            load=wire.LoadWord, clock=clock, entry_timeout_s=10 * DELIVERY_GRACE_S
        )
        stream.attach(dispatch, 0)
        began, proceed = asyncio.Event(), asyncio.Event()

        async def send(event):
            began.set()
            await proceed.wait()

        writer = asyncio.create_task(stream.write(send))
        table.end(dispatch, wire.DispatchItem(done=wire.Done()))
        await began.wait()
        await clock.advance(2 * DELIVERY_GRACE_S)
        self.assertEqual([dispatch], table.undelivered())
        proceed.set()
        await until(lambda: not table.undelivered())
        writer.cancel()
        await asyncio.gather(writer, return_exceptions=True)
