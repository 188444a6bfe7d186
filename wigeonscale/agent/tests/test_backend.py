"""A backend server that is unreachable or does not respond gets no work."""

import asyncio

from wigeonscale.adapters.service_http import HttpService, single_attempt_session
from wigeonscale.agent.tests.support import (
    connect,
    make_chain,
    start_chain,
    start_service,
    until,
)
from wigeonscale.errors import ErrorKind, RunState
from wigeonscale.testing import AsyncTestCase
from wigeonscale.testing.fake_engine import expected_tokens
from wigeonscale.testing.fake_service import serve_service
from wigeonscale.wire import wire_pb2 as wire


class ServiceHealthTest(AsyncTestCase):
    async def test_unreachable_service_is_announced_and_recovers(self):
        runner, url = await serve_service(name="directory", trace=lambda record: None)
        port = int(url.rpartition(":")[2])
        session = single_attempt_session()
        self.addCleanup(session.close)
        service = HttpService(url=url, session=session)
        control, node = await start_service(self, service)
        client = await connect(self, node)
        self.assertFalse(node.state.announcement().draining)
        self.assertEqual(0, node.state.announcement().losses)

        await runner.cleanup()
        await until(lambda: node.state.announcement().draining)
        self.assertEqual(1, node.state.announcement().losses)
        announced = control.announced
        self.assertGreaterEqual(announced, 1)
        await client.open("d1", call=wire.Call(method="GET", path="/entry/7"))
        refused = (await client.end("d1")).refused
        self.assertEqual(
            (ErrorKind.BACKEND_FAILED, RunState.NOT_RUN),
            (refused.kind, refused.run_state),
        )
        self.assertTrue(client.events[-1].load.leaving)

        runner, _ = await serve_service(
            name="directory", trace=lambda record: None, port=port
        )
        self.addCleanup(runner.cleanup)
        await until(lambda: not node.state.announcement().draining)
        self.assertEqual(1, node.state.announcement().losses)
        self.assertGreater(control.announced, announced)
        await client.open("d2", call=wire.Call(method="GET", path="/entry/7"))
        self.assertEqual(200, (await client.end("d2")).response.status)


class EngineHealthTest(AsyncTestCase):
    async def test_hanging_engine_is_replaced_before_its_call_times_out(self):
        control, nodes, chain = await start_chain(self, spares=1)
        n0, n1, n2, spare = nodes
        n1.agent.stage._step_timeout_s = 600.0
        client = await connect(self, n0)

        async def hang():
            # As after the loss of an accelerator: calls are accepted but never return.
            n1.engine.failing = True
            await asyncio.Event().wait()

        n1.engine.fault_position = 3
        n1.engine.on_fault = hang
        dispatch_id = await client.generate(chain, b"page one", 8)
        await until(lambda: n1.state.unreachable)
        control.set_chain(make_chain([n0, spare, n2], epoch=2))
        await client.end(dispatch_id)
        self.assertEqual(expected_tokens("page one", 6, 8), client.texts(dispatch_id))
