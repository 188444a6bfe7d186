import asyncio
import socket

from wigeonscale.platform.reachability import check_reachable
from wigeonscale.ports import ProbeResult
from wigeonscale.testing import AsyncTestCase

WAIT_S = 30.0


class ReachabilityTest(AsyncTestCase):
    async def test_listening_port(self):
        server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        self.assertEqual(
            ProbeResult.ANSWERED, await check_reachable(f"{host}:{port}", WAIT_S)
        )

    async def test_closed_port(self):
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{sock.getsockname()[1]}"
            self.assertEqual(
                ProbeResult.REFUSED, await check_reachable(address, WAIT_S)
            )

    async def test_timeout(self):
        self.assertEqual(
            ProbeResult.NO_ANSWER, await check_reachable("127.0.0.1:9", 0.0)
        )
