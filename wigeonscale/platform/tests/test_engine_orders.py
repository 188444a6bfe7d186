import socket

from aiohttp import web

from wigeonscale.platform.engine_orders import HttpEngineOrders
from wigeonscale.platform.exchange_http import new_session
from wigeonscale.platform.tests.support import serve
from wigeonscale.ports import ProbeAnswer
from wigeonscale.testing import AsyncTestCase


class ProbeTest(AsyncTestCase):
    async def prepare(self):
        session = new_session()
        self.addCleanup(session.close)
        self.orders = HttpEngineOrders(session=session)

    async def test_an_engine_that_answers(self):
        async def handle(req):
            return web.json_response({"seq": 0, "busy": False})

        runner, address = await serve(handle)
        self.addCleanup(runner.cleanup)
        self.assertIs(ProbeAnswer.ANSWERED, await self.orders.probe(address))

    async def test_an_engine_whose_port_refuses(self):
        with socket.socket() as unused:
            # Bound, so that nobody else gets the port, but not listening.
            unused.bind(("127.0.0.1", 0))
            port = unused.getsockname()[1]
            answer = await self.orders.probe(f"127.0.0.1:{port}")
        self.assertIs(ProbeAnswer.REFUSED, answer)

    async def test_an_engine_that_cuts_the_connection(self):
        async def handle(req):
            req.transport.abort()
            return web.Response()

        runner, address = await serve(handle)
        self.addCleanup(runner.cleanup)
        self.assertIs(ProbeAnswer.NOTHING, await self.orders.probe(address))
