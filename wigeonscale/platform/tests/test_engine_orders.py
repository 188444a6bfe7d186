import asyncio
import re
import socket

from aiohttp import web

from wigeonscale.layers import LayerRange, Part
from wigeonscale.platform.engine_orders import HttpEngineOrders
from wigeonscale.platform.exchange_http import new_session
from wigeonscale.platform.tests.support import serve
from wigeonscale.ports import EngineProbeResult, ProbeResult
from wigeonscale.ports.orders import OrderOutcome
from wigeonscale.testing import AsyncTestCase


class OrdersCase(AsyncTestCase):
    async def prepare(self):
        session = new_session()
        self.addCleanup(session.close)
        order_session = new_session(keeps_connections=False)
        self.addCleanup(order_session.close)
        self.orders = HttpEngineOrders(session=session, order_session=order_session)


class ProbeTest(OrdersCase):
    async def test_engine_responds(self):
        async def handle(req):
            return web.json_response({"seq": 0, "busy": False})

        runner, address = await serve(handle)
        self.addCleanup(runner.cleanup)
        probe_result = await self.orders.probe(address, 0)
        self.assertEqual(EngineProbeResult(ProbeResult.ANSWERED, 1.0), probe_result)

    async def test_later_incarnation_is_detected(self):
        for born, expected in (
            (100, ProbeResult.ANSWERED),
            (200, ProbeResult.REPLACED),
            ("200", ProbeResult.ANSWERED),
        ):
            report = {"seq": 0, "busy": False, "born": born}

            async def handle(req, report=report):
                return web.json_response(report)

            runner, address = await serve(handle)
            self.addCleanup(runner.cleanup)
            probe_result = await self.orders.probe(address, 100)
            self.assertIs(expected, probe_result.result)

    async def test_pace_is_reported(self):
        for pace, expected_pace in ((12.5, 12.5), ("x", 1.0), (None, 1.0)):
            report = {"seq": 0, "busy": False, "pace": pace}

            async def handle(req, report=report):
                return web.json_response(report)

            runner, address = await serve(handle)
            self.addCleanup(runner.cleanup)
            probe_result = await self.orders.probe(address, 0)
            self.assertEqual(
                EngineProbeResult(ProbeResult.ANSWERED, expected_pace), probe_result
            )

    async def test_report_out_of_range(self):
        # Guards against a probe or query without a result: the engine would neither
        # count as silent nor get another order.
        for fields in (
            b'"seq": 1e999, "pace": 1' + b"0" * 400,
            b'"seq": "x"',
            b'"seq": 1, "layers": {"from": 0, "to": -1e999}',
            b'"seq": 1, "running": 1e999',
            b'"seq": 1, "layers": [3]',
            b'"seq": 1, "stalled": [1]',
            b'"seq": ' + b"[" * 100_000 + b"]" * 100_000,
        ):
            body = b'{"busy": false, ' + fields + b"}"

            async def handle(req, body=body):
                return web.Response(body=body, content_type="application/json")

            runner, address = await serve(handle)
            self.addCleanup(runner.cleanup)
            self.assertIsNone(await self.orders.status(address))
            probe_result = await self.orders.probe(address, 0)
            self.assertEqual(EngineProbeResult(ProbeResult.ANSWERED, 1.0), probe_result)

    async def test_status_includes_the_start_time(self):
        async def handle(req):
            return web.json_response({"seq": 3, "busy": False, "born": 200})

        runner, address = await serve(handle)
        self.addCleanup(runner.cleanup)
        self.assertEqual(200, (await self.orders.status(address)).started_ms)

    async def test_closed_port(self):
        with socket.socket() as unused:
            # Bound but not listening, so that no other process takes the port.
            unused.bind(("127.0.0.1", 0))
            port = unused.getsockname()[1]
            probe_result = await self.orders.probe(f"127.0.0.1:{port}", 0)
        self.assertIs(ProbeResult.REFUSED, probe_result.result)

    async def test_engine_aborts_the_connection(self):
        async def handle(req):
            req.transport.abort()
            return web.Response()

        runner, address = await serve(handle)
        self.addCleanup(runner.cleanup)
        probe_result = await self.orders.probe(address, 0)
        self.assertIs(ProbeResult.NO_ANSWER, probe_result.result)


class OrderTest(OrdersCase):
    async def prepare(self):
        await super().prepare()
        self.status = 202
        self.name = "e1"
        self.received = []

        async def handle(req):
            if req.headers.get("Expect-Instance") != self.name:
                return web.Response(status=421)
            self.received.append((req.method, req.path, await req.json()))
            return web.Response(status=self.status)

        runner, self.address = await serve(handle)
        self.addCleanup(runner.cleanup)

    def change_path(self):
        return self.orders.change_path(
            self.address,
            backend_id="e1",
            request_id="r1",
            path=[Part("e1", LayerRange(0, 20)), Part("e2", LayerRange(20, 80))],
            addresses=["10.1.0.1:80", "10.2.0.1:80"],
        )

    async def test_path_change_sends_the_new_path(self):
        self.assertIs(OrderOutcome.STARTED, await self.change_path())
        order = {
            "op": "repath",
            "id": "r1",
            "path": "10.1.0.1:80=0-20,10.2.0.1:80=20-80",
        }
        self.assertEqual([("POST", "/order", order)], self.received)

    async def test_another_engine_at_the_address_gets_no_order(self):
        """Guards against an order to the next user of an address."""
        self.name = "e2"
        self.assertIs(OrderOutcome.REFUSED, await self.change_path())
        outcome = await self.orders.place(
            self.address,
            backend_id="e1",
            first=0,
            end=9,
            fence=1,
            expected_orders=0,
            waits=False,
        )
        self.assertIs(OrderOutcome.REFUSED, outcome)
        self.assertEqual([], self.received)

    async def test_outcome_follows_the_status(self):
        outcomes = {
            200: OrderOutcome.UNCHANGED,
            404: OrderOutcome.REFUSED,
            409: OrderOutcome.CONFLICT,
            412: OrderOutcome.FENCED,
        }
        for self.status, outcome in outcomes.items():
            self.assertIs(outcome, await self.change_path())

    async def test_waits_selects_the_strategy(self):
        for waits in (False, True):
            outcome = await self.orders.place(
                self.address,
                backend_id="e1",
                first=20,
                end=31,
                fence=7,
                expected_orders=2,
                waits=waits,
            )
            self.assertIs(OrderOutcome.STARTED, outcome)
        (_, _, order), (_, _, waiting) = self.received
        self.assertEqual("queue", waiting["strategy"])
        self.assertEqual(
            (20, 31, "preempt"), (order["from"], order["to"], order["strategy"])
        )
        self.assertEqual((7, 2), (order["fencing-token"], order["precondition"]))


class LateResponseTest(OrdersCase):
    """An engine sends a response again where the next one is expected."""

    async def prepare(self):
        await super().prepare()
        self.replies = []
        self.connections = 0
        server = await asyncio.start_server(self.handle, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def handle(self, reader, writer):
        self.connections += 1
        late = b""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"Content-Length: (\d+)", head)
                await reader.readexactly(int(length[1]) if length else 0)
                reply = self.replies.pop(0)
                writer.write(late + reply)
                late = reply
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # the client closed the connection
        finally:
            writer.close()

    async def place(self):
        return await self.orders.place(
            self.address,
            backend_id="e1",
            first=0,
            end=9,
            fence=1,
            expected_orders=0,
            waits=False,
        )

    async def test_late_response_does_not_answer_the_next_order(self):
        """Guards against an order that counts as begun though it was refused."""
        self.replies = [
            b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status
            for status in (202, 409)
        ]
        self.assertIs(OrderOutcome.STARTED, await self.place())
        self.assertIs(OrderOutcome.CONFLICT, await self.place())

    async def test_late_report_does_not_answer_an_order(self):
        """Guards against an order that counts as done since a report has status 200."""
        self.replies = [
            b'HTTP/1.1 200 X\r\nContent-Length: 24\r\n\r\n{"seq":0,"busy": false }',
            b"HTTP/1.1 409 X\r\nContent-Length: 0\r\n\r\n",
        ]
        self.assertIsNotNone(await self.orders.status(self.address))
        self.assertIs(OrderOutcome.CONFLICT, await self.place())

    async def test_response_to_a_request_does_not_answer_a_report(self):
        """Guards against a report from the body of another response."""
        self.replies = [
            b"HTTP/1.1 200 X\r\nAttempt-Id: id1\r\nContent-Length: 24\r\n\r\n"
            b'{"seq":0,"busy": false }',
            b'HTTP/1.1 200 X\r\nContent-Length: 24\r\n\r\n{"seq":1,"busy": false }',
        ]
        self.assertIsNone(await self.orders.status(self.address))
        status = await self.orders.status(self.address)
        self.assertEqual((1, 2), (status.orders, self.connections))
