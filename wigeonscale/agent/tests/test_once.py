import asyncio

from wigeonscale.agent.tests.support import (
    ReachableService,
    connect,
    start_service,
    until,
)
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.ports import HttpResponse
from wigeonscale.testing import AsyncTestCase, ManualClock
from wigeonscale.wire import wire_pb2 as wire


class GatedService(ReachableService):
    """Blocks calls until ``gate`` is set, then raises ``error`` if there is one."""

    def __init__(self):
        self.calls = 0
        self.gate = asyncio.Event()
        self.error = None

    async def call(self, method, path, headers, body, timeout_s=60.0):
        self.calls += 1
        await self.gate.wait()
        if self.error:
            raise self.error
        return HttpResponse(status=200, body=body)


class OnceTest(AsyncTestCase):
    async def prepare(self):
        self.service = GatedService()
        self.clock = ManualClock()
        self.control, self.node = await start_service(
            self, self.service, slots=1, clock=self.clock
        )
        self.client = await connect(self, self.node)

    async def open(self, dispatch_id, **fields):
        call = wire.Call(method="POST", path="/notes", body=b"n")
        await self.client.open(
            dispatch_id, call=call, once=True, claim_key="k", **fields
        )

    async def outcome(self):
        await self.node.agent.outcomes.flush()
        return [(o.dispatch_id, o.not_run, o.state) for o in self.control.outcomes]

    async def test_started_call_is_neither_cancelled_nor_repeated(self):
        await self.open("d1")
        await until(lambda: self.service.calls)
        await self.client.send(cancel=wire.Cancel(dispatch_id="d1"))
        await self.open("d1")
        self.service.gate.set()
        self.assertEqual(200, (await self.client.end("d1")).response.status)
        self.assertEqual(1, self.service.calls)
        self.assertEqual([("d1", False, wire.RAN)], await self.outcome())

    async def test_sealing_a_queued_dispatch_releases_the_claim(self):
        await self.open("d1")
        await self.open("d2")
        incarnation = self.node.state.incarnation
        await self.client.send(
            seal=wire.Seal(dispatch_id="d2", agent_incarnation=incarnation)
        )
        await self.client.end("d2")
        self.assertIn(("d2", True, wire.CLAIM_STATE_UNSPECIFIED), await self.outcome())
        self.service.gate.set()
        await self.client.end("d1")
        self.assertEqual(1, self.service.calls)

    async def test_call_that_times_out_at_its_deadline_is_unknown(self):
        late = WigeonscaleError(
            ErrorKind.BACKEND_FAILED, "planted", run_state=RunState.UNKNOWN
        )
        self.service.error = late
        await self.open("d1", deadline_ms=100)
        await until(lambda: self.service.calls)
        await self.clock.advance(0.2)
        self.service.gate.set()
        refused = (await self.client.end("d1")).refused
        self.assertEqual(
            (ErrorKind.DEADLINE_EXCEEDED, RunState.UNKNOWN),
            (refused.kind, refused.run_state),
        )
        self.assertEqual([("d1", False, wire.UNKNOWN)], await self.outcome())

    async def test_errors_report_the_known_run_state(self):
        self.service.gate.set()
        known = {RunState.NOT_RUN: (True, 0), RunState.UNKNOWN: (False, wire.UNKNOWN)}
        for state, (not_run, claim_state) in known.items():
            self.service.error = WigeonscaleError(
                ErrorKind.BACKEND_FAILED, "planted", run_state=state
            )
            await self.open(f"d {state}")
            refused = (await self.client.end(f"d {state}")).refused
            self.assertEqual(state, refused.run_state)
            self.assertIn((f"d {state}", not_run, claim_state), await self.outcome())
