import asyncio
import itertools

import testscenarios

from wigeonscale.adapters.channels import open_channel
from wigeonscale.agent.tests.support import (
    connect,
    make_chain,
    start_chain,
    until,
)
from wigeonscale.agent.tests.tcp_proxy import TcpProxy
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.pipelines.constants import INITIAL_PREFILL_POSITIONS
from wigeonscale.testing import AsyncTestCase
from wigeonscale.testing.fake_engine import expected_tokens
from wigeonscale.testing.traces import layer_order_violations

LAYERS = 6
TOKENS = 10
PROMPT = "find the person {}"  # four pieces
PIECES = 4
STREAMS = 6


class ChainCase(AsyncTestCase):
    async def start(self, **settings):
        self.trace = []
        self.control, self.nodes, self.chain = await start_chain(
            self, trace=self.trace.append, **settings
        )
        self.client = await connect(self, self.nodes[0])

    async def send(self, streams=STREAMS):
        return [
            await self.client.generate(
                self.chain, PROMPT.format(n).encode(), TOKENS, dispatch_id=f"g{n}@a0"
            )
            for n in range(streams)
        ]

    async def check_complete(self, ids):
        for n, dispatch_id in enumerate(ids):
            last = await self.client.end(dispatch_id)
            self.assertEqual(TOKENS, last.done.tokens, last)
            expected = expected_tokens(PROMPT.format(n), LAYERS, TOKENS)
            self.assertEqual(expected, self.client.texts(dispatch_id))
        finished = dict.fromkeys(ids, PIECES + TOKENS - 1)
        found = layer_order_violations(self.trace, layers=LAYERS, finished=finished)
        self.assertEqual([], [str(v) for v in found])

    def repair_with(self, *nodes_of_epochs):
        """For each newly suspected agent, publish the chain with the next nodes."""
        epochs = iter(enumerate(nodes_of_epochs, start=2))
        repaired = set()

        def repair(agent_id):
            if agent_id not in repaired:
                repaired.add(agent_id)
                # The chain stays unchanged when no spare is left.
                for epoch, nodes in itertools.islice(epochs, 1):
                    self.control.set_chain(make_chain(nodes, epoch=epoch))

        self.control.on_suspect = repair


class LostStageTest(testscenarios.WithScenarios, ChainCase):
    scenarios = testscenarios.multiply_scenarios(
        [("middle", {"lost": 1}), ("last", {"lost": 2})],
        [
            ("prefill", {"position": 0}),
            ("decode", {"position": PIECES + 3}),
            ("last token", {"position": PIECES + TOKENS - 2}),
        ],
        [("before", {"after": False}), ("after", {"after": True})],
    )

    async def test_stream_continues_on_a_spare(self):
        await self.start(spares=1, spare_stage=self.lost)
        lost = self.nodes[self.lost]
        chain = self.nodes[:3]
        chain[self.lost] = self.nodes[3]
        self.repair_with(chain)
        lost.engine.fault_position = self.position
        lost.engine.fault_after_run = self.after
        lost.engine.on_fault = lost.kill
        await self.check_complete(await self.send())
        self.assertIn(lost.name, self.control.suspected)


class LongPromptTest(ChainCase):
    async def test_stage_lost_between_two_parts_of_a_prompt(self):
        await self.start(spares=1)
        n0, n1, n2, spare = self.nodes
        self.repair_with([n0, spare, n2])
        prompt = " ".join(
            f"w{n}" for n in range(4 * INITIAL_PREFILL_POSITIONS)
        ).encode()
        n1.engine.fault_position = INITIAL_PREFILL_POSITIONS
        n1.engine.on_fault = n1.kill
        ids = [await self.client.generate(self.chain, b"page", TOKENS)]
        ids.append(await self.client.generate(self.chain, prompt, TOKENS))
        for dispatch_id, text in zip(ids, (b"page", prompt), strict=True):
            await self.client.end(dispatch_id)
            expected = expected_tokens(text, LAYERS, TOKENS)
            self.assertEqual(expected, self.client.texts(dispatch_id))
        found = layer_order_violations(
            self.trace,
            layers=LAYERS,
            finished={ids[1]: 4 * INITIAL_PREFILL_POSITIONS + TOKENS - 1},
        )
        self.assertEqual([], [str(v) for v in found])
        self.assertIn("a1", self.control.suspected)


class RepairTest(ChainCase):
    async def test_second_loss_during_repair(self):
        await self.start(spares=2)
        n0, n1, n2, s1, s2 = self.nodes
        self.repair_with([n0, s1, n2], [n0, s2, n2])
        for node, position in ((n1, PIECES + 2), (s1, 0)):
            node.engine.fault_position = position
            node.engine.on_fault = node.kill
        await self.check_complete(await self.send())
        self.assertIn("a3", self.control.suspected)

    async def test_request_that_crashes_every_stage_is_refused(self):
        """Each engine that runs the request crashes and is replaced by a spare."""
        await self.start(spares=4, repair_timeout_s=2)
        n0, n1, n2, *spares = self.nodes
        self.repair_with(*([n0, spare, n2] for spare in spares))
        lost = []

        def crash_at_first_step(node):
            async def crash():
                lost.append(node.name)
                await node.kill()

            node.engine.fault_position = 0
            node.engine.on_fault = crash

        for node in (n1, *spares):
            crash_at_first_step(node)
        (dispatch_id,) = await self.send(1)
        refused = (await self.client.end(dispatch_id)).refused
        self.assertEqual(ErrorKind.BACKEND_FAILED, refused.kind)
        self.assertEqual(RunState.RAN, refused.run_state)
        # The agent stops after two crashes; from these the entry decides whether to try
        # another chain.
        self.assertEqual(["a1", "a3"], lost)

    async def test_chain_is_removed_and_another_has_the_same_head(self):
        """Control removes a chain that it can't repair, and may plan another."""
        await self.start(spares=1, repair_timeout_s=5)
        n0, n1, n2, spare = self.nodes
        new_chain = make_chain([n0, spare, n2], epoch=1)
        new_chain.chain_id = "new"

        def replace(agent_id):
            self.control.members.chains.clear()
            self.control.set_chain(new_chain)

        self.control.on_suspect = replace
        n1.engine.fault_position = PIECES + 3
        n1.engine.on_fault = n1.kill
        await self.check_complete(await self.send())

    async def test_lost_stage_without_spare_ends_with_error(self):
        await self.start(repair_timeout_s=0.3)
        lost = self.nodes[1]
        lost.engine.fault_position = PIECES + 2
        lost.engine.on_fault = lost.kill
        for dispatch_id in await self.send(2):
            refused = (await self.client.end(dispatch_id)).refused
            self.assertEqual(ErrorKind.BACKEND_FAILED, refused.kind)
            self.assertEqual(RunState.RAN, refused.run_state)
        self.assertEqual(0, self.nodes[0].agent.admission.running)

    async def test_engine_of_the_head_fails(self):
        await self.start(spares=1, spare_stage=0)
        n0, n1, n2, spare = self.nodes

        async def fail_engine():
            n0.engine.failing = True

        n0.engine.fault_position = PIECES + 2
        n0.engine.on_fault = fail_engine
        ids = await self.send()
        await until(lambda: n0.state.unreachable)
        self.assertTrue(n0.state.announcement().draining)
        self.control.set_chain(make_chain([spare, n1, n2], epoch=2))
        await self.check_complete(ids)

    async def test_one_failed_engine_call(self):
        await self.start()

        async def fail():
            raise WigeonscaleError(ErrorKind.BACKEND_FAILED, "injected")

        self.nodes[1].engine.fault_position = PIECES + 2
        self.nodes[1].engine.on_fault = fail
        await self.check_complete(await self.send())

    async def test_planned_change_of_a_stage(self):
        await self.start(spares=1)
        n0, n1, n2, spare = self.nodes

        async def change():
            self.control.set_chain(make_chain([n0, spare, n2], epoch=2))

        n1.engine.fault_position = PIECES + 2
        n1.engine.on_fault = change
        await self.check_complete(await self.send())
        await until(lambda: not n1.agent.stage.active)
        self.assertEqual([], self.control.suspected)


class SilentStreamTest(testscenarios.WithScenarios, ChainCase):
    scenarios = [
        ("replies lost", {"direction": "out"}),
        ("requests lost", {"direction": "in"}),
    ]

    async def test_stream_continues_on_a_second_connection(self):
        proxies = {}
        await self.start(dial=lambda address: open_channel(proxies[address]))
        for node in self.nodes[1:]:
            node.proxy = TcpProxy(node.address)
            proxies[node.address] = await node.proxy.start(self)

        async def mute():
            self.nodes[1].proxy.mute_open(self.direction)

        self.nodes[1].engine.fault_position = PIECES + 2
        self.nodes[1].engine.on_fault = mute
        await self.check_complete(await self.send())
        self.assertGreaterEqual(self.nodes[1].proxy.accepted, 2)

    async def test_peer_silent_on_all_connections_is_suspected(self):
        proxies = {}
        await self.start(
            dial=lambda address: open_channel(proxies.get(address, address)), spares=1
        )
        n0, n1, n2, spare = self.nodes
        proxy = TcpProxy(n1.address)
        proxies[n1.address] = await proxy.start(self)
        self.repair_with([n0, spare, n2])

        async def mute():
            proxy.mute_all()

        n1.engine.fault_position = PIECES + 2
        n1.engine.on_fault = mute
        await self.check_complete(await self.send())
        self.assertIn("a1", self.control.suspected)


class StopTest(ChainCase):
    async def test_work_in_progress_completes_and_new_work_is_refused(self):
        await self.start()
        gate = asyncio.Event()
        self.nodes[2].engine.fault_position = PIECES + 2
        self.nodes[2].engine.on_fault = gate.wait
        ids = await self.send()
        await until(lambda: self.nodes[2].engine.fault_position is None)
        drains = [asyncio.create_task(node.agent.drain()) for node in self.nodes]
        await asyncio.sleep(0)
        late = await self.client.generate(self.chain, b"late", 3, dispatch_id="late")
        refused = (await self.client.end(late)).refused
        self.assertEqual(
            (ErrorKind.STOPPING, RunState.NOT_RUN), (refused.kind, refused.run_state)
        )
        self.assertTrue(self.client.events[-1].load.leaving)
        gate.set()
        await self.check_complete(ids)
        await asyncio.gather(*drains)
        self.assertTrue(self.nodes[0].state.announcement().draining)

    async def test_work_aborted_at_stop_timeout_is_reported(self):
        await self.start(slots=1)
        self.nodes[2].engine.fault_position = 0
        self.nodes[2].engine.on_fault = asyncio.Event().wait
        running, queued = await self.send(2)
        await until(lambda: self.nodes[2].engine.fault_position is None)
        await self.nodes[0].agent.abort()
        states = [
            (await self.client.end(i)).refused.run_state for i in (running, queued)
        ]
        self.assertEqual([RunState.RAN, RunState.NOT_RUN], states)
